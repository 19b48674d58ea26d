"""Client that commits commands through the leader of the control log."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable

from returns.result import Failure, Result as Outcome, Success

from heathertack.messages import ControlReply, ControlRequest, ControlStatus
from heathertack.state import COMMAND_CODEC, RESULT_CODEC, Command, Result
from heathertackd._logs import Logger

#: Time for a small command to be committed, and for the reply to arrive.
_ATTEMPT_TIMEOUT_SECONDS = 0.7
_RETRY_INTERVAL_SECONDS = 0.1
#: Rate at which a large command is expected to reach the leader and the voters, over
#: links that also carry streams, bytes a second.
_MIN_TRANSFER_RATE = 125_000

Send = Callable[[str, ControlRequest], None]
FindLeader = Callable[[], str]


class ControlUnavailableError(Exception):
    """A command was not confirmed in time; it may still be committed."""


class _PendingCommand:
    """A command whose result is awaited."""

    def __init__(self) -> None:
        #: Instance to which the command was last sent.
        self.leader = ""
        #: Result once the command is committed.
        self.result: Result | None = None
        #: Set when a reply ends the wait.
        self.is_answered = asyncio.Event()


class ControlClient:
    """Sends commands to the leader until one is confirmed as committed.

    A command keeps its id, and is sent again only if it may be lost: while it is on its
    way a second copy would delay it. Commands are idempotent, so resending one is safe.

    Parameters
    ----------
    send : callable
        Sends a request to an instance.
    find_leader : callable
        Returns the instance that is the leader, empty while unknown.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, send: Send, find_leader: FindLeader, logger: Logger) -> None:
        self._send = send
        self._find_leader = find_leader
        self._logger = logger
        self._pending: dict[str, _PendingCommand] = {}

    def receive(self, sender: str, reply: ControlReply) -> None:
        """Process the reply of an instance.

        A result counts whenever it comes. A failure counts only from the instance to
        which the command was last sent.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None:
            self._logger.info(
                "control_reply_unmatched",
                request=reply.request_id,
                sender=sender,
                status=reply.status.value,
            )
        elif reply.status is ControlStatus.DONE:
            decoded = RESULT_CODEC.decode(reply.result)
            if isinstance(decoded, Failure):
                self._logger.warning(
                    "control_reply_unreadable",
                    request=reply.request_id,
                    sender=sender,
                    detail=decoded.failure().detail,
                )
                return
            pending.result = decoded.unwrap()
            pending.is_answered.set()
        elif sender == pending.leader:
            pending.is_answered.set()

    async def commit(
        self, command: Command, timeout: float
    ) -> Outcome[Result, ControlUnavailableError]:
        """Commit a command.

        Parameters
        ----------
        command : Command
            The command.
        timeout : float
            Time limit for a small command over all attempts, seconds. A large one gets
            the time of its transfer in addition.

        Returns
        -------
        Outcome[Result, ControlUnavailableError]
            Result of the command, or why it was not confirmed.
        """
        encoded = COMMAND_CODEC.encode(command)
        request = ControlRequest(secrets.token_hex(8), encoded)
        pending = _PendingCommand()
        self._pending[request.request_id] = pending
        transfer = len(encoded) / _MIN_TRANSFER_RATE
        try:
            async with asyncio.timeout(timeout + transfer):
                result = await self._commit(request, pending, transfer)
        except TimeoutError:
            return Failure(
                ControlUnavailableError("no leader confirmed the command in time")
            )
        finally:
            del self._pending[request.request_id]
        return Success(result)

    async def _commit(
        self, request: ControlRequest, pending: _PendingCommand, transfer: float
    ) -> Result:
        while pending.result is None:
            leader = self._find_leader()
            if leader:
                pending.leader = leader
                pending.is_answered.clear()
                self._send(leader, request)
                await self._wait(pending, _ATTEMPT_TIMEOUT_SECONDS + transfer)
            if pending.result is None:
                await asyncio.sleep(_RETRY_INTERVAL_SECONDS)
        return pending.result

    async def _wait(self, pending: _PendingCommand, timeout: float) -> None:
        """Wait for a reply, until the time is over or another instance leads."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while loop.time() < deadline and not pending.is_answered.is_set():
            if self._find_leader() not in ("", pending.leader):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RETRY_INTERVAL_SECONDS):
                    await pending.is_answered.wait()
