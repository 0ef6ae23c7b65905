"""The faults that are active in a simulated cluster at present."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ActiveFaults:
    """Faults of links, processes and users; those of a service are in the service itself.

    Shares lie between 0 and 1. By default there are no faults.
    """

    cut_links: set[frozenset[str]] = field(default_factory=set)
    """Links that lose everything, each as its two ends; "workers" stands for all machines."""
    paused: set[str] = field(default_factory=set)
    """Controllers whose processes are paused: requests to them and answers to theirs wait."""
    isolated_zones: set[str] = field(default_factory=set)
    """Zones that are partitioned from everything outside."""
    zones_partitioned: bool = False
    """Whether the zones are partitioned from each other, but not from the services."""
    inbound_partitioned: set[str] = field(default_factory=set)
    """Machines that receive nothing from controllers."""
    outbound_partitioned: set[str] = field(default_factory=set)
    """Machines that can't open connections to controllers."""
    must_stay_idle: set[str] = field(default_factory=set)
    """Machines that must not be given work now: an expectation, checked by the invariants."""
    duplicate_share: float = 0.0
    """Share of heartbeats of which a duplicate is delivered later."""
    replay_share: float = 0.0
    """Share of heartbeats that are replayed to all controllers at the next election."""
    close_polling: bool = False
    """Whether users poll all controllers at once when an answer has changed."""
    cancel_at_end_share: float = 0.0
    """Share of jobs that are cancelled at the moment of their end."""
    invalid_requests: bool = False
    """Whether users send invalid and repeated requests."""
    command_delay_s: float = 0.0
    """The longest delay of commands, and of their answers."""
    link_delay_s: float = 0.0
    """The longest delay of each way between two endpoints, beside the usual latency."""
    cancel_in_flight: bool = False
    """Whether jobs are cancelled while the start of one of their tasks is delayed."""
