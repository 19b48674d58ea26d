"""Orders from the leader to engines to load weights, one engine at a time."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    BUNDLE,
    CONTROL,
    TARGETS,
    Blackboard,
    ControlView,
    Section,
)
from heathertack.messages import TargetRecord, TargetState

#: Maximum time that an order may be in transit.
MAX_ORDER_TRANSIT_SECONDS = 1.0
#: Maximum remaining lease of the previous leader.
_MAX_LEADER_LEASE_SECONDS = 0.6
#: Time after which a reload is abandoned, and pause before it is tried again.
_LOAD_TIMEOUT_SECONDS = 600.0
#: Interval at which an order is repeated to an engine that has not started loading.
_ORDER_RETRY_SECONDS = 5.0


class EngineWeights(NamedTuple):
    """Weights that an engine has loaded or is to load."""

    model: str
    version: str
    adapters: tuple[str, ...]


class WeightsReported(NamedTuple):
    """An engine reported its loaded weights."""

    target: str
    weights: EngineWeights
    #: Number of generations that the engine has not finished.
    running: int
    is_loading: bool


class OrdersDue(NamedTuple):
    """Time has passed; an order may be due."""


Event = WeightsReported | OrdersDue


class CordonTarget(NamedTuple):
    """Stop sending new work to a target so that it can be reloaded."""

    target: str


class UncordonTarget(NamedTuple):
    """Allow new work on a target again."""

    target: str


class SendOrder(NamedTuple):
    """Send an order, provided that this instance still leads just before sending."""

    target: str
    address: str
    weights: EngineWeights
    #: Fencing token, higher for every new leader; engines refuse a lower one.
    fencing_number: int


Action = CordonTarget | UncordonTarget | SendOrder


class _Report(NamedTuple):
    """Latest report of an engine."""

    weights: EngineWeights
    running: int
    is_loading: bool


class _Reload(NamedTuple):
    """The reload in progress."""

    target: str
    started_at: float
    ordered_at: float | None = None


class OrderController:
    """Schedules weight reloads for all engines of the system.

    One engine is reloaded at a time, since all loads go through one rate-limited
    store. An engine is first cordoned, then finishes its running generations, then
    loads. The last live engine of a service with several engines stays in service.

    Orders are level-triggered: each is computed from the difference between the
    desired and the reported state, so that a lost or repeated order does no harm.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (BUNDLE, CONTROL, TARGETS)
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._reports: dict[str, _Report] = {}
        self._term = 0
        self._first_order_at = 0.0
        self._reload: _Reload | None = None
        self._postponed: dict[str, float] = {}
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Orders, and targets to cordon or uncordon.
        """
        control = self._board.read(CONTROL)
        if not control.may_lead(now):
            self._reload = None
            return ()
        self._reset_on_new_term(control, now)
        match event:
            case WeightsReported():
                report = _Report(event.weights, event.running, event.is_loading)
                self._reports[event.target] = report
                return ()
            case OrdersDue():
                if now < self._first_order_at:
                    return ()
                return self._plan(control, now)
            case _:
                assert_never(event)

    def _reset_on_new_term(self, control: ControlView, now: float) -> None:
        """Delay the first order until the previous leader's orders have expired.

        Engines that ignore the fencing token would execute the orders of both leaders.
        """
        if control.term != self._term:
            self._term = control.term
            self._reload = None
            self._reports.clear()
            self._first_order_at = (
                now + _MAX_LEADER_LEASE_SECONDS + MAX_ORDER_TRANSIT_SECONDS
            )

    def _plan(self, control: ControlView, now: float) -> tuple[Action, ...]:
        if self._reload is not None:
            return self._continue_reload(self._reload, control, now)
        target = self._choose_target(now)
        if target is None:
            return ()
        self._reload = _Reload(target, now)
        return (CordonTarget(target),)

    def _continue_reload(
        self, reload: _Reload, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        record = self._board.read(TARGETS).get(reload.target)
        report = self._reports.get(reload.target)
        desired = self._desired_weights(record)
        is_gone = record is None or record.state is TargetState.GONE
        if is_gone or report is None or desired is None or record is None:
            return self._end_reload(reload)
        if report.weights == desired and not report.is_loading:
            return self._end_reload(reload)
        if now - reload.started_at >= _LOAD_TIMEOUT_SECONDS:
            self._postponed[reload.target] = now + _LOAD_TIMEOUT_SECONDS
            return self._end_reload(reload)
        if report.running or report.is_loading:
            return ()
        ordered_at = reload.ordered_at
        if ordered_at is not None and now - ordered_at < _ORDER_RETRY_SECONDS:
            return ()
        self._reload = reload._replace(ordered_at=now)
        order = SendOrder(
            reload.target, record.address, desired, control.fencing_number
        )
        return (order,)

    def _end_reload(self, reload: _Reload) -> tuple[Action, ...]:
        self._reload = None
        return (UncordonTarget(reload.target),)

    def _choose_target(self, now: float) -> str | None:
        """Return the next engine that can be reloaded without stopping its service."""
        targets = self._board.read(TARGETS)
        for name in sorted(self._reports):
            record = targets.get(name)
            desired = self._desired_weights(record)
            if record is None or desired is None:
                continue
            has_desired_weights = self._reports[name].weights == desired
            is_live = record.state is TargetState.LIVE
            is_postponed = now < self._postponed.get(name, now)
            if has_desired_weights or not is_live or is_postponed:
                continue
            if self._may_reload(record, targets):
                return name
        return None

    def _may_reload(
        self, record: TargetRecord, targets: Mapping[str, TargetRecord]
    ) -> bool:
        """Return whether an engine may be taken out of service for a reload.

        Another engine of the service must be live. The only engine of a service is
        reloaded all the same: with other weights than the desired ones it serves
        nothing that the bundle asks for.
        """
        others = [
            other
            for other in targets.values()
            if other.service == record.service
            and other.name != record.name
            and other.state is TargetState.LIVE
        ]
        is_only_engine = all(
            other.service != record.service or other.name == record.name
            for other in targets.values()
            if other.state is not TargetState.GONE
        )
        return bool(others) or is_only_engine

    def _desired_weights(self, record: TargetRecord | None) -> EngineWeights | None:
        bundle = self._board.read(BUNDLE).bundle
        if bundle is None or record is None:
            return None
        service = bundle["services"].get(record.service)
        if service is None or "model_version" not in service:
            return None
        return EngineWeights(
            service.get("model", ""),
            service["model_version"],
            tuple(service.get("adapters", ())),
        )
