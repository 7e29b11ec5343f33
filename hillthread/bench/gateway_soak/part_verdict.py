"""Judges prompts of which one part crashes each engine that answers them."""

from __future__ import annotations

from collections.abc import Iterator

from hillthread.bench.gateway_soak import evidence as evidence_lib

__all__ = ["violations"]

# Crashes after which a part is known, and arrivals that are allowed later.
_CRASHES_TO_KNOW = 5
_MAX_LATE_ARRIVALS = 3
# Sound prompts are served at least this share as often as before.
_SERVED_SHARE = 0.5
_MIN_PROMPTS = 20


def violations(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Violation]:
    """Returns each part that crashed too many engines or blocked others."""
    hosts = {each.request_id: each.host for each in evidence.exchanges}
    for part, life in evidence.deadly_parts.items():
        ids = {
            each.request_id for each in evidence.exchanges if part in each.parts
        }
        arrivals = sorted(
            (arrival.at, hosts[arrival.request_id])
            for target in evidence.targets
            for arrival in target.arrivals
            if arrival.request_id in ids
        )
        crashes = sorted(
            run.at
            for target in evidence.targets
            for run in target.runs
            if run.request_id in ids
        )
        if not crashes:
            continue
        known_at = crashes[:_CRASHES_TO_KNOW][-1]
        late = [
            at
            for at, host in arrivals
            if at > known_at + evidence.bounds.contact_s
            and evidence.in_touch(host, at, at)
        ]
        if len(crashes) >= _CRASHES_TO_KNOW and len(late) > _MAX_LATE_ARRIVALS:
            yield evidence_lib.Violation(
                "parts",
                part,
                f"{len(late)} late arrivals, {len(crashes)} engines crashed",
            )
        yield from _judge_sound(evidence, part, life, known_at)


def _judge_sound(
    evidence: evidence_lib.Evidence,
    part: str,
    life: evidence_lib.PartLife,
    known_at: float,
) -> Iterator[evidence_lib.Violation]:
    """Returns whether sound prompts beside a part are served too seldom."""
    begin = known_at + 2 * evidence.bounds.contact_s
    before: list[bool] = []
    after: list[bool] = []
    for each in evidence.exchanges:
        if each.route != life.route or part in each.parts or each.left:
            continue
        is_calm = evidence.in_touch(each.host, each.sent_at, each.ended_at)
        if not is_calm or not evidence.is_key_valid(each):
            continue
        is_served = each.status == 200
        if each.ended_at < life.began_at:
            before.append(is_served)
        elif begin <= each.sent_at and each.ended_at <= life.ended_at:
            after.append(is_served)
    if min(len(before), len(after)) < _MIN_PROMPTS:
        return
    share = after.count(True) / len(after)
    usual = before.count(True) / len(before)
    if share < _SERVED_SHARE * usual:
        yield evidence_lib.Violation(
            "parts_lost",
            part,
            f"served {share:.2f} of {len(after)}, before {usual:.2f}",
        )
