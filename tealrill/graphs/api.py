"""HTTP handlers for graphs: users' requests, and the leader's node counts for other members."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

from tealrill.api.base import JsonHandler
from tealrill.api.relay import PEER_PREFIX, Relay
from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.model import MAX_PARTS
from tealrill.state.admission import Reply

GRAPHS_PATH: Final = "/v2/graphs"
COUNTS_PATH: Final = "/peer/graphs"
_MAX_LISTED: Final = 500
_RELAY_AFTER_S: Final = 2.0
"""A request that takes longer than this is relayed to another member as well."""
_RELAY_TIMEOUT_S: Final = 4.0
"""Timeout of the relayed request; users wait five seconds."""


class _GraphHandler(JsonHandler):
    def initialize(self, graphs: GraphAdmission, relay: Relay | None = None) -> None:
        self._graphs = graphs
        self._relay = relay

    async def send_reply(self, local: Coroutine[Any, Any, Reply]) -> None:
        """Send the reply of this member, or another member's if this one can't read the records."""
        request = self.request
        if self._relay is None:
            reply = await local
        else:
            relayed_request = (request.uri or "", request.method or "", request.body or None)
            reply = await self._relay.first_conclusive(
                local, relayed_request, _RELAY_AFTER_S, _RELAY_TIMEOUT_S
            )
        self.reply(reply.status, reply.body, reply.retry_after_s)


class GraphsHandler(_GraphHandler):
    """The collection of graphs."""

    async def post(self) -> None:
        """Submit a graph, or open one that is submitted in parts."""
        await self.send_reply(self._graphs.submit(self.request.body))


class GraphHandler(_GraphHandler):
    """One graph."""

    async def get(self, graph: str) -> None:
        """Send a graph's status and counts."""
        await self.send_reply(self._graphs.show(graph))


class PartHandler(_GraphHandler):
    """One part of an open graph."""

    async def put(self, graph: str, number: str) -> None:
        """Add a part."""
        if int(number) >= MAX_PARTS:
            self.reply(400, {"error": f"parts are numbered below {MAX_PARTS}", "field": "part"})
            return
        await self.send_reply(self._graphs.put_part(graph, int(number), self.request.body))


class SealHandler(_GraphHandler):
    """The seal of an open graph."""

    async def post(self, graph: str) -> None:
        """Accept the graph if all its parts are stored."""
        await self.send_reply(self._graphs.seal(graph, self.request.body))


class CancelGraphHandler(_GraphHandler):
    """The cancellation of a graph."""

    async def post(self, graph: str) -> None:
        """Cancel the graph."""
        await self.send_reply(self._graphs.cancel_graph(graph))


class NodesHandler(_GraphHandler):
    """The nodes of a graph, page by page."""

    async def get(self, graph: str) -> None:
        """Send nodes in their order."""
        numbers = {}
        for name, default, highest in (("from", 0, 10**9), ("most", 100, _MAX_LISTED)):
            text = self.get_argument(name, str(default))
            if not text.isascii() or not text.isdigit() or not int(text) <= highest:
                self.reply(400, {"error": f"a number up to {highest}", "field": name})
                return
            numbers[name] = int(text)
        state = self.get_argument("state", None)
        most = max(1, numbers["most"])
        await self.send_reply(self._graphs.nodes(graph, state, numbers["from"], most))


class CountsHandler(JsonHandler):
    """The number of an accepted graph's nodes by state; 404 from a member that does not lead."""

    def initialize(self, counts: Callable[[str], dict[str, int] | None]) -> None:
        """Store the function that returns the counts."""
        self._counts = counts

    def get(self, graph: str) -> None:
        """Send the counts of an accepted graph."""
        counts = self._counts(graph)
        if counts is None:
            self.reply(404, {"error": "not known here"})
        else:
            self.reply(200, counts)


def _routes(prefix: str, handler_arguments: dict[str, Any]) -> list[Any]:
    graphs = prefix + GRAPHS_PATH
    graph_path = graphs + r"/([^/]+)"
    return [
        (graphs, GraphsHandler, handler_arguments),
        (graph_path, GraphHandler, handler_arguments),
        (graph_path + r"/parts/([0-9]{1,9})", PartHandler, handler_arguments),
        (graph_path + "/seal", SealHandler, handler_arguments),
        (graph_path + "/nodes", NodesHandler, handler_arguments),
        (graph_path + "/cancel", CancelGraphHandler, handler_arguments),
    ]


def user_routes(graphs: GraphAdmission, relay: Relay) -> list[Any]:
    """Return the routes for users."""
    return _routes("", {"graphs": graphs, "relay": relay})


def peer_routes(
    graphs: GraphAdmission, counts: Callable[[str], dict[str, int] | None]
) -> list[Any]:
    """Return the routes for requests that other members relay, and for the leader's counts."""
    return [
        (COUNTS_PATH + r"/([^/]+)", CountsHandler, {"counts": counts}),
        *_routes(PEER_PREFIX, {"graphs": graphs}),
    ]
