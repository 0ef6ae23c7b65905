"""One simulated day: the nodes, what is between them, the users, the troubles and the rules."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import math
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any, Final
from unittest import mock

import orjson

from tealrill import http, settings, wire
from tealrill.api.relay import PEER_PREFIX
from tealrill.controller import Node
from tealrill.fleet import prober
from tealrill.fleet.catalogue import CATALOGUE_PATH
from tealrill.http import Answer, NoAnswer
from tealrill.lab.clock import Loop, simulated
from tealrill.lab.outside import Cloud, Description, Machine, NoReply, Reply, State, Worker
from tealrill.settings import Address, Settings
from tealrill.state.intake import Reply as UserReply
from tealrill.state.truce import PING_PATH, TRUCE_PATH, Request
from tealrill.types import MachineId

_PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")
_STATE, _CLOUD = "state", "cloud"
_KNOWN_S: Final = 75.0
"""So long after the last trouble every job must have had an answer."""
_PATIENCE_S: Final = 5.0


@dataclass
class Process:
    """One process of a controller; all its tasks end with it."""

    name: str
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    """In the order in which they began: by that of a set, the same seed gave other days."""


def _task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """A task, counted among those of the process that began it."""
    found = asyncio.Task(work, loop=loop, context=context)
    process = context.get(_PROCESS) if context is not None else _PROCESS.get(None)
    if process is not None:
        process.tasks[found] = None
        found.add_done_callback(lambda task: process.tasks.pop(task, None))
    return found


@dataclass(frozen=True)
class Shape:
    """A deployment."""

    nodes: int = 3
    machines: int = 8
    report_s: float = 1.0
    lease_s: float = 8.0
    cancel_s: float = 28.0
    limit_vcpus: float = 40.0

    def settings(self, number: int) -> Settings:
        hosts = [f"host-{n}" for n in range(self.nodes)]
        values = {
            "host_name": hosts[number],
            "zone": _zone(number),
            "client_listen": f"10.0.0.{number + 1}:8080",
            "cluster_listen": f"10.0.0.{number + 1}:8081",
            "members": [
                {"host_name": h, "zone": _zone(n), "peer_addr": f"10.0.0.{n + 1}:8081"}
                for n, h in enumerate(hosts)
                if n != number
            ],
            "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "params": {
                "count": self.nodes,
                "zones": ["north", "south"],
                "teams": [{"name": "blue", "cpus_max": self.limit_vcpus}],
                "workers": {
                    "report_s": self.report_s, "lease_s": self.lease_s, "cancel_s": self.cancel_s,
                },
                "state": {"rps": 900.0, "write_rps": 150.0, "value_kb": 8.0, "txn_ops": 16},
                "cloud": {"rps": 20.0, "list_lag_s": 4.0},
                "quota": {"cpu_share": 1.0, "ram_mb": 400.0, "fd_limit": 800},
            },
        }  # fmt: skip
        return settings.parse(orjson.dumps(values))


def _zone(number: int) -> str:
    return ("north", "south")[number % 2]


class _Silent(Node):
    """A node that is spoken to by the lab and not by sockets."""

    def _listen(self) -> None:
        return


@dataclass
class Host:
    """A controller's machine and its process."""

    name: str
    node: _Silent | None = None
    process: Process | None = None
    context: contextvars.Context = field(default_factory=contextvars.copy_context)


@dataclass
class UserJob:
    """A job as its user knows it."""

    id: str
    body: dict[str, Any]
    accepted: bool = False
    cancel_at: float | None = None
    asked_to_cancel: bool = False
    cancelled_at: float | None = None
    """When its user was first told that it is cancelled."""
    done: bool = False
    answered_at: float = 0.0


class World:
    """Everything of one day; broken rules are in `broken`."""

    def __init__(self, loop: Loop, rng: random.Random, shape: Shape) -> None:
        self.loop, self.rng, self.shape = loop, rng, shape
        self.state = State(rng, self.now)
        self.cloud = Cloud(rng, self.now, shape.machines)
        self.cloud.booted, self.cloud.taken = self._rented, self._taken
        self.hosts = {f"host-{n}": Host(f"host-{n}") for n in range(shape.nodes)}
        self.workers: dict[str, Worker] = {}
        self.by_address: dict[str, str] = {}
        self.cut: set[frozenset[str]] = set()
        """Links that lose everything; "workers" stands for all machines."""
        self.deaf: set[str] = set()
        self.copies = 0.0
        """Share of reports of which a copy arrives again."""
        self.held_s = 0.0
        """Commands and their answers are held up by up to so long."""
        self.descriptions: dict[str, Description] = {}
        self.results: set[str] = set()
        self.jobs: dict[str, UserJob] = {}
        self.broken: list[str] = []
        self.breached: Callable[[], object] = lambda: None
        self.events: list[str] = []
        self.calm_since = math.inf
        """When the last trouble ended."""
        self.starts = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = contextvars.copy_context()
        """The world's own, in which no process runs."""
        loop.set_task_factory(_task)  # type: ignore[arg-type]

    def now(self) -> float:
        return self.loop.passed

    def note(self, text: str) -> None:
        self.events.append(f"{self.now():9.3f} {text}")

    def breach(self, rule: str, text: str) -> None:
        self.broken.append(f"{self.now():.3f} {rule}: {text}")
        self.breached()

    def begin(self, work: Coroutine[Any, Any, Any], context: Any = None) -> asyncio.Task[Any]:
        task = self.loop.create_task(work, context=context or self._context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # -- the network ------------------------------------------------------------------------------

    def _place(self, address: Address) -> str:
        if address.host == "10.2.0.1":
            return _STATE
        if address.host == "10.2.0.2":
            return _CLOUD
        if address.host.startswith("10.0.0."):
            return f"host-{int(address.host.rpartition('.')[2]) - 1}"
        return self.by_address[f"{address.host}:{address.port}"]

    def apart(self, one: str, other: str) -> bool:
        pair = frozenset("workers" if name.startswith("m-") else name for name in (one, other))
        return pair in self.cut

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        check: Callable[[], None] | None,
    ) -> Answer:
        """One request of a node's, as `http.Client.request` makes it."""
        source, place = _PROCESS.get().name, self._place(address)
        await asyncio.sleep(self.rng.uniform(0.0003, 0.002))
        host = self.hosts.get(place)
        if host is not None and host.node is None:
            raise NoAnswer("refused", False, refused=True)
        if self.apart(source, place) or (place in self.deaf and place.startswith("m-")):
            await asyncio.sleep(timeout_s)
            raise NoAnswer("TimeoutError", self.rng.random() < 0.5, silent=True)
        if check is not None:
            check()
        answered: asyncio.Future[Reply] = self.loop.create_future()
        work = self._deliver(answered, source, place, method, path, body)
        self.begin(work, host.context if host is not None else None)
        try:
            async with asyncio.timeout(timeout_s):
                status, value = await asyncio.shield(answered)
                await asyncio.sleep(self.rng.uniform(0.0003, 0.002))
        except TimeoutError:
            raise NoAnswer("TimeoutError", True, silent=True) from None
        if self.apart(source, place):
            raise NoAnswer("StreamClosedError", True)
        answer = Answer()
        answer.status, answer.body, answer.complete = status, orjson.dumps(value), True
        return answer

    async def _deliver(
        self,
        answered: asyncio.Future[Reply],
        source: str,
        place: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> None:
        held = place.startswith("m-") and self.held_s > 0
        if held and self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, self.held_s))
        try:
            if place == _STATE:
                reply = await self.state(source, method, path, body)
            elif place == _CLOUD:
                reply = await self.cloud(source, method, path, body)
            elif place in self.hosts:
                reply = await self._peer(self.hosts[place], method, path, body)
            else:
                worker = self.workers.get(place)
                if worker is None or worker.machine.gone:
                    return
                reply = await worker(source, method, path, body)
        except NoReply:
            return
        if held and self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, self.held_s))
        if not answered.done():
            answered.set_result(reply)

    async def _peer(self, host: Host, method: str, path: str, body: bytes | None) -> Reply:
        node = host.node
        if node is None:
            raise NoReply
        if path == TRUCE_PATH:
            found = await node._truce.asked(wire.decode(body or b"", Request))
            return 200, orjson.loads(wire.encode(found))
        if path == PING_PATH:
            return 200, orjson.loads(wire.encode(node._truce.presence()))
        if path == CATALOGUE_PATH:
            known = node._catalogues.known
            return (503, {}) if known is None else (200, orjson.loads(wire.encode(known)))
        return _of(await self._ask(node.intake, method, path.removeprefix(PEER_PREFIX), body))

    @staticmethod
    async def _ask(users: Any, method: str, path: str, body: bytes | None) -> UserReply:
        """A user's request, by way of `Intake` or `Relay`."""
        name, _, verb = path.removeprefix(wire.JOBS_PATH).strip("/").partition("/")
        reply: UserReply
        if verb == wire.CANCEL_PATH:
            reply = await users.cancel(name)
        elif method == "POST":
            reply = await users.submit(body or b"")
        else:
            reply = await users.status(name)
        return reply

    # -- processes --------------------------------------------------------------------------------

    def start(self, host: Host) -> None:
        if host.node is not None:
            return
        host.context = contextvars.copy_context()
        host.process = Process(host.name)
        host.context.run(_PROCESS.set, host.process)
        number = int(host.name.removeprefix("host-"))
        host.node = host.context.run(_Silent, self.shape.settings(number))
        task = self.begin(host.node.run(), host.context)
        task.add_done_callback(lambda task: self._ended(host, task))

    def _ended(self, host: Host, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.breach("ended", f"{host.name}: {task.exception()!r}")

    def end(self, host: Host, back_s: float) -> None:
        """The process is killed, and started again after a while."""
        if host.node is None or host.process is None:
            return
        self.note(f"{host.name} ends, back in {back_s:.2f} s")
        host.node = None
        for task in list(host.process.tasks):
            task.cancel()
        self.loop.call_later(back_s, self.start, host, context=self._context)

    def leader(self) -> Host | None:
        """The host that leads by its own belief, the latest term first."""
        leading = [
            (h.node.election.mine.term, h.name)
            for h in self.hosts.values()
            if h.node is not None and h.node.election.mine is not None
        ]
        return self.hosts[max(leading)[1]] if leading else None

    # -- machines ---------------------------------------------------------------------------------

    def _rented(self, machine: Machine) -> None:
        self.by_address[machine.addr] = machine.id
        self.begin(self._work(machine))

    def _taken(self, machine: Machine) -> None:
        worker = self.workers.get(machine.id)
        if worker is not None:
            worker.tasks.clear()

    async def _work(self, machine: Machine) -> None:
        await asyncio.sleep(machine.up_at - self.now())
        if machine.gone:
            return
        worker = Worker(
            machine, self.shape.lease_s, self.now, self.descriptions, self._started, self.results
        )
        self.workers[machine.id] = worker
        self.begin(self._look(worker))
        order = list(self.hosts)
        at = self.rng.randrange(len(order))
        while not machine.gone:
            at = await self._report(worker, order, at)

    async def _look(self, worker: Worker) -> None:
        while not worker.machine.gone:
            worker.tick()
            await asyncio.sleep(0.1)

    async def _report(self, worker: Worker, order: list[str], at: int) -> int:
        """One report and what its answer means; the number of the node for the next."""
        worker.tick()
        message = worker.report()
        session, sent, name = worker.session, self.now(), order[at]
        if self.rng.random() < self.copies:
            self.begin(self._again(message, name))
        reply = await self._reported(worker.machine.id, message, name)
        if reply is None:
            await asyncio.sleep(1.0)
            return (at + 1) % len(order)
        status, answer = reply
        worker.tick()
        if status == 200:
            if worker.session == session and answer.get("baton", -1) >= worker.token:
                newer = answer["baton"] > worker.token
                worker.token = answer["baton"]
                worker.renewed_at = max(worker.renewed_at, sent)
                worker.execute(answer["orders"])
                if newer or answer["orders"]:
                    await asyncio.sleep(0.5)
                    return at
            await asyncio.sleep(self.shape.report_s * self.rng.uniform(0.75, 1.25))
            return at
        foreman = answer.get("foreman")
        if status == 421 and foreman in order and foreman != name:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            return order.index(foreman)
        await asyncio.sleep(1.0)
        return (at + 1) % len(order)

    async def _reported(self, machine: str, message: dict[str, Any], name: str) -> Reply | None:
        """A report's way to a node and back; None after 4 s or a refused connection."""
        await asyncio.sleep(self.rng.uniform(0.0003, 0.002))
        if self.hosts[name].node is None:
            return None
        if self.apart(machine, name):
            await asyncio.sleep(4.0)
            return None
        reply = self._take(message, name)
        if machine in self.deaf or reply is None:
            await asyncio.sleep(4.0)
            return None
        await asyncio.sleep(self.rng.uniform(0.0003, 0.002))
        return reply

    def _take(self, message: dict[str, Any], name: str) -> Reply | None:
        host = self.hosts[name]
        node = host.node
        if node is None:
            return None
        found = wire.decode(orjson.dumps(message), wire.Report)
        return host.context.run(node.take_report, found, MachineId(found.machine))

    async def _again(self, message: dict[str, Any], name: str) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 2.5 * self.shape.lease_s))
        if self.hosts[name].node is not None and not self.apart("workers", name):
            self._take(message, name)

    # -- users ------------------------------------------------------------------------------------

    async def ask(self, method: str, path: str, body: Any, patience_s: float) -> Reply | None:
        """A user's request to a node by chance; None if nothing comes back."""
        host = self.rng.choice(list(self.hosts.values()))
        node = host.node
        if node is None:
            return None
        raw = orjson.dumps(body) if body is not None else None
        task = self.begin(self._ask(node._relay, method, path, raw), host.context)
        done, _ = await asyncio.wait({task}, timeout=patience_s)
        if not done or host.node is not node or task.cancelled() or task.exception() is not None:
            return None
        return _of(task.result())

    async def user(self, job: UserJob) -> None:
        """Submits, polls and perhaps cancels one job, as the protocol has users do."""
        path = f"{wire.JOBS_PATH}/{job.id}"
        until = self.now() + 60.0
        while not job.accepted:
            reply = await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S)
            if reply is not None and reply[0] in (200, 201):
                job.accepted, job.answered_at = True, self.now()
                break
            if self.now() > until:
                return
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
        while job.cancelled_at is None and not job.done:
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))
            if job.cancel_at is not None and self.now() >= job.cancel_at:
                await self._cancel(job, path)
            else:
                self._told(job, await self.ask("GET", path, None, 2.0))
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(5.0, 25.0))
            self._told(job, await self.ask("GET", path, None, 2.0))
            self._told(job, await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S))

    async def _cancel(self, job: UserJob, path: str) -> None:
        job.asked_to_cancel = True
        reply = await self.ask("POST", f"{path}/{wire.CANCEL_PATH}", {}, _PATIENCE_S)
        if reply is not None and reply[0] == 200:
            self._told(job, reply)

    def _told(self, job: UserJob, reply: Reply | None) -> None:
        """What an answer about a job says, held against what was said before."""
        if reply is None or reply[0] >= 500 or reply[0] == 429:
            return
        status, answer = reply
        if status not in (200, 201):
            return self.breach("forgotten", f"{job.id}: status {status}")
        job.answered_at = self.now()
        said = answer["status"]
        if job.done and said != wire.JOB_DONE:
            self.breach("went_back", f"{job.id} was done and is {said}")
        elif job.cancelled_at is not None and said != wire.JOB_CANCELLED:
            self.breach("went_back", f"{job.id} was cancelled and is {said}")
        elif said == wire.JOB_DONE:
            tasks = [f"{job.id}/{n}" for n in range(job.body["pieces"])]
            if not all(name in self.results for name in tasks):
                self.breach("not_done", job.id)
            job.done = True
        elif said == wire.JOB_CANCELLED:
            if not job.asked_to_cancel:
                self.breach("went_back", f"{job.id} is called cancelled")
            if job.cancelled_at is None:
                job.cancelled_at = self.now()

    # -- the rules --------------------------------------------------------------------------------

    def _started(self, worker: Worker, name: str) -> None:
        self.starts += 1
        own = worker.machine
        for other in self.workers.values():
            if other is not worker and not other.machine.gone and name in other.on():
                other.tick()
                if name in other.on():
                    self.breach("ran_twice", f"{name} runs on {other.machine.id}, {own.id}")
        job = self.jobs[name.partition("/")[0]]
        if job.body["hall"] not in (None, own.zone) or (own.spot and not job.body["loaners"]):
            self.breach("wrong_place", f"{name} on {own.id}")
        used = sum(
            self.descriptions[n.partition("/")[0]].vcpus
            for w in self.workers.values()
            if not w.machine.gone
            for n in w.on()
        )
        if used > self.shape.limit_vcpus:
            self.breach("quota", f"{used} vcpus in use")

    async def watch(self) -> None:
        """Rules that are broken by something going on for too long."""
        said: set[str] = set()
        while True:
            await asyncio.sleep(0.5)
            now = self.now()
            on = {n for w in self.workers.values() if not w.machine.gone for n in w.on()}
            for job in self.jobs.values():
                if job.id in said:
                    continue
                late = job.cancelled_at is not None and (
                    now > job.cancelled_at + self.shape.cancel_s
                )
                if late and any(n.partition("/")[0] == job.id for n in on):
                    said.add(job.id)
                    self.breach("ran_cancelled", job.id)
                open_ = job.accepted and not job.done and job.cancelled_at is None
                if open_ and now - max(job.answered_at, self.calm_since) > _KNOWN_S:
                    said.add(job.id)
                    self.breach("forgotten", f"{job.id}: no answer for {_KNOWN_S:.0f} s")

    async def strangers(self) -> None:
        """Users also ask about jobs that no one has submitted."""
        while True:
            await asyncio.sleep(self.rng.uniform(5.0, 15.0))
            path = f"{wire.JOBS_PATH}/no-{self.rng.randrange(10**6):06d}"
            reply = await self.ask("GET", path, None, 2.0)
            if reply is not None and reply[0] == 200:
                self.breach("invented", path)


def _of(reply: UserReply) -> Reply:
    return reply.status, reply.body


@contextlib.contextmanager
def connected(seed: int, shape: Shape) -> Iterator[World]:
    """A world whose nodes are spoken to by it; the program's clients go through its network."""
    with simulated(seed) as (loop, rng):
        world = World(loop, rng, shape)

        async def request(
            client: Any,
            method: str,
            path: str,
            body: bytes | None = None,
            timeout_s: float = 2.0,
            check: Callable[[], None] | None = None,
        ) -> Answer:
            return await world.call(client._address, method, path, body, timeout_s, check)

        async def accepts(address: Address, timeout_s: float) -> bool | None:
            place = world._place(address)
            if world.cloud.machines[place].gone or world.apart(_PROCESS.get().name, place):
                await asyncio.sleep(timeout_s)
                return False
            return True

        with (
            mock.patch.object(http.Client, "request", request),
            mock.patch.object(prober, "accepts", accepts),
        ):
            yield world


# -- a day ----------------------------------------------------------------------------------------


def play(
    seed: int, shape: Shape | None = None, trouble_s: float = 150.0, whole: bool = True
) -> World:
    """One day of troubles, and then quiet until every job that can has ended.

    Without `whole` it ends with the first rule that is broken.
    """
    from tealrill.lab.troubles import Troubles

    with connected(seed, shape or Shape()) as world:
        asyncio.set_event_loop(world.loop)
        try:
            day = world.begin(_day(world, Troubles(world), trouble_s))
            if not whole:
                world.breached = day.cancel
            with contextlib.suppress(asyncio.CancelledError):
                world.loop.run_until_complete(day)
            world.loop.run_until_complete(_close(world))
        finally:
            asyncio.set_event_loop(None)
    return world


async def _day(world: World, troubles: Any, trouble_s: float) -> None:
    for host in world.hosts.values():
        world.start(host)
    world.begin(world.watch())
    world.begin(world.strangers())
    world.begin(_arrivals(world, trouble_s))
    await asyncio.sleep(20.0)
    await troubles.run(trouble_s)
    world.calm_since = world.now()
    world.note("all troubles are over")
    await asyncio.sleep(_KNOWN_S + 75.0)
    if world.starts == 0:
        world.breach("nothing_ran", "no task was started")
    for job in world.jobs.values():
        tasks = {f"{job.id}/{n}" for n in range(job.body["pieces"])}
        if job.accepted and not job.asked_to_cancel and not tasks <= world.results:
            world.breach("left", f"{job.id} did not run to its end")


async def _close(world: World) -> None:
    own = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not own:
            task.cancel()
    await asyncio.sleep(0.1)


async def _arrivals(world: World, until_s: float) -> None:
    rng = world.rng
    number = 0
    while world.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        pieces, run_s = rng.choice([(1, 4.0), (2, 9.0), (3, 15.0), (6, 8.0), (2, 60.0)])
        vcpus = rng.choice([2.0, 4.0])
        body = {
            "id": job_id, "lineup": "any", "crew": "blue", "shape": "sweep",
            "urgency": rng.choice(["urgent", "standard"]), "pieces": pieces, "vcpus": vcpus,
            "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1, "builds": None,
            "hall": rng.choice([None, None, "south"]), "samePlace": False, "scatter": False,
            "loaners": rng.random() < 0.7, "guessS": run_s, "snapshotS": 0.0, "flushS": 0.0,
            "dueS": None,
        }  # fmt: skip
        world.descriptions[job_id] = Description(pieces, run_s, vcpus)
        job = world.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < 0.4:
            job.cancel_at = world.now() + rng.uniform(2.0, 60.0)
        world.begin(world.user(job))
        await asyncio.sleep(rng.expovariate(1 / 4.0))
