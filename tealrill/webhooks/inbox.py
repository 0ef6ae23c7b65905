"""Record of the applied events of each subscription, stored with their effects in SQLite.

The events of a subscription are numbered from 1 and sent one at a time. Each names its predecessor:
the latest earlier event that the sender has not given up. The inbox stores the highest number
applied and the lower numbers that were passed over. So a duplicate is recognised however late it
arrives, and a dead letter that an operator sends again is applied if and only if it was not applied
before.
"""

from __future__ import annotations

import contextlib
import enum
import sqlite3
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

from tealrill.errors import TealrillError

_SCHEMA: Final = """
CREATE TABLE IF NOT EXISTS tealrill_position (
    subscription TEXT PRIMARY KEY,
    last INTEGER NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS tealrill_passed_over (
    subscription TEXT NOT NULL,
    first INTEGER NOT NULL,
    last INTEGER NOT NULL,
    PRIMARY KEY (subscription, first)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS tealrill_version (version INTEGER NOT NULL);
"""
_SCHEMA_VERSION: Final = 1
_BUSY_TIMEOUT_S: Final = 5.0
MAX_EVENT_NUMBER: Final = 2**63 - 1
"""Largest integer that SQLite can store."""


class DeliveryResult(enum.Enum):
    """The outcome of one delivery."""

    APPLIED = "applied"
    REPEATED = "repeated"
    """A duplicate: the event was applied before. The inbox is unchanged."""
    EARLY = "early"
    """The event's predecessor has not been applied yet. The inbox is unchanged."""


class InboxError(TealrillError):
    """The file can't be used as an inbox, or it has another schema version."""


class Inbox:
    """An inbox in an SQLite file, which any number of threads and processes can share."""

    def __init__(self, path: str | Path) -> None:
        """Open the file, or create it; raises `InboxError`.

        The file may also hold the tables to which events are applied; create these through
        `connection`.
        """
        self._path = str(path)
        self._lock = threading.Lock()
        self.connection = sqlite3.connect(
            self._path, timeout=_BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        try:
            self.connection.execute("PRAGMA journal_mode = WAL")
            # An acknowledged event's effect must survive a power failure.
            self.connection.execute("PRAGMA synchronous = FULL")
            self._create_schema()
        except sqlite3.DatabaseError as error:
            self.connection.close()
            raise InboxError(f"{self._path}: {error}") from None
        except InboxError:
            self.connection.close()
            raise

    def _create_schema(self) -> None:
        with self._transaction():
            for statement in _SCHEMA.split(";"):
                self.connection.execute(statement)
            row = self.connection.execute("SELECT version FROM tealrill_version").fetchone()
            if row is None:
                self.connection.execute(
                    "INSERT INTO tealrill_version VALUES (?)", (_SCHEMA_VERSION,)
                )
            elif row[0] != _SCHEMA_VERSION:
                raise InboxError(
                    f"{self._path}: schema version {row[0]}, expected {_SCHEMA_VERSION}"
                )

    def close(self) -> None:
        """Close the connection to the file."""
        self.connection.close()

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """Run the block in a transaction that locks out other writers from its start."""
        with self._lock:
            self.connection.execute("BEGIN IMMEDIATE")
            try:
                yield
            except BaseException:
                self.connection.execute("ROLLBACK")
                raise
            self.connection.execute("COMMIT")

    def take(
        self,
        subscription: str,
        number: int,
        after: int,
        apply: Callable[[sqlite3.Connection], object],
    ) -> DeliveryResult:
        """Apply event `number` unless it is a duplicate or early; `after` is its predecessor.

        `apply` must use the connection that it is given and neither commit nor roll back. If it
        raises, the transaction is rolled back and the exception propagates.
        """
        if not 0 <= after < number <= MAX_EVENT_NUMBER:
            raise ValueError(f"event {number}: invalid number or predecessor ({after})")
        with self._transaction():
            last = self._last_applied(subscription)
            if number <= last:
                if not self._remove_passed_over(subscription, number):
                    return DeliveryResult.REPEATED
            elif after > last:
                return DeliveryResult.EARLY
            else:
                if number > last + 1:
                    self.connection.execute(
                        "INSERT INTO tealrill_passed_over VALUES (?, ?, ?)",
                        (subscription, last + 1, number - 1),
                    )
                self.connection.execute(
                    "INSERT INTO tealrill_position VALUES (?, ?)"
                    " ON CONFLICT (subscription) DO UPDATE SET last = excluded.last",
                    (subscription, number),
                )
            apply(self.connection)
            return DeliveryResult.APPLIED

    def _last_applied(self, subscription: str) -> int:
        row = self.connection.execute(
            "SELECT last FROM tealrill_position WHERE subscription = ?", (subscription,)
        ).fetchone()
        return 0 if row is None else int(row[0])

    def _remove_passed_over(self, subscription: str, number: int) -> bool:
        """Remove a number from those passed over; return False if it is not among them."""
        row = self.connection.execute(
            "SELECT first, last FROM tealrill_passed_over"
            " WHERE subscription = ? AND first <= ? ORDER BY first DESC LIMIT 1",
            (subscription, number),
        ).fetchone()
        if row is None or number > row[1]:
            return False
        first, last = row
        self.connection.execute(
            "DELETE FROM tealrill_passed_over WHERE subscription = ? AND first = ?",
            (subscription, first),
        )
        for start, end in ((first, number - 1), (number + 1, last)):
            if start <= end:
                self.connection.execute(
                    "INSERT INTO tealrill_passed_over VALUES (?, ?, ?)", (subscription, start, end)
                )
        return True

    def last(self, subscription: str) -> int:
        """Return the highest number applied, or 0."""
        with self._lock:
            return self._last_applied(subscription)

    def applied(self, subscription: str, number: int) -> bool:
        """Return True if the event was applied; lets a sender ask before it sends again."""
        with self._lock:
            if not 0 < number <= self._last_applied(subscription):
                return False
            row = self.connection.execute(
                "SELECT 1 FROM tealrill_passed_over"
                " WHERE subscription = ? AND first <= ? AND last >= ?",
                (subscription, number, number),
            ).fetchone()
            return row is None

    def passed_over(self, subscription: str) -> list[tuple[int, int]]:
        """Return the ranges (first, last) of numbers that were given up and not applied since."""
        with self._lock:
            rows = self.connection.execute(
                "SELECT first, last FROM tealrill_passed_over WHERE subscription = ?"
                " ORDER BY first",
                (subscription,),
            )
            return [(int(first), int(last)) for first, last in rows]
