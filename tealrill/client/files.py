"""Graph files: a graph in TOML, checked against a JSON Schema made from the daemon's own structs.

A file says what a submission says (docs/graphs.md), in the same words. The daemon ignores fields
that it does not know, as its protocol demands; in a file a misspelt `after` would silently run a
node too early, so here unknown fields are errors.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Final, Literal

import jsonschema
import msgspec
from msgspec import UNSET, Meta, UnsetType

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.graphs.model import MAX_RETRIES, InvalidGraphError, Node, Shape, resolve

_JOB_FIELDS: Final = [f for f in msgspec.structs.fields(wire.JobSpec) if f.name != "id"]

JobFields: Final = msgspec.defstruct(
    "JobFields",
    [(f.name, f.type | UnsetType, UNSET) for f in _JOB_FIELDS],
    rename={f.name: f.encode_name for f in _JOB_FIELDS},
    forbid_unknown_fields=True,
    kw_only=True,
)
"""Any of a job's fields, without its id."""

_Key = Annotated[str, Meta(min_length=1, max_length=100)]
_Retries = Annotated[int, Meta(ge=0, le=MAX_RETRIES)]


class EdgeFields(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a node waits for, beyond another node's end as `done`."""

    node: _Key
    each: bool = False
    when: Literal["done", "failed", "ended"] = "done"


class NodeFields(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One node."""

    key: _Key
    job: JobFields | UnsetType = UNSET  # type: ignore[valid-type]
    after: list[_Key | EdgeFields] = []
    maxRetries: _Retries | UnsetType = UNSET


class GraphFields(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A graph file."""

    id: Annotated[str, Meta(pattern="^[a-z][a-z0-9]{0,30}[0-9]$")]
    nodes: Annotated[list[NodeFields], Meta(min_length=1)]
    defaults: JobFields | UnsetType = UNSET  # type: ignore[valid-type]
    onFailure: Literal["finish", "stop"] = "finish"
    dueS: wire.Amount | UnsetType = UNSET
    maxRetries: _Retries | UnsetType = UNSET


class GraphFileError(TealrillError):
    """A graph file that can't be used; each line of the text names a place in it."""


def schema() -> dict[str, Any]:
    """The JSON Schema of graph files (draft 2020-12)."""
    found = msgspec.json.schema(GraphFields)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "A tealrill task graph",
        **found,
    }


def load(path: Path) -> dict[str, Any]:
    """A graph file as a submission; raises `GraphFileError`."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise GraphFileError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise GraphFileError(f"{path}: not TOML: {error}") from None
    check(content)
    return content


def check(content: dict[str, Any], most_errors: int = 10) -> Shape:
    """What the daemon would find wrong, and what it would ignore; raises `GraphFileError`.

    Whether a job can ever run (teams, machine types) only the daemon knows.
    """
    validator = jsonschema.Draft202012Validator(schema())
    errors = sorted(validator.iter_errors(content), key=lambda e: list(map(str, e.absolute_path)))
    if errors:
        lines = [f"{_place(error, content)}: {_reason(error)}" for error in errors[:most_errors]]
        if len(errors) > most_errors:
            lines.append(f"and {len(errors) - most_errors} more")
        raise GraphFileError("\n".join(lines))
    nodes = [msgspec.convert(node, Node) for node in content["nodes"]]
    defaults = content.get("defaults", {})
    needed = {f.encode_name for f in _JOB_FIELDS if f.required}
    for node in nodes:
        missing = sorted(needed - defaults.keys() - node.job.keys())
        if missing:
            raise GraphFileError(
                f"node {node.key!r}: {', '.join(missing)} missing, in its job and in defaults"
            )
    try:
        return resolve(defaults, content.get("maxRetries", 3), [nodes])
    except InvalidGraphError as error:
        where = f"node {error.node!r}, {error.field}" if error.node is not None else error.field
        raise GraphFileError(f"{where}: {error}") from None


def _reason(error: jsonschema.ValidationError) -> str:
    """Of alternatives, what stands against the one that fits best."""
    best = jsonschema.exceptions.best_match([error])
    return str((best or error).message)


def _place(error: jsonschema.ValidationError, content: dict[str, Any]) -> str:
    """Where in the file, with the node's key instead of its number."""
    parts: list[str] = []
    at: Any = content
    for step in error.absolute_path:
        at = at[step]
        if isinstance(step, int) and isinstance(at, dict) and isinstance(at.get("key"), str):
            parts[-1:] = [f"node {at['key']!r}"]
        elif isinstance(step, int):
            parts.append(f"[{step}]")
        else:
            parts.append(str(step))
    return ", ".join(parts) or "file"
