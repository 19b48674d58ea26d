from itertools import permutations

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from heathertack.controllers import (
    CommandSubmitted,
    ProposalsDue,
    ReportEntryCommitted,
    ReportEntryStored,
)
from heathertack.controllers.tests.control_cluster import ControlCluster
from heathertack.state import ClaimCall

INSTANCE_NAMES = st.sampled_from("abc")


class ControlLogMachine(RuleBasedStateMachine):
    """Loses, reorders and duplicates messages, with one faulty instance at a time."""

    @initialize(seed=st.integers(0, 2**16))
    def form_cluster(self, seed: int) -> None:
        self.cluster = ControlCluster(3, seed)
        self.cluster.run_until_replicated()
        self.key_count = 0

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5]), loss=st.floats(0, 0.4))
    def run(self, seconds: float, loss: float) -> None:
        self.cluster.loss_rate = loss
        self.cluster.run(seconds)
        self.cluster.loss_rate = 0.0

    @rule(count=st.integers(1, 5))
    def submit(self, count: int) -> None:
        for _ in range(count):
            self.key_count += 1
            self.cluster.submit(f"key-{self.key_count}")

    @rule(name=INSTANCE_NAMES)
    def isolate(self, name: str) -> None:
        self.cluster.isolated = {name}

    @rule(ends=st.sampled_from(["ab", "ac", "bc"]))
    def cut_link(self, ends: str) -> None:
        self.cluster.cut_links = {frozenset(ends)}

    @rule()
    def heal_network(self) -> None:
        self.cluster.isolated = set()
        self.cluster.cut_links = set()

    @rule(name=INSTANCE_NAMES)
    def crash(self, name: str) -> None:
        self.cluster.crash(name)

    @rule(name=INSTANCE_NAMES)
    def restart(self, name: str) -> None:
        if self.cluster.nodes[name].log is None:
            self.cluster.start(name)

    @rule(name=INSTANCE_NAMES)
    def freeze(self, name: str) -> None:
        self.cluster.nodes[name].frozen = True

    @rule(name=INSTANCE_NAMES)
    def thaw(self, name: str) -> None:
        self.cluster.nodes[name].frozen = False

    @precondition(lambda self: self.cluster.is_replicated())
    @rule(name=INSTANCE_NAMES, restarts=st.booleans())
    def wipe(self, name: str, restarts: bool) -> None:
        self.cluster.wipe(name)
        if restarts:
            self.cluster.start(name)

    @precondition(lambda self: self.cluster.is_replicated())
    @rule(name=INSTANCE_NAMES)
    def restore_old_disk_briefly(self, name: str) -> None:
        if self.cluster.nodes[name].old_disk is not None:
            self.cluster.swap_disks(name)
            self.cluster.start(name)
            self.cluster.run(1.0)
            self.cluster.swap_disks(name)
            self.cluster.start(name)

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.heal_network()
        for name, node in self.cluster.nodes.items():
            node.frozen = False
            if node.log is None:
                self.cluster.start(name)
        self.cluster.run_until_replicated()
        self.cluster.check()


ControlLogMachine.TestCase.settings = settings(stateful_step_count=30)
TestControlLogUnderFaults = ControlLogMachine.TestCase


@pytest.fixture
def cluster() -> ControlCluster:
    formed = ControlCluster(3, seed=1)
    formed.run_until_replicated()
    return formed


class TestLeadership:
    def test_new_leader_after_a_crash(self, cluster: ControlCluster) -> None:
        first = cluster.run_until_leader_elected()
        cluster.submit("k1")
        cluster.run(0.5)
        cluster.crash(first)
        second = cluster.run_until_leader_elected(3.0)
        assert second != first
        assert cluster.acknowledged == {"k1"}

    def test_leader_without_quorum_serves_no_reads(
        self, cluster: ControlCluster
    ) -> None:
        first = cluster.run_until_leader_elected()
        cluster.isolated = {first}
        cluster.run(0.65)
        assert not cluster.may_lead(cluster.nodes[first])

    def test_frozen_leader_does_not_lead_after_it_resumes(
        self, cluster: ControlCluster
    ) -> None:
        first = cluster.run_until_leader_elected()
        cluster.nodes[first].frozen = True
        second = cluster.run_until_leader_elected(5.0)
        cluster.submit("k1")
        cluster.run(0.5)
        cluster.nodes[first].frozen = False
        assert not cluster.may_lead(cluster.nodes[first])
        cluster.run(1.0)
        assert cluster.leader() == second


class TestStorageIdentity:
    @pytest.mark.parametrize(("lost", "then"), list(permutations("abc", 2)))
    def test_second_loss_right_after_a_repair(
        self, cluster: ControlCluster, lost: str, then: str
    ) -> None:
        cluster.run_until_leader_elected()
        cluster.submit("k1")
        cluster.run(0.5)
        assert cluster.acknowledged == {"k1"}
        cluster.wipe(lost)
        cluster.start(lost)
        cluster.run_until_replicated()
        cluster.wipe(then)
        cluster.start(then)
        cluster.run_until_replicated()
        cluster.check_acknowledged(cluster.run_until_leader_elected())

    @pytest.mark.parametrize("lost", "abc")
    def test_wiped_replica_does_not_vote_under_its_old_identity(
        self, cluster: ControlCluster, lost: str
    ) -> None:
        cluster.run_until_leader_elected()
        others = [name for name in "abc" if name != lost]
        cluster.crash(others[0])
        cluster.crash(others[1])
        cluster.wipe(lost)
        cluster.start(lost)
        cluster.run(5.0)
        assert cluster.leader() is None
        cluster.start(others[0])
        cluster.run(5.0)
        assert cluster.leader() is None

    def test_old_disk_is_barred(self, cluster: ControlCluster) -> None:
        cluster.wipe("b")
        cluster.start("b")
        cluster.run_until_replicated()
        cluster.swap_disks("b")
        cluster.start("b")
        cluster.run(4.0)
        log = cluster.nodes[cluster.run_until_leader_elected()].log
        assert log is not None
        assert "b/s1" not in log.replica.membership.replicas


class TestReportsOfLargeEntries:
    @pytest.mark.parametrize(("size", "reports"), [(1024, 0), (128 * 1024, 1)])
    def test_only_large_entries_are_reported(self, size: int, reports: int) -> None:
        cluster = ControlCluster(1)
        log = cluster.nodes[cluster.run_until_leader_elected()].log
        assert log is not None
        now = cluster.clock(cluster.nodes["a"])
        command = ClaimCall("school", "k" * size, "portal", "digest", "c", "e", 1)
        log.handle(CommandSubmitted("request", "", command, now), now)
        actions = log.handle(ProposalsDue(), now)
        stored = [a for a in actions if isinstance(a, ReportEntryStored)]
        committed = [a for a in actions if isinstance(a, ReportEntryCommitted)]
        assert (len(stored), len(committed)) == (reports, reports)
        assert all(report.size > size and report.is_leader for report in stored)
