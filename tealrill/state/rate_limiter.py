"""Token bucket that keeps a node within its share of a rate limit.

Whoever has to wait stands in one queue and is woken when its tokens are there, by one timer. (Each
waiter once slept by itself and looked again every few milliseconds. With some thousand polls
waiting in a surge, looking took nearly half of a controller's time, and who went first was chance:
a renewal of the leader's lease waited among the polls.)
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from tealrill.types import Monotonic, monotonic_now


class RequestPriority(IntEnum):
    """Who goes first when there is not enough for all."""

    FIRST = 0
    """What others wait for: leases, elections, the job store, acceptances and cancellations."""
    USERS = 1
    """Polls. There may be any number of them, and each may be repeated."""
    LATER = 2
    """What can wait: it leaves a part of the bucket alone."""


@dataclass(slots=True, eq=False)
class _Waiter:
    amount: float
    granted: asyncio.Future[None]


class RateLimiter:
    """A token bucket that holds one second's worth, or `depth`."""

    _KEPT_FOR_URGENT = 0.4

    def __init__(self, rate: float, depth: float | None = None) -> None:
        self._rate = rate
        self._depth = depth
        self._tokens = self.burst
        self._at: Monotonic = monotonic_now()
        self._queues: dict[RequestPriority, deque[_Waiter]] = {
            rank: deque() for rank in RequestPriority
        }
        self._timer: asyncio.TimerHandle | None = None

    def set_rate(self, rate: float) -> None:
        """Set the tokens per second; what is there beyond the new burst is lost."""
        self._refill()
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    @property
    def burst(self) -> float:
        """Tokens of a full bucket."""
        return max(1.0, self._depth if self._depth is not None else self._rate)

    def available(self, rank: RequestPriority = RequestPriority.FIRST) -> float:
        """Return the tokens that one of this priority may take now."""
        self._refill()
        return self._tokens - self._kept_from(rank)

    def spend(self, amount: float) -> None:
        """Take tokens that `available` has shown."""
        self._tokens -= amount

    def wait_s(self, rank: RequestPriority) -> float:
        """Estimate how long one who comes now waits behind those before it, in seconds."""
        ahead = sum(len(queue) for of, queue in self._queues.items() if of <= rank)
        return max(0.0, (ahead + 1 - self.available(rank)) / self._rate)

    async def take(
        self, amount: float = 1.0, rank: RequestPriority = RequestPriority.FIRST
    ) -> None:
        """Wait until `amount` is there; an amount above the burst waits for a full bucket."""
        if not any(queue for of, queue in self._queues.items() if of <= rank) and (
            self.available(rank) >= self._need(amount, rank)
        ):
            self.spend(amount)
            return
        waiter = _Waiter(amount, asyncio.get_running_loop().create_future())
        self._queues[rank].append(waiter)
        self._serve()
        try:
            await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.cancelled():
                with contextlib.suppress(ValueError):
                    self._queues[rank].remove(waiter)
            else:
                # Its tokens came in the moment in which nobody wanted it any more.
                self._tokens += amount
            self._serve()
            raise

    def take_now(self, amount: float = 1.0, rank: RequestPriority = RequestPriority.FIRST) -> bool:
        """Take tokens if they are there at this moment; a full bucket has enough for anything."""
        if self.available(rank) < self._need(amount, rank):
            return False
        self.spend(amount)
        return True

    def _kept_from(self, rank: RequestPriority) -> float:
        """Return the part of a full bucket that this priority leaves alone."""
        return self.burst * self._KEPT_FOR_URGENT if rank is RequestPriority.LATER else 0.0

    def _need(self, amount: float, rank: RequestPriority) -> float:
        # The very difference that `available` has with a full bucket: rounded otherwise it was
        # never reached, and who needed it waited for ever, looking every 2 ms.
        return min(amount, self.burst - self._kept_from(rank))

    def _serve(self) -> None:
        """Let go all whose tokens are there, and set the timer for the next."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for rank, queue in self._queues.items():
            while queue:
                waiter = queue[0]
                short = self._need(waiter.amount, rank) - self.available(rank)
                if short > 0:
                    # Nobody of a lower rank goes before it.
                    delay_s = max(0.002, short / self._rate)
                    loop = asyncio.get_running_loop()
                    self._timer = loop.call_later(delay_s, self._serve)
                    return
                queue.popleft()
                if not waiter.granted.done():
                    self.spend(waiter.amount)
                    waiter.granted.set_result(None)

    def _refill(self) -> None:
        now = monotonic_now()
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
