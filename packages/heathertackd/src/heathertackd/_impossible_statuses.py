"""Refuses responses of targets whose status is no final status of HTTP."""

from __future__ import annotations

import aiohttp

from heathertack.decoding import is_final_status


class ImpossibleStatusError(aiohttp.ClientError):
    """A response has a status that answers no request, such as 000 or 600."""


async def refuse_impossible_statuses(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Treat a response with an impossible status as one that was lost.

    Nothing that such a response says is used: neither its body nor its headers.

    Raises
    ------
    ImpossibleStatusError
        If the status of the response is not final.
    """
    response = await handler(request)
    if is_final_status(response.status):
        return response
    response.close()
    raise ImpossibleStatusError(f"status {response.status:03}, expected 200 to 599")
