"""Ed25519 signatures of operators.

Kept apart from the bundles, so that an instance whose operators sign nothing need not
load the cryptography.
"""

from heathertack.signatures._ed25519 import (
    sign_bundle,
    sign_text,
    verify_bundle,
    verify_text,
)

__all__ = ["sign_bundle", "sign_text", "verify_bundle", "verify_text"]
