"""Chooses targets for an entry instance that has no admission owner to ask."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.blackboard import (
    MEMBERS,
    TARGET_REJECTIONS,
    Blackboard,
)
from heathertack.controllers._cold_targets import find_rates
from heathertack.controllers._placement_types import (
    PlacementDenied,
    TargetChosen,
    build_choice,
    build_denial,
)
from heathertack.controllers._target_health import find_usable_targets
from heathertack.messages import (
    MemberState,
    ReservationOutcome,
    ReservationRequest,
)
from heathertack.policy import (
    RateUser,
    RejectionBounds,
    RejectionUser,
    RequestRates,
    choose_evenly,
)

#: Maximum delay after which a refused caller is asked to return, seconds.
_MAX_RETRY_SECONDS = 60.0
#: Delay after which a caller is asked to return if no target is live, seconds.
_NO_TARGET_RETRY_SECONDS = 1.0
#: Delay after which a caller is asked to return if targets may turn away no more.
_FULL_RETRY_SECONDS = 1.0
#: No instance has this name.
_NO_INSTANCE = "-"


class LocalTargetChooser:
    """Chooses targets from what one entry instance knows.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance; empty if it has none, so that it may use no target that
        bounds what it turns away.
    """

    def __init__(self, board: Blackboard, instance: str) -> None:
        self._board = board
        self._instance = instance or _NO_INSTANCE
        #: Bounds of targets on rejections, and what this instance adds to them.
        self._bounds = RejectionBounds(float("-inf"))
        #: Rates of the limited targets, of which this instance uses its even part.
        self._rates = RequestRates()

    def choose(
        self, request: ReservationRequest, counts: Mapping[str, int], now: float
    ) -> TargetChosen | PlacementDenied:
        """Return a target with the fewest generations of this instance.

        Several such targets without bounds are used evenly. An instance has few
        generations, so that most targets have none of it, and other instances choose
        at the same time.

        Parameters
        ----------
        request : ReservationRequest
            Request that needs a target.
        counts : mapping of str to int
            Number of generations of this instance by target; 0 for missing ones.
        now : float
            Monotonic clock, seconds.
        """
        usable = [
            t.name for t in find_usable_targets(self._board, request.service, now)
        ]
        user = self._update_rates(now)
        accepting = [name for name in usable if self._rates.accepts(name, user, now)]
        if usable and not accepting:
            wait = self._rates.wait(usable, user, 0, now)
            reason = "the rates of all targets are used up"
            retry_after = min(wait, _MAX_RETRY_SECONDS)
            return build_denial(request, "overloaded", retry_after, reason)
        sender = RejectionUser(self._instance, is_ownerless=not request.group)
        accepting = [
            name
            for name in accepting
            if self._bounds.accepts(name, sender, counts.get(name, 0), now)
        ]
        if usable and not accepting:
            reason = "no target has room for more without its admission owner"
            return build_denial(request, "overloaded", _FULL_RETRY_SECONDS, reason)
        names = [name for name in accepting if name not in request.excluded]
        names = names or accepting
        if not names:
            retry_after = _NO_TARGET_RETRY_SECONDS
            return build_denial(request, "no_target", retry_after, "no target is live")
        fewest = min(counts.get(name, 0) for name in names)
        least_used = [name for name in names if counts.get(name, 0) == fewest]
        if self._bounds.bounded.isdisjoint(least_used):
            target = choose_evenly(request.generation_id, least_used)
        else:
            # An instance may send each target with a bound few requests. When they were
            # spread, 0.83 of the places were used while an instance was cut off, and
            # more than 0.9 with an order by name.
            target = min(least_used)
        self._rates.spend(target, user, now)
        self._bounds.record_sent(
            target, sender, request.generation_id, counts.get(target, 0), now
        )
        return build_choice(request, target, "no admission owner to ask")

    def record_accepted(self, generation_id: str) -> None:
        """Record that a target has accepted a request."""
        self._bounds.record_accepted(generation_id)

    def record_end(
        self,
        generation_id: str,
        target: str,
        outcome: ReservationOutcome,
        running: int,
        now: float,
    ) -> None:
        """Record how a request ended for which this chose a target.

        Parameters
        ----------
        generation_id : str
            Id of the request.
        target : str
            Target that was chosen.
        outcome : ReservationOutcome
            How it ended.
        running : int
            Number of requests that the target still has from this instance.
        now : float
            Monotonic clock, seconds.
        """
        if outcome is ReservationOutcome.REJECTED:
            self._bounds.record_refused(target, generation_id, running, now)
        else:
            self._bounds.record_ended(generation_id)

    def _update_rates(self, now: float) -> RateUser:
        """Apply the known limits, and return the part of this instance."""
        self._rates.set_rates(find_rates(self._board), now)
        members = self._board.read(MEMBERS).values()
        alive = [m.instance for m in members if m.state is MemberState.ALIVE]
        bounds = {
            target: limit.rate
            for target, limit in self._board.read(TARGET_REJECTIONS).items()
            if limit.rate is not None
        }
        self._bounds.set_bounds(bounds, alive, now)
        return RateUser("", 1.0 / max(len(alive), 1))
