"""Renewing workers' leases for a leader that can't hear them.

In a cut between zones the leader's workers on the far side fall silent, and after a lease all they
run is lost, though a node beside them and the state service are reached by both sides. That node
may answer their reports, without any command, while it holds a delegation: a key that it keeps
writing anew, guarded by the leader's own key. The leader reads these keys before it calls any
machine lapsed, and revokes a delegation that it does not want to wait for.

The leader may also be lost, and its key may stand for any time. So a node renews only workers whose
tasks it knows itself to be those of open jobs (`open_jobs.py`). docs/design.md has the argument.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import msgspec

from tealrill import wire
from tealrill.change_log import ChangeLog
from tealrill.http import Client, NoAnswerError, peer_clients
from tealrill.leadership.election import Election, KnownLeader
from tealrill.leadership.lease_extension import PING_PATH
from tealrill.leadership.open_jobs import OpenJobs, renewal_staleness_bound_s
from tealrill.settings import Settings
from tealrill.state.client import Committed, StateClient, StateError, StateUnavailableError
from tealrill.state.fencing import LEADER_KEY, Fence
from tealrill.types import (
    ABSENT,
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    lower_bound_deadline,
    monotonic_now,
)

log = logging.getLogger(__name__)

DELEGATION_PREFIX: Final = "deputy/"
DELEGATION_S: Final = 2.5
"""How long a node may act on a delegation after it sent the write that confirmed it."""
_MARGIN_S: Final = 0.1
_EVERY_S: Final = 0.5
_PING_TIMEOUT_S: Final = 0.7
_MISSES: Final = 2
_CONFIRM_S: Final = 1.0
_READY_S: Final = 15.0
"""Workers come to this node some seconds after a cut began, each at its own time."""
_ASKED_S: Final = 4.0


class Delegation(msgspec.Struct, frozen=True):
    """The record by which a member may renew workers in the leader's place."""

    term: int
    revoked: bool = msgspec.field(default=False, name="closed")
    """The leader does not wait for this node any more."""
    beat: int = 0


def _read_delegation(
    key: str, value: object, version: int, unreadable: ChangeLog
) -> Delegation | None:
    """The record, or None if this version can't read it."""
    try:
        return msgspec.convert(value, Delegation)
    except msgspec.ValidationError as error:
        unreadable.error(f"record {key} at {version}: {error}")
        return None


class RenewalDelegate:
    """One node's part."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        election: Election,
        now: Callable[[], Monotonic] = monotonic_now,
    ) -> None:
        self._client = client
        self._election = election
        self._now = now
        self._key = DELEGATION_PREFIX + settings.host_name
        self._peers = peer_clients(settings)
        workers = settings.params.workers
        self._warn_after_s = workers.cancel_s
        self._jobs = OpenJobs(client, renewal_staleness_bound_s(workers), now)
        self._misses = 0
        self._cut_since: Monotonic | None = None
        self.leader_unreachable_since: Monotonic | None = None
        """Since when the known leader has not answered, a refused connection counted as well."""
        self._asked_at = Monotonic(-1e9)
        self._confirmed_at = Monotonic(-1e9)
        self._valid_until = Monotonic(-1e9)
        self._beat = 0
        self._renewals: _DelegatedRenewals | None = None
        self._unreadable = ChangeLog(log)

    def renewal_token(
        self, report: wire.Heartbeat, machine: MachineId, now: Monotonic
    ) -> FencingToken | None:
        """The term whose token may be given to this worker at this very moment."""
        self._asked_at = now
        renewals = self._renewals
        if (
            renewals is None
            or self._cut_since is None
            or renewals.leader != self._election.known_leader
            or now >= self._valid_until
            or report.token > renewals.leader.term
        ):
            return None
        if not self._jobs.may_renew(report, machine, now):
            # It runs, or may be about to start, what its user was told is cancelled, or may have
            # been: its lease ends that, and the others' work goes on.
            renewals.withhold(machine, now)
            return None
        renewals.renewed.add(machine)
        return renewals.leader.term

    @property
    def leader_unreachable(self) -> bool:
        """The leader has not answered this node for about a second."""
        return self._cut_since is not None

    def describe(self, now: Monotonic) -> dict[str, object] | None:
        """For operators: for whom workers are renewed, since when, and by which knowledge."""
        if self._renewals is None:
            return None
        return {
            **self._renewals.describe(now),
            "known_s_ago": round(now - self._jobs.known_through, 1),
        }

    async def run(self) -> None:
        """Ping the leader, and confirm or end the delegation."""
        while True:
            await asyncio.sleep(_EVERY_S)
            known_leader = self._election.known_leader
            if (
                known_leader is None
                or self._election.leadership is not None
                or known_leader.host not in self._peers
            ):
                self.leader_unreachable_since = None
                self._heard()
                continue
            await self._ping(self._peers[known_leader.host])
            if self._wanted(self._now()):
                try:
                    await self.confirm(known_leader)
                except StateError as error:
                    log.debug("delegation: %s", error)

    async def _ping(self, leader: Client) -> None:
        try:
            await leader.request("GET", PING_PATH, timeout_s=_PING_TIMEOUT_S)
        except NoAnswerError as error:
            if self.leader_unreachable_since is None:
                self.leader_unreachable_since = self._now()
            if error.refused:
                # Its process is gone, or controllers are kept apart: neither cuts off workers.
                return self._heard()
            self._misses += 1
            if self._misses >= _MISSES and self._cut_since is None:
                self._cut_since = self._now()
            return None
        self.leader_unreachable_since = None
        return self._heard()

    def _heard(self) -> None:
        self._misses = 0
        self._cut_since = None
        self._end_renewals("the leader answers, or nobody leads")
        self._jobs.clear()

    def _wanted(self, now: Monotonic) -> bool:
        return (
            self._cut_since is not None
            and (now - self._cut_since < _READY_S or now - self._asked_at < _ASKED_S)
            and now - self._confirmed_at >= _CONFIRM_S
        )

    async def confirm(self, leader: KnownLeader) -> None:
        """Writes the delegation anew. It holds only while the leader's key stands as it was read.

        Cancellations are read first: without knowing them nobody is renewed.
        """
        entry = await self._client.get(self._key)
        if entry is not None:
            kept = _read_delegation(self._key, entry.value, entry.version, self._unreadable)
            if kept is None or (kept.revoked and kept.term == leader.term):
                self._end_renewals("the leader has revoked its delegation, or it can't be read")
                return
        await self._jobs.refresh()
        self._beat += 1
        sent = self._now()
        result = await self._client.commit(
            [
                wire.guard(LEADER_KEY, leader.mod_revision),
                wire.guard(self._key, entry.version if entry is not None else ABSENT),
            ],
            [wire.put(self._key, wire.plain(Delegation(leader.term, beat=self._beat)))],
        )
        if not isinstance(result, Committed):
            return
        if self._renewals is None or self._renewals.leader != leader:
            self._end_renewals("another one leads")
            self._renewals = _DelegatedRenewals(leader, sent, self._warn_after_s)
        self._confirmed_at = sent
        self._valid_until = lower_bound_deadline(sent, DELEGATION_S, _MARGIN_S)
        self._renewals.confirmed(result.revision, sent)

    def _end_renewals(self, why: str) -> None:
        if self._renewals is not None:
            self._renewals.end(why, self._now())
            self._renewals = None


class _DelegatedRenewals:
    """Renewals for one leader from the first confirmation on, as the log and operators see them."""

    def __init__(self, leader: KnownLeader, since: Monotonic, warn_after_s: float) -> None:
        self.leader = leader
        self.renewed: set[MachineId] = set()
        self._since = since
        self._warn_after_s = warn_after_s
        self._warned = False
        self._withheld: set[MachineId] = set()
        log.info(
            "term %d: renewing workers in place of an unreachable leader: host=%s",
            leader.term,
            leader.host,
        )

    def confirmed(self, revision: Revision, now: Monotonic) -> None:
        """Warns once when the leader has been lost for longer than any cut should last."""
        if not self._warned and now - self._since > self._warn_after_s:
            self._warned = True
            log.warning(
                "term %d: %s has not answered for %.0f s, its key stands at revision %d and nobody "
                "can be elected; %d workers renewed, %d left to their leases",
                self.leader.term,
                self.leader.host,
                now - self._since,
                revision,
                len(self.renewed),
                len(self._withheld),
            )

    def withhold(self, machine: MachineId, now: Monotonic) -> None:
        if machine not in self._withheld:
            self._withheld.add(machine)
            log.info(
                "term %d: machine %s is left to its lease, %.0f s after the first renewal: "
                "its tasks may be cancelled ones",
                self.leader.term,
                machine,
                now - self._since,
            )

    def end(self, why: str, now: Monotonic) -> None:
        log.info(
            "term %d: %d workers were renewed for %.0f s, %d left to their leases: %s",
            self.leader.term,
            len(self.renewed),
            now - self._since,
            len(self._withheld),
            why,
        )

    def describe(self, now: Monotonic) -> dict[str, object]:
        return {
            "term": self.leader.term,
            "for": self.leader.host,
            "since_s": round(now - self._since, 1),
            "renewed": len(self.renewed),
            "withheld": len(self._withheld),
        }


class Delegations:
    """The leader's part: whose delegations stand, before any machine is called lapsed."""

    _STALE_S = 4.0
    """A delegation that was not written anew for so long serves no worker."""
    _LONGEST_S = 60.0

    def __init__(
        self,
        client: StateClient,
        term: FencingToken,
        mod_revision: Revision,
        ended: Callable[[], None],
    ) -> None:
        self._client = client
        self._fence = Fence(client, mod_revision)
        self._term = term
        self._ended = ended
        """Called when a delegation has ended, or may have."""
        self._unreadable = ChangeLog(log)
        self._since: dict[str, Monotonic] = {}
        self._written: dict[str, tuple[int, Monotonic]] = {}

    async def check_active(self, now: Monotonic, revoke: bool) -> bool:
        """Whether any node may have renewed workers a moment ago.

        Raises `StateError` where that can't be learnt, and then nothing may be called lapsed.
        """
        entries, _ = await self._client.scan(DELEGATION_PREFIX)
        standing = False
        for entry in entries:
            delegation = _read_delegation(entry.key, entry.value, entry.version, self._unreadable)
            if delegation is not None and (delegation.term != self._term or delegation.revoked):
                # The guard on the leader's key ended an older term's delegations with that term.
                continue
            standing = True
            # One that can't be read may be this term's: it is waited for, and closed.
            if delegation is None or self._outdated(entry, now) or revoke:
                log.info("delegation %s is revoked", entry.key)
                await self._change(
                    entry, wire.put(entry.key, wire.plain(Delegation(self._term, True)))
                )
        return standing

    def _outdated(self, entry: wire.Entry, now: Monotonic) -> bool:
        since = self._since.setdefault(entry.key, now)
        version, at = self._written.get(entry.key, (-1, now))
        if version != entry.version:
            at = now
            self._written[entry.key] = (entry.version, now)
        return now - at > self._STALE_S or now - since > self._LONGEST_S

    async def clear(self) -> None:
        """Removes all delegations once every machine is heard again."""
        if not self._since:
            return
        entries, _ = await self._client.scan(DELEGATION_PREFIX)
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
            raise StateUnavailableError(f"{entry.key} has changed")
