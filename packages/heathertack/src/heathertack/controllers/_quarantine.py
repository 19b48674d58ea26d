"""Reports lost targets, and refuses requests to which losses are attributed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import SUSPECTS, Blackboard, Section
from heathertack.controllers._actions import CommitCommand
from heathertack.controllers._loss_suspects import (
    SuspectView,
    build_target_loss,
    list_suspects,
    read_suspects,
)
from heathertack.state import ClearQuarantine, LossRecord, ReportTargetLoss

#: Number of crashes after which a request is refused when it is repeated.
_REQUEST_CRASHES = 2
#: A run that began at most this long before a loss is published, seconds, still shows
#: that its parts are harmless: reports and leases take about half a second.
_RECENT_SECONDS = 2.0
#: Time after which a record that still stands is cleared again, seconds.
_CLEAR_RETRY_SECONDS = 1.0
#: Time for which an instance counts crashes that it saw and that are not published,
#: seconds; longer than the control log usually has no leader.
_UNPUBLISHED_SECONDS = 20.0
#: Maximum number of fingerprints with crashes that are not published.
_MAX_UNPUBLISHED = 256
#: Maximum number of fingerprints whose latest start is remembered.
_MAX_STARTED = 4096


class RunIdentity(NamedTuple):
    """Fingerprints of one request."""

    #: Equal when the caller repeats the request.
    request: str
    #: Prompt parts that other requests may share.
    parts: tuple[str, ...]


class RunStarted(NamedTuple):
    """A target began to answer a request."""

    run: RunIdentity


class RunCrashed(NamedTuple):
    """A target crashed before it began to answer a request."""

    run: RunIdentity
    account: str
    target: str
    #: Identifies the attempt in the cluster.
    attempt: str
    #: Wall clock, seconds since the epoch.
    at: float


class QuarantineDue(NamedTuple):
    """The clock advanced."""


Event = RunStarted | RunCrashed | QuarantineDue


class QuarantineMatch(NamedTuple):
    """Why a request is refused."""

    #: Number of crashes.
    crashes: int
    #: Fingerprints to which they are attributed.
    fingerprints: tuple[str, ...]


class QuarantineController:
    """Decides which requests are not sent because they would crash their target.

    Losses are committed to the control log, which publishes them with the leases, so
    that all instances refuse the same requests and no restart forgets them. Until they
    are published, an instance counts those that it saw itself.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (SUSPECTS,)
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._suspects: Mapping[str, int] = {}
        self._view = SuspectView({}, ())
        #: Losses that this instance saw and that are not published yet, oldest first.
        self._unpublished: OrderedDict[str, LossRecord] = OrderedDict()
        self._unpublished_until: dict[str, float] = {}
        self._own_view = SuspectView({}, ())
        self._started_at: OrderedDict[str, float] = OrderedDict()
        self._cleared_at: dict[str, float] = {}
        board.register(self)

    @property
    def view(self) -> SuspectView:
        """Losses as published by the leader."""
        suspects = self._board.read(SUSPECTS)
        if suspects is not self._suspects:
            self._suspects = suspects
            self._view = read_suspects(suspects)
            self._forget(
                fingerprint
                for fingerprint, record in self._unpublished.items()
                if self._view.losses.get(fingerprint, 0) >= len(record.losses)
            )
        return self._view

    def find_match(self, run: RunIdentity) -> QuarantineMatch | None:
        """Return why a request must not be sent, ``None`` if it may be."""
        return _find_match(self.view, run) or _find_match(self._own_view, run)

    def handle(self, event: Event, now: float) -> tuple[CommitCommand, ...]:
        """Handle an event and return the commands to commit.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of CommitCommand
            Reports of losses, and records to delete.
        """
        match event:
            case RunStarted():
                return self._record_start(event.run, now)
            case RunCrashed():
                return self._record_crash(event, now)
            case QuarantineDue():
                self._forget(
                    fingerprint
                    for fingerprint, until in self._unpublished_until.items()
                    if now >= until
                )
                return self._clear_recently_started(now)
            case _:
                assert_never(event)

    def _record_start(self, run: RunIdentity, now: float) -> tuple[CommitCommand, ...]:
        fingerprints = (run.request, *run.parts)
        for fingerprint in fingerprints:
            self._started_at.pop(fingerprint, None)
            self._started_at[fingerprint] = now
        while len(self._started_at) > _MAX_STARTED:
            self._started_at.popitem(last=False)
        self._forget(fingerprints)
        return self._clear(fingerprints, now)

    def _record_crash(self, event: RunCrashed, now: float) -> tuple[CommitCommand, ...]:
        loss = build_target_loss(event.target, event.attempt, event.at)
        fingerprints = (event.run.request, *event.run.parts)
        for fingerprint in fingerprints:
            known = self._unpublished.pop(fingerprint, None)
            losses = known.losses if known is not None else ()
            self._unpublished[fingerprint] = LossRecord(
                fingerprint, event.account, (*losses, loss), event.at
            )
            self._unpublished_until[fingerprint] = now + _UNPUBLISHED_SECONDS
        while len(self._unpublished) > _MAX_UNPUBLISHED:
            del self._unpublished_until[self._unpublished.popitem(last=False)[0]]
        self._own_view = self._read_unpublished()
        return tuple(
            CommitCommand(ReportTargetLoss(fingerprint, event.account, loss))
            for fingerprint in fingerprints
        )

    def _forget(self, fingerprints: Iterable[str]) -> None:
        """Stop counting losses that are published, too old or of harmless parts."""
        known = [name for name in fingerprints if name in self._unpublished]
        for fingerprint in known:
            del self._unpublished[fingerprint]
            del self._unpublished_until[fingerprint]
        if known:
            self._own_view = self._read_unpublished()

    def _read_unpublished(self) -> SuspectView:
        records = tuple(self._unpublished.values())
        latest = max((record.last_at for record in records), default=0.0)
        return read_suspects(dict(list_suspects(records, latest)))

    def _clear_recently_started(self, now: float) -> tuple[CommitCommand, ...]:
        recent = tuple(
            fingerprint
            for fingerprint in self.view.losses
            if now - self._started_at.get(fingerprint, float("-inf")) < _RECENT_SECONDS
        )
        return self._clear(recent, now)

    def _clear(
        self, fingerprints: tuple[str, ...], now: float
    ) -> tuple[CommitCommand, ...]:
        """Delete the losses recorded for fingerprints that are harmless."""
        losses = self.view.losses
        self._cleared_at = {
            fingerprint: cleared_at
            for fingerprint, cleared_at in self._cleared_at.items()
            if now - cleared_at < _CLEAR_RETRY_SECONDS
        }
        actions: list[CommitCommand] = []
        for fingerprint in fingerprints:
            if fingerprint in losses and fingerprint not in self._cleared_at:
                self._cleared_at[fingerprint] = now
                actions.append(CommitCommand(ClearQuarantine(fingerprint)))
        return tuple(actions)


def _find_match(view: SuspectView, run: RunIdentity) -> QuarantineMatch | None:
    crashes = view.losses.get(run.request, 0)
    if crashes >= _REQUEST_CRASHES:
        return QuarantineMatch(crashes, (run.request,))
    for cause in view.causes:
        if cause.parts.issubset(run.parts):
            return QuarantineMatch(cause.crashes, tuple(sorted(cause.parts)))
    return None
