"""Lower bounds for the times of the state service's revisions.

The service does not report times. But an answer at revision R shows that every later revision was
created after the request was sent. This module does no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from tealrill.types import Monotonic, Revision

_MIN_INTERVAL_S: Final = 0.5
_MAX_OBSERVATIONS: Final = 128
"""With `_MIN_INTERVAL_S` this covers more than a minute."""
_UNKNOWN: Final = Monotonic(-math.inf)


class RevisionClock:
    """Derives lower bounds for the times of revisions from answered requests."""

    def __init__(self) -> None:
        self._observations: deque[tuple[Monotonic, Revision]] = deque(maxlen=_MAX_OBSERVATIONS)

    def observe(self, sent: Monotonic, revision: Revision) -> None:
        """Record that a request sent at time `sent` was answered at `revision`."""
        if not self._observations or sent - self._observations[-1][0] >= _MIN_INTERVAL_S:
            self._observations.append((sent, revision))

    def not_before(self, revision: Revision) -> Monotonic:
        """Return a time before which `revision` did not exist; minus infinity if unknown."""
        return max((sent for sent, seen in self._observations if seen < revision), default=_UNKNOWN)
