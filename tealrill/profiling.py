"""Where a node's processor time goes, by cause: counted inside the process, off unless asked for.

Switched on by `[profile]` in the features file. Then, and only then, this module is imported: it
times every turn of the event loop by what runs in it, and within turns the functions of `CAUSES`,
each without the others that it calls. While off there is no wrapper, no timer and no branch.

Every `every_s` seconds the sums so far go into the log, one line of JSON behind `profile: `
(`tools/profiles.py` reads logs). Times are the thread's processor time in seconds.
"""

from __future__ import annotations

import asyncio
import functools
import importlib
import logging
import os
import time
from asyncio import events
from collections.abc import Callable
from typing import Any, Final

import msgspec

log = logging.getLogger(__name__)

LINE: Final = "profile: "
_MOST: Final = 60
"""So many causes in a line; what is left out is a thousandth or so."""

CAUSES: Final[dict[str, str]] = {
    "reports: decoding": "tealrill.api.http_frontend:_Request._handle_heartbeat",
    "reports: taking in": "tealrill.fleet.heartbeats:HeartbeatProcessor._update_machine",
    "reports: commands": "tealrill.fleet.commands:Commands.for_response",
    "reports: the rest": "tealrill.daemon:Controller.handle_heartbeat",
    "answers written": "tealrill.api.http_frontend:answer",
    "passes: the rest": "tealrill.fleet.dispatch:SchedulingLoop.run",
    "passes: machines": "tealrill.fleet.snapshot:SnapshotBuilder._survey",
    "passes: a machine's view": "tealrill.fleet.snapshot:SnapshotBuilder._build_view",
    "passes: a job's view": "tealrill.fleet.snapshot:SnapshotBuilder._job_view",
    "passes: view": "tealrill.fleet.snapshot:SnapshotBuilder.view",
    "passes: order": "tealrill.scheduler.plan:order",
    "passes: affordable": "tealrill.scheduler.plan:affordable",
    "passes: planning": "tealrill.fleet.dispatch:plan",
    "passes: candidates": "tealrill.scheduler.plan:_Pass._candidates",
    "passes: reservation": "tealrill.scheduler.plan:reserve",
    "passes: stops": "tealrill.scheduler.plan:_Pass._preempt_for",
    "passes: binding": "tealrill.fleet.placement:Placement.start",
    "passes: returning": "tealrill.fleet.autoscaling:Autoscaler.release_unneeded",
    "passes: losses": "tealrill.fleet.autoscaling:Autoscaler.replace_losses",
    "wishes for machines": "tealrill.fleet.autoscaling:Autoscaler.rent",
    "wishes: choosing": "tealrill.scheduler.capacity:_choose",
    "wishes: laying": "tealrill.scheduler.free_capacity:FreeCapacity.allocate",
    "wishes: reckoning": "tealrill.scheduler.capacity:rentals",
    "silence: judging": "tealrill.fleet.prober:Prober.evaluate",
    "silence: leases": "tealrill.fleet.leases:Leases.expired_machines",
    "records: gathering": "tealrill.state.write_batcher:WriteBatcher._gather",
    "records: applied": "tealrill.state.write_batcher:WriteBatcher._apply",
    "jobs watched": "tealrill.leader.job_watch:JobWatch.job_changed",
    "the cloud's list": "tealrill.fleet.provisioning:Provisioner.apply_list",
}
"""Causes of cost and the functions that bear them, as module:name."""


class Size(msgspec.Struct):
    """What there was at one moment, on the leader."""

    at_s: float
    machines: int
    silent: int
    waiting_jobs: int
    waiting: int
    running: int


class Cost(msgspec.Struct):
    """Calls and processor time of one cause."""

    calls: int = 0
    cpu_s: float = 0.0


class Profile(msgspec.Struct):
    """What one process has counted since its start."""

    host: str
    pid: int
    began_s: float
    until_s: float
    costs: dict[str, Cost]
    """The dearest causes."""
    size: Size | None
    """At this moment, if this node leads."""


class Profiler:
    """Sums by cause. Of nested causes each is charged with its own part only."""

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        self.costs: dict[str, Cost] = {}
        self._clock = clock
        self._inner: list[float] = []
        """Per cause that runs now, the time of the causes within it."""

    def call(self, cause: str, function: Callable[..., Any], *args: Any, **more: Any) -> Any:
        """Calls the function and charges the cause."""
        inner = self._inner
        inner.append(0.0)
        began = self._clock()
        try:
            return function(*args, **more)
        finally:
            took = self._clock() - began
            own = took - inner.pop()
            if inner:
                inner[-1] += took
            cost = self.costs.get(cause)
            if cost is None:
                cost = self.costs[cause] = Cost()
            cost.calls += 1
            cost.cpu_s += own

    def wrap(self, cause: str, where: str) -> None:
        """Has every call of a function charged; `where` is module:name or module:class.name."""
        module, _, path = where.partition(":")
        owner: Any = importlib.import_module(module)
        *outer, name = path.split(".")
        for part in outer:
            owner = getattr(owner, part)
        plain = getattr(owner, name)

        @functools.wraps(plain)
        def charged(*args: Any, **more: Any) -> Any:
            return self.call(cause, plain, *args, **more)

        setattr(owner, name, charged)

    def wrap_turns(self) -> None:
        """Has every callback of the event loop charged to the coroutine or function that it is."""
        run = events.Handle._run

        def charged(handle: events.Handle) -> None:
            self.call(_turn(handle._callback), run, handle)  # type: ignore[attr-defined]

        events.Handle._run = charged  # type: ignore[method-assign, assignment]


def _turn(callback: Any) -> str:
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine: Any = owner.get_coro()
        return f"turn: {getattr(coroutine, '__qualname__', coroutine)}"
    plain = getattr(callback, "func", callback)
    return f"turn: {getattr(plain, '__qualname__', type(plain).__qualname__)}"


class ProfileLog:
    """Profiles a node for as long as it runs."""

    def __init__(self, host: str, every_s: float) -> None:
        self._profiler = Profiler()
        self._host = host
        self._every_s = every_s
        self._began = time.monotonic()

    def install(self) -> None:
        """From here on everything is charged. Called before the loop starts, once a process."""
        for cause, where in CAUSES.items():
            self._profiler.wrap(cause, where)
        self._profiler.wrap_turns()

    async def run(self, size: Callable[[], Size | None]) -> None:
        """Tells the sums every few seconds; the process may be killed at any time."""
        while True:
            await asyncio.sleep(self._every_s)
            log.info("%s%s", LINE, msgspec.json.encode(self.profile(size())).decode())

    def profile(self, size: Size | None) -> Profile:
        """The sums by now, as many as go into a line that no log cuts off."""
        costs = sorted(self._profiler.costs.items(), key=lambda found: -found[1].cpu_s)
        return Profile(
            self._host,
            os.getpid(),
            self._began,
            time.monotonic(),
            {cause: Cost(cost.calls, round(cost.cpu_s, 6)) for cause, cost in costs[:_MOST]},
            size,
        )
