"""The stand-in platform, which lists live and leaving instances."""

from __future__ import annotations

from typing import Any

from aiohttp import web


class PlatformServer:
    """Serves a list that a test sets.

    Parameters
    ----------
    instances : list of dict
        The list at the start.
    """

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self._instances = instances

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/instances", self._give)
        app.router.add_put("/instances", self._set)
        return app

    async def _give(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"instances": self._instances})

    async def _set(self, request: web.Request) -> web.Response:
        document = await request.json()
        self._instances = document["instances"]
        return web.json_response({"done": True})
