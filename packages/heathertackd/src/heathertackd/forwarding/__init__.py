"""Forwards requests unchanged to the targets of the bundle's routes."""

from heathertackd._refusals import RefusedError
from heathertackd.forwarding._bodies import read_body
from heathertackd.forwarding._dialect import (
    AnswerHead,
    ForwardingDialect,
    GenerationSize,
    Headers,
    PromptPart,
    RequestHead,
    TargetSend,
)
from heathertackd.forwarding._forwarder import Forwarder, open_forwarding_session
from heathertackd.forwarding._hop_headers import copy_end_to_end
from heathertackd.forwarding._memory import MemoryMover, MoveFailure
from heathertackd.forwarding._standard_dialect import StandardDialect

__all__ = [
    "AnswerHead",
    "Forwarder",
    "ForwardingDialect",
    "GenerationSize",
    "Headers",
    "MemoryMover",
    "MoveFailure",
    "PromptPart",
    "RefusedError",
    "RequestHead",
    "StandardDialect",
    "TargetSend",
    "copy_end_to_end",
    "open_forwarding_session",
    "read_body",
]
