"""The administration API, served on the cluster address."""

from __future__ import annotations

from typing import Any, Protocol

from tealrill.api.base import JsonHandler


class Described(Protocol):
    """A component that reports its state to operators."""

    def describe(self) -> dict[str, Any]:
        """Return the current state as JSON-serializable values."""


class AdminStateHandler(JsonHandler):
    """GET: the state of this controller."""

    def initialize(self, node: Described) -> None:
        """Set the component whose state is returned."""
        self._node = node

    def get(self) -> None:
        """Answer with the state of this controller."""
        self.reply(200, self._node.describe())
