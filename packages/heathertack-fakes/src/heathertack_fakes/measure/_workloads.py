"""Arrivals of the two reference deployments."""

from __future__ import annotations

import random
from typing import NamedTuple


class RequestClass(NamedTuple):
    """Distribution of one class of requests."""

    name: str
    #: Fraction of all requests.
    weight: float
    #: Requests of a higher priority are served first.
    priority: int
    #: Minimum and maximum number of prompt tokens.
    prompt: tuple[int, int]
    #: Median of the log-normal answer length, tokens.
    median_length: float
    #: Standard deviation of the logarithm of the length.
    sigma: float
    #: Maximum length of an answer, tokens.
    max_length: int


class Workload(NamedTuple):
    """Distribution of the requests of one deployment."""

    name: str
    classes: tuple[RequestClass, ...]
    #: Fractions of the requests, by client account.
    accounts: tuple[float, ...]
    #: Requests per second that saturate 5 engines with caches of 30,000 tokens.
    capacity: float
    #: One-way delay between instances, seconds.
    delay: float
    #: Number of distinct prompt prefixes of each account.
    prefixes: int
    #: Length of a shared prefix, tokens.
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
    """Request with its arrival time in seconds."""

    generation_id: str
    at: float
    account: str
    request_class: RequestClass
    prompt_tokens: int
    length: int
    prefix: tuple[int, ...]
    #: Index of the entry that the caller chose.
    entry: int


def mean_length(workload: Workload, samples: int = 20_000) -> float:
    """Return the mean length of an answer, tokens."""
    rng = random.Random(0)
    total = 0
    for _ in range(samples):
        total += _draw_length(rng, _draw_class(rng, workload))
    return total / samples


def draw_arrivals(
    workload: Workload, rate: float, seconds: float, entries: int, seed: int
) -> tuple[Arrival, ...]:
    """Draw Poisson arrivals.

    Parameters
    ----------
    workload : Workload
        Distribution of the requests.
    rate : float
        Requests per second.
    seconds : float
        Duration of the arrivals.
    entries : int
        Number of entry instances.
    seed : int
        Seed of the random number generator.

    Returns
    -------
    tuple of Arrival
        Requests in order of arrival.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_draw_arrival(rng, workload, at, entries, len(arrivals)))
        at += rng.expovariate(rate)
    return tuple(arrivals)


def _draw_arrival(
    rng: random.Random, workload: Workload, at: float, entries: int, number: int
) -> Arrival:
    request_class = _draw_class(rng, workload)
    accounts = range(len(workload.accounts))
    account = rng.choices(accounts, workload.accounts)[0]
    topic = rng.randrange(workload.prefixes)
    blocks = workload.shared_tokens // 64
    prefix = tuple(hash((account, topic, block)) for block in range(blocks))
    return Arrival(
        generation_id=f"g{number}",
        at=at,
        account=f"account-{account}",
        request_class=request_class,
        prompt_tokens=rng.randint(*request_class.prompt),
        length=_draw_length(rng, request_class),
        prefix=prefix,
        entry=rng.randrange(entries),
    )


def _draw_class(rng: random.Random, workload: Workload) -> RequestClass:
    weights = [request_class.weight for request_class in workload.classes]
    return rng.choices(workload.classes, weights)[0]


def _draw_length(rng: random.Random, request_class: RequestClass) -> int:
    drawn = request_class.median_length * rng.lognormvariate(0.0, request_class.sigma)
    return max(1, min(int(drawn), request_class.max_length))
