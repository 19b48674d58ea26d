"""The stand-in weight store, which serves one load at a time."""

from __future__ import annotations

import asyncio

from aiohttp import web


class StoreServer:
    """Serves weights slowly and refuses a second reader meanwhile.

    Parameters
    ----------
    load_seconds : float
        Time that one load takes.
    """

    def __init__(self, load_seconds: float) -> None:
        self._load_seconds = load_seconds
        self._readers = 0
        self._refused = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self._give_weights)
        app.router.add_get("/refused", self._give_refused)
        return app

    async def _give_weights(self, request: web.Request) -> web.Response:
        del request
        if self._readers:
            self._refused += 1
            headers = {"Retry-After": str(self._load_seconds)}
            return web.json_response({"error": "busy"}, status=429, headers=headers)
        self._readers += 1
        try:
            await asyncio.sleep(self._load_seconds)
        finally:
            self._readers -= 1
        return web.json_response({"weights": "loaded"})

    async def _give_refused(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"refused": self._refused})
