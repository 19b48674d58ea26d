"""Generations at a target that the table of a new leader does not hold."""

from typing import Any

import aiohttp
from returns.result import Failure, Result

from heathertack.blackboard import TARGETS
from heathertack.controllers import (
    CancelAttempt,
    LinkClosed,
    LinkFailure,
    OpenStream,
    ResumeStream,
)
from heathertack.controllers.tests.test_admission import request
from heathertackd import Instance
from heathertackd._engine_client import LinkError
from heathertackd._generation_session import GenerationSession, GenerationSpec
from heathertackd._wire import CompletionRequest
from heathertackd.tests.test_evacuated_targets import build_instance


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
