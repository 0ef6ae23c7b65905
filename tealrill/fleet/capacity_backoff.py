"""Back-off for kinds of machine that the cloud has refused.

A refusal means that the cloud had no capacity of a kind at that moment. Capacity comes back when a
customer releases machines, and often that customer is this cluster. So the delay until the next
request doubles while nothing is granted, is reset when a part is granted, and ends when machines of
that kind have gone. (Failed machines occupy their capacity until they are released: a request made
before that is refused, and without this reset its back-off of 40 s would outlast the release.)
Pure state, without I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.model import Kind
from tealrill.types import Monotonic

_INITIAL_S: Final = 10.0
_AFTER_PARTIAL_GRANT_S: Final = 5.0
_MAX_S: Final = 40.0


@dataclass(slots=True)
class _Refusal:
    until: Monotonic
    back_off_s: float


class CapacityBackoff:
    """The kinds of machine that are backed off, and until when."""

    def __init__(self) -> None:
        self._refusals: dict[Kind, _Refusal] = {}

    def is_refused(self, kind: Kind, now: Monotonic) -> bool:
        """Return whether this kind is backed off after a refusal."""
        refusal = self._refusals.get(kind)
        return refusal is not None and now < refusal.until

    def record_response(self, kind: Kind, requested: int, granted: int, now: Monotonic) -> None:
        """Record that the cloud granted `granted` of `requested` machines."""
        if granted >= requested:
            self._refusals.pop(kind, None)
            return
        previous = self._refusals.get(kind)
        if granted:
            back_off_s = _AFTER_PARTIAL_GRANT_S
        elif previous is None:
            back_off_s = _INITIAL_S
        else:
            back_off_s = min(_MAX_S, 2 * previous.back_off_s)
        self._refusals[kind] = _Refusal(Monotonic(now + back_off_s), back_off_s)

    def shorten(self, kind: Kind) -> None:
        """Shorten the back-off of a kind of which a machine was lost or released.

        If the cloud has taken a lost machine back, the capacity is available again. If the machine
        has failed, it is not before its release. So the back-off is shortened to that of a partial
        grant instead of ended, however many machines are lost.
        """
        refusal = self._refusals.get(kind)
        if refusal is not None:
            refusal.until = min(
                refusal.until,
                Monotonic(refusal.until - refusal.back_off_s + _AFTER_PARTIAL_GRANT_S),
            )
            refusal.back_off_s = min(refusal.back_off_s, _AFTER_PARTIAL_GRANT_S)

    def clear(self, kind: Kind) -> None:
        """End the back-off of a kind of which a machine has gone."""
        self._refusals.pop(kind, None)
