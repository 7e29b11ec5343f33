"""Refusals of requests that continue a stream."""

from __future__ import annotations

from hillthread import errors
from hillthread.coordination.gateway.peers import origin_lookup
from hillthread.state.routing import stream_origin

__all__ = [
    "INVALID_RESUMPTION",
    "STREAM_UNKNOWN",
    "make_doubtful_error",
    "make_invalid_error",
    "make_unknown_error",
    "make_unnamed_error",
]

INVALID_RESUMPTION = "invalid_resumption"
STREAM_UNKNOWN = "stream_unknown"
_UNKNOWN_RETRY_S = 0.3
_BEGIN_ANEW = "Begin the stream anew, without Last-Event-Id and Resumes."


def make_invalid_error(fault: str) -> errors.RefusalError:
    """Returns the refusal of headers that are not valid."""
    return errors.RefusalError(
        INVALID_RESUMPTION,
        400,
        f"It is not clear which stream continues: {fault}.",
        "Send one id in Resumes and one in Last-Event-Id.",
    )


def make_unnamed_error() -> errors.RefusalError:
    """Returns the refusal of a request that names no stream."""
    return errors.RefusalError(
        STREAM_UNKNOWN,
        503,
        "The request continues a stream but does not name it.",
        "Send, in Resumes, the id of the request that received its first "
        f"event. Otherwise: {_BEGIN_ANEW}",
    )


def make_unknown_error(
    result: origin_lookup.OriginResult,
) -> errors.RefusalError:
    """Returns the refusal of a stream of which there is no record.

    Another try may succeed only if some hosts have not answered, or if the
    journal was not read.
    """
    journal = "has no record" if result.is_journal_read else "was not read"
    return errors.RefusalError(
        STREAM_UNKNOWN,
        503,
        f"None of {result.asked} other hosts knows which software began the "
        f"stream; {result.unanswered} have not answered. The journal in the "
        f"store {journal}.",
        _BEGIN_ANEW,
        retry_after_s=None if result.is_final else _UNKNOWN_RETRY_S,
    )


def make_doubtful_error(
    origin: stream_origin.StreamOrigin,
) -> errors.RefusalError:
    """Returns the refusal of a stream whose records contradict each other."""
    return errors.RefusalError(
        STREAM_UNKNOWN,
        503,
        f"Hosts disagree on which software of {origin.pool} began the stream.",
        _BEGIN_ANEW,
    )
