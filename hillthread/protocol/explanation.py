"""Explains a decision record in text."""

from __future__ import annotations

from typing import Any

__all__ = ["explain"]

_REASON_TEXTS = {
    "warm": "its cache is believed to hold the shared prefix",
    "pending": "an earlier request is computing the shared prefix there",
    "rendezvous": "no warm target was better, and all routers rank it first",
    "least_cost": "it costs least, queue and recomputation taken together",
    "only_candidate": "it was the only eligible target",
}


def explain(record: dict[str, Any]) -> str:
    """Returns a text that explains the record of one request.

    Args:
        record: A `RequestRecord` as a JSON document.
    """
    lines = [
        f"Request {record['request_id']} of tenant {record['tenant']} for "
        f"{record['path']} (model {record['model'] or '-'}), received by "
        f"{record['host']}.",
        f"Route {record['route']}, policy {record['policy']}, configuration "
        f"position {record['position']}.",
        f"Prompt of about {record['prompt_tokens']} tokens, prefix levels at "
        f"{record['level_tokens']}.",
        f"Waited {record['queued_s']:.3f} s for admission.",
    ]
    for number, attempt in enumerate(record["attempts"], 1):
        lines.extend(_explain_attempt(number, attempt))
    code = f" with code {record['code']}" if record["code"] else ""
    lines.append(
        f"Outcome: {record['outcome']}{code}, run: {record['run']}, after "
        f"{_format_seconds(record['ended_s'])}."
    )
    return "\n".join(lines)


def _explain_attempt(number: int, attempt: dict[str, Any]) -> list[str]:
    decision = attempt["decision"]
    reason = _REASON_TEXTS.get(
        decision["reason"] or "", "no target was eligible"
    )
    lines = [
        f"Attempt {number} ({attempt['attempt_id']}) went to "
        f"{decision['target'] or 'no target'}: {reason}."
    ]
    lines.extend(f"  {_explain_score(each)}" for each in decision["scores"])
    cached_tokens = attempt["cached_tokens"]
    lines.append(
        f"  It was {attempt['state']}; expected {attempt['predicted_cached']} "
        f"tokens cached, the engine told "
        f"{'nothing' if cached_tokens is None else cached_tokens}; first "
        f"token after {_format_seconds(attempt['first_token_s'])}, ended after "
        f"{_format_seconds(attempt['ended_s'])}."
    )
    if attempt["incarnation"]:
        lines.append(
            f"  Ran on incarnation {attempt['incarnation']} with weights "
            f"{attempt['weights_version']}."
        )
    if attempt["failure"]:
        lines.append(f"  It failed: {attempt['failure']}.")
    return lines


def _explain_score(score: dict[str, Any]) -> str:
    if score["exclusion"]:
        return f"{score['target']}: not eligible, {score['exclusion']}."
    age = score["report_age_s"]
    report = "no load report" if age < 0 else f"load report {age:.2f} s old"
    return (
        f"{score['target']}: cost {score['cost_s']:.4f} s = queue "
        f"{score['queue_s']:.4f} + prefill {score['prefill_s']:.4f} + "
        f"recomputation {score['recompute_s']:.4f} + rank {score['rank']}; "
        f"{score['warm_tokens']} tokens warm with probability "
        f"{score['warm_probability']:.2f} (seen {score['warm_age_s']:.1f} s "
        f"ago{', being computed' if score['pending'] else ''}); {report}, "
        f"{score['inflight']} own in flight."
    )


def _format_seconds(value: float | None) -> str:
    return "no time known" if value is None else f"{value:.3f} s"
