"""Stand-ins of the second review: state service, cloud, workers, users and controllers.

They follow PROTOCOL-tealrill.md on loopback addresses and the real clock; where the page is silent
they do what is simplest. Only the standard library is used. The controllers are the project's own,
started with the command of the deploy file.
"""
# ruff: noqa: D102, D103, PLR0911

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
Answer = tuple[int, Any] | None
"""Status and body; None closes the connection without an answer."""
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Answer]]
Kind = tuple[str, str, bool]
"""Type, zone and whether it is a spot machine."""
now = time.monotonic


# -- HTTP ------------------------------------------------------------------------------------------


class Server:
    """An HTTP/1.1 server with persistent connections on a free port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                raw = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                answer = await self.handler(
                    method, unquote(parts.path), query, json.loads(raw) if raw else None
                )
                if answer is None:
                    return
                content = json.dumps(answer[1]).encode()
                writer.write(
                    b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (answer[0], len(content)) + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class NoAnswerError(Exception):
    """A request got no answer."""


class Connection:
    """A client's connection to one address, opened again when it is needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise NoAnswerError(f"{type(error).__name__}: {error}") from None
        except BaseException:
            self.close()
            raise

    async def _request(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if self._streams is None or self._streams[0].at_eof():
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        content = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status, length, close = int(head[0].split(" ")[1]), 0, False
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
            close = close or (name.lower() == "connection" and value.strip().lower() == "close")
        raw = await reader.readexactly(length) if length else b""
        if close:
            self.close()
        return status, json.loads(raw) if raw else None

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


# -- state service -----------------------------------------------------------------------------


class Bucket:
    """A rate limit."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.burst = rate, rate * burst_s
        self.tokens, self.at = self.burst, now()

    def take(self, amount: float) -> bool:
        at = now()
        self.tokens = min(self.burst, self.tokens + (at - self.at) * self.rate)
        self.at = at
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


def _size(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class State:
    """The state service; each controller has a port of its own, so that one can be refused."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        """Value, version and lease."""
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.epoch = 0
        self.holds: dict[int, tuple[float, float]] = {}
        """Per lease its end and its length."""
        self.last_hold = 0
        self.outage = False
        self.refused: set[int] = set()
        """Numbers of the controllers whose requests get 503."""
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.value_bytes, self.txn_ops = int(limits["value_kb"] * 1024), limits["txn_ops"]
        self.changed = asyncio.Event()
        self.servers: list[Server] = []
        self.answer_s = 0.003
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, nodes: int) -> None:
        for number in range(nodes):

            async def handle(
                method: str, path: str, query: dict[str, str], body: Any, node: int = number
            ) -> Answer:
                return await self._handle(node, method, path, query, body)

            server = Server(handle)
            await server.start()
            self.servers.append(server)
        self._expiry = asyncio.get_running_loop().create_task(self._expire())

    def close(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        for server in self.servers:
            server.close()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self.outage:
                for hold in [h for h, (end, _) in self.holds.items() if end < now()]:
                    self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        if self.holds.pop(hold, None) is not None:
            keys = [k for k, (_, _, h) in self.keys.items() if h == hold]
            if keys:
                self._apply([{"delete": key} for key in keys])

    def set_outage(self, on: bool) -> None:
        if self.outage and not on:
            self.holds = {h: (now() + ttl, ttl) for h, (_, ttl) in self.holds.items()}
        self.outage = on
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.epoch, change.get("hold"))
                event = {"set": change["set"], "value": change["value"], "stamp": self.epoch}
            elif self.keys.pop(change["delete"], None) is not None:
                event = {"delete": change["delete"], "stamp": self.epoch}
            else:
                continue
            self.log.append((self.epoch, event))
        del self.log[:-10_000]
        self._wake()

    async def _handle(
        self, node: int, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer:
        await asyncio.sleep(self.answer_s)
        if path != "/watch" and (self.outage or node in self.refused):
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/watch":
            return await self._watch(node, query)
        if path == "/commit":
            return self._commit(body)
        if path.startswith("/holds"):
            return self._hold(method, path, body)
        if path == "/kv":
            return self._scan(query)
        key = path.removeprefix("/kv/")
        if key not in self.keys:
            return 404, {"epoch": self.epoch}
        value, stamp, hold = self.keys[key]
        found = {"path": key, "value": value, "stamp": stamp}
        return 200, found if hold is None else {**found, "hold": hold}

    def _hold(self, method: str, path: str, body: Any) -> Answer:
        if path == "/holds":
            self.last_hold += 1
            ttl = body["ttlMs"] / 1000
            self.holds[self.last_hold] = (now() + ttl, ttl)
            return 200, {"hold": self.last_hold}
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            ttl = self.holds[hold][1]
            self.holds[hold] = (now() + ttl, ttl)
        return 200, {"hold": hold}

    def _scan(self, query: dict[str, str]) -> Answer:
        under, after = query.get("under", ""), query.get("from", "")
        names = sorted(k for k in self.keys if k.startswith(under) and k > after)
        entries: list[dict[str, Any]] = []
        size = 0
        for name in names[: min(int(query.get("most", "1000")), 1000)]:
            value, stamp, _ = self.keys[name]
            size += _size(value) + len(name) + 60
            if size > 512 * 1024:
                break
            entries.append({"path": name, "value": value, "stamp": stamp})
        more = len(entries) < len(names)
        return 200, {"entries": entries, "truncated": more, "epoch": self.epoch}

    def _commit(self, body: Any) -> Answer:
        guards, changes = body.get("guards", []), body.get("apply", [])
        too_large = any(_size(c["value"]) > self.value_bytes for c in changes if "set" in c)
        if (
            too_large
            or len(changes) > self.txn_ops
            or len(guards) > 4 * self.txn_ops
            or _size(body) > 64 * 1024
        ):
            return 400, {"error": "too large"}
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        if any(c.get("hold") is not None and c["hold"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (0, 0, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self._apply(changes)
        return 200, {"epoch": self.epoch}

    async def _watch(self, node: int, query: dict[str, str]) -> Answer:
        if self.outage or node in self.refused:
            return 503, {"error": "unavailable"}
        under, since = query.get("under", ""), int(query["from"])
        deadline = now() + int(query.get("holdMs", "0")) / 1000
        while True:
            wait_s = 1.0
            if not self.outage and node not in self.refused:
                if len(self.log) >= 10_000 and since < self.log[0][0] - 1:
                    return 410, {"error": "too old"}
                found = []
                for epoch, event in reversed(self.log):
                    if epoch <= since:
                        break
                    if (event.get("set") or event["delete"]).startswith(under):
                        found.append(event)
                if found or now() >= deadline:
                    return 200, {"epoch": self.epoch, "log": found[::-1]}
                wait_s = max(0.0, deadline - now())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s + 0.001):
                    await self.changed.wait()


# -- cloud ---------------------------------------------------------------------------------------


class Cloud:
    """The cloud: rents machines, up to a capacity for each type, zone and kind."""

    def __init__(self, types: list[dict[str, Any]], limits: dict[str, Any]) -> None:
        self.types, self.lag_s = types, limits["list_lag_s"]
        self.requests = Bucket(limits["rps"], burst_s=2.0)
        self.capacity: dict[Kind, int] = {}
        self.hires: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.gone: dict[str, tuple[dict[str, Any], float]] = {}
        """Machines that are gone, and when they went: the list shows them for its lag."""
        self.on_rented: Callable[[dict[str, Any]], None] = lambda _: None
        self.on_released: Callable[[str], None] = lambda _: None
        self.count = 0
        self.server = Server(self._handle)

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        await asyncio.sleep(0.03)
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/catalog":
            return 200, {"builds": self.types}
        if path == "/hosts/release":
            for name in body["kilns"]:
                if name in self.machines:
                    self.gone[name] = self.machines.pop(name), now()
                    self.on_released(name)
            return 200, {}
        if method == "POST":
            return self._rent(body)
        as_of = now() - self.lag_s
        known = self.machines | {name: m for name, (m, at) in self.gone.items() if at > as_of}
        listed = [
            {**{k: v for k, v in m.items() if k != "at"}, "ageS": as_of - m["at"]}
            for name, m in sorted(known.items())
            if m["at"] <= as_of and name > query.get("from", "")
        ]
        most = min(500, int(query.get("most", "500")))
        return 200, {"kilns": listed[:most], "truncated": len(listed) > most}

    def _rent(self, body: Any) -> Answer:
        if body["hire"] in self.hires:
            return 200, {"kilns": self.hires[body["hire"]]}
        kind = (body["build"], body["hall"], body["loaners"])
        live = sum((m["build"], m["hall"], m["loaners"]) == kind for m in self.machines.values())
        count = min(body["howMany"], 50, self.capacity.get(kind, 0) - live)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            self.count += 1
            name = f"m-{self.count:06d}"
            names.append(name)
            self.machines[name] = {
                "id": name,
                "addr": "",
                "build": kind[0],
                "hall": kind[1],
                "loaners": kind[2],
                "status": "starting",
                "at": now(),
            }
            self.on_rented(self.machines[name])
        self.hires[body["hire"]] = names
        return 200, {"kilns": names}


# -- workers ---------------------------------------------------------------------------------------


class Worker:
    """The worker of one machine."""

    def __init__(
        self, site: Site, machine: dict[str, Any], shape: dict[str, Any], first_node: int
    ) -> None:
        self.site, self.machine, self.shape = site, machine, shape
        self.name = machine["id"]
        self.nodes = list(site.clients)
        self.at_node = first_node
        self.shift, self.tick, self.baton = 1, 0, 0
        self.began = now()
        self.answered_at: float | None = None
        self.token_change_at = 0.0
        """When a higher token last counted as a change."""
        self.pieces: dict[tuple[str, int], dict[str, Any]] = {}
        self.timers: dict[tuple[str, int], asyncio.TimerHandle] = {}
        self.images: set[str] = set()
        self.change = asyncio.Event()
        self.server = Server(self._handle)
        self.connection: Connection | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.statuses: dict[int, int] = {}
        """Number of reports by the status of their answer; 0 for no answer."""
        self.report_bytes = 0
        self.largest_report = 0

    async def start(self) -> None:
        await self.server.start()
        self.machine["addr"], self.machine["status"] = self.server.address, "running"
        self.began = now()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run()), loop.create_task(self._watch_lease())]

    def stop(self, why: str) -> None:
        for task in self.tasks:
            task.cancel()
        self._drop_all(why)
        self.server.close()
        if self.connection is not None:
            self.connection.close()

    def free(self, field: str) -> float:
        used = sum(
            self.site.specs[key[0].partition("/")[0]][field]
            for key, piece in self.pieces.items()
            if piece["status"] != "ended"
        )
        return float(self.shape[field] - used)

    def _drop_all(self, why: str) -> None:
        for key in list(self.pieces):
            self._leave(key, why)
        self.pieces.clear()

    def _leave(self, key: tuple[str, int], why: str) -> None:
        timer = self.timers.pop(key, None)
        if timer is not None:
            timer.cancel()
        if self.pieces[key]["status"] == "running":
            self.site.log("off", machine=self.name, piece=key[0], attempt=key[1], why=why)

    async def _watch_lease(self) -> None:
        lease_s = self.site.params["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.02)
            since = self.answered_at if self.answered_at is not None else self.began
            if now() - since > lease_s:
                held = sum(piece["status"] != "ended" for piece in self.pieces.values())
                self._drop_all("lease")
                self.shift += 1
                self.began, self.answered_at = now(), None
                self.site.log("lease ended", machine=self.name, shift=self.shift, tasks_lost=held)
                self.change.set()

    def report(self) -> dict[str, Any]:
        self.tick += 1
        return {
            "kiln": self.name,
            "addr": self.server.address,
            "build": self.machine["build"],
            "hall": self.machine["hall"],
            "loaners": self.machine["loaners"],
            "shift": self.shift,
            "tick": self.tick,
            "baton": self.baton,
            "warningS": None,
            "pieces": list(self.pieces.values()),
        }

    async def _run(self) -> None:
        report_s = self.site.params["workers"]["report_s"]
        last = 0.0
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, last + report_s - now())):
                    await self.change.wait()
            await asyncio.sleep(max(0.0, last + 0.5 - now()))
            self.change.clear()
            last = now()
            await self._send()

    async def _send(self) -> None:
        node = self.nodes[self.at_node]
        if self.connection is None or self.connection.address != self.site.clients[node]:
            if self.connection is not None:
                self.connection.close()
            self.connection = Connection(self.site.clients[node])
        report = self.report()
        shift, sent = self.shift, now()
        self.report_bytes = _size(report)
        self.largest_report = max(self.largest_report, self.report_bytes)
        body: Any = None
        try:
            status, body = await self.connection.request("POST", "/agent/beat", report, 4.0)
        except NoAnswerError:
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            if shift == self.shift and body.get("baton", -1) >= self.baton:
                if body["baton"] > self.baton:
                    self.baton = body["baton"]
                    if now() - self.token_change_at > self.site.params["workers"]["lease_s"] / 2:
                        self.token_change_at = now()
                        self.change.set()
                self.answered_at = sent
                self._execute(body["orders"])
            return
        if status not in (0, 421, 503):
            self.site.log(
                "report refused",
                machine=self.name,
                node=node,
                status=status,
                bytes=self.report_bytes,
                body=body,
            )
        self.connection.close()
        if status == 421 and body.get("foreman") in self.nodes and body["foreman"] != node:
            self.at_node = self.nodes.index(body["foreman"])
        else:
            await asyncio.sleep(1.0)
            self.at_node = (self.at_node + 1) % len(self.nodes)
        self.change.set()

    async def _handle(self, _: str, path: str, __: dict[str, str], body: Any) -> Answer:
        if path == "/status":
            return 200, self.report()
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "missing"}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.baton = body["baton"]
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            piece = self.pieces.get(key)
            if order["verb"] == "run":
                if piece is None:
                    self._start(key)
            elif piece is not None and order["verb"] == "halt" and piece["status"] != "ended":
                self._leave(key, "halt")
                piece.update(status="ended", cause="stopped")
                self.change.set()
            elif piece is not None and order["verb"] == "clear" and piece["status"] == "ended":
                del self.pieces[key]
                self.change.set()

    def _start(self, key: tuple[str, int]) -> None:
        spec = self.site.specs.get(key[0].partition("/")[0])
        is_elsewhere = any(
            other[0] == key[0] and piece["status"] != "ended"
            for other, piece in self.pieces.items()
        )
        piece = self.pieces[key] = {"piece": key[0], "try": key[1], "status": "ended"}
        self.change.set()
        if spec is None or is_elsewhere:
            piece["cause"] = "no_such" if spec is None else "in_use"
        elif any(self.free(name) + 1e-6 < spec[name] for name in ("vcpus", "gpus", "memoryGb")):
            piece["cause"] = "no_room"
        else:
            piece["status"] = "pulling"
            fetch_s = spec["sizeGb"] / self.shape["fetchGbPerS"]
            if spec["bundle"] in self.images:
                fetch_s = 0.0
            loop = asyncio.get_running_loop()
            self.timers[key] = loop.call_later(fetch_s, self._begin, key, spec)
            return
        self.site.log(
            "refused", machine=self.name, piece=key[0], attempt=key[1], why=piece["cause"]
        )

    def _begin(self, key: tuple[str, int], spec: dict[str, Any]) -> None:
        self.images.add(spec["bundle"])
        self.site.log("on", machine=self.name, piece=key[0], attempt=key[1], shift=self.shift)
        self.pieces[key]["status"] = "running"
        self.change.set()
        if spec["shape"] != "standing":
            run_s = 0.0 if key[0] in self.site.done else self.site.run_s(spec)
            loop = asyncio.get_running_loop()
            self.timers[key] = loop.call_later(run_s, self._end, key)

    def _end(self, key: tuple[str, int]) -> None:
        self._leave(key, "done")
        self.pieces[key].update(status="ended", cause="done")
        self.site.done.add(key[0])
        self.change.set()


# -- controllers, users and the whole deployment ---------------------------------------------------


_held_ports: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return free ports below those that outgoing connections use.

    A socket that does not listen keeps each of them for this run until its end. It hinders no
    controller, which sets `SO_REUSEADDR`, but every run that looks for free ports meanwhile.
    """
    ports: list[int] = []
    while len(ports) < count:
        holder = socket.socket()
        try:
            holder.bind((LOOPBACK, random.SystemRandom().randrange(15_000, 32_000)))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _held_ports.append(holder)
        ports.append(holder.getsockname()[1])
    return ports


class Controller:
    """A controller process, started with the command of the deploy file."""

    def __init__(self, settings: dict[str, Any], folder: Path) -> None:
        self.name: str = settings["host_name"]
        self._folder = folder
        self._settings_path = folder / f"{self.name}.json"
        self._settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run.split(),
                str(self._settings_path),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        with (self._folder / "pids").open("a") as pids:
            pids.write(f"{self.process.pid}\n")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def keep_to_share(self, share: float) -> None:
        """Give the process its share of one core, as the platform does.

        It may run ahead of its share by `_BURST_S` of processor time; past that it is stopped until
        its share has caught up. A process within its share is never stopped.
        """
        assert self.process is not None
        path = Path(f"/proc/{self.process.pid}/schedstat")
        budget, at, used = _BURST_S, now(), self._used_s(path)
        is_stopped = False
        while self.process.returncode is None:
            await asyncio.sleep(0.01)
            budget += share * (now() - at) - (self._used_s(path) - used)
            at, used = now(), self._used_s(path)
            budget = min(budget, _BURST_S)
            if (budget < 0) != is_stopped:
                is_stopped = budget < 0
                self.signal(signal.SIGSTOP if is_stopped else signal.SIGCONT)

    @staticmethod
    def _used_s(path: Path) -> float:
        try:
            return int(path.read_text().split()[0]) / 1e9
        except (OSError, IndexError):
            return 0.0


_BURST_S = 0.1


class Site:
    """A small deployment: controllers, services, machines and users."""

    def __init__(
        self,
        folder: Path,
        record: Path,
        params: dict[str, Any],
        types: list[dict[str, Any]],
        nodes: dict[str, str],
    ) -> None:
        self.folder, self.params, self.types = folder, params, types
        self.zone_by_node = nodes
        self.began = now()
        self._record = record.open("w")
        self.state = State(params["state"])
        self.cloud = Cloud(types, params["cloud"])
        self.specs: dict[str, dict[str, Any]] = {}
        self.accepted_at: dict[str, float] = {}
        self.events: list[dict[str, Any]] = []
        self.workers: dict[str, Worker] = {}
        self.done: set[str] = set()
        self.controllers: dict[str, Controller] = {}
        self.clients: dict[str, str] = {}
        self.run_s: Callable[[dict[str, Any]], float] = lambda spec: float(spec["guessS"])
        self.boot_s = 1.5
        self.keeps_shares = False
        """Each controller gets no more than its share of a core."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def at(self) -> float:
        return round(now() - self.began, 2)

    def log(self, event: str, **fields: Any) -> None:
        entry = {"at": self.at(), "event": event, **fields}
        self.events.append(entry)
        self._record.write(json.dumps(entry) + "\n")
        self._record.flush()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        names = list(self.zone_by_node)
        await self.state.start(len(names))
        await self.cloud.server.start()
        self.cloud.on_rented, self.cloud.on_released = self._rented, self._released
        ports = free_ports(2 * len(names))
        self.clients = {name: f"{LOOPBACK}:{ports[i]}" for i, name in enumerate(names)}
        peers = {name: f"{LOOPBACK}:{ports[len(names) + i]}" for i, name in enumerate(names)}
        for number, name in enumerate(names):
            settings = {
                "host_name": name,
                "zone": self.zone_by_node[name],
                "client_listen": self.clients[name],
                "cluster_listen": peers[name],
                "members": [
                    {
                        "host_name": n,
                        "zone": self.zone_by_node[n],
                        "peer_addr": peers[n],
                    }
                    for n in names
                    if n != name
                ],
                "services": {
                    "cloud": self.cloud.server.address,
                    "state": self.state.servers[number].address,
                },
                "params": self.params,
            }
            self.controllers[name] = Controller(settings, self.folder)
        for controller in self.controllers.values():
            await controller.start()
            if self.keeps_shares:
                share = self.params["quota"]["cpu_share"]
                self.spawn(controller.keep_to_share(share))

    async def wait_until_up(self, within_s: float = 20.0) -> None:
        """Return once every controller says that it is healthy."""
        until = now() + within_s
        for name, controller in self.controllers.items():
            assert controller.process is not None
            while True:
                if controller.process.returncode is not None or now() > until:
                    raise RuntimeError(f"controller {name} did not start")
                with contextlib.suppress(NoAnswerError):
                    if (await Connection(self.clients[name]).request("GET", "/up"))[0] == 200:
                        break
                await asyncio.sleep(0.1)

    def _rented(self, machine: dict[str, Any]) -> None:
        self.log("rented", machine=machine["id"], build=machine["build"], hall=machine["hall"])
        self.spawn(self._boot(machine))

    async def _boot(self, machine: dict[str, Any]) -> None:
        await asyncio.sleep(self.boot_s)
        if machine["id"] in self.cloud.machines:
            shape = next(t for t in self.types if t["label"] == machine["build"])
            worker = Worker(self, machine, shape, len(self.workers) % len(self.clients))
            self.workers[machine["id"]] = worker
            await worker.start()

    def _released(self, name: str) -> None:
        self.log("released", machine=name)
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop("released")

    @property
    def term(self) -> int:
        entry = self.state.keys.get("term")
        return int(entry[0]) if entry is not None else 0

    async def ask(
        self, method: str, path: str, body: Any, node: int, timeout_s: float
    ) -> tuple[int, Any]:
        """Send one request of a user; status 0 if there is no answer."""
        name = list(self.clients)[node % len(self.clients)]
        connection = Connection(self.clients[name])
        sent = now()
        try:
            status, answer = await connection.request(method, path, body, timeout_s)
        except NoAnswerError as error:
            status, answer = 0, str(error)
        connection.close()
        took = round(now() - sent, 2)
        self.log(
            "user", node=name, request=f"{method} {path}", status=status, answer=answer, took_s=took
        )
        return status, answer

    async def submit(self, spec: dict[str, Any], node: int) -> int:
        """Submit a job as the page says, for up to 60 s; return the last status."""
        self.specs[spec["id"]] = spec
        self.log("submits", job=spec)
        until = now() + 60.0
        status = 0
        while now() < until:
            status, _ = await self.ask("POST", "/v2/runs", spec, node, 5.0)
            if status in (200, 201):
                self.accepted_at[spec["id"]] = now()
                return status
            if status in (400, 422):
                return status
            await asyncio.sleep(1.0)
            node += 1
        return status

    async def poll(self, job: str, node: int) -> dict[str, Any] | None:
        """Ask for a job's state once; None without an answer."""
        status, answer = await self.ask("GET", f"/v2/runs/{job}", None, node, 2.0)
        return answer if status == 200 else None

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for controller in self.controllers.values():
            controller.signal(signal.SIGCONT)
            await controller.kill()
        (self.folder / "pids").unlink(missing_ok=True)
        for worker in self.workers.values():
            worker.stop("end of the test")
        self.cloud.server.close()
        self.state.close()
        self._record.close()


def run(main: Callable[[Path, bool], Awaitable[int]]) -> None:
    """Run a case: its folder for temporary files is the only argument; exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        code = asyncio.run(main(Path(sys.argv[1]), trouble))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
    sys.exit(code)


# -- the small deployment of kit/sites/kibblekita-shahalam.toml ------------------------------------

KIBBLE_NODES = {"kiln-0": "penang", "kiln-1": "cyberjaya", "kiln-2": "shahalam"}
KIBBLE_TYPES: list[dict[str, Any]] = [
    {
        "label": "rakit-16",
        "vcpus": 16,
        "gpus": 0,
        "memoryGb": 64,
        "localGb": 50,
        "fetchGbPerS": 1.0,
        "price": 0.97,
        "marketPrice": 0.38,
        "startupS": 30,
        "halls": ["cyberjaya", "shahalam"],
    },
    {
        "label": "gudang-64",
        "vcpus": 64,
        "gpus": 0,
        "memoryGb": 128,
        "localGb": 70,
        "fetchGbPerS": 0.4,
        "price": 3.67,
        "marketPrice": 1.36,
        "startupS": 20,
        "halls": ["cyberjaya", "shahalam"],
    },
]
KIBBLE_CAPACITY: dict[Kind, int] = {
    ("rakit-16", "cyberjaya", False): 6,
    ("rakit-16", "cyberjaya", True): 11,
    ("rakit-16", "shahalam", False): 6,
    ("rakit-16", "shahalam", True): 10,
    ("gudang-64", "cyberjaya", False): 4,
    ("gudang-64", "cyberjaya", True): 4,
    ("gudang-64", "shahalam", False): 3,
    ("gudang-64", "shahalam", True): 4,
}


def kibble_params() -> dict[str, Any]:
    no_quota = {"cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
    return {
        "count": 3,
        "zones": ["penang", "cyberjaya", "shahalam"],
        "teams": [
            {"name": "fulfilment", **no_quota},
            {"name": "petcare-analytics", **no_quota},
        ],
        "objectives": [],
        "workers": {
            "report_s": 1.5,
            "lease_s": 12.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 4.0,
            "cancel_s": 32.0,
        },
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 8},
        "cloud": {"rps": 2.0, "list_lag_s": 10.0},
        "quota": {"cpu_share": 0.54, "ram_mb": 146.0, "fd_limit": 1000},
        "clock_off_ms": 5.0,
    }


# -- the small deployment of kit/sites/betufolyam-budapest.toml ------------------------------------

BUDAPEST_NODES = {"kiln-0": "csepel", "kiln-1": "obuda", "kiln-2": "csepel"}
BUDAPEST_TYPES: list[dict[str, Any]] = [
    {
        "label": "szedo-32",
        "vcpus": 32,
        "gpus": 0,
        "memoryGb": 128,
        "localGb": 50,
        "fetchGbPerS": 0.5,
        "price": 1.73,
        "marketPrice": 0.63,
        "startupS": 35,
        "halls": ["csepel", "obuda"],
    }
]
BUDAPEST_CAPACITY: dict[Kind, int] = {
    ("szedo-32", "csepel", False): 5,
    ("szedo-32", "csepel", True): 12,
    ("szedo-32", "obuda", False): 4,
    ("szedo-32", "obuda", True): 11,
}


def budapest_params() -> dict[str, Any]:
    no_quota = {"cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
    return {
        "count": 3,
        "zones": ["csepel", "obuda"],
        "teams": [{"name": "foundry", **no_quota, "cpus": 160.0}, {"name": "typo-lab", **no_quota}],
        "objectives": [],
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


def hotfix(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission like a `glyph-hotfix` of the site file."""
    return job(
        number,
        **{
            "lineup": "glyph-hotfix",
            "crew": "foundry",
            "pieces": 5,
            "memoryGb": 3.8,
            "sizeGb": 1.2,
            **fields,
        },
    )


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission; without `fields` it is like a `diet-recalc` of the site file."""
    return {
        "id": f"wk-{number:06d}",
        "lineup": "diet-recalc",
        "crew": "fulfilment",
        "shape": "sweep",
        "urgency": "urgent",
        "pieces": 13,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memoryGb": 1.8,
        "bundle": "img-01",
        "sizeGb": 0.4,
        "builds": None,
        "hall": None,
        "samePlace": False,
        "scatter": False,
        "loaners": True,
        "guessS": 18.0,
        "snapshotS": 0.0,
        "flushS": 0.0,
        "dueS": None,
        **fields,
    }
