"""Graphs over HTTP: for users on `client_listen`, the leader's counts for other nodes."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

from tealrill.api.base import JsonHandler
from tealrill.api.relay import PEER_PREFIX, Relay
from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.model import MOST_PARTS
from tealrill.state.admission import Reply

GRAPHS_PATH: Final = "/v2/graphs"
COUNTS_PATH: Final = "/peer/graphs"
_MOST_LISTED: Final = 500
_SLOW_S: Final = 2.0
"""A request that takes longer than this is handed to another node as well."""
_PATIENCE_S: Final = 4.0
"""How long that node may take; users wait five seconds."""


class _GraphHandler(JsonHandler):
    def initialize(self, graphs: GraphAdmission, relay: Relay | None = None) -> None:
        self._graphs = graphs
        self._relay = relay

    async def settle(self, local: Coroutine[Any, Any, Reply]) -> None:
        """Answers from here; by way of another node if this one can't reach the records."""
        request = self.request
        if self._relay is None:
            reply = await local
        else:
            there = (request.uri or "", request.method or "", request.body or None)
            reply = await self._relay.first_conclusive(local, there, _SLOW_S, _PATIENCE_S)
        self.reply(reply.status, reply.body, reply.retry_after_s)


class GraphsHandler(_GraphHandler):
    """Graphs as a collection."""

    async def post(self) -> None:
        """Submit a graph, or begin one."""
        await self.settle(self._graphs.submit(self.request.body))


class GraphHandler(_GraphHandler):
    """One graph."""

    async def get(self, graph: str) -> None:
        """Answer with a graph's status and counts."""
        await self.settle(self._graphs.show(graph))


class PartHandler(_GraphHandler):
    """One part of an open graph."""

    async def put(self, graph: str, number: str) -> None:
        """Add a part."""
        if int(number) >= MOST_PARTS:
            self.reply(400, {"error": f"parts are numbered below {MOST_PARTS}", "field": "part"})
            return
        await self.settle(self._graphs.put_part(graph, int(number), self.request.body))


class SealHandler(_GraphHandler):
    """The end of an open graph's submission."""

    async def post(self, graph: str) -> None:
        """Seal the graph."""
        await self.settle(self._graphs.seal(graph, self.request.body))


class CancelGraphHandler(_GraphHandler):
    """A graph's cancellation."""

    async def post(self, graph: str) -> None:
        """Cancel the graph."""
        await self.settle(self._graphs.cancel_graph(graph))


class NodesHandler(_GraphHandler):
    """The nodes of a graph, page by page."""

    async def get(self, graph: str) -> None:
        """Answer with nodes in their order."""
        numbers = {}
        for name, default, highest in (("from", 0, 10**9), ("most", 100, _MOST_LISTED)):
            text = self.get_argument(name, str(default))
            if not text.isascii() or not text.isdigit() or not int(text) <= highest:
                self.reply(400, {"error": f"a number up to {highest}", "field": name})
                return
            numbers[name] = int(text)
        state = self.get_argument("state", None)
        most = max(1, numbers["most"])
        await self.settle(self._graphs.nodes(graph, state, numbers["from"], most))


class CountsHandler(JsonHandler):
    """What the leader knows of a live graph; 404 from a node that does not lead."""

    def initialize(self, counts: Callable[[str], dict[str, int] | None]) -> None:
        """Take the function that knows the counts."""
        self._counts = counts

    def get(self, graph: str) -> None:
        """Answer with the counts of a live graph."""
        counts = self._counts(graph)
        if counts is None:
            self.reply(404, {"error": "not known here"})
        else:
            self.reply(200, counts)


def _routes(prefix: str, given: dict[str, Any]) -> list[Any]:
    graphs = prefix + GRAPHS_PATH
    one = graphs + r"/([^/]+)"
    return [
        (graphs, GraphsHandler, given),
        (one, GraphHandler, given),
        (one + r"/parts/([0-9]{1,9})", PartHandler, given),
        (one + "/seal", SealHandler, given),
        (one + "/nodes", NodesHandler, given),
        (one + "/cancel", CancelGraphHandler, given),
    ]


def user_routes(graphs: GraphAdmission, relay: Relay) -> list[Any]:
    """Return the routes for users."""
    return _routes("", {"graphs": graphs, "relay": relay})


def peer_routes(
    graphs: GraphAdmission, counts: Callable[[str], dict[str, int] | None]
) -> list[Any]:
    """What other nodes hand on, and what they ask the leader."""
    return [
        (COUNTS_PATH + r"/([^/]+)", CountsHandler, {"counts": counts}),
        *_routes(PEER_PREFIX, {"graphs": graphs}),
    ]
