"""Revocation of a failed leader's lease that repeated outages of the state service keep alive.

After every outage the state service gives all leases their full TTL again. If it is interrupted
every second or two, the lease of a leader that froze, died or was partitioned never expires, and no
other member can be elected. Another member then revokes that lease by its id. This alone makes no
member the leader: the next one is elected as usual, and only once the failed leader certainly
considers itself invalid.

1. The leader has failed: it has not answered this member for `LEADER_FAILURE_S`, the state service
   was interrupted `_MIN_INTERRUPTIONS` times meanwhile, and a majority of all members finds the
   same.
2. One transaction excludes all members but the leader from elections, this one included. It
   requires that the leader's key is unchanged and that this member was not excluded before. From
   then on this member grants that leader no lease extension.
3. The lease is revoked; the request is repeated until it is answered.
4. After the longest validity that the leader's last renewal can have given it, and after this
   member's own grants have expired, this member deletes its own exclusion record, provided that the
   record is still the one it wrote and that no leader was elected. It is then elected and readmits
   the other members.

If the revoking process ends in between, all members stay excluded and readmit themselves after
`READMISSION_DELAY_S` without a leader, as after any exclusion. A leader that finds such a record
against its own term steps down, since its lease may be revoked at any later moment. docs/design.md
has the argument.
"""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from tealrill import wire
from tealrill.http import peer_clients
from tealrill.leadership.election import LEASE_TTL_S, TERM_KEY, Election, KnownLeader, exclusion_key
from tealrill.leadership.exclusion import ExclusionRecord
from tealrill.leadership.lease_extension import Presence, ask_presence
from tealrill.settings import Settings
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    StateClient,
    StateError,
)
from tealrill.state.fencing import LEADER_KEY
from tealrill.types import (
    ABSENT,
    CLOCK_DRIFT,
    FencingToken,
    LeaseId,
    Monotonic,
    Revision,
    monotonic_now,
)

log = logging.getLogger(__name__)

LEADER_FAILURE_S: Final = 6.0
"""Time without an answer after which a leader may count as failed; longer than a usual restart."""
_MIN_INTERRUPTIONS: Final = 3
"""With fewer interruptions the lease expires by itself, however long a single outage lasts."""
_STEP_INTERVAL_S: Final = 0.25
_COMMIT_TIMEOUT_S: Final = 0.5
"""Short, because waiting for a lost answer would use up the time between two outages."""
_VALIDITY_MARGIN_S: Final = 0.2


@dataclass(slots=True)
class _Attempt:
    """The revocation of one leader's lease."""

    leader: KnownLeader
    lease: LeaseId
    term_mod_revision: Revision
    exclusion_mod_revision: Revision
    """Revision of this member's own exclusion record."""
    leader_invalid_at: Monotonic = Monotonic(math.inf)
    """When the failed leader is certainly invalid; infinite until its lease is revoked."""


class LeaseRevocation:
    """One member's part in finding the leader failed and revoking its lease."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        election: Election,
        leader_unreachable_since: Callable[[], Monotonic | None],
        now: Callable[[], Monotonic] = monotonic_now,
    ) -> None:
        self._client = client
        self._election = election
        self._leader_unreachable_since = leader_unreachable_since
        """Returns since when the known leader has not answered this member; None if it does."""
        self._now = now
        self._host = settings.host_name
        self._peers = peer_clients(settings)
        self._max_changes = settings.params.state.txn_ops
        self._suspected: KnownLeader | None = None
        self._interruptions_before = 0
        self._attempt: _Attempt | None = None
        self._mark: tuple[KnownLeader, str] | None = None

    async def run(self) -> None:
        """Revoke the lease of a failed leader whenever a majority agrees that it has failed."""
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            try:
                await self.step()
            except StateError as error:
                log.debug("lease revocation step failed: error=%s", error)

    @property
    def lost_term(self) -> FencingToken | None:
        """The term whose leader this member considers failed; None if it does not."""
        leader, since = self._election.known_leader, self._leader_unreachable_since()
        if leader is None or since is None or self._election.leadership is not None:
            self._suspected = None
            return None
        if leader != self._suspected:
            self._suspected = leader
            self._interruptions_before = self._client.interruptions
        interruptions = self._client.interruptions - self._interruptions_before
        has_failed = self._now() - since >= LEADER_FAILURE_S and interruptions >= _MIN_INTERRUPTIONS
        return leader.term if has_failed else None

    async def step(self) -> None:
        """Take the next step. Raises `StateError` if the step must be repeated."""
        attempt = self._attempt
        if attempt is not None and self._is_obsolete(attempt):
            self._finish("another leader was elected")
        elif attempt is None:
            leader = self._election.known_leader
            if self.lost_term is None or leader is None:
                # An attempt with an unknown outcome is abandoned: it has revoked no lease.
                self._election.revoking_term = None
                if self._suspected is not None:
                    # An extra request, so that outages between this member's other requests count.
                    await self._client.get(LEADER_KEY)
            elif await self._has_majority(leader):
                await self._exclude_members(leader)
        elif attempt.leader_invalid_at == math.inf:
            await self._revoke_lease(attempt)
        elif self._now() >= max(attempt.leader_invalid_at, self._election.grants_expire_at):
            await self._readmit_itself(attempt)

    def _is_obsolete(self, attempt: _Attempt) -> bool:
        known_leader = self._election.known_leader
        return self._election.leadership is not None or (
            known_leader is not None and known_leader != attempt.leader
        )

    def _finish(self, reason: str) -> None:
        log.info("lease revocation finished: reason=%s", reason)
        self._attempt = None
        self._election.revoking_term = None

    async def _has_majority(self, leader: KnownLeader) -> bool:
        """Return True if a majority of all members, the leader included, finds it failed."""
        others = [peer for host, peer in self._peers.items() if host != leader.host]
        presences: list[Presence | None] = await asyncio.gather(*map(ask_presence, others))
        agreeing = sum(
            presence is not None and presence.lost_term == leader.term for presence in presences
        )
        return agreeing + 1 > (len(self._peers) + 1) // 2

    # -- the steps --------------------------------------------------------------------------------

    async def _exclude_members(self, leader: KnownLeader) -> None:
        entry = await self._client.get(LEADER_KEY)
        term = await self._client.get(TERM_KEY)
        hosts = [self._host, *(host for host in self._peers if host != leader.host)]
        if (
            entry is None
            or entry.version != leader.mod_revision
            or entry.lease is None
            or not _is_revocable(entry)
            or term is None
            or len(hosts) > self._max_changes
        ):
            return
        # Set before the transaction is sent: a grant after it could extend the leader's term.
        self._election.revoking_term = leader.term
        mark = self._mark_for(leader)
        record = wire.to_builtins(ExclusionRecord(leader.term, ends_term=leader.term, mark=mark))
        guards = [
            wire.guard(LEADER_KEY, leader.mod_revision),
            wire.guard(TERM_KEY, term.version),
            # A member excluded before may have been excluded by this leader, which then extends its
            # term without that member's grant.
            wire.guard(exclusion_key(self._host), ABSENT),
        ]
        changes = [wire.put(exclusion_key(host), record) for host in hosts]
        try:
            result = await self._client.commit(guards, changes, timeout_s=_COMMIT_TIMEOUT_S)
        except OutcomeUnknownError:
            result = None
        if isinstance(result, Committed):
            revision: Revision | None = result.revision
        else:
            # This transaction, or an earlier one with an unknown outcome, may have been committed.
            revision = await self._read_back(mark)
        if revision is None:
            self._finish(f"exclusion of term {leader.term} not committed")
            return
        lease = LeaseId(entry.lease)
        self._attempt = _Attempt(leader, lease, Revision(term.version), revision)
        log.warning(
            "revoking the lease of a failed leader: term=%d host=%s", leader.term, leader.host
        )

    def _mark_for(self, leader: KnownLeader) -> str:
        """Return the mark of this member's records against `leader`, the same for all attempts."""
        if self._mark is None or self._mark[0] != leader:
            self._mark = (leader, secrets.token_hex(8))
        return self._mark[1]

    async def _read_back(self, mark: str) -> Revision | None:
        """Return the revision of this member's exclusion record if it has that mark, else None."""
        entry = await self._client.get(exclusion_key(self._host))
        if entry is None or not isinstance(entry.value, dict) or entry.value.get("mark") != mark:
            return None
        return Revision(entry.version)

    async def _revoke_lease(self, attempt: _Attempt) -> None:
        await self._client.end_lease(attempt.lease)
        # The leader's last successful renewal was executed before this answer.
        attempt.leader_invalid_at = Monotonic(
            self._now() + LEASE_TTL_S * CLOCK_DRIFT + _VALIDITY_MARGIN_S
        )
        log.info(
            "lease revoked: term=%d host=%s no_election_s=%.1f",
            attempt.leader.term,
            attempt.leader.host,
            attempt.leader_invalid_at - self._now(),
        )

    async def _readmit_itself(self, attempt: _Attempt) -> None:
        own = exclusion_key(self._host)
        guards = [
            wire.guard(LEADER_KEY, ABSENT),
            wire.guard(TERM_KEY, attempt.term_mod_revision),
            # If the leader has rewritten the record, it may have extended its term relying on it.
            wire.guard(own, attempt.exclusion_mod_revision),
        ]
        # Before the commit, whose outcome may stay unknown: the campaign's guards decide then.
        self._election.campaign_without_delay()
        result = await self._client.commit(guards, [wire.delete(own)], timeout_s=_COMMIT_TIMEOUT_S)
        if isinstance(result, GuardsFailed):
            self._finish(f"keys changed by other members: {', '.join(result.keys)}")
        else:
            self._finish("lease revoked, this member campaigns")
            self._election.campaign_without_delay()


def _is_revocable(entry: wire.KeyValue) -> bool:
    """Return True if the leader steps down on finding an exclusion against its own term."""
    return isinstance(entry.value, dict) and entry.value.get("revocable") is True
