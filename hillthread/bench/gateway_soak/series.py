"""Runs soaks one after the other and tells of each."""

from __future__ import annotations

from collections.abc import Iterable

from hillthread import errors
from hillthread.bench.gateway_soak import runner

__all__ = ["run_series"]


def run_series(plans: Iterable[runner.SoakPlan]) -> None:
    """Runs soaks and prints a line for each, and one for each violation.

    Raises:
        HillthreadError: Some broke promises.
    """
    broken = []
    for plan in plans:
        report = runner.run_soak(plan)
        print(
            f"seed {plan.seed}: {report.requests} requests, "
            f"{report.whole} whole, {sum(report.faults.values())} faults, "
            f"{report.excused} old starts excused, "
            f"{len(report.violations)} promises broken",
            flush=True,
        )
        for violation in report.violations:
            print(f"  {violation}", flush=True)
        if report.violations:
            broken.append(plan.seed)
    if broken:
        raise errors.HillthreadError(
            f"Seeds {broken} broke promises.",
            "Run one again with --seed and --keep, and read the logs.",
        )
