"""Going on through an outage of the state service.

A leader that can't renew its lease falls silent, and an outage longer than the workers' lease then
ends every task. It may go on if every other member has promised, for a short time, not to stand
for election: then nobody can be elected, whatever the lease does. docs/design.md has the argument.
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
from tealrill.leadership.election import LEASE_TTL_S, READMISSION_S
from tealrill.leadership.open_jobs import cancel_spare_s, renewal_staleness_bound_s
from tealrill.settings import Settings
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.client import StateClient, StateError
from tealrill.state.fencing import Leadership
from tealrill.types import FencingToken, Monotonic, Revision, lower_bound_deadline, monotonic_now

log = logging.getLogger(__name__)

EXTENSION_GRANT_S: Final = 4.0
"""How long a promise holds on the clock of the member that gives it."""
EXTENSION_PATH: Final = "/peer/truce"
PING_PATH: Final = "/peer/ping"
_MARGIN_S: Final = 0.2
_ASK_EVERY_S: Final = 0.7
_ASK_TIMEOUT_S: Final = 0.6
_PROBE_S: Final = 0.3
_READMISSION_MARGIN_S: Final = 0.5
_FOREVER: Final = Monotonic(math.inf)


class ExtensionRequest(msgspec.Struct, frozen=True):
    """The leader asks a member for its promise not to elect another."""

    term: int
    seen: int = 0
    """The revision up to which the leader has seen changes of jobs."""


class ExtensionAnswer(msgspec.Struct, frozen=True):
    """A member's promise, or its refusal, with the cancellations it acknowledged."""

    promised: bool
    why: str = ""
    cancelled: list[str] = []
    """Jobs whose cancellation was acknowledged here after the revision that the leader has seen."""
    vouches: bool = True
    """These are all that this host acknowledged; a restarted process can't know that at first."""


class Presence(msgspec.Struct, frozen=True):
    """The answer to a ping."""

    leads: bool
    reports: int = 0
    """Workers' reports that came to this node lately (`leadership/transfer.py`)."""
    lost_term: int | None = None
    """The term whose leader it finds lost (`lease_revocation.py`)."""


async def ask_presence(peer: Client) -> Presence | None:
    """What another member says of itself; None if it does not answer at once."""
    try:
        answer = await peer.request("GET", PING_PATH, timeout_s=_PROBE_S)
        return wire.decode(answer.body, Presence)
    except (NoAnswerError, wire.MalformedMessageError):
        return None


class Standing(Protocol):
    """The part of an election that promises concern."""

    leadership: Leadership | None

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        """Empty if this node will not stand before `until`; else why it can't promise that."""


@dataclass(frozen=True, slots=True)
class CancellationKnowledge:
    """What a leader knows of cancellations."""

    revision: Revision = Revision(0)
    """It knows all up to this one."""
    at: Monotonic = Monotonic(-math.inf)
    """Whatever was acknowledged before this moment is among them."""


class LeaseExtension:
    """Asks for promises while this node leads, and gives them while another does."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        election: Standing,
        acknowledged: AcknowledgedCancellations | None = None,
        now: Callable[[], Monotonic] = monotonic_now,
    ) -> None:
        self._client = client
        self._election = election
        self._acknowledged = acknowledged or AcknowledgedCancellations(lambda: Revision(0))
        self._now = now
        self.cancellation_knowledge: Callable[[], CancellationKnowledge] = CancellationKnowledge
        """What this node, when it leads, knows of cancellations."""
        self.on_cancelled: Callable[[str], None] = lambda _: None
        """Tells this node's leader of a cancellation that another node has acknowledged."""
        self.on_cancellations_known: Callable[[Leadership, Monotonic], None] = lambda _, __: None
        """All that was acknowledged before that moment has been told."""
        self.heartbeat_count: Callable[[], int] = lambda: 0
        self.lost_term: Callable[[], FencingToken | None] = lambda: None
        self.is_excluded: Callable[[Leadership, str], bool] = lambda _, __: False
        """Whether a member that does not answer certainly can't be elected for a while."""
        self.on_extended_by_exclusion: Callable[[Leadership, Monotonic], None] = lambda _, __: None
        """The term is prolonged until then by that."""
        self._peers = peer_clients(settings)
        workers = settings.params.workers
        # A cancellation can be acknowledged right after a promise was given. The leader may then
        # go on for as long as the promise holds, and the worker for a lease longer.
        self._unseen_s = renewal_staleness_bound_s(workers)
        self.possible = cancel_spare_s(workers) >= EXTENSION_GRANT_S
        self._extending = False
        self._bounded = False
        self._refusals = ChangeLog(log)

    # -- the leader's side ----------------------------------------------------------------------

    async def run(self) -> None:
        """Extend the leader's validity by a majority whenever its lease can't be renewed."""
        while True:
            leadership = self._election.leadership
            if leadership is not None and leadership.renewal_failed and self.possible:
                await self._seek(leadership)
            else:
                if leadership is not None and self._extending:
                    log.info("term %d: leadership held by its lease again", leadership.term)
                self._extending = False
                self._refusals.forget()
            await asyncio.sleep(_ASK_EVERY_S)

    async def _seek(self, leadership: Leadership) -> None:
        sent = self._now()
        if not leadership.valid(sent):
            return
        seen = self.cancellation_knowledge()
        request = ExtensionRequest(leadership.term, seen.revision)
        answers = await asyncio.gather(*(self._ask(c, request) for c in self._peers.values()))
        # What this node itself acknowledged may not have come back by its watch either.
        told = [self._acknowledged.since(seen.revision)]
        told += [answer.cancelled for answer in answers if answer is not None]
        for job in chain.from_iterable(told):
            self.on_cancelled(job)
        by_name = dict(zip(self._peers, answers, strict=True))
        silent = [name for name, answer in by_name.items() if answer is None]
        refused = [f"{n}: no answer" for n in silent if not self.is_excluded(leadership, n)]
        refused += [f"{n}: {a.why}" for n, a in by_name.items() if a is not None and not a.promised]
        if refused:
            self._refusals.info(f"term {leadership.term}: lease not extended: {'; '.join(refused)}")
            return
        latest = _FOREVER
        unknown = [n for n, a in by_name.items() if a is None or not a.vouches]
        if not self._acknowledged.is_complete_since(seen.revision):
            unknown.append("this node itself")
        if not unknown:
            self.on_cancellations_known(leadership, sent)
        else:
            # They, or their former processes, may have acknowledged what nobody here has seen.
            latest = Monotonic(seen.at + self._unseen_s)
        if silent:
            latest = min(
                latest,
                lower_bound_deadline(
                    leadership.renewed_at, LEASE_TTL_S + READMISSION_S, _READMISSION_MARGIN_S
                ),
            )
            self.on_extended_by_exclusion(leadership, latest)
        if not self._extending:
            log.info(
                "term %d: goes on without the state service, by all others' promise",
                leadership.term,
            )
        if unknown and (not self._extending or not self._bounded):
            log.info(
                "term %d: for %.1f s at most, since %s can't vouch for cancellations",
                leadership.term,
                max(0.0, latest - sent),
                ", ".join(unknown),
            )
        self._extending = True
        self._bounded = bool(unknown)
        self.extend(leadership, sent, latest)

    def extend(self, leadership: Leadership, sent: Monotonic, latest: Monotonic = _FOREVER) -> None:
        """All others have promised, after `sent`; `latest` is how far they may be prolonged on.

        Only a term that was valid all the time is prolonged. After a gap somebody else may have
        been elected, and promises given afterwards would not undo that.
        """
        if leadership.valid(self._now()):
            until = lower_bound_deadline(sent, EXTENSION_GRANT_S, _MARGIN_S)
            leadership.valid_until = max(leadership.valid_until, min(until, latest))

    async def _ask(self, client: Client, request: ExtensionRequest) -> ExtensionAnswer | None:
        """A member's answer; None if it says nothing."""
        try:
            body = wire.encode(request)
            answer = await client.request("POST", EXTENSION_PATH, body, _ASK_TIMEOUT_S)
            return wire.decode(answer.body, ExtensionAnswer)
        except NoAnswerError:
            return None
        except wire.MalformedMessageError as error:
            return ExtensionAnswer(False, str(error))

    # -- a restarted member -----------------------------------------------------------------------

    async def no_peer_leads(self) -> bool:
        """Whether every other member says that it does not lead; no answer says nothing."""
        return all(found is not None and not found.leads for found in await self._presences())

    async def any_peer_answers(self) -> bool:
        """Whether any other member answers."""
        return any(found is not None for found in await self._presences())

    async def _presences(self) -> list[Presence | None]:
        """What every other member says of itself; None for those that say nothing."""
        return await asyncio.gather(*map(ask_presence, self._peers.values()))

    def presence(self) -> Presence:
        """Return what this member tells others of itself."""
        return Presence(
            self._election.leadership is not None, self.heartbeat_count(), self.lost_term()
        )

    # -- the others' side -----------------------------------------------------------------------

    async def handle_request(self, request: ExtensionRequest) -> ExtensionAnswer:
        """A promise is given only by a member that can't reach the state service either.

        Were it reachable from here, the leader alone would be cut off, and another leader serves
        better. With the promise goes what the leader may not have heard: cancellations that were
        acknowledged here, which it would otherwise let run on.
        """
        if await self._state_answers():
            return ExtensionAnswer(False, "the state service answers here")
        why = self._election.grant_extension(
            FencingToken(request.term), Monotonic(self._now() + EXTENSION_GRANT_S)
        )
        seen = Revision(request.seen)
        known = self._acknowledged
        return ExtensionAnswer(not why, why, known.since(seen), known.is_complete_since(seen))

    async def _state_answers(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_S):
                await self._client.get("leader")
        except (StateError, TimeoutError):
            return False
        return True
