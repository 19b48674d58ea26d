"""Signed HTTP requests of an operator."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from heathertack.operators import RequestContent, sign_request

_MOST_REDIRECTIONS = 2
_NOT_LEADER_STATUS = 421
_PAUSE_SECONDS = 0.2


class Operator(NamedTuple):
    """Who sends requests, and where to."""

    name: str
    #: Ed25519 key, base64.
    secret_key: str
    #: ``ip:port`` of an instance.
    server: str
    #: Longest wait for an answer, seconds.
    timeout: float


class Response(NamedTuple):
    """Answer of an instance."""

    status: int
    document: Any


class ServerError(NamedTuple):
    """No usable answer came."""

    message: str


async def send_request(
    operator: Operator, method: str, path: str, document: object = None
) -> Result[Response, ServerError]:
    """Send a request to an instance, or to the leader that it names.

    While no instance leads, it is sent again until the time is over. Every
    request of an operator may be repeated without harm.

    Parameters
    ----------
    operator : Operator
        Who sends it, and where to.
    method, path : str
        Method and path with query.
    document : object
        JSON body, ``None`` for no body.

    Returns
    -------
    Result[Response, ServerError]
        The answer.
    """
    body = b"" if document is None else msgspec.json.encode(document)
    content = RequestContent(method, path, body)
    deadline = time.monotonic() + operator.timeout
    async with aiohttp.ClientSession() as session:
        while True:
            result = await _ask_once(session, operator, content)
            is_over = time.monotonic() >= deadline
            if isinstance(result, Success) or is_over:
                return result
            await asyncio.sleep(_PAUSE_SECONDS)


async def _ask_once(
    session: aiohttp.ClientSession, operator: Operator, content: RequestContent
) -> Result[Response, ServerError]:
    """Ask the given instance and, if it names one, the leader."""
    server = operator.server
    try:
        async with asyncio.timeout(operator.timeout):
            for _ in range(_MOST_REDIRECTIONS):
                answer = await _send(session, operator, server, content)
                if answer.status != _NOT_LEADER_STATUS:
                    return Success(answer)
                server = answer.document["error"]["address"]
                if not server:
                    break
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
        return Failure(ServerError(f"{server}: no answer: {error!r}"))
    return Failure(ServerError("no instance leads at present"))


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
