"""Judges limits of targets from what reached them, from all hosts together."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.standin import platform_target

__all__ = ["violations"]

# The platform judges any span of this length, and allows half as much again and
# some requests more.
_WINDOW_S = 4.0
_MORE_SHARE = 0.5
_MORE_REQUESTS = 5.0


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each target that got more in some window than it named."""
    hosts = {each.request_id: each.host for each in evidence.exchanges}
    for target in evidence.targets:
        lives = evidence.limits.get(target.name, [])
        ends = [*(each.at for each in lives[1:]), float("inf")]
        for life, end in zip(lives, ends, strict=False):
            if life.per_s is None:
                continue
            begin = life.at + evidence.bounds.contact_s
            counted = [
                each.at
                for each in target.arrivals
                if begin <= each.at < end
                and _counts(evidence, target, hosts, each)
            ]
            detail = _worst(counted, life.per_s)
            if detail:
                yield evidence_lib.Violation("limit", target.name, detail)


def _counts(
    evidence: evidence_lib.Evidence,
    target: platform_target.PlatformTargetStandin,
    hosts: dict[str, str],
    arrival: platform_target.Arrival,
) -> bool:
    """Returns whether nothing excuses what reached a target.

    What a link or the soak's own process held up arrives all at once.
    """
    begin = arrival.at - evidence.bounds.contact_s
    host = hosts.get(arrival.request_id, "")
    return not any(
        evidence.disturbed(subject, begin, arrival.at)
        for subject in (host, target.name, evidence_lib.OBSERVER)
    )


def _worst(times: list[float], per_s: float) -> str:
    """Tells of the window that holds most, if that is more than allowed."""
    allowed = per_s * _WINDOW_S * (1.0 + _MORE_SHARE) + _MORE_REQUESTS
    first, most = 0, 0
    for number, at in enumerate(times):
        while times[first] < at - _WINDOW_S:
            first += 1
        most = max(most, number + 1 - first)
    if most <= allowed:
        return ""
    return f"{most} in {_WINDOW_S:.0f} s, allowed {allowed:.0f}"
