"""Cost of relaying tokens: processor time, added latency and memory."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp

from heathertack_fakes import (
    CALLER_KEY,
    HOST,
    LocalSystem,
    SystemShape,
)
from heathertack_fakes.bench._figures import print_table, quantile, read_process_usage

_SETTLE_SECONDS = 2.0
_STREAM_COUNTS = (50, 200)
_TOKENS_PER_STREAM = 200
_STEP_SECONDS = 0.04
_OPEN_STREAMS = (0, 200, 400)

SHAPE = SystemShape(
    daemons=1,
    engines=1,
    plain_services=0,
    engine_cache_tokens=10_000_000,
    engine_step_seconds=_STEP_SECONDS,
)


class _Route(NamedTuple):
    """Server and headers with which a stream is opened."""

    name: str
    port: int
    headers: dict[str, str]


async def measure_relay(system: LocalSystem) -> None:
    """Print delay and processor time of streams, direct and through a daemon."""
    name = system.names[0]
    key = {"Authorization": f"Bearer {CALLER_KEY}"}
    through = _Route("daemon", system.http_ports[name], key)
    direct = _Route("direct", system.engine_ports[0], {})
    rows: list[list[str]] = []
    for count in _STREAM_COUNTS:
        for route in (direct, through):
            before = read_process_usage(system.pid(name))
            started = time.monotonic()
            delays = await _run_streams(route, count)
            elapsed = time.monotonic() - started
            cpu = read_process_usage(system.pid(name)).cpu - before.cpu
            rows.append(
                [
                    str(count),
                    route.name,
                    f"{len(delays) / elapsed:.0f}",
                    f"{quantile(delays, 0.5) * 1000:.2f}",
                    f"{quantile(delays, 0.99) * 1000:.2f}",
                    f"{cpu / elapsed:.2f}",
                    f"{len(delays) / cpu:.0f}" if route is through else "-",
                ]
            )
    print("Relay of tokens; delay from the engine's write to the caller's read\n")
    print_table(
        (
            "streams",
            "route",
            "tokens/s",
            "delay p50 ms",
            "delay p99 ms",
            "daemon cores",
            "tokens per core-second",
        ),
        rows,
    )


async def measure_stream_memory(system: LocalSystem) -> None:
    """Print the memory use of a daemon with open streams."""
    name = system.names[0]
    key = {"Authorization": f"Bearer {CALLER_KEY}"}
    route = _Route("daemon", system.http_ports[name], key)
    rows: list[list[str]] = []
    initial_memory = 0
    async with _open_session() as session:
        tasks: list[asyncio.Task[list[float]]] = []
        for count in _OPEN_STREAMS:
            while len(tasks) < count:
                tasks.append(asyncio.create_task(_stream(session, route, 100_000)))
            await asyncio.sleep(_SETTLE_SECONDS * 2)
            memory = read_process_usage(system.pid(name)).memory
            initial_memory = initial_memory or memory
            per_stream = (memory - initial_memory) / count / 1024 if count else 0.0
            rows.append([str(count), f"{memory / 2**20:.1f}", f"{per_stream:.1f}"])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    print("Memory of a daemon with open streams\n")
    print_table(("open streams", "memory MB", "KB per stream"), rows)


def _open_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=None)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=timeout
    )


async def _run_streams(route: _Route, count: int) -> list[float]:
    async with _open_session() as session:
        streams = (_stream(session, route, _TOKENS_PER_STREAM) for _ in range(count))
        results = await asyncio.gather(*streams)
    return [delay for delays in results for delay in delays]


async def _stream(
    session: aiohttp.ClientSession, route: _Route, tokens: int
) -> list[float]:
    """Return the delay of each token of one stream, seconds."""
    body: dict[str, Any] = {
        "id": f"bench-{time.monotonic_ns()}",
        "model": "tutor-model",
        "prompt": f"[[length={tokens}]] [[timed]]",
        "stream": True,
    }
    url = f"http://{HOST}:{route.port}/v1/completions"
    delays: list[float] = []
    async with session.post(url, json=body, headers=route.headers) as response:
        if response.status != 200:
            raise RuntimeError(await response.text())
        async for line in response.content:
            text_start = line.find(b'"@')
            if text_start >= 0:
                sent = float(line[text_start + 2 : line.index(b'"', text_start + 2)])
                delays.append(time.monotonic() - sent)
    return delays
