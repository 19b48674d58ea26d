"""Reads request bodies within limits on size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from heathertackd._bounded_server import ConnectionDroppedError, UnreadableBodyError
from heathertackd._refusals import RefusedError, body_too_large, not_run


async def _send_continue(request: web.BaseRequest) -> None:
    """Let the caller send the body it announced.

    Raises
    ------
    ConnectionDroppedError
        If the connection is closed.
    """
    try:
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    except ConnectionError as error:
        message = "the connection was closed before the body was asked for"
        raise ConnectionDroppedError(message) from error


async def read_body(request: web.BaseRequest, max_bytes: int, timeout: float) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    request : web.BaseRequest
        Request whose body is read.
    max_bytes : int
        Maximum size of the body.
    timeout : float
        Time within which the whole body must arrive, seconds.

    Raises
    ------
    RefusedError
        If the body is too large, unreadable, or does not arrive in time.
    ConnectionDroppedError
        If the connection is closed before the body has arrived.
    """
    if request.content_length is not None and request.content_length > max_bytes:
        raise RefusedError(body_too_large(max_bytes))
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await _send_continue(request)
    body = bytearray()
    try:
        async with asyncio.timeout(timeout):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    raise RefusedError(body_too_large(max_bytes))
        return bytes(body)
    except TimeoutError as error:
        message = "the body did not arrive in time"
        raise RefusedError(not_run("request_timeout", message)) from error
    except UnreadableBodyError as error:
        message = f"the body can't be read: {error}"
        raise RefusedError(not_run("invalid_request", message)) from error
    except (ConnectionError, RuntimeError) as error:
        if request.transport is not None:
            raise
        message = "the connection was closed before the body had arrived"
        raise ConnectionDroppedError(message) from error
    finally:
        # The traceback of an error may keep this frame for long.
        body.clear()
