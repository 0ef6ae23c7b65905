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

_FIRST_S: Final = 10.0
_PARTLY_S: Final = 5.0
_MOST_S: Final = 40.0


@dataclass(slots=True)
class _Refusal:
    until: Monotonic
    back_off_s: float


class CapacityBackoff:
    """The kinds of machine that are backed off, and until when."""

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Refusal] = {}

    def is_refused(self, kind: Kind, now: Monotonic) -> bool:
        """Return whether this kind is backed off after a refusal."""
        known = self._kinds.get(kind)
        return known is not None and now < known.until

    def record_response(self, kind: Kind, asked: int, given: int, now: Monotonic) -> None:
        """Record that the cloud granted `given` of `asked` machines."""
        if given >= asked:
            self._kinds.pop(kind, None)
            return
        last = self._kinds.get(kind)
        if given:
            back_off_s = _PARTLY_S
        elif last is None:
            back_off_s = _FIRST_S
        else:
            back_off_s = min(_MOST_S, 2 * last.back_off_s)
        self._kinds[kind] = _Refusal(Monotonic(now + back_off_s), back_off_s)

    def shorten(self, kind: Kind) -> None:
        """Shorten the back-off of a kind of which a machine was lost or released.

        If the cloud has taken a lost machine back, the capacity is available again. If the machine
        has failed, it is not before its release. So the back-off is shortened to that of a partial
        grant instead of ended, however many machines are lost.
        """
        known = self._kinds.get(kind)
        if known is not None:
            known.until = min(known.until, Monotonic(known.until - known.back_off_s + _PARTLY_S))
            known.back_off_s = min(known.back_off_s, _PARTLY_S)

    def clear(self, kind: Kind) -> None:
        """End the back-off of a kind of which a machine has gone."""
        self._kinds.pop(kind, None)
