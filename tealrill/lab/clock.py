"""Simulated time: an event loop that never waits, and the clocks that processes read."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import selectors
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any
from unittest import mock

from tealrill import types

STEADY_AT = 1_000.0
_WALL_AT = 1_700_000_000.0


class _Selector(selectors.SelectSelector):
    """Where the loop would wait, time goes on instead."""

    loop: Loop

    def select(self, timeout: float | None = None) -> list[Any]:
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing is left that could happen")
            self.loop.passed += max(0.0, timeout)
        return found


class Loop(asyncio.SelectorEventLoop):
    """Runs what is due, then jumps to what is due next."""

    def __init__(self) -> None:
        self.passed = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.passed


@contextlib.contextmanager
def simulated(seed: int) -> Iterator[tuple[Loop, random.Random]]:
    """A loop, and all clocks and all chance of the program under its rule."""
    loop = Loop()
    rng = random.Random(seed)
    own = random.Random(f"program/{seed}")
    clocks = SimpleNamespace(
        monotonic=lambda: STEADY_AT + loop.passed, time=lambda: _WALL_AT + loop.passed
    )
    before = random.getstate()
    random.seed(f"module/{seed}")
    try:
        with (
            mock.patch.object(types, "time", clocks),
            mock.patch.object(
                secrets, "token_hex", lambda n: f"{own.getrandbits(8 * n):0{2 * n}x}"
            ),
        ):
            yield loop, rng
    finally:
        random.setstate(before)
        loop.close()
