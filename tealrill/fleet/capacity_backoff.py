"""Kinds of machine that the cloud has just refused, and when to ask again.

A refusal says that there was none of a kind at one moment. More of it comes when somebody gives
some back: often ourselves. So the time until the next try doubles while nothing is given, begins
anew when a part is given, and ends when machines of that kind have gone. (Dead machines hold their
places at the cloud until they are released. Asked for while they did, their kinds were refused for
40 s, of which most passed after the places had come free.)
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
    """What is not worth asking for at this moment."""

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Refusal] = {}

    def is_refused(self, kind: Kind, now: Monotonic) -> bool:
        """Return whether the cloud has just refused machines of this kind."""
        known = self._kinds.get(kind)
        return known is not None and now < known.until

    def record_response(self, kind: Kind, asked: int, given: int, now: Monotonic) -> None:
        """The cloud gave `given` of `asked` machines."""
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
        """Machines of this kind seem to be lost: the cloud has places again if they were taken.

        If they are dead it has none until they are released, so this does not end a refusal but
        shortens it, however many machines are lost.
        """
        known = self._kinds.get(kind)
        if known is not None:
            known.until = min(known.until, Monotonic(known.until - known.back_off_s + _PARTLY_S))
            known.back_off_s = min(known.back_off_s, _PARTLY_S)

    def clear(self, kind: Kind) -> None:
        """Machines of this kind have gone: the cloud may have places again."""
        self._kinds.pop(kind, None)
