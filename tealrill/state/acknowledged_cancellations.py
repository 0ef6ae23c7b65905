"""Cancellations that this node has acknowledged to users, and since when the list is complete.

During an outage of the state service the leader learns of them with each lease extension
(`leadership/lease_extension.py`). A restarted process does not know what its predecessor
acknowledged: its list is complete only for revisions after its first scan of the state service.
This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from tealrill.types import Revision

_MAX_KEPT: Final = 500


class AcknowledgedCancellations:
    """The latest cancellations, by the revision in which they were committed."""

    def __init__(self, first_seen: Callable[[], Revision | None]) -> None:
        self._first_seen = first_seen
        """Returns the revision of this process's first scan; None before that."""
        self._revisions: dict[str, Revision] = {}
        """Revisions by the names of jobs and of owners of jobs."""
        self._latest_evicted = Revision(0)
        """The latest revision that was evicted because there were too many entries."""

    def add(self, name: str, revision: Revision) -> None:
        """Add a cancellation committed at `revision`, before a user is told of it."""
        self._revisions[name] = max(revision, self._revisions.get(name, revision))
        if len(self._revisions) > _MAX_KEPT:
            # A poll may add an old cancellation, so the oldest is not the one added first.
            oldest = min(self._revisions, key=lambda job: self._revisions[job])
            self._latest_evicted = max(self._latest_evicted, self._revisions.pop(oldest))

    def since(self, revision: Revision) -> list[str]:
        """Return the names whose cancellation a leader that has read up to `revision` may miss."""
        return [name for name, at in self._revisions.items() if at > revision]

    def is_complete_since(self, revision: Revision) -> bool:
        """Return True if `since` has all that this host acknowledged after `revision`.

        Those that an earlier process of this host acknowledged precede this process's first scan.
        """
        first = self._first_seen()
        return first is not None and max(first, self._latest_evicted) <= revision
