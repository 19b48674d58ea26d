"""Targets of failure domains that an operator has evacuated.

The leader publishes them as leaving, which older builds obey too, and names those that
would otherwise be live: their engines keep running, so that streams stay there.
"""

from __future__ import annotations

from collections.abc import Callable

from heathertack.blackboard import (
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    LEAVING_TARGETS,
    TARGETS,
    Blackboard,
)
from heathertack.controllers._placement_types import PlacementDenied, build_denial
from heathertack.messages import (
    EvacuatedTargets,
    ReservationRequest,
    TargetRecord,
    TargetState,
)

#: Time after the latest message of a leader after which no domain counts as evacuated,
#: seconds. While one is, a message precedes each grant, and leases are renewed at least
#: once a second: one lost message must not make all streams of a domain move.
_RETENTION_SECONDS = 5.0
#: Delay after which a caller is asked to return if all targets of a service are
#: evacuated, seconds: an operator ends that at an unknown time.
_EVACUATED_RETRY_SECONDS = 2.0


class EvacuationPublisher:
    """Tells lease holders which targets are evacuated, on the instance that leads.

    Parameters
    ----------
    next_sequence : callable
        Returns the sequence number of the next change of the leader's tables.
    """

    def __init__(self, next_sequence: Callable[[], int]) -> None:
        self._next_sequence = next_sequence
        self._domains: frozenset[str] = frozenset()
        self._targets: frozenset[str] = frozenset()
        #: Sequence number of the latest change; 0 if there was none in this term.
        self._sequence = 0

    @property
    def domains(self) -> frozenset[str]:
        """Evacuated failure domains."""
        return self._domains

    def clear(self) -> None:
        """Forget everything, since a new term begins."""
        self._domains = frozenset()
        self._targets = frozenset()
        self._sequence = 0

    def set_domains(self, domains: frozenset[str]) -> bool:
        """Set the evacuated domains and return whether they changed."""
        if domains == self._domains:
            return False
        self._domains = domains
        self._sequence = self._next_sequence()
        return True

    def apply(self, target: TargetRecord) -> tuple[TargetRecord, bool]:
        """Return the record to publish for a target, and whether its part changed.

        A target that begins to leave in an evacuated domain keeps its record, but its
        streams must move.
        """
        is_live = target.state is TargetState.LIVE
        is_covered = is_live and target.failure_domain in self._domains
        is_changed = is_covered != (target.name in self._targets)
        if is_changed:
            self._targets ^= {target.name}
            self._sequence = self._next_sequence()
        if is_covered:
            target = target._replace(state=TargetState.LEAVING)
        return target, is_changed

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self._targets -= {target}

    def build(self, term: int, since: int) -> tuple[EvacuatedTargets, ...]:
        """Return what precedes a grant.

        Parameters
        ----------
        term : int
            Term of the leader.
        since : int
            Sequence number of the tables that the instance has; 0 for none.
        """
        if not self._domains and self._sequence <= since:
            return ()
        targets = tuple(sorted(self._targets))
        return (EvacuatedTargets(term, targets, tuple(sorted(self._domains))),)


class EvacuationReceiver:
    """Keeps what leaders last said of evacuated targets, on a lease holder."""

    def __init__(self) -> None:
        self._term = 0
        self._latest: EvacuatedTargets | None = None
        self._received_at = 0.0

    @property
    def targets(self) -> frozenset[str]:
        """Targets that would be live if their domain were not evacuated."""
        return frozenset(self._latest.targets if self._latest is not None else ())

    @property
    def domains(self) -> frozenset[str]:
        """Evacuated failure domains."""
        return frozenset(self._latest.domains if self._latest is not None else ())

    def receive(self, message: EvacuatedTargets, term: int, now: float) -> None:
        """Adopt a message, unless it is of an earlier leader than one heard of.

        Parameters
        ----------
        message : EvacuatedTargets
            The message.
        term : int
            Latest term of which a grant was received.
        now : float
            Monotonic clock, seconds.
        """
        if message.term < max(term, self._term):
            return
        self._term = message.term
        self._latest = message
        self._received_at = now

    def expire(self, now: float) -> None:
        """Forget a message that has not preceded the grants of some time."""
        if now - self._received_at >= _RETENTION_SECONDS:
            self._latest = None


def is_evacuated(board: Blackboard, target: str) -> bool:
    """Return whether a target must get no requests since its domain is evacuated.

    The table decides whether the domain has been readmitted: the message that says so
    may have been lost.
    """
    domains = board.read(EVACUATED_DOMAINS)
    if not domains:
        return False
    record = board.read(TARGETS).get(target)
    return (
        record is not None
        and record.failure_domain in domains
        and record.state is not TargetState.LIVE
    )


def keeps_running(board: Blackboard, target: str) -> bool:
    """Return whether a target goes on with what it runs, as far as is known here.

    It is live, or would be if its domain were not evacuated.
    """
    record = board.read(TARGETS).get(target)
    if record is None:
        return False
    if record.state is TargetState.LIVE:
        return True
    said = board.read(LEAVING_TARGETS).get(target)
    is_leaving = said is not None and said.address == record.address
    is_gone = record.state is TargetState.GONE
    return not is_gone and not is_leaving and target in board.read(EVACUATED_TARGETS)


def is_service_evacuated(board: Blackboard, service: str) -> bool:
    """Return whether a service has no live target, and an evacuated one."""
    if not board.read(EVACUATED_DOMAINS):
        return False
    targets = [t for t in board.read(TARGETS).values() if t.service == service]
    if any(target.state is TargetState.LIVE for target in targets):
        return False
    evacuated = board.read(EVACUATED_TARGETS)
    return any(
        target.name in evacuated and target.state is not TargetState.GONE
        for target in targets
    )


def deny_evacuated(
    board: Blackboard, request: ReservationRequest
) -> PlacementDenied | None:
    """Return the denial of a request whose service is evacuated as a whole."""
    if not is_service_evacuated(board, request.service):
        return None
    reason = f"all targets of {request.service} are evacuated"
    return build_denial(request, "evacuated", _EVACUATED_RETRY_SECONDS, reason)


def exclude_evacuated(
    board: Blackboard, request: ReservationRequest
) -> ReservationRequest:
    """Return a request that excludes the evacuated targets of its service.

    The admission owner may not know of the evacuation. For a run that moves, the
    excluded targets are its sources, so its destination is checked when it is granted.
    """
    if request.is_running or not board.read(EVACUATED_DOMAINS):
        return request
    names = (
        target.name
        for target in board.read(TARGETS).values()
        if target.service == request.service and is_evacuated(board, target.name)
    )
    excluded = tuple(dict.fromkeys((*request.excluded, *names)))
    return request._replace(excluded=excluded)
