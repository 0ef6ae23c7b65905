"""Processes that restart within a fraction of a second: re-election, and machine types."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import orjson
import pytest

from tealrill import settings, wire
from tealrill.fleet.catalogue import CatalogueCache
from tealrill.fleet.cloud import Cloud, CloudError
from tealrill.http import Answer, NoAnswerError
from tealrill.leadership.election import TERM_KEY, Election, consecutive_reelections
from tealrill.state.client import Committed, GuardsFailed, StateClient
from tealrill.state.fencing import LEADER_KEY
from tealrill.types import (
    TOKENS_PER_TERM,
    FencingToken,
    LeaseId,
    Revision,
    Wall,
    last_token_of,
    wall_now,
)
from tests.samples import SETTINGS
from tests.test_renewal_delegation import Store


class _State(Store):
    """A store without keys at first, whose leases never expire."""

    def __init__(self) -> None:
        super().__init__()
        self.keys.clear()
        self.epoch = 0

    async def watch(self, prefix: str, since: Revision, hold_s: float) -> None:
        return None

    async def create_lease(self, ttl_s: float) -> LeaseId:
        return LeaseId(1)

    async def end_lease(self, lease: LeaseId) -> None: ...

    def set_leading(self, leads: bool) -> None: ...


def _process(state: _State, host: str, any_peer_answers: bool = True) -> Election:
    """Return the election of a new process of this host."""
    election = Election(cast(StateClient, state), host, lambda: None)

    async def up() -> bool:
        return any_peer_answers

    election.any_peer_answers = up
    return election


def _election_step(election: Election) -> bool:
    """Take one election step; return True if this process leads then."""
    asyncio.run(election._follow())
    return election.leadership is not None


def _leading_host(state: _State) -> str | None:
    entry = state.keys.get(LEADER_KEY)
    return entry[0]["host"] if entry is not None else None


def test_repeatedly_restarting_host_delays_its_campaign() -> None:
    state = _State()
    # It is re-elected at once after its first two restarts.
    assert [_election_step(_process(state, "host-0")) for _ in range(3)] == [True] * 3
    restarted = _process(state, "host-0")
    assert not _election_step(restarted)
    assert _leading_host(state) is None
    # It delays its campaign, and another member is elected.
    assert restarted._campaign_not_before > 0
    assert _election_step(_process(state, "host-1"))
    assert not _election_step(restarted)
    terms = state.keys[TERM_KEY][0]
    assert terms == 4 * TOKENS_PER_TERM, "every term is later than all before"


def test_sole_host_is_reelected_despite_restarts() -> None:
    state = _State()
    assert all(_election_step(_process(state, "host-0", any_peer_answers=False)) for _ in range(6))


def test_only_quick_reelections_count() -> None:
    assert consecutive_reelections({"host": "a", "at": 1000.0, "again": 2}, Wall(1010.0)) == 3
    assert consecutive_reelections({"host": "a", "at": 1000.0, "again": 2}, Wall(1031.0)) == 0
    # Records written by an older version or with malformed values.
    assert consecutive_reelections({"host": "a"}, wall_now()) == 0
    assert consecutive_reelections({"at": "soon", "again": None}, wall_now()) == 0


def test_late_election_of_previous_process_is_not_adopted() -> None:
    """It is executed after the new process has read that there is no leader."""
    state = _State()
    state.keys[TERM_KEY] = (4, 1)
    state.epoch = 1
    former = _process(state, "host-0")
    sent: list[tuple[Any, Any]] = []
    execute = state.commit

    async def held(guards: Any, changes: Any, timeout_s: float = 2.0) -> GuardsFailed:
        sent.append((guards, changes))
        return GuardsFailed([])

    state.commit = held  # type: ignore[method-assign,assignment]
    assert not _election_step(former)

    async def delayed_first(
        guards: Any, changes: Any, timeout_s: float = 2.0
    ) -> Committed | GuardsFailed:
        await execute(*sent[0])
        return await execute(guards, changes)

    state.commit = delayed_first  # type: ignore[method-assign,assignment]
    current = _process(state, "host-0")
    assert not _election_step(current)
    # No process acts on the previous process's term; the new one is elected with a higher token.
    assert state.keys[TERM_KEY][0] == last_token_of(FencingToken(5))
    state.commit = execute  # type: ignore[method-assign]
    assert _election_step(current)
    assert current.leadership is not None and current.leadership.term == 5 + TOKENS_PER_TERM
    # Executed after a later election, the old transaction fails and changes nothing.
    before = dict(state.keys)
    assert isinstance(asyncio.run(execute(*sent[0])), GuardsFailed)
    assert state.keys == before


@pytest.mark.parametrize(
    "value", [None, [], "node-1", {"host": 7, "term": 1}, {"host": "a", "term": "x"}]
)
def test_unreadable_leader_record_is_kept(value: Any, caplog: pytest.LogCaptureFixture) -> None:
    state = _State()
    state.keys = {LEADER_KEY: (value, 3), TERM_KEY: (4, 1)}
    node = _process(state, "host-0")
    before = dict(state.keys)
    assert not _election_step(node) and not _election_step(node)
    assert node.known_leader is None and state.keys == before
    assert [r.getMessage() for r in caplog.records if LEADER_KEY in r.getMessage()][1:] == []
    assert LEADER_KEY in caplog.text


@pytest.mark.parametrize("value", [None, "4", 4.5, True, {"term": 4}])
def test_no_campaign_with_unreadable_term(value: Any) -> None:
    state = _State()
    state.keys = {TERM_KEY: (value, 1)}
    assert not _election_step(_process(state, "host-0"))
    assert state.keys == {TERM_KEY: (value, 1)}


_CATALOGUE = {
    "builds": [
        {
            "label": "g8", "vcpus": 8, "gpus": 0, "memoryGb": 64, "price": 1.0,
            "marketPrice": 0.4, "startupS": 20, "halls": ["north"],
        }
    ]
}  # fmt: skip


class _Cloud:
    def __init__(self, unavailable: bool = False) -> None:
        self.calls = 0
        self.unavailable = unavailable

    async def catalogue(self) -> wire.Catalogue:
        self.calls += 1
        if self.unavailable:
            raise CloudError("status 503")
        return wire.decode(orjson.dumps(_CATALOGUE), wire.Catalogue)


class _Peer:
    def __init__(self, body: bytes | None) -> None:
        self.body = body

    async def request(self, *_: object, timeout_s: float) -> Answer:
        if self.body is None:
            raise NoAnswerError("refused", False)
        answer = Answer()
        answer.status = 200
        answer.body = self.body
        return answer


def _cache(cloud: _Cloud, peers: list[bytes | None]) -> CatalogueCache:
    cache = CatalogueCache(settings.parse(orjson.dumps(SETTINGS)), cast(Cloud, cloud))
    cache._peers = [cast(Any, _Peer(body)) for body in peers]
    return cache


def _catalogue_after_start(cache: CatalogueCache) -> wire.Catalogue | None:
    async def run() -> None:
        running = asyncio.create_task(cache.run())
        for _ in range(20):
            await asyncio.sleep(0)
        running.cancel()

    asyncio.run(run())
    return cache.catalogue


def test_restarted_node_gets_catalogue_from_peer() -> None:
    # This also works while the cloud is down, and a node that restarts every second adds no calls.
    cloud = _Cloud(unavailable=True)
    known = _catalogue_after_start(_cache(cloud, [None, b"{", orjson.dumps(_CATALOGUE)]))
    assert known is not None and [kind.name for kind in known.types] == ["g8"]
    assert cloud.calls == 0


@pytest.mark.parametrize("peers", [[], [None, None], [b"{}"]])
def test_catalogue_is_requested_from_cloud_if_no_peer_has_it(peers: list[bytes | None]) -> None:
    cloud = _Cloud()
    assert _catalogue_after_start(_cache(cloud, peers)) is not None
    assert cloud.calls == 1


class _HangingPeer:
    """A node that accepts connections and never answers."""

    async def request(self, *_: object, timeout_s: float) -> Answer:
        await asyncio.Event().wait()
        raise AssertionError


def test_hanging_peer_does_not_prevent_cloud_request() -> None:
    # After a restart of all nodes no other node can answer, and users wait for the machine types.
    cloud = _Cloud()
    cache = _cache(cloud, [])
    cache._peers = [cast(Any, _HangingPeer())]
    assert asyncio.run(cache._first()) is not None
    assert cloud.calls == 1
