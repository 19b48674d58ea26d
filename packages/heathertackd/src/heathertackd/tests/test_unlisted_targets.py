"""Generations and calls whose target is no longer in the table of targets."""

from collections.abc import Mapping
from typing import Any

import aiohttp
import pytest
from returns.result import Failure, Result

from heathertack.blackboard import TARGETS
from heathertack.controllers import (
    CancelAttempt,
    LinkClosed,
    LinkFailure,
    OpenStream,
    ResumeStream,
    TargetResponded,
    TargetUnreachable,
)
from heathertack.controllers.tests.test_admission import request
from heathertack.messages import TargetRecord, TargetState
from heathertack.state import CallOutcome
from heathertackd import Instance
from heathertackd._call_session import CallRunner
from heathertackd._engine_client import LinkError
from heathertackd._generation_session import GenerationSession, GenerationSpec
from heathertackd._wire import CompletionRequest
from heathertackd.tests.test_evacuated_targets import SPEC, build_instance


class RecordingEngines:
    """Records the addresses that are asked; no engine answers."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str]] = []

    async def open_stream(
        self, address: str, path: str, body: dict[str, Any]
    ) -> Result[aiohttp.ClientResponse, LinkError]:
        del path, body
        return self._fail("open", address)

    async def resume_stream(
        self, address: str, attempt_id: str, offset: int
    ) -> Result[aiohttp.ClientResponse, LinkError]:
        del attempt_id, offset
        return self._fail("resume", address)

    async def cancel(self, address: str, attempt_id: str) -> None:
        del attempt_id
        self.asked.append(("cancel", address))

    def _fail(
        self, call: str, address: str
    ) -> Result[aiohttp.ClientResponse, LinkError]:
        self.asked.append((call, address))
        return Failure(LinkError(LinkFailure.BROKEN, "no answer"))


def build_session(instance: Instance, engines: Any) -> GenerationSession:
    completion = CompletionRequest(
        "/x", "portal", "p", stream=False, max_tokens=4, body={}
    )
    spec = GenerationSpec(completion, request("g"), 0.0, 1.0)
    http_request: Any = None
    return GenerationSession(instance, engines, spec, http_request)


def unlist(instance: Instance) -> None:
    """Write an empty table of targets."""
    instance.board.write(instance.lease_holder, TARGETS, {})


class TestGenerations:
    # Guards against a generation that runs on at its engine and once more at another
    # one, since its engine could be neither asked to continue nor to cancel it.
    async def test_generation_is_resumed_and_cancelled_where_it_was_opened(
        self,
    ) -> None:
        instance, engines = build_instance(), RecordingEngines()
        session = build_session(instance, engines)
        await session._execute((OpenStream(1, "t0", "g.1"),))
        await session._events.get()
        unlist(instance)
        await session._execute((ResumeStream(2, "t0", "g.1", 3),))
        await session._events.get()
        await session._execute((CancelAttempt("t0", "g.1"),))
        for task in tuple(session._background_tasks):
            await task
        assert engines.asked == [
            ("open", "t0:1"),
            ("resume", "t0:1"),
            ("cancel", "t0:1"),
        ]

    # Guards against a connection to an address that no target has.
    async def test_generation_is_not_opened_at_an_unlisted_target(self) -> None:
        instance, engines = build_instance(), RecordingEngines()
        session = build_session(instance, engines)
        unlist(instance)
        await session._execute((OpenStream(1, "t0", "g.1"),))
        (closed,) = await session._events.get()
        assert isinstance(closed, LinkClosed)
        assert closed.failure is LinkFailure.UNREACHABLE
        await session._execute((CancelAttempt("t0", "g.1"),))
        assert engines.asked == []


class FailingClient:
    """Records the targets of calls; the table changes while the first one fails."""

    def __init__(self, instance: Instance, changes: Mapping[str, Any] | None) -> None:
        self._instance = instance
        self._changes = changes
        self.targets: list[str] = []

    async def send(self, target: TargetRecord, spec: Any) -> Any:
        del spec
        self.targets.append(target.name)
        if len(self.targets) > 1:
            return TargetResponded(CallOutcome(200, "", b"ok"))
        board = self._instance.board
        known = board.read(TARGETS)
        records = {target.name: known[target.name]}
        if self._changes is not None:
            records.update(
                {
                    name: record._replace(**self._changes)
                    for name, record in known.items()
                    if name != target.name
                }
            )
        board.write(self._instance.lease_holder, TARGETS, records)
        return TargetUnreachable(has_alternative=False)


class TestCalls:
    # Guards against a call that is sent to an address that another service has now.
    @pytest.mark.parametrize(
        ("changes", "status"),
        [
            pytest.param({}, 200, id="listed as before"),
            pytest.param(None, 503, id="unlisted"),
            pytest.param({"state": TargetState.GONE}, 503, id="gone"),
            pytest.param({"address": "t9:1"}, 503, id="replaced"),
        ],
    )
    async def test_call_is_only_retried_at_a_target_that_is_still_listed(
        self, changes: Mapping[str, Any] | None, status: int
    ) -> None:
        instance = build_instance()
        client = FailingClient(instance, changes)
        runner = CallRunner(instance, client)  # type: ignore[arg-type]
        response = await runner.run_idempotent(SPEC)
        assert response.status == status
        assert len(client.targets) == (2 if status == 200 else 1)
