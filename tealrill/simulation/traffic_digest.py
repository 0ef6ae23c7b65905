"""A digest of a simulation run: equal digests mean equal traffic and equal stored records.

Refactoring must change neither what the controllers send nor what they store. The digest covers
every request and response on the simulated network, in order and with its time, and every change
of the state service. It shows that two versions differ; to find where, compare
`SimulatedCluster.events` and the logs.
"""

from __future__ import annotations

import hashlib
from typing import Any

import orjson


class TrafficDigest:
    """SHA-256 over a sequence of entries, each a sequence of JSON values and byte strings."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()

    def add(self, now: float, *fields: Any) -> None:
        """Append one entry; the digest depends on the order of the keys of a JSON object."""
        self._hash.update(repr(now).encode())
        for field in fields:
            self._hash.update(b"\x1f")
            self._hash.update(field if isinstance(field, bytes) else orjson.dumps(field))
        self._hash.update(b"\n")

    def hexdigest(self) -> str:
        """Return the digest of all entries so far."""
        return self._hash.hexdigest()
