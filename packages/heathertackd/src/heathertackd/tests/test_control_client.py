import asyncio
from typing import Any, NamedTuple

import pytest
from returns.result import Success

from heathertack.bundle import SignedBundle
from heathertack.messages import ControlReply, ControlRequest, ControlStatus
from heathertack.state import (
    RESULT_CODEC,
    ApplyBundle,
    BundleAccepted,
    ClaimCall,
    Command,
)
from heathertackd._control_client import ControlClient

_RESULT = BundleAccepted(2, "d", 7)
_LARGE = ApplyBundle(2, "d", SignedBundle("x" * 300_000, "o", "", "x" * 300_000))
_SMALL = ClaimCall("school", "k", "portal", "digest", "claim", "e", 1)


class _Logger:
    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **fields: Any) -> None:
        del fields
        self.events.append(event)


class _Leaders:
    """Scripted leaders, each of which replies after a delay or not at all."""

    def __init__(self, leader: str, **delays: float | None) -> None:
        self.leader = leader
        self.sent: list[tuple[str, ControlRequest]] = []
        self.logger = _Logger()
        self._delays = delays
        self.client = ControlClient(
            self._send,
            lambda: self.leader,
            self.logger,  # type: ignore[arg-type]
        )

    def reply(
        self, sender: str, request: ControlRequest, status: ControlStatus
    ) -> None:
        result = RESULT_CODEC.encode(_RESULT) if status is ControlStatus.DONE else b""
        reply = ControlReply(request.request_id, status, self.leader, result)
        self.client.receive(sender, reply)

    def _send(self, instance: str, request: ControlRequest) -> None:
        self.sent.append((instance, request))
        delay = self._delays.get(instance)
        if delay is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.reply, instance, request, ControlStatus.DONE)


class _Case(NamedTuple):
    command: Command
    #: Time until the reply arrives, seconds.
    delay: float
    #: Number of times that the command is sent.
    sent: int


class TestLateReplies:
    # Guards against a command whose attempts are all shorter than its work, so that
    # each reply comes too late, and each attempt sends the whole command again.
    @pytest.mark.parametrize(
        "case",
        [
            _Case(_LARGE, 0.3, 1),
            _Case(_LARGE, 1.5, 1),
            _Case(_LARGE, 3.0, 1),
            _Case(_SMALL, 0.3, 1),
            _Case(_SMALL, 1.0, 2),
        ],
    )
    async def test_reply_counts_whenever_it_comes(self, case: _Case) -> None:
        leaders = _Leaders("a", a=case.delay)
        result = await leaders.client.commit(case.command, 3.0)
        assert result == Success(_RESULT)
        assert len(leaders.sent) == case.sent
        assert len({request.request_id for _, request in leaders.sent}) == 1

    async def test_reply_of_a_former_leader_counts(self) -> None:
        leaders = _Leaders("a", a=0.6, b=None)
        task = asyncio.create_task(leaders.client.commit(_SMALL, 3.0))
        await asyncio.sleep(0.2)
        leaders.leader = "b"
        assert await task == Success(_RESULT)
        assert [instance for instance, _ in leaders.sent] == ["a", "b"]

    async def test_reply_after_the_end_is_logged(self) -> None:
        leaders = _Leaders("a", a=None)
        await leaders.client.commit(_SMALL, 0.05)
        leaders.reply("a", leaders.sent[0][1], ControlStatus.DONE)
        assert leaders.logger.events == ["control_reply_unmatched"]


class TestLostCommands:
    async def test_command_goes_to_a_new_leader_at_once(self) -> None:
        leaders = _Leaders("a", a=None, b=0.05)
        task = asyncio.create_task(leaders.client.commit(_LARGE, 3.0))
        await asyncio.sleep(0.2)
        leaders.leader = "b"
        async with asyncio.timeout(1.0):
            assert await task == Success(_RESULT)

    async def test_failure_of_a_former_leader_does_not_cause_a_resend(self) -> None:
        leaders = _Leaders("a", a=None, b=0.8)
        task = asyncio.create_task(leaders.client.commit(_LARGE, 3.0))
        await asyncio.sleep(0.05)
        leaders.leader = "b"
        await asyncio.sleep(0.4)
        leaders.reply("a", leaders.sent[0][1], ControlStatus.NOT_LEADER)
        assert await task == Success(_RESULT)
        assert [instance for instance, _ in leaders.sent] == ["a", "b"]

    async def test_refused_command_is_sent_again(self) -> None:
        leaders = _Leaders("a", a=None)
        task = asyncio.create_task(leaders.client.commit(_LARGE, 3.0))
        await asyncio.sleep(0.05)
        leaders.reply("a", leaders.sent[0][1], ControlStatus.UNAVAILABLE)
        await asyncio.sleep(0.25)
        assert len(leaders.sent) == 2
        leaders.reply("a", leaders.sent[1][1], ControlStatus.DONE)
        assert await task == Success(_RESULT)
