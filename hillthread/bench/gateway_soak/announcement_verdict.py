"""Judges what hosts send to targets that announce departures or back-offs."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.standin import platform_target

__all__ = ["violations"]

# Requests under way when a back-off is asked for have arrived by then.
_IN_FLIGHT_S = 0.5
_MOST_IN_BACKOFF = 2
_PAUSED = "host_paused"


class _Sender(NamedTuple):
    """One process of a host."""

    host: str
    life: int


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each request that an announcement should have prevented."""
    exchanges = {each.request_id: each for each in evidence.exchanges}
    for target in evidence.targets:
        yield from _after_departure(evidence, exchanges, target)
        yield from _within_backoff(evidence, exchanges, target)


def _after_departure(
    evidence: evidence_lib.Evidence,
    exchanges: dict[str, evidence_lib.Exchange],
    target: platform_target.PlatformTargetStandin,
) -> Iterator[evidence_lib.Violation]:
    """A host that passed on an announced departure sends no later request."""
    announced_at: dict[tuple[_Sender, int], float] = {}
    for each in target.announcements:
        exchange = exchanges.get(each.request_id)
        if not each.is_leaving or exchange is None or not exchange.whole:
            continue
        if exchange.receipt != f"stamp-{target.name}":
            continue
        key = (_Sender(exchange.host, exchange.life), each.start)
        at = announced_at.get(key, float("inf"))
        announced_at[key] = min(at, exchange.ended_at)
    for arrival in target.arrivals:
        exchange = exchanges.get(arrival.request_id)
        if exchange is None:
            continue
        key = (_Sender(exchange.host, exchange.life), arrival.start)
        at = announced_at.get(key, float("inf"))
        late_s = exchange.sent_at - at
        if late_s <= evidence.bounds.drain_s:
            continue
        if not _was_paused(evidence, exchange.host, at, arrival.at):
            yield evidence_lib.Violation(
                "drain",
                arrival.request_id,
                f"{target.name} announced its departure {late_s:.2f} s before",
            )


def _within_backoff(
    evidence: evidence_lib.Evidence,
    exchanges: dict[str, evidence_lib.Exchange],
    target: platform_target.PlatformTargetStandin,
) -> Iterator[evidence_lib.Violation]:
    """A host sends next to nothing to a target that it has to leave alone."""
    for each in target.announcements:
        refused = exchanges.get(each.request_id)
        if not each.backoff_s or refused is None:
            continue
        begin = each.at + _IN_FLIGHT_S
        end = each.at + each.backoff_s
        sender = _Sender(refused.host, refused.life)
        if any(
            evidence.disturbed(subject, each.at, end)
            for subject in (sender.host, target.name, evidence_lib.OBSERVER)
        ):
            continue
        count = sum(
            begin <= arrival.at < end
            and arrival.start == each.start
            and _sender(exchanges.get(arrival.request_id)) == sender
            for arrival in target.arrivals
        )
        if count > _MOST_IN_BACKOFF:
            yield evidence_lib.Violation(
                "backoff",
                target.name,
                f"{count} from {sender.host} within {each.backoff_s} s",
            )


def _sender(exchange: evidence_lib.Exchange | None) -> _Sender | None:
    return _Sender(exchange.host, exchange.life) if exchange else None


def _was_paused(
    evidence: evidence_lib.Evidence, host: str, begin: float, end: float
) -> bool:
    return any(
        each.kind == _PAUSED
        and each.subject == host
        and each.began_at <= end
        and each.ended_at >= begin
        for each in evidence.disturbances
    )
