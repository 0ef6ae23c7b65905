"""Members that have fallen silent: kept from being elected while the state service is away.

A leader goes on through an outage by the others' promises not to stand (`lease_extension.py`). One
that does not answer promises nothing, and could be elected if it alone reached the state service.
So the leader writes down, while it can, that a silent member may not stand: its election requires
that record to be absent. The leader takes it back when the member answers again. A member that
finds itself alone takes it back itself, but only after it has seen for `READMISSION_S` that nobody
leads: until then the leader may go on without its promise. docs/design.md has the argument.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any, Final, Literal

import msgspec

from tealrill import wire
from tealrill.http import Client, peer_clients
from tealrill.leadership.election import EXCLUSION_PREFIX, exclusion_key
from tealrill.leadership.lease_extension import ask_presence
from tealrill.settings import Settings
from tealrill.state.client import Committed, StateClient, StateError
from tealrill.state.fencing import Fence
from tealrill.types import ABSENT, FencingToken, Monotonic, Revision, monotonic_now

log = logging.getLogger(__name__)

SILENT_S: Final = 6.0
"""Longer than a process takes to be back, as a rule."""
_LOOK_EVERY_S: Final = 1.0
_READ_EVERY: Final = 10
"""Looks between two readings of all records: one without an answer may be written late."""


class ExclusionRecord(msgspec.Struct, frozen=True):
    """A member that may not stand."""

    term: int
    """Of the leader that wrote it, or against which it was written."""
    v: Literal[1] = 1
    ends_term: int = 0
    """The term whose lease its writer ends (`lease_revocation.py`); 0 if none."""
    mark: str = ""
    """Its writer's own, to know it again."""


class Exclusions:
    """The leader's part, for one term. Wanted: exactly the silent members are kept out."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        term: FencingToken,
        mod_revision: Revision,
        valid: Callable[[], bool],
        now: Callable[[], Monotonic] = monotonic_now,
        on_lease_revoked: Callable[[], None] = lambda: None,
    ) -> None:
        self._revoked = on_lease_revoked
        """This term's lease may be ended by another member at any moment."""
        self._client = client
        self._fence = Fence(client, mod_revision)
        self._term = term
        self._valid = valid
        self._now = now
        self._peers = peer_clients(settings)
        self._most = len(self._peers) // 2
        """Kept out at a time. In a cut the silent ones may be those that are to follow this leader:
        some must be left who need not wait first."""
        self._heard = dict.fromkeys(self._peers, now())
        self._records: dict[str, Revision] = {}
        """Records that were seen last, by host."""
        self._certain: set[str] = set()
        """Hosts whose record stands and that nothing under way removes."""
        self._given_up = False
        """The term ends because another member is ending its lease."""
        self._relied_until = Monotonic(-math.inf)
        self._looks = 0
        self._read_before = False
        """A record found from now on may be this leader's own, with a removal under way."""

    def is_excluded(self, host: str) -> bool:
        """Whether that member can't be elected before `READMISSION_S` without a leader."""
        return host in self._certain

    def defer_readmissions_until(self, until: Monotonic) -> None:
        """Readmit nobody before `until`: the term is extended until then by `is_excluded`."""
        self._relied_until = Monotonic(max(self._relied_until, until))

    async def run(self) -> None:
        """Exclude members that are silent and readmit those that answer, for ever."""
        while True:
            try:
                await self.turn()
            except StateError as error:
                log.debug("members that are silent: %s", error)
            await asyncio.sleep(_LOOK_EVERY_S)

    async def turn(self) -> None:
        """Probe once, and read all records before some of the probes."""
        if self._looks % _READ_EVERY == 0:
            await self._read()
        await self.look()
        self._looks += 1

    def close(self) -> None:
        """Close the connections to other members; the term is over."""
        for peer in self._peers.values():
            peer.close()

    async def _read(self) -> None:
        """All records. At a term's start they are former leaders', whose fence is gone: certain."""
        entries, _ = await self._client.scan(EXCLUSION_PREFIX)
        for entry in entries:
            host = entry.key.removeprefix(EXCLUSION_PREFIX)
            if host in self._peers and host not in self._certain:
                self._found(host, entry.value, entry.version)
                if not self._read_before and not self._given_up:
                    self._certain.add(host)
        # Not by the number of looks: one that fails is not counted, and the record whose removal
        # had brought no answer was taken for certain again.
        self._read_before = True

    async def look(self) -> None:
        """Ask every other member once, and exclude or readmit by the answers."""
        asked = [self._answers(peer) for peer in self._peers.values()]
        for host, answers in zip(self._peers, await asyncio.gather(*asked), strict=True):
            now = self._now()
            if answers:
                self._heard[host] = now
            if not self._valid() or self._given_up:
                continue
            if answers and host in self._records and now >= self._relied_until:
                await self._readmit(host)
            elif (
                host not in self._certain
                and now - self._heard[host] >= SILENT_S
                and len(self._records.keys() - {host}) < self._most
            ):
                await self._exclude(host)

    @staticmethod
    async def _answers(peer: Client) -> bool:
        return await ask_presence(peer) is not None

    async def _readmit(self, host: str) -> None:
        # Sent, it may be executed at any later time: nothing is built on the record any more.
        self._certain.discard(host)
        log.info("term %d: member readmitted to elections: host=%s", self._term, host)
        await self._change(host, wire.delete(exclusion_key(host)))

    async def _exclude(self, host: str) -> None:
        """Write the record, anew if it is there: a removal in flight names its former version."""
        log.info("term %d: unreachable member excluded from elections: host=%s", self._term, host)
        record = wire.plain(ExclusionRecord(self._term))
        if await self._change(host, wire.put(exclusion_key(host), record)):
            self._certain.add(host)

    async def _change(self, host: str, change: dict[str, Any]) -> bool:
        """Return whether the change certainly was made; otherwise the record is read."""
        guards = {exclusion_key(host): self._records.get(host, ABSENT)}
        try:
            result = await self._fence.commit(guards, [change])
        except StateError as error:
            log.debug("record of %s: %s", host, error)
            result = None
        if isinstance(result, Committed):
            if "delete" in change:
                self._records.pop(host, None)
            else:
                self._records[host] = result.revision
            return True
        entry = await self._client.get(exclusion_key(host))
        if entry is None:
            self._records.pop(host, None)
        else:
            self._found(host, entry.value, entry.version)
        return False

    def _found(self, host: str, value: Any, version: int) -> None:
        self._records[host] = Revision(version)
        if isinstance(value, dict) and value.get("ends_term") == self._term:
            # Whoever is let in now could be elected right after that end, while this term seems
            # valid. It is given up instead, and its lease with it.
            self._given_up = True
            self._revoked()
