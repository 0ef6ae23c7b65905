"""Fencing of the duties that only one controller may perform at a time.

A duty has a *holder*, which holds it under a *lease*. Each tenure has an *epoch*, which increases
monotonically, and a *fence* rejects writes of a holder that has been replaced. All duties here are
held under the leader's lease (docs/notes/005-duties.md discusses the alternatives): the epoch is
the term, and the fencing token is the mod revision of the leader's key.

- Writes to the state service go through `Fence`, which adds the guard on the leader's key, so a
  duty can't write without it.
- The cloud can't check a fencing token. A request to it is therefore recorded first, through the
  fence (`fleet/intent_log.py`), and `Duty.check` is called immediately before the request is sent.

This module does not depend on machines or jobs.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.state.client import Committed, GuardsFailed, StateClient
from tealrill.types import FencingToken, LeaseId, Monotonic, Revision

LEADER_KEY: Final = "leader"


@dataclass(slots=True)
class Leadership:
    """One term of this node as the leader."""

    term: FencingToken
    mod_revision: Revision
    lease: LeaseId
    elected_at: Monotonic
    valid_until: Monotonic
    renewal_failed: bool = False
    """True if the last renewal of the lease failed."""
    renewed_at: Monotonic = Monotonic(-math.inf)
    """Time at which the last successful renewal was sent; the lease is valid for at least
    `LEASE_TTL_S` from then."""

    def valid(self, now: Monotonic) -> bool:
        """Return True if this node may act as the leader at time `now`."""
        return now < self.valid_until


class NotHolderError(TealrillError):
    """The holder of a duty may not act now, and possibly never again in this epoch."""


class Fence:
    """Commits the writes of a duty with the guard on the leader's key."""

    def __init__(self, client: StateClient, token: Revision) -> None:
        self._client = client
        self.token = token

    def guards(self, others: dict[str, Revision]) -> dict[str, Revision]:
        """Return the guards of a transaction: `others` and the guard on the leader's key."""
        return {LEADER_KEY: self.token, **others}

    async def commit(
        self,
        guards: dict[str, Revision],
        changes: list[dict[str, Any]],
        tokens_acquired: bool = False,
    ) -> Committed | GuardsFailed:
        """Commit a transaction with the leader guard added.

        Raises the same errors as `StateClient.commit`.
        """
        full = [wire.guard(key, mod_revision) for key, mod_revision in self.guards(guards).items()]
        return await self._client.commit(full, changes, tokens_acquired=tokens_acquired)


@dataclass(slots=True, eq=False)
class Duty:
    """A duty, as seen by its holder."""

    name: str
    epoch: FencingToken
    since: Monotonic
    valid: Callable[[], bool]
    """Returns True if the holder may act now."""
    state_service_unreachable: Callable[[], bool] = lambda: False
    """Returns True if the state service does not answer this holder. While the holder is valid all
    the same, its lease or the members' extension grants prevent the election of another leader."""
    last: str = ""
    """The last action performed under the duty, for operators."""

    def check(self) -> None:
        """Raise `NotHolderError` unless the holder may act now.

        To be called after every await, immediately before a request is sent.
        """
        if not self.valid():
            raise NotHolderError(f"{self.name}: epoch {self.epoch} has ended or may have ended")

    def record_action(self, what: str) -> None:
        """Record the last action performed under the duty."""
        self.last = what

    def describe(self, now: Monotonic, open_count: int) -> dict[str, Any]:
        """Return epoch, seconds held, number of open requests and last action, for operators."""
        return {
            "epoch": self.epoch,
            "held_s": round(now - self.since, 1),
            "open": open_count,
            "last": self.last,
        }
