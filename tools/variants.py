"""Variants of a deployment, and days of one's own: what operators may meet that no file shows.

    python3 -m tools.variants site SITE.toml OUT.toml --machines 1.5 --traffic 1.5 --restart-s 0.2
    python3 -m tools.variants site SITE.toml OUT.toml --zone north=3 --zone south=1
    python3 -m tools.variants days SITE.toml DIR --theme restarts --seed 7 --count 3
    python3 -m tools.variants days SITE.toml DIR --theme refused --cancelled 0.4 --long-s 200

`refused` has the state service refuse the leader alone and then everybody, with other troubles in
between; `flapping` has it go away every second or two while the leader is lost and users cancel;
`churn` has all controllers end every two or three seconds while users cancel;
`meetings` has pairs of troubles that broke rules elsewhere, and `shown` those of real machines
(users who call off, look closely and err; mute machines; answers alone that are lost; reports kept
for the next leader). A variant keeps the wire file's name, so it belongs beside a copy of that
file. A day is played by `fleetbench run VARIANT.toml DAY.toml --report R.json`; the same seed
draws the same days. Figures that come of them are of simulated machines.
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
Draw = Callable[[random.Random, "Site"], list[Fault]]


class Site:
    """The parts of a site file that troubles name."""

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
            self.urgent = [str(j["name"]) for j in values["jobs"] if j.get("priority") == "high"]
        except (KeyError, TypeError, ValueError) as error:
            raise click.UsageError(f"the site file lacks or mistypes {error}") from None


def load(path: Path) -> dict[str, Any]:
    """A site file's values; one line and exit status 2 where it can't be read."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise click.UsageError(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise click.UsageError(f"{path}: {error}") from None


# -- sites ----------------------------------------------------------------------------------------


def scaled(
    values: dict[str, Any],
    machines: float,
    traffic: float,
    restart_s: float | None,
    seed: int | None,
    zones: dict[str, float],
    limit: float | None = None,
) -> dict[str, Any]:
    """The same deployment with other numbers: counts are rounded up, so that none becomes zero."""
    Site(values)
    found: dict[str, Any] = {**values, "nodes": dict(values["nodes"])}
    parts = values["capacity"]
    if zones:
        parts = _spread(parts, zones)
    found["capacity"] = [
        {**p, "count": _up(p.get("count", 0), machines), "spot": _up(p.get("spot", 0), machines)}
        for p in parts
    ]
    found["jobs"] = [_busier(job, traffic) for job in values["jobs"]]
    if restart_s is not None:
        found["nodes"]["restart_delay_s"] = restart_s
    if seed is not None:
        found["seed"] = seed
    if limit is not None:
        found["teams"] = [{**team, "cpus_max": limit} for team in values.get("teams", [])]
    return found


def _up(count: float, factor: float) -> int:
    return -int(-count * factor // 1)


def _spread(parts: Sequence[dict[str, Any]], zones: dict[str, float]) -> list[dict[str, Any]]:
    """All machines of each type over other zones, by their shares."""
    whole = sum(zones.values())
    found: list[dict[str, Any]] = []
    for kind in dict.fromkeys(str(part["type"]) for part in parts):
        of = [part for part in parts if part["type"] == kind]
        for zone, share in zones.items():
            counts = {
                field: _up(sum(p.get(field, 0) for p in of), share / whole)
                for field in ("count", "spot")
            }
            found.append({"type": kind, "zone": zone, **counts})
    return found


def _busier(job: dict[str, Any], traffic: float) -> dict[str, Any]:
    arrivals = dict(job.get("arrivals", {}))
    if "rate" in arrivals:
        arrivals["rate"] = round(arrivals["rate"] * traffic, 6)
    return {**job, "arrivals": arrivals, "initial": _up(job.get("initial", 0), traffic)}


# -- troubles -------------------------------------------------------------------------------------


def _crash(rng: random.Random, site: Site, count: int = 1) -> Fault:
    return {"kind": "node_crash", "count": min(count, site.nodes), "busiest": True}


def _cut(rng: random.Random, site: Site, **what: bool) -> Fault:
    # Which link is lost is said by `what`; by none of them all are.
    return {
        "kind": "node_cut", "count": 1, "busiest": True, **what,
        "for_s": round(rng.uniform(15, 60), 1), "mode": rng.choice(["hold", "reset", "refuse"]),
    }  # fmt: skip


def _outage(rng: random.Random) -> Fault:
    return {"kind": "state_outage", "for_s": round(rng.uniform(5, 25), 1)}


def _volley(rng: random.Random, site: Site) -> list[Fault]:
    """All controllers, five times in ten seconds."""
    return [{**_crash(rng, site, site.nodes), "at_s": 2.0 * n} for n in range(5)]


def _loop(rng: random.Random, site: Site) -> list[Fault]:
    """One controller, mostly the leader, ends again and again."""
    return [{**_crash(rng, site), "at_s": 1.0 * n} for n in range(12)]


def _in_outage(rng: random.Random, site: Site) -> list[Fault]:
    count = rng.randint(1, site.nodes)
    times = sorted(rng.uniform(0.5, 9.0) for _ in range(3))
    return [
        {**_outage(rng), "at_s": 0.0},
        *({**_crash(rng, site, count), "at_s": round(at, 2)} for at in times),
    ]


def _in_cut(rng: random.Random, site: Site) -> list[Fault]:
    """Restarts while packets between zones, or of the leader, are held."""
    first: Fault
    if len(site.zones) > 1 and rng.random() < 0.5:
        zones = rng.sample(site.zones, 2)
        first = {"kind": "zone_partition", "zones": zones, "for_s": 20.0, "mode": "hold"}
    else:
        first = {**_cut(rng, site, from_state=True), "mode": "hold"}
    times = sorted(rng.uniform(0.2, 15.0) for _ in range(4))
    return [
        {**first, "at_s": 0.0},
        *({**_crash(rng, site, rng.randint(1, 2)), "at_s": round(at, 2)} for at in times),
    ]


def _in_fall(rng: random.Random, site: Site) -> list[Fault]:
    """Restarts while hundreds of machines are being replaced."""
    lost = max(1, int(rng.uniform(0.2, 0.4) * site.machines))
    return [
        {"kind": "machine_die", "count": lost, "at_s": 0.0},
        *({**_crash(rng, site, 1), "at_s": 3.0 + 2.5 * n} for n in range(4)),
    ]


def _rolled(rng: random.Random, site: Site) -> list[Fault]:
    return [{"kind": "node_roll", "every_s": round(rng.uniform(1.0, 8.0), 1), "at_s": 0.0}]


def _silent(rng: random.Random, site: Site) -> list[Fault]:
    # One after the other they may overlap; all of them silent at once say nothing about a service.
    count = rng.randint(1, max(1, (site.nodes - 1) // 2))
    for_s = round(rng.uniform(40, 60), 1)
    down = {"kind": "node_down", "count": count, "busiest": True, "for_s": for_s, "at_s": 0.0}
    return [down] if rng.random() < 0.5 else [down, {**_outage(rng), "at_s": 8.0}]


def _lost_link(rng: random.Random, site: Site) -> list[Fault]:
    what = rng.choice([{"from_state": True}, {"from_workers": True}, {"from_state": False}])
    return [{**_cut(rng, site, **what), "at_s": 0.0}]


def _boots(rng: random.Random, site: Site) -> list[Fault]:
    fail, factor = rng.choice([(0.0, 0.05), (0.3, 1.0), (0.1, 4.0), (0.0, 4.0)])
    trouble = {"kind": "boot_trouble", "fail": fail, "factor": factor, "for_s": 180.0, "at_s": 0.0}
    lost = max(1, int(0.15 * site.machines))
    return [trouble, {"kind": "machine_die", "count": lost, "at_s": 5.0}]


def _polls(rng: random.Random, site: Site) -> list[Fault]:
    factor = rng.choice([8.0, 16.0, 24.0])
    return [{"kind": "poll_storm", "factor": factor, "for_s": 60.0, "at_s": 0.0}]


def _surge(rng: random.Random, site: Site) -> list[Fault]:
    named = rng.choice(site.classes)
    factor = round(rng.uniform(2.0, 4.0), 1)
    return [{"kind": "job_burst", "class": named, "factor": factor, "for_s": 80.0, "at_s": 0.0}]


def _hung(rng: random.Random, site: Site) -> list[Fault]:
    count = max(1, int(rng.uniform(0.1, 0.4) * site.machines))
    for_s = rng.choice([9.0, 14.0, 19.0, 45.0])
    return [{"kind": "machine_hang", "count": count, "for_s": for_s, "at_s": 0.0}]


def _spot(rng: random.Random, site: Site) -> list[Fault]:
    notice_s = rng.choice([0.0, 20.0])
    return [
        {
            "kind": "spot_taken", "share": round(rng.uniform(0.3, 0.9), 2), "notice_s": notice_s,
            "over_s": 5.0, "at_s": 0.0,
        }
    ]  # fmt: skip


def _slow_node(rng: random.Random, site: Site) -> list[Fault]:
    factor = round(rng.uniform(3.0, 8.0), 1)
    slow = {"kind": "node_slow", "count": 1, "busiest": True, "factor": factor, "for_s": 90.0}
    return [{**slow, "at_s": 0.0}]


def _frozen(rng: random.Random, site: Site) -> list[Fault]:
    for_s = round(rng.uniform(2.0, 25.0), 1)
    frozen = {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": for_s, "at_s": 0.0}
    return [frozen, {**_crash(rng, site), "at_s": round(rng.uniform(0.0, for_s), 1)}]


def _flapping(rng: random.Random, site: Site) -> list[Fault]:
    """The state service goes away again and again while the leader is lost and users cancel."""
    for_s = round(site.cancel_s + rng.uniform(6.0, 20.0), 1)
    whole = {"count": 1, "busiest": True, "for_s": for_s, "at_s": 0.0}
    found: list[Fault] = [
        rng.choice(
            [
                {"kind": "node_freeze", **whole},
                {"kind": "node_down", **whole},
                {
                    "kind": "node_cut",
                    "from_state": True,
                    "from_peers": True,
                    "mode": "hold",
                    **whole,
                },
            ]
        )
    ]
    at_s = 1.0
    while at_s < for_s:
        down_s = round(rng.uniform(0.8, 2.0), 2)
        found.append({"kind": "state_outage", "for_s": down_s, "at_s": round(at_s, 2)})
        at_s += down_s + rng.uniform(0.4, 1.2)
    cancelled_at = [0.3, *(rng.uniform(1.0, 0.4 * for_s) for _ in range(4))]
    return found + [{**_cancel_now(rng), "at_s": round(at, 2)} for at in cancelled_at]


# -- meetings of troubles -------------------------------------------------------------------------


def _alone(for_s: float) -> Fault:
    """The state service refuses the leader, while all else reaches it."""
    return {
        "kind": "node_cut", "count": 1, "busiest": True, "from_state": True,
        "for_s": round(for_s, 1), "mode": "refuse", "at_s": 0.0,
    }  # fmt: skip


def _refused(rng: random.Random, site: Site) -> list[Fault]:
    """The leader is refused, others confirm, then nobody is served for longer than a lease."""
    before = rng.choice([0.7, 1.5, 2.5, 4.0, 9.0, 20.0])
    out = rng.choice([40.0, 90.0, 90.0, 180.0])
    # It may be served again before the outage, in it, or only after it.
    refused = rng.choice([before * 0.9, before + out / 2, before + out + 5.0])
    found = [
        _alone(refused),
        {"kind": "state_outage", "for_s": out, "at_s": before},
    ]
    if rng.random() < 0.3:
        found.append({"kind": "state_outage", "for_s": 20.0, "at_s": before + out + 3.0})
    during = rng.uniform(0.0, before)
    other = rng.choice([None, None, *_BETWEEN])
    return found if other is None else [*found, {**other(rng, site), "at_s": round(during, 2)}]


def _follower_ends(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_crash", "count": 1, "busiest": False}


def _leader_stands_still(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": 5.0}


def _silent_one(rng: random.Random, site: Site) -> Fault:
    return {"kind": "node_down", "count": 1, "busiest": False, "for_s": 60.0}


def _late_writes(rng: random.Random, site: Site) -> Fault:
    share = rng.choice([0.1, 0.3, 0.6])
    return {"kind": "late_writes", "share": share, "for_s": rng.choice([20.0, 60.0])}


def _late_reports(rng: random.Random, site: Site) -> Fault:
    share = rng.choice([0.1, 0.4])
    return {"kind": "late_reports", "share": share, "for_s": rng.choice([30.0, 90.0])}


def _deaf(rng: random.Random, site: Site) -> Fault:
    where: Fault = rng.choice([{"share": 0.2}, {"share": 0.5}, {"zone": rng.choice(site.zones)}])
    return {"kind": "machine_deaf", **where, "for_s": rng.choice([10.0, 25.0, 60.0])}


_BETWEEN: Final[tuple[Callable[[random.Random, Site], Fault], ...]] = (
    _follower_ends, _leader_stands_still, _silent_one, _late_writes, _late_reports, _deaf,
)  # fmt: skip


def _cut_off(rng: random.Random, site: Site) -> list[Fault]:
    """A leader loses state service and controllers; workers and users still reach it."""
    cut = {**_cut(rng, site, from_state=True, from_peers=True), "at_s": 0.0}
    return [cut, *_some(rng, site)]


def _ends_among_deaf(rng: random.Random, site: Site) -> list[Fault]:
    at_s = round(rng.uniform(0.0, 6.0), 1)
    return [{**_deaf(rng, site), "at_s": 0.0}, {**_crash(rng, site), "at_s": at_s}]


def _late_and_ended(rng: random.Random, site: Site) -> list[Fault]:
    ends = [round(rng.uniform(0.0, 15.0), 1) for _ in range(rng.randint(1, 4))]
    count = rng.choice([1, site.nodes])
    return [
        {**_late_writes(rng, site), "at_s": 0.0},
        *({**_crash(rng, site, count), "at_s": at_s} for at_s in ends),
        *_some(rng, site),
    ]


def _late_copies(rng: random.Random, site: Site) -> list[Fault]:
    found = [{**_late_reports(rng, site), "at_s": 0.0}, {**_crash(rng, site), "at_s": 8.0}]
    return [*found, *_some(rng, site)]


def _held(rng: random.Random, site: Site) -> list[Fault]:
    """Commands and answers held, and then a change of leader."""
    count = max(1, int(0.2 * site.machines))
    hang = {"kind": "machine_hang", "count": count, "for_s": rng.choice([3.0, 8.0, 14.0])}
    return [{**hang, "at_s": 0.0}, {**_crash(rng, site), "at_s": 2.0}, *_some(rng, site)]


def _slow_outage(rng: random.Random, site: Site) -> list[Fault]:
    return [*_refused(rng, site), {"kind": "poll_storm", "factor": 8.0, "for_s": 60.0, "at_s": 0.0}]


def _some(rng: random.Random, site: Site) -> list[Fault]:
    """Mostly another trouble beside."""
    if rng.random() < 0.3:
        return []
    number = rng.randint(0, len(_BETWEEN))
    other = _BETWEEN[number](rng, site) if number < len(_BETWEEN) else _outage(rng)
    return [{**other, "at_s": round(rng.uniform(0.0, 12.0), 1)}]


# -- what real machines showed ---------------------------------------------------------------------


def _cancel_now(rng: random.Random, hang_s: float | None = None) -> Fault:
    """Jobs that run and have long to go, called off within a fifth of a second."""
    count = rng.choice([1, 8, 40])
    hangs: Fault = {} if hang_s is None else {"hang_s": hang_s}
    return {"kind": "cancel_now", "count": count, **hangs}


def _hang_s(rng: random.Random, site: Site) -> float:
    """Well below, about, and above the workers' lease; longer than `cancel_s`."""
    times = rng.choice([0.3, 0.95, 1.05, 1.5])
    return round(rng.choice([times * site.lease_s, site.cancel_s + 5.0]), 2)


def _at_end(rng: random.Random) -> Fault:
    share = rng.choice([0.3, 1.0])
    return {"kind": "cancel_at_end", "share": share, "for_s": rng.choice([20.0, 60.0])}


def _close_looks(rng: random.Random) -> Fault:
    return {"kind": "close_looks", "for_s": rng.choice([30.0, 90.0])}


def _odd(rng: random.Random) -> Fault:
    return {"kind": "odd_requests", "for_s": rng.choice([30.0, 90.0])}


def _lost_answers(rng: random.Random, site: Site) -> Fault:
    """Carried out at once; only the writer does not know."""
    return {**_late_writes(rng, site), "at_once": True}


def _for_next(rng: random.Random, site: Site) -> Fault:
    return {**_late_reports(rng, site), "for_next": True}


def _mute(rng: random.Random, site: Site) -> Fault:
    return {**_deaf(rng, site), "kind": "machine_mute"}


def _after(first: Sequence[Fault], more: Sequence[tuple[float, Fault]]) -> list[Fault]:
    """What is there from the beginning, and what follows it."""
    begun = [{**fault, "at_s": 0.0} for fault in first]
    return [*begun, *({**fault, "at_s": round(at_s, 2)} for at_s, fault in more)]


def _looked_at(rng: random.Random, site: Site) -> list[Fault]:
    """Close looks while jobs end, are called off and are sent anew, and something breaks."""
    first = [_close_looks(rng), _at_end(rng), _odd(rng)]
    breaks = rng.choice([_outage(rng), _crash(rng, site, rng.randint(1, site.nodes))])
    return _after(first, [(rng.uniform(2.0, 15.0), breaks), (8.0, _cancel_now(rng))])


def _answers_lost(rng: random.Random, site: Site) -> list[Fault]:
    first = [_lost_answers(rng, site), _close_looks(rng), _at_end(rng)]
    ends = [(rng.uniform(1.0, 20.0), _crash(rng, site)) for _ in range(2)]
    return _after(first, [*ends, (6.0, _cancel_now(rng))])


def _hung_and_called_off(rng: random.Random, site: Site) -> list[Fault]:
    """Everybody wants more than there is; jobs on machines that hang are called off."""
    first: list[Fault] = [
        {"kind": "job_burst", "class": name, "factor": 3.0, "for_s": 60.0} for name in site.classes
    ]
    at_s = rng.uniform(15.0, 40.0)
    off = _cancel_now(rng, _hang_s(rng, site))
    ends = at_s + rng.choice([-0.5, 0.1, 1.0, 4.0])
    return _after(first, [(at_s, off), (ends, _crash(rng, site)), *_more(rng, site, at_s)])


def _more(rng: random.Random, site: Site, at_s: float) -> list[tuple[float, Fault]]:
    other = rng.choice([_deaf, _mute, _late_reports, _for_next, _lost_answers, _late_writes])
    return [(at_s, other(rng, site))]


def _called_off_in_hand_over(rng: random.Random, site: Site) -> list[Fault]:
    changes: list[Fault] = [
        {"kind": "node_roll", "every_s": round(rng.uniform(1.0, 8.0), 1)},
        _crash(rng, site),
        {**_frozen(rng, site)[0]},
    ]
    offs = [(round(rng.uniform(-0.3, 6.0), 2) + 1.0, _cancel_now(rng)) for _ in range(4)]
    return _after([], [(1.0, rng.choice(changes)), *offs])


def _up_at_once(rng: random.Random, site: Site) -> list[Fault]:
    """New machines report before anybody could write down that they were rented."""
    boots: Fault = {"kind": "boot_trouble", "fail": 0.0, "factor": 0.03, "for_s": 90.0}
    lost: Fault = {"kind": "machine_die", "count": max(1, int(0.25 * site.machines))}
    write = rng.choice([_late_writes, _lost_answers])(rng, site)
    ends = [(rng.uniform(2.0, 12.0), _crash(rng, site)) for _ in range(2)]
    return _after([boots, write], [(1.0, lost), *ends])


def _kept_for_next(rng: random.Random, site: Site) -> list[Fault]:
    first = [_for_next(rng, site), _late_reports(rng, site)]
    ends = [(4.0 + 9.0 * n, _crash(rng, site, rng.choice([1, 1, site.nodes]))) for n in range(4)]
    return _after(first, [*ends, (10.0, _cancel_now(rng, _hang_s(rng, site)))])


def _refused_and_called_off(rng: random.Random, site: Site) -> list[Fault]:
    """In the moment of the refusal; a second later nobody is served for longer than `cancel_s`."""
    out: Fault = {"kind": "state_outage", "for_s": round(site.cancel_s + rng.uniform(5.0, 40.0), 1)}
    alone = _alone(rng.choice([0.9, site.cancel_s + 20.0]))
    off = _cancel_now(rng, rng.choice([None, _hang_s(rng, site)]))
    at_s = rng.choice([0.0, 0.1, 0.4, 0.9])
    return _after([alone], [(at_s, off), (1.0, out), (0.5, _close_looks(rng))])


def _muted(rng: random.Random, site: Site) -> list[Fault]:
    ends = [(rng.uniform(0.0, 20.0), _crash(rng, site)) for _ in range(rng.randint(0, 2))]
    off = (rng.uniform(0.0, 10.0), _cancel_now(rng, rng.choice([None, _hang_s(rng, site)])))
    return _after([_mute(rng, site)], [off, *ends])


def _zone_away(rng: random.Random, site: Site) -> list[Fault]:
    """A zone with its workers and its controller, for longer than the workers' lease."""
    for_s = round(site.lease_s * rng.choice([1.1, 2.0, 3.0]), 1)
    mode = rng.choice(["hold", "reset"])
    cut: Fault = {"kind": "zone_cut", "zone": rng.choice(site.zones), "for_s": for_s, "mode": mode}
    return _after([cut], [(rng.uniform(0.0, for_s), _cancel_now(rng)), (2.0, _crash(rng, site))])


def _ten_leaders(rng: random.Random, site: Site) -> list[Fault]:
    ends = [(12.0 * n, _crash(rng, site)) for n in range(10)]
    offs = [(rng.uniform(0.0, 100.0), _cancel_now(rng)) for _ in range(3)]
    out = [(rng.uniform(20.0, 60.0), _outage(rng))]
    return _after([rng.choice([_deaf, _mute])(rng, site)], [*ends, *offs, *out])


def _nobody(rng: random.Random, site: Site) -> list[Fault]:
    """All controllers away for longer than the workers' lease."""
    down: Fault = {
        "kind": "node_down", "count": site.nodes, "busiest": True,
        "for_s": round(site.lease_s * rng.choice([1.1, 1.6]), 1),
    }  # fmt: skip
    return _after([down], [(0.0, _cancel_now(rng)), (1.0, _close_looks(rng))])


_CHURN_S: Final = 60.0
_CANCELLED_AT_ENDS: Final = (2, 5, 9)
"""Jobs are cancelled right before these ends of all controllers, counted from 0."""


def _leaders_change(rng: random.Random, site: Site) -> list[Fault]:
    """All controllers end every few seconds while jobs are cancelled; mostly more beside it."""
    every_s = rng.uniform(1.5, 3.0)
    ends = [(every_s * n, _crash(rng, site, site.nodes)) for n in range(int(_CHURN_S / every_s))]
    hangs: Fault = rng.choice([{}, {"hang_s": round(0.5 * site.lease_s, 2)}])
    cancels: list[tuple[float, Fault]] = [
        (every_s * n - 0.1, {"kind": "cancel_now", "count": 80, **hangs})
        for n in _CANCELLED_AT_ENDS
    ]
    late: list[Fault] = [
        {"kind": kind, "share": 0.3, "for_s": _CHURN_S}
        for kind in ("late_commands", "late_reports")
    ]
    outages: list[tuple[float, Fault]] = [
        (8.0 + 3.1 * n, {"kind": "state_outage", "for_s": 0.8}) for n in range(14)
    ]
    beside, flapping = rng.choice([([], []), (late, []), (late, outages)])
    return _after(beside, [*ends, *cancels, *flapping])


THEMES: Final[dict[str, tuple[Draw, ...]]] = {
    "restarts": (_volley, _loop, _in_outage, _in_cut, _in_fall, _rolled),
    "silent": (_silent,),
    "links": (_lost_link,),
    "boots": (_boots,),
    "polls": (_polls,),
    "falls": (_hung, _spot, _in_fall),
    "surges": (_surge, _in_fall),
    "refused": (_refused,),
    "flapping": (_flapping,),
    "churn": (_leaders_change,),
    "meetings": (
        _refused, _cut_off, _ends_among_deaf, _late_and_ended, _late_copies, _held, _slow_outage,
        _volley, _rolled,
    ),
    "shown": (
        _looked_at, _answers_lost, _hung_and_called_off, _called_off_in_hand_over, _up_at_once,
        _kept_for_next, _refused_and_called_off, _muted, _zone_away, _ten_leaders, _nobody,
    ),
    "all": (
        _volley, _in_outage, _in_cut, _in_fall, _rolled, _silent, _lost_link, _boots, _polls,
        _surge, _hung, _spot, _slow_node, _frozen,
    ),
}  # fmt: skip
_FIRST_S: Final = 100.0
_LAST_S: Final = 440.0
_LAST_REFUSED_S: Final = 300.0
"""Some of it lasts for minutes, and the day is to end well after it."""


def draw(site: Site, theme: str, seed: int) -> list[Fault]:
    """A day's troubles, one group after the other, some of them overlapping."""
    rng = random.Random(f"{theme}/{seed}")
    kinds = list(THEMES[theme])
    rng.shuffle(kinds)
    found: list[Fault] = []
    at_s = _FIRST_S
    while at_s < (_LAST_REFUSED_S if theme == "refused" else _LAST_S):
        kind = kinds[len(found) % len(kinds)] if theme == "all" else rng.choice(kinds)
        group = kind(rng, site)
        found += [{**fault, "at_s": round(at_s + float(fault["at_s"]), 2)} for fault in group]
        at_s += rng.uniform(30.0, 90.0)
        if theme == "refused":
            # The state service is to be back before the next one.
            at_s += max(float(fault["at_s"]) + float(fault.get("for_s", 0.0)) for fault in group)
    return sorted(found, key=lambda fault: float(fault["at_s"]))


def day(
    name: str,
    seed: int,
    faults: Sequence[Fault],
    broken: Sequence[str] = (),
    jobs: Sequence[dict[str, Any]] = (),
) -> str:
    """Return a day's file.

    Of the classes in `broken` four in a hundred jobs are mistaken, and `jobs` says what else is
    different of a class.
    """
    held: dict[str, Any] = {"name": name, "slot": "scale", "light": False, "seed": seed}
    changed = {str(job["name"]): dict(job) for job in jobs}
    for named in broken:
        changed.setdefault(named, {"name": named})["broken"] = 0.04
    if changed:
        held["jobs"] = list(changed.values())
    held["faults"] = list(faults)
    return tomli_w.dumps({"day": [held]})


# -- commands -------------------------------------------------------------------------------------


@click.group(help=__doc__)
def main() -> None:
    """Deployments and days of our own for the bench."""
    pass


def _shares(_: click.Context, __: click.Parameter, given: tuple[str, ...]) -> dict[str, float]:
    found: dict[str, float] = {}
    for pair in given:
        name, _sign, share = pair.partition("=")
        try:
            found[name] = float(share)
        except ValueError:
            raise click.BadParameter(f"{pair!r} is not ZONE=SHARE") from None
        if not name or found[name] <= 0:
            raise click.BadParameter(f"{pair!r} is not ZONE=SHARE")
    return found


_FACTOR: Final = click.FloatRange(min=0.0, min_open=True, max=100.0)


_LIMIT: Final = click.FloatRange(min=0.0, min_open=True)


@main.command("site")
@click.argument("site", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--machines", type=_FACTOR, default=1.0, help="Times as many machines.")
@click.option("--traffic", type=_FACTOR, default=1.0, help="Times as many jobs.")
@click.option("--restart-s", type=click.FloatRange(min=0.0), help="Until a process is back.")
@click.option("--seed", type=int)
@click.option("--zone", "zones", multiple=True, callback=_shares, help="ZONE=SHARE of machines.")
@click.option("--limit", type=_LIMIT, help="Processors that each team may use at most.")
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
    """Writes a variant, and the wire file that it names beside it."""
    values = scaled(load(site), machines, traffic, restart_s, seed, zones, limit)
    out.parent.mkdir(parents=True, exist_ok=True)
    wire = site.parent / str(values.get("wire", ""))
    if wire.is_file() and not (out.parent / wire.name).exists():
        shutil.copyfile(wire, out.parent / wire.name)
    out.write_text(tomli_w.dumps(values))


def _changed(
    name: str,
    site: Site,
    cancelled: float | None,
    long_s: float | None,
    tasks: int | None = None,
    rate: float | None = None,
) -> dict[str, Any]:
    job: dict[str, Any] = {"name": name}
    if tasks is not None:
        job["tasks"] = {"median": float(tasks), "p95": float(tasks), "max": float(tasks)}
    if rate is not None and (name in site.urgent or not site.urgent):
        job["arrivals"] = {"rate": rate}
    if cancelled is not None:
        job["cancelled"] = cancelled
    if long_s is not None and name not in site.urgent:
        job["run_s"] = {"median": long_s, "p95": 1.5 * long_s, "max": 2.0 * long_s}
    return job


_FACTOR_S: Final = click.FloatRange(min=1.0)


@main.command("days")
@click.argument("site", type=click.Path(path_type=Path))
@click.argument("where", type=click.Path(path_type=Path))
@click.option("--theme", type=click.Choice(sorted(THEMES)), default="all")
@click.option("--seed", type=int, default=1)
@click.option("--count", type=click.IntRange(min=1), default=1)
@click.option("--mistakes", is_flag=True, help="Four in a hundred jobs fail everywhere.")
@click.option("--cancelled", type=click.FloatRange(0.0, 1.0), help="Share of jobs cancelled.")
@click.option("--long-s", type=_FACTOR_S, help="Run time of the tasks that are not urgent.")
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
    """Draws days of one theme; each file's name has the theme and its seed."""
    found = Site(load(site))
    jobs = [_changed(name, found, cancelled, long_s, tasks, rate) for name in found.classes]
    where.mkdir(parents=True, exist_ok=True)
    for each in range(seed, seed + count):
        text = day(
            f"{theme}-{each}",
            each,
            draw(found, theme, each),
            found.classes if mistakes else (),
            [job for job in jobs if len(job) > 1],
        )
        (where / f"{theme}-{each}.toml").write_text(text)


if __name__ == "__main__":
    main()
