"""Client for the HTTP protocol of model engines."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple, NotRequired, TypedDict, TypeVar

import aiohttp
from returns.result import Failure, Result, Success

from heathertack.controllers import EngineLoad, LinkFailure
from heathertack.decoding import Count, decode_json
from heathertackd._response_bodies import read_limited

_CONNECT_TIMEOUT_SECONDS = 2.0
_REQUEST_TIMEOUT_SECONDS = 1.0
_CANCEL_TIMEOUT_SECONDS = 2.0
_EVENT_PREFIX = b"data: "
_DONE_MARKER = b"[DONE]"
_MAX_EVENT_BYTES = 1024 * 1024
_MAX_REPORT_BYTES = 1024 * 1024
#: A longer description of an error is cut off.
_MAX_ERROR_BYTES = 500

Shape = TypeVar("Shape")


class EngineEvent(NamedTuple):
    """One event of a generation stream."""

    generation_id: str
    offset: int
    text: str
    #: Finish reason, empty in all events but the last.
    finish_reason: str


class LinkError(NamedTuple):
    """Why a link closed before the end of the response."""

    failure: LinkFailure
    detail: str


class _WireEvent(TypedDict):
    id: str
    offset: Count
    text: NotRequired[str]
    finish_reason: NotRequired[str | None]


class StatusDocument(TypedDict):
    """Load report of an engine as it is sent."""

    sequence: Count
    running: Count
    waiting: Count
    cache_tokens: Count
    cache_capacity: Count
    preemptions: Count
    model: NotRequired[str]
    version: NotRequired[str]
    adapters: NotRequired[list[str]]
    fencing_number: NotRequired[Count]
    is_loading: NotRequired[bool]


class CacheEvent(NamedTuple):
    """Prompt prefixes that an engine stored in or evicted from its cache."""

    sequence: Count
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class CacheEventsDocument(TypedDict):
    """Cache events of an engine as they are sent."""

    events: list[CacheEvent]


class EngineStatus(NamedTuple):
    """Load report of an engine and the configuration it was ordered to apply."""

    load: EngineLoad
    model: str
    version: str
    adapters: tuple[str, ...]
    fencing_number: int
    is_loading: bool


class EngineClient:
    """Sends requests to model engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to targets.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def open_stream(
        self, address: str, path: str, body: dict[str, Any]
    ) -> Result[aiohttp.ClientResponse, LinkError]:
        """Start a generation.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        path : str
            API path of the caller's request.
        body : dict
            Body of the request.

        Returns
        -------
        Result[ClientResponse, LinkError]
            The open stream, or why it could not be opened.
        """
        request = self._session.post(
            f"http://{address}{path}", json=body, timeout=_stream_timeout()
        )
        return await _await_response(request)

    async def resume_stream(
        self, address: str, attempt_id: str, offset: int
    ) -> Result[aiohttp.ClientResponse, LinkError]:
        """Continue a generation from an offset."""
        request = self._session.get(
            f"http://{address}/v1/generations/{attempt_id}",
            params={"from": str(offset)},
            timeout=_stream_timeout(),
        )
        return await _await_response(request)

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Cancel a generation at an engine; failures are ignored."""
        url = f"http://{address}/v1/generations/{attempt_id}"
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def fetch_status(self, address: str) -> EngineStatus | None:
        """Return the load report of an engine, ``None`` if it can't be fetched."""
        document = await self._fetch(f"http://{address}/load", StatusDocument)
        if document is None:
            return None
        load = EngineLoad(
            sequence=document["sequence"],
            running=document["running"],
            waiting=document["waiting"],
            cache_tokens=document["cache_tokens"],
            cache_capacity=document["cache_capacity"],
            preemptions=document["preemptions"],
        )
        return EngineStatus(
            load,
            document.get("model", ""),
            document.get("version", ""),
            tuple(document.get("adapters", ())),
            document.get("fencing_number", 0),
            document.get("is_loading", False),
        )

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number, none on failure."""
        url = f"http://{address}/cache_events?after={after}"
        document = await self._fetch(url, CacheEventsDocument)
        return tuple(document["events"]) if document is not None else ()

    async def send_order(self, address: str, order: dict[str, Any]) -> int:
        """Send an order to an engine; return the HTTP status, 0 on failure."""
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        url = f"http://{address}/orders"
        try:
            async with self._session.post(url, json=order, timeout=timeout) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _fetch(self, url: str, shape: type[Shape]) -> Shape | None:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                body = await read_limited(response, _MAX_REPORT_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        return decode_json(url, body, shape).value_or(None)


async def read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[tuple[EngineEvent, ...]]:
    """Yield the events of a stream, batched as they were received.

    Raises
    ------
    aiohttp.ClientError
        If the connection breaks, or an event is too long or malformed.
    """
    buffered = b""
    while True:
        chunk = await response.content.readany()
        if not chunk:
            return
        *lines, buffered = (buffered + chunk).split(b"\n")
        if len(buffered) > _MAX_EVENT_BYTES:
            raise aiohttp.ClientPayloadError("stream event exceeds the size limit")
        events = tuple(parse_event_line(line) for line in lines if _is_event(line))
        if events:
            yield events


def _is_event(line: bytes) -> bool:
    data = line.strip()
    return data.startswith(_EVENT_PREFIX) and not data.endswith(_DONE_MARKER)


def parse_event_line(line: bytes) -> EngineEvent:
    """Parse the line of a stream that holds an event.

    Raises
    ------
    aiohttp.ClientPayloadError
        If it holds none.
    """
    data = line.strip()[len(_EVENT_PREFIX) :]
    decoded = decode_json("stream event", data, _WireEvent)
    if isinstance(decoded, Failure):
        raise aiohttp.ClientPayloadError(str(decoded.failure()))
    event: _WireEvent = decoded.unwrap()
    return EngineEvent(
        event["id"],
        event["offset"],
        event.get("text", ""),
        event.get("finish_reason") or "",
    )


def _stream_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS)


async def _await_response(
    request: Any,
) -> Result[aiohttp.ClientResponse, LinkError]:
    try:
        response: aiohttp.ClientResponse = await request
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return Failure(LinkError(LinkFailure.UNREACHABLE, str(error)))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Failure(LinkError(LinkFailure.BROKEN, str(error)))
    if response.status == 200:
        return Success(response)
    try:
        detail = (await response.content.read(_MAX_ERROR_BYTES)).decode(
            errors="replace"
        )
    except (TimeoutError, aiohttp.ClientError, OSError):
        detail = ""
    response.close()
    return Failure(LinkError(_classify_status(response.status), detail))


def _classify_status(status: int) -> LinkFailure:
    if status in (404, 410):
        return LinkFailure.UNKNOWN_GENERATION
    if status in (429, 503):
        return LinkFailure.BUSY
    if 400 <= status < 500:
        return LinkFailure.INVALID_REQUEST
    return LinkFailure.BROKEN
