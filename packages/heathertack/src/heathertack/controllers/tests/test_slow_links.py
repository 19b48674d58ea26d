"""Tests of large entries of the control log over links of limited rate."""

import pytest

from heathertack.controllers.tests.slow_link_cluster import (
    SlowLinkCluster,
    build_command,
)
from heathertack.state import COMMAND_CODEC, ApplyBundle

#: Routes of a command of about 0.7 MB.
ROUTES = 1850
#: Time for which an operator's request waits for a commit.
COMMIT_SECONDS = 3.0
#: Interval at which an instance sends a command again, and number of copies.
RESEND_SECONDS = 0.8
RESENT_COPIES = 4
#: Copies of one command that arrive from as many instances, and further instances.
CASES = [(copies, further) for copies in (1, 2, 8) for further in (56, 66)]


def large_command(*, has_random_names: bool = False) -> ApplyBundle:
    command = build_command(2, ROUTES, has_random_names=has_random_names)
    assert 0.65e6 < len(COMMAND_CODEC.encode(command)) < 0.8e6
    return command


def run_copies(copies: int, further: int, command: ApplyBundle) -> SlowLinkCluster:
    cluster = SlowLinkCluster(further)
    cluster.settle()
    for i in range(copies):
        cluster.submit(f"copy-{i}", f"h{i}", command)
    cluster.run(12.0)
    return cluster


@pytest.mark.parametrize(("copies", "further"), CASES)
class TestCopiesFromSeveralInstances:
    # Guards against heartbeats that wait behind large entries until the lease ends.
    def test_leader_keeps_its_lease(self, copies: int, further: int) -> None:
        cluster = run_copies(copies, further, large_command())
        assert cluster.seconds_without_leader == 0

    # Guards against followers that hear nothing while a large entry is in transit.
    def test_no_election(self, copies: int, further: int) -> None:
        cluster = run_copies(copies, further, large_command())
        assert cluster.term() == 1

    # Guards against an order that is in force before its operator hears of it.
    def test_each_copy_is_answered_in_time(self, copies: int, further: int) -> None:
        cluster = SlowLinkCluster(further)
        cluster.settle()
        start = cluster.now
        for i in range(copies):
            cluster.submit(f"copy-{i}", f"h{i}", large_command())
        cluster.run(12.0)
        late = {
            name: round(at - start, 2)
            for name, at in cluster.answered_at.items()
            if name != "first" and at - start > COMMIT_SECONDS
        }
        assert len(cluster.answered_at) == copies + 1
        assert not late


@pytest.mark.parametrize("further", [56, 66])
class TestChangesThatCompressBadly:
    # Guards against pushes to lease holders that delay the heartbeats.
    def test_no_election(self, further: int) -> None:
        command = large_command(has_random_names=True)
        cluster = run_copies(1, further, command)
        assert (cluster.term(), cluster.refused) == (1, [])


class TestCopiesFromOneInstance:
    # Guards against copies that wait behind each other on the sender's link.
    def test_copies_do_not_delay_each_other(self) -> None:
        cluster = SlowLinkCluster(56)
        cluster.settle()
        command = large_command()
        sent_at: dict[str, float] = {}
        for attempt in range(RESENT_COPIES):
            name = f"copy-{attempt}"
            sent_at[name] = cluster.now
            cluster.submit(name, "h0", command)
            cluster.run(RESEND_SECONDS)
        cluster.run(12.0)
        elapsed = [
            round(cluster.answered_at.get(name, float("inf")) - at, 2)
            for name, at in sent_at.items()
        ]
        assert max(elapsed) <= elapsed[0] + RESEND_SECONDS / 2, elapsed
