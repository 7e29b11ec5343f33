"""Judges requests whose body crashes each target that runs them."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

# Crashes after which a body is known, and runs that are allowed later.
_CRASHES_TO_KNOW = 3
_MAX_LATE_RUNS = 3


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each body that ran at too many targets once it was known."""
    hosts = {each.request_id: each.host for each in evidence.exchanges}
    runs = sorted(
        (run for target in evidence.targets for run in target.runs),
        key=lambda run: run.at,
    )
    for body in sorted(evidence.deadly):
        crashes = [run for run in runs if run.request.body == body]
        if len(crashes) < _CRASHES_TO_KNOW:
            continue
        known_at = crashes[_CRASHES_TO_KNOW - 1].at
        known_at += evidence.bounds.contact_s
        late = [
            run
            for run in crashes
            if run.at > known_at
            and _has_contact(evidence, hosts[run.request_id], run.at)
        ]
        if len(late) > _MAX_LATE_RUNS:
            yield evidence_lib.Violation(
                "budget",
                body.decode(),
                f"sent {len(late)} times more after {len(crashes)} crashes",
            )


def _has_contact(evidence: evidence_lib.Evidence, host: str, at: float) -> bool:
    """Returns whether a host has been able to hear of what others saw.

    That this process stands still for a moment excuses no host: it delays what
    they hear by less than the time they have for it.
    """
    begin = at - evidence.bounds.contact_s
    return not any(
        evidence.disturbed(subject, begin, at) for subject in (host, "store")
    )
