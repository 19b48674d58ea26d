"""Statuses of HTTP responses."""

from __future__ import annotations

_MIN_FINAL_STATUS = 200
_MAX_FINAL_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a response with a status can be the answer to a request.

    The HTTP library passes on any three digits, 000 and 999 included.
    """
    return _MIN_FINAL_STATUS <= status <= _MAX_FINAL_STATUS
