"""The HTTP front end before the handlers: heartbeats, large bodies, idle connections.

Nine of ten requests are heartbeats, several hundred a second on a share of a core. Routed through
tornado's application, each would cost several times what its content does; so they are answered
here, from tornado's own connection. Everything else goes on to the application.

Bodies are held in memory until they are complete. Many large ones side by side, up to the number of
sockets, would take more memory than the machine has, so what all of them hold is bounded: past that
a request is read to its end, dropped piece by piece, and answered 503.
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
from tealrill.http import send_at_once
from tealrill.types import MachineId, Monotonic, monotonic_now, parse_machine_id

log = logging.getLogger(__name__)

HeartbeatReply = tuple[int, dict[str, Any]]
HeartbeatHandler = Callable[[wire.Heartbeat, MachineId], HeartbeatReply]

_IDLE_S: Final = 600.0
"""A connection on which no request begins for so long is closed: a machine that lost its power
never closes its own."""
_MAX_RECEIVED: Final = 1024 * 1024
"""Larger bodies than the protocol allows are read up to here, so that they get a JSON answer."""
_YIELD_EVERY: Final = 8
"""Requests of one connection after which it yields to others in any case."""
_MAX_CACHED_HEAD: Final = 256
_MAX_CACHED_HEADS: Final = 1024
"""The largest header block, in bytes, that is cached once parsed, and their number."""
_READ_CHUNK: Final = 16 * 1024
"""The maximum number of bytes that a connection reads from the network at once."""


class BodyMemory:
    """The bytes of request bodies that are held, up to a bound."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Account for `size` more bytes; False if that would exceed the bound."""
        if self._held_bytes + size > self._limit:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self._held_bytes -= size


def answer(
    connection: httputil.HTTPConnection, status: int, body: Any, retry_after_s: int | None = None
) -> None:
    """Write a whole JSON response."""
    content = wire.encode(body)
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(content))}
    )
    if retry_after_s is not None:
        headers["Retry-After"] = str(retry_after_s)
    line = httputil.ResponseStartLine("", status, http.HTTPStatus(status).phrase)
    connection.write_headers(line, headers, content)
    connection.finish()


class HttpFrontend(httputil.HTTPServerConnectionDelegate):
    """The delegate of a server: `handle_heartbeat` answers workers, `application` the rest."""

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
        """Apart, so that a flood of users' bodies keeps no worker from its lease."""
        self._requests: dict[Any, _Request] = {}
        """Per connection its last request, or the one that has not begun."""

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Create the collector of a connection's next request."""
        # Called when the one before is answered: until then its handler holds its body.
        self.on_close(server_conn)
        request = self._requests[server_conn] = _Request(self, server_conn, request_conn)
        return request

    def on_close(self, server_conn: object) -> None:
        """Release what the last request of a closed connection holds."""
        request = self._requests.pop(server_conn, None)
        if request is not None:
            request.release()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._requests)

    async def close_idle(self, now: Monotonic) -> None:
        """Close connections idle for too long; tornado's own timeout sets a timer per request."""
        for connection, request in list(self._requests.items()):
            if not request.has_begun and now - request.since > _IDLE_S:
                await connection.close()


class Server(httpserver.HTTPServer):
    """The HTTP server; tornado's own does not tell its delegate that a connection closed."""

    def __init__(self, front: HttpFrontend) -> None:
        super().__init__(front, max_body_size=_MAX_RECEIVED, chunk_size=_READ_CHUNK)
        self._front = front
        self.conn_params.header_timeout = None

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve an accepted connection."""
        send_at_once(stream)
        context = _HTTPRequestContext(stream, address, self.protocol, self.trusted_downstream)
        connection = _Connection(stream, self.conn_params, context)
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn: object) -> None:
        """Forward the end of a connection to the front end."""
        super().on_close(server_conn)
        self._front.on_close(server_conn)


class _Connection(HTTP1ServerConnection):
    """tornado's connection, which goes on without a turn of the loop where nothing waits for it.

    tornado yields after every request, so that a peer that sends many in one go does not keep
    others from theirs. A worker sends the next one 2.5 s later: then the turn, with its look at all
    sockets, is for nothing, and turns were half of all those of a large fleet's leader.
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
                    log.exception("a request failed")
                    message.close()
                    return
                served += 1
                # tornado has no public name for the bytes it has read ahead.
                read_ahead = self.stream._read_buffer_size  # noqa: SLF001
                if read_ahead or served % _YIELD_EVERY == 0:
                    # The next request is buffered, or may be at the socket: others go first.
                    await asyncio.sleep(0)
        finally:
            delegate.on_close(self)


_Head = tuple[str, httputil.HTTPHeaders]


class _Message(HTTP1Connection):
    """A message whose header block is parsed once: workers send the same again and again."""

    _heads: ClassVar[dict[bytes, _Head]] = {}

    def _parse_headers(self, data: bytes) -> _Head:
        head = self._heads.get(data)
        if head is None:
            head = super()._parse_headers(data)
            # What comes from workers says little; others' heads are long, and hardly ever again.
            if len(data) <= _MAX_CACHED_HEAD and "," not in head[1].get("Content-Length", ""):
                if len(self._heads) >= _MAX_CACHED_HEADS:
                    self._heads.clear()
                self._heads[data] = head
        return head


class _Rejection(NamedTuple):
    """The answer to a request whose body is dropped."""

    status: int
    error: str
    retry_after_s: int | None = None


class _Request(httputil.HTTPMessageDelegate):
    """One request: its body is collected, then answered or forwarded in one piece."""

    def __init__(
        self, front: HttpFrontend, server_conn: object, connection: httputil.HTTPConnection
    ) -> None:
        self.since = monotonic_now()
        self.has_begun = False
        self._front = front
        self._server_conn = server_conn
        self._connection = connection
        self._delegate: httputil.HTTPMessageDelegate | None = None
        """What answers it; None for a heartbeat."""
        self._held = front.heartbeat_bodies
        self._chunks: list[bytes] = []
        self._size = 0
        self._rejection: _Rejection | None = None
        """Why the body is being dropped."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self.has_begun = True
        assert isinstance(start_line, httputil.RequestStartLine)
        if (
            self._front.handle_heartbeat is not None
            and start_line.path == wire.HEARTBEAT_PATH
            and start_line.method == "POST"
        ):
            return None
        self._held = self._front.other_bodies
        self._delegate = self._front.application.start_request(self._server_conn, self._connection)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._rejection is not None:
            return None
        if self._delegate is None and self._size + len(chunk) > wire.MAX_BODY:
            self._rejection = _Rejection(400, "the body is larger than 64 KiB")
        elif not self._held.reserve(len(chunk)):
            # Whether the job was accepted before can't be told without its id: no 400.
            self._rejection = _Rejection(503, "too much at once", retry_after_s=1)
        else:
            self._size += len(chunk)
            self._chunks.append(chunk)
            return None
        self.release()
        return None

    def release(self) -> None:
        self._held.release(self._size)
        self._size = 0
        self._chunks.clear()

    def finish(self) -> None:
        body = b"".join(self._chunks)
        self._chunks.clear()
        if self._rejection is not None:
            status, error, retry_after_s = self._rejection
            answer(self._connection, status, {"error": error}, retry_after_s)
        elif self._delegate is None:
            answer(self._connection, *self._handle_heartbeat(body))
        else:
            if body:
                self._delegate.data_received(body)
            self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def _handle_heartbeat(self, body: bytes) -> HeartbeatReply:
        handle_heartbeat = self._front.handle_heartbeat
        assert handle_heartbeat is not None
        try:
            heartbeat = wire.decode(body, wire.Heartbeat)
        except wire.MalformedMessageError as error:
            return 400, {"error": str(error)}
        machine_id = parse_machine_id(heartbeat.machine)
        if machine_id is None:
            return 400, {"error": "malformed machine id - at `$.kiln`"}
        return handle_heartbeat(heartbeat, machine_id)
