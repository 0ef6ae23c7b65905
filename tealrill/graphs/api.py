"""Graphs over HTTP: for users on `client_listen`, the leader's counts for other nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from tealrill.api.base import JsonHandler
from tealrill.graphs.intake import GraphIntake
from tealrill.graphs.model import MOST_PARTS
from tealrill.state.intake import Reply

GRAPHS_PATH: Final = "/v2/graphs"
COUNTS_PATH: Final = "/peer/graphs"
_MOST_LISTED: Final = 500


class _GraphHandler(JsonHandler):
    def initialize(self, graphs: GraphIntake) -> None:
        self._graphs = graphs

    def answer(self, reply: Reply) -> None:
        self.reply(reply.status, reply.body, reply.retry_after_s)


class GraphsHandler(_GraphHandler):
    async def post(self) -> None:
        self.answer(await self._graphs.submit(self.request.body))


class GraphHandler(_GraphHandler):
    async def get(self, graph: str) -> None:
        self.answer(await self._graphs.show(graph))


class PartHandler(_GraphHandler):
    async def put(self, graph: str, number: str) -> None:
        if int(number) >= MOST_PARTS:
            self.reply(400, {"error": f"parts are numbered below {MOST_PARTS}", "field": "part"})
            return
        self.answer(await self._graphs.put_part(graph, int(number), self.request.body))


class SealHandler(_GraphHandler):
    async def post(self, graph: str) -> None:
        self.answer(await self._graphs.seal(graph, self.request.body))


class CancelGraphHandler(_GraphHandler):
    async def post(self, graph: str) -> None:
        self.answer(await self._graphs.cancel_graph(graph))


class NodesHandler(_GraphHandler):
    async def get(self, graph: str) -> None:
        numbers = {}
        for name, default, highest in (("from", 0, 10**9), ("most", 100, _MOST_LISTED)):
            text = self.get_argument(name, str(default))
            if not text.isascii() or not text.isdigit() or not int(text) <= highest:
                self.reply(400, {"error": f"a number up to {highest}", "field": name})
                return
            numbers[name] = int(text)
        state = self.get_argument("state", None)
        self.answer(
            await self._graphs.nodes(graph, state, numbers["from"], max(1, numbers["most"]))
        )


class CountsHandler(JsonHandler):
    """What the leader knows of a live graph; 404 from a node that does not lead."""

    def initialize(self, counts: Callable[[str], dict[str, int] | None]) -> None:
        self._counts = counts

    def get(self, graph: str) -> None:
        counts = self._counts(graph)
        if counts is None:
            self.reply(404, {"error": "not known here"})
        else:
            self.reply(200, counts)


def user_routes(graphs: GraphIntake) -> list[Any]:
    given = {"graphs": graphs}
    one = GRAPHS_PATH + r"/([^/]+)"
    return [
        (GRAPHS_PATH, GraphsHandler, given),
        (one, GraphHandler, given),
        (one + r"/parts/([0-9]{1,9})", PartHandler, given),
        (one + "/seal", SealHandler, given),
        (one + "/nodes", NodesHandler, given),
        (one + "/cancel", CancelGraphHandler, given),
    ]


def peer_routes(counts: Callable[[str], dict[str, int] | None]) -> list[Any]:
    return [(COUNTS_PATH + r"/([^/]+)", CountsHandler, {"counts": counts})]
