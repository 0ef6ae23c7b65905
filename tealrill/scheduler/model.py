"""Input and output of the scheduler: the view of the cluster and the plan."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from tealrill.types import JobId, MachineId, Monotonic, TaskId

Kind = tuple[str, str, bool]
"""A kind of machine: type, zone, spot."""

_MAX_OVERDUE_S = 5.0
"""A task that outlived its estimate is expected to end within this time, or within `_OVERDUE_SHARE`
of its run time so far if that is shorter."""
_OVERDUE_SHARE = 0.25


def remaining_s(run_s: float, ran_s: float) -> float:
    """Return the expected remaining run time, in seconds, of a task that has run for `ran_s`."""
    return max(run_s - ran_s, min(_MAX_OVERDUE_S, _OVERDUE_SHARE * ran_s))


@dataclass(slots=True, eq=False)
class EstimateCorrection:
    """Ratio of actual to estimated run time of a team's recent tasks; shared by those that run."""

    ratio: float = 1.0


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task bound to a machine; kept from pass to pass, so no field depends on the time."""

    task: TaskId
    team: str
    rank: int
    """Urgency class; a higher one goes first."""
    cpus: float
    gpus: float
    memory_gb: float
    backfilled: bool
    stopping: bool
    started_at: Monotonic | None
    """When it began to run; None while it waits for its image."""
    owner_estimate_s: float
    """Its owner's estimate of the run time."""
    correction: EstimateCorrection
    """Factor on that estimate."""
    saves: bool
    """It writes checkpoints, so a preemption with notice loses only the time to save."""
    save_s: float
    """Seconds that it takes to save a checkpoint when it is stopped."""

    def ran_s(self, now: Monotonic) -> float:
        """Return the run time so far, in seconds; 0 before the task began."""
        return now - self.started_at if self.started_at is not None else 0.0


def expected_ends(tasks: Iterable[RunningTask], now: Monotonic) -> list[Monotonic]:
    """Return when tasks are expected to end; for those that are being stopped, now.

    One call serves a whole machine, because every pass needs this for all tasks of a full fleet.
    """
    ends: list[Monotonic] = []
    for task in tasks:
        started_at = task.started_at
        if task.stopping:
            ends.append(now)
        elif started_at is None:
            ends.append(Monotonic(now + task.owner_estimate_s * task.correction.ratio))
        else:
            overdue_s = _OVERDUE_SHARE * (now - started_at)
            earliest = now + (overdue_s if overdue_s < _MAX_OVERDUE_S else _MAX_OVERDUE_S)
            end = started_at + task.owner_estimate_s * task.correction.ratio
            ends.append(Monotonic(end if end > earliest else earliest))
    return ends


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine with its free capacity, from which the planner deducts as it places tasks."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    size: float
    """Processors of the whole machine."""
    ready_at: Monotonic
    """Now for a machine that accepts tasks at once, later for one that boots."""
    fetch_gb_per_s: float
    images: set[str]
    is_expensive: bool
    """Its kind costs much more per processor than the cheapest."""
    running: Sequence[RunningTask]
    is_modified: bool = False
    """The planner has changed the free capacity, so the view can't be reused in the next pass."""
    backfilled: Sequence[RunningTask] = field(init=False)
    """The running tasks that were backfilled; only these are preempted because of their class."""

    def __post_init__(self) -> None:
        self.backfilled = [task for task in self.running if task.backfilled]

    def fits(self, job: JobView) -> bool:
        """Return True if one task of the job fits into the free capacity."""
        return self.has_capacity(job.cpus, job.gpus, job.memory_gb)

    def has_capacity(self, cpus: float, gpus: float, memory_gb: float) -> bool:
        """Return True if at least this capacity is free."""
        return (
            self.cpus + TOLERANCE >= cpus
            and self.memory_gb + TOLERANCE >= memory_gb
            and self.gpus + TOLERANCE >= gpus
        )

    def allows(self, job: JobView) -> bool:
        """Return True if the job may run on this kind of machine and does not avoid this one."""
        return job.may_use(self.type, self.zone, self.spot) and self.id not in job.avoided_machines

    def allocate_task(self, job: JobView) -> None:
        """Deduct one task of the job from the free capacity."""
        self.is_modified = True
        self.cpus -= job.cpus
        self.gpus -= job.gpus
        self.memory_gb -= job.memory_gb
        self.images.add(job.image)

    def release_task(self, task: RunningTask) -> None:
        """Add the capacity of a task that is being stopped to the free capacity."""
        self.is_modified = True
        self.cpus += task.cpus
        self.gpus += task.gpus
        self.memory_gb += task.memory_gb


TOLERANCE = 1e-6
"""Tolerance of comparisons, because capacities are sums of decimal numbers."""


@dataclass(slots=True, eq=False)
class JobView:
    """A job with waiting tasks."""

    id: JobId
    team: str
    rank: int
    """Urgency class; a higher one goes first."""
    cpus: float
    gpus: float
    memory_gb: float
    waiting: int
    """Number of its tasks that are not bound and may be placed."""
    tasks: int
    """Number of all its tasks."""
    waited_s: float
    latest_start_s: tuple[float, ...]
    """Per deadline that its class is judged by, the seconds left for its tasks to start."""
    estimate_s: float
    """Expected run time of a task, in seconds."""
    image: str
    image_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    """All its tasks must run in the same zone."""
    spread: bool
    """No zone may have more than half of its tasks, rounded up."""
    spot: bool
    zone_counts: dict[str, int]
    """Number of its bound tasks by zone."""
    gang: bool = False
    """Gang scheduling: its tasks start only if all that wait fit."""
    graph: str = ""
    """The graph that it is a node of; empty for a plain job."""
    tail_s: float = 0.0
    """Estimated run time, in seconds, of the longest path of nodes behind it."""
    avoided_machines: frozenset[MachineId] = frozenset()
    """Machines on which it failed recently."""
    has_started: bool = False
    """Any of its tasks was ever bound to a machine."""

    def may_use(self, type_name: str, zone: str, spot: bool) -> bool:
        """Return True if the job may run on a kind of machine."""
        return (
            (self.spot or not spot)
            and (self.zone is None or self.zone == zone)
            and (self.types is None or type_name in self.types)
        )

    @property
    def has_zone_rules(self) -> bool:
        """True if the zones of its bound tasks limit where the others may start."""
        return self.one_zone or self.spread

    def tasks_allowed_in_zone(self, zone: str) -> int:
        """Return how many more of its tasks its zone rules allow in a zone now."""
        if self.one_zone and any(n for z, n in self.zone_counts.items() if z != zone):
            return 0
        if self.spread:
            return (self.tasks + 1) // 2 - self.zone_counts.get(zone, 0)
        return self.tasks


@dataclass(slots=True)
class TeamView:
    """A team's usage, its guaranteed quota and its limit (0: none)."""

    cpus: float
    gpus: float
    cpus_guaranteed: float
    gpus_guaranteed: float
    cpus_max: float
    gpus_max: float

    def tasks_within_limit(self, job: JobView) -> int:
        """Return how many of the job's waiting tasks the team's limit still allows."""
        count = job.waiting
        if self.cpus_max > 0 and job.cpus > 0:
            count = min(count, int((self.cpus_max - self.cpus + TOLERANCE) // job.cpus))
        if self.gpus_max > 0 and job.gpus > 0:
            count = min(count, int((self.gpus_max - self.gpus + TOLERANCE) // job.gpus))
        return max(0, count)

    def is_within_quota(self, job: JobView) -> bool:
        """Return True if one more task of the job is within the guaranteed quota."""
        if self.cpus_guaranteed <= 0 and self.gpus_guaranteed <= 0:
            return False
        return (
            self.cpus + job.cpus <= self.cpus_guaranteed + TOLERANCE
            and self.gpus + job.gpus <= self.gpus_guaranteed + TOLERANCE
        )

    @property
    def exceeds_quota(self) -> bool:
        """True if the team uses more than its guaranteed quota."""
        return (
            self.cpus > self.cpus_guaranteed + TOLERANCE
            or self.gpus > self.gpus_guaranteed + TOLERANCE
        )


@dataclass(slots=True)
class View:
    """The input of one placement pass."""

    machines: list[MachineView]
    jobs: list[JobView]
    teams: dict[str, TeamView]
    expected: ExpectedWork | None = None
    rank_cpus: dict[int, float] = field(default_factory=dict)
    """Processors in use by each urgency class."""
    pending_machines: list[MachineView] = field(default_factory=list)
    """Machines that accept no tasks yet: requested and not granted, or silent and expected back
    soon."""


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """Work that may be submitted at any moment and must then start at once."""

    rank: int
    """Urgency class of the work."""
    cpus: float


@dataclass(frozen=True, slots=True)
class Policy:
    """Parameters of the planner."""

    aging_s: float = 600.0
    """Waiting time that raises a job by one urgency class."""
    min_preemption_gain_s: float = 1.5
    """Nothing is preempted for tasks whose reservation begins within this time anyway."""
    max_preempted_share: float = 0.25
    """Largest share of the backfilled tasks that is preempted in one pass."""
    max_reserved_tasks: int = 16
    """Largest number of the reserved job's tasks that get a reservation."""
    expensive_ratio: float = 1.5
    """A kind of machine is expensive if it costs more than this multiple of the cheapest kind."""
    usable_inexpensive_share: float = 0.8
    """Usable share of the inexpensive machines when deciding which jobs need no others; the rest is
    lost to fragmentation."""
    inexpensive_only_s: float = 60.0
    """Waiting time after which a job may use expensive machines in any case."""
    starvation_guard_s: float = 120.0
    """Waiting time after which a job of which no task was ever bound is put before its peers."""


@dataclass(frozen=True, slots=True)
class Start:
    """A task of `job` to be started on `machine`."""

    job: JobId
    machine: MachineId
    backfilled: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    """A running task to be preempted for another job, with `grace_s` seconds to save its state."""

    task: TaskId
    for_job: JobId
    grace_s: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved on one machine for tasks of the reserved job."""

    machine: MachineId
    at: Monotonic
    tasks: int


@dataclass(slots=True)
class Plan:
    """The decisions of one placement pass."""

    starts: list[Start] = field(default_factory=list)
    stops: list[StopTask] = field(default_factory=list)
    reserved_job: JobId | None = None
    unplaced: list[tuple[JobView, int]] = field(default_factory=list)
    """Jobs with their number of unplaced tasks, in queue order; the input of scale-out."""
    affordable: set[JobView] = field(default_factory=set)
    """Jobs that the inexpensive machines finish by their deadline."""
    reserve: Callable[[], dict[MachineId, Reservation]] = dict
    """Computes the reservations; valid only as long as the view is as the pass left it."""
    _reservations: dict[MachineId, Reservation] | None = None

    @property
    def reservations(self) -> dict[MachineId, Reservation]:
        """Return the reservations by machine, computed on first use."""
        if self._reservations is None:
            self._reservations = self.reserve()
        return self._reservations

    def release_view(self) -> None:
        """Release the view after the pass; reservations that were not computed before are empty.

        A plan that can still compute reservations references its pass, and the pass its plan.
        Without this, old views of the whole fleet (10 MB) stay in that reference cycle until the
        garbage collector runs.
        """
        self.reserve = dict
