"""Records of graphs in the state service: keys, contents, encoding and decoding.

| key | value |
| --- | --- |
| `job/GRAPH` | the graph's record; moves to `over/GRAPH` when the graph ends, like a job's record |
| `over/GRAPH` | how the graph ended; never deleted |
| `part/GRAPH/PPPPP.CC` | fragment CC of part PPPPP: nodes, compressed; never changed |
| `job/GRAPH.word` | notice to the leader: the gated node that a user cancelled last |

A graph's id has no hyphen, so none of these keys is a job's. The nodes of a graph are similar and
compress to a fifth or less: uncompressed, 10,000 nodes would take minutes to write at 20 changes of
4 KiB a second.
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
_NOTICE_SUFFIX: Final = ".word"
_FRAGMENT_OVERHEAD_BYTES: Final = 300
"""Bytes of a fragment's value besides its piece of the compressed part."""
_MAX_PART_BYTES: Final = 256 * 1024
"""Most bytes of an uncompressed part. A part is submitted in a body of at most 64 KiB, so larger
content is not a part."""


class GraphRecordError(TealrillError):
    """A record that this version can't read."""


OPEN: Final = "open"
ACCEPTED: Final = "accepted"
EXPIRED: Final = "expired"


class GraphRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`job/GRAPH`: a graph that is open, accepted or expired."""

    v: int
    status: Literal["open", "accepted", "expired"]
    at: float
    """Time at which it was opened or, once accepted, at which it was accepted."""
    digest: str
    """Digest of the submission that opened it."""
    defaults: dict[str, Any] = {}
    on_failure: Literal["finish", "stop"] = "finish"
    due_s: float | None = None
    retries: Retries = 3
    nodes: int = 0
    edges: int = 0
    parts: int = 0


class GraphEnd(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`over/GRAPH`: an ended graph. A node without a record of its own never ran and never will."""

    v: int
    status: Literal["done", "failed", "aborted"]
    at: float
    digest: str
    nodes: int = 0
    edges: int = 0
    parts: int = 0
    why: str = ""
    counts: dict[str, int] | None = None
    """Number of nodes by how they ended; None if the graph ended before all of them."""


class Fragment(msgspec.Struct, frozen=True, kw_only=True):
    """`part/GRAPH/PPPPP.CC`: one of `of` fragments of a part."""

    v: int
    of: int
    nodes: int
    """Number of nodes in the whole part."""
    digest: str
    """Digest of the whole part."""
    z: str
    """Piece of the compressed part, in base64."""


def graph_key(graph: str) -> str:
    """Return the key of a graph's record until it ends."""
    return JOB_PREFIX + graph


def graph_end_key(graph: str) -> str:
    """Return the key of an ended graph's record."""
    return ENDED_PREFIX + graph


def cancelled_node_key(graph: str) -> str:
    """Return the key of the notice by which a member tells the leader of a cancelled gated node."""
    return JOB_PREFIX + graph + _NOTICE_SUFFIX


def parse_cancelled_node_key(key: str) -> str | None:
    """Return the graph whose notice has this key; None for any other key under `job/`."""
    name = key.removeprefix(JOB_PREFIX)
    return name.removesuffix(_NOTICE_SUFFIX) if name.endswith(_NOTICE_SUFFIX) else None


def parts_prefix(graph: str) -> str:
    """Return the prefix of a graph's parts."""
    return f"{PART_PREFIX}{graph}/"


def fragment_key(graph: str, part: int, fragment: int) -> str:
    """Return the key of one fragment of a part."""
    return f"{PART_PREFIX}{graph}/{part:05d}.{fragment:02d}"


def parse_fragment_key(key: str) -> tuple[int, int]:
    """Return the numbers of the part and the fragment in a key; raise `GraphRecordError`."""
    part, dot, fragment = key.rpartition("/")[2].partition(".")
    if not dot or not part.isdigit() or not fragment.isdigit():
        raise GraphRecordError(f"unknown key {key}")
    return int(part), int(fragment)


def read_graph(value: Any) -> GraphRecord:
    """Decode `job/GRAPH`; raise `GraphRecordError`, also for an unknown version."""
    return _decode(value, GraphRecord)


def read_graph_end(value: Any) -> GraphEnd:
    """Decode `over/GRAPH`; raise `GraphRecordError`, also for an unknown version."""
    return _decode(value, GraphEnd)


def graph_end_value(
    record: GraphRecord,
    status: Literal["done", "failed", "aborted"],
    at: float,
    why: str = "",
    counts: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Return the value of `over/GRAPH` for a graph with this record."""
    end = GraphEnd(
        v=VERSION,
        status=status,
        at=at,
        digest=record.digest,
        nodes=record.nodes,
        edges=record.edges,
        parts=record.parts,
        why=why,
        counts=counts,
    )
    return cast(dict[str, Any], msgspec.to_builtins(end))


def node_outcome(node_end: dict[str, Any]) -> str:
    """Return how a node ended from its record under `over/`.

    The record of a node that was cancelled as a job names no outcome.
    """
    if node_end.get("status") == wire.JOB_DONE:
        return OUTCOME_DONE
    return str(node_end.get("outcome", OUTCOME_CANCELLED))


def _decode(value: Any, kind: type[wire.T]) -> wire.T:
    version = value.get("v") if isinstance(value, dict) else None
    if version != VERSION:
        raise GraphRecordError(f"record has version {version!r}, supported is {VERSION}")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise GraphRecordError(str(error)) from None


def digest(message: Any) -> str:
    """Return a digest of a message's content that does not depend on the order of its fields."""
    if isinstance(message, msgspec.Struct):
        message = msgspec.to_builtins(message)
    content = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def pack_part(nodes: Sequence[Node], value_bytes: int) -> list[dict[str, Any]]:
    """Return the values of a part's fragments, each at most `value_bytes` of JSON."""
    plain = msgspec.to_builtins(list(nodes))
    packed = base64.b64encode(zlib.compress(orjson.dumps(plain), 6)).decode()
    size = value_bytes - _FRAGMENT_OVERHEAD_BYTES
    pieces = [packed[at : at + size] for at in range(0, len(packed), size)]
    content_digest = digest(plain)
    return [
        msgspec.to_builtins(
            Fragment(v=VERSION, of=len(pieces), nodes=len(nodes), digest=content_digest, z=piece)
        )
        for piece in pieces
    ]


class PackedPart(msgspec.Struct, frozen=True):
    """A whole part, still compressed.

    The leader keeps it like this, since it needs few of a graph's up to 10,000 nodes at a time.
    """

    nodes: int
    digest: str
    content: bytes


def unpack_part(packed: PackedPart) -> list[Node]:
    """Return the nodes of a part; raise `GraphRecordError`."""
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(packed.content, _MAX_PART_BYTES)
        return msgspec.convert(orjson.loads(content), list[Node])
    except (zlib.error, orjson.JSONDecodeError, msgspec.ValidationError) as error:
        raise GraphRecordError(f"part can't be decoded: {error}") from None


def assemble_parts(entries: Iterable[wire.Entry]) -> dict[int, PackedPart]:
    """Assemble parts, by number, from all fragments of a graph; raise `GraphRecordError`."""
    fragments_of_part: dict[int, dict[int, Fragment]] = {}
    for entry in entries:
        part, number = parse_fragment_key(entry.key)
        fragments_of_part.setdefault(part, {})[number] = _decode(entry.value, Fragment)
    parts: dict[int, PackedPart] = {}
    for part, fragments in fragments_of_part.items():
        first = fragments.get(0)
        if first is None or len(fragments) != first.of:
            raise GraphRecordError(f"part {part} is incomplete: {len(fragments)} fragments")
        try:
            content = base64.b64decode(
                "".join(fragments[number].z for number in range(first.of)), validate=True
            )
        except (binascii.Error, KeyError) as error:
            raise GraphRecordError(f"part {part}: {error}") from None
        parts[part] = PackedPart(first.nodes, first.digest, content)
    return parts


class NodeJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The fields of `job/NODE` that a plain job's record does not have."""

    owner: str
    """The graph's id."""
    each: list[JobId] = []
    """The jobs that it waits for task by task."""
    retries: Retries = 3
    due_s: float | None = None
    """Seconds from its release until it is due."""
    tail_s: float = 0.0
    """Estimated time of the longest path behind it, in seconds."""


MAX_NODE_FIELDS_BYTES: Final = 200
"""Most bytes of these fields, without `each`."""
MAX_EACH_ENTRY_BYTES: Final = 48
"""Most bytes of one entry of `each`."""


def read_node_job(value: dict[str, Any]) -> NodeJob:
    """Decode the fields of `job/NODE` that belong to its graph; raise `GraphRecordError`."""
    try:
        return msgspec.convert(value, NodeJob)
    except msgspec.ValidationError as error:
        raise GraphRecordError(str(error)) from None
