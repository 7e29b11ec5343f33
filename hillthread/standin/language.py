"""A deterministic language model: the preceding text determines each word.

A test that knows the prompt can check the answer, and an engine that continues
the answer of another engine generates the same words.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
import zlib

__all__ = ["chat_text", "words"]

_WORDS = (
    "wind", "snow", "build", "test", "merge", "depot", "lift", "rain",
    "field", "gust", "stage", "patch", "cloud", "north", "road", "frost",
)  # fmt: skip


def chat_text(messages: list[dict[str, Any]], continued: bool) -> str:
    """Returns the prompt of a chat, ending where the answer begins.

    Args:
        messages: Messages with `role` and `content`.
        continued: Whether the last message is an unfinished answer.
    """
    parts = []
    last = len(messages) - 1
    for number, message in enumerate(messages):
        text = str(message.get("content"))
        if continued and number == last:
            parts.append(f"assistant: {text}")
        else:
            parts.append(f"{message.get('role')}: {text}\n")
    if not continued:
        parts.append("assistant: ")
    return "".join(parts)


def words(text: str, weights_version: str) -> Iterator[str]:
    """Yields an infinite sequence of words that follow `text`."""
    state = zlib.crc32(text.encode(), zlib.crc32(weights_version.encode()))
    while True:
        word = f"{_WORDS[state % len(_WORDS)]}{state % 89} "
        yield word
        state = zlib.crc32(word.encode(), state)
