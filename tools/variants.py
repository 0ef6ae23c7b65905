"""Generate variants of a deployment's site file, and day files with randomly drawn faults.

    python3 -m tools.variants site SITE.toml OUT.toml --machines 1.5 --traffic 1.5 --restart-s 0.2
    python3 -m tools.variants site SITE.toml OUT.toml --zone north=3 --zone south=1
    python3 -m tools.variants days SITE.toml DIR --theme restarts --seed 7 --count 3
    python3 -m tools.variants days SITE.toml DIR --theme refused --cancelled 0.4 --long-s 200

The larger themes:

- `refused`: the state service refuses the leader alone, and then everybody (an outage); another
  fault may begin in between.
- `flapping`: the state service fails every second or two while the leader is lost and users cancel
  jobs.
- `churn`: all controllers crash every two or three seconds while users cancel jobs.
- `meetings`: combinations of faults that have violated rules elsewhere.
- `shown`: faults that were seen on real machines: users who cancel jobs, poll all controllers and
  send invalid requests; outbound partitions of machines; lost answers to writes that were carried
  out; heartbeats that are replayed to the next leader.

A variant refers to the wire file by its name, so `site` copies that file beside it. Run a day with
`fleetbench run VARIANT.toml DAY.toml --report R.json`. The same seed draws the same days. The
machines of these runs are simulated, and so are the figures in their reports.
"""

from __future__ import annotations

import random
import shutil
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

import click
import tomli_w

Fault = dict[str, Any]
FaultGenerator = Callable[[random.Random, "Site"], list[Fault]]


class Site:
    """The values of a site file from which faults are drawn.

    A value that is missing or of the wrong type raises `click.UsageError`.
    """

    def __init__(self, values: dict[str, Any]) -> None:
        try:
            self.nodes = int(values["nodes"]["count"])
            self.zones = sorted({str(part["zone"]) for part in values["capacity"]})
            self.machines = sum(
                int(part.get("count", 0)) + int(part.get("spot", 0)) for part in values["capacity"]
            )
            self.types = sorted({str(part["type"]) for part in values["capacity"]})
            self.classes = [str(job["name"]) for job in values["jobs"]]
            workers = values.get("workers", {})
            self.lease_s = float(workers.get("lease_s", 10.0))
            self.cancel_s = float(workers.get("cancel_s", 30.0))
            self.urgent_classes = [
                str(j["name"]) for j in values["jobs"] if j.get("priority") == "high"
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise click.UsageError(f"site file: missing or invalid value: {error}") from None


def load_site(path: Path) -> dict[str, Any]:
    """Return the values of a site file; raise `click.UsageError` if it can't be read."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise click.UsageError(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise click.UsageError(f"{path}: {error}") from None


# -- sites ----------------------------------------------------------------------------------------


def scale_site(
    values: dict[str, Any],
    machines: float,
    traffic: float,
    restart_s: float | None,
    seed: int | None,
    zones: dict[str, float],
    cpu_limit: float | None = None,
) -> dict[str, Any]:
    """Return a copy of a site file's values with other numbers.

    `machines` and `traffic` are factors for the number of machines and of jobs. Counts are
    rounded up, so that none becomes zero. `restart_s` is the restart delay of controllers in
    seconds, `zones` the share of machines for each zone, and `cpu_limit` the processors that each
    team may use. None, or no zones, keeps the site's own value.
    """
    Site(values)
    variant: dict[str, Any] = {**values, "nodes": dict(values["nodes"])}
    capacity = values["capacity"]
    if zones:
        capacity = _spread_over_zones(capacity, zones)
    variant["capacity"] = [
        {
            **part,
            "count": _scale_count(part.get("count", 0), machines),
            "spot": _scale_count(part.get("spot", 0), machines),
        }
        for part in capacity
    ]
    variant["jobs"] = [_scale_traffic(job, traffic) for job in values["jobs"]]
    if restart_s is not None:
        variant["nodes"]["restart_delay_s"] = restart_s
    if seed is not None:
        variant["seed"] = seed
    if cpu_limit is not None:
        variant["teams"] = [{**team, "cpus_max": cpu_limit} for team in values.get("teams", [])]
    return variant


def _scale_count(count: float, factor: float) -> int:
    return -int(-count * factor // 1)


def _spread_over_zones(
    parts: Sequence[dict[str, Any]], zones: dict[str, float]
) -> list[dict[str, Any]]:
    """Distribute all machines of each type over `zones`, in proportion to the zones' shares."""
    total_share = sum(zones.values())
    spread: list[dict[str, Any]] = []
    for type_name in dict.fromkeys(str(part["type"]) for part in parts):
        of_type = [part for part in parts if part["type"] == type_name]
        for zone, share in zones.items():
            counts = {
                field: _scale_count(sum(p.get(field, 0) for p in of_type), share / total_share)
                for field in ("count", "spot")
            }
            spread.append({"type": type_name, "zone": zone, **counts})
    return spread


def _scale_traffic(job: dict[str, Any], traffic: float) -> dict[str, Any]:
    arrivals = dict(job.get("arrivals", {}))
    if "rate" in arrivals:
        arrivals["rate"] = round(arrivals["rate"] * traffic, 6)
    return {**job, "arrivals": arrivals, "initial": _scale_count(job.get("initial", 0), traffic)}


# -- groups of faults -----------------------------------------------------------------------------

# Each generator returns the faults of a group; `at_s` counts from the beginning of the group. With
# `busiest` a fault hits the busiest controllers, of which the leader is normally the first.


def _crash_controllers(rng: random.Random, site: Site, count: int = 1) -> Fault:
    return {"kind": "node_crash", "count": min(count, site.nodes), "busiest": True}


def _cut_controller(rng: random.Random, site: Site, **links: bool) -> Fault:
    # `links` selects the links that are cut; if none is True, all of them are.
    return {
        "kind": "node_cut", "count": 1, "busiest": True, **links,
        "for_s": round(rng.uniform(15, 60), 1), "mode": rng.choice(["hold", "reset", "refuse"]),
    }  # fmt: skip


def _state_outage(rng: random.Random) -> Fault:
    return {"kind": "state_outage", "for_s": round(rng.uniform(5, 25), 1)}


def _crash_all_repeatedly(rng: random.Random, site: Site) -> list[Fault]:
    """Return five crashes of all controllers within ten seconds."""
    return [{**_crash_controllers(rng, site, site.nodes), "at_s": 2.0 * n} for n in range(5)]


def _crash_leader_repeatedly(rng: random.Random, site: Site) -> list[Fault]:
    """Return repeated crashes of one controller, normally the leader."""
    return [{**_crash_controllers(rng, site), "at_s": 1.0 * n} for n in range(12)]


def _crashes_in_outage(rng: random.Random, site: Site) -> list[Fault]:
    """Return an outage of the state service, and crashes of controllers soon after it began."""
    count = rng.randint(1, site.nodes)
    times = sorted(rng.uniform(0.5, 9.0) for _ in range(3))
    return [
        {**_state_outage(rng), "at_s": 0.0},
        *({**_crash_controllers(rng, site, count), "at_s": round(at, 2)} for at in times),
    ]


def _crashes_in_partition(rng: random.Random, site: Site) -> list[Fault]:
    """Return crashes while packets between two zones, or leader and state service, are held."""
    first: Fault
    if len(site.zones) > 1 and rng.random() < 0.5:
        zones = rng.sample(site.zones, 2)
        first = {"kind": "zone_partition", "zones": zones, "for_s": 20.0, "mode": "hold"}
    else:
        first = {**_cut_controller(rng, site, from_state=True), "mode": "hold"}
    times = sorted(rng.uniform(0.2, 15.0) for _ in range(4))
    return [
        {**first, "at_s": 0.0},
        *(
            {**_crash_controllers(rng, site, rng.randint(1, 2)), "at_s": round(at, 2)}
            for at in times
        ),
    ]


def _crashes_in_machine_loss(rng: random.Random, site: Site) -> list[Fault]:
    """Return crashes of controllers while many lost machines are being replaced."""
    lost = max(1, int(rng.uniform(0.2, 0.4) * site.machines))
    return [
        {"kind": "machine_die", "count": lost, "at_s": 0.0},
        *({**_crash_controllers(rng, site, 1), "at_s": 3.0 + 2.5 * n} for n in range(4)),
    ]


def _rolling_restart(rng: random.Random, site: Site) -> list[Fault]:
    return [{"kind": "node_roll", "every_s": round(rng.uniform(1.0, 8.0), 1), "at_s": 0.0}]


def _controllers_down(rng: random.Random, site: Site) -> list[Fault]:
    """Return the loss of a minority of controllers, perhaps with an outage of the state service."""
    # At most a minority per group: with all controllers down there is no service to test. Groups
    # may overlap.
    count = rng.randint(1, max(1, (site.nodes - 1) // 2))
    for_s = round(rng.uniform(40, 60), 1)
    fault = {"kind": "node_down", "count": count, "busiest": True, "for_s": for_s, "at_s": 0.0}
    return [fault] if rng.random() < 0.5 else [fault, {**_state_outage(rng), "at_s": 8.0}]


def _lost_link(rng: random.Random, site: Site) -> list[Fault]:
    links = rng.choice([{"from_state": True}, {"from_workers": True}, {"from_state": False}])
    return [{**_cut_controller(rng, site, **links), "at_s": 0.0}]


def _boot_trouble(rng: random.Random, site: Site) -> list[Fault]:
    """Return faster, slower or failing boots, and machine losses that cause boots."""
    fail_share, factor = rng.choice([(0.0, 0.05), (0.3, 1.0), (0.1, 4.0), (0.0, 4.0)])
    fault = {
        "kind": "boot_trouble",
        "fail": fail_share,
        "factor": factor,
        "for_s": 180.0,
        "at_s": 0.0,
    }
    lost = max(1, int(0.15 * site.machines))
    return [fault, {"kind": "machine_die", "count": lost, "at_s": 5.0}]


def _poll_storm(rng: random.Random, site: Site) -> list[Fault]:
    factor = rng.choice([8.0, 16.0, 24.0])
    return [{"kind": "poll_storm", "factor": factor, "for_s": 60.0, "at_s": 0.0}]


def _job_surge(rng: random.Random, site: Site) -> list[Fault]:
    class_name = rng.choice(site.classes)
    factor = round(rng.uniform(2.0, 4.0), 1)
    return [
        {"kind": "job_burst", "class": class_name, "factor": factor, "for_s": 80.0, "at_s": 0.0}
    ]


def _machines_hang(rng: random.Random, site: Site) -> list[Fault]:
    count = max(1, int(rng.uniform(0.1, 0.4) * site.machines))
    for_s = rng.choice([9.0, 14.0, 19.0, 45.0])
    return [{"kind": "machine_hang", "count": count, "for_s": for_s, "at_s": 0.0}]


def _spot_reclaimed(rng: random.Random, site: Site) -> list[Fault]:
    notice_s = rng.choice([0.0, 20.0])
    return [
        {
            "kind": "spot_taken", "share": round(rng.uniform(0.3, 0.9), 2), "notice_s": notice_s,
            "over_s": 5.0, "at_s": 0.0,
        }
    ]  # fmt: skip


def _slow_controller(rng: random.Random, site: Site) -> list[Fault]:
    factor = round(rng.uniform(3.0, 8.0), 1)
    fault = {"kind": "node_slow", "count": 1, "busiest": True, "factor": factor, "for_s": 90.0}
    return [{**fault, "at_s": 0.0}]


def _paused_controller(rng: random.Random, site: Site) -> list[Fault]:
    """Return the pause of a controller, normally the leader, and a crash during the pause."""
    for_s = round(rng.uniform(2.0, 25.0), 1)
    fault = {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": for_s, "at_s": 0.0}
    return [fault, {**_crash_controllers(rng, site), "at_s": round(rng.uniform(0.0, for_s), 1)}]


def _flapping_state_service(rng: random.Random, site: Site) -> list[Fault]:
    """Return repeated outages of the state service while the leader is lost and users cancel."""
    for_s = round(site.cancel_s + rng.uniform(6.0, 20.0), 1)
    leader_loss = {"count": 1, "busiest": True, "for_s": for_s, "at_s": 0.0}
    faults: list[Fault] = [
        rng.choice(
            [
                {"kind": "node_freeze", **leader_loss},
                {"kind": "node_down", **leader_loss},
                {
                    "kind": "node_cut",
                    "from_state": True,
                    "from_peers": True,
                    "mode": "hold",
                    **leader_loss,
                },
            ]
        )
    ]
    at_s = 1.0
    while at_s < for_s:
        down_s = round(rng.uniform(0.8, 2.0), 2)
        faults.append({"kind": "state_outage", "for_s": down_s, "at_s": round(at_s, 2)})
        at_s += down_s + rng.uniform(0.4, 1.2)
    cancel_times = [0.3, *(rng.uniform(1.0, 0.4 * for_s) for _ in range(4))]
    return faults + [{**_cancel_running(rng), "at_s": round(at, 2)} for at in cancel_times]


# -- combinations of faults -----------------------------------------------------------------------


def _refuse_leader(for_s: float) -> Fault:
    """Return a refusal of the leader by the state service; its other links stay up."""
    return {
        "kind": "node_cut", "count": 1, "busiest": True, "from_state": True,
        "for_s": round(for_s, 1), "mode": "refuse", "at_s": 0.0,
    }  # fmt: skip


def _refusal_before_outage(rng: random.Random, site: Site) -> list[Fault]:
    """Return a refusal of the leader, and then an outage that lasts longer than a lease.

    Between the two, other controllers still confirm requests of users.
    """
    refused_alone_s = rng.choice([0.7, 1.5, 2.5, 4.0, 9.0, 20.0])
    outage_s = rng.choice([40.0, 90.0, 90.0, 180.0])
    # The refusal ends before the outage, during it, or only after it.
    refused_s = rng.choice(
        [refused_alone_s * 0.9, refused_alone_s + outage_s / 2, refused_alone_s + outage_s + 5.0]
    )
    faults = [
        _refuse_leader(refused_s),
        {"kind": "state_outage", "for_s": outage_s, "at_s": refused_alone_s},
    ]
    if rng.random() < 0.3:
        faults.append(
            {"kind": "state_outage", "for_s": 20.0, "at_s": refused_alone_s + outage_s + 3.0}
        )
    extra_at_s = rng.uniform(0.0, refused_alone_s)
    extra_fault = rng.choice([None, None, *_EXTRA_FAULTS])
    return (
        faults
        if extra_fault is None
        else [*faults, {**extra_fault(rng, site), "at_s": round(extra_at_s, 2)}]
    )


def _crash_follower(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_crash", "count": 1, "busiest": False}


def _pause_leader(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": 5.0}


def _follower_down(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_down", "count": 1, "busiest": False, "for_s": 60.0}


def _delay_writes(rng: random.Random, site: Site) -> Fault:
    share = rng.choice([0.1, 0.3, 0.6])
    return {"kind": "late_writes", "share": share, "for_s": rng.choice([20.0, 60.0])}


def _duplicate_reports(rng: random.Random, site: Site) -> Fault:
    share = rng.choice([0.1, 0.4])
    return {"kind": "late_reports", "share": share, "for_s": rng.choice([30.0, 90.0])}


def _partition_inbound(rng: random.Random, site: Site) -> Fault:
    affected: Fault = rng.choice([{"share": 0.2}, {"share": 0.5}, {"zone": rng.choice(site.zones)}])
    return {"kind": "machine_deaf", **affected, "for_s": rng.choice([10.0, 25.0, 60.0])}


_EXTRA_FAULTS: Final[tuple[Callable[[random.Random, Site], Fault], ...]] = (
    _crash_follower,
    _pause_leader,
    _follower_down,
    _delay_writes,
    _duplicate_reports,
    _partition_inbound,
)


def _leader_partitioned(rng: random.Random, site: Site) -> list[Fault]:
    """Return a partition of the leader from state service and peers, not from workers and users."""
    cut = {**_cut_controller(rng, site, from_state=True, from_peers=True), "at_s": 0.0}
    return [cut, *_maybe_extra_fault(rng, site)]


def _crash_in_inbound_partition(rng: random.Random, site: Site) -> list[Fault]:
    at_s = round(rng.uniform(0.0, 6.0), 1)
    return [
        {**_partition_inbound(rng, site), "at_s": 0.0},
        {**_crash_controllers(rng, site), "at_s": at_s},
    ]


def _crashes_with_delayed_writes(rng: random.Random, site: Site) -> list[Fault]:
    crash_times = [round(rng.uniform(0.0, 15.0), 1) for _ in range(rng.randint(1, 4))]
    count = rng.choice([1, site.nodes])
    return [
        {**_delay_writes(rng, site), "at_s": 0.0},
        *({**_crash_controllers(rng, site, count), "at_s": at_s} for at_s in crash_times),
        *_maybe_extra_fault(rng, site),
    ]


def _crash_with_duplicate_reports(rng: random.Random, site: Site) -> list[Fault]:
    faults = [
        {**_duplicate_reports(rng, site), "at_s": 0.0},
        {**_crash_controllers(rng, site), "at_s": 8.0},
    ]
    return [*faults, *_maybe_extra_fault(rng, site)]


def _crash_with_delayed_commands(rng: random.Random, site: Site) -> list[Fault]:
    """Return a delay of commands and their answers, and a crash of the leader meanwhile."""
    count = max(1, int(0.2 * site.machines))
    hang = {"kind": "machine_hang", "count": count, "for_s": rng.choice([3.0, 8.0, 14.0])}
    return [
        {**hang, "at_s": 0.0},
        {**_crash_controllers(rng, site), "at_s": 2.0},
        *_maybe_extra_fault(rng, site),
    ]


def _refusal_with_poll_storm(rng: random.Random, site: Site) -> list[Fault]:
    return [
        *_refusal_before_outage(rng, site),
        {"kind": "poll_storm", "factor": 8.0, "for_s": 60.0, "at_s": 0.0},
    ]


def _maybe_extra_fault(rng: random.Random, site: Site) -> list[Fault]:
    """Return one additional fault, or none in 30 % of the cases."""
    if rng.random() < 0.3:
        return []
    number = rng.randint(0, len(_EXTRA_FAULTS))
    fault = _EXTRA_FAULTS[number](rng, site) if number < len(_EXTRA_FAULTS) else _state_outage(rng)
    return [{**fault, "at_s": round(rng.uniform(0.0, 12.0), 1)}]


# -- faults seen on real machines ------------------------------------------------------------------


def _cancel_running(rng: random.Random, hang_s: float | None = None) -> Fault:
    """Return the cancellation, within 0.2 s, of running jobs that are far from their end.

    If `hang_s` is given, their machines hang for that many seconds.
    """
    count = rng.choice([1, 8, 40])
    hang: Fault = {} if hang_s is None else {"hang_s": hang_s}
    return {"kind": "cancel_now", "count": count, **hang}


def _draw_hang_s(rng: random.Random, site: Site) -> float:
    """Draw seconds well below, about or above a worker's lease, or longer than `cancel_s`."""
    lease_share = rng.choice([0.3, 0.95, 1.05, 1.5])
    return round(rng.choice([lease_share * site.lease_s, site.cancel_s + 5.0]), 2)


def _cancel_at_end(rng: random.Random) -> Fault:
    share = rng.choice([0.3, 1.0])
    return {"kind": "cancel_at_end", "share": share, "for_s": rng.choice([20.0, 60.0])}


def _poll_closely(rng: random.Random) -> Fault:
    return {"kind": "close_looks", "for_s": rng.choice([30.0, 90.0])}


def _send_invalid_requests(rng: random.Random) -> Fault:
    return {"kind": "odd_requests", "for_s": rng.choice([30.0, 90.0])}


def _lose_answers(rng: random.Random, site: Site) -> Fault:
    """Return the loss of answers to writes that are carried out at once."""
    return {**_delay_writes(rng, site), "at_once": True}


def _replay_reports(rng: random.Random, site: Site) -> Fault:
    return {**_duplicate_reports(rng, site), "for_next": True}


def _partition_outbound(rng: random.Random, site: Site) -> Fault:
    return {**_partition_inbound(rng, site), "kind": "machine_mute"}


def _schedule(initial: Sequence[Fault], later: Sequence[tuple[float, Fault]]) -> list[Fault]:
    """Return a group with the `initial` faults at 0 s and the `later` ones at their times."""
    initial_faults = [{**fault, "at_s": 0.0} for fault in initial]
    return [*initial_faults, *({**fault, "at_s": round(at_s, 2)} for at_s, fault in later)]


def _faults_under_close_polling(rng: random.Random, site: Site) -> list[Fault]:
    """Return close polling while jobs end, are cancelled and resubmitted, and a component fails."""
    initial = [_poll_closely(rng), _cancel_at_end(rng), _send_invalid_requests(rng)]
    failure = rng.choice(
        [_state_outage(rng), _crash_controllers(rng, site, rng.randint(1, site.nodes))]
    )
    return _schedule(initial, [(rng.uniform(2.0, 15.0), failure), (8.0, _cancel_running(rng))])


def _crashes_with_lost_answers(rng: random.Random, site: Site) -> list[Fault]:
    initial = [_lose_answers(rng, site), _poll_closely(rng), _cancel_at_end(rng)]
    crashes = [(rng.uniform(1.0, 20.0), _crash_controllers(rng, site)) for _ in range(2)]
    return _schedule(initial, [*crashes, (6.0, _cancel_running(rng))])


def _cancel_on_hung_machines(rng: random.Random, site: Site) -> list[Fault]:
    """Return an overload, with cancellations of jobs on machines that hang, and a crash."""
    initial: list[Fault] = [
        {"kind": "job_burst", "class": name, "factor": 3.0, "for_s": 60.0} for name in site.classes
    ]
    cancelled_at_s = rng.uniform(15.0, 40.0)
    cancellation = _cancel_running(rng, _draw_hang_s(rng, site))
    crash_at_s = cancelled_at_s + rng.choice([-0.5, 0.1, 1.0, 4.0])
    return _schedule(
        initial,
        [
            (cancelled_at_s, cancellation),
            (crash_at_s, _crash_controllers(rng, site)),
            *_extra_message_fault(rng, site, cancelled_at_s),
        ],
    )


def _extra_message_fault(rng: random.Random, site: Site, at_s: float) -> list[tuple[float, Fault]]:
    generator = rng.choice(
        [
            _partition_inbound,
            _partition_outbound,
            _duplicate_reports,
            _replay_reports,
            _lose_answers,
            _delay_writes,
        ]
    )
    return [(at_s, generator(rng, site))]


def _cancel_in_leader_change(rng: random.Random, site: Site) -> list[Fault]:
    leader_changes: list[Fault] = [
        {"kind": "node_roll", "every_s": round(rng.uniform(1.0, 8.0), 1)},
        _crash_controllers(rng, site),
        {**_paused_controller(rng, site)[0]},
    ]
    cancellations = [
        (round(rng.uniform(-0.3, 6.0), 2) + 1.0, _cancel_running(rng)) for _ in range(4)
    ]
    return _schedule([], [(1.0, rng.choice(leader_changes)), *cancellations])


def _crashes_with_instant_boots(rng: random.Random, site: Site) -> list[Fault]:
    """Return machine losses whose replacements report before their rental can be recorded."""
    boots: Fault = {"kind": "boot_trouble", "fail": 0.0, "factor": 0.03, "for_s": 90.0}
    lost: Fault = {"kind": "machine_die", "count": max(1, int(0.25 * site.machines))}
    write_fault = rng.choice([_delay_writes, _lose_answers])(rng, site)
    crashes = [(rng.uniform(2.0, 12.0), _crash_controllers(rng, site)) for _ in range(2)]
    return _schedule([boots, write_fault], [(1.0, lost), *crashes])


def _crashes_with_replayed_reports(rng: random.Random, site: Site) -> list[Fault]:
    initial = [_replay_reports(rng, site), _duplicate_reports(rng, site)]
    crashes = [
        (4.0 + 9.0 * n, _crash_controllers(rng, site, rng.choice([1, 1, site.nodes])))
        for n in range(4)
    ]
    return _schedule(initial, [*crashes, (10.0, _cancel_running(rng, _draw_hang_s(rng, site)))])


def _cancel_while_refused(rng: random.Random, site: Site) -> list[Fault]:
    """Return cancellations as the leader is refused, 1 s before an outage beyond `cancel_s`."""
    outage: Fault = {
        "kind": "state_outage",
        "for_s": round(site.cancel_s + rng.uniform(5.0, 40.0), 1),
    }
    refusal = _refuse_leader(rng.choice([0.9, site.cancel_s + 20.0]))
    cancellation = _cancel_running(rng, rng.choice([None, _draw_hang_s(rng, site)]))
    at_s = rng.choice([0.0, 0.1, 0.4, 0.9])
    return _schedule([refusal], [(at_s, cancellation), (1.0, outage), (0.5, _poll_closely(rng))])


def _crashes_in_outbound_partition(rng: random.Random, site: Site) -> list[Fault]:
    crashes = [
        (rng.uniform(0.0, 20.0), _crash_controllers(rng, site)) for _ in range(rng.randint(0, 2))
    ]
    cancellation = (
        rng.uniform(0.0, 10.0),
        _cancel_running(rng, rng.choice([None, _draw_hang_s(rng, site)])),
    )
    return _schedule([_partition_outbound(rng, site)], [cancellation, *crashes])


def _zone_isolated(rng: random.Random, site: Site) -> list[Fault]:
    """Return the isolation of a zone's workers and controllers for longer than a worker's lease."""
    for_s = round(site.lease_s * rng.choice([1.1, 2.0, 3.0]), 1)
    mode = rng.choice(["hold", "reset"])
    cut: Fault = {"kind": "zone_cut", "zone": rng.choice(site.zones), "for_s": for_s, "mode": mode}
    return _schedule(
        [cut],
        [(rng.uniform(0.0, for_s), _cancel_running(rng)), (2.0, _crash_controllers(rng, site))],
    )


def _ten_leader_changes(rng: random.Random, site: Site) -> list[Fault]:
    crashes = [(12.0 * n, _crash_controllers(rng, site)) for n in range(10)]
    cancellations = [(rng.uniform(0.0, 100.0), _cancel_running(rng)) for _ in range(3)]
    outages = [(rng.uniform(20.0, 60.0), _state_outage(rng))]
    return _schedule(
        [rng.choice([_partition_inbound, _partition_outbound])(rng, site)],
        [*crashes, *cancellations, *outages],
    )


def _all_controllers_down(rng: random.Random, site: Site) -> list[Fault]:
    """Return the loss of all controllers for longer than a worker's lease."""
    down: Fault = {
        "kind": "node_down", "count": site.nodes, "busiest": True,
        "for_s": round(site.lease_s * rng.choice([1.1, 1.6]), 1),
    }  # fmt: skip
    return _schedule([down], [(0.0, _cancel_running(rng)), (1.0, _poll_closely(rng))])


_CHURN_S: Final = 60.0
_CANCEL_BEFORE_CRASHES: Final = (2, 5, 9)
"""Indices of the crashes of all controllers right before which jobs are cancelled."""


def _controller_churn(rng: random.Random, site: Site) -> list[Fault]:
    """Return crashes of all controllers every few seconds, with cancellations of jobs.

    In two of three cases commands and heartbeats are late as well, and in one of these the
    state service flaps.
    """
    every_s = rng.uniform(1.5, 3.0)
    crashes = [
        (every_s * n, _crash_controllers(rng, site, site.nodes))
        for n in range(int(_CHURN_S / every_s))
    ]
    hang: Fault = rng.choice([{}, {"hang_s": round(0.5 * site.lease_s, 2)}])
    cancellations: list[tuple[float, Fault]] = [
        (every_s * n - 0.1, {"kind": "cancel_now", "count": 80, **hang})
        for n in _CANCEL_BEFORE_CRASHES
    ]
    message_faults: list[Fault] = [
        {"kind": kind, "share": 0.3, "for_s": _CHURN_S}
        for kind in ("late_commands", "late_reports")
    ]
    outages: list[tuple[float, Fault]] = [
        (8.0 + 3.1 * n, {"kind": "state_outage", "for_s": 0.8}) for n in range(14)
    ]
    initial, later_outages = rng.choice([([], []), (message_faults, []), (message_faults, outages)])
    return _schedule(initial, [*crashes, *cancellations, *later_outages])


THEMES: Final[dict[str, tuple[FaultGenerator, ...]]] = {
    "restarts": (
        _crash_all_repeatedly,
        _crash_leader_repeatedly,
        _crashes_in_outage,
        _crashes_in_partition,
        _crashes_in_machine_loss,
        _rolling_restart,
    ),
    "silent": (_controllers_down,),
    "links": (_lost_link,),
    "boots": (_boot_trouble,),
    "polls": (_poll_storm,),
    "falls": (_machines_hang, _spot_reclaimed, _crashes_in_machine_loss),
    "surges": (_job_surge, _crashes_in_machine_loss),
    "refused": (_refusal_before_outage,),
    "flapping": (_flapping_state_service,),
    "churn": (_controller_churn,),
    "meetings": (
        _refusal_before_outage,
        _leader_partitioned,
        _crash_in_inbound_partition,
        _crashes_with_delayed_writes,
        _crash_with_duplicate_reports,
        _crash_with_delayed_commands,
        _refusal_with_poll_storm,
        _crash_all_repeatedly,
        _rolling_restart,
    ),
    "shown": (
        _faults_under_close_polling,
        _crashes_with_lost_answers,
        _cancel_on_hung_machines,
        _cancel_in_leader_change,
        _crashes_with_instant_boots,
        _crashes_with_replayed_reports,
        _cancel_while_refused,
        _crashes_in_outbound_partition,
        _zone_isolated,
        _ten_leader_changes,
        _all_controllers_down,
    ),
    "all": (
        _crash_all_repeatedly,
        _crashes_in_outage,
        _crashes_in_partition,
        _crashes_in_machine_loss,
        _rolling_restart,
        _controllers_down,
        _lost_link,
        _boot_trouble,
        _poll_storm,
        _job_surge,
        _machines_hang,
        _spot_reclaimed,
        _slow_controller,
        _paused_controller,
    ),
}
_FIRST_GROUP_S: Final = 100.0
_LAST_GROUP_S: Final = 440.0
_LAST_REFUSED_GROUP_S: Final = 300.0
"""Last begin of a group of `refused`, which lasts for minutes and must end well before the day."""


def draw_faults(site: Site, theme: str, seed: int) -> list[Fault]:
    """Return a day's faults in the order of time: groups of the theme, which may overlap."""
    rng = random.Random(f"{theme}/{seed}")
    generators = list(THEMES[theme])
    rng.shuffle(generators)
    faults: list[Fault] = []
    at_s = _FIRST_GROUP_S
    while at_s < (_LAST_REFUSED_GROUP_S if theme == "refused" else _LAST_GROUP_S):
        generator = (
            generators[len(faults) % len(generators)] if theme == "all" else rng.choice(generators)
        )
        group = generator(rng, site)
        faults += [{**fault, "at_s": round(at_s + float(fault["at_s"]), 2)} for fault in group]
        at_s += rng.uniform(30.0, 90.0)
        if theme == "refused":
            # The state service must be available again before the next group.
            at_s += max(float(fault["at_s"]) + float(fault.get("for_s", 0.0)) for fault in group)
    return sorted(faults, key=lambda fault: float(fault["at_s"]))


def render_day(
    name: str,
    seed: int,
    faults: Sequence[Fault],
    failing_classes: Sequence[str] = (),
    job_overrides: Sequence[dict[str, Any]] = (),
) -> str:
    """Return the text of a day file.

    In the job classes of `failing_classes` 4 % of the jobs fail everywhere. `job_overrides` has
    further settings of job classes that differ from the site file.
    """
    content: dict[str, Any] = {"name": name, "slot": "scale", "light": False, "seed": seed}
    jobs_by_class = {str(job["name"]): dict(job) for job in job_overrides}
    for class_name in failing_classes:
        jobs_by_class.setdefault(class_name, {"name": class_name})["broken"] = 0.04
    if jobs_by_class:
        content["jobs"] = list(jobs_by_class.values())
    content["faults"] = list(faults)
    return tomli_w.dumps({"day": [content]})


# -- commands -------------------------------------------------------------------------------------


@click.group(help=__doc__)
def main() -> None:
    """Generate site files and day files for the bench."""
    pass


def _parse_zone_shares(
    _: click.Context, __: click.Parameter, pairs: tuple[str, ...]
) -> dict[str, float]:
    shares: dict[str, float] = {}
    for pair in pairs:
        name, _separator, share = pair.partition("=")
        try:
            shares[name] = float(share)
        except ValueError:
            raise click.BadParameter(f"{pair!r} is not ZONE=SHARE") from None
        if not name or shares[name] <= 0:
            raise click.BadParameter(f"{pair!r} is not ZONE=SHARE")
    return shares


_FACTOR: Final = click.FloatRange(min=0.0, min_open=True, max=100.0)


_CPU_LIMIT: Final = click.FloatRange(min=0.0, min_open=True)


@main.command("site")
@click.argument("site", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--machines", type=_FACTOR, default=1.0, help="Times as many machines.")
@click.option("--traffic", type=_FACTOR, default=1.0, help="Times as many jobs.")
@click.option("--restart-s", type=click.FloatRange(min=0.0), help="Until a process is back.")
@click.option("--seed", type=int)
@click.option(
    "--zone", "zones", multiple=True, callback=_parse_zone_shares, help="ZONE=SHARE of machines."
)
@click.option("--limit", type=_CPU_LIMIT, help="Processors that each team may use at most.")
def write_site(
    site: Path,
    out: Path,
    machines: float,
    traffic: float,
    restart_s: float | None,
    seed: int | None,
    zones: dict[str, float],
    limit: float | None,
) -> None:
    """Write a variant of a site file, and copy the wire file that it names beside it."""
    values = scale_site(load_site(site), machines, traffic, restart_s, seed, zones, limit)
    out.parent.mkdir(parents=True, exist_ok=True)
    wire = site.parent / str(values.get("wire", ""))
    if wire.is_file() and not (out.parent / wire.name).exists():
        shutil.copyfile(wire, out.parent / wire.name)
    out.write_text(tomli_w.dumps(values))


def _job_overrides(
    name: str,
    site: Site,
    cancelled_share: float | None,
    long_s: float | None,
    tasks: int | None = None,
    rate_per_s: float | None = None,
) -> dict[str, Any]:
    job: dict[str, Any] = {"name": name}
    if tasks is not None:
        job["tasks"] = {"median": float(tasks), "p95": float(tasks), "max": float(tasks)}
    if rate_per_s is not None and (name in site.urgent_classes or not site.urgent_classes):
        job["arrivals"] = {"rate": rate_per_s}
    if cancelled_share is not None:
        job["cancelled"] = cancelled_share
    if long_s is not None and name not in site.urgent_classes:
        job["run_s"] = {"median": long_s, "p95": 1.5 * long_s, "max": 2.0 * long_s}
    return job


_RUN_TIME_S: Final = click.FloatRange(min=1.0)


@main.command("days")
@click.argument("site", type=click.Path(path_type=Path))
@click.argument("where", type=click.Path(path_type=Path))
@click.option("--theme", type=click.Choice(sorted(THEMES)), default="all")
@click.option("--seed", type=int, default=1)
@click.option("--count", type=click.IntRange(min=1), default=1)
@click.option("--mistakes", is_flag=True, help="Four in a hundred jobs fail everywhere.")
@click.option("--cancelled", type=click.FloatRange(0.0, 1.0), help="Share of jobs cancelled.")
@click.option("--long-s", type=_RUN_TIME_S, help="Run time of the tasks that are not urgent.")
@click.option("--tasks", type=click.IntRange(min=1), help="Of every job.")
@click.option("--rate", type=_FACTOR, help="Urgent jobs a second.")
def write_days(
    site: Path,
    where: Path,
    theme: str,
    seed: int,
    count: int,
    mistakes: bool,
    cancelled: float | None,
    long_s: float | None,
    tasks: int | None,
    rate: float | None,
) -> None:
    """Write days of one theme, one file a seed, named after the theme and the seed."""
    parsed_site = Site(load_site(site))
    overrides = [
        _job_overrides(name, parsed_site, cancelled, long_s, tasks, rate)
        for name in parsed_site.classes
    ]
    where.mkdir(parents=True, exist_ok=True)
    for day_seed in range(seed, seed + count):
        text = render_day(
            f"{theme}-{day_seed}",
            day_seed,
            draw_faults(parsed_site, theme, day_seed),
            parsed_site.classes if mistakes else (),
            [job for job in overrides if len(job) > 1],
        )
        (where / f"{theme}-{day_seed}.toml").write_text(text)


if __name__ == "__main__":
    main()
