"""The table of cells: fault and step, and the promise that must hold."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.bench.faults import checker
from hillthread.bench.faults import data_path
from hillthread.standin import fault_proxy

__all__ = ["Cell", "Impossible", "data_cells", "impossible_cells"]

_STREAM_ONLY = {
    "no_terminal": "only streams have a terminal marker",
    "drop_event": "only streams have events",
    "slow": "an answer in one part is covered by delay",
    "stall": "an answer in one part is covered by blackhole",
}
_UNTESTABLE_ON_PLAIN = {
    "crossed_answer": "plain services do not echo attempt ids",
    "crossed_body": "plain services do not name attempts in bodies",
    "empty_200": "an empty body is a valid answer of a plain service",
    "truncate_clean": "a body cut cleanly is a valid one without its length",
    "duplicate_events": "the proxy cannot lengthen a body of known length",
}
_MASKED_FOR_ALL = frozenset(["delay", "slow", "duplicate_events"])
_RESUMED = frozenset(
    [
        "truncate_reset",
        "truncate_clean",
        "no_terminal",
        "drop_event",
        "stall",
    ]
)


class Cell(NamedTuple):
    """One cell of the data path.

    Attributes:
        fault: The proxy's fault.
        step: The kind of request.
        everywhere: On all targets all the time, or once.
        promise: What must hold.
    """

    fault: str
    step: data_path.Step
    everywhere: bool
    promise: checker.Promise

    @property
    def name(self) -> str:
        """As reports name it."""
        extent = "always" if self.everywhere else "once"
        return f"{self.fault}/{self.step.name}/{extent}"


class Impossible(NamedTuple):
    """A cell that cannot be, and why."""

    fault: str
    step: str
    why: str


def data_cells() -> list[Cell]:
    """Returns all cells of the data path that can be."""
    return [
        Cell(fault, step, everywhere, _promise(fault, step, everywhere))
        for fault in fault_proxy.FAULTS
        for step in data_path.STEPS
        if _why_impossible(fault, step) is None
        for everywhere in (False, True)
    ]


def impossible_cells() -> list[Impossible]:
    """Returns the cells that cannot be."""
    return [
        Impossible(fault, step.name, why)
        for fault in fault_proxy.FAULTS
        for step in data_path.STEPS
        if (why := _why_impossible(fault, step)) is not None
    ]


def _why_impossible(fault: str, step: data_path.Step) -> str | None:
    if not step.streamed and fault in _STREAM_ONLY:
        return _STREAM_ONLY[fault]
    if step.plain and fault in _UNTESTABLE_ON_PLAIN:
        return _UNTESTABLE_ON_PLAIN[fault]
    return None


def _promise(
    fault: str, step: data_path.Step, everywhere: bool
) -> checker.Promise:
    """Returns what must hold.

    A fault that happens once must be masked wherever the request may run
    again, or need not: a stream is resumed where it runs.
    """
    if fault in _MASKED_FOR_ALL:
        return checker.Promise.WHOLE
    if everywhere:
        return checker.Promise.TRUTHFUL
    if step.repeatable:
        return checker.Promise.WHOLE
    if step.streamed and fault in _RESUMED:
        return checker.Promise.WHOLE
    return checker.Promise.TRUTHFUL
