"""The admission of heathertack in virtual time, optionally with known lengths."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from heathertack.controllers import AdmissionGroup, EngineLoad, TargetCapacity
from heathertack.messages import (
    ReservationAnnounce,
    ReservationGrant,
    ReservationOutcome,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import AdmissionTuning, LengthEstimator
from heathertack_fakes.measure._simulation import Simulation
from heathertack_fakes.measure._workloads import Arrival

_GROUP = "service:0"
_PROGRESS_INTERVAL_SECONDS = 1.0
_DISPATCH_INTERVAL_SECONDS = 0.05
_LOAD_INTERVAL_SECONDS = 0.5
_OWNER_HANDLING_SECONDS = 0.0005
_MAX_WAIT_SECONDS = 10.0


class ClairvoyantEstimator(LengthEstimator):
    """Returns the true length of every generation."""

    def __init__(self, lengths: dict[tuple[str, str], int]) -> None:
        super().__init__()
        self._lengths = lengths

    def predict_remaining(
        self,
        service: str,
        account: str,
        class_name: str,
        *,
        generated_tokens: int,
        limit: int,
        quantile: float,
    ) -> int:
        """Return the true number of remaining tokens, at least 1.

        Both ``service`` and ``account`` are the generation ID of the request.
        """
        del class_name, limit, quantile
        return max(self._lengths[(service, account)] - generated_tokens, 1)


class ReservationRouter:
    """Runs the admission of heathertack with delayed messages.

    Parameters
    ----------
    simulation : Simulation
        Simulation that serves the requests.
    delay : float
        One-way delay between an entry and the owner, seconds.
    tuning : AdmissionTuning
        Parameters of the admission.
    lengths : dict or None
        Table of true lengths, filled on arrival; ``None`` to estimate lengths.
    """

    def __init__(
        self,
        simulation: Simulation,
        delay: float,
        tuning: AdmissionTuning,
        lengths: dict[tuple[str, str], int] | None = None,
    ) -> None:
        self.messages = 0
        self._simulation = simulation
        self._delay = delay
        self._tuning = tuning
        self._lengths = lengths
        self._estimator = (
            LengthEstimator() if lengths is None else ClairvoyantEstimator(lengths)
        )
        self._arrivals: dict[str, Arrival] = {}
        self._attempts: Counter[str] = Counter()
        self._excluded: dict[str, tuple[str, ...]] = {}
        self._served: dict[str, tuple[Arrival, int, int]] = {}
        self._group = self._build_group()
        simulation.every(_DISPATCH_INTERVAL_SECONDS, self._expire_and_dispatch)
        simulation.every(_LOAD_INTERVAL_SECONDS, self._read_loads)
        simulation.every(_PROGRESS_INTERVAL_SECONDS, self._report_progress)

    def replace_owner(self) -> None:
        """Replace the owner by one that rebuilds its state from announcements."""
        waiting = [
            arrival
            for key, arrival in self._arrivals.items()
            if key not in self._served and self._attempts[key]
        ]
        self._group = self._build_group()
        self._simulation.after(1.0, self._announce_served)
        for arrival in waiting:
            if not self._is_served(arrival):
                self._simulation.after(1.0, lambda a=arrival: self._request_engine(a))  # type: ignore[misc]

    def on_arrival(self, arrival: Arrival) -> None:
        """Request an engine from the owner."""
        if self._lengths is not None:
            name = (arrival.generation_id, arrival.generation_id)
            self._lengths[name] = arrival.length
        self._arrivals[arrival.generation_id] = arrival
        self._attempts[arrival.generation_id] += 1
        self._request_engine(arrival)

    def on_tokens(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Report the first token immediately and later ones periodically."""
        self._served[arrival.generation_id] = (arrival, engine, generated_tokens)
        if generated_tokens == 1:
            self._send_to_owner(lambda: self._record_progress(arrival.generation_id, 1))

    def on_finished(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Release the reservation."""
        del engine
        self._release(arrival, generated_tokens, ReservationOutcome.FINISHED)

    def on_engine_lost(self, arrival: Arrival, engine: int) -> None:
        """Release the reservation; without a token, request an engine again."""
        generated_tokens = self._served.get(arrival.generation_id, (arrival, 0, 0))[2]
        self._release(
            arrival,
            generated_tokens,
            ReservationOutcome.TARGET_LOST,
            is_retried=not generated_tokens,
        )
        if not generated_tokens:
            excluded = self._excluded.get(arrival.generation_id, ())
            self._excluded[arrival.generation_id] = (*excluded, f"e{engine}")
            self._simulation.after(0.1, lambda: self.on_arrival(arrival))

    def _build_group(self) -> AdmissionGroup:
        now = self._simulation.now
        group = AdmissionGroup(_GROUP, self._tuning, self._estimator, now)
        self._set_targets(group)
        return group

    def _set_targets(self, group: AdmissionGroup) -> None:
        alive = self._simulation.alive
        group.set_targets(
            {
                f"e{engine}": TargetCapacity(_capacity(self._simulation))
                for engine in alive
            }
        )

    def _is_served(self, arrival: Arrival) -> bool:
        return arrival.generation_id in self._served_ids

    @property
    def _served_ids(self) -> set[str]:
        return set(self._served)

    def _request_engine(self, arrival: Arrival) -> None:
        request = self._build_request(arrival)
        self._send_to_owner(lambda: self._handle_request(request))

    def _build_request(self, arrival: Arrival) -> ReservationRequest:
        key = arrival.generation_id
        is_clairvoyant = self._lengths is not None
        return ReservationRequest(
            generation_id=key,
            attempt=self._attempts[key],
            service=key if is_clairvoyant else "service",
            group=_GROUP,
            account=key if is_clairvoyant else arrival.account,
            class_name=arrival.request_class.name,
            priority=arrival.request_class.priority,
            share=1.0,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.request_class.max_length,
            prefix=arrival.prefix,
            fingerprint=key,
            excluded=self._excluded.get(key, ()),
            max_wait=_MAX_WAIT_SECONDS,
        )

    def _send_to_owner(self, action: Callable[[], None]) -> None:
        self.messages += 1
        self._simulation.after(self._delay + _OWNER_HANDLING_SECONDS, action)

    def _handle_request(self, request: ReservationRequest) -> None:
        self._deliver_replies(
            self._group.request(request, "entry", 0, self._simulation.now)
        )

    def _deliver_replies(self, replies: tuple[object, ...]) -> None:
        for addressed in replies:
            reply = addressed.reply  # type: ignore[attr-defined]
            self.messages += 1
            if isinstance(reply, ReservationGrant):
                self._simulation.after(self._delay, lambda r=reply: self._on_grant(r))  # type: ignore[misc]
            elif isinstance(reply, ReservationRefusal):
                arrival = self._arrivals.pop(reply.generation_id)
                self._simulation.record_refused(arrival)

    def _on_grant(self, grant: ReservationGrant) -> None:
        arrival = self._arrivals[grant.generation_id]
        self._served[grant.generation_id] = (arrival, int(grant.target[1:]), 0)
        self._simulation.submit(arrival, int(grant.target[1:]))

    def _record_progress(self, key: str, generated_tokens: int) -> None:
        self._group.record_progress(key, generated_tokens, self._simulation.now)
        self._deliver_replies(self._group.dispatch(self._simulation.now))

    def _release(
        self,
        arrival: Arrival,
        generated_tokens: int,
        outcome: ReservationOutcome,
        *,
        is_retried: bool = False,
    ) -> None:
        key = arrival.generation_id
        self._served.pop(key, None)
        release = ReservationRelease(
            _GROUP, key, self._attempts[key], outcome, generated_tokens
        )

        def handle_release() -> None:
            self._group.release(release, self._simulation.now)
            self._deliver_replies(self._group.dispatch(self._simulation.now))

        self._send_to_owner(handle_release)
        if not is_retried:
            self._arrivals.pop(key, None)

    def _expire_and_dispatch(self) -> None:
        self._set_targets(self._group)
        lost_instances: frozenset[str] = frozenset()
        for key in self._arrivals:
            if key not in self._served:
                self._group.refresh(key, self._simulation.now)
        self._deliver_replies(
            self._group.expire_and_dispatch(lost_instances, self._simulation.now)
        )

    def _read_loads(self) -> None:
        for engine in self._simulation.alive:
            report = self._simulation.report(engine)
            if report is not None:
                load = EngineLoad(*report)
                self._group.record_load(f"e{engine}", load, self._simulation.now)

    def _report_progress(self) -> None:
        entries = {arrival.entry for arrival, _, _ in self._served.values()}
        self.messages += len(entries)
        for key, (_, _, generated_tokens) in tuple(self._served.items()):
            self._group.record_progress(key, generated_tokens, self._simulation.now)
        self._deliver_replies(self._group.dispatch(self._simulation.now))

    def _announce_served(self) -> None:
        for arrival, engine, generated_tokens in tuple(self._served.values()):
            self.messages += 1
            announce = ReservationAnnounce(
                self._build_request(arrival), f"e{engine}", generated_tokens
            )
            self._group.announce(announce, "entry", self._simulation.now)


class SplitReservationRouter:
    """Runs a separate admission group in each entry for its own requests only.

    Parameters
    ----------
    simulation : Simulation
        Simulation that serves the requests.
    entries : int
        Number of entries.
    tuning : AdmissionTuning
        Parameters of the admission.
    """

    def __init__(
        self, simulation: Simulation, entries: int, tuning: AdmissionTuning
    ) -> None:
        #: Always 0, because entries do not exchange messages.
        self.messages = 0
        self._routers = [
            ReservationRouter(simulation, 0.0, tuning) for _ in range(entries)
        ]

    def on_arrival(self, arrival: Arrival) -> None:
        """Forward a request to the router of its entry."""
        self._routers[arrival.entry].on_arrival(arrival)

    def on_tokens(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Forward the event to the router of the request's entry."""
        self._routers[arrival.entry].on_tokens(arrival, engine, generated_tokens)

    def on_finished(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Forward the event to the router of the request's entry."""
        self._routers[arrival.entry].on_finished(arrival, engine, generated_tokens)

    def on_engine_lost(self, arrival: Arrival, engine: int) -> None:
        """Forward the event to the router of the request's entry."""
        self._routers[arrival.entry].on_engine_lost(arrival, engine)


def _capacity(simulation: Simulation) -> int:
    report = simulation.report(0)
    return report.cache_capacity if report is not None else 60_000
