"""The planner's view of a term's machines and jobs, built from memory for each pass."""

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
_UNNAMED: Final = MachineId("")
_EXPECTED_FOR_S: Final = 45.0
"""A class of which nothing was submitted for so long is not expected any more."""
_LIKELY: Final = 0.7


class SnapshotBuilder:
    """Builds the views of one term's passes."""

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
        self._times = _deadline_times(params)
        self._prompt = {o.job_class for o in params.objectives if o.kind == "wait" and o.job_class}
        self._prompt_rank = 0
        self._prompt_at = Monotonic(0.0)
        self._paces: dict[str, EstimateCorrection] = {}
        self._steady_pace = EstimateCorrection()
        self._catalogue: wire.Catalogue | None = None
        """The one that the machines' views were made with."""
        self._sizes = TypicalSizes()

    def view(self, now: Monotonic, wall: Wall) -> View:
        """Return what a pass looks at; machines in which nothing changed are as they were."""
        for team, correction in self._paces.items():
            correction.ratio = self._estimates.ratio(team)
        if self._catalogue is not self._provisioner.catalogue:
            self._catalogue = self._provisioner.catalogue
            # Of all machines, those too that this pass does not look at.
            for machine in self._machines():
                machine.touch()
        machines, silent = self._survey(now)
        return View(
            machines,
            self._queue(now, wall),
            self._teams(),
            self._expected(now),
            self._job_store.rank_cpus,
            self._under_way(now) + self._returning(silent, now),
        )

    def _survey(self, now: Monotonic) -> tuple[list[MachineView], list[Machine]]:
        """One look at every machine: those that placement may count on, and the silent ones.

        A machine that is heard and all right is told from its own fields: of hundreds hardly any is
        not, and this is asked in every pass.
        """
        views: list[MachineView] = []
        silent: list[Machine] = []
        suspicions = self._diagnosis().suspicions
        heard_from = now - self._silence_s
        for machine in self._fleet.machines.values():
            last_contact_at, last_acknowledged_at = (
                machine.last_contact_at,
                machine.last_acknowledged_at,
            )
            if (
                last_acknowledged_at is not None
                and last_acknowledged_at >= heard_from
                and (view := machine.view) is not None
                and not view.is_modified
                and machine.is_in_order
                and now >= machine.refused_until
                and machine.id not in suspicions
            ):
                view.ready_at = now
                views.append(view)
                continue
            if last_contact_at is None or last_contact_at < heard_from:
                silent.append(machine)
            found = self._machine(machine, now)
            if found is not None:
                views.append(found)
        return views, silent

    def _expected(self, now: Monotonic) -> ExpectedWork | None:
        """The next job of a class that is to start within seconds, by the size of recent ones."""
        if now - self._prompt_at > _EXPECTED_FOR_S:
            return None
        cpus = max((self._sizes.percentile_80_cpus(name) for name in self._prompt), default=0.0)
        return ExpectedWork(self._prompt_rank, cpus) if cpus > 0 else None

    def submitted(self, spec: wire.JobSpec, now: Monotonic) -> None:
        """Take note of a new job, for the work that is expected."""
        if spec.job_class in self._prompt:
            self._sizes.submitted(spec.job_class, spec.cpus * spec.tasks)
            self._prompt_rank = max(self._prompt_rank, spec.rank)
            self._prompt_at = now

    def _machines(self) -> list[Machine]:
        return list(self._fleet.machines.values())

    def _machine(self, machine: Machine, now: Monotonic) -> MachineView | None:
        kind = self._provisioner.type_of(machine.type)
        if kind is None or machine.releasing or machine.drain_reason or machine.lease_expired:
            return None
        if machine.preemption_notice_until is not None or machine.unbound_tasks:
            return None
        if machine.last_contact_at is None:
            if not boots(machine, suspicion(self._diagnosis(), machine)):
                return None
            ready_at = Monotonic(max(machine.rented_at + kind.boot_s, now + 1.0))
        elif (
            machine.is_placeable(now, self._silence_s)
            and suspicion(self._diagnosis(), machine) is not Suspicion.FAILED
        ):
            ready_at = now
        else:
            return None
        return self._seen(machine, kind, ready_at)

    def _seen(self, machine: Machine, kind: wire.MachineType, ready_at: Monotonic) -> MachineView:
        view = machine.view
        if view is None or view.is_modified:
            view = machine.view = self._fresh(machine, kind)
        view.ready_at = ready_at
        return view

    def _returning(self, silent: list[Machine], now: Monotonic) -> list[MachineView]:
        """Silent machines that are likely to be back before a replacement would be up.

        Nothing is placed on them. But what they will take again is not rented a second time, and
        does not make jobs look unaffordable without dear machines. (250 machines hung for 19 s: 120
        replacements were rented meanwhile, and 110 more while the hung ones came back.)
        """
        found: list[MachineView] = []
        for machine in silent:
            if (
                machine.releasing
                or machine.drain_reason
                or machine.preemption_notice_until is not None
            ):
                continue
            verdict = suspicion(self._diagnosis(), machine)
            silent_s = self._fleet.leases.contact_age_s(machine, now)
            if silent_s <= self._silence_s or boots(machine, verdict):
                continue
            kind = self._provisioner.type_of(machine.type)
            back_s = failure_detector.expected_recovery_s(verdict, silent_s)
            if kind is not None and back_s is not None and back_s <= kind.boot_s:
                found.append(self._seen(machine, kind, Monotonic(now + back_s)))
        return found

    def _fresh(self, machine: Machine, kind: wire.MachineType) -> MachineView:
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
            [self._running(b) for b in machine.bindings.values()],
        )

    def _running(self, binding: Binding) -> RunningTask:
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
            self._steady_pace if spec.is_service else self._pace(spec.team),
            spec.saves,
            spec.save_s,
        )

    def _pace(self, team: str) -> EstimateCorrection:
        correction = self._paces.get(team)
        if correction is None:
            correction = self._paces[team] = EstimateCorrection(self._estimates.ratio(team))
        return correction

    def run_s(self, spec: wire.JobSpec) -> float:
        """Return the seconds that a task of a job is expected to run."""
        if spec.is_service:
            return _SERVICE_RUN_S
        return self._estimates.run_s(spec.team, spec.estimate_s)

    def _queue(self, now: Monotonic, wall: Wall) -> list[JobView]:
        found = ((job, self._waiting(job, now)) for job in self._job_store.jobs.values())
        return [self._job(job, waiting, now, wall) for job, waiting in found if waiting > 0]

    def _waiting(self, job: Job, now: Monotonic) -> int:
        """How many of the job's tasks wait and may be placed."""
        if job.waiting <= 0:
            return 0
        tries = self._fleet.tries(job, now)
        if tries == 0:
            # Failing wherever it runs, it takes no room, no money and no place in the queue.
            return 0
        spec = job.spec
        if (spec.one_zone or spec.spread) and sum(job.zone_counts.values()) < job.bound_count:
            # Until the zones of all its tasks are known, a job with a rule about zones waits.
            return 0
        return job.waiting if tries is None or spec.is_gang else min(job.waiting, tries)

    def _job(self, job: Job, waiting: int, now: Monotonic, wall: Wall) -> JobView:
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
            self._latest(spec, job.due_s, waited_s, run_s),
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
        """Return the view of a job that is not in the queue, as if it had just come."""
        job = Job(JobId(spec.id), spec, Wall(0.0), Revision(0), 1, bytearray())
        job.due_s = spec.deadline_s
        return self._job(job, waiting, Monotonic(0.0), Wall(0.0))

    def remaining_s(self, job: Job, now: Monotonic) -> float:
        """Return the seconds that the job's tasks are expected to take from now on."""
        run_s = self.run_s(job.spec)
        if job.waiting > 0:
            return run_s
        bound = ((now - b.running_since) if b.running_since else 0.0 for b in job.bindings())
        return max((remaining_s(run_s, ran_s) for ran_s in bound), default=0.0)

    def _latest(
        self, spec: wire.JobSpec, due_s: float | None, waited_s: float, run_s: float
    ) -> tuple[float, ...]:
        """Per deadline, the time left until the job's tasks must have started."""
        if due_s is None:
            return ()
        times = self._times.get(spec.job_class, [1.0])
        # Estimates are often wrong by half: a deadline isn't given up for the last part of one.
        run_s *= _LIKELY
        return tuple(due_s * t - waited_s - run_s for t in times)

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

    def _under_way(self, now: Monotonic) -> list[MachineView]:
        """Machines that were asked for and not yet granted count like those that boot."""
        found: list[MachineView] = []
        for rental in self._provisioner.pending_rentals():
            kind = self._provisioner.type_of(rental.type)
            if kind is None:
                continue
            view = MachineView(
                _UNNAMED,
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
            # The views of one rental are alike and only read, so one stands for all.
            found += [view] * rental.count
        return found


def suspicion(diagnosis: Diagnosis, machine: Machine) -> Suspicion:
    """Return what a machine's silence means; late, if it has not been judged."""
    return diagnosis.suspicions.get(machine.id, Suspicion.UNDETERMINED)


def boots(machine: Machine, verdict: Suspicion) -> bool:
    """Not heard yet, and no reason to think that it won't be. A new leader begins with all so."""
    return (
        machine.last_contact_at is None
        and not machine.lease_expired
        and verdict is Suspicion.UNDETERMINED
    )


def _deadline_times(params: Params) -> dict[str, list[float]]:
    """Per class, the multiples of the deadline that it is judged by."""
    times: dict[str, list[float]] = {}
    for objective in params.objectives:
        if objective.kind == "deadline" and objective.job_class is not None:
            times.setdefault(objective.job_class, []).append(objective.times or 1.0)
    return {job_class: sorted(found) for job_class, found in times.items()}
