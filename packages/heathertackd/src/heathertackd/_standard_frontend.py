"""The product's own frontend for callers and operators."""

from __future__ import annotations

import asyncio
import math
from functools import partial

import aiohttp
from aiohttp import web

from heathertack.blackboard import BUNDLE
from heathertack.settings import resolve_limits
from heathertackd import _clock
from heathertackd._bounded_server import BoundedAppRunner, listen
from heathertackd._call_session import CallRunner, PlainClient
from heathertackd._caller_api import CallerApi
from heathertackd._caller_limits import choose_connection_bounds
from heathertackd._connection_guard import (
    ConnectionGuard,
    close_listener,
    has_open_requests,
)
from heathertackd._engine_client import EngineClient
from heathertackd._instance import Instance
from heathertackd._operator_api import OperatorApi
from heathertackd._order_runner import OrderRunner
from heathertackd._supervision import BackgroundWork
from heathertackd._watchers import LoadWatcher, PlatformWatcher, StandardTargetLister
from heathertackd.forwarding import (
    Forwarder,
    StandardDialect,
    open_forwarding_session,
)

#: Name, colon and line end of the shortest header field.
_MIN_HEADER_FIELD_BYTES = 4
#: Maximum wait for open connections after the listener is closed. One that opened at
#: that moment is told to close before it reads, and then never ends by itself.
_CLOSE_TIMEOUT_SECONDS = 1.0
#: Number of callers that may wait to be accepted.
_BACKLOG = 100


class StandardFrontend:
    """Serves completions, calls, forwarded routes and operators on one listener.

    Parameters
    ----------
    instance : Instance
        The daemon.
    session : aiohttp.ClientSession
        HTTP session for targets and the platform.
    """

    def __init__(self, instance: Instance, session: aiohttp.ClientSession) -> None:
        self._instance = instance
        self._session = session
        self._engines = EngineClient(session)
        self._calls = CallRunner(instance, PlainClient(session))
        self._target_session = open_forwarding_session(instance.connections)
        self._forwarder = Forwarder(instance, self._target_session, StandardDialect())
        limits = resolve_limits(instance.settings)
        self._guard = ConnectionGuard(
            lambda: choose_connection_bounds(instance.board.read(BUNDLE).bundle, limits)
        )
        app = web.Application(client_max_size=limits.max_body_bytes)
        CallerApi(instance, self._engines, self._calls).add_routes(app)
        OperatorApi(instance).add_routes(app)
        # Added last: a path that the product does not use may be a route of the bundle.
        app.router.add_route("*", "/{path:.*}", self._forwarder.handle)
        self._listener: asyncio.Server | None = None
        self._accepted_until = math.inf
        self._runner = BoundedAppRunner(
            app,
            instance.caller_memory,
            instance.request_errors,
            handler_cancellation=True,
            access_log=None,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            shutdown_timeout=_CLOSE_TIMEOUT_SECONDS,
            max_headers=limits.max_header_bytes // _MIN_HEADER_FIELD_BYTES,
        )

    async def start(self) -> None:
        """Open the listener."""
        await self._runner.setup()
        server = self._runner.server
        if server is None:
            raise RuntimeError("the runner has no server")
        http = self._instance.settings["http"]
        memory = self._instance.caller_memory
        self._listener = await listen(
            server, http["host"], http["port"], memory, _BACKLOG
        )

    def background_work(self) -> tuple[BackgroundWork, ...]:
        """Return the work that runs until the daemon stops."""
        lister = StandardTargetLister(
            self._instance.settings["platform_url"], self._session
        )
        work = [
            BackgroundWork("target_list", PlatformWatcher(self._instance, lister).run),
            BackgroundWork(
                "load_reports", LoadWatcher(self._instance, self._engines).run
            ),
            BackgroundWork("stream_monitor", self._forwarder.monitor_streams),
        ]
        if self._instance.control_log is not None:
            orders = OrderRunner(self._instance, self._engines)
            work.append(BackgroundWork("orders", orders.run))
        server = self._runner.server
        if server is not None:
            sweep = partial(self._guard.run, server)
            work.append(BackgroundWork("connection_guard", sweep))
        return tuple(work)

    def stop_accepting(self) -> None:
        """Wait for no heads on connections that open from now on.

        The listener stays open: operators use the same one as callers, who could hold
        the process for ever.
        """
        self._accepted_until = min(self._accepted_until, _clock.monotonic())

    def limit_time(self, until: float) -> None:
        """Answer all forwarded requests by a time on the monotonic clock, seconds."""
        self._forwarder.limit_time(until)

    def has_open_requests(self) -> bool:
        """Return whether anything has arrived on the listener that is not answered."""
        server = self._runner.server
        return server is not None and has_open_requests(server, self._accepted_until)

    def has_unrecorded_work(self) -> bool:
        """Return whether outcomes of calls are still being recorded."""
        return bool(self._calls.pending_records)

    async def stop(self) -> None:
        """Close the listener and the connections to targets."""
        server = self._runner.server
        if self._listener is not None and server is not None:
            await close_listener(self._listener, server, _CLOSE_TIMEOUT_SECONDS)
        await self._runner.cleanup()
        await self._target_session.close()
