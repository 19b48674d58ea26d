"""Limits on requests and rejections that targets name in their answers."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    TARGET_LIMITS,
    TARGET_REJECTIONS,
    TARGETS,
    Blackboard,
    Section,
    TargetLimit,
)
from heathertack.messages import TargetRates, TargetRejectionRates, TargetState

#: Time after which what was last said of a limit is forgotten, seconds. A target that
#: gets requests answers much sooner.
_RETENTION_SECONDS = 600.0
#: Maximum number of targets whose limits are remembered; those known for longest are
#: forgotten first.
_MAX_LIMITS = 1024


class TargetAnswered(NamedTuple):
    """A target answered a request."""

    target: str
    #: Number a second that the target bears from all instances together; ``None`` if
    #: the answer names no limit.
    rate: float | None
    #: Time at which the request was sent, monotonic clock, seconds.
    sent_at: float


class RatesReceived(NamedTuple):
    """Another instance told the limits of targets."""

    rates: TargetRates | TargetRejectionRates


class LimitsDue(NamedTuple):
    """The clock advanced."""


Event = TargetAnswered | RatesReceived | LimitsDue


class TargetLimitController:
    """Keeps what is known of the limits of targets.

    An answer that names a limit is newer than all earlier ones. One that names none
    ends the limit only if its request was sent after the limit was last named, since
    answers may overtake each other.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (TARGETS,)
    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGET_LIMITS,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        (self._section,) = self.WRITES
        #: Limited targets that have been in the table of targets.
        self._listed: frozenset[str] = frozenset()
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
            Targets whose rate has changed.
        """
        changed = self._apply(event, now)
        targets = self._board.read(TARGETS)
        self._listed = frozenset(
            target
            for target in self._board.read(self._section)
            if target in targets or target in self._listed
        )
        return changed

    def _apply(self, event: Event, now: float) -> tuple[str, ...]:
        match event:
            case TargetAnswered():
                known_at = event.sent_at if event.rate is None else now
                return self._merge({event.target: TargetLimit(event.rate, known_at)})
            case RatesReceived():
                return self._merge(
                    {
                        found.target: TargetLimit(found.rate, now - found.age)
                        for found in event.rates.rates
                    }
                )
            case LimitsDue():
                return self._forget(now)
            case _:
                assert_never(event)

    def _merge(self, found: dict[str, TargetLimit]) -> tuple[str, ...]:
        """Adopt what is newer than what is known, and return the targets changed."""
        known = self._board.read(self._section)
        newer = {
            target: limit
            for target, limit in found.items()
            if _is_newer(limit, known.get(target))
        }
        if not newer:
            return ()
        merged = {**known, **newer}
        for target in sorted(merged, key=lambda name: merged[name].known_at)[
            : max(len(merged) - _MAX_LIMITS, 0)
        ]:
            del merged[target]
        self._board.write(self, self._section, merged)
        unknown = TargetLimit(None, 0.0)
        return tuple(
            target
            for target, limit in newer.items()
            if limit.rate != known.get(target, unknown).rate
        )

    def _forget(self, now: float) -> tuple[str, ...]:
        """Remove the limits of targets that are gone, and those that are too old.

        An instance that has just started may be told limits before it knows targets.
        """
        known = self._board.read(self._section)
        kept = {
            target: limit
            for target, limit in known.items()
            if now - limit.known_at < _RETENTION_SECONDS and not self._is_gone(target)
        }
        if len(kept) == len(known):
            return ()
        self._board.write(self, self._section, kept)
        return tuple(t for t in known if t not in kept and known[t].rate is not None)

    def _is_gone(self, target: str) -> bool:
        """Return whether a target has left the table of targets."""
        record = self._board.read(TARGETS).get(target)
        if record is None:
            return target in self._listed
        return record.state is TargetState.GONE


class TargetRejectionController(TargetLimitController):
    """Keeps what is known of how many requests targets may turn away."""

    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGET_REJECTIONS,)


def _is_newer(limit: TargetLimit, known: TargetLimit | None) -> bool:
    """Return whether a limit replaces what is known of the same target."""
    if known is None:
        return limit.rate is not None
    return limit.known_at > known.known_at
