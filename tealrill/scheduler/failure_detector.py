"""Failure detection for the whole fleet at once. Ours; the paper has none.

One silent machine and three hundred look alike when each is judged by itself. Here the whole fleet
is looked at: which zones are heard, whether anything still takes connections there, whether the
cloud lists a machine, and whether it is this leader that hears nobody.

A suspicion decides only what is ours to decide: what is rented or given back, and who leads. **It
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
MIN_MISSING_LISTS: Final = 2
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
    """The probable cause of a machine's silence."""

    UNDETERMINED = "late"
    """Silent, and not known why."""
    HUNG = "hung"
    """It takes connections and says nothing: it may go on at any moment."""
    PARTITIONED = "cut"
    """Nothing of its zone is heard: the way there is broken, and the machine works on."""
    FAILED = "gone"
    """It takes no connection while others of its zone are heard, or the cloud lists it no more."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of one machine that sent a heartbeat at least once."""

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
    """The suspicions about all silent machines."""

    suspicions: dict[MachineId, Suspicion]
    """Of the machines that are not heard."""
    partitioned_zones: frozenset[str]
    inbound_partitioned: bool = False
    """No zone is heard at all: it is this node's own way that is broken."""


def silent_after_s(heartbeat_interval_s: float) -> float:
    """Return the silence, in seconds, after which a machine gets no more tasks."""
    return _SILENT_REPORTS * heartbeat_interval_s


def live_within_s(heartbeat_interval_s: float) -> float:
    """Return the seconds within which a machine that is not partitioned was heard."""
    return _LIVE_REPORTS * heartbeat_interval_s


def diagnose(observations: Iterable[Evidence], heartbeat_interval_s: float) -> Diagnosis:
    """Diagnose the whole fleet from one set of observations.

    A zone counts as heard by the machines that were heard within the last one and a half heartbeat
    intervals. When a partition begins the machines fall silent one after the other within an
    interval: judged by who is not yet called silent, the first ones would look failed in a zone
    that is heard.
    """
    heard: Counter[str] = Counter()
    reachable: Counter[str] = Counter()
    silent: list[Evidence] = []
    for evidence in observations:
        if evidence.silent_s <= live_within_s(heartbeat_interval_s):
            heard[evidence.zone] += 1
        elif evidence.silent_s > _JUDGED_REPORTS * heartbeat_interval_s:
            silent.append(evidence)
        if evidence.missing_from_lists < MIN_MISSING_LISTS and not evidence.accepts:
            # A machine that the cloud took away or that takes connections says nothing of the way.
            reachable[evidence.zone] += 1
    partitioned = frozenset(
        zone
        for zone, count in reachable.items()
        if count >= _FEWEST and heard[zone] <= _HEARD_SHARE * count
    )
    suspicions = {
        evidence.machine: _suspect(evidence, evidence.zone in partitioned) for evidence in silent
    }
    inbound_partitioned = bool(partitioned) and not any(heard.values())
    return Diagnosis(suspicions, partitioned, inbound_partitioned)


def _suspect(evidence: Evidence, is_zone_partitioned: bool) -> Suspicion:
    if evidence.missing_from_lists >= MIN_MISSING_LISTS:
        return Suspicion.FAILED
    if evidence.accepts:
        return Suspicion.HUNG
    if is_zone_partitioned:
        return Suspicion.PARTITIONED
    return Suspicion.FAILED if evidence.failed_connects >= MISSES else Suspicion.UNDETERMINED


def expected_recovery_s(suspicion: Suspicion, silent_s: float) -> float | None:
    """Return the seconds until a silent machine probably recovers; None if it won't.

    The best guess for a silence of unknown length is that it lasts as long again as it has lasted
    so far. A replacement that boots for longer than that is not worth its price.
    """
    if suspicion is Suspicion.FAILED:
        return None
    return max(_SOON_S, silent_s)


def has_lost_all_heartbeats(silent_s: float, heard: int, heartbeat_interval_s: float) -> bool:
    """Return whether a leader that recently heard `heard` machines hears none any more.

    The more machines there are, the closer together their heartbeats come: of three or more, one
    was due long before the interval of each has passed.
    """
    return heard >= _FEWEST and silent_s > live_within_s(heartbeat_interval_s)
