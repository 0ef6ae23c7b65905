"""What stands before the handlers: workers' reports, large bodies, idle connections.

Nine of ten requests are reports, several hundred a second on a share of a core. Routed through
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
from typing import Any, ClassVar, Final

from tornado import httpserver, httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import _HTTPRequestContext

from tealrill import wire
from tealrill.http import send_at_once
from tealrill.types import MachineId, Monotonic, monotonic_now, parse_machine_id

log = logging.getLogger(__name__)

HeartbeatHandler = tuple[int, dict[str, Any]]
TakeReport = Callable[[wire.Heartbeat, MachineId], HeartbeatHandler]

_IDLE_S: Final = 600.0
"""A connection on which no request begins for so long is closed: a machine that lost its power
never closes its own."""
_MAX_RECEIVED: Final = 1024 * 1024
"""Larger bodies than the protocol allows are read up to here, so that they get a JSON answer."""
_TURN_EVERY: Final = 8
"""Requests of one connection after which others have a turn in any case."""
_MOST_HEAD: Final = 256
_MOST_HEADS: Final = 1024
"""Bytes of a request's head that is kept taken apart, and how many of them."""
_PIECE: Final = 16 * 1024
"""Most that a connection's own buffer takes from the network at once."""


class BodyMemory:
    """Bytes of bodies that are held at this moment, out of a bound."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._now = 0

    def take(self, size: int) -> bool:
        if self._now + size > self._most:
            return False
        self._now += size
        return True

    def give_back(self, size: int) -> None:
        self._now -= size


def answer(
    connection: httputil.HTTPConnection, status: int, body: Any, retry_after_s: int | None = None
) -> None:
    """Writes a whole JSON response."""
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
    """Takes every request of a server; `handle_heartbeat` answers workers, `application` the
    rest.
    """

    def __init__(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        most_held: int,
        handle_heartbeat: TakeReport | None = None,
    ) -> None:
        self.application = application
        self.handle_heartbeat = handle_heartbeat
        self.reports = BodyMemory(most_held)
        self.others = BodyMemory(most_held)
        """Apart, so that a flood of users' bodies keeps no worker from its lease."""
        self._requests: dict[Any, _Request] = {}
        """Per connection its last request, or the one that has not begun."""

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        # Called when the one before is answered: until then its handler holds its body.
        self.on_close(server_conn)
        request = self._requests[server_conn] = _Request(self, server_conn, request_conn)
        return request

    def on_close(self, server_conn: object) -> None:
        request = self._requests.pop(server_conn, None)
        if request is not None:
            request.give_back()

    @property
    def connections(self) -> int:
        return len(self._requests)

    async def close_idle(self, now: Monotonic) -> None:
        """tornado's own time-out would set a timer for every request."""
        for connection, request in list(self._requests.items()):
            if not request.began and now - request.since > _IDLE_S:
                await connection.close()


class Server(httpserver.HTTPServer):
    """tornado's server, which does not tell its delegate that a connection is gone."""

    def __init__(self, front: HttpFrontend) -> None:
        super().__init__(front, max_body_size=_MAX_RECEIVED, chunk_size=_PIECE)
        self._front = front
        self.conn_params.header_timeout = None

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        send_at_once(stream)
        context = _HTTPRequestContext(stream, address, self.protocol, self.trusted_downstream)
        connection = _Connection(stream, self.conn_params, context)
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn: object) -> None:
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
                if self.stream._read_buffer_size or served % _TURN_EVERY == 0:
                    # The next one is here already, or may be at the socket: others first.
                    await asyncio.sleep(0)
        finally:
            delegate.on_close(self)


_Head = tuple[str, httputil.HTTPHeaders]


class _Message(HTTP1Connection):
    """tornado's message, which takes a head apart once: workers send the same again and again."""

    _heads: ClassVar[dict[bytes, _Head]] = {}

    def _parse_headers(self, data: bytes) -> _Head:
        head = self._heads.get(data)
        if head is None:
            head = super()._parse_headers(data)
            # What comes from workers says little; others' heads are long, and hardly ever again.
            if len(data) <= _MOST_HEAD and "," not in head[1].get("Content-Length", ""):
                if len(self._heads) >= _MOST_HEADS:
                    self._heads.clear()
                self._heads[data] = head
        return head


class _Request(httputil.HTTPMessageDelegate):
    """One request: its body is collected here, then answered or handed on in one piece."""

    def __init__(
        self, front: HttpFrontend, server_conn: object, connection: httputil.HTTPConnection
    ) -> None:
        self.since = monotonic_now()
        self.began = False
        self._front = front
        self._server_conn = server_conn
        self._connection = connection
        self._next: httputil.HTTPMessageDelegate | None = None
        """What answers it; None for a report."""
        self._held = front.reports
        self._chunks: list[bytes] = []
        self._size = 0
        self._refusal: tuple[int, str, int | None] | None = None
        """Why the body is being dropped: status, error, and when to come again."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self.began = True
        assert isinstance(start_line, httputil.RequestStartLine)
        if (
            self._front.handle_heartbeat is not None
            and start_line.path == wire.REPORT_PATH
            and start_line.method == "POST"
        ):
            return None
        self._held = self._front.others
        self._next = self._front.application.start_request(self._server_conn, self._connection)
        return self._next.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._refusal is not None:
            return None
        if self._next is None and self._size + len(chunk) > wire.MAX_BODY:
            self._refusal = (400, "the body is larger than 64 KiB", None)
        elif not self._held.take(len(chunk)):
            # Whether the job was accepted before can't be told without its id: no 400.
            self._refusal = (503, "too much at once", 1)
        else:
            self._size += len(chunk)
            self._chunks.append(chunk)
            return None
        self.give_back()
        return None

    def give_back(self) -> None:
        self._held.give_back(self._size)
        self._size = 0
        self._chunks.clear()

    def finish(self) -> None:
        body = b"".join(self._chunks)
        self._chunks.clear()
        if self._refusal is not None:
            status, error, retry_after_s = self._refusal
            answer(self._connection, status, {"error": error}, retry_after_s)
        elif self._next is None:
            answer(self._connection, *self._report(body))
        else:
            if body:
                self._next.data_received(body)
            self._next.finish()

    def on_connection_close(self) -> None:
        if self._next is not None:
            self._next.on_connection_close()

    def _report(self, body: bytes) -> HeartbeatHandler:
        handle_heartbeat = self._front.handle_heartbeat
        assert handle_heartbeat is not None
        try:
            report = wire.decode(body, wire.Heartbeat)
        except wire.MalformedMessageError as error:
            return 400, {"error": str(error)}
        machine_id = parse_machine_id(report.machine)
        if machine_id is None:
            return 400, {"error": "malformed machine id - at `$.kiln`"}
        return handle_heartbeat(report, machine_id)
