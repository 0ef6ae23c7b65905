"""The loops of a term: scheduling passes and checks for machines whose lease has expired."""

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

_MAX_PASS_INTERVAL_S: Final = 2.0
_MIN_PASS_GAP_S: Final = 0.1
"""Events within this time of each other share a pass."""
_MAX_PASS_SHARE: Final = 0.25
"""Maximum share of the time spent on passes, unless a pass takes so long that the gap is capped."""
_EXPIRY_CHECK_INTERVAL_S: Final = 0.5


def pass_gap_s(took_s: float) -> float:
    """Return the time between two passes, in seconds, given that the last one took `took_s`.

    The gap grows with the duration of a pass. Otherwise a slow node would do nothing but passes,
    and heartbeats, submissions and the renewal of its lease would wait for them.
    """
    return min(max(_MIN_PASS_GAP_S, took_s * (1 / _MAX_PASS_SHARE - 1)), _MAX_PASS_INTERVAL_S)


class PassLoop:
    """Runs scheduling passes after events, and at regular intervals without any."""

    def __init__(
        self,
        scheduling_loop: SchedulingLoop,
        write_batcher: WriteBatcher,
        wake: asyncio.Event,
        may_begin: Callable[[], bool],
    ) -> None:
        """Run a pass after `wake` is set, if `may_begin` returns True."""
        self._scheduling_loop = scheduling_loop
        self._write_batcher = write_batcher
        self._wake = wake
        self._may_begin = may_begin

    async def run(self) -> None:
        """Run a pass after each wake-up or timeout, until cancelled."""
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
                else _MAX_PASS_INTERVAL_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s - gap_s):
                    await self._wake.wait()


class LeaseExpiryLoop:
    """Expires the leases of machines, and revokes delegations that prevent it."""

    def __init__(
        self,
        fleet: Fleet,
        delegations: Delegations,
        term: FencingToken,
        may_renew_workers: Callable[[Monotonic], bool],
        knowledge: Callable[[], CancellationKnowledge],
    ) -> None:
        """Check for the leader of `term`.

        `may_renew_workers` returns True if workers may be renewed; `knowledge` returns how far
        cancellations are known.
        """
        self._fleet = fleet
        self._delegations = delegations
        self._term = term
        self._may_renew_workers = may_renew_workers
        self._knowledge = knowledge
        self._could_renew_workers = True

    async def run(self) -> None:
        """Check for expired leases at fixed intervals, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_INTERVAL_S)
            try:
                await self._check()
            except StateError as error:
                log.debug("delegations could not be read: error=%s", error)

    def _log_renewal_change(self, now: Monotonic) -> None:
        """Log when worker renewals stop for lack of knowledge of cancellations, or resume."""
        may_renew_workers = self._may_renew_workers(now)
        if may_renew_workers != self._could_renew_workers:
            self._could_renew_workers = may_renew_workers
            knowledge = self._knowledge()
            log.info(
                "worker renewals %s: term=%d cancellations_known_to_revision=%d known_s_ago=%.1f",
                "resumed" if may_renew_workers else "suspended",
                self._term,
                knowledge.revision,
                now - knowledge.at,
            )

    async def _check(self) -> None:
        """Expire the leases of machines, but only once no delegate can have renewed them."""
        now = monotonic_now()
        expired = self._fleet.leases.expired_machines(now)
        # A delegate must not keep a job running whose cancellation has been acknowledged, or may
        # have been acknowledged without this leader's knowledge. Delegations are therefore revoked
        # as soon as a stop is overdue. Waiting until the machine's lease would have expired without
        # delegates is too late: the end of the delegation and then the worker's lease have to
        # expire after that, which left only one second of `cancel_s`.
        self._log_renewal_change(now)
        revoke_delegations = self._fleet.heartbeats.has_overdue_stop(
            now
        ) or not self._may_renew_workers(now)
        if not expired and not revoke_delegations:
            await self._delegations.clear()
            return
        revoke_delegations |= any(
            b.chunk.job.cancelled for m in expired for b in m.bindings.values()
        )
        if not await self._delegations.check_active(now, revoke=revoke_delegations):
            self._fleet.leases.expire_leases(now)
