import itertools
from typing import Any, ClassVar

import msgspec
import pytest

from heathertack.blackboard import SUSPECTS, Blackboard, Section
from heathertack.controllers import (
    CommitCommand,
    QuarantineController,
    QuarantineDue,
    QuarantineMatch,
    RunCrashed,
    RunIdentity,
    RunStarted,
    find_surplus_records,
    list_suspects,
    part_fingerprint,
    request_fingerprint,
)
from heathertack.controllers.tests.crash_simulation import CrashSimulation, World
from heathertack.state import (
    COMMAND_CODEC,
    ClearQuarantine,
    Command,
    ControlStateMachine,
    LossRecord,
    ReportTargetLoss,
    TargetLoss,
)

#: The users' bounds: requests with the part that may reach engines after five crashes
#: and the stability window, and the least fraction of sound requests to be served.
CRASHES_ALLOWED = 5
STABILITY_SECONDS = 3.0
#: The same number of crashes for one request that is repeated.
REQUEST_CRASHES_ALLOWED = 3
LATE_SENDS_ALLOWED = 3
MIN_SERVED_FRACTION = 0.5
SHARES = (0.05, 0.3, 0.6, 0.9)
FIRST, TOPIC, CRASHING = map(part_fingerprint, ("first", "topic", "dead"))
RUN = RunIdentity("r1", (FIRST, TOPIC, CRASHING))

RECORDED_REPORT = (
    "92b05265706f72745461726765744c6f737394a9706172743a64656164a67363686f6f6c92a26531a8"
    "312e3530302f6131cb3ff8000000000000"
)
RECORDED_CLEAR = "92af436c65617251756172616e74696e6591a9706172743a64656164"
RECORDED_SUSPECTS = (
    "9692a272300192aa706172743a66697273740392a9706172743a646561640392a272310192a2723201"
    "92ba63617573653a706172743a646561642b706172743a666972737403"
)


class Writer:
    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (SUSPECTS,)


class Published:
    """A controller on a board, with the suspects that a leader publishes."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.board = Blackboard()
        self.writer = Writer()
        self.board.register(self.writer)
        self.controller = QuarantineController(self.board)

    def report(
        self, run: RunIdentity, target: str, at: float
    ) -> tuple[CommitCommand, ...]:
        """Let the controller report a crash, and return what it wants to commit."""
        crashed = RunCrashed(run, "school", target, f"a{at}", at)
        return self.controller.handle(crashed, at)

    def crash(self, run: RunIdentity, target: str, at: float) -> None:
        self.apply(self.report(run, target, at), at)

    def start(self, run: RunIdentity, at: float) -> None:
        self.apply(self.controller.handle(RunStarted(run), at), at)

    def apply(self, actions: tuple[CommitCommand, ...], at: float) -> None:
        for action in actions:
            command = action.command
            if isinstance(command, ReportTargetLoss):
                command = command._replace(at=at)
            self.machine.apply(1, command)
        self.publish(at)

    def publish(self, at: float) -> None:
        suspects = dict(list_suspects(self.machine.losses, at))
        self.board.write(self.writer, SUSPECTS, suspects)


def run_with(request: str, *parts: str) -> RunIdentity:
    return RunIdentity(request, parts)


class TestQuarantine:
    # Guards against requests that are all different but share one part: each crashes
    # an engine and none is ever counted twice.
    def test_different_requests_with_one_part_are_refused(self) -> None:
        published = Published()
        for number in range(3):
            run = run_with(f"r{number}", FIRST, CRASHING)
            assert published.controller.find_match(run) is None
            published.crash(run, f"e{number}", float(number))
        found = published.controller.find_match(run_with("r9", FIRST, CRASHING))
        assert found == QuarantineMatch(3, tuple(sorted((FIRST, CRASHING))))

    def test_requests_that_share_the_other_parts_are_sent(self) -> None:
        published = Published()
        for number in range(3):
            published.crash(run_with(f"r{number}", *RUN.parts), f"e{number}", 1.0)
        assert published.controller.find_match(run_with("s1", FIRST, TOPIC)) is None
        assert published.controller.find_match(run_with("s2", FIRST)) is None

    # Guards against a part that is refused only together with parts that happened to
    # come with it.
    def test_sound_requests_narrow_the_refused_parts_down(self) -> None:
        published = Published()
        for number in range(3):
            published.crash(run_with(f"r{number}", *RUN.parts), f"e{number}", 1.0)
        published.start(run_with("s1", FIRST, TOPIC), 2.0)
        assert published.controller.find_match(run_with("r8", "part:new", CRASHING))

    # Guards against two crashing parts that are taken for the first part which they
    # share.
    def test_two_causes_below_one_first_part(self) -> None:
        published = Published()
        for number in range(6):
            crashing = run_with(f"r{number}", FIRST, f"part:dead{number % 2}")
            published.crash(crashing, f"e{number}", 4.0 * number)
            published.start(run_with(f"s{number}", FIRST), 4.0 * number + 1.0)
        for dead in ("part:dead0", "part:dead1"):
            assert published.controller.find_match(run_with("r8", dead)) is not None
        assert published.controller.find_match(run_with("s8", FIRST, TOPIC)) is None

    def test_repeated_request_is_refused_for_a_minute_after_two_crashes(self) -> None:
        published = Published()
        run = run_with(request_fingerprint("r1"))
        published.crash(run, "e1", 1.0)
        assert published.controller.find_match(run) is None
        published.crash(run, "e2", 2.0)
        assert published.controller.find_match(run) is not None
        published.publish(63.0)
        assert published.controller.find_match(run) is None
        published.crash(run, "e3", 64.0)
        assert published.controller.find_match(run) is not None

    # Guards against sound requests that are equal, popular and refused after one crash.
    def test_equal_requests_lost_in_one_crash_count_once(self) -> None:
        published = Published()
        run = run_with(request_fingerprint("r1"))
        for moment in (1.0, 1.1, 1.2):
            published.crash(run, "e1", moment)
        assert published.controller.find_match(run) is None

    # Guards against a part that is refused for good because nobody may show that it is
    # harmless any more.
    def test_run_that_began_just_before_clears_its_parts(self) -> None:
        published = Published()
        published.start(run_with("s1", FIRST, TOPIC), 0.5)
        for number in range(3):
            published.crash(run_with(f"r{number}", FIRST, TOPIC), f"e{number}", 1.0)
        assert published.controller.find_match(run_with("s2", FIRST, TOPIC))
        published.apply(published.controller.handle(QuarantineDue(), 1.5), 1.5)
        assert published.controller.find_match(run_with("s2", FIRST, TOPIC)) is None

    def test_records_are_cleared_again_only_after_a_pause(self) -> None:
        published = Published()
        published.crash(RUN, "e1", 1.0)
        clears = [
            len(published.controller.handle(RunStarted(RUN), at))
            for at in (2.0, 2.5, 3.5)
        ]
        assert clears == [4, 0, 4]

    @pytest.mark.parametrize(
        ("crashes", "refused_until"), [(3, 60.0), (4, 120.0), (5, 240.0), (12, 3600.0)]
    )
    def test_refusal_ends_after_a_time_that_grows_with_the_crashes(
        self, crashes: int, refused_until: float
    ) -> None:
        published = Published()
        for number in range(crashes):
            run = run_with(f"r{number}", *RUN.parts)
            published.crash(run, f"e{number}", 0.0)
        published.publish(refused_until - 1.0)
        assert published.controller.find_match(RUN) is not None
        published.publish(refused_until + 1.0)
        assert published.controller.find_match(RUN) is None

    # Guards against a target that restarts under its name and whose crashes all count
    # as one.
    def test_crashes_of_a_target_that_keeps_its_name_are_counted(self) -> None:
        published = Published()
        for number in range(3):
            run = run_with(f"r{number}", *RUN.parts)
            published.crash(run, "e1", 5.0 * number)
        assert published.controller.find_match(RUN) is not None

    def test_surplus_records_with_the_fewest_losses_are_deleted_first(self) -> None:
        losses = tuple(TargetLoss(f"e{n}", f"{n}.0/a") for n in range(2))
        records = [LossRecord(f"r{n}", "", losses[:1], float(n)) for n in range(257)]
        records.append(LossRecord("kept", "", losses, 0.0))
        assert find_surplus_records(records) == ("r0", "r1")
        assert find_surplus_records(records[:256]) == ()


class TestRecordedFormats:
    # Guards against an old and a new instance that do not read one another: losses of
    # parts use the commands and the table of suspects that old instances have.
    def test_commands_are_encoded_as_recorded(self) -> None:
        loss = TargetLoss("e1", "1.500/a1")
        report = ReportTargetLoss(CRASHING, "school", loss, 1.5)
        recorded: list[tuple[Command, str]] = [
            (report, RECORDED_REPORT),
            (ClearQuarantine(CRASHING), RECORDED_CLEAR),
        ]
        for command, expected in recorded:
            assert COMMAND_CODEC.encode(command).hex() == expected
            assert COMMAND_CODEC.decode(bytes.fromhex(expected)).unwrap() == command

    def test_suspects_are_encoded_as_recorded(self) -> None:
        published = Published()
        for number in range(3):
            run = run_with(f"r{number}", FIRST, CRASHING)
            published.crash(run, f"e{number}", 1.0)
        suspects = list_suspects(published.machine.losses, 1.0)
        assert msgspec.msgpack.encode(suspects).hex() == RECORDED_SUSPECTS


class TestCrashingPartUnderLoad:
    # Guards against crashes that go on at instances which learn late, whatever the
    # position of the part and the share of requests with it, and against the refusal
    # of sound requests that share the other parts.
    @pytest.mark.parametrize("position", [0, 1, 2])
    @pytest.mark.parametrize("share", SHARES)
    def test_late_sends_and_sound_requests(self, share: float, position: int) -> None:
        for seed in range(4):
            world = World(seed, share=share, position=position)
            assert_bounds(CrashSimulation(world))

    @pytest.mark.parametrize(
        "world",
        [
            World(1, other_crashes=0.2),
            World(2, other_crashes=0.5, share=0.1),
            World(3, instances=72, engines=45, rate=60.0, share=0.05),
            World(4, instances=72, engines=45, rate=60.0, share=0.5, topics=40),
            World(5, topics=1, first_parts=1),
            World(6, topics=40, first_parts=12, share=0.1),
            World(7, cut_off=4),
        ],
        ids=str,
    )
    def test_other_patterns(self, world: World) -> None:
        for seed in range(world.seed, world.seed + 40, 10):
            assert_bounds(CrashSimulation(world._replace(seed=seed)))

    def test_engines_that_crash_without_a_cause(self) -> None:
        for seed, rate in itertools.product(range(4), (0.2, 1.0)):
            world = World(seed, share=0.0, other_crashes=rate)
            simulation = CrashSimulation(world)
            simulation.run()
            assert simulation.served_fraction(0.0) >= 0.95


def assert_bounds(simulation: CrashSimulation) -> None:
    simulation.run()
    late = simulation.count_late_sends(CRASHES_ALLOWED, STABILITY_SECONDS)
    served = simulation.served_fraction(2 * STABILITY_SECONDS)
    assert late <= LATE_SENDS_ALLOWED, simulation.world
    assert served >= MIN_SERVED_FRACTION, simulation.world


class TestCrashesWithoutLeader:
    # Guards against an instance that goes on sending what it has seen crash three
    # engines, because no leader has confirmed its reports yet.
    def test_part_is_refused_before_the_reports_are_committed(self) -> None:
        published = Published()
        for number in range(3):
            crashing = run_with(f"r{number}", FIRST, CRASHING)
            published.report(crashing, f"e{number}", float(number))
        crashing = run_with("r9", FIRST, CRASHING)
        assert published.controller.find_match(crashing) is not None

    # Guards against the same in the course of a day; without an outage the publication
    # of the reports bounds it.
    @pytest.mark.parametrize("is_repeated", [False, True], ids=["part", "request"])
    @pytest.mark.parametrize("leaderless_seconds", [0.0, 2.0, 3.5, 5.0])
    def test_instances_stop_after_three_crashes_that_they_saw(
        self, leaderless_seconds: float, is_repeated: bool
    ) -> None:
        for world in list_outages(leaderless_seconds, is_repeated):
            simulation = CrashSimulation(world)
            simulation.run()
            assert simulation.sent_in_spite <= LATE_SENDS_ALLOWED, world

    # Guards against requests that are still sent when the log had no leader for as long
    # as crashes came.
    @pytest.mark.parametrize("is_repeated", [False, True], ids=["part", "request"])
    @pytest.mark.parametrize("leaderless_seconds", [2.0, 3.5, 5.0])
    def test_late_sends_after_an_outage_of_the_log(
        self, leaderless_seconds: float, is_repeated: bool
    ) -> None:
        allowed = REQUEST_CRASHES_ALLOWED if is_repeated else CRASHES_ALLOWED
        for world in list_outages(leaderless_seconds, is_repeated):
            simulation = CrashSimulation(world)
            simulation.run()
            late = simulation.count_late_sends(allowed, STABILITY_SECONDS)
            assert late <= LATE_SENDS_ALLOWED, world


def list_outages(leaderless_seconds: float, is_repeated: bool) -> list[World]:
    """Return worlds that begin while the control log has no leader."""
    return [
        World(
            seed,
            instances=instances,
            engines=12,
            rate=10.0,
            is_repeated=is_repeated,
            max_attempts=2,
            leaderless_seconds=leaderless_seconds,
            seconds=20.0,
        )
        for instances, seed in itertools.product((2, 4, 12), range(20))
    ]
