"""Optional profiler of a controller's processor time by cause.

`[profile]` in the features file enables it; otherwise this module is not imported and adds no cost.
It measures every callback of the event loop, by the coroutine or function that runs in it, and
within the callbacks the functions of `CAUSES`, each without the time of other causes that it calls.

Every `every_s` seconds the totals so far are logged as a line of JSON after `profile: `, which
`tools/profiles.py` evaluates. Times are the thread's processor time in seconds.
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

LOG_MARKER: Final = "profile: "
_MAX_CAUSES: Final = 60
"""Number of causes in a line; the others make up about a thousandth of the time."""

CAUSES: Final[dict[str, str]] = {
    "reports: decoding": "tealrill.api.http_frontend:_Request._handle_heartbeat",
    "reports: taking in": "tealrill.fleet.heartbeats:HeartbeatProcessor._update_machine",
    "reports: commands": "tealrill.fleet.commands:Commands.for_response",
    "reports: the rest": "tealrill.daemon:Controller.handle_heartbeat",
    "answers written": "tealrill.api.http_frontend:write_response",
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
"""Names of causes and the functions whose time is charged to them, as module:name."""


class Size(msgspec.Struct):
    """Size of the leader's data at one moment."""

    at_s: float
    machines: int
    silent: int
    waiting_jobs: int
    waiting: int
    running: int


class Cost(msgspec.Struct):
    """Number of calls and processor time in seconds of one cause."""

    calls: int = 0
    cpu_s: float = 0.0


class Profile(msgspec.Struct):
    """Costs that a process has measured since its start."""

    host: str
    pid: int
    began_s: float
    until_s: float
    costs: dict[str, Cost]
    """The causes with the highest costs."""
    size: Size | None
    """At the time of this profile; None if this controller does not lead."""


class Profiler:
    """Totals by cause. The time of a nested cause is not charged to the causes around it."""

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        self.costs: dict[str, Cost] = {}
        self._clock = clock
        self._nested_s: list[float] = []
        """Stack of the running causes: for each, the time of the causes nested directly in it."""

    def call(self, cause: str, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call the function, charge its processor time to the cause and return its result."""
        nested_s = self._nested_s
        nested_s.append(0.0)
        started_at = self._clock()
        try:
            return function(*args, **kwargs)
        finally:
            elapsed_s = self._clock() - started_at
            own_s = elapsed_s - nested_s.pop()
            if nested_s:
                nested_s[-1] += elapsed_s
            cost = self.costs.get(cause)
            if cost is None:
                cost = self.costs[cause] = Cost()
            cost.calls += 1
            cost.cpu_s += own_s

    def wrap(self, cause: str, location: str) -> None:
        """Charge each call of the function at `location`, module:name or module:class.name."""
        module, _, path = location.partition(":")
        owner: Any = importlib.import_module(module)
        *owners, name = path.split(".")
        for part in owners:
            owner = getattr(owner, part)
        function = getattr(owner, name)

        @functools.wraps(function)
        def charged(*args: Any, **kwargs: Any) -> Any:
            return self.call(cause, function, *args, **kwargs)

        setattr(owner, name, charged)

    def wrap_callbacks(self) -> None:
        """Charge every callback of the event loop to the coroutine or function that it runs."""
        run = events.Handle._run

        def charged(handle: events.Handle) -> None:
            self.call(_callback_cause(handle._callback), run, handle)  # type: ignore[attr-defined]

        events.Handle._run = charged  # type: ignore[method-assign, assignment]


def _callback_cause(callback: Any) -> str:
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine: Any = owner.get_coro()
        return f"turn: {getattr(coroutine, '__qualname__', coroutine)}"
    function = getattr(callback, "func", callback)
    return f"turn: {getattr(function, '__qualname__', type(function).__qualname__)}"


class ProfileLog:
    """Periodic log of a controller's profile."""

    def __init__(self, host: str, every_s: float) -> None:
        self._profiler = Profiler()
        self._host = host
        self._every_s = every_s
        self._started_at = time.monotonic()

    def install(self) -> None:
        """Start profiling; call this once per process, before the controller is created."""
        for cause, location in CAUSES.items():
            self._profiler.wrap(cause, location)
        self._profiler.wrap_callbacks()

    async def run(self, size: Callable[[], Size | None]) -> None:
        """Log the totals periodically, since the process may be killed at any time."""
        while True:
            await asyncio.sleep(self._every_s)
            log.info("%s%s", LOG_MARKER, msgspec.json.encode(self.profile(size())).decode())

    def profile(self, size: Size | None) -> Profile:
        """Return the totals of the costliest causes, few enough that logs keep the line whole."""
        costs = sorted(self._profiler.costs.items(), key=lambda item: -item[1].cpu_s)
        return Profile(
            self._host,
            os.getpid(),
            self._started_at,
            time.monotonic(),
            {cause: Cost(cost.calls, round(cost.cpu_s, 6)) for cause, cost in costs[:_MAX_CAUSES]},
            size,
        )
