"""Parses completion requests of callers; encodes engine and error bodies."""

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
    "encode_upstream_body",
    "parse_completion",
]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
_MAX_DEPTH = 32
_decoder = msgspec.json.Decoder()
_encoder = msgspec.json.Encoder()


class CompletionRequest(NamedTuple):
    """A valid completion request.

    Attributes:
        body: The decoded JSON, as the caller sent it.
        model: The requested model.
        stream: Whether the caller requests a stream.
        wants_usage: Whether the caller requests usage in the stream.
        parts: The prompt, split at its message boundaries.
        max_tokens: Maximum length of the answer in tokens, or None.
    """

    body: dict[str, Any]
    model: str
    stream: bool
    wants_usage: bool
    parts: tuple[str, ...]
    max_tokens: int | None


class ErrorDetail(TypedDict):
    """The `error` object in the body of a refusal."""

    message: str
    type: str
    code: str
    remedy: str
    request_id: str
    run: str


class ErrorBody(TypedDict):
    """The body of a refusal in the format that callers expect."""

    error: ErrorDetail


def parse_completion(raw: bytes, chat: bool) -> CompletionRequest:
    """Returns the request in a body.

    Args:
        raw: The body as received.
        chat: Whether the request is a chat completion.

    Raises:
        RefusalError: The body is not a valid request.
    """
    body = _decode_body(raw)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _make_invalid_error(
            "`model` is missing.", "Name a model of /v1/models."
        )
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise _make_invalid_error(
            "`stream_options` is not an object.", "Send an object."
        )
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
    if max_tokens is not None and not _is_count(max_tokens):
        raise _make_invalid_error(
            "`max_tokens` is not a positive whole number.",
            "Send a whole number > 0.",
        )
    parts = _parse_message_parts(body) if chat else _parse_prompt_parts(body)
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

    The router sets `cache_salt` and `priority`; those of the caller are never
    forwarded.
    """
    return _encoder.encode(_make_upstream_body(request, salt, priority))


def encode_continuation_body(
    request: CompletionRequest,
    salt: str,
    priority: int,
    text: str,
    tokens: int,
) -> bytes:
    """Returns the body with which another engine continues a partial answer.

    Args:
        request: The original request, a chat completion.
        salt: The organisation's cache salt.
        priority: The priority of the request.
        text: The text that the caller has received so far.
        tokens: The number of tokens in that text.
    """
    body = _make_upstream_body(request, salt, priority)
    received_message = {"role": "assistant", "content": text}
    body["messages"] = [*body["messages"], received_message]
    body["continue_final_message"] = True
    body["add_generation_prompt"] = False
    if request.max_tokens is not None:
        body["max_tokens"] = request.max_tokens - tokens
    return _encoder.encode(body)


def encode_error_body(refusal: errors.RefusalError, request_id: str) -> bytes:
    """Returns the JSON body of a refusal."""
    error_type = (
        "invalid_request_error" if refusal.status < 500 else "server_error"
    )
    body: ErrorBody = {
        "error": {
            "message": refusal.message,
            "type": error_type,
            "code": refusal.code,
            "remedy": refusal.remedy,
            "request_id": request_id,
            "run": refusal.run.value,
        }
    }
    return _encoder.encode(body)


def format_retry_after(refusal: errors.RefusalError) -> bytes | None:
    """Returns the value of `Retry-After` in whole seconds, or None."""
    if refusal.retry_after_s is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after_s))).encode()


def _make_upstream_body(
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


def _decode_body(raw: bytes) -> dict[str, Any]:
    try:
        body = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _make_invalid_error(
            f"The body is not JSON: {error}.", "Send one JSON object."
        ) from error
    if not isinstance(body, dict):
        raise _make_invalid_error(
            "The body is not a JSON object.", "Send one JSON object."
        )
    if _is_deeper_than(body, _MAX_DEPTH):
        raise _make_invalid_error(
            f"The body is nested deeper than {_MAX_DEPTH}.",
            "Send a flatter object.",
        )
    return body


def _is_deeper_than(value: object, limit: int) -> bool:
    level = [value]
    for _ in range(limit):
        level = [child for each in level for child in _list_children(each)]
        if not level:
            return False
    return True


def _list_children(value: object) -> list:
    match value:
        case dict():
            return [x for x in value.values() if isinstance(x, dict | list)]
        case list():
            return [x for x in value if isinstance(x, dict | list)]
        case _:
            return []


def _parse_message_parts(body: dict[str, Any]) -> tuple[str, ...]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _make_invalid_error(
            "`messages` is missing or empty.", "Send messages."
        )
    return tuple(_extract_message_text(message) for message in messages)


def _extract_message_text(message: object) -> str:
    if not isinstance(message, dict):
        raise _make_invalid_error(
            "A message is not an object.", "Send role and content."
        )
    content = message.get("content")
    if isinstance(content, str):
        return f"{message.get('role')}\0{content}"
    if content is None or isinstance(content, list):
        return f"{message.get('role')}\0{_encoder.encode(message).decode()}"
    raise _make_invalid_error(
        "A message's content is not text.", "Send a string."
    )


def _parse_prompt_parts(body: dict[str, Any]) -> tuple[str, ...]:
    text = body.get("prompt")
    if not isinstance(text, str):
        raise _make_invalid_error(
            "`prompt` is not a string.", "Send one string."
        )
    return tuple(prompt.split_text(text))


def _is_count(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return value > 0


def _make_invalid_error(message: str, remedy: str) -> errors.RefusalError:
    return errors.RefusalError("invalid_request", 400, message, remedy)
