"""Starts tasks that nobody awaits."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine
from functools import partial
from typing import Any, TypeVar

from heathertackd._logs import Logger

_ResultT = TypeVar("_ResultT")


def start_background_task(
    coroutine: Coroutine[Any, Any, _ResultT], logger: Logger
) -> asyncio.Task[_ResultT]:
    """Start a task, and log the exception that ends it.

    Parameters
    ----------
    coroutine : coroutine
        Work of the task.
    logger : Logger
        Logger of the instance.

    Returns
    -------
    asyncio.Task
        The task; the caller keeps a reference to it.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(partial(_log_failure, logger))
    return task


def _log_failure(logger: Logger, task: asyncio.Task[Any]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is None:
        return
    frames = traceback.extract_tb(error.__traceback__)
    logger.error(
        "background_task_failed",
        task=getattr(task.get_coro(), "__qualname__", ""),
        detail=repr(error),
        where=f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "",
    )
