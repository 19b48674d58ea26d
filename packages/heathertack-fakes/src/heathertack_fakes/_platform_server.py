"""Fake platform that lists live and leaving instances."""

from __future__ import annotations

from typing import Any

from aiohttp import web


class PlatformServer:
    """Serves a list of instances that a test can replace.

    Parameters
    ----------
    instances : list of dict
        Initial list.
    """

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self._instances = instances

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/instances", self._get_instances)
        app.router.add_put("/instances", self._set_instances)
        return app

    async def _get_instances(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"instances": self._instances})

    async def _set_instances(self, request: web.Request) -> web.Response:
        document = await request.json()
        self._instances = document["instances"]
        return web.json_response({"done": True})
