"""Refactoring must not change the traffic and the stored records of simulation runs.

The first seed of each kind is run here; `python3 -m tealrill.simulation digest
tests/data/day_digests.json` runs all of them. A change of behaviour changes the digests: record the
new ones with `--record` and say so in the commit.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest

from tealrill.simulation.day_digests import RecordedDay, digest_of, read_days

_RECORDED: Final = read_days(Path(__file__).parent / "data" / "day_digests.json")
_PLAYED: Final = [day for day in _RECORDED if day.seed == 1]


@pytest.mark.parametrize("day", _PLAYED, ids=lambda day: day.name)
def test_the_day_has_the_recorded_traffic(day: RecordedDay) -> None:
    assert digest_of(day) == day.sha256


def test_other_seeds_have_other_traffic() -> None:
    assert len({day.sha256 for day in _RECORDED}) == len(_RECORDED) == 40
