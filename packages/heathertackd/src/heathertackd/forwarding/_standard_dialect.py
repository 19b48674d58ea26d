"""The product's own header format for forwarded requests."""

from __future__ import annotations

import math

from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from heathertack.decoding import MAX_SECONDS, parse_number
from heathertackd.forwarding._dialect import (
    ForwardAttempt,
    Headers,
    RequestHead,
    ResponseHead,
    read_pause,
    read_request_rate,
)
from heathertackd.forwarding._hop_headers import copy_end_to_end

_REQUEST_ID = "X-Request-Id"
_TIMEOUT = "X-Request-Timeout"
_TARGET = "X-Heathertack-Target"
_ACCOUNT = "X-Client-Account"
_RESUMED_REQUEST_ID = "X-Resumed-Request-Id"
_NOT_RUN = "X-Heathertack-Not-Run"
#: Number of requests a second that the target accepts from all instances together.
_REQUEST_RATE = "X-Heathertack-Request-Rate"
#: ``1`` from a target that is about to leave.
_LEAVING = "X-Heathertack-Leaving"
_OWN_HEADERS = frozenset(
    {"authorization", _TIMEOUT.lower(), _TARGET.lower(), _ACCOUNT.lower()}
)


class StandardDialect:
    """Bearer keys, timeouts in seconds, and responses that repeat the request id."""

    def read_request(self, headers: Headers) -> Result[RequestHead, str]:
        """Return the contents of a request header, or why it is invalid."""
        request_id = headers.get(_REQUEST_ID, "")
        if not request_id:
            return Failure(f"the request has no {_REQUEST_ID}")
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        if scheme not in ("", "Bearer"):
            return Failure(f"authorization scheme {scheme!r}, expected 'Bearer'")
        timeout = _read_timeout(headers)
        if isinstance(timeout, Failure):
            return Failure(timeout.failure())
        kept = copy_end_to_end(headers, _OWN_HEADERS)
        last_event_id = headers.get("Last-Event-Id", "")
        return Success(
            RequestHead(
                request_id,
                key,
                timeout.unwrap(),
                kept,
                last_event_id=last_event_id,
                resumed_request_id=headers.get(_RESUMED_REQUEST_ID, ""),
            )
        )

    def encode_request(
        self, head: RequestHead, attempt: ForwardAttempt
    ) -> CIMultiDict[str]:
        """Return the headers of a request to a target."""
        headers = head.headers.copy()
        headers[_TARGET] = attempt.target
        headers[_TIMEOUT] = f"{attempt.time_left:.3f}"
        if attempt.account:
            headers[_ACCOUNT] = attempt.account
        if attempt.last_event_id:
            headers["Last-Event-Id"] = attempt.last_event_id
        return headers

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return the contents of a response header from a target."""
        request_id = headers.get(_REQUEST_ID, "")
        return ResponseHead(
            status,
            request_id,
            is_signed=bool(request_id),
            has_not_run=_NOT_RUN in headers,
            is_target_leaving=headers.get(_LEAVING) == "1",
            headers=copy_end_to_end(headers),
            request_rate=read_request_rate(_REQUEST_RATE, headers),
            pause=read_pause(status, headers),
        )

    def format_retry_after(self, seconds: float) -> str:
        """Return a ``Retry-After`` value in whole seconds, as RFC 9110 requires."""
        return str(math.ceil(seconds))


def _read_timeout(headers: Headers) -> Result[float | None, str]:
    text = headers.get(_TIMEOUT, "")
    if not text:
        return Success(None)
    number = parse_number(_TIMEOUT, text.strip(), MAX_SECONDS, "a number of seconds")
    return number.alt(str)
