"""Lower bounds for the times of the state service's revisions.

The service tells no times. But an answer that is as of revision R shows that every later revision
came about after the request was sent. No I/O here.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from tealrill.types import Monotonic, Revision

_MIN_INTERVAL_S: Final = 0.5
_KEPT: Final = 128
"""A minute and more."""
_UNKNOWN: Final = Monotonic(-math.inf)


class RevisionClock:
    """Lower bounds for the times of revisions, from what requests were answered."""

    def __init__(self) -> None:
        self._seen: deque[tuple[Monotonic, Revision]] = deque(maxlen=_KEPT)

    def observe(self, sent: Monotonic, revision: Revision) -> None:
        """Note that a request sent at that moment was answered as of that revision."""
        if not self._seen or sent - self._seen[-1][0] >= _MIN_INTERVAL_S:
            self._seen.append((sent, revision))

    def not_before(self, revision: Revision) -> Monotonic:
        """Return a moment before which that revision did not exist; minus infinity if unknown."""
        return max((sent for sent, seen in self._seen if seen < revision), default=_UNKNOWN)
