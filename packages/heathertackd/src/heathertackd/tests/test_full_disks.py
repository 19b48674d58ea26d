"""Data folders on disks that refuse writes for some time."""

import errno
import os
from pathlib import Path

import pytest

from heathertack.messages import ControlStatus
from heathertack.storage import format_folder
from heathertackd import _control_log_runner, _disk
from heathertackd._disk import FolderDisk
from heathertackd.tests.test_control_log_runner import (
    IDENTITY,
    FaultyDisk,
    RunningLog,
    run_log,
)

REFUSED_WRITES = 8


class DiskSpace:
    """Refuses writes to data folders after half of their bytes, while it is full."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_full = False
        self.refused_count = 0
        self._write_all = _disk.write_all
        monkeypatch.setattr(_disk, "write_all", self._write)

    def _write(self, descriptor: int, data: bytes) -> None:
        if self.is_full:
            self.refused_count += 1
            self._write_all(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on the device")
        self._write_all(descriptor, data)


class FolderLog(RunningLog):
    """A running control log in a folder."""

    def __init__(self, disk: FaultyDisk, folder: Path) -> None:
        self._folder = folder
        super().__init__(disk)

    def _open_disk(self) -> FolderDisk:
        return FolderDisk(self._folder)


@pytest.fixture
def space(monkeypatch: pytest.MonkeyPatch) -> DiskSpace:
    monkeypatch.setattr(_control_log_runner, "_REOPEN_DELAY_SECONDS", 0.01)
    return DiskSpace(monkeypatch)


def list_open_files(folder: Path) -> list[str]:
    """Return the open files of this process that are in a folder."""
    links = Path("/proc/self/fd").iterdir()
    targets = [os.readlink(link) for link in links if link.is_symlink()]
    return [target for target in targets if target.startswith(str(folder))]


def list_hidden_files(folder: Path) -> list[str]:
    return [path.name for path in folder.iterdir() if path.name.startswith(".")]


class TestFullDisks:
    # Guards against a process that runs out of descriptors, or of disk, long after the
    # disk has room again (Acks, CONFIG).
    async def test_refused_writes_leave_nothing_behind(
        self, tmp_path: Path, space: DiskSpace
    ) -> None:
        format_folder(
            FolderDisk(tmp_path), IDENTITY, initial_voters=(IDENTITY.replica,)
        )
        async with run_log(lambda disk: FolderLog(disk, tmp_path)) as log:
            log.submit("before")
            await log.wait_for(lambda: "before" in log.replies)
            files = len(list_open_files(tmp_path))
            space.is_full = True
            log.submit("refused")
            await log.wait_for(lambda: space.refused_count >= REFUSED_WRITES)
            assert log.replies.get("refused") is not ControlStatus.DONE
            space.is_full = False
            await log.wait_for(lambda: log.is_leader)
            log.submit("after")
            await log.wait_for(lambda: log.replies.get("after") is ControlStatus.DONE)
            assert {"before", "after"} <= log.draining
            assert len(list_open_files(tmp_path)) == files
            assert list_hidden_files(tmp_path) == []

    def test_refused_replacement_leaves_the_file_and_no_other(
        self, tmp_path: Path, space: DiskSpace
    ) -> None:
        disk = FolderDisk(tmp_path)
        disk.replace("snapshot", b"old")
        space.is_full = True
        with pytest.raises(OSError, match="no space"):
            disk.replace("snapshot", b"new" * 1000)
        assert disk.read("snapshot") == b"old"
        assert list_hidden_files(tmp_path) == []

    def test_remains_of_a_killed_process_are_removed(self, tmp_path: Path) -> None:
        (tmp_path / ".log-7.new").write_bytes(b"part")
        FolderDisk(tmp_path)
        assert list_hidden_files(tmp_path) == []
