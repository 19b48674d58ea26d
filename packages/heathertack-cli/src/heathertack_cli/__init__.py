"""Command-line client of heathertack for operators."""

from heathertack_cli._client import Operator, Response, ServerError, send_request
from heathertack_cli._main import main

__all__ = ["Operator", "Response", "ServerError", "main", "send_request"]
