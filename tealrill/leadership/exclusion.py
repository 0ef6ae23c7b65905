"""Exclusion of unreachable members from elections.

A leader continues through an outage of the state service if every other member grants it a lease
extension (`lease_extension.py`). A member that does not answer grants nothing, and could be elected
if it alone reached the state service. So the leader excludes unreachable members while it still can
write: it creates a record, and a member's election requires its record to be absent. The leader
deletes the record when the member answers again. A member without a leader deletes its own record,
but only after it has observed for `READMISSION_DELAY_S` that there is no leader: until then the
leader may rely on the exclusion instead of on the member's grant. docs/design.md has the argument.
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

UNREACHABLE_S: Final = 6.0
"""Time without an answer after which a member is excluded; longer than a usual process restart."""
_PROBE_INTERVAL_S: Final = 1.0
_PROBES_PER_READ: Final = 10
"""Probes per reading of all records: a write with an unknown outcome may be executed late."""


class ExclusionRecord(msgspec.Struct, frozen=True):
    """The record that excludes a member from elections."""

    term: int
    """The term of the leader that wrote it, or whose lease its writer revokes."""
    v: Literal[1] = 1
    ends_term: int = 0
    """The term whose lease its writer revokes (`lease_revocation.py`); 0 if none."""
    mark: str = ""
    """Identifies the writer's attempt, so that it recognises its own record."""


class Exclusions:
    """Excludes unreachable members and readmits reachable ones, for one term of the leader."""

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
        self._on_lease_revoked = on_lease_revoked
        """Called when another member may revoke this term's lease at any moment."""
        self._client = client
        self._fence = Fence(client, mod_revision)
        self._term = term
        self._valid = valid
        self._now = now
        self._peers = peer_clients(settings)
        self._max_excluded = len(self._peers) // 2
        """Largest number of members excluded at a time. In a network partition the unreachable
        members may be those that have to replace this leader, so some must stay electable without
        waiting for their readmission."""
        self._answered_at = dict.fromkeys(self._peers, now())
        self._records: dict[str, Revision] = {}
        """Revisions of the exclusion records as last read or written, by host."""
        self._certainly_excluded: set[str] = set()
        """Hosts whose record exists and can't be deleted by any request still in flight."""
        self._is_being_revoked = False
        """The term ends because another member is revoking its lease."""
        self._no_readmission_before = Monotonic(-math.inf)
        self._probes = 0
        self._has_read_records = False
        """Set after the first reading. A record found later may be one written by this leader, with
        a deletion of it still in flight."""

    def is_excluded(self, host: str) -> bool:
        """Return True if `host` can't be elected before `READMISSION_DELAY_S` without a leader."""
        return host in self._certainly_excluded

    def defer_readmissions_until(self, until: Monotonic) -> None:
        """Readmit no member before `until`: the term was extended relying on `is_excluded`."""
        self._no_readmission_before = Monotonic(max(self._no_readmission_before, until))

    async def run(self) -> None:
        """Exclude unreachable members and readmit those that answer. Does not return."""
        while True:
            try:
                await self.step()
            except StateError as error:
                log.debug("exclusions not updated: error=%s", error)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def step(self) -> None:
        """Probe all members once; before every `_PROBES_PER_READ`th probe read all records."""
        if self._probes % _PROBES_PER_READ == 0:
            await self._read_records()
        await self.probe()
        self._probes += 1

    def close(self) -> None:
        """Close the connections to other members at the end of the term."""
        for peer in self._peers.values():
            peer.close()

    async def _read_records(self) -> None:
        """Read all records.

        At a term's start they were written by earlier leaders, whose requests are all fenced off:
        no deletion of them can be in flight.
        """
        entries, _ = await self._client.scan(EXCLUSION_PREFIX)
        for entry in entries:
            host = entry.key.removeprefix(EXCLUSION_PREFIX)
            if host in self._peers and host not in self._certainly_excluded:
                self._note_record(host, entry.value, entry.version)
                if not self._has_read_records and not self._is_being_revoked:
                    self._certainly_excluded.add(host)
        # Not derived from the number of probes: a failed probe isn't counted, so that the first
        # reading would be repeated, and a record whose deletion is in flight would become certain.
        self._has_read_records = True

    async def probe(self) -> None:
        """Ping every other member once; exclude or readmit it accordingly."""
        pings = [self._is_reachable(peer) for peer in self._peers.values()]
        for host, reachable in zip(self._peers, await asyncio.gather(*pings), strict=True):
            now = self._now()
            if reachable:
                self._answered_at[host] = now
            if not self._valid() or self._is_being_revoked:
                continue
            if reachable and host in self._records and now >= self._no_readmission_before:
                await self._readmit(host)
            elif (
                host not in self._certainly_excluded
                and now - self._answered_at[host] >= UNREACHABLE_S
                and len(self._records.keys() - {host}) < self._max_excluded
            ):
                await self._exclude(host)

    @staticmethod
    async def _is_reachable(peer: Client) -> bool:
        return await ask_presence(peer) is not None

    async def _readmit(self, host: str) -> None:
        # Once sent, the deletion may be executed at any later time, so the record isn't certain.
        self._certainly_excluded.discard(host)
        log.info("member readmitted to elections: term=%d host=%s", self._term, host)
        await self._change(host, wire.delete(exclusion_key(host)))

    async def _exclude(self, host: str) -> None:
        """Write the record, also over an existing one.

        A deletion in flight is guarded by the previous revision, so it can't delete the new record.
        """
        log.info("unreachable member excluded from elections: term=%d host=%s", self._term, host)
        record = wire.to_builtins(ExclusionRecord(self._term))
        if await self._change(host, wire.put(exclusion_key(host), record)):
            self._certainly_excluded.add(host)

    async def _change(self, host: str, change: dict[str, Any]) -> bool:
        """Return True if the change was certainly committed; otherwise read the record."""
        guards = {exclusion_key(host): self._records.get(host, ABSENT)}
        try:
            result = await self._fence.commit(guards, [change])
        except StateError as error:
            log.debug("exclusion record not changed: host=%s error=%s", host, error)
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
            self._note_record(host, entry.value, entry.version)
        return False

    def _note_record(self, host: str, value: Any, version: int) -> None:
        self._records[host] = Revision(version)
        if isinstance(value, dict) and value.get("ends_term") == self._term:
            # A member readmitted now could be elected as soon as this lease is revoked, while this
            # term still appears valid. So the term is given up, and its lease with it.
            self._is_being_revoked = True
            self._on_lease_revoked()
