"""A caller with nothing but an HTTP client."""

from __future__ import annotations

from typing import Any, NamedTuple

import aiohttp
import msgspec

_EVENT_PREFIX = b"data: "


class StreamedResponse(NamedTuple):
    """What a caller saw of a streamed generation."""

    status: int
    text: str
    #: Whether the end marker came.
    is_complete: bool
    #: Error document, empty for none.
    error: dict[str, Any]
    request_id: str


async def fetch_addresses(
    session: aiohttp.ClientSession, address: str, service: str
) -> list[str]:
    """Ask an instance which addresses to use."""
    url = f"http://{address}/v1/addresses?service={service}"
    async with session.get(url) as response:
        document = await response.json()
    return [item["address"] for item in document["addresses"]]


async def stream_chat(
    session: aiohttp.ClientSession, address: str, key: str, prompt: str, **options: Any
) -> StreamedResponse:
    """Stream one chat completion."""
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
        return await _read_answer(response, request_id)


async def _read_answer(
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
    """What a caller saw of a booking."""

    status: int
    document: dict[str, Any]
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
