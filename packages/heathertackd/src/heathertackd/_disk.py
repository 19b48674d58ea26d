"""The data folder on a local file system."""

from __future__ import annotations

import os
from pathlib import Path

_TEMPORARY_SUFFIX = ".new"


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes to an open file."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


class FolderDisk:
    """Files of one folder; implements the ``Disk`` protocol.

    Parameters
    ----------
    folder : Path
        The data folder; created if it does not exist.

    Raises
    ------
    OSError
        If the folder can't be created or written to.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open_files: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)
        probe = folder / ".probe"
        probe.write_bytes(b"")
        probe.unlink()
        self._clean_up()

    def list_files(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""
        names = (entry.name for entry in self._folder.iterdir())
        return tuple(sorted(name for name in names if not name.startswith(".")))

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without syncing it."""
        write_all(self._open(name), data)

    def sync(self, name: str) -> None:
        """Make all earlier appends to a file durable."""
        os.fdatasync(self._open(name))

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically and durably."""
        self._close(name)
        temporary = self._folder / f".{name}{_TEMPORARY_SUFFIX}"
        try:
            with temporary.open("wb") as file:
                write_all(file.fileno(), data)
                os.fsync(file.fileno())
            temporary.replace(self._folder / name)
        except OSError:
            # A full disk has no room for the part that was written.
            temporary.unlink(missing_ok=True)
            raise
        self._sync_folder()

    def delete(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Close all open files."""
        for name in tuple(self._open_files):
            self._close(name)

    def _clean_up(self) -> None:
        """Complete or remove what a process left that was killed meanwhile."""
        for path in self._folder.glob(f".*{_TEMPORARY_SUFFIX}"):
            path.unlink(missing_ok=True)
        # It may not have synced the names of its files either.
        self._sync_folder()

    def _open(self, name: str) -> int:
        descriptor = self._open_files.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self._folder / name, flags, 0o600)
            self._open_files[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
