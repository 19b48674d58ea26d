"""Fake plain service that counts the requests it executes."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

_REQUEST_ID_HEADER = "X-Request-Id"


class PlainServer:
    """Accepts bookings and counts executions by idempotency key."""

    def __init__(self) -> None:
        self._executions: Counter[str] = Counter()
        self._delay_seconds = 0.0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(_echo_request_id)
        app.router.add_post("/bookings", self._book)
        app.router.add_get("/schedule", self._get_schedule)
        app.router.add_get("/executions", self._get_executions)
        app.router.add_post("/delay", self._set_delay)
        return app

    async def _book(self, request: web.Request) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        self._executions[key] += 1
        number = self._executions.total()
        await asyncio.sleep(self._delay_seconds)
        return web.json_response({"booking": number}, status=201)

    async def _get_schedule(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"seats": 12})

    async def _get_executions(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(dict(self._executions))

    async def _set_delay(self, request: web.Request) -> web.Response:
        document = await request.json()
        self._delay_seconds = float(document["seconds"])
        return web.json_response({"done": True})


async def _echo_request_id(request: web.Request, response: web.StreamResponse) -> None:
    if _REQUEST_ID_HEADER in request.headers:
        response.headers[_REQUEST_ID_HEADER] = request.headers[_REQUEST_ID_HEADER]
