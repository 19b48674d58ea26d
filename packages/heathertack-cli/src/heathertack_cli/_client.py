"""Signed HTTP requests of an operator."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from heathertack.operators import RequestContent, sign_request

#: The given instance and the leader that it names.
_MAX_SERVERS_PER_ATTEMPT = 2
_NOT_LEADER_STATUS = 421
_RETRY_DELAY_SECONDS = 0.2


class Operator(NamedTuple):
    """Operator who signs requests, and the instance that receives them."""

    name: str
    #: Ed25519 key, base64.
    secret_key: str
    #: ``ip:port`` of an instance.
    server: str
    #: Maximum time to wait for a response, seconds.
    timeout: float


class Response(NamedTuple):
    """Response of an instance."""

    status: int
    document: Any


class ServerError(NamedTuple):
    """Error for a request that received no usable response."""

    message: str


async def send_request(
    operator: Operator, method: str, path: str, document: object = None
) -> Result[Response, ServerError]:
    """Send a request to an instance, or to the leader that it names.

    Without a leader or a usable response, the request is retried until the timeout
    of the operator. Retries are safe because operator requests are idempotent.

    Parameters
    ----------
    operator : Operator
        Operator who signs the request, and the instance to send it to.
    method, path : str
        Method and path with query.
    document : object
        JSON body, ``None`` for no body.

    Returns
    -------
    Result[Response, ServerError]
        The response, or the error of the last attempt.
    """
    body = b"" if document is None else msgspec.json.encode(document)
    content = RequestContent(method, path, body)
    deadline = time.monotonic() + operator.timeout
    async with aiohttp.ClientSession() as session:
        while True:
            result = await _send_once(session, operator, content)
            is_timed_out = time.monotonic() >= deadline
            if isinstance(result, Success) or is_timed_out:
                return result
            await asyncio.sleep(_RETRY_DELAY_SECONDS)


async def _send_once(
    session: aiohttp.ClientSession, operator: Operator, content: RequestContent
) -> Result[Response, ServerError]:
    """Send a request to the given instance and, if it names one, to the leader."""
    server = operator.server
    try:
        async with asyncio.timeout(operator.timeout):
            for _ in range(_MAX_SERVERS_PER_ATTEMPT):
                response = await _send(session, operator, server, content)
                if response.status != _NOT_LEADER_STATUS:
                    return Success(response)
                server = response.document["error"]["address"]
                if not server:
                    break
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
        return Failure(ServerError(f"{server}: no response: {error!r}"))
    return Failure(ServerError("no leader is known at present"))


async def _send(
    session: aiohttp.ClientSession,
    operator: Operator,
    server: str,
    content: RequestContent,
) -> Response:
    headers = sign_request(operator.name, operator.secret_key, content, time.time())
    url = f"http://{server}{content.path}"
    async with session.request(
        content.method, url, data=content.body, headers=headers
    ) as response:
        return Response(response.status, msgspec.json.decode(await response.read()))
