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
from tealrill.fleet.cloud import MAX_RELEASED_PER_REQUEST
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
MAX_OPEN_RECORDS: Final = 256
"""Limit of open records. A rental record takes up to about 3.5 KiB, a release record up to the
maximum size of a value."""
_PRIORITY_DELAY_S: Final = 1.0
"""Seconds that a new record waits behind bindings before it is written ahead of them. After a mass
failure the bindings take seconds to write, and replacements should boot in the meantime."""
_MAX_NAME_BYTES: Final = 68
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


class VersionedRecord(msgspec.Struct):
    """The version field that all records have."""

    v: int = 0


@dataclass(slots=True, eq=False)
class _RecordState:
    """One record with its desired value and its value in the state service."""

    key: str
    desired: dict[str, Any] | None
    stored: dict[str, Any] | None = None
    mod_revision: Revision = ABSENT
    in_flight: bool = False
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
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
        self._max_names = max(1, int((value_kb * 1024 - 100) // _MAX_NAME_BYTES))
        self._wall = wall
        self._now = now
        self._records: dict[str, _RecordState] = {}
        self._release_count = 0
        self.closed = False
        """No new requests are accepted, because leadership is being handed over."""
        self.open_rentals: dict[str, RentalRecord] = {}
        """Open rentals by their request names."""
        self.open_releases: dict[str, tuple[MachineId, ...]] = {}
        """Machines to release by the key of their record; committed records only."""

    @property
    def full(self) -> bool:
        """Whether no new request is accepted, because the log is closed or at its limit."""
        return self.closed or len(self._records) >= MAX_OPEN_RECORDS

    @property
    def open_count(self) -> int:
        """Number of open requests."""
        return len(self.open_rentals) + len(self.open_releases)

    # -- records --------------------------------------------------------------------------------

    def read(self, entries: Iterable[wire.Entry]) -> list[str]:
        """Load the open records of earlier leaders and return the names of the rentals."""
        rental_names: list[str] = []
        for entry in entries:
            try:
                if entry.key.startswith(_RENTAL_PREFIX):
                    record = _convert(entry, RentalRecord)
                    name = entry.key.removeprefix(_RENTAL_PREFIX)
                    self.open_rentals[name] = record
                    rental_names.append(name)
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
            self._records[entry.key] = _RecordState(
                entry.key, entry.value, entry.value, Revision(entry.version)
            )
        return rental_names

    async def record_rental(self, name: str, rental: Rental) -> None:
        """Record a rental; return once the record is committed."""
        record = RentalRecord(rental.type, rental.zone, rental.spot, rental.count, self._wall())
        self.open_rentals[name] = record
        await self._create(_RENTAL_PREFIX + name, wire.to_builtins(record))

    def record_grant(self, name: str, names: Sequence[str]) -> None:
        """Record the machines granted for a rental, so that the next leader knows them at once."""
        # The size of a value is limited; surplus machines show up in the cloud's list.
        kept = list(names[: self._max_names])
        record = self.open_rentals[name] = msgspec.structs.replace(
            self.open_rentals[name], names=kept
        )
        self._update(_RENTAL_PREFIX + name, wire.to_builtins(record))

    def close_rental(self, name: str) -> None:
        """Delete the record of a rental that got no machines, or whose machines are all known."""
        if self.open_rentals.pop(name, None) is not None:
            self._update(_RENTAL_PREFIX + name, None)

    async def record_release(
        self, machines: Sequence[MachineId]
    ) -> tuple[str, tuple[MachineId, ...]]:
        """Record the release of as many of the machines as fit into one record.

        Return the record's key and machines once it is committed. From then on every leader
        releases these machines; a recorded release is never revoked.
        """
        part = tuple(machines[: min(self._max_names, MAX_RELEASED_PER_REQUEST)])
        self._release_count += 1
        key = f"{_RELEASE_PREFIX}{self._term:08d}.{self._release_count:06d}"
        await self._create(key, wire.to_builtins(ReleaseRecord(list(part), self._wall())))
        self.open_releases[key] = part
        return key, part

    def confirm_release(self, key: str) -> None:
        """Delete the record of a release that the cloud has confirmed."""
        if self.open_releases.pop(key, None) is not None:
            self._update(key, None)

    # -- writing --------------------------------------------------------------------------------

    async def _create(self, key: str, value: dict[str, Any]) -> None:
        state = self._records[key] = _RecordState(key, value)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        state.waiters.append(done)
        self._write_pending(state)
        await done

    def _update(self, key: str, value: dict[str, Any] | None) -> None:
        state = self._records.get(key)
        if state is not None:
            state.desired = value
            self._write_pending(state)

    def _write_pending(self, state: _RecordState) -> None:
        if state.in_flight:
            return
        if state.desired == state.stored:
            for waiter in state.waiters:
                if not waiter.done():
                    waiter.set_result(None)
            state.waiters.clear()
            if state.desired is None:
                self._records.pop(state.key, None)
            return
        state.in_flight = True
        value = state.desired

        def on_result(mod_revision: Revision, stored: dict[str, Any] | None) -> None:
            state.in_flight = False
            state.mod_revision, state.stored = mod_revision, stored
            self._write_pending(state)

        def on_refused(current: dict[str, wire.KeyValue | None]) -> None:
            # Only this leader writes this key, so an earlier write of its own was executed although
            # its response was lost.
            entry = current.get(state.key)
            on_result(*((Revision(entry.version), entry.value) if entry else (ABSENT, None)))

        change = wire.delete(state.key) if value is None else wire.put(state.key, value)
        # Only a new record is awaited; updates and deletions can wait behind bindings.
        priority_at = Monotonic(self._now() + _PRIORITY_DELAY_S) if state.waiters else None
        self._join(
            JoinedWrite(
                {state.key: state.mod_revision},
                [change],
                lambda revision: on_result(ABSENT if value is None else revision, value),
                on_refused,
                priority_at,
            )
        )


def _convert(entry: wire.Entry, kind: type[wire.T]) -> wire.T:
    version = msgspec.convert(entry.value, VersionedRecord).v
    if version != 1:
        raise msgspec.ValidationError(f"unsupported record version {version}")
    return msgspec.convert(entry.value, kind)
