"""Judging silence together: what it means that machines are not heard. Ours; the paper has none.

One silent machine and three hundred look alike when each is judged by itself. Here the whole fleet
is looked at: which zones are heard, whether anything still takes connections there, whether the
cloud lists a machine, and whether it is this leader that hears nobody.

A verdict decides only what is ours to decide: what is rented or given back, and who leads. **It
proves nothing about tasks**: a binding ends by the proofs in docs/design.md and by nothing else.
Pure functions, no I/O and no clock; times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from tealrill.types import MachineId

MISSES: Final = 2
"""So many attempts in a row without a connection show that nothing answers there. A lost packet
costs one attempt."""
LISTS: Final = 2
"""A list may be older than the one before it, so one list without a machine says nothing."""
_LIVE_REPORTS: Final = 1.5
"""Workers report at least every 1.25 periods, so one that is not cut off was heard since."""
_SILENT_REPORTS: Final = 3.0
_JUDGED_REPORTS: Final = 2.75
"""So much later than `_LIVE_REPORTS` that in a cut the last of a zone's machines has ceased to be
live before the first is judged. (At 2.0 the first 18 of 260 were called gone.)"""
_FEWEST: Final = 3
"""A zone of fewer machines is judged machine by machine."""
_HEARD_SHARE: Final = 0.05
"""A zone of which not even this part is heard is cut off, or this leader from it."""
_SOON_S: Final = 2.0


class Suspicion(Enum):
    """What a machine's silence means, as far as can be seen from here."""

    LATE = "late"
    """Silent, and not known why."""
    HUNG = "hung"
    """It takes connections and says nothing: it may go on at any moment."""
    CUT = "cut"
    """Nothing of its zone is heard: the way there is broken, and the machine works on."""
    GONE = "gone"
    """It takes no connection while others of its zone are heard, or the cloud lists it no more."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one machine that was heard once."""

    machine: MachineId
    zone: str
    silent_s: float
    """Since its last report, or since the election if there was none in this term."""
    failed_connects: int = 0
    """Attempts to connect, in a row, that brought no connection."""
    accepts: bool = False
    """The last attempt brought a connection, or was refused: its system runs."""
    missing_from_lists: int = 0
    """Of the cloud's lists, the last so many don't show it though an earlier one did."""


@dataclass(frozen=True, slots=True)
class Diagnosis:
    """The verdicts on all machines."""

    verdicts: dict[MachineId, Suspicion]
    """Of the machines that are not heard."""
    partitioned_zones: frozenset[str]
    inbound_partitioned: bool = False
    """No zone is heard at all: it is this node's own way that is broken."""


def silent_after_s(heartbeat_interval_s: float) -> float:
    """The silence after which a machine gets no more tasks."""
    return _SILENT_REPORTS * heartbeat_interval_s


def live_within_s(heartbeat_interval_s: float) -> float:
    """A machine that is not cut off was heard within this time."""
    return _LIVE_REPORTS * heartbeat_interval_s


def judge(signs: Iterable[Evidence], heartbeat_interval_s: float) -> Diagnosis:
    """One look at the whole fleet.

    A zone counts as heard by the machines that were heard within the last one and a half report
    periods. At the begin of a cut the machines fall silent one after the other within a period:
    judged by who is not yet called silent, the first ones would look like deaths in a zone that
    is heard.
    """
    live: Counter[str] = Counter()
    known: Counter[str] = Counter()
    silent: list[Evidence] = []
    for sign in signs:
        if sign.silent_s <= live_within_s(heartbeat_interval_s):
            live[sign.zone] += 1
        elif sign.silent_s > _JUDGED_REPORTS * heartbeat_interval_s:
            silent.append(sign)
        if sign.missing_from_lists < LISTS and not sign.accepts:
            # A machine that the cloud took away or that takes connections says nothing of the way.
            known[sign.zone] += 1
    cut = frozenset(
        zone
        for zone, count in known.items()
        if count >= _FEWEST and live[zone] <= _HEARD_SHARE * count
    )
    verdicts = {sign.machine: _verdict(sign, sign.zone in cut) for sign in silent}
    inbound_partitioned = bool(cut) and not any(live.values())
    return Diagnosis(verdicts, cut, inbound_partitioned)


def _verdict(sign: Evidence, zone_cut: bool) -> Suspicion:
    if sign.missing_from_lists >= LISTS:
        return Suspicion.GONE
    if sign.accepts:
        return Suspicion.HUNG
    if zone_cut:
        return Suspicion.CUT
    return Suspicion.GONE if sign.failed_connects >= MISSES else Suspicion.LATE


def back_in_s(verdict: Suspicion, silent_s: float) -> float | None:
    """When a silent machine may be expected back; None for one that won't come.

    Of a silence whose length nobody knows, the best guess is that it lasts as long again as it
    has lasted so far. A replacement that boots for longer than that is not worth its price.
    """
    if verdict is Suspicion.GONE:
        return None
    return max(_SOON_S, silent_s)


def is_bypassed_by_heartbeats(silent_s: float, heard: int, heartbeat_interval_s: float) -> bool:
    """Whether a leader that has just heard `heard` machines hears nothing any more.

    The more machines there are, the closer their reports come together: of three or more, one was
    due long before the time that each of them may take has passed.
    """
    return heard >= _FEWEST and silent_s > live_within_s(heartbeat_interval_s)
