"""Outcomes of attempts, as far as the gateway can prove them.

The lower-cased class names are values of a metric label and a log field.
"""

from __future__ import annotations

import dataclasses

from hillthread import errors
from hillthread.platform import attempts
from hillthread.transport import http1_client

__all__ = [
    "Broken",
    "Declined",
    "ForwardOutcome",
    "Lost",
    "NotRun",
    "Outcome",
    "Refused",
    "Relayed",
    "Unsent",
    "Whole",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """No byte reached the target.

    Attributes:
        reason: Why it could not be sent.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target answered that it did not run the request and never will.

    Attributes:
        status: The status of its answer.
        meaning: The decoded head of its answer.
    """

    status: int
    meaning: attempts.AnswerMeaning


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The attempt may have run, but there is no answer to relay.

    Attributes:
        reason: Why the answer is missing or unusable.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer was cut off after a part of it was relayed.

    Attributes:
        reason: Why it was cut off.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The attempt ran, and its complete answer is not relayed yet.

    Attributes:
        answer: The answer.
    """

    answer: http1_client.WholeAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """The attempt ran, and its answer was relayed completely.

    Attributes:
        status: The status of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """Another host did not run the request; yet another one may.

    Attributes:
        reason: Why it did not.
        sends: Its attempts on targets, all of which refused.
    """

    reason: str
    sends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Another host refused the request for good.

    Attributes:
        refusal: Its refusal.
    """

    refusal: errors.RefusalError


Outcome = Unsent | NotRun | Lost | Broken | Whole | Relayed
# Of an attempt at another host.
ForwardOutcome = Unsent | Declined | Refused | Lost | Broken | Whole | Relayed
