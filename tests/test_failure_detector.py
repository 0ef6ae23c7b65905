"""Failure detection, replacement after mass failures and capacity backoff: pure parts."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill.fleet.capacity_backoff import CapacityBackoff
from tealrill.scheduler.capacity_losses import CapacityLosses
from tealrill.scheduler.failure_detector import (
    MISSES,
    Evidence,
    Suspicion,
    diagnose,
    expected_recovery_s,
    has_lost_all_heartbeats,
    live_within_s,
    silent_after_s,
)
from tealrill.types import MachineId, Monotonic

_REPORT_S = 2.0
_HEARD_S, _SILENT_S = 1.0, 9.0


def _signs(zone: str, count: int, silent_s: float, **more: Any) -> list[Evidence]:
    return [
        Evidence(MachineId(f"{zone}-{silent_s}-{n}"), zone, silent_s, **more) for n in range(count)
    ]


def _verdicts(signs: list[Evidence]) -> set[Suspicion]:
    return set(diagnose(signs, _REPORT_S).suspicions.values())


def test_machines_without_a_connection_in_a_zone_that_is_heard_are_gone() -> None:
    heard = _signs("north", 20, _HEARD_S)
    assert _verdicts(heard + _signs("north", 30, _SILENT_S, failed_connects=MISSES)) == {
        Suspicion.FAILED
    }
    # One attempt may have lost a packet.
    assert _verdicts(heard + _signs("north", 30, _SILENT_S, failed_connects=1)) == {
        Suspicion.UNDETERMINED
    }


def test_a_zone_that_is_not_heard_is_cut_off_and_its_machines_are_not_gone() -> None:
    signs = _signs("north", 20, _HEARD_S) + _signs("south", 20, _SILENT_S, failed_connects=9)
    diagnosis = diagnose(signs, _REPORT_S)
    assert diagnosis.partitioned_zones == {"south"} and not diagnosis.inbound_partitioned
    assert set(diagnosis.suspicions.values()) == {Suspicion.PARTITIONED}


def test_the_first_machines_of_a_cut_are_not_taken_for_deaths() -> None:
    # Reports are up to 1.25 periods apart, so a zone falls silent machine by machine.
    first = _signs("south", 5, 2.8 * _REPORT_S, failed_connects=MISSES)
    last = _signs("south", 15, 1.6 * _REPORT_S, failed_connects=MISSES)
    assert _verdicts(_signs("north", 20, _HEARD_S) + first + last) == {Suspicion.PARTITIONED}


def test_a_leader_that_hears_no_zone_is_deaf_and_calls_nothing_gone() -> None:
    signs = _signs("north", 20, _SILENT_S, failed_connects=9) + _signs(
        "south", 9, _SILENT_S, failed_connects=9
    )
    diagnosis = diagnose(signs, _REPORT_S)
    assert diagnosis.inbound_partitioned and set(diagnosis.suspicions.values()) == {
        Suspicion.PARTITIONED
    }


def test_machines_that_connect_and_say_nothing_hang_though_none_of_their_zone_is_heard() -> None:
    signs = [Evidence(MachineId(f"m-{n}"), "north", _SILENT_S, accepts=True) for n in range(20)]
    diagnosis = diagnose(signs, _REPORT_S)
    assert (
        set(diagnosis.suspicions.values()) == {Suspicion.HUNG} and not diagnosis.partitioned_zones
    )


def test_a_whole_zone_taken_back_is_told_from_a_cut_by_the_clouds_lists() -> None:
    heard = _signs("north", 20, _HEARD_S)
    assert _verdicts(
        heard + _signs("south", 20, _SILENT_S, failed_connects=9, missing_from_lists=1)
    ) == {Suspicion.PARTITIONED}
    assert _verdicts(
        heard + _signs("south", 20, _SILENT_S, failed_connects=9, missing_from_lists=2)
    ) == {Suspicion.FAILED}


_SIGN = st.builds(
    Evidence,
    st.integers(0, 10**6).map(lambda n: MachineId(f"m-{n}")),
    st.sampled_from(["north", "south", "west"]),
    st.floats(0.0, 60.0),
    st.integers(0, 4),
    st.booleans(),
    st.integers(0, 3),
)


@given(st.lists(_SIGN, max_size=40, unique_by=lambda sign: sign.machine))
def test_verdicts_on_generated_fleets(signs: list[Evidence]) -> None:
    diagnosis = diagnose(signs, _REPORT_S)
    by_id = {sign.machine: sign for sign in signs}
    live = {s.zone for s in signs if s.silent_s <= live_within_s(_REPORT_S)}
    for machine, verdict in diagnosis.suspicions.items():
        sign = by_id[machine]
        assert sign.silent_s > live_within_s(_REPORT_S)
        if verdict is Suspicion.FAILED:
            # Nothing is given up that connects, nor in a zone of several of which none is heard.
            assert sign.missing_from_lists >= 2 or (
                not sign.accepts and sign.failed_connects >= MISSES
            )
            assert sign.missing_from_lists >= 2 or sign.zone not in diagnosis.partitioned_zones
        assert (
            expected_recovery_s(verdict, sign.silent_s) is None or verdict is not Suspicion.FAILED
        )
    for sign in signs:
        if sign.silent_s > silent_after_s(_REPORT_S):
            assert sign.machine in diagnosis.suspicions
    assert not diagnosis.inbound_partitioned or not live


def test_a_silence_is_expected_to_last_as_long_again() -> None:
    assert expected_recovery_s(Suspicion.HUNG, 12.0) == 12.0
    assert expected_recovery_s(Suspicion.PARTITIONED, 0.5) == pytest.approx(2.0)
    assert expected_recovery_s(Suspicion.FAILED, 12.0) is None


def test_a_leader_is_deaf_only_if_it_heard_several_machines() -> None:
    assert has_lost_all_heartbeats(3.5, 10, _REPORT_S)
    assert not has_lost_all_heartbeats(2.5, 10, _REPORT_S)
    assert not has_lost_all_heartbeats(60.0, 2, _REPORT_S)


# -- losses ---------------------------------------------------------------------------------------


def _lose(losses: CapacityLosses, count: int, at: float = 0.0, cpus: float = 6.0) -> None:
    for n in range(count):
        losses.lost(MachineId(f"m-{at}-{n}"), "big", cpus, Monotonic(at))


def test_what_was_in_use_on_machines_lost_together_is_owed() -> None:
    losses = CapacityLosses()
    _lose(losses, 20)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {"big": 120.0}
    losses.rented("other", 50.0)
    losses.rented("big", 100.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {"big": 20.0}
    losses.rented("big", 100.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {}


def test_single_losses_and_losses_one_after_the_other_are_left_to_the_queue() -> None:
    losses = CapacityLosses()
    _lose(losses, 4)
    assert losses.replacement_capacity(Monotonic(0.0), 10) == {}
    apart = CapacityLosses()
    for n in range(12):
        _lose(apart, 1, at=6.0 * n)
    assert apart.replacement_capacity(Monotonic(67.0), 10) == {}
    _lose(losses, 5, at=1.0)
    assert losses.replacement_capacity(Monotonic(1.0), 200) == {}, "nine of two hundred are no fall"
    assert losses.replacement_capacity(Monotonic(1.0), 100) == {"big": 54.0}


def test_a_machine_is_counted_once_and_not_any_more_once_it_is_back() -> None:
    losses = CapacityLosses()
    _lose(losses, 10)
    _lose(losses, 10)
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
def test_never_more_is_owed_than_was_lost_and_not_replaced(
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


# -- refusals -------------------------------------------------------------------------------------


def test_refusals_double_while_nothing_is_given_and_end_when_machines_have_gone() -> None:
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


def test_lost_machines_shorten_a_refusal_and_do_not_end_it() -> None:
    """Dead ones hold their places: asked for with each that was lost, calls went out in vain."""
    capacity_backoff, kind = CapacityBackoff(), ("big", "north", True)
    capacity_backoff.record_response(kind, 10, 0, Monotonic(0.0))
    capacity_backoff.record_response(kind, 10, 0, Monotonic(10.0))
    for _ in range(100):
        capacity_backoff.shorten(kind)
    assert capacity_backoff.is_refused(kind, Monotonic(14.9)) and not capacity_backoff.is_refused(
        kind, Monotonic(15.0)
    )
