"""How an attempt ended, as far as the gateway can prove."""

from __future__ import annotations

import dataclasses

from hillthread.platform import attempts
from hillthread.transport import http1_client

__all__ = ["Broken", "Lost", "NotRun", "Outcome", "Relayed", "Unsent", "Whole"]


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """No byte reached the target."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target said that it did not run the request and never will.

    Attributes:
        status: Of its answer.
        meaning: What its answer said.
    """

    status: int
    meaning: attempts.AnswerMeaning


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """It may have run, and no answer of it can be passed on."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A stream broke off after some of its events were relayed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """It ran, and its whole answer is here, not yet relayed."""

    answer: http1_client.WholeAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """It ran, and its answer was relayed whole."""

    status: int


Outcome = Unsent | NotRun | Lost | Broken | Whole | Relayed
