"""Processes that are started again within a fraction of a second: who leads, and what they ask."""

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
from tealrill.types import LeaseId, Revision, Wall, wall_now
from tests.samples import SETTINGS
from tests.test_renewal_delegation import Store


class _State(Store):
    """Keys with versions, none of them at first; leases are never over."""

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
    """A process of this host that was just started."""
    election = Election(cast(StateClient, state), host, lambda: None)

    async def up() -> bool:
        return any_peer_answers

    election.any_peer_answers = up
    return election


def _look(election: Election) -> bool:
    """One look at who leads; whether this process does then."""
    asyncio.run(election._follow())
    return election.leadership is not None


def _leading_host(state: _State) -> str | None:
    entry = state.keys.get(LEADER_KEY)
    return entry[0]["host"] if entry is not None else None


def test_a_host_that_ends_again_and_again_lets_others_lead() -> None:
    state = _State()
    # Once back after an end or two it goes on at once.
    assert [_look(_process(state, "host-0")) for _ in range(3)] == [True] * 3
    back = _process(state, "host-0")
    assert not _look(back)
    assert _leading_host(state) is None
    # It holds back for a moment, and whoever has stood by is elected.
    assert back._not_before > 0
    assert _look(_process(state, "host-1"))
    assert not _look(back)
    terms = state.keys[TERM_KEY][0]
    assert terms == 4, "every term is later than all before"


def test_a_host_alone_goes_on_leading_however_often_it_ends() -> None:
    state = _State()
    assert all(_look(_process(state, "host-0", any_peer_answers=False)) for _ in range(6))


def test_only_what_follows_soon_counts() -> None:
    assert consecutive_reelections({"host": "a", "at": 1000.0, "again": 2}, Wall(1010.0)) == 3
    assert consecutive_reelections({"host": "a", "at": 1000.0, "again": 2}, Wall(1031.0)) == 0
    # A key that an older version wrote, or something else did.
    assert consecutive_reelections({"host": "a"}, wall_now()) == 0
    assert consecutive_reelections({"at": "soon", "again": None}, wall_now()) == 0


def test_the_former_processs_late_election_can_not_be_mistaken_for_the_own() -> None:
    """It is executed after the new process has read that nobody leads."""
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
    assert not _look(former)

    async def late_first(
        guards: Any, changes: Any, timeout_s: float = 2.0
    ) -> Committed | GuardsFailed:
        await execute(*sent[0])
        return await execute(guards, changes)

    state.commit = late_first  # type: ignore[method-assign,assignment]
    now = _process(state, "host-0")
    assert not _look(now)
    # Nobody acts on the former process's term; the new one follows it with a later token.
    assert state.keys[TERM_KEY][0] == 5
    state.commit = execute  # type: ignore[method-assign]
    assert _look(now)
    assert now.leadership is not None and now.leadership.term == 6
    # And the other way round: late, it finds a later term and does nothing.
    before = dict(state.keys)
    assert isinstance(asyncio.run(execute(*sent[0])), GuardsFailed)
    assert state.keys == before


@pytest.mark.parametrize(
    "value", [None, [], "node-1", {"host": 7, "term": 1}, {"host": "a", "term": "x"}]
)
def test_a_leaders_record_that_can_not_be_read_deposes_nobody_and_ends_no_node(
    value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    state = _State()
    state.keys = {LEADER_KEY: (value, 3), TERM_KEY: (4, 1)}
    node = _process(state, "host-0")
    before = dict(state.keys)
    assert not _look(node) and not _look(node)
    assert node.known_leader is None and state.keys == before
    assert [r.getMessage() for r in caplog.records if LEADER_KEY in r.getMessage()][1:] == []
    assert LEADER_KEY in caplog.text


@pytest.mark.parametrize("value", [None, "4", 4.5, True, {"term": 4}])
def test_nobody_stands_by_a_term_that_can_not_be_read(value: Any) -> None:
    state = _State()
    state.keys = {TERM_KEY: (value, 1)}
    assert not _look(_process(state, "host-0"))
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
    def __init__(self, away: bool = False) -> None:
        self.calls = 0
        self.away = away

    async def catalogue(self) -> wire.Catalogue:
        self.calls += 1
        if self.away:
            raise CloudError("status 503")
        return wire.decode(orjson.dumps(_CATALOGUE), wire.Catalogue)


class _Peer:
    def __init__(self, body: bytes | None) -> None:
        self.body = body

    async def request(self, *_: object, timeout_s: float) -> Answer:
        if self.body is None:
            raise NoAnswerError("refused", False)
        found = Answer()
        found.status = 200
        found.body = self.body
        return found


def _catalogues(cloud: _Cloud, peers: list[bytes | None]) -> CatalogueCache:
    found = CatalogueCache(settings.parse(orjson.dumps(SETTINGS)), cast(Cloud, cloud))
    found._peers = [cast(Any, _Peer(body)) for body in peers]
    return found


def _started(found: CatalogueCache) -> wire.Catalogue | None:
    async def run() -> None:
        running = asyncio.create_task(found.run())
        for _ in range(20):
            await asyncio.sleep(0)
        running.cancel()

    asyncio.run(run())
    return found.known


def test_a_restarted_node_learns_the_machine_types_from_another_one() -> None:
    # Also while the cloud is away; and one that ends every second makes no calls to it.
    cloud = _Cloud(away=True)
    known = _started(_catalogues(cloud, [None, b"{", orjson.dumps(_CATALOGUE)]))
    assert known is not None and [kind.name for kind in known.types] == ["g8"]
    assert cloud.calls == 0


@pytest.mark.parametrize("peers", [[], [None, None], [b"{}"]])
def test_where_no_node_knows_them_the_cloud_is_asked(peers: list[bytes | None]) -> None:
    cloud = _Cloud()
    assert _started(_catalogues(cloud, peers)) is not None
    assert cloud.calls == 1


class _Silent:
    """A node whose connections hang."""

    async def request(self, *_: object, timeout_s: float) -> Answer:
        await asyncio.Event().wait()
        raise AssertionError


def test_a_silent_node_does_not_keep_the_cloud_from_being_asked() -> None:
    # All nodes were restarted together, and users waited for the machine types.
    cloud = _Cloud()
    found = _catalogues(cloud, [])
    found._peers = [cast(Any, _Silent())]
    assert asyncio.run(found._first()) is not None
    assert cloud.calls == 1
