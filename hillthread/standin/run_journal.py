"""The runs of an engine stand-in, which tests check against the answers."""

from __future__ import annotations

from typing import Any

from hillthread.standin import engine_model

__all__ = ["RunJournal"]


class RunJournal:
    """Records every run, including those of earlier incarnations.

    Attributes:
        entries: One document for each run, oldest first.
    """

    def __init__(self):
        self.entries: list[dict[str, Any]] = []

    def begin(self, job: engine_model.Job, incarnation: str) -> None:
        """Records the start of a run."""
        self.entries.append(
            {
                "attempt_id": job.job_id,
                "incarnation": incarnation,
                "prompt_tokens": job.prompt_tokens,
                "end": "running",
            }
        )

    def end(self, job: engine_model.Job, how: str) -> None:
        """Records how the newest run of an attempt ended."""
        for entry in reversed(self.entries):
            if entry["attempt_id"] == job.job_id:
                entry["end"] = how
                entry["generated"] = job.generated
                entry["cached_tokens"] = job.cached_tokens
                return
