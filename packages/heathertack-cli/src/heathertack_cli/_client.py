"""Signed HTTP requests of an operator."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from heathertack.operators import RequestContent, sign_request

_MOST_REDIRECTIONS = 4


class Operator(NamedTuple):
    """Who sends requests, and where to."""

    name: str
    #: Ed25519 key, base64.
    secret_key: str
    #: ``ip:port`` of an instance.
    server: str
    #: Longest wait for an answer, seconds.
    timeout: float


class Answer(NamedTuple):
    """Answer of an instance."""

    status: int
    document: Any


class ServerError(NamedTuple):
    """No usable answer came."""

    message: str


async def ask(
    operator: Operator, method: str, path: str, document: object = None
) -> Result[Answer, ServerError]:
    """Send a request to an instance, or to the leader that it names.

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
    Result[Answer, ServerError]
        The answer.
    """
    body = b"" if document is None else msgspec.json.encode(document)
    content = RequestContent(method, path, body)
    server = operator.server
    timeout = aiohttp.ClientTimeout(total=operator.timeout)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for _ in range(_MOST_REDIRECTIONS):
                answer = await _send(session, operator, server, content)
                if answer.status != 421:
                    return Success(answer)
                leader = answer.document["error"]["address"]
                if not leader:
                    return Failure(ServerError("no instance leads at present"))
                server = leader
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
        return Failure(ServerError(f"{server}: no answer: {error!r}"))
    return Failure(ServerError("no instance leads at present"))


async def _send(
    session: aiohttp.ClientSession,
    operator: Operator,
    server: str,
    content: RequestContent,
) -> Answer:
    headers = sign_request(operator.name, operator.secret_key, content, time.time())
    url = f"http://{server}{content.path}"
    async with session.request(
        content.method, url, data=content.body, headers=headers
    ) as response:
        return Answer(response.status, msgspec.json.decode(await response.read()))
