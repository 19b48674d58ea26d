"""Forwards requests unchanged to the targets of the routes in the bundle."""

from heathertackd._refusals import RefusedError
from heathertackd._transmissions import prevent_resending
from heathertackd.forwarding._bodies import read_body
from heathertackd.forwarding._dialect import (
    ForwardAttempt,
    ForwardingDialect,
    GenerationSize,
    Headers,
    PromptPart,
    RequestHead,
    ResponseHead,
    read_pause,
    read_request_rate,
)
from heathertackd.forwarding._forwarder import Forwarder, open_forwarding_session
from heathertackd.forwarding._hop_headers import copy_end_to_end
from heathertackd.forwarding._kv_cache import KvCacheMover, MoveFailure
from heathertackd.forwarding._standard_dialect import StandardDialect

__all__ = [
    "ForwardAttempt",
    "Forwarder",
    "ForwardingDialect",
    "GenerationSize",
    "Headers",
    "KvCacheMover",
    "MoveFailure",
    "PromptPart",
    "RefusedError",
    "RequestHead",
    "ResponseHead",
    "StandardDialect",
    "copy_end_to_end",
    "open_forwarding_session",
    "prevent_resending",
    "read_body",
    "read_pause",
    "read_request_rate",
]
