"""Delegations to renew workers: the delegate's side and the leader's, against one store."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import orjson
import pytest

from tealrill import settings, wire
from tealrill.daemon import Controller
from tealrill.http import Answer, Client, NoAnswerError
from tealrill.leadership.election import Election, KnownLeader
from tealrill.leadership.renewal_delegation import (
    DELEGATION_PREFIX,
    DELEGATION_S,
    Delegations,
    RenewalDelegate,
)
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    StateClient,
    StateError,
    StateUnavailableError,
)
from tealrill.state.fencing import LEADER_KEY
from tealrill.types import FencingToken, MachineId, Monotonic, Revision
from tests.samples import SETTINGS, report

MACHINE = MachineId("m-1")
LEADER = KnownLeader("node-1", FencingToken(3), Revision(7))


class Store:
    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int]] = {LEADER_KEY: ({}, 7)}
        self.epoch = 7
        self.down = False

    async def get(self, key: str) -> wire.KeyValue | None:
        entry = self.keys.get(key)
        return None if entry is None else wire.KeyValue(value=entry[0], version=entry[1])

    async def scan(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
        if self.down:
            raise StateUnavailableError("status 503")
        return [
            wire.Entry(key=k, value=v, version=r)
            for k, (v, r) in self.keys.items()
            if k.startswith(prefix)
        ], Revision(self.epoch)

    async def watch(self, prefix: str, since: Revision, hold_s: float) -> wire.WatchResult | None:
        return wire.WatchResult(revision=self.epoch, events=[])

    async def commit(
        self,
        guards: list[Any],
        changes: list[Any],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (0, 0))[1] != g["stamp"]]
        if failed:
            return GuardsFailed(failed)
        self.epoch += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.epoch)
            else:
                del self.keys[change["delete"]]
        return Committed(Revision(self.epoch))


class _Leader:
    """The leader's cluster address, as the delegate reaches it."""

    error: NoAnswerError | None = NoAnswerError("TimeoutError", False)

    async def request(self, *_: object, timeout_s: float) -> Answer:
        if self.error is not None:
            raise self.error
        return Answer()


class _Side:
    """A delegate in a cut zone, with its own clock."""

    def __init__(self, store: Store) -> None:
        self.now = Monotonic(100.0)
        client = cast(StateClient, store)
        self.election = Election(client, "node-0", lambda: None)
        self.election.known_leader = LEADER
        parsed = settings.parse(orjson.dumps(SETTINGS))
        self.delegate = RenewalDelegate(parsed, client, self.election, lambda: self.now)
        self.leader = _Leader()

    def tick(self) -> FencingToken | None:
        async def run() -> None:
            await self.delegate._ping(cast(Client, self.leader))
            if self.delegate._wanted(self.now):
                await self.delegate.confirm(LEADER)

        asyncio.run(run())
        return self.term()

    def term(self) -> FencingToken | None:
        """For a worker without tasks."""
        return self.delegate.renewal_token(report(MACHINE, 1, 1, 0), MACHINE, self.now)


def _delegations(store: Store) -> Delegations:
    return Delegations(cast(StateClient, store), LEADER.term, LEADER.mod_revision, lambda: None)


def test_a_delegate_renews_only_while_the_leader_is_out_of_reach() -> None:
    side = _Side(Store())
    assert [side.tick(), side.tick()] == [None, 3]
    side.now = Monotonic(side.now + DELEGATION_S)
    assert side.term() is None
    assert side.tick() == 3
    side.leader.error = None
    assert side.tick() is None
    # A refusal means a process that is gone, or controllers kept apart: workers aren't cut off.
    side.leader.error = NoAnswerError("refused", False, refused=True)
    assert [side.tick(), side.tick()] == [None, None]


def test_a_delegation_ends_with_the_leader_it_is_from() -> None:
    store = Store()
    side = _Side(store)
    side.tick()
    store.keys[LEADER_KEY] = ({}, 9)
    assert side.tick() is None
    assert DELEGATION_PREFIX + "node-0" not in store.keys
    store.keys[LEADER_KEY] = ({}, 7)
    assert side.tick() == 3
    side.election.known_leader = KnownLeader("node-1", FencingToken(4), Revision(9))
    assert side.term() is None


def test_nothing_lapses_while_a_delegation_stands_or_can_not_be_looked_for() -> None:
    store = Store()
    side, delegations = _Side(store), _delegations(store)
    assert asyncio.run(delegations.check_active(Monotonic(0.0), False)) is False
    side.tick()
    side.tick()
    assert asyncio.run(delegations.check_active(Monotonic(1.0), False)) is True
    store.down = True
    with pytest.raises(StateError):
        asyncio.run(delegations.check_active(Monotonic(1.5), False))


def test_a_closed_permit_is_not_confirmed_again_in_its_term() -> None:
    store = Store()
    side, delegations = _Side(store), _delegations(store)
    side.tick()
    side.tick()
    assert asyncio.run(delegations.check_active(Monotonic(1.0), revoke=True)) is True
    assert asyncio.run(delegations.check_active(Monotonic(1.5), revoke=True)) is False
    side.now = Monotonic(side.now + DELEGATION_S)
    assert side.tick() is None
    asyncio.run(delegations.clear())
    assert side.tick() == 3


def test_a_delegation_counts_as_ended_whenever_its_removal_was_tried() -> None:
    # Two delegations: one is removed, the other has just been written anew.
    store = Store()
    side = _Side(store)
    side.tick()
    side.tick()
    ended: list[int] = []
    delegations = Delegations(
        cast(StateClient, store), FencingToken(3), Revision(8), lambda: ended.append(1)
    )
    asyncio.run(delegations.check_active(Monotonic(1.0), False))
    with pytest.raises(StateError):
        asyncio.run(delegations.clear())
    assert ended


def test_a_delegation_that_serves_nobody_any_more_is_closed() -> None:
    store = Store()
    side, delegations = _Side(store), _delegations(store)
    side.tick()
    side.tick()
    found = [
        asyncio.run(delegations.check_active(Monotonic(float(at)), False)) for at in (1, 3, 6, 7)
    ]
    assert found == [True, True, True, False]


def test_the_delegation_of_an_older_term_is_void() -> None:
    store = Store()
    side = _Side(store)
    side.tick()
    side.tick()
    later = Delegations(cast(StateClient, store), FencingToken(4), Revision(9), lambda: None)
    assert asyncio.run(later.check_active(Monotonic(1.0), False)) is False


def test_no_worker_is_sent_to_a_leader_that_does_not_answer_this_node() -> None:
    # In a cut between zones workers came to the node beside them, were sent back to the leader
    # beyond the cut, and lost 4 s of their lease there each time.
    node = Controller(settings.parse(orjson.dumps(SETTINGS)))
    node.election.known_leader = LEADER
    beat = {
        "kiln": "m-1", "addr": "10.0.0.1:1", "build": "g8", "hall": "north", "loaners": False,
        "shift": 1, "tick": 1, "baton": 3, "warningS": None, "pieces": [],
    }  # fmt: skip
    report = wire.decode(orjson.dumps(beat), wire.Heartbeat)
    assert node.handle_heartbeat(report, MachineId("m-1")) == (421, {"foreman": "node-1"})
    node._renewal_delegate._cut_since = Monotonic(0.0)
    assert node.handle_heartbeat(report, MachineId("m-1")) == (421, {})
    node._renewal_delegate._heard()
    assert node.handle_heartbeat(report, MachineId("m-1")) == (421, {"foreman": "node-1"})
