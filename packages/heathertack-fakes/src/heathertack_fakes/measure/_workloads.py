"""Arrivals of the two deployments."""

from __future__ import annotations

import random
from typing import NamedTuple


class RequestClass(NamedTuple):
    """Distribution of one class of requests."""

    name: str
    #: Part of all requests.
    weight: float
    #: The higher one goes first.
    priority: int
    #: Least and most prompt tokens.
    prompt: tuple[int, int]
    #: Median of the log-normal answer length, tokens.
    median_length: float
    #: Standard deviation of the logarithm of the length.
    sigma: float
    #: Most tokens of an answer.
    longest: int


class Workload(NamedTuple):
    """Requests of one deployment."""

    name: str
    classes: tuple[RequestClass, ...]
    #: Parts of the requests that the client accounts make.
    accounts: tuple[float, ...]
    #: Requests per second that fill 5 engines of 30,000 cached tokens.
    capacity: float
    #: One-way delay between instances, seconds.
    delay: float
    #: Different prompts that share a prefix, for each account.
    prefixes: int
    #: Leading prompt tokens that are shared.
    shared_tokens: int


KALAMU = Workload(
    "kalamu",
    (
        RequestClass("critique", 0.45, 1, (600, 1500), 900.0, 0.9, 16_000),
        RequestClass("note", 0.55, 2, (200, 500), 80.0, 0.5, 2_000),
    ),
    (0.3, 0.22, 0.16, 0.08, 0.06, 0.05, 0.05, 0.04, 0.02, 0.02),
    4.2,
    0.0005,
    4,
    256,
)

KUNJAL = Workload(
    "kunjal",
    (
        RequestClass("guide", 0.4, 1, (300, 800), 1200.0, 0.6, 8_000),
        RequestClass("classification", 0.6, 2, (150, 400), 12.0, 0.4, 200),
    ),
    (0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02),
    6.0,
    0.0015,
    6,
    128,
)

WORKLOADS = {workload.name: workload for workload in (KALAMU, KUNJAL)}


class Arrival(NamedTuple):
    """One request."""

    generation_id: str
    at: float
    account: str
    kind: RequestClass
    prompt_tokens: int
    length: int
    prefix: tuple[int, ...]
    #: Number of the entry that the caller chose.
    entry: int


def mean_length(workload: Workload, samples: int = 20_000) -> float:
    """Return the mean length of an answer, tokens."""
    source = random.Random(0)
    total = 0
    for _ in range(samples):
        total += _draw_length(source, _draw_class(source, workload))
    return total / samples


def draw_arrivals(
    workload: Workload, rate: float, seconds: float, entries: int, seed: int
) -> tuple[Arrival, ...]:
    """Draw Poisson arrivals.

    Parameters
    ----------
    workload : Workload
        Whose requests.
    rate : float
        Requests per second.
    seconds : float
        Span of the arrivals.
    entries : int
        Number of entry instances.
    seed : int
        Seed of all draws.

    Returns
    -------
    tuple of Arrival
        Requests in the order of their times.
    """
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    at = source.expovariate(rate)
    while at < seconds:
        arrivals.append(_draw_arrival(source, workload, at, entries, len(arrivals)))
        at += source.expovariate(rate)
    return tuple(arrivals)


def _draw_arrival(
    source: random.Random, workload: Workload, at: float, entries: int, number: int
) -> Arrival:
    kind = _draw_class(source, workload)
    accounts = range(len(workload.accounts))
    account = source.choices(accounts, workload.accounts)[0]
    topic = source.randrange(workload.prefixes)
    blocks = workload.shared_tokens // 64
    prefix = tuple(hash((account, topic, block)) for block in range(blocks))
    return Arrival(
        generation_id=f"g{number}",
        at=at,
        account=f"account-{account}",
        kind=kind,
        prompt_tokens=source.randint(*kind.prompt),
        length=_draw_length(source, kind),
        prefix=prefix,
        entry=source.randrange(entries),
    )


def _draw_class(source: random.Random, workload: Workload) -> RequestClass:
    weights = [kind.weight for kind in workload.classes]
    return source.choices(workload.classes, weights)[0]


def _draw_length(source: random.Random, kind: RequestClass) -> int:
    drawn = kind.median_length * source.lognormvariate(0.0, kind.sigma)
    return max(1, min(int(drawn), kind.longest))
