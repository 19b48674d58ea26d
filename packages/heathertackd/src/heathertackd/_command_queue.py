"""Commits commands in the background."""

from __future__ import annotations

import asyncio

from returns.result import Failure

from heathertack.state import Command
from heathertackd._background_tasks import start_background_task
from heathertackd._control_client import ControlClient
from heathertackd._logs import Logger

#: Time for which a command is sent again until a leader confirms it, seconds. Longer
#: than an election takes while instances restart or are cut off.
_COMMIT_TIMEOUT_SECONDS = 60.0
#: Maximum number of commands that wait; further ones are dropped.
_MAX_COMMANDS = 128


class CommandQueue:
    """Retries commands until they are committed, without blocking the submitter.

    Parameters
    ----------
    control : ControlClient
        Commits commands through the leader.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, control: ControlClient, logger: Logger) -> None:
        self._control = control
        self._logger = logger
        self._tasks: set[asyncio.Task[None]] = set()

    def submit(self, command: Command) -> None:
        """Commit a command as soon as a leader confirms it."""
        if len(self._tasks) >= _MAX_COMMANDS:
            self._logger.warning("command_dropped", command=repr(command))
            return
        task = start_background_task(self._commit(command), self._logger)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the commands that are not committed yet."""
        for task in self._tasks:
            task.cancel()

    async def _commit(self, command: Command) -> None:
        result = await self._control.commit(command, _COMMIT_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            detail = str(result.failure())
            self._logger.warning(
                "command_not_committed", command=repr(command), detail=detail
            )
            return
        self._logger.info(
            "command_committed", command=repr(command), result=repr(result.unwrap())
        )
