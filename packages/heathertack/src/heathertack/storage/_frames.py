"""Checksummed frames, one for each synced write."""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"\xf5HT1"
_HEADER = struct.Struct("<4sIQ")


class CorruptFrame(NamedTuple):
    """A frame that is broken although later ones are whole."""

    #: Offset of the broken frame, bytes.
    offset: int


class DecodedFrames(NamedTuple):
    """Whole frames of a file."""

    payloads: tuple[bytes, ...]
    #: Length of the file up to the end of the last whole frame, bytes.
    valid_length: int


def encode_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    checksum = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def decode_frames(data: bytes) -> DecodedFrames | CorruptFrame:
    """Split a file into frames.

    A broken frame that no whole frame follows is the torn tail of a write that
    was never synced, and is left out. One that a whole frame follows is damage.

    Parameters
    ----------
    data : bytes
        Content of the file.

    Returns
    -------
    DecodedFrames or CorruptFrame
        The payloads, or where the file is damaged.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            if _has_frame_after(data, offset + 1):
                return CorruptFrame(offset)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return DecodedFrames(tuple(payloads), offset)


def _read_frame(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if magic != _MAGIC or len(payload) != length:
        return None
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        return None
    return payload


def _has_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset)
    while position >= 0:
        if _read_frame(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False
