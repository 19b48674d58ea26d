"""Runs the control log on a thread of its own.

A disk may hang for seconds. The thread waits for it, while the loop goes on to serve
streams; the leader lease runs out meanwhile, so that another replica can lead.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Protocol

from heathertack.blackboard import Blackboard
from heathertack.consensus import Membership
from heathertack.controllers import (
    CommandSubmitted,
    ControlLogAction,
    ControlLogController,
    ControlLogEvent,
    ProposalsDue,
    TimePassed,
)
from heathertack.state import AcceptedBundle
from heathertackd import _clock
from heathertackd._logs import Logger

#: Wait before a replica whose disk failed is opened again, seconds.
_REOPEN_SECONDS = 0.5
#: Most events that wait for the disk. Beyond it messages are dropped, as a network
#: may drop them.
_MOST_WAITING_EVENTS = 2000
#: Events that are handled before their actions are carried out.
_LARGEST_BATCH = 64

TakeActions = Callable[[tuple[ControlLogAction, ...]], None]


class BuildControlLog(Protocol):
    """Opens the data folder and returns the controller of the control log."""

    def __call__(self, board: Blackboard) -> ControlLogController:
        """Return a controller for what the disk holds."""
        ...


class ControlLogRunner:
    """Hands events to the control log and its actions to the loop.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    build : BuildControlLog
        Opens the control log; called again after an error of the disk.
    logger : Logger
        Logger of the instance.
    """

    def __init__(
        self, board: Blackboard, build: BuildControlLog, logger: Logger
    ) -> None:
        self._board = board
        self._build = build
        self._logger = logger
        self._controller = build(board)
        self._events: queue.Queue[ControlLogEvent | None] = queue.Queue(
            _MOST_WAITING_EVENTS
        )
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()
        self._clock_is_due = True

    @property
    def bundle(self) -> AcceptedBundle | None:
        """The bundle as of the last applied entry."""
        return self._controller.machine.bundle

    @property
    def controller(self) -> ControlLogController:
        """The controller; only its properties may be read from the loop."""
        return self._controller

    @property
    def membership(self) -> Membership:
        """Replicas of the log."""
        return self._controller.replica.membership

    def start(self, take_actions: TakeActions) -> None:
        """Start the thread; actions are given to the running loop."""
        loop = asyncio.get_running_loop()

        def post(actions: tuple[ControlLogAction, ...]) -> None:
            if actions and not self._stopping.is_set():
                loop.call_soon_threadsafe(take_actions, actions)

        self._thread = threading.Thread(
            target=self._run, args=(post,), name="control-log", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; one that waits for a hung disk is left behind."""
        self._stopping.set()
        self.post(None)

    def post(self, event: ControlLogEvent | None) -> None:
        """Queue an event; drop it when the disk holds up too many of them."""
        if isinstance(event, TimePassed):
            if not self._clock_is_due:
                return
            self._clock_is_due = False
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._logger.warning("control_log_event_dropped", kind=type(event).__name__)

    def _run(self, post: TakeActions) -> None:
        while not self._stopping.is_set():
            batch = self._take_batch()
            try:
                post(self._handle(batch))
            except OSError as error:
                self._logger.error("control_log_disk_failed", detail=str(error))
                self._reopen()

    def _take_batch(self) -> list[ControlLogEvent]:
        """Return the events that wait, at least one."""
        batch: list[ControlLogEvent] = []
        event = self._events.get()
        while event is not None:
            batch.append(event)
            if isinstance(event, TimePassed):
                self._clock_is_due = True
            if len(batch) == _LARGEST_BATCH or self._events.empty():
                break
            event = self._events.get()
        return batch

    def _handle(self, batch: list[ControlLogEvent]) -> tuple[ControlLogAction, ...]:
        """Handle events; all commands among them are synced at once."""
        actions: list[ControlLogAction] = []
        for event in batch:
            actions.extend(self._controller.handle(event, _clock.monotonic()))
        if any(isinstance(event, CommandSubmitted) for event in batch):
            due = ProposalsDue()
            actions.extend(self._controller.handle(due, _clock.monotonic()))
        return tuple(actions)

    def _reopen(self) -> None:
        """Start again from what the disk holds, as a new process would."""
        self._controller.detach()
        while not self._stopping.wait(_REOPEN_SECONDS):
            try:
                self._controller = self._build(self._board)
            except Exception as error:
                self._logger.warning("control_log_not_reopened", detail=str(error))
                continue
            self._logger.info("control_log_reopened")
            return
