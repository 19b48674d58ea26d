"""Signatures of operators' HTTP requests."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from heathertack.signatures import sign_text, verify_text

OPERATOR_HEADER = "X-Heathertack-Operator"
TIME_HEADER = "X-Heathertack-Time"
SIGNATURE_HEADER = "X-Heathertack-Signature"

_MAX_AGE_SECONDS = 60.0


class RequestContent(NamedTuple):
    """Parts of a request that its signature covers."""

    method: str
    #: Path with query.
    path: str
    body: bytes


def sign_request(
    operator: str, secret_key: str, content: RequestContent, at: float
) -> dict[str, str]:
    """Return the headers of a signed request.

    Parameters
    ----------
    operator : str
        Name of the operator.
    secret_key : str
        Ed25519 key, base64.
    content : RequestContent
        Parts of the request to sign.
    at : float
        Wall-clock time, seconds since the epoch.

    Returns
    -------
    dict of str to str
        Headers to send.
    """
    timestamp = f"{at:.3f}"
    text = _signed_text(operator, content, timestamp)
    return {
        OPERATOR_HEADER: operator,
        TIME_HEADER: timestamp,
        SIGNATURE_HEADER: sign_text(text, secret_key),
    }


def verify_request(
    headers: Mapping[str, str],
    operator_keys: Mapping[str, str],
    content: RequestContent,
    now: float,
) -> str | None:
    """Return the trusted operator who signed a request, otherwise ``None``."""
    operator = headers.get(OPERATOR_HEADER, "")
    timestamp = headers.get(TIME_HEADER, "")
    public_key = operator_keys.get(operator)
    if public_key is None:
        return None
    try:
        age = abs(now - float(timestamp))
    except ValueError:
        return None
    if not age <= _MAX_AGE_SECONDS:
        return None
    text = _signed_text(operator, content, timestamp)
    signature = headers.get(SIGNATURE_HEADER, "")
    return operator if verify_text(text, signature, public_key) else None


def _signed_text(operator: str, content: RequestContent, timestamp: str) -> str:
    digest = hashlib.sha256(content.body).hexdigest()
    return f"{operator}\n{content.method}\n{content.path}\n{timestamp}\n{digest}"
