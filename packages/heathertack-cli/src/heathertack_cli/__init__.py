"""The client of heathertack for operators."""

from heathertack_cli._main import main

__all__ = ["main"]
