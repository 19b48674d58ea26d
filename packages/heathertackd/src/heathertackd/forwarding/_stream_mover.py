"""Moves one running stream to another target, with a backup at a third one."""

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
    accepts_new_work,
    can_copy,
    find_pause,
    keeps_running,
)
from heathertack.messages import (
    ReservationOutcome,
    ReservationRequest,
)
from heathertackd import _clock
from heathertackd._background_tasks import start_background_task
from heathertackd._instance import Instance
from heathertackd.forwarding._kv_cache import (
    Continuation,
    CopyState,
    KvCacheCopy,
    KvCacheMover,
    MoveFailure,
    find_copy_state,
)

#: Delay before a failed move is retried, seconds.
_RETRY_SECONDS = 0.5
#: Delay after the destination had no room or began to leave, seconds: the retry goes to
#: another target.
_DESTINATION_FULL_RETRY_SECONDS = 0.05
#: Maximum wait for a placement: the moves from one engine run one after the other, and
#: the engine stops one to two seconds after its notice.
_PLACEMENT_WAIT_SECONDS = 1.5
#: Maximum wait for a target to want requests before a copy is left to expire there.
_MAX_DISCARD_WAIT_SECONDS = 10.0

Log = Callable[..., None]


class StreamMover:
    """Moves one stream before it is lost with its target.

    Parameters
    ----------
    instance : Instance
        The daemon.
    mover : KvCacheMover
        Calls to engines that copy KV caches.
    request_id : str
        Id of the running request.
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
        self._is_handing_over = False
        self._next_start_at = 0.0
        #: Outcome reported to admission for a placement that was not used.
        self._outcome = ReservationOutcome.CANCELLED
        self._decision: asyncio.Future[TargetChosen | PlacementDenied] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a move is in progress."""
        return self._task is not None and not self._task.done()

    @property
    def is_handing_over(self) -> bool:
        """Whether the run may have been stopped, so that it goes on elsewhere."""
        return self._is_handing_over

    def can_start(self, now: float) -> bool:
        """Return whether a move may be started now."""
        return not self.is_busy and now >= self._next_start_at

    def start(
        self,
        placement: TargetChosen,
        reservation: ReservationRequest,
        backup: KvCacheCopy | None,
    ) -> None:
        """Start moving a run to the placement that a reservation requests.

        Parameters
        ----------
        placement : TargetChosen
            Placement of the run.
        reservation : ReservationRequest
            Reservation at the destination.
        backup : KvCacheCopy or None
            Backup of the run, which is freed once the run has been handed over.
        """
        self._next_start_at = _clock.monotonic() + _RETRY_SECONDS
        self._is_handing_over = False
        self._task = start_background_task(
            self._move(placement, reservation, backup), self._instance.logger
        )

    def cancel(self) -> None:
        """Cancel a move in progress."""
        if self._task is not None:
            self._task.cancel()

    async def result(self, timeout: float) -> Continuation | None:
        """Return where the run continues, ``None`` if it was not handed over."""
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

    def handle_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Receive the decision of admission."""
        if self._decision is not None and not self._decision.done():
            self._decision.set_result(decision)

    def handle_copy_dropped(self, dropped: CopyDropped) -> None:
        """Do nothing: an unused placement has no backup yet."""

    def discard_backup(self, backup: KvCacheCopy) -> None:
        """Free the backup of the run that a target keeps."""
        task = start_background_task(self._discard(backup), self._instance.logger)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _move(
        self,
        old: TargetChosen,
        reservation: ReservationRequest,
        backup: KvCacheCopy | None,
    ) -> Continuation | None:
        key = reservation.generation_id
        self._instance.add_placement_listener(key, self)
        handed_over: Continuation | None = None
        self._outcome = ReservationOutcome.CANCELLED
        try:
            decision = await self._request_placement(reservation)
            if isinstance(decision, PlacementDenied):
                self._log("stream_not_moved", source=old.target, detail=decision.reason)
                return None
            if not self._instance.are_versions_confirmed(_clock.monotonic()):
                detail = "the software versions are not confirmed"
                self._log("stream_not_moved", source=old.target, detail=detail)
                return None
            if not can_copy(self._instance.board, old.target, decision.target):
                detail = f"{decision.target} has another software version"
                self._log("stream_not_moved", source=old.target, detail=detail)
                return None
            if self._rejects_destination(old.target, decision.target):
                return None
            if decision.backup and not self._accepts_new_work(decision.backup):
                decision = decision._replace(backup="")
            if not decision.backup and self._keeps_running(old.target):
                detail = "no target has room for a backup"
                self._log("stream_not_moved", source=old.target, detail=detail)
                return None
            handed_over = await self._transfer(old.target, decision)
            if handed_over is None:
                return None
            if backup is None:
                return handed_over
            if find_pause(self._instance.board, backup.target, _clock.monotonic()):
                self.discard_backup(backup)
            else:
                await self._discard(backup)
            return handed_over
        finally:
            self._instance.remove_placement_listener(key)
            if handed_over is None:
                self._release(key)

    async def _request_placement(
        self, reservation: ReservationRequest
    ) -> TargetChosen | PlacementDenied:
        self._decision = asyncio.get_running_loop().create_future()
        requested = PlacementRequested(
            reservation._replace(max_wait=_PLACEMENT_WAIT_SECONDS)
        )
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(requested, now))
        return await self._decision

    async def _transfer(
        self, source: str, placement: TargetChosen
    ) -> Continuation | None:
        targets = self._instance.board.read(TARGETS)
        origin = targets.get(source)
        destination = targets.get(placement.target)
        if origin is None or destination is None:
            return None
        if self._is_paused(source, placement.target):
            return None
        copy_result = await self._mover.copy(
            origin.address, self._request_id, destination.address
        )
        if isinstance(copy_result, Failure):
            self._record_failure(placement, source, copy_result.failure())
            return None
        if self._rejects_destination(source, placement.target):
            return None
        if self._is_paused(source, placement.target):
            return None
        self._is_handing_over = True
        hand_over_result = await self._mover.hand_over(
            origin.address, self._request_id, destination.address
        )
        if isinstance(hand_over_result, Failure):
            self._record_failure(placement, source, hand_over_result.failure())
            return None
        self._log("stream_moved", source=source, to=placement.target)
        copy = KvCacheCopy(placement.target, origin.address, hand_over_result.unwrap())
        return Continuation(copy, placement)

    def _rejects_destination(self, source: str, destination: str) -> bool:
        """Return whether a move must not go to its destination, which leaves.

        The admission owner that chose it may not know that.
        """
        if self._accepts_new_work(destination):
            return False
        self._outcome = ReservationOutcome.REJECTED
        self._next_start_at = _clock.monotonic() + _DESTINATION_FULL_RETRY_SECONDS
        detail = f"{destination} leaves"
        self._log("stream_not_moved", source=source, to=destination, detail=detail)
        return True

    def _is_paused(self, source: str, destination: str) -> bool:
        """Return whether one of the engines wants no requests, and log it."""
        now = _clock.monotonic()
        for target in (source, destination):
            if find_pause(self._instance.board, target, now):
                detail = f"{target} wants no requests"
                self._log(
                    "stream_not_moved", source=source, to=destination, detail=detail
                )
                return True
        return False

    def _record_failure(
        self, placement: TargetChosen, source: str, failure: MoveFailure
    ) -> None:
        if failure.is_destination_full:
            self._outcome = ReservationOutcome.REJECTED
            self._next_start_at = _clock.monotonic() + _DESTINATION_FULL_RETRY_SECONDS
        self._log(
            "stream_not_moved",
            source=source,
            to=placement.target,
            detail=failure.detail,
        )

    def _accepts_new_work(self, target: str) -> bool:
        return accepts_new_work(self._instance.board, target)

    def _keeps_running(self, target: str) -> bool:
        return keeps_running(self._instance.board, target)

    async def _discard(self, backup: KvCacheCopy) -> None:
        board = self._instance.board
        while pause := find_pause(board, backup.target, _clock.monotonic()):
            if pause > _MAX_DISCARD_WAIT_SECONDS:
                return
            await asyncio.sleep(pause)
        # An unlisted target may still run, and would keep the copy.
        state = find_copy_state(board, backup)
        if state in (CopyState.GONE, CopyState.REPLACED):
            return
        result = await self._mover.discard(backup.address, self._request_id)
        if isinstance(result, Failure):
            self._log("copy_not_freed", target=backup.target, detail=result.failure())

    def _release(self, key: str) -> None:
        ended = PlacementEnded(key, self._outcome)
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(ended, now))
