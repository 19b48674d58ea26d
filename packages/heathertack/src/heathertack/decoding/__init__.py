"""Bounds on values that come from outside the process."""

from heathertack.decoding._addresses import MAX_PORT, HostPort, parse_address
from heathertack.decoding._documents import (
    MAX_DEPTH,
    check_depth,
    decode_json,
    decode_msgpack,
)
from heathertack.decoding._errors import DecodingError
from heathertack.decoding._lists import SplitList, decode_entries
from heathertack.decoding._numbers import parse_integer, parse_number
from heathertack.decoding._statuses import is_final_status
from heathertack.decoding._texts import check_texts
from heathertack.decoding._types import (
    MAX_COUNT,
    MAX_NAME_LENGTH,
    MAX_SECONDS,
    MAX_TOKENS,
    Count,
    Integer,
    Milliseconds,
    Name,
    Seconds,
    Token,
)

__all__ = [
    "MAX_COUNT",
    "MAX_DEPTH",
    "MAX_NAME_LENGTH",
    "MAX_PORT",
    "MAX_SECONDS",
    "MAX_TOKENS",
    "Count",
    "DecodingError",
    "HostPort",
    "Integer",
    "Milliseconds",
    "Name",
    "Seconds",
    "SplitList",
    "Token",
    "check_depth",
    "check_texts",
    "decode_entries",
    "decode_json",
    "decode_msgpack",
    "is_final_status",
    "parse_address",
    "parse_integer",
    "parse_number",
]
