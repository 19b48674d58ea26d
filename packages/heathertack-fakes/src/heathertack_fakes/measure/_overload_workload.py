"""Callers of a deployment that is offered more than it can serve."""

from __future__ import annotations

import random
from typing import NamedTuple


class StreamKind(NamedTuple):
    """One kind of streams, with what its callers need."""

    name: str
    #: Requests of a higher priority are served first.
    priority: int
    #: Requests per second relative to all kinds together.
    weight: float
    #: Mean number of prompt tokens, and the standard deviation of its logarithm.
    prompt_tokens: float
    prompt_sigma: float
    #: Mean and maximum number of events, and the standard deviation of the logarithm.
    events: float
    max_events: int
    events_sigma: float
    #: Time after which the first event is late, seconds.
    due: float
    #: Time after which the response is useless, seconds.
    deadline: float
    #: Value to the caller in time, and late.
    value: float
    late_value: float


#: Tokens of one event.
EVENT_TOKENS = 4
#: The streams of deployment A. The platform's priority 0 is the highest.
SHORT = StreamKind("short", 0, 22.6 / 34.2, 2200, 0.3, 3, 6, 0.3, 1.5, 6.0, 65.0, 3.8)
LONG = StreamKind(
    "long", -2, 11.6 / 34.2, 3000, 0.3, 187, 442, 0.4, 4.0, 39.0, 130.0, 28.0
)
KINDS = (SHORT, LONG)
#: Fractions of the requests, by client account.
ACCOUNTS = (0.5, 0.15, 0.1, 0.1, 0.1, 0.05)
#: Fraction of the callers that repeat a refused request at once, and how often.
IMPATIENT_FRACTION = 0.15
IMPATIENT_REPEATS = 3
#: Bursts: one begins in each period and affects one kind; the kinds alternate.
_BURST_PERIOD_SECONDS = 8.0
_BURST_SECONDS = 4.0
_BURST_FACTORS = (1.6, 2.5)
#: Fraction of the requests whose caller estimates the length, and its error.
_HINT_FRACTION = 0.5
_HINT_ERRORS = (0.7, 1.3)


class Call(NamedTuple):
    """Request as a caller first sends it."""

    number: int
    at: float
    kind: StreamKind
    account: str
    prompt_tokens: int
    length: int
    #: The caller's estimate of the length, tokens; 0 without one.
    expected_tokens: int
    #: Whether the caller repeats a refused request at once.
    is_impatient: bool

    @property
    def size(self) -> int:
        """Number of tokens in memory when the request ends."""
        return self.prompt_tokens + self.length


def draw_calls(
    rate: float, seconds: float, seed: int, *, has_bursts: bool = True
) -> tuple[Call, ...]:
    """Draw Poisson arrivals with bursts.

    Parameters
    ----------
    rate : float
        Requests per second outside bursts.
    seconds : float
        Duration of the arrivals.
    seed : int
        Seed of the random number generator.
    has_bursts : bool
        Whether there are bursts.

    Returns
    -------
    tuple of Call
        Requests in order of arrival.
    """
    rng = random.Random(seed)
    times: list[tuple[float, int]] = []
    for index, kind in enumerate(KINDS):
        at = 0.0
        factors = random.Random(seed)
        while at < seconds:
            period = int(at / _BURST_PERIOD_SECONDS)
            factors.seed(seed * 1000 + period)
            is_burst = (
                has_bursts
                and period % len(KINDS) == index
                and at % _BURST_PERIOD_SECONDS < _BURST_SECONDS
            )
            factor = factors.uniform(*_BURST_FACTORS) if is_burst else 1.0
            at += rng.expovariate(rate * kind.weight * factor)
            times.append((at, index))
    times.sort()
    return tuple(
        _draw_call(rng, number, at, KINDS[index])
        for number, (at, index) in enumerate(times)
        if at < seconds
    )


def _draw_call(rng: random.Random, number: int, at: float, kind: StreamKind) -> Call:
    account = rng.choices(range(len(ACCOUNTS)), ACCOUNTS)[0]
    events = _draw(rng, kind.events, kind.events_sigma)
    length = max(min(round(events), kind.max_events), 1) * EVENT_TOKENS
    has_hint = rng.random() < _HINT_FRACTION
    return Call(
        number=number,
        at=at,
        kind=kind,
        account=f"account-{account}",
        prompt_tokens=max(int(_draw(rng, kind.prompt_tokens, kind.prompt_sigma)), 1),
        length=length,
        expected_tokens=int(length * rng.uniform(*_HINT_ERRORS)) if has_hint else 0,
        is_impatient=rng.random() < IMPATIENT_FRACTION,
    )


def _draw(rng: random.Random, mean: float, sigma: float) -> float:
    """Draw from a log-normal distribution with a mean."""
    return mean * rng.lognormvariate(-(sigma**2) / 2, sigma)
