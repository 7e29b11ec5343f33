"""The stand-in's language model: each word follows from all text before it.

So an answer can be checked by anyone who knows the prompt, and an engine that
continues another's answer gives the same words.
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
    """Returns the text of a chat, with the start of the answer's turn.

    Args:
        messages: With `role` and `content`.
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
    """Yields the words that follow `text`, without end."""
    state = zlib.crc32(text.encode(), zlib.crc32(weights_version.encode()))
    while True:
        word = f"{_WORDS[state % len(_WORDS)]}{state % 89} "
        yield word
        state = zlib.crc32(word.encode(), state)
