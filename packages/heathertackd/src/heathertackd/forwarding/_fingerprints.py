"""Fingerprints of requests, of the parts of their prompts, and of streams."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from heathertack.controllers import part_fingerprint, request_fingerprint
from heathertackd.forwarding._dialect import PromptPart

_FINGERPRINT_LENGTH = 32
#: Shorter, since all recorded parts are sent to all instances.
_PART_LENGTH = 16
#: Parts beyond this number are not attributed losses, which bounds the work for one
#: request.
_MAX_PARTS = 32


def digest_request(account: str, path: str, body: bytes) -> str:
    """Return a fingerprint that is equal when a caller repeats a request."""
    return request_fingerprint(_digest(account.encode(), path.encode(), body))


def digest_shared_parts(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the fingerprints of the parts that other prompts may share.

    The last part belongs to the request or to its session and is left out.
    """
    shared = dict.fromkeys(part.part_id for part in parts[:-1][:_MAX_PARTS])
    return tuple(
        part_fingerprint(_digest(part_id.encode())[:_PART_LENGTH]) for part_id in shared
    )


def identify_stream(account: str, request_id: str) -> str:
    """Return the name by which instances remember the stream that a request began."""
    return _digest(b"stream", account.encode(), request_id.encode())


def _digest(*fields: bytes) -> str:
    digest = hashlib.sha256()
    for field in fields:
        digest.update(field)
        digest.update(b"\0")
    return digest.hexdigest()[:_FINGERPRINT_LENGTH]
