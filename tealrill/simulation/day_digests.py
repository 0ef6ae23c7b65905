"""Digests of simulation runs, recorded in a file and compared with those of the current code."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final

import msgspec

from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario

_FAULT_PERIOD_S: Final = 90.0
_SEEDS_PER_KIND: Final = 10


class RecordedRun(msgspec.Struct, frozen=True, kw_only=True):
    """One simulation run and the digest of its traffic, which is empty if not yet computed."""

    seed: int
    controllers: int
    graphs: bool
    sha256: str = ""

    @property
    def name(self) -> str:
        """Description of the run, unique among the recorded ones."""
        graphs = "with" if self.graphs else "without"
        return f"seed {self.seed}, {self.controllers} controllers, {graphs} graphs"


def digest_of(run: RecordedRun) -> str:
    """Repeat the run and return the digest of its traffic."""
    config = ClusterConfig(nodes=run.controllers, graphs=run.graphs)
    return run_scenario(run.seed, config, _FAULT_PERIOD_S).digest.hexdigest()


def differing_runs(runs: Sequence[RecordedRun], processes: int) -> list[RecordedRun]:
    """Repeat the runs in parallel and return those whose digest differs from the recorded one."""
    digests = _digests(runs, processes)
    return [run for run, digest in zip(runs, digests, strict=True) if run.sha256 != digest]


def read_runs(file: Path) -> list[RecordedRun]:
    """Read the recorded runs from a file."""
    return msgspec.json.decode(file.read_bytes(), type=list[RecordedRun])


def write_runs(file: Path, processes: int) -> None:
    """Write the digests of this code to a file: 3 and 5 controllers, with and without graphs."""
    kinds = [(controllers, graphs) for controllers in (3, 5) for graphs in (False, True)]
    runs = [
        RecordedRun(seed=seed, controllers=controllers, graphs=graphs)
        for controllers, graphs in kinds
        for seed in range(1, _SEEDS_PER_KIND + 1)
    ]
    recorded = [
        msgspec.structs.replace(run, sha256=digest)
        for run, digest in zip(runs, _digests(runs, processes), strict=True)
    ]
    file.write_bytes(msgspec.json.format(msgspec.json.encode(recorded), indent=1) + b"\n")


def _digests(runs: Sequence[RecordedRun], processes: int) -> list[str]:
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(digest_of, runs))
