"""Background work that fails once, again and again, or at each step."""

import asyncio
from typing import Any

import aiohttp
import pytest
from returns.result import Result, Success

from heathertack.blackboard import Blackboard
from heathertack.messages import LeaseRequest, PeerMessage
from heathertackd import (
    BackgroundWork,
    FailurePolicy,
    Instance,
    LeavingReport,
    LeavingWatcher,
    _supervision,
    configure_logs,
)
from heathertackd._metrics import Metrics
from heathertackd._standard_frontend import StandardFrontend
from heathertackd._supervision import FailureLog, StepGuard, StuckError, Supervisor
from heathertackd.forwarding._stream_monitor import StreamMonitor
from heathertackd.forwarding.tests.forwarding_system import respond, route, run_system
from heathertackd.tests.test_background_tasks import capture_lines
from heathertackd.tests.test_peers import build_settings

#: What becomes of the process while a part of its work keeps failing.
POLICIES = {
    "peer_receiver": FailurePolicy.LEAVE,
    "ticks": FailurePolicy.LEAVE,
    "target_links": FailurePolicy.RESTART,
    "target_list": FailurePolicy.RESTART,
    "load_reports": FailurePolicy.RESTART,
    "stream_monitor": FailurePolicy.RESTART,
    "connection_guard": FailurePolicy.RESTART,
}


class FailingWork:
    """Work that raises an error at its first starts, and then runs."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.starts = 0
        self.is_running = asyncio.Event()

    async def run(self) -> None:
        self.starts += 1
        if self.starts <= self.failures:
            raise RecursionError("too deep")
        self.is_running.set()
        await asyncio.Event().wait()


class Supervised:
    """A supervisor, what it logged, and whether it asked to leave."""

    def __init__(self) -> None:
        self.capture, logger = capture_lines()
        self.metrics = Metrics()
        self.has_left = asyncio.Event()
        failures = FailureLog(logger, self.metrics)
        self.supervisor = Supervisor(failures, logger, self.has_left.set)

    def count_failures(self, task: str) -> float:
        return float(self.metrics.task_failures.labels(task)._value.get())


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_supervision, "_MIN_PAUSE_SECONDS", 0.01)
    monkeypatch.setattr(_supervision, "_MAX_PAUSE_SECONDS", 0.02)
    monkeypatch.setattr(_supervision, "_MAX_FAILING_SECONDS", 0.2)


async def build_works(instance: Instance) -> tuple[BackgroundWork, ...]:
    async with aiohttp.ClientSession() as session:
        frontend = StandardFrontend(instance, session)
        await frontend.start()
        works = (*instance.background_work(), *frontend.background_work())
        await frontend.stop()
        return works


def build_instance(port: int = 1) -> Instance:
    settings = build_settings(port, f"127.0.0.1:{port}")
    settings["http"] = {"host": "127.0.0.1", "port": 0}
    logger = configure_logs("test", "critical")
    return Instance(settings, None, Blackboard(), logger)


class TestSupervisor:
    # Guards against work that ends with its first error, as that of reading the list.
    @pytest.mark.parametrize("policy", FailurePolicy)
    async def test_work_that_fails_once_goes_on(self, policy: FailurePolicy) -> None:
        supervised, work = Supervised(), FailingWork(1)
        supervised.supervisor.start(BackgroundWork("w", work.run, policy))
        async with asyncio.timeout(5.0):
            await work.is_running.wait()
        assert supervised.count_failures("w") == 1
        (line,) = supervised.capture.entries
        assert line["event"] == "background_task_failed"
        assert line["task"] == "w"
        assert line["detail"] == "RecursionError('too deep')"
        assert "test_supervision.py:" in line["where"]
        assert not supervised.has_left.is_set()
        supervised.supervisor.stop()

    # Guards against a part of the process that is missing without anybody noticing.
    async def test_process_leaves_without_work_that_it_needs(self) -> None:
        supervised, work = Supervised(), FailingWork(1_000_000)
        supervised.supervisor.start(BackgroundWork("w", work.run, FailurePolicy.LEAVE))
        async with asyncio.timeout(5.0):
            await supervised.has_left.wait()
        events = [line["event"] for line in supervised.capture.entries]
        assert events[-1] == "leaving_without_task"
        # The failures themselves are logged within bounds.
        assert len(events) == 2
        assert supervised.count_failures("w") >= 5

    async def test_process_goes_on_without_other_work(self) -> None:
        supervised, work = Supervised(), FailingWork(50)
        supervised.supervisor.start(BackgroundWork("w", work.run))
        async with asyncio.timeout(10.0):
            await work.is_running.wait()
        assert not supervised.has_left.is_set()
        assert supervised.count_failures("w") == 50
        assert len(supervised.capture.entries) == 1
        supervised.supervisor.stop()

    async def test_work_that_ends_is_started_again(self) -> None:
        supervised = Supervised()
        starts: list[int] = []

        async def end() -> None:
            starts.append(1)

        supervised.supervisor.start(BackgroundWork("w", end))
        async with asyncio.timeout(5.0):
            while len(starts) < 3:
                await asyncio.sleep(0.01)
        supervised.supervisor.stop()

    async def test_stopped_work_is_not_a_failure(self) -> None:
        supervised, work = Supervised(), FailingWork(0)
        supervised.supervisor.start(BackgroundWork("w", work.run))
        await work.is_running.wait()
        supervised.supervisor.stop()
        await asyncio.sleep(0.05)
        assert supervised.capture.entries == []


class TestDeclaredWork:
    async def test_policy_of_each_task(self) -> None:
        works = await build_works(build_instance())
        assert {work.name: work.policy for work in works} == POLICIES

    # Guards against a task of the daemon that its first error ends.
    @pytest.mark.parametrize("name", POLICIES)
    @pytest.mark.parametrize("failures", [1, 1_000_000])
    async def test_step_that_raises(
        self, name: str, failures: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        works = await build_works(build_instance())
        (work,) = (work for work in works if work.name == name)
        supervised, failing = Supervised(), FailingWork(failures)
        supervised.supervisor.start(work._replace(run=failing.run))
        async with asyncio.timeout(5.0):
            if failures == 1:
                await failing.is_running.wait()
            elif work.policy is FailurePolicy.LEAVE:
                await supervised.has_left.wait()
            else:
                while failing.starts < 20:
                    await asyncio.sleep(0.01)
        is_left = failures > 1 and work.policy is FailurePolicy.LEAVE
        assert supervised.has_left.is_set() is is_left
        supervised.supervisor.stop()


class TestTicks:
    # Guards against a controller whose error stops the renewal of leases.
    @pytest.mark.parametrize(
        "controller",
        ["admission", "placement", "quarantine", "origins", "limits", "pauses"],
    )
    async def test_other_controllers_go_on(
        self, controller: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        instance = build_instance()
        sent: list[PeerMessage] = []
        monkeypatch.setattr(
            instance, "send", lambda name, message: sent.append(message)
        )
        instance.lease_holder.set_control_instances(("127.0.0.1:2",))

        def fail(event: object, now: float) -> Any:
            raise RuntimeError(f"can't handle {event} at {now}")

        monkeypatch.setattr(getattr(instance, controller), "handle", fail)
        (ticks,) = (w for w in instance.background_work() if w.name == "ticks")
        with pytest.raises(StuckError, match=f"{controller}_tick"):
            async with asyncio.timeout(5.0):
                await ticks.run()
        assert any(isinstance(message, LeaseRequest) for message in sent)
        rendered = instance.metrics.render().decode()
        assert f'task="{controller}_tick"' in rendered

    def test_step_that_recovers_is_not_stuck(self) -> None:
        guard = StepGuard(FailureLog(capture_lines()[1], Metrics()))

        def fail() -> None:
            raise RuntimeError("fails")

        guard.run("step", fail)
        guard.run("step", lambda: None)
        assert guard.find_stuck(float("inf")) is None
        guard.run("step", fail)
        assert guard.find_stuck(float("inf")) == "step"


class OddStream:
    """A stream whose check for a move raises an error."""

    def __init__(self, error: Exception | None = None) -> None:
        self.error = error
        self.checks = 0

    def move_if_at_risk(self) -> None:
        self.checks += 1
        if self.error is not None:
            raise self.error

    def end_wait_if_copy_is_lost(self) -> None:
        """Do nothing: the stream does not wait."""


class TestIsolatedSteps:
    # Guards against one stream that keeps all others from being moved in time.
    async def test_streams(self) -> None:
        _, logger = capture_lines()
        monitor = StreamMonitor(FailureLog(logger, Metrics()))
        odd, sound = OddStream(KeyError("t1")), OddStream()
        monitor.add(odd)
        monitor.add(sound)
        task = asyncio.create_task(monitor.run())
        async with asyncio.timeout(5.0):
            while sound.checks < 3:
                await asyncio.sleep(0.01)
        task.cancel()
        assert odd.checks >= 3

    # Guards against one engine whose report hides those of all others.
    async def test_reports(self) -> None:
        async with run_system(
            route("resumable"), respond(), respond(), backups=True
        ) as system:
            reporter = OddReporter(system.addresses[0])
            watcher = LeavingWatcher(system.instance, reporter, 0.01)
            task = asyncio.create_task(watcher.run())
            async with asyncio.timeout(5.0):
                while reporter.calls.count(system.addresses[1]) < 3:
                    await asyncio.sleep(0.01)
            task.cancel()


class OddReporter:
    """Raises an error for one address."""

    def __init__(self, odd: str) -> None:
        self.odd = odd
        self.calls: list[str] = []

    async def fetch(self, address: str) -> Result[LeavingReport, str]:
        self.calls.append(address)
        if address == self.odd:
            raise OverflowError("integer too large")
        return Success(LeavingReport(is_leaving=False))
