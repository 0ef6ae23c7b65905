"""Failure detection, replacement after mass failures and capacity backoff as pure state."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill.fleet.capacity_backoff import CapacityBackoff
from tealrill.scheduler.capacity_losses import CapacityLosses
from tealrill.scheduler.failure_detector import (
    MIN_FAILED_CONNECTS,
    Evidence,
    Suspicion,
    diagnose,
    expected_recovery_s,
    has_lost_all_heartbeats,
    live_within_s,
    silent_after_s,
)
from tealrill.types import MachineId, Monotonic

_HEARTBEAT_INTERVAL_S = 2.0
_LIVE_S, _SILENT_S = 1.0, 9.0


def _observations(zone: str, count: int, silent_s: float, **fields: Any) -> list[Evidence]:
    return [
        Evidence(MachineId(f"{zone}-{silent_s}-{n}"), zone, silent_s, **fields)
        for n in range(count)
    ]


def _suspicions(observations: list[Evidence]) -> set[Suspicion]:
    return set(diagnose(observations, _HEARTBEAT_INTERVAL_S).suspicions.values())


def test_unreachable_machines_in_live_zone_are_failed() -> None:
    live_machines = _observations("north", 20, _LIVE_S)
    assert _suspicions(
        live_machines + _observations("north", 30, _SILENT_S, failed_connects=MIN_FAILED_CONNECTS)
    ) == {Suspicion.FAILED}
    # A single failure may be due to a lost packet.
    assert _suspicions(
        live_machines + _observations("north", 30, _SILENT_S, failed_connects=1)
    ) == {Suspicion.UNDETERMINED}


def test_silent_zone_is_partitioned_not_failed() -> None:
    observations = _observations("north", 20, _LIVE_S) + _observations(
        "south", 20, _SILENT_S, failed_connects=9
    )
    diagnosis = diagnose(observations, _HEARTBEAT_INTERVAL_S)
    assert diagnosis.partitioned_zones == {"south"} and not diagnosis.inbound_partitioned
    assert set(diagnosis.suspicions.values()) == {Suspicion.PARTITIONED}


def test_first_silent_machines_of_partition_are_not_failed() -> None:
    # Heartbeats are up to 1.25 intervals apart, so the machines of a zone fall silent one by one.
    first = _observations(
        "south", 5, 2.8 * _HEARTBEAT_INTERVAL_S, failed_connects=MIN_FAILED_CONNECTS
    )
    last = _observations(
        "south", 15, 1.6 * _HEARTBEAT_INTERVAL_S, failed_connects=MIN_FAILED_CONNECTS
    )
    assert _suspicions(_observations("north", 20, _LIVE_S) + first + last) == {
        Suspicion.PARTITIONED
    }


def test_silence_of_all_zones_is_inbound_partition_of_leader() -> None:
    observations = _observations("north", 20, _SILENT_S, failed_connects=9) + _observations(
        "south", 9, _SILENT_S, failed_connects=9
    )
    diagnosis = diagnose(observations, _HEARTBEAT_INTERVAL_S)
    assert diagnosis.inbound_partitioned and set(diagnosis.suspicions.values()) == {
        Suspicion.PARTITIONED
    }


def test_silent_machines_that_accept_connections_are_hung() -> None:
    observations = [
        Evidence(MachineId(f"m-{n}"), "north", _SILENT_S, accepts=True) for n in range(20)
    ]
    diagnosis = diagnose(observations, _HEARTBEAT_INTERVAL_S)
    assert (
        set(diagnosis.suspicions.values()) == {Suspicion.HUNG} and not diagnosis.partitioned_zones
    )


def test_zone_missing_from_two_cloud_lists_is_failed_not_partitioned() -> None:
    live_machines = _observations("north", 20, _LIVE_S)
    assert _suspicions(
        live_machines
        + _observations("south", 20, _SILENT_S, failed_connects=9, missing_from_lists=1)
    ) == {Suspicion.PARTITIONED}
    assert _suspicions(
        live_machines
        + _observations("south", 20, _SILENT_S, failed_connects=9, missing_from_lists=2)
    ) == {Suspicion.FAILED}


_EVIDENCE = st.builds(
    Evidence,
    st.integers(0, 10**6).map(lambda n: MachineId(f"m-{n}")),
    st.sampled_from(["north", "south", "west"]),
    st.floats(0.0, 60.0),
    st.integers(0, 4),
    st.booleans(),
    st.integers(0, 3),
)


@given(st.lists(_EVIDENCE, max_size=40, unique_by=lambda evidence: evidence.machine))
def test_suspicions_on_generated_fleets(observations: list[Evidence]) -> None:
    diagnosis = diagnose(observations, _HEARTBEAT_INTERVAL_S)
    by_id = {evidence.machine: evidence for evidence in observations}
    live = {s.zone for s in observations if s.silent_s <= live_within_s(_HEARTBEAT_INTERVAL_S)}
    for machine, suspicion in diagnosis.suspicions.items():
        evidence = by_id[machine]
        assert evidence.silent_s > live_within_s(_HEARTBEAT_INTERVAL_S)
        if suspicion is Suspicion.FAILED:
            # A machine that accepts connections is not diagnosed as failed, nor is one in a
            # partitioned zone, unless it is missing from the cloud's lists.
            assert evidence.missing_from_lists >= 2 or (
                not evidence.accepts and evidence.failed_connects >= MIN_FAILED_CONNECTS
            )
            assert (
                evidence.missing_from_lists >= 2 or evidence.zone not in diagnosis.partitioned_zones
            )
        assert (
            expected_recovery_s(suspicion, evidence.silent_s) is None
            or suspicion is not Suspicion.FAILED
        )
    for evidence in observations:
        if evidence.silent_s > silent_after_s(_HEARTBEAT_INTERVAL_S):
            assert evidence.machine in diagnosis.suspicions
    assert not diagnosis.inbound_partitioned or not live


def test_expected_recovery_equals_silence_so_far() -> None:
    assert expected_recovery_s(Suspicion.HUNG, 12.0) == 12.0
    assert expected_recovery_s(Suspicion.PARTITIONED, 0.5) == pytest.approx(2.0)
    assert expected_recovery_s(Suspicion.FAILED, 12.0) is None


def test_loss_of_all_heartbeats_requires_several_machines() -> None:
    assert has_lost_all_heartbeats(3.5, 10, _HEARTBEAT_INTERVAL_S)
    assert not has_lost_all_heartbeats(2.5, 10, _HEARTBEAT_INTERVAL_S)
    assert not has_lost_all_heartbeats(60.0, 2, _HEARTBEAT_INTERVAL_S)


# -- capacity losses ------------------------------------------------------------------------------


def _record_losses(losses: CapacityLosses, count: int, at: float = 0.0, cpus: float = 6.0) -> None:
    for n in range(count):
        losses.lost(MachineId(f"m-{at}-{n}"), "big", cpus, Monotonic(at))


def test_mass_failure_requires_replacement_of_used_capacity() -> None:
    losses = CapacityLosses()
    _record_losses(losses, 20)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {"big": 120.0}
    losses.rented("other", 50.0)
    losses.rented("big", 100.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {"big": 20.0}
    losses.rented("big", 100.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {}


def test_few_or_spread_losses_require_no_replacement() -> None:
    losses = CapacityLosses()
    _record_losses(losses, 4)
    assert losses.replacement_capacity(Monotonic(0.0), 10) == {}
    spread_losses = CapacityLosses()
    for n in range(12):
        _record_losses(spread_losses, 1, at=6.0 * n)
    assert spread_losses.replacement_capacity(Monotonic(67.0), 10) == {}
    _record_losses(losses, 5, at=1.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {}, "nine of 200 are too few"
    assert losses.replacement_capacity(Monotonic(1.0), 100) == {"big": 54.0}


def test_loss_counts_once_and_ends_with_recovery() -> None:
    losses = CapacityLosses()
    _record_losses(losses, 10)
    _record_losses(losses, 10)
    assert losses.replacement_capacity(Monotonic(0.0), 50) == {"big": 60.0}
    losses.recovered(MachineId("m-0.0-3"))
    assert losses.replacement_capacity(Monotonic(0.0), 50) == {"big": 54.0}
    assert losses.replacement_capacity(Monotonic(61.0), 50) == {}


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("lost"), st.integers(0, 30), st.floats(0.0, 64.0)),
            st.tuples(st.just("back"), st.integers(0, 30), st.just(0.0)),
            st.tuples(st.just("rented"), st.just(0), st.floats(0.0, 200.0)),
            st.tuples(st.just("later"), st.just(0), st.floats(0.0, 30.0)),
        ),
        max_size=60,
    )
)
def test_replacement_capacity_is_at_most_unreplaced_loss(
    steps: list[tuple[str, int, float]],
) -> None:
    losses, now = CapacityLosses(), Monotonic(0.0)
    lost: dict[int, float] = {}
    for step, number, amount in steps:
        if step == "lost":
            losses.lost(MachineId(f"m-{number}"), "big", amount, now)
            lost[number] = max(amount, lost.get(number, 0.0))
        elif step == "back":
            losses.recovered(MachineId(f"m-{number}"))
            lost.pop(number, None)
        elif step == "rented":
            before = losses.replacement_capacity(now, 0).get("big", 0.0)
            losses.rented("big", amount)
            assert losses.replacement_capacity(now, 0).get("big", 0.0) >= before - amount - 1e-6
        else:
            now = Monotonic(now + amount)
            losses.replacement_capacity(now, 0)
        assert losses.replacement_capacity(now, 0).get("big", 0.0) <= sum(lost.values()) + 1e-6


# -- capacity backoff -----------------------------------------------------------------------------


def test_backoff_doubles_until_machines_are_granted_or_released() -> None:
    capacity_backoff, kind, now = CapacityBackoff(), ("big", "north", True), Monotonic(0.0)
    waits: list[float] = []
    for _ in range(4):
        capacity_backoff.record_response(kind, 10, 0, now)
        until = next(
            s for s in range(200) if not capacity_backoff.is_refused(kind, Monotonic(now + s))
        )
        waits.append(until)
        now = Monotonic(now + until)
    assert waits == [10, 20, 40, 40]
    capacity_backoff.record_response(kind, 10, 3, now)
    assert capacity_backoff.is_refused(
        kind, Monotonic(now + 4)
    ) and not capacity_backoff.is_refused(kind, Monotonic(now + 5))
    capacity_backoff.record_response(kind, 10, 0, now)
    assert not capacity_backoff.is_refused(("big", "south", True), now)
    capacity_backoff.clear(kind)
    assert not capacity_backoff.is_refused(kind, now)
    capacity_backoff.record_response(kind, 10, 0, now)
    capacity_backoff.record_response(kind, 10, 10, now)
    assert not capacity_backoff.is_refused(kind, now)


def test_machine_failures_shorten_backoff_without_ending_it() -> None:
    """Failed machines still occupy the cloud's capacity, so new requests are refused at first."""
    capacity_backoff, kind = CapacityBackoff(), ("big", "north", True)
    capacity_backoff.record_response(kind, 10, 0, Monotonic(0.0))
    capacity_backoff.record_response(kind, 10, 0, Monotonic(10.0))
    for _ in range(100):
        capacity_backoff.shorten(kind)
    assert capacity_backoff.is_refused(kind, Monotonic(14.9)) and not capacity_backoff.is_refused(
        kind, Monotonic(15.0)
    )
