"""Keys for local systems."""

from __future__ import annotations

import base64
import hashlib
from typing import NamedTuple

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey


class OperatorKeys(NamedTuple):
    """Ed25519 key pair of an operator, base64."""

    name: str
    secret_key: str
    public_key: str


def make_operator_keys(name: str) -> OperatorKeys:
    """Generate the key pair of an operator."""
    private = Ed25519PrivateKey.generate()
    secret = base64.b64encode(private.private_bytes_raw()).decode()
    public = base64.b64encode(private.public_key().public_bytes_raw()).decode()
    return OperatorKeys(name, secret, public)


def sha256_hex(text: str) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
