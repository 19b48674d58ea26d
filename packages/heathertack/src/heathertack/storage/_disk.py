"""Access to the files of a data folder."""

from typing import Protocol


class Disk(Protocol):
    """Flat folder of files; appended data is durable only after a sync."""

    def list_files(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or ``None`` if it does not exist."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without syncing it."""
        ...

    def sync(self, name: str) -> None:
        """Make all earlier appends to a file durable."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Set the content of a file atomically and durably."""
        ...

    def delete(self, name: str) -> None:
        """Remove a file."""
        ...

    def close(self) -> None:
        """Release what the use of the files holds; they may be used again later."""
        ...
