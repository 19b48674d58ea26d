"""Token buckets that keep requests to targets within the rates that they accept."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

#: Requests that may be sent at once after a pause: one, and as many as the rate allows
#: in this time, seconds. Longer than the interval at which queues are served.
_BURST_SECONDS = 0.25
#: Rate at which requests go to a target that accepts fewer, requests a second: only an
#: answer can tell that the limit has ended.
_MIN_RATE = 0.1


class RateUser(NamedTuple):
    """Who draws on the rate of a target, and how much of it."""

    #: Key of the user's buckets.
    name: str
    #: Fraction of the rate that it may use, above 0 and up to 1.
    part: float
    #: Whether what targets turn away counts for their owner, not for an instance.
    is_owner: bool = False


class _Bucket(NamedTuple):
    tokens: float
    #: Time up to which tokens were added, monotonic clock, seconds.
    filled_at: float


class RequestRates:
    """Rates of the targets that limit their requests.

    Buckets start empty: what others sent before is not known.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        #: Buckets by target and user.
        self._buckets: dict[str, dict[str, _Bucket]] = {}

    @property
    def limited(self) -> frozenset[str]:
        """Targets with a limit."""
        return frozenset(self._rates)

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Replace the rates of all targets, in requests a second.

        Parameters
        ----------
        rates : mapping of str to float
            Rates by target; targets that are missing have no limit.
        now : float
            Monotonic clock, seconds.
        """
        usable_rates = {name: max(rate, _MIN_RATE) for name, rate in rates.items()}
        for target, rate in self._rates.items():
            if usable_rates.get(target, rate) != rate:
                self._stop_filling(target, now)
        self._rates = usable_rates
        self._buckets = {name: self._buckets.get(name, {}) for name in rates}

    def accepts(self, target: str, user: RateUser, now: float) -> bool:
        """Return whether a request may be sent to a target."""
        return target not in self._rates or self._count(target, user, now) >= 1.0

    def spend(self, target: str, user: RateUser, now: float) -> None:
        """Record that a request is sent to a target."""
        if target in self._rates:
            tokens = self._count(target, user, now) - 1.0
            self._buckets[target][user.name] = _Bucket(tokens, now)

    def wait(
        self, targets: Iterable[str], user: RateUser, ahead: int, now: float
    ) -> float:
        """Return how long a request waits until one of the targets accepts it.

        Parameters
        ----------
        targets : iterable of str
            Targets that may run the request.
        user : RateUser
            Who sends the request.
        ahead : int
            Number of requests that are sent first.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        float
            Wait, seconds; 0 if a target has no limit, infinite without targets.
        """
        tokens = 0.0
        rate = 0.0
        for target in targets:
            if target not in self._rates:
                return 0.0
            tokens += self._count(target, user, now)
            rate += self._rates[target] * user.part
        missing = ahead + 1 - tokens
        if missing <= 0.0:
            return 0.0
        return missing / rate if rate else float("inf")

    def _count(self, target: str, user: RateUser, now: float) -> float:
        """Add the tokens due since the last use, and return their number."""
        buckets = self._buckets[target]
        bucket = buckets.get(user.name, _Bucket(0.0, now))
        rate = self._rates[target] * user.part
        most = 1.0 + rate * _BURST_SECONDS
        elapsed = max(now - bucket.filled_at, 0.0)
        tokens = min(bucket.tokens + elapsed * rate, most)
        buckets[user.name] = _Bucket(tokens, now)
        return tokens

    def _stop_filling(self, target: str, now: float) -> None:
        """Add no tokens for the time before a target's rate changed."""
        buckets = self._buckets[target]
        for name, bucket in buckets.items():
            buckets[name] = bucket._replace(filled_at=max(bucket.filled_at, now))
