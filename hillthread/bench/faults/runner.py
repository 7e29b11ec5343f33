"""Runs the fault matrix and writes the page that shows it."""

from __future__ import annotations

import pathlib
import random
import time
from typing import NamedTuple

import anyio

from hillthread.bench import processes
from hillthread.bench.faults import checker
from hillthread.bench.faults import data_path
from hillthread.bench.faults import matrix
from hillthread.bench.faults import site_path
from hillthread.bench.faults import site_scenarios

__all__ = ["CellResult", "Report", "run_data_cells", "run_matrix"]

_HEADER = """\
# Fault matrix

Written by `make faults`. Real processes: the shipped router, control and
stand-ins. The checker judges from what callers and stand-ins saw. `whole`: the
caller got its whole answer; `truthful`: that, or an explicit error whose `run`
is true. Both include that nothing wrong was passed on as right, and that a
request not to be repeated ran at most once.

"""


class CellResult(NamedTuple):
    """The result of one cell.

    Attributes:
        name: Fault, step and extent.
        promise: What had to hold.
        outcome: What the caller got.
        violations: None when the promise held.
        seconds: How long it took.
    """

    name: str
    promise: str
    outcome: str
    violations: list[str]
    seconds: float


class Report(NamedTuple):
    """The result of a run.

    Attributes:
        results: Of all cells that were run.
        impossible: Cells that cannot be, and why.
    """

    results: list[CellResult]
    impossible: list[matrix.Impossible]

    @property
    def violations(self) -> int:
        """Cells in which a promise was broken."""
        return sum(bool(each.violations) for each in self.results)

    def totals(self) -> str:
        """Returns the line of totals."""
        cells = len(self.results) + len(self.impossible)
        return (
            f"{cells} cells: {len(self.results)} run, "
            f"{len(self.impossible)} impossible, "
            f"{self.violations} with violations"
        )

    def page(self) -> str:
        """Returns the whole page."""
        lines = [_HEADER + self.totals() + ".", "", "## Run", ""]
        lines += [
            "| cell | promise | outcome | violations |",
            "| --- | --- | --- | --- |",
        ]
        lines += [
            f"| {each.name} | {each.promise} | {each.outcome} | "
            f"{'; '.join(each.violations) or 'none'} |"
            for each in self.results
        ]
        lines += ["", "## Impossible", "", "| cell | why |", "| --- | --- |"]
        lines += [
            f"| {each.fault}/{each.step} | {each.why} |"
            for each in self.impossible
        ]
        return "\n".join(lines) + "\n"


def run_matrix(
    seed: int | None = None, sample: int = 0, page: str = ""
) -> Report:
    """Runs all cells, or a seeded sample of each part.

    Args:
        seed: Of the sample and of the order.
        sample: Cells of each part; 0 for all.
        page: Where to write the page, or empty.
    """
    cells = _sample(matrix.data_cells(), seed, sample)
    scenarios = _sample(list(site_scenarios.SCENARIOS), seed, sample)
    results = run_data_cells(cells)
    with processes.ProcessGroup() as group:
        results += anyio.run(_run_site, group, scenarios)
    report = Report(results, matrix.impossible_cells())
    if page:
        pathlib.Path(page).write_text(report.page())
    return report


def run_data_cells(
    cells: list[matrix.Cell], router_module: str = ""
) -> list[CellResult]:
    """Runs cells of the data path.

    Args:
        cells: In order.
        router_module: A module to run in the place of the router, to test
            the checker.
    """
    with processes.ProcessGroup() as group:
        return anyio.run(_run_data, group, cells, router_module)


def _sample(cells: list, seed: int | None, count: int) -> list:
    if count == 0:
        return cells
    return random.Random(seed).sample(cells, min(count, len(cells)))


async def _run_data(
    group: processes.ProcessGroup, cells: list[matrix.Cell], module: str
) -> list[CellResult]:
    path = data_path.DataPath(group, module)
    await path.start()
    results = [await _run_cell(path, cell) for cell in cells]
    await path.close()
    return results


async def _run_cell(path: data_path.DataPath, cell: matrix.Cell) -> CellResult:
    started = time.monotonic()
    injected = await path.injected()
    evidence = await path.run_cell(cell.fault, cell.step, cell.everywhere)
    violations = checker.judge(evidence, cell.promise)
    if await path.injected() == injected:
        violations.append("the fault did not happen")
    return _report(
        cell.name, cell.promise, _outcome(evidence), violations, started
    )


async def _run_site(
    group: processes.ProcessGroup, scenarios: list[site_scenarios.Scenario]
) -> list[CellResult]:
    if not scenarios:
        return []
    path = site_path.SitePath(group)
    await path.start()
    results = []
    for scenario in scenarios:
        started = time.monotonic()
        violations = await scenario.run(path)
        results.append(
            _report(scenario.name, "see code", "-", violations, started)
        )
    await path.close()
    return results


def _report(
    name: str,
    promise: str,
    outcome: str,
    violations: list[str],
    started: float,
) -> CellResult:
    seconds = time.monotonic() - started
    print(f"{name}: {'; '.join(violations) or 'held'}", flush=True)
    return CellResult(name, promise, outcome, violations, seconds)


def _outcome(evidence: checker.Evidence) -> str:
    answer = evidence.answer
    if answer.complete:
        return f"whole, {len(evidence.runs)} runs"
    code = (answer.error or {}).get("code", "none")
    return f"{code}, run {answer.run or 'untold'}"
