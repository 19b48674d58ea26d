"""Reads response bodies within limits on their size."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp


class ResponseTooLargeError(ValueError):
    """A response is larger than its limit, or never ends."""


class ResponseMemory:
    """Limits the memory of all bodies that are read at one time.

    Parameters
    ----------
    max_bytes : int
        Maximum size of one body, bytes.
    max_total_bytes : int
        Maximum size of all bodies together, bytes.
    """

    def __init__(self, max_bytes: int, max_total_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_total_bytes = max_total_bytes
        self._used = 0

    async def read(
        self,
        response: aiohttp.ClientResponse,
        hold: Callable[[int], None] = lambda size: None,
    ) -> bytes:
        """Return the whole body; close the connection if it exceeds a limit.

        Parameters
        ----------
        response : aiohttp.ClientResponse
            The open response.
        hold : callable
            Counts a number of bytes that are held for the caller; its errors are
            passed on.

        Raises
        ------
        ResponseTooLargeError
            If the body, or all bodies together, exceed their limit.
        aiohttp.ClientError, OSError, TimeoutError
            If the connection fails before the end of the body.
        """
        body = bytearray()
        try:
            async for chunk in response.content.iter_any():
                hold(len(chunk))
                body += chunk
                self._used += len(chunk)
                self._check(len(body))
            return bytes(body)
        except ResponseTooLargeError:
            response.close()
            raise
        finally:
            self._used -= len(body)

    def _check(self, size: int) -> None:
        if size > self._max_bytes:
            raise ResponseTooLargeError(
                f"the body has more than {self._max_bytes} bytes"
            )
        if self._used > self._max_total_bytes:
            raise ResponseTooLargeError(
                f"all bodies have more than {self._max_total_bytes} bytes"
            )


async def read_limited(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body; close the connection if it exceeds the limit.

    Raises
    ------
    ResponseTooLargeError
        If the body is larger.
    aiohttp.ClientError, OSError, TimeoutError
        If the connection fails before the end of the body.
    """
    return await ResponseMemory(max_bytes, max_bytes).read(response)
