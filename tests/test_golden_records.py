"""Golden records: stored records and messages are decoded as before and encoded byte for byte.

`tests/data/golden_records.json` was written by an earlier version and is only read here. Each
sample has its kind, its JSON text and the decoded fields. A kind is a row of `KINDS`: how the text
is decoded, how the decoded value is encoded again, and the fields, each under its name on the wire.
Identifiers of the code occur only in these tables. A sample with `again` is decoded, but encoded in
a newer form, which `again` contains.
"""

from __future__ import annotations

import ast
import asyncio
import logging
import re
import secrets
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final, NamedTuple, cast
from unittest import mock

import msgspec
import orjson
import pytest

from tealrill import features, settings, wire
from tealrill.change_log import ChangeLog
from tealrill.features import GraphFeatures
from tealrill.fleet import intent_log
from tealrill.fleet.intent_log import IntentLog, ReleaseRecord
from tealrill.graphs import model, records
from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.leader_extension import GraphLeaderExtension
from tealrill.graphs.model import Node, PartBody, SealBody, Submission
from tealrill.graphs.records import GraphRecord, GraphRecordError
from tealrill.leader import job_lifecycle, record_loader
from tealrill.leadership import election, renewal_delegation
from tealrill.leadership.election import Election
from tealrill.leadership.exclusion import ExclusionRecord
from tealrill.leadership.lease_extension import ExtensionAnswer, ExtensionRequest, Presence
from tealrill.scheduler.capacity import Rental
from tealrill.state import admission, fencing
from tealrill.state import records as state_records
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.admission import Admission
from tealrill.state.bindings import Chunk, Owner
from tealrill.state.client import Committed, GuardsFailed
from tealrill.state.job_store import JobStore
from tealrill.state.records import RecordError
from tealrill.state.transaction_batch import JoinedWrite, TransactionBatch
from tealrill.types import (
    ABSENT,
    TOKENS_PER_TERM,
    FencingToken,
    JobId,
    LeaseId,
    Revision,
    Wall,
    last_token_of,
)
from tests.samples import SETTINGS, SUBMISSION

ROOT: Final = Path(__file__).parent.parent
SAMPLES: Final = Path(__file__).parent / "data" / "golden_records.json"
_VALUE_KB: Final = 4.0
_TASKS: Final = 6
"""Number of tasks of the job in the samples of `run/`."""

Read = Callable[[bytes], Any]
Write = Callable[[Any], Any]
Fields = dict[str, Callable[[Any], Any]]


class Kind(NamedTuple):
    """How one kind of record or message is decoded and encoded."""

    read: Read
    fields: Fields
    write: Write | None = None
    refusal: type[Exception] | None = None
    """The exception that `read` raises for a form that this version does not know."""


# -- test doubles ---------------------------------------------------------------------------------


class _Client:
    """A state service that contains `kept` and records every committed change."""

    unavailable = False
    first_seen = None

    def __init__(self, kept: dict[str, Any] | None = None) -> None:
        self.kept = kept or {}
        self.changes: list[dict[str, Any]] = []
        self.submissions = SimpleNamespace(try_acquire=lambda *_: True)

    async def get(self, key: str, *_: Any) -> wire.KeyValue | None:
        return wire.KeyValue(value=self.kept[key], version=3) if key in self.kept else None

    def _under(self, prefix: str) -> list[wire.Entry]:
        return [
            wire.Entry(key=key, value=value, version=3)
            for key, value in sorted(self.kept.items())
            if key.startswith(prefix)
        ]

    async def scan(self, prefix: str, *_: Any) -> tuple[list[wire.Entry], Revision]:
        return self._under(prefix), Revision(3)

    async def page(self, prefix: str, *_: Any) -> wire.Entries:
        return wire.Entries(items=self._under(prefix), revision=3)

    async def commit(
        self,
        guards: list[dict[str, Any]],
        changes: list[dict[str, Any]],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        failed = [g["path"] for g in guards if g["stamp"] != (3 if g["path"] in self.kept else 0)]
        if failed:
            return GuardsFailed(failed)
        self.changes += changes
        return Committed(Revision(9))

    async def create_lease(self, _: float) -> LeaseId:
        return LeaseId(5)

    def set_leading(self, _: bool) -> None:
        """Rate limits do not apply here."""

    def put(self, key: str) -> Any:
        """Return the value that was last committed for a key."""
        return next(c["value"] for c in reversed(self.changes) if c.get("set") == key)


def _catalogue() -> wire.Catalogue:
    big = wire.MachineType(
        name="big",
        cpus=64.0,
        gpus=8.0,
        memory_gb=512.0,
        price=4.0,
        spot_price=1.0,
        boot_s=30.0,
        zones=["north", "south"],
    )
    return wire.Catalogue(types=[big])


def _admission(client: _Client) -> Admission:
    return Admission(cast(Any, client), settings.parse(orjson.dumps(SETTINGS)), _catalogue)


def _graph_intake(client: _Client, admission: Admission) -> GraphAdmission:
    async def counts(_: str) -> None:
        return None

    given = settings.parse(orjson.dumps(SETTINGS))
    return GraphAdmission(cast(Any, client), given, GraphFeatures(on=True), admission, counts)


def _spec(text: bytes | None = None) -> wire.JobSpec:
    return wire.decode(text or orjson.dumps(SUBMISSION), wire.JobSpec)


def _convert(kind: type[wire.T]) -> Callable[[Any], wire.T]:
    return lambda value: msgspec.convert(value, kind)


# -- jobs -----------------------------------------------------------------------------------------


def write_accepted_job(record: Any) -> Any:
    """Return `job/ID` as written by the node that accepts the job."""
    client = _Client()
    time_is(record.at)
    asyncio.run(_admission(client).submit(wire.encode(record.spec)))
    return client.put(state_records.job_key(JobId(record.spec.id)))


def write_released_node(record: Any) -> Any:
    """Return `job/NODE` as written by the leader when it releases a node of a graph."""
    plain, node = record
    joined: list[JoinedWrite] = []
    time_is(plain.at)
    live = SimpleNamespace(
        name=node.owner,
        owner=Owner(records.graph_key(node.owner), Revision(3), node.owner),
        spec=lambda _: plain.spec,
        due_s=lambda *_: node.due_s,
        in_flight=0,
        progress=SimpleNamespace(
            task_dependencies=lambda _: [int(name.rpartition("-")[2]) for name in node.each],
            shape=SimpleNamespace(retries=[node.retries]),
            tail_s=[node.tail_s],
        ),
    )
    term = SimpleNamespace(_term=SimpleNamespace(write_batcher=SimpleNamespace(join=joined.append)))
    GraphLeaderExtension._enqueue_release(cast(Any, term), cast(Any, live), 0)
    return joined[0].changes[0]["value"]


def read_node_job(value: Any) -> Any:
    """Decode `job/NODE`; return the fields of the job and those of the graph subsystem."""
    return msgspec.convert(value, job_lifecycle.JobRecord), records.read_node_job(value)


def read_chunk(value: Any) -> Any:
    """Load `run/ID/CHUNK` into the job store of a new leader."""
    job_store = JobStore(_VALUE_KB)
    job = job_store.add(_spec(), Wall(0.0), Revision(3))
    bindings = job_store.load(job, 0, value, Revision(9))
    return job_store, job, bindings, list(state_records.chunk_bindings(value))


def write_chunk(read: Any) -> Any:
    """Return `run/ID/CHUNK` as written by the leader."""
    job_store, job, _, _ = read
    return job_store.value(job.chunks[0])


def read_over(value: Any) -> Any:
    """Decode `over/ID` for users' requests, for a graph and for a new leader."""
    final = Admission._final_reply(
        cast(Any, None), JobId("wk-000412"), wire.KeyValue(value=value, version=3)
    )
    record = msgspec.convert(value, job_lifecycle.JobRecord) if "spec" in value else None
    return SimpleNamespace(
        told=final.body,
        outcome=records.node_outcome(value),
        spec=record.spec if record is not None else None,
        ended_at=record.ended_at if record is not None else None,
    )


def write_end(read: Any) -> Any:
    """Return `over/ID` as written by the leader."""
    job_store = JobStore(_VALUE_KB)
    job = job_store.add(read.spec or _spec(), Wall(0.0), Revision(3))
    job.outcome = read.outcome
    job.bound_count = int(read.spec is not None)
    batch = TransactionBatch()
    batch.add_end(job, 10, False)
    key = state_records.ended_key(job.id)
    return next(c["value"] for c in batch.changes if c.get("set") == key)


def write_cancellation(read: Any) -> Any:
    """Return `over/ID` as written by the node that cancels the job."""
    job = JobId(read.spec.id)
    client = _Client({state_records.job_key(job): {"spec": wire.to_builtins(read.spec), "at": 0.0}})
    with mock.patch.object(admission, "wall_now", lambda: Wall(read.ended_at or 0.0)):
        asyncio.run(_admission(client).cancel(job))
    return client.put(state_records.ended_key(job))


def write_burial(read: Any) -> Any:
    """Return `over/NODE` as written by the leader for a node whose graph has ended."""
    joined: list[JoinedWrite] = []
    job = JobId(read.spec.id)
    term = SimpleNamespace(
        _orphans={job: (Revision(3), read.spec)},
        _ending_orphans=set(),
        _term=SimpleNamespace(write_batcher=SimpleNamespace(join=joined.append)),
    )
    GraphLeaderExtension._enqueue_orphan_end(cast(Any, term), job)
    return joined[0].changes[1]["value"]


def _cancel_gated(index: int) -> _Client:
    head = GraphRecord(
        v=records.VERSION, status="accepted", at=0.0, digest="", nodes=9, edges=0, parts=1
    )
    client = _Client({records.graph_key("fam1"): msgspec.to_builtins(head)})
    graphs = _graph_intake(client, _admission(client))
    asyncio.run(graphs.cancel(model.node_id("fam1", index)))
    return client


def write_gated_cancellation(_: Any) -> Any:
    """Return `over/NODE` as written by the controller that cancels a gated node."""
    return _cancel_gated(2).put(state_records.ended_key(model.node_id("fam1", 2)))


def write_word(value: Any) -> Any:
    """Return `job/GRAPH.word` as written by the controller that cancels a gated node."""
    return _cancel_gated(value["cancelled"]).put(records.cancelled_node_key("fam1"))


# -- leadership -----------------------------------------------------------------------------------


def read_leader(value: Any) -> Any:
    """Decode `leader` for other members, with the host's number of consecutive re-elections."""
    member = SimpleNamespace(_unreadable=ChangeLog(logging.getLogger(__name__)))
    entry = wire.Entry(key=fencing.LEADER_KEY, value=value, version=7)
    known = Election._read_leader(cast(Any, member), entry)
    if known is None:
        raise ValueError("not read")
    again = election.consecutive_reelections(value, Wall(value.get("at", 0.0)))
    return SimpleNamespace(known=known, again=again, value=value)


def write_leader(read: Any) -> Any:
    """Return `leader` as written by the elected member; check `term`, which it writes as well."""
    value = read.value
    time_is(value.get("at", 0.0))
    secrets_are(value.get("incarnation", ""))
    client = _Client({fencing.LEADER_KEY: {}, election.TERM_KEY: read.known.term - 1})
    member = Election(cast(Any, client), read.known.host, lambda: None)
    asyncio.run(member._campaign(Revision(3), value.get("again", 0)))
    assert client.put(election.TERM_KEY) == last_token_of(read.known.term)
    return client.put(fencing.LEADER_KEY)


def read_term(value: Any) -> Any:
    """Decode `term`, an integer: the highest token that any term has owned."""
    return FencingToken(value)


def write_term(term: Any) -> Any:
    """Return `term` as written by the elected member."""
    client = _Client({fencing.LEADER_KEY: {}, election.TERM_KEY: term - TOKENS_PER_TERM})
    member = Election(cast(Any, client), "node-1", lambda: None)
    asyncio.run(member._campaign(Revision(3)))
    return client.put(election.TERM_KEY)


def read_delegation(value: Any) -> Any:
    """Decode `deputy/HOST`."""
    unreadable = ChangeLog(logging.getLogger(__name__))
    found = renewal_delegation._read_delegation("deputy/node-1", value, 3, unreadable)
    if found is None:
        raise ValueError("not read")
    return found


# -- the cloud's records --------------------------------------------------------------------------


def _read_intents(key: str, value: Any) -> IntentLog:
    kept = IntentLog(lambda _: None, FencingToken(3), _VALUE_KB)
    kept.read([wire.Entry(key=key, value=value, version=3)])
    return kept


def read_rent(value: Any) -> Any:
    """Load `cloud/rent/NAME` for a new leader."""
    found = _read_intents(intent_log._RENTAL_PREFIX + "r1", value).open_rentals
    if not found:
        raise ValueError("left alone")
    return found["r1"]


def write_rent(record: Any) -> Any:
    """Return `cloud/rent/NAME` as written by the leader, with the cloud's answer if any."""
    joined: list[JoinedWrite] = []

    def join(change: JoinedWrite) -> None:
        joined.append(change)
        change.on_committed(Revision(3))

    kept = IntentLog(join, FencingToken(3), _VALUE_KB, wall=lambda: Wall(record.at))
    asyncio.run(
        kept.record_rental("r1", Rental(record.type, record.zone, record.spot, record.count))
    )
    if record.names is not None:
        kept.record_grant("r1", record.names)
    return joined[-1].changes[0]["value"]


def read_return(value: Any) -> Any:
    """Load `cloud/return/TERM.N` for a new leader; return the machines and the record."""
    found = _read_intents(intent_log._RELEASE_PREFIX + "00000003.000001", value).open_releases
    if not found:
        raise ValueError("left alone")
    return next(iter(found.values())), msgspec.convert(value, ReleaseRecord)


def write_return(read: Any) -> Any:
    """Return `cloud/return/TERM.N` as written by the leader."""
    joined: list[JoinedWrite] = []

    def join(change: JoinedWrite) -> None:
        joined.append(change)
        change.on_committed(Revision(3))

    kept = IntentLog(join, FencingToken(3), _VALUE_KB, wall=lambda: Wall(read[1].at))
    asyncio.run(kept.record_release(read[0]))
    return joined[-1].changes[0]["value"]


# -- graphs ---------------------------------------------------------------------------------------


def write_graph_end(over: Any) -> Any:
    """Return `over/GRAPH`."""
    head = GraphRecord(
        v=records.VERSION,
        status="accepted",
        at=0.0,
        digest=over.digest,
        nodes=over.nodes,
        edges=over.edges,
        parts=over.parts,
    )
    return records.graph_end_value(head, over.status, over.at, over.why, over.counts)


def read_part(value: Any) -> Any:
    """Decode `part/GRAPH/PPPPP.CC`, a part with one fragment; return it with its nodes."""
    entry = wire.Entry(key=records.fragment_key("fam1", 0, 0), value=value, version=3)
    packed = records.assemble_parts([entry])[0]
    return packed, records.unpack_part(packed)


def write_part(read: Any) -> Any:
    """Return `part/GRAPH/PPPPP.CC`; its compressed bytes also depend on the zlib library."""
    (value,) = records.pack_part(read[1], 4096)
    return value


def read_parts(value: Any) -> Any:
    """Decode the fragments of one part; return it with its nodes."""
    entries = [
        wire.Entry(key=records.fragment_key("fam1", 0, number), value=fragment, version=3)
        for number, fragment in enumerate(value)
    ]
    packed = records.assemble_parts(entries)[0]
    return packed, records.unpack_part(packed)


def write_parts(read: Any) -> Any:
    """Return the values of a part's fragments; the size limit is low enough for several."""
    return records.pack_part(read[1], 400)


# -- answers to users -----------------------------------------------------------------------------


def answer(what: str, kept: dict[str, Any], *given: Any) -> Any:
    """Return status, body, retry delay and changes of a user's request.

    The state service contains `kept`.
    """
    client = _Client(kept)
    admission = _admission(client)
    graphs = admission.implicit_jobs = _graph_intake(client, admission)
    calls: dict[str, Callable[..., Any]] = {
        "submit": lambda body: admission.submit(wire.encode(body)),
        "status": admission.status,
        "cancel": admission.cancel,
        "submit graph": lambda body: graphs.submit(wire.encode(body)),
        "put part": lambda graph, part, body: graphs.put_part(graph, part, wire.encode(body)),
        "seal": lambda graph, body: graphs.seal(graph, wire.encode(body)),
        "show": graphs.show,
        "nodes": graphs.nodes,
        "cancel graph": graphs.cancel_graph,
    }
    time_is(1_764_720_000.25)
    reply = asyncio.run(calls[what](*given))
    return [reply.status, reply.body, reply.retry_after_s, client.changes]


# -- one row for each kind ------------------------------------------------------------------------

_JOB: Final[Fields] = {
    "id": lambda r: r.id,
    "lineup": lambda r: r.job_class,
    "crew": lambda r: r.team,
    "shape": lambda r: r.kind,
    "urgency": lambda r: r.priority,
    "pieces": lambda r: r.tasks,
    "vcpus": lambda r: r.cpus,
    "gpus": lambda r: r.gpus,
    "memoryGb": lambda r: r.memory_gb,
    "bundle": lambda r: r.image,
    "sizeGb": lambda r: r.image_gb,
    "builds": lambda r: r.types,
    "hall": lambda r: r.zone,
    "samePlace": lambda r: r.one_zone,
    "scatter": lambda r: r.spread,
    "loaners": lambda r: r.spot,
    "guessS": lambda r: r.estimate_s,
    "snapshotS": lambda r: r.checkpoint_s,
    "flushS": lambda r: r.save_s,
    "dueS": lambda r: r.deadline_s,
    "rank": lambda r: r.rank,
}
_REPORT: Final[Fields] = {
    "kiln": lambda r: r.machine,
    "addr": lambda r: r.addr,
    "build": lambda r: r.type,
    "hall": lambda r: r.zone,
    "loaners": lambda r: r.spot,
    "shift": lambda r: r.incarnation,
    "tick": lambda r: r.sequence,
    "baton": lambda r: r.token,
    "warningS": lambda r: r.notice_s,
    "pieces": lambda r: [[t.task, t.attempt, t.state, t.why, t.saved] for t in r.tasks],
}
_CATALOGUE: Final[Fields] = {
    "builds": lambda r: [
        [
            t.name, t.cpus, t.gpus, t.memory_gb, t.cache_gb, t.fetch_gb_per_s, t.price,
            t.spot_price, t.boot_s, t.zones,
        ]
        for t in r.types
    ],
}  # fmt: skip
_MACHINES: Final[Fields] = {
    "kilns": lambda r: [
        [m.id, m.addr, m.type, m.zone, m.spot, m.state, m.age_s] for m in r.machines
    ],
    "truncated": lambda r: r.more,
}
_ENTRIES: Final[Fields] = {
    "entries": lambda r: [[e.key, e.value, e.version] for e in r.items],
    "truncated": lambda r: r.more,
    "epoch": lambda r: r.revision,
}
_WATCH: Final[Fields] = {
    "epoch": lambda r: r.revision,
    "log": lambda r: [[e.put, e.delete, e.value, e.version] for e in r.events],
}
_OVER: Final[Fields] = {
    "told": lambda r: r.told,
    "outcome": lambda r: r.outcome,
    "spec": lambda r: None if r.spec is None else r.spec.id,
}
_OVER_CANCELLED: Final[Fields] = {**_OVER, "ended_at": lambda r: r.ended_at}
_CHUNK: Final[Fields] = {
    "done": lambda r: list(r[1].done),
    "bound": lambda r: [
        [b.task.index, b.machine, b.incarnation, b.attempt, b.backfilled, b.bound_at] for b in r[2]
    ],
    "attempts": lambda r: {str(i): t.next_attempt for i, t in sorted(r[1].tasks.items())},
    "errors": lambda r: {str(i): t.errors for i, t in sorted(r[1].tasks.items())},
    "unfinished": lambda r: [list(found) for found in r[3]],
}
_NODE: Final[Fields] = {
    "job": lambda r: r[0].spec.id,
    "at": lambda r: r[0].at,
    "owner": lambda r: [r[0].owner, r[1].owner],
    "each": lambda r: r[1].each,
    "retries": lambda r: r[1].retries,
    "due_s": lambda r: r[1].due_s,
    "tail_s": lambda r: r[1].tail_s,
}
_HEAD: Final[Fields] = {
    "v": lambda r: r.v,
    "status": lambda r: r.status,
    "at": lambda r: r.at,
    "digest": lambda r: r.digest,
    "defaults": lambda r: r.defaults,
    "on_failure": lambda r: r.on_failure,
    "due_s": lambda r: r.due_s,
    "retries": lambda r: r.retries,
    "nodes": lambda r: r.nodes,
    "edges": lambda r: r.edges,
    "parts": lambda r: r.parts,
}
_GRAPH_OVER: Final[Fields] = {
    **{name: _HEAD[name] for name in ("v", "status", "at", "digest", "nodes", "edges", "parts")},
    "why": lambda r: r.why,
    "counts": lambda r: r.counts,
}


def _nodes(nodes: list[Node]) -> list[Any]:
    return [[n.key, n.job, [[e.node, e.each, e.when] for e in n.edges()], n.retries] for n in nodes]


_SUBMISSION: Final[Fields] = {
    "id": lambda r: r.id,
    "defaults": lambda r: r.defaults,
    "onFailure": lambda r: r.on_failure,
    "dueS": lambda r: r.due_s,
    "maxRetries": lambda r: r.retries,
    "nodes": lambda r: _nodes(r.nodes),
    "seal": lambda r: r.seal,
}
_SETTINGS: Final[Fields] = {
    "host_name": lambda r: r.host_name,
    "zone": lambda r: r.zone,
    "client_listen": lambda r: r.client_listen,
    "cluster_listen": lambda r: r.cluster_listen,
    "members": lambda r: [[m.host_name, m.zone, m.peer_addr] for m in r.members],
    "services": lambda r: [r.services.cloud, r.services.state],
    "zones": lambda r: r.params.zones,
    "teams": lambda r: [
        [t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max] for t in r.params.teams
    ],
    "objectives": lambda r: [
        [o.kind, o.job_class, o.share, o.times, o.within_s] for o in r.params.objectives
    ],
    "workers": lambda r: [
        r.params.workers.heartbeat_interval_s, r.params.workers.lease_s, r.params.workers.cancel_s
    ],
    "state": lambda r: [
        r.params.state.rps, r.params.state.write_rps, r.params.state.value_kb,
        r.params.state.txn_ops,
    ],
    "cloud": lambda r: [r.params.cloud.rps, r.params.cloud.list_lag_s],
    "quota": lambda r: [
        r.params.quota.cpu_share, r.params.quota.ram_mb, r.params.quota.fd_limit
    ],
    "clock_off_ms": lambda r: r.params.clock_off_ms,
}  # fmt: skip
_FEATURES: Final[Fields] = {
    "version": lambda r: r.version,
    "graphs": lambda r: [
        r.graphs.on, r.graphs.most_nodes, r.graphs.most_edges, r.graphs.open_s
    ],
    "profile": lambda r: [r.profile.on, r.profile.every_s],
}  # fmt: skip


def _message(kind: type[Any], fields: Fields) -> Kind:
    """Return the kind of a message that `wire` decodes and encodes."""
    return Kind(
        lambda text: wire.decode(text, kind), fields, lambda r: r, wire.MalformedMessageError
    )


def _record(
    read: Callable[[Any], Any], fields: Fields, write: Write, refusal: type[Exception]
) -> Kind:
    """Return the kind of a value in the state service."""
    return Kind(lambda text: read(orjson.loads(text)), fields, write, refusal)


_INVALID: Final = msgspec.ValidationError

KINDS: Final[dict[str, Kind]] = {
    # Records.
    "job": _record(
        _convert(job_lifecycle.JobRecord),
        {
            "job": lambda r: r.spec.id,
            "at": lambda r: r.at,
            "owner": lambda r: r.owner,
            "spec": lambda r: [field(r.spec) for field in _JOB.values()],
        },
        write_accepted_job,
        _INVALID,
    ),
    "node": _record(read_node_job, _NODE, write_released_node, GraphRecordError),
    "run": _record(read_chunk, _CHUNK, write_chunk, RecordError),
    "over": _record(read_over, _OVER, write_end, KeyError),
    "over cancelled": _record(read_over, _OVER_CANCELLED, write_cancellation, KeyError),
    "over buried": _record(read_over, _OVER, write_burial, KeyError),
    "over gated": _record(read_over, _OVER, write_gated_cancellation, KeyError),
    "word": _record(lambda value: value, {"cancelled": lambda r: r["cancelled"]}, write_word,
                    KeyError),
    "leader": _record(
        read_leader,
        {
            "host": lambda r: r.known.host,
            "term": lambda r: r.known.term,
            "last_token": lambda r: r.known.last_token,
            "again": lambda r: r.again,
        },
        write_leader,
        ValueError,
    ),
    "term": _record(read_term, {"term": lambda r: r}, write_term, ValueError),
    "deputy": _record(
        read_delegation,
        {"term": lambda r: r.term, "closed": lambda r: r.revoked, "beat": lambda r: r.beat},
        wire.to_builtins,
        ValueError,
    ),
    "out": _record(
        _convert(ExclusionRecord),
        {
            "term": lambda r: r.term,
            "v": lambda r: r.v,
            "ends_term": lambda r: r.ends_term,
            "mark": lambda r: r.mark,
        },
        wire.to_builtins,
        _INVALID,
    ),
    "rent": _record(
        read_rent,
        {
            "type": lambda r: r.type,
            "zone": lambda r: r.zone,
            "spot": lambda r: r.spot,
            "count": lambda r: r.count,
            "at": lambda r: r.at,
            "names": lambda r: r.names,
            "v": lambda r: r.v,
        },
        write_rent,
        ValueError,
    ),
    "return": _record(
        read_return,
        {"names": lambda r: list(r[0]), "at": lambda r: r[1].at, "v": lambda r: r[1].v},
        write_return,
        ValueError,
    ),
    "graph": _record(records.read_graph, _HEAD, msgspec.to_builtins, GraphRecordError),
    "graph over": _record(records.read_graph_end, _GRAPH_OVER, write_graph_end, GraphRecordError),
    "part": _record(
        read_part,
        {
            "nodes": lambda r: r[0].nodes,
            "digest": lambda r: r[0].digest,
            "content": lambda r: _nodes(r[1]),
        },
        write_part,
        GraphRecordError,
    ),
    "parts": _record(
        read_parts, {"content": lambda r: _nodes(r[1])}, write_parts, GraphRecordError
    ),
    # Messages.
    "submission": _message(wire.JobSpec, _JOB),
    "report": _message(wire.Heartbeat, _REPORT),
    "catalogue": _message(wire.Catalogue, _CATALOGUE),
    "machine list": _message(wire.MachineList, _MACHINES),
    "rented": _message(wire.Rented, {"kilns": lambda r: r.machines}),
    "entries": _message(wire.Entries, _ENTRIES),
    "key value": _message(
        wire.KeyValue,
        {"value": lambda r: r.value, "stamp": lambda r: r.version, "hold": lambda r: r.lease},
    ),
    "committed": _message(wire.RevisionOnly, {"epoch": lambda r: r.revision}),
    "conflict": _message(
        wire.Conflict, {"failed": lambda r: r.failed, "epoch": lambda r: r.revision}
    ),
    "lease": _message(wire.Lease, {"hold": lambda r: r.lease}),
    "watch result": _message(wire.WatchResult, _WATCH),
    "extension request": _message(
        ExtensionRequest, {"term": lambda r: r.term, "seen": lambda r: r.seen}
    ),
    "extension answer": _message(
        ExtensionAnswer,
        {
            "promised": lambda r: r.promised,
            "why": lambda r: r.why,
            "cancelled": lambda r: r.cancelled,
            "vouches": lambda r: r.vouches,
        },
    ),
    "presence": _message(
        Presence,
        {
            "leads": lambda r: r.leads,
            "reports": lambda r: r.reports,
            "lost_term": lambda r: r.lost_term,
        },
    ),
    "graph submission": _message(Submission, _SUBMISSION),
    "graph part": _message(PartBody, {"nodes": lambda r: _nodes(r.nodes)}),
    "graph seal": _message(SealBody, {"parts": lambda r: r.parts}),
    "graph counts": _message(dict[str, int], {"counts": lambda r: r}),
    # Files, which are only decoded.
    "settings": Kind(settings.parse, _SETTINGS, refusal=settings.SettingsError),
    "features": Kind(
        lambda text: features.parse(text.decode()), _FEATURES, refusal=features.FeaturesError
    ),
}  # fmt: skip

BUILDERS: Final[dict[str, Callable[..., Any]]] = {
    "job status": wire.job_status,
    "accepted": wire.accepted,
    "start": wire.start_command,
    "stop": wire.stop_command,
    "forget": wire.forget_command,
    "report answer": wire.heartbeat_response,
    "direct commands": wire.direct_commands,
    "redirect": wire.redirect,
    "rent request": wire.rent_request,
    "release request": wire.release_request,
    "guard": wire.guard,
    "put": wire.put,
    "delete": wire.delete,
    "transaction": wire.transaction,
    "lease request": wire.lease_request,
    "answer": answer,
    "graph refused": lambda *given: model.InvalidGraphError(*given).body(),
    "graph accepted": lambda name, head: GraphAdmission._accepted_body(
        name, records.read_graph(head)
    ),
}

KEYS: Final[dict[str, Callable[..., Any]]] = {
    "job": state_records.job_key,
    "over": state_records.ended_key,
    "run": lambda job, number: (
        Chunk(
            JobStore(_VALUE_KB).add(
                _spec(orjson.dumps({**SUBMISSION, "id": job})), Wall(0.0), ABSENT
            ),
            number,
        ).key
    ),
    "run read": lambda key: list(record_loader._parse_chunk_key(key)),
    "leader": lambda: fencing.LEADER_KEY,
    "term": lambda: election.TERM_KEY,
    "out": election.exclusion_key,
    "deputy": lambda host: renewal_delegation.DELEGATION_PREFIX + host,
    "rent": lambda name: intent_log._RENTAL_PREFIX + name,
    "return": lambda rest: intent_log._RELEASE_PREFIX + rest,
    "graph": records.graph_key,
    "graph over": records.graph_end_key,
    "word": records.cancelled_node_key,
    "word read": records.parse_cancelled_node_key,
    "parts": records.parts_prefix,
    "part": records.fragment_key,
    "part read": lambda key: list(records.parse_fragment_key(key)),
    "node": model.node_id,
    "node read": lambda name: list(model.parse_node_id(name) or ()),
}

VALUES: Final[dict[str, Any]] = {
    "job pending": wire.JOB_PENDING,
    "job running": wire.JOB_RUNNING,
    "job done": wire.JOB_DONE,
    "job cancelled": wire.JOB_CANCELLED,
    "task fetching": wire.FETCHING,
    "task running": wire.RUNNING,
    "task saving": wire.SAVING,
    "task exited": wire.EXITED,
    "why done": wire.WHY_DONE,
    "why stopped": wire.WHY_STOPPED,
    "why error": wire.WHY_ERROR,
    "refusals": sorted(wire.REFUSALS),
    "machine failed": wire.MACHINE_FAILED,
    "machine running": wire.MACHINE_RUNNING,
    "machine booting": wire.MACHINE_BOOTING,
    "array": wire.ARRAY,
    "gang": wire.GANG,
    "service": wire.SERVICE,
    "ranks": wire.RANKS,
    "paths": [
        wire.JOBS_PATH, wire.CANCEL_PATH, wire.HEALTH_PATH, wire.HEARTBEAT_PATH, wire.COMMANDS_PATH
    ],
    "outcomes": [
        state_records.OUTCOME_DONE, state_records.OUTCOME_FAILED, state_records.OUTCOME_SKIPPED,
        state_records.OUTCOME_CANCELLED,
    ],
}  # fmt: skip

# -- the tests ------------------------------------------------------------------------------------

_clock: Final = {"time": 0.0}
_secret: Final = {"hex": ""}


def time_is(at: float) -> None:
    """Set the time of day for records written from now on."""
    _clock["time"] = at


def secrets_are(text: str) -> None:
    """Set the value of secrets generated from now on."""
    _secret["hex"] = text


@pytest.fixture(autouse=True)
def _frozen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: _clock["time"])
    monkeypatch.setattr(secrets, "token_hex", lambda _: _secret["hex"])


def _samples(part: str) -> list[Any]:
    if not SAMPLES.exists():
        return []
    return [
        pytest.param(sample, id=f"{sample['kind']}: {sample['name']}")
        for sample in orjson.loads(SAMPLES.read_bytes())[part]
    ]


def read_fields(kind: Kind, text: str) -> dict[str, Any]:
    """Decode a sample; return its fields by the labels of its kind."""
    found = kind.read(text.encode())
    return {label: field(found) for label, field in kind.fields.items()}


def written_again(kind: Kind, text: str) -> str | None:
    """Decode and encode a sample; None if its kind is never encoded."""
    if kind.write is None:
        return None
    return wire.encode(kind.write(kind.read(text.encode()))).decode()


@pytest.mark.parametrize("sample", _samples("read"))
def test_sample_is_decoded(sample: dict[str, Any]) -> None:
    assert read_fields(KINDS[sample["kind"]], sample["text"]) == sample["fields"]


@pytest.mark.parametrize("sample", _samples("read"))
def test_sample_is_encoded_byte_for_byte(sample: dict[str, Any]) -> None:
    expected = sample["again"] if "again" in sample else sample["text"]
    assert written_again(KINDS[sample["kind"]], sample["text"]) == expected


@pytest.mark.parametrize("sample", _samples("refused"))
def test_unknown_form_is_rejected(sample: dict[str, Any]) -> None:
    kind = KINDS[sample["kind"]]
    assert kind.refusal is not None
    with pytest.raises(kind.refusal):
        kind.read(sample["text"].encode())


@pytest.mark.parametrize("sample", _samples("built"))
def test_message_is_built_byte_for_byte(sample: dict[str, Any]) -> None:
    built = BUILDERS[sample["kind"]](*sample["arguments"])
    assert wire.encode(built).decode() == sample["text"]


@pytest.mark.parametrize("sample", _samples("keys"))
def test_key_is_unchanged(sample: dict[str, Any]) -> None:
    assert KEYS[sample["kind"]](*sample["arguments"]) == sample["key"]


@pytest.mark.parametrize("sample", _samples("values"))
def test_protocol_value_is_unchanged(sample: dict[str, Any]) -> None:
    assert VALUES[sample["kind"]] == sample["value"]


@pytest.mark.parametrize("sample", _samples("deployed"))
def test_service_manifest_is_unchanged(sample: dict[str, Any]) -> None:
    text = (ROOT / sample["file"]).read_text(encoding="utf-8")
    assert tomllib.loads(text) == sample["content"]


def test_deployed_features_file_is_valid() -> None:
    features.load(ROOT / "deploy" / "features.toml")


def test_extension_answer_contains_acknowledged_cancellations() -> None:
    known = AcknowledgedCancellations(lambda: Revision(2))
    known.add("wk-000412", Revision(7))
    answer = ExtensionAnswer(
        True, "", known.since(Revision(5)), known.is_complete_since(Revision(5))
    )
    texts = [s.values[0]["text"] for s in _samples("read") if "extension answer" in str(s.id)]
    assert wire.encode(answer).decode() in texts


def _key_constants() -> Iterator[tuple[str, str]]:
    """Yield the constants that are a key, or a prefix of keys, in the state service."""
    for path in sorted((ROOT / "tealrill").rglob("*.py")):
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if (
                isinstance(node, ast.AnnAssign)
                and isinstance(node.target, ast.Name)
                and re.fullmatch(r"_?([A-Z]+_)*(PREFIX|KEY)", node.target.id)
                and isinstance(node.value, ast.Constant)
                and isinstance(node.value.value, str)
                and not node.value.value.startswith("/")
            ):
                yield node.target.id, node.value.value


def test_every_key_has_a_sample() -> None:
    found = dict(_key_constants())
    keys = [sample.values[0].get("key") or "" for sample in _samples("read")]
    assert len(found) >= 8
    assert {n: p for n, p in found.items() if not any(k.startswith(p) for k in keys)} == {}


def test_every_kind_has_a_sample() -> None:
    for part, table in (("read", KINDS), ("built", BUILDERS), ("keys", KEYS), ("values", VALUES)):
        assert {sample.values[0]["kind"] for sample in _samples(part)} == set(table)


@pytest.mark.parametrize("term", ["7", 7.0, {"term": 7}, True])
def test_no_campaign_after_an_unreadable_term(term: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(election, "_UNREADABLE_S", 0.0)
    client = _Client({fencing.LEADER_KEY: {}, election.TERM_KEY: term})
    member = Election(cast(Any, client), "node-1", lambda: None)
    asyncio.run(member._campaign(Revision(3)))
    assert client.changes == []
