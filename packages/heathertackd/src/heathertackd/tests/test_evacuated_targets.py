"""Calls and generations of the product's own interface, and the log of evacuations."""

from typing import Any

import pytest

from heathertack.blackboard import (
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    TARGETS,
    Blackboard,
)
from heathertack.controllers import (
    LinkClosed,
    LinkFailure,
    LossReportCompleted,
    ReportLoss,
    ResumeStream,
    TargetResponded,
    TargetUnreachable,
)
from heathertack.controllers.tests.test_admission import request
from heathertack.messages import TargetRecord, TargetState
from heathertack.state import CallOutcome
from heathertackd import Instance, configure_logs
from heathertackd._call_session import CallRunner, CallSpec
from heathertackd._evacuation_log import EvacuationLog
from heathertackd._generation_session import GenerationSession, GenerationSpec
from heathertackd._metrics import Metrics
from heathertackd._wire import CompletionRequest
from heathertackd.tests.test_peers import build_settings

LIVE, LEAVING = TargetState.LIVE, TargetState.LEAVING
DOMAINS = {"t0": "a", "t1": "b"}
SPEC = CallSpec("portal", "school", "GET", "/seats", {}, b"", "", 5.0)


def build_instance() -> Instance:
    logger = configure_logs("test", "critical")
    instance = Instance(build_settings(1, "127.0.0.1:1"), None, Blackboard(), logger)
    publish(instance.board, instance.lease_holder)
    return instance


def publish(board: Blackboard, writer: Any, *evacuated: str) -> None:
    """Write the table of targets, some of them evacuated."""
    records = {
        name: TargetRecord(
            name, "portal", f"{name}:1", domain, LEAVING if name in evacuated else LIVE
        )
        for name, domain in DOMAINS.items()
    }
    board.write(writer, TARGETS, records)
    board.write(writer, EVACUATED_TARGETS, frozenset(evacuated))
    domains = frozenset(DOMAINS[name] for name in evacuated)
    board.write(writer, EVACUATED_DOMAINS, domains)


class FailingClient:
    """Records the targets of calls; a domain is evacuated while the first one fails."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.targets: list[str] = []

    async def send(self, target: TargetRecord, spec: CallSpec) -> Any:
        del spec
        self.targets.append(target.name)
        if len(self.targets) > 1:
            return TargetResponded(CallOutcome(200, "", b"ok"))
        other = "t1" if target.name == "t0" else "t0"
        publish(self._instance.board, self._instance.lease_holder, other)
        return TargetUnreachable(has_alternative=False)


class TestCalls:
    # Guards against a retry at a target that was evacuated since the call began.
    async def test_call_is_not_retried_at_an_evacuated_target(self) -> None:
        instance = build_instance()
        client = FailingClient(instance)
        runner = CallRunner(instance, client)  # type: ignore[arg-type]
        response = await runner.run_idempotent(SPEC)
        assert response.status == 503
        assert len(client.targets) == 1

    async def test_service_that_is_evacuated_as_a_whole_refuses(self) -> None:
        instance = build_instance()
        publish(instance.board, instance.lease_holder, "t0", "t1")
        client = FailingClient(instance)
        runner = CallRunner(instance, client)  # type: ignore[arg-type]
        response = await runner.run_idempotent(SPEC)
        assert response.status == 503
        assert "Retry-After" in response.headers
        assert client.targets == []


class NoEngines:
    """Fails a test that sends to an engine."""

    def resume_stream(self, address: str, attempt_id: str, offset: int) -> Any:
        pytest.fail(f"resumed {attempt_id} at {address} from {offset}")


def build_session(instance: Instance) -> GenerationSession:
    completion = CompletionRequest(
        "/x", "portal", "p", stream=False, max_tokens=4, body={}
    )
    spec = GenerationSpec(completion, request("g"), 0.0, 1.0)
    engines: Any = NoEngines()
    http_request: Any = None
    return GenerationSession(instance, engines, spec, http_request)


class TestGenerations:
    # Guards against a generation that is resumed at an evacuated engine, and against
    # one that is refused later since it counts as the cause of a loss.
    async def test_generation_is_not_resumed_at_an_evacuated_target(self) -> None:
        instance = build_instance()
        publish(instance.board, instance.lease_holder, "t0")
        session = build_session(instance)
        await session._execute((ResumeStream(2, "t0", "g.1", 3),))
        (closed,) = await session._events.get()
        assert isinstance(closed, LinkClosed)
        assert closed.failure is LinkFailure.UNKNOWN_GENERATION
        await session._execute((ReportLoss(1, "t0", "g.1"),))
        (reported,) = await session._events.get()
        assert reported == LossReportCompleted(1, 0)


class RecordingLogger:
    """Records the names of events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        del fields
        self.events.append(event)

    warning = info


class TestLog:
    # Guards against a service without targets whose cause an operator can't find.
    def test_changes_and_services_without_targets_are_logged_once(self) -> None:
        instance = build_instance()
        logger: Any = RecordingLogger()
        metrics = Metrics()
        log = EvacuationLog(instance.board, logger, metrics)
        for evacuated in ((), ("t0",), ("t0", "t1"), ("t0", "t1"), ()):
            publish(instance.board, instance.lease_holder, *evacuated)
            log.update()
        assert logger.events == [
            "evacuated_targets_changed",
            "evacuated_targets_changed",
            "service_evacuated",
            "evacuated_targets_changed",
            "service_readmitted",
        ]
        assert b"heathertack_evacuated_targets 0.0" in metrics.render()
