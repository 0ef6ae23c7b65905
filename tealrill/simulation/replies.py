"""Responses of the simulated services."""

from __future__ import annotations

from typing import Any

from tealrill.errors import TealrillError

Reply = tuple[int, Any]
"""A status code and a JSON value."""


class NoReplyError(TealrillError):
    """The request gets no response; it may have been executed."""
