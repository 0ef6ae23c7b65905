"""What the controllers ask of each other, on the cluster address."""

from __future__ import annotations

from collections.abc import Callable

from tealrill import wire
from tealrill.api.base import JsonHandler
from tealrill.leadership.lease_extension import ExtensionRequest, LeaseExtension


class LeaseExtensionHandler(JsonHandler):
    """A leader asks this node not to stand for election while the state service is down."""

    def initialize(self, extension: LeaseExtension) -> None:
        self._extension = extension

    async def post(self) -> None:
        try:
            request = wire.decode(self.request.body, ExtensionRequest)
        except wire.MalformedMessageError as error:
            self.reply(400, {"error": str(error)})
            return
        self.reply(200, await self._extension.asked(request))


class PingHandler(JsonHandler):
    """Whether this node can be reached from another, and whether it leads."""

    def initialize(self, extension: LeaseExtension) -> None:
        self._extension = extension

    def get(self) -> None:
        self.reply(200, self._extension.presence())


class CatalogueHandler(JsonHandler):
    """The machine types as this node knows them."""

    def initialize(self, known: Callable[[], wire.Catalogue | None]) -> None:
        self._known = known

    def get(self) -> None:
        known = self._known()
        if known is None:
            self.reply(503, {"error": "not known yet"}, retry_after_s=1)
        else:
            self.reply(200, known)
