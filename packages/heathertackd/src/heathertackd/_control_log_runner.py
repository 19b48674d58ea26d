"""Runs the control log on a dedicated thread.

A disk operation may block for seconds. It blocks only this thread, while the event
loop continues to serve streams. The leader lease expires meanwhile, so that another
replica can lead.
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
from heathertackd._supervision import FailureLog

#: Delay before each attempt to reopen a replica whose disk failed.
_REOPEN_DELAY_SECONDS = 0.5
#: Maximum number of events that wait for the disk. Further events are dropped, as
#: messages may be lost in a network.
_MAX_QUEUED_EVENTS = 2000
#: Maximum number of events handled before their actions are carried out.
_MAX_BATCH_EVENTS = 64

ActionHandler = Callable[[tuple[ControlLogAction, ...]], None]


class ControlLogFactory(Protocol):
    """Opens the data folder and returns the controller of the control log."""

    def __call__(self, board: Blackboard) -> ControlLogController:
        """Return a controller for what the disk holds."""
        ...


class ControlLogRunner:
    """Passes events to the control log and its actions to the event loop.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    build : ControlLogFactory
        Opens the control log; called again after a disk error.
    logger : Logger
        Logger of the instance.
    """

    def __init__(
        self, board: Blackboard, build: ControlLogFactory, logger: Logger
    ) -> None:
        self._board = board
        self._build = build
        self._logger = logger
        self._controller = build(board)
        self._events: queue.Queue[ControlLogEvent | None] = queue.Queue(
            _MAX_QUEUED_EVENTS
        )
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()
        self._can_queue_clock_event = True
        self._record: Callable[[Exception], None] = lambda error: None

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
        """Current membership of the log."""
        return self._controller.replica.membership

    def start(self, handle_actions: ActionHandler, failures: FailureLog) -> None:
        """Start the thread.

        Parameters
        ----------
        handle_actions : callable
            Handles actions; called on the running event loop.
        failures : FailureLog
            Log of failures; used on the running event loop.
        """
        loop = asyncio.get_running_loop()

        def record(error: Exception) -> None:
            if not self._stopping.is_set():
                loop.call_soon_threadsafe(failures.record, "control_log", error)

        self._record = record

        def post(actions: tuple[ControlLogAction, ...]) -> None:
            if actions and not self._stopping.is_set():
                loop.call_soon_threadsafe(handle_actions, actions)

        self._thread = threading.Thread(
            target=self._run, args=(post,), name="control-log", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to exit, without joining it.

        A thread that is blocked on a hung disk does not exit.
        """
        self._stopping.set()
        self.post(None)

    def post(self, event: ControlLogEvent | None) -> None:
        """Queue an event, or drop it if the queue is full.

        At most one clock event is queued at a time.
        """
        is_clock_event = isinstance(event, TimePassed)
        if is_clock_event and not self._can_queue_clock_event:
            return
        # Set first: the thread may take the event, and set it again, at any moment.
        self._can_queue_clock_event &= not is_clock_event
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._can_queue_clock_event |= is_clock_event
            self._logger.warning("control_log_event_dropped", kind=type(event).__name__)

    def _run(self, post: ActionHandler) -> None:
        while not self._stopping.is_set():
            batch = self._take_batch()
            try:
                post(self._handle(batch))
            except OSError as error:
                self._logger.error("control_log_disk_failed", detail=str(error))
                self._reopen()
            except Exception as error:
                # As after a restart, the state is what the disk holds.
                self._record(error)
                self._reopen()

    def _take_batch(self) -> list[ControlLogEvent]:
        """Return the queued events, up to a batch; wait for the first one."""
        batch: list[ControlLogEvent] = []
        event = self._events.get()
        while event is not None:
            batch.append(event)
            if isinstance(event, TimePassed):
                self._can_queue_clock_event = True
            if len(batch) == _MAX_BATCH_EVENTS or self._events.empty():
                break
            event = self._events.get()
        return batch

    def _handle(self, batch: list[ControlLogEvent]) -> tuple[ControlLogAction, ...]:
        """Handle a batch of events; its commands are synced to disk together."""
        actions: list[ControlLogAction] = []
        for event in batch:
            actions.extend(self._controller.handle(event, _clock.monotonic()))
        if any(isinstance(event, CommandSubmitted) for event in batch):
            due = ProposalsDue()
            actions.extend(self._controller.handle(due, _clock.monotonic()))
        return tuple(actions)

    def _reopen(self) -> None:
        """Rebuild the controller from the disk, as a restarted process would."""
        self._controller.detach()
        while not self._stopping.wait(_REOPEN_DELAY_SECONDS):
            try:
                self._controller = self._build(self._board)
            except Exception as error:
                self._logger.warning("control_log_not_reopened", detail=str(error))
                continue
            self._logger.info("control_log_reopened")
            return
