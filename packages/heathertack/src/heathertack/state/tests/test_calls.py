"""Calls whose owner is silent for a while."""

from heathertack.state import (
    CallFound,
    CallOutcome,
    CallState,
    ClaimCall,
    ClaimGranted,
    ControlStateMachine,
    Done,
    MarkOwnerLost,
    RecordOutcome,
)

CLAIM = ClaimCall("school", "k", "portal", "digest", "c1", "i1", 7)
OUTCOME = CallOutcome(200, "text/plain", b"booked")


class TestSilentOwner:
    # Guards against a call that is started again elsewhere, or given up, while its
    # owner only could not report for some seconds.
    def test_call_is_neither_run_again_nor_given_up(self) -> None:
        machine = ControlStateMachine()
        assert machine.apply(1, CLAIM) == ClaimGranted("c1")
        machine.apply(2, MarkOwnerLost("i1", 7))
        again = machine.apply(3, CLAIM._replace(claim_id="c2", owner="i2"))
        assert isinstance(again, CallFound)
        assert again.record.state is CallState.UNKNOWN
        assert machine.apply(4, RecordOutcome("school", "k", "c1", OUTCOME)) == Done()
        found = machine.apply(5, CLAIM._replace(claim_id="c3", owner="i2"))
        assert isinstance(found, CallFound)
        assert found.record.state is CallState.FINISHED
        assert found.record.outcome == OUTCOME

    # Guards against a permission that is used after it has run out.
    def test_repeated_claim_of_a_lost_owner_is_not_granted(self) -> None:
        machine = ControlStateMachine()
        machine.apply(1, CLAIM)
        assert machine.apply(2, CLAIM) == ClaimGranted("c1")
        machine.apply(3, MarkOwnerLost("i1", 7))
        assert isinstance(machine.apply(4, CLAIM), CallFound)
