"""Targets that turn requests away and name the time until the next one."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
import pytest
from returns.result import Result, Success

from heathertack.blackboard import TARGET_HEALTH
from heathertack.controllers import find_pause
from heathertackd import LeavingReport, LeavingWatcher, monotonic
from heathertackd.forwarding import MoveFailure
from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    Received,
    Script,
    respond,
    route,
    run_system,
    stream,
)

LONG_SECONDS = 60.0
SHORT_SECONDS = 0.4


def turn_away(retry_after: str, **headers: str | None) -> Script:
    values = {"Retry_After": retry_after, "X_Heathertack_Not_Run": "1", **headers}
    return respond(b"busy", 503, **values)


class Case(NamedTuple):
    name: str
    answer: Script
    #: Pause that follows, seconds.
    pause: float
    is_healthy: bool = True


CASES = [
    Case("seconds", turn_away("30"), 30.0),
    Case("a fraction", turn_away("2.5"), 2.5),
    Case("without an id", turn_away("30", X_Request_Id=None), 30.0),
    Case("may have run", turn_away("30", X_Heathertack_Not_Run=None), 30.0),
    Case("too long", turn_away("1e9"), 3600.0),
    Case("no time", turn_away("0"), 0.0),
    Case("negative", turn_away("-3"), 0.0),
    Case("not a number", turn_away("nan"), 0.0),
    Case("endless", turn_away("inf"), 0.0),
    Case("a date", turn_away("Fri, 04 Dec 2026 17:00:00 GMT"), 0.0),
    Case(
        "other status",
        respond(b"", 429, Retry_After="30", X_Heathertack_Not_Run="1"),
        0.0,
    ),
    Case("no time, may have run", respond(b"busy", 503), 0.0, is_healthy=False),
]


def pause(system: ForwardingSystem, target: str, seconds: float) -> None:
    system.instance.record_target_pause(target, seconds)


def count_received(system: ForwardingSystem) -> list[int]:
    return [len(target.received) for target in system.targets]


async def request_status(system: ForwardingSystem, method: str = "GET") -> int:
    async with system.request(method) as got:
        await got.read()
        status: int = got.status
        return status


class TestAnswers:
    # Guards against a target that is taken for dead because it names a time.
    @pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
    async def test_pause_follows_the_answer(self, case: Case) -> None:
        bundle_route = route("idempotent", max_attempts=1)
        async with run_system(bundle_route, case.answer) as system:
            await request_status(system)
            now = monotonic()
            found = find_pause(system.instance.board, "t0", now)
            assert found == pytest.approx(case.pause, abs=0.5)
            health = system.instance.board.read(TARGET_HEALTH)
            assert ("t0" not in health) == case.is_healthy


class TestRequests:
    async def test_first_tries_and_retries_go_elsewhere(self) -> None:
        bundle_route = route("idempotent")
        async with run_system(bundle_route, turn_away("30"), respond()) as system:
            for _ in range(20):
                assert await request_status(system) == 200
            assert count_received(system)[0] <= 1

    async def test_request_is_refused_at_once_if_all_targets_pause(self) -> None:
        async with run_system(route("not_repeatable"), respond(), respond()) as system:
            pause(system, "t0", LONG_SECONDS)
            pause(system, "t1", LONG_SECONDS / 2)
            begun_at = time.monotonic()
            async with system.request() as got:
                assert got.status == 429
                assert 29 <= float(got.headers["Retry-After"]) <= 30
            assert time.monotonic() - begun_at < 1.0
            assert system.count_received() == 0

    async def test_pause_ends(self) -> None:
        async with run_system(route("not_repeatable"), respond()) as system:
            pause(system, "t0", SHORT_SECONDS)
            assert await request_status(system, "POST") == 429
            await asyncio.sleep(SHORT_SECONDS)
            assert await request_status(system, "POST") == 200

    async def test_refused_retry_names_the_end_of_the_pause(self) -> None:
        bundle_route = route("not_repeatable", max_attempts=1)
        async with (
            run_system(bundle_route, turn_away("30")) as system,
            system.request() as got,
        ):
            assert got.status == 503
            assert 29 <= float(got.headers["Retry-After"]) <= 30


def broken_stream(received: Received) -> Script:
    """Return the part of a stream that follows the caller's last event."""
    if received.headers.get("Last-Event-Id") == "2":
        return stream(3, 4)
    return stream(1, 2, breaks=True)


class StreamSystem:
    """Targets that break a stream off after two events, and continue it."""

    def __init__(self) -> None:
        self.system: ForwardingSystem | None = None
        #: Called with the number of a target when it breaks the stream off.
        self.handle_break: Callable[[ForwardingSystem, str], None] = lambda s, t: None
        #: Targets in the order in which requests reached them, with the times.
        self.order: list[tuple[str, float]] = []

    def script(self, target: str) -> Script:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            self.order.append((target, time.monotonic()))
            if not received.headers.get("Last-Event-Id") and self.system is not None:
                self.handle_break(self.system, target)
            await broken_stream(received)(received, writer)

        return script


class TestStreams:
    async def read(
        self, kind: str, targets: int, streams: StreamSystem, *, backups: bool
    ) -> ForwardingSystem:
        """Read a stream to its end."""
        scripts = [streams.script(f"t{number}") for number in range(targets)]
        async with run_system(route(kind), *scripts, backups=backups) as system:
            streams.system = system
            async with system.request() as got:
                body = await got.read()
            events = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
            assert events == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        return system

    async def test_resumption_goes_elsewhere(self) -> None:
        streams = StreamSystem()

        def pause_next(system: ForwardingSystem, broken: str) -> None:
            others = [f"t{n}" for n in range(3) if f"t{n}" != broken]
            pause(system, others[0], LONG_SECONDS)
            streams.order.append((f"not {others[0]}", 0.0))

        streams.handle_break = pause_next
        await self.read("resumable", 3, streams, backups=False)
        first, (unwanted, _), last = streams.order
        assert unwanted != f"not {last[0]}"
        assert first[0] != last[0]

    # Guards against a stream that breaks though its target wants requests again soon.
    async def test_stream_waits_for_the_target_that_holds_its_backup(self) -> None:
        streams = StreamSystem()

        def pause_others(system: ForwardingSystem, broken: str) -> None:
            for target in {"t0", "t1"} - {broken}:
                pause(system, target, SHORT_SECONDS)

        streams.handle_break = pause_others
        system = await self.read("streaming", 2, streams, backups=True)
        (first, begun_at), (second, continued_at) = streams.order
        assert first != second
        assert continued_at - begun_at >= SHORT_SECONDS
        assert system.dialect.attempts[1].copy_address

    async def test_stream_waits_if_all_targets_pause(self) -> None:
        streams = StreamSystem()

        def pause_all(system: ForwardingSystem, broken: str) -> None:
            for target in ("t0", "t1"):
                pause(system, target, SHORT_SECONDS)

        streams.handle_break = pause_all
        await self.read("resumable", 2, streams, backups=False)
        (_, begun_at), (_, continued_at) = streams.order
        assert continued_at - begun_at >= SHORT_SECONDS

    # Guards against a caller that waits for what is known to come too late.
    async def test_stream_ends_at_once_if_the_pause_outlasts_its_time(self) -> None:
        streams = StreamSystem()

        def pause_all(system: ForwardingSystem, broken: str) -> None:
            for target in ("t0", "t1"):
                pause(system, target, LONG_SECONDS)

        streams.handle_break = pause_all
        begun_at = time.monotonic()
        with pytest.raises(aiohttp.ClientError):
            await self.read("streaming", 2, streams, backups=True)
        assert time.monotonic() - begun_at < 2.0
        assert len(streams.order) == 1

    # Guards against a crash that goes unnoticed in a pause that the target asked for.
    async def test_target_that_breaks_a_stream_in_its_pause_has_failed(self) -> None:
        streams = StreamSystem()
        streams.handle_break = lambda system, target: pause(system, target, 30.0)
        system = await self.read("resumable", 2, streams, backups=False)
        health = system.instance.board.read(TARGET_HEALTH)
        assert health[streams.order[0][0]].failures == 1

    async def test_backup_is_not_kept_at_a_paused_target(self) -> None:
        async with run_system(
            route("streaming"), stream(1), stream(1), stream(1), backups=True
        ) as system:
            pause(system, "t1", LONG_SECONDS)
            for _ in range(4):
                assert await request_status(system, "POST") == 200
            used = {attempt.backup_address for attempt in system.dialect.attempts}
            assert used
            assert system.addresses[1] not in used
            assert count_received(system)[1] == 0


class PausingMover:
    """Records its calls; a target may pause during the copy."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.handle_copy: Callable[[], None] = lambda: None

    async def copy(
        self, source: str, request_id: str, destination: str
    ) -> Result[None, MoveFailure]:
        self.calls.append("copy")
        self.handle_copy()
        return Success(None)

    async def hand_over(
        self, source: str, request_id: str, destination: str
    ) -> Result[str, MoveFailure]:
        self.calls.append("hand over")
        return Success("h1")

    async def discard(self, address: str, copy_id: str) -> Result[None, str]:
        self.calls.append("discard")
        return Success(None)


class MoveCase(NamedTuple):
    name: str
    #: Whether the source, or else the destination, pauses.
    is_source: bool
    #: Whether it pauses during the copy, or else before it.
    is_late: bool
    calls: list[str]


MOVE_CASES = [
    MoveCase("from a paused target", is_source=True, is_late=False, calls=[]),
    MoveCase("to a paused target", is_source=False, is_late=False, calls=[]),
    MoveCase("source pauses", is_source=True, is_late=True, calls=["copy"]),
    MoveCase("destination pauses", is_source=False, is_late=True, calls=["copy"]),
]


class TestMoves:
    # Guards against calls of a move that reach a target in its pause.
    @pytest.mark.parametrize("case", MOVE_CASES, ids=[case.name for case in MOVE_CASES])
    async def test_no_call_concerns_a_paused_target(self, case: MoveCase) -> None:
        mover = PausingMover()

        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            await stream(1, 2, breaks=True)(received, writer)
            await asyncio.sleep(0.8)
            await stream(3)(received, writer)

        async with run_system(
            route("streaming", max_attempts=1),
            script,
            script,
            backups=True,
            mover=mover,
            has_room=False,
        ) as system:
            async with system.request() as got:
                await got.content.readuntil(b"\n\n")
                source = system.dialect.attempts[0].target
                (other,) = {"t0", "t1"} - {source}
                paused = source if case.is_source else other
                if case.is_late:
                    mover.handle_copy = lambda: pause(system, paused, LONG_SECONDS)
                else:
                    pause(system, paused, LONG_SECONDS)
                system.mark_leaving(source)
                await asyncio.sleep(0.7)
            assert mover.calls == case.calls
            assert system.count_received() == 1


class CountingReporter:
    """Counts the reports that engines are asked for, by address."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def fetch(self, address: str) -> Result[LeavingReport, str]:
        self.asked.append(address)
        return Success(LeavingReport(is_leaving=False))


class TestReports:
    async def test_paused_target_is_not_asked_for_a_report(self) -> None:
        async with run_system(
            route("streaming"), stream(1), stream(1), backups=True
        ) as system:
            pause(system, "t0", LONG_SECONDS)
            reporter = CountingReporter()
            watcher = LeavingWatcher(system.instance, reporter, 0.01)
            watching = asyncio.create_task(watcher.run())
            await asyncio.sleep(0.1)
            watching.cancel()
            assert set(reporter.asked) == {system.addresses[1]}
