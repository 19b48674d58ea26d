"""Moves one running stream to another target with a copy at a third one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure

from heathertack.blackboard import TARGETS
from heathertack.controllers import (
    CopyDropped,
    PlacementDenied,
    PlacementEnded,
    PlacementRequested,
    TargetChosen,
)
from heathertack.messages import (
    ReservationOutcome,
    ReservationRequest,
    TargetState,
)
from heathertackd import _clock
from heathertackd._instance import Instance
from heathertackd.forwarding._memory import Continuation, KvCacheMover, MoveFailure

#: Wait before a move is tried again that failed, seconds.
_RETRY_SECONDS = 0.5
#: The same after the destination had no room: another one is asked then.
_NO_ROOM_RETRY_SECONDS = 0.05
#: Longest wait for a place: moves from one engine go one after the other, and it is
#: gone one to two seconds after its notice.
_PATIENCE_SECONDS = 1.5

Log = Callable[..., None]


class StreamMover:
    """Keeps one stream from being lost with its target.

    Parameters
    ----------
    instance : Instance
        The daemon.
    mover : KvCacheMover
        Calls to engines.
    request_id : str
        Id of the request that runs.
    log : callable
        Writes a log line about the request.
    """

    def __init__(
        self, instance: Instance, mover: KvCacheMover, request_id: str, log: Log
    ) -> None:
        self._instance = instance
        self._mover = mover
        self._request_id = request_id
        self._log = log
        self._task: asyncio.Task[Continuation | None] | None = None
        self._background: set[asyncio.Task[None]] = set()
        self._not_before = 0.0
        #: What admission is told of a place that was not used.
        self._outcome = ReservationOutcome.CANCELLED
        self._decision: asyncio.Future[TargetChosen | PlacementDenied] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a move is in progress."""
        return self._task is not None and not self._task.done()

    def may_begin(self, now: float) -> bool:
        """Tell whether a move may be tried."""
        return not self.is_busy and now >= self._not_before

    def begin(self, placed: TargetChosen, reservation: ReservationRequest) -> None:
        """Begin to move a run from a place to the one that a reservation gives."""
        self._not_before = _clock.monotonic() + _RETRY_SECONDS
        self._task = asyncio.create_task(self._move(placed, reservation))

    def cancel(self) -> None:
        """Give up a move in progress."""
        if self._task is not None:
            self._task.cancel()

    async def result(self, timeout: float) -> Continuation | None:
        """Return where the run goes on, ``None`` if it was not handed over."""
        if self._task is None:
            return None
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(self._task)
        except TimeoutError:
            self._task.cancel()
            return None
        finally:
            self._task = None

    def take_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Take the decision of admission."""
        if self._decision is not None and not self._decision.done():
            self._decision.set_result(decision)

    def take_copy_dropped(self, dropped: CopyDropped) -> None:
        """Pass over it: the copy of a place that is not used yet is not made."""

    def discard(self, keeper: str) -> None:
        """Free the copy of the run that a target keeps."""
        task = asyncio.create_task(self._discard(keeper))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _move(
        self, old: TargetChosen, reservation: ReservationRequest
    ) -> Continuation | None:
        key = reservation.generation_id
        self._instance.listen(key, self)
        handed_over: Continuation | None = None
        self._outcome = ReservationOutcome.CANCELLED
        try:
            decision = await self._place(reservation)
            if isinstance(decision, PlacementDenied):
                self._log("stream_not_moved", source=old.target, detail=decision.reason)
                return None
            if not decision.backup and not self._is_leaving(old.target):
                detail = "no target has room for a copy"
                self._log("stream_not_moved", source=old.target, detail=detail)
                return None
            handed_over = await self._copy(old.target, decision)
            if handed_over is not None:
                await self._discard(old.backup)
            return handed_over
        finally:
            self._instance.stop_listening(key)
            if handed_over is None:
                self._release(key)

    async def _place(
        self, reservation: ReservationRequest
    ) -> TargetChosen | PlacementDenied:
        self._decision = asyncio.get_running_loop().create_future()
        wanted = PlacementRequested(reservation._replace(max_wait=_PATIENCE_SECONDS))
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(wanted, now))
        return await self._decision

    async def _copy(self, source: str, placed: TargetChosen) -> Continuation | None:
        targets = self._instance.board.read(TARGETS)
        origin = targets.get(source)
        destination = targets.get(placed.target)
        if origin is None or destination is None:
            return None
        copied = await self._mover.copy(
            origin.address, self._request_id, destination.address
        )
        if isinstance(copied, Failure):
            self._note_failure(placed, source, copied.failure())
            return None
        handed = await self._mover.hand_over(
            origin.address, self._request_id, destination.address
        )
        if isinstance(handed, Failure):
            self._note_failure(placed, source, handed.failure())
            return None
        self._log("stream_moved", source=source, to=placed.target)
        return Continuation(placed.target, origin.address, handed.unwrap(), placed)

    def _note_failure(
        self, placed: TargetChosen, source: str, failure: MoveFailure
    ) -> None:
        if failure.is_destination_full:
            self._outcome = ReservationOutcome.REJECTED
            self._not_before = _clock.monotonic() + _NO_ROOM_RETRY_SECONDS
        self._log(
            "stream_not_moved", source=source, to=placed.target, detail=failure.detail
        )

    def _is_leaving(self, target: str) -> bool:
        record = self._instance.board.read(TARGETS).get(target)
        return record is None or record.state is not TargetState.LIVE

    async def _discard(self, name: str) -> None:
        keeper = self._instance.board.read(TARGETS).get(name)
        if keeper is None or keeper.state is TargetState.GONE:
            return
        freed = await self._mover.discard(keeper.address, self._request_id)
        if isinstance(freed, Failure):
            self._log("copy_not_freed", target=keeper.name, detail=freed.failure())

    def _release(self, key: str) -> None:
        ended = PlacementEnded(key, self._outcome)
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(ended, now))
