"""From memory to plan and back: which machines are rented, kept and given back."""

from __future__ import annotations

from typing import Any, cast

import orjson

from tealrill import settings, wire
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.dispatch import RENT_EVERY_S, Dispatcher
from tealrill.fleet.machines import Fleet
from tealrill.fleet.rental import Renter
from tealrill.scheduler.estimates import Estimates
from tealrill.state.book import Book
from tealrill.types import MachineId, Revision, Steady, Token, Wall
from tests.samples import SETTINGS, report, spec

_TYPE = {
    "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
    "price": 1.0, "marketPrice": 0.4, "startupS": 20, "halls": ["north"],
}  # fmt: skip


class _NoRentals(Renter):
    def rent(self, rental: Any, now: Steady) -> None:
        self.asked = getattr(self, "asked", 0) + rental.count


def _dispatcher() -> tuple[Dispatcher, Fleet, Book, _NoRentals]:
    params = settings.parse(orjson.dumps(SETTINGS)).params
    book = Book(8.0)
    fleet = Fleet(book, Token(1), Steady(0.0), params.workers.lease_s)
    fleet.inherit([], Steady(0.0))
    renter = _NoRentals(cast(Cloud, None), fleet, Token(1), 2.0)
    large = {**_TYPE, "label": "huge", "vcpus": 32}
    renter.take_catalogue(wire.decode(orjson.dumps({"builds": [_TYPE, large]}), wire.Catalogue))
    dispatcher = Dispatcher(book, fleet, renter, Estimates(), params, lambda _: None)
    return dispatcher, fleet, book, renter


def _beat(fleet: Fleet, seq: int, now: float) -> None:
    fleet.report(report("m-1", 1, seq, 1), MachineId("m-1"), Steady(now), Wall(now))


def test_an_idle_machine_goes_back_though_tasks_wait_that_do_not_fit_it() -> None:
    dispatcher, fleet, book, renter = _dispatcher()
    book.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    for second in range(100):
        _beat(fleet, second + 1, float(second))
        dispatcher.run(Steady(float(second)), Wall(float(second)))
    assert renter.asked > 0
    assert fleet.machines[MachineId("m-1")].releasing


def test_a_job_is_placed_and_its_binding_waits_for_the_record() -> None:
    dispatcher, fleet, book, _ = _dispatcher()
    job = book.add(spec(pieces=2), Wall(0.0), Revision(1))
    _beat(fleet, 1, 0.0)
    dispatcher.run(Steady(0.0), Wall(0.0))
    assert job.bound_count == 2
    machine = fleet.machines[MachineId("m-1")]
    assert fleet.direct_starts(machine) == []
    for chunk in job.chunks.values():
        chunk.committed = chunk.version
    assert len(fleet.direct_starts(machine)) == 2


def test_a_wish_for_machines_that_was_put_off_brings_another_pass_soon() -> None:
    """The reckoning is not made in every pass, and a burst must not wait for the next idle one."""
    dispatcher, _, book, renter = _dispatcher()
    book.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    dispatcher.run(Steady(0.0), Wall(0.0))
    asked = renter.asked
    book.add(spec(id="wk-000413", vcpus=32.0), Wall(0.0), Revision(2))
    dispatcher.run(Steady(0.1), Wall(0.1))
    assert dispatcher.put_off and renter.asked == asked
    dispatcher.run(Steady(RENT_EVERY_S), Wall(RENT_EVERY_S))
    assert not dispatcher.put_off and renter.asked > asked
