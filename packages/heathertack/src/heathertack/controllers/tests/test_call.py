import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from heathertack.controllers import (
    CallController,
    CallEvent,
    ClaimCompleted,
    ClaimTimedOut,
    Execution,
    OutcomeRecorded,
    RecordingTimedOut,
    ResponseLost,
    ReturnRefusal,
    ReturnResponse,
    SendCall,
    SubmitOutcome,
    TargetResponded,
    TargetUnreachable,
)
from heathertack.state import (
    CallFound,
    CallOutcome,
    CallRecord,
    CallState,
    ClaimCall,
    ClaimGranted,
    ControlStateMachine,
    MarkOwnerLost,
    RecordOutcome,
    SettleCall,
)

OUTCOME = CallOutcome(201, "application/json", b"{}")
GRANTED = ClaimCompleted(ClaimGranted("c"))


def claimed_before(
    state: CallState, digest: str = "d", outcome: CallOutcome = OUTCOME
) -> ClaimCompleted:
    recorded_outcome = outcome if state is CallState.FINISHED else None
    record = CallRecord(
        "a", "k", "s", digest, "x", "e", 1, state, recorded_outcome, 0.0, "n"
    )
    return ClaimCompleted(CallFound(record))


# Each row: name, events, action types after the last event, and for a refusal its
# HTTP status and execution.
CASES: list[tuple[str, list[CallEvent], list[type], int, Execution | None]] = [
    ("granted", [GRANTED], [SendCall], 0, None),
    ("claim timed out", [ClaimTimedOut()], [ReturnRefusal], 503, Execution.NOT_RUN),
    ("replay", [claimed_before(CallState.FINISHED)], [ReturnResponse], 0, None),
    (
        "in progress",
        [claimed_before(CallState.RUNNING)],
        [ReturnRefusal],
        409,
        Execution.UNKNOWN,
    ),
    (
        "unknown",
        [claimed_before(CallState.UNKNOWN)],
        [ReturnRefusal],
        409,
        Execution.UNKNOWN,
    ),
    (
        "settled",
        [claimed_before(CallState.SETTLED)],
        [ReturnRefusal],
        409,
        Execution.COMPLETED,
    ),
    (
        "key reused with another body",
        [claimed_before(CallState.FINISHED, "other")],
        [ReturnRefusal],
        422,
        Execution.NOT_RUN,
    ),
    ("target responded", [GRANTED, TargetResponded(OUTCOME)], [SubmitOutcome], 0, None),
    (
        "recorded",
        [GRANTED, TargetResponded(OUTCOME), OutcomeRecorded()],
        [ReturnResponse],
        0,
        None,
    ),
    (
        "not recorded in time",
        [GRANTED, TargetResponded(OUTCOME), RecordingTimedOut()],
        [ReturnResponse],
        0,
        None,
    ),
    ("next target", [GRANTED, TargetUnreachable(True)], [SendCall], 0, None),
    (
        "no target",
        [GRANTED, TargetUnreachable(False), OutcomeRecorded()],
        [ReturnRefusal],
        503,
        Execution.NOT_RUN,
    ),
    (
        "replay of a response that was too large to record",
        [
            claimed_before(
                CallState.FINISHED, outcome=OUTCOME._replace(is_body_stored=False)
            )
        ],
        [ReturnRefusal],
        409,
        Execution.COMPLETED,
    ),
    (
        "lost response",
        [GRANTED, ResponseLost("cut"), OutcomeRecorded()],
        [ReturnRefusal],
        502,
        Execution.UNKNOWN,
    ),
    ("claim granted twice", [GRANTED, TargetResponded(OUTCOME), GRANTED], [], 0, None),
]


class TestCallController:
    @pytest.mark.parametrize(
        ("name", "events", "action_types", "status", "execution"), CASES
    )
    def test_transition(
        self,
        name: str,
        events: list[CallEvent],
        action_types: list[type],
        status: int,
        execution: Execution | None,
    ) -> None:
        controller = CallController("c", "d")
        actions = [controller.handle(event) for event in events][-1]
        assert [type(action) for action in actions] == action_types, name
        for action in actions:
            if isinstance(action, ReturnRefusal):
                assert action.status == status
                assert action.refusal.execution is execution

    # Guards against a status that an earlier build recorded and no caller may get.
    @pytest.mark.parametrize(
        ("status", "is_replayed"),
        [(0, False), (99, False), (101, False), (600, False), (200, True), (599, True)],
    )
    def test_impossible_status_is_not_replayed(
        self, status: int, is_replayed: bool
    ) -> None:
        outcome = OUTCOME._replace(status=status)
        claimed = claimed_before(CallState.FINISHED, outcome=outcome)
        (action,) = CallController("c", "d").handle(claimed)
        if is_replayed:
            assert action == ReturnResponse(outcome, is_replay=True)
        else:
            assert isinstance(action, ReturnRefusal)
            assert action.status == 409
            assert action.refusal.execution is Execution.COMPLETED

    def test_large_body_is_returned_but_not_recorded(self) -> None:
        controller = CallController("c", "d")
        controller.handle(GRANTED)
        large = OUTCOME._replace(body=b"x" * 100_000)
        (submitted,) = controller.handle(TargetResponded(large))
        (returned,) = controller.handle(OutcomeRecorded())
        assert submitted == SubmitOutcome(
            OUTCOME._replace(body=b"", is_body_stored=False)
        )
        assert returned == ReturnResponse(large, is_replay=False)


class CallMachine(RuleBasedStateMachine):
    """Repeats calls through several instances, which restart at any time.

    The number of executions by key at the target is the oracle: no key may run more
    than once.
    """

    @initialize()
    def start(self) -> None:
        self.machine = ControlStateMachine()
        self.index = 0
        self.claims: dict[str, tuple[str, str]] = {}
        self.sent: dict[str, int] = {}
        self.not_run: set[str] = set()
        self.owners: dict[str, tuple[str, int]] = {}
        self.incarnations = {"e1": 1, "e2": 1}

    def apply(self, command: object) -> object:
        self.index += 1
        return self.machine.apply(self.index, command)  # type: ignore[arg-type]

    @rule(
        key=st.sampled_from(["k1", "k2"]),
        owner=st.sampled_from(["e1", "e2"]),
        number=st.integers(0, 5),
    )
    def claim(self, key: str, owner: str, number: int) -> None:
        incarnation = self.incarnations[owner]
        claim_id = f"{owner}.{incarnation}.{key}.{number}"
        command = ClaimCall("a", key, "s", "d", claim_id, owner, incarnation)
        result = self.apply(command)
        if isinstance(result, ClaimGranted):
            self.claims[claim_id] = (key, owner)
            self.owners[claim_id] = (owner, incarnation)

    @rule(data=st.data(), reaches_target=st.booleans())
    def send(self, data: st.DataObject, reaches_target: bool) -> None:
        """Send a claimed call once; a repeated grant does not send it again."""
        unsent = sorted(c for c in self.claims if c not in self.sent)
        if not unsent:
            return
        claim_id = data.draw(st.sampled_from(unsent))
        self.sent[claim_id] = int(reaches_target)

    @rule(data=st.data(), is_response_lost=st.booleans())
    def record(self, data: st.DataObject, is_response_lost: bool) -> None:
        running = sorted(c for c in self.sent if self.is_owner_running(c))
        if not running:
            return
        claim_id = data.draw(st.sampled_from(running))
        key = self.claims[claim_id][0]
        ran = bool(self.sent[claim_id])
        outcome = OUTCOME if ran and not is_response_lost else None
        is_unknown = ran and is_response_lost
        command = RecordOutcome("a", key, claim_id, outcome, is_unknown)
        self.apply(command)
        if not ran:
            self.not_run.add(claim_id)

    @rule(owner=st.sampled_from(["e1", "e2"]))
    def restart_owner(self, owner: str) -> None:
        incarnation = self.incarnations[owner]
        self.incarnations[owner] += 1
        self.apply(MarkOwnerLost(owner, incarnation))

    @rule(
        owner=st.sampled_from(["e1", "e2"]),
        key=st.sampled_from(["k1", "k2"]),
        number=st.integers(0, 5),
    )
    def abandon_claim(self, owner: str, key: str, number: int) -> None:
        """Abandon a claim whose command may be committed later."""
        claim_id = f"{owner}.{self.incarnations[owner]}.{key}.{number}"
        if claim_id not in self.claims:
            self.apply(RecordOutcome("a", key, claim_id, None))
            result = self.apply(
                ClaimCall("a", key, "s", "d", claim_id, owner, 1),
            )
            assert not isinstance(result, ClaimGranted)

    @rule()
    def restart_replica(self) -> None:
        restored = ControlStateMachine()
        restored.restore_snapshot(self.machine.encode_snapshot())
        assert restored.encode_snapshot() == self.machine.encode_snapshot()
        self.machine = restored

    def is_owner_running(self, claim_id: str) -> bool:
        owner, incarnation = self.owners[claim_id]
        return self.incarnations[owner] == incarnation

    def teardown(self) -> None:
        if not hasattr(self, "machine"):
            return
        for key in ("k1", "k2"):
            runs = sum(
                count
                for claim, count in self.sent.items()
                if self.claims[claim][0] == key
            )
            assert runs <= 1, f"{key} ran {runs} times"
        for claim_id in self.not_run:
            assert self.sent[claim_id] == 0
        for claim_id, ran in self.sent.items():
            record = self.machine.calls.find("a", self.claims[claim_id][0])
            if ran:
                assert record is not None, "the record of a call that ran is missing"
                if not self.is_owner_running(claim_id) and record.outcome is None:
                    assert record.state is CallState.UNKNOWN


CallMachine.TestCase.settings = settings(stateful_step_count=40)
TestCallsRunAtMostOnce = CallMachine.TestCase


class TestSettleCall:
    @pytest.mark.parametrize(("ran", "is_released"), [(True, False), (False, True)])
    def test_releases_the_key_only_if_the_call_did_not_run(
        self, ran: bool, is_released: bool
    ) -> None:
        machine = ControlStateMachine()
        machine.apply(1, ClaimCall("a", "k", "s", "d", "c1", "e", 1))
        machine.apply(2, MarkOwnerLost("e", 1))
        machine.apply(3, SettleCall("a", "k", ran, "checked by hand"))
        result = machine.apply(4, ClaimCall("a", "k", "s", "d", "c2", "e", 2))
        assert isinstance(result, ClaimGranted) is is_released
