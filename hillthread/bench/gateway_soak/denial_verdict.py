"""Judges requests that were denied although the configuration allows them."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

_DENIED = frozenset([401, 403, 404])


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each request that was denied wrongly."""
    for exchange in evidence.exchanges:
        if exchange.status not in _DENIED:
            continue
        if exchange.status == 404 or not _is_excused(evidence, exchange):
            yield evidence_lib.make_violation(
                exchange, "denied", str(exchange.status)
            )


def _is_excused(
    evidence: evidence_lib.Evidence, exchange: evidence_lib.Exchange
) -> bool:
    life = evidence.keys[exchange.key]
    known_at = _last_issued_at(evidence, life) + evidence.bounds.configuration_s
    return (
        exchange.sent_at <= known_at
        or exchange.ended_at >= life.withdrawn_at
        or _knows_a_copy_only(evidence, exchange)
    )


def _last_issued_at(
    evidence: evidence_lib.Evidence, life: evidence_lib.KeyLife
) -> float:
    """Returns when a key was written, or written again after a loss.

    The store may lose a key before hosts must have read it.
    """
    issued_at = life.issued_at
    for each in evidence.disturbances:
        is_lost_unread = (
            each.kind == "store_restored"
            and each.ended_at >= issued_at
            and each.began_at <= issued_at + evidence.bounds.configuration_s
        )
        if is_lost_unread:
            issued_at = each.ended_at
    return issued_at


def _knows_a_copy_only(
    evidence: evidence_lib.Evidence, exchange: evidence_lib.Exchange
) -> bool:
    """Returns whether a host may know no more than a restored store.

    A process that has just started cannot know of a key that the copy lacks,
    until the operator's record is written again.
    """
    begin = exchange.sent_at - evidence.bounds.contact_s
    is_restored = any(
        each.kind == "store_restored"
        and each.began_at <= exchange.ended_at
        and each.ended_at >= begin
        for each in evidence.disturbances
    )
    return is_restored and evidence.disturbed(
        exchange.host, begin, exchange.ended_at
    )
