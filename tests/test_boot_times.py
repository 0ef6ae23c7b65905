"""Boot timeouts of machines that do not come up."""

from __future__ import annotations

from typing import cast

from hypothesis import given
from hypothesis import strategies as st

from tealrill import wire
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler.boot_times import BootTimeEstimator
from tealrill.scheduler.capacity import Rental
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic
from tests.samples import provisioner_dependencies

_KIND = ("m8", "north")
_NOMINAL_S = 30.0


def _estimator_with(*boot_times_s: float, at: float = 100.0) -> BootTimeEstimator:
    boot_times = BootTimeEstimator()
    for boot_time_s in boot_times_s:
        boot_times.registered(_KIND, boot_time_s, Monotonic(at))
    return boot_times


def _timeout_s(boot_times: BootTimeEstimator, now: float = 100.0) -> float:
    return boot_times.boot_timeout_s(_KIND, _NOMINAL_S, Monotonic(now))


def test_boot_timeout_is_maximum_without_recent_samples() -> None:
    assert (
        _timeout_s(_estimator_with())
        == _timeout_s(_estimator_with(30.0, 30.0, 30.0, 30.0))
        == 120.0
    )
    # Boot times of other zones and old ones do not count.
    other = BootTimeEstimator()
    for _ in range(9):
        other.registered(("m8", "south"), 30.0, Monotonic(100.0))
    assert _timeout_s(other) == 120.0
    assert _timeout_s(_estimator_with(*[30.0] * 9), now=191.0) == 120.0


def test_boot_timeout_follows_recent_boot_times() -> None:
    # With the maximum timeout, a machine that never boots would be charged, and counted as coming
    # capacity, for four boot times.
    assert _timeout_s(_estimator_with(*[30.0] * 6)) == 60.0
    # Even if recent machines booted almost at once, a boot of the usual duration is not late.
    assert _timeout_s(_estimator_with(*[1.5] * 6)) == 1.75 * _NOMINAL_S


def test_boot_timeout_grows_with_slow_boots() -> None:
    assert _timeout_s(_estimator_with(*[100.0] * 6)) == 120.0
    assert _timeout_s(_estimator_with(*[45.0] * 6)) == 90.0


@given(st.lists(st.floats(0.1, 1000.0), max_size=60), st.floats(100.0, 300.0))
def test_boot_timeout_is_bounded(boot_times_s: list[float], now: float) -> None:
    assert 1.75 * _NOMINAL_S <= _timeout_s(_estimator_with(*boot_times_s), now) <= 4 * _NOMINAL_S


def _provisioner(fleet: Fleet) -> Provisioner:
    return Provisioner(cast(Cloud, None), fleet, FencingToken(3), 2.0, *provisioner_dependencies())


def test_boot_does_not_time_out_in_partitioned_zone() -> None:
    fleet = Fleet(JobStore(8.0), FencingToken(3), Monotonic(0.0), 8.0)
    provisioner = _provisioner(fleet)
    kind = wire.MachineType(name="m8", cpus=8.0, gpus=0.0, memory_gb=32.0, price=1.0,
                            spot_price=0.4, boot_s=_NOMINAL_S, zones=["north"])  # fmt: skip
    provisioner.set_catalogue(wire.Catalogue(types=[kind]))
    for number in range(7):
        provisioner._add_rented_machine(
            f"m-{number}", Rental("m8", "north", False, 7), Monotonic(0.0), rented_this_term=True
        )
    machines = list(fleet.machines.values())
    for machine in machines[:6]:
        provisioner.registered(machine, Monotonic(30.0))
    late = machines[6]
    late.listed_state = wire.MACHINE_BOOTING
    provisioner.partitioned_zones = lambda: frozenset({"north"})
    provisioner.machine_list._check_boot(late, Monotonic(70.0))
    assert not late.releasing
    provisioner.partitioned_zones = frozenset
    provisioner.machine_list._check_boot(late, Monotonic(59.0))
    assert not late.releasing
    provisioner.machine_list._check_boot(late, Monotonic(70.0))
    assert late.releasing


def test_machines_of_earlier_terms_are_not_boot_samples() -> None:
    fleet = Fleet(JobStore(8.0), FencingToken(3), Monotonic(0.0), 8.0)
    provisioner = _provisioner(fleet)
    for number in range(9):
        machine = Machine(MachineId(f"m-{number}"), "m8", "north", False, Monotonic(-500.0))
        provisioner.registered(machine, Monotonic(5.0))
    assert (
        provisioner.boot_times.boot_timeout_s(_KIND, _NOMINAL_S, Monotonic(5.0)) == 4 * _NOMINAL_S
    )
