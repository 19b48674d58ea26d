import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import pytest
from returns.result import Result, Success

from heathertack.blackboard import LEASE, TARGETS, LeaseView
from heathertack.controllers import PlacementRequested, TargetChosen
from heathertack.messages import PeerMessage, TargetReport, TargetState
from heathertackd import LeavingReport, LeavingWatcher
from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    Received,
    Script,
    respond,
    route,
    run_system,
    stream,
)
from heathertackd.forwarding.tests.test_forwarding import RecordingMover, ids

#: Shorter than the timeout of the route.
SHORT = {"X-Request-Timeout": "1.5"}
LEAVES: Any = {"X_Heathertack_Leaving": "1"}


class Answer(NamedTuple):
    name: str
    script: Script
    is_leaving: bool


ANSWERS = [
    Answer("plain", respond(**LEAVES), True),
    Answer("without the header", respond(), False),
    Answer("other value", respond(X_Heathertack_Leaving="0"), False),
    Answer("failed", respond(b"", 500, **LEAVES), True),
    Answer("not run", respond(b"", 503, X_Heathertack_Not_Run="1", **LEAVES), True),
    Answer(
        "not run, without an id",
        respond(b"", 503, X_Heathertack_Not_Run="1", X_Request_Id=None, **LEAVES),
        True,
    ),
    Answer("lost", respond(b"half", Content_Length="8", **LEAVES), True),
    Answer("to another request", respond(X_Request_Id="r0", **LEAVES), False),
    Answer("of another target", respond(b"", 421, **LEAVES), False),
]


class StubbornOwner:
    """Chooses the same targets in turn, as an owner that does not know that they leave.

    Placed before the placement controller of an instance.
    """

    def __init__(self, system: ForwardingSystem, *choices: tuple[str, str]) -> None:
        self.requests: list[Any] = []
        self._choices = list(choices)
        self._inner = system.instance.placement
        self._handle = self._inner.handle
        self._inner.handle = self.handle  # type: ignore[method-assign]

    def handle(self, event: Any, now: float) -> Any:
        if not isinstance(event, PlacementRequested):
            return self._handle(event, now)
        self.requests.append(event.request)
        target, backup = self._choices[0]
        if len(self._choices) > 1:
            del self._choices[0]
        wanted = event.request
        return (
            TargetChosen(
                wanted.generation_id, wanted.attempt, target, "free", backup=backup
            ),
        )


def say_leaving(system: ForwardingSystem, target: str) -> None:
    address = system.addresses[int(target[1:])]
    system.instance.record_leaving_target(target, address)


def find_state(system: ForwardingSystem, target: str) -> TargetState:
    return system.instance.board.read(TARGETS)[target].state


class TestAnswers:
    # Guards against an answer that is not read, since it is a refusal, has failed or
    # names no request; and against one that speaks of another target.
    @pytest.mark.parametrize("case", ANSWERS, ids=[case.name for case in ANSWERS])
    async def test_target_leaves_from_its_first_answer_on(self, case: Answer) -> None:
        bundle_route = route("not_repeatable", max_attempts=1)
        async with run_system(bundle_route, case.script) as system:
            async with system.request() as got:
                await got.read()
            is_leaving = find_state(system, "t0") is TargetState.LEAVING
            assert is_leaving is case.is_leaving
            assert system.count_received() == 1

    async def test_stream_goes_on_at_a_target_that_leaves(self) -> None:
        script = stream(*range(1, 20), is_leaving=True)
        async with run_system(route("streaming"), script) as system:
            async with system.request() as got:
                await got.content.readuntil(b"\n\n")
                assert find_state(system, "t0") is TargetState.LEAVING
                assert ids(await got.read()) == list(range(2, 20))
            assert system.count_received() == 1


class TestSends:
    """No kind of send goes to a target that leaves."""

    # Guards against first tries that go on until the leader's table says so.
    @pytest.mark.parametrize("has_lease", [True, False])
    async def test_first_tries(self, has_lease: bool) -> None:
        bundle_route = route("idempotent", public=True)
        script = respond(**LEAVES)
        async with run_system(bundle_route, script, script, script) as system:
            if not has_lease:
                holder = system.instance.lease_holder
                system.instance.board.write(holder, LEASE, LeaseView())
            for _ in range(3):
                async with system.request("GET") as got:
                    assert got.status == 200
            async with system.request("GET", headers=SHORT) as got:
                assert got.status == 503
                assert "Retry-After" in got.headers
            assert [len(target.received) for target in system.targets] == [1, 1, 1]

    # Guards against a retry at a target that was live when the request arrived.
    async def test_retries(self) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            say_leaving(system, "t1")
            await respond(b"", 500)(received, writer)

        bundle_route = route("idempotent", max_attempts=3)
        async with run_system(bundle_route, script, script, respond()) as system:
            owner = StubbornOwner(system, ("t0", ""), ("t1", ""), ("t2", ""))
            async with system.request("GET") as got:
                assert got.status == 200
            assert [len(target.received) for target in system.targets] == [1, 0, 1]
            assert "t1" in owner.requests[1].excluded

    # Guards against the choice of an owner that does not know that a target leaves.
    async def test_choices_of_an_owner_that_does_not_know(self) -> None:
        async with run_system(route("idempotent"), respond(), respond()) as system:
            say_leaving(system, "t0")
            owner = StubbornOwner(system, ("t0", ""), ("t0", ""), ("t1", ""))
            async with system.request("GET") as got:
                assert got.status == 200
            assert [len(target.received) for target in system.targets] == [0, 1]
            assert all("t0" in asked.excluded for asked in owner.requests)

    async def test_owner_that_repeats_its_choice_is_not_asked_forever(self) -> None:
        async with run_system(route("idempotent"), respond()) as system:
            say_leaving(system, "t0")
            owner = StubbornOwner(system, ("t0", ""))
            async with system.request("GET") as got:
                assert got.status == 503
                assert "Retry-After" in got.headers
            assert system.count_received() == 0
            assert len(owner.requests) < 20

    # Guards against a copy of the KV cache that is kept at a target that leaves.
    async def test_backups(self) -> None:
        async with run_system(
            route("streaming"), stream(1), stream(1), backups=True
        ) as system:
            say_leaving(system, "t1")
            StubbornOwner(system, ("t0", "t1"))
            async with system.request() as got:
                assert ids(await got.read()) == [1]
            assert system.dialect.attempts[0].backup_address == ""

    # Guards against a resumption where the break and the notice come together.
    @pytest.mark.parametrize("leaving", ["t1", "t2"])
    async def test_resumptions(self, leaving: str) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if received.headers.get("Last-Event-Id"):
                await stream(3)(received, writer)
                return
            say_leaving(system, leaving)
            await stream(1, 2, breaks=True)(received, writer)

        bundle_route = route("resumable")
        async with run_system(bundle_route, script, script, script) as system:
            StubbornOwner(system, ("t0", ""), ("t1", ""), ("t2", ""), ("t1", ""))
            async with system.request() as got:
                assert ids(await got.read()) == [1, 2, 3]
            assert system.targets[int(leaving[1:])].received == []

    # Guards against a continuation at the keeper of a backup that leaves.
    async def test_continuations(self) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if received.headers.get("Last-Event-Id"):
                await stream(3)(received, writer)
                return
            keeper = system.addresses.index(system.dialect.attempts[0].backup_address)
            kept.append(keeper)
            say_leaving(system, f"t{keeper}")
            await stream(1, 2, breaks=True)(received, writer)

        kept: list[int] = []
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            async with system.request() as got:
                assert ids(await got.read()) == [1, 2, 3]
            assert system.targets[kept[0]].received == []


class LeavingDestination(RecordingMover):
    """Makes the first destination leave after a call."""

    def __init__(self) -> None:
        super().__init__()
        self.handle_copy: Callable[[str], None] = lambda destination: None

    async def copy(self, source: str, request_id: str, destination: str) -> Any:
        self.handle_copy(destination)
        return await super().copy(source, request_id, destination)


class TestMoves:
    @asynccontextmanager
    async def run_moving(
        self, mover: LeavingDestination
    ) -> AsyncIterator[tuple[ForwardingSystem, aiohttp.ClientResponse]]:
        """Run a stream whose target has begun to leave."""

        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if received.headers.get("Last-Event-Id"):
                await stream(3)(received, writer)
                return
            await stream(1, 2, breaks=True)(received, writer)
            await asyncio.wait_for(mover.stopped.wait(), 2.0)

        async with (
            run_system(
                route("streaming", max_attempts=1),
                script,
                script,
                script,
                backups=True,
                mover=mover,
                has_room=False,
            ) as system,
            system.request() as got,
        ):
            for _ in range(2):
                await got.content.readuntil(b"\n\n")
            yield system, got

    # Guards against a move to a target that leaves, chosen by an owner that does not
    # know that, and against a hand-over to one that began to leave during the copy.
    async def test_destination_that_leaves_is_replaced(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):

            def leave(destination: str) -> None:
                if len(mover.destinations) == 0:
                    say_leaving(system, f"t{system.addresses.index(destination)}")

            mover.handle_copy = leave
            say_leaving(system, system.dialect.attempts[0].target)
            assert ids(await got.read()) == [3]
            assert mover.calls[:3] == ["copy", "copy", "hand over"]
            assert len(set(mover.destinations)) == 2
            first = system.addresses.index(mover.destinations[0])
            assert system.targets[first].received == []

    async def test_choice_of_an_owner_that_does_not_know_is_not_used(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):
            source = system.dialect.attempts[0].target
            other, free = sorted({"t0", "t1", "t2"} - {source})
            say_leaving(system, other)
            StubbornOwner(system, (other, ""), (free, ""))
            say_leaving(system, source)
            assert ids(await got.read()) == [3]
            free_address = system.addresses[int(free[1:])]
            assert mover.destinations == [free_address]

    # Guards against a stream that is cut since the target that took it over leaves.
    async def test_run_that_was_handed_over_goes_on(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):
            hand_over = mover.hand_over

            async def hand_over_and_leave(
                source: str, request_id: str, destination: str
            ) -> Any:
                say_leaving(system, f"t{system.addresses.index(destination)}")
                return await hand_over(source, request_id, destination)

            mover.hand_over = hand_over_and_leave  # type: ignore[method-assign]
            say_leaving(system, system.dialect.attempts[0].target)
            assert ids(await got.read()) == [3]
            assert mover.calls[:2] == ["copy", "hand over"]


class FixedReporter:
    """Returns the same report for each engine."""

    def __init__(self, report: LeavingReport) -> None:
        self._report = report

    async def fetch(self, address: str) -> Result[LeavingReport, str]:
        del address
        return Success(self._report)


class TestLeavingWatcher:
    @asynccontextmanager
    async def run_watcher(
        self, report: LeavingReport
    ) -> AsyncIterator[tuple[ForwardingSystem, list[PeerMessage]]]:
        """Run a watcher whose leader calls a leaving target live."""
        async with run_system(route("idempotent"), respond()) as system:
            sent: list[PeerMessage] = []
            instance = system.instance

            def send(name: str, message: PeerMessage) -> None:
                sent.append(message)

            instance.send = send  # type: ignore[method-assign,assignment]
            say_leaving(system, "t0")
            assert sent == [TargetReport("t0")]
            watcher = LeavingWatcher(instance, FixedReporter(report), 0.02)
            watching = asyncio.create_task(watcher.run())
            async with asyncio.timeout(10.0):
                yield system, sent
            watching.cancel()

    # Guards against a report that is lost, with its leader or on the way.
    async def test_leader_that_calls_the_target_live_is_told_again(self) -> None:
        report = LeavingReport(is_leaving=True, started_at=7.0)
        async with self.run_watcher(report) as (system, sent):
            while len(sent) < 2:
                await asyncio.sleep(0.02)
            assert sent == [TargetReport("t0")] * 2
            assert find_state(system, "t0") is TargetState.LEAVING

    async def test_target_that_has_started_again_is_live(self) -> None:
        report = LeavingReport(is_leaving=False, started_at=7.0)
        async with self.run_watcher(report) as (system, sent):
            while find_state(system, "t0") is not TargetState.LIVE:
                await asyncio.sleep(0.02)
            assert sent == [TargetReport("t0")]
