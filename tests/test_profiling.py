"""Profiler: attribution of costs, its log line, and no import of it while it is disabled."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from asyncio import events
from collections.abc import Callable, Iterator

import msgspec
import pytest

from tealrill import features, profiling
from tealrill.profiling import CAUSES, LOG_MARKER, Profile, ProfileLog, Profiler, Size
from tools import profiles


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_nested_time_is_not_charged_to_outer_cause() -> None:
    clock = _Clock()
    profiler = Profiler(clock)

    def spend(seconds: float, then: Callable[[], None] = lambda: None) -> None:
        clock.now += seconds
        then()
        clock.now += seconds

    def inner() -> None:
        profiler.call("inner", spend, 0.5)

    profiler.call("outer", spend, 2.0, inner)
    profiler.call("outer", spend, 1.0)
    with pytest.raises(ValueError):
        profiler.call("fails", int, "x")
    costs = {cause: (cost.calls, cost.cpu_s) for cause, cost in profiler.costs.items()}
    assert costs == {"inner": (1, 1.0), "outer": (2, 6.0), "fails": (1, 0.0)}


def test_causes_name_existing_functions() -> None:
    """A cause whose function has been moved or renamed would silently report no cost."""
    profiler = Profiler()
    for cause, where in CAUSES.items():
        module, _, path = where.partition(":")
        owner = __import__(module, fromlist=["_"])
        for part in path.split("."):
            owner = getattr(owner, part)
        assert callable(owner), cause
    assert not profiler.costs


@pytest.fixture
def restore_event_handle() -> Iterator[None]:
    run = events.Handle._run
    yield
    events.Handle._run = run  # type: ignore[method-assign]


@pytest.mark.usefixtures("restore_event_handle")
def test_callbacks_are_charged_to_their_coroutine() -> None:
    profiler = Profiler()
    profiler.wrap_callbacks()

    async def work() -> None:
        await asyncio.sleep(0)

    asyncio.run(work())
    cause = next(c for c in profiler.costs if c.endswith("work"))
    assert profiler.costs[cause].calls == 2


def test_log_line_is_readable_by_profiles_tool() -> None:
    profile_log = ProfileLog("node-0", 1.0)
    for number in range(200):
        profile_log._profiler.call(f"turn: some coroutine of a long name, {number}", lambda: None)
    size = Size(1.0, 1200, 30, 5000, 20000, 30000)
    line = LOG_MARKER + msgspec.json.encode(profile_log.profile(size)).decode()
    assert len(line) < 8000  # logs truncate longer lines
    later = LOG_MARKER + msgspec.json.encode(profile_log.profile(None)).decode()
    day = profiles.read(f"   12.5 node-0 I {line}\nsomething else\n{later}\n")
    assert day.mean("machines") == 1200.0 and sum(c.calls for c in day.costs.values()) == 60
    assert isinstance(msgspec.json.decode(line.removeprefix(LOG_MARKER), type=Profile), Profile)


def test_exponent_of_power_law() -> None:
    sizes = [150.0, 300.0, 600.0, 1200.0]
    assert profiles.exponent(sizes, [3 * s**1.5 for s in sizes]) == pytest.approx(1.5)
    assert profiles.exponent(sizes, [0.0, 0.0, 0.0, 2.0]) is None


def test_profiler_is_not_imported_while_disabled() -> None:
    assert not features.Features().profile.on
    program = "import sys, tealrill.cli; sys.exit('tealrill.profiling' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
    assert profiling.__doc__
