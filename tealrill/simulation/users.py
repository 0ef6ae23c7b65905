"""What the users of the simulation know of their jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tealrill import wire


@dataclass
class UserJob:
    """A job as its user knows it; times are in seconds of simulated time."""

    id: str
    body: dict[str, Any]
    accepted: bool = False
    cancel_at: float | None = None
    asked_to_cancel: bool = False
    cancelled_at: float | None = None
    """When its user was first answered that it is cancelled."""
    done: bool = False
    answered_at: float = 0.0
    looked_at: bool = False
    """Whether all controllers are being polled for it."""
    beside_since: float | None = None
    """Since when a task of it has waited while a machine had room for it."""

    @property
    def path(self) -> str:
        """Return its path at the controllers."""
        return f"{wire.JOBS_PATH}/{self.id}"

    @property
    def tasks(self) -> set[str]:
        """Return the names of its tasks."""
        return {f"{self.id}/{n}" for n in range(self.body["pieces"])}

    @property
    def over(self) -> bool:
        """Return whether its user knows that it is done or cancelled."""
        return self.done or self.cancelled_at is not None

    @property
    def told(self) -> tuple[bool, bool, bool]:
        """Return which answers its user has had: accepted, cancelled, done."""
        return self.accepted, self.cancelled_at is not None, self.done
