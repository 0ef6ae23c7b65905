"""Client of the state service.

Three outcomes are kept apart, because the rules depend on it: executed, certainly not executed
(`StateUnavailableError`), and unknown (`OutcomeUnknownError`): executed, not executed, or to be
executed at any later time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.http import Answer, Client, NoAnswerError
from tealrill.settings import StateLimits, parse_address
from tealrill.state.rate_limiter import RateLimiter, RequestPriority
from tealrill.state.revision_clock import RevisionClock
from tealrill.types import LeaseId, Revision, monotonic_now

_PAGE = 500
_MAX_POLL_WAIT_S = 1.0
"""A poll whose turn would come later is refused at once: its user asks again, here or elsewhere."""
_FAILURES = 3
_AWAY_S = 0.6
"""A node that does not lead tries again within half a second, one that does sooner."""
_ACCEPT_SHARE = 0.5
_LEADER_SHARE = 0.6
_LEADER_WRITES = 0.8
"""Changes are nearly all the leader's; what it leaves is for acceptances and cancellations."""


class StateError(TealrillError):
    """The request brought no result."""


class StateUnavailableError(StateError):
    """Certainly not executed (503, 429, or it never left this node)."""


class RateLimitedError(StateUnavailableError):
    """Above the rate limit (429); a moment later it may be taken."""


class OutcomeUnknownError(StateError):
    """It may have been executed, or may yet be."""


class TransactionRejectedError(StateError):
    """The state service called the request malformed."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was executed, in this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class GuardsFailed:
    """The transaction's guards did not hold for these keys; nothing was changed."""

    keys: list[str]


class StateClient:
    """All requests of one node to the state service, within the node's share of the limits."""

    def __init__(self, address: str, limits: StateLimits, nodes: int) -> None:
        self._http = Client(parse_address(address), most=8)
        self._limits = limits
        self._nodes = nodes
        self._leads = False
        self._failures = 0
        """So many exchanges in a row brought no answer, or 503."""
        self._failed_at = -math.inf
        self.interruptions = 0
        """How often the state service has gone away, as this node saw it."""
        self.revisions = RevisionClock()
        self.first_seen: Revision | None = None
        """The revision at this process's first reading of a range; what a former process of this
        host was answered lies before it."""
        self.requests = RateLimiter(self._share() * limits.rps)
        self.writes = RateLimiter(self._share() * limits.write_rps)
        self.submissions = RateLimiter(_ACCEPT_SHARE * limits.write_rps, depth=limits.write_rps)
        """Acceptances. Users come to nodes by chance and in bursts, so a node's equal part of the
        rate refused most of a burst while the other parts lay idle. The parts of all nodes add up
        to more than the rate; where that shows, the state service answers 429."""

    def set_leading(self, leads: bool) -> None:
        """Set the shares of the limits; the leader has the larger one, for the records."""
        self._leads = leads
        self.requests.set_rate(self._share() * self._limits.rps)
        share = _LEADER_WRITES if leads else self._share()
        self.writes.set_rate(share * self._limits.write_rps)

    def _share(self) -> float:
        if self._nodes == 1:
            return 0.95
        return _LEADER_SHARE if self._leads else 0.35 / (self._nodes - 1)

    async def _acquire(self, priority: RequestPriority) -> None:
        """Wait for a request; `RateLimitedError` at once for a poll that would wait too long."""
        if priority is RequestPriority.NORMAL and self.requests.wait_s(priority) > _MAX_POLL_WAIT_S:
            raise RateLimitedError("more polls than there are requests for")
        await self.requests.acquire(priority=priority)

    async def get(
        self, key: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> wire.KeyValue | None:
        """Read a key; None if it does not exist."""
        await self._acquire(priority)
        answer = await self._send("GET", "/kv/" + quote(key, safe="/"))
        if answer.status == 404:
            return None
        return self._read(answer, wire.KeyValue)

    async def page(
        self,
        prefix: str,
        after: str | None,
        most: int,
        priority: RequestPriority = RequestPriority.HIGH,
    ) -> wire.Entries:
        """Read up to `most` keys under a prefix, those behind `after` only."""
        await self._acquire(priority)
        query: dict[str, Any] = {"under": prefix, "most": most}
        if after is not None:
            query["from"] = after
        sent = monotonic_now()
        answer = await self._send("GET", "/kv?" + urlencode(query, safe="/"), timeout_s=4.0)
        found = self._read(answer, wire.Entries)
        self.revisions.observe(sent, Revision(found.revision))
        return found

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        """Read all keys under a prefix, and the revision from which a watch misses nothing.

        The pages are read one after the other; the first page's revision is the one returned.
        """
        entries: list[wire.Entry] = []
        revision: Revision | None = None
        after: str | None = None
        while True:
            page = await self.page(prefix, after, _PAGE, priority)
            entries.extend(page.items)
            if revision is None:
                revision = Revision(page.revision)
                if self.first_seen is None:
                    self.first_seen = revision
            if not page.more or not page.items:
                return entries, revision
            after = page.items[-1].key

    async def commit(
        self,
        guards: list[dict[str, Any]],
        changes: list[dict[str, Any]],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        """Commit a transaction. With `tokens_acquired` the caller has taken its share."""
        if not tokens_acquired:
            await self.writes.acquire(len(changes))
        await self.requests.acquire()
        body = wire.encode(wire.transaction(guards, changes))
        answer = await self._send("POST", "/commit", body, timeout_s)
        if answer.status == 409:
            return GuardsFailed(self._read(answer, wire.Conflict, ok=409).failed)
        return Committed(Revision(self._read(answer, wire.RevisionOnly).revision))

    async def create_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that lasts `ttl_s` seconds unless it is extended."""
        await self.requests.acquire()
        answer = await self._send("POST", "/holds", wire.encode(wire.lease_request(ttl_s)), 1.0)
        return LeaseId(self._read(answer, wire.Lease).lease)

    async def extend_lease(self, lease: LeaseId, timeout_s: float) -> bool:
        """Extend a lease; return False when it has ended."""
        await self.requests.acquire()
        answer = await self._send("POST", f"/holds/{lease}/extend", None, timeout_s)
        if answer.status == 404:
            return False
        self._check(answer)
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease; return once it has certainly ended."""
        await self.requests.acquire()
        answer = await self._send("DELETE", f"/holds/{lease}", None, 1.0)
        if answer.status != 404:
            self._check(answer)

    async def watch(self, prefix: str, since: Revision, hold_s: float) -> wire.WatchResult | None:
        """Wait up to `hold_s` seconds for changes after `since`; None when that is too old.

        A silent connection is given up.
        """
        await self.requests.acquire()
        query = urlencode(
            {"under": prefix, "from": since, "holdMs": round(hold_s * 1000)}, safe="/"
        )
        sent = monotonic_now()
        answer = await self._send("GET", "/watch?" + query, timeout_s=max(hold_s + 1.0, 3.0))
        if answer.status == 410:
            return None
        found = self._read(answer, wire.WatchResult)
        self.revisions.observe(sent, Revision(found.revision))
        return found

    @property
    def unavailable(self) -> bool:
        """Whether several exchanges in a row have just failed.

        The election's own tries go on, and show when that is over.
        """
        return self._failures >= _FAILURES and monotonic_now() - self._failed_at < _AWAY_S

    @property
    def failing(self) -> bool:
        """Whether the last exchange brought no answer, or 503."""
        return self._failures > 0

    def _exchanged(self, failed: bool) -> None:
        if failed:
            self.interruptions += self._failures == 0
            self._failures += 1
            self._failed_at = monotonic_now()
        else:
            self._failures = 0

    async def _send(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float = 2.0
    ) -> Answer:
        try:
            answer = await self._http.request(method, path, body, timeout_s)
        except NoAnswerError as error:
            self._exchanged(True)
            if error.sent:
                raise OutcomeUnknownError(str(error)) from error
            raise StateUnavailableError(str(error)) from error
        self._exchanged(answer.status == 503)
        return answer

    @staticmethod
    def _check(answer: Answer, ok: int = 200) -> None:
        if answer.status == 429:
            raise RateLimitedError("status 429")
        if answer.status == 503:
            raise StateUnavailableError("status 503")
        if answer.status == 400:
            raise TransactionRejectedError(answer.body[:200].decode("utf-8", "replace"))
        if answer.status != ok:
            raise OutcomeUnknownError(f"unexpected status {answer.status}")

    def _read(self, answer: Answer, kind: type[wire.T], ok: int = 200) -> wire.T:
        self._check(answer, ok)
        try:
            return wire.decode(answer.body, kind)
        except wire.MalformedMessageError as error:
            raise OutcomeUnknownError(str(error)) from error
