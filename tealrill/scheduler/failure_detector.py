"""Failure detection for the whole fleet at once. Not in the paper.

Judged one by one, a single failed machine and a partition of three hundred look alike. So the whole
fleet is considered: from which zones heartbeats arrive, whether machines there still accept
connections, whether the cloud lists a machine, and whether this leader receives heartbeats at all.

A suspicion only affects which machines are rented or released, and who leads. **It proves nothing
about tasks**: a binding ends only by the proofs in docs/design.md. Pure functions, without I/O and
clock; times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from tealrill.types import MachineId

MIN_FAILED_CONNECTS: Final = 2
"""Consecutive failed attempts to connect after which a machine is unreachable. A single one may be
due to a lost packet."""
MIN_MISSING_LISTS: Final = 2
"""Consecutive cloud lists without a machine after which it counts as failed. One is not enough,
because a list may be older than the one before it."""
_LIVE_INTERVALS: Final = 1.5
"""In heartbeat intervals. Workers send heartbeats at least every 1.25 intervals, so a machine that
is not partitioned has been heard from within this time."""
_SILENT_INTERVALS: Final = 3.0
"""In heartbeat intervals: a machine that has been silent for longer gets no more tasks."""
_DIAGNOSED_INTERVALS: Final = 2.75
"""In heartbeat intervals: a machine that has been silent for longer is diagnosed. This is so much
more than `_LIVE_INTERVALS` that in a partition the last machine of a zone is no longer live when
the first is diagnosed. (With 2.0, the first 18 of 260 machines were taken for failed.)"""
_MIN_MACHINES: Final = 3
"""With fewer machines, no partition of their zone and no loss of all heartbeats is assumed."""
_MAX_LIVE_SHARE: Final = 0.05
"""A zone is partitioned from this leader if no more than this share of its machines is live."""
_MIN_RECOVERY_S: Final = 2.0
"""Shortest expected time to recovery, however short the silence is so far."""


class Suspicion(Enum):
    """The probable cause of a machine's silence."""

    UNDETERMINED = "late"
    """Silent for an unknown reason."""
    HUNG = "hung"
    """It accepts connections and sends no heartbeats; it may resume at any moment."""
    PARTITIONED = "cut"
    """Its zone is partitioned from this leader; the machine itself continues to work."""
    FAILED = "gone"
    """It accepts no connections although its zone is not partitioned, or the cloud no longer lists
    it."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of one machine that has sent at least one heartbeat."""

    machine: MachineId
    zone: str
    silent_s: float
    """Time since its last heartbeat, or since the election if there was none in this term."""
    failed_connects: int = 0
    """Consecutive attempts to connect that failed."""
    accepts: bool = False
    """The last attempt to connect was accepted or refused: its operating system runs."""
    missing_from_lists: int = 0
    """Number of the cloud's latest consecutive lists without the machine, after one that had it."""


@dataclass(frozen=True, slots=True)
class Diagnosis:
    """The suspicions about all silent machines."""

    suspicions: dict[MachineId, Suspicion]
    """By machine; a machine without an entry is not silent, or not long enough to be diagnosed."""
    partitioned_zones: frozenset[str]
    inbound_partitioned: bool = False
    """No heartbeats arrive from any zone: the fault is in this node's own network connection."""


def silent_after_s(heartbeat_interval_s: float) -> float:
    """Return the silence, in seconds, after which a machine gets no more tasks."""
    return _SILENT_INTERVALS * heartbeat_interval_s


def live_within_s(heartbeat_interval_s: float) -> float:
    """Return the seconds within which a machine that is not partitioned has sent a heartbeat."""
    return _LIVE_INTERVALS * heartbeat_interval_s


def diagnose(observations: Iterable[Evidence], heartbeat_interval_s: float) -> Diagnosis:
    """Diagnose the whole fleet from one set of observations.

    A machine is live if a heartbeat arrived within the last one and a half heartbeat intervals.
    When a partition begins, the machines of a zone fall silent one after the other within an
    interval. If all machines that are not diagnosed yet counted as live, the first ones to fall
    silent would look failed in a zone that is otherwise live.
    """
    live: Counter[str] = Counter()
    expected_live: Counter[str] = Counter()
    to_diagnose: list[Evidence] = []
    for evidence in observations:
        if evidence.silent_s <= live_within_s(heartbeat_interval_s):
            live[evidence.zone] += 1
        elif evidence.silent_s > _DIAGNOSED_INTERVALS * heartbeat_interval_s:
            to_diagnose.append(evidence)
        if evidence.missing_from_lists < MIN_MISSING_LISTS and not evidence.accepts:
            # A machine that is no longer listed, or accepts connections, is no evidence for a
            # partition.
            expected_live[evidence.zone] += 1
    partitioned = frozenset(
        zone
        for zone, count in expected_live.items()
        if count >= _MIN_MACHINES and live[zone] <= _MAX_LIVE_SHARE * count
    )
    suspicions = {
        evidence.machine: _suspect(evidence, evidence.zone in partitioned)
        for evidence in to_diagnose
    }
    inbound_partitioned = bool(partitioned) and not any(live.values())
    return Diagnosis(suspicions, partitioned, inbound_partitioned)


def _suspect(evidence: Evidence, is_zone_partitioned: bool) -> Suspicion:
    """Return the probable cause of one machine's silence."""
    if evidence.missing_from_lists >= MIN_MISSING_LISTS:
        return Suspicion.FAILED
    if evidence.accepts:
        return Suspicion.HUNG
    if is_zone_partitioned:
        return Suspicion.PARTITIONED
    return (
        Suspicion.FAILED
        if evidence.failed_connects >= MIN_FAILED_CONNECTS
        else Suspicion.UNDETERMINED
    )


def expected_recovery_s(suspicion: Suspicion, silent_s: float) -> float | None:
    """Return the seconds until a silent machine probably recovers; None if it won't.

    A silence of unknown length is expected to last as long again as it has lasted so far. A
    replacement that takes longer than that to boot is not worth its price.
    """
    if suspicion is Suspicion.FAILED:
        return None
    return max(_MIN_RECOVERY_S, silent_s)


def has_lost_all_heartbeats(
    silent_s: float, machine_count: int, heartbeat_interval_s: float
) -> bool:
    """Return True if a leader that recently heard from several machines hears from none any more.

    `silent_s` is the time since the last heartbeat of any of `machine_count` machines. The more
    machines there are, the more often heartbeats arrive: with three or more, one is due well within
    a heartbeat interval.
    """
    return machine_count >= _MIN_MACHINES and silent_s > live_within_s(heartbeat_interval_s)
