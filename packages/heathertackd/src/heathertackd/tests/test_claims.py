"""Claims of calls that a process uses after it was paused."""

import asyncio
from typing import Any

import aiohttp
import pytest
from returns.result import Result, Success

from heathertack.blackboard import LEASE, TARGETS, Blackboard, LeaseView
from heathertack.messages import TargetRecord
from heathertack.state import (
    CallFound,
    CallOutcome,
    CallRecord,
    CallState,
    ClaimCall,
    ClaimGranted,
    Command,
    Done,
    RecordOutcome,
)
from heathertackd import Instance, configure_logs, monotonic
from heathertackd._call_session import CallRunner, CallSpec, PlainClient
from heathertackd.tests.test_peers import build_settings
from heathertackd.tests.test_plain_client import build_target

SPEC = CallSpec("portal", "school", "POST", "/seats/1", {}, b"", "k", 5.0)


class Log:
    """Answers claims; the owner of the first one is lost before it reads the answer."""

    def __init__(self, instance: Instance, is_owner_lost: bool) -> None:
        self._instance = instance
        self._is_owner_lost = is_owner_lost
        self.commands: list[Command] = []

    async def commit(self, command: Command, timeout: float) -> Result[Any, Any]:
        del timeout
        self.commands.append(command)
        if not isinstance(command, ClaimCall):
            return Success(Done())
        claims = [c for c in self.commands if isinstance(c, ClaimCall)]
        if len(claims) == 1:
            asyncio.get_running_loop().call_later(0.2, self.confirm)
            return Success(ClaimGranted(command.claim_id))
        assert claims[1] == claims[0]
        if not self._is_owner_lost:
            return Success(ClaimGranted(command.claim_id))
        record = CallRecord(
            "school", "k", "portal", command.body_digest, command.claim_id, "i1", 1,
            CallState.UNKNOWN, None, 0.0,
        )  # fmt: skip
        return Success(CallFound(record))

    def confirm(self) -> None:
        """Renew the lease, as an instance does soon after a pause."""
        self._write(monotonic())

    def _write(self, confirmed_at: float) -> None:
        lease = LeaseView(monotonic() + 60.0, "p", confirmed_at)
        self._instance.board.write(self._instance.lease_holder, LEASE, lease)

    def pause(self) -> None:
        """Let the latest contact with the leader be longer ago than it waits."""
        self._write(monotonic() - 5.0)


class CountingTarget:
    """A plain target that counts the calls that it runs."""

    def __init__(self) -> None:
        self.runs = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> TargetRecord:
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        return build_target(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.runs += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


class TestPausedOwner:
    # Guards against a call that a process sends on a claim that was granted before its
    # pause, after others were told that its outcome is unknown, or have settled it.
    @pytest.mark.parametrize(
        ("is_paused", "is_owner_lost", "runs"),
        [(False, False, 1), (True, False, 1), (True, True, 0)],
    )
    async def test_claim_is_confirmed_after_a_pause(
        self,
        is_paused: bool,
        is_owner_lost: bool,
        runs: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        settings = build_settings(1, "127.0.0.1:1")
        instance = Instance(
            settings, None, Blackboard(), configure_logs("test", "critical")
        )
        log = Log(instance, is_owner_lost)
        log.confirm()
        if is_paused:
            log.pause()
        monkeypatch.setattr(instance.control, "commit", log.commit)
        target = CountingTarget()
        record = await target.start()
        targets = {record.name: record}
        instance.board.write(instance.lease_holder, TARGETS, targets)
        monkeypatch.setattr(
            "heathertackd._call_session.find_usable_targets",
            lambda board, service, now: (record,),
        )
        async with aiohttp.ClientSession() as session:
            runner = CallRunner(instance, PlainClient(session))
            response = await runner.run_once(SPEC)
        target.stop()
        assert target.runs == runs
        assert (response.status == 200) is bool(runs)
        claims = [c for c in log.commands if isinstance(c, ClaimCall)]
        assert len(claims) == 1 + is_paused
        outcomes = [c.outcome for c in log.commands if isinstance(c, RecordOutcome)]
        recorded = CallOutcome(200, "", b"ok")
        assert outcomes == ([recorded] if runs else [])
