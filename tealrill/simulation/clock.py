"""Simulated time: an event loop that never waits, and the clocks that processes read."""

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
"""The monotonic clock at the beginning, in seconds."""
_WALL_AT = 1_700_000_000.0


class _Selector(selectors.SelectSelector):
    """Advances simulated time where the loop would wait."""

    loop: Loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the files that are ready, or advance the time by `timeout` seconds."""
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing is left that could happen")
            self.loop.passed += max(0.0, timeout)
        return found


class NumberedTask(asyncio.Task[Any]):
    """A task whose hash is its number within the day.

    Task groups cancel their tasks in the order of a set. With hashes made from memory addresses the
    same seed gave other days from run to run.
    """

    def __init__(self, work: Coroutine[Any, Any, Any], *, loop: Loop, **more: Any) -> None:
        self._number = next(loop.task_numbers)
        super().__init__(work, loop=loop, **more)

    def __hash__(self) -> int:
        return self._number


class NumberedTimer(asyncio.TimerHandle):
    """A timer that fires after those set before it for the same moment.

    The loop's heap alone leaves open which of them goes first. That hung on cancelled timers, which
    leave the heap when garbage is collected.
    """

    def __init__(self, number: int, *details: Any) -> None:
        super().__init__(*details)
        self._scheduled = False
        self._key = self.when(), number

    def __lt__(self, other: object) -> bool:
        return isinstance(other, NumberedTimer) and self._key < other._key


class Loop(asyncio.SelectorEventLoop):
    """An event loop that runs what is due, then jumps to the moment of what is due next."""

    def __init__(self) -> None:
        self.passed = 0.0
        self.task_numbers = itertools.count()
        self.timer_numbers = itertools.count()
        self._scheduled: list[NumberedTimer]
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the simulated time in seconds since the loop was made."""
        return self.passed

    def call_at(  # type: ignore[override]  # typeshed ties the arguments to the callback
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Set a timer, as the base class does, with a total order of the timers."""
        timer = NumberedTimer(next(self.timer_numbers), when, callback, args, self, context)
        timer._scheduled = True
        heapq.heappush(self._scheduled, timer)
        return timer


async def _in_this_thread(function: Callable[..., Any], *args: Any, **more: Any) -> Any:
    """Stand in for `asyncio.to_thread`: a thread's end would come at a moment of chance."""
    return function(*args, **more)


@contextlib.contextmanager
def simulated(seed: int) -> Iterator[tuple[Loop, random.Random]]:
    """Yield a loop and a random generator, which drive the clocks and random numbers in use."""
    loop = Loop()
    rng = random.Random(seed)
    own = random.Random(f"program/{seed}")
    clocks = SimpleNamespace(
        monotonic=lambda: MONOTONIC_START_S + loop.passed, time=lambda: _WALL_AT + loop.passed
    )
    before = random.getstate()
    random.seed(f"module/{seed}")
    try:
        with (
            mock.patch.object(types, "time", clocks),
            mock.patch.object(
                secrets, "token_hex", lambda n: f"{own.getrandbits(8 * n):0{2 * n}x}"
            ),
            mock.patch.object(asyncio, "to_thread", _in_this_thread),
        ):
            yield loop, rng
    finally:
        random.setstate(before)
        loop.close()
