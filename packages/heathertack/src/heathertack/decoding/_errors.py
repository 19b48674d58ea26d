"""Error for a value that is outside its bounds."""

from __future__ import annotations

from typing import NamedTuple

#: A longer excerpt of an invalid value is cut off.
_MAX_EXCERPT_CHARACTERS = 80


class DecodingError(NamedTuple):
    """Why a value from outside can't be used."""

    #: Place of the value: a path in a document, or the name of a header.
    where: str
    #: Beginning of the value, or what is wrong with it.
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: found {self.found}, expected {self.expected}"


def describe_value(value: object) -> str:
    """Return the beginning of a value, on one line."""
    text = value if isinstance(value, str) else f"a value of type {type(value)!r}"
    excerpt = repr(text[:_MAX_EXCERPT_CHARACTERS])
    return f"{excerpt}..." if len(text) > _MAX_EXCERPT_CHARACTERS else excerpt
