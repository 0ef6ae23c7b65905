"""Which events of a subscription were applied, kept with their effects in SQLite.

A subscription's events are numbered from 1 and sent one after the other. Each says after which one
it comes: the one before it, unless the sender has given that one up. Kept are the highest number
applied and the numbers below it that were passed over; so a repetition is known however late it
comes, and a dead letter that an operator sends once more is applied if, and only if, it never was.
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
_VERSION: Final = 1
_BUSY_S: Final = 5.0
HIGHEST: Final = 2**63 - 1
"""The highest number that SQLite keeps."""


class DeliveryResult(enum.Enum):
    """The outcome of one delivery."""

    APPLIED = "applied"
    REPEATED = "repeated"
    """It was applied before; nothing was done."""
    EARLY = "early"
    """One that it comes after was neither applied nor given up; nothing was done."""


class InboxError(TealrillError):
    """The file is of a later version, or damaged."""


class Inbox:
    """One SQLite file, shared by any number of threads and processes."""

    def __init__(self, path: str | Path) -> None:
        """Open the file or create it; raises `InboxError`.

        The effects of events may be tables in the same file; `connection` is for making them.
        """
        self._path = str(path)
        self._lock = threading.Lock()
        self.connection = sqlite3.connect(
            self._path, timeout=_BUSY_S, isolation_level=None, check_same_thread=False
        )
        try:
            self.connection.execute("PRAGMA journal_mode = WAL")
            # An acknowledgement promises that the effect outlives a power cut.
            self.connection.execute("PRAGMA synchronous = FULL")
            self._prepare()
        except sqlite3.DatabaseError as error:
            self.connection.close()
            raise InboxError(f"{self._path}: {error}") from None
        except InboxError:
            self.connection.close()
            raise

    def _prepare(self) -> None:
        with self._transaction():
            for statement in _SCHEMA.split(";"):
                self.connection.execute(statement)
            row = self.connection.execute("SELECT version FROM tealrill_version").fetchone()
            if row is None:
                self.connection.execute("INSERT INTO tealrill_version VALUES (?)", (_VERSION,))
            elif row[0] != _VERSION:
                raise InboxError(f"{self._path}: version {row[0]}; this program reads {_VERSION}")

    def close(self) -> None:
        """Close the connection to the file."""
        self.connection.close()

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """All or nothing, with every other writer kept out from the beginning."""
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
        """Apply event `number` unless it was before; `after` is the event that it comes after.

        `apply` works on the connection that it is given and neither commits nor rolls back. What it
        raises is raised here, and nothing of the event has happened.
        """
        if not 0 <= after < number <= HIGHEST:
            raise ValueError(f"event {number} can't come after {after}")
        with self._transaction():
            last = self._last(subscription)
            if number <= last:
                if not self._fill(subscription, number):
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

    def _last(self, subscription: str) -> int:
        row = self.connection.execute(
            "SELECT last FROM tealrill_position WHERE subscription = ?", (subscription,)
        ).fetchone()
        return 0 if row is None else int(row[0])

    def _fill(self, subscription: str, number: int) -> bool:
        """Takes a number out of those passed over; False if it is not among them."""
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
        """The highest number applied; 0 if none was."""
        with self._lock:
            return self._last(subscription)

    def applied(self, subscription: str, number: int) -> bool:
        """Whether an event was applied: the answer to a sender that asks before it repeats."""
        with self._lock:
            if not 0 < number <= self._last(subscription):
                return False
            row = self.connection.execute(
                "SELECT 1 FROM tealrill_passed_over"
                " WHERE subscription = ? AND first <= ? AND last >= ?",
                (subscription, number, number),
            ).fetchone()
            return row is None

    def passed_over(self, subscription: str) -> list[tuple[int, int]]:
        """Ranges of numbers that the sender gave up and that were not applied since."""
        with self._lock:
            rows = self.connection.execute(
                "SELECT first, last FROM tealrill_passed_over WHERE subscription = ?"
                " ORDER BY first",
                (subscription,),
            )
            return [(int(first), int(last)) for first, last in rows]
