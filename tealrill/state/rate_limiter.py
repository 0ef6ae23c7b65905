"""Token bucket that keeps a node within its share of a rate limit.

Requests that have to wait are queued by priority, and a single timer wakes each one when its tokens
are available. If every waiter polled the bucket itself, a few thousand waiting requests would take
nearly half of a controller's processor time, and their order would be random: a renewal of the
leader's lease could wait behind polls of job states.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from tealrill.types import Monotonic, monotonic_now


class RequestPriority(IntEnum):
    """Order in which waiting requests are served."""

    HIGH = 0
    """Leases, elections, the job store, accepted submissions and cancellations."""
    NORMAL = 1
    """Polls of job states: their number is unbounded, and each may be repeated."""
    LOW = 2
    """Background requests, which leave a part of the bucket to the others."""


@dataclass(slots=True, eq=False)
class _Waiter:
    amount: float
    granted: asyncio.Future[None]


class RateLimiter:
    """A token bucket with a capacity of `capacity` tokens, by default those of one second."""

    _RESERVED_SHARE = 0.4
    """Share of a full bucket that the lowest priority does not use."""

    def __init__(self, rate: float, capacity: float | None = None) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = self.burst
        self._refilled_at: Monotonic = monotonic_now()
        self._queues: dict[RequestPriority, deque[_Waiter]] = {
            priority: deque() for priority in RequestPriority
        }
        self._timer: asyncio.TimerHandle | None = None

    def set_rate(self, rate: float) -> None:
        """Set the rate in tokens per second; tokens beyond the new burst size are dropped."""
        self._refill()
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    @property
    def burst(self) -> float:
        """Number of tokens in a full bucket."""
        return max(1.0, self._capacity if self._capacity is not None else self._rate)

    def available(self, priority: RequestPriority = RequestPriority.HIGH) -> float:
        """Return the number of tokens that a request of this priority may take now."""
        self._refill()
        return self._tokens - self._reserved_from(priority)

    def consume(self, amount: float) -> None:
        """Take tokens without waiting; the caller has checked `available`."""
        self._tokens -= amount

    def estimated_wait_s(self, priority: RequestPriority) -> float:
        """Estimate how long a new request of this priority would wait, in seconds."""
        ahead = sum(len(queue) for other, queue in self._queues.items() if other <= priority)
        return max(0.0, (ahead + 1 - self.available(priority)) / self._rate)

    async def acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> None:
        """Wait for `amount` tokens and take them; more than the burst size needs a full bucket."""
        if not any(queue for other, queue in self._queues.items() if other <= priority) and (
            self.available(priority) >= self._need(amount, priority)
        ):
            self.consume(amount)
            return
        waiter = _Waiter(amount, asyncio.get_running_loop().create_future())
        self._queues[priority].append(waiter)
        self._grant_waiters()
        try:
            await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.cancelled():
                with contextlib.suppress(ValueError):
                    self._queues[priority].remove(waiter)
            else:
                # The tokens were granted just before the waiter was cancelled: put them back.
                self._tokens += amount
            self._grant_waiters()
            raise

    def try_acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> bool:
        """Take `amount` tokens if available now; a full bucket suffices for any amount."""
        if self.available(priority) < self._need(amount, priority):
            return False
        self.consume(amount)
        return True

    def _reserved_from(self, priority: RequestPriority) -> float:
        """Return the number of tokens that this priority must leave in the bucket."""
        return self.burst * self._RESERVED_SHARE if priority is RequestPriority.LOW else 0.0

    def _need(self, amount: float, priority: RequestPriority) -> float:
        # Computed exactly as in `available` for a full bucket: with different rounding the need
        # could exceed what is ever available, and the request would wait forever, retrying every
        # 2 ms.
        return min(amount, self.burst - self._reserved_from(priority))

    def _grant_waiters(self) -> None:
        """Grant tokens to waiters while available, and set the timer for the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for priority, queue in self._queues.items():
            while queue:
                waiter = queue[0]
                missing = self._need(waiter.amount, priority) - self.available(priority)
                if missing > 0:
                    # Waiters of lower priority must not overtake this one.
                    delay_s = max(0.002, missing / self._rate)
                    loop = asyncio.get_running_loop()
                    self._timer = loop.call_later(delay_s, self._grant_waiters)
                    return
                queue.popleft()
                if not waiter.granted.done():
                    self.consume(waiter.amount)
                    waiter.granted.set_result(None)

    def _refill(self) -> None:
        now = monotonic_now()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
