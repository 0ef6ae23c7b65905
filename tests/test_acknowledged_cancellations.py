"""A leader that goes on through an outage stops in time what users were told is cancelled.

One leader and two members acknowledge cancellations; the leader's watch lags, the state service
comes and goes, members are started again within a moment and know nothing of what they said. A
cancellation that the leader does not know of must never be older than the protocol allows while
the leader may act. `test_each_clause_is_needed` takes the clauses away one by one.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealrill import settings
from tealrill.leadership.lease_extension import (
    EXTENSION_GRANT_S,
    CancellationKnowledge,
    ExtensionAnswer,
    ExtensionRequest,
    LeaseExtension,
)
from tealrill.state import acknowledged_cancellations as acknowledged_module
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.client import StateClient, StateUnavailableError
from tealrill.state.fencing import Leadership
from tealrill.types import FencingToken, LeaseId, Monotonic, Revision
from tests.samples import SETTINGS

_WORKERS = SETTINGS["params"]["workers"]
_RENEWED_S = 3.0
_WATCH_LAG_S = 3.0


class _State:
    def __init__(self) -> None:
        self.up = True
        self.revision = 10

    async def get(self, key: str) -> None:
        if not self.up:
            raise StateUnavailableError("status 503")


class _Member:
    """A node that does not stand; all that it knows goes with its process."""

    leadership: Leadership | None = None

    def __init__(self, world: _World) -> None:
        self.first: Revision | None = None
        self.known = AcknowledgedCancellations(lambda: self.first)
        self.extension = LeaseExtension(
            settings.parse(orjson.dumps(SETTINGS)),
            cast(StateClient, world.state),
            self,
            self.known,
            lambda: world.now,
        )

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        return ""


class _World:
    def __init__(self, seed: int, without: str = "") -> None:
        self.rng = random.Random(seed)
        self.without = without
        self.now = Monotonic(100.0)
        self.state = _State()
        self.members = [_Member(self) for _ in range(3)]
        self.told: dict[str, Monotonic] = {}
        self.at: dict[str, int] = {}
        self.known: set[str] = set()
        self.seen = CancellationKnowledge(Revision(10), self.now)
        self.leadership = Leadership(FencingToken(1), Revision(1), LeaseId(1), self.now, self.now)
        for member in self.members:
            member.first = Revision(10)
        self._lead()

    def _lead(self) -> None:
        extension = self.members[0].extension
        extension.cancellation_knowledge = lambda: self.seen
        extension.on_cancelled = self.known.add
        extension._peers = {"1": cast(Any, 1), "2": cast(Any, 2)}

        async def ask(number: Any, request: ExtensionRequest) -> ExtensionAnswer:
            answer: ExtensionAnswer = await self.members[number].extension.handle_request(request)
            vouches = answer.vouches or self.without == "vouching"
            return ExtensionAnswer(answer.promised, answer.why, answer.cancelled, vouches)

        extension._ask = ask  # type: ignore[method-assign,assignment]

    def run(self, steps: int) -> None:
        actions = [self.cancel, self.poll, self.ask, self.ask, self.restart, self.turn, self.look]
        for action in self.rng.choices(actions, k=steps):
            action()
            self.pass_time(self.rng.choice([0.05, 0.3, 0.7, 2.0]))
            self.check()

    def cancel(self) -> None:
        """A member commits a cancellation; its user may learn of it from it or from a poll."""
        if self.state.up:
            self.state.revision += 1
            name = f"wk-{self.state.revision}"
            self.at[name] = self.state.revision
            if self.rng.random() < 0.7:
                self._tell(name, self.rng.choice(self.members))
            elif self.rng.random() < 0.5:
                self.poll()
            # What matters is told in the last moment before an outage.
            self.state.up = self.rng.random() < 0.5

    def poll(self) -> None:
        never_sent = [name for name in self.at if name not in self.told]
        if never_sent and self.state.up:
            name = never_sent[-1]
            if self.without == "polls":
                self.told[name] = self.now
            else:
                self._tell(name, self.rng.choice(self.members))

    def _tell(self, name: str, member: _Member) -> None:
        member.known.add(name, Revision(self.at[name]))
        self.told[name] = self.now

    def restart(self) -> None:
        if self.rng.random() < 0.5:
            self.members[self.rng.choice([1, 2])] = _Member(self)

    def look(self) -> None:
        for member in self.members:
            if self.state.up and member.first is None:
                member.first = Revision(self.state.revision)

    def turn(self) -> None:
        # Outages are to outlast what may run unseen.
        self.state.up = not self.state.up and self.rng.random() < 0.3

    def ask(self) -> None:
        if not self.state.up and self.leadership.valid(self.now):
            if self.without == "own":
                self.members[0].extension._acknowledged = AcknowledgedCancellations(
                    lambda: Revision(0)
                )
            asyncio.run(self.members[0].extension._seek(self.leadership))

    def pass_time(self, seconds: float) -> None:
        self.now = Monotonic(self.now + seconds)
        if self.state.up:
            self.leadership.valid_until = Monotonic(self.now + _RENEWED_S)
            if self.now - self.seen.at > self.rng.uniform(0.0, _WATCH_LAG_S):
                self.seen = CancellationKnowledge(Revision(self.state.revision), self.now)
                self.known |= {n for n, at in self.at.items() if at <= self.seen.revision}

    def check(self) -> None:
        if not self.leadership.valid(self.now):
            return
        gone_at = self.now + _WORKERS["lease_s"]
        for name, told in self.told.items():
            late = gone_at > told + _WORKERS["cancel_s"]
            assert name in self.known or not late, f"{name} runs on"


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_nothing_cancelled_runs_on_through_an_outage(seed: int) -> None:
    _World(seed).run(80)


@pytest.mark.parametrize("clause", ["vouching", "polls", "own"])
def test_each_clause_is_needed(clause: str) -> None:
    with pytest.raises(AssertionError, match="runs on"):
        for seed in range(3000):
            _World(seed, clause).run(80)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_nothing_runs_on_where_more_are_called_off_than_are_kept(seed: int) -> None:
    """One-task jobs by the hundred, a quarter of them called off, in an outage."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(acknowledged_module, "_KEPT", 1)
        _World(seed).run(80)


def test_what_was_let_go_is_not_vouched_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acknowledged_module, "_KEPT", 1)

    def is_complete_since(self: AcknowledgedCancellations, revision: Revision) -> bool:
        first = self._first_seen()
        return first is not None and first <= revision

    monkeypatch.setattr(AcknowledgedCancellations, "is_complete_since", is_complete_since)
    with pytest.raises(AssertionError, match="runs on"):
        for seed in range(3000):
            _World(seed).run(80)


def test_a_restarted_member_vouches_for_what_came_after_its_first_look() -> None:
    first: list[Revision] = []
    known = AcknowledgedCancellations(lambda: first[0] if first else None)
    assert not known.is_complete_since(Revision(100))
    first.append(Revision(50))
    assert known.is_complete_since(Revision(50))
    assert not known.is_complete_since(Revision(49))


def test_too_many_cancellations_are_not_vouched_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acknowledged_module, "_KEPT", 3)
    known = AcknowledgedCancellations(lambda: Revision(0))
    for at in (7, 9, 8, 10):
        known.add(f"wk-{at}", Revision(at))
    assert known.since(Revision(0)) == ["wk-9", "wk-8", "wk-10"]
    # The oldest was let go, so a leader that has not seen it is told that something is missing.
    assert not known.is_complete_since(Revision(6))
    assert known.is_complete_since(Revision(7))


def test_an_unvouched_promise_holds_for_a_bounded_time() -> None:
    world = _World(0)
    world.members[1] = _Member(world)
    world.seen = CancellationKnowledge(Revision(10), world.now)
    world.leadership.valid_until = Monotonic(world.now + _RENEWED_S)
    world.state.up = False
    began = world.now
    while world.leadership.valid(world.now):
        world.ask()
        world.now = Monotonic(world.now + 0.5)
    # Longer than one promise, and no longer than what nobody here knows of may run.
    spare = _WORKERS["cancel_s"] - _WORKERS["lease_s"]
    assert EXTENSION_GRANT_S < world.now - began < spare
