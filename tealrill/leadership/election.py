"""The election of the leader, and the renewal of its lease.

The key `leader` is attached to a lease, the key `term` only ever grows, and both are set in one
transaction. The term is the fencing token that workers see. A leader counts itself valid from the
moment it *sent* its last successful renewal, shortened by the most that two steady clocks may
differ; after that it says nothing to workers until it knows more.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

import msgspec

from tealrill import wire
from tealrill.change_log import ChangeLog
from tealrill.state.client import (
    Committed,
    GuardsFailed,
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
    lower_bound_deadline,
    monotonic_now,
    wall_now,
)

log = logging.getLogger(__name__)

TERM_KEY: Final = "term"
EXCLUSION_PREFIX: Final = "out/"
"""Members that may not stand, because they were silent (`leadership/exclusion.py`)."""
READMISSION_S: Final = 15.0
"""For so long a member that was kept out sees that nobody leads before it lets itself in."""
LEASE_TTL_S: Final = 3.0
_MARGIN_S: Final = 0.2
_RENEW_S: Final = LEASE_TTL_S / 4
_WATCH_S: Final = 2.0
_COMMIT_TIMEOUT_S: Final = 1.0
"""The lease that an election is attached to lasts three times as long."""
_PAUSE_STEP_S: Final = 0.05
_OTHERS_FIRST_S: Final = 0.5
_OFTEN: Final = 2
"""A host that would follow itself once more than so often, each time soon, lets others go first."""
_SOON_S: Final = 30.0
_YIELD_S: Final = 2.0
_UNREADABLE_S: Final = 1.0
"""Between two readings of a record that this version can't read."""


def exclusion_key(host: str) -> str:
    """Return the key that keeps a member from standing."""
    return EXCLUSION_PREFIX + host


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """The leader as another member reads it from its key."""

    host: str
    term: FencingToken
    mod_revision: Revision = ABSENT
    """The version of its key."""


class _LeaderRecord(msgspec.Struct, frozen=True):
    """As much of the leader's record as others need."""

    host: str
    term: int


class _Leaderless(NamedTuple):
    """That nobody led was seen."""

    mod_revision: Revision
    """The version of the term's key at that time."""
    since: Monotonic


class _Candidacy(NamedTuple):
    """A transaction that elects this node, if it is committed."""

    term: FencingToken
    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]


async def _not_known() -> bool:
    return False


def consecutive_reelections(holder: dict[str, Any], now: Wall) -> int:
    """Return how often in a row the holder's host will have followed itself shortly after."""
    elected, again = holder.get("at"), holder.get("again")
    if not isinstance(elected, int | float) or not isinstance(again, int):
        return 0
    return again + 1 if abs(now - elected) <= _SOON_S else 0


def _validity(sent: Monotonic) -> Monotonic:
    """Return until when a lease that was renewed by a request sent then is valid."""
    return lower_bound_deadline(sent, LEASE_TTL_S, _MARGIN_S)


def is_held_by_lease(leadership: Leadership) -> bool:
    """Whether the term is valid by its lease alone, and not longer by other members' promises."""
    return leadership.valid_until <= _validity(leadership.renewed_at)


class Election:
    """Stands for election whenever there is no leader, and keeps what it has won."""

    def __init__(
        self,
        client: StateClient,
        host: str,
        changed: Callable[[], None],
        promised_s: float = 0.0,
    ) -> None:
        """Stand for `host`; `changed` is called whenever its leadership begins or ends.

        `promised_s` is for how long a former process of this host may have promised not to stand.
        """
        self._client = client
        self._host = host
        self._promised_until = monotonic_now()
        # This process does not know what its former one promised (`lease_extension.py`).
        self._restarted_until = Monotonic(monotonic_now() + promised_s)
        self.no_peer_leads: Callable[[], Awaitable[bool]] = _not_known
        """Whether every other member has just said that it does not lead."""
        self.any_peer_answers: Callable[[], Awaitable[bool]] = _not_known
        """Whether another member answers."""
        self.revoking: FencingToken | None = None
        """The term whose lease this node is ending: it gets no promise."""
        self._unreadable = ChangeLog(log)
        self._states = ChangeLog(log)
        """Whom this node follows, or why it does not stand."""
        self._standing: FencingToken | None = None
        """The term of an election of this node that is in flight, or that brought no answer.

        It may take place at any later time.
        """
        self._incarnation = secrets.token_hex(8)
        self._changed = changed
        self._not_before = Monotonic(0.0)
        self._may_stand_now = False
        """A pause between two tries is to end."""
        self._is_first = False
        """Nobody else can be elected at present."""
        self._leaderless: _Leaderless | None = None
        """While this host may not stand: when nobody was first seen to lead."""
        self.leadership: Leadership | None = None
        self.known_leader: KnownLeader | None = None
        self.has_quorum_reach: Callable[[], bool] = lambda: True
        """Whether workers reach this node well; one that they don't reach lets others go first."""

    def valid_leadership(self, now: Monotonic) -> Leadership | None:
        """Return the current term if this node may act on it at this very moment."""
        leadership = self.leadership
        return leadership if leadership is not None and leadership.valid(now) else None

    @property
    def promised_until(self) -> Monotonic:
        """Until when this node may be bound by promises, its former process's included."""
        return max(self._promised_until, self._restarted_until)

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        """Promise not to stand before `until`; return why that can't be promised, or nothing."""
        if self.leadership is not None and term > self.leadership.term:
            # Whoever asks was elected later, so the key of this node's term has gone. While the
            # state service refuses this node it can't see that, and its refusal to promise ended
            # every task in the outage that followed.
            self.step_down(f"term {term} asks for a promise")
        if self.leadership is not None:
            return "leads itself"
        if self.known_leader is not None and self.known_leader.term > term:
            return f"knows of term {self.known_leader.term}"
        if self.revoking is not None and self.revoking >= term:
            return f"ends the lease of term {self.revoking}"
        if self._standing is not None and self._standing > term:
            # Its transaction may be executed late, after the leader's key has gone.
            return f"stands for term {self._standing}"
        self._promised_until = Monotonic(max(self._promised_until, until))
        return ""

    async def run(self) -> None:
        """Follow the leader, stand when there is none, and keep what was won, for ever."""
        while True:
            try:
                if self.leadership is None:
                    await self._follow()
                else:
                    await self._hold(self.leadership)
            except StateError as error:
                log.debug("election: %s", error)
                await self._pause(random.uniform(0.2, 0.5))

    async def _pause(self, longest_s: float) -> None:
        """Wait before the next try, until `stand_first` at the latest."""
        for _ in range(math.ceil(longest_s / _PAUSE_STEP_S)):
            if self._may_stand_now:
                break
            await asyncio.sleep(_PAUSE_STEP_S)
        self._may_stand_now = False

    def stand_first(self) -> None:
        """Stand at once, until somebody leads: the other members are excluded from elections."""
        self._is_first = True
        self._may_stand_now = True

    def step_down(self, why: str) -> None:
        """Forget a term that is certainly or possibly over."""
        if self.leadership is not None:
            log.info("term %d: no longer leader: %s", self.leadership.term, why)
            self.leadership = None
            self.known_leader = None
            self._client.set_leading(False)
            self._changed()

    async def resign(self, why: str, pause_s: float) -> None:
        """Hand leadership to somebody better placed, and don't stand for `pause_s` seconds."""
        leadership = self.leadership
        self._not_before = Monotonic(monotonic_now() + pause_s)
        self.step_down(why)
        if leadership is not None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(leadership.lease)

    async def _hold(self, leadership: Leadership) -> None:
        """Renew the lease of this node's term once."""
        sent = monotonic_now()
        try:
            alive = await self._client.extend_lease(leadership.lease, timeout_s=0.6)
        except StateError as error:
            log.debug("term %d: renewal failed: %s", leadership.term, error)
            leadership.renewal_failed = True
            await asyncio.sleep(0.15)
            return
        if self.leadership is not leadership:
            return
        if not alive:
            self.step_down("its lease ended")
            return
        was_valid = leadership.valid(monotonic_now())
        # A lease that answers has never ended, so the key attached to it has stood all the time
        # and nobody else can have led: a term that went silent in an outage may go on.
        leadership.valid_until = max(leadership.valid_until, _validity(sent))
        leadership.renewed_at = sent
        leadership.renewal_failed = False
        if not was_valid:
            log.info("term %d: leadership valid again after an interruption", leadership.term)
            self._changed()
        await asyncio.sleep(_RENEW_S)

    async def _follow(self) -> None:
        """Watch the leader for a time, or stand if there is none."""
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
        self._is_first = False
        self.known_leader = self._read_leader(entry)
        if self.known_leader is not None:
            self._states.info(
                f"term {self.known_leader.term}: follows {self.known_leader.host}, "
                f"whose key is at revision {self.known_leader.mod_revision}"
            )
        await self._client.watch(LEADER_KEY, revision, _WATCH_S)

    async def _replace_own_key(self, entry: wire.Entry, holder: dict[str, Any]) -> None:
        """Stand in the place of this host's former process, or let others go first.

        That process is gone, and with it whatever it might still have said.
        """
        again = consecutive_reelections(holder, wall_now())
        if holder.get("incarnation") == self._incarnation:
            await self._withdraw(entry)
        elif again > _OFTEN and await self.any_peer_answers():
            # It ends again and again, perhaps by leading. At once back each time, it would keep
            # the lease from all others: one that ended every second was elected 12 times.
            log.info("led %d terms in a row: other members stand first", again)
            self._not_before = Monotonic(monotonic_now() + _YIELD_S)
            await self._withdraw(entry)
        else:
            await self._campaign(Revision(entry.version), again)

    def _read_leader(self, entry: wire.Entry) -> KnownLeader | None:
        """Read another member's record; None if this version can't.

        Nobody is deposed by that: the key stands until its lease ends.
        """
        try:
            record = msgspec.convert(entry.value, _LeaderRecord)
        except msgspec.ValidationError as error:
            self._unreadable.error(f"record {entry.key} at {entry.version}: {error}")
            return None
        return KnownLeader(record.host, FencingToken(record.term), Revision(entry.version))

    async def _withdraw(self, entry: wire.Entry) -> None:
        """Remove a key of this host.

        It was set by this very process in a term that it no longer knows of, or by a former one.
        """
        await self._client.commit(
            [wire.guard(LEADER_KEY, entry.version)], [wire.delete(LEADER_KEY)]
        )

    async def _campaign(self, mod_revision: Revision, again: int = 0) -> None:
        """Stand for election once.

        `mod_revision` is the version of the key that this host's former process left, if it did,
        and `again` how often in a row this host will have followed itself.
        """
        if not await self._wait_for_turn(mod_revision):
            return
        last = await self._client.get(TERM_KEY)
        if last is not None and type(last.value) is not int:
            # A term of this node's making might be an earlier one.
            self._unreadable.error(f"record {TERM_KEY} at {last.version}: not a term")
            await asyncio.sleep(_UNREADABLE_S)
            return
        sent = monotonic_now()
        lease = await self._client.create_lease(LEASE_TTL_S)
        candidacy = self._candidacy(mod_revision, again, last, lease)
        # A key that this host's former process left is no other leader's, and a service without a
        # term has had no leader who could hold a promise.
        bound = mod_revision == ABSENT and last is not None
        # Looked at last of all: a promise may have been given while the rest was awaited.
        if bound and (
            not await self._free_of_former_promises() or monotonic_now() < self._promised_until
        ):
            self._states.info("nobody leads; this node may be bound by a promise not to stand")
            await asyncio.sleep(0.05)
            return
        revision = await self._commit(candidacy)
        if revision is None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(lease)
            return
        now = monotonic_now()
        self._won(
            Leadership(candidacy.term, revision, lease, now, _validity(sent), renewed_at=sent)
        )

    async def _wait_for_turn(self, mod_revision: Revision) -> bool:
        """Let others stand first where they should; return whether to stand now."""
        pause_s = self._not_before - monotonic_now()
        if mod_revision == ABSENT:
            pause_s = max(
                pause_s, 0.0 if self._is_first or self.has_quorum_reach() else _OTHERS_FIRST_S
            ) + random.uniform(0, 0.05)
        if pause_s > 0:
            if pause_s > _OTHERS_FIRST_S + 0.1:
                self._states.info("nobody leads; this node lets others stand first")
            await asyncio.sleep(min(pause_s, 1.0))
        return pause_s <= 1.0

    def _candidacy(
        self, mod_revision: Revision, again: int, last: wire.KeyValue | None, lease: LeaseId
    ) -> _Candidacy:
        """Make the transaction that elects this node for the term after `last`."""
        term = FencingToken((last.value if last is not None else 0) + 1)
        value = {
            "host": self._host,
            "incarnation": self._incarnation,
            "term": term,
            "at": wall_now(),
            "again": again,
            "revocable": True,
        }
        guards = [
            wire.guard(LEADER_KEY, mod_revision),
            wire.guard(TERM_KEY, last.version if last is not None else ABSENT),
            wire.guard(exclusion_key(self._host), ABSENT),
        ]
        changes = [wire.put(LEADER_KEY, value, lease), wire.put(TERM_KEY, term)]
        return _Candidacy(term, guards, changes)

    async def _commit(self, candidacy: _Candidacy) -> Revision | None:
        """Return the revision at which this node was elected, None if it was not."""
        self._states.info(f"nobody leads; this node stands for term {candidacy.term}")
        self._standing = candidacy.term
        try:
            result = await self._client.commit(
                candidacy.guards, candidacy.changes, timeout_s=_COMMIT_TIMEOUT_S
            )
            self._standing = None
            if isinstance(result, GuardsFailed) and exclusion_key(self._host) in result.keys:
                await self._readmit_itself()
        except (TransactionRejectedError, StateUnavailableError):
            self._standing = None
            return None
        except OutcomeUnknownError:
            return await self._read_back(candidacy.term)
        return result.revision if isinstance(result, Committed) else None

    async def _readmit_itself(self) -> None:
        """Readmit this host, excluded while it was silent, if it may be the only one left.

        A leader that excludes it may go on without its promise until `READMISSION_S` after its
        lease has ended. Only an election changes the term's key: as it is the one that was read
        before nobody was seen to lead, nobody has led since.
        """
        term = await self._client.get(TERM_KEY)
        leader = await self._client.get(LEADER_KEY)
        mod_revision = Revision(term.version) if term is not None else ABSENT
        now = monotonic_now()
        if leader is not None:
            self._leaderless = None
        elif self._leaderless is None or self._leaderless.mod_revision != mod_revision:
            log.info("this member is excluded from elections: it was unreachable")
            self._leaderless = _Leaderless(mod_revision, now)
        elif now - self._leaderless.since >= READMISSION_S * CLOCK_DRIFT:
            entry = await self._client.get(exclusion_key(self._host))
            if entry is not None:
                log.info("no leader seen for %.0f s", now - self._leaderless.since)
                guards = [
                    wire.guard(LEADER_KEY, ABSENT),
                    wire.guard(TERM_KEY, mod_revision),
                    wire.guard(exclusion_key(self._host), entry.version),
                ]
                await self._client.commit(guards, [wire.delete(exclusion_key(self._host))])
        await self._pause(0.25)

    async def _free_of_former_promises(self) -> bool:
        """Whether what this host's former process may have promised binds nobody any more.

        Only a leader could go on by it. When all controllers crash together, their workers' leases
        do not leave the time to wait for the promise's end.
        """
        if monotonic_now() < self._restarted_until and await self.no_peer_leads():
            self._restarted_until = monotonic_now()
        return monotonic_now() >= self._restarted_until

    async def _read_back(self, term: FencingToken) -> Revision | None:
        """Return the revision of an election without an answer, None if it did not take place."""
        entry = await self._client.get(LEADER_KEY)
        if (
            entry is not None
            and entry.value.get("incarnation") == self._incarnation
            and entry.value.get("term") == term
        ):
            return Revision(entry.version)
        return None

    def _won(self, leadership: Leadership) -> None:
        """Begin a term."""
        log.info(
            "term %d: elected, its key is at revision %d", leadership.term, leadership.mod_revision
        )
        self._states.forget()
        self._is_first = False
        self.leadership = leadership
        self.known_leader = KnownLeader(self._host, leadership.term, leadership.mod_revision)
        self._client.set_leading(True)
        self._changed()
