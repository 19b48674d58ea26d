"""Disks and clocks that misbehave under the control log of one replica."""

import asyncio
import errno
import random
import threading
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from heathertack.blackboard import CONTROL, Blackboard
from heathertack.consensus import Replica, ReplicaTimings
from heathertack.controllers import (
    CommandSubmitted,
    ControlLogAction,
    ControlLogController,
    ReplyToCommand,
    TimePassed,
)
from heathertack.messages import ControlStatus
from heathertack.state import ControlStateMachine, SetDraining
from heathertack.storage import StorageIdentity, format_folder, open_storage
from heathertack.storage.tests.memory_disk import MemoryDisk
from heathertackd import configure_logs, monotonic
from heathertackd._control_log_runner import ControlLogRunner

IDENTITY = StorageIdentity("test", "p", "s1")
PATIENCE_SECONDS = 8.0


class FaultyDisk(MemoryDisk):
    """A disk whose syncs take long, hang or fail."""

    def __init__(self) -> None:
        super().__init__()
        self.sync_seconds = 0.0
        self.error = 0
        #: Syncs wait while it is not set.
        self.works = threading.Event()
        self.works.set()

    def sync(self, name: str) -> None:
        # Blocks the log's own thread, as a slow disk does; the loop must not notice.
        time.sleep(self.sync_seconds)
        self.works.wait()
        if self.error:
            raise OSError(self.error, "the disk refuses")
        super().sync(name)


class Log:
    """A running control log whose answers are kept."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk = disk
        self.board = Blackboard()
        self.answers: dict[str, ControlStatus] = {}
        self.runner = ControlLogRunner(
            self.board, self._build, configure_logs("p", "critical")
        )

    def take(self, actions: tuple[ControlLogAction, ...]) -> None:
        for action in actions:
            if isinstance(action, ReplyToCommand):
                self.answers[action.request_id] = action.status

    def submit(self, request_id: str) -> None:
        command = SetDraining(request_id, draining=True)
        self.runner.post(CommandSubmitted(request_id, "", command, time.time()))

    @property
    def leads(self) -> bool:
        return self.board.read(CONTROL).may_lead(monotonic())

    @property
    def draining(self) -> frozenset[str]:
        return self.runner.controller.machine.draining

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    def _build(self, board: Blackboard) -> ControlLogController:
        opened = open_storage(self.disk).unwrap()
        machine = ControlStateMachine()
        machine.restore_snapshot(opened.durable.snapshot.data)
        replica = Replica(
            IDENTITY.replica,
            opened.durable,
            ReplicaTimings(),
            random.Random(1),
            monotonic(),
        )
        return ControlLogController(board, replica, opened.storage, machine, ())


@asynccontextmanager
async def run_log() -> AsyncIterator[Log]:
    disk = FaultyDisk()
    format_folder(disk, IDENTITY, initial_voters=(IDENTITY.replica,))
    log = Log(disk)
    log.runner.start(log.take)
    ticking = asyncio.create_task(_tick(log))
    try:
        await log.wait_for(lambda: log.leads)
        yield log
    finally:
        ticking.cancel()
        disk.works.set()
        log.runner.stop()


async def _tick(log: Log) -> None:
    while True:
        log.runner.post(TimePassed(time.time()))
        await asyncio.sleep(0.02)


async def find_longest_pause(seconds: float) -> float:
    """Return the longest time for which the loop did not run, seconds."""
    longest = 0.0
    end = monotonic() + seconds
    before = monotonic()
    while before < end:
        await asyncio.sleep(0.005)
        now = monotonic()
        longest = max(longest, now - before)
        before = now
    return longest


class TestDisks:
    async def test_slow_disk_delays_answers_but_not_the_loop(self) -> None:
        async with run_log() as log:
            log.disk.sync_seconds = 1.2
            log.submit("a")
            assert await find_longest_pause(1.0) < 0.6
            assert log.answers == {}
            await log.wait_for(lambda: log.answers == {"a": ControlStatus.DONE})

    async def test_hung_disk_costs_the_leadership_and_acknowledges_nothing(
        self,
    ) -> None:
        async with run_log() as log:
            log.disk.works.clear()
            log.submit("a")
            await log.wait_for(lambda: not log.leads)
            assert log.answers == {}
            log.disk.works.set()
            await log.wait_for(lambda: log.leads)
            log.submit("b")
            await log.wait_for(lambda: log.answers.get("b") is ControlStatus.DONE)

    async def test_events_that_a_hung_disk_holds_up_are_bounded(self) -> None:
        async with run_log() as log:
            log.disk.works.clear()
            log.submit("first")
            for number in range(5000):
                log.submit(f"r{number}")
            log.disk.works.set()
            await log.wait_for(lambda: "first" in log.answers)
            await log.wait_for(lambda: log.leads)
            log.submit("last")
            await log.wait_for(lambda: "last" in log.answers)
            assert len(log.answers) < 5000

    @pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
    async def test_failing_disk_acknowledges_nothing_and_keeps_what_it_had(
        self, error: int
    ) -> None:
        async with run_log() as log:
            log.submit("kept")
            await log.wait_for(lambda: "kept" in log.answers)
            log.disk.error = error
            log.submit("lost")
            await log.wait_for(lambda: not log.leads)
            assert log.answers.get("lost") is not ControlStatus.DONE
            log.disk.crash()
            log.disk.error = 0
            await log.wait_for(lambda: log.leads)
            assert log.draining == {"kept"}
            log.submit("after")
            await log.wait_for(lambda: log.answers.get("after") is ControlStatus.DONE)


class TestClocks:
    @pytest.mark.parametrize("step", [-3600.0, 3600.0])
    async def test_step_of_the_time_of_day_costs_no_leadership(
        self, step: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with run_log() as log:
            real = time.time
            monkeypatch.setattr(time, "time", lambda: real() + step)
            for _ in range(20):
                assert log.leads
                await asyncio.sleep(0.02)
            log.submit("a")
            await log.wait_for(lambda: log.answers.get("a") is ControlStatus.DONE)

    async def test_lease_of_a_suspended_leader_has_run_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The clock of leases counts the time that a machine was suspended."""
        async with run_log() as log:
            real = time.clock_gettime

            def after_suspension(clock: int) -> float:
                suspended = 10.0 if clock == time.CLOCK_BOOTTIME else 0.0
                return real(clock) + suspended

            assert log.leads
            monkeypatch.setattr(time, "clock_gettime", after_suspension)
            assert not log.leads
