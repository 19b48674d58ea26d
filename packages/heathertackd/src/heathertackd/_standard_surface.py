"""The product's own interface for callers and operators."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import aiohttp
from aiohttp import web

from heathertack.settings import resolve_limits
from heathertackd._call_session import CallRunner, PlainClient
from heathertackd._connection_guard import ConnectionGuard
from heathertackd._engine_client import EngineClient
from heathertackd._front import Front
from heathertackd._instance import Instance
from heathertackd._operator_api import OperatorApi
from heathertackd._order_runner import OrderRunner
from heathertackd._watchers import LoadWatcher, PlatformWatcher, StandardTargetLister


class StandardSurface:
    """Completions, calls and the operator's interface on one listener.

    Parameters
    ----------
    instance : Instance
        The daemon.
    session : aiohttp.ClientSession
        Connections to targets and to the platform.
    """

    def __init__(self, instance: Instance, session: aiohttp.ClientSession) -> None:
        self._instance = instance
        self._session = session
        self._engines = EngineClient(session)
        self._calls = CallRunner(instance, PlainClient(session))
        limits = resolve_limits(instance.settings)
        self._guard = ConnectionGuard(
            limits.max_connections, limits.request_read_timeout
        )
        app = web.Application(
            client_max_size=limits.max_body_bytes, middlewares=[self._guard.middleware]
        )
        Front(instance, self._engines, self._calls).add_routes(app)
        OperatorApi(instance).add_routes(app)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
        )

    async def start(self) -> None:
        """Open the listener."""
        await self._runner.setup()
        http = self._instance.settings["http"]
        await web.TCPSite(self._runner, http["host"], http["port"]).start()

    def background_work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs until the daemon stops."""
        work: list[Coroutine[Any, Any, None]] = [
            PlatformWatcher(
                self._instance,
                StandardTargetLister(
                    self._instance.settings["platform_url"], self._session
                ),
            ).run(),
            LoadWatcher(self._instance, self._engines).run(),
        ]
        if self._instance.control_log is not None:
            work.append(OrderRunner(self._instance, self._engines).run())
        if self._runner.server is not None:
            work.append(self._guard.run(self._runner.server))
        return tuple(work)

    def leave(self) -> None:
        """Begin to leave; callers learn it with the next answer about addresses."""

    def may_stop(self, now: float) -> bool:
        """Tell whether no request is open and no caller may come any more."""
        return self._instance.drain.may_stop(now) and not self._calls.pending_records

    async def stop(self) -> None:
        """Close the listener."""
        await self._runner.cleanup()
