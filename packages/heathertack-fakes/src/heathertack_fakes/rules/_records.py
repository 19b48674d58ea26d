"""Records of clients, engines and the platform. All times are on one clock, seconds."""

from __future__ import annotations

from typing import NamedTuple


class ClientAttempt(NamedTuple):
    """One request as its client saw it; an attempt has an id of its own."""

    request_id: str
    #: Instance that the client sent it to.
    instance: str
    #: Time at which its last byte was sent.
    sent_at: float
    #: Time at which its answer, or its connection, ended.
    ended_at: float
    #: Status of the answer, 0 without one.
    status: int
    #: Whether the answer is complete.
    is_whole: bool
    #: Time that its client and its route allow, from ``sent_at``.
    time_budget: float
    #: Whether it may run more than once.
    is_idempotent: bool = False
    #: Numbers of the events that the client received.
    events: tuple[int, ...] = ()
    #: Whether its client had not sent the same work before.
    is_first_try: bool = True
    #: Whether the instance was in touch when it was sent.
    is_in_touch: bool = True


class EngineWork(NamedTuple):
    """Work of an engine on a request."""

    request_id: str
    engine: str
    began_at: float
    ended_at: float
    #: Whether the engine itself broke off.
    broke_off: bool = False
    #: Whether it goes on with the run of another engine, from a copy of its memory.
    continues_run: bool = False
    #: Number of the last event of the whole stream; 0 if the request is none.
    last_event: int = 0


class Stop(NamedTuple):
    """The first SIGTERM that the process of an instance got."""

    instance: str
    at: float


class StopBounds(NamedTuple):
    """Bounds of a planned stop."""

    #: Time from SIGTERM to SIGKILL.
    grace: float
    #: Time for which a request that is not passed on may cross the end of its
    #: connection.
    loss_slack: float


class TargetCut(NamedTuple):
    """Time in which some instances are partitioned from all targets."""

    instances: frozenset[str]
    began_at: float
    ended_at: float


class EngineFall(NamedTuple):
    """An engine that ended since it had to turn too many requests away."""

    service: str
    engine: str
    at: float
    #: Instances that sent the requests which it turned away in the second before, one
    #: entry for each request.
    rejected: tuple[str, ...]


class BrittleTime(NamedTuple):
    """Time in which the engines of a service said that they are brittle."""

    service: str
    begin: float
    end: float
    #: Number of engines of the service.
    engines: int


class OutOfTouch(NamedTuple):
    """Time in which an instance does not count."""

    instance: str
    begin: float
    end: float


class TargetRequest(NamedTuple):
    """A request that reached a target, from whichever instance sent it."""

    request_id: str
    target: str
    #: Failure domain of the target.
    domain: str
    #: Instance that sent it.
    instance: str
    #: Time at which it arrived.
    at: float
    #: Status of the answer, 0 without one.
    status: int = 200
    #: Whether the instance was in touch when it sent it.
    is_in_touch: bool = True


class Evacuation(NamedTuple):
    """Time in which a failure domain was evacuated by order of an operator."""

    domain: str
    #: Time at which the order was confirmed.
    confirmed_at: float
    #: Time at which it was withdrawn; infinite if it was not.
    withdrawn_at: float


class ColdTime(NamedTuple):
    """Time in which a target was cold."""

    target: str
    begin: float
    end: float
    #: Requests a second that it handles while it is cold.
    rate: float


class ColdBounds(NamedTuple):
    """Bounds of the requests that a cold target may get."""

    #: Part of its rate.
    overshoot: float
    #: Requests beyond that.
    slack: float


class Violation(NamedTuple):
    """A record that breaks a rule."""

    rule: str
    #: Empty where the rule speaks of many requests.
    request_id: str
    detail: str

    def __str__(self) -> str:
        return " ".join(filter(None, (f"{self.rule}:", self.request_id, self.detail)))
