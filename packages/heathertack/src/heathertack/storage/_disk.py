"""Access to the files of a data folder."""

from typing import Protocol


class Disk(Protocol):
    """Flat folder of files. A write lasts only once it is synced."""

    def list_files(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` where there is none."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file without syncing it."""
        ...

    def sync(self, name: str) -> None:
        """Make all earlier appends to a file last."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Set the content of a file, atomically and lasting."""
        ...

    def delete(self, name: str) -> None:
        """Remove a file."""
        ...
