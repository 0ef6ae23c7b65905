"""Delegation of lease renewals: the delegate and the leader against one store."""

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
from tests.samples import SETTINGS, make_heartbeat

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
    """The leader's peer address as the delegate reaches it."""

    error: NoAnswerError | None = NoAnswerError("TimeoutError", False)

    async def request(self, *_: object, timeout_s: float) -> Answer:
        if self.error is not None:
            raise self.error
        return Answer()


class _DelegateNode:
    """A delegate in a partitioned zone, with its own clock."""

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
            if self.delegate._should_confirm(self.now):
                await self.delegate.confirm(LEADER)

        asyncio.run(run())
        return self.term()

    def term(self) -> FencingToken | None:
        """Return the token for a worker without tasks."""
        return self.delegate.renewal_token(make_heartbeat(MACHINE, 1, 1, 0), MACHINE, self.now)


def test_delegate_renews_under_the_token_that_the_worker_has_seen() -> None:
    node = _DelegateNode(Store())
    node.election.known_leader = KnownLeader(
        "node-1", FencingToken(3), Revision(7), FencingToken(9)
    )

    async def confirm() -> None:
        for _ in range(2):
            await node.delegate._ping(cast(Client, node.leader))
        assert node.election.known_leader is not None
        await node.delegate.confirm(node.election.known_leader)

    asyncio.run(confirm())

    def token(seen: int) -> FencingToken | None:
        return node.delegate.renewal_token(make_heartbeat(MACHINE, 1, 1, seen), MACHINE, node.now)

    assert [token(seen) for seen in (0, 3, 5, 9, 10)] == [3, 3, 5, 9, None]


def _delegations(store: Store) -> Delegations:
    return Delegations(cast(StateClient, store), LEADER.term, LEADER.mod_revision, lambda: None)


def test_delegate_renews_only_while_leader_is_unreachable() -> None:
    delegate_node = _DelegateNode(Store())
    assert [delegate_node.tick(), delegate_node.tick()] == [None, 3]
    delegate_node.now = Monotonic(delegate_node.now + DELEGATION_S)
    assert delegate_node.term() is None
    assert delegate_node.tick() == 3
    delegate_node.leader.error = None
    assert delegate_node.tick() is None
    # A refused connection means that the leader's process has ended, or that only controllers are
    # partitioned from each other: heartbeats would still reach a leader.
    delegate_node.leader.error = NoAnswerError("refused", False, refused=True)
    assert [delegate_node.tick(), delegate_node.tick()] == [None, None]


def test_delegation_ends_with_its_term() -> None:
    store = Store()
    delegate_node = _DelegateNode(store)
    delegate_node.tick()
    store.keys[LEADER_KEY] = ({}, 9)
    assert delegate_node.tick() is None
    assert DELEGATION_PREFIX + "node-0" not in store.keys
    store.keys[LEADER_KEY] = ({}, 7)
    assert delegate_node.tick() == 3
    delegate_node.election.known_leader = KnownLeader("node-1", FencingToken(4), Revision(9))
    assert delegate_node.term() is None


def test_check_active_finds_delegation_and_propagates_state_errors() -> None:
    store = Store()
    delegate_node, delegations = _DelegateNode(store), _delegations(store)
    assert asyncio.run(delegations.check_active(Monotonic(0.0), False)) is False
    delegate_node.tick()
    delegate_node.tick()
    assert asyncio.run(delegations.check_active(Monotonic(1.0), False)) is True
    store.down = True
    with pytest.raises(StateError):
        asyncio.run(delegations.check_active(Monotonic(1.5), False))


def test_revoked_delegation_is_not_confirmed_again_in_its_term() -> None:
    store = Store()
    delegate_node, delegations = _DelegateNode(store), _delegations(store)
    delegate_node.tick()
    delegate_node.tick()
    assert asyncio.run(delegations.check_active(Monotonic(1.0), revoke=True)) is True
    assert asyncio.run(delegations.check_active(Monotonic(1.5), revoke=True)) is False
    delegate_node.now = Monotonic(delegate_node.now + DELEGATION_S)
    assert delegate_node.tick() is None
    asyncio.run(delegations.clear())
    assert delegate_node.tick() == 3


def test_ended_is_called_although_deletion_fails() -> None:
    # The deletion fails, because its guard on the leader's key does (revision 8 instead of 7).
    store = Store()
    delegate_node = _DelegateNode(store)
    delegate_node.tick()
    delegate_node.tick()
    ended: list[int] = []
    delegations = Delegations(
        cast(StateClient, store), FencingToken(3), Revision(8), lambda: ended.append(1)
    )
    asyncio.run(delegations.check_active(Monotonic(1.0), False))
    with pytest.raises(StateError):
        asyncio.run(delegations.clear())
    assert ended


def test_stale_delegation_is_revoked() -> None:
    store = Store()
    delegate_node, delegations = _DelegateNode(store), _delegations(store)
    delegate_node.tick()
    delegate_node.tick()
    found = [
        asyncio.run(delegations.check_active(Monotonic(float(at)), False)) for at in (1, 3, 6, 7)
    ]
    assert found == [True, True, True, False]


def test_delegation_of_earlier_term_is_ignored() -> None:
    store = Store()
    delegate_node = _DelegateNode(store)
    delegate_node.tick()
    delegate_node.tick()
    later = Delegations(cast(StateClient, store), FencingToken(4), Revision(9), lambda: None)
    assert asyncio.run(later.check_active(Monotonic(1.0), False)) is False


def test_worker_is_not_redirected_to_unreachable_leader() -> None:
    # A worker redirected to a leader on the other side of a partition waits 4 s there for an
    # answer, and so loses 4 s of its lease each time.
    node = Controller(settings.parse(orjson.dumps(SETTINGS)))
    node.election.known_leader = LEADER
    message = {
        "kiln": "m-1", "addr": "10.0.0.1:1", "build": "g8", "hall": "north", "loaners": False,
        "shift": 1, "tick": 1, "baton": 3, "warningS": None, "pieces": [],
    }  # fmt: skip
    heartbeat = wire.decode(orjson.dumps(message), wire.Heartbeat)
    assert node.handle_heartbeat(heartbeat, MachineId("m-1")) == (421, {"foreman": "node-1"})
    node._renewal_delegate._partitioned_since = Monotonic(0.0)
    assert node.handle_heartbeat(heartbeat, MachineId("m-1")) == (421, {})
    node._renewal_delegate._on_leader_reachable()
    assert node.handle_heartbeat(heartbeat, MachineId("m-1")) == (421, {"foreman": "node-1"})
