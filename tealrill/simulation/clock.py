"""Simulated time: an event loop that never waits, and the clocks that the controllers read."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import itertools
import random
import secrets
import selectors
from collections.abc import Callable, Coroutine, Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

from tealrill import types

MONOTONIC_START_S = 1_000.0
"""Value of the monotonic clock at the beginning of a run, in seconds."""
_WALL_START_S = 1_700_000_000.0


class _Selector(selectors.SelectSelector):
    """Advances simulated time where the loop would wait."""

    loop: Loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the files that are ready; if there are none, advance the time by `timeout` s."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("simulation is stuck: no timer is set and no file is ready")
            self.loop.elapsed_s += max(0.0, timeout)
        return ready


class NumberedTask(asyncio.Task[Any]):
    """A task whose hash is its sequence number within the run.

    Task groups cancel their tasks in the order of a set. With the default hash, which depends on
    the memory address, runs with the same seed would differ.
    """

    def __init__(self, coroutine: Coroutine[Any, Any, Any], *, loop: Loop, **kwargs: Any) -> None:
        self._number = next(loop.task_numbers)
        super().__init__(coroutine, loop=loop, **kwargs)

    def __hash__(self) -> int:
        return self._number


class NumberedTimer(asyncio.TimerHandle):
    """A timer that fires after earlier-set timers for the same time.

    The loop's heap alone doesn't order timers of equal time: their order would depend on when
    cancelled timers are removed from the heap, and so on garbage collection.
    """

    def __init__(self, number: int, *details: Any) -> None:
        super().__init__(*details)
        self._scheduled = False
        self._key = self.when(), number

    def __lt__(self, other: object) -> bool:
        return isinstance(other, NumberedTimer) and self._key < other._key


class Loop(asyncio.SelectorEventLoop):
    """An event loop that runs what is due, then advances its time to the next timer."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.task_numbers = itertools.count()
        self.timer_numbers = itertools.count()
        self._scheduled: list[NumberedTimer]
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the simulated time since the loop was created, in seconds."""
        return self.elapsed_s

    def call_at(  # type: ignore[override]  # typeshed ties the arguments to the callback
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Set a timer as the base class does, but with a total order of all timers."""
        timer = NumberedTimer(next(self.timer_numbers), when, callback, args, self, context)
        timer._scheduled = True
        heapq.heappush(self._scheduled, timer)
        return timer


async def _run_in_same_thread(function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Replace `asyncio.to_thread`, since a real thread would end at an unpredictable time."""
    return function(*args, **kwargs)


@contextlib.contextmanager
def simulated_time(seed: int) -> Iterator[tuple[Loop, random.Random]]:
    """Yield a loop and a random generator; patch the clocks and random sources to be simulated."""
    loop = Loop()
    rng = random.Random(seed)
    program_rng = random.Random(f"program/{seed}")
    clocks = SimpleNamespace(
        monotonic=lambda: MONOTONIC_START_S + loop.elapsed_s,
        time=lambda: _WALL_START_S + loop.elapsed_s,
    )
    saved_state = random.getstate()
    random.seed(f"module/{seed}")
    try:
        with (
            mock.patch.object(types, "time", clocks),
            mock.patch.object(
                secrets, "token_hex", lambda n: f"{program_rng.getrandbits(8 * n):0{2 * n}x}"
            ),
            mock.patch.object(asyncio, "to_thread", _run_in_same_thread),
        ):
            yield loop, rng
    finally:
        random.setstate(saved_state)
        loop.close()
