"""Client of the state service.

Callers must distinguish three outcomes of a request: executed, certainly not executed
(`StateUnavailableError`), and unknown (`OutcomeUnknownError`), in which case it has been executed,
has not been executed, or may still be executed at any later time.
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

_PAGE_SIZE = 500
_MAX_POLL_WAIT_S = 1.0
"""A poll that would wait longer for the rate limit is refused at once; its user retries, at this
node or another one."""
_UNAVAILABLE_FAILURES = 3
_UNAVAILABLE_S = 0.6
"""After a failure a node retries within 0.5 s, a leader sooner; so a failure older than this no
longer shows that the state service is unavailable."""
_SUBMISSION_SHARE = 0.5
_LEADER_SHARE = 0.6
_LEADER_WRITE_SHARE = 0.8
"""The leader makes nearly all changes; the rest is for accepted submissions and cancellations."""


class StateError(TealrillError):
    """The request has no result."""


class StateUnavailableError(StateError):
    """The request was certainly not executed: status 503 or 429, or it was never sent."""


class RateLimitedError(StateUnavailableError):
    """The request was above the rate limit (429); a retry after a short pause may succeed."""


class OutcomeUnknownError(StateError):
    """The request may have been executed, or may still be executed later."""


class TransactionRejectedError(StateError):
    """The state service rejected the request as malformed."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was executed in this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class GuardsFailed:
    """The transaction's guards failed for these keys; nothing was changed."""

    keys: list[str]


class StateClient:
    """Sends all requests of one node to the state service, within the node's rate limit share."""

    def __init__(self, address: str, limits: StateLimits, nodes: int) -> None:
        self._http = Client(parse_address(address), max_idle=8)
        self._limits = limits
        self._nodes = nodes
        self._is_leader = False
        self._failures = 0
        """Number of consecutive exchanges that got no answer or status 503."""
        self._failed_at = -math.inf
        self.interruptions = 0
        """Number of times the state service became unavailable, as observed by this node."""
        self.revisions = RevisionClock()
        self.first_seen: Revision | None = None
        """Revision of this process's first scan. Every answer that an earlier process of this host
        received has a revision no later than this one."""
        self.requests = RateLimiter(self._share() * limits.rps)
        self.writes = RateLimiter(self._share() * limits.write_rps)
        self.submissions = RateLimiter(
            _SUBMISSION_SHARE * limits.write_rps, capacity=limits.write_rps
        )
        """Limits accepted submissions. Users choose nodes at random and submit in bursts: with
        equal shares one node would refuse most of a burst while the others' shares are unused. The
        shares of all nodes therefore add up to more than the write rate; beyond that rate the
        state service answers 429."""

    def set_leading(self, leads: bool) -> None:
        """Set this node's shares of the rate limits; the leader's are larger, to write records."""
        self._is_leader = leads
        self.requests.set_rate(self._share() * self._limits.rps)
        share = _LEADER_WRITE_SHARE if leads else self._share()
        self.writes.set_rate(share * self._limits.write_rps)

    def _share(self) -> float:
        if self._nodes == 1:
            return 0.95
        return _LEADER_SHARE if self._is_leader else 0.35 / (self._nodes - 1)

    async def _acquire(self, priority: RequestPriority) -> None:
        """Wait for a request token; raises `RateLimitedError` if a poll would wait too long."""
        if (
            priority is RequestPriority.NORMAL
            and self.requests.estimated_wait_s(priority) > _MAX_POLL_WAIT_S
        ):
            raise RateLimitedError("polls exceed this node's request rate")
        await self.requests.acquire(priority=priority)

    async def get(
        self, key: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> wire.KeyValue | None:
        """Return the value of a key; None if it does not exist."""
        await self._acquire(priority)
        answer = await self._send("GET", "/kv/" + quote(key, safe="/"))
        if answer.status == 404:
            return None
        return self._decode(answer, wire.KeyValue)

    async def page(
        self,
        prefix: str,
        after: str | None,
        most: int,
        priority: RequestPriority = RequestPriority.HIGH,
    ) -> wire.Entries:
        """Return up to `most` entries under a prefix, only those whose keys sort after `after`."""
        await self._acquire(priority)
        query: dict[str, Any] = {"under": prefix, "most": most}
        if after is not None:
            query["from"] = after
        sent = monotonic_now()
        answer = await self._send("GET", "/kv?" + urlencode(query, safe="/"), timeout_s=4.0)
        result = self._decode(answer, wire.Entries)
        self.revisions.observe(sent, Revision(result.revision))
        return result

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        """Return all entries under a prefix, and the revision from which to start a watch.

        The pages are read one after another. The revision returned is the first page's, so a watch
        from there misses no change.
        """
        entries: list[wire.Entry] = []
        revision: Revision | None = None
        after: str | None = None
        while True:
            page = await self.page(prefix, after, _PAGE_SIZE, priority)
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
        """Commit a transaction.

        `tokens_acquired`: the caller has already taken the write tokens for its changes.
        """
        if not tokens_acquired:
            await self.writes.acquire(len(changes))
        await self.requests.acquire()
        body = wire.encode(wire.transaction(guards, changes))
        answer = await self._send("POST", "/commit", body, timeout_s)
        if answer.status == 409:
            return GuardsFailed(self._decode(answer, wire.Conflict, ok=409).failed)
        return Committed(Revision(self._decode(answer, wire.RevisionOnly).revision))

    async def create_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that expires after `ttl_s` seconds unless it is extended."""
        await self.requests.acquire()
        answer = await self._send("POST", "/holds", wire.encode(wire.lease_request(ttl_s)), 1.0)
        return LeaseId(self._decode(answer, wire.Lease).lease)

    async def extend_lease(self, lease: LeaseId, timeout_s: float) -> bool:
        """Extend a lease; return False if it no longer exists."""
        await self.requests.acquire()
        answer = await self._send("POST", f"/holds/{lease}/extend", None, timeout_s)
        if answer.status == 404:
            return False
        self._check_status(answer)
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        """Revoke a lease; return once it has certainly ended."""
        await self.requests.acquire()
        answer = await self._send("DELETE", f"/holds/{lease}", None, 1.0)
        if answer.status != 404:
            self._check_status(answer)

    async def watch(self, prefix: str, since: Revision, hold_s: float) -> wire.WatchResult | None:
        """Wait up to `hold_s` seconds for changes after `since`; None if `since` is too old.

        The request times out on an unresponsive connection.
        """
        await self.requests.acquire()
        query = urlencode(
            {"under": prefix, "from": since, "holdMs": round(hold_s * 1000)}, safe="/"
        )
        sent = monotonic_now()
        answer = await self._send("GET", "/watch?" + query, timeout_s=max(hold_s + 1.0, 3.0))
        if answer.status == 410:
            return None
        result = self._decode(answer, wire.WatchResult)
        self.revisions.observe(sent, Revision(result.revision))
        return result

    @property
    def unavailable(self) -> bool:
        """True if several consecutive exchanges have just failed.

        The election sends its requests all the same, so the end of an outage is noticed.
        """
        return (
            self._failures >= _UNAVAILABLE_FAILURES
            and monotonic_now() - self._failed_at < _UNAVAILABLE_S
        )

    @property
    def failing(self) -> bool:
        """True if the last exchange got no answer or status 503."""
        return self._failures > 0

    def _record_exchange(self, failed: bool) -> None:
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
            self._record_exchange(True)
            if error.sent:
                raise OutcomeUnknownError(str(error)) from error
            raise StateUnavailableError(str(error)) from error
        self._record_exchange(answer.status == 503)
        return answer

    @staticmethod
    def _check_status(answer: Answer, ok: int = 200) -> None:
        if answer.status == 429:
            raise RateLimitedError("status 429")
        if answer.status == 503:
            raise StateUnavailableError("status 503")
        if answer.status == 400:
            raise TransactionRejectedError(answer.body[:200].decode("utf-8", "replace"))
        if answer.status != ok:
            raise OutcomeUnknownError(f"unexpected status {answer.status}")

    def _decode(self, answer: Answer, kind: type[wire.T], ok: int = 200) -> wire.T:
        self._check_status(answer, ok)
        try:
            return wire.decode(answer.body, kind)
        except wire.MalformedMessageError as error:
            raise OutcomeUnknownError(str(error)) from error
