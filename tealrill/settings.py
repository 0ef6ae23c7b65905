"""The settings file and its validation; unknown fields are ignored."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import orjson
from msgspec import Meta

from tealrill.errors import TealrillError

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]


class SettingsError(TealrillError):
    """Invalid settings; the error message names the field."""


class Address(NamedTuple):
    """A host and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `host:port`; raise `SettingsError` if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is not host:port")
    return Address(host, int(port))


class Member(msgspec.Struct, frozen=True):
    """Another controller of the cluster."""

    host_name: str
    zone: str
    peer_addr: str


class Services(msgspec.Struct, frozen=True):
    """Addresses (`host:port`) of the services that the cluster depends on."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota and its limit; 0 means no quota or no limit."""

    name: str
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective for a class of jobs."""

    kind: str
    job_class: str | None = None
    share: float | None = None
    times: float | None = None
    within_s: float | None = None


class Workers(msgspec.Struct, frozen=True, rename={"heartbeat_interval_s": "report_s"}):
    """Timing of the workers, in seconds."""

    heartbeat_interval_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and writes per second, value size, operations."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=3)]


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud API: requests per second and the delay of its machine lists."""

    rps: Positive
    list_lag_s: NotNegative


class Quota(msgspec.Struct, frozen=True):
    """Resources that this process may use."""

    cpu_share: float = 1.0
    ram_mb: float = 1024.0
    fd_limit: int = 1024


class Params(msgspec.Struct, frozen=True):
    """Parameters of the platform that all controllers share."""

    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    objectives: list[Objective] = []
    quota: Quota = Quota()
    clock_off_ms: NotNegative = 0.0


class Settings(msgspec.Struct, frozen=True):
    """The settings of one controller."""

    host_name: str
    zone: str
    client_listen: str
    cluster_listen: str
    members: list[Member]
    services: Services
    params: Params

    @property
    def nodes(self) -> int:
        """Number of controllers, including this one."""
        return len(self.members) + 1


def _check_addresses(settings: Settings) -> None:
    addresses = {
        "client_listen": settings.client_listen,
        "cluster_listen": settings.cluster_listen,
        "services.cloud": settings.services.cloud,
        "services.state": settings.services.state,
    }
    for member in settings.members:
        addresses[f"members[{member.host_name}].peer_addr"] = member.peer_addr
    for field, text in addresses.items():
        try:
            parse_address(text)
        except SettingsError as error:
            raise SettingsError(f"{field}: {error}") from error


def parse(body: bytes) -> Settings:
    """Parse settings from JSON; raise `SettingsError` with a one-line message naming the field."""
    try:
        settings = msgspec.convert(orjson.loads(body), Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"not JSON: {error}") from error
    _check_addresses(settings)
    return settings


def load(path: Path) -> Settings:
    """Read and validate a settings file; raise `SettingsError` if it is invalid."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse(body)
