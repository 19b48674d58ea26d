"""Differences between two bundles."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from heathertack.bundle._model import Bundle
from heathertack.decoding import DecodingError, decode_msgpack

_MAX_UNPACKED_BYTES = 64 * 1024 * 1024

Shape = TypeVar("Shape")


class BundleChange(NamedTuple):
    """One value that differs between two bundles."""

    #: Keys from the root of the bundle to the value.
    path: tuple[str, ...]
    #: Value in the older bundle, ``None`` where it is absent.
    before: Any
    #: Value in the newer bundle, ``None`` where it is absent.
    after: Any


_BUNDLE_DECODER = msgspec.msgpack.Decoder(Bundle)
_CHANGES_DECODER = msgspec.msgpack.Decoder(tuple[BundleChange, ...])


def compare_bundles(before: Bundle, after: Bundle) -> tuple[BundleChange, ...]:
    """Return every leaf value that differs, ordered by path."""
    return tuple(_compare((), before, after))


def apply_changes(
    bundle: Bundle, changes: tuple[BundleChange, ...]
) -> Result[Bundle, DecodingError]:
    """Return a copy of a bundle with the changes applied, if they fit it."""
    values = tuple((change.path, change.after) for change in changes)
    try:
        return Success(msgspec.convert(_merge(bundle, values), Bundle))
    except (TypeError, ValueError, RecursionError) as error:
        expected = "changes that fit the bundle"
        return Failure(DecodingError("changes", str(error), expected))


def digest_content(bundle: Bundle) -> str:
    """Return the SHA-256 of a bundle in its canonical form, hexadecimal."""
    return hashlib.sha256(canonical_text(bundle).encode()).hexdigest()


def canonical_text(bundle: Bundle) -> str:
    """Return a bundle as JSON with sorted keys and without comments."""
    return msgspec.json.encode(bundle, order="deterministic").decode()


def read_canonical(text: str) -> Bundle:
    """Decode canonical text without checking it; it was checked on acceptance."""
    return msgspec.json.decode(text, type=Bundle)


def pack_bundle(bundle: Bundle) -> bytes:
    """Encode and compress a bundle."""
    return zlib.compress(msgspec.msgpack.encode(bundle), level=1)


def unpack_bundle(data: bytes) -> Result[Bundle, DecodingError]:
    """Return the bundle that :func:`pack_bundle` encoded."""
    return _unpack("bundle", data, _BUNDLE_DECODER)


def pack_changes(changes: tuple[BundleChange, ...]) -> bytes:
    """Encode and compress changes."""
    return zlib.compress(msgspec.msgpack.encode(changes))


def unpack_changes(data: bytes) -> Result[tuple[BundleChange, ...], DecodingError]:
    """Return the changes that :func:`pack_changes` encoded."""
    return _unpack("changes", data, _CHANGES_DECODER)


def _unpack(
    where: str, data: bytes, decoder: msgspec.msgpack.Decoder[Shape]
) -> Result[Shape, DecodingError]:
    unpacker = zlib.decompressobj()
    try:
        encoded = unpacker.decompress(data, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        return Failure(DecodingError(where, str(error), "compressed data"))
    if not unpacker.eof:
        expected = f"at most {_MAX_UNPACKED_BYTES} bytes, complete"
        return Failure(DecodingError(where, "incomplete data", expected))
    return decode_msgpack(where, encoded, decoder)


def _compare(
    path: tuple[str, ...], before: object, after: object
) -> Iterator[BundleChange]:
    if before == after:
        return
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in sorted(before.keys() | after.keys()):
            yield from _compare((*path, key), before.get(key), after.get(key))
    else:
        yield BundleChange(path, before, after)


def _merge(node: Any, values: tuple[tuple[tuple[str, ...], Any], ...]) -> Any:
    """Return a copy of nested maps with values set, or removed if ``None``.

    Each map is copied only once, regardless of how many of its values change.
    """
    if values and not values[0][0]:
        return values[0][1]
    by_key: dict[str, list[tuple[tuple[str, ...], Any]]] = {}
    for path, value in values:
        by_key.setdefault(path[0], []).append((path[1:], value))
    copy = dict(node)
    for key, inner in by_key.items():
        merged = _merge(copy.get(key, {}), tuple(inner))
        if merged is None:
            copy.pop(key, None)
        else:
            copy[key] = merged
    return copy
