"""Prefix levels of a prompt: digests at message boundaries.

A level stands for all text from the start of the prompt to a boundary. Its
digest is keyed with the organisation, so that equal text of two organisations
never has the same digest. Engine blocks are far more numerous and are not
tracked.
"""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
from typing import NamedTuple

__all__ = ["MAX_LEVELS", "PrefixLevel", "prefix_levels", "split_text"]

# Levels kept of a prompt; records and shares grow with them.
MAX_LEVELS = 12
# Of them, those kept from the start of a long prompt.
_FIRST_LEVELS = 4
# At 20,000 levels two digests of 64 bits are alike in 1 of 10^11 sites.
_DIGEST_BYTES = 8
# Distance of the cuts in a prompt without messages: about 1,000 tokens.
_TEXT_CUT_CHARACTERS = 4096


class PrefixLevel(NamedTuple):
    """One prefix of a prompt.

    Attributes:
        digest: 8 bytes, keyed with organisation, model and adapter.
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
        organisation: Whose cache the prompt may share.
        model: The model with its adapter, as the caller names it.
        parts: The prompt cut at its message boundaries.
        tokens_per_character: The ratio learned for the model.

    Returns:
        At most `MAX_LEVELS` levels: the first few and the last few, which
        are the ones a later prompt has in common with this one.
    """
    key = hashlib.blake2b(
        f"{organisation}\0{model}".encode(), digest_size=32
    ).digest()
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=key)
    characters = 0
    levels = []
    for part in parts:
        running.update(part.encode())
        running.update(b"\0")
        characters += len(part)
        tokens = int(characters * tokens_per_character)
        levels.append(PrefixLevel(running.copy().digest(), tokens))
    if len(levels) <= MAX_LEVELS:
        return tuple(levels)
    last = MAX_LEVELS - _FIRST_LEVELS
    return tuple(levels[:_FIRST_LEVELS] + levels[-last:])


def split_text(text: str) -> list[str]:
    """Returns a prompt without messages, cut at fixed distances.

    A plain prompt shows no boundaries. Cuts at fixed distances from its start
    are the same for two prompts as far as their text is.
    """
    return [
        text[start : start + _TEXT_CUT_CHARACTERS]
        for start in range(0, max(len(text), 1), _TEXT_CUT_CHARACTERS)
    ]
