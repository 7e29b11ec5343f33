"""Judges quotas from what targets have run, over all hosts together."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.platform import attempts
from hillthread.platform import names

__all__ = ["violations"]

# A host that was not in touch may have kept an older quota; without a fault all
# have the newest after the time for configurations, and this.
_CALM_S = 2.0


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each tenant that ran more in some window than it may."""
    runs = _runs(evidence)
    for tenant, quotas in evidence.quotas.items():
        detail = _worst(evidence, quotas, runs.get(tenant, []))
        if detail:
            yield evidence_lib.Violation("quota", tenant, detail)


def _runs(
    evidence: evidence_lib.Evidence,
) -> dict[str, list[tuple[float, float]]]:
    """Returns when what was run for each tenant, in order."""
    runs = collections.defaultdict(list)
    for target in evidence.targets:
        for run in target.runs:
            tenant = run.request.get(names.TENANT).decode()
            told = attempts.decode_prompt(run.request.headers).counted_tokens
            tokens = evidence_lib.PLAIN_TOKENS if told is None else told
            runs[tenant].append((run.at, float(tokens)))
    return {tenant: sorted(each) for tenant, each in runs.items()}


def _worst(
    evidence: evidence_lib.Evidence,
    quotas: list[evidence_lib.QuotaLife],
    runs: list[tuple[float, float]],
) -> str:
    """Tells of the window that is furthest over the quota, if one is."""
    window_s = evidence.bounds.quota_window_s
    first, total, worst, detail = 0, 0.0, 0.0, ""
    for at, tokens in runs:
        total += tokens
        while runs[first][0] < at - window_s:
            total -= runs[first][1]
            first += 1
        allowed = _allowed(evidence, quotas, runs[first][0], at)
        if total - allowed > worst:
            worst = total - allowed
            detail = f"{total:.0f} in {window_s:.0f} s, allowed {allowed:.0f}"
    return detail


def _allowed(
    evidence: evidence_lib.Evidence,
    quotas: list[evidence_lib.QuotaLife],
    begin: float,
    end: float,
) -> float:
    """Returns the tokens allowed in a window.

    A lower quota takes hold one window after all hosts have it.
    """
    bounds = evidence.bounds
    since = begin - bounds.quota_window_s - bounds.configuration_s - _CALM_S
    is_calm = not any(
        each.began_at <= end and each.ended_at >= since
        for each in evidence.disturbances
    )
    later = [each.at for each in quotas[1:]] + [float("inf")]
    rates = [
        quota.rate_per_s
        for quota, replaced_at in zip(quotas, later, strict=True)
        if quota.at <= end and (replaced_at >= since or not is_calm)
    ]
    limit = max(rates) * (bounds.quota_window_s + 1.0)
    return limit * (1.0 + bounds.quota_over) + bounds.quota_slack
