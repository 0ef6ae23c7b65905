"""A leader whose term is extended through an outage stops acknowledged cancelled tasks in time.

One leader and two members acknowledge cancellations. The leader's watch lags, the state service
fails and recovers, and members restart quickly and lose their knowledge of what they acknowledged.
While the leader may act, a cancellation that it does not know must be recent enough for its tasks
to end within `cancel_s`. `test_removed_condition_lets_cancelled_tasks_run_on` removes the
protocol's conditions one by one.
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
_LEASE_VALIDITY_S = 3.0
_WATCH_LAG_S = 3.0


class _State:
    def __init__(self) -> None:
        self.up = True
        self.revision = 10

    async def get(self, key: str) -> None:
        if not self.up:
            raise StateUnavailableError("status 503")


class _Member:
    """A node that never campaigns; a restart loses all its knowledge."""

    leadership: Leadership | None = None

    def __init__(self, simulation: _Simulation) -> None:
        self.first_revision: Revision | None = None
        self.known = AcknowledgedCancellations(lambda: self.first_revision)
        self.extension = LeaseExtension(
            settings.parse(orjson.dumps(SETTINGS)),
            cast(StateClient, simulation.state),
            self,
            self.known,
            lambda: simulation.now,
        )

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        return ""


class _Simulation:
    def __init__(self, seed: int, removed_condition: str = "") -> None:
        self.rng = random.Random(seed)
        self.removed_condition = removed_condition
        self.now = Monotonic(100.0)
        self.state = _State()
        self.members = [_Member(self) for _ in range(3)]
        self.acknowledged_at: dict[str, Monotonic] = {}
        self.revision_of: dict[str, int] = {}
        self.known: set[str] = set()
        self.knowledge = CancellationKnowledge(Revision(10), self.now)
        self.leadership = Leadership(FencingToken(1), Revision(1), LeaseId(1), self.now, self.now)
        for member in self.members:
            member.first_revision = Revision(10)
        self._lead()

    def _lead(self) -> None:
        extension = self.members[0].extension
        extension.cancellation_knowledge = lambda: self.knowledge
        extension.on_cancelled = self.known.add
        extension._peers = {"1": cast(Any, 1), "2": cast(Any, 2)}

        async def ask(number: Any, request: ExtensionRequest) -> ExtensionAnswer:
            answer: ExtensionAnswer = await self.members[number].extension.handle_request(request)
            vouches = answer.vouches or self.removed_condition == "vouching"
            return ExtensionAnswer(answer.promised, answer.why, answer.cancelled, vouches)

        extension._ask = ask  # type: ignore[method-assign,assignment]

    def run(self, steps: int) -> None:
        actions = [
            self.cancel,
            self.poll,
            self.ask,
            self.ask,
            self.restart,
            self.toggle_outage,
            self.read_first_revision,
        ]
        for action in self.rng.choices(actions, k=steps):
            action()
            self.pass_time(self.rng.choice([0.05, 0.3, 0.7, 2.0]))
            self.check()

    def cancel(self) -> None:
        """Commit a cancellation; its user learns of it by the answer or by a later poll."""
        if self.state.up:
            self.state.revision += 1
            name = f"wk-{self.state.revision}"
            self.revision_of[name] = self.state.revision
            if self.rng.random() < 0.7:
                self._acknowledge(name, self.rng.choice(self.members))
            elif self.rng.random() < 0.5:
                self.poll()
            # The critical cancellations are those acknowledged just before an outage.
            self.state.up = self.rng.random() < 0.5

    def poll(self) -> None:
        unacknowledged = [name for name in self.revision_of if name not in self.acknowledged_at]
        if unacknowledged and self.state.up:
            name = unacknowledged[-1]
            if self.removed_condition == "polls":
                self.acknowledged_at[name] = self.now
            else:
                self._acknowledge(name, self.rng.choice(self.members))

    def _acknowledge(self, name: str, member: _Member) -> None:
        member.known.add(name, Revision(self.revision_of[name]))
        self.acknowledged_at[name] = self.now

    def restart(self) -> None:
        if self.rng.random() < 0.5:
            self.members[self.rng.choice([1, 2])] = _Member(self)

    def read_first_revision(self) -> None:
        for member in self.members:
            if self.state.up and member.first_revision is None:
                member.first_revision = Revision(self.state.revision)

    def toggle_outage(self) -> None:
        # Outages must last longer than an unknown cancellation may stay unknown.
        self.state.up = not self.state.up and self.rng.random() < 0.3

    def ask(self) -> None:
        if not self.state.up and self.leadership.valid(self.now):
            if self.removed_condition == "own":
                self.members[0].extension._acknowledged = AcknowledgedCancellations(
                    lambda: Revision(0)
                )
            asyncio.run(self.members[0].extension._request_grants(self.leadership))

    def pass_time(self, seconds: float) -> None:
        self.now = Monotonic(self.now + seconds)
        if self.state.up:
            self.leadership.valid_until = Monotonic(self.now + _LEASE_VALIDITY_S)
            if self.now - self.knowledge.at > self.rng.uniform(0.0, _WATCH_LAG_S):
                self.knowledge = CancellationKnowledge(Revision(self.state.revision), self.now)
                self.known |= {
                    n for n, at in self.revision_of.items() if at <= self.knowledge.revision
                }

    def check(self) -> None:
        if not self.leadership.valid(self.now):
            return
        gone_at = self.now + _WORKERS["lease_s"]
        for name, acknowledged_at in self.acknowledged_at.items():
            late = gone_at > acknowledged_at + _WORKERS["cancel_s"]
            assert name in self.known or not late, f"{name} runs on"


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_cancelled_tasks_end_in_time_during_outage(seed: int) -> None:
    _Simulation(seed).run(80)


@pytest.mark.parametrize("removed_condition", ["vouching", "polls", "own"])
def test_removed_condition_lets_cancelled_tasks_run_on(removed_condition: str) -> None:
    with pytest.raises(AssertionError, match="runs on"):
        for seed in range(3000):
            _Simulation(seed, removed_condition).run(80)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_cancelled_tasks_end_in_time_if_cancellations_are_dropped(seed: int) -> None:
    """Each member keeps only its latest acknowledged cancellation, so older ones are dropped."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(acknowledged_module, "_MAX_KEPT", 1)
        _Simulation(seed).run(80)


def test_vouching_for_dropped_cancellations_lets_tasks_run_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(acknowledged_module, "_MAX_KEPT", 1)

    def is_complete_since(self: AcknowledgedCancellations, revision: Revision) -> bool:
        first_revision = self._first_seen()
        return first_revision is not None and first_revision <= revision

    monkeypatch.setattr(AcknowledgedCancellations, "is_complete_since", is_complete_since)
    with pytest.raises(AssertionError, match="runs on"):
        for seed in range(3000):
            _Simulation(seed).run(80)


def test_cancellations_are_complete_since_first_revision() -> None:
    first_revision: list[Revision] = []
    known = AcknowledgedCancellations(lambda: first_revision[0] if first_revision else None)
    assert not known.is_complete_since(Revision(100))
    first_revision.append(Revision(50))
    assert known.is_complete_since(Revision(50))
    assert not known.is_complete_since(Revision(49))


def test_cancellations_are_incomplete_after_dropping(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acknowledged_module, "_MAX_KEPT", 3)
    known = AcknowledgedCancellations(lambda: Revision(0))
    for at in (7, 9, 8, 10):
        known.add(f"wk-{at}", Revision(at))
    assert known.since(Revision(0)) == ["wk-9", "wk-8", "wk-10"]
    # The oldest was dropped, so the list is incomplete for a leader that has not seen it.
    assert not known.is_complete_since(Revision(6))
    assert known.is_complete_since(Revision(7))


def test_extension_without_vouching_is_limited() -> None:
    simulation = _Simulation(0)
    simulation.members[1] = _Member(simulation)
    simulation.knowledge = CancellationKnowledge(Revision(10), simulation.now)
    simulation.leadership.valid_until = Monotonic(simulation.now + _LEASE_VALIDITY_S)
    simulation.state.up = False
    began = simulation.now
    while simulation.leadership.valid(simulation.now):
        simulation.ask()
        simulation.now = Monotonic(simulation.now + 0.5)
    # Longer than one grant, but no longer than an unknown cancelled task may run.
    spare = _WORKERS["cancel_s"] - _WORKERS["lease_s"]
    assert EXTENSION_GRANT_S < simulation.now - began < spare
