"""The stand-in plain service, which counts what it runs."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

_REQUEST_ID = "X-Request-Id"


class PlainServer:
    """Books seats and counts executions by idempotency key."""

    def __init__(self) -> None:
        self._executions: Counter[str] = Counter()
        self._delay = 0.0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(_repeat_request_id)
        app.router.add_post("/bookings", self._book)
        app.router.add_get("/schedule", self._give_schedule)
        app.router.add_get("/executions", self._give_executions)
        app.router.add_post("/delay", self._set_delay)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        self._executions[key] += 1
        number = self._executions.total()
        await asyncio.sleep(self._delay)
        return web.json_response({"booking": number}, status=201)

    async def _give_schedule(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"seats": 12})

    async def _give_executions(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(dict(self._executions))

    async def _set_delay(self, request: web.Request) -> web.Response:
        document = await request.json()
        self._delay = float(document["seconds"])
        return web.json_response({"done": True})


async def _repeat_request_id(
    request: web.Request, response: web.StreamResponse
) -> None:
    if _REQUEST_ID in request.headers:
        response.headers[_REQUEST_ID] = request.headers[_REQUEST_ID]
