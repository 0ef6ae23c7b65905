"""The currently active faults of a simulated cluster."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ActiveFaults:
    """Faults of links, processes and users; faults of a service are attributes of that service.

    Shares lie between 0 and 1. By default there are no faults.
    """

    cut_links: set[frozenset[str]] = field(default_factory=set)
    """Cut links, each as a pair of endpoint names; "workers" stands for all machines."""
    paused: set[str] = field(default_factory=set)
    """Controllers with a paused process: requests to them and responses to theirs are delayed."""
    isolated_zones: set[str] = field(default_factory=set)
    """Zones that are partitioned from everything outside."""
    zones_partitioned: bool = False
    """Whether the zones are partitioned from each other, but not from the services."""
    inbound_partitioned: set[str] = field(default_factory=set)
    """Machines that receive neither commands nor heartbeat responses."""
    outbound_partitioned: set[str] = field(default_factory=set)
    """Machines whose heartbeats don't arrive; direct commands still reach them."""
    must_stay_idle: set[str] = field(default_factory=set)
    """Machines on which no task may start now: not a fault but an expectation of the invariants."""
    duplicate_share: float = 0.0
    """Share of heartbeats of which a duplicate is delivered later."""
    replay_share: float = 0.0
    """Share of heartbeats that are replayed to all controllers at the next election."""
    close_polling: bool = False
    """Whether a user whose job's status has changed polls all controllers at once."""
    cancel_at_end_share: float = 0.0
    """Share of jobs that are cancelled at the moment of their end."""
    invalid_requests: bool = False
    """Whether users send invalid and repeated requests."""
    command_delay_s: float = 0.0
    """Maximum delay of commands and of their responses, in seconds."""
    link_delay_s: float = 0.0
    """Maximum one-way delay between two endpoints on top of the usual latency, in seconds."""
    cancel_in_flight: bool = False
    """Whether a job is cancelled while a start command of one of its tasks is delayed."""
    command_copy_share: float = 0.0
    """Share of direct commands that arrive once more after they were carried out and answered."""
    request_copy_share: float = 0.0
    """Share of a controller's other requests that change something and are carried out twice."""
    task_failure_share: float = 0.0
    """Share of the tasks that fail soon after they have begun to run."""
