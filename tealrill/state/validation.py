"""Validation of job requests against the configured teams and the catalogue of machine types.

Decides from a job's specification alone whether it can be stored and can ever run. This module does
no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

import orjson

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.settings import Settings, Team
from tealrill.types import JobId, parse_job_id


class JobRejectedError(TealrillError):
    """A job can't be accepted as specified; the message is shown to the user."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        """HTTP status: 400 for a malformed specification, 422 for one that can't be satisfied."""


class CatalogueUnknownError(TealrillError):
    """The machine types are not known yet, so it can't be decided whether a job can run."""


def requested_job_id(body: bytes) -> JobId | None:
    """Return the job id of a body that may otherwise be malformed; None if it has none."""
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    text = message.get("id") if isinstance(message, dict) else None
    return parse_job_id(text) if isinstance(text, str) else None


def decode_job(body: bytes) -> wire.JobSpec:
    """Decode a job's specification; raises `JobRejectedError` if it is too long or malformed."""
    if len(body) > wire.MAX_BODY:
        raise JobRejectedError(400, "the body is larger than 64 KiB")
    try:
        return wire.decode(body, wire.JobSpec)
    except wire.MalformedMessageError as error:
        raise JobRejectedError(400, str(error)) from error


class JobValidator:
    """Validates job specifications."""

    def __init__(self, settings: Settings, catalogue: Callable[[], wire.Catalogue | None]) -> None:
        self._teams: dict[str, Team] = {t.name: t for t in settings.params.teams}
        self._value_bytes = int(settings.params.state.value_kb * 1024)
        self._catalogue = catalogue

    def check(self, spec: wire.JobSpec, job_id: JobId | None, overhead_bytes: int) -> None:
        """Validate a job whose record has `overhead_bytes` bytes in addition to its specification.

        Raises `JobRejectedError`, or `CatalogueUnknownError` if it can't be decided now.
        """
        if job_id is None:
            raise JobRejectedError(400, "id: malformed - at `$.id`")
        if len(wire.encode(spec)) + overhead_bytes > self._value_bytes:
            raise JobRejectedError(400, "the job's description is too long - at `$.builds`")
        team = self._teams.get(spec.team)
        if team is None:
            raise JobRejectedError(422, f"unknown team {spec.team!r} - at `$.crew`")
        catalogue = self._catalogue()
        if catalogue is None:
            raise CatalogueUnknownError("the machine types are not known yet")
        field = _unsatisfied_field(spec, catalogue)
        if field is not None:
            raise JobRejectedError(422, f"a task fits no allowed machine type - at `$.{field}`")
        _check_team_limits(spec, team)


def _check_team_limits(spec: wire.JobSpec, team: Team) -> None:
    # The tasks of an array may run one after another, so the team's limit only has to admit one of
    # them; those of a service or a gang all run at the same time.
    tasks = spec.tasks if spec.is_service or spec.is_gang else 1
    for field, need, limit in (
        ("vcpus", spec.cpus, team.cpus_max),
        ("gpus", spec.gpus, team.gpus_max),
    ):
        if limit > 0 and need * tasks > limit:
            raise JobRejectedError(
                422, f"the job needs more than the team's limit - at `$.{field}`"
            )


def _unsatisfied_field(spec: wire.JobSpec, catalogue: wire.Catalogue) -> str | None:
    """Return the first field that excludes the last machine type; None if one fits a task."""
    candidates = catalogue.types
    conditions: tuple[tuple[str, Callable[[wire.MachineType], bool]], ...] = (
        ("builds", lambda kind: spec.types is None or kind.name in spec.types),
        ("hall", lambda kind: spec.zone is None or spec.zone in kind.zones),
        ("vcpus", lambda kind: spec.cpus <= kind.cpus),
        ("gpus", lambda kind: spec.gpus <= kind.gpus),
        ("memoryGb", lambda kind: spec.memory_gb <= kind.memory_gb),
    )
    for field, holds in conditions:
        candidates = [kind for kind in candidates if holds(kind)]
        if not candidates:
            return field
    return None
