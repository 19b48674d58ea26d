"""Simulates a control log and its lease holders over links of limited rate.

Each machine shares its uplink and its downlink evenly between the connections that
have data queued. The messages of one connection arrive in the order of sending.
"""

import random
from collections import Counter, deque
from typing import NamedTuple

from heathertack.blackboard import CONTROL, Blackboard
from heathertack.bundle import (
    Bundle,
    ForwardingRoute,
    RequestLimits,
    ServiceConfiguration,
    SignedBundle,
    canonical_text,
    digest_content,
)
from heathertack.consensus import AppendRequest, Replica, ReplicaTimings
from heathertack.controllers import (
    AnnounceBundle,
    BundleCommitted,
    CommandSubmitted,
    ConsensusReceived,
    ControlLogController,
    JoinReceived,
    LeaseGrantorController,
    LeaseRequested,
    ProposalsDue,
    ProposeCommand,
    ReplyToCommand,
    SendToPeer,
    TimePassed,
)
from heathertack.controllers._lease_timings import LEASE_TIMINGS
from heathertack.messages import (
    PEER_CODEC,
    ControlReply,
    ControlRequest,
    ControlStatus,
    JoinRequest,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    PeerMessage,
    TableVersion,
    build_frames,
)
from heathertack.state import COMMAND_CODEC, ApplyBundle, ControlStateMachine
from heathertack.storage import StorageIdentity, format_folder, open_storage
from heathertack.storage.tests.memory_disk import MemoryDisk

STEP_SECONDS = 0.005
_TICK_SECONDS = 0.05
_LATENCY_SECONDS = 0.002
_VOTERS = tuple("abcdefg")
#: Bytes per second.
_HOLDER_RATE = 5e6 / 8
_FIRST_ROUTES = 20


def measure_frames(message: PeerMessage) -> int:
    """Return the number of bytes in which a message is sent."""
    frames = build_frames(PEER_CODEC.encode(message), may_pack=True)
    return sum(map(len, frames))


class _Queued(NamedTuple):
    size: float
    message: PeerMessage


class _Arrival(NamedTuple):
    due: float
    sender: str
    receiver: str
    message: PeerMessage


class _Network:
    def __init__(self, rates: dict[str, float]) -> None:
        self.now = 0.0
        self._rates = rates
        self._queues: dict[tuple[str, str], deque[_Queued]] = {}
        self._sent: dict[tuple[str, str], float] = {}
        self._arrivals: list[_Arrival] = []

    def send(self, sender: str, receiver: str, message: PeerMessage) -> None:
        size = measure_frames(message)
        queue = self._queues.setdefault((sender, receiver), deque())
        queue.append(_Queued(size, message))

    def queued_bytes(self, sender: str) -> float:
        return sum(
            sum(item.size for item in queue) - self._sent.get(link, 0.0)
            for link, queue in self._queues.items()
            if link[0] == sender
        )

    def step(self) -> list[_Arrival]:
        self.now += STEP_SECONDS
        active = [link for link, queue in self._queues.items() if queue]
        outgoing = Counter(sender for sender, _ in active)
        incoming = Counter(receiver for _, receiver in active)
        for link in active:
            sender, receiver = link
            up = self._rates[sender] / outgoing[sender]
            down = self._rates[receiver] / incoming[receiver]
            self._transfer(link, min(up, down) * STEP_SECONDS)
        arrived = [a for a in self._arrivals if a.due <= self.now]
        self._arrivals = [a for a in self._arrivals if a.due > self.now]
        return arrived

    def _transfer(self, link: tuple[str, str], budget: float) -> None:
        queue = self._queues[link]
        sent = self._sent.get(link, 0.0) + budget
        while queue and sent >= queue[0].size:
            item = queue.popleft()
            sent -= item.size
            due = self.now + _LATENCY_SECONDS
            self._arrivals.append(_Arrival(due, *link, item.message))
        self._sent[link] = sent if queue else 0.0


class _Voter:
    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.board = Blackboard()
        disk = MemoryDisk()
        voters = tuple(StorageIdentity("test", v, "s1").replica for v in _VOTERS)
        identity = StorageIdentity("test", name, "s1")
        format_folder(disk, identity, initial_voters=voters)
        opened = open_storage(disk).unwrap()
        replica = Replica(
            identity.replica,
            opened.durable,
            ReplicaTimings(),
            random.Random(seed),
            0.0,
        )
        others = tuple(v for v in _VOTERS if v != name)
        self.log = ControlLogController(
            self.board, replica, opened.storage, ControlStateMachine(), others
        )
        self.grantor = LeaseGrantorController(self.board, name, LEASE_TIMINGS)


class _Holder:
    """An instance without a disk, which keeps asking for a lease."""

    def __init__(self, name: str, next_request: float) -> None:
        self.name = name
        self.leader = _VOTERS[0]
        self.next_request = next_request
        self.bundle_index = 0
        self.table = TableVersion(0, 0)

    def request(self, now: float) -> LeaseRequest:
        self.next_request = now + LEASE_TIMINGS.renewal
        return LeaseRequest(
            self.name,
            1,
            "10.0.0.1:8",
            "z",
            False,
            0,
            self.bundle_index,
            self.table,
            now,
        )


class SlowLinkCluster:
    """Seven voters, and further instances at 5 Mbit/s.

    Parameters
    ----------
    further : int
        Number of further instances.
    voter_mbps : float
        Rate of the uplink and of the downlink of each voter, Mbit/s.
    seed : int
        Seed of the election timeouts.
    """

    def __init__(self, further: int, voter_mbps: float = 50.0, seed: int = 0) -> None:
        self.voters = {v: _Voter(v, seed + i) for i, v in enumerate(_VOTERS)}
        spacing = LEASE_TIMINGS.renewal / max(further, 1)
        self.holders = {f"h{i}": _Holder(f"h{i}", i * spacing) for i in range(further)}
        rates = dict.fromkeys(_VOTERS, voter_mbps * 1e6 / 8)
        rates.update(dict.fromkeys(self.holders, _HOLDER_RATE))
        self.network = _Network(rates)
        self.next_tick = 0.0
        self.answered_at: dict[str, float] = {}
        #: Time without a leader that holds the lease, since the last reset.
        self.seconds_without_leader = 0.0
        #: Largest number of bytes that a leader had queued.
        self.max_queued_bytes = 0.0
        #: Longest time that a voter did not hear from a leader.
        self.max_contact_gap = 0.0
        self.refused: list[str] = []
        self._last_contact: dict[str, float] = {}
        self._local: deque[_Arrival] = deque()

    @property
    def now(self) -> float:
        return self.network.now

    def leader(self) -> str:
        """Return the instance that holds the lease, empty for none."""
        for voter in self.voters.values():
            if voter.board.read(CONTROL).may_lead(self.now):
                return voter.name
        return ""

    def term(self) -> int:
        return max(voter.log.replica.term for voter in self.voters.values())

    def settle(self) -> None:
        """Run until there is a leader and a first bundle is in use everywhere."""
        while not self.leader():
            self.run(STEP_SECONDS)
        self.run(1.0)
        self.submit("first", self.leader(), build_command(1, _FIRST_ROUTES))
        self.run(3.0)
        indexes = {holder.bundle_index for holder in self.holders.values()}
        assert "first" in self.answered_at
        assert 0 not in indexes
        self.seconds_without_leader = 0.0
        self.max_queued_bytes = 0.0
        self.max_contact_gap = 0.0

    def submit(self, request_id: str, sender: str, command: ApplyBundle) -> None:
        """Send a command from an instance to the leader."""
        request = ControlRequest(request_id, COMMAND_CODEC.encode(command))
        self._send(sender, self.leader() or _VOTERS[0], request)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for arrival in self.network.step():
                self._receive(arrival)
            while self._local:
                self._receive(self._local.popleft())
            if self.now >= self.next_tick:
                self.next_tick += _TICK_SECONDS
                self._tick()
            leader = self.leader()
            if leader:
                queued = self.network.queued_bytes(leader)
                self.max_queued_bytes = max(self.max_queued_bytes, queued)
            else:
                self.seconds_without_leader += STEP_SECONDS

    def _tick(self) -> None:
        passed = TimePassed(self.now)
        for voter in self.voters.values():
            self._carry_out(voter, voter.log.handle(passed, self.now))
            self._carry_out(voter, voter.grantor.handle(passed, self.now))
        for holder in self.holders.values():
            if self.now >= holder.next_request:
                self._send(holder.name, holder.leader, holder.request(self.now))

    def _send(self, sender: str, receiver: str, message: PeerMessage) -> None:
        if sender == receiver:
            self._local.append(_Arrival(self.now, sender, receiver, message))
        else:
            self.network.send(sender, receiver, message)

    def _receive(self, arrival: _Arrival) -> None:
        message = arrival.message
        if isinstance(message, ControlReply):
            if message.status is ControlStatus.DONE:
                self.answered_at.setdefault(message.request_id, self.now)
            else:
                self.refused.append(message.request_id)
        elif arrival.receiver in self.holders:
            self._receive_at_holder(self.holders[arrival.receiver], message)
        else:
            self._receive_at_voter(self.voters[arrival.receiver], arrival)

    def _receive_at_holder(self, holder: _Holder, message: PeerMessage) -> None:
        if isinstance(message, LeaseGrant):
            holder.leader = message.leader
            holder.bundle_index = max(holder.bundle_index, message.bundle_index)
            holder.table = message.table
        elif isinstance(message, LeaderHint) and message.leader:
            holder.leader = message.leader

    def _receive_at_voter(self, voter: _Voter, arrival: _Arrival) -> None:
        message, now = arrival.message, self.now
        match message:
            case LeaseRequest():
                requested = LeaseRequested(message)
                self._carry_out(voter, voter.grantor.handle(requested, now))
            case ControlRequest():
                self._submit_at(voter, arrival.sender, message)
            case JoinRequest():
                received = JoinReceived(message)
                self._carry_out(voter, voter.log.handle(received, now))
            case LeaderHint():
                pass
            case _:
                if isinstance(message, AppendRequest):
                    last = self._last_contact.get(voter.name, now)
                    self.max_contact_gap = max(self.max_contact_gap, now - last)
                    self._last_contact[voter.name] = now
                event = ConsensusReceived(message)  # type: ignore[arg-type]
                self._carry_out(voter, voter.log.handle(event, now))

    def _submit_at(self, voter: _Voter, sender: str, request: ControlRequest) -> None:
        if not voter.board.read(CONTROL).may_lead(self.now):
            reply = ControlReply(request.request_id, ControlStatus.NOT_LEADER, "", b"")
            self._send(voter.name, sender, reply)
            return
        command = COMMAND_CODEC.decode(request.command).unwrap()
        event = CommandSubmitted(request.request_id, sender, command, self.now)
        self._carry_out(voter, voter.log.handle(event, self.now))
        self._carry_out(voter, voter.log.handle(ProposalsDue(), self.now))

    def _carry_out(self, voter: _Voter, actions: tuple[object, ...]) -> None:
        for action in actions:
            match action:
                case SendToPeer():
                    self._send(voter.name, action.instance, action.message)
                case ReplyToCommand():
                    reply = ControlReply(
                        action.request_id, action.status, action.leader, action.result
                    )
                    self._send(voter.name, action.requester or voter.name, reply)
                case AnnounceBundle():
                    committed = BundleCommitted(action.accepted)
                    self._carry_out(voter, voter.grantor.handle(committed, self.now))
                case ProposeCommand():
                    event = CommandSubmitted("", "", action.command, self.now)
                    self._carry_out(voter, voter.log.handle(event, self.now))
                    due = voter.log.handle(ProposalsDue(), self.now)
                    self._carry_out(voter, due)


def build_command(
    version: int, routes: int, *, has_random_names: bool = False
) -> ApplyBundle:
    """Return the command for a bundle of many routes, as sent by an operator.

    Parameters
    ----------
    version : int
        Version of the bundle; no two versions have a route in common.
    routes : int
        Number of routes.
    has_random_names : bool
        Whether the paths are random, so that changes compress badly.
    """
    names = random.Random(version)
    paths = [
        f"{names.getrandbits(64):016x}" if has_random_names else f"route{i:05d}"
        for i in range(routes)
    ]
    bundle = Bundle(
        version=version,
        services={"s": ServiceConfiguration(kind="forwarding")},
        classes={"forwarded": 0},
        accounts={},
        routes={
            f"shop.example/v{version}/{path}/": ForwardingRoute(
                host="shop.example",
                path_prefix=f"/v{version}/{path}/",
                kind="idempotent",
                services={"s": 1},
                timeout=30.0,
                priority=0,
                max_attempts=2,
                public=True,
            )
            for path in paths
        },
        limits=RequestLimits(
            max_header_bytes=16384,
            max_body_bytes=4194304,
            header_timeout=3.0,
            idle_timeout=15.0,
        ),
    )
    text = canonical_text(bundle)
    signed = SignedBundle(text, "operator", "", text)
    return ApplyBundle(version, digest_content(bundle), signed)
