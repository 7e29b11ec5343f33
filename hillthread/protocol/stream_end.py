"""Decides whether the stream of events of an answer is complete.

Reading an answer fails if its framing shows that it was cut off. What remains
are answers that are whole by their framing. It may be an orderly close of the
connection, even if a crash caused it.
"""

from __future__ import annotations

import dataclasses

from hillthread.protocol import body_framing
from hillthread.protocol import event_stream

__all__ = ["BrokenOff", "Complete", "StreamEnd", "judge"]


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The stream has all its events."""


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenOff:
    """The stream ended before its last event.

    Attributes:
        reason: How it ended.
    """

    reason: str


StreamEnd = Complete | BrokenOff


def judge(
    framing: body_framing.BodyFraming | None,
    splitter: event_stream.EventSplitter,
    is_resumed: bool,
) -> StreamEnd:
    """Returns whether a stream that ended by its framing is complete.

    Args:
        framing: What marked the end of the body.
        splitter: The splitter that was fed with the whole body.
        is_resumed: Whether the run continues a stream after some event, so that
            it may have nothing to add.
    """
    if splitter.has_unfinished_event():
        return BrokenOff("stream ended inside an event")
    if splitter.event_count:
        return Complete()
    if is_resumed and framing is not body_framing.BodyFraming.CLOSE:
        return Complete()
    return BrokenOff("stream without events")
