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
PLACED = Placed(1, "e1")
OPENED = LinkOpened(1)
FIRST_TOKEN = TokensReceived(1, "g.1", 0, "a")
SECOND_TOKEN = TokensReceived(1, "g.1", 1, "b")
END = EndReceived(1, "g.1", 1, "stop")
State = GenerationState

Step = tuple[float, GenerationEvent]

# Each row: name, steps as (time, event), final state, action types of the last step.
TRANSITIONS: list[tuple[str, list[Step], State, list[str]]] = [
    ("placed", [(0, PLACED)], State.PLACED, ["OpenStream"]),
    ("late placement", [(0, Placed(2, "e1"))], State.QUEUED, []),
    ("refused", [(0, PlacementRefused(1, REFUSED))], State.FAILED, ["FailResponse"]),
    (
        "caller disconnects while queued",
        [(0, CallerDisconnected())],
        State.CANCELLED,
        ["ReleaseTarget"],
    ),
    ("link opened", [(0, PLACED), (0, OPENED)], State.PLACED, []),
    (
        "first token",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN)],
        State.STREAMING,
        ["DeliverTokens"],
    ),
    (
        "complete response",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN), (0, END)],
        State.FINISHED,
        ["CloseLink", "CompleteResponse", "ReleaseTarget"],
    ),
    (
        "token of another generation",
        [(0, PLACED), (0, OPENED), (0, TokensReceived(1, "h.1", 0, "x"))],
        State.PLACED,
        ["CountDroppedEvent"],
    ),
    (
        "repeated token",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN), (0, FIRST_TOKEN)],
        State.STREAMING,
        ["CountDroppedEvent"],
    ),
    (
        "missing token",
        [(0, PLACED), (0, OPENED), (0, SECOND_TOKEN)],
        State.RESUMING,
        ["CountDroppedEvent", "CloseLink", "ResumeStream"],
    ),
    (
        "end before the last token",
        [(0, PLACED), (0, OPENED), (0, END)],
        State.RESUMING,
        ["CountDroppedEvent", "CloseLink", "ResumeStream"],
    ),
    (
        "stale event of a closed link does not resume again",
        [(0, PLACED), (0, OPENED), (0, SECOND_TOKEN), (0, SECOND_TOKEN)],
        State.RESUMING,
        ["CountDroppedEvent"],
    ),
    (
        "stalled stream",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN), (1.1, GenerationTimePassed())],
        State.RESUMING,
        ["CloseLink", "ResumeStream"],
    ),
    (
        "token during the resume",
        [
            (0, PLACED),
            (0, OPENED),
            (0, FIRST_TOKEN),
            (1.1, GenerationTimePassed()),
            (1.2, LinkOpened(2)),
            (1.2, TokensReceived(2, "g.1", 1, "b")),
        ],
        State.STREAMING,
        ["DeliverTokens"],
    ),
    (
        "connection refused",
        [(0, PLACED), (0, LinkClosed(1, UNREACHABLE))],
        State.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "unknown generation on the first link",
        [(0, PLACED), (0, LinkClosed(1, UNKNOWN))],
        State.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "busy",
        [(0, PLACED), (0, LinkClosed(1, LinkFailure.BUSY))],
        State.QUEUED,
        ["ReportTargetFailure", "ReleaseTarget", "RequestPlacement"],
    ),
    (
        "invalid",
        [(0, PLACED), (0, LinkClosed(1, LinkFailure.INVALID_REQUEST, "no"))],
        State.FAILED,
        ["ReleaseTarget", "FailResponse"],
    ),
    ("broken link", [(0, PLACED), (0, LinkClosed(1, BROKEN))], State.RESUMING, []),
    (
        "resume after a broken link",
        [(0, PLACED), (0, LinkClosed(1, BROKEN)), (0.3, GenerationTimePassed())],
        State.RESUMING,
        ["CloseLink", "ResumeStream"],
    ),
    (
        "connection refused during a resume",
        [
            (0, PLACED),
            (0, OPENED),
            (0, LinkClosed(1, BROKEN)),
            (0.3, GenerationTimePassed()),
            (0.3, LinkClosed(2, UNREACHABLE)),
        ],
        State.REPORTING,
        [
            "CloseLink",
            "CancelAttempt",
            "ReportTargetFailure",
            "ReleaseTarget",
            "ReportLoss",
        ],
    ),
    (
        "unreachable for too long",
        [
            (0, PLACED),
            (0, OPENED),
            (0, FIRST_TOKEN),
            (1.1, GenerationTimePassed()),
            (5.2, GenerationTimePassed()),
        ],
        State.REPORTING,
        [
            "CloseLink",
            "CancelAttempt",
            "ReportTargetFailure",
            "ReleaseTarget",
            "ReportLoss",
        ],
    ),
    (
        "caller disconnects while streaming",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN), (0, CallerDisconnected())],
        State.CANCELLED,
        ["CloseLink", "CancelAttempt", "ReleaseTarget"],
    ),
    (
        "token after the end",
        [(0, PLACED), (0, OPENED), (0, FIRST_TOKEN), (0, END), (0, SECOND_TOKEN)],
        State.FINISHED,
        ["CountDroppedEvent"],
    ),
]

LOST_BEFORE_TOKENS: list[Step] = [
    (0, PLACED),
    (0, OPENED),
    (0, LinkClosed(1, UNKNOWN)),
]
LOST_AFTER_TOKENS: list[Step] = [
    (0, PLACED),
    (0, OPENED),
    (0, FIRST_TOKEN),
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
        self, name: str, steps: list[Step], state: State, actions: list[str]
    ) -> None:
        controller, last_actions = run(steps)
        assert [type(action).__name__ for action in last_actions] == actions, name
        assert controller.state is state

    def test_loss_before_the_first_token_retries_on_another_target(self) -> None:
        _, actions = run([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, 1))])
        assert actions == (RequestPlacement(2, ("e1",)),)

    def test_loss_after_a_token_fails_a_streamed_response(self) -> None:
        _, actions = run([*LOST_AFTER_TOKENS, (0, LossReportCompleted(1, 1))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.code == "target_lost"
        assert failed.refusal.execution is Execution.UNKNOWN

    def test_buffered_response_restarts_from_the_beginning(self) -> None:
        controller, actions = run(
            [*LOST_AFTER_TOKENS, (0, LossReportCompleted(1, 1))], is_streamed=False
        )
        assert actions == (DiscardBufferedTokens(), RequestPlacement(2, ("e1",)))
        assert controller.offset == 0

    @pytest.mark.parametrize("steps", [LOST_BEFORE_TOKENS, LOST_AFTER_TOKENS])
    def test_second_lost_target_quarantines_the_request(
        self, steps: list[Step]
    ) -> None:
        _, actions = run([*steps, (0, LossReportCompleted(1, 2))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.code == "quarantined"
        assert failed.refusal.retry_after is not None

    def test_unrecorded_loss_is_not_retried(self) -> None:
        _, actions = run([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, None))])
        assert isinstance(actions[0], FailResponse)

    @pytest.mark.parametrize(
        ("steps", "execution"),
        [
            ([(0, PLACED), (0, LinkClosed(1, UNREACHABLE))], Execution.NOT_RUN),
            ([*LOST_BEFORE_TOKENS, (0, LossReportCompleted(1, 1))], Execution.UNKNOWN),
            (
                [
                    (0, PLACED),
                    (5.1, GenerationTimePassed()),
                    (10.0, GenerationTimePassed()),
                    (10.0, LossReportCompleted(1, 1)),
                ],
                Execution.UNKNOWN,
            ),
            (
                [
                    (0, PLACED),
                    (5.1, GenerationTimePassed()),
                    (5.2, LinkClosed(2, UNKNOWN)),
                ],
                Execution.UNKNOWN,
            ),
        ],
    )
    def test_reports_not_run_only_if_no_attempt_can_have_run(
        self, steps: list[Step], execution: Execution
    ) -> None:
        _, actions = run([*steps, (1, PlacementRefused(2, REFUSED))])
        (failed,) = actions
        assert isinstance(failed, FailResponse)
        assert failed.refusal.execution is execution


class GenerationMachine(RuleBasedStateMachine):
    """Sends arbitrary events, including stale and conflicting ones.

    Tokens of two attempts must never mix, offsets must be consecutive, and the caller
    must receive exactly one final response.
    """

    @initialize(is_streamed=st.booleans())
    def start(self, is_streamed: bool) -> None:
        self.now = 0.0
        self.controller = GenerationController(
            ID, GenerationLimits(), is_streamed=is_streamed, now=0.0
        )
        self.is_streamed = is_streamed
        self.delivered: list[str] = []
        self.final_actions: list[GenerationAction] = []
        self.latest_link = 0
        self.losses = 0
        self.reserved = False
        self.may_have_run = False
        self.apply(self.controller.start())

    def handle(self, event: GenerationEvent) -> None:
        self.apply(self.controller.handle(event, self.now))

    def apply(self, actions: tuple[GenerationAction, ...]) -> None:
        for action in actions:
            if isinstance(action, DeliverTokens):
                assert not self.final_actions
                self.delivered.append(action.text)
            elif isinstance(action, DiscardBufferedTokens):
                assert not self.is_streamed
                self.delivered.clear()
            elif isinstance(action, CompleteResponse | FailResponse):
                self.final_actions.append(action)
            elif isinstance(action, OpenStream | ResumeStream):
                self.latest_link = action.link
            elif isinstance(action, ReportLoss):
                self.losses += 1
        assert len(self.final_actions) <= 1
        attempts = {text.partition(":")[0] for text in self.delivered}
        assert len(attempts) <= 1, "tokens of two attempts"
        offsets = [int(text.partition(":")[2]) for text in self.delivered]
        assert offsets == list(range(len(offsets)))
        if self.controller.is_ended and self.controller.state is not State.CANCELLED:
            assert len(self.final_actions) == 1

    @rule(engine=st.sampled_from(["e1", "e2", "e3"]), is_stale=st.booleans())
    def assign_target(self, engine: str, is_stale: bool) -> None:
        attempt = self.controller.attempt - is_stale
        self.handle(Placed(attempt, engine))

    @rule(links_back=st.integers(0, 1))
    def open_link(self, links_back: int) -> None:
        self.may_have_run = True
        self.handle(LinkOpened(self.latest_link - links_back))

    @rule(
        attempt=st.integers(0, 1),
        shift=st.sampled_from([0, 0, 0, -1, 1, 2]),
        link=st.integers(0, 1),
    )
    def receive_token(self, attempt: int, shift: int, link: int) -> None:
        number = self.controller.attempt - attempt
        offset = max(self.controller.offset + shift, 0)
        text = f"{number}:{offset}"
        self.may_have_run = True
        self.handle(
            TokensReceived(self.latest_link - link, f"g.{number}", offset, text)
        )

    @rule(attempt=st.integers(0, 1), shift=st.sampled_from([0, -1, 1]))
    def receive_end(self, attempt: int, shift: int) -> None:
        number = self.controller.attempt - attempt
        offset = max(self.controller.offset + shift, 0)
        self.handle(EndReceived(self.latest_link, f"g.{number}", offset, "stop"))
        for action in self.final_actions:
            if isinstance(action, CompleteResponse):
                assert action.tokens == len(self.delivered)

    @rule(failure=st.sampled_from(list(LinkFailure)), links_back=st.integers(0, 1))
    def close_link(self, failure: LinkFailure, links_back: int) -> None:
        if failure not in (UNREACHABLE, LinkFailure.BUSY):
            self.may_have_run = True
        self.handle(LinkClosed(self.latest_link - links_back, failure))

    @rule(losses=st.sampled_from([1, 1, 2, None]))
    def complete_loss_report(self, losses: int | None) -> None:
        self.handle(LossReportCompleted(self.controller.attempt, losses))

    @rule(seconds=st.sampled_from([0.3, 1.0, 5.0, 70.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.handle(GenerationTimePassed())

    @rule()
    def refuse_placement(self) -> None:
        self.handle(PlacementRefused(self.controller.attempt, REFUSED))
        for action in self.final_actions:
            if isinstance(action, FailResponse) and self.losses:
                assert action.refusal.execution is Execution.UNKNOWN

    @rule()
    def disconnect_caller(self) -> None:
        self.handle(CallerDisconnected())

    def teardown(self) -> None:
        """Check that the generation also ends if the engine stops responding."""
        if not hasattr(self, "controller"):
            return
        for _ in range(400):
            if self.controller.is_ended:
                return
            if self.controller.state is State.QUEUED:
                self.refuse_placement()
            elif self.controller.state is State.REPORTING:
                self.handle(LossReportCompleted(self.controller.attempt, 1))
            else:
                self.now = max(self.controller.next_deadline() or 0.0, self.now)
                self.handle(GenerationTimePassed())
        raise AssertionError(f"generation did not end: state {self.controller.state}")


GenerationMachine.TestCase.settings = settings(stateful_step_count=40)
TestGenerationWithArbitraryEvents = GenerationMachine.TestCase
