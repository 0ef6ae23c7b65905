"""What is known of every machine, and the proofs by which a binding ends.

This is the part on which `ran_twice` hangs, so it is kept free of I/O: reports, answers to direct
commands, the passing of time and the cloud's answers go in; commands come out. docs/design.md has
the argument. A binding ends only by

1. a message of the machine that carries this term's token, in the same session, newer than the
   report whose response carried the start, that shows the attempt exited or does not list it
   (if it was never listed before, only a report counts, not the answer to a direct command, and
   only if no start sent directly is unaccounted for);
2. a message of a later session;
3. silence for longer than the worker's lease, counted from the last report this leader answered,
   or from its election, and from when its session was first heard of;
4. the cloud's confirmation that the machine is gone.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.scheduler.capacity import Kind
from tealrill.scheduler.failure_attribution import FailureAttribution
from tealrill.scheduler.model import MachineView
from tealrill.state.job_store import Binding, Chunk, Job, JobStore, Stop
from tealrill.types import (
    CLOCK_DRIFT,
    Attempt,
    FencingToken,
    HeartbeatSequence,
    Incarnation,
    MachineId,
    Monotonic,
    TaskId,
    Wall,
    parse_task_id,
)

log = logging.getLogger(__name__)

_LEASE_MARGIN_S: Final = 0.5
_GONE_KEPT_S: Final = 300.0
_NO_ANSWER_S: Final = 4.0
"""A worker that has got no answer for so long tries another node, a second later."""
_HEARS_S: Final = 4.8
"""Two reports in a row within this are those of a worker that got an answer between them."""
_REPORT_JITTER: Final = 1.25
"""Reports come up to a quarter later than their period says."""
_IMAGES_KEPT: Final = 64


class NewerTokenError(TealrillError):
    """A worker has seen a token above this term's: somebody else leads."""


@dataclass(frozen=True, slots=True)
class Exit:
    """An attempt that exited, and what must hold before the worker may forget it."""

    chunk: Chunk | None
    version: int
    """The chunk's version that holds the outcome; a take-over would run the task again before."""
    binding: Binding | None = None

    @property
    def settled(self) -> bool:
        if self.binding is not None and self.binding.direct_start_in_flight:
            # A late direct start of an attempt that the worker has forgotten would run it again.
            return False
        return self.chunk is None or self.chunk.committed >= self.version


_UNKNOWN_EXIT: Final = Exit(None, 0)


@dataclass(slots=True, eq=False)
class Machine:
    """One machine, from its rental, its line in the cloud's list or its worker's first report."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    since: Monotonic
    """When it was rented, or as near to that as is known."""
    booted: bool = False
    """It was rented in this term, so `since` is when its boot began."""
    addr: str = ""
    incarnation: Incarnation | None = None
    sequence: HeartbeatSequence = HeartbeatSequence(-1)
    current: bool = False
    """Its last report carried this term's token, so nothing older than it can still arrive."""
    incarnation_seen_at: Monotonic | None = None
    """When its session was first heard of, in this term; the worker's lease runs from before."""
    answered_at: Monotonic | None = None
    """Its last report that was answered: only that renews it, so one that is mute gets no work
    however well it answers. It took tasks in each new session, and lost them with its lease."""
    last_contact_at: Monotonic | None = None
    """The last that was heard of it, by a report or by the answer to a direct command."""
    preemption_notice_until: Monotonic | None = None
    inbound_partitioned: bool = False
    """What is sent to it seems not to arrive, though its reports do."""
    lease_expired: bool = False
    releasing: bool = False
    """It goes back: no room, whatever else becomes of it."""
    returned: bool = False
    """Its return is recorded, so that it goes back whoever leads."""
    draining: str = ""
    """Why nothing more is placed here; empty if it is."""
    unbound_tasks: int = 0
    """Tasks that run here and that no binding covers; they are being stopped."""
    bindings: dict[TaskId, Binding] = field(default_factory=dict)
    named: dict[str, Binding] = field(default_factory=dict)
    """The same by the task's name on the wire: reports list them all every time, and most lines say
    nothing new, so that taking the name apart would be most of the work."""
    exited: dict[tuple[TaskId, Attempt], Exit] = field(default_factory=dict)
    """Attempts that exited here and that the worker has not been told to forget."""
    unreconciled: list[tuple[TaskId, Attempt, wire.TaskStatus]] = field(default_factory=list)
    """Of the list that was gone through last: what exited, and what no binding covers."""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    """What its bindings use."""
    images: dict[str, None] = field(default_factory=dict)
    idle_since: Monotonic | None = None
    refused_until: Monotonic = Monotonic(0.0)
    listed: str = ""
    listed_at: Monotonic | None = None
    listed_addr: str = ""
    missing_from_lists: int = 0
    """Of the cloud's lists, the last so many did not show it though an earlier one did."""
    failed_connects: int = 0
    """Attempts to connect while it was silent, in a row, that brought no connection."""
    accepts: bool = False
    """The last such attempt brought a connection: its system runs."""
    expired_cpus: float = 0.0
    """Processors that its tasks used when its lease lapsed."""
    view: MachineView | None = None
    """What placement sees of it, kept from pass to pass; None once something in it has changed."""
    settled: list[wire.TaskStatus] | None = None
    """The last report's tasks, if all is as it should be: the same list again says nothing new."""

    def touch(self) -> None:
        """Something in it has changed, so what was worked out from it no longer holds."""
        self.view = None
        self.settled = None

    def mark_inbound_partitioned(self, inbound_partitioned: bool) -> None:
        if self.inbound_partitioned is not inbound_partitioned:
            self.inbound_partitioned = inbound_partitioned
            self.touch()

    @property
    def kind(self) -> Kind:
        return self.type, self.zone, self.spot

    @property
    def up(self) -> bool:
        """Whether it is known to have come up, in this term or before."""
        return self.incarnation is not None or self.listed == wire.MACHINE_RUNNING

    @property
    def is_in_order(self) -> bool:
        """Nothing but silence or a refusal may forbid to bind a task to it."""
        return (
            self.current
            and not self.lease_expired
            and not self.releasing
            and not self.draining
            and not self.unbound_tasks
            and not self.inbound_partitioned
            and self.preemption_notice_until is None
        )

    def is_placeable(self, now: Monotonic, silence_s: float) -> bool:
        """Whether a task may be bound to it at this moment."""
        return (
            self.is_in_order
            and self.answered_at is not None
            and now - self.answered_at <= silence_s
            and now >= self.refused_until
        )


@dataclass(frozen=True, slots=True)
class CompletedTask:
    """A completed task's run time, for the estimates."""

    job: Job
    ran_s: float


class Fleet:
    """All machines of one term."""

    def __init__(
        self,
        job_store: JobStore,
        term: FencingToken,
        elected_at: Monotonic,
        lease_s: float,
        delegation_s: float = 0.0,
        heartbeat_interval_s: float = 0.0,
    ) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.terminated: dict[MachineId, Monotonic] = {}
        """Machines whose release was confirmed; lists and late reports may still show them."""
        self.changed: Callable[[], None] = lambda: None
        self.finished: Callable[[CompletedTask], None] = lambda _: None
        self.registered: Callable[[Machine, Monotonic], None] = lambda _, __: None
        """A machine is heard for the first time in this term."""
        self.deregistered: Callable[[MachineId], None] = lambda _: None
        """A machine is gone or not known any more: nothing of it is to be kept."""
        self.failure_attribution = FailureAttribution()
        self.loaded = False
        """Until the records are read, workers are not answered."""
        self.stop_timeout_s = math.inf
        """A cancelled job's stop that did not arrive for so long is left to the worker's lease."""
        self._job_store = job_store
        self._term = term
        self._elected_at = elected_at
        self._silence_s = lease_s * CLOCK_DRIFT + _LEASE_MARGIN_S
        # Where reports come more rarely than a worker asks again, the next sequence number alone
        # tells that it stayed here; a deaf machine stayed deaf for ever there.
        self._hears_s = max(_HEARS_S, _REPORT_JITTER * heartbeat_interval_s + _LEASE_MARGIN_S)
        self._delegation_s = delegation_s
        # A delegation of an earlier term may have been acted on for a moment after the election.
        self._elsewhere_until = Monotonic(elected_at + delegation_s)

    # -- inherited records ----------------------------------------------------------------------

    def inherit(self, bindings: Iterable[Binding], now: Monotonic) -> None:
        """Bindings of earlier terms: they stand until one of the four proofs."""
        for binding in bindings:
            machine = self.machines.get(binding.machine)
            if machine is None:
                machine = Machine(binding.machine, "", "", False, now)
                self.machines[machine.id] = machine
            if machine.incarnation is None or machine.incarnation < binding.incarnation:
                machine.incarnation = binding.incarnation
            if machine.zone:
                self._job_store.place_inherited(binding, machine.zone)
            self._attach(machine, binding)
        for job in self._job_store.jobs.values():
            if not job.done_count and job.tasks:
                bound = max(task.next_attempt - 1 for task in job.tasks.values())
                self.failure_attribution.inherited(job.id, bound)
        self.loaded = True

    # -- reports --------------------------------------------------------------------------------

    def report(
        self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> list[dict[str, Any]] | None:
        """Takes in a worker's report; the commands for its response, or None for no 200."""
        if report.token > self._term:
            raise NewerTokenError(f"{machine_id} has seen token {report.token}")
        if machine_id in self.terminated:
            return None
        if not self.loaded:
            return None
        machine = self._machine_of(report, machine_id, now)
        if machine.incarnation == report.incarnation and self._must_let_lease_expire(machine, now):
            return None
        if self._out_of_date(machine, report):
            if machine.incarnation == report.incarnation and not machine.lease_expired:
                # A direct command overtook it. Its list is old, but it is the worker's report in
                # flight: it is answered, so that the worker stays and its lease goes on.
                machine.answered_at = now
                return []
            return None
        self._listen(machine, report, now)
        machine.answered_at = now
        if not self._process(machine, report, now, wall, direct=False):
            return []
        if machine.settled is not None:
            return []
        commands = self._commands(machine, report, now)
        if not commands and self._as_it_should_be(machine, report):
            machine.settled = report.tasks
        return commands

    @staticmethod
    def _as_it_should_be(machine: Machine, report: wire.Heartbeat) -> bool:
        """Whether the list shows what is bound, no more and no less, and nothing is under way."""
        return (
            not machine.exited
            and not machine.unbound_tasks
            and len(report.tasks) == len(machine.bindings)
            and all(b.seen and b.stop is None for b in machine.bindings.values())
        )

    def _must_let_lease_expire(self, machine: Machine, now: Monotonic) -> bool:
        """Whether a start of a cancelled job that left directly may still arrive, long after.

        Nothing takes it back but a new session: a stop of an attempt that the worker does not have
        does nothing. Only its lease brings one.
        """
        if machine.settled is not None:
            return False
        for b in machine.bindings.values():
            if b.direct_start_in_flight and not b.seen and self._overdue(b, now):
                log.info("machine %s is not renewed: a start of %s is out", machine.id, b.task)
                return True
        return False

    def _overdue(self, binding: Binding, now: Monotonic) -> bool:
        """Whether a cancelled job's task should have been stopped by now."""
        stop = binding.stop
        return (
            stop is not None
            and binding.chunk.job.cancelled
            and now - stop.since > self.stop_timeout_s
        )

    def _listen(self, machine: Machine, report: wire.Heartbeat, now: Monotonic) -> None:
        """Whether the worker hears: it sends its next report here only once it got an answer.

        One that hears nothing lapses though every report of it was answered, again and again, and
        each time its new session took tasks that never began.
        """
        last_contact_at, answered_at = machine.last_contact_at, machine.answered_at
        if machine.incarnation is None or last_contact_at is None:
            return
        if report.incarnation > machine.incarnation:
            if answered_at is not None and now - answered_at < self._silence_s:
                log.info("machine %s lapsed though its reports were answered", machine.id)
                machine.mark_inbound_partitioned(True)
        elif (
            machine.inbound_partitioned
            and report.sequence == machine.sequence + 1
            and now - last_contact_at < self._hears_s
        ):
            log.info("machine %s hears again", machine.id)
            machine.mark_inbound_partitioned(False)
            self.changed()

    def has_overdue_stop(self, now: Monotonic) -> bool:
        """Whether a task of a cancelled job may be kept running where this leader is not heard."""
        return any(
            self._overdue(b, now)
            for machine in self.machines.values()
            if machine.incarnation is not None
            and not machine.lease_expired
            and self.silence_s_of(machine, now) > _NO_ANSWER_S
            for b in machine.bindings.values()
        )

    def handle_direct_reply(
        self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> None:
        """The report in the answer to a direct command; it renews nothing."""
        machine = self.machines.get(machine_id)
        if machine is None or report.token > self._term or self._out_of_date(machine, report):
            return
        self._process(machine, report, now, wall, direct=True)

    def _machine_of(self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic) -> Machine:
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, report.type, report.zone, report.spot, now)
            self.machines[machine_id] = machine
            log.info("machine %s reports, not known before", machine_id)
        return machine

    @staticmethod
    def _out_of_date(machine: Machine, report: wire.Heartbeat) -> bool:
        if machine.incarnation is None:
            return False
        if machine.lease_expired and report.incarnation <= machine.incarnation:
            return True
        return (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence)

    def _process(
        self, machine: Machine, report: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> bool:
        """True if the report's list counts: it carries this term's token."""
        self._identify(machine, report)
        if machine.incarnation is not None and report.incarnation > machine.incarnation:
            self._new_session(machine, Incarnation(report.incarnation), now)
        if machine.incarnation != report.incarnation:
            # A session that a direct command's answer shows was never renewed from here, and its
            # lease runs all the same. By the last answer to the session before, machines lapsed
            # a tenth of a second after they were given tasks, and 28 tasks ran on two machines.
            machine.incarnation_seen_at = now
        first = machine.last_contact_at is None
        if first:
            self.registered(machine, now)
        machine.incarnation = Incarnation(report.incarnation)
        machine.sequence = HeartbeatSequence(report.sequence)
        machine.last_contact_at = now
        machine.lease_expired = False
        machine.failed_connects, machine.accepts, machine.expired_cpus = 0, False, 0.0
        if report.notice_s is not None:
            if machine.preemption_notice_until is None:
                log.info("machine %s has notice: %.0f s", machine.id, report.notice_s)
                self.changed()
            machine.preemption_notice_until = Monotonic(now + report.notice_s)
        was_current = machine.current
        machine.current = report.token == self._term
        if not machine.current:
            # The list may be older than this term; the token makes the worker report again.
            return False
        if first or not was_current:
            self.changed()
        if machine.settled is None or machine.settled != report.tasks:
            machine.settled = None
            self._take_list(machine, report, now, wall, direct)
        return True

    def _identify(self, machine: Machine, report: wire.Heartbeat) -> None:
        machine.addr = report.addr
        self.locate(machine, report.type, report.zone, report.spot)

    def locate(self, machine: Machine, type_name: str, zone: str, spot: bool) -> None:
        """What the cloud or the worker says of the machine; inherited ones begin without it."""
        if not machine.zone:
            for binding in machine.bindings.values():
                self._job_store.place_inherited(binding, zone)
        if (machine.type, machine.zone, machine.spot) != (type_name, zone, spot):
            machine.touch()
            machine.type, machine.zone, machine.spot = type_name, zone, spot

    def _new_session(self, machine: Machine, incarnation: Incarnation, now: Monotonic) -> None:
        log.info("machine %s begins session %d", machine.id, incarnation)
        for binding in list(machine.bindings.values()):
            self._release(machine, binding, now, "later session")
        machine.exited.clear()
        machine.touch()
        machine.images.clear()
        machine.unbound_tasks = 0
        machine.preemption_notice_until = None
        self.changed()

    def _take_list(
        self, machine: Machine, report: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> None:
        unbound_tasks = 0
        unreconciled: list[tuple[TaskId, Attempt, wire.TaskStatus]] = []
        named = machine.named
        for line in report.tasks:
            binding = named.get(line.task)
            if binding is None or binding.attempt != line.attempt:
                task = parse_task_id(line.task)
                if task is None:
                    continue
                attempt = Attempt(line.attempt)
                binding = machine.bindings.get(task)
                if binding is None or binding.attempt != attempt:
                    unreconciled.append((task, attempt, line))
                    if line.state == wire.EXITED:
                        self._stray_exit(machine, task, attempt, line, now)
                    else:
                        unbound_tasks += 1
                    continue
            binding.shown_in = HeartbeatSequence(report.sequence)
            if line.state == wire.EXITED:
                unreconciled.append((binding.task, binding.attempt, line))
            elif binding.seen and binding.state == line.state:
                # Taken in before, with all that follows from it.
                continue
            self._progress(machine, binding, line, now, wall)
        if machine.unbound_tasks and not unbound_tasks:
            self.changed()
        machine.unbound_tasks = unbound_tasks
        machine.unreconciled = unreconciled
        for binding in [b for b in machine.bindings.values() if b.shown_in != report.sequence]:
            self._missing(machine, binding, report, now, direct)
        if machine.exited:
            listed = {(task, attempt) for task, attempt, _ in unreconciled}
            for key in [key for key in machine.exited if key not in listed]:
                del machine.exited[key]

    def _progress(
        self, machine: Machine, binding: Binding, line: wire.TaskStatus, now: Monotonic, wall: Wall
    ) -> None:
        binding.seen = True
        binding.state = line.state
        job = binding.chunk.job
        if line.state in (wire.RUNNING, wire.SAVING) and binding.running_since is None:
            ago = max(0.0, wall - binding.bound_at) if binding.inherited else 0.0
            machine.touch()
            binding.running_since = Monotonic(now - ago)
            self._has_image(machine, job.spec.image)
        if line.state == wire.EXITED:
            self._exit(machine, binding, line, now)

    def _has_image(self, machine: Machine, image: str) -> None:
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > _IMAGES_KEPT:
            del machine.images[next(iter(machine.images))]

    def _exit(
        self, machine: Machine, binding: Binding, line: wire.TaskStatus, now: Monotonic
    ) -> None:
        job = binding.chunk.job
        if line.why == wire.WHY_DONE and not job.spec.is_service:
            self._call_faulty(self.failure_attribution.succeeded(job.id, machine.id, now))
            if self._job_store.complete(job, binding.task.index, now) and not binding.inherited:
                started = binding.running_since
                if started is not None:
                    self.finished(CompletedTask(job, now - started))
        elif line.why == wire.WHY_ERROR:
            self._failed(machine, binding, now)
        elif line.why in wire.REFUSALS:
            # The machine refused it: something there is not as it was thought to be.
            log.info("machine %s refused %s: %s", machine.id, binding.task, line.why)
            machine.refused_until = Monotonic(now + 2.0)
        self._release(machine, binding, now, f"exited ({line.why})")
        key = (binding.task, binding.attempt)
        machine.exited[key] = Exit(binding.chunk, binding.chunk.version, binding)
        self.changed()

    def _failed(self, machine: Machine, binding: Binding, now: Monotonic) -> None:
        """Counts an error, against the job or the machine."""
        job = binding.chunk.job
        ran_s = now - binding.running_since if binding.running_since is not None else 0.0
        well = job.done_count > 0
        log.info("task %s failed on %s after %.1f s", binding.task, machine.id, ran_s)
        self._job_store.task_failed(job, binding.task.index)
        if not job.cancelled:
            self._call_faulty(self.failure_attribution.failed(job.id, machine.id, ran_s, well, now))

    def _call_faulty(self, found: Iterable[MachineId]) -> None:
        """Nothing more is placed on these machines, and they are returned once they are empty."""
        for machine_id in found:
            machine = self.machines.get(machine_id)
            if machine is None or machine.draining:
                continue
            if not self.failure_attribution.may_drain(len(self.machines)):
                log.warning("machine %s seems faulty, as too many others do", machine_id)
                continue
            log.info("machine %s is faulty: jobs that do well elsewhere failed", machine_id)
            machine.draining = "faulty"
            machine.touch()
            self.changed()

    def tries(self, job: Job, now: Monotonic) -> int | None:
        """How many tasks of a job that has failed may start now; None: as many as there are."""
        if not self.failure_attribution.is_on_probation(job.id):
            return None
        since = [b.running_since for b in job.bindings() if b.running_since is not None]
        longest_s = now - min(since) if since else 0.0
        self._call_faulty(self.failure_attribution.survived(job.id, longest_s, now))
        return self.failure_attribution.task_limit(job.id, job.bound_count, longest_s, now)

    def _stray_exit(
        self,
        machine: Machine,
        task: TaskId,
        attempt: Attempt,
        line: wire.TaskStatus,
        now: Monotonic,
    ) -> None:
        """An exited attempt that no binding covers. That it is done is true all the same."""
        if (task, attempt) in machine.exited:
            return
        job = self._job_store.jobs.get(task.job)
        if line.why == wire.WHY_DONE and job is not None and 0 <= task.index < job.spec.tasks:
            self._job_store.complete(job, task.index, now)
            chunk = job.chunks.get(task.index // job.chunk_tasks)
            version = chunk.version if chunk is not None else 0
            machine.exited[(task, attempt)] = Exit(chunk, version)
            self.changed()
        else:
            machine.exited[(task, attempt)] = _UNKNOWN_EXIT

    def _missing(
        self,
        machine: Machine,
        binding: Binding,
        report: wire.Heartbeat,
        now: Monotonic,
        direct: bool,
    ) -> None:
        """A bound task that a report with this term's token does not list."""
        if binding.seen or binding.inherited:
            self._release(machine, binding, now, "no longer listed")
            self.changed()
        elif binding.direct_start_in_flight:
            # A direct start may still arrive. Sent with the response as well, it becomes known.
            if binding.sent is not None and report.sequence > binding.sent and not direct:
                binding.sent = None
        elif binding.sent is None:
            if binding.stop is not None:
                self._release(machine, binding, now, "never sent")
                self.changed()
        elif report.sequence > binding.sent and not direct:
            # The answer to a direct command proves nothing here: it can be newer than the report
            # whose response, with the start in it, is still on its way to the worker.
            # The response that carried the start was lost, and workers drop late ones.
            if binding.stop is not None:
                self._release(machine, binding, now, "its start was lost")
                self.changed()
            else:
                binding.sent = None

    # -- commands -------------------------------------------------------------------------------

    def _commands(
        self, machine: Machine, report: wire.Heartbeat, now: Monotonic
    ) -> list[dict[str, Any]]:
        commands = self.stops(machine, now)
        for task, attempt, line in machine.unreconciled:
            if line.state != wire.EXITED:
                commands.append(wire.stop(line.task, attempt, 0.0))
            elif machine.exited.get((task, attempt), _UNKNOWN_EXIT).settled:
                commands.append(wire.forget(line.task, attempt))
        if not machine.releasing:
            for binding in machine.bindings.values():
                if binding.sent is None and not binding.seen and self._to_send(binding):
                    binding.sent = HeartbeatSequence(report.sequence)
                    commands.append(wire.start(str(binding.task), binding.attempt))
        return commands

    def _to_send(self, binding: Binding) -> bool:
        """Whether its start goes with a report's response.

        Also where the task is to be stopped, if a direct start may still arrive: started, it is
        listed and then stopped. Its binding would stand for as long as the machine otherwise.
        """
        if binding.direct_start_in_flight and not binding.chunk.job.cancelled:
            return True
        return self._may_start(binding)

    # -- direct starts --------------------------------------------------------------------------

    def direct_starts(self, machine: Machine) -> list[Binding]:
        """Bindings whose start may go to the worker directly, now."""
        if not machine.current or machine.releasing or machine.lease_expired:
            return []
        return [b for b in machine.bindings.values() if b.never_sent and self._may_start(b)]

    def direct_sent(self, bindings: Iterable[Binding]) -> None:
        """From here on the start may be executed at any time, until it is accounted for."""
        for binding in bindings:
            binding.direct_start_in_flight = True

    def direct_executed(self, bindings: Iterable[Binding]) -> None:
        """The worker answered 200: each start was executed, once and for all."""
        for binding in bindings:
            binding.direct_start_in_flight = False
            binding.seen = True
            machine = self.machines.get(binding.machine)
            if machine is not None:
                machine.mark_inbound_partitioned(False)

    def direct_refused(self, bindings: Iterable[Binding]) -> None:
        """Nothing of it was or will be executed: the worker said so, or the request never left."""
        for binding in bindings:
            binding.direct_start_in_flight = False

    @staticmethod
    def _may_start(binding: Binding) -> bool:
        return (
            not binding.inherited
            and binding.stop is None
            and binding.committed
            and not binding.chunk.job.cancelled
        )

    def stops(self, machine: Machine, now: Monotonic) -> list[dict[str, Any]]:
        """Stops that are wanted and, as far as is known, not yet carried out."""
        commands: list[dict[str, Any]] = []
        for binding in machine.bindings.values():
            stop = binding.stop
            if stop is None or binding.never_sent:
                continue
            overdue = now - stop.since > stop.grace_s
            if binding.state == wire.SAVING and not overdue:
                continue
            grace_s = 0.0 if overdue else stop.grace_s
            commands.append(wire.stop(str(binding.task), binding.attempt, grace_s))
        return commands

    def stop(self, binding: Binding, reason: str, grace_s: float, now: Monotonic) -> bool:
        """Wants a task stopped. True if its machine has to be told, False if it never started."""
        if binding.stop is not None:
            if grace_s < binding.stop.grace_s:
                binding.stop = Stop(reason, grace_s, now)
            return True
        binding.stop = Stop(reason, grace_s, now)
        machine = self.machines.get(binding.machine)
        if machine is not None:
            machine.touch()
        if binding.never_sent:
            if machine is not None:
                self._release(machine, binding, now, f"never started ({reason})")
            return False
        return True

    # -- bindings -------------------------------------------------------------------------------

    def bind(
        self, job: Job, machine: Machine, backfilled: bool, wall: Wall, now: Monotonic
    ) -> Binding | None:
        assert machine.incarnation is not None
        index = self._job_store.take_task(job)
        if index is None:
            return None
        binding = self._job_store.bind(
            job, index, machine.id, machine.incarnation, machine.zone, backfilled, wall, now
        )
        self._attach(machine, binding)
        return binding

    def _attach(self, machine: Machine, binding: Binding) -> None:
        spec = binding.chunk.job.spec
        machine.touch()
        machine.bindings[binding.task] = binding
        machine.named[str(binding.task)] = binding
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        machine.idle_since = None

    def _release(self, machine: Machine, binding: Binding, now: Monotonic, proof: str) -> None:
        if machine.bindings.get(binding.task) is not binding:
            return
        spec = binding.chunk.job.spec
        machine.touch()
        del machine.bindings[binding.task]
        del machine.named[str(binding.task)]
        machine.cpus -= spec.cpus
        machine.gpus -= spec.gpus
        machine.memory_gb -= spec.memory_gb
        if not machine.bindings:
            machine.cpus = machine.gpus = machine.memory_gb = 0.0
            machine.idle_since = now
        reason = f", stopped for {binding.stop.reason}" if binding.stop is not None else ""
        log.debug("task %s released from %s: %s%s", binding.task, machine.id, proof, reason)
        self._job_store.release(binding, machine.zone, now)

    # -- silence, and the cloud's word ----------------------------------------------------------

    def delegation_ended(self, now: Monotonic) -> None:
        """A delegate's delegation was closed; it may have acted on it for a moment longer."""
        self._elsewhere_until = Monotonic(max(self._elsewhere_until, now + self._delegation_s))

    def silent(self, now: Monotonic) -> list[Machine]:
        """Machines whose lease has certainly run out, unless a delegate renewed it."""
        return [
            machine
            for machine in self.machines.values()
            if not machine.lease_expired
            and machine.incarnation is not None
            and now - self._renewed_at(machine) > self._silence_s
        ]

    def _renewed_at(self, machine: Machine) -> Monotonic:
        own = machine.answered_at if machine.answered_at is not None else self._elected_at
        begun = machine.incarnation_seen_at if machine.incarnation_seen_at is not None else own
        return max(own, begun, self._elsewhere_until)

    def still_coming(self, now: Monotonic, share: float, within_s: float) -> bool:
        """Whether a new leader has yet to hear from most of the machines that are up.

        Until `within_s` after the election, or until so large a `share` of them was heard.
        """
        if now - self._elected_at > within_s:
            return False
        up = [m for m in self.machines.values() if m.up]
        return sum(m.last_contact_at is not None for m in up) < share * len(up)

    def silence_s_of(self, machine: Machine, now: Monotonic) -> float:
        """For how long nothing was heard of a machine that has reported, or is said to have."""
        if machine.last_contact_at is not None:
            return now - machine.last_contact_at
        # Rented in this term and listed as running, it may have come up just now.
        return now - max(self._elected_at, machine.since)

    def check_silence(self, now: Monotonic) -> None:
        """Proof 3: a worker whose lease has certainly run out has killed all its tasks.

        With delegates about, `now` must lie before it was seen that none of them has a delegation.
        """
        for machine in self.silent(now):
            log.info(
                "machine %s lapsed in session %d with %d tasks",
                machine.id,
                machine.incarnation,
                len(machine.bindings),
            )
            machine.lease_expired = True
            machine.current = False
            machine.expired_cpus = machine.cpus
            for binding in list(machine.bindings.values()):
                self._release(machine, binding, now, "lease lapsed")
            machine.exited.clear()
            machine.unbound_tasks = 0
            self.changed()

    def released(self, machine_id: MachineId, now: Monotonic) -> None:
        """Proof 4: the cloud has confirmed that the machine is gone."""
        self.terminated[machine_id] = now
        machine = self._forget(machine_id)
        if machine is None:
            return
        for binding in list(machine.bindings.values()):
            self._release(machine, binding, now, "machine released")
        self.changed()

    def forget_gone(self, now: Monotonic) -> None:
        for machine_id in [i for i, at in self.terminated.items() if now - at > _GONE_KEPT_S]:
            del self.terminated[machine_id]

    def drop(self, machine: Machine) -> None:
        """Forgets a machine that has no bindings and is no longer listed."""
        assert not machine.bindings
        self._forget(machine.id)

    def _forget(self, machine_id: MachineId) -> Machine | None:
        machine = self.machines.pop(machine_id, None)
        self.failure_attribution.forget_machine(machine_id)
        self.deregistered(machine_id)
        return machine
