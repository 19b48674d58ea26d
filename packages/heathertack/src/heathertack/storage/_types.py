"""Errors of the storage layer."""

from typing import NamedTuple


class StorageError(NamedTuple):
    """A data folder that can't be used."""

    #: File within the data folder.
    file: str
    #: Offset in the file, bytes.
    offset: int
    #: What was found.
    found: str
    #: What was expected.
    expected: str

    def __str__(self) -> str:
        place = f"{self.file} at byte {self.offset}"
        return f"{place}: found {self.found}, expected {self.expected}"
