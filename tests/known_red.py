"""Tests that fail for a known fault which is still to be repaired, as `KNOWN-RED.txt` lists them.

A listed test must fail: one that passes again fails the run until its line is removed. The list is
short on purpose, and a name that is not collected fails the run as well.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

KNOWN_RED_FILE: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED: Final = 3


class KnownRedListError(Exception):
    """The list is malformed, too long, or names a test that does not exist."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list."""

    test: str
    """Its node id, as pytest prints it."""
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """The entries of a list: `test | cause | issue` a line; raises `KnownRedListError`."""
    entries: list[KnownRed] = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedListError(f"not `test | cause | issue`: {line!r}")
        entries.append(KnownRed(*fields))
    if len(entries) > MOST_KNOWN_RED:
        raise KnownRedListError(f"{len(entries)} entries, {MOST_KNOWN_RED} at the most")
    return entries


def read() -> list[KnownRed]:
    """The project's own list; empty if there is none."""
    return parse(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def check_names(entries: list[KnownRed], collected: set[str]) -> None:
    """Raises `KnownRedListError` if an entry names no collected test."""
    unknown = [entry.test for entry in entries if entry.test not in collected]
    if unknown:
        raise KnownRedListError(f"no such test: {', '.join(unknown)}")
