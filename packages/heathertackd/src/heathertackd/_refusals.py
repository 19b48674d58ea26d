"""Responses to refused requests."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure

from heathertack.controllers import DrainController, Execution, Refusal
from heathertack.decoding import check_texts

#: Retry delay sent by an instance that leaves, seconds: other instances serve.
_LEAVING_RETRY_SECONDS = 0.0


class RefusedError(Exception):
    """Raised when a request is refused before it runs."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


#: HTTP status by refusal code; 503 for all others.
_STATUS_BY_CODE = {
    "invalid_request": 400,
    "unknown_service": 404,
    "missing_key": 401,
    "wrong_key": 401,
    "body_too_large": 413,
    "header_too_large": 431,
    "request_timeout": 408,
    "account_limit": 429,
    "queue_full": 429,
    "overloaded": 429,
    "target_lost": 502,
    "timeout": 504,
    "quarantined": 503,
}


def refusal_document(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON document of a refusal."""
    error: dict[str, Any] = {
        "code": refusal.code,
        "message": refusal.message,
        "type": "heathertack_error",
        "execution": refusal.execution.value,
    }
    if refusal.retry_after is not None:
        error["retry_after"] = round(refusal.retry_after, 1)
    return {"error": error}


def refusal_response(refusal: Refusal, status: int | None = None) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers: dict[str, str] = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    return web.Response(
        status=status or _STATUS_BY_CODE.get(refusal.code, 503),
        body=msgspec.json.encode(refusal_document(refusal)),
        content_type="application/json",
        headers=headers,
    )


def not_run(code: str, message: str, retry_after: float | None = None) -> Refusal:
    """Return the refusal of a request that did not run."""
    return Refusal(code, message, Execution.NOT_RUN, retry_after)


def leaving(message: str) -> Refusal:
    """Return the refusal of a request that an instance that leaves can't serve."""
    return not_run("leaving", message, _LEAVING_RETRY_SECONDS)


def check_accepts_requests(drain: DrainController, received_at: float) -> None:
    """Check that the instance still served new requests when one was received.

    Callers that keep sending would otherwise keep a leaving process from ending.

    Parameters
    ----------
    drain : DrainController
        State of the instance's departure.
    received_at : float
        Time at which the request was received, monotonic clock, seconds.

    Raises
    ------
    RefusedError
        If it has left, so that nobody may know its address any more.
    """
    if not drain.accepts_requests(received_at):
        raise RefusedError(leaving("the instance has left"))


def check_request_text(request: web.BaseRequest) -> None:
    """Check that the path and the headers of a request can be passed on.

    Raises
    ------
    RefusedError
        If they hold bytes that are not UTF-8.
    """
    path = ("the path", request.raw_path)
    checked = check_texts((path, *request.headers.items()))
    if isinstance(checked, Failure):
        raise RefusedError(not_run("invalid_request", str(checked.failure())))


def body_too_large(limit: int) -> Refusal:
    """Return the refusal of a body that is larger than a limit in bytes."""
    return not_run("body_too_large", f"the body has more than {limit} bytes")
