"""Ed25519 signatures of operators.

Separate from :mod:`heathertack.bundle`, so that an instance whose operators sign
nothing does not import the ``cryptography`` package.
"""

from heathertack.signatures._ed25519 import (
    sign_bundle,
    sign_text,
    verify_bundle,
    verify_text,
)

__all__ = ["sign_bundle", "sign_text", "verify_bundle", "verify_text"]
