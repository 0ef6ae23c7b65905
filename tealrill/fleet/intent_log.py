"""What the cloud is to be asked for, recorded before it is asked.

The cloud knows no terms: it rents and deletes for whoever asks, at any later time. So a leader
writes down what it is about to ask for, fenced by its right to lead, and asks only once that is
committed. Whoever leads next reads what is open and goes on with it: a rental under its own name,
which rents nothing twice, and a return, which is final and may be repeated. Between the two a
machine under a recorded return is no room for anybody.

Wanted: per record a value, or none. What is: what the state service holds. One change of a record
is on its way at a time; the difference is worked off when it is answered. No I/O here: changes are
joined to the leader's transactions (`state/write_batcher.py`).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Literal

import msgspec

from tealrill import wire
from tealrill.fleet.cloud import MOST_RELEASED
from tealrill.scheduler.capacity import Rental
from tealrill.state.transaction_batch import JoinedWrite
from tealrill.types import (
    ABSENT,
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    monotonic_now,
    parse_machine_id,
    wall_now,
)

log = logging.getLogger(__name__)

CLOUD_PREFIX: Final = "cloud/"
_RENTAL_PREFIX: Final = CLOUD_PREFIX + "rent/"
_RELEASE_PREFIX: Final = CLOUD_PREFIX + "return/"
MOST_OPEN: Final = 256
"""Records at a time. A rental's is at most some 3.5 KiB, a return's at most a value."""
_AHEAD_S: Final = 1.0
"""Behind bindings for so long, then before them: a fall's bindings take seconds to write, and the
machines that replace it are to boot meanwhile."""
_NAME_BYTES: Final = 68
"""Most that a machine's name takes in a record."""


class RentalRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rental asked for, or about to be. Removed once its machines are seen."""

    type: str
    zone: str
    spot: bool
    count: int
    at: float
    """Time of day, in seconds."""
    names: list[str] | None = None
    """What the cloud answered; None as long as it has not."""
    v: Literal[1] = 1


class ReleaseRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Machines on their way back. Removed once the cloud has confirmed that they are gone."""

    names: list[str]
    at: float
    v: Literal[1] = 1


class Record(msgspec.Struct):
    """The least that every record has."""

    v: int = 0


@dataclass(slots=True, eq=False)
class _Kept:
    """One record: what it is to hold, and what it holds."""

    key: str
    wanted: dict[str, Any] | None
    written: dict[str, Any] | None = None
    mod_revision: Revision = ABSENT
    under_way: bool = False
    recorded: list[asyncio.Future[None]] = field(default_factory=list)
    """Those who wait until what is wanted is written."""


class IntentLog:
    """The open requests to the cloud of one term, with those taken over."""

    def __init__(
        self,
        join: Callable[[JoinedWrite], None],
        term: FencingToken,
        value_kb: float,
        wall: Callable[[], Wall] = wall_now,
        now: Callable[[], Monotonic] = monotonic_now,
    ) -> None:
        self._join = join
        self._term = term
        self._most_names = max(1, int((value_kb * 1024 - 100) // _NAME_BYTES))
        self._wall = wall
        self._now = now
        self._kept: dict[str, _Kept] = {}
        self._returns = 0
        self.closed = False
        """Nothing new is taken up: the duties are being handed over."""
        self.open_rentals: dict[str, RentalRecord] = {}
        """Open rentals by their request names."""
        self.open_releases: dict[str, tuple[MachineId, ...]] = {}
        """Machines on their way back, by the key of their record; committed ones only."""

    @property
    def full(self) -> bool:
        """No more is taken up until something is over."""
        return self.closed or len(self._kept) >= MOST_OPEN

    @property
    def open(self) -> int:
        """The number of open requests."""
        return len(self.open_rentals) + len(self.open_releases)

    # -- records --------------------------------------------------------------------------------

    def read(self, entries: Iterable[wire.Entry]) -> list[str]:
        """Takes over what former leaders left open; the names of the rentals among it."""
        found: list[str] = []
        for entry in entries:
            try:
                if entry.key.startswith(_RENTAL_PREFIX):
                    record = _convert(entry, RentalRecord)
                    name = entry.key.removeprefix(_RENTAL_PREFIX)
                    self.open_rentals[name] = record
                    found.append(name)
                elif entry.key.startswith(_RELEASE_PREFIX):
                    names = _convert(entry, ReleaseRecord).names
                    self.open_releases[entry.key] = tuple(
                        i for i in map(parse_machine_id, names) if i is not None
                    )
                else:
                    raise msgspec.ValidationError("unknown record")
            except msgspec.ValidationError as error:
                # What it asks for is not known to this version: it stays for one that knows it.
                log.error("record %s is left alone: %s", entry.key, error)
                continue
            self._kept[entry.key] = _Kept(
                entry.key, entry.value, entry.value, Revision(entry.version)
            )
        return found

    async def rent(self, name: str, rental: Rental) -> None:
        """Records a rental; returns when it is committed."""
        record = RentalRecord(rental.type, rental.zone, rental.spot, rental.count, self._wall())
        self.open_rentals[name] = record
        await self._want(_RENTAL_PREFIX + name, wire.plain(record))

    def granted(self, name: str, names: Sequence[str]) -> None:
        """The cloud's answer; a successor knows these machines at once."""
        # More than were asked for are listed before long; what a value holds is bounded.
        kept = list(names[: self._most_names])
        record = self.open_rentals[name] = msgspec.structs.replace(
            self.open_rentals[name], names=kept
        )
        self._set(_RENTAL_PREFIX + name, wire.plain(record))

    def rent_over(self, name: str) -> None:
        """Nothing was rented, or every machine of it has been seen."""
        if self.open_rentals.pop(name, None) is not None:
            self._set(_RENTAL_PREFIX + name, None)

    async def record_release(
        self, machines: Sequence[MachineId]
    ) -> tuple[str, tuple[MachineId, ...]]:
        """Records a return of as many as fit one record; key and machines, once committed.

        From then on they go back, whoever leads: it is never taken back.
        """
        part = tuple(machines[: min(self._most_names, MOST_RELEASED)])
        self._returns += 1
        key = f"{_RELEASE_PREFIX}{self._term:08d}.{self._returns:06d}"
        await self._want(key, wire.plain(ReleaseRecord(list(part), self._wall())))
        self.open_releases[key] = part
        return key, part

    def terminated(self, key: str) -> None:
        """The cloud has confirmed the return."""
        if self.open_releases.pop(key, None) is not None:
            self._set(key, None)

    # -- the difference -------------------------------------------------------------------------

    async def _want(self, key: str, value: dict[str, Any]) -> None:
        kept = self._kept[key] = _Kept(key, value)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        kept.recorded.append(done)
        self._work_off(kept)
        await done

    def _set(self, key: str, value: dict[str, Any] | None) -> None:
        kept = self._kept.get(key)
        if kept is not None:
            kept.wanted = value
            self._work_off(kept)

    def _work_off(self, kept: _Kept) -> None:
        if kept.under_way:
            return
        if kept.wanted == kept.written:
            for waiting in kept.recorded:
                if not waiting.done():
                    waiting.set_result(None)
            kept.recorded.clear()
            if kept.wanted is None:
                self._kept.pop(kept.key, None)
            return
        kept.under_way = True
        value = kept.wanted

        def answered(mod_revision: Revision, written: dict[str, Any] | None) -> None:
            kept.under_way = False
            kept.mod_revision, kept.written = mod_revision, written
            self._work_off(kept)

        def refused(found: dict[str, wire.KeyValue | None]) -> None:
            # Only this leader writes this key: it is its own change, whose answer was lost.
            entry = found.get(kept.key)
            answered(*((Revision(entry.version), entry.value) if entry else (ABSENT, None)))

        change = wire.delete(kept.key) if value is None else wire.put(kept.key, value)
        # Nobody waits for what only tidies up.
        priority_at = Monotonic(self._now() + _AHEAD_S) if kept.recorded else None
        self._join(
            JoinedWrite(
                {kept.key: kept.mod_revision},
                [change],
                lambda revision: answered(ABSENT if value is None else revision, value),
                refused,
                priority_at,
            )
        )


def _convert(entry: wire.Entry, kind: type[wire.T]) -> wire.T:
    version = msgspec.convert(entry.value, Record).v
    if version != 1:
        raise msgspec.ValidationError(f"version {version} is not known")
    return msgspec.convert(entry.value, kind)
