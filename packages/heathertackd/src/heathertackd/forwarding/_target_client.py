"""One exchange of a request and an answer with a target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from heathertackd.forwarding._dialect import ForwardingDialect, ResponseHead

#: A target that takes no connection for this long is taken for lost, seconds.
_CONNECT_SECONDS = 1.0
#: Wait for a connection that only shows whether a target is up, seconds.
_PROBE_SECONDS = 0.4
#: Callers take these for the promise that the request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class ExchangeFailure(StrEnum):
    """How far a request got that was not answered as it should be."""

    #: The target never got it.
    NOT_SENT = "not_sent"
    #: The target got it and says that it did not and will not run it.
    NOT_RUN = "not_run"
    #: The target may have run it; the answer is lost or can't be believed.
    MAY_HAVE_RUN = "may_have_run"


class ExchangeError(NamedTuple):
    """Why there is no answer to deliver."""

    failure: ExchangeFailure
    detail: str


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


class TargetAnswer:
    """An answer whose header has arrived.

    Parameters
    ----------
    head : ResponseHead
        What its header says.
    response : aiohttp.ClientResponse
        The open response.
    """

    def __init__(self, head: ResponseHead, response: aiohttp.ClientResponse) -> None:
        self._head = head
        self._response = response
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        self._closed = protocol.closed if protocol is not None else None

    @property
    def head(self) -> ResponseHead:
        """What the header says."""
        return self._head

    async def read(self) -> Result[bytes, ExchangeError]:
        """Return the whole body."""
        try:
            body = await self._response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(_may_have_run(repr(error)))
        if self._was_reset():
            return Failure(_may_have_run("the connection was reset in the body"))
        return Success(body)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Return the body as it arrives.

        Raises
        ------
        aiohttp.ClientError, OSError, TimeoutError
            If the body breaks off.
        """
        async for chunk in self._response.content.iter_any():
            yield chunk
        if self._was_reset():
            raise ConnectionResetError("the connection was reset in the body")

    def close(self) -> None:
        """Close the connection, whatever of the body is still to come."""
        self._response.close()

    def _was_reset(self) -> bool:
        """Tell whether the connection ended with an error.

        Only then is a body without a length known to be incomplete.
        """
        closed = self._closed
        if closed is None or not closed.done() or closed.cancelled():
            return False
        return closed.exception() is not None


class TargetClient:
    """Sends requests to targets, each on a connection of its own.

    Connections are not kept: whatever a target sends beside the answer can then
    never be taken for the answer to another request, and no request is lost on a
    connection that its target has closed.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that keeps no connections and decodes no bodies.
    dialect : ForwardingDialect
        Reads the headers of answers.
    """

    def __init__(
        self, session: aiohttp.ClientSession, dialect: ForwardingDialect
    ) -> None:
        self._session = session
        self._dialect = dialect

    async def is_reachable(self, address: str) -> bool:
        """Tell whether a target takes connections."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def send(self, request: TargetRequest) -> Result[TargetAnswer, ExchangeError]:
        """Send a request and wait for the header of its answer."""
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{request.address}{request.path}", encoded=True),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                skip_auto_headers=_AUTOMATIC_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_SECONDS
                ),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(ExchangeError(ExchangeFailure.NOT_SENT, repr(error)))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return Failure(_may_have_run(repr(error)))
        answer = TargetAnswer(
            self._dialect.read_response(response.status, response.headers), response
        )
        fault = _find_fault(answer.head, request.request_id)
        if fault is not None:
            answer.close()
            return Failure(fault)
        return Success(answer)


def _find_fault(head: ResponseHead, request_id: str) -> ExchangeError | None:
    """Return why an answer can't be delivered."""
    if head.has_not_run:
        return ExchangeError(ExchangeFailure.NOT_RUN, f"status {head.status}")
    if head.request_id != request_id:
        found = head.request_id or "no request"
        return _may_have_run(f"an answer to {found} instead of {request_id}")
    if head.status in _PROMISES:
        return _may_have_run(f"status {head.status} that does not say 'not run'")
    if head.status < 300 and not head.is_signed:
        return _may_have_run(f"status {head.status} without a signature")
    if "Content-Encoding" in head.headers:
        encoding = head.headers["Content-Encoding"]
        return _may_have_run(f"a body with the encoding {encoding!r}, expected none")
    return None


def _may_have_run(detail: str) -> ExchangeError:
    return ExchangeError(ExchangeFailure.MAY_HAVE_RUN, detail)
