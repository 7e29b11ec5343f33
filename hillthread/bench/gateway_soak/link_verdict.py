"""Judges how callers of hosts that reach no target are served."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

# Callers of such hosts are served at least this share as often as others.
_SERVED_SHARE = 2 / 3
# More failures are needed than these: some, and one of so many requests.
_MIN_FAILURES = 10
_FAILURES_PER_REQUEST = 1 / 50


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each time in which hosts without links served too few."""
    spans = {
        (each.began_at, each.ended_at)
        for each in evidence.disturbances
        if each.kind == evidence_lib.TARGETS_LOST
    }
    for began_at, ended_at in sorted(spans):
        yield from _judge_span(
            evidence, began_at + evidence.bounds.contact_s, ended_at
        )


def _judge_span(
    evidence: evidence_lib.Evidence, begin: float, end: float
) -> Iterator[evidence_lib.Violation]:
    cut: list[bool] = []
    others: list[bool] = []
    cut_hosts = {
        host
        for host in {each.host for each in evidence.exchanges}
        if _is_cut_throughout(evidence, host, begin, end)
    }
    for exchange in evidence.exchanges:
        is_inside = begin <= exchange.sent_at and exchange.ended_at <= end
        if not is_inside or exchange.left or not exchange.ended_at:
            continue
        if not evidence.in_touch(
            exchange.host, exchange.sent_at, exchange.ended_at
        ) or not evidence.is_key_valid(exchange):
            continue
        is_served = exchange.status == 200 and exchange.whole
        (cut if exchange.host in cut_hosts else others).append(is_served)
    if not cut or not others:
        return
    failures = cut.count(False)
    if failures <= _MIN_FAILURES + _FAILURES_PER_REQUEST * len(cut):
        return
    share = cut.count(True) / len(cut)
    others_share = others.count(True) / len(others)
    if share < _SERVED_SHARE * others_share:
        yield evidence_lib.Violation(
            "reach",
            ",".join(sorted(cut_hosts)),
            f"served {share:.2f} of {len(cut)} without links to targets, "
            f"others {others_share:.2f} of {len(others)}",
        )


def _is_cut_throughout(
    evidence: evidence_lib.Evidence, host: str, begin: float, end: float
) -> bool:
    subject = evidence_lib.targets_of(host)
    return any(
        each.subject == subject
        and each.began_at <= begin
        and each.ended_at >= end
        for each in evidence.disturbances
    )
