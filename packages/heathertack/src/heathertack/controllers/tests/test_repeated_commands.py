import pytest

from heathertack.bundle import SignedBundle
from heathertack.controllers import (
    CommandSubmitted,
    ControlLogController,
    ProposalsDue,
    ReplyToCommand,
)
from heathertack.controllers.tests.control_cluster import ControlCluster
from heathertack.messages import ControlStatus
from heathertack.state import (
    RESULT_CODEC,
    ApplyBundle,
    BundleAccepted,
    BundleRejected,
    ClaimCall,
    Command,
)

_TEXT = "x" * 300_000
_CLAIM = ClaimCall("school", "k", "portal", "digest", "claim", "e", 1)


def _bundle(version: int, digest: str = "d") -> ApplyBundle:
    return ApplyBundle(version, digest, SignedBundle(_TEXT, "operator", "", _TEXT))


class _Leader:
    """The leader of a cluster, with the replies that it sends."""

    def __init__(self) -> None:
        self.cluster = ControlCluster(3, seed=1)
        self.cluster.run_until_replicated()
        self.name = self.cluster.run_until_leader_elected()
        self.replies: list[ReplyToCommand] = []
        self._carry_out = self.cluster.carry_out
        self.cluster.carry_out = self._record  # type: ignore[method-assign]

    @property
    def log(self) -> ControlLogController:
        log = self.cluster.nodes[self.name].log
        assert log is not None
        return log

    @property
    def log_length(self) -> int:
        return self.log.replica.log_length

    def submit(self, request_id: str, requester: str, command: Command) -> None:
        node = self.cluster.nodes[self.name]
        now = self.cluster.clock(node)
        event = CommandSubmitted(request_id, requester, command, self.cluster.now)
        for due in (event, ProposalsDue()):
            self.cluster.carry_out(node, self.log.handle(due, now))

    def submit_together(self, requester: str, command: Command, *, copies: int) -> None:
        node = self.cluster.nodes[self.name]
        now = self.cluster.clock(node)
        event = CommandSubmitted("r1", requester, command, self.cluster.now)
        for _ in range(copies):
            self.cluster.carry_out(node, self.log.handle(event, now))
        self.cluster.carry_out(node, self.log.handle(ProposalsDue(), now))

    def read_results(self) -> dict[tuple[str, str], object]:
        return {
            (reply.requester, reply.request_id): RESULT_CODEC.decode(
                reply.result
            ).unwrap()
            for reply in self.replies
            if reply.status is ControlStatus.DONE
        }

    def _record(self, node: object, actions: tuple[object, ...]) -> None:
        replies = [a for a in actions if isinstance(a, ReplyToCommand)]
        self.replies.extend(replies)
        others = tuple(a for a in actions if not isinstance(a, ReplyToCommand))
        self._carry_out(node, others)  # type: ignore[arg-type]


@pytest.fixture
def leader() -> _Leader:
    return _Leader()


class TestRepeatedCommands:
    # Guards against an order that is replicated once for each time it is sent, so that
    # its own copies delay its acknowledgement.
    @pytest.mark.parametrize(
        ("command", "requesters"),
        [
            (_bundle(2), (("r1", "a"), ("r1", "a"))),
            (_bundle(2), (("r1", "a"), ("r2", "b"), ("r3", "c"))),
            (_CLAIM, (("r1", "a"), ("r1", "a"), ("r1", "a"))),
        ],
    )
    def test_pending_command_is_appended_once(
        self,
        leader: _Leader,
        command: Command,
        requesters: tuple[tuple[str, str], ...],
    ) -> None:
        before = leader.log_length
        for request_id, requester in requesters:
            leader.submit(request_id, requester, command)
        leader.cluster.run(1.0)
        assert leader.log_length == before + 1
        assert set(leader.read_results()) == {(q, r) for r, q in requesters}

    # Guards against copies that arrive while a sync is slow, and are each appended.
    @pytest.mark.parametrize("command", [_bundle(2), _CLAIM])
    def test_copies_of_one_batch_are_appended_once(
        self, leader: _Leader, command: Command
    ) -> None:
        before = leader.log_length
        requester = "a"
        leader.submit_together(requester, command, copies=5)
        leader.cluster.run(1.0)
        assert leader.log_length == before + 1
        assert set(leader.read_results()) == {(requester, "r1")}

    # Guards against an order that is in force and is appended again by each resend.
    def test_bundle_in_force_is_not_appended_again(self, leader: _Leader) -> None:
        leader.submit("r1", "a", _bundle(2))
        leader.cluster.run(1.0)
        before = leader.log_length
        leader.submit("r2", "b", _bundle(2))
        leader.submit("r3", "c", _bundle(1))
        leader.submit("r4", "c", _bundle(2, "other"))
        assert leader.log_length == before
        results = leader.read_results()
        assert results["b", "r2"] == results["a", "r1"]
        assert isinstance(results["a", "r1"], BundleAccepted)
        assert isinstance(results["c", "r3"], BundleRejected)
        assert isinstance(results["c", "r4"], BundleRejected)

    def test_other_content_of_a_pending_version_is_a_conflict(
        self, leader: _Leader
    ) -> None:
        leader.submit("r1", "a", _bundle(2))
        leader.submit("r2", "b", _bundle(2, "other"))
        leader.cluster.run(1.0)
        results = leader.read_results()
        assert isinstance(results["a", "r1"], BundleAccepted)
        assert isinstance(results["b", "r2"], BundleRejected)

    def test_all_requesters_are_told_that_the_leader_was_replaced(
        self, leader: _Leader
    ) -> None:
        leader.cluster.isolated = {leader.name}
        leader.submit("r1", "a", _bundle(2))
        leader.submit("r2", "b", _bundle(2))
        leader.cluster.run(5.0)
        leader.cluster.isolated = set()
        leader.cluster.run(5.0)
        failed = {r.request_id: r.status for r in leader.replies}
        assert set(failed) == {"r1", "r2"}
        assert ControlStatus.DONE not in failed.values()
