"""An HTTP/1.1 client with persistent connections, over tornado's protocol implementation.

tornado's simple client opens a connection for every request, which costs more than the request
itself when the process has only a share of a core and a limited number of sockets. This client
keeps idle connections and reuses them; tornado still parses and writes the messages.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters

from tealrill.errors import TealrillError
from tealrill.settings import Address, Settings, parse_address

_MAX_LOOP_DELAY_S: Final = 0.3
_PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=16 * 1024, max_body_size=64 * 1024 * 1024
)


class NoAnswerError(TealrillError):
    """No response was received. `sent` is False only if no byte of the request was sent."""

    def __init__(
        self, message: str, sent: bool, refused: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused
        """The connection was refused."""
        self.timed_out = timed_out
        """No complete response arrived within the timeout."""


class Answer(httputil.HTTPMessageDelegate):
    """Collector of one response."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.complete = False
        self.keep_alive = True
        self._chunks: list[bytes] = []

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Record the status and whether the connection stays open."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.keep_alive = headers.get("Connection", "").lower() != "close"

    def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Join the body and mark the response complete."""
        self.body = b"".join(self._chunks)
        self.complete = True


def disable_nagle(stream: iostream.IOStream) -> None:
    """Disable Nagle's algorithm for the lifetime of the connection.

    tornado disables it before each message and enables it afterwards. That adds two system calls
    to the three or four that a heartbeat takes.
    """
    stream.set_nodelay(True)
    stream.set_nodelay = _ignore_nodelay  # type: ignore[method-assign]


def _ignore_nodelay(value: bool) -> None:
    """Ignore a change of the setting."""


async def is_reachable(address: Address, timeout_s: float) -> bool | None:
    """Return True if the host at the address answers a connection attempt, None if unknown.

    A refused connection counts as an answer. False means no answer within `timeout_s`: the machine
    has lost power or is partitioned. If only its processes hang, its kernel still accepts
    connections.
    """
    try:
        stream = iostream.IOStream(socket.socket())
    except OSError:
        # This process has no file descriptor left, which says nothing about the other host.
        return None
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((address.host, address.port))
    except TimeoutError:
        # If this event loop was delayed, the answer may have arrived and not been read yet.
        return None if loop.time() - started_at > timeout_s + _MAX_LOOP_DELAY_S else False
    except (OSError, iostream.StreamClosedError) as error:
        cause = getattr(error, "real_error", None) or error
        return True if isinstance(cause, ConnectionRefusedError) else None
    else:
        return True
    finally:
        stream.close()


class Client:
    """HTTP client of one address that keeps at most `max_idle` idle connections."""

    def __init__(self, address: Address, max_idle: int = 4) -> None:
        self._address = address
        self._idle: list[iostream.IOStream] = []
        self._max_idle = max_idle

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 2.0,
        check: Callable[[], None] | None = None,
    ) -> Answer:
        """Send a request and return its response; raise `NoAnswerError` if none is received.

        `check` is called when a connection is open and before the first byte is sent; what it
        raises aborts the request.
        """
        sent = False
        stream: iostream.IOStream | None = None
        try:
            async with asyncio.timeout(timeout_s):
                stream = self._pop_idle()
                if stream is None:
                    stream = iostream.IOStream(socket.socket())
                    disable_nagle(stream)
                    await stream.connect((self._address.host, self._address.port))
                if check is not None:
                    check()
                sent = True
                answer = await self._exchange(stream, method, path, body)
        except (TimeoutError, OSError, iostream.StreamClosedError, httputil.HTTPInputError) as err:
            self._close(stream)
            cause = getattr(err, "real_error", None) or err
            refused = isinstance(cause, ConnectionRefusedError)
            timed_out = isinstance(err, TimeoutError)
            raise NoAnswerError(f"{type(err).__name__}: {err}", sent, refused, timed_out) from None
        except BaseException:
            self._close(stream)
            raise
        if answer.keep_alive and len(self._idle) < self._max_idle and not stream.closed():
            self._idle.append(stream)
        else:
            stream.close()
        return answer

    async def _exchange(
        self, stream: iostream.IOStream, method: str, path: str, body: bytes | None
    ) -> Answer:
        connection = HTTP1Connection(stream, True, _PARAMETERS)
        headers = httputil.HTTPHeaders({"Host": str(self._address)})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        elif method == "POST":
            headers["Content-Length"] = "0"
        start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
        written = connection.write_headers(start_line, headers, body)
        connection.finish()
        answer = Answer()
        await connection.read_response(answer)
        await written
        if not answer.complete:
            raise iostream.StreamClosedError()
        return answer

    def _pop_idle(self) -> iostream.IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        return None

    @staticmethod
    def _close(stream: iostream.IOStream | None) -> None:
        if stream is not None:
            stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for stream in self._idle:
            stream.close()
        self._idle.clear()


def peer_clients(settings: Settings, max_idle: int = 1) -> dict[str, Client]:
    """Return a client for each other member, by host name."""
    return {m.host_name: Client(parse_address(m.peer_addr), max_idle) for m in settings.members}
