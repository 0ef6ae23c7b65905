"""Unit tests of graphs: resolved dependencies, records, progress and the leader's decisions."""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from typing import Any, cast

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.features import GraphFeatures
from tealrill.fleet.cloud import Cloud
from tealrill.graphs import records
from tealrill.graphs.leader_extension import GraphLeaderExtension
from tealrill.graphs.model import Edge, InvalidGraphError, Node, Shape, resolve
from tealrill.graphs.records import GraphEnd, GraphRecord, GraphRecordError
from tealrill.graphs.tracker import DONE, FAILED, RELEASED, Progress
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.model import JobView, Policy
from tealrill.scheduler.queue import order
from tealrill.state.client import GuardsFailed, StateClient
from tealrill.state.fencing import Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.records import job_key
from tealrill.types import (
    FencingToken,
    Incarnation,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    monotonic_now,
    wall_now,
)
from tests.samples import SETTINGS, SUBMISSION, job_view, make_heartbeat, spec
from tests.test_dispatch import _MACHINE_TYPE
from tests.test_graphs_records import CheckedStore, _Election

_DEFAULTS = {k: v for k, v in SUBMISSION.items() if k not in ("id", "dueS")}


def _node(key: str, *after: str | Edge, **job: Any) -> Node:
    return Node(key=key, job={"pieces": 1, "guessS": 1.0, **job}, after=list(after))


def _shape(nodes: list[Node]) -> Shape:
    return resolve({}, 3, [nodes])


# -- resolved dependencies ------------------------------------------------------------------------


def test_progress_of_ten_thousand_nodes_as_chain_parallel_and_fan_in() -> None:
    chain = _shape([_node(f"n{i}", *([f"n{i - 1}"] if i else [])) for i in range(10_000)])
    assert chain.tails()[0] == 9_999 and list(chain.topological_order) == list(range(10_000))
    wide = Progress(_shape([_node(f"n{i}") for i in range(10_000)]))
    wide.evaluate_all()
    assert sum(wide.next_ready() is not None for _ in range(10_001)) == 10_000
    nodes = [_node(f"n{i}") for i in range(10_000)]
    nodes.append(_node("last", *[f"n{i}" for i in range(10_000)]))
    fan_in = Progress(_shape(nodes))
    fan_in.evaluate_all()
    for index in range(10_000):
        assert fan_in.state[10_000] == 0
        fan_in.record_end(index, DONE)
    assert fan_in.next_ready() is not None
    # The failure of the first node skips the whole chain; recursion would overflow the stack.
    failing = Progress(chain)
    failing.evaluate_all()
    failing.record_end(0, FAILED)
    assert failing.all_ended and failing.counts_by_state()["skipped"] == 9_999


def test_cycle_error_names_its_path_in_bounded_length() -> None:
    nodes = [_node(f"n{i}", f"n{(i + 1) % 10_000}") for i in range(10_000)]
    with pytest.raises(InvalidGraphError, match=r"waits for itself: n.* -> .* -> n") as found:
        _shape([_node("apart"), *nodes])
    assert len(str(found.value)) < 300
    with pytest.raises(InvalidGraphError, match="a -> c -> b -> a"):
        _shape([_node("a", "b"), _node("b", "c"), _node("c", "a"), _node("d", "a")])


@st.composite
def _graphs(draw: st.DrawFn) -> list[Node]:
    count = draw(st.integers(1, 12))
    nodes: list[Node] = []
    for number in range(count):
        chosen = draw(st.sets(st.integers(0, max(0, number - 1)), max_size=4)) if number else set()
        after = [
            Edge(node=f"n{up}", when=draw(st.sampled_from(["done", "done", "failed", "ended"])))
            for up in sorted(chosen)
        ]
        nodes.append(_node(f"n{number}", *after, guessS=draw(st.floats(0.5, 9.0))))
    return nodes


@given(_graphs(), st.randoms(use_true_random=False))
def test_shape_order_and_tails_match_the_edges(nodes: list[Node], rng: random.Random) -> None:
    shuffled = list(nodes)
    rng.shuffle(shuffled)
    shape = _shape(shuffled)
    position = {index: at for at, index in enumerate(shape.topological_order)}
    assert sorted(position) == list(range(len(nodes)))
    tails = shape.tails()
    for index in range(shape.nodes):
        longest = 0.0
        for dependent, _ in shape.dependents(index):
            assert position[index] < position[dependent]
            assert (index, _) in list(shape.dependencies(dependent))
            longest = max(longest, shape.estimate_s[dependent] + tails[dependent])
        assert tails[index] == pytest.approx(longest, rel=1e-5)


@given(_graphs(), st.randoms(use_true_random=False))
def test_progress_is_independent_of_order_and_repetition_of_ends(
    nodes: list[Node], rng: random.Random
) -> None:
    """Ends recorded as they happen give the same state as after a failover: unordered and twice."""
    shape = _shape(nodes)
    original = Progress(shape)
    original.evaluate_all()
    ends: list[tuple[int, int]] = []
    released: list[int] = []
    while (index := original.next_ready()) is not None:
        original.mark_released(index)
        released.append(index)
        if rng.random() < 0.8:
            ends.append((index, rng.choice([DONE, DONE, FAILED])))
            original.record_end(*ends[-1])
    replayed = Progress(shape)
    for index in rng.sample(released, len(released)):
        replayed.mark_released(index)
    for end in rng.sample(ends, len(ends)) + ends:
        replayed.record_end(*end)
    replayed.evaluate_all()
    while (index := replayed.next_ready()) is not None:
        replayed.mark_released(index)
    assert bytes(original.state) == bytes(replayed.state)
    assert original.counts == replayed.counts and original.all_ended == replayed.all_ended
    assert original.counts[RELEASED] == len(released) - len(ends)


# -- records --------------------------------------------------------------------------------------


@given(_graphs(), st.integers(400, 5000))
def test_parts_round_trip_and_missing_fragment_is_rejected(
    nodes: list[Node], value_bytes: int
) -> None:
    values = records.pack_part(nodes, value_bytes)
    assert all(len(wire.encode(value)) <= value_bytes for value in values)
    entries = [
        wire.Entry(key=records.fragment_key("fam1", 7, i), value=v, version=1)
        for i, v in enumerate(orjson.loads(orjson.dumps(values)))
    ]
    (part,) = records.assemble_parts(entries).items()
    assert part[0] == 7 and part[1].nodes == len(nodes)
    assert records.unpack_part(part[1]) == nodes
    if len(entries) > 1:
        with pytest.raises(GraphRecordError):
            records.assemble_parts(entries[:-1])


@given(st.binary(max_size=200))
def test_unpack_rejects_arbitrary_bytes(content: bytes) -> None:
    with pytest.raises(GraphRecordError):
        records.unpack_part(records.PackedPart(1, "", content))


def test_unpack_rejects_decompression_bomb_in_bounded_memory() -> None:
    import zlib

    bomb = zlib.compress(b"[" + b" " * 200_000_000 + b"]")
    tracemalloc.start()
    with pytest.raises(GraphRecordError):
        records.unpack_part(records.PackedPart(1, "", bomb))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 20_000_000


_TEXT = st.text("abc", max_size=5)


@given(
    st.builds(
        GraphRecord,
        v=st.just(1),
        status=st.sampled_from(["open", "accepted", "expired"]),
        at=st.floats(0, 1e10),
        digest=_TEXT,
        on_failure=st.sampled_from(["finish", "stop"]),
        due_s=st.none() | st.floats(0, 1e6),
        retries=st.integers(0, 100),
        nodes=st.integers(0, 10_000),
    ),
    st.builds(
        GraphEnd,
        v=st.just(1),
        status=st.sampled_from(["done", "failed", "aborted"]),
        at=st.floats(0, 1e10),
        digest=_TEXT,
        counts=st.none() | st.dictionaries(_TEXT, st.integers(0, 9), max_size=2),
    ),
)
def test_graph_records_round_trip_and_unknown_versions_are_rejected(
    record: GraphRecord, end: GraphEnd
) -> None:
    encoded = orjson.loads(wire.encode(record))
    assert records.read_graph(encoded) == record
    assert records.read_graph_end(orjson.loads(wire.encode(end))) == end
    invalid: list[Any] = [{**encoded, "v": 2}, {**encoded, "status": "odd"}, [], None]
    for value in invalid:
        with pytest.raises(GraphRecordError):
            records.read_graph(value)


def test_task_failures_are_counted_across_failover() -> None:
    value: dict[str, Any] | None = None
    for _ in range(3):
        job_store = JobStore(8.0)
        job = job_store.add(spec(id="fam1-00000", pieces=2), Wall(0.0), Revision(1))
        job.max_task_errors = 2
        if value is not None:
            job_store.load(job, 0, value, Revision(1))
        index = job_store.pop_unbound_task(job)
        assert index == 0 and job.outcome == "done"
        machine = MachineId("m-1")
        binding = job_store.bind(
            job, 0, machine, Incarnation(1), "", False, Wall(0.0), Monotonic(0.0)
        )
        job_store.task_failed(job, 0)
        job_store.release(binding, "", Monotonic(0.0))
        value = orjson.loads(orjson.dumps(job_store.value(job.chunks[0])))
    # Two failures are allowed; the third one counts the earlier ones from the records.
    assert job.outcome == "failed" and job.id in job_store.ending_jobs and job.waiting == 0


# -- decisions ------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.sampled_from(["", "g1", "g2"]), st.integers(0, 9)), max_size=12))
def test_queue_orders_nodes_by_path_only_within_their_graph(jobs: list[tuple[str, int]]) -> None:
    views = [
        job_view(f"wk-{i}", graph=graph, tail_s=float(tail), waited_s=float(i % 3))
        for i, (graph, tail) in enumerate(jobs)
    ]
    plain = order([job_view(v.id, waited_s=v.waited_s) for v in views], {}, Policy())
    by_path = order(views, {}, Policy())
    graph_of = {view.id: view.graph for view in views}
    assert [graph_of[v.id] for v in plain] == [v.graph for v in by_path]
    for name in ("g1", "g2"):
        tails = [v.tail_s for v in by_path if v.graph == name]
        assert tails == sorted(tails, reverse=True)
    outside = [v.id for v in by_path if not v.graph]
    assert outside == [v.id for v in plain if not graph_of[v.id]]


def _leader(store: CheckedStore) -> tuple[Leader, GraphLeaderExtension]:
    leadership = Leadership(
        FencingToken(1), Revision(1), LeaseId(1), monotonic_now(), Monotonic(1e12)
    )
    leader = Leader(
        settings.parse(orjson.dumps(SETTINGS)),
        cast(StateClient, store),
        cast(Cloud, None),
        cast(Election, _Election(leadership)),
        leadership,
        Estimates(),
        [lambda term: GraphLeaderExtension(term, GraphFeatures(on=True))],
    )
    return leader, cast(GraphLeaderExtension, leader.extensions[0])


def _store_accepted_graph(store: CheckedStore, nodes: list[Node], **fields: Any) -> None:
    """Write the records of an accepted graph."""
    record = GraphRecord(v=1, status="accepted", at=wall_now(), digest="d", defaults=_DEFAULTS,
                nodes=len(nodes), edges=1, parts=1, **fields)  # fmt: skip
    changes = [wire.put("job/fam1", wire.to_builtins(record))]
    for number, value in enumerate(records.pack_part(nodes, 4096)):
        changes.append(wire.put(records.fragment_key("fam1", 0, number), value))
    store.execute([], changes)


def test_machines_are_rented_before_nodes_are_released() -> None:
    async def scenario() -> None:
        store = CheckedStore(random.Random(0))
        store.reliable = True
        large = {"vcpus": 8.0, "guessS": 90.0, "builds": ["big"]}
        nodes = [_node("a", vcpus=1.0, guessS=15.0)]
        nodes += [_node(f"b{i}", "a", **large) for i in range(3)]
        _store_accepted_graph(store, nodes)
        leader, extension = _leader(store)
        await leader.record_loader.load()
        await extension._load("fam1")
        extension._enqueue_writes()
        rentals: list[Any] = []
        leader.provisioner.set_catalogue(
            wire.decode(orjson.dumps({"builds": [_MACHINE_TYPE]}), wire.Catalogue)
        )
        leader.provisioner.rent = lambda rental, now: rentals.append(rental)  # type: ignore[method-assign]
        batch = leader.write_batcher._gather(monotonic_now())
        await leader.write_batcher._commit(batch)
        leader.lifecycle.add(
            "job/fam1-00000", store.keys["job/fam1-00000"][0], Revision(store.epoch)
        )
        leader.fleet.heartbeats.process(
            make_heartbeat("m-1", 1, 1, 1), MachineId("m-1"), monotonic_now(), wall_now()
        )
        # The first node runs on the only machine and is expected to end within the boot time of a
        # machine, so machines for its dependents are rented now.
        leader.scheduling_loop.run(monotonic_now(), wall_now())
        rentals.clear()
        leader.scheduling_loop.autoscaler._next_rental_at = Monotonic(0.0)
        leader.scheduling_loop.run(monotonic_now(), wall_now())
        assert sum(rental.count for rental in rentals) == 2
        (demand,) = leader.lifecycle.upcoming_tasks(monotonic_now(), 20.0)
        assert demand[1] == 3
        assert not leader.lifecycle.upcoming_tasks(monotonic_now(), 10.0)

    asyncio.run(scenario())


def test_graph_of_unknown_version_is_blocked_without_affecting_other_jobs() -> None:
    async def scenario() -> None:
        store = CheckedStore(random.Random(0))
        store.reliable = True
        _store_accepted_graph(store, [_node("a"), _node("b")])
        value = {"spec": {**wire.to_builtins(spec(id="fam1-00000", pieces=1))}, "at": 0.0}
        store.execute([], [
            wire.put("job/fam1-00000", {**value, "owner": "fam1"}),
            wire.put("job/fam1", {**store.keys["job/fam1"][0], "v": 2}),
            wire.put("job/wk-1", {"spec": wire.to_builtins(spec(id="wk-1")), "at": 0.0}),
        ])  # fmt: skip
        leader, extension = _leader(store)
        await leader.record_loader.load()
        extension._enqueue_writes()
        waiting = {job.id: job.waiting for job in leader.job_store.jobs.values()}
        assert waiting == {"fam1-00000": 0, "wk-1": 6}
        assert not leader.write_batcher.joined
        # A member that can read the graph cancels it: this leader drops its jobs as well.
        store.execute([], [wire.delete("job/fam1")])
        leader.job_watch.job_changed(wire.WatchEvent(delete="job/fam1", version=store.epoch))
        assert "fam1-00000" not in leader.job_store.jobs and "wk-1" in leader.job_store.jobs

    asyncio.run(scenario())


async def _process_until_idle(
    leader: Leader, extension: GraphLeaderExtension, store: CheckedStore
) -> None:
    """Let the leader process and write until it has nothing left to write."""
    processed_revision = store.epoch
    for _ in range(60):
        for name in [
            n for n, (record, _) in extension._drafts.items() if record.status == "expired"
        ]:
            await extension._delete_expired(name)
        extension._enqueue_writes()
        batch = leader.write_batcher._gather(Monotonic(monotonic_now() + 10.0))
        if batch.changes:
            await leader.write_batcher._commit(batch)
        for at, event in store.log:
            if at > processed_revision and (event.put or event.delete or "").startswith("job/"):
                leader.job_watch.job_changed(event)
        processed_revision = store.epoch


def test_unsealed_graph_expires_and_its_records_are_deleted() -> None:
    async def scenario() -> None:
        store = CheckedStore(random.Random(0))
        store.reliable = True
        record = GraphRecord(
            v=1, status="open", at=wall_now() - 3590.0, digest="d", defaults=_DEFAULTS
        )
        store.execute([], [wire.put("job/fam1", wire.to_builtins(record))])
        store.execute(
            [], [wire.put("job/wk-1", {"spec": wire.to_builtins(spec(id="wk-1")), "at": 0.0})]
        )
        for part_number in range(40):
            for number, value in enumerate(records.pack_part([_node(f"n{part_number}")], 4096)):
                key = records.fragment_key("fam1", part_number, number)
                store.execute([], [wire.put(key, value)])
        leader, extension = _leader(store)
        await leader.record_loader.load()
        await _process_until_idle(leader, extension, store)
        assert "job/fam1" in store.keys and len(store.keys) == 43
        # Ten seconds later the graph expires. A part in flight is guarded by the open record.
        open_stamp = store.keys["job/fam1"][1]
        extension._drafts["fam1"] = (
            msgspec.structs.replace(record, at=record.at - 20.0),
            Revision(open_stamp),
        )
        await _process_until_idle(leader, extension, store)
        late = store.execute(
            [wire.guard("job/fam1", open_stamp)], [wire.put("part/fam1/00099.00", {})]
        )
        assert isinstance(late, GuardsFailed)
        assert sorted(store.keys) == ["job/wk-1", "leader"]

    asyncio.run(scenario())


def test_failover_with_thousands_of_gated_nodes_releases_only_ready_ones() -> None:
    """2,000 of 3,000 nodes in 30 groups are done; each new leader releases only the ready ones."""

    async def scenario() -> None:
        store = CheckedStore(random.Random(0))
        store.reliable = True
        nodes: list[Node] = []
        for family in range(30):
            first = f"f{family}"
            nodes.append(_node(first))
            nodes += [_node(f"{first}-{i}", first) for i in range(98)]
            nodes.append(_node(f"{first}-all", *[f"{first}-{i}" for i in range(98)]))
        _store_accepted_graph(store, nodes)
        done = [wire.put(f"over/fam1-{i:05d}", {"status": "done", "tasks": 1}) for i in range(2000)]
        store.execute([], done)
        for _ in range(2):
            leader, extension = _leader(store)
            await leader.record_loader.load()
            await extension._load("fam1")
            counts = extension.counts("fam1")
            assert counts is not None and counts["done"] == 2000
            assert counts["ready"] + counts["released"] == 10
            batch_sizes = []
            extension._enqueue_writes()
            while (batch := leader.write_batcher._gather(monotonic_now())).changes:
                batch_sizes.append(len(batch.changes))
                await leader.write_batcher._commit(batch)
            # The next leader takes over before the watch has reported a release.
            assert sum(batch_sizes) in (10, 0)
        released = [key for key in store.keys if key.startswith("job/fam1-")]
        assert len(released) == 10

    asyncio.run(scenario())


def test_node_deadline_leaves_time_for_the_path_behind_it() -> None:
    async def scenario() -> None:
        store = CheckedStore(random.Random(0))
        store.reliable = True
        nodes = [_node("a", guessS=10.0), _node("b", "a", guessS=30.0)]
        _store_accepted_graph(store, nodes, due_s=100.0)
        leader, extension = _leader(store)
        await leader.record_loader.load()
        await extension._load("fam1")
        extension._enqueue_writes()
        await leader.write_batcher._commit(leader.write_batcher._gather(monotonic_now()))
        record = store.keys["job/fam1-00000"][0]
        assert record["due_s"] == pytest.approx(70.0, abs=5.0) and record["tail_s"] == 30.0
        job = leader.lifecycle.add("job/fam1-00000", record, Revision(store.epoch))
        assert job is not None and job.due_s == record["due_s"]
        (view,) = leader.scheduling_loop.snapshots.view(monotonic_now(), wall_now()).jobs
        assert isinstance(view, JobView) and view.graph == "fam1" and view.latest_start_s[0] > 50.0
        assert job_key(job.id) in store.keys

    asyncio.run(scenario())
