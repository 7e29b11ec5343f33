"""Seeds of the soak that once broke a promise, and why."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["REGRESSIONS", "Regression"]


class Regression(NamedTuple):
    """One seed.

    Attributes:
        seed: Of load and faults.
        seconds: How long faults began.
        cause: What it came from.
        hosts: Gateways.
        engines: Engines.
        callers: Callers at the same time.
    """

    seed: int
    seconds: float
    cause: str
    hosts: int = 3
    engines: int = 3
    callers: int = 8


_PLAIN_ANSWER = (
    "the judge took an engine's own answer that is no stream for a wrong one"
)

REGRESSIONS = (
    Regression(3, 12.0, _PLAIN_ANSWER),
    Regression(7, 12.0, _PLAIN_ANSWER),
    Regression(11, 12.0, _PLAIN_ANSWER),
    Regression(36, 12.0, _PLAIN_ANSWER),
    Regression(38, 12.0, _PLAIN_ANSWER),
    Regression(43, 12.0, _PLAIN_ANSWER),
    Regression(48, 12.0, _PLAIN_ANSWER),
    Regression(50, 12.0, _PLAIN_ANSWER),
    Regression(
        201,
        15.0,
        "the soak's own process was late beside other work: the gateway had "
        "closed its attempts 0.2 s after they began, as its log says",
        hosts=30,
        engines=8,
        callers=40,
    ),
)
