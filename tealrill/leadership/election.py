"""Leader election and renewal of the leader's lease.

The key `leader` is attached to a lease, the value of the key `term` only increases, and one
transaction sets both. A term is a range of the fencing tokens that workers see: its number is the
lowest, and the key `term` has the highest that any term has owned. A leader considers its lease
valid for the lease's TTL, counted from the moment it *sent* the last successful renewal and reduced
by the largest drift between two steady clocks. After that it sends nothing to workers until a
renewal succeeds.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import secrets
from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

import msgspec

from tealrill import wire
from tealrill.change_log import ChangeLog
from tealrill.leadership.leader_record import (
    Candidate,
    LeaderRecord,
    UnconfirmedCampaign,
    names_its_writer,
)
from tealrill.state.client import (
    Committed,
    OutcomeUnknownError,
    StateClient,
    StateError,
    StateUnavailableError,
    TransactionRejectedError,
)
from tealrill.state.fencing import LEADER_KEY, Leadership
from tealrill.types import (
    ABSENT,
    CLOCK_DRIFT,
    FencingToken,
    LeaseId,
    Monotonic,
    Revision,
    Wall,
    last_token_of,
    lower_bound_deadline,
    monotonic_now,
    wall_now,
)

log = logging.getLogger(__name__)

TERM_KEY: Final = "term"
EXCLUSION_PREFIX: Final = "out/"
"""Prefix of the keys of members excluded from elections (`leadership/exclusion.py`)."""
READMISSION_DELAY_S: Final = 15.0
"""How long an excluded member must observe that there is no leader before it readmits itself."""
LEASE_TTL_S: Final = 3.0
_LEASE_MARGIN_S: Final = 0.2
_RENEW_INTERVAL_S: Final = LEASE_TTL_S / 4
_RENEW_TIMEOUT_S: Final = 0.6
_WATCH_TIMEOUT_S: Final = 2.0
_COMMIT_TIMEOUT_S: Final = 1.0
"""A third of the TTL of the lease that the leader's key is attached to."""
_SECOND_REQUEST_S: Final = 0.25
"""Time without an answer after which a second lease is requested beside the first one."""
_PAUSE_STEP_S: Final = 0.05
_UNREACHED_CAMPAIGN_DELAY_S: Final = 0.5
_MAX_QUICK_REELECTIONS: Final = 2
"""After more quick re-elections in a row than this, a host lets other members campaign first."""
_QUICK_REELECTION_S: Final = 30.0
"""A re-election within this time of the host's previous one counts as quick."""
_REELECTION_DELAY_S: Final = 2.0
_UNREADABLE_S: Final = 1.0
"""Pause before a record that this version can't decode is read again."""


def exclusion_key(host: str) -> str:
    """Return the key whose existence excludes a member from elections."""
    return EXCLUSION_PREFIX + host


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """The leader as another member reads it from the leader's key."""

    host: str
    term: FencingToken
    mod_revision: Revision = ABSENT
    """Revision of the leader's key."""
    last_token: FencingToken = FencingToken(0)
    """The highest token of its term; 0 if the term has one token, its number."""

    def token_for(self, seen: int) -> FencingToken | None:
        """Return the token of its term that a worker accepts which has seen the token `seen`.

        None if the worker has seen a later term.
        """
        if seen > max(self.term, self.last_token):
            return None
        return FencingToken(max(self.term, seen))


class _LeaderlessObservation(NamedTuple):
    """The first observation that there is no leader."""

    mod_revision: Revision
    """Revision of the term's key at that time."""
    since: Monotonic


class _Candidacy(NamedTuple):
    """A transaction that elects this node if it is committed."""

    term: FencingToken
    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]


async def _always_false() -> bool:
    return False


def consecutive_reelections(holder: dict[str, Any], now: Wall) -> int:
    """Return the number of quick re-elections in a row if the holder's host is elected now."""
    elected, reelections = holder.get("at"), holder.get("again")
    if not isinstance(elected, int | float) or not isinstance(reelections, int):
        return 0
    return reelections + 1 if abs(now - elected) <= _QUICK_REELECTION_S else 0


def _validity(sent: Monotonic) -> Monotonic:
    """Return the moment until which a lease renewed by a request sent at `sent` is valid."""
    return lower_bound_deadline(sent, LEASE_TTL_S, _LEASE_MARGIN_S)


def is_held_by_lease(leadership: Leadership) -> bool:
    """Return True if the lease alone makes the term valid, without extension grants."""
    return leadership.valid_until <= _validity(leadership.renewed_at)


class Election:
    """Campaigns whenever there is no leader, and renews the lease once elected."""

    def __init__(
        self,
        client: StateClient,
        host: str,
        changed: Callable[[], None],
        previous_grants_s: float = 0.0,
    ) -> None:
        """Campaign for `host`; `changed` is called whenever its leadership begins or ends.

        `previous_grants_s` is the longest time for which a previous process of this host may have
        granted a lease extension.
        """
        self._client = client
        self._host = host
        self._own_grants_expire_at = monotonic_now()
        # The grants of this host's previous process are unknown (`lease_extension.py`).
        self._previous_grants_expire_at = Monotonic(monotonic_now() + previous_grants_s)
        self.no_peer_leads: Callable[[], Awaitable[bool]] = _always_false
        """Returns True if every other member answers that it does not lead."""
        self.any_peer_answers: Callable[[], Awaitable[bool]] = _always_false
        """Returns True if at least one other member answers."""
        self.revoking_term: FencingToken | None = None
        """The term whose lease this node is revoking; its leader is refused lease extensions."""
        self._unreadable = ChangeLog(log)
        self._status_log = ChangeLog(log)
        """Logs which leader this node follows, or why it does not campaign."""
        self._campaign_term: FencingToken | None = None
        """The term of a campaign whose transaction is in flight or has an unknown outcome.

        The transaction may still be executed at any later time.
        """
        self._unconfirmed: UnconfirmedCampaign | None = None
        """The campaign to be resolved before the next one; see `_resolve`."""
        self._lease_ends: set[Task[None]] = set()
        """Requests in flight that end leases of failed campaigns."""
        self._candidate = Candidate(host, secrets.token_hex(8))
        self._changed = changed
        self._campaign_not_before = Monotonic(0.0)
        self._is_pause_ended = False
        """Set to end a pause between two campaigns early."""
        self._others_excluded = False
        """No other member can be elected at present."""
        self._leaderless: _LeaderlessObservation | None = None
        """While this host is excluded: when it first observed that there is no leader."""
        self.leadership: Leadership | None = None
        self.known_leader: KnownLeader | None = None
        self.has_quorum_reach: Callable[[], bool] = lambda: True
        """Returns True if workers reach this node; otherwise other members campaign first."""

    def valid_leadership(self, now: Monotonic) -> Leadership | None:
        """Return the current term if this node may act as its leader at `now`."""
        leadership = self.leadership
        return leadership if leadership is not None and leadership.valid(now) else None

    @property
    def grants_expire_at(self) -> Monotonic:
        """When all extension grants of this node expire, those of its previous process included."""
        return max(self._own_grants_expire_at, self._previous_grants_expire_at)

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        """Promise the leader of `term` not to campaign before `until`.

        Returns the reason of a refusal, or the empty string if the extension is granted.
        """
        if self.leadership is not None and term > self.leadership.term:
            # The requesting leader was elected later, so the key of this node's term no longer
            # exists. This node can't see that while the state service refuses its requests. If it
            # refused the grant, the new leader's lease would expire during an outage, and all
            # tasks would end.
            self.step_down(f"lease extension requested by later term {term}")
        if self.leadership is not None:
            return "leads itself"
        if self.known_leader is not None and self.known_leader.term > term:
            return f"knows of term {self.known_leader.term}"
        if self.revoking_term is not None and self.revoking_term >= term:
            return f"ends the lease of term {self.revoking_term}"
        if self._campaign_term is not None and self._campaign_term > term:
            # That transaction may be executed late, after the leader's key was deleted.
            return f"stands for term {self._campaign_term}"
        # The leader was elected later, so this node's campaign failed, or its term has ended.
        self._unconfirmed = None
        self._own_grants_expire_at = Monotonic(max(self._own_grants_expire_at, until))
        return ""

    async def run(self) -> None:
        """Follow the leader, campaign when there is none, and renew the lease once elected.

        Does not return.
        """
        while True:
            try:
                if self.leadership is None:
                    await self._follow()
                else:
                    await self._renew_lease(self.leadership)
            except StateError as error:
                log.debug("election step failed: error=%s", error)
                await self._pause(random.uniform(0.2, 0.5))

    async def _pause(self, longest_s: float) -> None:
        """Wait before the next campaign; `campaign_without_delay` ends the wait early."""
        for _ in range(math.ceil(longest_s / _PAUSE_STEP_S)):
            if self._is_pause_ended:
                break
            await asyncio.sleep(_PAUSE_STEP_S)
        self._is_pause_ended = False

    def campaign_without_delay(self) -> None:
        """Campaign without delay until there is a leader: all other members are excluded."""
        self._others_excluded = True
        self._is_pause_ended = True

    def step_down(self, reason: str) -> None:
        """Stop leading a term that has ended or may have ended."""
        if self.leadership is not None:
            log.info("no longer leader: term=%d reason=%s", self.leadership.term, reason)
            self.leadership = None
            self.known_leader = None
            self._client.set_leading(False)
            self._changed()

    async def resign(self, reason: str, pause_s: float) -> None:
        """Give up leadership, and don't campaign for `pause_s` seconds."""
        leadership = self.leadership
        self._campaign_not_before = Monotonic(monotonic_now() + pause_s)
        self._unconfirmed = None
        self.step_down(reason)
        if leadership is not None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(leadership.lease)

    async def _renew_lease(self, leadership: Leadership) -> None:
        """Renew the lease of this node's term once."""
        sent = monotonic_now()
        try:
            alive = await self._client.extend_lease(leadership.lease, timeout_s=_RENEW_TIMEOUT_S)
        except StateError as error:
            log.debug("lease renewal failed: term=%d error=%s", leadership.term, error)
            leadership.renewal_failed = True
            await asyncio.sleep(0.15)
            return
        if self.leadership is not leadership:
            return
        if not alive:
            self.step_down("lease expired or revoked")
            return
        was_valid = leadership.valid(monotonic_now())
        # A lease that can be renewed has never ended, so the leader's key has existed all the time
        # and no other member can have been elected. A term that became invalid in an outage may
        # therefore be resumed.
        leadership.valid_until = max(leadership.valid_until, _validity(sent))
        leadership.renewed_at = sent
        leadership.renewal_failed = False
        if not was_valid:
            log.info("leadership valid again after an interruption: term=%d", leadership.term)
            self._changed()
        await asyncio.sleep(_RENEW_INTERVAL_S)

    async def _follow(self) -> None:
        """Watch the leader's key for up to `_WATCH_TIMEOUT_S`; campaign if there is no leader."""
        if self._unconfirmed is not None:
            await self._resolve(self._unconfirmed)
            return
        entries, revision = await self._client.scan(LEADER_KEY)
        entry = next((e for e in entries if e.key == LEADER_KEY), None)
        if entry is None:
            self.known_leader = None
            await self._campaign(ABSENT)
            return
        holder = entry.value if isinstance(entry.value, dict) else {}
        if holder.get("host") == self._host:
            await self._replace_own_key(entry, holder)
            return
        self._others_excluded = False
        self.known_leader = self._read_leader(entry)
        if self.known_leader is not None:
            self._status_log.info(
                f"term {self.known_leader.term}: follows {self.known_leader.host}, "
                f"whose key is at revision {self.known_leader.mod_revision}"
            )
        await self._client.watch(LEADER_KEY, revision, _WATCH_TIMEOUT_S)

    async def _replace_own_key(self, entry: wire.Entry, holder: dict[str, Any]) -> None:
        """Replace the leader's key of this host's previous process, or let others campaign first.

        That process has ended, so it can't act on the key any more.
        """
        if not names_its_writer(holder):
            self._unreadable.error(
                f"unreadable record: key={entry.key} revision={entry.version} "
                "error=own key without a term or an incarnation"
            )
        reelections = consecutive_reelections(holder, wall_now())
        if holder.get("incarnation") == self._candidate.incarnation:
            await self._delete_own_key(entry)
        elif reelections > _MAX_QUICK_REELECTIONS and await self.any_peer_answers():
            # The process ends repeatedly, perhaps because it leads. Re-elected at once each time,
            # it would keep all other members from leading: a process that ended every second was
            # elected 12 times.
            log.info("campaign delayed after repeated re-elections: terms_in_a_row=%d", reelections)
            self._campaign_not_before = Monotonic(monotonic_now() + _REELECTION_DELAY_S)
            await self._delete_own_key(entry)
        else:
            await self._campaign(Revision(entry.version), reelections)

    def _read_leader(self, entry: wire.Entry) -> KnownLeader | None:
        """Decode another member's record; return None if this version can't.

        The leader's key is left alone in that case; it is deleted when its lease expires.
        """
        try:
            record = msgspec.convert(entry.value, LeaderRecord)
        except msgspec.ValidationError as error:
            self._unreadable.error(
                f"unreadable record: key={entry.key} revision={entry.version} error={error}"
            )
            return None
        return KnownLeader(
            record.host,
            FencingToken(record.term),
            Revision(entry.version),
            FencingToken(record.last_token),
        )

    async def _delete_own_key(self, entry: wire.Entry) -> None:
        """Delete the leader's key that this host has set.

        It belongs to a term that this process has given up, or to a previous process.
        """
        await self._client.commit(
            [wire.guard(LEADER_KEY, entry.version)],
            [wire.delete(LEADER_KEY)],
            timeout_s=_COMMIT_TIMEOUT_S,
        )

    async def _campaign(self, mod_revision: Revision, reelections: int = 0) -> None:
        """Campaign once.

        `mod_revision` is the revision of the leader's key that this host's previous process left
        (`ABSENT` if there is none). `reelections` is the number of quick re-elections in a row,
        this one included.
        """
        if not await self._wait_for_turn(mod_revision):
            return
        last = await self._client.get(TERM_KEY)
        if last is not None and type(last.value) is not int:
            # Any term chosen without it might be lower than one already used.
            self._unreadable.error(
                f"unreadable record: key={TERM_KEY} revision={last.version} error=not an integer"
            )
            await asyncio.sleep(_UNREADABLE_S)
            return
        sent = monotonic_now()
        lease = await self._create_lease()
        candidacy = self._candidacy(mod_revision, reelections, last, lease)
        # No grant can be in force if the leader's key was left by this host's previous process (no
        # other member leads), or if there has been no term yet (no leader has requested one).
        grants_possible = mod_revision == ABSENT and last is not None
        # Checked last: a lease extension may have been granted during the awaits above.
        if grants_possible and (
            not await self._previous_grants_expired()
            or monotonic_now() < self._own_grants_expire_at
        ):
            self._status_log.info("no leader; campaign delayed by a lease extension grant")
            await asyncio.sleep(0.05)
            return
        try:
            revision = await self._commit(candidacy)
        except OutcomeUnknownError:
            self._unconfirmed = UnconfirmedCampaign(candidacy.term, lease, sent)
            await self._resolve(self._unconfirmed)
            return
        if revision is None:
            self._end_lease_in_background(lease)
            return
        self._begin_term(candidacy.term, revision, lease, sent)

    async def _create_lease(self) -> LeaseId:
        """Create the lease of a campaign, by a second request if the first one's answer is late.

        The wait for a lost answer would use up the time between two outages of the state service.
        A lease that is not used expires by itself.
        """
        pending = {create_task(self._client.create_lease(LEASE_TTL_S))}
        try:
            done, _ = await wait(pending, timeout=_SECOND_REQUEST_S)
            if not done:
                pending.add(create_task(self._client.create_lease(LEASE_TTL_S)))
            while True:
                done, pending = await wait(pending, return_when=FIRST_COMPLETED)
                created = [request for request in done if request.exception() is None]
                if created or not pending:
                    return (created or list(done))[0].result()
        finally:
            for request in pending:
                request.cancel()

    async def _wait_for_turn(self, mod_revision: Revision) -> bool:
        """Let other members campaign first where they should; return True to campaign now."""
        pause_s = self._campaign_not_before - monotonic_now()
        if mod_revision == ABSENT:
            pause_s = max(
                pause_s,
                0.0
                if self._others_excluded or self.has_quorum_reach()
                else _UNREACHED_CAMPAIGN_DELAY_S,
            ) + random.uniform(0, 0.05)
        if pause_s > 0:
            if pause_s > _UNREACHED_CAMPAIGN_DELAY_S + 0.1:
                self._status_log.info("no leader; campaign delayed, other members go first")
            await asyncio.sleep(min(pause_s, 1.0))
        return pause_s <= 1.0

    def _candidacy(
        self, mod_revision: Revision, reelections: int, last: wire.KeyValue | None, lease: LeaseId
    ) -> _Candidacy:
        """Return the transaction that elects this node for the term after `last`."""
        term = FencingToken((last.value if last is not None else 0) + 1)
        value = self._candidate.record(term, wall_now(), reelections)
        guards = [
            wire.guard(LEADER_KEY, mod_revision),
            wire.guard(TERM_KEY, last.version if last is not None else ABSENT),
            wire.guard(exclusion_key(self._host), ABSENT),
        ]
        changes = [wire.put(LEADER_KEY, value, lease), wire.put(TERM_KEY, last_token_of(term))]
        return _Candidacy(term, guards, changes)

    async def _commit(self, candidacy: _Candidacy) -> Revision | None:
        """Return the revision at which this node was elected, None if it certainly was not.

        Raises `OutcomeUnknownError` if the transaction got no answer.
        """
        self._status_log.info(f"no leader; campaigning: term={candidacy.term}")
        self._campaign_term = candidacy.term
        try:
            result = await self._client.commit(
                candidacy.guards, candidacy.changes, timeout_s=_COMMIT_TIMEOUT_S
            )
        except (TransactionRejectedError, StateUnavailableError):
            self._campaign_term = None
            return None
        self._campaign_term = None
        if isinstance(result, Committed):
            return result.revision
        if exclusion_key(self._host) in result.keys:
            with contextlib.suppress(StateError):
                await self._readmit_itself()
        return None

    async def _resolve(self, campaign: UnconfirmedCampaign) -> None:
        """Begin the term of an unconfirmed campaign if the leader's key shows that it succeeded.

        Once the validity that the lease had from the beginning has passed, the lease must be
        renewed first: if it can be, it has never ended and the key has existed all the time, as in
        `_renew_lease`. Until then `_campaign_term` keeps this node from granting extensions to
        leaders of earlier terms.

        Raises `StateError` if the outcome remains unknown.
        """
        entry = await self._client.get(LEADER_KEY)
        if self._unconfirmed is not campaign:
            return
        if entry is None or not campaign.is_won(self._candidate, entry):
            self._unconfirmed = None
            self._end_lease_in_background(campaign.lease)
            return
        renewed_at = campaign.lease_requested_at
        if monotonic_now() >= _validity(renewed_at):
            renewed_at = monotonic_now()
            alive = await self._client.extend_lease(campaign.lease, timeout_s=_RENEW_TIMEOUT_S)
            if self._unconfirmed is not campaign:
                return
            if not alive:
                log.info("term ended before its election was confirmed: term=%d", campaign.term)
                self._unconfirmed = None
                return
        log.info(
            "election confirmed by the leader's key: term=%d unanswered_s=%.1f",
            campaign.term,
            monotonic_now() - campaign.lease_requested_at,
        )
        self._begin_term(campaign.term, Revision(entry.version), campaign.lease, renewed_at)

    def _end_lease_in_background(self, lease: LeaseId) -> None:
        """End the lease of a failed campaign without waiting for the answer.

        The next campaign does not depend on it, and the wait for a lost answer would use up the
        time between two outages of the state service. The lease expires by itself in any case.
        """

        async def end_lease() -> None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(lease)

        task = create_task(end_lease())
        self._lease_ends.add(task)
        task.add_done_callback(self._lease_ends.discard)

    async def _readmit_itself(self) -> None:
        """Readmit this excluded host after `READMISSION_DELAY_S` without a leader.

        The leader that excluded it may rely on the exclusion, instead of on its extension grant,
        until `READMISSION_DELAY_S` after the end of the leader's lease. Only an election changes
        the term's key, so as long as that key has the revision of the first observation, no member
        has led in between.
        """
        term = await self._client.get(TERM_KEY)
        leader = await self._client.get(LEADER_KEY)
        mod_revision = Revision(term.version) if term is not None else ABSENT
        now = monotonic_now()
        if leader is not None:
            self._leaderless = None
        elif self._leaderless is None or self._leaderless.mod_revision != mod_revision:
            log.info("this member is excluded from elections, no leader seen")
            self._leaderless = _LeaderlessObservation(mod_revision, now)
        elif now - self._leaderless.since >= READMISSION_DELAY_S * CLOCK_DRIFT:
            entry = await self._client.get(exclusion_key(self._host))
            if entry is not None:
                log.info(
                    "this member readmits itself to elections: leaderless_s=%.0f",
                    now - self._leaderless.since,
                )
                guards = [
                    wire.guard(LEADER_KEY, ABSENT),
                    wire.guard(TERM_KEY, mod_revision),
                    wire.guard(exclusion_key(self._host), entry.version),
                ]
                await self._client.commit(guards, [wire.delete(exclusion_key(self._host))])
        await self._pause(0.25)

    async def _previous_grants_expired(self) -> bool:
        """Return True if no leader can rely on grants of this host's previous process any more.

        That is so once they have expired, or if no member leads. The second condition matters when
        all controllers crash together: the workers' leases are too short to wait for the expiry.
        """
        if monotonic_now() < self._previous_grants_expire_at and await self.no_peer_leads():
            self._previous_grants_expire_at = monotonic_now()
        return monotonic_now() >= self._previous_grants_expire_at

    def _begin_term(
        self, term: FencingToken, revision: Revision, lease: LeaseId, renewed_at: Monotonic
    ) -> None:
        """Begin a term whose lease was created or renewed by a request sent at `renewed_at`."""
        log.info("elected: term=%d key_revision=%d", term, revision)
        self._status_log.reset()
        self._unconfirmed = None
        self._campaign_term = None
        self._others_excluded = False
        self.leadership = Leadership(
            term, revision, lease, monotonic_now(), _validity(renewed_at), renewed_at=renewed_at
        )
        self.known_leader = KnownLeader(self._host, term, revision, last_token_of(term))
        self._client.set_leading(True)
        self._changed()
