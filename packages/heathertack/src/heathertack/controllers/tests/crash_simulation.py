"""Instances, engines and callers in virtual time, with a part that crashes engines."""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any, ClassVar, NamedTuple

from heathertack.blackboard import SUSPECTS, Blackboard, Section
from heathertack.controllers import (
    CommitCommand,
    QuarantineController,
    QuarantineDue,
    RunCrashed,
    RunIdentity,
    RunStarted,
    list_suspects,
    part_fingerprint,
    request_fingerprint,
)
from heathertack.policy import TargetLossCounter
from heathertack.state import ControlStateMachine, ReportTargetLoss

CRASHING_PART = part_fingerprint("dead")
START_SECONDS = 0.45
DOWN_SECONDS = 3.0
TICK_SECONDS = 0.1
COMMIT_SECONDS = 0.02
#: Time from a commit until the instances have read it, seconds.
PUBLISH_SECONDS = 0.6
#: Maximum time until a waiting command is sent again once there is a leader, seconds.
RESEND_SECONDS = 0.8
#: Maximum number of commands that wait at an instance; further ones are dropped.
MAX_WAITING_COMMANDS = 128
#: Number of crashes after which an instance must not send their cause again.
_CRASHES_TO_STOP = 3
#: Number of losses after which an admission owner refuses a request.
_LOSSES_TO_QUARANTINE = 2
REPEATED_REQUEST = request_fingerprint("dead")


class World(NamedTuple):
    """One simulated day."""

    seed: int
    instances: int = 12
    engines: int = 5
    #: Requests a second, and the share of them with the crashing part.
    rate: float = 6.0
    share: float = 0.3
    first_parts: int = 2
    topics: int = 6
    #: Position of the crashing part in the prompt.
    position: int = 1
    #: Crashes a second that no request causes.
    other_crashes: float = 0.0
    #: Instances that learn nothing from time 5 to 10.
    cut_off: int = 0
    seconds: float = 40.0
    #: Whether one request crashes engines, which is repeated, instead of a part.
    is_repeated: bool = False
    #: Engines that one request may be sent to; 0 for any number.
    max_attempts: int = 0
    commit_seconds: float = COMMIT_SECONDS
    #: Time from which the control log has no leader, and for how long, seconds.
    leaderless_from: float = 0.0
    leaderless_seconds: float = 0.0


class _Writer:
    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (SUSPECTS,)


class _Instance(NamedTuple):
    board: Blackboard
    writer: _Writer
    quarantine: QuarantineController


class _Run(NamedTuple):
    identity: RunIdentity
    instance: int
    is_crashing: bool
    attempt: int = 1


def _start_instance() -> _Instance:
    board = Blackboard()
    writer = _Writer()
    board.register(writer)
    return _Instance(board, writer, QuarantineController(board))


class CrashSimulation:
    """Plays one world."""

    def __init__(self, world: World) -> None:
        self.world = world
        #: Times of the crashes under the part.
        self.crashes: list[float] = []
        #: Times at which requests with the part were sent to engines.
        self.sent_at: list[float] = []
        #: Engines whose crash under the cause each instance has seen by itself.
        self.seen: list[set[str]] = [set() for _ in range(world.instances)]
        #: Requests with the cause that an instance sent after it had seen three such
        #: crashes.
        self.sent_in_spite = 0
        self.dropped_commands = 0
        self._waiting = [0] * world.instances
        #: Losses by request, as counted by the admission owner of the engines.
        self._owner_losses = TargetLossCounter()
        #: Time of each sound request, and whether it was refused.
        self.sound: list[tuple[float, bool]] = []
        self._random = random.Random(world.seed)
        self._machine = ControlStateMachine()
        self._index = count(1)
        self._names = count()
        self._order = count()
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._instances = [_start_instance() for _ in range(world.instances)]
        self._engines: dict[str, list[_Run]] = {}
        for _ in range(world.engines):
            self._engines[f"e{next(self._names)}"] = []

    def run(self) -> None:
        """Play the world to its end."""
        self._after(0.0, self._request)
        for instance in range(self.world.instances):
            self._after(self._random.random() * TICK_SECONDS, self._ticker(instance))
        if self.world.other_crashes:
            self._after(self._pause(self.world.other_crashes), self._crash_any)
        while self._events and self._events[0][0] < self.world.seconds:
            self._now, _, call = heapq.heappop(self._events)
            call()

    def restart(self, instance: int) -> None:
        """Replace an instance by a new process, which knows nothing."""
        self._instances[instance] = _start_instance()

    def count_late_sends(self, after_crashes: int, settling: float) -> int:
        """Count the requests with the part that were sent after the last allowed."""
        if len(self.crashes) < after_crashes:
            return 0
        limit = self.crashes[after_crashes - 1] + settling
        return sum(sent_at > limit for sent_at in self.sent_at)

    def served_fraction(self, settling: float) -> float:
        """Return the fraction of sound requests that were sent once all was known."""
        allowed = self.crashes[:5]
        limit = (allowed[-1] if allowed else 0.0) + settling
        late = [refused for at, refused in self.sound if at > limit]
        return 1.0 - sum(late) / len(late) if late else 1.0

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        event = (self._now + seconds, next(self._order), call)
        heapq.heappush(self._events, event)

    def _pause(self, rate: float) -> float:
        return self._random.expovariate(rate)

    def _request(self) -> None:
        self._after(self._pause(self.world.rate), self._request)
        choose = self._random.randrange
        parts = [
            part_fingerprint(f"first{choose(self.world.first_parts)}"),
            part_fingerprint(f"topic{choose(self.world.topics)}"),
        ]
        is_crashing = self._random.random() < self.world.share
        if is_crashing:
            parts.insert(self.world.position, CRASHING_PART)
        identity = RunIdentity(f"r{next(self._names)}", tuple(parts))
        if is_crashing and self.world.is_repeated:
            identity = RunIdentity(REPEATED_REQUEST, ())
        instance = choose(self.world.instances)
        is_refused = self._send(_Run(identity, instance, is_crashing))
        if not is_crashing:
            self.sound.append((self._now, is_refused))

    def _send(self, run: _Run) -> bool:
        """Send a request to an engine; return whether it is refused."""
        quarantine = self._instances[run.instance].quarantine
        if quarantine.find_match(run.identity) is not None:
            return True
        losses = self._owner_losses.count(run.identity.request, self._now)
        if losses >= _LOSSES_TO_QUARANTINE:
            return True
        if not self._engines:
            return False
        engine = self._random.choice(list(self._engines))
        if run.is_crashing:
            self.sent_at.append(self._now)
            self.sent_in_spite += len(self.seen[run.instance]) >= _CRASHES_TO_STOP
        self._engines[engine].append(run)
        self._after(START_SECONDS, lambda: self._begin(engine, run))
        return False

    def _begin(self, engine: str, run: _Run) -> None:
        if run not in self._engines.get(engine, ()):
            return
        if run.is_crashing:
            self.crashes.append(self._now)
            self._crash(engine)
            return
        self._engines[engine].remove(run)
        self._owner_losses.clear(run.identity.request)
        quarantine = self._instances[run.instance].quarantine
        started = quarantine.handle(RunStarted(run.identity), self._now)
        self._commit(run.instance, started)

    def _crash(self, engine: str) -> None:
        """Lose the runs of an engine; each is reported and sent once more."""
        for run in self._engines.pop(engine):
            instance = self._instances[run.instance].quarantine
            crashed = RunCrashed(
                run.identity, "school", engine, f"a{next(self._names)}", self._now
            )
            if run.is_crashing:
                self.seen[run.instance].add(engine)
            self._owner_losses.record_loss(run.identity.request, self._now)
            self._commit(run.instance, instance.handle(crashed, self._now))
            self._after(COMMIT_SECONDS, lambda run=run: self._retry(run))  # type: ignore[misc]
        new_name = f"e{next(self._names)}"
        self._after(DOWN_SECONDS, lambda: self._engines.update({new_name: []}))

    def _retry(self, run: _Run) -> None:
        if run.attempt != self.world.max_attempts:
            self._send(run._replace(attempt=run.attempt + 1))

    def _crash_any(self) -> None:
        self._after(self._pause(self.world.other_crashes), self._crash_any)
        if self._engines:
            self._crash(self._random.choice(list(self._engines)))

    def _commit(self, instance: int, actions: tuple[CommitCommand, ...]) -> None:
        for action in actions:
            if self._waiting[instance] >= MAX_WAITING_COMMANDS:
                self.dropped_commands += 1
                continue
            self._waiting[instance] += 1
            delay = self._wait_for_leader() + self.world.commit_seconds
            self._after(delay, lambda a=action: self._apply(instance, a))  # type: ignore[misc]

    def _wait_for_leader(self) -> float:
        world = self.world
        elected_at = world.leaderless_from + world.leaderless_seconds
        if not world.leaderless_from <= self._now < elected_at:
            return 0.0
        return elected_at - self._now + RESEND_SECONDS * self._random.random()

    def _apply(self, instance: int, action: CommitCommand) -> None:
        self._waiting[instance] -= 1
        command = action.command
        if isinstance(command, ReportTargetLoss):
            command = command._replace(at=self._now)
        self._machine.apply(next(self._index), command)
        self._after(PUBLISH_SECONDS * self._random.random(), self._publish)

    def _publish(self) -> None:
        suspects = dict(list_suspects(self._machine.losses, self._now))
        for number, instance in enumerate(self._instances):
            if number < self.world.cut_off and 5.0 <= self._now < 10.0:
                continue
            instance.board.write(instance.writer, SUSPECTS, suspects)

    def _ticker(self, number: int) -> Callable[[], None]:
        def tick() -> None:
            self._after(TICK_SECONDS, tick)
            quarantine = self._instances[number].quarantine
            self._commit(number, quarantine.handle(QuarantineDue(), self._now))

        return tick
