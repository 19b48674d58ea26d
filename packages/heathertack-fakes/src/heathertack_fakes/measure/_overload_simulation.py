"""An admission owner under overload, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count

from heathertack.controllers import AdmissionGroup, EngineLoad, TargetCapacity
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import AdmissionTuning, LengthEstimator
from heathertack_fakes.measure._overload_workload import (
    EVENT_TOKENS,
    IMPATIENT_REPEATS,
    Call,
)

#: The tuning of the platform's daemon.
TUNING = AdmissionTuning(
    controls_overload=True,
    prefill_budget=4096,
    retry_after_bounds=(0.3, 10.0),
    batch_limit=64,
)
SLOTS = 24
CACHE_TOKENS = 26_964
_STEP_SECONDS = 0.007
_STEP_SECONDS_PER_REQUEST = 0.00012
_PROMPT_TOKENS_PER_SECOND = 14_000
#: Prompts are read in chunks between the steps of other requests.
_PROMPT_CHUNK_TOKENS = 256
_MAX_PAUSE_SECONDS = 0.18
_RECLAIM_PERIOD_SECONDS = 3.3
_RECLAIM_NOTICE_SECONDS = (1.5, 2.1)
_RECLAIM_FRACTION = 1 / 6
#: Time after which a reclaimed engine is replaced, and for a move of a stream.
_REPLACEMENT_SECONDS = 1.0
_MOVE_SECONDS = 0.05
_MESSAGE_SECONDS = 0.002
_DISPATCH_SECONDS = 0.05
_LOAD_SECONDS = 0.5
_PROGRESS_SECONDS = 1.0
#: Fractions of the objective and of the remaining time that a request may wait, as
#: the daemon's request specification has them.
_OBJECTIVE_FRACTION = 0.9
_LATE_WAIT_FRACTION = 0.25
_MAX_LATE_WAIT_SECONDS = 1.5
#: Fraction of the remaining time for which callers obey Retry-After.
_OBEYED_FRACTION = 1 / 3


class CallRecord:
    """Progress of one request, as its caller sees it."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.attempt = 0
        self.refused_count = 0
        self.sent_at = call.at
        self.granted_at: float | None = None
        self.first_at: float | None = None
        self.last_at = 0.0
        self.longest_pause = 0.0
        self.generated_tokens = 0
        self.engine = -1
        self.move_count = 0
        #: Time from each attempt to its refusal, seconds.
        self.refusal_delays: list[float] = []
        self.retry_after: list[tuple[float, float]] = []
        #: One of served, late, refused, lost, expired, or open.
        self.outcome = "open"

    @property
    def key(self) -> str:
        """Name of the current reservation."""
        base = f"g{self.call.number}-{self.refused_count}"
        return f"{base}.{self.move_count}" if self.move_count else base

    @property
    def deadline(self) -> float:
        """Time after which the response is useless, seconds."""
        return self.call.at + self.call.kind.deadline


class _Engine:
    """Engine that reads prompts in chunks between the steps of its requests."""

    def __init__(self) -> None:
        #: Unread prompt tokens of each request, in order of arrival.
        self.prompts: dict[int, int] = {}
        self.running: dict[int, CallRecord] = {}
        self.records: dict[int, CallRecord] = {}
        self.is_stepping = False
        self.is_leaving = False
        self.is_gone = False
        self.incarnation = 0

    @property
    def cache_tokens(self) -> int:
        """Tokens of the running requests."""
        return sum(
            r.call.prompt_tokens + r.generated_tokens for r in self.running.values()
        )


class OverloadSimulation:
    """Serves calls with one admission group until all have ended.

    Parameters
    ----------
    calls : tuple of Call
        Requests in order of arrival.
    engines : int
        Number of engines.
    seed : int
        Seed of the reclaims.
    has_reclaims : bool
        Whether engines are reclaimed.
    tuning : AdmissionTuning
        Parameters of the admission.
    """

    def __init__(
        self,
        calls: tuple[Call, ...],
        engines: int,
        seed: int,
        *,
        has_reclaims: bool = True,
        tuning: AdmissionTuning = TUNING,
    ) -> None:
        self.now = 0.0
        self.records = [CallRecord(call) for call in calls]
        self._rng = random.Random(seed)
        self._engines = [_Engine() for _ in range(engines)]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._by_key: dict[str, CallRecord] = {}
        self._moving: dict[str, CallRecord] = {}
        self._has_reclaims = has_reclaims
        self._next_reclaimed = 0
        self._sequence = 0
        self._group = AdmissionGroup("service:0", tuning, LengthEstimator(), -10.0)

    def run(self, until: float) -> list[CallRecord]:
        """Run until a point in time, seconds, and return the requests."""
        self._set_targets()
        for record in self.records:
            self._at(record.call.at, lambda r=record: self._send(r))  # type: ignore[misc]
        self._every(_DISPATCH_SECONDS, self._expire_and_dispatch)
        self._every(_LOAD_SECONDS, self._report_loads)
        self._every(_PROGRESS_SECONDS, self._report_progress)
        if self._has_reclaims:
            self._every(_RECLAIM_PERIOD_SECONDS, self._reclaim)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self.records

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._numbers), action))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._at(self.now + seconds, action)

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self._after(seconds, repeat)

        self._after(seconds, repeat)

    def _send(self, record: CallRecord) -> None:
        """Send an attempt of a caller."""
        record.sent_at = self.now
        record.attempt = 1
        self._by_key[record.key] = record
        request = self._build_request(record)
        self._after(_MESSAGE_SECONDS, lambda: self._ask(request))

    def _build_request(self, record: CallRecord) -> ReservationRequest:
        call = record.call
        remaining = record.deadline - self.now
        spent = self.now - record.sent_at
        in_time = call.kind.due * _OBJECTIVE_FRACTION - spent
        late = min(remaining * _LATE_WAIT_FRACTION, _MAX_LATE_WAIT_SECONDS)
        return ReservationRequest(
            generation_id=record.key,
            attempt=record.attempt,
            service="service",
            group="service:0",
            account=call.account,
            class_name=call.kind.name,
            priority=call.kind.priority,
            share=1.0,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.kind.max_events * EVENT_TOKENS,
            prefix=(),
            fingerprint=record.key,
            excluded=(),
            max_wait=min(max(in_time, late), remaining),
            expected_tokens=call.expected_tokens,
            latency_budget=max(in_time, 0.001),
        )

    def _ask(self, request: ReservationRequest) -> None:
        self._deliver(self._group.request(request, "entry", 0, self.now))

    def _deliver(self, replies: tuple[object, ...]) -> None:
        for addressed in replies:
            reply = addressed.reply  # type: ignore[attr-defined]
            if isinstance(reply, ReservationGrant):
                self._after(_MESSAGE_SECONDS, lambda r=reply: self._start(r))  # type: ignore[misc]
            elif isinstance(reply, ReservationRefusal):
                self._after(_MESSAGE_SECONDS, lambda r=reply: self._refuse(r))  # type: ignore[misc]

    def _refuse(self, refusal: ReservationRefusal) -> None:
        moving = self._moving.pop(refusal.generation_id, None)
        if moving is not None:
            return
        record = self._by_key.pop(refusal.generation_id)
        record.refused_count += 1
        record.refusal_delays.append(self.now - record.sent_at)
        record.retry_after.append((self.now, refusal.retry_after))
        record.outcome = "refused"
        remaining = record.deadline - self.now
        if record.call.is_impatient:
            if record.refused_count <= IMPATIENT_REPEATS:
                record.outcome = "open"
                self._after(_MESSAGE_SECONDS, lambda: self._send(record))
        elif record.refused_count == 1 and remaining > 0:
            record.outcome = "open"
            wait = min(refusal.retry_after, remaining * _OBEYED_FRACTION)
            self._after(wait, lambda: self._send(record))

    def _start(self, grant: ReservationGrant) -> None:
        engine = self._engines[int(grant.target[1:])]
        moving = self._moving.pop(grant.generation_id, None)
        if moving is not None:
            self._move(moving, grant.generation_id, engine)
            return
        record = self._by_key[grant.generation_id]
        number = record.call.number
        if engine.is_gone:
            self._release(record, ReservationOutcome.UNREACHABLE)
            self._retry(record)
            return
        record.granted_at = self.now
        record.engine = int(grant.target[1:])
        engine.prompts[number] = record.call.prompt_tokens
        engine.records[number] = record
        self._step(engine)

    def _retry(self, record: CallRecord) -> None:
        """Ask for another target after the first one was lost."""
        record.attempt += 1
        request = self._build_request(record)
        self._after(_MESSAGE_SECONDS, lambda: self._ask(request))

    def _release(self, record: CallRecord, outcome: ReservationOutcome) -> None:
        self._release_key(
            record.key, record.attempt, outcome, 0, record.generated_tokens
        )

    def _release_key(
        self,
        key: str,
        attempt: int,
        outcome: ReservationOutcome,
        delay: float,
        tokens: int,
    ) -> None:
        release = ReservationRelease("service:0", key, attempt, outcome, tokens)

        def handle() -> None:
            self._group.release(release, self.now)
            self._deliver(self._group.dispatch(self.now))

        self._after(_MESSAGE_SECONDS + delay, handle)

    def _step(self, engine: _Engine) -> None:
        if engine.is_stepping or engine.is_gone or not engine.records:
            return
        engine.is_stepping = True
        chunk = _PROMPT_CHUNK_TOKENS
        ready: list[int] = []
        for number in tuple(engine.prompts):
            read = min(engine.prompts[number], chunk)
            chunk -= read
            engine.prompts[number] -= read
            if not engine.prompts[number]:
                del engine.prompts[number]
                ready.append(number)
            if not chunk:
                break
        read_tokens = _PROMPT_CHUNK_TOKENS - chunk
        duration = read_tokens / _PROMPT_TOKENS_PER_SECOND
        for number in ready:
            engine.running[number] = engine.records[number]
        if engine.running:
            duration += _STEP_SECONDS + _STEP_SECONDS_PER_REQUEST * len(engine.running)
        incarnation = engine.incarnation
        self._after(duration, lambda: self._finish_step(engine, incarnation))

    def _finish_step(self, engine: _Engine, incarnation: int) -> None:
        if engine.incarnation != incarnation:
            return
        engine.is_stepping = False
        while engine.cache_tokens > CACHE_TOKENS and len(engine.running) > 1:
            # Preempts the request that started last; its prompt is read again.
            number, record = engine.running.popitem()
            engine.prompts[number] = record.call.prompt_tokens + record.generated_tokens
        for number, record in tuple(engine.running.items()):
            self._count_token(engine, number, record)
        self._step(engine)

    def _count_token(self, engine: _Engine, number: int, record: CallRecord) -> None:
        record.generated_tokens += 1
        if record.generated_tokens % EVENT_TOKENS == 0:
            if record.first_at is None:
                record.first_at = self.now
                self._send_progress(record)
            else:
                pause = self.now - record.last_at
                record.longest_pause = max(record.longest_pause, pause)
            record.last_at = self.now
        if record.generated_tokens >= record.call.length:
            del engine.running[number]
            del engine.records[number]
            self._by_key.pop(record.key, None)
            self._finish(record)
            self._release(record, ReservationOutcome.FINISHED)

    def _finish(self, record: CallRecord) -> None:
        call = record.call
        first_at = record.first_at if record.first_at is not None else self.now
        if self.now > record.deadline:
            record.outcome = "expired"
        elif (
            first_at > call.at + call.kind.due
            or record.longest_pause > _MAX_PAUSE_SECONDS
        ):
            record.outcome = "late"
        else:
            record.outcome = "served"

    def _send_progress(self, record: CallRecord) -> None:
        key, tokens = record.key, record.generated_tokens

        def handle() -> None:
            self._group.record_progress(key, tokens, self.now)
            self._deliver(self._group.dispatch(self.now))

        self._after(_MESSAGE_SECONDS, handle)

    def _reclaim(self) -> None:
        """Give notice to a part of the engines."""
        number = max(round(len(self._engines) * _RECLAIM_FRACTION), 1)
        for offset in range(number):
            index = (self._next_reclaimed + offset) % len(self._engines)
            engine = self._engines[index]
            engine.is_leaving = True
            notice = self._rng.uniform(*_RECLAIM_NOTICE_SECONDS)
            self._after(notice, lambda e=engine: self._lose(e))  # type: ignore[misc]
            for record in tuple(engine.records.values()):
                if record.generated_tokens and record.call.kind.max_events > SLOTS:
                    self._ask_move(record, f"e{index}")
        self._next_reclaimed = (self._next_reclaimed + number) % len(self._engines)
        self._set_targets()

    def _ask_move(self, record: CallRecord, source: str) -> None:
        key = f"g{record.call.number}-{record.refused_count}.{record.move_count + 1}"
        self._moving[key] = record
        tokens = record.generated_tokens
        request = self._build_request(record)._replace(
            generation_id=key,
            attempt=1,
            prompt_tokens=record.call.prompt_tokens + tokens,
            max_tokens=max(record.call.kind.max_events * EVENT_TOKENS - tokens, 1),
            expected_tokens=max(record.call.expected_tokens - tokens, 0),
            excluded=(source,),
            max_wait=_RECLAIM_NOTICE_SECONDS[0],
            is_running=True,
        )
        self._after(_MESSAGE_SECONDS, lambda: self._ask(request))

    def _move(self, record: CallRecord, key: str, engine: _Engine) -> None:
        """Continue a running request on another engine after its cache is copied."""
        number = record.call.number
        source = self._engines[record.engine]
        if source.records.get(number) is not record or engine.is_gone:
            self._release_key(key, 1, ReservationOutcome.CANCELLED, 0, 0)
            return

        def arrive() -> None:
            if engine.is_gone:
                record.outcome = "lost"
                self._release(record, ReservationOutcome.CANCELLED)
                return
            engine.records[number] = record
            engine.running[number] = record
            self._send_progress(record)
            self._step(engine)

        del source.records[number]
        source.running.pop(number, None)
        source.prompts.pop(number, None)
        self._by_key.pop(record.key, None)
        self._release(record, ReservationOutcome.CANCELLED)
        record.move_count += 1
        record.attempt = 1
        self._by_key[key] = record
        record.engine = self._engines.index(engine)
        self._after(_MOVE_SECONDS, arrive)

    def _lose(self, engine: _Engine) -> None:
        engine.is_gone = True
        engine.incarnation += 1
        engine.is_stepping = False
        lost = tuple(engine.records.values())
        engine.records.clear()
        engine.running.clear()
        engine.prompts.clear()
        for record in lost:
            self._release(record, ReservationOutcome.UNREACHABLE)
            if record.generated_tokens:
                record.outcome = "lost"
                self._by_key.pop(record.key, None)
            else:
                self._retry(record)
        self._after(_REPLACEMENT_SECONDS, lambda: self._replace(engine))

    def _replace(self, engine: _Engine) -> None:
        engine.is_gone = False
        engine.is_leaving = False
        self._set_targets()

    def _set_targets(self) -> None:
        self._group.set_targets(
            {
                f"e{number}": TargetCapacity(CACHE_TOKENS, SLOTS)
                for number, engine in enumerate(self._engines)
                if not engine.is_leaving
            }
        )
        self._group.set_versions({f"e{n}": "1" for n in range(len(self._engines))})

    def _expire_and_dispatch(self) -> None:
        for key in (*self._by_key, *self._moving):
            self._group.refresh(key, self.now)
        self._deliver(self._group.expire_and_dispatch(frozenset(), self.now))

    def _report_loads(self) -> None:
        self._sequence += 1
        for number, engine in enumerate(self._engines):
            if engine.is_gone:
                continue
            load = EngineLoad(
                self._sequence,
                len(engine.running),
                len(engine.prompts),
                engine.cache_tokens,
                CACHE_TOKENS,
                0,
            )
            self._group.record_load(f"e{number}", load, self.now)

    def _report_progress(self) -> None:
        for engine in self._engines:
            for record in engine.records.values():
                self._group.record_progress(
                    record.key, record.generated_tokens, self.now
                )
        self._deliver(self._group.dispatch(self.now))
