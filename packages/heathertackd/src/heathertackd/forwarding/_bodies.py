"""Reads bodies of requests within bounds of size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from heathertackd._refusals import RefusedError, not_run, too_large


async def read_body(request: web.BaseRequest, most: int, seconds: float) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    most : int
        Largest body, bytes.
    seconds : float
        Longest time that the body may take.

    Raises
    ------
    RefusedError
        If the body is too large or late.
    """
    if request.content_length is not None and request.content_length > most:
        raise RefusedError(too_large(most))
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    body = bytearray()
    try:
        async with asyncio.timeout(seconds):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > most:
                    raise RefusedError(too_large(most))
    except TimeoutError as error:
        message = "the body did not arrive in time"
        raise RefusedError(not_run("request_timeout", message)) from error
    return bytes(body)
