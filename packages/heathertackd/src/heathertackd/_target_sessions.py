"""HTTP sessions whose connections to targets are opened by any path."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from heathertackd._bounded_connector import BoundedConnector
from heathertackd._impossible_statuses import refuse_impossible_statuses
from heathertackd._relay_protocol import RelayedProtocol
from heathertackd._target_connections import (
    CONNECT_TIMEOUT_SECONDS,
    OpenedConnection,
    TargetConnections,
    open_directly,
)


class TargetConnector(BoundedConnector):
    """Opens the connections of a session, each for one request.

    Connections are not reused: a second copy of an answer that comes late can't be
    taken for the answer to the next request.

    Parameters
    ----------
    connections : TargetConnections or None
        Selects the paths to targets; ``None`` for direct connections only.
    """

    def __init__(self, connections: TargetConnections | None = None) -> None:
        super().__init__(limit=0, force_close=True)
        self._connections = connections

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: Any,
        timeout: Any,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        del timeout
        host, port = addr_infos[0][4][:2]
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            opened = await self._open(address)
        except TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error
        if not opened.relay:
            return await self._loop.create_connection(
                *args, **kwargs, sock=opened.connection
            )
        protocol: ResponseHandler = self._factory()
        transport, _ = await self._loop.create_connection(
            lambda: RelayedProtocol(protocol), sock=opened.connection
        )
        return transport, protocol

    async def _open(self, address: str) -> OpenedConnection:
        if self._connections is not None:
            return await self._connections.open(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return OpenedConnection(await open_directly(address), "")


def open_session(connections: TargetConnections | None = None) -> aiohttp.ClientSession:
    """Return a session for the platform's list and for targets."""
    return aiohttp.ClientSession(
        connector=TargetConnector(connections),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(refuse_impossible_statuses,),
    )
