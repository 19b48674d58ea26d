"""Simulates control logs with virtual time and an unreliable network."""

import random
from typing import NamedTuple

from heathertack.blackboard import CONTROL, Blackboard
from heathertack.consensus import Replica, ReplicaTimings
from heathertack.controllers import (
    CommandSubmitted,
    ConsensusReceived,
    ControlLogController,
    EvacuationReceived,
    JoinReceived,
    ProposalsDue,
    ReplyToCommand,
    SendToPeer,
    TimePassed,
)
from heathertack.messages import (
    PEER_CODEC,
    ControlStatus,
    EvacuationReply,
    EvacuationRequest,
    JoinRequest,
    PeerMessage,
)
from heathertack.state import ClaimCall, ControlStateMachine
from heathertack.storage import StorageIdentity, format_folder, open_storage
from heathertack.storage.tests.memory_disk import MemoryDisk

STEP_SECONDS = 0.05
_MIN_SNAPSHOT_ENTRIES = 12


class Envelope(NamedTuple):
    due: float
    order: float
    sender: str
    receiver: str
    data: bytes


class Node:
    def __init__(self, name: str, clock_rate: float, seed: int) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.random = random.Random(seed)
        self.disk = MemoryDisk()
        self.old_disk: MemoryDisk | None = None
        self.formats = 0
        self.identity = ""
        self.old_identity = ""
        self.frozen = False
        self.board = Blackboard()
        self.log: ControlLogController | None = None

    def format(self, *, forms_cluster: bool) -> None:
        self.formats += 1
        identity = StorageIdentity("kalamu", self.name, f"s{self.formats}")
        voters = (identity.replica,) if forms_cluster else ()
        format_folder(self.disk, identity, initial_voters=voters)
        self.identity = identity.replica

    def start(self, peers: tuple[str, ...], now: float, min_voters: int = 0) -> None:
        opened = open_storage(self.disk).unwrap()
        machine = ControlStateMachine()
        machine.restore_snapshot(opened.durable.snapshot.data)
        replica = Replica(
            self.identity, opened.durable, ReplicaTimings(), self.random, now
        )
        self.board = Blackboard()
        self.log = ControlLogController(
            self.board,
            replica,
            opened.storage,
            machine,
            peers,
            min_snapshot_entries=_MIN_SNAPSHOT_ENTRIES,
            min_voters=min_voters,
        )


class ControlCluster:
    """Instances a, b, c and so on; instance a forms the cluster."""

    def __init__(self, count: int = 3, seed: int = 0, min_voters: int = 0) -> None:
        self.now = 0.0
        self.min_voters = min_voters
        self.random = random.Random(seed)
        self.loss_rate = 0.0
        rates = (1.0, 1.02, 0.98)
        names = "abcdefghi"[:count]
        self.nodes = {
            name: Node(name, rates[i % 3], seed + i) for i, name in enumerate(names)
        }
        self.isolated: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.in_flight: list[Envelope] = []
        self.submitted: dict[str, str] = {}
        self.acknowledged: set[str] = set()
        self.applied: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        #: Replies to evacuation requests, in the order of their arrival.
        self.evacuation_replies: list[EvacuationReply] = []
        for name in names:
            self.nodes[name].format(forms_cluster=name == "a")
            self.start(name)

    def clock(self, node: Node) -> float:
        return self.now * node.clock_rate

    def start(self, name: str) -> None:
        node = self.nodes[name]
        peers = tuple(other for other in self.nodes if other != name)
        node.start(peers, self.clock(node), self.min_voters)

    def crash(self, name: str) -> None:
        node = self.nodes[name]
        node.log = None
        node.frozen = False
        node.disk.crash()

    def remove(self, name: str) -> None:
        """Remove a machine for good, with all messages on their way to it."""
        del self.nodes[name]
        self.in_flight = [f for f in self.in_flight if f.receiver != name]

    def wipe(self, name: str) -> None:
        node = self.nodes[name]
        node.log = None
        node.old_disk = node.disk
        node.old_identity = node.identity
        node.disk = MemoryDisk()
        node.format(forms_cluster=False)

    def swap_disks(self, name: str) -> None:
        node = self.nodes[name]
        assert node.old_disk is not None
        node.log = None
        node.disk, node.old_disk = node.old_disk, node.disk
        node.identity, node.old_identity = node.old_identity, node.identity

    def submit(self, key: str) -> bool:
        """Submit a command to the leader and return whether there is one."""
        name = self.leader()
        if name is None:
            return False
        node = self.nodes[name]
        assert node.log is not None
        command = ClaimCall("school", key, "portal", "digest", key, "e", 1)
        event = CommandSubmitted(f"request-{key}", "", command, self.now)
        self.submitted[f"request-{key}"] = key
        self.carry_out(node, node.log.handle(event, self.clock(node)))
        self.carry_out(node, node.log.handle(ProposalsDue(), self.clock(node)))
        return True

    def send_evacuation(
        self, sender: str, receiver: str, request: EvacuationRequest
    ) -> None:
        """Send an evacuation request from one instance to another, or to itself."""
        self._send(sender, receiver, request)

    def leader(self) -> str | None:
        leaders = [node.name for node in self.nodes.values() if self.may_lead(node)]
        assert len(leaders) <= 1, f"two leases at once: {leaders}"
        return leaders[0] if leaders else None

    def may_lead(self, node: Node) -> bool:
        if node.log is None or node.frozen:
            return False
        return node.board.read(CONTROL).may_lead(self.clock(node))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._deliver()
            for node in self.nodes.values():
                if node.log is not None and not node.frozen:
                    passed = TimePassed(self.now)
                    actions = node.log.handle(passed, self.clock(node))
                    self.carry_out(node, actions)
            self.check()

    def run_until_leader_elected(self, seconds: float = 20.0) -> str:
        end = self.now + seconds
        while self.leader() is None and self.now < end:
            self.run(STEP_SECONDS)
        leader = self.leader()
        assert leader is not None, "no leader was elected"
        return leader

    def run_until_replicated(self, seconds: float = 40.0) -> None:
        """Run until the voters are exactly the current identities, all up to date."""
        end = self.now + seconds
        while not self.is_replicated() and self.now < end:
            self.run(STEP_SECONDS)
        assert self.is_replicated(), "the replicas did not converge"

    def is_replicated(self) -> bool:
        name = self.leader()
        if name is None:
            return False
        log = self.nodes[name].log
        assert log is not None
        membership = log.replica.membership
        present = {node.identity for node in self.nodes.values()}
        if set(membership.voters) != present or membership.learners:
            return False
        return all(
            node.log is not None
            and not node.frozen
            and node.log.replica.commit_index == log.replica.commit_index
            for node in self.nodes.values()
        )

    def carry_out(self, node: Node, actions: tuple[object, ...]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send(node.name, action.instance, action.message)
            elif (
                isinstance(action, ReplyToCommand)
                and action.status is ControlStatus.DONE
            ):
                self.acknowledged.add(self.submitted[action.request_id])

    def check(self) -> None:
        """Check the invariants that hold at all times."""
        leader = self.leader()
        for node in self.nodes.values():
            if node.log is None:
                continue
            if node.log.replica.role == "leader":
                term = node.log.replica.term
                known = self.leaders.setdefault(term, node.identity)
                assert known == node.identity, f"two leaders in term {term}"
            self._check_applied(node)
        if leader is not None:
            self.check_acknowledged(leader)

    def check_acknowledged(self, name: str) -> None:
        """Check that an instance that may serve reads has all acknowledged calls."""
        log = self.nodes[name].log
        assert log is not None
        known = {record.key for record in log.machine.calls.records}
        assert known >= self.acknowledged, f"{name} lacks acknowledged calls"

    def _check_applied(self, node: Node) -> None:
        assert node.log is not None
        index = node.log.replica.commit_index
        state = node.log.machine.encode_snapshot()
        known = self.applied.setdefault(index, state)
        assert known == state, f"{node.name} differs at index {index}"

    def _send(self, sender: str, receiver: str, message: PeerMessage) -> None:
        if receiver not in self.nodes:
            return
        data = PEER_CODEC.encode(message)
        copies = 2 if self.random.random() < self.loss_rate / 2 else 1
        for _ in range(copies):
            if self.random.random() >= self.loss_rate:
                delay = self.random.uniform(0.0005, 0.02 + self.loss_rate * 0.3)
                order = self.random.random()
                envelope = Envelope(self.now + delay, order, sender, receiver, data)
                self.in_flight.append(envelope)

    def _deliver(self) -> None:
        for _ in range(4):
            due = sorted(f for f in self.in_flight if f.due <= self.now)
            for_frozen = {f for f in due if self.nodes[f.receiver].frozen}
            self.in_flight = [
                f for f in self.in_flight if f.due > self.now or f in for_frozen
            ]
            for envelope in due:
                if envelope not in for_frozen:
                    self._deliver_message(envelope)

    def _deliver_message(self, envelope: Envelope) -> None:
        node = self.nodes[envelope.receiver]
        ends = frozenset({envelope.sender, envelope.receiver})
        if node.log is None or self.isolated & ends or ends in self.cut_links:
            return
        message = PEER_CODEC.decode(envelope.data).unwrap()
        match message:
            case EvacuationReply():
                self.evacuation_replies.append(message)
            case EvacuationRequest():
                received = EvacuationReceived(envelope.sender, message)
                self.carry_out(node, node.log.handle(received, self.clock(node)))
            case JoinRequest():
                joined = JoinReceived(message)
                self.carry_out(node, node.log.handle(joined, self.clock(node)))
            case _:
                consensus = ConsensusReceived(message)  # type: ignore[arg-type]
                self.carry_out(node, node.log.handle(consensus, self.clock(node)))
