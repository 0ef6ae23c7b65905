"""The loops of a term: scheduling passes and checks for expired leases of machines."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final

from tealrill.fleet.autoscaling import RENT_INTERVAL_S
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.inventory import Fleet
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.leadership.renewal_delegation import Delegations
from tealrill.state.client import StateError
from tealrill.state.write_batcher import WriteBatcher
from tealrill.types import FencingToken, Monotonic, monotonic_now, wall_now

log = logging.getLogger(__name__)

_PASS_EVERY_S: Final = 2.0
_PASS_GAP_S: Final = 0.1
"""Events closer together than this share a pass."""
_PASS_SHARE: Final = 0.25
"""Passes take no more than this part of the time, as long as one takes less than a second."""
_SILENCE_EVERY_S: Final = 0.5


def pass_gap_s(took_s: float) -> float:
    """Return how long events gather before the next pass, in seconds.

    A node that computes slowly would otherwise do nothing but passes, and workers, submissions and
    the renewal of its lease would wait for them.
    """
    return min(max(_PASS_GAP_S, took_s * (1 / _PASS_SHARE - 1)), _PASS_EVERY_S)


class PassLoop:
    """Runs scheduling passes when something happened, and now and then without."""

    def __init__(
        self,
        scheduling_loop: SchedulingLoop,
        write_batcher: WriteBatcher,
        wake: asyncio.Event,
        may_begin: Callable[[], bool],
    ) -> None:
        """Run a pass after `wake` is set, if `may_begin` allows to begin something new."""
        self._scheduling_loop = scheduling_loop
        self._write_batcher = write_batcher
        self._wake = wake
        self._may_begin = may_begin

    async def run(self) -> None:
        """Run a pass after each wake-up, and after a pause at the latest, for ever."""
        while True:
            self._wake.clear()
            began = monotonic_now()
            if self._may_begin():
                self._scheduling_loop.run(began, wall_now())
                self._write_batcher.wake()
            gap_s = pass_gap_s(monotonic_now() - began)
            await asyncio.sleep(gap_s)
            pause_s = (
                RENT_INTERVAL_S
                if self._scheduling_loop.autoscaler.rental_deferred
                else _PASS_EVERY_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s - gap_s):
                    await self._wake.wait()


class LeaseExpiryLoop:
    """Looks for machines whose lease has expired, and ends delegations that stand in the way."""

    def __init__(
        self,
        fleet: Fleet,
        delegations: Delegations,
        term: FencingToken,
        may_renew_workers: Callable[[Monotonic], bool],
        known: Callable[[], CancellationKnowledge],
    ) -> None:
        """Check for the leader of `term`.

        `may_renew_workers` says whether workers may be renewed, `known` what is known of
        cancellations.
        """
        self._fleet = fleet
        self._delegations = delegations
        self._term = term
        self._informed = may_renew_workers
        self._known = known
        self._was_informed = True

    async def run(self) -> None:
        """Check for expired leases at fixed intervals, for ever."""
        while True:
            await asyncio.sleep(_SILENCE_EVERY_S)
            try:
                await self._check()
            except StateError as error:
                log.debug("looking for delegates: %s", error)

    def _log_knowledge(self, now: Monotonic) -> None:
        """Log when workers are not renewed any more for want of knowledge, and when they are."""
        may_renew_workers = self._informed(now)
        if may_renew_workers != self._was_informed:
            self._was_informed = may_renew_workers
            known = self._known()
            log.info(
                "term %d: %s workers; cancellations are known up to revision %d, %.1f s ago",
                self._term,
                "renews" if may_renew_workers else "does not renew",
                known.revision,
                now - known.at,
            )

    async def _check(self) -> None:
        """Expire machines' leases only once no other node can have renewed them."""
        now = monotonic_now()
        silent = self._fleet.leases.expired_machines(now)
        # What its user was told is cancelled must not be kept running by a delegate, nor what this
        # leader may not know of. Once its machine's lease would have expired without
        # delegates is too late: the delegation's end and the worker's lease come after it, and left
        # a second of `cancel_s`.
        self._log_knowledge(now)
        has_overdue_stop = self._fleet.heartbeats.has_overdue_stop(now) or not self._informed(now)
        if not silent and not has_overdue_stop:
            await self._delegations.clear()
            return
        has_overdue_stop |= any(b.chunk.job.cancelled for m in silent for b in m.bindings.values())
        if not await self._delegations.check_active(now, revoke=has_overdue_stop):
            self._fleet.leases.expire_leases(now)
