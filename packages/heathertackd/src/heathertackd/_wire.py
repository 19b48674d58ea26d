"""Format of completion requests and responses on the callers' HTTP API."""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from heathertack.decoding import MAX_TOKENS, DecodingError, check_depth, decode_json

_ESTIMATED_CHARACTERS_PER_TOKEN = 4

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


_Tokens = Annotated[int, msgspec.Meta(le=MAX_TOKENS)]


class _ChatMessage(TypedDict):
    role: str
    content: Any


class _CompletionBody(TypedDict):
    model: str
    prompt: NotRequired[str]
    messages: NotRequired[list[_ChatMessage]]
    stream: NotRequired[bool]
    max_tokens: NotRequired[_Tokens | None]
    max_completion_tokens: NotRequired[_Tokens | None]


class CompletionRequest(NamedTuple):
    """A request for a completion."""

    #: Path of the API that the caller used.
    path: str
    service: str
    prompt: str
    stream: bool
    #: Maximum number of tokens that the caller requests, ``None`` if not given.
    max_tokens: int | None
    #: The decoded request body, which is passed on to the engine.
    body: dict[str, Any]

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        return len(self.prompt) // _ESTIMATED_CHARACTERS_PER_TOKEN + 1


def parse_completion(path: str, data: bytes) -> Result[CompletionRequest, str]:
    """Check the body of a request for a completion.

    Parameters
    ----------
    path : str
        ``CHAT_PATH`` or ``TEXT_PATH``.
    data : bytes
        JSON.

    Returns
    -------
    Result[CompletionRequest, str]
        The request, or what is wrong with it.
    """
    checked = _check_body(data)
    if isinstance(checked, Failure):
        return Failure(f"the body can't be read: {checked.failure()}")
    body, typed = checked.unwrap()
    if path == CHAT_PATH and not typed.get("messages"):
        return Failure("the body has no messages")
    if path == TEXT_PATH and "prompt" not in typed:
        return Failure("the body has no prompt")
    max_tokens = typed.get("max_completion_tokens") or typed.get("max_tokens")
    if max_tokens is not None and max_tokens < 1:
        return Failure("max_tokens must be at least 1")
    request = CompletionRequest(
        path,
        typed["model"],
        _join_prompt(path, typed),
        typed.get("stream", False),
        max_tokens,
        body,
    )
    return Success(request)


def _check_body(
    data: bytes,
) -> Result[tuple[dict[str, Any], _CompletionBody], DecodingError]:
    """Return the whole body and its fields that are used here."""
    body = decode_json("body", data, dict[str, Any])
    if isinstance(body, Failure):
        return Failure(body.failure())
    depth = check_depth("body", body.unwrap())
    if isinstance(depth, Failure):
        return Failure(depth.failure())
    typed = decode_json("body", data, _CompletionBody)
    return typed.map(lambda fields: (body.unwrap(), fields))


def _join_prompt(path: str, body: _CompletionBody) -> str:
    if path == TEXT_PATH:
        return body["prompt"]
    messages = body["messages"]
    return "\n".join(f"{m['role']}: {m['content']}" for m in messages)


class CompletionWriter:
    """Encodes the response to one request.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    generation_id : str
        Identifier of the generation.
    created : int
        Wall clock, seconds since the epoch.
    """

    def __init__(
        self, request: CompletionRequest, generation_id: str, created: int
    ) -> None:
        self._is_chat = request.path == CHAT_PATH
        self._prompt_tokens = request.prompt_tokens
        object_type = "chat.completion" if self._is_chat else "text_completion"
        self._common_fields = {
            "id": generation_id,
            "object": object_type,
            "created": created,
            "model": request.service,
        }
        self._chunk_object = "chat.completion.chunk" if self._is_chat else object_type

    def encode_chunk(self, text: str, finish_reason: str | None = None) -> bytes:
        """Return one server-sent event."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._is_chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        document = {
            **self._common_fields,
            "object": self._chunk_object,
            "choices": [choice],
        }
        return b"data: " + msgspec.json.encode(document) + b"\n\n"

    def encode_end(self, reason: str) -> bytes:
        """Return the events that mark a complete response."""
        return self.encode_chunk("", reason) + b"data: [DONE]\n\n"

    def encode_error(self, document: dict[str, Any]) -> bytes:
        """Return the event that ends an incomplete response."""
        return b"data: " + msgspec.json.encode(document) + b"\n\n"

    def encode_full_response(self, text: str, reason: str, tokens: int) -> bytes:
        """Return the response to a request that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self._prompt_tokens + tokens,
        }
        document = {**self._common_fields, "choices": [choice], "usage": usage}
        return msgspec.json.encode(document)
