"""Keeps a node within its share of a rate limit."""

from __future__ import annotations

import asyncio

from tealrill.types import Steady, steady_now


class Budget:
    """A token bucket that holds one second's worth, or `depth`.

    Work that can wait leaves a part of the bucket alone, so that what users wait for goes first.
    """

    _KEPT_FOR_URGENT = 0.4

    def __init__(self, rate: float, depth: float | None = None) -> None:
        self._rate = rate
        self._depth = depth
        self._tokens = self.burst
        self._at: Steady = steady_now()

    def set_rate(self, rate: float) -> None:
        self._refill()
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    @property
    def burst(self) -> float:
        return max(1.0, self._depth if self._depth is not None else self._rate)

    def available(self, urgent: bool = True) -> float:
        self._refill()
        return self._tokens if urgent else self._tokens - self.burst * self._KEPT_FOR_URGENT

    def spend(self, amount: float) -> None:
        """Takes tokens that `available` has shown."""
        self._tokens -= amount

    async def take(self, amount: float = 1.0, urgent: bool = True) -> None:
        """Waits until `amount` is there; an amount above the burst waits for a full bucket."""
        while True:
            have = self.available(urgent)
            need = min(amount, self.burst * (1.0 if urgent else 1 - self._KEPT_FOR_URGENT))
            if have >= need:
                self.spend(amount)
                return
            await asyncio.sleep(max(0.005, (need - have) / self._rate))

    def take_now(self, amount: float = 1.0, urgent: bool = True) -> bool:
        """Takes tokens if they are there at this moment; a full bucket has enough for anything."""
        need = min(amount, self.burst * (1.0 if urgent else 1 - self._KEPT_FOR_URGENT))
        if self.available(urgent) < need:
            return False
        self.spend(amount)
        return True

    def _refill(self) -> None:
        now = steady_now()
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
