"""Tracks a streamed answer: order of events, attempt ids and completeness."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from hillthread.protocol import engine
from hillthread.protocol import event_stream

__all__ = ["StreamFault", "StreamProgress"]

# Bound on the relayed events kept to continue the answer on another target.
_MAX_RETAINED_BYTES = 2_097_152
_USAGE_FIELD = b'"usage"'
_EMPTY_CHOICES = (b'"choices":[]', b'"choices": []')


class StreamFault(enum.StrEnum):
    """A fault that a check of a streamed answer found."""

    WRONG_ATTEMPT = "crossed_answer"
    GAP = "gap_in_stream"
    ERROR_EVENT = "error_event"
    TRUNCATED = "no_terminal_marker"
    EMPTY = "empty_answer"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


_chunk_decoder = msgspec.json.Decoder(_Chunk)


class StreamProgress:
    """Checks the events of one answer, over all attempts at it.

    Attributes:
        wants_usage: Whether the caller requested the usage event.
        first_attempt_id: Id of the first attempt; the caller sees it in all
            events.
        attempt_id: Id of the current attempt.
        next_index: Index of the next event to relay.
        done: Whether the terminal marker was received.
        usage: The reported usage, or None.
        duplicate_count: Events dropped because they were already relayed.
        fault: The fault found in the current attempt, or None.
        earlier_tokens: Tokens relayed by earlier attempts, which the current
            one received as part of its prompt; 0 if it does not continue one.
    """

    def __init__(self, wants_usage: bool):
        self.wants_usage = wants_usage
        self.first_attempt_id = b""
        self.attempt_id = b""
        self.next_index = 0
        self.done = False
        self.usage: engine.AnswerUsage | None = None
        self.duplicate_count = 0
        self.fault: StreamFault | None = None
        self.earlier_tokens = 0
        self._retained: list[bytes] = []
        self._retained_bytes = 0

    def begin_attempt(self, attempt_id: str) -> None:
        """Expects the events of an attempt from `next_index` on."""
        self.attempt_id = attempt_id.encode()
        self.fault = None
        if not self.first_attempt_id:
            self.first_attempt_id = self.attempt_id

    def accept(self, event: event_stream.Event) -> bytes:
        """Returns the bytes to relay for an event; empty when none.

        Sets `done` at the terminal marker and `fault` when a check fails.
        """
        if self.done or self.fault is not None:
            return b""
        if event.data == engine.DONE:
            self.done = True
            return event.raw
        if not event.data:
            return b""
        if event.data.startswith(b'{"error"'):
            self.fault = StreamFault.ERROR_EVENT
            return b""
        if self.attempt_id not in event.data:
            self.fault = StreamFault.WRONG_ATTEMPT
            return b""
        if event.index is not None and event.index != self.next_index:
            return self._handle_out_of_order(event.index)
        self.next_index += 1
        return self._relay(event)

    def relayed_text(self) -> str | None:
        """Returns the text relayed so far, or None if it was too long."""
        if self._retained_bytes > _MAX_RETAINED_BYTES:
            return None
        texts = []
        for data in self._retained:
            for choice in _chunk_decoder.decode(data).choices:
                texts.append(choice.text or "")
                if choice.delta is not None:
                    texts.append(choice.delta.content or "")
        return "".join(texts)

    def _handle_out_of_order(self, index: int) -> bytes:
        if index < self.next_index:
            self.duplicate_count += 1
        else:
            self.fault = StreamFault.GAP
        return b""

    def _relay(self, event: event_stream.Event) -> bytes:
        if _USAGE_FIELD in event.data and _has_no_choices(event.data):
            return self._relay_usage(event)
        self._retained_bytes += len(event.data)
        if self._retained_bytes <= _MAX_RETAINED_BYTES:
            self._retained.append(event.data)
        return self._with_first_attempt_id(event.raw)

    def _relay_usage(self, event: event_stream.Event) -> bytes:
        self.usage = engine.decode_usage(event.data)
        if not self.wants_usage:
            return b""
        if self.earlier_tokens == 0 or self.usage is None:
            return self._with_first_attempt_id(event.raw)
        chunk: dict[str, Any] = msgspec.json.decode(event.data)
        chunk["usage"]["prompt_tokens"] -= self.earlier_tokens
        chunk["usage"]["completion_tokens"] += self.earlier_tokens
        raw = event_stream.encode_event(event.index, msgspec.json.encode(chunk))
        return self._with_first_attempt_id(raw)

    def _with_first_attempt_id(self, raw: bytes) -> bytes:
        if self.attempt_id == self.first_attempt_id:
            return raw
        return raw.replace(self.attempt_id, self.first_attempt_id)


def _has_no_choices(data: bytes) -> bool:
    return any(pattern in data for pattern in _EMPTY_CHOICES)
