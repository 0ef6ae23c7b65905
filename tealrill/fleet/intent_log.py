"""Write-ahead log of rental and release requests to the cloud.

The cloud has no fencing: it executes a request of any sender, however late the request arrives. So
a leader first writes the intended request to the state service, guarded by its fencing token, and
sends it only once the record is committed. The next leader reads the open records and resumes the
requests. Both kinds may be repeated: a rental keeps its request name, under which machines are
rented only once, and a release is final. No leader places tasks on a machine with a recorded
release, because a release request may still arrive at the cloud.

For each record the log keeps the desired value, or None to delete it, and the value in the state
service. Only one write of a record is in flight at a time; if the values still differ when it is
answered, the next one follows. This module does no I/O: writes join the leader's transactions
(`state/write_batcher.py`).
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
"""Limit of open records. A rental record takes up to about 3.5 KiB, a release record up to the
maximum size of a value."""
_AHEAD_S: Final = 1.0
"""Seconds that a new record waits behind bindings before it is written ahead of them. After a mass
failure the bindings take seconds to write, and replacements should boot in the meantime."""
_NAME_BYTES: Final = 68
"""Maximum size of a machine name in a record."""


class RentalRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rental that is or will be requested. Deleted once its machines are listed or contacted."""

    type: str
    zone: str
    spot: bool
    count: int
    at: float
    """Wall clock time of the record, in seconds."""
    names: list[str] | None = None
    """The machines that the cloud granted; None until it has answered."""
    v: Literal[1] = 1


class ReleaseRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Machines to release. Deleted once the cloud has confirmed that they are terminated."""

    names: list[str]
    at: float
    v: Literal[1] = 1


class Record(msgspec.Struct):
    """The version field that all records have."""

    v: int = 0


@dataclass(slots=True, eq=False)
class _Kept:
    """One record with its desired value and its value in the state service."""

    key: str
    wanted: dict[str, Any] | None
    written: dict[str, Any] | None = None
    mod_revision: Revision = ABSENT
    under_way: bool = False
    recorded: list[asyncio.Future[None]] = field(default_factory=list)
    """Resolved when the desired value is committed."""


class IntentLog:
    """The open cloud requests of one term, including those taken over from earlier terms."""

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
        """No new requests are accepted, because leadership is being handed over."""
        self.open_rentals: dict[str, RentalRecord] = {}
        """Open rentals by their request names."""
        self.open_releases: dict[str, tuple[MachineId, ...]] = {}
        """Machines to release by the key of their record; committed records only."""

    @property
    def full(self) -> bool:
        """Whether no new request is accepted, because the log is closed or at its limit."""
        return self.closed or len(self._kept) >= MOST_OPEN

    @property
    def open(self) -> int:
        """Number of open requests."""
        return len(self.open_rentals) + len(self.open_releases)

    # -- records --------------------------------------------------------------------------------

    def read(self, entries: Iterable[wire.Entry]) -> list[str]:
        """Load the open records of earlier leaders and return the names of the rentals."""
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
                # This version can't interpret the record; it is kept for one that can.
                log.error("cloud record ignored: key=%s error=%s", entry.key, error)
                continue
            self._kept[entry.key] = _Kept(
                entry.key, entry.value, entry.value, Revision(entry.version)
            )
        return found

    async def rent(self, name: str, rental: Rental) -> None:
        """Record a rental; return once the record is committed."""
        record = RentalRecord(rental.type, rental.zone, rental.spot, rental.count, self._wall())
        self.open_rentals[name] = record
        await self._want(_RENTAL_PREFIX + name, wire.plain(record))

    def granted(self, name: str, names: Sequence[str]) -> None:
        """Record the machines granted for a rental, so that the next leader knows them at once."""
        # The size of a value is limited; surplus machines show up in the cloud's list.
        kept = list(names[: self._most_names])
        record = self.open_rentals[name] = msgspec.structs.replace(
            self.open_rentals[name], names=kept
        )
        self._set(_RENTAL_PREFIX + name, wire.plain(record))

    def rent_over(self, name: str) -> None:
        """Delete the record of a rental that got no machines, or whose machines are all known."""
        if self.open_rentals.pop(name, None) is not None:
            self._set(_RENTAL_PREFIX + name, None)

    async def record_release(
        self, machines: Sequence[MachineId]
    ) -> tuple[str, tuple[MachineId, ...]]:
        """Record the release of as many of the machines as fit into one record.

        Return the record's key and machines once it is committed. From then on every leader
        releases these machines; a recorded release is never revoked.
        """
        part = tuple(machines[: min(self._most_names, MOST_RELEASED)])
        self._returns += 1
        key = f"{_RELEASE_PREFIX}{self._term:08d}.{self._returns:06d}"
        await self._want(key, wire.plain(ReleaseRecord(list(part), self._wall())))
        self.open_releases[key] = part
        return key, part

    def terminated(self, key: str) -> None:
        """Delete the record of a release that the cloud has confirmed."""
        if self.open_releases.pop(key, None) is not None:
            self._set(key, None)

    # -- writing --------------------------------------------------------------------------------

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
            # Only this leader writes this key, so an earlier write of its own was executed although
            # its response was lost.
            entry = found.get(kept.key)
            answered(*((Revision(entry.version), entry.value) if entry else (ABSENT, None)))

        change = wire.delete(kept.key) if value is None else wire.put(kept.key, value)
        # Only a new record is awaited; updates and deletions can wait behind bindings.
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
        raise msgspec.ValidationError(f"unsupported record version {version}")
    return msgspec.convert(entry.value, kind)
