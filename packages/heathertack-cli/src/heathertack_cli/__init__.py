"""The client of heathertack for operators."""

from heathertack_cli._client import Answer, Operator, ServerError, ask
from heathertack_cli._main import main

__all__ = ["Answer", "Operator", "ServerError", "ask", "main"]
