"""Chooses targets for an entry instance that has no admission owner to ask."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.blackboard import MEMBERS, TARGET_LIMITS, Blackboard
from heathertack.controllers._placement_types import (
    PlacementDenied,
    TargetChosen,
    build_choice,
    build_denial,
)
from heathertack.controllers._target_health import find_usable_targets
from heathertack.messages import MemberState, ReservationRequest
from heathertack.policy import RateUser, RequestRates

#: Maximum delay after which a refused caller is asked to return, seconds.
_MAX_RETRY_SECONDS = 60.0
#: Delay after which a caller is asked to return if no target is live, seconds.
_NO_TARGET_RETRY_SECONDS = 1.0


class LocalTargetChooser:
    """Chooses targets from what one entry instance knows.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        #: Rates of the limited targets, of which this instance uses its even part.
        self._rates = RequestRates()

    def choose(
        self, request: ReservationRequest, counts: Mapping[str, int], now: float
    ) -> TargetChosen | PlacementDenied:
        """Return the target with the fewest generations of this instance.

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
        names = [name for name in accepting if name not in request.excluded]
        names = names or accepting
        if not names:
            retry_after = _NO_TARGET_RETRY_SECONDS
            return build_denial(request, "no_target", retry_after, "no target is live")
        target = min(names, key=lambda name: (counts.get(name, 0), name))
        self._rates.spend(target, user, now)
        return build_choice(request, target, "no admission owner to ask")

    def _update_rates(self, now: float) -> RateUser:
        """Apply the known limits, and return the part of this instance."""
        limits = self._board.read(TARGET_LIMITS)
        rates = {t: limit.rate for t, limit in limits.items() if limit.rate is not None}
        self._rates.set_rates(rates, now)
        members = self._board.read(MEMBERS).values()
        alive = sum(1 for m in members if m.state is MemberState.ALIVE)
        return RateUser("", 1.0 / max(alive, 1))
