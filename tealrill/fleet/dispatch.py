"""A scheduling pass: snapshot, plan, bindings and stops, machines rented and released."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from tealrill.fleet.autoscaling import Autoscaler
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.placement import Placement
from tealrill.fleet.provisioning import Provisioner
from tealrill.fleet.snapshot import SnapshotBuilder
from tealrill.fleet.waiting_jobs import WaitingJobs
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.failure_detector import Diagnosis
from tealrill.scheduler.model import Plan, Policy
from tealrill.scheduler.plan import plan
from tealrill.settings import Params
from tealrill.state.job_store import JobStore
from tealrill.types import Monotonic, Wall

_NO_SUSPICIONS: Final = Diagnosis({}, frozenset())


class SchedulingLoop:
    """Runs the scheduling passes of one term."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        provisioner: Provisioner,
        estimates: Estimates,
        params: Params,
        command_now: Callable[[Machine], None],
    ) -> None:
        self.diagnosis: Callable[[], Diagnosis] = lambda: _NO_SUSPICIONS
        """Return the latest diagnosis of silent machines."""
        self.last_plan: Plan = Plan()
        self._policy = Policy()

        def diagnosis() -> Diagnosis:
            return self.diagnosis()

        self.snapshots = SnapshotBuilder(
            job_store, fleet, provisioner, estimates, params, self._policy, diagnosis
        )
        self.placement = Placement(job_store, fleet, self.snapshots.run_s, command_now)
        self.autoscaler = Autoscaler(fleet, provisioner, params, self._policy, diagnosis)
        self._waiting_jobs = WaitingJobs(job_store, fleet, self.autoscaler.available)

    def run(self, now: Monotonic, wall: Wall) -> None:
        """Run one pass."""
        self.autoscaler.replace_losses(now)
        view = self.snapshots.view(now, wall)
        result = plan(view, now, self._policy)
        self.last_plan = result
        self.placement.start(result, now, wall)
        self.placement.stop(result, now)
        self.autoscaler.rent(result, view, now)
        self.placement.save_before_preemption(now)
        self.autoscaler.release_unneeded(result, view, now)
        self._waiting_jobs.log_changes(result, view, now, wall)
        result.release_view()
