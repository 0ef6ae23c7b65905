"""Optional features and their fixed limits: `deploy/features.toml`, read once at the start.

Without the file all features are disabled. Operators change what may vary at run time through the
administration API, not here.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from tealrill.errors import TealrillError


class FeaturesError(TealrillError):
    """An unusable features file; the error message names the entry."""


class GraphFeatures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Task graphs (docs/graphs.md)."""

    on: bool = False
    most_nodes: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    """Maximum number of nodes of a graph."""
    most_edges: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000
    """Maximum number of edges of a graph."""
    open_s: Annotated[float, Meta(ge=60.0, le=86_400.0)] = 3600.0
    """Seconds after which a graph that has been created but not sealed is deleted."""


class ProfileFeatures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processor time by cause, measured within the process (`tealrill/profiling.py`)."""

    on: bool = False
    every_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 10.0


class Features(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the features file."""

    version: Literal[1] = 1
    graphs: GraphFeatures = GraphFeatures()
    profile: ProfileFeatures = ProfileFeatures()


def parse(text: str) -> Features:
    """Parse features from TOML; raise `FeaturesError` with a one-line message naming the entry."""
    try:
        return msgspec.convert(tomllib.loads(text), Features)
    except tomllib.TOMLDecodeError as error:
        raise FeaturesError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise FeaturesError(str(error)) from None


def load(path: Path) -> Features:
    """Read and validate a features file; raise `FeaturesError` if it is unusable."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise FeaturesError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FeaturesError(f"{path}: not UTF-8") from None
    return parse(text)
