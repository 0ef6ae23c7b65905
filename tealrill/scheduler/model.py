"""Input and output of the scheduler: the view of the cluster and the plan."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from tealrill.types import JobId, MachineId, Monotonic, TaskId

Kind = tuple[str, str, bool]
"""A kind of machine: type, zone, spot."""

_OVERDUE_S = 5.0
"""A task that outlived its estimate is expected to end within this or a part of its run time."""
_OVERDUE_PART = 0.25


def remaining_s(run_s: float, ran_s: float) -> float:
    """Return the remaining run time, in seconds, of a task that has run for `ran_s`."""
    return max(run_s - ran_s, min(_OVERDUE_S, _OVERDUE_PART * ran_s))


@dataclass(slots=True, eq=False)
class EstimateCorrection:
    """Actual to estimated run time of a team's recent tasks; shared by all that run."""

    ratio: float = 1.0


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task bound to a machine; kept from pass to pass, so nothing here depends on the time."""

    task: TaskId
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    backfilled: bool
    stopping: bool
    started_at: Monotonic | None
    """When it began to run; None while it waits for its image."""
    owner_estimate_s: float
    """Its owner's estimate."""
    correction: EstimateCorrection
    saves: bool
    save_s: float

    def ran_s(self, now: Monotonic) -> float:
        """Return the run time so far, in seconds; 0 before the task began."""
        return now - self.started_at if self.started_at is not None else 0.0


def ends_at(tasks: Iterable[RunningTask], now: Monotonic) -> list[Monotonic]:
    """Return when tasks are expected to end; those that are being stopped end at once.

    Computed for every task of a full fleet in a pass, so one call serves a whole machine.
    """
    found: list[Monotonic] = []
    for task in tasks:
        started_at = task.started_at
        if task.stopping:
            found.append(now)
        elif started_at is None:
            found.append(Monotonic(now + task.owner_estimate_s * task.correction.ratio))
        else:
            overdue_s = _OVERDUE_PART * (now - started_at)
            soonest = now + (overdue_s if overdue_s < _OVERDUE_S else _OVERDUE_S)
            end = started_at + task.owner_estimate_s * task.correction.ratio
            found.append(Monotonic(end if end > soonest else soonest))
    return found


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
    """Now for a machine that takes tasks at once, later for one that boots."""
    fetch_gb_per_s: float
    images: set[str]
    is_expensive: bool
    """Its kind costs much more per processor than the cheapest."""
    running: Sequence[RunningTask]
    is_modified: bool = False
    """The planner has changed the free capacity."""
    backfilled: Sequence[RunningTask] = field(init=False)
    """The running tasks that were backfilled: nothing else is preempted by urgency class."""

    def __post_init__(self) -> None:
        self.backfilled = [task for task in self.running if task.backfilled]

    def fits(self, job: JobView) -> bool:
        """Return whether one task of the job fits into the free capacity."""
        return self.has(job.cpus, job.gpus, job.memory_gb)

    def has(self, cpus: float, gpus: float, memory_gb: float) -> bool:
        """Return whether so much is free."""
        return (
            self.cpus + SLACK >= cpus
            and self.memory_gb + SLACK >= memory_gb
            and self.gpus + SLACK >= gpus
        )

    def allows(self, job: JobView) -> bool:
        """Return whether the job may run here and does not avoid this machine."""
        return job.may_use(self.type, self.zone, self.spot) and self.id not in job.avoids

    def allocate_task(self, job: JobView) -> None:
        """Deduct one task of the job from the free capacity."""
        self.is_modified = True
        self.cpus -= job.cpus
        self.gpus -= job.gpus
        self.memory_gb -= job.memory_gb
        self.images.add(job.image)

    def release_task(self, task: RunningTask) -> None:
        """Return the capacity of a task that is being stopped."""
        self.is_modified = True
        self.cpus += task.cpus
        self.gpus += task.gpus
        self.memory_gb += task.memory_gb


SLACK = 1e-6
"""Tolerance of comparisons: capacities are sums of decimal numbers."""


@dataclass(slots=True, eq=False)
class JobView:
    """A job with waiting tasks."""

    id: JobId
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    waiting: int
    tasks: int
    waited_s: float
    latest_start_s: tuple[float, ...]
    """Per deadline its class is judged by, the time left until its tasks must have started."""
    estimate_s: float
    image: str
    image_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    zone_counts: dict[str, int]
    gang: bool = False
    """Gang scheduling: its tasks start only when all that wait fit."""
    graph: str = ""
    """The graph that it is a node of."""
    tail_s: float = 0.0
    """Estimated time of the longest path of nodes behind it."""
    avoids: frozenset[MachineId] = frozenset()
    """Machines on which it failed a short while ago."""
    begun: bool = False
    """Any of its tasks was ever given a machine."""

    def may_use(self, type_name: str, zone: str, spot: bool) -> bool:
        """Return whether the job allows a kind of machine."""
        return (
            (self.spot or not spot)
            and (self.zone is None or self.zone == zone)
            and (self.types is None or type_name in self.types)
        )

    def tasks_allowed_in_zone(self, zone: str) -> int:
        """Return how many more of its tasks may be bound in a zone now."""
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

    def room(self, job: JobView) -> int:
        """Return how many tasks of the job the team's limit still allows."""
        room = job.waiting
        if self.cpus_max > 0 and job.cpus > 0:
            room = min(room, int((self.cpus_max - self.cpus + SLACK) // job.cpus))
        if self.gpus_max > 0 and job.gpus > 0:
            room = min(room, int((self.gpus_max - self.gpus + SLACK) // job.gpus))
        return max(0, room)

    def is_within_quota(self, job: JobView) -> bool:
        """Return whether one more task of the job is within the guaranteed quota."""
        if self.cpus_guaranteed <= 0 and self.gpus_guaranteed <= 0:
            return False
        return (
            self.cpus + job.cpus <= self.cpus_guaranteed + SLACK
            and self.gpus + job.gpus <= self.gpus_guaranteed + SLACK
        )

    @property
    def borrows(self) -> bool:
        """Return whether the team uses more than its guaranteed quota."""
        return self.cpus > self.cpus_guaranteed + SLACK or self.gpus > self.gpus_guaranteed + SLACK


@dataclass(slots=True)
class View:
    """The input of one placement pass."""

    machines: list[MachineView]
    jobs: list[JobView]
    teams: dict[str, TeamView]
    expected: ExpectedWork | None = None
    rank_cpus: dict[int, float] = field(default_factory=dict)
    """Processors that each urgency class uses."""
    pending_machines: list[MachineView] = field(default_factory=list)
    """Machines that were requested and not yet granted."""


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """Work that may be submitted at any moment and is to start at once."""

    rank: int
    cpus: float


@dataclass(frozen=True, slots=True)
class Policy:
    """Parameters of the planner."""

    aging_s: float = 600.0
    """Waiting this long raises a job by one urgency class."""
    min_preemption_gain_s: float = 1.5
    """Nothing is preempted for a job whose reservation begins within this time anyway."""
    max_preempted_share: float = 0.25
    """At most this part of the backfilled tasks is preempted in one pass."""
    max_reserved_tasks: int = 16
    """The maximum number of the reserved job's tasks that get a reservation."""
    expensive_ratio: float = 1.5
    """A machine that costs this much more per task than the cheapest kind is expensive."""
    cheap_share: float = 0.8
    """The usable part of the inexpensive machines when jobs are kept off the expensive ones."""
    any_room_s: float = 60.0
    """A job that has waited so long may use expensive machines too."""
    starvation_guard_s: float = 120.0
    """A job of which nothing has begun for so long is put before its peers."""


@dataclass(frozen=True, slots=True)
class Start:
    """A task of `job` to be started on `machine`."""

    job: JobId
    machine: MachineId
    backfilled: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    """A running task to be preempted for another job, with `grace_s` seconds to checkpoint."""

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
    """Computes the reservations; valid only while the view is as the pass left it."""
    _reservations: dict[MachineId, Reservation] | None = None

    @property
    def reservations(self) -> dict[MachineId, Reservation]:
        """Return the reservations by machine, computed on first use."""
        if self._reservations is None:
            self._reservations = self.reserve()
        return self._reservations

    def release_view(self) -> None:
        """Release the view after the pass; reservations not computed yet are empty.

        A plan that can still reserve references its pass, and the pass its plan: in that cycle, old
        views of the whole fleet waited for the garbage collector, 10 MB of them.
        """
        self.reserve = dict
