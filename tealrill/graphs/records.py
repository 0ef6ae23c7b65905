"""What of a graph is kept in the state service, and how it is read back.

| key | holds |
| --- | --- |
| `job/GRAPH` | the head; moved to `over/GRAPH` once, as a job's record is |
| `over/GRAPH` | how the graph ended; kept for ever |
| `part/GRAPH/PPPPP.CC` | fragment CC of part PPPPP: nodes, compressed; never changed |
| `job/GRAPH.word` | a word to the leader: the last gated node that its user cancelled |

A graph's id has no hyphen, so neither key is a job's. Descriptions are alike within a graph and
compress to a fifth or less; a state service that takes 20 changes of 4 KiB a second would otherwise
need minutes for 10,000 nodes.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import zlib
from collections.abc import Iterable, Sequence
from typing import Any, Final, Literal, cast

import msgspec
import orjson

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.graphs.model import Node, Retries
from tealrill.state.records import ENDED_PREFIX, JOB_PREFIX, OUTCOME_CANCELLED, OUTCOME_DONE
from tealrill.types import JobId

PART_PREFIX: Final = "part/"
VERSION: Final = 1
_WORD: Final = ".word"
_FRAGMENT_REST: Final = 300
"""Bytes of a fragment's value beside the fragment itself."""
_MOST_INFLATED: Final = 256 * 1024
"""A part is at most a body of 64 KiB; what claims to be more is no part of ours."""


class GraphRecordError(TealrillError):
    """A record that this version did not write."""


OPEN: Final = "open"
ACCEPTED: Final = "accepted"
EXPIRED: Final = "expired"


class GraphRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`job/GRAPH`."""

    v: int
    status: Literal["open", "accepted", "expired"]
    at: float
    """When it was begun; when it was accepted, once it is."""
    digest: str
    """Of the submission that began it."""
    defaults: dict[str, Any] = {}
    on_failure: Literal["finish", "stop"] = "finish"
    due_s: float | None = None
    retries: Retries = 3
    nodes: int = 0
    edges: int = 0
    parts: int = 0


class GraphEnd(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`over/GRAPH`. A node without a record of its own never ran and never will."""

    v: int
    status: Literal["done", "failed", "aborted"]
    at: float
    digest: str
    nodes: int = 0
    edges: int = 0
    parts: int = 0
    why: str = ""
    counts: dict[str, int] | None = None
    """Nodes by how they ended; None if it ended before all of them had."""


class Fragment(msgspec.Struct, frozen=True, kw_only=True):
    """`part/GRAPH/PPPPP.CC`."""

    v: int
    of: int
    nodes: int
    digest: str
    z: str


def graph_key(graph: str) -> str:
    """Return the key of a graph's head while it is open or accepted."""
    return JOB_PREFIX + graph


def graph_end_key(graph: str) -> str:
    """Return the key that tells how a graph ended."""
    return ENDED_PREFIX + graph


def cancelled_node_key(graph: str) -> str:
    """Return the key by which a member tells the leader of a cancelled gated node."""
    return JOB_PREFIX + graph + _WORD


def parse_cancelled_node_key(key: str) -> str | None:
    """The graph that a word is about; None for any other key under `job/`."""
    name = key.removeprefix(JOB_PREFIX)
    return name.removesuffix(_WORD) if name.endswith(_WORD) else None


def parts_prefix(graph: str) -> str:
    """Return the prefix of a graph's parts."""
    return f"{PART_PREFIX}{graph}/"


def fragment_key(graph: str, part: int, fragment: int) -> str:
    """Return the key of one fragment of a part."""
    return f"{PART_PREFIX}{graph}/{part:05d}.{fragment:02d}"


def parse_fragment_key(key: str) -> tuple[int, int]:
    """The part's and the fragment's number; raises `GraphRecordError`."""
    part, dot, fragment = key.rpartition("/")[2].partition(".")
    if not dot or not part.isdigit() or not fragment.isdigit():
        raise GraphRecordError(f"unknown key {key}")
    return int(part), int(fragment)


def read_graph(value: Any) -> GraphRecord:
    """Raises `GraphRecordError`, also for a version that this program does not know."""
    return _read(value, GraphRecord)


def read_graph_end(value: Any) -> GraphEnd:
    """Read how a graph ended; raises `GraphRecordError`."""
    return _read(value, GraphEnd)


def graph_end_value(
    head: GraphRecord,
    status: Literal["done", "failed", "aborted"],
    at: float,
    why: str = "",
    counts: dict[str, int] | None = None,
) -> dict[str, Any]:
    """The value of `over/GRAPH` for a graph with this head."""
    over = GraphEnd(
        v=VERSION,
        status=status,
        at=at,
        digest=head.digest,
        nodes=head.nodes,
        edges=head.edges,
        parts=head.parts,
        why=why,
        counts=counts,
    )
    return cast(dict[str, Any], msgspec.to_builtins(over))


def node_outcome(over: dict[str, Any]) -> str:
    """How a node ended, by its record; one that its user cancelled as a job does not say so."""
    if over.get("status") == wire.JOB_DONE:
        return OUTCOME_DONE
    return str(over.get("outcome", OUTCOME_CANCELLED))


def _read(value: Any, kind: type[wire.T]) -> wire.T:
    version = value.get("v") if isinstance(value, dict) else None
    if version != VERSION:
        raise GraphRecordError(f"version {version!r}; this program reads {VERSION}")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise GraphRecordError(str(error)) from None


def digest(message: Any) -> str:
    """Of a message's content, whatever order its fields came in."""
    if isinstance(message, msgspec.Struct):
        message = msgspec.to_builtins(message)
    content = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def pack_part(nodes: Sequence[Node], value_bytes: int) -> list[dict[str, Any]]:
    """A part as the values of its fragments, each at most `value_bytes` of JSON."""
    plain = msgspec.to_builtins(list(nodes))
    packed = base64.b64encode(zlib.compress(orjson.dumps(plain), 6)).decode()
    size = value_bytes - _FRAGMENT_REST
    pieces = [packed[at : at + size] for at in range(0, len(packed), size)]
    whole = digest(plain)
    return [
        msgspec.to_builtins(
            Fragment(v=VERSION, of=len(pieces), nodes=len(nodes), digest=whole, z=piece)
        )
        for piece in pieces
    ]


class Packed(msgspec.Struct, frozen=True):
    """A part as the leader keeps it: what it needs of 10,000 descriptions at a time is few."""

    nodes: int
    digest: str
    content: bytes


def unpack_part(packed: Packed) -> list[Node]:
    """The nodes of a part; raises `GraphRecordError`."""
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(packed.content, _MOST_INFLATED)
        return msgspec.convert(orjson.loads(content), list[Node])
    except (zlib.error, orjson.JSONDecodeError, msgspec.ValidationError) as error:
        raise GraphRecordError(f"a part can't be read: {error}") from None


def assemble_parts(entries: Iterable[wire.Entry]) -> dict[int, Packed]:
    """Whole parts by number, from a reading of all fragments; raises `GraphRecordError`."""
    pieces: dict[int, dict[int, Fragment]] = {}
    for entry in entries:
        part, number = parse_fragment_key(entry.key)
        pieces.setdefault(part, {})[number] = _read(entry.value, Fragment)
    found: dict[int, Packed] = {}
    for part, fragments in pieces.items():
        first = fragments.get(0)
        if first is None or len(fragments) != first.of:
            raise GraphRecordError(f"part {part} has {len(fragments)} fragments")
        try:
            content = base64.b64decode(
                "".join(fragments[number].z for number in range(first.of)), validate=True
            )
        except (binascii.Error, KeyError) as error:
            raise GraphRecordError(f"part {part}: {error}") from None
        found[part] = Packed(first.nodes, first.digest, content)
    return found


class NodeJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What `job/NODE` holds beyond a plain job's record."""

    owner: str
    each: list[JobId] = []
    """The jobs for whose tasks it waits one by one."""
    retries: Retries = 3
    due_s: float | None = None
    tail_s: float = 0.0


NODE_JOB_BYTES: Final = 200
"""Most of a node's record beyond a plain job's, without `each`."""
EACH_BYTES: Final = 48
"""Most that one name in `each` takes."""


def read_node_job(value: dict[str, Any]) -> NodeJob:
    """Raises `GraphRecordError`."""
    try:
        return msgspec.convert(value, NodeJob)
    except msgspec.ValidationError as error:
        raise GraphRecordError(str(error)) from None
