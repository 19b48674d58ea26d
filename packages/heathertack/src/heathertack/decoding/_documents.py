"""Decoding of JSON and MessagePack with errors of one type."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from heathertack.decoding._errors import DecodingError

#: Maximum nesting of a document that is kept as it is, without a schema.
MAX_DEPTH = 64

Shape = TypeVar("Shape")


def decode_json(
    where: str, data: bytes | str | msgspec.Raw, shape: type[Shape]
) -> Result[Shape, DecodingError]:
    """Decode JSON.

    Parameters
    ----------
    where : str
        Name of the document, for the error.
    data : bytes, str or msgspec.Raw
        The document.
    shape : type
        Type that it must have.
    """
    try:
        return Success(msgspec.json.decode(data, type=shape))
    except (ValueError, OverflowError, RecursionError) as error:
        return Failure(_describe(where, error, "JSON"))


def decode_msgpack(
    where: str, data: bytes | msgspec.Raw, decoder: msgspec.msgpack.Decoder[Shape]
) -> Result[Shape, DecodingError]:
    """Decode MessagePack with the decoder of a type."""
    try:
        return Success(decoder.decode(data))
    except (ValueError, OverflowError, RecursionError) as error:
        return Failure(_describe(where, error, "MessagePack"))


def check_depth(where: str, value: object) -> Result[None, DecodingError]:
    """Check that a decoded document is not nested too deeply to be encoded again."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        nested: list[object] = []
        for item in level:
            if isinstance(item, dict):
                nested.extend(item.values())
            elif isinstance(item, list):
                nested.extend(item)
        if not nested:
            return Success(None)
        level = nested
    return Failure(
        DecodingError(where, "a deeper nesting", f"at most {MAX_DEPTH} levels")
    )


def _describe(where: str, error: Exception, kind: str) -> DecodingError:
    if isinstance(error, RecursionError):
        return DecodingError(where, "a deeper nesting", "values that can be read")
    reason, _, path = str(error).partition(" - at `$")
    place = f"{where}{path.rstrip('`')}"
    return DecodingError(place, reason, f"{kind} of the documented form")
