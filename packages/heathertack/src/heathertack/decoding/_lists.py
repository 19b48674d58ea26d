"""Lists whose entries come from several writers."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from heathertack.decoding._documents import decode_json
from heathertack.decoding._errors import DecodingError

_STRING_OR_BRACKET = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_NULL = b"null"
_CLOSING = {b"[": b"]", b"{": b"}"}

Shape = TypeVar("Shape")


class SplitList(NamedTuple):
    """A document with a list whose entries are not decoded."""

    #: JSON of each entry.
    entries: tuple[msgspec.Raw, ...]
    #: JSON of the other fields of the document.
    fields: dict[str, msgspec.Raw]

    def decode_field(
        self, where: str, name: str, shape: type[Shape]
    ) -> Result[Shape | None, DecodingError]:
        """Decode another field of the document; ``None`` if it is absent or null."""
        raw = self.fields.get(name)
        if raw is None or bytes(raw) == _NULL:
            return Success(None)
        return decode_json(f"{where}.{name}", raw, shape)


def decode_entries(
    where: str, data: bytes, name: str
) -> Result[SplitList, DecodingError]:
    """Split a document into the entries of its list and its other fields.

    An entry that is not JSON, or nested too deeply, does not affect the others as long
    as its quotes and brackets are balanced.

    Parameters
    ----------
    where : str
        Name of the document, for the error.
    data : bytes
        JSON object.
    name : str
        Field that holds the list.
    """
    decoded = decode_json(where, data, dict[str, msgspec.Raw])
    if isinstance(decoded, Success):
        fields = decoded.unwrap()
    else:
        parts = _split(data, b"{")
        if parts is None:
            return Failure(decoded.failure())
        fields = dict(_read_fields(parts))
    listed = fields.pop(name, None)
    if listed is None:
        return Failure(DecodingError(where, "no list", f"a field {name!r}"))
    items = decode_json(f"{where}.{name}", listed, list[msgspec.Raw])
    if isinstance(items, Success):
        return Success(SplitList(tuple(items.unwrap()), fields))
    split = _split(bytes(listed), b"[")
    if split is None:
        return Failure(items.failure())
    return Success(SplitList(tuple(map(msgspec.Raw, split)), fields))


def _split(data: bytes, opening: bytes) -> list[bytes] | None:
    """Return the parts of an array or object, ``None`` without balanced brackets.

    The parts are found by counting brackets, so that nothing in them must be valid.
    """
    text = data.strip()
    if text[:1] != opening:
        return None
    parts: list[bytes] = []
    awaited: list[bytes] = []
    start = 1
    for found in _STRING_OR_BRACKET.finditer(text):
        token = found.group()
        if token in _CLOSING:
            awaited.append(_CLOSING[token])
        elif token in _CLOSING.values():
            if token != awaited.pop():
                return None
            if not awaited:
                parts.append(text[start : found.start()].strip())
                is_end = found.end() == len(text)
                return [part for part in parts if part] if is_end else None
        elif token == b"," and len(awaited) == 1:
            parts.append(text[start : found.start()].strip())
            start = found.end()
    return None


def _read_fields(parts: list[bytes]) -> Iterator[tuple[str, msgspec.Raw]]:
    for part in parts:
        found = _STRING_OR_BRACKET.match(part)
        if found is None:
            continue
        key = decode_json("", found.group(), str)
        rest = part[found.end() :].lstrip()
        if isinstance(key, Success) and rest[:1] == b":":
            yield key.unwrap(), msgspec.Raw(rest[1:].strip())
