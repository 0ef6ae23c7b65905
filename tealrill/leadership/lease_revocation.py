"""Ending the lease of a leader that is lost, where outages of the state service keep it alive.

After every outage all leases have their full time again. A service that goes away every second or
two therefore never lets the lease of a leader end that froze, died or was cut off, and nobody is
elected. One of the others then ends that lease by its id. Nothing is taken over by that: the next
leader is elected as always, and only once the former one certainly counts itself valid no more.

1. The leader is lost: it has not answered this member for `LOST_S` while the state service went
   away `_LEAST_INTERRUPTIONS` times, and a majority of all members finds the same.
2. In one transaction, which requires the leader's key as it was and this member not to be excluded,
   all members but the leader are excluded from elections, this one too. It promises nothing to that
   leader any more.
3. The lease is ended, again and again until that is answered.
4. After the longest validity that the leader's last renewal can have given it, and after this
   member's own promises, it removes its own exclusion if that is still the one it wrote and nobody
   was elected. It is elected then, and lets the others in.

A process that ends in between leaves all excluded, who let themselves in after `READMISSION_S`
without a leader, as always. A leader that finds such a record written against its own term steps
down: its lease may be ended at any later moment. docs/design.md has the argument.
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

LOST_S: Final = 6.0
"""Longer than a process takes to be back, as a rule."""
_LEAST_INTERRUPTIONS: Final = 3
"""A single outage, however long, leaves the lease its ordinary end."""
_EVERY_S: Final = 0.25
_COMMIT_TIMEOUT_S: Final = 0.5
"""An answer that is lost must not cost the whole time for which the state service is back."""
_MARGIN_S: Final = 0.2


@dataclass(slots=True)
class _Attempt:
    """One leader's lease that is being ended."""

    leader: KnownLeader
    lease: LeaseId
    term_version: Revision
    exclusion: Revision
    """The version of this member's own record."""
    may_stand_at: Monotonic = Monotonic(math.inf)
    """From then on the former leader is certainly not valid; known once its lease has ended."""


class LeaseRevocation:
    """One member's part."""

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
        self._unheard_since = leader_unreachable_since
        """Since when the known leader has not answered this member; None if it does."""
        self._now = now
        self._host = settings.host_name
        self._peers = peer_clients(settings)
        self._most_changes = settings.params.state.txn_ops
        self._suspected: KnownLeader | None = None
        self._interruptions_before = 0
        self._attempt: _Attempt | None = None
        self._mark: tuple[KnownLeader, str] | None = None

    async def run(self) -> None:
        """End the lease of a lost leader whenever a majority agrees that it is lost."""
        while True:
            await asyncio.sleep(_EVERY_S)
            try:
                await self.turn()
            except StateError as error:
                log.debug("lost leader's lease not ended yet: error=%s", error)

    @property
    def lost_term(self) -> FencingToken | None:
        """The term whose leader this member finds lost."""
        leader, since = self._election.known_leader, self._unheard_since()
        if leader is None or since is None or self._election.leadership is not None:
            self._suspected = None
            return None
        if leader != self._suspected:
            self._suspected = leader
            self._interruptions_before = self._client.interruptions
        interruptions = self._client.interruptions - self._interruptions_before
        lost = self._now() - since >= LOST_S and interruptions >= _LEAST_INTERRUPTIONS
        return leader.term if lost else None

    async def turn(self) -> None:
        """One step. Raises `StateError` where it has to be tried again."""
        attempt = self._attempt
        if attempt is not None and self._is_over(attempt):
            self._give_up("somebody leads")
        elif attempt is None:
            leader = self._election.known_leader
            if self.lost_term is None or leader is None:
                # A try that brought no answer is over: nothing was ended by it.
                self._election.revoking = None
                if self._suspected is not None:
                    # An outage between two requests of this member would not be noticed.
                    await self._client.get(LEADER_KEY)
            elif await self._agreed(leader):
                await self._exclude_members(leader)
        elif attempt.may_stand_at == math.inf:
            await self._end_lease(attempt)
        elif self._now() >= max(attempt.may_stand_at, self._election.promised_until):
            await self._readmit_itself(attempt)

    def _is_over(self, attempt: _Attempt) -> bool:
        known_leader = self._election.known_leader
        return self._election.leadership is not None or (
            known_leader is not None and known_leader != attempt.leader
        )

    def _give_up(self, why: str) -> None:
        log.info("the lost leader's lease: %s", why)
        self._attempt = None
        self._election.revoking = None

    async def _agreed(self, leader: KnownLeader) -> bool:
        """Whether a majority of all members, the leader counted among them, finds it lost."""
        others = [peer for host, peer in self._peers.items() if host != leader.host]
        found: list[Presence | None] = await asyncio.gather(*map(ask_presence, others))
        agreeing = sum(one is not None and one.lost_term == leader.term for one in found)
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
            or len(hosts) > self._most_changes
        ):
            return
        # Before the transaction leaves: a promise given after it could prolong the leader's term.
        self._election.revoking = leader.term
        mark = self._mark_for(leader)
        record = wire.plain(ExclusionRecord(leader.term, ends_term=leader.term, mark=mark))
        guards = [
            wire.guard(LEADER_KEY, leader.mod_revision),
            wire.guard(TERM_KEY, term.version),
            # A member that is excluded already was perhaps excluded by this leader, which then
            # goes on without its promise.
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
            # This try, or one before it that brought no answer, may have been carried out.
            revision = await self._read_back(mark)
        if revision is None:
            self._give_up(f"term {leader.term}: not ended by this member")
            return
        lease = LeaseId(entry.lease)
        self._attempt = _Attempt(leader, lease, Revision(term.version), revision)
        log.warning(
            "term %d: %s is lost and outages keep its lease: it is ended", leader.term, leader.host
        )

    def _mark_for(self, leader: KnownLeader) -> str:
        """The same for each try against one leader."""
        if self._mark is None or self._mark[0] != leader:
            self._mark = (leader, secrets.token_hex(8))
        return self._mark[1]

    async def _read_back(self, mark: str) -> Revision | None:
        """After no answer: the version of this member's record if it was written just now."""
        entry = await self._client.get(exclusion_key(self._host))
        if entry is None or not isinstance(entry.value, dict) or entry.value.get("mark") != mark:
            return None
        return Revision(entry.version)

    async def _end_lease(self, attempt: _Attempt) -> None:
        await self._client.end_lease(attempt.lease)
        # It was renewed for the last time before this answer.
        attempt.may_stand_at = Monotonic(self._now() + LEASE_TTL_S * CLOCK_DRIFT + _MARGIN_S)
        log.info(
            "term %d: the lease of %s is ended, nobody leads for %.1f s",
            attempt.leader.term,
            attempt.leader.host,
            attempt.may_stand_at - self._now(),
        )

    async def _readmit_itself(self, attempt: _Attempt) -> None:
        own = exclusion_key(self._host)
        guards = [
            wire.guard(LEADER_KEY, ABSENT),
            wire.guard(TERM_KEY, attempt.term_version),
            # Written anew by the leader, it is one by which that may have gone on.
            wire.guard(own, attempt.exclusion),
        ]
        # Without an answer it may have been carried out: the election's own guard tells.
        self._election.stand_first()
        result = await self._client.commit(guards, [wire.delete(own)], timeout_s=_COMMIT_TIMEOUT_S)
        if isinstance(result, GuardsFailed):
            self._give_up(f"changed by others: {', '.join(result.keys)}")
        else:
            self._give_up("it has ended, and this member may stand")
            self._election.stand_first()


def _is_revocable(entry: wire.KeyValue) -> bool:
    """Whether its holder knows what a record against its own term means."""
    return isinstance(entry.value, dict) and entry.value.get("revocable") is True
