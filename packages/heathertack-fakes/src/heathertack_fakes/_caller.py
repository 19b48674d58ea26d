"""Requests of a caller, sent with a plain HTTP client."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp
import msgspec

_EVENT_PREFIX = b"data: "


class StreamedResponse(NamedTuple):
    """Response to a streamed generation, as received by the caller."""

    status: int
    text: str
    #: Whether the end marker was received.
    is_complete: bool
    #: Error document, empty if no error was received.
    error: dict[str, Any]
    request_id: str


async def fetch_addresses(
    session: aiohttp.ClientSession, address: str, service: str
) -> list[str]:
    """Return the addresses that an instance lists for a service."""
    url = f"http://{address}/v1/addresses?service={service}"
    async with session.get(url) as response:
        document = await response.json()
    return [item["address"] for item in document["addresses"]]


async def stream_chat(
    session: aiohttp.ClientSession, address: str, key: str, prompt: str, **options: Any
) -> StreamedResponse:
    """Stream one chat completion and return the collected response."""
    body = {
        "model": "tutor-model",
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        **options,
    }
    url = f"http://{address}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {key}"}
    async with session.post(url, json=body, headers=headers) as response:
        request_id = response.headers.get("X-Request-Id", "")
        if response.status != 200:
            document = await response.json()
            return StreamedResponse(
                response.status, "", False, document["error"], request_id
            )
        return await _read_stream(response, request_id)


async def _read_stream(
    response: aiohttp.ClientResponse, request_id: str
) -> StreamedResponse:
    texts: list[str] = []
    error: dict[str, Any] = {}
    is_complete = False
    async for line in response.content:
        if not line.startswith(_EVENT_PREFIX):
            continue
        data = line[len(_EVENT_PREFIX) :].strip()
        if data == b"[DONE]":
            is_complete = True
            continue
        document = msgspec.json.decode(data)
        if "error" in document:
            error = document["error"]
        else:
            texts.append(document["choices"][0]["delta"].get("content", ""))
    return StreamedResponse(200, "".join(texts), is_complete, error, request_id)


class BookingResponse(NamedTuple):
    """Response to a booking, as received by the caller."""

    status: int
    document: dict[str, Any]
    #: Whether the response is marked as a replay of an earlier one.
    is_replay: bool


async def book_seat(
    session: aiohttp.ClientSession,
    address: str,
    key: str,
    idempotency_key: str,
    seat: int,
) -> BookingResponse:
    """Book a seat under an idempotency key."""
    url = f"http://{address}/v1/services/studio-portal/bookings"
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": idempotency_key,
    }
    async with session.post(url, json={"seat": seat}, headers=headers) as response:
        document = await response.json()
        is_replay = "Idempotent-Replayed" in response.headers
        return BookingResponse(response.status, document, is_replay)
