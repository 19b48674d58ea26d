"""The heathertack daemon."""

from heathertackd._main import main

__all__ = ["main"]
