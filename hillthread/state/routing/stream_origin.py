"""Identifies the software that began a stream of events."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["StreamOrigin"]


class StreamOrigin(NamedTuple):
    """The software that wrote the first event of a stream.

    Releases of a pool's software encode the state of a stream differently, and
    targets do not check it, so that only the same release may continue it.

    Attributes:
        pool: Name of the pool.
        release: Release of its targets that began the stream; empty if it is
            not known. Such a stream is never continued.
    """

    pool: str
    release: str
