"""MessagePack encoding of a closed set of ``NamedTuple`` types."""

from __future__ import annotations

from typing import Any, Generic, NamedTuple, TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

Message = TypeVar("Message")


class CodecError(NamedTuple):
    """The bytes do not encode a message of the expected set."""

    #: Description of the error.
    detail: str


class MessageCodec(Generic[Message]):
    """Encodes each message prefixed with the name of its type.

    Parameters
    ----------
    types : tuple of type
        The ``NamedTuple`` types that may be encoded.
    """

    def __init__(self, types: tuple[type[Any], ...]) -> None:
        self._names = {message_type: message_type.__name__ for message_type in types}
        self._decoders = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in types
        }
        self._envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Message) -> bytes:
        """Encode a message."""
        return self._encoder.encode((self._names[type(message)], message))

    def decode(self, data: bytes) -> Result[Message, CodecError]:
        """Decode a message, or return why the bytes do not encode one."""
        try:
            name, body = self._envelope.decode(data)
            decoder = self._decoders.get(name)
            if decoder is None:
                return Failure(CodecError(f"unknown message type {name!r}"))
            return Success(cast(Message, decoder.decode(body)))
        except msgspec.DecodeError as error:
            return Failure(CodecError(str(error)))
