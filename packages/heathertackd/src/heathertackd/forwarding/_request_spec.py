"""A validated request with its route, limits and priority."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from heathertack.bundle import Bundle, ForwardingRoute
from heathertack.controllers import RunIdentity
from heathertack.messages import ReservationRequest
from heathertack.policy import BLOCK_TOKENS
from heathertackd.forwarding._dialect import GenerationSize, PromptPart, RequestHead

#: Fraction of the latency objective that a request may wait for a target. The rest is
#: left for the target to start the run.
_WAIT_OBJECTIVE_FRACTION = 0.9
#: Reported for a request that is already late; 0 would mean that there is no
#: objective.
_MIN_START_SECONDS = 0.001
#: Fraction of the remaining time, and maximum time, that a request may still wait
#: when it can't meet the latency objective: a new admission owner decides after
#: 0.6 s.
_LATE_WAIT_FRACTION = 0.25
_MAX_LATE_WAIT_SECONDS = 1.5
#: An integer and its place in a tuple.
_DIGEST_BYTES = 40
#: Fraction of the remaining time that a request without a latency objective may wait.
_WAIT_FRACTION = 0.4


class RequestSpec(NamedTuple):
    """A validated request."""

    #: Id of the request, unique in the cluster.
    key: str
    head: RequestHead
    method: str
    #: Path and query exactly as the caller sent them.
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
    #: Time after which the response is useless, monotonic clock, seconds.
    deadline: float
    #: Log index of the bundle that the request was validated against.
    bundle_index: int
    #: Whether the engines of the service keep backups of running generations.
    has_backups: bool
    #: Number of tokens in one event of a stream.
    event_tokens: int
    #: Fingerprints of the request and of the shared parts of its prompt.
    identity: RunIdentity

    @property
    def can_run_again(self) -> bool:
        """Whether the request may safely run more than once."""
        return self.route["kind"] in ("idempotent", "resumable")

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route["kind"] in ("streaming", "resumable")

    @property
    def needs_backup(self) -> bool:
        """Whether an interrupted stream can continue only from a KV cache backup."""
        return self.has_backups and self.route["kind"] == "streaming"

    def latency_budget(self, now: float) -> float:
        """Return the time left to start the run within the objective, seconds.

        The result is 0 if the route has no latency objective.
        """
        objective = self.route.get("latency_objective")
        if objective is None:
            return 0.0
        spent = now - self.received_at
        return max(objective * _WAIT_OBJECTIVE_FRACTION - spent, _MIN_START_SECONDS)

    def max_wait(self, now: float) -> float:
        """Return the maximum time that the request may wait for a target, seconds."""
        remaining = self.deadline - now
        objective = self.route.get("latency_objective")
        if objective is None:
            return remaining * _WAIT_FRACTION
        wait_in_time = objective * _WAIT_OBJECTIVE_FRACTION - (now - self.received_at)
        late_wait = min(remaining * _LATE_WAIT_FRACTION, _MAX_LATE_WAIT_SECONDS)
        return min(max(wait_in_time, late_wait), remaining)


def compute_deadline(
    head: RequestHead, route: ForwardingRoute, received_at: float
) -> float:
    """Return the earlier of the caller's deadline and that of the route."""
    timeout = route["timeout"]
    if head.timeout is not None:
        timeout = min(timeout, head.timeout)
    return received_at + timeout


def choose_priority(bundle: Bundle, account: str, route: ForwardingRoute) -> int:
    """Return the priority of the account, or that of the route if it has none."""
    configuration = bundle["accounts"].get(account)
    if configuration is not None and "priority" in configuration:
        return configuration["priority"]
    return route["priority"]


def build_reservation(
    spec: RequestSpec, attempt: int, excluded: tuple[str, ...], now: float
) -> ReservationRequest:
    """Return the reservation request for a target to run a request on."""
    size = spec.head.size or GenerationSize(0, 0)
    return ReservationRequest(
        generation_id=spec.key,
        attempt=attempt,
        service=spec.service,
        group="",
        account=spec.account,
        class_name=spec.route_name,
        priority=spec.priority,
        share=1.0,
        prompt_tokens=size.prompt_tokens,
        max_tokens=size.max_tokens,
        prefix=_digest_parts(size.parts),
        fingerprint=spec.identity.request,
        excluded=excluded,
        max_wait=spec.max_wait(now),
        expected_tokens=size.expected_tokens,
        needs_backup=spec.needs_backup,
        latency_budget=spec.latency_budget(now),
    )


def build_move_reservation(
    spec: RequestSpec, move_number: int, generated_tokens: int, source: str, now: float
) -> ReservationRequest:
    """Return the reservation request for a target that a run can move to.

    Parameters
    ----------
    spec : RequestSpec
        The running request.
    move_number : int
        Number of the move, from 1.
    generated_tokens : int
        Number of tokens generated so far.
    source : str
        Target that the request runs on.
    now : float
        Monotonic clock, seconds.
    """
    reservation = build_reservation(spec, 1, (source,), now)
    return reservation._replace(
        generation_id=f"{spec.key}.{move_number}",
        prompt_tokens=reservation.prompt_tokens + generated_tokens,
        max_tokens=max(reservation.max_tokens - generated_tokens, 1),
        expected_tokens=max(reservation.expected_tokens - generated_tokens, 0),
        prefix=(),
        is_running=True,
    )


def limit_parts(
    parts: tuple[PromptPart, ...], max_tokens: int
) -> tuple[PromptPart, ...]:
    """Return the parts of the first tokens of a prompt.

    Callers name the sizes of parts, and each block of their tokens has a digest.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts of the prompt, in order.
    max_tokens : int
        Maximum number of tokens of all returned parts.
    """
    kept: list[PromptPart] = []
    left = max_tokens
    for part in parts:
        if left <= 0:
            break
        kept.append(part._replace(tokens=min(part.tokens, left)))
        left -= part.tokens
    return tuple(kept)


def measure_prefix(parts: tuple[PromptPart, ...]) -> int:
    """Return the memory of the digests of a prompt in one reservation, bytes."""
    return _DIGEST_BYTES * sum(_count_blocks(part) for part in parts)


def _count_blocks(part: PromptPart) -> int:
    return -(-part.tokens // BLOCK_TOKENS)


def _digest_parts(parts: tuple[PromptPart, ...]) -> tuple[int, ...]:
    """Return cumulative digests of the prompt, one for each block of its tokens."""
    digests: list[int] = []
    state = xxhash.xxh3_64()
    for part in parts:
        state.update(part.part_id.encode())
        for block in range(_count_blocks(part)):
            state.update(block.to_bytes(4, "big"))
            digests.append(state.intdigest() >> 1)
    return tuple(digests)
