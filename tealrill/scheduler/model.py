"""What the scheduler sees and what it answers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from tealrill.types import JobId, MachineId, Monotonic, TaskId

_OVERDUE_S = 5.0
"""A task that outlived its estimate is expected to end within this or a part of its run time."""
_OVERDUE_PART = 0.25


def remaining_s(run_s: float, ran_s: float) -> float:
    """How much longer a task of this estimated length runs that has run for `ran_s`."""
    return max(run_s - ran_s, min(_OVERDUE_S, _OVERDUE_PART * ran_s))


@dataclass(slots=True, eq=False)
class Pace:
    """Actual to estimated run time of a team's recent tasks; shared by all that run."""

    ratio: float = 1.0


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task bound to a machine. It holds from pass to pass: what changes by itself is asked."""

    task: TaskId
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    backfilled: bool
    stopping: bool
    since: Monotonic | None
    """When it began to run; None while it waits for its image."""
    guess_s: float
    """Its owner's estimate."""
    pace: Pace
    saves: bool
    save_s: float

    def ran_s(self, now: Monotonic) -> float:
        return now - self.since if self.since is not None else 0.0


def ends_at(tasks: Iterable[RunningTask], now: Monotonic) -> list[Monotonic]:
    """When tasks are expected to end; those that are being stopped at once.

    Asked for every task of a full fleet in a pass, so one call answers for a machine's.
    """
    found: list[Monotonic] = []
    for task in tasks:
        since = task.since
        if task.stopping:
            found.append(now)
        elif since is None:
            found.append(Monotonic(now + task.guess_s * task.pace.ratio))
        else:
            overdue_s = _OVERDUE_PART * (now - since)
            soonest = now + (overdue_s if overdue_s < _OVERDUE_S else _OVERDUE_S)
            end = since + task.guess_s * task.pace.ratio
            found.append(Monotonic(end if end > soonest else soonest))
    return found


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine with its free room. The planner takes from the room as it places."""

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
    dear: bool
    """Its kind costs much more per processor than the cheapest."""
    running: Sequence[RunningTask]
    used: bool = False
    """The planner has taken from its room, or given to it."""
    backfilled: Sequence[RunningTask] = field(init=False)
    """Of those that run, the ones placed out of their turn: nothing else is stopped for a class."""

    def __post_init__(self) -> None:
        self.backfilled = [task for task in self.running if task.backfilled]

    def fits(self, job: JobView) -> bool:
        return self.has(job.cpus, job.gpus, job.memory_gb)

    def has(self, cpus: float, gpus: float, memory_gb: float) -> bool:
        """Whether so much is free."""
        return (
            self.cpus + SLACK >= cpus
            and self.memory_gb + SLACK >= memory_gb
            and self.gpus + SLACK >= gpus
        )

    def allows(self, job: JobView) -> bool:
        return job.may_use(self.type, self.zone, self.spot) and self.id not in job.avoids

    def take(self, job: JobView) -> None:
        self.used = True
        self.cpus -= job.cpus
        self.gpus -= job.gpus
        self.memory_gb -= job.memory_gb
        self.images.add(job.image)

    def give(self, task: RunningTask) -> None:
        """The room of a task that is being stopped."""
        self.used = True
        self.cpus += task.cpus
        self.gpus += task.gpus
        self.memory_gb += task.memory_gb


SLACK = 1e-6
"""Rooms are sums of decimal numbers."""


@dataclass(slots=True, eq=False)
class JobView:
    """A job with tasks that wait."""

    id: JobId
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    waiting: int
    tasks: int
    waited_s: float
    latest_s: tuple[float, ...]
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
    """Its tasks start only when there is room for all that wait."""
    graph: str = ""
    """The graph that it is a node of."""
    tail_s: float = 0.0
    """Estimated time of the longest path of nodes behind it."""
    avoids: frozenset[MachineId] = frozenset()
    """Machines on which it failed a short while ago."""
    begun: bool = False
    """Any of its tasks was ever given a machine."""

    def may_use(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job allows a kind of machine."""
        return (
            (self.spot or not spot)
            and (self.zone is None or self.zone == zone)
            and (self.types is None or type_name in self.types)
        )

    def zone_room(self, zone: str) -> int:
        """How many more of its tasks may be bound in a zone at this moment."""
        if self.one_zone and any(n for z, n in self.zone_counts.items() if z != zone):
            return 0
        if self.spread:
            return (self.tasks + 1) // 2 - self.zone_counts.get(zone, 0)
        return self.tasks


@dataclass(slots=True)
class TeamView:
    """What a team uses, its guarantee and its limit (0: none)."""

    cpus: float
    gpus: float
    cpus_guaranteed: float
    gpus_guaranteed: float
    cpus_max: float
    gpus_max: float

    def room(self, job: JobView) -> int:
        """How many tasks of the job the team's limit still allows."""
        room = job.waiting
        if self.cpus_max > 0 and job.cpus > 0:
            room = min(room, int((self.cpus_max - self.cpus + SLACK) // job.cpus))
        if self.gpus_max > 0 and job.gpus > 0:
            room = min(room, int((self.gpus_max - self.gpus + SLACK) // job.gpus))
        return max(0, room)

    def guaranteed(self, job: JobView) -> bool:
        """Whether one more task of the job still is within the guarantee."""
        if self.cpus_guaranteed <= 0 and self.gpus_guaranteed <= 0:
            return False
        return (
            self.cpus + job.cpus <= self.cpus_guaranteed + SLACK
            and self.gpus + job.gpus <= self.gpus_guaranteed + SLACK
        )

    @property
    def borrows(self) -> bool:
        """Whether the team runs more than its guarantee."""
        return self.cpus > self.cpus_guaranteed + SLACK or self.gpus > self.gpus_guaranteed + SLACK


@dataclass(slots=True)
class View:
    """Everything a pass looks at."""

    machines: list[MachineView]
    jobs: list[JobView]
    teams: dict[str, TeamView]
    expected: Expected | None = None
    rank_cpus: dict[int, float] = field(default_factory=dict)
    """Processors that each urgency class uses."""
    coming: list[MachineView] = field(default_factory=list)
    """Machines that were asked for and not yet granted."""


@dataclass(frozen=True, slots=True)
class Expected:
    """Work that may be submitted at any moment and is to start at once."""

    rank: int
    cpus: float


@dataclass(frozen=True, slots=True)
class Policy:
    """What operators may tune."""

    aging_s: float = 600.0
    """Waiting this long raises a job by one urgency class."""
    stop_cost_s: float = 1.5
    """Nothing is stopped for a job that gets its room within this time anyway."""
    stop_share: float = 0.25
    """At most this part of the backfilled tasks is stopped in one pass."""
    reserved_tasks: int = 16
    """For how many of the head job's tasks room is reserved."""
    dear: float = 1.5
    """A machine that costs this much more per task than the cheapest kind is dear."""
    cheap_share: float = 0.8
    """The part of the cheap machines that is counted on when jobs are kept off the dear ones."""
    any_room_s: float = 60.0
    """A job that has waited so long takes any room there is, on dear machines too."""
    turn_s: float = 120.0
    """A job of which nothing has begun for so long has its turn among its peers."""


@dataclass(frozen=True, slots=True)
class Start:
    job: JobId
    machine: MachineId
    backfilled: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    task: TaskId
    for_job: JobId
    grace_s: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room kept on one machine for tasks of the head job."""

    machine: MachineId
    at: Monotonic
    tasks: int


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    stops: list[StopTask] = field(default_factory=list)
    head: JobId | None = None
    unplaced: list[tuple[JobView, int]] = field(default_factory=list)
    """Tasks that found no room, in the queue's order, for the size of the fleet."""
    affordable: set[JobView] = field(default_factory=set)
    """Jobs that the cheap machines bring in by their deadline."""
    reserve: Callable[[], dict[MachineId, Reservation]] = dict
    """Works out what is reserved for the head; to be asked while the view is as it was left."""
    _reservations: dict[MachineId, Reservation] | None = None

    @property
    def reservations(self) -> dict[MachineId, Reservation]:
        """Room kept for the head job, worked out when it is first asked for."""
        if self._reservations is None:
            self._reservations = self.reserve()
        return self._reservations

    def settle(self) -> None:
        """The pass is over, and its view is not kept for what was never asked.

        A plan that can still reserve holds its pass, and the pass its plan: left in that ring, old
        views of the whole fleet waited for the collector, in 10 MB.
        """
        self.reserve = dict
