"""MessagePack encoding of a closed set of ``NamedTuple`` types."""

from __future__ import annotations

from typing import Any, Generic, NamedTuple, TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

from heathertack.decoding import DecodingError, decode_msgpack

Message = TypeVar("Message")

#: Longer names of unknown types are cut off in errors.
_MAX_NAME_EXCERPT = 80


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
        envelope = decode_msgpack("message", data, self._envelope)
        if isinstance(envelope, Failure):
            return Failure(_describe(envelope.failure()))
        name, body = envelope.unwrap()
        decoder = self._decoders.get(name)
        if decoder is None:
            excerpt = name[:_MAX_NAME_EXCERPT]
            return Failure(CodecError(f"unknown message type {excerpt!r}"))
        message = decode_msgpack(name, body, decoder)
        if isinstance(message, Failure):
            return Failure(_describe(message.failure()))
        return Success(cast(Message, message.unwrap()))


def _describe(error: DecodingError) -> CodecError:
    return CodecError(str(error))
