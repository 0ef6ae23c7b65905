"""Graphs as the wiring takes them."""

from __future__ import annotations

from tealrill import wire
from tealrill.api.relay import Relay
from tealrill.extensions import Extension, LeaderExtension, LeadershipContext
from tealrill.features import GraphFeatures
from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.api import COUNTS_PATH, peer_routes, user_routes
from tealrill.graphs.leader_extension import GraphLeaderExtension
from tealrill.http import NoAnswerError, peer_clients
from tealrill.leadership.election import Election
from tealrill.settings import Settings
from tealrill.state.admission import Admission
from tealrill.state.client import StateClient
from tealrill.types import monotonic_now

_ASK_S = 0.5


class Counts:
    """A live graph's nodes by state: from the own term, or from the node that leads."""

    def __init__(self, settings: Settings, election: Election) -> None:
        self._election = election
        self._peers = peer_clients(settings)
        self.term: GraphLeaderExtension | None = None

    def here(self, graph: str) -> dict[str, int] | None:
        """Return the counts of a graph's nodes if this member leads, else None."""
        if self.term is None or self._election.valid_leadership(monotonic_now()) is None:
            return None
        return self.term.counts(graph)

    async def anywhere(self, graph: str) -> dict[str, int] | None:
        """Return the counts from here or from the leader; None if neither answers."""
        counts = self.here(graph)
        known_leader = self._election.known_leader
        peer = self._peers.get(known_leader.host) if known_leader is not None else None
        if counts is not None or peer is None:
            return counts
        try:
            answer = await peer.request("GET", f"{COUNTS_PATH}/{graph}", timeout_s=_ASK_S)
            return wire.decode(answer.body, dict[str, int]) if answer.status == 200 else None
        except (NoAnswerError, wire.MalformedMessageError):
            return None


def graphs(
    settings: Settings,
    features: GraphFeatures,
    client: StateClient,
    admission: Admission,
    election: Election,
    relay: Relay,
) -> Extension:
    """The subsystem for one node."""
    counts = Counts(settings, election)
    asked = GraphAdmission(client, settings, features, admission, counts.anywhere)

    def term(given: LeadershipContext) -> LeaderExtension:
        counts.term = GraphLeaderExtension(given, features)
        return counts.term

    return Extension(
        name="graphs",
        user_routes=user_routes(asked, relay),
        peer_routes=peer_routes(asked, counts.here),
        implicit_jobs=asked,
        create_leader_extension=term,
    )
