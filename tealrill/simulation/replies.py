"""What a simulated service answers to a request."""

from __future__ import annotations

from typing import Any

from tealrill.errors import TealrillError

Reply = tuple[int, Any]
"""A status code and a JSON value."""


class NoReplyError(TealrillError):
    """The request was received, and is never answered."""
