"""The extension for task graphs: creates its parts for one controller."""

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

_COUNTS_TIMEOUT_S = 0.5


class GraphCounts:
    """Number of an accepted graph's nodes by state, from this member's term or from the leader."""

    def __init__(self, settings: Settings, election: Election) -> None:
        self._election = election
        self._peers = peer_clients(settings)
        self.term: GraphLeaderExtension | None = None

    def local_counts(self, graph: str) -> dict[str, int] | None:
        """Return the counts if this member leads and has loaded the graph, else None."""
        if self.term is None or self._election.valid_leadership(monotonic_now()) is None:
            return None
        return self.term.counts(graph)

    async def fetch_counts(self, graph: str) -> dict[str, int] | None:
        """Return the counts from this member or from the leader; None if neither has them."""
        counts = self.local_counts(graph)
        known_leader = self._election.known_leader
        peer = self._peers.get(known_leader.host) if known_leader is not None else None
        if counts is not None or peer is None:
            return counts
        try:
            answer = await peer.request(
                "GET", f"{COUNTS_PATH}/{graph}", timeout_s=_COUNTS_TIMEOUT_S
            )
            return wire.decode(answer.body, dict[str, int]) if answer.status == 200 else None
        except (NoAnswerError, wire.MalformedMessageError):
            return None


def create_graphs_extension(
    settings: Settings,
    features: GraphFeatures,
    client: StateClient,
    admission: Admission,
    election: Election,
    relay: Relay,
) -> Extension:
    """Create the extension for one controller."""
    counts = GraphCounts(settings, election)
    graph_admission = GraphAdmission(client, settings, features, admission, counts.fetch_counts)

    def create_leader_extension(context: LeadershipContext) -> LeaderExtension:
        counts.term = GraphLeaderExtension(context, features)
        return counts.term

    return Extension(
        name="graphs",
        user_routes=user_routes(graph_admission, relay),
        peer_routes=peer_routes(graph_admission, counts.local_counts),
        implicit_jobs=graph_admission,
        create_leader_extension=create_leader_extension,
    )
