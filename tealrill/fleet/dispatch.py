"""From memory to the scheduler's view, and from its plan to wanted bindings, stops and rentals."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from tealrill import wire
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler import capacity, failure_detector
from tealrill.scheduler.capacity import Offer, Rental
from tealrill.scheduler.capacity_losses import CapacityLosses
from tealrill.scheduler.estimates import Estimates, TypicalSizes
from tealrill.scheduler.failure_detector import Diagnosis, Suspicion
from tealrill.scheduler.model import (
    Expected,
    JobView,
    MachineView,
    Pace,
    Plan,
    Policy,
    RunningTask,
    TeamView,
    View,
    remaining_s,
)
from tealrill.scheduler.plan import plan
from tealrill.settings import Params
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import JobId, MachineId, Monotonic, Revision, Wall

log = logging.getLogger(__name__)

_SERVICE_RUN_S: Final = 1e9
_UNNAMED: Final = MachineId("")
_ALL_HEARD: Final = Diagnosis({}, frozenset())
_IDLE_S: Final = 20.0
_EXPECTED_FOR_S: Final = 45.0
"""A class of which nothing was submitted for so long is not expected any more."""
_DEAR_IDLE_S: Final = 8.0
_LIKELY: Final = 0.7
_MINIMUM_S: Final = 58.0
_SILENT_RETURN_S: Final = 45.0
_HEARD_SHARE: Final = 0.8
_COMING_REPORTS: Final = 2.5
"""For so many report periods at most a new leader waits for so large a part of the machines."""
_UNHEARD_BOOTS: Final = 3.0
"""A machine that the list calls running and nobody hears for so many boots more is returned."""
RENT_EVERY_S: Final = 0.5
"""A machine takes many times as long to boot, so wishes for more are worked out more rarely than
placement: in an overload they are the dearest part of a pass."""


_Upcoming = Callable[[Monotonic, float], Iterable[tuple[JobView, int]]]
"""Jobs that are about to wait, with their tasks, seen from a moment within so many seconds."""


class SchedulingLoop:
    """One term's placement passes."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        provisioner: Provisioner,
        estimates: Estimates,
        params: Params,
        command_now: Callable[[Machine], None],
    ) -> None:
        self._job_store = job_store
        self._fleet = fleet
        self._provisioner = provisioner
        self._estimates = estimates
        self._params = params
        self._command_now = command_now
        self._silence_s = failure_detector.silent_after_s(params.workers.heartbeat_interval_s)
        self.diagnosis: Callable[[], Diagnosis] = lambda: _ALL_HEARD
        """What the silence of machines means, as it was judged last."""
        self._capacity_losses = CapacityLosses()
        self._acquainted = False
        """This leader has heard most machines that were up when it was elected."""
        self._coming_s = _COMING_REPORTS * params.workers.heartbeat_interval_s
        provisioner.granted = self._granted
        self._times = _deadline_times(params)
        self._prompt = {o.job_class for o in params.objectives if o.kind == "wait" and o.job_class}
        self._prompt_rank = 0
        self._prompt_at = Monotonic(0.0)
        self._rent_at = Monotonic(-math.inf)
        self._paces: dict[str, Pace] = {}
        self._steady_pace = Pace()
        self._catalogue: wire.Catalogue | None = None
        """The one that the machines' views were made with."""
        self.put_off = False
        """A wish for machines waits for a pass soon after this one."""
        self.sizes = TypicalSizes()
        self.policy = Policy()
        self.upcoming: _Upcoming = lambda _, __: ()
        """Tasks that will wait for machines within so many seconds."""
        self.last: Plan = Plan()

    def run(self, now: Monotonic, wall: Wall) -> None:
        """One pass."""
        self._restore(now)
        view = self.view(now, wall)
        result = plan(view, now, self.policy)
        self.last = result
        self._start(result, now, wall)
        self._stop(result, now)
        self._rent(result, view, now)
        self._drain_noticed(now)
        self._return(result, view, now)
        result.settle()

    # -- the view -------------------------------------------------------------------------------

    def view(self, now: Monotonic, wall: Wall) -> View:
        """What a pass looks at. Machines in which nothing changed are taken as they were."""
        for team, pace in self._paces.items():
            pace.ratio = self._estimates.ratio(team)
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
        verdicts = self.diagnosis().verdicts
        heard_from = now - self._silence_s
        for machine in self._fleet.machines.values():
            last_contact_at, answered_at = machine.last_contact_at, machine.answered_at
            if (
                answered_at is not None
                and answered_at >= heard_from
                and (view := machine.view) is not None
                and not view.used
                and machine.is_in_order
                and now >= machine.refused_until
                and machine.id not in verdicts
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

    def _expected(self, now: Monotonic) -> Expected | None:
        """The next job of a class that is to start within seconds, by the size of recent ones."""
        if now - self._prompt_at > _EXPECTED_FOR_S:
            return None
        cpus = max((self.sizes.large(name) for name in self._prompt), default=0.0)
        return Expected(self._prompt_rank, cpus) if cpus > 0 else None

    def submitted(self, spec: wire.JobSpec, now: Monotonic) -> None:
        """Takes note of a new job."""
        if spec.job_class in self._prompt:
            self.sizes.submitted(spec.job_class, spec.cpus * spec.tasks)
            self._prompt_rank = max(self._prompt_rank, spec.rank)
            self._prompt_at = now

    def _machines(self) -> list[Machine]:
        return list(self._fleet.machines.values())

    def _machine(self, machine: Machine, now: Monotonic) -> MachineView | None:
        kind = self._provisioner.type_of(machine.type)
        if kind is None or machine.releasing or machine.draining or machine.lease_expired:
            return None
        if machine.preemption_notice_until is not None or machine.unbound_tasks:
            return None
        if machine.last_contact_at is None:
            if not _boots(machine, self._verdict(machine)):
                return None
            ready_at = Monotonic(max(machine.since + kind.boot_s, now + 1.0))
        elif machine.is_placeable(now, self._silence_s) and not self._gone(machine):
            ready_at = now
        else:
            return None
        return self._seen(machine, kind, ready_at)

    def _seen(self, machine: Machine, kind: wire.MachineType, ready_at: Monotonic) -> MachineView:
        view = machine.view
        if view is None or view.used:
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
            if machine.releasing or machine.draining or machine.preemption_notice_until is not None:
                continue
            verdict = self._verdict(machine)
            silent_s = self._fleet.leases.silence_s_of(machine, now)
            if silent_s <= self._silence_s or _boots(machine, verdict):
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
            self._is_dear(machine.type, machine.spot),
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

    def _pace(self, team: str) -> Pace:
        pace = self._paces.get(team)
        if pace is None:
            pace = self._paces[team] = Pace(self._estimates.ratio(team))
        return pace

    def _run_s(self, spec: wire.JobSpec) -> float:
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
        run_s = self._run_s(spec)
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
        """A job that is not in the queue, as if it had just come."""
        job = Job(JobId(spec.id), spec, Wall(0.0), Revision(0), 1, bytearray())
        job.due_s = spec.deadline_s
        return self._job(job, waiting, Monotonic(0.0), Wall(0.0))

    def remaining_s(self, job: Job, now: Monotonic) -> float:
        """How long the job's tasks are expected to take from now on."""
        run_s = self._run_s(job.spec)
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

    # -- the plan -------------------------------------------------------------------------------

    def _start(self, result: Plan, now: Monotonic, wall: Wall) -> None:
        for start in result.starts:
            job = self._job_store.jobs.get(start.job)
            machine = self._fleet.machines.get(start.machine)
            if job is None or machine is None:
                continue
            binding = self._fleet.bind(job, machine, start.backfilled, wall, now)
            if binding is not None:
                note = " as backfill" if start.backfilled else ""
                log.debug("task %s bound to %s%s", binding.task, machine.id, note)

    def _stop(self, result: Plan, now: Monotonic) -> None:
        told: dict[Machine, None] = {}
        for stop in result.stops:
            job = self._job_store.jobs.get(stop.task.job)
            task = job.tasks.get(stop.task.index) if job is not None else None
            binding = task.binding if task is not None else None
            if binding is None:
                continue
            log.info("stopping %s on %s for %s", stop.task, binding.machine, stop.for_job)
            self._want_stopped(binding, "preemption", stop.grace_s, now, told)
        self._tell(told)

    def cancel(self, job: Job, now: Monotonic) -> None:
        """Stops every task of a cancelled job; nothing that it still does is of use."""
        told: dict[Machine, None] = {}
        for binding in list(job.bindings()):
            self._want_stopped(binding, "cancelled", 0.0, now, told)
        self._tell(told)

    def _want_stopped(
        self,
        binding: Binding,
        reason: str,
        grace_s: float,
        now: Monotonic,
        told: dict[Machine, None],
    ) -> None:
        """Adds to `told` the machine that has to hear of it."""
        machine = self._fleet.machines.get(binding.machine)
        if self._fleet.commands.stop(binding, reason, grace_s, now) and machine is not None:
            told[machine] = None

    def _tell(self, machines: dict[Machine, None]) -> None:
        for machine in machines:
            self._command_now(machine)

    # -- the fleet ------------------------------------------------------------------------------

    def _rent(self, result: Plan, view: View, now: Monotonic) -> None:
        offers = self._provisioner.offers
        self.put_off = now < self._rent_at and bool(result.unplaced)
        if not offers or now < self._rent_at:
            return
        if not self._acquainted:
            # Machines that a new leader has not heard yet seem to have no room. In the first second
            # of a term one rented 116 of them a second time, the dear ones too.
            self._acquainted = not self._fleet.leases.still_coming(
                now, _HEARD_SHARE, self._coming_s
            )
            if not self._acquainted:
                self.put_off = True
                return
        self._rent_at = Monotonic(now + RENT_EVERY_S)
        available = self._available(now)
        if all(self._provisioner.asked_for(offer.kind) for offer in available):
            # Whatever would be wished for is not asked for before those requests are answered. (In
            # an overload this reckoning was the dearest part of a pass, and mostly for nothing.)
            return
        machines = view.machines + view.coming
        # Behind what waits already: machines that boot while the tasks before them still run.
        soon = self.upcoming(now, max(o.boot_s for o in offers))
        unplaced = [*result.unplaced, *soon]
        wanted = capacity.rentals(
            unplaced, machines, offers, available, now, self.policy, result.affordable
        )
        if not wanted:
            missing = self._missing_for_expected(view, machines)
            cheap = [o for o in available if not self._is_dear(o.type, o.spot)]
            wanted = capacity.rentals(missing, [], offers, cheap, now, self.policy)
        for rental in wanted:
            self._provisioner.rent(rental, now)

    def _available(self, now: Monotonic) -> list[Offer]:
        """Not refused a short while ago, and not in a zone that is cut off from here.

        A machine booted into a cut costs its price and takes no task. Zones are chosen by where we
        have the fewest machines, which was just the one that is not heard.
        """
        cut = self.diagnosis().partitioned_zones
        return [o for o in self._provisioner.available(now) if o.zone not in cut]

    # -- after a fall -----------------------------------------------------------------------------

    def _restore(self, now: Monotonic) -> None:
        """Asks at once for what a fall took, in parts over all cheap kinds of the same type."""
        if now < self._rent_at:
            return
        self._count_losses(now)
        replacement_capacity = self._capacity_losses.replacement_capacity(
            now, len(self._fleet.machines)
        )
        if not replacement_capacity:
            return
        asked: dict[str, float] = {}
        for rental in self._provisioner.under_way():
            asked[rental.type] = asked.get(rental.type, 0.0) + self._cpus(rental)
        available = [o for o in self._available(now) if not self._is_dear(o.type, o.spot)]
        for type_name, cpus in replacement_capacity.items():
            offers = [o for o in available if o.type == type_name and o.cpus > 0]
            missing = cpus - asked.get(type_name, 0.0)
            if offers and missing > 0:
                self._ask_for(offers, math.ceil(missing / offers[0].cpus), now)

    def _ask_for(self, offers: list[Offer], count: int, now: Monotonic) -> None:
        """So many machines, in even parts: who has how many to give is not known beforehand."""
        for number, offer in enumerate(offers):
            part = count // len(offers) + (number < count % len(offers))
            if part > 0:
                self._provisioner.rent(Rental(offer.type, offer.zone, offer.spot, part), now)

    def _count_losses(self, now: Monotonic) -> None:
        verdicts = self.diagnosis().verdicts
        heard_from = now - self._silence_s
        some_lost = self._capacity_losses.has_losses
        for machine in self._fleet.machines.values():
            if (
                machine.preemption_notice_until is not None
                or machine.listed == wire.MACHINE_FAILED
                or verdicts.get(machine.id) is Suspicion.GONE
            ):
                cpus = max(machine.cpus, machine.expired_cpus)
                if self._capacity_losses.lost(machine.id, machine.type, cpus, now):
                    # Refused while the fleet was whole; the cloud may have its place again.
                    self._provisioner.capacity_backoff.hopeful(machine.kind)
            elif (
                some_lost
                and machine.last_contact_at is not None
                and machine.last_contact_at >= heard_from
            ):
                self._capacity_losses.recovered(machine.id)

    def _verdict(self, machine: Machine) -> Suspicion:
        """Late, if it has not been judged."""
        return self.diagnosis().verdicts.get(machine.id, Suspicion.LATE)

    def _gone(self, machine: Machine) -> bool:
        return self._verdict(machine) is Suspicion.GONE

    def _granted(self, rental: Rental) -> None:
        self._capacity_losses.rented(rental.type, self._cpus(rental))

    def _cpus(self, rental: Rental) -> float:
        """Processors of all machines of a rental; 0 for a type that the catalogue lost."""
        kind = self._provisioner.type_of(rental.type)
        return kind.cpus * rental.count if kind is not None else 0.0

    def _is_dear(self, type_name: str, spot: bool) -> bool:
        return self._provisioner.is_dear(type_name, spot, self.policy.dear)

    def _missing_for_expected(
        self, view: View, machines: list[MachineView]
    ) -> list[tuple[JobView, int]]:
        """Room for expected work that is neither free nor booting, as tasks of one processor."""
        if view.expected is None:
            return []
        missing = math.ceil(view.expected.cpus - _free(machines))
        if missing <= 0:
            return []
        job = JobView(
            id=JobId("expected"),
            team="",
            rank=0,
            cpus=1.0,
            gpus=0.0,
            memory_gb=0.0,
            waiting=missing,
            tasks=missing,
            waited_s=0.0,
            latest_s=(),
            estimate_s=1.0,
            image="",
            image_gb=0.0,
            types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=True,
            zone_counts={},
        )
        return [(job, missing)]

    def _under_way(self, now: Monotonic) -> list[MachineView]:
        """Machines that were asked for and not yet granted count like those that boot."""
        found: list[MachineView] = []
        for rental in self._provisioner.under_way():
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
                self._is_dear(rental.type, rental.spot),
                (),
            )
            # The views of one rental are alike and only read, so one stands for all.
            found += [view] * rental.count
        return found

    def _drain_noticed(self, now: Monotonic) -> None:
        """On a machine with notice, what can save and won't end in time saves at once."""
        for machine in self._fleet.machines.values():
            if machine.preemption_notice_until is None or not machine.bindings:
                continue
            told = False
            # The notice may run to half its nominal value.
            left_s = 0.5 * (machine.preemption_notice_until - now)
            for binding in list(machine.bindings.values()):
                spec = binding.chunk.job.spec
                if not spec.saves or binding.stop is not None or binding.running_since is None:
                    continue
                if remaining_s(self._run_s(spec), now - binding.running_since) > left_s:
                    told |= self._fleet.commands.stop(binding, "notice", spec.save_s, now)
            if told:
                self._command_now(machine)

    def _return(self, result: Plan, view: View, now: Monotonic) -> None:
        """Gives back machines that have nothing to do.

        Tasks that wait are no reason to keep an idle machine: if they fitted it, they would run.
        Thirty small machines once stood idle for minutes because large tasks were waiting.
        """
        spare = _free(view.machines) - (view.expected.cpus if view.expected is not None else 0.0)
        verdicts = self.diagnosis().verdicts
        lease_expired = sum(m.lease_expired for m in self._fleet.machines.values())
        for machine in self._fleet.machines.values():
            if machine.releasing:
                continue
            if (
                verdicts
                and verdicts.get(machine.id) is Suspicion.GONE
                and self._may_be_released(machine, now)
            ):
                # The cloud counts a dead machine as ours until it is released, and has none to give
                # in its place. It says itself that it failed, but only half a minute later.
                self._release(machine, "gone")
                continue
            if machine.bindings:
                continue
            if machine.last_contact_at is None:
                self._return_unheard(machine, now)
                continue
            if machine.lease_expired:
                # Many silent machines at once mean that this node is cut off, not that they died.
                long = (
                    now - machine.last_contact_at > self._params.workers.lease_s + _SILENT_RETURN_S
                )
                if long and 2 * lease_expired <= len(self._fleet.machines):
                    self._release(machine, "silent")
                continue
            if machine.draining or machine.preemption_notice_until is not None:
                self._release(machine, machine.draining or "notice")
                continue
            if machine.idle_since is None:
                machine.idle_since = now
            dear = self._is_dear(machine.type, machine.spot)
            idle_s = _DEAR_IDLE_S if dear else _IDLE_S
            idle = now - machine.idle_since > idle_s and now - machine.since > _MINIMUM_S
            if not idle:
                continue
            kind = self._provisioner.type_of(machine.type)
            size = kind.cpus if kind is not None else 0.0
            if (dear or spare >= size) and machine.id not in result.reservations:
                spare -= size
                self._release(machine, "idle")

    def _may_be_released(self, machine: Machine, now: Monotonic) -> bool:
        """Once its lease is over anyway, or at once if the cloud shows that it has taken it.

        The release is the proof that its tasks are gone. Where a delegate or an unread delegation
        keeps every silent machine from lapsing, it is the only one: 109 machines' tasks once waited
        for 35 s behind a partition that did not concern them.
        """
        silent_s = self._fleet.leases.silence_s_of(machine, now)
        return (
            machine.missing_from_lists >= failure_detector.LISTS
            or silent_s > self._params.workers.lease_s
        )

    def _return_unheard(self, machine: Machine, now: Monotonic) -> None:
        """The cloud says that it runs, its worker has not come, and its zone is heard."""
        kind = self._provisioner.type_of(machine.type)
        if kind is None or not machine.up or machine.zone in self.diagnosis().partitioned_zones:
            return
        terminated = self._gone(machine)
        patience_s = self._params.workers.lease_s if terminated else _UNHEARD_BOOTS * kind.boot_s
        if self._fleet.leases.silence_s_of(machine, now) > patience_s + kind.boot_s:
            self._release(machine, "gone" if terminated else "never heard")

    def _release(self, machine: Machine, why: str) -> None:
        log.info("returning machine %s: %s", machine.id, why)
        machine.releasing = True


def _boots(machine: Machine, verdict: Suspicion) -> bool:
    """Not heard yet, and no reason to think that it won't be. A new leader begins with all so."""
    return (
        machine.last_contact_at is None and not machine.lease_expired and verdict is Suspicion.LATE
    )


def _free(machines: list[MachineView]) -> float:
    """Processors that are free now, or will be once a machine is up."""
    return sum(m.cpus for m in machines if m.cpus > 0)


def _deadline_times(params: Params) -> dict[str, list[float]]:
    """Per class, the multiples of the deadline that it is judged by."""
    times: dict[str, list[float]] = {}
    for objective in params.objectives:
        if objective.kind == "deadline" and objective.job_class is not None:
            times.setdefault(objective.job_class, []).append(objective.times or 1.0)
    return {job_class: sorted(found) for job_class, found in times.items()}
