"""A fake of the state service, written from the protocol."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import orjson

from tealrill.simulation.replies import NoReplyError, Reply


class StateService:
    """A key-value store with versions, leases and watches, into which faults can be injected.

    Faults: outages, rejection of single controllers, transactions executed late, lost and slow
    responses. Call it with a request.
    """

    def __init__(self, rng: random.Random, now: Callable[[], float]) -> None:
        self.rng, self.now = rng, now
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        """By number: when the lease expires, and its time to live, both in seconds."""
        self.down = False
        self.refused_sources: set[str] = set()
        self.late_share = 0.0
        """Share of the transactions with changes that get no response and are executed later."""
        self.lost_reply_share = 0.0
        """Share of the transactions and lease requests that are executed but get no response."""
        self.request_delay_s = 0.0
        """Maximum time before a request is handled, in seconds; the minimum is 0.3 of it."""
        self.scan_duration_s = 0.0
        """How long reading a range of keys takes, in seconds."""
        self.on_written: Callable[[list[dict[str, Any]]], None] = lambda _: None
        """Called with the changes of each transaction that is executed."""
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def set_outage(self, active: bool) -> None:
        """Begin or end an outage; its end renews every lease for its full time to live."""
        if self.down and not active:
            self.leases = {n: (self.now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}
        self.down = active
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """Delete expired leases and their keys; during an outage no lease expires."""
        if self.down:
            return
        expired = {n for n, (until, _) in self.leases.items() if until <= self.now()}
        for number in expired:
            del self.leases[number]
        for key in [k for k, (_, _, lease) in self.keys.items() if lease in expired]:
            self._apply([{"delete": key}])

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.on_written(changes)
        self.epoch += 1
        for change in changes:
            if "set" in change:
                entry = (change["value"], self.epoch, change.get("hold"))
                self.keys[change["set"]] = entry
                event = {"set": change["set"], "value": change["value"], "stamp": self.epoch}
            else:
                self.keys.pop(change["delete"], None)
                event = {"delete": change["delete"], "stamp": self.epoch}
            self.log.append((self.epoch, event))
        self._wake()

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        """Handle one request."""
        if self.request_delay_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.0) * self.request_delay_s)
        if self.down or source in self.refused_sources:
            return 503, {}
        self.expire()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[0] == "kv" and len(parts) > 1:
            return self._get(unquote(url.path.removeprefix("/kv/")))
        if parts[0] == "kv":
            if self.scan_duration_s:
                await asyncio.sleep(self.scan_duration_s)
            return self._scan(query)
        if parts[0] == "commit":
            return await self._commit(orjson.loads(body or b"{}"))
        if parts[0] == "watch":
            return await self._watch(source, query)
        return self._lease(method, parts, orjson.loads(body) if body else {})

    def _get(self, key: str) -> Reply:
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"epoch": self.epoch}
        found = {"path": key, "value": entry[0], "stamp": entry[1]}
        return 200, found if entry[2] is None else {**found, "hold": entry[2]}

    def _scan(self, query: dict[str, str]) -> Reply:
        under, after = query["under"], query.get("from", "")
        found = sorted(k for k in self.keys if k.startswith(under) and k > after)
        page = found[: int(query.get("most", "1000"))]
        entries = [{"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in page]
        return 200, {
            "entries": entries, "truncated": len(page) < len(found), "epoch": self.epoch
        }  # fmt: skip

    async def _commit(self, message: dict[str, Any]) -> Reply:
        if message.get("apply") and self.rng.random() < self.late_share:
            task = asyncio.create_task(self._execute_later(message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            raise NoReplyError
        reply = self._execute(message)
        if self.rng.random() < self.lost_reply_share:
            raise NoReplyError
        return reply

    async def _execute_later(self, message: dict[str, Any]) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        while self.down:
            await asyncio.sleep(0.5)
        self.expire()
        self._execute(message)

    def _execute(self, message: dict[str, Any]) -> Reply:
        failed = [
            g["path"]
            for g in message.get("guards", [])
            if self.keys.get(g["path"], (None, 0, None))[1] != g["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        changes = message.get("apply") or []
        if any(c.get("hold") is not None and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self._apply(changes)
        return 200, {"epoch": self.epoch}

    async def _watch(self, source: str, query: dict[str, str]) -> Reply:
        since, under = int(query["from"]), query["under"]
        until = self.now() + int(query.get("holdMs", "0")) / 1000
        while True:
            # During an outage, or while the source is refused, open watches stay open.
            unavailable = self.down or source in self.refused_sources
            if not unavailable:
                self.expire()
                found = [
                    e for at, e in self.log
                    if at > since and (e.get("set") or e["delete"]).startswith(under)
                ]  # fmt: skip
                if found or self.now() >= until:
                    return 200, {"epoch": self.epoch, "log": found}
            pause = 1.0 if unavailable else min(0.5, max(0.001, until - self.now()))
            try:
                async with asyncio.timeout(pause):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _lease(self, method: str, parts: list[str], body: dict[str, Any]) -> Reply:
        reply = self._handle_lease(method, parts, body)
        if self.rng.random() < self.lost_reply_share:
            raise NoReplyError
        return reply

    def _handle_lease(self, method: str, parts: list[str], body: dict[str, Any]) -> Reply:
        if len(parts) == 1:
            self._last_lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self._last_lease] = (self.now() + ttl, ttl)
            return 200, {"hold": self._last_lease}
        number = int(parts[1])
        if number not in self.leases:
            return 404, {}
        _, ttl = self.leases[number]
        self.leases[number] = (self.now() + (0.0 if method == "DELETE" else ttl), ttl)
        self.expire()
        return 200, {}
