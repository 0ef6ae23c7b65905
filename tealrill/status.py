"""The state of a controller, as `/admin/state` returns it to operators."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election, is_held_by_lease
from tealrill.leadership.renewal_delegation import RenewalDelegate
from tealrill.types import monotonic_now, wall_now


@dataclass(slots=True)
class HeartbeatCounts:
    """Number of heartbeats since the start of this process, by response."""

    renewed: int = 0
    """Lease renewed by this controller as the leader."""
    delegated: int = 0
    """Lease renewed by this controller on behalf of the leader."""
    redirected: int = 0
    refused: int = 0


def describe_node(
    host: str,
    election: Election,
    delegate: RenewalDelegate,
    counts: HeartbeatCounts,
    state_interruptions: int,
    leader: Leader | None,
) -> dict[str, Any]:
    """Return the state of the controller on `host` as JSON-serializable values."""
    known_leader = election.known_leader
    state: dict[str, Any] = {
        "node": host,
        "leader": known_leader.host if known_leader is not None else None,
        "term": known_leader.term if known_leader is not None else None,
        "reports": asdict(counts),
        "state_interruptions": state_interruptions,
    }
    leadership = election.leadership
    if leadership is not None:
        state["valid_s"] = round(leadership.valid_until - monotonic_now(), 1)
        state["held_by"] = "lease" if is_held_by_lease(leadership) else "promises"
    delegated = delegate.describe(monotonic_now())
    if delegated is not None:
        state["renews"] = delegated
    if leader is not None:
        plan = leader.scheduling_loop.last_plan
        state["machines"] = len(leader.fleet.machines)
        state["jobs"] = len(leader.job_store.jobs)
        state["head"] = plan.reserved_job
        state["duties"] = leader.duties()
        state["fencing"] = asdict(leader.fleet.fencing_log.counts)
        cancelled = leader.fleet.cancelled_tasks
        state["old_list_renewals"] = cancelled.old_list_renewals
        state["renewals_with_stops"] = cancelled.renewals_with_stops
        state["cancelled_bound"] = [asdict(row) for row in cancelled.rows(wall_now())]
        state["waiting"] = {job.id: unplaced_tasks for job, unplaced_tasks in plan.unplaced}
        for extension in leader.extensions:
            state.update(extension.describe())
    return state
