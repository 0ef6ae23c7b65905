"""Base classes of the request handlers, whose responses and errors are JSON."""

from __future__ import annotations

from typing import Any

from tornado import web

from tealrill import wire


class JsonHandler(web.RequestHandler):
    """A handler whose responses, including errors, are JSON."""

    def set_default_headers(self) -> None:
        """Declare JSON content and hide the server's version."""
        self.set_header("Content-Type", "application/json")
        self.clear_header("Server")

    def reply(self, status: int, body: Any, retry_after_s: int | None = None) -> None:
        """Finish the response with `body` encoded as JSON."""
        self.set_status(status)
        if retry_after_s is not None:
            self.set_header("Retry-After", str(retry_after_s))
        self.finish(wire.encode(body))

    def write_error(self, status_code: int, **_: Any) -> None:
        """Finish the response to a failed request with the status's reason phrase."""
        self.finish(wire.encode({"error": self._reason}))

    def compute_etag(self) -> str | None:
        """Return None: responses carry no entity tag."""
        return None


class NotFound(JsonHandler):
    """Handler of all unknown paths."""

    def prepare(self) -> None:
        """Answer 404, whatever the method."""
        self.reply(404, {"error": "no such path"})


def no_access_log(_: web.RequestHandler) -> None:
    """Log nothing: thousands of heartbeats a minute would bury the other log lines."""
