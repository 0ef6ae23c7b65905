"""Who leads.

The key `leader` is attached to a lease, the key `term` only ever grows, and both are set in one
transaction. The term is the token that workers see. A leader counts itself valid from the moment
it *sent* its last successful renewal, shortened by the most that two steady clocks may differ;
after that it says nothing to workers until it knows more.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

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
TTL_S: Final = 3.0
_MARGIN_S: Final = 0.2
_RENEW_S: Final = TTL_S / 4
_WATCH_S: Final = 2.0
_OTHERS_FIRST_S: Final = 0.5
_OFTEN: Final = 2
"""A host that would follow itself once more than so often, each time soon, lets others go first."""
_SOON_S: Final = 30.0
_YIELD_S: Final = 2.0
_UNREADABLE_S: Final = 1.0
"""Between two readings of a record that this version can't read."""


def exclusion_key(host: str) -> str:
    return EXCLUSION_PREFIX + host


@dataclass(frozen=True, slots=True)
class KnownLeader:
    host: str
    term: FencingToken
    stamp: Revision = ABSENT
    """The version of its key."""


class _LeaderRecord(msgspec.Struct, frozen=True):
    """As much of the leader's record as others need."""

    host: str
    term: int


async def _not_known() -> bool:
    return False


def follows_itself(holder: dict[str, Any], now: Wall) -> int:
    """How often in a row the holder's host will have followed itself within a short time."""
    elected, again = holder.get("at"), holder.get("again")
    if not isinstance(elected, int | float) or not isinstance(again, int):
        return 0
    return again + 1 if abs(now - elected) <= _SOON_S else 0


def _validity(sent: Monotonic) -> Monotonic:
    return lower_bound_deadline(sent, TTL_S, _MARGIN_S)


def is_held_by_lease(mine: Leadership) -> bool:
    """Whether the term is valid by its lease alone, and not longer by other members' promises."""
    return mine.valid_until <= _validity(mine.renewed_at)


class Election:
    """Stands for election whenever there is no leader, and keeps what it has won."""

    def __init__(
        self,
        client: StateClient,
        host: str,
        changed: Callable[[], None],
        promised_s: float = 0.0,
    ) -> None:
        self._client = client
        self._host = host
        self._promised_until = monotonic_now()
        # This process does not know what its former one promised (`lease_extension.py`).
        self._restarted_until = Monotonic(monotonic_now() + promised_s)
        self.nobody_leads: Callable[[], Awaitable[bool]] = _not_known
        """Whether every other member has just said that it does not lead."""
        self.others_up: Callable[[], Awaitable[bool]] = _not_known
        """Whether another member answers."""
        self.revoking: FencingToken | None = None
        """The term whose lease this node is ending: it gets no promise."""
        self._unreadable = ChangeLog(log)
        self._states = ChangeLog(log)
        """Whom this node follows, or why it does not stand."""
        self._standing: FencingToken | None = None
        """An election of this node that is under way, or that brought no answer: it may take place
        at any later time."""
        self._incarnation = secrets.token_hex(8)
        self._changed = changed
        self._not_before = Monotonic(0.0)
        self._alone: tuple[Revision, Monotonic] | None = None
        """While this host may not stand: that nobody led was seen in this version of the term's
        key, and when first."""
        self.mine: Leadership | None = None
        self.known: KnownLeader | None = None
        self.has_quorum_reach: Callable[[], bool] = lambda: True
        """Whether workers reach this node well; one that they don't reach lets others go first."""

    def leading(self, now: Monotonic) -> Leadership | None:
        """The current term if this node may act on it at this very moment."""
        mine = self.mine
        return mine if mine is not None and mine.valid(now) else None

    @property
    def promised_until(self) -> Monotonic:
        """Until when this node may be bound by promises, its former process's included."""
        return max(self._promised_until, self._restarted_until)

    def promise(self, term: FencingToken, until: Monotonic) -> str:
        """Not to stand before `until`; or why that can't be promised."""
        if self.mine is not None and term > self.mine.term:
            # Whoever asks was elected later, so the key of this node's term has gone. While the
            # state service refuses this node it can't see that, and its refusal to promise ended
            # every task in the outage that followed.
            self.step_down(f"term {term} asks for a promise")
        if self.mine is not None:
            return "leads itself"
        if self.known is not None and self.known.term > term:
            return f"knows of term {self.known.term}"
        if self.revoking is not None and self.revoking >= term:
            return f"ends the lease of term {self.revoking}"
        if self._standing is not None and self._standing > term:
            # Its transaction may be executed late, after the leader's key has gone.
            return f"stands for term {self._standing}"
        self._promised_until = Monotonic(max(self._promised_until, until))
        return ""

    async def run(self) -> None:
        while True:
            try:
                if self.mine is None:
                    await self._follow()
                else:
                    await self._hold(self.mine)
            except StateError as error:
                log.debug("election: %s", error)
                await asyncio.sleep(random.uniform(0.2, 0.5))

    def step_down(self, why: str) -> None:
        """Forgets a term that is certainly or possibly over."""
        if self.mine is not None:
            log.info("term %d: no longer leader: %s", self.mine.term, why)
            self.mine = None
            self.known = None
            self._client.set_leading(False)
            self._changed()

    async def resign(self, why: str, pause_s: float) -> None:
        """Hands leadership to somebody better placed."""
        mine = self.mine
        self._not_before = Monotonic(monotonic_now() + pause_s)
        self.step_down(why)
        if mine is not None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(mine.lease)

    async def _hold(self, mine: Leadership) -> None:
        sent = monotonic_now()
        try:
            alive = await self._client.extend_lease(mine.lease, timeout_s=0.6)
        except StateError as error:
            log.debug("term %d: renewal failed: %s", mine.term, error)
            mine.troubled = True
            await asyncio.sleep(0.15)
            return
        if self.mine is not mine:
            return
        if not alive:
            self.step_down("its lease ended")
            return
        was_valid = mine.valid(monotonic_now())
        # A lease that answers has never ended, so the key attached to it has stood all the time
        # and nobody else can have led: a term that went silent in an outage may go on.
        mine.valid_until = max(mine.valid_until, _validity(sent))
        mine.renewed_at = sent
        mine.troubled = False
        if not was_valid:
            log.info("term %d: valid again after a silence", mine.term)
            self._changed()
        await asyncio.sleep(_RENEW_S)

    async def _follow(self) -> None:
        entries, revision = await self._client.scan(LEADER_KEY)
        entry = next((e for e in entries if e.key == LEADER_KEY), None)
        if entry is None:
            self.known = None
            await self._stand(ABSENT)
            return
        holder = entry.value if isinstance(entry.value, dict) else {}
        if holder.get("host") == self._host:
            # This host's former process is gone, and with it whatever it might still have said.
            again = follows_itself(holder, wall_now())
            if holder.get("incarnation") == self._incarnation:
                await self._withdraw(entry)
            elif again > _OFTEN and await self.others_up():
                # It ends again and again, perhaps by leading. At once back each time, it would keep
                # the lease from all others: one that ended every second was elected 12 times.
                log.info("this host has led %d times in a row: others go first", again)
                self._not_before = Monotonic(monotonic_now() + _YIELD_S)
                await self._withdraw(entry)
            else:
                await self._stand(Revision(entry.version), again)
            return
        self.known = self._read_leader(entry)
        if self.known is not None:
            self._states.info(
                f"term {self.known.term}: follows {self.known.host}, "
                f"whose key is at revision {self.known.stamp}"
            )
        await self._client.watch(LEADER_KEY, revision, _WATCH_S)

    def _read_leader(self, entry: wire.Entry) -> KnownLeader | None:
        """Another member's record; None if this version can't read it.

        Nobody is deposed by that: the key stands until its lease ends.
        """
        try:
            record = msgspec.convert(entry.value, _LeaderRecord)
        except msgspec.ValidationError as error:
            self._unreadable.error(f"record {entry.key} at {entry.version}: {error}")
            return None
        return KnownLeader(record.host, FencingToken(record.term), Revision(entry.version))

    async def _withdraw(self, entry: wire.Entry) -> None:
        """Removes a key of this host: set by this very process in a term that it no longer knows
        of, or by a former one."""
        await self._client.commit(
            [wire.guard(LEADER_KEY, entry.version)], [wire.delete(LEADER_KEY)]
        )

    async def _stand(self, stamp: Revision, again: int = 0) -> None:
        pause = self._not_before - monotonic_now()
        if stamp == ABSENT:
            pause = max(
                pause, 0.0 if self.has_quorum_reach() else _OTHERS_FIRST_S
            ) + random.uniform(0, 0.05)
        if pause > 0:
            if pause > _OTHERS_FIRST_S + 0.1:
                self._states.info("nobody leads; this node lets others stand first")
            await asyncio.sleep(min(pause, 1.0))
            if pause > 1.0:
                return
        last = await self._client.get(TERM_KEY)
        if last is not None and type(last.value) is not int:
            # A term of this node's making might be an earlier one.
            self._unreadable.error(f"record {TERM_KEY} at {last.version}: not a term")
            await asyncio.sleep(_UNREADABLE_S)
            return
        sent = monotonic_now()
        lease = await self._client.create_lease(TTL_S)
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
            wire.guard(LEADER_KEY, stamp),
            wire.guard(TERM_KEY, last.version if last is not None else ABSENT),
            wire.guard(exclusion_key(self._host), ABSENT),
        ]
        changes = [wire.put(LEADER_KEY, value, lease), wire.put(TERM_KEY, term)]
        # A key that this host's former process left is no other leader's, and a service without a
        # term has had no leader who could hold a promise.
        bound = stamp == ABSENT and last is not None
        # Looked at last of all: a promise may have been given while the rest was awaited.
        if bound and (
            not await self._free_of_former_promises() or monotonic_now() < self._promised_until
        ):
            self._states.info("nobody leads; this node may be bound by a promise not to stand")
            await asyncio.sleep(0.05)
            return
        self._states.info(f"nobody leads; this node stands for term {term}")
        self._standing = term
        try:
            result = await self._client.commit(guards, changes)
            revision = result.revision if isinstance(result, Committed) else None
            self._standing = None
            if isinstance(result, GuardsFailed) and exclusion_key(self._host) in result.keys:
                await self._readmit_itself()
        except (TransactionRejectedError, StateUnavailableError):
            revision = self._standing = None
        except OutcomeUnknownError:
            revision = await self._read_back(term)
        if revision is None:
            with contextlib.suppress(StateError):
                await self._client.end_lease(lease)
            return
        now = monotonic_now()
        self._won(Leadership(term, revision, lease, now, _validity(sent), renewed_at=sent))

    async def _readmit_itself(self) -> None:
        """This host was excluded while it was silent, and may be the only one that is left.

        A leader that excludes it may go on without its promise until `READMISSION_S` after its
        lease has ended. Only an election changes the term's key: as it is the one that was read
        before nobody was seen to lead, nobody has led since.
        """
        term = await self._client.get(TERM_KEY)
        leader = await self._client.get(LEADER_KEY)
        stamp = Revision(term.version) if term is not None else ABSENT
        now = monotonic_now()
        if leader is not None:
            self._alone = None
        elif self._alone is None or self._alone[0] != stamp:
            log.info("this host may not stand: it was silent")
            self._alone = (stamp, now)
        elif now - self._alone[1] >= READMISSION_S * CLOCK_DRIFT:
            entry = await self._client.get(exclusion_key(self._host))
            if entry is not None:
                log.info("this host has seen nobody lead for %.0f s", now - self._alone[1])
                guards = [
                    wire.guard(LEADER_KEY, ABSENT),
                    wire.guard(TERM_KEY, stamp),
                    wire.guard(exclusion_key(self._host), entry.version),
                ]
                await self._client.commit(guards, [wire.delete(exclusion_key(self._host))])
        await asyncio.sleep(0.25)

    async def _free_of_former_promises(self) -> bool:
        """Whether what this host's former process may have promised binds nobody any more.

        Only a leader could go on by it. When all controllers crash together, their workers' leases
        do not leave the time to wait for the promise's end.
        """
        if monotonic_now() < self._restarted_until and await self.nobody_leads():
            self._restarted_until = monotonic_now()
        return monotonic_now() >= self._restarted_until

    async def _read_back(self, term: FencingToken) -> Revision | None:
        """After an election without an answer: whether it took place."""
        entry = await self._client.get(LEADER_KEY)
        if (
            entry is not None
            and entry.value.get("incarnation") == self._incarnation
            and entry.value.get("term") == term
        ):
            return Revision(entry.version)
        return None

    def _won(self, mine: Leadership) -> None:
        log.info("term %d: elected, its key is at revision %d", mine.term, mine.stamp)
        self._states.forget()
        self.mine = mine
        self.known = KnownLeader(self._host, mine.term, mine.stamp)
        self._client.set_leading(True)
        self._changed()
