"""Platform-independent contents of request and response headers."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Result, Success

from heathertack.decoding import MAX_COUNT, parse_number

Headers = CIMultiDictProxy[str]

_RETRY_AFTER = "Retry-After"
_UNAVAILABLE_STATUS = 503


class PromptPart(NamedTuple):
    """A section of a prompt that other prompts may share as a prefix."""

    part_id: str
    tokens: int


class GenerationSize(NamedTuple):
    """Expected and maximum token counts of a generation."""

    prompt_tokens: int
    #: Maximum number of tokens to generate.
    max_tokens: int
    #: The caller's estimate of the number of generated tokens; 0 without one.
    expected_tokens: int = 0
    #: Sections of the prompt, in order.
    parts: tuple[PromptPart, ...] = ()


class RequestHead(NamedTuple):
    """Contents of a request header."""

    #: Id that the caller gave to this attempt.
    request_id: str
    #: Caller key, empty without one.
    caller_key: str
    #: How long the caller waits after the request arrives, seconds; ``None`` if
    #: unknown.
    timeout: float | None
    #: Headers that are forwarded to the target unchanged.
    headers: CIMultiDict[str]
    #: Size of a generation; ``None`` for other requests.
    size: GenerationSize | None = None
    #: Id of the last event that the caller received from an earlier response.
    last_event_id: str = ""
    #: Id of the request whose response brought the first event of the stream that the
    #: caller takes up; empty for a new stream.
    resumed_request_id: str = ""


class ForwardAttempt(NamedTuple):
    """Parameters that one attempt at a target adds to a request."""

    #: Name of the intended target; any other target must refuse the request.
    target: str
    #: Client account, empty for public routes.
    account: str
    #: Time until the deadline of the request, seconds.
    time_left: float
    #: Address of the target that keeps the backup of the KV cache, empty for none.
    backup_address: str = ""
    #: Address that identifies the KV cache copy to continue from: that of the engine
    #: that handed the run over, or of the target that keeps the backup; empty for none.
    copy_address: str = ""
    #: Id of that copy; empty for the backup that was kept since the run started.
    copy_id: str = ""
    #: Id of the last event delivered to the caller, empty for none.
    last_event_id: str = ""


class ResponseHead(NamedTuple):
    """Contents of a response header from a target."""

    status: int
    #: Id of the request that the response belongs to, empty if it names none.
    request_id: str
    #: Whether the target signed the response.
    is_signed: bool
    #: Whether the target reports that it did not and will not run the request.
    has_not_run: bool
    #: Headers that are passed to the caller unchanged.
    headers: CIMultiDict[str]
    #: Whether the target says that it is about to leave.
    is_target_leaving: bool = False
    #: Number of requests a second that the target accepts from all instances
    #: together, ``None`` if it names no limit; or why the limit can't be read.
    request_rate: Result[float | None, str] = Success(None)
    #: Number of requests a second that the target may turn away from all instances
    #: together, ``None`` if it names no bound; or why the bound can't be read.
    rejection_bound: Result[float | None, str] = Success(None)
    #: Time for which the target wants no more requests from this instance, seconds,
    #: ``None`` if it names no time; or why the time can't be read.
    pause: Result[float | None, str] = Success(None)


def read_request_rate(name: str, headers: Headers) -> Result[float | None, str]:
    """Return the limit in the header with a name, ``None`` without that header."""
    text = headers.get(name)
    if text is None:
        return Success(None)
    rate = parse_number(name, text.strip(), MAX_COUNT, "requests a second")
    return rate.alt(str)


def read_pause(status: int, headers: Headers) -> Result[float | None, str]:
    """Return the time in ``Retry-After`` of a target that is unavailable, if any."""
    text = headers.get(_RETRY_AFTER)
    if status != _UNAVAILABLE_STATUS or text is None:
        return Success(None)
    return parse_number(_RETRY_AFTER, text.strip(), MAX_COUNT, "seconds").alt(str)


class ForwardingDialect(Protocol):
    """Decodes and encodes the headers of one platform."""

    def read_request(self, headers: Headers) -> Result[RequestHead, str]:
        """Return the contents of a request header, or why it is invalid."""
        ...

    def encode_request(
        self, head: RequestHead, attempt: ForwardAttempt
    ) -> CIMultiDict[str]:
        """Return the headers of a request to a target."""
        ...

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return the contents of a response header from a target."""
        ...

    def format_retry_after(self, seconds: float) -> str:
        """Return the ``Retry-After`` value for a delay in seconds."""
        ...
