"""What marks the end of the body of an HTTP/1.1 answer."""

from __future__ import annotations

from collections.abc import Iterable
import enum

__all__ = ["BodyFraming", "framing_of"]

_STATUSES_WITHOUT_BODY = (204, 304)


class BodyFraming(enum.StrEnum):
    """What marks the end of a body.

    Attributes:
        NONE: The answer has no body.
        LENGTH: Its `content-length`.
        CHUNKED: Its last chunk.
        CLOSE: The end of the connection, so that a body that is cut off by an
            orderly close looks like a complete one.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def framing_of(
    method: bytes, status: int, headers: Iterable[tuple[bytes, bytes]]
) -> BodyFraming:
    """Returns the framing of an answer (RFC 9112, section 6.3).

    Args:
        method: Method of the request, in upper case.
        status: Status of the answer.
        headers: Headers of the answer, names in lower case.
    """
    if method == b"HEAD" or status in _STATUSES_WITHOUT_BODY:
        return BodyFraming.NONE
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKED
    if b"content-length" in names:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
