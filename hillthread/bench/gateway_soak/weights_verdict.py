"""Judges whether engines started requests on weights that were too old.

Judged from outside: which version an engine had when it started a request, and
when newer ones had been named.
"""

from __future__ import annotations

import bisect
from typing import NamedTuple

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.standin import platform_target

__all__ = ["OldStart", "WeightsJudge"]

# Faults that may hold a request up between a host and a target.
_LINK_FAULTS = frozenset(["target_link_fails", "connections_silenced"])


class OldStart(NamedTuple):
    """A request that started on weights named too long ago.

    Attributes:
        held: The version that the target had.
        newer: The first of the newer ones.
        age_s: Since that one was named.
    """

    held: int
    newer: int
    age_s: float

    def __str__(self) -> str:
        return (
            f"weights {self.held}, {self.age_s:.2f} s after {self.newer} "
            "were named"
        )


class WeightsJudge:
    """Finds starts on old weights.

    Attributes:
        evidence: What was seen.
        excused: Old starts at hosts that were not in touch, or over a link
            that failed.
    """

    def __init__(self, evidence: evidence_lib.Evidence):
        self.evidence = evidence
        self.excused = 0

    def old_start(
        self,
        exchange: evidence_lib.Exchange,
        target: platform_target.PlatformTargetStandin,
        run: platform_target.Run,
    ) -> OldStart | None:
        """Returns what is wrong with a start, or None."""
        newer = self._first_newer(run.weights) if target.model else None
        if newer is None:
            return None
        age_s = run.at - newer.at
        if age_s <= self.evidence.bounds.version_s:
            return None
        if self._is_excused(exchange, target, run):
            self.excused += 1
            return None
        return OldStart(run.weights, newer.version, age_s)

    def _first_newer(self, held: int) -> evidence_lib.NamedVersion | None:
        """Returns what made a version old: versions are named in order."""
        named = self.evidence.weights_named
        place = bisect.bisect_right(named, held, key=lambda each: each.version)
        return named[place] if place < len(named) else None

    def _is_excused(
        self,
        exchange: evidence_lib.Exchange,
        target: platform_target.PlatformTargetStandin,
        run: platform_target.Run,
    ) -> bool:
        contact_s = self.evidence.bounds.weights_contact_s
        return not self.evidence.in_touch(
            exchange.host, run.at, run.at, contact_s
        ) or any(
            each.subject == target.name
            and each.kind in _LINK_FAULTS
            and each.began_at <= run.at
            and each.ended_at >= exchange.sent_at
            for each in self.evidence.disturbances
        )
