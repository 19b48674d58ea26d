import random
from collections.abc import Iterable

import pytest

from heathertack.consensus import (
    AppendRequest,
    AppendResponse,
    ConsensusMessage,
    DurableState,
    Effect,
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    Replica,
    ReplicaTimings,
    ReportRegressedReplica,
    Role,
    SaveHardState,
    SendMessage,
    Snapshot,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)

THREE = Membership(("a", "b", "c"))
FRESH = HardState()
LATE = 10.0


def entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"x")


def replica(
    name: str = "a",
    entries: tuple[LogEntry, ...] = (),
    hard_state: HardState = FRESH,
    membership: Membership = THREE,
    now: float = 0.0,
) -> Replica:
    snapshot = Snapshot(0, 0, membership, b"")
    durable = DurableState(hard_state, snapshot, entries)
    return Replica(name, durable, ReplicaTimings(), random.Random(1), now)


def sent(effects: Iterable[Effect]) -> list[ConsensusMessage]:
    return [e.message for e in effects if isinstance(e, SendMessage)]


def elected(node: Replica, now: float = LATE) -> Replica:
    node.tick(now)
    node.handle(VoteResponse(node.term + 1, "b", True, True), now)
    node.handle(VoteResponse(node.term, "b", True, False), now)
    assert node.role is Role.LEADER
    return node


def accept(node: Replica, follower: str, index: int, at: float) -> None:
    node.handle(AppendResponse(node.term, follower, True, index, at), at)


def vote(node: Replica, request: VoteRequest, now: float) -> bool:
    (answer,) = sent(node.handle(request, now))
    assert isinstance(answer, VoteResponse)
    return answer.granted


class TestElection:
    def test_one_vote_in_a_term(self) -> None:
        node = replica()
        assert vote(node, VoteRequest(1, "b", 0, 0, False), LATE)
        assert not vote(node, VoteRequest(1, "c", 0, 0, False), LATE)
        assert vote(node, VoteRequest(1, "b", 0, 0, False), LATE)

    def test_vote_is_saved_before_it_is_sent(self) -> None:
        effects = replica().handle(VoteRequest(1, "b", 0, 0, False), LATE)
        kinds = [type(effect) for effect in effects]
        assert kinds.index(SendMessage) > kinds.index(SaveHardState)

    def test_pre_vote_changes_nothing(self) -> None:
        node = replica()
        assert vote(node, VoteRequest(5, "b", 0, 0, True), LATE)
        assert node.term == 0

    @pytest.mark.parametrize(
        ("last_term", "last_index", "granted"),
        [(2, 3, True), (2, 2, False), (1, 9, False), (3, 1, True)],
    )
    def test_votes_for_a_log_at_least_as_new(
        self, last_term: int, last_index: int, granted: bool
    ) -> None:
        entries = (entry(1, 1), entry(2, 2), entry(3, 2))
        request = VoteRequest(4, "b", last_index, last_term, False)
        assert vote(replica(entries=entries), request, LATE) is granted

    @pytest.mark.parametrize("pre_vote", [True, False])
    def test_withholds_votes_while_a_leader_may_hold_its_lease(
        self, pre_vote: bool
    ) -> None:
        node = replica()
        node.handle(AppendRequest(1, "b", 0, 0, (), 0, LATE), LATE)
        request = VoteRequest(2, "c", 9, 9, pre_vote)
        assert not sent(node.handle(request, LATE + 0.7))
        assert sent(node.handle(request, LATE + 0.81))

    def test_withholds_votes_after_a_restart(self) -> None:
        node = replica(now=LATE)
        request = VoteRequest(2, "c", 9, 9, False)
        assert not sent(node.handle(request, LATE + 0.7))

    def test_learner_does_not_ask_for_votes(self) -> None:
        node = replica(membership=Membership(("b", "c"), ("a",)))
        assert not node.tick(LATE)


class TestCommit:
    def test_only_entries_of_the_own_term_are_counted(self) -> None:
        node = elected(replica(entries=(entry(1, 1),), hard_state=HardState(1)))
        accept(node, "b", 1, LATE)
        assert node.commit_index == 0
        accept(node, "b", 2, LATE)
        assert node.commit_index == 2

    def test_no_reads_before_an_entry_of_the_own_term_is_committed(self) -> None:
        node = elected(replica(entries=(entry(1, 1),), hard_state=HardState(1)))
        accept(node, "b", 1, LATE)
        assert not node.has_lease(LATE)
        accept(node, "b", 2, LATE)
        assert node.has_lease(LATE)

    def test_conflicting_entries_are_replaced(self) -> None:
        node = replica(entries=(entry(1, 1), entry(2, 1)), hard_state=HardState(1))
        request = AppendRequest(2, "b", 1, 1, (entry(2, 2),), 2, LATE)
        node.handle(request, LATE)
        assert (node.last_index, node.commit_index) == (2, 2)

    def test_snapshot_replaces_a_log_that_is_behind(self) -> None:
        node = replica(entries=(entry(1, 1),), hard_state=HardState(1))
        snapshot = Snapshot(7, 2, THREE, b"state")
        node.handle(SnapshotRequest(2, "b", snapshot, LATE), LATE)
        assert (node.last_index, node.commit_index) == (7, 7)


class TestLease:
    def test_ends_with_the_latest_confirmed_heartbeat(self) -> None:
        node = elected(replica())
        accept(node, "b", 1, LATE)
        assert node.has_lease(LATE + 0.59)
        assert not node.has_lease(LATE + 0.61)

    def test_leader_without_quorum_steps_down(self) -> None:
        node = elected(replica())
        accept(node, "b", 1, LATE)
        node.tick(LATE + 1.5)
        assert node.role is Role.FOLLOWER


class TestMembership:
    def test_learner_votes_only_once_it_has_caught_up(self) -> None:
        node = elected(replica())
        accept(node, "b", 1, LATE)
        node.add_learner("d", LATE)
        accept(node, "b", 2, LATE)
        assert node.membership == Membership(("a", "b", "c"), ("d",))
        accept(node, "d", 2, LATE)
        assert node.membership == Membership(("a", "b", "c", "d"))

    def test_one_change_at_a_time(self) -> None:
        node = elected(replica())
        accept(node, "b", 1, LATE)
        node.add_learner("d", LATE)
        result, _ = node.remove_replica("c", LATE)
        assert result.failure() == "change_in_progress"

    def test_no_change_before_the_own_term_is_committed(self) -> None:
        node = elected(replica())
        result, _ = node.add_learner("d", LATE)
        assert result.failure() == "change_in_progress"

    @pytest.mark.parametrize(
        ("sent_after", "is_reported"), [(0.1, True), (-0.1, False)]
    )
    def test_reports_a_replica_that_lost_entries(
        self, sent_after: float, is_reported: bool
    ) -> None:
        node = elected(replica())
        accept(node, "b", 1, LATE)
        lost = AppendResponse(node.term, "b", False, 0, LATE + sent_after)
        effects = node.handle(lost, LATE + 0.2)
        reported = [e for e in effects if isinstance(e, ReportRegressedReplica)]
        assert bool(reported) is is_reported
