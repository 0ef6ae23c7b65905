"""Cancellations that this node has told a user of, and from when on it knows of all of them.

A leader that goes on through an outage learns them with each lease extension
(`leadership/lease_extension.py`). A process that was started again knows nothing of what its former
process acknowledged a moment before: it can answer only for what came after its first reading of
the state service. No I/O here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from tealrill.types import Revision

_KEPT: Final = 500


class AcknowledgedCancellations:
    """The latest cancellations by the revision that made them true."""

    def __init__(self, first_seen: Callable[[], Revision | None]) -> None:
        self._first_seen = first_seen
        """The state service's revision when this process first saw one; None before that."""
        self._jobs: dict[str, Revision] = {}
        """Of jobs, and of what owns jobs."""
        self._forgotten = Revision(0)
        """The latest that was let go because there were too many."""

    def add(self, name: str, revision: Revision) -> None:
        """Note that users may be told of a cancellation in this revision."""
        self._jobs[name] = max(revision, self._jobs.get(name, revision))
        if len(self._jobs) > _KEPT:
            # A poll may bring back one from long ago, so the oldest is not the one that came first.
            oldest = min(self._jobs, key=lambda job: self._jobs[job])
            self._forgotten = max(self._forgotten, self._jobs.pop(oldest))

    def since(self, revision: Revision) -> list[str]:
        """Return the names of which a leader that has seen `revision` may not know."""
        return [name for name, at in self._jobs.items() if at > revision]

    def is_complete_since(self, revision: Revision) -> bool:
        """Return whether `since` has all that this host told anybody of after that revision.

        What a former process of this host acknowledged lies before this process's first reading.
        """
        first = self._first_seen()
        return first is not None and max(first, self._forgotten) <= revision
