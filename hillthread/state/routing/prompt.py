"""Prefix levels of a prompt: digests at message boundaries.

A level covers all text from the start of the prompt to a boundary. Its digest
is keyed with the organisation, so that the digests of equal text differ
between organisations. The cache blocks of the engines are not tracked, because
there are far more of them.
"""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
from typing import NamedTuple

__all__ = ["MAX_LEVELS", "PrefixLevel", "prefix_levels", "split_text"]

# Levels kept of a prompt. Decision records and the messages that routers share
# grow with this number.
MAX_LEVELS = 12
# Levels kept from the start of a long prompt; the others are from its end.
_FIRST_LEVELS = 4
# With 20,000 levels, digests of 64 bits collide at 1 of 10^11 sites.
_DIGEST_BYTES = 8
# Distance between the cuts in a prompt without messages, about 1,000 tokens.
_TEXT_CUT_CHARACTERS = 4096


class PrefixLevel(NamedTuple):
    """One prefix of a prompt.

    Attributes:
        digest: Digest of 8 bytes, keyed with organisation, model and adapter.
        tokens: Estimated tokens from the start of the prompt.
    """

    digest: bytes
    tokens: int


def prefix_levels(
    organisation: str,
    model: str,
    parts: Sequence[str],
    tokens_per_character: float,
) -> tuple[PrefixLevel, ...]:
    """Returns the levels of a prompt, the shortest first.

    Args:
        organisation: Organisation that the prompt shares cached prefixes with.
        model: The model with its adapter, as the caller names it.
        parts: The prompt, cut at its message boundaries.
        tokens_per_character: The ratio learned for the model.

    Returns:
        At most `MAX_LEVELS` levels: the first and the last ones, which later
        prompts are likely to have in common with this one.
    """
    key = hashlib.blake2b(
        f"{organisation}\0{model}".encode(), digest_size=32
    ).digest()
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=key)
    characters = 0
    levels = []
    for part in parts:
        hasher.update(part.encode())
        hasher.update(b"\0")
        characters += len(part)
        tokens = int(characters * tokens_per_character)
        levels.append(PrefixLevel(hasher.copy().digest(), tokens))
    if len(levels) <= MAX_LEVELS:
        return tuple(levels)
    last = MAX_LEVELS - _FIRST_LEVELS
    return tuple(levels[:_FIRST_LEVELS] + levels[-last:])


def split_text(text: str) -> list[str]:
    """Returns the pieces of a prompt without messages, cut at fixed distances.

    A plain prompt has no message boundaries. Cuts at fixed distances from the
    start yield the same pieces for two prompts as far as their text is equal.
    """
    return [
        text[start : start + _TEXT_CUT_CHARACTERS]
        for start in range(0, max(len(text), 1), _TEXT_CUT_CHARACTERS)
    ]
