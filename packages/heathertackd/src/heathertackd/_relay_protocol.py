"""The protocol by which one instance uses another one's connection to a target.

The instance names the target in one line, and gets one byte that tells whether the
connection to the target is open. From then on its bytes go to the target as they are.
The bytes of the target come in frames, each a length of four bytes and so many bytes; a
frame of length 0 is the orderly end of the target's connection. A connection that ends
without it was broken, so that the loss of a relay never looks like the end of a
response.
"""

from __future__ import annotations

import asyncio
from typing import Final

from returns.result import Failure, Result, Success

from heathertack.controllers import RelayOutcome
from heathertack.decoding import DecodingError, parse_address

MAX_REQUEST_BYTES: Final = 128
_PREAMBLE = "heathertack-relay/1 "
REPLIES: Final = {
    b"+": RelayOutcome.CONNECTED,
    b"-": RelayOutcome.REFUSED,
    b"?": RelayOutcome.UNREACHABLE,
    b"/": RelayOutcome.CUT,
    b"!": RelayOutcome.BUSY,
}
END_FRAME: Final = b"\0\0\0\0"
_LENGTH_BYTES = 4


def encode_request(address: str) -> bytes:
    """Return the request for a connection to the target at ``ip:port``."""
    return f"{_PREAMBLE}{address}\n".encode()


def decode_request(line: bytes) -> Result[str, DecodingError]:
    """Decode a request, and return the address of the target."""
    text = line[: MAX_REQUEST_BYTES + 1].decode("ascii", errors="replace")
    is_request = text.startswith(_PREAMBLE) and text.endswith("\n")
    if not is_request or len(line) > MAX_REQUEST_BYTES:
        expected = f"{_PREAMBLE!r} and an address"
        return Failure(DecodingError("relay", repr(text[:80]), expected))
    address = text[len(_PREAMBLE) : -1]
    parsed = parse_address("relay", address)
    return parsed.bind(lambda _: Success(address))


def build_frame(data: bytes) -> bytes:
    """Return a frame with bytes of the target; they must not be empty."""
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class RelayedProtocol(asyncio.Protocol):
    """Feeds a protocol with the bytes that a target sent to a relay.

    Parameters
    ----------
    inner : asyncio.Protocol
        Protocol of the connection to the target.
    """

    def __init__(self, inner: asyncio.Protocol) -> None:
        self._inner = inner
        self._transport: asyncio.BaseTransport | None = None
        self._length = b""
        #: Bytes of the current frame that have not arrived yet.
        self._missing = 0
        self._has_ended = False
        self._is_broken = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the transport, which sends without frames."""
        self._transport = transport
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on the contents of frames."""
        view = memoryview(data)
        while view and not self._has_ended:
            if self._missing:
                piece = view[: self._missing]
                self._missing -= len(piece)
                view = view[len(piece) :]
                self._inner.data_received(bytes(piece))
                continue
            needed = _LENGTH_BYTES - len(self._length)
            self._length += bytes(view[:needed])
            view = view[needed:]
            if len(self._length) == _LENGTH_BYTES:
                self._missing = int.from_bytes(self._length, "big")
                self._length = b""
                if not self._missing:
                    self._end()

    def eof_received(self) -> None:
        """Record a connection that ends without the last frame."""
        self._is_broken = not self._has_ended

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell how the connection has ended."""
        if self._has_ended:
            exc = None
        elif exc is None and self._is_broken:
            exc = ConnectionResetError("the relay closed the connection")
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the connection accepts no more bytes for now."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the connection accepts bytes again."""
        self._inner.resume_writing()

    def _end(self) -> None:
        self._has_ended = True
        self._inner.eof_received()
        if self._transport is not None:
            self._transport.close()
