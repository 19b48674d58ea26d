from collections.abc import Iterator
from contextlib import suppress

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


def make_entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, f"payload {index}".encode())


def make_formatted_disk() -> MemoryDisk:
    disk = MemoryDisk()
    format_folder(disk, IDENTITY, initial_voters=(IDENTITY.replica,))
    return disk


def reopen(disk: MemoryDisk) -> ReplicaStorage:
    return open_storage(disk).unwrap().storage


def stored_indexes(disk: MemoryDisk) -> list[int]:
    return [e.log_index for e in open_storage(disk).unwrap().durable.entries]


@pytest.fixture
def disk() -> Iterator[MemoryDisk]:
    yield make_formatted_disk()


class TestReplicaStorage:
    def test_keeps_only_synced_changes(self, disk: MemoryDisk) -> None:
        storage = reopen(disk)
        storage.save_hard_state(HardState(4, "entry-2/x"))
        storage.append((make_entry(1), make_entry(2)))
        storage.sync()
        storage.append((make_entry(3),))
        disk.crash()
        durable = open_storage(disk).unwrap().durable
        assert durable.hard_state == HardState(4, "entry-2/x")
        assert durable.entries == (make_entry(1), make_entry(2))

    def test_truncates_entries(self, disk: MemoryDisk) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1), make_entry(2), make_entry(3)))
        storage.truncate(2)
        storage.append((make_entry(2, 5),))
        storage.sync()
        assert open_storage(disk).unwrap().durable.entries == (
            make_entry(1),
            make_entry(2, 5),
        )

    def test_snapshot_replaces_older_segments(self, disk: MemoryDisk) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1), make_entry(2), make_entry(3)))
        storage.save_snapshot(Snapshot(2, 1, Membership(("a",)), b"state"))
        durable = open_storage(disk).unwrap().durable
        assert durable.snapshot.data == b"state"
        assert durable.entries == (make_entry(3),)
        assert len([n for n in disk.list_files() if n.startswith("log-")]) == 1

    @pytest.mark.parametrize("steps", range(1, 6))
    def test_recovers_from_crash_while_saving_snapshot(
        self, disk: MemoryDisk, steps: int
    ) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1), make_entry(2), make_entry(3)))
        storage.sync()
        disk.fail_after(steps)
        with suppress(OSError):
            storage.save_snapshot(Snapshot(2, 1, Membership(("a",)), b"state"))
        disk.crash()
        durable = open_storage(disk).unwrap().durable
        indexes = [e.log_index for e in durable.entries]
        assert (durable.snapshot.log_index, indexes) in ((0, [1, 2, 3]), (2, [3]))

    # Guards against an entry that a restarted process vouches for, although only its
    # killed predecessor wrote it and nobody synced it (LOST).
    def test_what_was_opened_survives_a_loss_of_power(self, disk: MemoryDisk) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1),))
        disk.fail_after(0)
        with pytest.raises(OSError, match="disk failure"):
            storage.sync()
        disk.recover()
        assert stored_indexes(disk) == [1]
        disk.crash()
        assert stored_indexes(disk) == [1]

    @pytest.mark.parametrize("kept", [0, 1, 10, 30])
    def test_truncates_torn_tail(self, disk: MemoryDisk, kept: int) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1),))
        storage.sync()
        segment = disk.last_segment()
        valid_length = len(disk.read(segment) or b"")
        storage.append((make_entry(2),))
        storage.sync()
        disk.truncate(segment, valid_length + kept)
        assert stored_indexes(disk) == [1]
        reopen(disk).append((make_entry(2),))
        assert stored_indexes(disk) == [1]

    def test_reports_offset_of_corruption_before_tail(self, disk: MemoryDisk) -> None:
        storage = reopen(disk)
        storage.append((make_entry(1),))
        storage.sync()
        offset = len(disk.read(disk.last_segment()) or b"")
        for index in (2, 3):
            storage.append((make_entry(index),))
            storage.sync()
        disk.flip_bit(disk.last_segment(), offset + 20)
        result = open_storage(disk)
        assert isinstance(result, Failure)
        assert result.failure().file == disk.last_segment()
        assert result.failure().offset == offset

    @pytest.mark.parametrize("name", ["snapshot", "log-00000000000000000000"])
    def test_rejects_folder_with_missing_file(
        self, disk: MemoryDisk, name: str
    ) -> None:
        disk.delete(name)
        assert isinstance(open_storage(disk), Failure)


class TestIdentity:
    def test_empty_folder_has_no_identity(self) -> None:
        assert load_identity(MemoryDisk(), "kalamu", "entry-1") == Success(None)

    def test_loads_stored_identity(self, disk: MemoryDisk) -> None:
        assert load_identity(disk, "kalamu", "entry-1") == Success(IDENTITY)

    @pytest.mark.parametrize(
        ("cluster", "instance"), [("kunjal", "entry-1"), ("kalamu", "entry-2")]
    )
    def test_rejects_folder_of_another_cluster_or_instance(
        self, disk: MemoryDisk, cluster: str, instance: str
    ) -> None:
        result = load_identity(disk, cluster, instance)
        assert isinstance(result, Failure)
        assert result.failure().found == "kalamu/entry-1"

    # Guards against a folder that no start can use, since the first one was killed.
    @pytest.mark.parametrize("steps", range(8))
    def test_formatting_that_was_interrupted_is_repeated(self, steps: int) -> None:
        disk = MemoryDisk()
        disk.fail_after(steps)
        with suppress(OSError):
            format_folder(disk, IDENTITY)
        disk.crash()
        loaded = load_identity(disk, IDENTITY.cluster, IDENTITY.instance).unwrap()
        if loaded is None:
            format_folder(disk, IDENTITY)
        assert load_identity(disk, "kalamu", "entry-1") == Success(IDENTITY)
        open_storage(disk).unwrap()

    def test_rejects_files_without_identity(self, disk: MemoryDisk) -> None:
        disk.delete("identity.json")
        assert isinstance(load_identity(disk, "kalamu", "entry-1"), Failure)
