"""Tests of the leader's decisions about evacuation orders."""

from typing import NamedTuple

import pytest

from heathertack.controllers import EvacuationReceived, SendToPeer
from heathertack.controllers._evacuation_orders import EvacuationOrders, LogState
from heathertack.controllers.tests.control_cluster import ControlCluster
from heathertack.messages import (
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
)
from heathertack.state import SetDraining, order_evacuation

_DONE = EvacuationStatus.DONE
_STALE = EvacuationStatus.STALE
_NOT_LEADER = EvacuationStatus.NOT_LEADER
_UNAVAILABLE = EvacuationStatus.UNAVAILABLE
_FREE = LogState(has_lease=True, term=3, leader="a", evacuated=frozenset())
_EVACUATED = _FREE._replace(evacuated=frozenset({"zone-a"}))


def evacuate(request_id: str, term: int = 0, sequence: int = 0) -> EvacuationRequest:
    return EvacuationRequest(request_id, "zone-a", True, term, sequence)


def readmit(request_id: str, term: int = 0, sequence: int = 0) -> EvacuationRequest:
    return EvacuationRequest(request_id, "zone-a", False, term, sequence)


class _Leader:
    """Decisions of one replica, whose proposals are committed on demand."""

    def __init__(self) -> None:
        self.orders = EvacuationOrders()
        self.log = _FREE
        self.index = 10
        self.proposed: list[tuple[int, SetDraining]] = []

    def receive(self, request: EvacuationRequest) -> EvacuationReply | None:
        received = EvacuationReceived("b", request)
        decision = self.orders.decide(received, self.log)
        if isinstance(decision, SendToPeer):
            assert decision.instance == "b"
            assert isinstance(decision.message, EvacuationReply)
            return decision.message
        if decision is not None:
            self.index += 1
            self.orders.record_proposal(received, self.index, self.log.term)
            self.proposed.append((self.index, decision))
        return None

    def commit(self) -> list[EvacuationStatus]:
        """Apply the proposed commands; return the outcomes in their order."""
        statuses = []
        for index, command in self.proposed:
            change = frozenset({command.instance.partition("/")[2]})
            evacuated = self.log.evacuated
            evacuated = evacuated | change if command.draining else evacuated - change
            self.log = self.log._replace(evacuated=evacuated)
            action = self.orders.confirm(index, self.log.term, "a")
            assert action is not None
            assert isinstance(action.message, EvacuationReply)
            statuses.append(action.message.status)
        self.proposed.clear()
        return statuses

    def order(self, request: EvacuationRequest) -> None:
        """Commit an order as an instance does, with the values that it is told."""
        reply = self.receive(request)
        if reply is not None and reply.status is _STALE:
            current = request._replace(term=reply.term, sequence=reply.sequence)
            assert self.receive(current) is None
            assert self.commit() == [_DONE]


class _Case(NamedTuple):
    log: LogState
    request: EvacuationRequest
    #: Expected status, ``None`` if the order is proposed.
    status: EvacuationStatus | None


class TestDecisions:
    """An order must be proposed only by the leader, and only with current values."""

    @pytest.mark.parametrize(
        "case",
        [
            _Case(_FREE, evacuate("r"), _STALE),
            _Case(_FREE, evacuate("r", 3, 0), None),
            _Case(_FREE, evacuate("r", 3, 1), _STALE),
            _Case(_FREE, evacuate("r", 2, 0), _STALE),
            _Case(_FREE, readmit("r"), _DONE),
            _Case(_EVACUATED, evacuate("r"), _DONE),
            _Case(_EVACUATED, readmit("r"), _STALE),
            _Case(_EVACUATED, readmit("r", 3, 0), None),
            _Case(_FREE._replace(has_lease=False), evacuate("r", 3, 0), _NOT_LEADER),
            _Case(_EVACUATED._replace(has_lease=False), evacuate("r"), _NOT_LEADER),
        ],
    )
    def test_status(self, case: _Case) -> None:
        leader = _Leader()
        leader.log = case.log
        reply = leader.receive(case.request)
        assert (reply.status if reply is not None else None) is case.status
        is_order = case.status is None
        expected = order_evacuation("zone-a", evacuated=case.request.evacuated)
        assert [c for _, c in leader.proposed] == ([expected] if is_order else [])

    # Guards against a reply "done" that rests on an entry which may still be undone.
    def test_unchanged_order_waits_for_a_pending_one(self) -> None:
        leader = _Leader()
        assert leader.receive(evacuate("r1", 3, 0)) is None
        reply = leader.receive(readmit("r2"))
        assert reply is not None
        assert (reply.status, reply.sequence) == (_STALE, 1)
        assert leader.receive(readmit("r2", 3, 1)) is None
        assert leader.commit() == [_DONE, _DONE]
        assert leader.log.evacuated == frozenset()

    # Guards against an entry for each time that an instance sends an order again.
    def test_repeated_request_is_proposed_once(self) -> None:
        leader = _Leader()
        for _ in range(3):
            assert leader.receive(evacuate("r1", 3, 0)) is None
        assert len(leader.proposed) == 1
        assert leader.commit() == [_DONE]

    def test_pending_orders_are_unavailable_after_the_lead_is_lost(self) -> None:
        leader = _Leader()
        leader.receive(evacuate("r1", 3, 0))
        (action,) = leader.orders.abandon("c")
        assert isinstance(action.message, EvacuationReply)
        assert (action.message.status, action.message.leader) == (_UNAVAILABLE, "c")
        assert leader.orders.confirm(11, 3, "c") is None

    def test_entry_of_another_leader_does_not_confirm_an_order(self) -> None:
        leader = _Leader()
        leader.receive(evacuate("r1", 3, 0))
        action = leader.orders.confirm(11, 4, "c")
        assert action is not None
        assert isinstance(action.message, EvacuationReply)
        assert action.message.status is _UNAVAILABLE


class TestLateDuplicates:
    """A copy that was delayed on a link must not undo a later order."""

    @pytest.mark.parametrize("is_proposed", [True, False])
    @pytest.mark.parametrize("was_evacuated", [True, False])
    def test_delayed_copy_changes_nothing(
        self, is_proposed: bool, was_evacuated: bool
    ) -> None:
        # Without a proposal of the first order, the opposite one changes nothing: the
        # copy must be outdated then, too.
        leader = _Leader()
        leader.log = _EVACUATED if was_evacuated else _FREE
        first, opposite = (readmit, evacuate) if was_evacuated else (evacuate, readmit)
        copy = first("r1", 3, 0)
        if is_proposed:
            leader.order(copy._replace(sequence=0))
            leader.commit()
        leader.order(opposite("r2"))
        before = leader.log.evacuated
        reply = leader.receive(copy)
        assert reply is not None
        assert reply.status is _STALE
        assert leader.commit() == []
        assert leader.log.evacuated == before

    def test_copy_from_an_earlier_term_changes_nothing(self) -> None:
        leader = _Leader()
        leader.order(evacuate("r1"))
        leader.order(readmit("r2"))
        leader.log = leader.log._replace(term=5)
        for sequence in range(3):
            reply = leader.receive(evacuate("r1", 3, sequence))
            assert reply is not None
            assert (reply.status, reply.term, reply.sequence) == (_STALE, 5, 0)


class TestOrdersUnderFaults:
    """An acknowledged order must survive the leader, and a minority confirm none."""

    @staticmethod
    def _order(
        cluster: ControlCluster, sender: str, request: EvacuationRequest
    ) -> EvacuationStatus | None:
        """Send a request with the leader's values; return the last status."""
        for _ in range(2):
            leader = cluster.leader()
            if leader is None:
                return None
            cluster.evacuation_replies.clear()
            cluster.send_evacuation(sender, leader, request)
            cluster.run(0.3)
            if not cluster.evacuation_replies:
                return None
            reply = cluster.evacuation_replies[-1]
            if reply.status is not _STALE:
                return reply.status
            request = request._replace(term=reply.term, sequence=reply.sequence)
        return None

    @staticmethod
    def _read(cluster: ControlCluster) -> frozenset[str]:
        log = cluster.nodes[cluster.run_until_leader_elected()].log
        assert log is not None
        return log.machine.evacuated

    @pytest.fixture
    def cluster(self) -> ControlCluster:
        formed = ControlCluster(3, seed=1)
        formed.run_until_replicated()
        return formed

    def test_order_of_any_instance_is_committed(self, cluster: ControlCluster) -> None:
        for number, sender in enumerate("abc"):
            request = evacuate if number % 2 == 0 else readmit
            assert self._order(cluster, sender, request(f"r{number}")) is _DONE
        assert self._read(cluster) == {"zone-a"}

    @pytest.mark.parametrize("seed", range(4))
    def test_leader_lost_between_proposal_and_reply(self, seed: int) -> None:
        cluster = ControlCluster(3, seed)
        cluster.run_until_replicated()
        first = cluster.run_until_leader_elected()
        sender = next(name for name in "abc" if name != first)
        assert self._order(cluster, sender, readmit("r0")) is _DONE
        log = cluster.nodes[first].log
        assert log is not None
        term = log.replica.term
        cluster.send_evacuation(sender, first, evacuate("r1", term, 1))
        cluster.run(0.05)
        cluster.crash(first)
        cluster.run_until_leader_elected()
        # The same request, sent to the next leader, has outdated values there.
        request = evacuate("r1", term, 1)
        assert self._order(cluster, sender, request) is _DONE
        assert self._read(cluster) == {"zone-a"}

    def test_delayed_copy_at_the_next_leader(self, cluster: ControlCluster) -> None:
        first = cluster.run_until_leader_elected()
        sender = next(name for name in "abc" if name != first)
        assert self._order(cluster, sender, evacuate("r1")) is _DONE
        log = cluster.nodes[first].log
        assert log is not None
        copies = [evacuate("r1", log.replica.term, n) for n in range(3)]
        cluster.crash(first)
        second = cluster.run_until_leader_elected()
        assert self._order(cluster, sender, readmit("r2")) is _DONE
        for copy in copies:
            cluster.send_evacuation(sender, second, copy)
        cluster.run(0.5)
        assert self._read(cluster) == frozenset()

    def test_minority_confirms_nothing(self, cluster: ControlCluster) -> None:
        first = cluster.run_until_leader_elected()
        others = [name for name in "abc" if name != first]
        log = cluster.nodes[first].log
        assert log is not None
        cluster.cut_links = {frozenset({first, other}) for other in others}
        term = log.replica.term
        received = EvacuationReceived(first, evacuate("r1", term, 0))
        node = cluster.nodes[first]
        cluster.carry_out(node, log.handle(received, cluster.clock(node)))
        cluster.run(3.0)
        statuses = [reply.status for reply in cluster.evacuation_replies]
        assert statuses == [_UNAVAILABLE]
        cluster.evacuation_replies.clear()
        # The majority gets the opposite order, which the old entry must not undo.
        assert self._order(cluster, others[0], evacuate("r2")) is _DONE
        assert self._order(cluster, others[0], readmit("r3")) is _DONE
        cluster.cut_links.clear()
        cluster.run(3.0)
        assert self._read(cluster) == frozenset()
        assert log.machine.evacuated == frozenset()

    def test_orders_survive_a_kill_of_all_processes(
        self, cluster: ControlCluster
    ) -> None:
        assert self._order(cluster, "b", evacuate("r1")) is _DONE
        for name in "abc":
            cluster.crash(name)
        for name in "abc":
            cluster.start(name)
        assert self._read(cluster) == {"zone-a"}

    def test_orders_survive_lost_disks_one_after_another(
        self, cluster: ControlCluster
    ) -> None:
        assert self._order(cluster, "b", evacuate("r1")) is _DONE
        for name in "abc":
            cluster.wipe(name)
            cluster.start(name)
            cluster.run_until_replicated()
        assert self._read(cluster) == {"zone-a"}
