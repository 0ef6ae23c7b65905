"""Refactoring must not change the traffic and the stored records of simulation runs.

The first seed of each kind is run here; `python3 -m tealrill.simulation digest
tests/data/day_digests.json` runs all of them. A change of behaviour changes the digests: record the
new ones with `--record` and say so in the commit.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest

from tealrill.simulation.day_digests import RecordedRun, digest_of, read_runs

_RECORDED: Final = read_runs(Path(__file__).parent / "data" / "day_digests.json")
_FIRST_SEED_RUNS: Final = [recorded for recorded in _RECORDED if recorded.seed == 1]


@pytest.mark.parametrize("recorded", _FIRST_SEED_RUNS, ids=lambda recorded: recorded.name)
def test_traffic_has_recorded_digest(recorded: RecordedRun) -> None:
    assert digest_of(recorded) == recorded.sha256


def test_recorded_digests_are_distinct() -> None:
    assert len({recorded.sha256 for recorded in _RECORDED}) == len(_RECORDED) == 40
