"""Lease extension grants: each condition of the safety argument in docs/design.md."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import orjson
import pytest

from tealrill import settings, wire
from tealrill.http import Answer as HttpAnswer
from tealrill.http import NoAnswerError
from tealrill.leadership import election as election_module
from tealrill.leadership.election import TERM_KEY, Election, KnownLeader
from tealrill.leadership.lease_extension import (
    EXTENSION_GRANT_S,
    CancellationKnowledge,
    ExtensionAnswer,
    ExtensionRequest,
    LeaseExtension,
    Presence,
)
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
)
from tealrill.state.fencing import LEADER_KEY, Leadership
from tealrill.types import FencingToken, LeaseId, Monotonic, Revision
from tests.samples import SETTINGS


class _State:
    """The part of the state service that an election uses."""

    def __init__(self, term: int | None = 4, outcome: str = "ok") -> None:
        self.keys: dict[str, tuple[Any, int]] = {} if term is None else {TERM_KEY: (term, 9)}
        self.outcome = outcome
        self.down = False
        self.commits = 0
        self.first_seen: Revision | None = Revision(20)

    async def get(self, key: str) -> wire.KeyValue | None:
        if self.down:
            raise StateUnavailableError("status 503")
        entry = self.keys.get(key)
        return None if entry is None else wire.KeyValue(value=entry[0], version=entry[1])

    async def create_lease(self, ttl_s: float) -> LeaseId:
        return LeaseId(1)

    async def end_lease(self, lease: LeaseId) -> None: ...

    def set_leading(self, leads: bool) -> None: ...

    async def commit(
        self, guards: Any, changes: Any, timeout_s: float = 2.0
    ) -> Committed | GuardsFailed:
        self.commits += 1
        if self.outcome == "unknown":
            raise OutcomeUnknownError("no answer")
        if self.outcome == "refused":
            raise StateUnavailableError("status 503")
        return Committed(Revision(10)) if self.outcome == "ok" else GuardsFailed([TERM_KEY])


class _Clock:
    def __init__(self) -> None:
        self.now = Monotonic(100.0)

    def __call__(self) -> Monotonic:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(election_module, "monotonic_now", clock)
    return clock


def _election(state: _State, previous_grants_s: float = 0.0) -> Election:
    return Election(cast(StateClient, state), "host-0", lambda: None, previous_grants_s)


def _campaign(election: Election, mod_revision: int = 0) -> bool:
    asyncio.run(election._campaign(Revision(mod_revision)))
    return election.leadership is not None


def test_no_campaign_before_grant_expires(clock: _Clock) -> None:
    election = _election(_State())
    assert election.grant_extension(FencingToken(4), Monotonic(clock.now + EXTENSION_GRANT_S)) == ""
    assert not _campaign(election)
    clock.now = Monotonic(clock.now + EXTENSION_GRANT_S)
    assert _campaign(election)


def test_restarted_member_waits_for_possible_grants(clock: _Clock) -> None:
    assert not _campaign(_election(_State(), EXTENSION_GRANT_S))
    # Before the first term no leader can have been granted an extension.
    assert _campaign(_election(_State(term=None), EXTENSION_GRANT_S))
    # If the leader's key is that of this host's previous process, no other member leads.
    assert _campaign(_election(_State(), EXTENSION_GRANT_S), mod_revision=7)


def test_restarted_member_campaigns_at_once_if_no_peer_leads(clock: _Clock) -> None:
    # After a crash of all controllers, waiting for the grants to expire would outlast the workers'
    # leases and end every task.
    election = _election(_State(), EXTENSION_GRANT_S)
    extension = _extension(_State(), election, clock)
    peer_answer: dict[str, NoAnswerError | bytes] = {
        "answer": NoAnswerError("refused", False, refused=True)
    }

    async def request(*_: object, timeout_s: float) -> HttpAnswer:
        answer = peer_answer["answer"]
        if isinstance(answer, NoAnswerError):
            raise answer
        found = HttpAnswer()
        found.body = answer
        return found

    for peer in extension._peers.values():
        peer.request = request  # type: ignore[method-assign,assignment]
    election.no_peer_leads = extension.no_peer_leads
    assert not _campaign(election)
    peer_answer["answer"] = wire.encode(Presence(leads=True))
    assert not _campaign(election)
    peer_answer["answer"] = wire.encode(Presence(leads=False))
    # A grant by this process itself is still in force.
    assert election.grant_extension(FencingToken(4), Monotonic(clock.now + 1.0)) == ""
    assert not _campaign(election)
    clock.now = Monotonic(clock.now + 1.0)
    assert _campaign(election)


@pytest.mark.parametrize(
    ("outcome", "promised"), [("unknown", False), ("refused", True), ("failed", True)]
)
def test_unknown_campaign_outcome_refuses_grants_to_earlier_terms(
    clock: _Clock, outcome: str, promised: bool
) -> None:
    election = _election(_State(outcome=outcome))
    assert not _campaign(election)
    assert (election.grant_extension(FencingToken(4), Monotonic(200.0)) == "") is promised
    # The guard on the term's key makes the late transaction fail once there is a later term.
    assert election.grant_extension(FencingToken(5), Monotonic(200.0)) == ""


def test_extension_is_refused_to_earlier_terms(clock: _Clock) -> None:
    election = _election(_State())
    election.known_leader = KnownLeader("host-1", FencingToken(5))
    assert election.grant_extension(FencingToken(4), Monotonic(200.0)) != ""
    election.known_leader = None
    assert _campaign(election)
    assert election.leadership is not None
    # A request with this node's own term is not one of a later leader.
    assert election.grant_extension(election.leadership.term, Monotonic(200.0)) == "leads itself"


def test_replaced_leader_grants_extension_to_successor(clock: _Clock) -> None:
    # While only its own requests to the state service fail, the former leader can't see that its
    # key no longer exists. If it refused the grant ("leads itself"), its successor would become
    # invalid in an outage, and every task would end with its worker's lease.
    election = _election(_State())
    assert _campaign(election)
    leadership = election.leadership
    assert leadership is not None
    assert (
        election.grant_extension(FencingToken(leadership.term - 1), Monotonic(200.0))
        == "leads itself"
    )
    assert election.leadership is leadership
    assert election.grant_extension(FencingToken(leadership.term + 1), Monotonic(200.0)) == ""
    assert election.leadership is None and not leadership.valid(Monotonic(500.0))


def _extension(state: _State, election: Election, clock: _Clock, **changes: Any) -> LeaseExtension:
    values = {**SETTINGS, **changes}
    parsed = settings.parse(orjson.dumps(values))

    acknowledged = AcknowledgedCancellations(lambda: state.first_seen)
    acknowledged.add("wk-1", Revision(50))
    return LeaseExtension(parsed, cast(StateClient, state), election, acknowledged, clock)


def test_only_valid_term_is_extended(clock: _Clock) -> None:
    extension = _extension(_State(), _election(_State()), clock)
    leadership = Leadership(
        FencingToken(4), Revision(1), LeaseId(1), Monotonic(90.0), Monotonic(101.0)
    )
    sent = clock.now
    clock.now = Monotonic(100.5)
    extension.extend(leadership, sent)
    assert 103.0 < leadership.valid_until < sent + EXTENSION_GRANT_S
    clock.now = Monotonic(110.0)
    extension.extend(leadership, Monotonic(109.9))
    assert not leadership.valid(clock.now)


def test_member_that_reaches_state_service_grants_nothing(clock: _Clock) -> None:
    state = _State()
    state.keys[LEADER_KEY] = ({"host": "host-1"}, 8)
    election = _election(state)
    extension = _extension(state, election, clock)
    assert not asyncio.run(extension.handle_request(ExtensionRequest(4))).promised
    state.down = True
    assert asyncio.run(extension.handle_request(ExtensionRequest(4, seen=60))) == ExtensionAnswer(
        True
    )
    # The grant carries cancellations acknowledged here that the leader does not know.
    assert asyncio.run(extension.handle_request(ExtensionRequest(4, seen=40))) == ExtensionAnswer(
        True, cancelled=["wk-1"]
    )
    state.down = False
    assert not _campaign(election)


def test_one_refusal_prevents_extension(clock: _Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    election = _election(_State())
    members = [{"host_name": f"n-{n}", "zone": "north", "peer_addr": "x:1"} for n in range(2)]
    extension = _extension(_State(), election, clock, members=members)
    # The revision that this process read first is older than what it knows as the leader.
    extension.cancellation_knowledge = lambda: CancellationKnowledge(Revision(30), clock.now)
    cancelled_jobs: list[str] = []
    extension.on_cancelled = cancelled_jobs.append

    def is_extended(last: ExtensionAnswer) -> bool:
        answers = iter([ExtensionAnswer(True, cancelled=["wk-2"]), last])

        async def ask(*_: object) -> ExtensionAnswer:
            return next(answers)

        monkeypatch.setattr(extension, "_ask", ask)
        leadership = Leadership(
            FencingToken(4), Revision(1), LeaseId(1), Monotonic(90.0), Monotonic(101.0)
        )
        asyncio.run(extension._request_grants(leadership))
        return leadership.valid_until > 101.0

    assert is_extended(ExtensionAnswer(True))
    assert not is_extended(ExtensionAnswer(False, "no answer"))
    # Includes this node's own cancellation, which its watch may not have delivered yet.
    assert set(cancelled_jobs) == {"wk-1", "wk-2"}


def test_extension_requires_enough_cancellation_slack(clock: _Clock) -> None:
    workers = SETTINGS["params"]["workers"]
    short = {**workers, "cancel_s": workers["lease_s"] + EXTENSION_GRANT_S}
    params = {**SETTINGS["params"], "workers": short}
    assert not _extension(_State(), _election(_State()), clock, params=params).is_possible
    assert _extension(_State(), _election(_State()), clock).is_possible
