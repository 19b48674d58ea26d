"""Fake engine with an HTTP interface."""

from __future__ import annotations

import asyncio
import os
import re
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import aiohttp
import msgspec
from aiohttp import web

from heathertack.policy import digest_prefixes
from heathertack_fakes._engine_model import (
    EngineModel,
    EngineRequest,
    EngineSize,
    EngineSpeed,
    GeneratedToken,
)

_LENGTH_MARKER = re.compile(r"\[\[length=(\d+)\]\]")
_CRASH_MARKER = re.compile(r"\[\[crash(?:=(\d+))?\]\]")
_TIMED_MARKER = "[[timed]]"
_DEFAULT_LENGTH_TOKENS = 24
_POLL_INTERVAL_SECONDS = 0.005
_CHARACTERS_PER_TOKEN = 4


class EngineFaults(NamedTuple):
    """Faults that a test injects."""

    #: Whether streams send nothing while the generation continues.
    stalls_streams: bool = False
    #: Whether each event is sent twice, with an event of another generation between.
    mixes_events: bool = False
    #: Interval of offsets at which an event is omitted, 0 for no omission. The fault
    #: is cleared after the first omission.
    omits_every: int = 0


class _Generation:
    """Generated tokens of one generation, stored so that streams can resume."""

    def __init__(self, crash_at: int | None, is_timed: bool) -> None:
        self.is_timed = is_timed
        self.tokens: list[str] = []
        self.is_ended = False
        self.crash_at = crash_at
        self.changed = asyncio.Event()

    def add(self, token: GeneratedToken) -> None:
        """Store a token and notify the streams."""
        timed = f"@{time.monotonic():.6f}"
        self.tokens.append(timed if self.is_timed else f"t{token.offset} ")
        self.is_ended = token.is_last
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class EngineServer:
    """Serves a simulated engine whose behaviour is set by markers in the prompt.

    ``[[length=N]]`` sets the number of generated tokens. ``[[crash=N]]`` ends the
    process when the token at offset N is generated. With ``[[timed]]`` the text of
    each token is ``@`` and the monotonic time at which it was generated, seconds.

    Parameters
    ----------
    size : EngineSize
        Capacity limits of the engine.
    speed : EngineSpeed
        Components of the step duration.
    store_url : str
        URL of the weight store; if empty, weights load immediately.
    checks_fencing : bool
        Whether orders with an outdated fencing token are refused.
    """

    def __init__(
        self,
        size: EngineSize,
        speed: EngineSpeed,
        store_url: str = "",
        checks_fencing: bool = True,
    ) -> None:
        self._store_url = store_url
        self._checks_fencing = checks_fencing
        self._load_tasks: set[asyncio.Task[None]] = set()
        self._model = EngineModel(size, speed)
        self._generations: dict[str, _Generation] = {}
        self._faults = EngineFaults()
        self._report_sequence = 0
        self._cache_events: list[tuple[int, tuple[int, ...], tuple[int, ...]]] = []
        self._orders: list[dict[str, Any]] = []
        self._fencing_number = 0
        self._weights = {"model": "tutor", "version": "1", "adapters": []}
        self._is_loading = False
        self._cancelled: list[str] = []

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/generations/{id}", self._resume)
        app.router.add_delete("/v1/generations/{id}", self._cancel)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/cache_events", self._get_cache_events)
        app.router.add_post("/orders", self._accept_order)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/seen", self._get_recorded_requests)
        app.cleanup_ctx.append(self._run_model)
        return app

    async def _run_model(self, app: web.Application) -> AsyncIterator[None]:
        del app
        task = asyncio.create_task(self._run_steps())
        yield
        task.cancel()

    async def _run_steps(self) -> None:
        while True:
            if self._model.is_idle:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                continue
            await asyncio.sleep(self._model.start_step())
            for token in self._model.finish_step():
                generation = self._generations[token.generation_id]
                if generation.crash_at == token.offset:
                    os._exit(1)
                generation.add(token)
            for change in self._model.take_prefix_changes():
                number = len(self._cache_events) + 1
                self._cache_events.append((number, change.stored, change.evicted))

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self._is_loading:
            return web.json_response({"error": "loading weights"}, status=503)
        body = msgspec.json.decode(await request.read())
        prompt = _extract_prompt(body)
        length = _LENGTH_MARKER.search(prompt)
        crash = _CRASH_MARKER.search(prompt)
        requested_length = int(length.group(1)) if length else _DEFAULT_LENGTH_TOKENS
        generation_id = body["id"]
        crash_at = int(crash.group(1) or 0) if crash else None
        self._generations[generation_id] = _Generation(
            crash_at, _TIMED_MARKER in prompt
        )
        self._model.submit(
            EngineRequest(
                generation_id,
                len(prompt) // _CHARACTERS_PER_TOKEN + 1,
                min(requested_length, body.get("max_tokens") or requested_length),
                body.get("priority", 0),
                digest_prefixes(prompt),
            )
        )
        return await self._stream(request, generation_id, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        generation_id = request.match_info["id"]
        if generation_id not in self._generations:
            return web.json_response({"error": "unknown generation"}, status=404)
        return await self._stream(request, generation_id, int(request.query["from"]))

    async def _stream(
        self, request: web.Request, generation_id: str, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        generation = self._generations[generation_id]
        while True:
            changed = generation.changed
            while offset < len(generation.tokens) and not self._faults.stalls_streams:
                text = generation.tokens[offset]
                await self._write_token(response, generation_id, offset, text)
                offset += 1
            if generation.is_ended and offset == len(generation.tokens):
                break
            await changed.wait()
            if self._faults.stalls_streams:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        end = {"id": generation_id, "offset": offset, "finish_reason": "stop"}
        await response.write(_encode_event(end) + b"data: [DONE]\n\n")
        return response

    async def _write_token(
        self, response: web.StreamResponse, generation_id: str, offset: int, text: str
    ) -> None:
        event = _encode_event({"id": generation_id, "offset": offset, "text": text})
        omits = self._faults.omits_every
        if omits and offset % omits == omits - 1:
            self._faults = self._faults._replace(omits_every=0)
            return
        if self._faults.mixes_events:
            foreign = {"id": "foreign.1", "offset": offset, "text": "FOREIGN "}
            event = event + _encode_event(foreign) + event
        await response.write(event)

    async def _cancel(self, request: web.Request) -> web.Response:
        generation_id = request.match_info["id"]
        self._model.cancel(generation_id)
        self._cancelled.append(generation_id)
        return web.json_response({"cancelled": generation_id})

    async def _get_load(self, request: web.Request) -> web.Response:
        del request
        self._report_sequence += 1
        return web.json_response(
            {
                "sequence": self._report_sequence,
                "running": self._model.running,
                "waiting": self._model.waiting,
                "cache_tokens": self._model.cache_tokens,
                "cache_capacity": self._model.cache_capacity,
                "preemptions": self._model.preemptions,
                "fencing_number": self._fencing_number,
                "is_loading": self._is_loading,
                **self._weights,
            }
        )

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = [event for event in self._cache_events if event[0] > after]
        return web.json_response({"events": events})

    async def _accept_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        is_outdated = order["fencing_number"] < self._fencing_number
        if self._checks_fencing and is_outdated:
            return web.json_response({"error": "old fencing number"}, status=409)
        self._fencing_number = max(self._fencing_number, order["fencing_number"])
        self._orders.append(order)
        task = asyncio.create_task(self._load_weights(order))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)
        return web.json_response({"accepted": True})

    async def _load_weights(self, order: dict[str, Any]) -> None:
        """Fetch the weights, waiting for Retry-After while the store is busy."""
        self._is_loading = True
        async with aiohttp.ClientSession() as session:
            while self._store_url:
                url = f"{self._store_url}/{order['model']}/{order['version']}"
                async with session.get(url) as response:
                    if response.status == 200:
                        break
                    await asyncio.sleep(float(response.headers["Retry-After"]))
        names = ("model", "version", "adapters")
        self._weights = {name: order[name] for name in names}
        self._is_loading = False

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = EngineFaults(**await request.json())
        return web.json_response({"done": True})

    async def _get_recorded_requests(self, request: web.Request) -> web.Response:
        del request
        seen = {
            "generations": list(self._generations),
            "cancelled": self._cancelled,
            "orders": self._orders,
        }
        return web.json_response(seen)


def _extract_prompt(body: dict[str, Any]) -> str:
    if "prompt" in body:
        prompt: str = body["prompt"]
        return prompt
    return "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])


def _encode_event(event: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
