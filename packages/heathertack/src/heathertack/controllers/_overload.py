"""Decides which requests of one group wait, in what order, and which are refused.

Load: more requests than the targets have room for, in bursts of one kind, while
targets leave, one account sends much of the traffic and callers come back after
refusals. A queued request is refused as soon as those before it are likely to take all
room until its latest start. Requests for which there is room are never considered.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from heathertack.controllers._admission_types import AddressedReply, WaitingRequest
from heathertack.messages import ReservationRefusal, ReservationRequest
from heathertack.policy import (
    AdmissionTuning,
    Band,
    BandRates,
    QueuedItem,
    spread_retry,
)

#: Part of the latency budget that entry instances leave for the start of the run: they
#: report 0.9 of the objective.
_RESERVED_FRACTION = 1 / 9
#: Requests start later than the mean of their class if their prompt or those before it
#: are longer. With the mean itself, more short streams were late.
_START_MARGIN = 1.5
#: Weight of the latest start in the mean start time of its class.
_START_WEIGHT = 0.1
#: Part of its longest wait after which no request may overtake a head of the queue that
#: does not fit. At 0.5 the largest tenth of the long streams was served 0.46 times as
#: often as all of them, at 0.35 0.58 times (6 engines, twice the capacity).
_HEAD_WAIT_FRACTION = 0.35
#: Longest expected wait beyond the latest start that is told callers, seconds: the
#: rates are measured in a window of this length, and bursts end.
_MAX_EXCESS_SECONDS = 2.0


class OverloadControl:
    """Orders and refuses the queued requests of one group.

    Parameters
    ----------
    tuning : AdmissionTuning
        Parameters.
    """

    def __init__(self, tuning: AdmissionTuning) -> None:
        self._tuning = tuning
        self._rates = BandRates()
        #: Class and time of the grant of each request that has not started.
        self._starting: dict[str, tuple[tuple[str, str], float]] = {}
        self._start_seconds: dict[tuple[str, str], float] = {}
        self._refusal_counts: Counter[str] = Counter()

    def build_queued(
        self,
        request: ReservationRequest,
        instance: str,
        earlier: QueuedItem[WaitingRequest] | None,
        losses: int,
        now: float,
    ) -> QueuedItem[WaitingRequest]:
        """Return a request with its place in the queue.

        Parameters
        ----------
        request : ReservationRequest
            Request to queue.
        instance : str
            Entry instance that sent it.
        earlier : QueuedItem or None
            The same request as received before, which keeps its place.
        losses : int
            Number of targets that failed while they ran the request.
        now : float
            Monotonic clock, seconds.
        """
        deadline = now + request.max_wait
        queued_at = now
        if earlier is not None:
            deadline = earlier.item.deadline
            queued_at = earlier.queued_at
        return QueuedItem(
            request.generation_id,
            request.account,
            request.priority,
            request.share,
            queued_at,
            WaitingRequest(request, instance, deadline, now, losses),
            self._find_objective_deadline(request, now),
            request.is_running and self._tuning.controls_overload,
        )

    def take_refusal_counts(self) -> Counter[str]:
        """Return the requests refused since the last call, by reason."""
        counts = self._refusal_counts
        self._refusal_counts = Counter()
        return counts

    def is_old(self, queued: QueuedItem[WaitingRequest], now: float) -> bool:
        """Return whether no request may overtake a head that does not fit."""
        limit = self._tuning.head_age_limit
        if self._tuning.controls_overload:
            longest_wait = queued.item.deadline - queued.queued_at
            limit = min(limit, longest_wait * _HEAD_WAIT_FRACTION)
        return now - queued.queued_at >= limit

    def record_grant(self, queued: QueuedItem[WaitingRequest], now: float) -> None:
        """Record that a queued request was assigned to a target."""
        self._rates.record_grant(_find_band(queued, now), now)

    def record_placed(self, request: ReservationRequest, now: float) -> None:
        """Record that a request, queued or not, is about to be sent to its target."""
        if not request.is_running:
            self._starting[request.generation_id] = (_find_class(request), now)

    def record_start(self, generation_id: str, now: float) -> None:
        """Record that a request has produced tokens."""
        starting = self._starting.pop(generation_id, None)
        if starting is not None:
            class_key, granted_at = starting
            mean = self._start_seconds.get(class_key, 0.0)
            change = _START_WEIGHT * (now - granted_at - mean)
            self._start_seconds[class_key] = mean + change

    def record_end(self, generation_id: str) -> None:
        """Record that a reservation ended."""
        self._starting.pop(generation_id, None)

    def refuse_unservable(
        self, queue: Iterable[QueuedItem[WaitingRequest]], now: float
    ) -> tuple[AddressedReply, ...]:
        """Return the refusals of the queued requests that can't start in time.

        Parameters
        ----------
        queue : iterable of QueuedItem
            Queued requests in the order in which they are served.
        now : float
            Monotonic clock, seconds.
        """
        if not self._tuning.controls_overload:
            return ()
        waiting = [(q, _find_band(q, now)) for q in queue if not q.is_running]
        self._rates.record_backlog({band for _, band in waiting}, now)
        ahead: Counter[Band] = Counter()
        in_time_wait = 0.0
        refusals: list[AddressedReply] = []
        for queued, band in waiting:
            remaining = queued.item.deadline - now
            shortest = self._rates.shortest_wait(band, ahead[band], now)
            if band.is_late:
                # Late requests are served after all others.
                shortest = max(shortest, in_time_wait)
            if shortest <= remaining:
                ahead[band] += 1
                if not band.is_late:
                    in_time_wait = max(in_time_wait, shortest)
                continue
            expected = self._rates.expected_wait(band, ahead[band], now)
            wait = min(max(expected, shortest), remaining + _MAX_EXCESS_SECONDS)
            refusal = self.refuse(
                queued.item.request,
                queued.item.instance,
                "overloaded",
                wait - remaining,
                f"the wait would be about {wait:.1f} s",
                reason="no_room_in_time",
            )
            refusals.append(refusal)
        return tuple(refusals)

    def refuse(
        self,
        request: ReservationRequest,
        instance: str,
        code: str,
        retry_after: float,
        text: str,
        *,
        reason: str = "",
    ) -> AddressedReply:
        """Return a refusal, and count it.

        Parameters
        ----------
        request : ReservationRequest
            Request that is refused.
        instance : str
            Entry instance that sent it.
        code : str
            Refusal code.
        retry_after : float
            Time at which there is likely to be capacity, from now, seconds.
        text : str
            Explanation for the caller.
        reason : str
            Reason by which refusals are counted; the code if empty.
        """
        self._refusal_counts[reason or code] += 1
        shortest, longest = self._tuning.retry_after_bounds
        delay = max(retry_after, shortest)
        if self._tuning.controls_overload:
            delay = spread_retry(request.generation_id, delay)
        refusal = ReservationRefusal(
            request.generation_id, request.attempt, code, min(delay, longest), text
        )
        return AddressedReply(instance, refusal)

    def _find_objective_deadline(
        self, request: ReservationRequest, now: float
    ) -> float:
        """Return the time until which a request can meet its latency objective.

        Targets that read many prompts start a request later than entry instances
        allow for.
        """
        budget = request.latency_budget
        if not budget:
            return math.inf
        if not self._tuning.controls_overload:
            return now + budget
        start = _START_MARGIN * self._start_seconds.get(_find_class(request), 0.0)
        return now + budget - max(start - budget * _RESERVED_FRACTION, 0.0)


def _find_class(request: ReservationRequest) -> tuple[str, str]:
    return (request.service, request.class_name)


def _find_band(queued: QueuedItem[WaitingRequest], now: float) -> Band:
    return Band(now > queued.objective_deadline, queued.priority, queued.account)
