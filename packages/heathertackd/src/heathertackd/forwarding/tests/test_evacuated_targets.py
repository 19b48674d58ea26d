"""Requests, streams and backups of targets in evacuated failure domains."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import pytest
from returns.result import Result, Success

from heathertack.blackboard import EVACUATED_TARGETS, LEASE, TARGETS, LeaseView
from heathertack.controllers import TargetChosen, keeps_running
from heathertack.messages import (
    EvacuatedTargets,
    PeerMessage,
    TargetReport,
    TargetState,
)
from heathertackd import LeavingReport, LeavingWatcher
from heathertackd.forwarding._kv_cache import must_move
from heathertackd.forwarding.tests.forwarding_system import (
    INSTANCE_NAME,
    ForwardingSystem,
    Received,
    grant,
    publish_versions,
    respond,
    route,
    run_system,
    stream,
)
from heathertackd.forwarding.tests.test_forwarding import RecordingMover, ids
from heathertackd.forwarding.tests.test_leaving_targets import (
    LeavingDestination,
    StubbornOwner,
    say_leaving,
)

ZONE = "evacuated-zone"
LIVE, LEAVING, GONE = TargetState.LIVE, TargetState.LEAVING, TargetState.GONE


def evacuate(system: ForwardingSystem, *targets: str) -> None:
    """Publish that the failure domain of these targets is evacuated."""
    board = system.instance.board
    records = tuple(
        record._replace(failure_domain=ZONE, state=LEAVING)
        if record.name in targets
        else record
        for record in board.read(TARGETS).values()
    )
    told = EvacuatedTargets(1, targets, (ZONE,))
    system.instance.receive(INSTANCE_NAME, told)
    system.instance.receive(INSTANCE_NAME, publish_versions(records))
    granted = grant(system.instance, None, records, 2)
    system.instance.receive(INSTANCE_NAME, granted._replace(bundle_index=1))
    assert board.read(EVACUATED_TARGETS) == set(targets)


class TestSends:
    """No kind of request goes to an evacuated target."""

    @pytest.mark.parametrize("has_lease", [True, False])
    async def test_first_tries(self, has_lease: bool) -> None:
        bundle_route = route("idempotent", public=True)
        async with run_system(bundle_route, respond(), respond()) as system:
            evacuate(system, "t0")
            if not has_lease:
                holder = system.instance.lease_holder
                system.instance.board.write(holder, LEASE, LeaseView())
            for _ in range(4):
                async with system.request("GET") as got:
                    assert got.status == 200
            assert [len(target.received) for target in system.targets] == [0, 4]

    async def test_retries(self) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            evacuate(system, "t1")
            await respond(b"", 500)(received, writer)

        bundle_route = route("idempotent", max_attempts=3)
        async with run_system(bundle_route, script, script, respond()) as system:
            StubbornOwner(system, ("t0", ""), ("t1", ""), ("t2", ""))
            async with system.request("GET") as got:
                assert got.status == 200
            assert [len(target.received) for target in system.targets] == [1, 0, 1]

    async def test_backups(self) -> None:
        async with run_system(
            route("streaming"), stream(1), stream(1), backups=True
        ) as system:
            evacuate(system, "t1")
            StubbornOwner(system, ("t0", "t1"))
            async with system.request() as got:
                assert ids(await got.read()) == [1]
            assert system.dialect.attempts[0].backup_address == ""

    async def test_resumptions(self) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if received.headers.get("Last-Event-Id"):
                await stream(3)(received, writer)
                return
            evacuate(system, "t1")
            await stream(1, 2, breaks=True)(received, writer)

        bundle_route = route("resumable")
        async with run_system(bundle_route, script, script, script) as system:
            StubbornOwner(system, ("t0", ""), ("t1", ""), ("t2", ""))
            async with system.request() as got:
                assert ids(await got.read()) == [1, 2, 3]
            assert system.targets[1].received == []

    # Guards against a continuation at a copy whose engine must be left alone.
    async def test_continuations(self) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if received.headers.get("Last-Event-Id"):
                await stream(3)(received, writer)
                return
            keeper = system.addresses.index(system.dialect.attempts[0].backup_address)
            kept.append(keeper)
            evacuate(system, f"t{keeper}")
            await stream(1, 2, breaks=True)(received, writer)

        kept: list[int] = []
        bundle_route = route("streaming")
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            async with system.request() as got:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await got.read()
            assert system.targets[kept[0]].received == []

    # Guards against requests that wait for targets that no operator readmits in time.
    async def test_service_that_is_evacuated_as_a_whole(self) -> None:
        async with run_system(route("idempotent"), respond(), respond()) as system:
            evacuate(system, "t0", "t1")
            began_at = asyncio.get_running_loop().time()
            async with system.request("GET") as got:
                assert got.status == 503
                assert "Retry-After" in got.headers
            assert asyncio.get_running_loop().time() - began_at < 0.8
            assert system.count_received() == 0


class AskedReporter:
    """Records the engines that are asked whether they leave."""

    def __init__(self) -> None:
        self.addresses: set[str] = set()

    async def fetch(self, address: str) -> Result[LeavingReport, str]:
        self.addresses.add(address)
        return Success(LeavingReport(is_leaving=True, started_at=1.0))


class TestReports:
    # Guards against streams that are lost since nobody asks an evacuated engine whether
    # it leaves, and against a leader that calls it live once it is readmitted.
    async def test_evacuated_engine_is_watched(self) -> None:
        async with run_system(route("streaming"), respond(), backups=True) as system:
            evacuate(system, "t0")
            sent: list[PeerMessage] = []

            def send(name: str, message: PeerMessage) -> None:
                sent.append(message)

            system.instance.send = send  # type: ignore[method-assign,assignment]
            reporter = AskedReporter()
            watcher = LeavingWatcher(system.instance, reporter, 0.02)
            watching = asyncio.create_task(watcher.run())
            async with asyncio.timeout(10.0):
                while not sent:
                    await asyncio.sleep(0.02)
            watching.cancel()
            assert reporter.addresses == {system.addresses[0]}
            assert sent[0] == TargetReport("t0")
            assert not keeps_running(system.instance.board, "t0")


class TestStreams:
    async def test_stream_stays_at_its_target(self) -> None:
        mover = RecordingMover()
        async with (
            run_system(
                route("streaming"),
                stream(*range(1, 30)),
                stream(*range(1, 30)),
                backups=True,
                mover=mover,
                has_room=False,
            ) as system,
            system.request() as got,
        ):
            await got.content.readuntil(b"\n\n")
            evacuate(system, system.dialect.attempts[0].target)
            assert ids(await got.read()) == list(range(2, 30))
            assert mover.calls == []
            assert system.count_received() == 1


class Move(NamedTuple):
    name: str
    #: State of the target, and whether it is evacuated.
    target: tuple[TargetState, bool]
    #: State of the backup, and whether it is evacuated; ``None`` for no backup.
    backup: tuple[TargetState, bool] | None
    moves: bool
    says_leaving: bool = False


MOVES = [
    Move("live", (LIVE, False), None, False),
    Move("leaves", (LEAVING, False), None, True),
    Move("gone", (GONE, False), None, True),
    Move("evacuated", (LEAVING, True), None, False),
    Move("evacuated and says that it leaves", (LEAVING, True), None, True, True),
    Move("evacuated and gone", (GONE, True), None, True),
    Move("evacuated, backup leaves", (LEAVING, True), (LEAVING, False), False),
    Move("evacuated, live backup", (LEAVING, True), (LIVE, False), False),
    Move("leaves, live backup", (LEAVING, False), (LIVE, False), False),
    Move("leaves, evacuated backup", (LEAVING, False), (LEAVING, True), True),
    Move("live, evacuated backup", (LIVE, False), (LEAVING, True), False),
]


class TestMustMove:
    # Guards against the cost of a move for streams that could stay, and against the
    # loss of streams that can't.
    @pytest.mark.parametrize("case", MOVES, ids=[case.name for case in MOVES])
    async def test_only_streams_that_would_be_lost_move(self, case: Move) -> None:
        async with run_system(route("streaming"), respond(), respond()) as system:
            states = {"t0": case.target, "t1": case.backup or (LIVE, False)}
            evacuated = tuple(name for name, (_, is_in) in states.items() if is_in)
            if evacuated:
                evacuate(system, *evacuated)
            board = system.instance.board
            records = {
                name: record._replace(state=states[name][0])
                for name, record in board.read(TARGETS).items()
            }
            board.write(system.instance.lease_holder, TARGETS, records)
            if case.says_leaving:
                say_leaving(system, "t0")
            backup = "t1" if case.backup is not None else ""
            placement = TargetChosen("r", 1, "t0", "free", backup)
            assert must_move(board, placement) is case.moves


class TestMoves:
    @asynccontextmanager
    async def run_moving(
        self, mover: LeavingDestination
    ) -> AsyncIterator[tuple[ForwardingSystem, aiohttp.ClientResponse]]:
        """Run a stream until its second event; its target is about to leave."""

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

    # Guards against a move to an evacuated target, chosen by an owner that does not
    # know of the order.
    async def test_choice_of_an_owner_that_does_not_know_is_not_used(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):
            source = system.dialect.attempts[0].target
            other, free = sorted({"t0", "t1", "t2"} - {source})
            evacuate(system, other)
            StubbornOwner(system, (other, ""), (free, ""))
            say_leaving(system, source)
            assert ids(await got.read()) == [3]
            assert mover.destinations == [system.addresses[int(free[1:])]]

    # Guards against a hand-over to a target that was evacuated during the copy.
    async def test_destination_that_is_evacuated_is_replaced(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):

            def evacuate_first(destination: str) -> None:
                if not mover.destinations:
                    name = f"t{system.addresses.index(destination)}"
                    evacuate(system, name)

            mover.handle_copy = evacuate_first
            say_leaving(system, system.dialect.attempts[0].target)
            assert ids(await got.read()) == [3]
            first = system.addresses.index(mover.destinations[0])
            assert system.targets[first].received == []

    # Guards against a stream at an evacuated target that is lost when that target is
    # reclaimed.
    async def test_stream_moves_off_an_evacuated_target_that_leaves(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):
            source = system.dialect.attempts[0].target
            evacuate(system, source)
            say_leaving(system, source)
            assert ids(await got.read()) == [3]
            assert mover.calls[:2] == ["copy", "hand over"]

    # Guards against a request that reaches a target long after its evacuation, since
    # the stream that was moved there had to wait for the end of a pause.
    async def test_moved_stream_does_not_go_on_there_after_a_pause(self) -> None:
        mover = LeavingDestination()
        async with self.run_moving(mover) as (system, got):
            hand_over = mover.hand_over
            moved_to: list[str] = []

            async def pause_and_hand_over(
                source: str, request_id: str, destination: str
            ) -> Any:
                name = f"t{system.addresses.index(destination)}"
                moved_to.append(name)
                system.instance.record_target_pause(name, 0.3)
                evacuate(system, name)
                return await hand_over(source, request_id, destination)

            mover.hand_over = pause_and_hand_over  # type: ignore[method-assign]
            say_leaving(system, system.dialect.attempts[0].target)
            with pytest.raises(aiohttp.ClientPayloadError):
                await got.read()
            assert system.targets[int(moved_to[0][1:])].received == []
