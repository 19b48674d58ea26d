"""Simulates evacuations and readmissions of failure domains, in virtual time."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any, ClassVar, NamedTuple

from heathertack.blackboard import (
    CONTROL,
    LEASE,
    TARGETS,
    Blackboard,
    ControlView,
    Section,
)
from heathertack.controllers import (
    LEASE_TIMINGS,
    AdmissionController,
    AdmissionDue,
    AnnounceReceived,
    ColdStart,
    ColdTargetsReceived,
    EvacuatedTargetsReceived,
    InstanceIdentity,
    LeaderHintReceived,
    LeaseDue,
    LeaseGrantorController,
    LeaseGrantReceived,
    LeaseHolderController,
    LeaseRequested,
    OwnerReplied,
    PlacementController,
    PlacementDenied,
    PlacementDue,
    PlacementEnded,
    PlacementRequested,
    PlatformTargetsListed,
    ProgressReceived,
    ReleaseReceived,
    ReservationReceived,
    SendToPeer,
    TargetChosen,
    TargetVersionsReceived,
    TimePassed,
)
from heathertack.messages import (
    ColdTargets,
    EvacuatedTargets,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    ReservationAnnounce,
    ReservationOutcome,
    ReservationProgress,
    ReservationRelease,
    ReservationRequest,
    TargetPauses,
    TargetRecord,
    TargetState,
    TargetVersions,
)
from heathertack.policy import ADMISSION_TUNING
from heathertack_fakes.rules import ColdTime, Evacuation, TargetRequest

SERVICE = "portal"
DOMAINS = ("a", "b", "c")
CONTROL_NAMES = ("i0", "i1")
TICK_SECONDS = 0.1
LEADER_TICK_SECONDS = 0.05
#: The platform's list is read at this interval, and is up to this old, seconds.
LIST_INTERVAL_SECONDS = 0.5
LIST_AGE_SECONDS = 0.8
#: Time from the loss of a leader until the next one leads, seconds.
ELECTION_SECONDS = 1.5
RUN_SECONDS = 0.05


class Order(NamedTuple):
    """An operator evacuates or readmits a domain."""

    at: float
    domain: str
    is_evacuated: bool


class World(NamedTuple):
    """What is simulated."""

    instances: int
    orders: tuple[Order, ...]
    #: Requests a second of all callers: several times what cold targets bear.
    demand: float = 500.0
    targets_per_domain: int = 2
    #: Number of requests that a target runs at one time; 0 if it names none.
    slots: int = 24
    seconds: float = 11.5
    #: Times at which the leader is lost, for good.
    leader_losses: tuple[float, ...] = ()
    #: Instances that get none of the leader's own messages about evacuations and cold
    #: targets in a time, and that time.
    deaf: tuple[str, ...] = ()
    deaf_time: tuple[float, float] = (0.0, 0.0)
    #: Instances that neither hear of the leader nor reach it from a time on. They go on
    #: with the table that they have.
    cut: tuple[str, ...] = ()
    cut_at: float = 0.0
    #: Rate of cold targets, requests a second; ``None`` if there are none.
    cold_rate: float | None = 27.0
    cold_seconds: float = 1.0


class ControlWriter:
    """Writes what the control log says."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (CONTROL,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        board.register(self)

    def set(self, view: ControlView) -> None:
        self._board.write(self, CONTROL, view)


class Node:
    """One instance with its controllers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.board = Blackboard()
        domain = DOMAINS[int(name[1:]) % len(DOMAINS)]
        identity = InstanceIdentity(name, 1, "127.0.0.1:1", domain)
        self.control = ControlWriter(self.board)
        self.grantor = LeaseGrantorController(self.board, name, LEASE_TIMINGS)
        self.holder = LeaseHolderController(
            self.board, identity, CONTROL_NAMES, LEASE_TIMINGS
        )
        self.admission = AdmissionController(self.board, name, ADMISSION_TUNING)
        self.placement = PlacementController(self.board, name)

    def receive(self, sender: str, message: Any, now: float) -> tuple[Any, ...]:
        match message:
            case LeaseRequest():
                return self.grantor.handle(LeaseRequested(message), now)
            case LeaseGrant():
                return self.holder.handle(LeaseGrantReceived(message), now)
            case LeaderHint():
                return self.holder.handle(LeaderHintReceived(message), now)
            case TargetVersions():
                return self.holder.handle(TargetVersionsReceived(message), now)
            case EvacuatedTargets():
                return self.holder.handle(EvacuatedTargetsReceived(message), now)
            case ColdTargets():
                return self.holder.handle(ColdTargetsReceived(message), now)
            case ReservationRequest():
                return self.admission.handle(ReservationReceived(sender, message), now)
            case ReservationAnnounce():
                return self.admission.handle(AnnounceReceived(sender, message), now)
            case ReservationProgress():
                return self.admission.handle(ProgressReceived(sender, message), now)
            case ReservationRelease():
                return self.admission.handle(ReleaseReceived(message), now)
            case TargetPauses():
                return ()
            case _:
                return self.placement.handle(OwnerReplied(message, sender), now)

    def tick(self, now: float) -> tuple[Any, ...]:
        return (
            *self.holder.handle(LeaseDue(), now),
            *self.admission.handle(AdmissionDue(), now),
            *self.placement.handle(PlacementDue(), now),
        )


class EvacuationSimulation:
    """Runs one world.

    Parameters
    ----------
    world : World
        What is simulated.
    seed : int
        Seed of arrivals and delays.
    """

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.now = 0.0
        self.random = random.Random(seed)
        self.names = [f"i{number}" for number in range(world.instances)]
        self.nodes = {name: Node(name) for name in self.names}
        self.down: set[str] = set()
        self.requests: list[TargetRequest] = []
        #: Times at which requests were refused, with the reasons.
        self.refusals: list[tuple[float, str]] = []
        self.evacuations: list[Evacuation] = []
        self.cold_times: list[ColdTime] = []
        self._domains = {
            f"{domain}{number}": domain
            for domain in DOMAINS
            for number in range(world.targets_per_domain)
        }
        self._term = 0
        self._leader = ""
        self._evacuated: frozenset[str] = frozenset()
        self._numbers = count()
        #: Time of the latest arrival for each pair of instances: messages between two
        #: instances keep their order.
        self._latest: dict[tuple[str, str], float] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._elect()
        for name in self.names:
            self._every(TICK_SECONDS, self._ticker(name))
        self._every(LEADER_TICK_SECONDS, self._tick_leader)
        self._every(LIST_INTERVAL_SECONDS, self._read_list)
        self._at(1.0, self._arrive)
        for order in world.orders:
            self._at(order.at, partial(self._commit, order))
        for loss in world.leader_losses:
            self._at(loss, self._lose_leader)

    def run(self) -> None:
        """Run until the end of the world."""
        while self._due and self._due[0][0] < self.world.seconds:
            self.now, _, action = heapq.heappop(self._due)
            action()

    def count_refused(self, begin: float, end: float) -> int:
        """Return the number of requests refused in a time."""
        return sum(begin <= at < end for at, _ in self.refusals)

    def _at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (due, next(self._numbers), action))

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            self._at(self.now + seconds, repeat)
            action()

        self._at(self.random.random() * seconds, repeat)

    def _ticker(self, name: str) -> Callable[[], None]:
        def tick() -> None:
            if name not in self.down:
                self._carry_out(name, self.nodes[name].tick(self.now))

        return tick

    def _elect(self) -> None:
        self._leader = next(name for name in CONTROL_NAMES if name not in self.down)
        self._term += 1
        self._write_control()

    def _write_control(self) -> None:
        view = ControlView(
            True, self._term, lease_until=float("inf"), evacuated=self._evacuated
        )
        self.nodes[self._leader].control.set(view)

    def _lose_leader(self) -> None:
        self.down.add(self._leader)
        self._leader = ""
        self._at(self.now + ELECTION_SECONDS, self._elect)

    def _commit(self, order: Order) -> None:
        """Commit an order, once there is a leader."""
        if not self._leader:
            self._at(self.now + LEADER_TICK_SECONDS, partial(self._commit, order))
            return
        if order.is_evacuated:
            self._evacuated |= {order.domain}
            self.evacuations.append(Evacuation(order.domain, self.now, float("inf")))
        else:
            self._evacuated -= {order.domain}
            self.evacuations = [
                e._replace(withdrawn_at=self.now) if e.domain == order.domain else e
                for e in self.evacuations
            ]
            self._cool(order.domain)
        self._write_control()

    def _cool(self, domain: str) -> None:
        """Make the targets of a readmitted domain cold."""
        rate = self.world.cold_rate
        for target, its_domain in self._domains.items():
            if rate is not None and its_domain == domain:
                end = self.now + self.world.cold_seconds
                self.cold_times.append(ColdTime(target, self.now, end, rate))

    def _tick_leader(self) -> None:
        if self._leader:
            grantor = self.nodes[self._leader].grantor
            self._carry_out(self._leader, grantor.handle(TimePassed(0.0), self.now))

    def _read_list(self) -> None:
        if not self._leader:
            return
        listed_at = self.now - LIST_AGE_SECONDS
        cold = {
            t.target: t.end - listed_at
            for t in self.cold_times
            if t.begin <= listed_at < t.end
        }
        rate = self.world.cold_rate
        records = tuple(
            TargetRecord(
                name, SERVICE, f"{name}:1", domain, TargetState.LIVE,
                slots=self.world.slots,
            )
            for name, domain in self._domains.items()
        )  # fmt: skip
        starts = {
            name: ColdStart(cold.get(name, 0.0), rate)
            for name in self._domains
            if rate is not None
        }
        listed = PlatformTargetsListed(
            records, dict.fromkeys(self._domains, ""), starts
        )
        grantor = self.nodes[self._leader].grantor
        self._carry_out(self._leader, grantor.handle(listed, self.now))

    def _arrive(self) -> None:
        self._at(self.now + self.random.expovariate(self.world.demand), self._arrive)
        name = self.random.choice(self.names)
        node = self.nodes[name]
        is_valid = node.board.read(LEASE).is_valid(self.now)
        if name in self.down or not (is_valid or self._is_cut(name)):
            return
        if not node.board.read(TARGETS):
            return
        wanted = ReservationRequest(
            generation_id=f"g{next(self._numbers)}",
            attempt=1,
            service=SERVICE,
            group="",
            account="school",
            class_name="c",
            priority=0,
            share=1.0,
            prompt_tokens=0,
            max_tokens=0,
            prefix=(),
            fingerprint="f",
            excluded=(),
            max_wait=1.0,
        )
        requested = PlacementRequested(wanted)
        self._carry_out(name, node.placement.handle(requested, self.now))

    def _carry_out(self, name: str, actions: tuple[Any, ...]) -> None:
        for action in actions:
            match action:
                case SendToPeer():
                    self._deliver(name, action)
                case TargetChosen():
                    self._send(name, action)
                case PlacementDenied():
                    self.refusals.append((self.now, action.code))

    def _is_cut(self, name: str) -> bool:
        return name in self.world.cut and self.now >= self.world.cut_at

    def _deliver(self, sender: str, action: SendToPeer) -> None:
        receiver = action.instance
        begin, end = self.world.deaf_time
        is_own = isinstance(action.message, EvacuatedTargets | ColdTargets)
        if is_own and receiver in self.world.deaf and begin <= self.now < end:
            return
        if self._is_cut(sender) and receiver in CONTROL_NAMES:
            return
        if self._is_cut(receiver) and sender in CONTROL_NAMES:
            return

        def arrive() -> None:
            if not {sender, receiver} & self.down:
                node = self.nodes[receiver]
                actions = node.receive(sender, action.message, self.now)
                self._carry_out(receiver, actions)

        delay = 0.0 if sender == receiver else 0.001 + 0.004 * self.random.random()
        key = (sender, receiver)
        arrival = max(self.now + delay, self._latest.get(key, 0.0))
        self._latest[key] = arrival
        self._at(arrival, arrive)

    def _send(self, name: str, chosen: TargetChosen) -> None:
        target = chosen.target
        self.requests.append(
            TargetRequest(
                chosen.generation_id,
                target,
                self._domains[target],
                name,
                self.now,
                is_in_touch=not self._is_cut(name),
            )
        )

        def answer() -> None:
            ended = PlacementEnded(chosen.generation_id, ReservationOutcome.FINISHED)
            placement = self.nodes[name].placement
            self._carry_out(name, placement.handle(ended, self.now))

        self._at(self.now + RUN_SECONDS * (0.5 + self.random.random()), answer)
