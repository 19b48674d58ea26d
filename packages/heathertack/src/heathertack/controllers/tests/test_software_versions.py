"""Distribution of software versions, and placement of streams that must keep theirs."""

import pytest

from heathertack.blackboard import TARGET_VERSIONS
from heathertack.controllers import (
    LeaseDue,
    LeaseGrantReceived,
    LeaseRequested,
    PlatformTargetsListed,
    SendToPeer,
    TargetCapacity,
    TargetLeavingReported,
    TargetVersionsReceived,
    can_copy,
    find_version,
    has_version,
    list_incompatible_targets,
)
from heathertack.controllers.tests.test_admission import Group, request
from heathertack.controllers.tests.test_leases import Holder, Leader, target_record
from heathertack.controllers.tests.test_moves import moving_request
from heathertack.messages import LeaseGrant, LeaseRequest, TargetVersion, TargetVersions

VERSIONS = {"e1": "v1", "e2": "v2"}
TARGETS_LISTED = tuple(target_record(name=name) for name in VERSIONS)


class Published:
    """One leader and one instance; messages with versions may be lost."""

    def __init__(self) -> None:
        self.leader = Leader("p")
        self.leader.lead(1, until=1000.0)
        self.holder = Holder("h", 1, ("p",))
        self.loses_versions = False

    @property
    def versions(self) -> dict[str, str]:
        published = self.holder.board.read(TARGET_VERSIONS)
        return dict(published.items())

    def list_targets(self, versions: dict[str, str], now: float) -> None:
        listed = PlatformTargetsListed(
            tuple(target_record(name=name) for name in versions), versions
        )
        self.deliver(self.leader.grantor.handle(listed, now), now)

    def leave(self, name: str, now: float) -> None:
        reported = TargetLeavingReported(name)
        self.deliver(self.leader.grantor.handle(reported, now), now)

    def renew(self, now: float) -> None:
        for action in self.holder.controller.handle(LeaseDue(), now):
            if isinstance(action.message, LeaseRequest):
                asked = LeaseRequested(action.message)
                self.deliver(self.leader.grantor.handle(asked, now), now)

    def deliver(self, actions: tuple[object, ...], now: float) -> None:
        for action in actions:
            message = action.message if isinstance(action, SendToPeer) else None
            if isinstance(message, TargetVersions) and not self.loses_versions:
                received = TargetVersionsReceived(message)
                self.holder.controller.handle(received, now)
            elif isinstance(message, LeaseGrant):
                self.holder.controller.handle(LeaseGrantReceived(message), now)


class TestPublishedVersions:
    def test_versions_arrive_with_the_targets(self) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.renew(0.1)
        assert published.versions == VERSIONS

    # Guards against an engine that restarts under its name with other software.
    def test_changed_version_of_a_known_target_is_pushed(self) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.renew(0.1)
        published.list_targets({**VERSIONS, "e1": "v2"}, 0.2)
        assert published.versions == {"e1": "v2", "e2": "v2"}

    # Guards against an instance that never learns a version since one message was lost.
    def test_lost_versions_are_requested_again(self) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.renew(0.1)
        for now in (2.1, 2.6):  # settled, so that the leader sends changes only
            published.renew(now)
        published.loses_versions = True
        published.list_targets({**VERSIONS, "e3": "v3"}, 2.7)
        board = published.holder.board
        assert find_version(board, "e3") is None
        assert list_incompatible_targets(board, "tutor", "v1") == ("e2", "e3")
        published.renew(3.2)
        published.loses_versions = False
        assert find_version(board, "e3") is None
        for step in range(10):
            published.renew(5.3 + step)
        assert published.versions == {**VERSIONS, "e3": "v3"}

    # Guards against an instance that takes all targets for alike after a restart, since
    # the only message with their versions was lost.
    @pytest.mark.parametrize("restarted_at", [0.1, 20.0])
    def test_lost_first_versions_are_requested_again(self, restarted_at: float) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.loses_versions = True
        published.renew(restarted_at)
        published.loses_versions = False
        for step in range(1, 11):
            published.renew(restarted_at + step * 0.5)
        assert published.versions == VERSIONS

    def test_versions_of_removed_targets_are_forgotten(self) -> None:
        published = Published()
        for number in range(50):
            published.list_targets({f"e{number}": "v1"}, float(number))
            published.renew(number + 0.5)
        published.leader.lead(2, until=1000.0)
        published.list_targets({"e50": "v1"}, 100.0)
        for step in range(10):
            published.renew(101.0 + step)
        assert published.versions == {"e50": "v1"}

    # Guards against streams that can't continue anywhere where the platform names no
    # versions.
    def test_all_targets_are_compatible_without_versions(self) -> None:
        published = Published()
        published.list_targets({"e1": "", "e2": ""}, 0.0)
        published.renew(0.1)
        board = published.holder.board
        assert published.versions == {"e1": "", "e2": ""}
        assert list_incompatible_targets(board, "tutor", "") == ()
        assert can_copy(board, "e1", "e2")
        assert has_version(board, "tutor", "")

    # Guards against an instance that has the targets and not yet their versions, and
    # takes all of them for one version. An older build, which publishes none, looks the
    # same, and its targets may be of several versions too.
    @pytest.mark.parametrize("versions", [VERSIONS, {"e1": "", "e2": ""}])
    def test_no_targets_are_compatible_before_the_versions(
        self, versions: dict[str, str]
    ) -> None:
        published = Published()
        published.loses_versions = True
        published.list_targets(versions, 0.0)
        published.renew(0.1)
        board = published.holder.board
        assert published.versions == {}
        assert set(list_incompatible_targets(board, "tutor", "")) == {"e1", "e2"}
        assert not can_copy(board, "e1", "e2")
        assert not has_version(board, "tutor", "")
        assert find_version(board, "e1") is None

    # Guards against the message of a former leader that arrives after that of the next
    # one, before its grant.
    def test_versions_of_a_former_leader_are_ignored(self) -> None:
        holder = Published().holder
        for term, version in ((2, "v2"), (1, "v1")):
            received = TargetVersions(term, (TargetVersion("e1", version),))
            holder.controller.handle(TargetVersionsReceived(received), 0.0)
        assert find_version(holder.board, "e1") == "v2"

    # Guards against a target that starts again under its name with other software,
    # while the message that says so is lost: its old version would be believed on.
    @pytest.mark.parametrize("is_seen_leaving", [True, False])
    def test_lost_changed_version_is_requested_again(
        self, is_seen_leaving: bool
    ) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.renew(0.1)
        published.loses_versions = True
        if is_seen_leaving:
            published.leave("e1", 0.2)
        published.list_targets({**VERSIONS, "e1": "v2"}, 0.3)
        board = published.holder.board
        assert find_version(board, "e1") is None
        published.loses_versions = False
        for step in range(1, 6):
            published.renew(0.3 + step)
        assert find_version(board, "e1") == "v2"

    # Guards against a version that is forgotten when the state of its target changes.
    def test_change_of_a_target_brings_its_version(self) -> None:
        published = Published()
        published.list_targets(VERSIONS, 0.0)
        published.renew(0.1)
        published.leave("e1", 0.2)
        assert published.versions == VERSIONS


def build_group(versions: dict[str, str | None]) -> Group:
    group = Group(engines=0)
    capacities = {name: TargetCapacity(10_000, 0, "a") for name in versions}
    group.group.set_targets(capacities)
    group.group.set_versions(versions)
    return group


class TestPlacement:
    # Guards against a stream that moves to a target of another software version.
    @pytest.mark.parametrize(
        ("versions", "expected"),
        [
            ({"e0": "v1", "e1": "v2", "e2": "v1"}, "e2"),
            ({"e0": "v1", "e1": "v2", "e2": "v2"}, ""),
            ({"e0": "v1", "e1": None, "e2": "v2"}, ""),
            ({"e0": None, "e1": None, "e2": None}, ""),
        ],
    )
    def test_running_stream_moves_within_its_version(
        self, versions: dict[str, str | None], expected: str
    ) -> None:
        group = build_group(versions)
        assert group.ask(moving_request("m")) == expected

    # Guards against a backup that can't be continued from.
    @pytest.mark.parametrize(
        ("versions", "expected"),
        [
            ({"e0": "v1", "e1": "v2", "e2": "v1", "e3": "v2"}, {"e0": "e2"}),
            ({"e0": "v1", "e1": "v2"}, {"e0": ""}),
            ({"e0": "v1", "e1": None}, {"e0": ""}),
        ],
    )
    def test_backup_has_the_version_of_its_stream(
        self, versions: dict[str, str | None], expected: dict[str, str]
    ) -> None:
        group = build_group(versions)
        others = tuple(name for name in versions if name not in expected)
        asked = request("r", excluded=others)._replace(needs_backup=True)
        target = group.ask(asked)
        assert target is not None
        assert {target: getattr(group.replies["r"], "backup", "")} == expected
