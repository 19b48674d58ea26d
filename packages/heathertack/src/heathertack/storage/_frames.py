"""Checksummed frames, one for each synced write."""

from __future__ import annotations

import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"\xf5HT1"
_HEADER = struct.Struct("<4sIQ")


class CorruptFrame(NamedTuple):
    """An invalid frame that is followed by a valid one."""

    #: Offset of the invalid frame, in bytes.
    offset: int


class DecodedFrames(NamedTuple):
    """Valid frames of a file."""

    payloads: tuple[bytes, ...]
    #: Offset of the end of the last valid frame, in bytes.
    valid_length: int


def encode_frame(payload: bytes) -> bytes:
    """Return a frame: a header with the checksum, followed by the payload."""
    checksum = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def decode_frames(data: bytes) -> DecodedFrames | CorruptFrame:
    """Split a file into frames.

    An invalid frame that no valid frame follows is the torn tail of a write that
    was never synced, and is ignored. One that a valid frame follows is corruption.

    Parameters
    ----------
    data : bytes
        Content of the file.

    Returns
    -------
    DecodedFrames or CorruptFrame
        The payloads, or the offset at which the file is corrupt.
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
