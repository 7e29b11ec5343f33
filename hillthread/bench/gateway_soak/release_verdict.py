"""Judges whether streams stay at the release that began them, and go on."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import re

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["event_ids", "releases_in", "violations", "without_releases"]

_RELEASE = re.compile(rb" by (\S+)")
_EVENT_ID = re.compile(rb"^id: (\d+)\r?$", re.MULTILINE)
# Streams that callers took up, fewer of which prove nothing.
_MIN_RECONNECTS = 12
_CONTINUED_SHARE = 0.5
# Engines of the release that must serve for a stream to go on.
_MIN_ENGINES = 2


def releases_in(body: bytes) -> set[bytes]:
    """Returns the releases that wrote the events in a body."""
    return set(_RELEASE.findall(body))


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the events in a body."""
    return [int(number) for number in _EVENT_ID.findall(body)]


def without_releases(body: bytes) -> bytes:
    """Returns a body as engines write it that do not name their release."""
    return _RELEASE.sub(b"", body)


def violations(
    evidence: evidence_lib.Evidence, strict_time: bool
) -> Iterator[evidence_lib.Violation]:
    """Returns streams of two releases, and reconnects that were lost.

    Args:
        evidence: What was seen.
        strict_time: Whether it is judged who was in touch.
    """
    streams: dict[str, set[bytes]] = collections.defaultdict(set)
    for exchange in evidence.exchanges:
        if exchange.status == 200:
            stream = exchange.resumes or exchange.request_id
            streams[stream] |= releases_in(exchange.body)
    for stream, releases in streams.items():
        if len(releases) > 1:
            names = b", ".join(sorted(releases)).decode()
            yield evidence_lib.Violation(
                "release", stream, f"events of {names}"
            )
    if strict_time:
        yield from _judge_continued(evidence)


def _judge_continued(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    begun: list[bool] = []
    continued: list[bool] = []
    for exchange in evidence.exchanges:
        if (
            exchange.route != "resume"
            or exchange.left
            or not exchange.ended_at
            or not evidence.is_key_valid(exchange)
            or not evidence.in_touch(
                exchange.host, exchange.sent_at, exchange.ended_at
            )
        ):
            continue
        goes_on = exchange.status == 200
        if not exchange.resumes:
            begun.append(goes_on)
        elif exchange.engines_left >= _MIN_ENGINES:
            continued.append(goes_on)
    if len(continued) < _MIN_RECONNECTS or not begun:
        return
    share = continued.count(True) / len(continued)
    begun_share = begun.count(True) / len(begun)
    if share < _CONTINUED_SHARE * begun_share:
        yield evidence_lib.Violation(
            "reconnect",
            "callers",
            f"{share:.2f} of {len(continued)} streams went on, "
            f"{begun_share:.2f} of {len(begun)} new ones began",
        )
