"""What is switched on, and its fixed bounds: `deploy/features.toml`, read once at the start.

Without the file all is off. What operators change while the service runs is not here: that goes
through the administration API.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from tealrill.errors import TealrillError


class FeaturesError(TealrillError):
    """The file can't be used; the text names the entry."""


class GraphFeatures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Task graphs (docs/graphs.md)."""

    on: bool = False
    most_nodes: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    """Nodes of one graph."""
    most_edges: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000
    """Edges of one graph."""
    open_s: Annotated[float, Meta(ge=60.0, le=86_400.0)] = 3600.0
    """A graph that was begun and not sealed is removed after so many seconds."""


class ProfileFeatures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processor time by cause, counted in the process (`tealrill/profiling.py`)."""

    on: bool = False
    every_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 10.0


class Features(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    version: Literal[1] = 1
    graphs: GraphFeatures = GraphFeatures()
    profile: ProfileFeatures = ProfileFeatures()


def parse(text: str) -> Features:
    """Features from TOML; `FeaturesError` says in one line what is wrong with which entry."""
    try:
        return msgspec.convert(tomllib.loads(text), Features)
    except tomllib.TOMLDecodeError as error:
        raise FeaturesError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise FeaturesError(str(error)) from None


def load(path: Path) -> Features:
    """Reads the file; raises `FeaturesError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise FeaturesError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FeaturesError(f"{path}: not UTF-8") from None
    return parse(text)
