"""Exchanges one request and one response with a target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

import aiohttp
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from heathertackd import _clock
from heathertackd._response_bodies import ResponseMemory
from heathertackd._target_connections import (
    CONNECTION_RELAY,
    Reachability,
    TargetConnections,
)
from heathertackd._transmissions import TransmissionCount
from heathertackd.forwarding._dialect import ForwardingDialect, ResponseHead

#: The request reached another target, which has taken over the address.
_WRONG_TARGET = 421
#: Statuses that callers interpret as a guarantee that the request has not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: A longer body is treated as one that never ends.
_MAX_BODY_BYTES = 4 * 1024 * 1024
#: Maximum memory of all bodies that are read at one time: they are buffered, since a
#: body that breaks off must not look complete to the caller.
_MAX_BUFFERED_BYTES = 8 * 1024 * 1024
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class ExchangeFailure(StrEnum):
    """How far a request got before its exchange failed."""

    #: The target did not receive the request.
    NOT_SENT = "not_sent"
    #: The target reports that it did not and will not run the request.
    NOT_RUN = "not_run"
    #: The target may have run the request; its response is lost or invalid.
    MAY_HAVE_RUN = "may_have_run"


class ExchangeError(NamedTuple):
    """Why there is no response to deliver."""

    failure: ExchangeFailure
    detail: str
    #: Number of connections on which the request was sent to the target.
    transmissions: int = 0
    #: Whether the target answered that it wants no requests for a while.
    is_pause: bool = False
    #: Instance through which the request was sent; empty for a direct connection.
    relay: str = ""


class TargetRequest(NamedTuple):
    """A request as it is sent to a target."""

    #: ``ip:port`` of the target.
    address: str
    method: str
    #: Path and query exactly as the caller sent them.
    path: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str
    #: Name of the target.
    target: str


class TargetAnswerListener(Protocol):
    """Receives the headers of all answers that targets give to requests."""

    def handle_answer(self, target: str, head: ResponseHead, sent_at: float) -> None:
        """Handle the header of an answer.

        Parameters
        ----------
        target : str
            Name of the target.
        head : ResponseHead
            Contents of the header.
        sent_at : float
            Time at which the request was sent, monotonic clock, seconds.
        """
        ...

    def handle_leaving(self, target: str, address: str) -> None:
        """Handle an answer in which a target says that it is about to leave.

        Parameters
        ----------
        target : str
            Name of the target.
        address : str
            ``ip:port`` of the target.
        """
        ...

    def handle_pause(self, target: str, head: ResponseHead, relay: str) -> None:
        """Handle the time for which a target wants no requests, if the header has one.

        Targets may turn requests away without repeating the id of the request.

        Parameters
        ----------
        target : str
            Name of the target.
        head : ResponseHead
            Contents of the header.
        relay : str
            Instance whose connection the target saw; empty for this one.
        """
        ...


class TargetResponse:
    """A response whose header has arrived.

    Parameters
    ----------
    head : ResponseHead
        Contents of its header.
    response : aiohttp.ClientResponse
        The open response.
    memory : ResponseMemory
        Limits the memory of bodies.
    relay : str
        Instance that forwards the response; empty for a direct connection.
    """

    def __init__(
        self,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        memory: ResponseMemory,
        relay: str = "",
    ) -> None:
        self._head = head
        self._relay = relay
        self._response = response
        self._memory = memory
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        self._connection_closed = protocol.closed if protocol is not None else None
        if self._connection_closed is not None:
            self._connection_closed.add_done_callback(_retrieve_exception)

    @property
    def head(self) -> ResponseHead:
        """Contents of the header."""
        return self._head

    @property
    def relay(self) -> str:
        """Instance that forwards the response; empty for a direct connection."""
        return self._relay

    @property
    def has_declared_end(self) -> bool:
        """Whether the end of the body shows that it is complete."""
        headers = self._response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    async def read(
        self, hold: Callable[[int], None] = lambda size: None
    ) -> Result[bytes, ExchangeError]:
        """Read and return the whole body.

        Parameters
        ----------
        hold : callable
            Counts a number of bytes that are held for the caller; its errors are
            passed on.
        """
        try:
            body = await self._memory.read(self._response, hold)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return Failure(_may_have_run(repr(error)))
        if self._was_reset():
            return Failure(_may_have_run("the connection was reset in the body"))
        return Success(body)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Raises
        ------
        aiohttp.ClientError, OSError, TimeoutError
            If the connection fails before the end of the body.
        """
        async for chunk in self._response.content.iter_any():
            yield chunk
        if self._was_reset():
            raise ConnectionResetError("the connection was reset in the body")

    def close(self) -> None:
        """Close the connection, even if the body is incomplete."""
        self._response.close()

    def _was_reset(self) -> bool:
        """Return whether the connection ended with an error.

        This is the only sign that a body without a declared length is incomplete.
        """
        closed = self._connection_closed
        if closed is None or not closed.done() or closed.cancelled():
            return False
        return closed.exception() is not None


class TargetClient:
    """Sends requests to targets, each on its own connection.

    Connections are not reused. Surplus bytes from a target therefore can't be taken
    for the response to another request, and no request is lost on a connection that
    its target has already closed.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends each request once and decodes no bodies.
    dialect : ForwardingDialect
        Decodes the headers of responses.
    listener : TargetAnswerListener
        Receives the headers of all answers.
    connections : TargetConnections
        Opens the connections of the session.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: ForwardingDialect,
        listener: TargetAnswerListener,
        connections: TargetConnections,
    ) -> None:
        self._session = session
        self._connections = connections
        self._dialect = dialect
        self._listener = listener
        self._memory = ResponseMemory(_MAX_BODY_BYTES, _MAX_BUFFERED_BYTES)

    async def probe(self, address: str) -> Reachability:
        """Return whether a target accepts connections, from here or from elsewhere."""
        return await self._connections.probe(address)

    def is_target_down(self, address: str) -> bool:
        """Return whether other instances could not connect to a target either."""
        return self._connections.is_target_down(address)

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetResponse, ExchangeError]:
        """Send a request and wait for the header of its response."""
        transmissions = TransmissionCount()
        CONNECTION_RELAY.set("")
        result = await self._exchange(request, transmissions)
        return result.alt(
            lambda error: error._replace(
                transmissions=transmissions.value, relay=CONNECTION_RELAY.get()
            )
        )

    async def _exchange(
        self, request: TargetRequest, transmissions: TransmissionCount
    ) -> Result[TargetResponse, ExchangeError]:
        sent_at = _clock.monotonic()
        try:
            response = await self._session.request(
                request.method,
                _build_url(request),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                skip_auto_headers=_AUTOMATIC_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None),
                trace_request_ctx=transmissions,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            if transmissions.value:
                return Failure(_may_have_run(repr(error)))
            return Failure(ExchangeError(ExchangeFailure.NOT_SENT, repr(error)))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return Failure(_may_have_run(repr(error)))
        target_response = TargetResponse(
            self._dialect.read_response(response.status, response.headers),
            response,
            self._memory,
            CONNECTION_RELAY.get(),
        )
        head = target_response.head
        if _is_from_target(head, request):
            self._listener.handle_pause(request.target, head, target_response.relay)
        if head.request_id == request.request_id and head.status != _WRONG_TARGET:
            self._listener.handle_answer(request.target, head, sent_at)
        if head.is_target_leaving and _is_from_target(head, request):
            self._listener.handle_leaving(request.target, request.address)
        exchange_error = _find_error(head, request.request_id)
        if exchange_error is not None:
            target_response.close()
            is_pause = _is_from_target(head, request) and _names_pause(head)
            return Failure(exchange_error._replace(is_pause=is_pause))
        return Success(target_response)


def _build_url(request: TargetRequest) -> URL:
    """Return a URL that is sent exactly as the caller sent it.

    The query is a part of the path here: an empty one would be dropped otherwise.
    """
    host, _, port = request.address.rpartition(":")
    return URL.build(
        scheme="http", host=host, port=int(port), path=request.path, encoded=True
    )


def _is_from_target(head: ResponseHead, request: TargetRequest) -> bool:
    """Return whether an answer comes from the target that a request was meant for.

    An answer without an id does, since its connection carried only this request and
    any other target at the address would have refused it. Such a refusal speaks of the
    other target, and it is not known whom an answer to another request speaks of.
    """
    is_refused_by_other = head.status == _WRONG_TARGET
    return not is_refused_by_other and head.request_id in ("", request.request_id)


def _find_error(head: ResponseHead, request_id: str) -> ExchangeError | None:
    """Return why a response can't be delivered, ``None`` if it can."""
    # A refusal of another request says nothing of this one, which may be running. One
    # without an id was meant for this request, the only one on its connection.
    if head.has_not_run and head.request_id in ("", request_id):
        return ExchangeError(ExchangeFailure.NOT_RUN, f"status {head.status}")
    if head.request_id != request_id:
        found = head.request_id or "no request"
        return _may_have_run(f"an answer to {found} instead of {request_id}")
    if head.status in _NOT_RUN_STATUSES:
        return _may_have_run(f"status {head.status} that does not say 'not run'")
    if head.status < 300 and not head.is_signed:
        return _may_have_run(f"status {head.status} without a signature")
    if "Content-Encoding" in head.headers:
        encoding = head.headers["Content-Encoding"]
        return _may_have_run(f"a body with the encoding {encoding!r}, expected none")
    return None


def _names_pause(head: ResponseHead) -> bool:
    return isinstance(head.pause, Success) and head.pause.unwrap() is not None


def _retrieve_exception(closed: asyncio.Future[None]) -> None:
    """Mark the error of a closed connection as seen: the response reports it too."""
    if not closed.cancelled():
        closed.exception()


def _may_have_run(detail: str) -> ExchangeError:
    return ExchangeError(ExchangeFailure.MAY_HAVE_RUN, detail)
