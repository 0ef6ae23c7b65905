"""Extension of the leader's validity during an outage of the state service.

A leader that can't renew its lease must stop answering workers, and in an outage longer than the
workers' leases all tasks would end. It may continue if every other member grants it a lease
extension, which is a promise not to campaign for a short time: then no other member can be elected,
even if the lease expires. docs/design.md has the argument.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain
from typing import Final, Protocol

import msgspec

from tealrill import wire
from tealrill.change_log import ChangeLog
from tealrill.http import Client, NoAnswerError, peer_clients
from tealrill.leadership.election import LEASE_TTL_S, READMISSION_DELAY_S
from tealrill.leadership.open_jobs import cancellation_slack_s, renewal_staleness_bound_s
from tealrill.settings import Settings
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.client import StateClient, StateError
from tealrill.state.fencing import Leadership
from tealrill.types import FencingToken, Monotonic, Revision, lower_bound_deadline, monotonic_now

log = logging.getLogger(__name__)

EXTENSION_GRANT_S: Final = 4.0
"""How long a lease extension grant is in force, on the clock of the member that grants it."""
EXTENSION_PATH: Final = "/peer/truce"
PING_PATH: Final = "/peer/ping"
_GRANT_MARGIN_S: Final = 0.2
_REQUEST_INTERVAL_S: Final = 0.7
_REQUEST_TIMEOUT_S: Final = 0.6
_PROBE_TIMEOUT_S: Final = 0.3
_READMISSION_MARGIN_S: Final = 0.5
_NO_LIMIT: Final = Monotonic(math.inf)


class ExtensionRequest(msgspec.Struct, frozen=True):
    """The leader's request for a lease extension grant."""

    term: int
    seen: int = 0
    """The revision up to which the leader knows all changes of jobs."""


class ExtensionAnswer(msgspec.Struct, frozen=True):
    """A member's grant or refusal, with the cancellations that it has acknowledged."""

    promised: bool
    why: str = ""
    cancelled: list[str] = []
    """Jobs whose cancellation was acknowledged here after the leader's revision `seen`."""
    vouches: bool = True
    """True if `cancelled` is certainly complete for this host; just after a restart it isn't."""


class Presence(msgspec.Struct, frozen=True):
    """The answer to a ping."""

    leads: bool
    reports: int = 0
    """Number of recent heartbeats received from workers (`leadership/transfer.py`)."""
    lost_term: int | None = None
    """The term whose leader this member considers failed (`lease_revocation.py`)."""


async def ask_presence(peer: Client) -> Presence | None:
    """Return another member's presence; None if it does not answer within `_PROBE_TIMEOUT_S`."""
    try:
        answer = await peer.request("GET", PING_PATH, timeout_s=_PROBE_TIMEOUT_S)
        return wire.decode(answer.body, Presence)
    except (NoAnswerError, wire.MalformedMessageError):
        return None


class ExtensionGranter(Protocol):
    """The part of an `Election` that lease extensions use."""

    leadership: Leadership | None

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        """Grant an extension until `until`; return the reason of a refusal, empty if granted."""


@dataclass(frozen=True, slots=True)
class CancellationKnowledge:
    """Up to when a leader knows all cancellations."""

    revision: Revision = Revision(0)
    """All cancellations up to this revision are known."""
    at: Monotonic = Monotonic(-math.inf)
    """All cancellations acknowledged before this moment are known."""


class LeaseExtension:
    """Requests extension grants while this node leads, and grants them to another leader."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        election: ExtensionGranter,
        acknowledged: AcknowledgedCancellations | None = None,
        now: Callable[[], Monotonic] = monotonic_now,
    ) -> None:
        self._client = client
        self._election = election
        self._acknowledged = acknowledged or AcknowledgedCancellations(lambda: Revision(0))
        self._now = now
        self.cancellation_knowledge: Callable[[], CancellationKnowledge] = CancellationKnowledge
        """Returns this node's knowledge of cancellations while it leads."""
        self.on_cancelled: Callable[[str], None] = lambda _: None
        """Called with each job whose cancellation some node reports as acknowledged."""
        self.on_cancellations_known: Callable[[Leadership, Monotonic], None] = lambda _, __: None
        """Called when all cancellations acknowledged before that moment have been reported."""
        self.heartbeat_count: Callable[[], int] = lambda: 0
        self.lost_term: Callable[[], FencingToken | None] = lambda: None
        self.is_excluded: Callable[[Leadership, str], bool] = lambda _, __: False
        """Returns True if the member certainly can't be elected before its readmission."""
        self.on_extended_by_exclusion: Callable[[Leadership, Monotonic], None] = lambda _, __: None
        """Called with the latest end of a term that was extended relying on `is_excluded`."""
        self._peers = peer_clients(settings)
        workers = settings.params.workers
        # A cancellation can be acknowledged right after a grant. The leader may then act without
        # knowing it until the grant expires, and a worker runs its task for one more lease.
        self._staleness_bound_s = renewal_staleness_bound_s(workers)
        self.is_possible = cancellation_slack_s(workers) >= EXTENSION_GRANT_S
        self._is_extended = False
        self._is_limited = False
        self._refusals = ChangeLog(log)

    # -- the leader's side ----------------------------------------------------------------------

    async def run(self) -> None:
        """Extend the leader's validity by extension grants while its lease can't be renewed."""
        while True:
            leadership = self._election.leadership
            if leadership is not None and leadership.renewal_failed and self.is_possible:
                await self._request_grants(leadership)
            else:
                if leadership is not None and self._is_extended:
                    log.info("lease renewed again, no extension needed: term=%d", leadership.term)
                self._is_extended = False
                self._refusals.reset()
            await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _request_grants(self, leadership: Leadership) -> None:
        sent = self._now()
        if not leadership.valid(sent):
            return
        knowledge = self.cancellation_knowledge()
        request = ExtensionRequest(leadership.term, knowledge.revision)
        answers = await asyncio.gather(*(self._ask(c, request) for c in self._peers.values()))
        # The watch may not have delivered this node's own acknowledged cancellations yet either.
        acknowledged_jobs = [self._acknowledged.since(knowledge.revision)]
        acknowledged_jobs += [answer.cancelled for answer in answers if answer is not None]
        for job in chain.from_iterable(acknowledged_jobs):
            self.on_cancelled(job)
        answer_by_host = dict(zip(self._peers, answers, strict=True))
        unreachable = [name for name, answer in answer_by_host.items() if answer is None]
        refused = [f"{n}: no answer" for n in unreachable if not self.is_excluded(leadership, n)]
        refused += [
            f"{n}: {a.why}" for n, a in answer_by_host.items() if a is not None and not a.promised
        ]
        if refused:
            self._refusals.info(
                f"lease not extended: term={leadership.term} refused={'; '.join(refused)}"
            )
            return
        limit = _NO_LIMIT
        not_vouching = [n for n, a in answer_by_host.items() if a is None or not a.vouches]
        if not self._acknowledged.is_complete_since(knowledge.revision):
            not_vouching.append("this node itself")
        if not not_vouching:
            self.on_cancellations_known(leadership, sent)
        else:
            # These hosts may have acknowledged cancellations that no answer has reported.
            limit = Monotonic(knowledge.at + self._staleness_bound_s)
        if unreachable:
            limit = min(
                limit,
                lower_bound_deadline(
                    leadership.renewed_at, LEASE_TTL_S + READMISSION_DELAY_S, _READMISSION_MARGIN_S
                ),
            )
            self.on_extended_by_exclusion(leadership, limit)
        if not self._is_extended:
            log.info("lease extended without the state service: term=%d", leadership.term)
        if not_vouching and (not self._is_extended or not self._is_limited):
            log.info(
                "lease extension limited, cancellations may be unknown: "
                "term=%d at_most_s=%.1f hosts=%s",
                leadership.term,
                max(0.0, limit - sent),
                ",".join(not_vouching),
            )
        self._is_extended = True
        self._is_limited = bool(not_vouching)
        self.extend(leadership, sent, limit)

    def extend(self, leadership: Leadership, sent: Monotonic, limit: Monotonic = _NO_LIMIT) -> None:
        """Extend the term, since each other member has granted it after `sent` or is excluded.

        The term is not extended beyond `limit`, and only if it is still valid: after a gap another
        member may have been elected, which later grants would not undo.
        """
        if leadership.valid(self._now()):
            until = lower_bound_deadline(sent, EXTENSION_GRANT_S, _GRANT_MARGIN_S)
            leadership.valid_until = max(leadership.valid_until, min(until, limit))

    async def _ask(self, client: Client, request: ExtensionRequest) -> ExtensionAnswer | None:
        """Return a member's answer; None if it does not answer."""
        try:
            body = wire.encode(request)
            answer = await client.request("POST", EXTENSION_PATH, body, _REQUEST_TIMEOUT_S)
            return wire.decode(answer.body, ExtensionAnswer)
        except NoAnswerError:
            return None
        except wire.MalformedMessageError as error:
            return ExtensionAnswer(False, str(error))

    # -- a restarted member -----------------------------------------------------------------------

    async def no_peer_leads(self) -> bool:
        """Return True if every other member answers that it does not lead."""
        return all(found is not None and not found.leads for found in await self._presences())

    async def any_peer_answers(self) -> bool:
        """Return True if at least one other member answers."""
        return any(found is not None for found in await self._presences())

    async def _presences(self) -> list[Presence | None]:
        """Return the presence of every other member; None for those that do not answer."""
        return await asyncio.gather(*map(ask_presence, self._peers.values()))

    def presence(self) -> Presence:
        """Return this member's presence."""
        return Presence(
            self._election.leadership is not None, self.heartbeat_count(), self.lost_term()
        )

    # -- the other members' side ------------------------------------------------------------------

    async def handle_request(self, request: ExtensionRequest) -> ExtensionAnswer:
        """Answer a leader's request; grant it only if the state service is unreachable from here.

        If this member reaches it, only the leader is partitioned from it, and another member should
        be elected. The answer carries the cancellations acknowledged here, which the leader may not
        know and whose tasks it would otherwise keep running.
        """
        if await self._is_state_service_reachable():
            return ExtensionAnswer(False, "the state service answers here")
        why = self._election.grant_extension(
            FencingToken(request.term), Monotonic(self._now() + EXTENSION_GRANT_S)
        )
        seen = Revision(request.seen)
        acknowledged = self._acknowledged
        return ExtensionAnswer(
            not why, why, acknowledged.since(seen), acknowledged.is_complete_since(seen)
        )

    async def _is_state_service_reachable(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await self._client.get("leader")
        except (StateError, TimeoutError):
            return False
        return True
