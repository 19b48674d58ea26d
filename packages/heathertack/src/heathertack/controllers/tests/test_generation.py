import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from heathertack.controllers import (
    CallerDisconnected,
    CompleteResponse,
    DeliverTokens,
    DiscardBufferedTokens,
    EndReceived,
    Execution,
    FailResponse,
    GenerationAction,
    GenerationController,
    GenerationEvent,
    GenerationLimits,
    GenerationState,
    GenerationTimePassed,
    LinkClosed,
    LinkFailure,
    LinkOpened,
    LossReportCompleted,
    OpenStream,
    Placed,
    PlacementRefused,
    Refusal,
    ReportLoss,
    RequestPlacement,
    ResumeStream,
    TokensReceived,
)

ID = "g"
REFUSED = Refusal("overloaded", "full", Execution.NOT_RUN, 2.0)
BROKEN = LinkFailure.BROKEN
UNREACHABLE = LinkFailure.UNREACHABLE
UNKNOWN = LinkFailure.UNKNOWN_GENERATION
PLACE = Placed(1, "e1")
OPEN = LinkOpened(1)
FIRST = TokensReceived(1, "g.1", 0, "a")
SECOND = TokensReceived(1, "g.1", 1, "b")
END = EndReceived(1, "g.1", 1, "stop")
S = GenerationState

Step = tuple[float, GenerationEvent]

# Each row: name, steps of (time, event), state after them, types of the actions
# of the last step.
TRANSITIONS: list[tuple[str, list[Step], S, list[str]]] = [
    ("placed", [(0, PLACE)], S.PLACED, ["OpenStream"]),
    ("late placement", [(0, Placed(2, "e1"))], S.QUEUED, []),
    ("refused", [(0, PlacementRefused(1, REFUSED))], S.FAILED, ["FailResponse"]),
    ("left while queued", [(0, CallerDisconnected())], S.CANCELLED, ["ReleaseTarget"]),
    ("opened", [(0, PLACE), (0, OPEN)], S.PLACED, []),
    (
        "first token",
        [(0, PLACE), (0, OPEN), (0, FIRST)],
        S.STREAMING,
        ["DeliverTokens"],
    ),
    (
        "whole answer",
        [(0, PLACE), (0, OPEN), (0, FIRST), (0, END)],
        S.FINISHED,
        ["CloseLink", "CompleteResponse", "ReleaseTarget"],
    ),
    (
        "token of another generation",
        [(0, PLACE), (0, OPEN), (0, TokensReceived(1, "h.1", 0, "x"))],
        S.PLACED,
        ["CountDroppedEvent"],
    ),
    (
        "repeated token",
        [(0, PLACE), (0, OPEN), (0, FIRST), (0, FIRST)],
        S.STREAMING,
        ["CountDroppedEvent"],
    ),
    (
        "missing token",
        [(0, PLACE), (0, OPEN), (0, SECOND)],
        S.RESUMING,
        ["CountDroppedEvent", "CloseLink", "ResumeStream"],
    ),
    (
        "end before the last token",
        [(0, PLACE), (0, OPEN), (0, END)],
        S.RESUMING,
        ["CountDroppedEvent", "CloseLink", "ResumeStream"],
    ),
    (
        "late event of a closed link does not resume again",
        [(0, PLACE), (0, OPEN), (0, SECOND), (0, SECOND)],
        S.RESUMING,
        ["CountDroppedEvent"],
    ),
    (
        "stall",
        [(0, PLACE), (0, OPEN), (0, FIRST), (1.1, GenerationTimePassed())],
        S.RESUMING,
        ["CloseLink", "ResumeStream"],
    ),
    (
        "token during the resume",
        [
            (0, PLACE),
            (0, OPEN),
            (0, FIRST),
            (1.1, GenerationTimePassed()),
            (1.2, LinkOpened(2)),
            (1.2, TokensReceived(2, "g.1", 1, "b")),
        ],
        S.STREAMING,
        ["DeliverTokens"],
    ),
    (
        "connection refused",
        [(0, PLACE), (0, LinkClosed(1, UNREACHABLE))],
        S.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "not known to the engine at all",
        [(0, PLACE), (0, LinkClosed(1, UNKNOWN))],
        S.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "busy",
        [(0, PLACE), (0, LinkClosed(1, LinkFailure.BUSY))],
        S.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "invalid",
        [(0, PLACE), (0, LinkClosed(1, LinkFailure.INVALID_REQUEST, "no"))],
        S.FAILED,
        ["ReleaseTarget", "FailResponse"],
    ),
    ("broken", [(0, PLACE), (0, LinkClosed(1, BROKEN))], S.RESUMING, []),
    (
        "resumed after a break",
        [(0, PLACE), (0, LinkClosed(1, BROKEN)), (0.3, GenerationTimePassed())],
        S.RESUMING,
        ["CloseLink", "ResumeStream"],
    ),
    (
        "engine is gone",
        [
            (0, PLACE),
            (0, OPEN),
            (0, LinkClosed(1, BROKEN)),
            (0.3, GenerationTimePassed()),
            (0.3, LinkClosed(2, UNREACHABLE)),
        ],
        S.REPORTING,
        [
            "CloseLink",
            "CancelAttempt",
            "ReportTargetFailure",
            "ReleaseTarget",
            "ReportLoss",
        ],
    ),
    (
        "out of reach for too long",
        [
            (0, PLACE),
            (0, OPEN),
            (0, FIRST),
            (1.1, GenerationTimePassed()),
            (5.2, GenerationTimePassed()),
        ],
        S.REPORTING,
        [
            "CloseLink",
            "CancelAttempt",
            "ReportTargetFailure",
            "ReleaseTarget",
            "ReportLoss",
        ],
    ),
    (
        "left while streaming",
        [(0, PLACE), (0, OPEN), (0, FIRST), (0, CallerDisconnected())],
        S.CANCELLED,
        ["CloseLink", "CancelAttempt", "ReleaseTarget"],
    ),
    (
        "token after the end",
        [(0, PLACE), (0, OPEN), (0, FIRST), (0, END), (0, SECOND)],
        S.FINISHED,
        ["CountDroppedEvent"],
    ),
]

LOST_BEFORE_TOKENS: list[Step] = [
    (0, PLACE),
    (0, OPEN),
    (0, LinkClosed(1, UNKNOWN)),
]
LOST_AFTER_TOKENS: list[Step] = [
    (0, PLACE),
    (0, OPEN),
    (0, FIRST),
    (0, LinkClosed(1, UNKNOWN)),
]


def run(
    steps: list[Step], *, is_streamed: bool = True
) -> tuple[GenerationController, tuple[GenerationAction, ...]]:
    controller = GenerationController(
        ID, GenerationLimits(), is_streamed=is_streamed, now=0.0
    )
    actions: tuple[GenerationAction, ...] = controller.start()
    for now, event in steps:
        actions = controller.handle(event, now)
    return controller, actions


class TestTransitions:
    @pytest.mark.parametrize(
        ("name", "steps", "state", "actions"), TRANSITIONS, ids=lambda v: str(v)[:40]
    )
    def test_transition(
        self, name: str, steps: list[Step], state: S, actions: list[str]
    ) -> None:
        controller, seen = run(steps)
        assert [type(action).__name__ for action in seen] == actions, name
        assert controller.state is state

    def test_lost_before_the_first_token_is_placed_elsewhere(self) -> None:
        _, actions = run([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, 1))])
        assert actions == (RequestPlacement(2, ("e1",)),)

    def test_lost_after_a_token_ends_at_once(self) -> None:
        _, actions = run([*LOST_AFTER_TOKENS, (0, LossReportCompleted(1, 1))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.code == "target_lost"
        assert failed.refusal.execution is Execution.UNKNOWN

    def test_held_back_answer_starts_again_from_nothing(self) -> None:
        controller, actions = run(
            [*LOST_AFTER_TOKENS, (0, LossReportCompleted(1, 1))], is_streamed=False
        )
        assert actions == (DiscardBufferedTokens(), RequestPlacement(2, ("e1",)))
        assert controller.offset == 0

    @pytest.mark.parametrize("steps", [LOST_BEFORE_TOKENS, LOST_AFTER_TOKENS])
    def test_second_target_lost_ends_with_a_final_answer(
        self, steps: list[Step]
    ) -> None:
        _, actions = run([*steps, (0, LossReportCompleted(1, 2))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.code == "quarantined"
        assert failed.refusal.retry_after is not None

    def test_unrecorded_loss_is_not_tried_again(self) -> None:
        _, actions = run([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, None))])
        assert isinstance(actions[0], FailResponse)

    @pytest.mark.parametrize(
        ("steps", "execution"),
        [
            ([(0, PLACE), (0, LinkClosed(1, UNREACHABLE))], Execution.NOT_RUN),
            ([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, 1))], Execution.UNKNOWN),
            (
                [
                    (0, PLACE),
                    (5.1, GenerationTimePassed()),
                    (10.0, GenerationTimePassed()),
                    (10.0, LossReportCompleted(1, 1)),
                ],
                Execution.UNKNOWN,
            ),
            (
                [
                    (0, PLACE),
                    (5.1, GenerationTimePassed()),
                    (5.2, LinkClosed(2, UNKNOWN)),
                ],
                Execution.UNKNOWN,
            ),
        ],
    )
    def test_says_not_run_only_if_nothing_can_have_run(
        self, steps: list[Step], execution: Execution
    ) -> None:
        _, actions = run([*steps, (1, PlacementRefused(2, REFUSED))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.execution is execution


class GenerationMachine(RuleBasedStateMachine):
    """An engine that does the worst at each step."""

    @initialize(is_streamed=st.booleans())
    def start(self, is_streamed: bool) -> None:
        self.now = 0.0
        self.controller = GenerationController(
            ID, GenerationLimits(), is_streamed=is_streamed, now=0.0
        )
        self.is_streamed = is_streamed
        self.delivered: list[str] = []
        self.finals: list[GenerationAction] = []
        self.opened = 0
        self.losses = 0
        self.reserved = False
        self.may_have_run = False
        self.note(self.controller.start())

    def feed(self, event: GenerationEvent) -> None:
        self.note(self.controller.handle(event, self.now))

    def note(self, actions: tuple[GenerationAction, ...]) -> None:
        for action in actions:
            if isinstance(action, DeliverTokens):
                assert not self.finals
                self.delivered.append(action.text)
            elif isinstance(action, DiscardBufferedTokens):
                assert not self.is_streamed
                self.delivered.clear()
            elif isinstance(action, CompleteResponse | FailResponse):
                self.finals.append(action)
            elif isinstance(action, OpenStream | ResumeStream):
                self.opened = action.link
            elif isinstance(action, ReportLoss):
                self.losses += 1
        assert len(self.finals) <= 1
        attempts = {text.partition(":")[0] for text in self.delivered}
        assert len(attempts) <= 1, "tokens of two generations"
        offsets = [int(text.partition(":")[2]) for text in self.delivered]
        assert offsets == list(range(len(offsets)))
        if self.controller.is_ended and self.controller.state is not S.CANCELLED:
            assert len(self.finals) == 1

    @rule(engine=st.sampled_from(["e1", "e2", "e3"]), stale=st.booleans())
    def place(self, engine: str, stale: bool) -> None:
        attempt = self.controller.attempt - stale
        self.feed(Placed(attempt, engine))

    @rule(back=st.integers(0, 1))
    def open(self, back: int) -> None:
        self.may_have_run = True
        self.feed(LinkOpened(self.opened - back))

    @rule(
        attempt=st.integers(0, 1),
        shift=st.sampled_from([0, 0, 0, -1, 1, 2]),
        link=st.integers(0, 1),
    )
    def token(self, attempt: int, shift: int, link: int) -> None:
        number = self.controller.attempt - attempt
        offset = max(self.controller.offset + shift, 0)
        text = f"{number}:{offset}"
        self.may_have_run = True
        self.feed(TokensReceived(self.opened - link, f"g.{number}", offset, text))

    @rule(attempt=st.integers(0, 1), shift=st.sampled_from([0, -1, 1]))
    def end(self, attempt: int, shift: int) -> None:
        number = self.controller.attempt - attempt
        offset = max(self.controller.offset + shift, 0)
        self.feed(EndReceived(self.opened, f"g.{number}", offset, "stop"))
        for final in self.finals:
            if isinstance(final, CompleteResponse):
                assert final.tokens == len(self.delivered)

    @rule(failure=st.sampled_from(list(LinkFailure)), back=st.integers(0, 1))
    def close(self, failure: LinkFailure, back: int) -> None:
        if failure not in (UNREACHABLE, LinkFailure.BUSY):
            self.may_have_run = True
        self.feed(LinkClosed(self.opened - back, failure))

    @rule(losses=st.sampled_from([1, 1, 2, None]))
    def count_loss(self, losses: int | None) -> None:
        self.feed(LossReportCompleted(self.controller.attempt, losses))

    @rule(seconds=st.sampled_from([0.3, 1.0, 5.0, 70.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.feed(GenerationTimePassed())

    @rule()
    def refuse(self) -> None:
        self.feed(PlacementRefused(self.controller.attempt, REFUSED))
        for final in self.finals:
            if isinstance(final, FailResponse) and self.losses:
                assert final.refusal.execution is Execution.UNKNOWN

    @rule()
    def leave(self) -> None:
        self.feed(CallerDisconnected())

    def teardown(self) -> None:
        """A silent engine never leaves a caller without a final answer."""
        if not hasattr(self, "controller"):
            return
        for _ in range(400):
            if self.controller.is_ended:
                return
            if self.controller.state is S.QUEUED:
                self.refuse()
            elif self.controller.state is S.REPORTING:
                self.feed(LossReportCompleted(self.controller.attempt, 1))
            else:
                self.now = max(self.controller.next_deadline() or 0.0, self.now)
                self.feed(GenerationTimePassed())
        raise AssertionError(f"still {self.controller.state}")


GenerationMachine.TestCase.settings = settings(stateful_step_count=40)
TestGenerationWithTheWorstEngine = GenerationMachine.TestCase
