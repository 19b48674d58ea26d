"""Frames in which encoded messages are sent between instances."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from returns.result import Failure, Result, Success

#: Shorter messages are sent as they are.
_MIN_PACKED_BYTES = 64 * 1024
#: Maximum size of a frame. A heartbeat passes between two frames, but not within one.
_MAX_FRAME_BYTES = 64 * 1024
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
#: The first frame tells how the others hold the message.
_PLAIN = b"p"
_COMPRESSED = b"z"


def build_frames(data: bytes, *, may_pack: bool) -> tuple[bytes, ...]:
    """Return the frames for an encoded message.

    Parameters
    ----------
    data : bytes
        The message.
    may_pack : bool
        Whether the receiver reads packed messages. An earlier build reads only the
        last frame, which then must hold the message.
    """
    if not may_pack or len(data) < _MIN_PACKED_BYTES:
        return (_PLAIN, data)
    packed = zlib.compress(data, level=1)
    parts = range(0, len(packed), _MAX_FRAME_BYTES)
    return (_COMPRESSED, *(packed[i : i + _MAX_FRAME_BYTES] for i in parts))


def join_frames(frames: Sequence[bytes]) -> Result[bytes, str]:
    """Return the message that frames hold, or why they hold none."""
    if not frames:
        return Failure("no frame, expected at least one")
    kind, *parts = frames
    data = b"".join(parts)
    if kind == _PLAIN:
        return Success(data)
    if kind != _COMPRESSED:
        return Failure(
            f"frames of kind {kind[:8]!r}, expected {_PLAIN!r} or {_COMPRESSED!r}"
        )
    unpacker = zlib.decompressobj()
    try:
        message = unpacker.decompress(data, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return Failure(str(error))
    if not unpacker.eof:
        return Failure("a packed message that is incomplete or too long")
    return Success(message)
