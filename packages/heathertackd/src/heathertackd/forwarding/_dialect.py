"""What forwarding needs to know of requests and answers, whatever they are called."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Result

Headers = CIMultiDictProxy[str]


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may begin with too."""

    part_id: str
    tokens: int


class GenerationSize(NamedTuple):
    """How much work a generation may be."""

    prompt_tokens: int
    #: Most tokens of the answer.
    max_tokens: int
    #: The caller's estimate of the tokens of the answer; 0 without one.
    expected_tokens: int = 0
    #: Parts of the prompt in their order.
    parts: tuple[PromptPart, ...] = ()


class RequestHead(NamedTuple):
    """What the header of a request says."""

    #: Id of this attempt of the caller.
    request_id: str
    #: Caller key, empty without one.
    caller_key: str
    #: How long the caller waits from the arrival on, seconds; ``None`` if unknown.
    timeout: float | None
    #: Headers that the target gets as they are.
    headers: CIMultiDict[str]
    #: Size of a generation; ``None`` for other requests.
    size: GenerationSize | None = None
    #: Id of the last event that the caller got of an earlier answer.
    last_event_id: str = ""


class ForwardAttempt(NamedTuple):
    """What one send to a target adds to a request."""

    #: Name of the target that is meant; another one must refuse the request.
    target: str
    #: Client account, empty for public routes.
    account: str
    #: Time after which the answer is of no use, seconds.
    time_left: float
    #: Address of the target that keeps a copy of the memory, empty for none.
    backup_address: str = ""
    #: Address of the target that holds a copy to continue from, empty for none.
    copy_address: str = ""
    #: Id of that copy; empty for the one kept since the start of the run.
    copy_id: str = ""
    #: Id of the last event that was delivered, empty for none.
    last_event_id: str = ""


class ResponseHead(NamedTuple):
    """What the header of a target's answer says."""

    status: int
    #: Id of the request that is answered, empty if the answer names none.
    request_id: str
    #: Whether the target vouches for the answer.
    is_signed: bool
    #: Whether the target says that it did not run the request and never will.
    has_not_run: bool
    #: Headers that the caller gets as they are.
    headers: CIMultiDict[str]


class ForwardingDialect(Protocol):
    """Reads and writes the headers of one platform."""

    def read_request(self, headers: Headers) -> Result[RequestHead, str]:
        """Return what a request says, or what is wrong with it."""
        ...

    def encode_request(
        self, head: RequestHead, attempt: ForwardAttempt
    ) -> CIMultiDict[str]:
        """Return the headers of a request for a target."""
        ...

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return what an answer of a target says."""
        ...

    def format_retry_after(self, seconds: float) -> str:
        """Return the text that tells a caller when to come back."""
        ...
