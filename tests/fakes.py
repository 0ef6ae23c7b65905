"""Fakes of the state service, the cloud and the workers, for tests on the loopback interface.

They implement the protocol in memory and run on the event loop of the controller under test.
"""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Callable
from typing import Any

import orjson
from tornado import httpserver, netutil, web

_PAGE_BYTES = 512 * 1024
_MAX_LOG_ENTRIES = 10_000
"""Number of past changes that a watch can return."""


class _Handler(web.RequestHandler):
    def initialize(self, service: Any) -> None:
        self.service = service

    def prepare(self) -> None:
        self.service.calls += 1

    def body(self) -> Any:
        return orjson.loads(self.request.body)

    def answer(self, status: int, body: Any) -> None:
        self.set_status(status)
        self.finish(orjson.dumps(body))


class FakeService:
    """Base class: an HTTP server on a free port of the loopback interface."""

    routes: tuple[tuple[str, type[_Handler]], ...] = ()

    def __init__(self) -> None:
        self.calls = 0
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        rules: list[Any] = [(path, handler, {"service": self}) for path, handler in self.routes]
        self._server = httpserver.HTTPServer(web.Application(rules, log_function=lambda _: None))
        self._server.add_sockets(sockets)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"


class _Key(_Handler):
    def get(self, key: str) -> None:
        if self.service.down:
            return self.answer(503, {})
        entry = self.service.keys.get(key)
        if entry is None:
            return self.answer(404, {"epoch": self.service.epoch})
        return self.answer(200, {"value": entry[0], "stamp": entry[1]})


class _Scan(_Handler):
    def get(self) -> None:
        if self.service.down:
            return self.answer(503, {})
        under, after = self.get_argument("under"), self.get_argument("from", "")
        limit = min(int(self.get_argument("most", "1000")), 1000)
        matching_keys = sorted(k for k in self.service.keys if k.startswith(under) and k > after)
        entries: list[Any] = []
        size = 0
        for key in matching_keys[:limit]:
            value, mod_revision = self.service.keys[key]
            entries.append({"path": key, "value": value, "stamp": mod_revision})
            size += len(orjson.dumps(entries[-1]))
            if size > _PAGE_BYTES:
                break
        truncated = len(entries) < len(matching_keys)
        return self.answer(
            200, {"entries": entries, "truncated": truncated, "epoch": self.service.epoch}
        )


class _Commit(_Handler):
    def post(self) -> None:
        state: FakeStateService = self.service
        if state.down:
            return self.answer(503, {})
        message = self.body()
        failed = [
            g["path"]
            for g in message["guards"]
            if state.keys.get(g["path"], (None, 0))[1] != g["stamp"]
        ]
        if failed:
            return self.answer(409, {"failed": failed, "epoch": state.epoch})
        state.commits += 1
        if state.crash_at == (state.commits, "before"):
            state.crash()
            self.detach().close()
            return None
        state.apply(message["apply"])
        if state.crash_at == (state.commits, "after"):
            state.crash()
            self.detach().close()
            return None
        if state.responses_to_drop > 0:
            state.responses_to_drop -= 1
            self.detach().close()
            return None
        return self.answer(200, {"epoch": state.epoch})


class _Leases(_Handler):
    def post(self) -> None:
        if self.service.down:
            return self.answer(503, {})
        self.service.leases += 1
        return self.answer(200, {"hold": self.service.leases})


class _ExtendLease(_Handler):
    def post(self, _: str) -> None:
        return self.answer(503 if self.service.down else 200, {})


class _Watch(_Handler):
    async def get(self) -> None:
        under, since = self.get_argument("under"), int(self.get_argument("from"))
        state: FakeStateService = self.service
        deadline = asyncio.get_running_loop().time() + int(self.get_argument("holdMs")) / 1000
        while True:
            first = state.log[0][0] if state.log else 0
            if len(state.log) >= _MAX_LOG_ENTRIES and since < first - 1:
                return self.answer(410, {})
            at = bisect.bisect_right(state.log, since, key=lambda entry: entry[0])
            events = [
                {"set": key, "value": value, "stamp": epoch}
                if value is not None
                else {"delete": key, "stamp": epoch}
                for epoch, key, value in state.log[at:]
                if key.startswith(under)
            ]
            if events or asyncio.get_running_loop().time() >= deadline:
                return self.answer(200, {"epoch": state.epoch, "log": events})
            await asyncio.sleep(0.01)


class FakeStateService(FakeService):
    """Fake state service, whose leases never expire."""

    routes = (
        (r"/kv/(.+)", _Key),
        (r"/kv", _Scan),
        (r"/commit", _Commit),
        (r"/holds", _Leases),
        (r"/holds/(\d+)/extend", _ExtendLease),
        (r"/watch", _Watch),
    )

    def __init__(self) -> None:
        super().__init__()
        self.keys: dict[str, tuple[Any, int]] = {}
        self.log: list[tuple[int, str, Any]] = []
        self.epoch = 0
        self.leases = 0
        self.down = False
        self.responses_to_drop = 0
        """Number of the next transactions that are executed but whose responses are dropped."""
        self.commits = 0
        self.changes = 0
        self.crash_at: tuple[int, str] | None = None
        """The transaction, counted from 1, and whether `crash` is called 'before' or 'after' it."""
        self.crash: Callable[[], None] = lambda: None

    def apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.epoch)
                self.log.append((self.epoch, change["set"], change["value"]))
            else:
                self.keys.pop(change["delete"], None)
                self.log.append((self.epoch, change["delete"], None))
        self.changes += len(changes)
        if len(self.log) > 2 * _MAX_LOG_ENTRIES:
            del self.log[:-_MAX_LOG_ENTRIES]


class _Catalogue(_Handler):
    def get(self) -> None:
        build = {
            "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50,
            "fetchGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": 20,
            "halls": ["north"],
        }  # fmt: skip
        self.answer(200, {"builds": [build]})


class _Machines(_Handler):
    def get(self) -> None:
        self.answer(200, {"kilns": list(self.service.machines.values()), "truncated": False})

    def post(self) -> None:
        message = self.body()
        names = []
        available = max(0, self.service.max_rented - self.service.rented)
        if available == 0:
            return self.answer(503, {"error": "no capacity"})
        for _ in range(min(message["howMany"], available)):
            self.service.rented += 1
            name = f"m-{self.service.rented:06d}"
            self.service.machines[name] = {
                "id": name, "addr": "", "build": message["build"], "hall": message["hall"],
                "loaners": message["loaners"], "status": "starting", "ageS": 0.0,
            }  # fmt: skip
            names.append(name)
            self.service.on_rented(name)
        return self.answer(200, {"kilns": names})


class _Release(_Handler):
    def post(self) -> None:
        for name in self.body()["kilns"]:
            self.service.machines.pop(name, None)
            self.service.on_released(name)
        self.answer(200, {})


class FakeCloud(FakeService):
    """Fake cloud, which offers one machine type and rents out at most `max_rented` machines."""

    routes = ((r"/catalog", _Catalogue), (r"/hosts/release", _Release), (r"/hosts", _Machines))

    def __init__(self) -> None:
        super().__init__()
        self.machines: dict[str, dict[str, Any]] = {}
        self.rented = 0
        self.max_rented = 1000
        """Limit of the total number of machines rented."""
        self.on_rented: Callable[[str], None] = lambda _: None
        self.on_released: Callable[[str], None] = lambda _: None


class _Commands(_Handler):
    def post(self) -> None:
        worker: FakeWorker = self.service
        message = self.body()
        refused = message["baton"] < worker.token or message["shift"] != 1
        if not refused:
            worker.execute(message["orders"])
        self.answer(409 if refused else 200, worker.heartbeat())


class FakeWorker(FakeService):
    """Fake worker of one machine, whose tasks run until the test ends them."""

    routes = ((r"/orders", _Commands),)

    def __init__(self, name: str, spot: bool = True) -> None:
        super().__init__()
        self.name = name
        self.spot = spot
        self.token = 0
        self.sequence = 0
        self.tasks: dict[str, dict[str, Any]] = {}

    def heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        return {
            "kiln": self.name, "addr": self.address, "build": "big", "hall": "north",
            "loaners": self.spot, "shift": 1, "tick": self.sequence, "baton": self.token,
            "warningS": None, "pieces": list(self.tasks.values()),
        }  # fmt: skip

    def execute(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            name, attempt = command["piece"], command["try"]
            if command["verb"] == "run":
                self.tasks.setdefault(name, {"piece": name, "try": attempt, "status": "running"})
            elif command["verb"] == "halt" and name in self.tasks:
                self.end(name, "stopped")
            elif command["verb"] == "clear":
                self.tasks.pop(name, None)

    def end(self, name: str, why: str) -> None:
        self.tasks[name].update(status="ended", cause=why)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, which jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 0.0
        self.callbacks_run = 0

    def time(self) -> float:
        return self.at

    def _run_once(self) -> None:
        scheduled = self._scheduled  # type: ignore[attr-defined]
        if not self._ready and scheduled:  # type: ignore[attr-defined]
            self.at = max(self.at, scheduled[0].when())
        self.callbacks_run += len(self._ready)  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]
