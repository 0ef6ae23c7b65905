"""HTTP front end: heartbeats, limits on buffered request bodies, idle connections.

Nine of ten requests are heartbeats, several hundred a second on a share of a core. Routing one
through tornado's application would cost several times as much as processing its content, so the
front end answers heartbeats itself. All other requests are passed to the application.

A body is buffered in memory until it is complete. Concurrent large bodies, as many as there are
sockets, could exceed the machine's memory, so their total size is limited. Beyond the limit a body
is read and discarded, and the request is answered 503.
"""

from __future__ import annotations

import asyncio
import http
import logging
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Final, NamedTuple

from tornado import httpserver, httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import _HTTPRequestContext

from tealrill import wire
from tealrill.http import disable_nagle
from tealrill.types import MachineId, Monotonic, monotonic_now, parse_machine_id

log = logging.getLogger(__name__)

HeartbeatReply = tuple[int, dict[str, Any]]
HeartbeatHandler = Callable[[wire.Heartbeat, MachineId], HeartbeatReply]

_IDLE_TIMEOUT_S: Final = 600.0
"""Idle time after which a connection is closed; a machine that loses power leaves its connections
open."""
_MAX_RECEIVED_BYTES: Final = 1024 * 1024
"""Size in bytes up to which a body above the protocol's limit is read to be answered in JSON."""
_REQUESTS_PER_YIELD: Final = 8
"""Number of a connection's requests after which it always yields to other connections."""
_MAX_CACHED_HEADER_BYTES: Final = 256
_MAX_CACHED_HEADERS: Final = 1024
"""Largest header block in bytes whose parsed form is cached, and the number of cached ones."""
_READ_CHUNK_BYTES: Final = 16 * 1024
"""Largest number of bytes that a connection reads at once."""


class BodyMemory:
    """Accounting of the memory that buffered request bodies use, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, reserving nothing, if that would exceed the limit."""
        if self._held_bytes + size > self._limit:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self._held_bytes -= size


def write_response(
    connection: httputil.HTTPConnection, status: int, body: Any, retry_after_s: int | None = None
) -> None:
    """Write a complete JSON response."""
    content = wire.encode(body)
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(content))}
    )
    if retry_after_s is not None:
        headers["Retry-After"] = str(retry_after_s)
    status_line = httputil.ResponseStartLine("", status, http.HTTPStatus(status).phrase)
    connection.write_headers(status_line, headers, content)
    connection.finish()


class HttpFrontend(httputil.HTTPServerConnectionDelegate):
    """Delegate of a server: `handle_heartbeat` processes heartbeats, `application` the rest."""

    def __init__(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        max_held_bytes: int,
        handle_heartbeat: HeartbeatHandler | None = None,
    ) -> None:
        self.application = application
        self.handle_heartbeat = handle_heartbeat
        self.heartbeat_bodies = BodyMemory(max_held_bytes)
        self.other_bodies = BodyMemory(max_held_bytes)
        """Limited separately, so that users' large bodies don't prevent lease renewals."""
        self._requests: dict[Any, _Request] = {}
        """The latest request of each connection, which may not have begun to arrive."""

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Create the delegate of a connection's next request."""
        # The previous request has been answered, so its handler no longer uses its body.
        self.on_close(server_conn)
        request = self._requests[server_conn] = _Request(self, server_conn, request_conn)
        return request

    def on_close(self, server_conn: object) -> None:
        """Release the memory reserved by a connection's last request."""
        request = self._requests.pop(server_conn, None)
        if request is not None:
            request.release()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._requests)

    async def close_idle(self, now: Monotonic) -> None:
        """Close connections that have been idle for too long.

        tornado's idle timeout would need a timer per request.
        """
        for connection, request in list(self._requests.items()):
            if not request.has_begun and now - request.created_at > _IDLE_TIMEOUT_S:
                await connection.close()


class Server(httpserver.HTTPServer):
    """HTTP server that notifies its delegate of closed connections, unlike tornado's."""

    def __init__(self, frontend: HttpFrontend) -> None:
        super().__init__(frontend, max_body_size=_MAX_RECEIVED_BYTES, chunk_size=_READ_CHUNK_BYTES)
        self._frontend = frontend
        self.conn_params.header_timeout = None

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve an accepted connection."""
        disable_nagle(stream)
        context = _HTTPRequestContext(stream, address, self.protocol, self.trusted_downstream)
        connection = _Connection(stream, self.conn_params, context)
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn: object) -> None:
        """Forward the end of a connection to the front end."""
        super().on_close(server_conn)
        self._frontend.on_close(server_conn)


class _Connection(HTTP1ServerConnection):
    """tornado's server connection, without its yield to the event loop after every request.

    tornado yields so that a peer that pipelines requests does not starve other connections. A
    worker sends its next heartbeat 2.5 s later, so that yield only costs an iteration of the event
    loop, which polls all sockets: on the leader of a large fleet, half of all iterations. This
    connection yields only if more data has been received, and after every few requests.
    """

    async def _server_request_loop(self, delegate: httputil.HTTPServerConnectionDelegate) -> None:
        served = 0
        try:
            while True:
                message = _Message(self.stream, False, self.params, self.context)
                try:
                    if not await message.read_response(delegate.start_request(self, message)):
                        return
                except (
                    iostream.StreamClosedError,
                    iostream.UnsatisfiableReadError,
                    asyncio.CancelledError,
                ):
                    return
                except Exception:
                    log.exception("unhandled error in a request")
                    message.close()
                    return
                served += 1
                # tornado has no public attribute for the number of bytes it has read ahead.
                read_ahead = self.stream._read_buffer_size  # noqa: SLF001
                if read_ahead or served % _REQUESTS_PER_YIELD == 0:
                    # Another request is buffered or may be waiting in the socket.
                    await asyncio.sleep(0)
        finally:
            delegate.on_close(self)


_ParsedHeaders = tuple[str, httputil.HTTPHeaders]


class _Message(HTTP1Connection):
    """A message whose parsed header block is cached, since workers repeat theirs."""

    _parsed_headers: ClassVar[dict[bytes, _ParsedHeaders]] = {}

    def _parse_headers(self, data: bytes) -> _ParsedHeaders:
        parsed = self._parsed_headers.get(data)
        if parsed is None:
            parsed = super()._parse_headers(data)
            # Workers' header blocks are short; longer ones of other clients rarely recur.
            if len(data) <= _MAX_CACHED_HEADER_BYTES and "," not in parsed[1].get(
                "Content-Length", ""
            ):
                if len(self._parsed_headers) >= _MAX_CACHED_HEADERS:
                    self._parsed_headers.clear()
                self._parsed_headers[data] = parsed
        return parsed


class _Rejection(NamedTuple):
    """The response to a request whose body is discarded."""

    status: int
    error: str
    retry_after_s: int | None = None


class _Request(httputil.HTTPMessageDelegate):
    """A request whose body is buffered, then answered here or passed to the application."""

    def __init__(
        self, frontend: HttpFrontend, server_conn: object, connection: httputil.HTTPConnection
    ) -> None:
        self.created_at = monotonic_now()
        self.has_begun = False
        self._frontend = frontend
        self._server_conn = server_conn
        self._connection = connection
        self._delegate: httputil.HTTPMessageDelegate | None = None
        """The application's delegate; None for a heartbeat."""
        self._body_memory = frontend.heartbeat_bodies
        self._chunks: list[bytes] = []
        self._size = 0
        self._rejection: _Rejection | None = None
        """Set once the body is being discarded."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self.has_begun = True
        assert isinstance(start_line, httputil.RequestStartLine)
        if (
            self._frontend.handle_heartbeat is not None
            and start_line.path == wire.HEARTBEAT_PATH
            and start_line.method == "POST"
        ):
            return None
        self._body_memory = self._frontend.other_bodies
        self._delegate = self._frontend.application.start_request(
            self._server_conn, self._connection
        )
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._rejection is not None:
            return None
        if self._delegate is None and self._size + len(chunk) > wire.MAX_BODY:
            self._rejection = _Rejection(400, "the body is larger than 64 KiB")
        elif not self._body_memory.reserve(len(chunk)):
            # Not 400: without its id, a new job can't be told from one that is already accepted.
            self._rejection = _Rejection(503, "too much at once", retry_after_s=1)
        else:
            self._size += len(chunk)
            self._chunks.append(chunk)
            return None
        self.release()
        return None

    def release(self) -> None:
        self._body_memory.release(self._size)
        self._size = 0
        self._chunks.clear()

    def finish(self) -> None:
        body = b"".join(self._chunks)
        self._chunks.clear()
        if self._rejection is not None:
            status, error, retry_after_s = self._rejection
            write_response(self._connection, status, {"error": error}, retry_after_s)
        elif self._delegate is None:
            write_response(self._connection, *self._handle_heartbeat(body))
        else:
            if body:
                self._delegate.data_received(body)
            self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def _handle_heartbeat(self, body: bytes) -> HeartbeatReply:
        handle_heartbeat = self._frontend.handle_heartbeat
        assert handle_heartbeat is not None
        try:
            heartbeat = wire.decode(body, wire.Heartbeat)
        except wire.MalformedMessageError as error:
            return 400, {"error": str(error)}
        machine_id = parse_machine_id(heartbeat.machine)
        if machine_id is None:
            return 400, {"error": "malformed machine id - at `$.kiln`"}
        return handle_heartbeat(heartbeat, machine_id)
