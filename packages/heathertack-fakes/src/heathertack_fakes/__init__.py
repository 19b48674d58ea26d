"""Fakes of the systems that heathertack connects to, demo and experiments."""

from heathertack_fakes._caller import (
    BookingResponse,
    StreamedResponse,
    book_seat,
    fetch_addresses,
    stream_chat,
)
from heathertack_fakes._engine_model import (
    EngineModel,
    EngineRequest,
    EngineSize,
    EngineSpeed,
)
from heathertack_fakes._keys import OperatorKeys, make_operator_keys, sha256_hex
from heathertack_fakes._local_system import (
    CALLER_KEY,
    HOST,
    SMALL_CALLER_KEY,
    LocalSystem,
    StartFailedError,
    SystemShape,
    build_bundle,
    find_free_ports,
)
from heathertack_fakes._unreachable import RefusedAddress, SilentAddress

__all__ = [
    "CALLER_KEY",
    "HOST",
    "SMALL_CALLER_KEY",
    "BookingResponse",
    "EngineModel",
    "EngineRequest",
    "EngineSize",
    "EngineSpeed",
    "LocalSystem",
    "OperatorKeys",
    "RefusedAddress",
    "SilentAddress",
    "StartFailedError",
    "StreamedResponse",
    "SystemShape",
    "book_seat",
    "build_bundle",
    "fetch_addresses",
    "find_free_ports",
    "make_operator_keys",
    "sha256_hex",
    "stream_chat",
]
