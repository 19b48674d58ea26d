"""The leader's orders to engines: which weights to load, one after the other."""

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

#: Longest time that an order may be on its way, seconds.
ORDER_SECONDS = 1.0
#: Longest life of another leader's lease, seconds.
_OLD_LEASE_SECONDS = 0.6
_LOAD_SECONDS = 600.0
_REORDER_SECONDS = 5.0


class EngineWeights(NamedTuple):
    """What an engine has loaded, or is to load."""

    model: str
    version: str
    adapters: tuple[str, ...]


class WeightsReported(NamedTuple):
    """An engine told what it has loaded."""

    target: str
    weights: EngineWeights
    #: Generations that it still runs.
    running: int
    is_loading: bool


class OrdersDue(NamedTuple):
    """The clock advanced."""


Event = WeightsReported | OrdersDue


class CordonTarget(NamedTuple):
    """Give a target no new work, so that it can be reloaded."""

    target: str


class UncordonTarget(NamedTuple):
    """Give a target work again."""

    target: str


class SendOrder(NamedTuple):
    """Send an order, if this instance still leads right before it is sent."""

    target: str
    address: str
    weights: EngineWeights
    #: Grows with every leader; engines refuse an older one.
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
    """Plans the loading of weights for the whole system.

    One engine is reloaded at a time, since all loads pass one rate-limited store.
    An engine first gets no new work, then finishes what it runs, then loads. The
    last engine that serves what the bundle wants stays in service.

    Orders are level-triggered: each is the difference between the wanted and the
    reported state, so that a lost or repeated order does no harm.

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
        self._may_order_at = 0.0
        self._reload: _Reload | None = None
        self._postponed: dict[str, float] = {}
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Act on an event and return what the instance has to do.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Orders, and targets that get no work or get work again.
        """
        control = self._board.read(CONTROL)
        if not control.may_lead(now):
            self._reload = None
            return ()
        self._follow_term(control, now)
        match event:
            case WeightsReported():
                report = _Report(event.weights, event.running, event.is_loading)
                self._reports[event.target] = report
                return ()
            case OrdersDue():
                if now < self._may_order_at:
                    return ()
                return self._plan(control, now)
            case _:
                assert_never(event)

    def _follow_term(self, control: ControlView, now: float) -> None:
        """Wait out the orders of the last leader before the first own one.

        Engines that ignore the fencing number would obey both.
        """
        if control.term != self._term:
            self._term = control.term
            self._reload = None
            self._reports.clear()
            self._may_order_at = now + _OLD_LEASE_SECONDS + ORDER_SECONDS

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
        wanted = self._wanted_weights(record)
        is_gone = record is None or record.state is TargetState.GONE
        if is_gone or report is None or wanted is None or record is None:
            return self._end_reload(reload)
        if report.weights == wanted and not report.is_loading:
            return self._end_reload(reload)
        if now - reload.started_at >= _LOAD_SECONDS:
            self._postponed[reload.target] = now + _LOAD_SECONDS
            return self._end_reload(reload)
        if report.running or report.is_loading:
            return ()
        ordered_at = reload.ordered_at
        if ordered_at is not None and now - ordered_at < _REORDER_SECONDS:
            return ()
        self._reload = reload._replace(ordered_at=now)
        order = SendOrder(reload.target, record.address, wanted, control.fencing_number)
        return (order,)

    def _end_reload(self, reload: _Reload) -> tuple[Action, ...]:
        self._reload = None
        return (UncordonTarget(reload.target),)

    def _choose_target(self, now: float) -> str | None:
        """Return the next engine to reload without leaving its service empty."""
        targets = self._board.read(TARGETS)
        for name in sorted(self._reports):
            record = targets.get(name)
            wanted = self._wanted_weights(record)
            if record is None or wanted is None:
                continue
            is_right = self._reports[name].weights == wanted
            is_usable = record.state is TargetState.LIVE
            is_postponed = now < self._postponed.get(name, now)
            if is_right or not is_usable or is_postponed:
                continue
            if self._has_other(record, targets):
                return name
        return None

    def _has_other(
        self, record: TargetRecord, targets: Mapping[str, TargetRecord]
    ) -> bool:
        """Tell whether a service has an engine in use beside one of its own.

        An engine with other weights serves nothing the bundle wants if no engine
        of the service has the right ones; then one is reloaded all the same when
        it is the only one.
        """
        others = [
            other
            for other in targets.values()
            if other.service == record.service
            and other.name != record.name
            and other.state is TargetState.LIVE
        ]
        alone = all(
            other.service != record.service or other.name == record.name
            for other in targets.values()
            if other.state is not TargetState.GONE
        )
        return bool(others) or alone

    def _wanted_weights(self, record: TargetRecord | None) -> EngineWeights | None:
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
