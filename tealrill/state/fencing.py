"""What only one controller may do at a time: who may, under which epoch, and how it is fenced.

Terms of the field: the *holder* of a duty has it under a *lease*; each holding has an *epoch* that
only grows; a *fence* keeps out what a holder sends that was replaced meanwhile. All duties here are
held with the leader's lease (docs/notes/005-duties.md weighs the others): the epoch is the term,
and the fencing token is the version of the leader's key.

- What goes to the state service goes through `Fence`, which adds the guard on the leader's key: a
  write of a duty without it can't be expressed.
- What goes to the cloud can't be fenced there. So it is recorded first (`fleet/intent_log.py`),
  through the fence, and `Duty.check` is asked again at the last moment before bytes leave.

This module knows neither machines nor jobs.
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
    """Its last renewal failed."""
    renewed_at: Monotonic = Monotonic(-math.inf)
    """When its last successful renewal was sent: the lease stood for `LEASE_TTL_S` from then."""

    def valid(self, now: Monotonic) -> bool:
        """Return whether this node may act as the leader at that moment."""
        return now < self.valid_until


class NotHolderError(TealrillError):
    """The holder may not act at this moment; perhaps it never may again."""


class Fence:
    """The one way to the state service for what a duty writes."""

    def __init__(self, client: StateClient, token: Revision) -> None:
        self._client = client
        self.token = token

    def guards(self, others: dict[str, Revision]) -> dict[str, Revision]:
        """Return a transaction's guards: the keys that it depends on, and the holder's right."""
        return {LEADER_KEY: self.token, **others}

    async def commit(
        self,
        guards: dict[str, Revision],
        changes: list[dict[str, Any]],
        tokens_acquired: bool = False,
    ) -> Committed | GuardsFailed:
        """Commit a transaction of the holder; raises what `StateClient.commit` raises."""
        full = [wire.guard(key, mod_revision) for key, mod_revision in self.guards(guards).items()]
        return await self._client.commit(full, changes, tokens_acquired=tokens_acquired)


@dataclass(slots=True, eq=False)
class Duty:
    """One duty, as its holder has it."""

    name: str
    epoch: FencingToken
    since: Monotonic
    valid: Callable[[], bool]
    """Whether its holder may act at this very moment."""
    state_service_unreachable: Callable[[], bool] = lambda: False
    """The state service is away, and its holder goes on: nobody can be elected meanwhile."""
    last: str = ""
    """What was done under it last, for operators."""

    def check(self) -> None:
        """Raise `NotHolderError` unless the holder may act at this moment.

        To be asked after every wait, right before something leaves.
        """
        if not self.valid():
            raise NotHolderError(f"{self.name}: epoch {self.epoch} is over, or may be")

    def record_action(self, what: str) -> None:
        """Note what was done under the duty last."""
        self.last = what

    def describe(self, now: Monotonic, open_count: int) -> dict[str, Any]:
        """Return for operators: epoch, time held in seconds, what is open and was done last."""
        return {
            "epoch": self.epoch,
            "held_s": round(now - self.since, 1),
            "open": open_count,
            "last": self.last,
        }
