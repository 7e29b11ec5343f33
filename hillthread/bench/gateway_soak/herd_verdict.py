"""Judges hosts to which the balancer sends most new connections."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

# Requests are read at least this share as often as before.
_READ_SHARE = 0.75
_MIN_REQUESTS = 20


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each host that read too few requests while it was preferred."""
    for each in evidence.preferences:
        begin = each.began_at + evidence.bounds.contact_s
        during = _list_reads(evidence, each.subject, begin, each.ended_at)
        before = _list_reads(evidence, "", 0.0, each.began_at)
        if min(len(during), len(before)) < _MIN_REQUESTS:
            continue
        share = during.count(True) / len(during)
        usual = before.count(True) / len(before)
        if share < _READ_SHARE * usual:
            yield evidence_lib.Violation(
                "recover",
                each.subject,
                f"read {share:.2f} of {len(during)} while most new "
                f"connections came there, before {usual:.2f}",
            )


def _list_reads(
    evidence: evidence_lib.Evidence, host: str, begin: float, end: float
) -> list[bool]:
    """Returns whether requests to a host in contact were read; "" for any."""
    return [
        each.status != 0
        for each in evidence.exchanges
        if begin <= each.sent_at < end
        and host in ("", each.host)
        and not each.left
        and evidence.in_touch(each.host, each.sent_at, each.ended_at)
    ]
