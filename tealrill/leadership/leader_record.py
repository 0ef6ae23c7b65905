"""The record under the leader's key: what the elected member writes, and what is read of it."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from tealrill import wire
from tealrill.types import FencingToken, LeaseId, Monotonic, Wall, last_token_of


class LeaderRecord(msgspec.Struct, frozen=True):
    """The fields of another member's record that members need."""

    host: str
    term: int
    last_token: int = 0
    """The highest token of the term; 0 in a record of a version whose terms have one token."""


class Candidate(NamedTuple):
    """The process that writes the record: a host, and one incarnation of its controller."""

    host: str
    incarnation: str

    def record(self, term: FencingToken, elected_at: Wall, reelections: int) -> dict[str, Any]:
        """Return the record of this process as the leader of `term`.

        `reelections` is the number of quick re-elections of the host in a row.
        """
        return {
            "host": self.host,
            "incarnation": self.incarnation,
            "term": term,
            "last_token": last_token_of(term),
            "at": elected_at,
            "again": reelections,
            "revocable": True,
        }

    def has_written(self, value: Any, term: FencingToken) -> bool:
        """Return True if this very process has written the record, as the leader of `term`."""
        return (
            isinstance(value, dict)
            and value.get("host") == self.host
            and value.get("incarnation") == self.incarnation
            and type(value.get("term")) is int
            and value["term"] == term
        )


class UnconfirmedCampaign(NamedTuple):
    """A campaign whose transaction got no answer, so that its outcome is unknown.

    Its lease must not be ended as long as the term may still begin.
    """

    term: FencingToken
    lease: LeaseId
    lease_requested_at: Monotonic
    """When the request that created the lease was sent."""

    def is_won(self, candidate: Candidate, entry: wire.KeyValue) -> bool:
        """Return True if the campaign's transaction has set the leader's key.

        The key must have the lease of this campaign: an earlier campaign for the same term may have
        been executed late, and the key would then end with the lease of that one.
        """
        return candidate.has_written(entry.value, self.term) and entry.lease == self.lease


def names_its_writer(value: dict[str, Any]) -> bool:
    """Return True if a record says which process wrote it, and for which term."""
    return type(value.get("term")) is int and type(value.get("incarnation")) is str
