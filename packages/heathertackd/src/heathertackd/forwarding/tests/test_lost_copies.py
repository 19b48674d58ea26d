"""Streams whose copy, or what is known of its target, is lost while they wait."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import pytest

from heathertack.blackboard import TARGETS
from heathertack.controllers import CopyDropped, PlacementRequested, TargetChosen
from heathertack.messages import TableVersion
from heathertackd.forwarding._session import ForwardingSession
from heathertackd.forwarding.tests.forwarding_system import (
    INSTANCE_NAME,
    ForwardingSystem,
    Received,
    Script,
    grant,
    publish_versions,
    route,
    run_system,
    stream,
)
from heathertackd.forwarding.tests.test_forwarding import RecordingMover, ids
from heathertackd.forwarding.tests.test_leaving_targets import StubbornOwner

#: Time within which a stream that can't go on must end, seconds.
END_SECONDS = 1.0
#: An address at which nothing listens.
OTHER_ADDRESS = "127.0.0.1:9"


def elect_leader(system: ForwardingSystem, *unlisted: str) -> None:
    """Publish the first whole table of a new leader, which lacks some targets."""
    known = system.instance.board.read(TARGETS).values()
    records = tuple(record for record in known if record.name not in unlisted)
    versions = publish_versions(records)._replace(term=2)
    system.instance.receive(INSTANCE_NAME, versions)
    granted = grant(system.instance, None, records)._replace(
        term=2, table=TableVersion(2, 1), bundle_index=1
    )
    system.instance.receive(INSTANCE_NAME, granted)


def replace(system: ForwardingSystem, target: str) -> None:
    """Publish another engine under the name of a target."""
    system.set_address(target, OTHER_ADDRESS)


LOSSES = [
    pytest.param(elect_leader, id="unlisted after a change of leader"),
    pytest.param(ForwardingSystem.mark_gone, id="gone"),
    pytest.param(replace, id="replaced"),
]


class WaitingOwner(StubbornOwner):
    """Places the first run with a backup, and later ones only when told to."""

    def __init__(self, system: ForwardingSystem) -> None:
        super().__init__(system, ("t0", "t1"))
        self._system = system
        self._pending: Any = None
        #: Set when a stream waits for a target.
        self.is_asked = asyncio.Event()

    def handle(self, event: Any, now: float) -> Any:
        if isinstance(event, PlacementRequested) and self.requests:
            self._pending = event.request
            self.is_asked.set()
            return ()
        return super().handle(event, now)

    def place(self, target: str) -> None:
        wanted = self._pending
        chosen = TargetChosen(wanted.generation_id, wanted.attempt, target, "free")
        self._system.instance.carry_out((chosen,))


def break_off(*events: int) -> Script:
    """Return a script that breaks a new run off, and continues any other one."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        if "Last-Event-Id" in received.headers:
            await stream(3, 4)(received, writer)
        else:
            await stream(*events, breaks=True)(received, writer)

    return script


class TestLostCopies:
    # Guards against a stream that may run once and runs at a second target (TWICE),
    # since the table of a new leader does not hold the target that kept its copy.
    @pytest.mark.parametrize("lose", LOSSES)
    async def test_stream_is_not_sent_as_a_new_run(
        self, lose: Callable[[ForwardingSystem, str], None]
    ) -> None:
        script = break_off(1, 2)
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            owner = WaitingOwner(system)
            async with system.request() as got:
                await asyncio.wait_for(owner.is_asked.wait(), 3.0)
                lose(system, "t1")
                owner.place("t2")
                with pytest.raises(aiohttp.ClientPayloadError):
                    await got.read()
            assert [len(target.received) for target in system.targets] == [1, 0, 0]

    # Guards against callers that wait for a stream which can never go on.
    @pytest.mark.parametrize("lose", LOSSES)
    async def test_stream_ends_while_it_waits(
        self, lose: Callable[[ForwardingSystem, str], None]
    ) -> None:
        script = break_off(1, 2)
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            owner = WaitingOwner(system)
            async with system.request() as got:
                await asyncio.wait_for(owner.is_asked.wait(), 3.0)
                lose(system, "t1")
                async with asyncio.timeout(END_SECONDS):
                    with pytest.raises(aiohttp.ClientPayloadError):
                        await got.read()
            assert b"heathertack_lost_copies" in system.instance.metrics.render()

    # Guards against a caller that is told that a run was not executed, which broke off
    # before its first event.
    async def test_stream_without_events_is_not_called_not_run(self) -> None:
        script = break_off()
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            owner = WaitingOwner(system)
            request = asyncio.ensure_future(self._read_status(system))
            await asyncio.wait_for(owner.is_asked.wait(), 3.0)
            elect_leader(system, "t1")
            assert await asyncio.wait_for(request, END_SECONDS) == 502
            assert system.count_received() == 1

    @staticmethod
    async def _read_status(system: ForwardingSystem) -> int:
        async with system.request() as got:
            status: int = got.status
            return status

    # Guards against a second run should any other path lose the copy of a stream.
    async def test_request_that_may_have_run_is_not_sent_without_a_copy(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def allow(*_: object) -> bool:
            return True

        monkeypatch.setattr(ForwardingSession, "_can_continue", allow)
        script = break_off(1, 2)
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(bundle_route, script, script, backups=True) as system:
            StubbornOwner(system, ("t0", ""), ("t1", ""))
            async with system.request() as got:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await got.read()
            assert [len(target.received) for target in system.targets] == [1, 0]

    # Guards against streams that end although their copy can still be used.
    async def test_stream_goes_on_while_its_copy_is_kept(self) -> None:
        script = break_off(1, 2)
        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True
        ) as system:
            owner = WaitingOwner(system)
            async with system.request() as got:
                await asyncio.wait_for(owner.is_asked.wait(), 3.0)
                elect_leader(system)
                await asyncio.sleep(0.2)
                owner.place("t1")
                assert ids(await got.read()) == [1, 2, 3, 4]
            assert system.dialect.attempts[1].copy_address == system.addresses[1]


class TestAttempts:
    # Guards against a request that runs at more targets than its route allows, since a
    # target that the table does not hold counts as ended.
    @pytest.mark.parametrize(
        ("is_stopped", "counts"), [(False, [1, 0]), (True, [1, 1])]
    )
    async def test_unlisted_target_counts_until_it_accepts_no_connections(
        self, is_stopped: bool, counts: list[int]
    ) -> None:
        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if "Last-Event-Id" in received.headers:
                await stream(3, 4)(received, writer)
                return
            await stream(1, 2, breaks=True)(received, writer)
            await asyncio.sleep(0.1)
            elect_leader(system, "t0")
            if is_stopped:
                system.targets[0].stop()

        bundle_route = route("resumable", max_attempts=1)
        async with run_system(bundle_route, script, script) as system:
            StubbornOwner(system, ("t0", ""), ("t1", ""))
            try:
                async with system.request() as got:
                    body = await got.read()
                    assert ids(body) == [1, 2, 3, 4]
            except aiohttp.ClientPayloadError:
                assert not is_stopped
            assert [len(target.received) for target in system.targets] == counts


class TestMoves:
    # Guards against a stream that is lost with its target, since the name of its
    # backup's target belongs to another engine, which is live.
    async def test_stream_moves_if_its_backup_is_replaced(self) -> None:
        mover = RecordingMover()

        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            if "Last-Event-Id" in received.headers:
                await stream(3)(received, writer)
                return
            await stream(1, 2, breaks=True)(received, writer)
            replace(system, "t1")
            system.mark_leaving("t0")
            await asyncio.wait_for(mover.stopped.wait(), 3.0)

        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, script, backups=True, mover=mover
        ) as system:
            StubbornOwner(system, ("t0", "t1"), ("t2", ""))
            async with system.request() as got:
                assert ids(await got.read()) == [1, 2, 3]
            assert mover.calls[:2] == ["copy", "hand over"]


class TestDiscards:
    # Guards against memory of a target that is held by a copy that nobody needs, since
    # the table of a new leader does not hold that target yet.
    @pytest.mark.parametrize(
        ("lose", "is_asked"),
        [
            pytest.param(elect_leader, True, id="unlisted"),
            pytest.param(ForwardingSystem.mark_gone, False, id="gone"),
            pytest.param(replace, False, id="replaced"),
        ],
    )
    async def test_copy_at_its_own_address_is_freed(
        self, lose: Callable[[ForwardingSystem, str], None], is_asked: bool
    ) -> None:
        mover = DiscardRecorder()
        dropped = asyncio.Event()

        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            await stream(1, 2, breaks=True)(received, writer)
            await dropped.wait()

        bundle_route = route("streaming", max_attempts=1)
        async with run_system(
            bundle_route, script, script, backups=True, mover=mover
        ) as system:
            owner = StubbornOwner(system, ("t0", "t1"))
            async with system.request() as got:
                for _ in range(2):
                    await got.content.readuntil(b"\n\n")
                lose(system, "t1")
                key = owner.requests[0].generation_id
                system.instance.carry_out((CopyDropped(key, "t1"),))
                await asyncio.sleep(0.1)
                dropped.set()
            assert mover.addresses == ([system.addresses[1]] if is_asked else [])


class DiscardRecorder(RecordingMover):
    """Records the addresses at which copies are freed."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses: list[str] = []

    async def discard(self, address: str, copy_id: str) -> Any:
        self.addresses.append(address)
        return await super().discard(address, copy_id)
