"""Validation of submissions: 400 for a malformed job, 422 for one that can never run.

A valid job is generated, one field of it is made invalid, and the status of the reply and the field
that it names are compared with the protocol. A rejected job changes nothing in the state service.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.state.admission import Admission, Reply
from tealrill.state.client import Committed, StateClient
from tealrill.state.rate_limiter import RequestPriority
from tealrill.types import Revision
from tests.samples import SETTINGS, SUBMISSION

_CATALOGUE = wire.decode(
    orjson.dumps(
        {
            "builds": [
                {
                    "label": label, "vcpus": cpus, "gpus": gpus, "memoryGb": memory, "price": 1.0,
                    "marketPrice": 0.4, "startupS": 20, "halls": halls,
                }
                for label, cpus, gpus, memory, halls in (
                    ("small", 8, 0, 32, ["north", "south"]),
                    ("large", 64, 4, 256, ["south"]),
                )
            ]
        }
    ),
    wire.Catalogue,
)  # fmt: skip
_LIMIT = 64.0
"""Processor limit of team `red`; `blue` has no limit."""
_NULLABLE = ("builds", "hall", "dueS")
"""Fields that may be null; by the protocol they may also be omitted."""
_AMOUNTS = ("vcpus", "gpus", "memoryGb", "sizeGb", "guessS", "snapshotS", "flushS")
_TEXTS = ("lineup", "crew", "bundle")
_FLAGS = ("samePlace", "scatter", "loaners")


class _Client:
    """The part of the state service client that a submission needs."""

    unavailable = False
    first_seen = Revision(1)

    def __init__(self, **keys: Any) -> None:
        self.keys = keys
        self.committed = 0
        self.submissions = self

    def try_acquire(self) -> bool:
        return True

    async def get(
        self, key: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> wire.KeyValue | None:
        return wire.KeyValue(value=self.keys[key], version=3) if key in self.keys else None

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        return [], Revision(3)

    async def commit(self, guards: Any, changes: Any, tokens_acquired: bool = False) -> Committed:
        self.committed += len(changes)
        return Committed(Revision(4))


def _submit(body: bytes, client: _Client, catalogue: wire.Catalogue | None = _CATALOGUE) -> Reply:
    parsed = settings.parse(orjson.dumps(SETTINGS))
    admission = Admission(cast(StateClient, client), parsed, lambda: catalogue)
    return asyncio.run(admission.submit(body))


@st.composite
def _jobs(draw: st.DrawFn) -> dict[str, Any]:
    """Generate jobs that can run: a task fits a machine type and the team's limit admits it."""
    shape = draw(st.sampled_from(["sweep", "standing"]))
    pieces = draw(st.integers(1, 8))
    job = {
        **SUBMISSION,
        "shape": shape,
        "urgency": draw(st.sampled_from(["production", "urgent", "standard", "idle"])),
        "crew": draw(st.sampled_from(["red", "blue"])),
        "pieces": pieces if shape == "standing" else draw(st.sampled_from([pieces, 100_000])),
        "vcpus": draw(st.sampled_from([0.5, 4, 8.0])),
        "memoryGb": draw(st.sampled_from([0.0, 8.0, 32])),
        "builds": draw(st.sampled_from([None, ["small"], ["small", "other"]])),
        "hall": draw(st.sampled_from([None, "north", "south"])),
        "dueS": draw(st.sampled_from([None, 0.0, 600])),
        # These combinations only seem contradictory: the tasks of an array may run one after
        # another, and the protocol does not reject a service whose tasks can't all run at once.
        "samePlace": draw(st.booleans()),
        "scatter": draw(st.booleans()),
        "loaners": draw(st.booleans()),
    }
    for name in _NULLABLE:
        if job[name] is None and draw(st.booleans()):
            del job[name]
    return job


_MALFORMED = st.one_of(
    st.sampled_from([name for name in SUBMISSION if name not in _NULLABLE]).map(lambda n: (n, ...)),
    st.tuples(
        st.sampled_from(_AMOUNTS),
        st.sampled_from([None, "4", -1.0, -1e-9, 1e10, True, [4.0], {}]),
    ),
    st.tuples(st.just("dueS"), st.sampled_from(["soon", -1.0, False, 1e10])),
    st.tuples(st.sampled_from(_TEXTS), st.sampled_from([None, "", 7, "x" * 101, ["blue"]])),
    st.tuples(st.sampled_from(_FLAGS), st.sampled_from([None, 0, 1, "true"])),
    st.tuples(
        st.just("pieces"), st.sampled_from([None, 0, -1, 100_001, 1.5, "6", True, 2**63])
    ),
    st.tuples(st.just("shape"), st.sampled_from([None, "", "circle", 3])),
    st.tuples(st.just("urgency"), st.sampled_from([None, "", "high", 3])),
    st.tuples(st.just("builds"), st.sampled_from(["small", [None], [""], [7], {}])),
    st.tuples(st.just("hall"), st.sampled_from(["", 7, ["north"]])),
    st.tuples(st.just("id"), st.sampled_from([None, "", 7, "wk", "wk-", "a/b-1", "x" * 200])),
)  # fmt: skip

_UNSATISFIABLE = st.one_of(
    st.tuples(st.just("crew"), st.sampled_from(["nobody", "Red"])),
    st.tuples(st.just("builds"), st.sampled_from([[], ["other"], ["Small"]])),
    st.tuples(st.just("hall"), st.sampled_from(["elsewhere", "North"])),
    st.tuples(st.just("vcpus"), st.sampled_from([64.1, 1e9])),
    st.tuples(st.just("gpus"), st.sampled_from([5.0, 1e9])),
    st.tuples(st.just("memoryGb"), st.sampled_from([256.1, 1e9])),
)


@given(_jobs())
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_valid_job_is_accepted(job: dict[str, Any]) -> None:
    client = _Client()
    reply = _submit(orjson.dumps(job), client)
    assert (reply.status, client.committed) == (201, 1), reply.body


@given(_jobs(), _MALFORMED)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_malformed_job_is_rejected_with_field_name(
    job: dict[str, Any], invalid_change: tuple[str, Any]
) -> None:
    field, value = invalid_change
    changed = {**job, field: value}
    if value is ...:
        del changed[field]
    client = _Client()
    reply = _submit(orjson.dumps(changed), client)
    assert (reply.status, client.committed, reply.retry_after_s) == (400, 0, None)
    assert field in reply.body["error"], reply.body


@given(_jobs(), _UNSATISFIABLE)
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_unsatisfiable_job_is_rejected_with_field_name(
    job: dict[str, Any], invalid_change: tuple[str, Any]
) -> None:
    field, value = invalid_change
    client = _Client()
    reply = _submit(orjson.dumps({**job, "builds": None, "hall": None, field: value}), client)
    assert (reply.status, client.committed, reply.retry_after_s) == (422, 0, None)
    assert f"`$.{field}`" in reply.body["error"], reply.body


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"builds": ["small"], "vcpus": 9.0}, "vcpus"),
        ({"hall": "north", "gpus": 1.0}, "gpus"),
        ({"hall": "north", "builds": ["large"]}, "hall"),
        ({"hall": "north", "vcpus": 64.0}, "vcpus"),
    ],
)
def test_job_without_matching_machine_type_is_rejected(changes: dict[str, Any], field: str) -> None:
    reply = _submit(orjson.dumps({**SUBMISSION, **changes}), _Client())
    assert reply.status == 422 and f"`$.{field}`" in reply.body["error"]


@pytest.mark.parametrize(
    ("shape", "pieces", "vcpus", "status"),
    [
        # An array needs room for one of its tasks, a service for all of them at once.
        ("sweep", 1000, _LIMIT, 201),
        ("standing", 8, 8.0, 201),
        ("standing", 9, 8.0, 422),
        ("standing", 1000, 0.1, 422),
    ],
)
def test_team_limit_applies_to_concurrent_tasks(
    shape: str, pieces: int, vcpus: float, status: int
) -> None:
    changes = {"crew": "red", "shape": shape, "pieces": pieces, "vcpus": vcpus}
    reply = _submit(orjson.dumps({**SUBMISSION, **changes}), _Client())
    assert reply.status == status
    assert status == 201 or "`$.vcpus`" in reply.body["error"]


_INVALID_CHANGES = st.one_of(_MALFORMED, _UNSATISFIABLE).filter(
    lambda invalid_change: invalid_change[0] != "id"
)


@given(_INVALID_CHANGES, st.sampled_from(["job", "over"]))
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_invalid_resubmission_of_known_job_returns_its_status(
    invalid_change: tuple[str, Any], prefix: str
) -> None:
    field, value = invalid_change
    changed = {**SUBMISSION, field: value}
    if value is ...:
        del changed[field]
    stored = {"job": {"spec": SUBMISSION, "at": 1.0}, "over": {"status": wire.JOB_DONE, "tasks": 6}}
    client = _Client(**{f"{prefix}/{SUBMISSION['id']}": stored[prefix]})
    reply = _submit(orjson.dumps(changed), client)
    expected = {"job": wire.JOB_PENDING, "over": wire.JOB_DONE}[prefix]
    assert (reply.status, reply.body["status"], client.committed) == (200, expected, 0)


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"7", b'{"vcpus": NaN}', b'{"vcpus": 1e999}', b"\xff", b"null", b'"wk-1"'],
)
def test_non_object_body_is_rejected(body: bytes) -> None:
    assert _submit(body, _Client()).status == 400


def test_unknown_catalogue_gives_503_except_for_malformed_job() -> None:
    reply = _submit(orjson.dumps({**SUBMISSION, "vcpus": 1e9}), _Client(), None)
    assert (reply.status, reply.retry_after_s) == (503, 1)
    # A malformed job is rejected without knowledge of the machine types.
    assert _submit(orjson.dumps({**SUBMISSION, "vcpus": -1}), _Client(), None).status == 400


def test_invalid_resubmission_during_owner_move_gives_503() -> None:
    """While the owner's record is being moved, the accepted job's repetition gets a 503."""
    client = _Client(**{"job/lab1-0": {"spec": SUBMISSION, "at": 1.0, "owner": "lab1"}})
    reply = _submit(orjson.dumps({**SUBMISSION, "id": "lab1-0", "vcpus": -1}), client)
    assert (reply.status, reply.retry_after_s) == (503, 1)


def test_record_without_nullable_fields_is_decoded() -> None:
    """Requests and records share one type, so records without nullable fields must be readable."""
    record = {k: v for k, v in SUBMISSION.items() if k not in _NULLABLE}
    spec = wire.decode(orjson.dumps(record), wire.JobSpec)
    assert (spec.types, spec.zone, spec.deadline_s) == (None, None, None)
