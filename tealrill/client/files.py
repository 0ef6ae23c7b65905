"""Graph files: graphs in TOML, validated by a JSON Schema derived from the daemon's structs.

A file has the fields of a submission (docs/graphs.md). The daemon ignores unknown fields, as its
protocol requires. In a file they are errors: with a misspelt `after` a node would silently run too
early.
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
"""A job's fields without its id, all optional."""

_Key = Annotated[str, Meta(min_length=1, max_length=100)]
_MaxRetries = Annotated[int, Meta(ge=0, le=MAX_RETRIES)]


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
    maxRetries: _MaxRetries | UnsetType = UNSET


class GraphFields(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A graph file."""

    id: Annotated[str, Meta(pattern="^[a-z][a-z0-9]{0,30}[0-9]$")]
    nodes: Annotated[list[NodeFields], Meta(min_length=1)]
    defaults: JobFields | UnsetType = UNSET  # type: ignore[valid-type]
    onFailure: Literal["finish", "stop"] = "finish"
    dueS: wire.Amount | UnsetType = UNSET
    maxRetries: _MaxRetries | UnsetType = UNSET


class GraphFileError(TealrillError):
    """An invalid graph file; each line of the text begins with the location of an error in it."""


def schema() -> dict[str, Any]:
    """Return the JSON Schema of graph files (draft 2020-12)."""
    generated = msgspec.json.schema(GraphFields)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "A tealrill task graph",
        **generated,
    }


def load(path: Path) -> dict[str, Any]:
    """Read and check a graph file and return it as a submission; raises `GraphFileError`."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise GraphFileError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise GraphFileError(f"{path}: invalid TOML: {error}") from None
    check(content)
    return content


def check(content: dict[str, Any], max_errors: int = 10) -> Shape:
    """Check a graph and return its shape; raises `GraphFileError`.

    Errors are what the daemon would reject and the unknown fields that it would ignore. Whether a
    job can run at all depends on teams and machine types, which only the daemon knows.
    """
    validator = jsonschema.Draft202012Validator(schema())
    errors = sorted(validator.iter_errors(content), key=lambda e: list(map(str, e.absolute_path)))
    if errors:
        lines = [
            f"{_location(error, content)}: {_best_message(error)}" for error in errors[:max_errors]
        ]
        if len(errors) > max_errors:
            lines.append(f"and {len(errors) - max_errors} more")
        raise GraphFileError("\n".join(lines))
    nodes = [msgspec.convert(node, Node) for node in content["nodes"]]
    defaults = content.get("defaults", {})
    required = {f.encode_name for f in _JOB_FIELDS if f.required}
    for node in nodes:
        missing = sorted(required - defaults.keys() - node.job.keys())
        if missing:
            raise GraphFileError(
                f"node {node.key!r}: {', '.join(missing)} missing in its job and the defaults"
            )
    try:
        return resolve(defaults, content.get("maxRetries", 3), [nodes])
    except InvalidGraphError as error:
        location = f"node {error.node!r}, {error.field}" if error.node is not None else error.field
        raise GraphFileError(f"{location}: {error}") from None


def _best_message(error: jsonschema.ValidationError) -> str:
    """Return the message of an error; of alternatives, that of the one which matches best."""
    best_match = jsonschema.exceptions.best_match([error])
    return str((best_match or error).message)


def _location(error: jsonschema.ValidationError, content: dict[str, Any]) -> str:
    """Return the location of an error in the file, with a node's key instead of its index."""
    parts: list[str] = []
    value: Any = content
    for component in error.absolute_path:
        value = value[component]
        if (
            isinstance(component, int)
            and isinstance(value, dict)
            and isinstance(value.get("key"), str)
        ):
            parts[-1:] = [f"node {value['key']!r}"]
        elif isinstance(component, int):
            parts.append(f"[{component}]")
        else:
            parts.append(str(component))
    return ", ".join(parts) or "file"
