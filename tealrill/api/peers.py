"""Requests between controllers, served on the cluster address."""

from __future__ import annotations

from collections.abc import Callable

from tealrill import wire
from tealrill.api.base import JsonHandler
from tealrill.leadership.lease_extension import ExtensionRequest, LeaseExtension


class LeaseExtensionHandler(JsonHandler):
    """POST: a leader's request for a lease extension while the state service is unreachable.

    A controller that grants it does not campaign until the grant expires.
    """

    def initialize(self, extension: LeaseExtension) -> None:
        """Set the lease extension that decides on requests."""
        self._extension = extension

    async def post(self) -> None:
        """Answer a leader's extension request; 400 if it is malformed."""
        try:
            request = wire.decode(self.request.body, ExtensionRequest)
        except wire.MalformedMessageError as error:
            self.reply(400, {"error": str(error)})
            return
        self.reply(200, await self._extension.handle_request(request))


class PingHandler(JsonHandler):
    """GET: reachability check, which also tells whether this controller leads."""

    def initialize(self, extension: LeaseExtension) -> None:
        """Set the lease extension that provides the presence."""
        self._extension = extension

    def get(self) -> None:
        """Answer with this controller's presence."""
        self.reply(200, self._extension.presence())


class CatalogueHandler(JsonHandler):
    """GET: the machine types that this controller knows."""

    def initialize(self, known: Callable[[], wire.Catalogue | None]) -> None:
        """Set the function that returns the catalogue, or None while it is unknown."""
        self._known = known

    def get(self) -> None:
        """Answer with the catalogue; 503 while it is unknown."""
        known = self._known()
        if known is None:
            self.reply(503, {"error": "not known yet"}, retry_after_s=1)
        else:
            self.reply(200, known)
