"""The callers' interface: completion requests and error bodies."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import msgspec

from hillthread import errors
from hillthread.state.routing import prompt

__all__ = [
    "CompletionRequest",
    "ErrorBody",
    "encode_continuation_body",
    "encode_error_body",
    "parse_completion",
    "encode_upstream_body",
]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
_MAX_DEPTH = 32
_decoder = msgspec.json.Decoder()
_encoder = msgspec.json.Encoder()


class CompletionRequest(NamedTuple):
    """A checked completion request.

    Attributes:
        body: The decoded JSON, as the caller sent it.
        model: The model asked for.
        stream: Whether the caller wants a stream.
        wants_usage: Whether the caller asked for usage in the stream.
        parts: The prompt cut at its message boundaries.
        max_tokens: The answer's limit, or None.
    """

    body: dict[str, Any]
    model: str
    stream: bool
    wants_usage: bool
    parts: tuple[str, ...]
    max_tokens: int | None


class ErrorDetail(TypedDict):
    """The `error` object of a refusal."""

    message: str
    type: str
    code: str
    remedy: str
    request_id: str
    run: str


class ErrorBody(TypedDict):
    """A refusal in the callers' usual shape."""

    error: ErrorDetail


def parse_completion(raw: bytes, chat: bool) -> CompletionRequest:
    """Returns the request in a body.

    Args:
        raw: The body as received.
        chat: Whether it is a chat completion.

    Raises:
        RefusalError: The body is not a valid request.
    """
    body = _decode(raw)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid("`model` is missing.", "Name a model of /v1/models.")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise _invalid("`stream_options` is no object.", "Send an object.")
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
    if max_tokens is not None and not _is_count(max_tokens):
        raise _invalid("`max_tokens` is no count.", "Send a whole number > 0.")
    parts = _message_parts(body) if chat else _prompt_parts(body)
    return CompletionRequest(
        body,
        model,
        body.get("stream") is True,
        bool(options and options.get("include_usage")),
        parts,
        max_tokens,
    )


def encode_upstream_body(
    request: CompletionRequest, salt: str, priority: int
) -> bytes:
    """Returns the body sent to an engine.

    The caller's own `cache_salt` and `priority` never pass: both are the
    router's to set.
    """
    return _encoder.encode(_upstream(request, salt, priority))


def encode_continuation_body(
    request: CompletionRequest,
    salt: str,
    priority: int,
    text: str,
    tokens: int,
) -> bytes:
    """Returns the body that has another engine continue a broken answer.

    Args:
        request: The original request, a chat completion.
        salt: The organisation's cache salt.
        priority: The class of the request.
        text: What the caller has received so far.
        tokens: How many tokens that is.
    """
    body = _upstream(request, salt, priority)
    said = {"role": "assistant", "content": text}
    body["messages"] = [*body["messages"], said]
    body["continue_final_message"] = True
    body["add_generation_prompt"] = False
    if request.max_tokens is not None:
        body["max_tokens"] = request.max_tokens - tokens
    return _encoder.encode(body)


def encode_error_body(refusal: errors.RefusalError, request_id: str) -> bytes:
    """Returns the JSON body of a refusal."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    body: ErrorBody = {
        "error": {
            "message": refusal.message,
            "type": kind,
            "code": refusal.code,
            "remedy": refusal.remedy,
            "request_id": request_id,
            "run": refusal.run.value,
        }
    }
    return _encoder.encode(body)


def format_retry_after(refusal: errors.RefusalError) -> bytes | None:
    """Returns the value of `Retry-After`, whole seconds, or None."""
    if refusal.retry_after_s is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after_s))).encode()


def _upstream(
    request: CompletionRequest, salt: str, priority: int
) -> dict[str, Any]:
    body = dict(request.body)
    body["cache_salt"] = salt
    body["priority"] = priority
    if request.stream:
        options = dict(body.get("stream_options") or {})
        options["include_usage"] = True
        body["stream_options"] = options
    return body


def _decode(raw: bytes) -> dict[str, Any]:
    try:
        body = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _invalid(
            f"The body is not JSON: {error}.", "Send one JSON object."
        ) from error
    if not isinstance(body, dict):
        raise _invalid("The body is no JSON object.", "Send one JSON object.")
    if _depth_exceeds(body, _MAX_DEPTH):
        raise _invalid(
            f"The body is nested deeper than {_MAX_DEPTH}.",
            "Send a flatter object.",
        )
    return body


def _depth_exceeds(value: object, limit: int) -> bool:
    level = [value]
    for _ in range(limit):
        level = [child for each in level for child in _children(each)]
        if not level:
            return False
    return True


def _children(value: object) -> list:
    match value:
        case dict():
            return [x for x in value.values() if isinstance(x, dict | list)]
        case list():
            return [x for x in value if isinstance(x, dict | list)]
        case _:
            return []


def _message_parts(body: dict[str, Any]) -> tuple[str, ...]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _invalid("`messages` is missing or empty.", "Send messages.")
    return tuple(_message_text(message) for message in messages)


def _message_text(message: object) -> str:
    if not isinstance(message, dict):
        raise _invalid("A message is no object.", "Send role and content.")
    content = message.get("content")
    if isinstance(content, str):
        return f"{message.get('role')}\0{content}"
    if content is None or isinstance(content, list):
        return f"{message.get('role')}\0{_encoder.encode(message).decode()}"
    raise _invalid("A message's content is no text.", "Send a string.")


def _prompt_parts(body: dict[str, Any]) -> tuple[str, ...]:
    text = body.get("prompt")
    if not isinstance(text, str):
        raise _invalid("`prompt` is no string.", "Send one string.")
    return tuple(prompt.split_text(text))


def _is_count(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return value > 0


def _invalid(message: str, remedy: str) -> errors.RefusalError:
    return errors.RefusalError("invalid_request", 400, message, remedy)
