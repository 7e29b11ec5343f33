"""Bounds on what callers send, as the configuration in force sets them."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["CallerBounds"]


class CallerBounds(NamedTuple):
    """Bounds on one connection of a caller.

    The defaults hold until a configuration is known.

    Attributes:
        max_head_bytes: Size of a request's head.
        max_body_bytes: Size of a request's body.
        head_timeout_s: For a head to come in once it has begun.
        idle_timeout_s: For a connection to rest, and between parts of a body.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
