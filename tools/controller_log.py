"""The lines of controllers' logs, as the bench prints them with `--log`.

195.0000 kiln-1 I tealrill.fleet.prober: machines suspected: count=1 suspicion=gone new=1
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

import click

_LINE: Final = re.compile(
    r"^\s*(?P<at>\d+\.\d+)\s+(?P<host>\S+)\s+[DIWEC] (?P<module>tealrill[\w.]*): (?P<text>.*)$"
)


class LogLine(NamedTuple):
    """One line that a controller has logged."""

    at_s: float
    """Time of the day, in seconds."""
    host: str
    module: str
    text: str


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the controllers' lines among `lines`.

    Raises `click.UsageError` if there is none, since any result would then say nothing.
    """
    found = [
        LogLine(float(match["at"]), match["host"], match["module"], match["text"])
        for match in map(_LINE.match, lines)
        if match is not None
    ]
    if not found:
        raise click.UsageError("no line of a controller's log")
    return found
