"""A request that was found proper, with all that decides about it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import xxhash

from heathertack.bundle import Bundle, ForwardingRoute
from heathertack.messages import ReservationRequest
from heathertack.policy import BLOCK_TOKENS
from heathertackd.forwarding._dialect import GenerationSize, PromptPart, RequestHead

#: Part of the latency objective that a request may wait for a target. The rest is
#: left for the target to begin.
_WAIT_PER_OBJECTIVE = 0.9
#: Sent for a request that is late already.
_LEAST_USEFUL_SECONDS = 0.001
#: Part of the remaining time, and the longest time, that a request may wait though
#: its answer will be late: a new admission owner decides after 0.6 s.
_LATE_WAIT_PER_TIME_LEFT = 0.25
_LONGEST_LATE_WAIT_SECONDS = 1.5
#: Part of the remaining time that a request may wait where nothing is aimed at.
_WAIT_PER_TIME_LEFT = 0.4


class ForwardOrder(NamedTuple):
    """A checked request."""

    #: Identifies it among all requests of the cluster.
    key: str
    head: RequestHead
    method: str
    #: Path and query exactly as they were sent.
    path: str
    body: bytes
    route_name: str
    route: ForwardingRoute
    service: str
    #: Client account, empty for public routes.
    account: str
    priority: int
    #: Monotonic clock, seconds.
    received_at: float
    #: When the answer is of no use any more, monotonic clock, seconds.
    deadline: float
    #: Index of the bundle that decided.
    bundle_index: int
    #: Whether its service runs model engines that keep copies of generations.
    has_backups: bool
    #: Tokens in one event of a stream.
    event_tokens: int

    @property
    def may_run_again(self) -> bool:
        """Whether the request does no harm when it runs more than once."""
        return self.route["kind"] in ("idempotent", "resumable")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route["kind"] in ("streaming", "resumable")

    @property
    def wants_backup(self) -> bool:
        """Whether only a copy of its memory can carry on a stream that breaks."""
        return self.has_backups and self.route["kind"] == "streaming"

    def useful_within(self, now: float) -> float:
        """Return the time in which the request must begin to be in time, seconds."""
        objective = self.route.get("latency_objective")
        if objective is None:
            return 0.0
        spent = now - self.received_at
        return max(objective * _WAIT_PER_OBJECTIVE - spent, _LEAST_USEFUL_SECONDS)

    def patience(self, now: float) -> float:
        """Return how long the request may wait for a target, seconds."""
        left = self.deadline - now
        objective = self.route.get("latency_objective")
        if objective is None:
            return left * _WAIT_PER_TIME_LEFT
        in_time = objective * _WAIT_PER_OBJECTIVE - (now - self.received_at)
        late = min(left * _LATE_WAIT_PER_TIME_LEFT, _LONGEST_LATE_WAIT_SECONDS)
        return min(max(in_time, late), left)


def find_deadline(
    head: RequestHead, route: ForwardingRoute, received_at: float
) -> float:
    """Return when a caller leaves or the route's timeout ends a request."""
    patience = route["timeout"]
    if head.timeout is not None:
        patience = min(patience, head.timeout)
    return received_at + patience


def find_priority(bundle: Bundle, account: str, route: ForwardingRoute) -> int:
    """Return the priority of the account, or else that of the route."""
    configuration = bundle["accounts"].get(account)
    if configuration is not None and "priority" in configuration:
        return configuration["priority"]
    return route["priority"]


def build_reservation(
    order: ForwardOrder, attempt: int, excluded: tuple[str, ...], now: float
) -> ReservationRequest:
    """Return the request for a target to run an order on."""
    size = order.head.size or GenerationSize(0, 0)
    return ReservationRequest(
        generation_id=order.key,
        attempt=attempt,
        service=order.service,
        group="",
        account=order.account,
        class_name=order.route_name,
        priority=order.priority,
        share=1.0,
        prompt_tokens=size.prompt_tokens,
        max_tokens=size.max_tokens,
        prefix=_digest_parts(size.parts),
        fingerprint=_digest_request(order),
        excluded=excluded,
        max_wait=order.patience(now),
        expected_tokens=size.expected_tokens,
        needs_backup=order.wants_backup,
        latency_budget=order.useful_within(now),
    )


def reserve_running(
    order: ForwardOrder, number: int, made: int, source: str, now: float
) -> ReservationRequest:
    """Return the request for a place to which a run can move.

    Parameters
    ----------
    order : ForwardOrder
        The request that runs.
    number : int
        Number of the move, from 1.
    made : int
        Tokens made so far.
    source : str
        Target that it runs on.
    now : float
        Monotonic clock, seconds.
    """
    reservation = build_reservation(order, 1, (source,), now)
    return reservation._replace(
        generation_id=f"{order.key}.{number}",
        prompt_tokens=reservation.prompt_tokens + made,
        max_tokens=max(reservation.max_tokens - made, 1),
        expected_tokens=max(reservation.expected_tokens - made, 0),
        prefix=(),
        is_running=True,
    )


def _digest_parts(parts: tuple[PromptPart, ...]) -> tuple[int, ...]:
    """Return digests of the leading parts, one for each block of their tokens."""
    digests: list[int] = []
    state = xxhash.xxh3_64()
    for part in parts:
        state.update(part.part_id.encode())
        for block in range(-(-part.tokens // BLOCK_TOKENS)):
            state.update(block.to_bytes(4, "big"))
            digests.append(state.intdigest() >> 1)
    return tuple(digests)


def _digest_request(order: ForwardOrder) -> str:
    """Return what is the same when a caller sends a request again."""
    digest = hashlib.sha256()
    for part in (order.account.encode(), order.path.encode(), order.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()[:32]
