"""Tests of one replica's control log with faulty disks and clock steps."""

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
from heathertack.storage import Disk, StorageIdentity, format_folder, open_storage
from heathertack.storage.tests.memory_disk import MemoryDisk
from heathertackd import configure_logs, monotonic
from heathertackd._control_log_runner import ControlLogRunner
from heathertackd._metrics import Metrics
from heathertackd._supervision import FailureLog

IDENTITY = StorageIdentity("test", "p", "s1")
WAIT_TIMEOUT_SECONDS = 8.0


class FaultyDisk(MemoryDisk):
    """A disk whose syncs can be slow, hang or fail."""

    def __init__(self) -> None:
        super().__init__()
        self.sync_seconds = 0.0
        self.error = 0
        #: Syncs block while this event is not set.
        self.can_sync = threading.Event()
        self.can_sync.set()

    def sync(self, name: str) -> None:
        # Blocks the control log's thread, as a slow disk does, not the event loop.
        time.sleep(self.sync_seconds)
        self.can_sync.wait()
        if self.error:
            raise OSError(self.error, "injected disk error")
        super().sync(name)


class RunningLog:
    """A running control log that records the replies to its commands."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk = disk
        self.board = Blackboard()
        self.metrics = Metrics()
        self.replies: dict[str, ControlStatus] = {}
        self.runner = ControlLogRunner(
            self.board, self._build, configure_logs("p", "critical")
        )

    def record_replies(self, actions: tuple[ControlLogAction, ...]) -> None:
        for action in actions:
            if isinstance(action, ReplyToCommand):
                self.replies[action.request_id] = action.status

    def submit(self, request_id: str) -> None:
        command = SetDraining(request_id, draining=True)
        self.runner.post(CommandSubmitted(request_id, "", command, time.time()))

    @property
    def is_leader(self) -> bool:
        return self.board.read(CONTROL).may_lead(monotonic())

    @property
    def draining(self) -> frozenset[str]:
        return self.runner.controller.machine.draining

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    def _open_disk(self) -> Disk:
        return self.disk

    def _build(self, board: Blackboard) -> ControlLogController:
        opened = open_storage(self._open_disk()).unwrap()
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
async def run_log(
    build: Callable[[FaultyDisk], RunningLog] = RunningLog,
) -> AsyncIterator[RunningLog]:
    disk = FaultyDisk()
    format_folder(disk, IDENTITY, initial_voters=(IDENTITY.replica,))
    log = build(disk)
    failures = FailureLog(configure_logs("test", "critical"), log.metrics)
    log.runner.start(log.record_replies, failures)
    ticker = asyncio.create_task(_tick(log))
    try:
        await log.wait_for(lambda: log.is_leader)
        yield log
    finally:
        ticker.cancel()
        disk.can_sync.set()
        log.runner.stop()


async def _tick(log: RunningLog) -> None:
    while True:
        log.runner.post(TimePassed(time.time()))
        await asyncio.sleep(0.02)


async def measure_longest_pause(seconds: float) -> float:
    """Return the longest time for which the event loop was blocked, seconds."""
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
    async def test_slow_disk_delays_replies_but_not_the_event_loop(self) -> None:
        async with run_log() as log:
            log.disk.sync_seconds = 1.2
            log.submit("a")
            assert await measure_longest_pause(1.0) < 0.6
            assert log.replies == {}
            await log.wait_for(lambda: log.replies == {"a": ControlStatus.DONE})

    async def test_hung_disk_ends_leadership_and_acknowledges_nothing(
        self,
    ) -> None:
        async with run_log() as log:
            log.disk.can_sync.clear()
            log.submit("a")
            await log.wait_for(lambda: not log.is_leader)
            assert log.replies == {}
            log.disk.can_sync.set()
            await log.wait_for(lambda: log.is_leader)
            log.submit("b")
            await log.wait_for(lambda: log.replies.get("b") is ControlStatus.DONE)

    async def test_events_queued_for_a_hung_disk_are_bounded(self) -> None:
        async with run_log() as log:
            log.disk.can_sync.clear()
            log.submit("first")
            for number in range(5000):
                log.submit(f"r{number}")
            log.disk.can_sync.set()
            await log.wait_for(lambda: "first" in log.replies)
            await log.wait_for(lambda: log.is_leader)
            log.submit("last")
            await log.wait_for(lambda: "last" in log.replies)
            assert len(log.replies) < 5000

    @pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
    async def test_failing_disk_acknowledges_nothing_and_keeps_earlier_commands(
        self, error: int
    ) -> None:
        async with run_log() as log:
            log.submit("kept")
            await log.wait_for(lambda: "kept" in log.replies)
            log.disk.error = error
            log.submit("lost")
            await log.wait_for(lambda: not log.is_leader)
            assert log.replies.get("lost") is not ControlStatus.DONE
            log.disk.crash()
            log.disk.error = 0
            await log.wait_for(lambda: log.is_leader)
            assert log.draining == {"kept"}
            log.submit("after")
            await log.wait_for(lambda: log.replies.get("after") is ControlStatus.DONE)


class TestClocks:
    @pytest.mark.parametrize("step", [-3600.0, 3600.0])
    async def test_step_of_the_wall_clock_does_not_end_leadership(
        self, step: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with run_log() as log:
            real = time.time
            monkeypatch.setattr(time, "time", lambda: real() + step)
            for _ in range(20):
                assert log.is_leader
                await asyncio.sleep(0.02)
            log.submit("a")
            await log.wait_for(lambda: log.replies.get("a") is ControlStatus.DONE)

    async def test_lease_of_a_suspended_leader_has_expired(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The clock of leases includes the time that a machine is suspended."""
        async with run_log() as log:
            real = time.clock_gettime

            def after_suspension(clock: int) -> float:
                suspended = 10.0 if clock == time.CLOCK_BOOTTIME else 0.0
                return real(clock) + suspended

            assert log.is_leader
            monkeypatch.setattr(time, "clock_gettime", after_suspension)
            assert not log.is_leader


class TestFailingController:
    # Guards against a thread that ends with an error of the replica, while the process
    # goes on without a control log.
    async def test_log_is_opened_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async with run_log() as log:
            failing = log.runner.controller

            def fail(event: object, now: float) -> tuple[ControlLogAction, ...]:
                raise RuntimeError(f"can't handle {event} at {now}")

            monkeypatch.setattr(failing, "handle", fail)
            await log.wait_for(lambda: log.runner.controller is not failing)
            await log.wait_for(lambda: log.is_leader)
            log.submit("c1")
            await log.wait_for(lambda: log.replies.get("c1") is ControlStatus.DONE)
            assert log.draining == {"c1"}
            rendered = log.metrics.render().decode()
            assert 'heathertack_task_failures_total{task="control_log"}' in rendered


class TestFullQueue:
    # Guards against a clock that stops for good once the queue was full.
    async def test_clock_goes_on_after_an_event_was_dropped(self) -> None:
        disk = FaultyDisk()
        format_folder(disk, IDENTITY, initial_voters=(IDENTITY.replica,))
        log = RunningLog(disk)
        for number in range(2001):
            log.submit(f"r{number}")
        log.runner.post(TimePassed(time.time()))
        failures = FailureLog(configure_logs("test", "critical"), log.metrics)
        log.runner.start(log.record_replies, failures)
        ticker = asyncio.create_task(_tick(log))
        try:
            await log.wait_for(lambda: log.is_leader)
        finally:
            ticker.cancel()
            log.runner.stop()
