"""Bounds on the requests of callers, set by the configuration."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["CallerBounds"]


class CallerBounds(NamedTuple):
    """Bounds on one connection of a caller.

    The defaults apply until a configuration is known.

    Attributes:
        max_head_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        head_timeout_s: Time in which a head must arrive once it has begun.
        idle_timeout_s: Maximum idle time of a connection, and between parts of
            a body.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
