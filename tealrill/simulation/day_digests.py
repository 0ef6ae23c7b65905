"""Digests of simulated days, recorded in a file and compared with those of the present code."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final

import msgspec

from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario

_TROUBLE_S: Final = 90.0
_SEEDS_PER_KIND: Final = 10


class RecordedDay(msgspec.Struct, frozen=True, kw_only=True):
    """One day and the digest of its traffic; an empty digest was not taken yet."""

    seed: int
    controllers: int
    graphs: bool
    sha256: str = ""

    @property
    def name(self) -> str:
        """Return what tells this day from the others."""
        graphs = "with" if self.graphs else "without"
        return f"seed {self.seed}, {self.controllers} controllers, {graphs} graphs"


def digest_of(day: RecordedDay) -> str:
    """Play the day and return the digest of its traffic."""
    config = ClusterConfig(nodes=day.controllers, graphs=day.graphs)
    return run_scenario(day.seed, config, _TROUBLE_S).digest.hexdigest()


def differing_days(days: Sequence[RecordedDay], processes: int) -> list[RecordedDay]:
    """Play the days side by side and return those whose digest is not the recorded one."""
    digests = _digests(days, processes)
    return [day for day, found in zip(days, digests, strict=True) if day.sha256 != found]


def read_days(file: Path) -> list[RecordedDay]:
    """Read the recorded days."""
    return msgspec.json.decode(file.read_bytes(), type=list[RecordedDay])


def write_days(file: Path, processes: int) -> None:
    """Record this code's digests: three and five controllers, with and without graphs."""
    kinds = [(controllers, graphs) for controllers in (3, 5) for graphs in (False, True)]
    days = [
        RecordedDay(seed=seed, controllers=controllers, graphs=graphs)
        for controllers, graphs in kinds
        for seed in range(1, _SEEDS_PER_KIND + 1)
    ]
    recorded = [
        msgspec.structs.replace(day, sha256=found)
        for day, found in zip(days, _digests(days, processes), strict=True)
    ]
    file.write_bytes(msgspec.json.format(msgspec.json.encode(recorded), indent=1) + b"\n")


def _digests(days: Sequence[RecordedDay], processes: int) -> list[str]:
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(digest_of, days))
