"""Fake weight store that serves one load at a time."""

from __future__ import annotations

import asyncio

from aiohttp import web


class StoreServer:
    """Serves weights after a delay and refuses concurrent loads.

    Parameters
    ----------
    load_seconds : float
        Duration of one load.
    """

    def __init__(self, load_seconds: float) -> None:
        self._load_seconds = load_seconds
        self._active_loads = 0
        self._refused_count = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self._get_weights)
        app.router.add_get("/refused", self._get_refused_count)
        return app

    async def _get_weights(self, request: web.Request) -> web.Response:
        del request
        if self._active_loads:
            self._refused_count += 1
            headers = {"Retry-After": str(self._load_seconds)}
            return web.json_response({"error": "busy"}, status=429, headers=headers)
        self._active_loads += 1
        try:
            await asyncio.sleep(self._load_seconds)
        finally:
            self._active_loads -= 1
        return web.json_response({"weights": "loaded"})

    async def _get_refused_count(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"refused": self._refused_count})
