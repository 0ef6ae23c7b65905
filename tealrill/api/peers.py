"""What the controllers ask of each other, on the cluster address."""

from __future__ import annotations

from tealrill import wire
from tealrill.api.base import JsonHandler
from tealrill.state.truce import Request, Truce


class TruceHandler(JsonHandler):
    """A leader asks this node not to stand for election while the state service is down."""

    def initialize(self, truce: Truce) -> None:
        self._truce = truce

    async def post(self) -> None:
        try:
            request = wire.decode(self.request.body, Request)
        except wire.Malformed as error:
            self.reply(400, {"error": str(error)})
            return
        self.reply(200, await self._truce.asked(request))


class PingHandler(JsonHandler):
    """Whether this node can be reached from another, and whether it leads."""

    def initialize(self, truce: Truce) -> None:
        self._truce = truce

    def get(self) -> None:
        self.reply(200, self._truce.presence())
