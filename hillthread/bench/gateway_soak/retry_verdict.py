"""Judges retries of all hosts together from what targets received."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

_ROUTES = {"engines": ("stream", "resume"), "plain": ("once", "again")}
# Targets that only fail requests delay no arrivals.
_HARMLESS_KINDS = frozenset(["targets_fail", "target_misbehaves"])


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each service that got more retries in some window than allowed.

    The requests of a window are counted in it, in the one before, or half a
    window before, whichever has most.
    """
    bounds = evidence.bounds
    for service, routes in _ROUTES.items():
        requests = sorted(
            each.sent_at for each in evidence.exchanges if each.route in routes
        )
        retries = _list_retries(evidence, service)
        for number, start in enumerate(retries):
            window_s = bounds.retry_window_s
            made = bisect.bisect_left(retries, start + window_s) - number
            sent = max(
                bisect.bisect_left(requests, begin + window_s)
                - bisect.bisect_left(requests, begin)
                for begin in (start, start - window_s, start - window_s / 2)
            )
            allowed = bounds.retry_ratio * sent + bounds.retry_extra
            if made > allowed:
                yield evidence_lib.Violation(
                    "retries",
                    service,
                    f"{made} in {window_s:.0f} s for {sent} requests, "
                    f"allowed {allowed:.0f}",
                )
                break


def _list_retries(evidence: evidence_lib.Evidence, service: str) -> list[float]:
    """Returns when attempts beyond the first of each request arrived."""
    arrivals = collections.defaultdict(list)
    for target in evidence.targets:
        if target.service != service:
            continue
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append((arrival.at, target.name))
    return sorted(
        at
        for times in arrivals.values()
        for at, target in sorted(times)[1:]
        if not _is_delayed(evidence, target, at)
    )


def _is_delayed(
    evidence: evidence_lib.Evidence, target: str, at: float
) -> bool:
    """Returns whether a link or this process may have delayed an arrival."""
    begin = at - evidence.bounds.contact_s
    return any(
        each.subject in (target, evidence_lib.OBSERVER)
        and each.kind not in _HARMLESS_KINDS
        and each.began_at <= at
        and each.ended_at >= begin
        for each in evidence.disturbances
    )
