"""Snapshots of a term's machines and jobs: the planner's input for each scheduling pass."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler import failure_detector
from tealrill.scheduler.estimates import Estimates, TypicalSizes
from tealrill.scheduler.failure_detector import Diagnosis, Suspicion
from tealrill.scheduler.model import (
    EstimateCorrection,
    ExpectedWork,
    JobView,
    MachineView,
    Policy,
    RunningTask,
    TeamView,
    View,
    remaining_s,
)
from tealrill.settings import Params
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import JobId, MachineId, Monotonic, Revision, Wall

_SERVICE_RUN_S: Final = 1e9
"""The expected run time of services, which do not end by themselves."""
_NO_ID: Final = MachineId("")
_EXPECTED_FOR_S: Final = 45.0
"""Seconds after the last submission during which another job of the class is expected."""
_ESTIMATE_SHARE: Final = 0.7
"""The part of the estimated run time that counts against a deadline. Estimates are often wrong by
half, so a deadline must not be given up for the last part of one."""


class SnapshotBuilder:
    """Builds the snapshots of one term's passes."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        provisioner: Provisioner,
        estimates: Estimates,
        params: Params,
        policy: Policy,
        diagnosis: Callable[[], Diagnosis],
    ) -> None:
        self._job_store = job_store
        self._fleet = fleet
        self._provisioner = provisioner
        self._estimates = estimates
        self._params = params
        self._policy = policy
        self._diagnosis = diagnosis
        self._silence_s = failure_detector.silent_after_s(params.workers.heartbeat_interval_s)
        self._deadline_multiples = _deadline_multiples_by_class(params)
        self._wait_classes = {
            o.job_class for o in params.objectives if o.kind == "wait" and o.job_class
        }
        self._expected_rank = 0
        self._last_submission_at = Monotonic(0.0)
        self._corrections: dict[str, EstimateCorrection] = {}
        self._no_correction = EstimateCorrection()
        self._catalogue: wire.Catalogue | None = None
        """The catalogue that the cached machine views were built with."""
        self._sizes = TypicalSizes()

    def view(self, now: Monotonic, wall: Wall) -> View:
        """Return the input of a pass; the views of unchanged machines are reused."""
        for team, correction in self._corrections.items():
            correction.ratio = self._estimates.ratio(team)
        if self._catalogue is not self._provisioner.catalogue:
            self._catalogue = self._provisioner.catalogue
            # Cached views of machines that this pass leaves out become stale too.
            for machine in self._machines():
                machine.invalidate_caches()
        machines, unreachable = self._survey(now)
        return View(
            machines,
            self._queue(now, wall),
            self._teams(),
            self._expected_work(now),
            self._job_store.rank_cpus,
            self._requested(now) + self._recovering(unreachable, now),
        )

    def _survey(self, now: Monotonic) -> tuple[list[MachineView], list[Machine]]:
        """Return the views of the machines available for placement, and the unreachable machines.

        Most of hundreds of machines are available with an unchanged view. The first branch
        recognizes them from their own fields, since this runs for every machine in every pass.
        """
        views: list[MachineView] = []
        unreachable: list[Machine] = []
        suspicions = self._diagnosis().suspicions
        contact_since = now - self._silence_s
        for machine in self._fleet.machines.values():
            last_contact_at, last_acknowledged_at = (
                machine.last_contact_at,
                machine.last_acknowledged_at,
            )
            if (
                last_acknowledged_at is not None
                and last_acknowledged_at >= contact_since
                and (view := machine.view) is not None
                and not view.is_modified
                and machine.is_schedulable
                and now >= machine.refused_until
                and machine.id not in suspicions
            ):
                view.ready_at = now
                views.append(view)
                continue
            if last_contact_at is None or last_contact_at < contact_since:
                unreachable.append(machine)
            available_view = self._available_view(machine, now)
            if available_view is not None:
                views.append(available_view)
        return views, unreachable

    def _expected_work(self, now: Monotonic) -> ExpectedWork | None:
        """Return the next expected job of a class with a waiting-time objective, or None.

        Its size is estimated from recent submissions.
        """
        if now - self._last_submission_at > _EXPECTED_FOR_S:
            return None
        cpus = max(
            (self._sizes.percentile_80_cpus(name) for name in self._wait_classes), default=0.0
        )
        return ExpectedWork(self._expected_rank, cpus) if cpus > 0 else None

    def submitted(self, spec: wire.JobSpec, now: Monotonic) -> None:
        """Record a submitted job, for the estimate of expected work."""
        if spec.job_class in self._wait_classes:
            self._sizes.submitted(spec.job_class, spec.cpus * spec.tasks)
            self._expected_rank = max(self._expected_rank, spec.rank)
            self._last_submission_at = now

    def _machines(self) -> list[Machine]:
        return list(self._fleet.machines.values())

    def _available_view(self, machine: Machine, now: Monotonic) -> MachineView | None:
        """Return the view of a machine that takes tasks now or after its boot; None otherwise."""
        kind = self._provisioner.type_of(machine.type)
        if kind is None or machine.releasing or machine.drain_reason or machine.lease_expired:
            return None
        if machine.preemption_notice_until is not None or machine.unbound_tasks:
            return None
        if machine.last_contact_at is None:
            if not is_booting(machine, suspicion(self._diagnosis(), machine)):
                return None
            ready_at = Monotonic(max(machine.rented_at + kind.boot_s, now + 1.0))
        elif (
            machine.is_placeable(now, self._silence_s)
            and suspicion(self._diagnosis(), machine) is not Suspicion.FAILED
        ):
            ready_at = now
        else:
            return None
        return self._cached_view(machine, kind, ready_at)

    def _cached_view(
        self, machine: Machine, kind: wire.MachineType, ready_at: Monotonic
    ) -> MachineView:
        """Return the machine's view, rebuilt if its state or a planner has changed it."""
        view = machine.view
        if view is None or view.is_modified:
            view = machine.view = self._build_view(machine, kind)
        view.ready_at = ready_at
        return view

    def _recovering(self, unreachable: list[Machine], now: Monotonic) -> list[MachineView]:
        """Return views of unreachable machines that probably recover before a replacement boots.

        No tasks are placed on them. They count as capacity that will be available again, so that it
        is not rented a second time and jobs do not appear to need expensive machines. Without them,
        when 250 machines hung for 19 s, 120 replacements were rented during that time and 110 more
        while the machines recovered.
        """
        views: list[MachineView] = []
        for machine in unreachable:
            if (
                machine.releasing
                or machine.drain_reason
                or machine.preemption_notice_until is not None
            ):
                continue
            cause = suspicion(self._diagnosis(), machine)
            silent_s = self._fleet.leases.contact_age_s(machine, now)
            if silent_s <= self._silence_s or is_booting(machine, cause):
                continue
            kind = self._provisioner.type_of(machine.type)
            recovery_s = failure_detector.expected_recovery_s(cause, silent_s)
            if kind is not None and recovery_s is not None and recovery_s <= kind.boot_s:
                views.append(self._cached_view(machine, kind, Monotonic(now + recovery_s)))
        return views

    def _build_view(self, machine: Machine, kind: wire.MachineType) -> MachineView:
        """Build the view of a machine from its present state."""
        return MachineView(
            machine.id,
            machine.type,
            machine.zone,
            machine.spot,
            kind.cpus - machine.cpus,
            kind.gpus - machine.gpus,
            kind.memory_gb - machine.memory_gb,
            kind.cpus,
            Monotonic(0.0),
            max(0.01, kind.fetch_gb_per_s),
            set(machine.images),
            self._provisioner.is_expensive(
                machine.type, machine.spot, self._policy.expensive_ratio
            ),
            [self._running_task(b) for b in machine.bindings.values()],
        )

    def _running_task(self, binding: Binding) -> RunningTask:
        spec = binding.chunk.job.spec
        return RunningTask(
            binding.task,
            spec.team,
            spec.rank,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            binding.backfilled,
            binding.stop is not None,
            binding.running_since,
            _SERVICE_RUN_S if spec.is_service else spec.estimate_s,
            self._no_correction if spec.is_service else self._correction(spec.team),
            spec.saves,
            spec.save_s,
        )

    def _correction(self, team: str) -> EstimateCorrection:
        correction = self._corrections.get(team)
        if correction is None:
            correction = self._corrections[team] = EstimateCorrection(self._estimates.ratio(team))
        return correction

    def run_s(self, spec: wire.JobSpec) -> float:
        """Return the expected run time of a job's task, in seconds."""
        if spec.is_service:
            return _SERVICE_RUN_S
        return self._estimates.run_s(spec.team, spec.estimate_s)

    def _queue(self, now: Monotonic, wall: Wall) -> list[JobView]:
        """Return the views of all jobs with tasks that may be placed now."""
        waiting_jobs = (
            (job, self._startable_tasks(job, now)) for job in self._job_store.jobs.values()
        )
        return [
            self._job_view(job, waiting, now, wall) for job, waiting in waiting_jobs if waiting > 0
        ]

    def _startable_tasks(self, job: Job, now: Monotonic) -> int:
        """Return the number of the job's waiting tasks that may be placed now."""
        if job.waiting <= 0:
            return 0
        limit = self._fleet.startable_tasks(job, now)
        if limit == 0:
            # A failing job on probation uses no capacity, no money and no place in the queue.
            return 0
        spec = job.spec
        if (spec.one_zone or spec.spread) and sum(job.zone_counts.values()) < job.bound_count:
            # A job with a zone constraint waits until the zones of all its bound tasks are known.
            return 0
        return job.waiting if limit is None or spec.is_gang else min(job.waiting, limit)

    def _job_view(self, job: Job, waiting: int, now: Monotonic, wall: Wall) -> JobView:
        spec = job.spec
        waited_s = max(0.0, wall - job.submitted)
        run_s = self.run_s(spec)
        return JobView(
            job.id,
            spec.team,
            spec.rank,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            waiting,
            spec.tasks,
            waited_s,
            self._latest_starts(spec, job.due_s, waited_s, run_s),
            run_s,
            spec.image,
            spec.image_gb,
            frozenset(spec.types) if spec.types is not None else None,
            spec.zone,
            spec.one_zone,
            spec.spread,
            spec.spot,
            dict(job.zone_counts),
            spec.is_gang,
            job.owner.name if job.owner is not None else "",
            job.tail_s,
            self._fleet.failure_attribution.avoided(job.id, now),
            bool(job.tasks) or job.done_count > 0,
        )

    def view_of(self, spec: wire.JobSpec, waiting: int) -> JobView:
        """Return the view of a job that is not queued, as if it had just been submitted."""
        job = Job(JobId(spec.id), spec, Wall(0.0), Revision(0), 1, bytearray())
        job.due_s = spec.deadline_s
        return self._job_view(job, waiting, Monotonic(0.0), Wall(0.0))

    def remaining_s(self, job: Job, now: Monotonic) -> float:
        """Return the expected remaining run time of the job's tasks, in seconds.

        The time that tasks still wait is not included.
        """
        run_s = self.run_s(job.spec)
        if job.waiting > 0:
            return run_s
        bound = ((now - b.running_since) if b.running_since else 0.0 for b in job.bindings())
        return max((remaining_s(run_s, ran_s) for ran_s in bound), default=0.0)

    def _latest_starts(
        self, spec: wire.JobSpec, due_s: float | None, waited_s: float, run_s: float
    ) -> tuple[float, ...]:
        """Return the seconds until the job's tasks must have started, for each of its deadlines."""
        if due_s is None:
            return ()
        multiples = self._deadline_multiples.get(spec.job_class, [1.0])
        run_s *= _ESTIMATE_SHARE
        return tuple(due_s * t - waited_s - run_s for t in multiples)

    def _teams(self) -> dict[str, TeamView]:
        return {
            team.name: TeamView(
                self._job_store.team_cpus.get(team.name, 0.0),
                self._job_store.team_gpus.get(team.name, 0.0),
                team.cpus,
                team.gpus,
                team.cpus_max,
                team.gpus_max,
            )
            for team in self._params.teams
        }

    def _requested(self, now: Monotonic) -> list[MachineView]:
        """Return views of machines that were requested and not yet granted.

        They count like machines that begin to boot now.
        """
        views: list[MachineView] = []
        for rental in self._provisioner.pending_rentals():
            kind = self._provisioner.type_of(rental.type)
            if kind is None:
                continue
            view = MachineView(
                _NO_ID,
                rental.type,
                rental.zone,
                rental.spot,
                kind.cpus,
                kind.gpus,
                kind.memory_gb,
                kind.cpus,
                Monotonic(now + kind.boot_s),
                kind.fetch_gb_per_s,
                set(),
                self._provisioner.is_expensive(
                    rental.type, rental.spot, self._policy.expensive_ratio
                ),
                (),
            )
            # The views of one rental are equal and only read, so they share one object.
            views += [view] * rental.count
        return views


def suspicion(diagnosis: Diagnosis, machine: Machine) -> Suspicion:
    """Return the probable cause of a machine's silence, `UNDETERMINED` if it is not diagnosed."""
    return diagnosis.suspicions.get(machine.id, Suspicion.UNDETERMINED)


def is_booting(machine: Machine, cause: Suspicion) -> bool:
    """Return whether the first contact with a machine is pending and nothing suggests a failure.

    For a new leader that is so of all machines.
    """
    return (
        machine.last_contact_at is None
        and not machine.lease_expired
        and cause is Suspicion.UNDETERMINED
    )


def _deadline_multiples_by_class(params: Params) -> dict[str, list[float]]:
    """Return, for each class, the multiples of its deadline that the objectives refer to."""
    multiples: dict[str, list[float]] = {}
    for objective in params.objectives:
        if objective.kind == "deadline" and objective.job_class is not None:
            multiples.setdefault(objective.job_class, []).append(objective.times or 1.0)
    return {job_class: sorted(values) for job_class, values in multiples.items()}
