"""The runs of an engine stand-in, for checkers: what callers cannot see."""

from __future__ import annotations

from typing import Any

from hillthread.standin import engine_model

__all__ = ["RunJournal"]


class RunJournal:
    """Every run, those of former incarnations included.

    Attributes:
        entries: One a run, oldest first, as told to checkers.
    """

    def __init__(self):
        self.entries: list[dict[str, Any]] = []

    def begin(self, job: engine_model.Job, incarnation: str) -> None:
        """Notes that a run has begun."""
        self.entries.append(
            {
                "attempt_id": job.job_id,
                "incarnation": incarnation,
                "prompt_tokens": job.prompt_tokens,
                "end": "running",
            }
        )

    def end(self, job: engine_model.Job, how: str) -> None:
        """Notes how the newest run of an attempt ended."""
        for entry in reversed(self.entries):
            if entry["attempt_id"] == job.job_id:
                entry["end"] = how
                entry["generated"] = job.generated
                entry["cached_tokens"] = job.cached_tokens
                return
