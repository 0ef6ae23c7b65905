"""Log lines that are written once per change, and the leadership fields of a node's status."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, cast

import orjson
import pytest

from tealrill import settings, wire
from tealrill.change_log import ChangeLog
from tealrill.daemon import Controller
from tealrill.fleet.cloud import Cloud
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election, KnownLeader
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.scheduler.estimates import Estimates
from tealrill.state.client import StateClient
from tealrill.state.fencing import Leadership
from tealrill.types import FencingToken, LeaseId, MachineId, Monotonic, Revision, monotonic_now
from tests.samples import SETTINGS, make_heartbeat
from tests.test_renewal_delegation import Store

PARSED = settings.parse(orjson.dumps(SETTINGS))


def _texts(caplog: pytest.LogCaptureFixture, part: str) -> list[str]:
    return [r.getMessage() for r in caplog.records if part in r.getMessage()]


def test_change_log_writes_line_only_on_change(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    changes = ChangeLog(logging.getLogger("tealrill.test"))
    for text in ("a", "a", "b", "a", "a"):
        changes.info(text)
    changes.reset()
    changes.info("a")
    assert [record.getMessage() for record in caplog.records] == ["a", "b", "a", "a"]


def test_followed_leader_is_logged_once_per_term(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    store = Store()
    election = Election(cast(StateClient, store), "node-0", lambda: None)
    for term, mod_revision in ((3, 7), (3, 7), (4, 9)):
        store.keys["leader"] = ({"host": "node-1", "term": term}, mod_revision)
        asyncio.run(election._follow())
    assert _texts(caplog, "follows") == [
        "term 3: follows node-1, whose key is at revision 7",
        "term 4: follows node-1, whose key is at revision 9",
    ]


def test_suspended_worker_renewals_are_logged_on_change(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    now = monotonic_now()
    leadership = Leadership(FencingToken(3), Revision(7), LeaseId(1), now, Monotonic(now + 3.0))
    client, cloud = cast(StateClient, Store()), cast(Cloud, None)
    leader = Leader(PARSED, client, cloud, cast(Election, None), leadership, Estimates())
    leader.fleet.loaded = True
    leader.job_watch.cancellation_knowledge = CancellationKnowledge(Revision(41), now)
    for later_s in (0.0, 1.0, 30.0, 31.0):
        leader.lease_expiry._log_renewal_change(Monotonic(now + later_s))
    leader.job_watch.cancellation_knowledge = CancellationKnowledge(
        Revision(50), Monotonic(now + 31.0)
    )
    leader.lease_expiry._log_renewal_change(Monotonic(now + 32.0))
    assert _texts(caplog, "worker renewals") == [
        "worker renewals suspended: term=3 cancellations_known_to_revision=41 known_s_ago=30.0",
        "worker renewals resumed: term=3 cancellations_known_to_revision=50 known_s_ago=1.0",
    ]


def test_status_counts_heartbeats_by_answer_and_shows_validity() -> None:
    node = Controller(PARSED)
    node.election.known_leader = KnownLeader("node-1", FencingToken(3), Revision(7))
    message: wire.Heartbeat = make_heartbeat("m-1", 1, 1, 3)
    for _ in range(3):
        assert node.handle_heartbeat(message, MachineId("m-1"))[0] == 421
    shown: dict[str, Any] = node.describe()
    assert shown["reports"] == {"renewed": 0, "delegated": 0, "redirected": 3, "refused": 0}
    assert shown["state_interruptions"] == 0 and "renews" not in shown and "held_by" not in shown
    now = monotonic_now()
    leadership = Leadership(
        FencingToken(4), Revision(9), LeaseId(1), now, Monotonic(now + 2.7), renewed_at=now
    )
    node.election.leadership = leadership
    assert node.describe()["held_by"] == "lease"
    leadership.valid_until = Monotonic(now + 3.8)
    assert node.describe()["held_by"] == "promises" and node.describe()["valid_s"] <= 3.8
