"""Stand-ins of the platform for the review's cases: state service, cloud, workers and users.

Each is written from the operators' pages, on the standard library alone. They run in one event
loop beside controllers that `Cluster` starts as processes of their own with the commands of
`deploy/service.toml`. Where a page is silent they behave like a sound service.
"""

# ruff: noqa: C901, D102, PLR0911, SLF001, TRY301

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
now = time.monotonic


class SilenceError(Exception):
    """Raised by a handler: the request gets no answer, and its connection stays open."""


class Record:
    """What was sent, answered and run, as lines of text with the seconds since the beginning."""

    def __init__(self, path: Path | None) -> None:
        self.began = now()
        self.lines: list[str] = []
        self.violations: list[str] = []
        self._file = path.open("w", encoding="utf-8") if path is not None else None

    def add(self, text: str) -> None:
        line = f"{now() - self.began:8.3f} {text}"
        self.lines.append(line)
        if self._file is not None:
            self._file.write(line + "\n")
            self._file.flush()

    def violation(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")
        self.add(f"RULE BROKEN {rule}: {text}")


# -- HTTP ------------------------------------------------------------------------------------------

Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any]]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response: its first line, its headers and its body; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


class Server:
    """An HTTP/1.1 server on a free port; `handler` answers with a status and a JSON value."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.socket = socket.socket()
        self.socket.bind((HOST, 0))
        self.port: int = self.socket.getsockname()[1]
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self.socket, backlog=256)

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                try:
                    status, value = await self.handler(method, target, message[2])
                except SilenceError:
                    await reader.read()
                    return
                body = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """An HTTP/1.1 client with one connection, which stays open between requests."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, value: Any, timeout_s: float
    ) -> tuple[int, Any] | None:
        """Return status and JSON value; None without a response. Then the connection is closed."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    host, _, port = self.address.rpartition(":")
                    self._streams = await asyncio.open_connection(host, int(port))
                reader, writer = self._streams
                body = b"" if value is None else json.dumps(value).encode()
                head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                message = await read_message(reader)
                if message is None:
                    raise OSError
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None
        status = int(message[0].split(" ")[1])
        try:
            answer = json.loads(message[2]) if message[2] else {}
        except ValueError:
            answer = {}
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Proxy:
    """A TCP proxy; `mode` is `pass`, `hold` (nothing passes) or `refuse` (all are reset)."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self.socket = socket.socket()
        self.socket.bind((HOST, 0))
        self.port: int = self.socket.getsockname()[1]
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        await asyncio.start_server(self._serve, sock=self.socket)

    def set(self, mode: str) -> None:
        self.mode = mode
        if mode == "refuse":
            for writer in list(self._writers):
                writer.transport.abort()

    async def _passing(self) -> None:
        while self.mode == "hold":
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.mode == "refuse":
                return
            await self._passing()
            host, _, port = self.target.rpartition(":")
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(other_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, other_writer), self._pump(other_reader, writer)
                )
            finally:
                self._writers.discard(other_writer)
                other_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._passing()
                writer.write(data)
                await writer.drain()
        writer.close()


# -- state service ---------------------------------------------------------------------------------


class StateService:
    """The state service. Each controller has a port of its own, so that it can be refused alone."""

    def __init__(self, limits: dict[str, Any], hosts: list[str], rng: random.Random) -> None:
        self.limits, self.rng = limits, rng
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.refused: set[str] = set()
        self.late_share = 0.0
        """Share of the transactions that get no answer and are carried out 2 to 12 s later."""
        self.lost_share = 0.0
        """Share of the transactions that are carried out and get no answer."""
        self.delay_s = 0.0
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._tokens = {"rps": (limits["rps"], now()), "write_rps": (limits["write_rps"], now())}
        self.servers = {host: Server(self._handler(host)) for host in hosts}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.rejected: list[str] = []

    def _handler(self, host: str) -> Handler:
        async def handle(method: str, target: str, body: bytes) -> tuple[int, Any]:
            return await self._handle(host, method, target, body)

        return handle

    async def start(self) -> None:
        for server in self.servers.values():
            await server.start()
        self._tasks.add(asyncio.create_task(self._expire_always()))

    def set_down(self, down: bool) -> None:
        if self.down and not down:
            self.leases = {n: (now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}
        self.down = down
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _take(self, name: str, amount: int) -> bool:
        tokens, at = self._tokens[name]
        rate = self.limits[name]
        tokens = min(rate, tokens + (now() - at) * rate)
        taken = tokens >= amount
        self._tokens[name] = (tokens - amount if taken else tokens, now())
        return taken

    async def _expire_always(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    def _expire(self) -> None:
        if self.down:
            return
        ended = {n for n, (until, _) in self.leases.items() if until <= now()}
        for number in ended:
            del self.leases[number]
        if ended:
            gone = [k for k, (_, _, lease) in self.keys.items() if lease in ended]
            if gone:
                self._apply([{"delete": key} for key in gone])

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.epoch, change.get("hold"))
                event = {"set": change["set"], "value": change["value"], "stamp": self.epoch}
            else:
                self.keys.pop(change["delete"], None)
                event = {"delete": change["delete"], "stamp": self.epoch}
            self.log.append((self.epoch, event))
        self._wake()

    async def _handle(self, host: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        if self.delay_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.0) * self.delay_s)
        if self.down or host in self.refused:
            return 503, {}
        if not self._take("rps", 1):
            return 429, {}
        self._expire()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/kv/"):
            entry = self.keys.get(unquote(url.path[4:]))
            if entry is None:
                return 404, {"epoch": self.epoch}
            found = {"value": entry[0], "stamp": entry[1]}
            return 200, found if entry[2] is None else {**found, "hold": entry[2]}
        if url.path == "/kv":
            return 200, self._scan(query)
        if url.path == "/commit":
            return await self._commit(json.loads(body), len(body))
        if url.path == "/watch":
            return await self._watch(host, query)
        return self._lease(method, url.path.strip("/").split("/"), json.loads(body) if body else {})

    def _scan(self, query: dict[str, str]) -> dict[str, Any]:
        under, after = query["under"], query.get("from", "")
        found = sorted(k for k in self.keys if k.startswith(under) and k > after)
        entries: list[Any] = []
        size = 0
        for key in found[: min(1000, int(query.get("most", "1000")))]:
            entry = {"path": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(entry))
            if entries and size > 512 * 1024:
                break
            entries.append(entry)
        return {"entries": entries, "truncated": len(entries) < len(found), "epoch": self.epoch}

    async def _commit(self, message: dict[str, Any], size: int) -> tuple[int, Any]:
        changes, guards = message.get("apply") or [], message.get("guards") or []
        too_long = any(
            len(json.dumps(c["value"], separators=(",", ":"))) > self.limits["value_kb"] * 1024
            for c in changes
            if "set" in c
        )
        ops = self.limits["txn_ops"]
        if len(changes) > ops or len(guards) > 4 * ops or size > 65536 or too_long:
            self.rejected.append(
                f"{len(changes)} changes, {len(guards)} guards, {size} bytes, too_long={too_long}"
            )
            return 400, {"error": "too large"}
        if changes and not self._take("write_rps", len(changes)):
            return 429, {}
        if changes and self.rng.random() < self.late_share:
            task = asyncio.create_task(self._commit_late(message))
            self._tasks.add(task)
            raise SilenceError
        answer = self._execute(message)
        if changes and self.rng.random() < self.lost_share:
            raise SilenceError
        return answer

    async def _commit_late(self, message: dict[str, Any]) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        while self.down:
            await asyncio.sleep(0.2)
        self._expire()
        self._execute(message)

    def _execute(self, message: dict[str, Any]) -> tuple[int, Any]:
        failed = [
            g["path"]
            for g in message.get("guards") or []
            if self.keys.get(g["path"], (0, 0))[1] != g["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        changes = message.get("apply") or []
        if any(c.get("hold") is not None and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self._apply(changes)
        return 200, {"epoch": self.epoch}

    async def _watch(self, host: str, query: dict[str, str]) -> tuple[int, Any]:
        since, under = int(query["from"]), query["under"]
        until = now() + int(query.get("holdMs", "0")) / 1000
        while True:
            changed = self._changed
            if not self.down and host not in self.refused:
                found = [
                    e
                    for at, e in self.log
                    if at > since and (e.get("set") or e["delete"]).startswith(under)
                ]
                if found or now() >= until:
                    return 200, {"epoch": self.epoch, "log": found}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(0.2, max(0.005, until - now()))):
                    await changed.wait()

    def _lease(self, method: str, parts: list[str], body: dict[str, Any]) -> tuple[int, Any]:
        if len(parts) == 1:
            self._last_lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self._last_lease] = (now() + ttl, ttl)
            return 200, {"hold": self._last_lease}
        number = int(parts[1])
        if number not in self.leases:
            return 404, {}
        ttl = self.leases[number][1]
        self.leases[number] = (now() + (0.0 if method == "DELETE" else ttl), ttl)
        self._expire()
        return 200, {}


# -- machines --------------------------------------------------------------------------------------


class Task:
    """An attempt on a machine."""

    def __init__(self, state: str, ends_at: float = 0.0, cause: str | None = None) -> None:
        self.state, self.ends_at, self.cause = state, ends_at, cause
        self.stored: bool | None = None


class Worker:
    """The worker of one machine, as PROTOCOL describes it."""

    def __init__(self, platform: Platform, name: str, zone: str, spot: bool) -> None:
        self.platform, self.name, self.zone, self.spot = platform, name, zone, spot
        self.server = Server(self._handle)
        self.shift, self.tick, self.baton = 1, 0, 0
        self.renewed_at = now()
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: dict[str, float] = {}
        self.changed = asyncio.Event()
        self.token_changed_at = -1e9
        self.hung_until = 0.0
        self.deaf_until = 0.0
        self.mute_until = 0.0
        self.node = platform.rng.choice(list(platform.cluster.clients))
        self._jobs = [asyncio.create_task(self._report()), asyncio.create_task(self._advance())]
        self.gone = False
        self.client: Client | None = None

    def stop(self) -> None:
        """The machine is gone with all that is on it."""
        self.gone = True
        for job in self._jobs:
            job.cancel()
        self.server.stop()
        if self.client is not None:
            self.client.close()
        for (name, attempt), task in list(self.tasks.items()):
            self.platform.left(self, name, attempt, task, "machine gone")
        self.tasks.clear()

    def running(self) -> list[str]:
        return [n for (n, _), t in self.tasks.items() if t.state in ("running", "flushing")]

    async def _hang(self) -> None:
        while now() < self.hung_until:
            await asyncio.sleep(0.02)

    def _expire(self) -> None:
        if now() - self.renewed_at > self.platform.params["workers"]["lease_s"]:
            for (name, attempt), task in list(self.tasks.items()):
                self.platform.left(self, name, attempt, task, "lease ended")
            self.tasks.clear()
            self.shift += 1
            self.renewed_at = now()
            self.platform.record.add(f"worker {self.name}: lease ended, session {self.shift}")
            self.changed.set()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if now() < self.hung_until:
                before = now()
                await self._hang()
                self._expire()
                for task in self.tasks.values():
                    task.ends_at += now() - before
                continue
            self._expire()
            for (name, attempt), task in list(self.tasks.items()):
                if task.state == "ended" or now() < task.ends_at:
                    continue
                if task.state == "pulling":
                    task.state = "running"
                    done = name in self.platform.results
                    task.ends_at = now() + (0.0 if done else self.platform.run_s(name))
                    self.platform.started(self, name, attempt)
                elif task.state == "flushing":
                    self._end(name, attempt, task, "stopped", True)
                else:
                    cause = self.platform.result_of(name, attempt)
                    self._end(name, attempt, task, cause)
                self.changed.set()

    def _end(
        self, name: str, attempt: int, task: Task, cause: str, stored: bool | None = None
    ) -> None:
        state, task.state, task.cause, task.stored = task.state, "ended", cause, stored
        if cause == "done":
            self.platform.results.add(name)
        if state in ("running", "flushing"):
            self.platform.left(self, name, attempt, Task(state), cause)
        self.changed.set()

    def report(self) -> dict[str, Any]:
        self.tick += 1
        pieces = []
        for (name, attempt), task in self.tasks.items():
            piece: dict[str, Any] = {"piece": name, "try": attempt, "status": task.state}
            if task.cause is not None:
                piece["cause"] = task.cause
            if task.stored is not None:
                piece["stored"] = task.stored
            pieces.append(piece)
        return {
            "kiln": self.name,
            "addr": self.server.address,
            "build": self.platform.TYPE,
            "hall": self.zone,
            "loaners": self.spot,
            "shift": self.shift,
            "tick": self.tick,
            "baton": self.baton,
            "warningS": None,
            "pieces": pieces,
        }

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if now() - self.token_changed_at >= self.platform.params["workers"]["lease_s"] / 2:
                self.token_changed_at = now()
                self.changed.set()

    async def _report(self) -> None:
        interval_s = self.platform.params["workers"]["report_s"]
        addresses = self.platform.cluster.clients
        self.client = Client(addresses[self.node])
        rng = self.platform.rng
        while True:
            await self._hang()
            self.changed.clear()
            sent, shift = now(), self.shift
            if now() < self.mute_until:
                await asyncio.sleep(4.0)
                answer = None
            else:
                answer = await self.client.request("POST", "/agent/beat", self.report(), 4.0)
            await self._hang()
            if now() - sent > 4.0 or now() < self.deaf_until:
                if now() < self.deaf_until:
                    await asyncio.sleep(max(0.0, sent + 4.0 - now()))
                answer = None
            self._expire()
            if answer is not None and answer[0] == 200:
                baton = answer[1].get("baton")
                if isinstance(baton, int) and baton >= self.baton and shift == self.shift:
                    self._see(baton)
                    self.renewed_at = max(self.renewed_at, sent)
                    self.execute(answer[1].get("orders", []), "answer")
                wait_s = interval_s * rng.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, wait_s - 0.5)):
                        await self.changed.wait()
                continue
            self.client.close()
            foreman = answer[1].get("foreman") if answer is not None and answer[0] == 421 else None
            if foreman in addresses and foreman != self.node:
                self.node = foreman
                await asyncio.sleep(rng.uniform(0.0, 0.5))
            else:
                names = list(addresses)
                self.node = names[(names.index(self.node) + 1) % len(names)]
                await asyncio.sleep(1.0)
            self.client = Client(addresses[self.node])

    async def _handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        if now() < self.deaf_until:
            raise SilenceError
        await self.platform.hold_command()
        await self._hang()
        self._expire()
        if target == "/status":
            return 200, self.report()
        message = json.loads(body)
        if "baton" not in message or "shift" not in message:
            return 400, {}
        if message["baton"] < self.baton or message["shift"] != self.shift:
            return 409, self.report()
        self._see(message["baton"])
        self.execute(message["orders"], "order")
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]], via: str) -> None:
        for order in orders:
            name, attempt, verb = order["piece"], order["try"], order["verb"]
            task = self.tasks.get((name, attempt))
            self.platform.record.add(
                f"worker {self.name}: {verb} {name} try {attempt} ({via}, token {self.baton})"
            )
            if verb == "run" and task is None:
                self.tasks[name, attempt] = self._start(name)
                self.changed.set()
            elif verb == "halt" and task is not None and task.state != "ended":
                body = self.platform.bodies[name.partition("/")[0]]
                saves = body["snapshotS"] > 0 and order.get("windupS", 0) >= body["flushS"]
                if task.state == "running" and saves:
                    task.state, task.ends_at = "flushing", now() + body["flushS"]
                elif task.state != "flushing" or not order.get("windupS"):
                    self._end(name, attempt, task, "stopped", False)
                self.changed.set()
            elif verb == "clear" and task is not None and task.state == "ended":
                del self.tasks[name, attempt]
                self.changed.set()

    def _start(self, name: str) -> Task:
        body = self.platform.bodies.get(name.partition("/")[0])
        if body is None or int(name.partition("/")[2]) >= body["pieces"]:
            return Task("ended", cause="no_such")
        present = [n for (n, _), t in self.tasks.items() if t.state != "ended"]
        if name in present:
            return Task("ended", cause="in_use")
        used = [self.platform.bodies[n.partition("/")[0]] for n in present] + [body]
        if (
            sum(b["vcpus"] for b in used) > self.platform.CPUS
            or sum(b["memoryGb"] for b in used) > 128.0
        ):
            return Task("ended", cause="no_room")
        ready = self.images.setdefault(body["bundle"], now() + body["sizeGb"] / 0.5)
        return Task("pulling", max(now(), ready))


class Platform:
    """The cloud, the machines, and what the review sees of the tasks."""

    TYPE, CPUS = "szedo-32", 32.0

    def __init__(
        self, cluster: Cluster, params: dict[str, Any], record: Record, rng: random.Random
    ) -> None:
        self.cluster, self.params, self.record, self.rng = cluster, params, record, rng
        self.capacity = 8
        self.boot_s = 2.0
        self.down = False
        self.hold_commands_s = 0.0
        self.workers: dict[str, Worker] = {}
        self.listed: dict[str, tuple[float, float | None, str, bool]] = {}
        self.rentals: dict[str, list[str]] = {}
        self.bodies: dict[str, dict[str, Any]] = {}
        self.runs: dict[str, Callable[[str], float]] = {}
        self.failing: Callable[[str, int], bool] = lambda _, __: False
        self.results: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.on_started: Callable[[Worker, str, int], None] = lambda _, __, ___: None
        self.starts = 0
        self.server = Server(self._handle)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.reported: set[str] = set()

    async def start(self) -> None:
        await self.server.start()
        self._tasks.add(asyncio.create_task(self._watch_cancelled()))

    async def hold_command(self) -> None:
        if self.hold_commands_s:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * self.hold_commands_s)

    def run_s(self, name: str) -> float:
        return self.runs[name.partition("/")[0]](name)

    def result_of(self, name: str, attempt: int) -> str:
        return "error" if self.failing(name, attempt) else "done"

    def started(self, worker: Worker, name: str, attempt: int) -> None:
        """Check a start against the rules."""
        self.starts += 1
        self.record.add(f"started {name} try {attempt} on {worker.name} ({worker.zone})")
        job = name.partition("/")[0]
        body = self.bodies[job]
        for other in self.workers.values():
            if other is not worker:
                if now() >= other.hung_until:
                    other._expire()
                if (
                    now() - other.renewed_at <= self.params["workers"]["lease_s"]
                    and name in other.running()
                ):
                    self.record.violation(
                        "ran_twice", f"{name} starts on {worker.name} while it is on {other.name}"
                    )
        lease_s = self.params["workers"]["lease_s"]
        alive = [w for w in self.workers.values() if now() - w.renewed_at <= lease_s]
        running = [(n, w.zone) for w in alive for n in w.running()]
        mine = [zone for n, zone in running if n.partition("/")[0] == job]
        if body["hall"] not in (None, worker.zone) or (worker.spot and not body["loaners"]):
            self.record.violation("wrong_place", f"{name} on {worker.name}")
        if body["samePlace"] and len(set(mine)) > 1:
            self.record.violation("wrong_place", f"{name} in {worker.zone}, beside {mine}")
        if body["scatter"] and mine.count(worker.zone) > (body["pieces"] + 1) // 2:
            self.record.violation("wrong_place", f"{name} in {worker.zone}, beside {mine}")
        limit = next(
            (t["cpus_max"] for t in self.params["teams"] if t["name"] == body["crew"]), 0.0
        )
        used = sum(
            self.bodies[n.partition("/")[0]]["vcpus"]
            for n, _ in running
            if self.bodies[n.partition("/")[0]]["crew"] == body["crew"]
        )
        if limit and used > limit + 1e-6:
            self.record.violation("quota", f"{used} of {limit} vcpus of {body['crew']} in use")
        told = self.cancelled_at.get(job)
        if told is not None and now() - told > self.params["workers"]["cancel_s"]:
            self.record.violation(
                "ran_cancelled", f"{name} starts {now() - told:.1f} s after the cancellation"
            )
        self.on_started(worker, name, attempt)

    def left(self, worker: Worker, name: str, attempt: int, task: Task, why: str) -> None:
        if task.state in ("running", "flushing"):
            self.record.add(f"left {name} try {attempt} on {worker.name}: {why}")

    async def _watch_cancelled(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for worker in self.workers.values():
                if now() - worker.renewed_at > self.params["workers"]["lease_s"]:
                    continue
                for name in worker.running():
                    job = name.partition("/")[0]
                    told = self.cancelled_at.get(job)
                    if (
                        told is None
                        or job in self.reported
                        or now() - told <= self.params["workers"]["cancel_s"]
                    ):
                        continue
                    self.reported.add(job)
                    self.record.violation(
                        "ran_cancelled", f"{name} on {worker.name} {now() - told:.1f} s after"
                    )

    async def _handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        if self.down:
            return 503, {"error": "trouble"}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/catalog":
            zones = self.params["zones"]
            return 200, {
                "builds": [
                    {
                        "label": self.TYPE,
                        "vcpus": self.CPUS,
                        "gpus": 0,
                        "memoryGb": 128.0,
                        "localGb": 50.0,
                        "fetchGbPerS": 0.5,
                        "price": 1.73,
                        "marketPrice": 0.63,
                        "startupS": 35.0,
                        "halls": zones,
                    }
                ]
            }
        if url.path == "/hosts/release":
            for name in json.loads(body)["kilns"]:
                self.take(name)
            return 200, {}
        if method == "POST":
            return await self._rent(json.loads(body))
        lag_s = self.params["cloud"]["list_lag_s"]
        at = now() - lag_s
        kilns = [
            {
                "id": name,
                "addr": self.workers[name].server.address if name in self.workers else "",
                "build": self.TYPE,
                "hall": zone,
                "loaners": spot,
                "status": "running" if at >= rented + self.boot_s else "starting",
                "ageS": at - rented,
            }
            for name, (rented, gone, zone, spot) in sorted(self.listed.items())
            if rented <= at and (gone is None or gone > at) and name > query.get("from", "")
        ]
        most = int(query.get("most", "500"))
        return 200, {"kilns": kilns[:most], "truncated": len(kilns) > most}

    def take(self, name: str) -> None:
        """The machine is gone."""
        if name in self.listed and self.listed[name][1] is None:
            rented, _, zone, spot = self.listed[name]
            self.listed[name] = (rented, now(), zone, spot)
            self.record.add(f"machine {name} is gone")
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    async def _rent(self, message: dict[str, Any]) -> tuple[int, Any]:
        if message["hire"] not in self.rentals:
            live = sum(gone is None for _, gone, _, _ in self.listed.values())
            count = min(message["howMany"], self.capacity - live)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                name = f"m-{len(self.listed) + 1:06d}"
                self.listed[name] = (now(), None, message["hall"], message["loaners"])
                self._tasks.add(
                    asyncio.create_task(self._boot(name, message["hall"], message["loaners"]))
                )
                names.append(name)
            self.rentals[message["hire"]] = names
            self.record.add(f"rented {names} in {message['hall']}")
        return 200, {"kilns": self.rentals[message["hire"]]}

    async def _boot(self, name: str, zone: str, spot: bool) -> None:
        await asyncio.sleep(self.boot_s * self.rng.uniform(0.8, 1.2))
        if self.listed[name][1] is None:
            worker = Worker(self, name, zone, spot)
            await worker.server.start()
            self.workers[name] = worker

    def stop(self) -> None:
        for worker in list(self.workers.values()):
            worker.stop()


# -- controllers -----------------------------------------------------------------------------------


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Cluster:
    """The controllers' processes, with the platform around them."""

    def __init__(self, params: dict[str, Any], record: Record, seed: int = 1) -> None:
        self.params, self.record, self.rng = params, record, random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts = [f"kiln-{n}" for n in range(params["count"])]
        ports = free_ports(2 * len(self.hosts))
        self.clients = {h: f"{HOST}:{ports[2 * n]}" for n, h in enumerate(self.hosts)}
        self.peers = {h: f"{HOST}:{ports[2 * n + 1]}" for n, h in enumerate(self.hosts)}
        self.state = StateService(params["state"], self.hosts, self.rng)
        self.platform = Platform(self, params, record, self.rng)
        self.state_links = {h: Proxy(self.state.servers[h].address) for h in self.hosts}
        self.cloud_links = {h: Proxy(self.platform.server.address) for h in self.hosts}
        self.peer_links = {
            (a, b): Proxy(self.peers[b]) for a in self.hosts for b in self.hosts if a != b
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.zones = {
            h: params["zones"][n % len(params["zones"])] for n, h in enumerate(self.hosts)
        }

    async def start(self) -> None:
        await self.state.start()
        await self.platform.start()
        for link in (
            *self.state_links.values(),
            *self.cloud_links.values(),
            *self.peer_links.values(),
        ):
            await link.start()
        for host in self.hosts:
            settings = {
                "host_name": host,
                "zone": self.zones[host],
                "client_listen": self.clients[host],
                "cluster_listen": self.peers[host],
                "members": [
                    {
                        "host_name": o,
                        "zone": self.zones[o],
                        "peer_addr": self.peer_links[host, o].address,
                    }
                    for o in self.hosts
                    if o != host
                ],
                "services": {
                    "cloud": self.cloud_links[host].address,
                    "state": self.state_links[host].address,
                },
                "params": self.params,
            }
            (self.folder / f"{host}.json").write_text(json.dumps(settings), encoding="utf-8")
        for host in self.hosts:
            await self.launch(host)

    async def launch(self, host: str) -> None:
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))["run"]
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *shlex.split(run),
                str(self.folder / f"{host}.json"),
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record.add(f"controller {host} launched")

    def signal(self, host: str, number: int) -> None:
        process = self.processes[host]
        if process.returncode is None:
            self.record.add(f"controller {host}: signal {signal.Signals(number).name}")
            process.send_signal(number)

    async def restart(self, host: str, number: int, pause_s: float) -> None:
        """End a controller by a signal; the platform launches it again after a pause."""
        self.signal(host, number)
        await self.processes[host].wait()
        await asyncio.sleep(pause_s)
        await self.launch(host)

    def leader(self) -> str | None:
        entry = self.state.keys.get("leader")
        return entry[0].get("host") if entry is not None else None

    async def until_leader(self, timeout_s: float = 15.0) -> str:
        deadline = now() + timeout_s
        while now() < deadline:
            if (leader := self.leader()) is not None:
                return leader
            await asyncio.sleep(0.05)
        raise TimeoutError("no leader was elected")

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        self.platform.stop()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


PARAMS: dict[str, Any] = {
    "count": 3,
    "zones": ["csepel", "obuda"],
    "teams": [{"name": "foundry", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [
        {"kind": "deadline", "class": "subset-builds", "share": 0.94, "times": 1.0},
        {"kind": "deadline", "class": "glyph-hotfix", "share": 0.985, "times": 1.0},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 50.0,
        "gang_peer_s": 4.0,
        "cancel_s": 30.0,
    },
    "state": {"rps": 250.0, "write_rps": 40.0, "value_kb": 32.0, "txn_ops": 32},
    "cloud": {"rps": 4.0, "list_lag_s": 10.0},
    "quota": {"cpu_share": 0.36, "ram_mb": 146.0, "fd_limit": 500},
    "clock_off_ms": 100.0,
}


def job(number: int, **changes: Any) -> dict[str, Any]:
    """Return a submission."""
    return {
        "id": f"wk-{number:06d}",
        "lineup": "subset-builds",
        "crew": "foundry",
        "shape": "sweep",
        "urgency": "standard",
        "pieces": 4,
        "vcpus": 8.0,
        "gpus": 0.0,
        "memoryGb": 25.0,
        "bundle": "img-07",
        "sizeGb": 0.2,
        "builds": None,
        "hall": None,
        "samePlace": False,
        "scatter": False,
        "loaners": True,
        "guessS": 20.0,
        "snapshotS": 0.0,
        "flushS": 0.0,
        "dueS": 600.0,
        **changes,
    }


class Users:
    """Users of single jobs, and the checks of what they are told."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.record = cluster, cluster.record
        self.told: dict[str, set[str]] = {}
        """What was said of each job: accepted, done, aborted."""
        self.asked_to_cancel: set[str] = set()
        self.answered_at: dict[str, float] = {}
        self.clients: dict[tuple[str, str], Client] = {}

    def client(self, key: str, host: str) -> Client:
        if (key, host) not in self.clients:
            self.clients[key, host] = Client(self.cluster.clients[host])
        return self.clients[key, host]

    async def call(
        self,
        job_id: str,
        method: str,
        path: str,
        value: Any,
        timeout_s: float,
        host: str | None = None,
    ) -> tuple[int, Any] | None:
        host = host or self.cluster.rng.choice(self.cluster.hosts)
        before = set(self.told.get(job_id, ()))
        client = Client(self.cluster.clients[host])
        answer = await client.request(method, path, value, timeout_s)
        client.close()
        self.record.add(f"user {method} {path} at {host}: {answer}")
        if answer is None:
            return None
        status, body = answer
        told = self.told.setdefault(job_id, set())
        if status in (200, 201):
            self.answered_at[job_id] = now()
            state = body.get("status")
            if "done" in before and state != "done":
                self.record.violation("went_back", f"{job_id} was done, is {state} at {host}")
            if "aborted" in before and state != "aborted":
                self.record.violation("went_back", f"{job_id} was aborted, is {state} at {host}")
            if state == "aborted" and job_id not in self.asked_to_cancel:
                self.record.violation(
                    "went_back", f"{job_id} is called aborted, nobody cancelled it"
                )
            if state == "done" and job_id in self.cluster.platform.bodies:
                body_ = self.cluster.platform.bodies[job_id]
                missing = [
                    n
                    for n in range(body_["pieces"])
                    if f"{job_id}/{n}" not in self.cluster.platform.results
                ]
                if missing:
                    self.record.violation(
                        "not_done", f"{job_id} called done, missing {missing[:5]}"
                    )
            told.add("accepted")
            if state in ("done", "aborted"):
                told.add(state)
            if state == "aborted":
                self.cluster.platform.cancelled_at.setdefault(job_id, now())
        elif "accepted" in before and status in (400, 404, 422):
            self.record.violation("forgotten", f"{job_id}: {method} is answered {status} at {host}")
        return answer

    def upload(self, body: dict[str, Any], run_s: float) -> None:
        self.cluster.platform.bodies[body["id"]] = body
        self.cluster.platform.runs[body["id"]] = lambda _: run_s

    async def submit(self, body: dict[str, Any], run_s: float, host: str | None = None) -> bool:
        """Submit a job for up to 60 s."""
        self.upload(body, run_s)
        deadline = now() + 60.0
        while now() < deadline:
            answer = await self.call(body["id"], "POST", "/v2/runs", body, 5.0, host)
            if answer is not None and answer[0] in (200, 201):
                return True
            if answer is not None and answer[0] in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job_id: str, host: str | None = None) -> str | None:
        answer = await self.call(job_id, "GET", f"/v2/runs/{job_id}", None, 2.0, host)
        return answer[1].get("status") if answer is not None and answer[0] == 200 else None

    async def cancel(self, job_id: str, host: str | None = None, for_s: float = 60.0) -> str | None:
        self.asked_to_cancel.add(job_id)
        deadline = now() + for_s
        while now() < deadline:
            answer = await self.call(job_id, "POST", f"/v2/runs/{job_id}/cancel", {}, 5.0, host)
            if answer is not None and answer[0] == 200:
                return str(answer[1].get("status"))
            await asyncio.sleep(1.0)
        return None
