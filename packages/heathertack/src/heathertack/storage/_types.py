"""Errors of the storage layer."""

from typing import NamedTuple


class StorageError(NamedTuple):
    """Error in a data folder that prevents its use."""

    #: File within the data folder.
    file: str
    #: Offset in the file, in bytes.
    offset: int
    #: What was found.
    found: str
    #: What was expected.
    expected: str

    def __str__(self) -> str:
        location = f"{self.file} at byte {self.offset}"
        return f"{location}: found {self.found}, expected {self.expected}"
