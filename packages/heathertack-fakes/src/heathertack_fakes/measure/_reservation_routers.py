"""The admission of the product in virtual time, and a clairvoyant one."""

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
_PROGRESS_SECONDS = 1.0
_TICK_SECONDS = 0.05
_LOAD_SECONDS = 0.5
_OWNER_HANDLING_SECONDS = 0.0005
_PATIENCE_SECONDS = 10.0


class ClairvoyantEstimator(LengthEstimator):
    """Knows every length."""

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
        """Return the true tokens still to come; the account names the request."""
        del class_name, limit, quantile
        return max(self._lengths[(service, account)] - generated_tokens, 1)


class ReservationRouter:
    """The admission of the product, with messages that take time.

    Parameters
    ----------
    simulation : Simulation
        Where requests go.
    delay : float
        One-way delay between an entry and the owner, seconds.
    tuning : AdmissionTuning
        Parameters.
    lengths : dict or None
        True lengths, for the clairvoyant.
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
        self._group = self._new_group()
        simulation.every(_TICK_SECONDS, self._tick)
        simulation.every(_LOAD_SECONDS, self._read_loads)
        simulation.every(_PROGRESS_SECONDS, self._report_progress)

    def replace_owner(self) -> None:
        """Lose the owner; the next one starts from announcements."""
        waiting = [
            arrival
            for key, arrival in self._arrivals.items()
            if key not in self._served and self._attempts[key]
        ]
        self._group = self._new_group()
        self._simulation.after(1.0, self._announce_all)
        for arrival in waiting:
            if not self._is_placed(arrival):
                self._simulation.after(1.0, lambda a=arrival: self._ask(a))  # type: ignore[misc]

    def arrive(self, arrival: Arrival) -> None:
        """Ask the owner for an engine."""
        if self._lengths is not None:
            name = (arrival.generation_id, arrival.generation_id)
            self._lengths[name] = arrival.length
        self._arrivals[arrival.generation_id] = arrival
        self._attempts[arrival.generation_id] += 1
        self._ask(arrival)

    def note_tokens(self, arrival: Arrival, engine: int, made: int) -> None:
        """Tell the owner of the first token at once, of the others later."""
        self._served[arrival.generation_id] = (arrival, engine, made)
        if made == 1:
            self._to_owner(lambda: self._progress(arrival.generation_id, 1))

    def note_end(self, arrival: Arrival, engine: int, made: int) -> None:
        """Release the reservation."""
        del engine
        self._release(arrival, made, ReservationOutcome.FINISHED)

    def note_lost(self, arrival: Arrival, engine: int) -> None:
        """Release the reservation, and ask again unless a token was made."""
        made = self._served.get(arrival.generation_id, (arrival, 0, 0))[2]
        self._release(arrival, made, ReservationOutcome.TARGET_LOST, keep=not made)
        if not made:
            excluded = self._excluded.get(arrival.generation_id, ())
            self._excluded[arrival.generation_id] = (*excluded, f"e{engine}")
            self._simulation.after(0.1, lambda: self.arrive(arrival))

    def _new_group(self) -> AdmissionGroup:
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

    def _is_placed(self, arrival: Arrival) -> bool:
        return arrival.generation_id in self._placed

    @property
    def _placed(self) -> set[str]:
        return set(self._served)

    def _ask(self, arrival: Arrival) -> None:
        request = self._build_request(arrival)
        self._to_owner(lambda: self._request(request))

    def _build_request(self, arrival: Arrival) -> ReservationRequest:
        key = arrival.generation_id
        knows = self._lengths is not None
        return ReservationRequest(
            generation_id=key,
            attempt=self._attempts[key],
            service=key if knows else "service",
            group=_GROUP,
            account=key if knows else arrival.account,
            class_name=arrival.kind.name,
            priority=arrival.kind.priority,
            share=1.0,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.kind.longest,
            prefix=arrival.prefix,
            fingerprint=key,
            excluded=self._excluded.get(key, ()),
            max_wait=_PATIENCE_SECONDS,
        )

    def _to_owner(self, act: Callable[[], None]) -> None:
        self.messages += 1
        self._simulation.after(self._delay + _OWNER_HANDLING_SECONDS, act)

    def _request(self, request: ReservationRequest) -> None:
        self._send(self._group.request(request, "entry", 0, self._simulation.now))

    def _send(self, replies: tuple[object, ...]) -> None:
        for addressed in replies:
            reply = addressed.reply  # type: ignore[attr-defined]
            self.messages += 1
            if isinstance(reply, ReservationGrant):
                self._simulation.after(self._delay, lambda r=reply: self._take(r))  # type: ignore[misc]
            elif isinstance(reply, ReservationRefusal):
                arrival = self._arrivals.pop(reply.generation_id)
                self._simulation.refuse(arrival)

    def _take(self, grant: ReservationGrant) -> None:
        arrival = self._arrivals[grant.generation_id]
        self._served[grant.generation_id] = (arrival, int(grant.target[1:]), 0)
        self._simulation.submit(arrival, int(grant.target[1:]))

    def _progress(self, key: str, made: int) -> None:
        self._group.record_progress(key, made, self._simulation.now)
        self._send(self._group.dispatch(self._simulation.now))

    def _release(
        self,
        arrival: Arrival,
        made: int,
        outcome: ReservationOutcome,
        *,
        keep: bool = False,
    ) -> None:
        key = arrival.generation_id
        self._served.pop(key, None)
        release = ReservationRelease(_GROUP, key, self._attempts[key], outcome, made)

        def act() -> None:
            self._group.release(release, self._simulation.now)
            self._send(self._group.dispatch(self._simulation.now))

        self._to_owner(act)
        if not keep:
            self._arrivals.pop(key, None)

    def _tick(self) -> None:
        self._set_targets(self._group)
        gone: frozenset[str] = frozenset()
        for key in self._arrivals:
            if key not in self._served:
                self._group.refresh(key, self._simulation.now)
        self._send(self._group.expire_and_dispatch(gone, self._simulation.now))

    def _read_loads(self) -> None:
        for engine in self._simulation.alive:
            report = self._simulation.report(engine)
            if report is not None:
                load = EngineLoad(*report)
                self._group.record_load(f"e{engine}", load, self._simulation.now)

    def _report_progress(self) -> None:
        entries = {arrival.entry for arrival, _, _ in self._served.values()}
        self.messages += len(entries)
        for key, (_, _, made) in tuple(self._served.items()):
            self._group.record_progress(key, made, self._simulation.now)
        self._send(self._group.dispatch(self._simulation.now))

    def _announce_all(self) -> None:
        for arrival, engine, made in tuple(self._served.values()):
            self.messages += 1
            announce = ReservationAnnounce(
                self._build_request(arrival), f"e{engine}", made
            )
            self._group.announce(announce, "entry", self._simulation.now)


class SplitReservationRouter:
    """The same reservation, but each entry keeps a ledger of its own requests.

    Parameters
    ----------
    simulation : Simulation
        Where requests go.
    entries : int
        Number of entries.
    tuning : AdmissionTuning
        Parameters.
    """

    def __init__(
        self, simulation: Simulation, entries: int, tuning: AdmissionTuning
    ) -> None:
        #: Every entry decides for itself.
        self.messages = 0
        self._parts = [
            ReservationRouter(simulation, 0.0, tuning) for _ in range(entries)
        ]

    def arrive(self, arrival: Arrival) -> None:
        """Let the entry of a request decide."""
        self._parts[arrival.entry].arrive(arrival)

    def note_tokens(self, arrival: Arrival, engine: int, made: int) -> None:
        """Tell the entry of a request."""
        self._parts[arrival.entry].note_tokens(arrival, engine, made)

    def note_end(self, arrival: Arrival, engine: int, made: int) -> None:
        """Tell the entry of a request."""
        self._parts[arrival.entry].note_end(arrival, engine, made)

    def note_lost(self, arrival: Arrival, engine: int) -> None:
        """Tell the entry of a request."""
        self._parts[arrival.entry].note_lost(arrival, engine)


def _capacity(simulation: Simulation) -> int:
    report = simulation.report(0)
    return report.cache_capacity if report is not None else 60_000
