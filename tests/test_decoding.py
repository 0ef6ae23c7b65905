"""Decoding of messages, settings and records; errors name the invalid field."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.state.job_store import JobStore
from tealrill.state.records import chunk_size
from tealrill.types import (
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
    parse_task_id,
)
from tests.samples import SETTINGS, SUBMISSION, spec

NOW = Monotonic(5.0)


def test_submission_round_trip_keeps_every_field() -> None:
    assert wire.to_builtins(spec()) == SUBMISSION


@pytest.mark.parametrize("field", [k for k, v in SUBMISSION.items() if v is not None])
def test_missing_field_is_named_in_error(field: str) -> None:
    body = {k: v for k, v in SUBMISSION.items() if k != field}
    if field == "dueS":
        assert wire.decode(orjson.dumps(body), wire.JobSpec).deadline_s is None
        return
    with pytest.raises(wire.MalformedMessageError, match=field):
        wire.decode(orjson.dumps(body), wire.JobSpec)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("pieces", 0),
        ("pieces", 100_001),
        ("pieces", "6"),
        ("vcpus", -1.0),
        ("memoryGb", None),
        ("guessS", -0.5),
        ("shape", "circle"),
        ("urgency", 3),
        ("scatter", "yes"),
        ("builds", "big"),
    ],
)
def test_invalid_field_value_is_named_in_error(field: str, value: Any) -> None:
    with pytest.raises(wire.MalformedMessageError, match=field):
        wire.decode(orjson.dumps({**SUBMISSION, field: value}), wire.JobSpec)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"7", b'{"vcpus": NaN}', b"\xff\xfe"])
def test_non_object_body_is_malformed(body: bytes) -> None:
    with pytest.raises(wire.MalformedMessageError):
        wire.decode(body, wire.JobSpec)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_malformed(body: bytes) -> None:
    with pytest.raises(wire.MalformedMessageError):
        wire.decode(body, wire.Heartbeat)


@given(
    st.builds(
        wire.TaskStatus,
        task=st.just("wk-1/0"),
        attempt=st.integers(0, 2**63),
        state=st.sampled_from(["pulling", "running", "flushing", "ended"]),
        why=st.none() | st.sampled_from(["done", "stopped", "error"]),
        saved=st.none() | st.booleans(),
    )
)
def test_task_status_round_trip(line: wire.TaskStatus) -> None:
    assert wire.decode(wire.encode(line), wire.TaskStatus) == line


def test_parse_task_id() -> None:
    assert parse_task_id("wk-12/3") == TaskId(JobId("wk-12"), 3)
    for text in ("wk-12", "wk-12/", "wk-12/x", "wk-12/-1", "/3", "wk/3", "wk-12/٣"):
        assert parse_task_id(text) is None


def test_settings_ignore_unknown_fields() -> None:
    parsed = settings.parse(orjson.dumps({**SETTINGS, "new_field": 1}))
    assert parsed.nodes == 2
    assert parsed.params.teams[0].cpus_max == 64.0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"zone": 3}, "zone"),
        ({"client_listen": "nowhere"}, "client_listen"),
        ({"services": {"cloud": "127.0.0.1:1"}}, "state"),
        ({"params": {**SETTINGS["params"], "workers": {"report_s": 0}}}, "report_s"),
    ],
)
def test_invalid_settings_name_the_field(change: dict[str, Any], named: str) -> None:
    with pytest.raises(settings.SettingsError, match=named) as error:
        settings.parse(orjson.dumps({**SETTINGS, **change}))
    assert "\n" not in str(error.value)


@given(st.lists(st.sampled_from(["bind", "backfill", "release", "done"]), max_size=40))
def test_chunk_round_trip(steps: list[str]) -> None:
    job_store = JobStore(4.0)
    job = job_store.add(spec(pieces=6), Wall(0.0), Revision(3))
    for step in steps:
        bound = list(job.bindings())
        if step in ("bind", "backfill"):
            index = job_store.pop_unbound_task(job)
            if index is not None:
                job_store.bind(
                    job,
                    index,
                    MachineId("m-1"),
                    Incarnation(2),
                    "north",
                    step == "backfill",
                    Wall(77.0),
                    NOW,
                )
        elif bound and step == "release":
            job_store.release(bound[0], "north", NOW)
        elif bound:
            job_store.complete(job, bound[0].task.index, NOW)
            job_store.release(bound[0], "north", NOW)
    again = JobStore(4.0)
    copy = again.add(spec(pieces=6), Wall(0.0), Revision(3))
    for number, chunk in job.chunks.items():
        again.load(copy, number, orjson.loads(orjson.dumps(job_store.value(chunk))), Revision(9))

    def facts(b: Any) -> tuple[Any, ...]:
        return (b.task, b.machine, b.incarnation, b.attempt, b.backfilled, b.bound_at)

    assert {facts(b) for b in copy.bindings()} == {facts(b) for b in job.bindings()}
    assert copy.done == job.done
    assert copy.waiting == job.waiting
    assert again.team_cpus.get("blue", 0.0) == job_store.team_cpus.get("blue", 0.0)
    for index, task in job.tasks.items():
        if not job.done[index]:
            assert copy.tasks[index].next_attempt == task.next_attempt


@given(st.floats(1.0, 64.0))
def test_fully_bound_chunk_fits_value_limit(value_kb: float) -> None:
    job_store = JobStore(value_kb)
    size = chunk_size(value_kb)
    job = job_store.add(spec(pieces=size), Wall(0.0), Revision(3))
    for _ in range(size):
        index = job_store.pop_unbound_task(job)
        assert index is not None
        job_store.bind(
            job, index, MachineId("m" * 64), Incarnation(10**6), "north", True, Wall(1.8e9), NOW
        )
    (chunk,) = job.chunks.values()
    assert len(orjson.dumps(job_store.value(chunk))) <= value_kb * 1024
