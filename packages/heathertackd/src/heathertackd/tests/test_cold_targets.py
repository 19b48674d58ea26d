"""What a daemon does with the platform's and the leader's word on cold targets."""

import asyncio
from contextlib import suppress
from typing import Any

import pytest
from returns.result import Result, Success

from heathertack.blackboard import COLD_TARGETS, Blackboard, ControlView
from heathertack.controllers import ColdStart, PlatformTargetsListed
from heathertack.controllers.tests.test_leases import ControlWriter
from heathertack.messages import ColdTarget, ColdTargets, TargetRecord, TargetState
from heathertackd import Instance, ListedTarget, TargetListing, configure_logs
from heathertackd._call_session import CallRunner, CallSpec
from heathertackd._cold_target_log import ColdTargetLog
from heathertackd._metrics import Metrics
from heathertackd._watchers import PlatformWatcher
from heathertackd.tests.test_evacuated_targets import (
    SPEC,
    RecordingLogger,
    build_instance,
)
from heathertackd.tests.test_peers import build_settings

COLD = ColdTargets(1, (ColdTarget("t0", 30.0, 0.0), ColdTarget("t1", 30.0, 0.0)))


class FixedLister:
    """Returns a target that is cold and one that never is."""

    async def fetch(self) -> Result[TargetListing, str]:
        record = TargetRecord("t0", "portal", "t0:1", "a", TargetState.LIVE)
        cold = ListedTarget(record, "v1", ColdStart(1.5, 27.0))
        other = ListedTarget(record._replace(name="t1"), "v1")
        return Success(TargetListing((cold, other)))


class RecordingGrantor:
    """Records the lists that the leader gets."""

    def __init__(self) -> None:
        self.listed: list[PlatformTargetsListed] = []

    def handle(self, event: Any, now: float) -> tuple[()]:
        del now
        self.listed.append(event)
        return ()


class Client:
    """Records the targets of calls."""

    def __init__(self) -> None:
        self.targets: list[str] = []

    async def send(self, target: TargetRecord, spec: CallSpec) -> Any:
        del spec
        self.targets.append(target.name)
        pytest.fail(f"sent to {target.name}")


class TestPlatformList:
    # Guards against cold times that are read from the list and do not reach the leader.
    async def test_leader_gets_the_cold_starts(self) -> None:
        board = Blackboard()
        logger = configure_logs("test", "critical")
        instance = Instance(build_settings(1, "127.0.0.1:1"), None, board, logger)
        grantor: Any = RecordingGrantor()
        instance.grantor = grantor
        view = ControlView(True, 1, lease_until=float("inf"))
        ControlWriter(board).set(view)
        watcher = PlatformWatcher(instance, FixedLister(), 0.01)
        watching = asyncio.create_task(watcher.run())
        async with asyncio.timeout(10.0):
            while not grantor.listed:
                await asyncio.sleep(0.01)
        watching.cancel()
        with suppress(asyncio.CancelledError):
            await watching
        assert grantor.listed[0].cold_starts == {"t0": ColdStart(1.5, 27.0)}


class TestInstance:
    async def test_message_of_the_leader_is_applied(self) -> None:
        instance = build_instance()
        instance.receive("leader", COLD)
        assert instance.board.read(COLD_TARGETS) == {"t0": 0.0, "t1": 0.0}

    # Guards against plain calls, which ask no owner, and crash a cold target.
    async def test_calls_are_refused_while_all_targets_are_cold(self) -> None:
        instance = build_instance()
        instance.receive("leader", COLD)
        client: Any = Client()
        response = await CallRunner(instance, client).run_idempotent(SPEC)
        assert response.status == 503
        assert "Retry-After" in response.headers
        assert client.targets == []


class TestLog:
    # Guards against refusals whose cause an operator can't find.
    async def test_changes_are_logged_and_counted(self) -> None:
        instance = build_instance()
        logger: Any = RecordingLogger()
        metrics = Metrics()
        log = ColdTargetLog(instance.board, logger, metrics)
        log.update()
        instance.receive("leader", COLD)
        log.update()
        log.update()
        assert logger.events == ["cold_targets_changed"]
        assert b"heathertack_cold_targets 2.0" in metrics.render()
