"""Rendezvous hashing: all hosts rank names alike without communication."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

__all__ = ["rank_by_rendezvous", "rendezvous_score"]


def rendezvous_score(key: bytes, name: str) -> int:
    """Returns the score of `name` for `key`, a 64-bit integer."""
    digest = hashlib.blake2b(name.encode(), digest_size=8, key=key[:64])
    return int.from_bytes(digest.digest(), "big")


def rank_by_rendezvous(key: bytes, names: Iterable[str]) -> list[str]:
    """Returns `names` with the highest score for `key` first."""
    return sorted(names, key=lambda name: (-rendezvous_score(key, name), name))
