"""Promises not to stand for election: each clause of the argument in docs/design.md."""

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
    """As much of the state service as an election uses."""

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


def _election(state: _State, promised_s: float = 0.0) -> Election:
    return Election(cast(StateClient, state), "host-0", lambda: None, promised_s)


def _campaign(election: Election, mod_revision: int = 0) -> bool:
    asyncio.run(election._campaign(Revision(mod_revision)))
    return election.leadership is not None


def test_who_has_promised_does_not_stand_before_the_promise_is_over(clock: _Clock) -> None:
    election = _election(_State())
    assert election.grant_extension(FencingToken(4), Monotonic(clock.now + EXTENSION_GRANT_S)) == ""
    assert not _campaign(election)
    clock.now = Monotonic(clock.now + EXTENSION_GRANT_S)
    assert _campaign(election)


def test_a_restarted_member_may_have_promised(clock: _Clock) -> None:
    assert not _campaign(_election(_State(), EXTENSION_GRANT_S))
    # Before the first term nobody can hold a promise, and nothing is to be waited for.
    assert _campaign(_election(_State(term=None), EXTENSION_GRANT_S))
    # The key of this host's own former process belongs to nobody who could hold one.
    assert _campaign(_election(_State(), EXTENSION_GRANT_S), mod_revision=7)


def test_a_restarted_member_stands_at_once_if_nobody_leads(clock: _Clock) -> None:
    # All controllers crashed together, and the wait for the promise's end cost every task.
    election = _election(_State(), EXTENSION_GRANT_S)
    extension = _extension(_State(), election, clock)
    said: dict[str, NoAnswerError | bytes] = {
        "answer": NoAnswerError("refused", False, refused=True)
    }

    async def request(*_: object, timeout_s: float) -> HttpAnswer:
        answer = said["answer"]
        if isinstance(answer, NoAnswerError):
            raise answer
        found = HttpAnswer()
        found.body = answer
        return found

    for peer in extension._peers.values():
        peer.request = request  # type: ignore[method-assign,assignment]
    election.no_peer_leads = extension.no_peer_leads
    assert not _campaign(election)
    said["answer"] = wire.encode(Presence(leads=True))
    assert not _campaign(election)
    said["answer"] = wire.encode(Presence(leads=False))
    # A promise of this very process still holds.
    assert election.grant_extension(FencingToken(4), Monotonic(clock.now + 1.0)) == ""
    assert not _campaign(election)
    clock.now = Monotonic(clock.now + 1.0)
    assert _campaign(election)


@pytest.mark.parametrize(
    ("outcome", "promised"), [("unknown", False), ("refused", True), ("failed", True)]
)
def test_an_election_without_an_answer_may_take_place_late(
    clock: _Clock, outcome: str, promised: bool
) -> None:
    election = _election(_State(outcome=outcome))
    assert not _campaign(election)
    assert (election.grant_extension(FencingToken(4), Monotonic(200.0)) == "") is promised
    # The guard on the term makes the late one fail once a later term is there.
    assert election.grant_extension(FencingToken(5), Monotonic(200.0)) == ""


def test_no_promise_to_a_leader_of_the_past(clock: _Clock) -> None:
    election = _election(_State())
    election.known_leader = KnownLeader("host-1", FencingToken(5))
    assert election.grant_extension(FencingToken(4), Monotonic(200.0)) != ""
    election.known_leader = None
    assert _campaign(election)
    assert election.leadership is not None
    # Asked by its own term's number, it is not asked by a later leader.
    assert election.grant_extension(election.leadership.term, Monotonic(200.0)) == "leads itself"


def test_who_was_followed_promises_to_the_one_that_follows(clock: _Clock) -> None:
    # Refused by the state service alone it can't see that its key has gone. Its "leads itself" made
    # its successor fall silent in an outage, and every task ended with its lease.
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

    known_leader = AcknowledgedCancellations(lambda: state.first_seen)
    known_leader.add("wk-1", Revision(50))
    return LeaseExtension(parsed, cast(StateClient, state), election, known_leader, clock)


def test_only_a_term_without_a_gap_is_prolonged(clock: _Clock) -> None:
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


def test_a_member_that_reaches_the_state_service_promises_nothing(clock: _Clock) -> None:
    state = _State()
    state.keys[LEADER_KEY] = ({"host": "host-1"}, 8)
    election = _election(state)
    extension = _extension(state, election, clock)
    assert not asyncio.run(extension.handle_request(ExtensionRequest(4))).promised
    state.down = True
    assert asyncio.run(extension.handle_request(ExtensionRequest(4, seen=60))) == ExtensionAnswer(
        True
    )
    # What was cancelled here without the leader's knowledge goes with the promise.
    assert asyncio.run(extension.handle_request(ExtensionRequest(4, seen=40))) == ExtensionAnswer(
        True, cancelled=["wk-1"]
    )
    state.down = False
    assert not _campaign(election)


def test_one_missing_promise_is_silence(clock: _Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    election = _election(_State())
    members = [{"host_name": f"n-{n}", "zone": "north", "peer_addr": "x:1"} for n in range(2)]
    extension = _extension(_State(), election, clock, members=members)
    # Its own process's first look lies before what it has seen as a leader.
    extension.cancellation_knowledge = lambda: CancellationKnowledge(Revision(30), clock.now)
    told: list[str] = []
    extension.on_cancelled = told.append

    def extended(last: ExtensionAnswer) -> bool:
        left = iter([ExtensionAnswer(True, cancelled=["wk-2"]), last])

        async def ask(*_: object) -> ExtensionAnswer:
            return next(left)

        monkeypatch.setattr(extension, "_ask", ask)
        leadership = Leadership(
            FencingToken(4), Revision(1), LeaseId(1), Monotonic(90.0), Monotonic(101.0)
        )
        asyncio.run(extension._seek(leadership))
        return leadership.valid_until > 101.0

    assert extended(ExtensionAnswer(True))
    assert not extended(ExtensionAnswer(False, "no answer"))
    # With what this node itself acknowledged, which may not have come back to it.
    assert set(told) == {"wk-1", "wk-2"}


def test_no_extension_where_a_cancellation_would_come_too_late(clock: _Clock) -> None:
    workers = SETTINGS["params"]["workers"]
    short = {**workers, "cancel_s": workers["lease_s"] + EXTENSION_GRANT_S}
    params = {**SETTINGS["params"], "workers": short}
    assert not _extension(_State(), _election(_State()), clock, params=params).possible
    assert _extension(_State(), _election(_State()), clock).possible
