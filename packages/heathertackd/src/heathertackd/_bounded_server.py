"""Servers that bound what callers send, and know which requests are unanswered."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Any, Final

from aiohttp import http, web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD

from heathertackd import _clock
from heathertackd._caller_memory import CallerMemory
from heathertackd._hangups import HangupWatcher
from heathertackd._held_sizes import (
    TrailerCount,
    count_queued_bytes,
    count_untaken_bytes,
    discard,
    has_unread_bytes,
    is_readable,
    measure_fields,
    measure_head,
    measure_objects,
    measure_unread,
)
from heathertackd._request_errors import RequestErrorLog
from heathertackd._sockets import limit_buffers

#: Maximum size of a head, or of chunk headers and trailers beyond the size of their
#: payload, bytes. Limits on the header that a bundle sets are smaller.
_MAX_OVERHEAD_BYTES = 256 * 1024
#: Number of callers that may wait to be accepted: must hold a burst of callers that
#: connect at the same moment.
BACKLOG: Final = 1024
#: Number of connections that are accepted in one step of the event loop.
ACCEPT_COUNT: Final = 16
#: Size of the pieces in which a counted connection is read, bytes. The parser keeps the
#: rest of a piece when it stops to read.
_READ_BYTES = 32 * 1024
#: Size of a body's buffer, bytes; the HTTP library stops to read a connection at twice
#: this size.
_BODY_BUFFER_BYTES = 64 * 1024
#: Memory of an open connection with its parser, task and transport, bytes: 300 idle
#: ones took 4.5 KB each.
_CONNECTION_BYTES = 8 * 1024
#: A body is held by its request, and by the connection to a target that reads slowly.
_BODY_COPIES = 2
#: Maximum length of what a caller is told of unreadable bytes.
_MAX_REASON_CHARACTERS = 200
#: An answer that is being sent is held by its request and by the transport.
_ANSWER_COPIES = 2


class ConnectionDroppedError(Exception):
    """The connection of a request was closed before its answer."""


class _AlreadyAnsweredError(ConnectionError):
    """What was received needs no answer, and the connection closes."""


class UnreadableBodyError(Exception):
    """The bytes of a body do not follow the protocol, so that it never ends."""


class BoundedRequestHandler(web.RequestHandler):
    """Reads the requests of one connection within a limit on their overhead.

    The HTTP library bounds each header field, but neither their sum nor the size of
    chunk extensions, which it reads without end.
    """

    def __init__(
        self,
        manager: web.Server,
        memory: CallerMemory | None = None,
        errors: RequestErrorLog | None = None,
        hangups: HangupWatcher | None = None,
        **options: Any,
    ) -> None:
        if memory is not None and memory.buffer_bytes is not None:
            options.setdefault("read_bufsize", _BODY_BUFFER_BYTES)
        super().__init__(manager, **options)
        self._memory = memory
        self._errors = errors
        self._hangups = hangups or HangupWatcher()
        #: Descriptor of the socket; ``None`` without a connection.
        self._descriptor: int | None = None
        #: Bodies of the requests that were parsed and not answered, in order.
        self._payloads: deque[Any] = deque()
        #: Memory of the heads of these requests, bytes.
        self._head_bytes: deque[int] = deque()
        #: Body of an answered request that is still being received.
        self._surplus_payload: Any = EMPTY_PAYLOAD
        #: Memory of the head that is being read, bytes.
        self._open_head_bytes = 0
        #: Memory that the handler of the request holds.
        self._request_bytes = 0
        self._answer_bytes = 0
        #: Bytes in the buffers of the socket when they were last looked at.
        self._queued_bytes = 0
        self._received_bytes = 0
        self._seen_requests = 0
        self._body: Any = None
        self._is_reading_head = False
        self._opened_at = _clock.monotonic()
        self._answered_at: float | None = None
        self._untaken_bytes = 0
        self._trailers = TrailerCount()
        #: Whether bytes arrived that are no request; none are read after them.
        self._is_unreadable = False
        #: Whether they are a part of the body of the last request.
        self._is_body_unreadable = False

    @property
    def opened_at(self) -> float:
        """Time at which the connection opened, monotonic clock, seconds."""
        return self._opened_at

    @property
    def answered_at(self) -> float | None:
        """Time of the last answer, monotonic clock, seconds; ``None`` before it.

        Later, where the caller was observed to take more of it.
        """
        return self._answered_at

    @property
    def is_answering(self) -> bool:
        """Whether the head of a request was read whose answer was not sent in full."""
        if self.transport is None:
            return False
        if self.is_sending_rest:
            return True
        if self.transport.is_closing():
            return False
        return bool(self._messages) or (
            bool(self._request_count) and not self._is_waiting
        )

    @property
    def is_reading_paused(self) -> bool:
        """Whether the connection is not read, since its buffers are full."""
        return bool(self._reading_paused or self._buffer_paused)

    @property
    def is_sending_rest(self) -> bool:
        """Whether an answer is complete of which the caller has yet to take a part."""
        transport = self.transport
        if transport is None or not transport.get_write_buffer_size():
            return False
        return transport.is_closing() or self._is_waiting

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    @property
    def is_reading_head(self) -> bool:
        """Whether a part of the head of a request was read, and not its end."""
        return self._is_reading_head and not self.is_answering

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived that is not answered yet."""
        if self.is_answering or self.is_reading_head:
            return False
        return not has_unread_bytes(self.transport)

    @property
    def may_be_closed(self) -> bool:
        """Whether its request is not whole, or its answer is not being read."""
        if not self.is_answering or self.is_sending_rest or self.writing_paused:
            return True
        return any(not payload.is_eof() for payload in self._payloads)

    @property
    def _body_bytes(self) -> int:
        """Memory of bodies: handlers keep what they take until the answer."""
        taken = sum(int(payload.total_bytes) for payload in self._payloads)
        objects = sum(measure_objects(payload) for payload in self._payloads)
        unread = measure_unread(self._surplus_payload)
        return _BODY_COPIES * taken + objects + unread

    def drop(self) -> None:
        """Close the connection without an answer, and give up what it holds."""
        transport = self.transport
        self._release()
        self.force_close()
        if transport is not None:
            transport.abort()

    def _release(self) -> None:
        """Give up what the connection keeps of its requests.

        A body refers to its connection, and its error to the handler that read it: what
        they keep would otherwise stay until the next full collection of cycles.
        """
        for payload in (*self._payloads, self._surplus_payload):
            discard(payload, ConnectionDroppedError("the connection was closed"))
        self._payloads.clear()
        self._head_bytes.clear()
        self._surplus_payload = EMPTY_PAYLOAD
        self._body = None
        self._message_tail = b""

    def hold(self, size: int) -> None:
        """Count memory that a handler takes, until its answer is sent.

        Parameters
        ----------
        size : int
            Additional bytes.

        Raises
        ------
        ConnectionDroppedError
            If the connection was closed, also for want of memory.
        """
        self._request_bytes += size
        if not self._count():
            raise ConnectionDroppedError("the connection of the caller was closed")

    def _count(self) -> bool:
        """Count what the connection holds, and return whether it may go on."""
        memory = self._memory
        if memory is None:
            return True
        transport = self.transport
        if transport is None:
            return False
        unsent = transport.get_write_buffer_size()
        held = _CONNECTION_BYTES + self._open_head_bytes + sum(self._head_bytes)
        held += self._body_bytes
        held += self._request_bytes + max(self._answer_bytes, unsent)
        buffer_bytes = memory.buffer_bytes or 0
        kept_bytes = self._queued_bytes
        if self.is_reading_paused:
            kept_bytes = max(kept_bytes, buffer_bytes + _READ_BYTES)
        if self.writing_paused:
            # The target's side of a stream stops, too, with its buffers full.
            kept_bytes += 2 * buffer_bytes + 2 * _BODY_BUFFER_BYTES
        return memory.update(self, held + kept_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection."""
        super().connection_made(transport)
        opened = transport.get_extra_info("socket")
        self._descriptor = opened.fileno() if opened is not None else None
        if self._memory is None:
            return
        if self._memory.buffer_bytes is not None:
            # The transport has no parameter for the size of its reads.
            vars(transport)["max_size"] = _READ_BYTES
        self._memory.open(self)
        self._count()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection held."""
        self._forget_hangup()
        self._descriptor = None
        super().connection_lost(exc)
        self._release()
        self._messages.clear()
        if self._memory is not None:
            self._memory.close(self)

    def _pause_transport_reading(self) -> None:
        """Stop to read, and watch for a caller that leaves meanwhile."""
        super()._pause_transport_reading()
        if self._descriptor is None:
            return
        try:
            self._hangups.watch(self._descriptor, self._close_abandoned)
        except OSError as error:
            # The caller is noticed to have left once the connection is read again.
            context = {"message": "a caller can't be watched", "exception": error}
            self._loop.call_exception_handler(context)

    def _resume_transport_reading(self) -> None:
        """Read again, by which a close is noticed."""
        self._forget_hangup()
        super()._resume_transport_reading()

    def _forget_hangup(self) -> None:
        if self._descriptor is not None:
            self._hangups.forget(self._descriptor)

    def _close_abandoned(self) -> None:
        """End the requests of a caller that has left, as if its close had been read."""
        if self.transport is not None:
            self.transport.close()

    def pause_writing(self) -> None:
        """Count the buffers of a caller that reads slowly."""
        super().pause_writing()
        self._count()

    def resume_writing(self) -> None:
        """Count the buffers of a caller that reads again."""
        super().resume_writing()
        self._count()

    def observe(self, now: float) -> None:
        """Note whether the caller has taken more of its answer since the last call."""
        untaken = count_untaken_bytes(self.transport) if self.is_sending_rest else 0
        if untaken and untaken < self._untaken_bytes:
            self._answered_at = now
        self._untaken_bytes = untaken
        if self._memory is not None:
            self._queued_bytes = count_queued_bytes(self.transport)
            self._count()

    def end(self) -> None:
        """Close the connection for good, without the rest of an answer.

        The HTTP library would only stop to read on one that has just opened, and drop
        the request that arrives on it.
        """
        transport = self.transport
        self.close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request whose handler failed.

        It reaches nobody if the connection is closed, which is no failure. The HTTP
        library would raise an error where a part of an answer was sent, whose traceback
        and task refer to each other and keep what the handler read.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            response = web.Response(status=status)
            response.force_close()
            return response
        if isinstance(exc, _AlreadyAnsweredError):
            raise exc
        if not isinstance(exc, http.HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        if self._errors is not None:
            self._errors.record(str(request.remote), exc.message)
        if self._is_body_unreadable:
            # The answer to the request that has the body says so.
            raise _AlreadyAnsweredError("the last request was refused")
        response = web.Response(status=status, text=exc.message)
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[Any, bool]:
        """Send the answer to a request."""
        body = getattr(resp, "body", None)
        if isinstance(body, bytes | bytearray):
            self._answer_bytes = _ANSWER_COPIES * len(body)
            self._count()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._answered_at = _clock.monotonic()
            # Requests behind a declined upgrade are parsed with the answer.
            self._track_requests()
            self._forget_request()

    def _forget_request(self) -> None:
        """Give back what an answered request held."""
        self._answer_bytes = self._request_bytes = 0
        if self._payloads:
            self._surplus_payload = self._payloads.popleft()
            self._head_bytes.popleft()
        if self._memory is not None:
            self._memory.restart(self)
        self._count()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and abort the connection if they exceed the limit."""
        if self._is_unreadable:
            return
        self._received_bytes += len(data)
        body = self._body
        is_body = body is not None and not body.is_eof()
        taken = -body.total_bytes if is_body else 0
        super().data_received(data)
        taken += body.total_bytes if is_body else 0
        added = self._track_requests()
        if added:
            taken += sum(payload.total_bytes for payload in added)
            self._received_bytes = 0
            self._body = added[-1]
            self._is_reading_head = False
        elif data and not is_body:
            self._is_reading_head = True
        if data:
            if added or is_body:
                self._open_head_bytes = 0
            if self._body is not None and not self._body.is_eof():
                is_chunked = self._body._http_chunk_splits is not None
                self._trailers = self._trailers.add(data, taken, is_chunked)
                self._count_open_head(*self._trailers.counts)
            else:
                self._trailers = TrailerCount()
                self._count_open_head(len(data) - taken, data.count(b"\n"))
        payload_bytes = self._body.total_bytes if self._body is not None else 0
        overhead = self._received_bytes - 2 * payload_bytes
        if overhead > _MAX_OVERHEAD_BYTES and self.transport is not None:
            self.transport.abort()
        self._count()

    def _track_requests(self) -> list[Any]:
        """Count the requests that were parsed, and return their bodies."""
        count = self._request_count - self._seen_requests
        self._seen_requests = self._request_count
        parsed = list(self._messages)[-count:] if count else []
        added = []
        for number, (message, payload) in enumerate(parsed, start=1):
            self._head_bytes.append(measure_head(message))
            self._payloads.append(payload)
            added.append(payload)
            if not isinstance(message, RawRequestMessage):
                for _ in range(count - number):
                    self._messages.pop()
                self._end_parsing(message)
                break
        return added

    def _end_parsing(self, error: Any) -> None:
        """Read no more after bytes that are no request.

        The parser would report further bytes as further errors, each with the bytes in
        its message and in the frames of its traceback.
        """
        self._is_unreadable = True
        reason = str(error.message).partition("\n")[0][:_MAX_REASON_CHARACTERS]
        cause = http.HttpProcessingError(message=reason)
        unreadable = type(error)(status=error.status, exc=cause, message=reason)
        self._messages[-1] = (unreadable, EMPTY_PAYLOAD)
        body = self._body
        if body is not None and not body.is_eof():
            self._is_body_unreadable = True
            body.set_exception(UnreadableBodyError(reason))
            body.feed_eof()

    def _count_open_head(self, size: int, line_ends: int) -> None:
        """Count bytes of a head, or of trailers.

        Where a request ended in the piece, it is not known how many of its bytes belong
        to the next one: all that are no payload are counted.
        """
        self._open_head_bytes += measure_fields(size, line_ends)


def hold(request: web.BaseRequest, size: int) -> None:
    """Count memory that the handler of a request takes, until its answer is sent.

    Parameters
    ----------
    request : web.BaseRequest
        Request on a connection of any kind; only bounded ones are counted.
    size : int
        Additional bytes.

    Raises
    ------
    ConnectionDroppedError
        If the connection was closed, also for want of memory.
    """
    connection = request.protocol
    if isinstance(connection, BoundedRequestHandler):
        connection.hold(size)


def has_waiting_connections(listener: asyncio.Server) -> bool:
    """Return whether callers have connected that were not accepted yet."""
    return any(is_readable(listening) for listening in listener.sockets)


async def listen(
    server: web.Server,
    host: str,
    port: int,
    memory: CallerMemory,
    backlog: int = BACKLOG,
) -> asyncio.Server:
    """Listen for connections, which are accepted a few at a time if they are limited.

    The event loop would accept as many connections in one step as may wait for it,
    before any of them is counted.

    Parameters
    ----------
    server : web.Server
        Serves the connections.
    host, port : str and int
        Address to listen at.
    memory : CallerMemory
        Counts what the connections hold.
    backlog : int
        Number of callers that may wait to be accepted.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    loop = asyncio.get_running_loop()
    if memory.buffer_bytes is None:
        return await loop.create_server(server, host, port, backlog=backlog)
    listening = open_listening_socket(host, port, memory.buffer_bytes, backlog)
    opened = await loop.create_server(server, sock=listening, backlog=ACCEPT_COUNT)
    listening.listen(backlog)
    return opened


def open_listening_socket(
    host: str, port: int, buffer_bytes: int, backlog: int
) -> socket.socket:
    """Return a listening socket whose connections have limited buffers.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=backlog)
    limit_buffers(listening, buffer_bytes)
    return listening


class BoundedServer(web.Server):
    """Serves callers on connections with a limit on the overhead of requests.

    Parameters
    ----------
    handler : callable
        Handles the requests.
    memory : CallerMemory or None
        Counts what the connections hold.
    errors : RequestErrorLog or None
        Log of unreadable requests.
    """

    def __init__(
        self,
        handler: Any,
        *,
        memory: CallerMemory | None = None,
        errors: RequestErrorLog | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._memory = memory
        self._errors = errors
        self._hangups = HangupWatcher()

    @property
    def connections(self) -> list[Any]:
        """The open connections, which are of :class:`BoundedRequestHandler`."""
        return super().connections

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(
            self,
            self._memory,
            self._errors,
            self._hangups,
            loop=self._loop,
            **self._kwargs,
        )


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a bounded server.

    Parameters
    ----------
    app : web.Application
        The application.
    memory : CallerMemory or None
        Counts what the connections hold.
    errors : RequestErrorLog or None
        Log of unreadable requests.
    """

    def __init__(
        self,
        app: web.Application,
        memory: CallerMemory | None = None,
        errors: RequestErrorLog | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._memory = memory
        self._errors = errors

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            memory=self._memory,
            errors=self._errors,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            loop=server._loop,
            **server._kwargs,
        )
