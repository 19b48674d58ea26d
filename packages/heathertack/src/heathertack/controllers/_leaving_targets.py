"""Targets that say in their answers that they are about to leave."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    LEAVING_TARGETS,
    LISTED_TARGETS,
    TARGETS,
    Blackboard,
    LeavingTarget,
    Section,
)
from heathertack.messages import TargetRecord, TargetState

#: Minimum age of what a target said before a report may contradict it, seconds:
#: reports are a few hundred milliseconds old when they arrive.
_MIN_CONTRADICTION_AGE_SECONDS = 1.0
#: Time for which a target must be gone from the table before what it said is forgotten,
#: seconds: an entry of the platform's list may be unreadable for a moment, and a new
#: leader begins with an empty table.
_GONE_SECONDS = 5.0
#: Maximum number of leaving targets that are remembered; those known for longest are
#: forgotten first.
_MAX_LEAVING_TARGETS = 4096


class TargetSaidLeaving(NamedTuple):
    """A target said in an answer that it is about to leave."""

    target: str
    #: ``ip:port`` that the answer came from.
    address: str


class TargetReported(NamedTuple):
    """A target reported whether it is about to leave."""

    target: str
    #: ``ip:port`` that the report came from.
    address: str
    is_leaving: bool
    #: Start of the target's process, Unix clock, seconds; ``None`` if it names none.
    started_at: float | None
    #: Time at which the report was requested, monotonic clock, seconds.
    requested_at: float


class LeavingTargetsDue(NamedTuple):
    """The clock advanced."""


Event = TargetSaidLeaving | TargetReported | LeavingTargetsDue


class LeavingTargetsController:
    """Remembers which targets have said that they are about to leave.

    A target that leaves never stays, so no record of the leader's table ends what a
    target has said: the record may be older, and a new leader does not know the
    reports that the previous one received. It ends with the lifetime of the target:

    - its record has been gone from the table for some time,
    - the record names another address, at which another lifetime runs (what was said
      is kept until then, since the record may be replaced by an older one), or
    - the target itself reports a later start, and that it does not leave.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (LISTED_TARGETS,)
    WRITES: ClassVar[tuple[Section[Any], ...]] = (LEAVING_TARGETS,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        #: Time since which leaving targets have been gone from the table; infinite for
        #: those that are in the table, none for those that were never in it.
        self._gone_since: dict[str, float] = {}
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[str, ...]:
        """Handle an event.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of str
            Targets that are newly known to leave, or no longer.
        """
        self._note_gone(now)
        changed = self._apply(event, now)
        self._note_gone(now)
        return changed

    def list_contradicted(self, now: float) -> tuple[TargetRecord, ...]:
        """Return the leaving targets that the leader's table calls live."""
        leaving = self._board.read(LEAVING_TARGETS)
        targets = self._board.read(LISTED_TARGETS)
        return tuple(
            targets[name]
            for name, said in leaving.items()
            if name in targets
            and targets[name].state is TargetState.LIVE
            and targets[name].address == said.address
            and now - said.known_at >= _MIN_CONTRADICTION_AGE_SECONDS
        )

    def _apply(self, event: Event, now: float) -> tuple[str, ...]:
        match event:
            case TargetSaidLeaving():
                return self._add(event.target, LeavingTarget(event.address, now))
            case TargetReported():
                return self._apply_report(event, now)
            case LeavingTargetsDue():
                return self._forget_gone(now)
            case _:
                assert_never(event)

    def _apply_report(self, report: TargetReported, now: float) -> tuple[str, ...]:
        if report.is_leaving:
            said = LeavingTarget(report.address, now, report.started_at)
            return self._add(report.target, said)
        known = self._board.read(LEAVING_TARGETS)
        said_before = known.get(report.target)
        if said_before is None or not _is_later_lifetime(report, said_before):
            return ()
        kept = {name: known[name] for name in known if name != report.target}
        self._board.write(self, LEAVING_TARGETS, kept)
        return (report.target,)

    def _add(self, target: str, said: LeavingTarget) -> tuple[str, ...]:
        known = self._board.read(LEAVING_TARGETS)
        before = known.get(target)
        if before is not None and before.address == said.address:
            if said.started_at is None:
                said = said._replace(started_at=before.started_at)
            self._board.write(self, LEAVING_TARGETS, {**known, target: said})
            return ()
        merged = {**known, target: said}
        for name in sorted(merged, key=lambda name: merged[name].known_at)[
            : max(len(merged) - _MAX_LEAVING_TARGETS, 0)
        ]:
            del merged[name]
        self._board.write(self, LEAVING_TARGETS, merged)
        return (target,)

    def _note_gone(self, now: float) -> None:
        """Note since when leaving targets have been gone from the table.

        An instance that has just started may learn of a target before its table.
        """
        targets = self._board.read(LISTED_TARGETS)
        gone_since: dict[str, float] = {}
        for name in self._board.read(LEAVING_TARGETS):
            record = targets.get(name)
            if record is not None and record.state is not TargetState.GONE:
                gone_since[name] = float("inf")
            elif name in self._gone_since:
                gone_since[name] = min(self._gone_since[name], now)
        self._gone_since = gone_since

    def _forget_gone(self, now: float) -> tuple[str, ...]:
        """Forget the targets that have been gone from the table for long enough."""
        known = self._board.read(LEAVING_TARGETS)
        kept = {
            name: known[name]
            for name in known
            if now - self._gone_since.get(name, now) < _GONE_SECONDS
        }
        if len(kept) == len(known):
            return ()
        self._board.write(self, LEAVING_TARGETS, kept)
        return tuple(name for name in known if name not in kept)


def apply_leaving_targets(
    targets: Mapping[str, TargetRecord], leaving: Mapping[str, LeavingTarget]
) -> Mapping[str, TargetRecord]:
    """Return the records, those of targets that say that they leave as leaving."""
    if not leaving:
        return targets
    return {
        name: _apply_leaving(record, leaving.get(name))
        for name, record in targets.items()
    }


def list_leaving_targets(board: Blackboard, service: str) -> tuple[str, ...]:
    """Return the targets of a service that told this instance that they leave."""
    targets = board.read(TARGETS)
    return tuple(
        name
        for name in board.read(LEAVING_TARGETS)
        if name in targets
        and targets[name].service == service
        and targets[name].state is TargetState.LEAVING
    )


def accepts_new_work(board: Blackboard, target: str) -> bool:
    """Return whether new work may be sent to a target, as far as is known here."""
    record = board.read(TARGETS).get(target)
    return record is not None and record.state is TargetState.LIVE


def _apply_leaving(record: TargetRecord, said: LeavingTarget | None) -> TargetRecord:
    is_live = record.state is TargetState.LIVE
    if said is None or not is_live or said.address != record.address:
        return record
    return record._replace(state=TargetState.LEAVING)


def _is_later_lifetime(report: TargetReported, said: LeavingTarget) -> bool:
    """Return whether a report comes from a process that started after the leaving one.

    A target that leaves says so in all its answers, so a later answer that does not
    say so is from another process if the start of the leaving one is not known.
    """
    if report.address != said.address or report.started_at is None:
        return False
    if report.requested_at < said.known_at + _MIN_CONTRADICTION_AGE_SECONDS:
        return False
    return said.started_at is None or report.started_at > said.started_at
