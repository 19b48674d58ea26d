from collections.abc import Iterator

import pytest
from returns.result import Failure, Success

from heathertack.consensus import EntryKind, HardState, LogEntry, Membership, Snapshot
from heathertack.storage import (
    ReplicaStorage,
    StorageIdentity,
    format_folder,
    load_identity,
    open_storage,
)
from heathertack.storage.tests.memory_disk import MemoryDisk

IDENTITY = StorageIdentity("kalamu", "entry-1", "s1")


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, f"payload {index}".encode())


def formatted() -> MemoryDisk:
    disk = MemoryDisk()
    format_folder(disk, IDENTITY, initial_voters=(IDENTITY.replica,))
    return disk


def reopened(disk: MemoryDisk) -> ReplicaStorage:
    return open_storage(disk).unwrap().storage


def held_indexes(disk: MemoryDisk) -> list[int]:
    return [e.log_index for e in open_storage(disk).unwrap().durable.entries]


@pytest.fixture
def disk() -> Iterator[MemoryDisk]:
    yield formatted()


class TestReplicaStorage:
    def test_keeps_what_was_synced(self, disk: MemoryDisk) -> None:
        storage = reopened(disk)
        storage.save_hard_state(HardState(4, "entry-2/x"))
        storage.append((entry(1), entry(2)))
        storage.sync()
        storage.append((entry(3),))
        disk.crash()
        durable = open_storage(disk).unwrap().durable
        assert durable.hard_state == HardState(4, "entry-2/x")
        assert durable.entries == (entry(1), entry(2))

    def test_truncates(self, disk: MemoryDisk) -> None:
        storage = reopened(disk)
        storage.append((entry(1), entry(2), entry(3)))
        storage.truncate(2)
        storage.append((entry(2, 5),))
        storage.sync()
        assert open_storage(disk).unwrap().durable.entries == (entry(1), entry(2, 5))

    def test_snapshot_replaces_older_segments(self, disk: MemoryDisk) -> None:
        storage = reopened(disk)
        storage.append((entry(1), entry(2), entry(3)))
        storage.save_snapshot(Snapshot(2, 1, Membership(("a",)), b"state"))
        durable = open_storage(disk).unwrap().durable
        assert durable.snapshot.data == b"state"
        assert durable.entries == (entry(3),)
        assert len([n for n in disk.list_files() if n.startswith("log-")]) == 1

    @pytest.mark.parametrize("steps", range(1, 6))
    def test_crash_between_the_steps_of_a_snapshot(
        self, disk: MemoryDisk, steps: int
    ) -> None:
        storage = reopened(disk)
        storage.append((entry(1), entry(2), entry(3)))
        storage.sync()
        disk.fail_after(steps)
        try:
            storage.save_snapshot(Snapshot(2, 1, Membership(("a",)), b"state"))
        except OSError:
            disk.crash()
        durable = open_storage(disk).unwrap().durable
        indexes = [e.log_index for e in durable.entries]
        assert (durable.snapshot.log_index, indexes) in ((0, [1, 2, 3]), (2, [3]))

    @pytest.mark.parametrize("kept", [0, 1, 10, 30])
    def test_cuts_a_torn_tail(self, disk: MemoryDisk, kept: int) -> None:
        storage = reopened(disk)
        storage.append((entry(1),))
        storage.sync()
        segment = disk.segment()
        whole_length = len(disk.read(segment) or b"")
        storage.append((entry(2),))
        storage.sync()
        disk.cut(segment, whole_length + kept)
        assert held_indexes(disk) == [1]
        reopened(disk).append((entry(2),))
        assert held_indexes(disk) == [1]

    def test_names_damage_before_the_tail(self, disk: MemoryDisk) -> None:
        storage = reopened(disk)
        storage.append((entry(1),))
        storage.sync()
        offset = len(disk.read(disk.segment()) or b"")
        for index in (2, 3):
            storage.append((entry(index),))
            storage.sync()
        disk.flip(disk.segment(), offset + 20)
        result = open_storage(disk)
        assert isinstance(result, Failure)
        assert result.failure().file == disk.segment()
        assert result.failure().offset == offset

    @pytest.mark.parametrize("name", ["snapshot", "log-00000000000000000000"])
    def test_refuses_a_folder_with_a_missing_file(
        self, disk: MemoryDisk, name: str
    ) -> None:
        disk.delete(name)
        assert isinstance(open_storage(disk), Failure)


class TestIdentity:
    def test_empty_folder_has_none(self) -> None:
        assert load_identity(MemoryDisk(), "kalamu", "entry-1") == Success(None)

    def test_is_kept(self, disk: MemoryDisk) -> None:
        assert load_identity(disk, "kalamu", "entry-1") == Success(IDENTITY)

    @pytest.mark.parametrize(
        ("cluster", "instance"), [("kunjal", "entry-1"), ("kalamu", "entry-2")]
    )
    def test_refuses_a_foreign_folder(
        self, disk: MemoryDisk, cluster: str, instance: str
    ) -> None:
        result = load_identity(disk, cluster, instance)
        assert isinstance(result, Failure)
        assert result.failure().found == "kalamu/entry-1"

    def test_refuses_files_without_an_identity(self, disk: MemoryDisk) -> None:
        disk.delete("identity.json")
        assert isinstance(load_identity(disk, "kalamu", "entry-1"), Failure)
