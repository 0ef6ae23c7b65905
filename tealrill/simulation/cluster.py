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
from tealrill.daemon import Controller
from tealrill.features import Features, GraphFeatures
from tealrill.fleet import prober
from tealrill.fleet.catalogue import CATALOGUE_PATH
from tealrill.http import Answer, NoAnswerError
from tealrill.leadership.lease_extension import EXTENSION_PATH, PING_PATH, ExtensionRequest
from tealrill.settings import Address, Settings
from tealrill.simulation.clock import Loop, NumberedTask, simulated
from tealrill.simulation.graph_users import submit_graphs
from tealrill.simulation.services import (
    Cloud,
    Description,
    Machine,
    NoReplyError,
    Reply,
    State,
    Worker,
    job_of,
)
from tealrill.simulation.traffic_digest import TrafficDigest
from tealrill.state.admission import Reply as UserReply
from tealrill.types import JobId, MachineId

_PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")
_STATE, _CLOUD = "state", "cloud"
_KNOWN_S: Final = 75.0
"""So long after the last trouble every job must have had an answer."""
_PATIENCE_S: Final = 5.0
_REPORT_S: Final = 4.0
"""So long a worker waits for an answer."""
_BESIDE_S: Final = 90.0
"""So long no task may wait beside room for it once the troubles are over."""
TEAMS: Final = ("blue", "red")


@dataclass
class Process:
    """One process of a controller; all its tasks end with it."""

    name: str
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    """In the order in which they began: by that of a set, the same seed gave other days."""


def _task(
    loop: Loop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """A task, counted among those of the process that began it."""
    found = NumberedTask(work, loop=loop, context=context)
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
    heartbeat_interval_s: float = 1.0
    lease_s: float = 8.0
    cancel_s: float = 28.0
    limit_vcpus: float = 40.0
    """Of each team."""
    every_s: float = 4.0
    """Between two jobs, on average."""
    jobs: tuple[tuple[int, float], ...] = ((1, 4.0), (2, 9.0), (3, 15.0), (6, 8.0), (2, 60.0))
    """Tasks and run times of jobs, drawn from."""
    cancelled: float = 0.4
    """The share of jobs that are cancelled some time."""
    zoned: float = 1 / 3
    """The share of larger jobs with a rule about zones."""
    graphs: bool = False
    """Users submit graphs of dependent jobs too."""

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
                "teams": [{"name": team, "cpus_max": self.limit_vcpus} for team in TEAMS],
                "workers": {
                    "report_s": self.heartbeat_interval_s, "lease_s": self.lease_s, "cancel_s":
                    self.cancel_s,
                },
                "state": {"rps": 900.0, "write_rps": 150.0, "value_kb": 8.0, "txn_ops": 16},
                "cloud": {"rps": 20.0, "list_lag_s": 4.0},
                "quota": {"cpu_share": 1.0, "ram_mb": 400.0, "fd_limit": 800},
            },
        }  # fmt: skip
        return settings.parse(orjson.dumps(values))

    def features(self) -> Features:
        """What is switched on at every node."""
        return Features(graphs=GraphFeatures(on=self.graphs))


def _zone(number: int) -> str:
    return ("north", "south")[number % 2]


class _SocketlessController(Controller):
    """A node that is spoken to by the lab and not by sockets."""

    def _listen(self) -> None:
        return


@dataclass
class Host:
    """A controller's machine and its process."""

    name: str
    node: _SocketlessController | None = None
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
    looked_at: bool = False
    """It is being asked about at all nodes again and again."""
    beside_since: float | None = None
    """From when on a task of it has waited beside room."""

    @property
    def path(self) -> str:
        return f"{wire.JOBS_PATH}/{self.id}"

    @property
    def tasks(self) -> set[str]:
        return {f"{self.id}/{n}" for n in range(self.body["pieces"])}

    @property
    def over(self) -> bool:
        """Its user knows that it is done, or cancelled."""
        return self.done or self.cancelled_at is not None

    @property
    def told(self) -> tuple[bool, bool, bool]:
        """What its user has been told of: accepted, cancelled, done."""
        return self.accepted, self.cancelled_at is not None, self.done


class SimulatedCluster:
    """Everything of one day; broken rules are in `broken`."""

    def __init__(self, loop: Loop, rng: random.Random, shape: Shape) -> None:
        self.loop, self.rng, self.shape = loop, rng, shape
        self.digest = TrafficDigest()
        """Over all that crosses the network and all that is written to the state service."""
        self.state = State(rng, self.now)
        self.state.written = lambda changes: self.digest.add(self.now(), _STATE, changes)
        self.cloud = Cloud(rng, self.now, shape.machines)
        self.cloud.booted, self.cloud.taken = self._rented, self._taken
        self.hosts = {f"host-{n}": Host(f"host-{n}") for n in range(shape.nodes)}
        self.workers: dict[str, Worker] = {}
        self.by_address: dict[str, str] = {}
        self.cut: set[frozenset[str]] = set()
        """Links that lose everything; "workers" stands for all machines."""
        self.frozen: set[str] = set()
        """Controllers that stand still: what they are sent, and what comes back to them, waits."""
        self.away: set[str] = set()
        """Zones that reach nothing outside."""
        self.parted = False
        """The zones don't reach each other; state service and cloud are reached from both."""
        self.inbound_partitioned: set[str] = set()
        self.outbound_partitioned: set[str] = set()
        """Machines that can't open connections to controllers."""
        self.quiet: set[str] = set()
        """Machines that must not be given work now."""
        self.copies = 0.0
        """Share of reports of which a copy arrives again."""
        self.for_next = 0.0
        """Share of reports of which a copy reaches every controller as a leader begins."""
        self._kept: list[dict[str, Any]] = []
        self.close_looks = False
        """Users ask at all nodes at once when they were told something new."""
        self.at_end = 0.0
        """Share of jobs that are cancelled in the moment of their end."""
        self.odd = False
        """Users send what can't be taken, and what was sent before."""
        self.held_s = 0.0
        """Commands and their answers are held up by up to so long."""
        self.links_s = 0.0
        """Each way between two machines takes up to so long."""
        self.off_on_the_way = False
        """Jobs are called off while the start of one of their tasks is held up."""
        self.descriptions: dict[str, Description] = {}
        self.results: set[str] = set()
        self.jobs: dict[str, UserJob] = {}
        self.broken: list[str] = []
        self.rules: set[str] = set()
        """Those that are broken, by name."""
        self.breached: Callable[[str], object] = lambda _: None
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
        self.rules.add(rule)
        self.breached(rule)

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

    def _zone_of(self, name: str) -> str | None:
        if name.startswith("m-"):
            return self.cloud.machines[name].zone
        return _zone(int(name.removeprefix("host-"))) if name.startswith("host-") else None

    def apart(self, one: str, other: str) -> bool:
        if self.away or self.parted:
            zones = self._zone_of(one), self._zone_of(other)
            if zones[0] != zones[1] and (
                not self.away.isdisjoint(zones) or (self.parted and None not in zones)
            ):
                return True
        pair = frozenset("workers" if name.startswith("m-") else name for name in (one, other))
        return pair in self.cut

    async def thawed(self, name: str) -> None:
        """Returns once that controller does not stand still."""
        while name in self.frozen:
            await asyncio.sleep(0.05)

    async def _way(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0003, 0.002) + self.rng.uniform(0.0, self.links_s))

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
        if place.startswith("m-"):
            # They leave now: what the node learns while they are on their way is too late.
            self._sends(source, orjson.loads(body or b"{}").get("orders", []))
        self.digest.add(self.now(), source, place, method, path, body or b"")
        await self._way()
        host = self.hosts.get(place)
        if self.apart(source, place) or (
            place in self.inbound_partitioned and place.startswith("m-")
        ):
            await asyncio.sleep(timeout_s)
            raise NoAnswerError("TimeoutError", self.rng.random() < 0.5, silent=True)
        if host is not None and host.node is None:
            raise NoAnswerError("refused", False, refused=True)
        if check is not None:
            check()
        answered: asyncio.Future[Reply] = self.loop.create_future()
        work = self._deliver(answered, source, place, method, path, body)
        self.begin(work, host.context if host is not None else None)
        try:
            async with asyncio.timeout(timeout_s):
                status, value = await asyncio.shield(answered)
                await self._way()
        except TimeoutError:
            raise NoAnswerError("TimeoutError", True, silent=True) from None
        if self.apart(source, place):
            raise NoAnswerError("StreamClosedError", True)
        answer = Answer()
        answer.status, answer.body, answer.complete = status, orjson.dumps(value), True
        self.digest.add(self.now(), place, source, status, answer.body)
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
            if self.off_on_the_way:
                self._call_off(body)
            await asyncio.sleep(self.rng.uniform(0.0, self.held_s))
        try:
            if place == _STATE:
                reply = await self.state(source, method, path, body)
            elif place == _CLOUD:
                reply = await self.cloud(source, method, path, body)
            elif place in self.hosts:
                await self.thawed(place)
                reply = await self._peer(self.hosts[place], method, path, body)
            else:
                worker = self.workers.get(place)
                while worker is not None and worker.hung_at is not None:
                    await asyncio.sleep(0.05)
                if worker is None or worker.machine.terminated:
                    return
                reply = await worker(source, method, path, body)
        except NoReplyError:
            return
        if held and self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, self.held_s))
        if not answered.done():
            answered.set_result(reply)

    async def _peer(self, host: Host, method: str, path: str, body: bytes | None) -> Reply:
        node = host.node
        if node is None:
            raise NoReplyError
        if path == EXTENSION_PATH:
            found = await node._lease_extension.asked(wire.decode(body or b"", ExtensionRequest))
            return 200, orjson.loads(wire.encode(found))
        if path == PING_PATH:
            return 200, orjson.loads(wire.encode(node._lease_extension.presence()))
        if path == CATALOGUE_PATH:
            known = node._catalogues.known
            return (503, {}) if known is None else (200, orjson.loads(wire.encode(known)))
        return _of(await self._ask(node.admission, method, path.removeprefix(PEER_PREFIX), body))

    @staticmethod
    async def _ask(users: Any, method: str, path: str, body: bytes | None) -> UserReply:
        """A user's request, by way of `Admission` or `Relay`."""
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
        host.node = host.context.run(
            _SocketlessController, self.shape.settings(number), self.shape.features()
        )
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

    def up(self) -> list[Worker]:
        """Workers whose machines are not gone."""
        return [worker for worker in self.workers.values() if not worker.machine.terminated]

    async def _work(self, machine: Machine) -> None:
        await asyncio.sleep(machine.up_at - self.now())
        if machine.terminated:
            return
        worker = Worker(
            machine, self.shape.lease_s, self.now, self.descriptions, self._started, self.results
        )
        worker.completed = self._completed
        self.workers[machine.id] = worker
        self.begin(self._clock(worker))
        order = list(self.hosts)
        at = self.rng.randrange(len(order))
        while not machine.terminated:
            at = await self._report(worker, order, at)

    async def _clock(self, worker: Worker) -> None:
        while not worker.machine.terminated:
            worker.tick()
            await asyncio.sleep(0.1)

    async def _report(self, worker: Worker, order: list[str], at: int) -> int:
        """One report and what its answer means; the number of the node for the next."""
        await self._standing(worker)
        worker.tick()
        message = worker.report()
        incarnation, sent, name = worker.incarnation, self.now(), order[at]
        if self.rng.random() < self.copies:
            self.begin(self._again(message, name))
        if self.rng.random() < self.for_next:
            self._kept.append(message)
        reply = await self._reported(worker.machine.id, message, name)
        await self._standing(worker)
        if reply is None or self.now() - sent > _REPORT_S:
            await asyncio.sleep(1.0)
            return (at + 1) % len(order)
        status, answer = reply
        worker.tick()
        if status == 200:
            if worker.incarnation == incarnation and answer.get("baton", -1) >= worker.token:
                newer = answer["baton"] > worker.token
                worker.token = answer["baton"]
                worker.renewed_at = max(worker.renewed_at, sent)
                worker.execute(answer["orders"])
                if newer or answer["orders"]:
                    await asyncio.sleep(0.5)
                    return at
            await asyncio.sleep(self.shape.heartbeat_interval_s * self.rng.uniform(0.75, 1.25))
            return at
        foreman = answer.get("foreman")
        if status == 421 and foreman in order and foreman != name:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            return order.index(foreman)
        await asyncio.sleep(1.0)
        return (at + 1) % len(order)

    @staticmethod
    async def _standing(worker: Worker) -> None:
        while worker.hung_at is not None and not worker.machine.terminated:
            await asyncio.sleep(0.05)

    async def _reported(self, machine: str, message: dict[str, Any], name: str) -> Reply | None:
        """A report's way to a node and back; None after 4 s or a refused connection."""
        await self._way()
        if self.hosts[name].node is None:
            return None
        if self.apart(machine, name) or machine in self.outbound_partitioned or name in self.frozen:
            await asyncio.sleep(_REPORT_S)
            return None
        reply = self._take(message, name)
        if machine in self.inbound_partitioned or reply is None:
            await asyncio.sleep(_REPORT_S)
            return None
        await self._way()
        return reply

    def _take(self, message: dict[str, Any], name: str) -> Reply | None:
        host = self.hosts[name]
        node = host.node
        if node is None:
            return None
        found = wire.decode(orjson.dumps(message), wire.Heartbeat)
        status, answer = host.context.run(node.handle_heartbeat, found, MachineId(found.machine))
        self.digest.add(self.now(), name, message, status, answer)
        self._sends(name, answer.get("orders", []))
        return status, answer

    def _sends(self, name: str, commands: list[dict[str, Any]]) -> None:
        """No start leaves a node that knows that its job is over."""
        node = self.hosts[name].node
        if node is None or node.leader is None:
            return
        jobs = node.leader.job_store.jobs
        for command in commands:
            job = jobs.get(JobId(job_of(command["piece"])))
            if command["verb"] == wire.START and (job is None or job.cancelled):
                self.breach("started_late", f"{command['piece']} by {name}")

    async def _again(self, message: dict[str, Any], name: str) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 2.5 * self.shape.lease_s))
        if not self.apart(message["kiln"], name):
            self._take(message, name)

    async def successions(self) -> None:
        """Reports that were kept back arrive everywhere as a new leader begins."""
        known = None
        while True:
            await asyncio.sleep(0.05)
            host = self.leader()
            mine = host.node.election.mine if host is not None and host.node is not None else None
            if mine is None or mine.term == known:
                continue
            known, kept, self._kept = mine.term, self._kept, []
            for message in kept:
                for name in self.hosts:
                    self.begin(self._once_more(message, name))

    async def _once_more(self, message: dict[str, Any], name: str) -> None:
        """Also while the records are read, and once work was given out."""
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
        self._take(message, name)

    # -- users ------------------------------------------------------------------------------------

    async def ask(
        self, method: str, path: str, body: Any, patience_s: float, at: Host | None = None
    ) -> Reply | None:
        """A user's request to a node, by chance; None if nothing comes back."""
        host = at or self.rng.choice(list(self.hosts.values()))
        node = host.node
        if node is None:
            return None
        if host.name in self.frozen:
            await asyncio.sleep(patience_s)
            return None
        raw = orjson.dumps(body) if body is not None else None
        task = self.begin(self._ask(node._relay, method, path, raw), host.context)
        done, _ = await asyncio.wait({task}, timeout=patience_s)
        if not done or host.node is not node or task.cancelled() or task.exception() is not None:
            return None
        reply = _of(task.result())
        self.digest.add(self.now(), host.name, method, path, raw or b"", *reply)
        return reply

    def add_foreign_job(self, name: str, body: dict[str, Any]) -> None:
        """A job that no user of its own submits and asks about."""
        self.jobs[name] = UserJob(name, body)

    async def user(self, job: UserJob) -> None:
        """Submits, polls and perhaps cancels one job, as the protocol has users do."""
        until = self.now() + 60.0
        while not job.accepted:
            reply = await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S)
            if reply is not None and reply[0] in (200, 201):
                job.accepted, job.answered_at = True, self.now()
                self._look(job)
                break
            if self.now() > until:
                return
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
        while not job.over:
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))
            if job.cancel_at is not None and self.now() >= job.cancel_at:
                await self._cancel(job)
            else:
                await self._poll(job)
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(5.0, 25.0))
            await self._poll(job)
            await self._poll(job, again=True)

    async def _poll(self, job: UserJob, again: bool = False, at: Host | None = None) -> None:
        """Asks about a job, or submits it once more."""
        before = job.told
        if again:
            reply = await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S, at)
        else:
            reply = await self.ask("GET", job.path, None, 2.0, at)
        self._told(job, reply, before)

    async def _cancel(self, job: UserJob) -> None:
        job.asked_to_cancel = True
        before = job.told
        reply = await self.ask("POST", f"{job.path}/{wire.CANCEL_PATH}", {}, _PATIENCE_S)
        if reply is not None and reply[0] == 200:
            self._told(job, reply, before)

    async def cancel_now(
        self, count: int, hang_s: float = 0.0, within_s: float = 0.2, begun: bool = True
    ) -> None:
        """Users call off so many jobs, those that run; machines of theirs hang."""
        on = {job_of(n): w for w in self.workers.values() for n in w.on()}
        found = [job for job in self.jobs.values() if job.accepted and not job.asked_to_cancel]
        found = [job for job in found if not job.done and (not begun or job.id in on)][:count]
        if hang_s:
            for name in {on[job.id].machine.id: None for job in found if job.id in on}:
                self.begin(self.hang(self.workers[name], hang_s))
        for job in found:
            self.begin(self._cancel_until_told(job, self.rng.uniform(0.0, within_s)))

    def _call_off(self, body: bytes | None) -> None:
        for command in orjson.loads(body or b"{}").get("orders", []):
            job = self.jobs.get(job_of(command["piece"]))
            if command["verb"] == wire.START and job is not None:
                self.begin(self._cancel_until_told(job, 0.05))

    async def hang(self, worker: Worker, for_s: float) -> None:
        worker.hang()
        await asyncio.sleep(for_s)
        worker.resume()

    async def _cancel_until_told(self, job: UserJob, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while not job.over:
            await self._cancel(job)
            await asyncio.sleep(1.0)

    def _completed(self, worker: Worker, name: str) -> None:
        """A task is done; in this moment its job may be called off."""
        job = self.jobs[job_of(name)]
        if not job.tasks <= self.results:
            return
        if self.close_looks:
            self.begin(self._watch_end(job))
        if not job.done and self.rng.random() < self.at_end:
            # The leader hears of the end within a report period.
            after_s = self.rng.uniform(0.0, 1.6 * self.shape.heartbeat_interval_s)
            self.begin(self._cancel_until_told(job, after_s))

    def _look(self, job: UserJob) -> None:
        """All nodes are asked at once and again, by questions and by repeated submissions."""
        if self.close_looks and not job.looked_at:
            job.looked_at = True
            self.begin(self._look_closely(job))

    async def _look_closely(self, job: UserJob) -> None:
        looks = [
            self.begin(self._look_once(job, host, number))
            for host in self.hosts.values()
            for number in range(4)
        ]
        await asyncio.wait(looks)
        job.looked_at = False

    async def _watch_end(self, job: UserJob) -> None:
        """Asked about again and again until the end is told, and for a moment after it."""
        until = self.now() + 1.6 * self.shape.heartbeat_interval_s
        while self.now() < until and not job.over:
            self.begin(self._poll(job))
            await asyncio.sleep(self.rng.uniform(0.02, 0.06))

    async def _look_once(self, job: UserJob, host: Host, number: int) -> None:
        await asyncio.sleep(number * self.rng.uniform(0.0, 0.005))
        await self._poll(job, again=number == 3, at=host)

    def _told(self, job: UserJob, reply: Reply | None, before: tuple[bool, bool, bool]) -> None:
        """What an answer about a job says, held against what was said before it was asked."""
        if reply is None or reply[0] >= 500 or reply[0] == 429:
            return
        status, answer = reply
        accepted, cancelled, done = before
        if status not in (200, 201):
            if accepted:
                self.breach("forgotten", f"{job.id}: status {status}")
            return
        job.answered_at = self.now()
        said = answer["status"]
        known = job.told
        if done and said != wire.JOB_DONE:
            self.breach("went_back", f"{job.id} was done and is {said}")
        elif cancelled and said != wire.JOB_CANCELLED:
            self.breach("went_back", f"{job.id} was cancelled and is {said}")
        elif (job.done and said == wire.JOB_CANCELLED) or (
            job.cancelled_at is not None and said == wire.JOB_DONE
        ):
            self.breach("went_back", f"{job.id} is called done, and cancelled")
        elif said == wire.JOB_DONE:
            if not job.tasks <= self.results:
                self.breach("not_done", job.id)
            job.done = True
        elif said == wire.JOB_CANCELLED:
            if not job.asked_to_cancel:
                self.breach("went_back", f"{job.id} is called cancelled")
            if job.cancelled_at is None:
                job.cancelled_at = self.now()
        if job.told != known:
            self._look(job)

    # -- the rules --------------------------------------------------------------------------------

    def _started(self, worker: Worker, name: str) -> None:
        self.starts += 1
        own = worker.machine
        for other in self.up():
            if other is not worker and name in other.on():
                other.tick()
                if name in other.on():
                    self.breach("ran_twice", f"{name} runs on {other.machine.id}, {own.id}")
        job = self.jobs[job_of(name)]
        if job.body["hall"] not in (None, own.zone) or (own.spot and not job.body["loaners"]):
            self.breach("wrong_place", f"{name} on {own.id}")
        on = [(job_of(n), w.machine.zone) for w in self.up() for n in w.on()]
        zones = [zone for number, zone in on if number == job.id]
        most = (job.body["pieces"] + 1) // 2 if job.body["scatter"] else len(zones)
        if (job.body["samePlace"] and len(set(zones)) > 1) or zones.count(own.zone) > most:
            self.breach("wrong_place", f"{name} in {own.zone}, beside {zones}")
        if own.id in self.quiet:
            self.breach("given_work", f"{name} on {own.id}")
        if job.cancelled_at is not None and self.now() > job.cancelled_at + self.shape.cancel_s:
            self.breach("ran_cancelled", f"{name} starts")
        used = sum(
            self.descriptions[number].vcpus
            for number, _ in on
            if self.jobs[number].body["crew"] == job.body["crew"]
        )
        if used > self.shape.limit_vcpus:
            self.breach("quota", f"{used} vcpus of {job.body['crew']} in use")

    async def watch(self) -> None:
        """Rules that are broken by something going on for too long."""
        said: set[str] = set()
        while True:
            await asyncio.sleep(0.5)
            now = self.now()
            on = {job_of(n) for w in self.up() for n in w.on()}
            for job in self.jobs.values():
                if job.id in said:
                    continue
                late = job.cancelled_at is not None and (
                    now > job.cancelled_at + self.shape.cancel_s
                )
                if late and job.id in on:
                    said.add(job.id)
                    self.breach("ran_cancelled", job.id)
                open_ = job.accepted and not job.over
                if self._beside_room(job, open_, now):
                    said.add(job.id)
                    self.breach("waited", f"{job.id}: {_BESIDE_S:.0f} s beside room")
                if open_ and now - max(job.answered_at, self.calm_since) > _KNOWN_S:
                    said.add(job.id)
                    self.breach("forgotten", f"{job.id}: no answer for {_KNOWN_S:.0f} s")

    def _beside_room(self, job: UserJob, open_: bool, now: float) -> bool:
        """Whether a task of it has waited for too long though a machine has room for it."""
        if not open_ or now < self.calm_since or not self._has_room(job):
            job.beside_since = None
            return False
        if job.beside_since is None:
            job.beside_since = now
        return now - job.beside_since > _BESIDE_S

    def _has_room(self, job: UserJob) -> bool:
        body = job.body
        need = body["vcpus"]
        placed = set(self.results)
        team = 0.0
        rooms: list[tuple[str, bool, float]] = []
        for worker in self.up():
            used = 0.0
            for name, task in worker.tasks.items():
                number = job_of(name)
                if task.state != wire.EXITED:
                    placed.add(name)
                    used += self.descriptions[number].vcpus
                    if self.jobs[number].body["crew"] == body["crew"]:
                        team += self.descriptions[number].vcpus
            rooms.append((worker.machine.zone, worker.machine.spot, Cloud.VCPUS - used))
        if job.tasks <= placed:
            return False
        if body["samePlace"] or body["scatter"] or team + need > self.shape.limit_vcpus:
            return False
        return any(
            room >= need and body["hall"] in (None, zone) and (body["loaners"] or not spot)
            for zone, spot, room in rooms
        )

    async def odd_requests(self) -> None:
        """What can't be taken, and cancellations of what is over; each gets its final answer."""
        number = 0
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            if not self.odd or not self.jobs:
                continue
            number += 1
            job = self.rng.choice(list(self.jobs.values()))
            if job.over:
                before = job.told
                path = f"{job.path}/{wire.CANCEL_PATH}"
                self._told(job, await self.ask("POST", path, {}, _PATIENCE_S), before)
            elif job.accepted:
                before = job.told
                spoiled = {**job.body, **self.rng.choice(_SPOILED)}
                reply = await self.ask("POST", wire.JOBS_PATH, spoiled, _PATIENCE_S)
                self._told(job, reply, before)
            odd = {**job.body, "id": f"odd-{number:06d}"}
            lacks = self.rng.choice([None, *_NEEDED])
            if lacks is None:
                odd.update(self.rng.choice(_IMPOSSIBLE))
            else:
                del odd[lacks]
            reply = await self.ask("POST", wire.JOBS_PATH, odd, _PATIENCE_S)
            if reply is not None and reply[0] < 400:
                self.breach("accepted", f"{odd} with status {reply[0]}")

    async def unbound_tasks(self) -> None:
        """Users also ask about jobs that no one has submitted."""
        while True:
            await asyncio.sleep(self.rng.uniform(5.0, 15.0))
            path = f"{wire.JOBS_PATH}/no-{self.rng.randrange(10**6):06d}"
            reply = await self.ask("GET", path, None, 2.0)
            if reply is not None and reply[0] == 200:
                self.breach("invented", path)


_SPOILED: Final[tuple[dict[str, Any], ...]] = (
    {"pieces": 0}, {"vcpus": -1.0}, {"vcpus": 1e6}, {"crew": "nobody"}, {"shape": "circle"},
)  # fmt: skip
"""A known job is answered by its state, whatever its repetition says."""
_IMPOSSIBLE: Final[tuple[dict[str, Any], ...]] = (
    {"vcpus": 1e6}, {"gpus": 1.0}, {"memoryGb": 1e6}, {"builds": []}, {"builds": ["other"]},
    {"hall": "elsewhere"}, {"crew": "nobody"}, {"shape": "standing", "pieces": 1000},
)  # fmt: skip
_NEEDED: Final = (
    "lineup", "crew", "shape", "urgency", "pieces", "vcpus", "gpus", "memoryGb", "bundle",
    "sizeGb", "samePlace", "scatter", "loaners", "guessS", "snapshotS", "flushS",
)  # fmt: skip


def _of(reply: UserReply) -> Reply:
    return reply.status, reply.body


@contextlib.contextmanager
def connected(seed: int, shape: Shape) -> Iterator[SimulatedCluster]:
    """A world whose nodes are spoken to by it; the program's clients go through its network."""
    with simulated(seed) as (loop, rng):
        world = SimulatedCluster(loop, rng, shape)

        async def request(
            client: Any,
            method: str,
            path: str,
            body: bytes | None = None,
            timeout_s: float = 2.0,
            check: Callable[[], None] | None = None,
        ) -> Answer:
            # What a process that stands still sends, and what comes back to it, waits.
            name = _PROCESS.get().name
            await world.thawed(name)
            try:
                return await world.call(client._address, method, path, body, timeout_s, check)
            finally:
                await world.thawed(name)

        async def accepts(address: Address, timeout_s: float) -> bool | None:
            place = world._place(address)
            if world.cloud.machines[place].terminated or world.apart(_PROCESS.get().name, place):
                await asyncio.sleep(timeout_s)
                return False
            return True

        with (
            mock.patch.object(http.Client, "request", request),
            mock.patch.object(prober, "accepts", accepts),
        ):
            yield world


# -- a day ----------------------------------------------------------------------------------------


Script = Callable[["SimulatedCluster"], Coroutine[Any, Any, None]]
"""The troubles of a day; it ends when they have ended."""


def play(
    seed: int,
    shape: Shape | None = None,
    trouble_s: float = 150.0,
    script: Script | None = None,
    calm_s: float = max(_KNOWN_S, _BESIDE_S) + 60.0,
    until: str = "",
) -> SimulatedCluster:
    """One day of troubles, and then quiet until every job that can has ended.

    With `until` it ends once that rule is broken, and with `script` its troubles are these and not
    drawn ones. After less quiet than a job may go without an answer nobody asks what was left.
    """
    from tealrill.simulation.faults import FaultInjector

    with connected(seed, shape or Shape()) as world:
        asyncio.set_event_loop(world.loop)

        async def drawn(world: SimulatedCluster) -> None:
            await FaultInjector(world).run(trouble_s)

        try:
            day = world.begin(_day(world, script or drawn, trouble_s, calm_s))

            def breached(rule: str) -> None:
                if rule == until:
                    day.cancel()

            world.breached = breached
            with contextlib.suppress(asyncio.CancelledError):
                world.loop.run_until_complete(day)
            world.loop.run_until_complete(_close(world))
        finally:
            asyncio.set_event_loop(None)
    return world


async def _day(world: SimulatedCluster, script: Script, trouble_s: float, calm_s: float) -> None:
    for host in world.hosts.values():
        world.start(host)
    world.begin(world.watch())
    world.begin(world.unbound_tasks())
    world.begin(world.successions())
    world.begin(world.odd_requests())
    world.begin(_arrivals(world, trouble_s))
    if world.shape.graphs:
        world.begin(submit_graphs(world, TEAMS, trouble_s))
    await asyncio.sleep(20.0)
    await script(world)
    world.calm_since = world.now()
    world.note("all troubles are over")
    await asyncio.sleep(calm_s)
    if world.starts == 0:
        world.breach("nothing_ran", "no task was started")
    for job in world.jobs.values() if calm_s >= _KNOWN_S else ():
        if job.accepted and not job.asked_to_cancel and not job.tasks <= world.results:
            world.breach("left", f"{job.id} did not run to its end")


async def _close(world: SimulatedCluster) -> None:
    own = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not own:
            task.cancel()
    await asyncio.sleep(0.1)


async def _arrivals(world: SimulatedCluster, until_s: float) -> None:
    rng = world.rng
    number = 0
    while world.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        pieces, run_s = rng.choice(world.shape.jobs)
        vcpus = rng.choice([2.0, 4.0])
        ruled = pieces > 1 and rng.random() < world.shape.zoned
        zoned = rng.choice(["samePlace", "scatter"]) if ruled else ""
        body = {
            "id": job_id, "lineup": "any", "crew": rng.choice(TEAMS), "shape": "sweep",
            "urgency": rng.choice(["urgent", "standard"]), "pieces": pieces, "vcpus": vcpus,
            "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1, "builds": None,
            "hall": rng.choice([None, None, "south"]), "samePlace": zoned == "samePlace",
            "scatter": zoned == "scatter", "loaners": rng.random() < 0.7, "guessS": run_s,
            "snapshotS": 0.0, "flushS": 0.0, "dueS": None,
        }  # fmt: skip
        world.descriptions[job_id] = Description(pieces, run_s, vcpus)
        job = world.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < world.shape.cancelled:
            job.cancel_at = world.now() + rng.uniform(2.0, 60.0)
        world.begin(world.user(job))
        await asyncio.sleep(rng.expovariate(1 / world.shape.every_s))
