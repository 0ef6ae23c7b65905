"""Delegation: renewal of workers' leases on behalf of a leader that does not receive heartbeats.

In a network partition between zones, heartbeats from the far zone do not reach the leader, and the
tasks there would end with their workers' leases, although both sides reach the state service and a
controller in the far zone reaches the workers. That controller may answer their heartbeats, without
commands, while it holds a delegation: a key that it keeps rewriting, guarded by the leader's key.
The leader reads these keys before it declares any lease expired, and revokes a delegation that it
does not want to wait for.

The leader may also have failed, while its key stays for any length of time. So a delegate renews
only workers whose tasks it knows to belong to open jobs (`open_jobs.py`). docs/design.md has the
argument.
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
"""How long a delegation is valid after the delegate sent the write that confirmed it."""
_DELEGATION_MARGIN_S: Final = 0.1
_PING_INTERVAL_S: Final = 0.5
_PING_TIMEOUT_S: Final = 0.7
_MISSED_PINGS: Final = 2
_CONFIRM_INTERVAL_S: Final = 1.0
_CONFIRM_AFTER_PARTITION_S: Final = 15.0
"""How long a delegation is confirmed after a partition began even if no worker sends heartbeats.

Workers reach this node some seconds after the partition began, each at a different time.
"""
_CONFIRM_AFTER_HEARTBEAT_S: Final = 4.0
"""How long a delegation is confirmed after the last heartbeat of a worker to this node."""


class Delegation(msgspec.Struct, frozen=True):
    """The record that permits a member to renew workers on behalf of the leader."""

    term: int
    revoked: bool = msgspec.field(default=False, name="closed")
    """The leader no longer waits for this delegate."""
    beat: int = 0


def _read_delegation(
    key: str, value: object, version: int, unreadable: ChangeLog
) -> Delegation | None:
    """Return the record, or None if this version can't decode it."""
    try:
        return msgspec.convert(value, Delegation)
    except msgspec.ValidationError as error:
        unreadable.error(f"unreadable record: key={key} revision={version} error={error}")
        return None


class RenewalDelegate:
    """The delegate's part: renews workers while the known leader is unreachable."""

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
        self._open_jobs = OpenJobs(client, renewal_staleness_bound_s(workers), now)
        self._missed_pings = 0
        self._partitioned_since: Monotonic | None = None
        self.leader_unreachable_since: Monotonic | None = None
        """Since when the known leader has not answered; refused connections count too."""
        self._last_heartbeat_at = Monotonic(-1e9)
        self._confirmed_at = Monotonic(-1e9)
        self._valid_until = Monotonic(-1e9)
        self._beat = 0
        self._renewals: _DelegatedRenewals | None = None
        self._unreadable = ChangeLog(log)

    def renewal_token(
        self, report: wire.Heartbeat, machine: MachineId, now: Monotonic
    ) -> FencingToken | None:
        """Return the fencing token with which this worker may be renewed at `now`, else None."""
        self._last_heartbeat_at = now
        renewals = self._renewals
        if (
            renewals is None
            or self._partitioned_since is None
            or renewals.leader != self._election.known_leader
            or now >= self._valid_until
        ):
            return None
        token = renewals.leader.token_for(report.token)
        if token is None:
            return None
        if not self._open_jobs.may_renew(report, machine, now):
            # The worker runs, or may be about to start, a task of a job that is or may be
            # cancelled. Its lease must expire to end that task; other workers are still renewed.
            renewals.withhold(machine, now)
            return None
        renewals.renewed.add(machine)
        return token

    @property
    def leader_unreachable(self) -> bool:
        """True if the leader has not answered `_MISSED_PINGS` pings in a row, about a second."""
        return self._partitioned_since is not None

    def describe(self, now: Monotonic) -> dict[str, object] | None:
        """Return the state of the delegation for operators; None if no worker is renewed."""
        if self._renewals is None:
            return None
        return {
            **self._renewals.describe(now),
            "known_s_ago": round(now - self._open_jobs.known_through, 1),
        }

    async def run(self) -> None:
        """Ping the leader, and confirm or end the delegation."""
        while True:
            await asyncio.sleep(_PING_INTERVAL_S)
            known_leader = self._election.known_leader
            if (
                known_leader is None
                or self._election.leadership is not None
                or known_leader.host not in self._peers
            ):
                self.leader_unreachable_since = None
                self._on_leader_reachable()
                continue
            await self._ping(self._peers[known_leader.host])
            if self._should_confirm(self._now()):
                try:
                    await self.confirm(known_leader)
                except StateError as error:
                    log.debug("delegation not confirmed: error=%s", error)

    async def _ping(self, leader: Client) -> None:
        try:
            await leader.request("GET", PING_PATH, timeout_s=_PING_TIMEOUT_S)
        except NoAnswerError as error:
            if self.leader_unreachable_since is None:
                self.leader_unreachable_since = self._now()
            if error.refused:
                # The leader's process has ended, or only controllers are partitioned from each
                # other. Neither keeps heartbeats from reaching a leader.
                return self._on_leader_reachable()
            self._missed_pings += 1
            if self._missed_pings >= _MISSED_PINGS and self._partitioned_since is None:
                self._partitioned_since = self._now()
            return None
        self.leader_unreachable_since = None
        return self._on_leader_reachable()

    def _on_leader_reachable(self) -> None:
        self._missed_pings = 0
        self._partitioned_since = None
        self._end_renewals("leader reachable or none elected")
        self._open_jobs.clear()

    def _should_confirm(self, now: Monotonic) -> bool:
        return (
            self._partitioned_since is not None
            and (
                now - self._partitioned_since < _CONFIRM_AFTER_PARTITION_S
                or now - self._last_heartbeat_at < _CONFIRM_AFTER_HEARTBEAT_S
            )
            and now - self._confirmed_at >= _CONFIRM_INTERVAL_S
        )

    async def confirm(self, leader: KnownLeader) -> None:
        """Rewrite the delegation, on the condition that the leader's key is unchanged.

        Cancellations are read first: no worker may be renewed without knowing them.
        """
        entry = await self._client.get(self._key)
        if entry is not None:
            existing = _read_delegation(self._key, entry.value, entry.version, self._unreadable)
            if existing is None or (existing.revoked and existing.term == leader.term):
                self._end_renewals("delegation revoked or unreadable")
                return
        await self._open_jobs.refresh()
        self._beat += 1
        sent = self._now()
        result = await self._client.commit(
            [
                wire.guard(LEADER_KEY, leader.mod_revision),
                wire.guard(self._key, entry.version if entry is not None else ABSENT),
            ],
            [wire.put(self._key, wire.to_builtins(Delegation(leader.term, beat=self._beat)))],
        )
        if not isinstance(result, Committed):
            return
        if self._renewals is None or self._renewals.leader != leader:
            self._end_renewals("another leader elected")
            self._renewals = _DelegatedRenewals(leader, sent, self._warn_after_s)
        self._confirmed_at = sent
        self._valid_until = lower_bound_deadline(sent, DELEGATION_S, _DELEGATION_MARGIN_S)
        self._renewals.confirmed(result.revision, sent)

    def _end_renewals(self, reason: str) -> None:
        if self._renewals is not None:
            self._renewals.end(reason, self._now())
            self._renewals = None


class _DelegatedRenewals:
    """Renewals on behalf of one leader since the first confirmation, for the log and operators."""

    def __init__(self, leader: KnownLeader, since: Monotonic, warn_after_s: float) -> None:
        self.leader = leader
        self.renewed: set[MachineId] = set()
        self._since = since
        self._warn_after_s = warn_after_s
        self._warned = False
        self._withheld: set[MachineId] = set()
        log.info(
            "renewing workers for an unreachable leader: term=%d host=%s",
            leader.term,
            leader.host,
        )

    def confirmed(self, revision: Revision, now: Monotonic) -> None:
        """Warn once if workers have been renewed for longer than `cancel_s`."""
        if not self._warned and now - self._since > self._warn_after_s:
            self._warned = True
            log.warning(
                "leader unreachable and no other can be elected: term=%d host=%s "
                "renewing_s=%.0f as_of_revision=%d workers_renewed=%d workers_withheld=%d",
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
                "worker not renewed, its tasks may be cancelled: "
                "term=%d machine=%s renewing_s=%.0f",
                self.leader.term,
                machine,
                now - self._since,
            )

    def end(self, reason: str, now: Monotonic) -> None:
        log.info(
            "renewal of workers for an unreachable leader ended: "
            "term=%d workers_renewed=%d renewing_s=%.0f workers_withheld=%d reason=%s",
            self.leader.term,
            len(self.renewed),
            now - self._since,
            len(self._withheld),
            reason,
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
    """The leader's part: finds active delegations before any machine's lease counts as expired."""

    _STALE_S = 4.0
    """A delegation that was not rewritten for this long renews no worker."""
    _MAX_DURATION_S = 60.0
    """The leader revokes a delegation this long after it first read it, even if still rewritten."""

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
        self._on_ended = ended
        """Called when a delegation has ended or may have ended."""
        self._unreadable = ChangeLog(log)
        self._first_read_at: dict[str, Monotonic] = {}
        self._last_written: dict[str, tuple[int, Monotonic]] = {}

    async def check_active(self, now: Monotonic, revoke: bool) -> bool:
        """Return True if any delegate may have renewed workers a moment ago.

        Revokes stale and overlong delegations, and all of them if `revoke` is set. Raises
        `StateError` if that can't be determined; then no lease may be declared expired.
        """
        entries, _ = await self._client.scan(DELEGATION_PREFIX)
        active = False
        for entry in entries:
            delegation = _read_delegation(entry.key, entry.value, entry.version, self._unreadable)
            if delegation is not None and (delegation.term != self._term or delegation.revoked):
                # An older term's delegations can't be confirmed any more: the guard on its leader's
                # key fails.
                continue
            active = True
            # An unreadable one may belong to this term: it counts as active and is revoked.
            if delegation is None or self._is_outdated(entry, now) or revoke:
                log.info("delegation revoked: key=%s", entry.key)
                await self._change(
                    entry, wire.put(entry.key, wire.to_builtins(Delegation(self._term, True)))
                )
        return active

    def _is_outdated(self, entry: wire.Entry, now: Monotonic) -> bool:
        since = self._first_read_at.setdefault(entry.key, now)
        version, at = self._last_written.get(entry.key, (-1, now))
        if version != entry.version:
            at = now
            self._last_written[entry.key] = (entry.version, now)
        return now - at > self._STALE_S or now - since > self._MAX_DURATION_S

    async def clear(self) -> None:
        """Delete all delegations; used once no machine misses heartbeats any more."""
        if not self._first_read_at:
            return
        entries, _ = await self._client.scan(DELEGATION_PREFIX)
        for entry in entries:
            await self._change(entry, wire.delete(entry.key))
        self._first_read_at.clear()
        self._last_written.clear()

    async def _change(self, entry: wire.Entry, change: dict[str, object]) -> None:
        try:
            result = await self._fence.commit({entry.key: Revision(entry.version)}, [change])
        finally:
            # Also after an unknown outcome: the delegation may have ended.
            self._on_ended()
        if not isinstance(result, Committed):
            # The delegate has rewritten it meanwhile, or another leader was elected.
            raise StateUnavailableError(f"delegation changed by another member: key={entry.key}")
