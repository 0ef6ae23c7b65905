"""Renewing workers' leases for a leader that can't hear them.

In a cut between zones the leader's workers on the far side fall silent, and after a lease all they
run is lost, though a node beside them and the state service are reached by both sides. That node
may answer their reports, without any command, while it holds a permit: a key that it keeps writing
anew, guarded by the leader's own key. The leader reads these keys before it calls any machine
lapsed, and closes a permit that it does not want to wait for. docs/design.md has the argument.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import msgspec

from tealrill import wire
from tealrill.http import Client, NoAnswer, peer_clients
from tealrill.settings import Settings
from tealrill.state.client import Committed, Refused, StateClient, StateError
from tealrill.state.duty import LEADER_KEY, Fence
from tealrill.state.election import Election, KnownLeader
from tealrill.state.truce import PING_PATH
from tealrill.types import ABSENT, Revision, Steady, Token, steady_now, surely_until

log = logging.getLogger(__name__)

DEPUTY_PREFIX: Final = "deputy/"
PERMIT_S: Final = 2.5
"""How long a node may act on a permit after it sent the write that confirmed it."""
_MARGIN_S: Final = 0.1
_EVERY_S: Final = 0.5
_PING_TIMEOUT_S: Final = 0.7
_MISSES: Final = 2
_CONFIRM_S: Final = 1.0
_READY_S: Final = 15.0
"""Workers come to this node some seconds after a cut began, each at its own time."""
_ASKED_S: Final = 4.0


class Permit(msgspec.Struct, frozen=True):
    term: int
    closed: bool = False
    """The leader does not wait for this node any more."""
    beat: int = 0


class Deputy:
    """One node's part."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        election: Election,
        now: Callable[[], Steady] = steady_now,
    ) -> None:
        self._client = client
        self._election = election
        self._now = now
        self._key = DEPUTY_PREFIX + settings.host_name
        self._peers = peer_clients(settings)
        self._misses = 0
        self._cut_since: Steady | None = None
        self._asked_at = Steady(-1e9)
        self._confirmed_at = Steady(-1e9)
        self._valid_until = Steady(-1e9)
        self._leader: KnownLeader | None = None
        self._beat = 0

    def term(self, now: Steady) -> Token | None:
        """The term whose token may be given to a worker at this very moment."""
        self._asked_at = now
        if self._cut_since is None or self._leader is None or self._leader != self._election.known:
            return None
        return self._leader.term if now < self._valid_until else None

    @property
    def leader_silent(self) -> bool:
        """The leader has not answered this node for about a second."""
        return self._cut_since is not None

    async def run(self) -> None:
        while True:
            await asyncio.sleep(_EVERY_S)
            known = self._election.known
            if known is None or self._election.mine is not None or known.host not in self._peers:
                self._heard()
                continue
            await self._ping(self._peers[known.host])
            if self._wanted(self._now()):
                try:
                    await self.confirm(known)
                except StateError as error:
                    log.debug("permit: %s", error)

    async def _ping(self, leader: Client) -> None:
        try:
            await leader.request("GET", PING_PATH, timeout_s=_PING_TIMEOUT_S)
        except NoAnswer as error:
            if error.refused:
                # Its process is gone, or controllers are kept apart: neither cuts off workers.
                return self._heard()
            self._misses += 1
            if self._misses >= _MISSES and self._cut_since is None:
                self._cut_since = self._now()
            return None
        return self._heard()

    def _heard(self) -> None:
        self._misses = 0
        self._cut_since = None

    def _wanted(self, now: Steady) -> bool:
        return (
            self._cut_since is not None
            and (now - self._cut_since < _READY_S or now - self._asked_at < _ASKED_S)
            and now - self._confirmed_at >= _CONFIRM_S
        )

    async def confirm(self, leader: KnownLeader) -> None:
        """Writes the permit anew. It holds only while the leader's key stands as it was read."""
        entry = await self._client.get(self._key)
        if entry is not None:
            kept = msgspec.convert(entry.value, Permit)
            if kept.closed and kept.term == leader.term:
                return
        self._beat += 1
        sent = self._now()
        result = await self._client.commit(
            [
                wire.guard(LEADER_KEY, leader.stamp),
                wire.guard(self._key, entry.version if entry is not None else ABSENT),
            ],
            [wire.put(self._key, wire.plain(Permit(leader.term, beat=self._beat)))],
        )
        if not isinstance(result, Committed):
            return
        if self._valid_until < sent or self._leader != leader:
            log.info("term %d: renews workers that the leader can't hear", leader.term)
        self._leader = leader
        self._confirmed_at = sent
        self._valid_until = surely_until(sent, PERMIT_S, _MARGIN_S)


class Permits:
    """The leader's part: whose permits stand, before any machine is called lapsed."""

    _STALE_S = 4.0
    """A permit that was not written anew for so long serves no worker."""
    _LONGEST_S = 60.0

    def __init__(
        self, client: StateClient, term: Token, stamp: Revision, ended: Callable[[], None]
    ) -> None:
        self._client = client
        self._fence = Fence(client, stamp)
        self._term = term
        self._ended = ended
        """Called when a permit has ended, or may have."""
        self._since: dict[str, Steady] = {}
        self._written: dict[str, tuple[int, Steady]] = {}

    async def stand(self, now: Steady, close: bool) -> bool:
        """Whether any node may have renewed workers a moment ago.

        Raises `StateError` where that can't be learnt, and then nothing may be called lapsed.
        """
        entries, _ = await self._client.scan(DEPUTY_PREFIX)
        standing = False
        for entry in entries:
            permit = msgspec.convert(entry.value, Permit)
            if permit.term != self._term or permit.closed:
                # The guard on the leader's key ended an older term's permits with that term.
                continue
            standing = True
            if self._outdated(entry, now) or close:
                log.info("permit %s is closed", entry.key)
                await self._change(entry, wire.put(entry.key, wire.plain(Permit(self._term, True))))
        return standing

    def _outdated(self, entry: wire.Entry, now: Steady) -> bool:
        since = self._since.setdefault(entry.key, now)
        version, at = self._written.get(entry.key, (-1, now))
        if version != entry.version:
            at = now
            self._written[entry.key] = (entry.version, now)
        return now - at > self._STALE_S or now - since > self._LONGEST_S

    async def clear(self) -> None:
        """Removes all permits once every machine is heard again."""
        if not self._since:
            return
        entries, _ = await self._client.scan(DEPUTY_PREFIX)
        for entry in entries:
            await self._change(entry, wire.delete(entry.key))
        self._since.clear()
        self._written.clear()

    async def _change(self, entry: wire.Entry, change: dict[str, object]) -> None:
        try:
            result = await self._fence.commit({entry.key: Revision(entry.version)}, [change])
        finally:
            # Without an answer it may have ended all the same.
            self._ended()
        if not isinstance(result, Committed):
            # The node wrote it anew meanwhile, or somebody else leads by now.
            raise Refused(f"{entry.key} has changed")
