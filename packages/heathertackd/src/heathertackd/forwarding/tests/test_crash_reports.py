"""Which broken requests are reported as crashes of their target."""

import asyncio
from typing import Any

import aiohttp
import pytest

from heathertack.controllers import QuarantineDue, RunCrashed, RunStarted
from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    Received,
    Script,
    ScriptedTarget,
    close_connection,
    respond,
    route,
    run_system,
    stream,
)

#: Longer than the probe of a target takes, seconds.
PROBE_SECONDS = 0.6
#: Number of targets that one repeated request may crash.
MAX_CRASHES = 3


def crash(system: ForwardingSystem, begin: Script | None) -> Script:
    """Return a script that crashes its target, after the response of another one."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        if begin is not None:
            await begin(received, writer)
        system.targets[0].stop()
        writer.transport.abort()

    return script


def record_events(system: ForwardingSystem) -> list[Any]:
    """Record the events that the quarantine of the instance handles."""
    events: list[Any] = []
    handle = system.instance.quarantine.handle

    def record(event: Any, now: float) -> Any:
        if not isinstance(event, QuarantineDue):
            events.append(event)
        return handle(event, now)

    system.instance.quarantine.handle = record  # type: ignore[method-assign]
    return events


async def send(system: ForwardingSystem, method: str = "POST") -> None:
    try:
        async with system.request(method) as got:
            await got.read()
    except aiohttp.ClientError:
        pass
    await asyncio.sleep(PROBE_SECONDS)


class TestCrashReports:
    # Guards against a crash that is not counted, and against lost answers or broken
    # streams of sound requests that are counted as crashes.
    @pytest.mark.parametrize(
        ("begin", "expected"),
        [
            (None, [RunCrashed]),
            (stream(1, breaks=True), [RunCrashed]),
            (stream(1, 2, 3, breaks=True), [RunStarted]),
        ],
        ids=["no event", "first event", "further events"],
    )
    async def test_crash_is_reported_unless_the_answer_had_begun(
        self, begin: Script | None, expected: list[type]
    ) -> None:
        async with run_system(route("streaming"), close_connection) as system:
            events = record_events(system)
            system.targets[0].script = crash(system, begin)
            await send(system)
            assert [type(event) for event in events] == expected

    # Guards against crashes under a GET that are taken for refused connections, because
    # the HTTP client connects to the target again.
    @pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
    async def test_crash_is_reported_whatever_the_method(self, method: str) -> None:
        async with run_system(route("idempotent"), close_connection) as system:
            events = record_events(system)
            system.targets[0].script = crash(system, None)
            await send(system, method)
            assert [type(event) for event in events] == [RunCrashed]

    @pytest.mark.parametrize(
        ("script", "expected"),
        [
            (close_connection, []),
            (stream(breaks=True), []),
            (stream(1, 2, 3), [RunStarted]),
            (stream(1), [RunStarted]),
            (respond(b"no", 500), []),
        ],
        ids=["lost answer", "broken stream", "stream", "short stream", "error"],
    )
    async def test_target_that_still_runs_did_not_crash(
        self, script: Script, expected: list[type]
    ) -> None:
        async with run_system(route("streaming"), script) as system:
            events = record_events(system)
            await send(system)
            assert [type(event) for event in events] == expected


class TestCrashesWithoutLeader:
    # Guards against a request that crashes engine after engine for as long as no leader
    # commits the reports: the admission owner has to count by itself.
    @pytest.mark.parametrize("kind", ["idempotent", "streaming"])
    async def test_repeated_request_reaches_three_targets_at_most(
        self, kind: str
    ) -> None:
        scripts = [close_connection] * 6
        async with run_system(route(kind), *scripts) as system:
            for target in system.targets:
                target.script = crash_itself(target)
            for _ in range(4):
                await send(system)
            assert system.count_received() <= MAX_CRASHES


def crash_itself(target: ScriptedTarget) -> Script:
    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        target.stop()
        writer.transport.abort()

    return script
