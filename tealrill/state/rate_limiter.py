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

    HIGH = 0
    """What others wait for: leases, elections, the job store, acceptances and cancellations."""
    NORMAL = 1
    """Polls. There may be any number of them, and each may be repeated."""
    LOW = 2
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
            priority: deque() for priority in RequestPriority
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

    def available(self, priority: RequestPriority = RequestPriority.HIGH) -> float:
        """Return the tokens that one of this priority may take now."""
        self._refill()
        return self._tokens - self._kept_from(priority)

    def consume(self, amount: float) -> None:
        """Take tokens that `available` has shown."""
        self._tokens -= amount

    def wait_s(self, priority: RequestPriority) -> float:
        """Estimate how long one who comes now waits behind those before it, in seconds."""
        ahead = sum(len(queue) for of, queue in self._queues.items() if of <= priority)
        return max(0.0, (ahead + 1 - self.available(priority)) / self._rate)

    async def acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> None:
        """Wait until `amount` is there; an amount above the burst waits for a full bucket."""
        if not any(queue for of, queue in self._queues.items() if of <= priority) and (
            self.available(priority) >= self._need(amount, priority)
        ):
            self.consume(amount)
            return
        waiter = _Waiter(amount, asyncio.get_running_loop().create_future())
        self._queues[priority].append(waiter)
        self._serve()
        try:
            await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.cancelled():
                with contextlib.suppress(ValueError):
                    self._queues[priority].remove(waiter)
            else:
                # Its tokens came in the moment in which nobody wanted it any more.
                self._tokens += amount
            self._serve()
            raise

    def try_acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> bool:
        """Take tokens if they are there at this moment; a full bucket has enough for anything."""
        if self.available(priority) < self._need(amount, priority):
            return False
        self.consume(amount)
        return True

    def _kept_from(self, priority: RequestPriority) -> float:
        """Return the part of a full bucket that this priority leaves alone."""
        return self.burst * self._KEPT_FOR_URGENT if priority is RequestPriority.LOW else 0.0

    def _need(self, amount: float, priority: RequestPriority) -> float:
        # The very difference that `available` has with a full bucket: rounded otherwise it was
        # never reached, and who needed it waited for ever, looking every 2 ms.
        return min(amount, self.burst - self._kept_from(priority))

    def _serve(self) -> None:
        """Let go all whose tokens are there, and set the timer for the next."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for priority, queue in self._queues.items():
            while queue:
                waiter = queue[0]
                short = self._need(waiter.amount, priority) - self.available(priority)
                if short > 0:
                    # Nobody of a lower rank goes before it.
                    delay_s = max(0.002, short / self._rate)
                    loop = asyncio.get_running_loop()
                    self._timer = loop.call_later(delay_s, self._serve)
                    return
                queue.popleft()
                if not waiter.granted.done():
                    self.consume(waiter.amount)
                    waiter.granted.set_result(None)

    def _refill(self) -> None:
        now = monotonic_now()
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
