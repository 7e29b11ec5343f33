"""Decision records: made when a decision is made, kept in bounded memory."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum

from hillthread import errors
from hillthread.state.routing import decision as decision_lib

__all__ = [
    "AttemptRecord",
    "AttemptState",
    "RecordStore",
    "RequestRecord",
    "infer_run_state",
    "trim_decision",
]

# Scores kept of a decision; see `trim_decision`.
_MAX_SCORES = 8


class AttemptState(enum.StrEnum):
    """How far an attempt got, as far as the router can prove."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    ACCEPTED = "accepted"
    ANSWERED = "answered"


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One attempt at one target.

    Attributes:
        attempt_id: Echoed by the target.
        decision: Why this target; scores beyond the best are only counted.
        started_s: Seconds from the request's arrival.
        state: How far it got.
        first_token_s: Seconds from the arrival, or None.
        ended_s: Seconds from the arrival, or None while it runs.
        predicted_cached: Tokens that were expected in the target's cache.
        cached_tokens: Tokens the engine said it found, or None.
        prompt_tokens: The prompt's length as the engine told it, or 0.
        completion_tokens: The answer's length as the engine told it, or 0.
        incarnation: What the answer said it ran on.
        weights_version: What the answer said it ran with.
        failure: Why it ended without a whole answer, or empty.
    """

    attempt_id: str
    decision: decision_lib.Decision
    started_s: float
    state: AttemptState = AttemptState.UNSENT
    first_token_s: float | None = None
    ended_s: float | None = None
    predicted_cached: int = 0
    cached_tokens: int | None = None
    prompt_tokens: int = 0
    completion_tokens: int = 0
    incarnation: str = ""
    weights_version: str = ""
    failure: str = ""


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """All that is known of one request.

    Attributes:
        request_id: Unique; told to the caller.
        received_at: Seconds since 1970.
        host: The host that decided.
        tenant: Who asked.
        path: The request's path.
        model: The model asked for, or empty.
        route: The route that matched, or empty.
        policy: The policy that applied, or empty.
        position: Configuration position the decision was made under.
        prompt_tokens: Estimated length.
        level_tokens: Estimated tokens at each prefix level.
        repeatable: Whether it may run more than once.
        queued_s: Seconds spent waiting for admission.
        attempts: In order.
        outcome: `running`, `answered`, `refused`, `broken` or `left`.
        code: The refusal's code, or empty.
        run: Whether a target ran it.
        ended_s: Seconds from arrival to the end, or None.
    """

    request_id: str
    received_at: float
    host: str
    tenant: str = ""
    path: str = ""
    model: str = ""
    route: str = ""
    policy: str = ""
    position: int = -1
    prompt_tokens: int = 0
    level_tokens: tuple[int, ...] = ()
    repeatable: bool = True
    queued_s: float = 0.0
    attempts: list[AttemptRecord] = dataclasses.field(default_factory=list)
    outcome: str = "running"
    code: str = ""
    run: errors.RunState = errors.RunState.NOT_RUN
    ended_s: float | None = None


class RecordStore:
    """The latest request records.

    Attributes:
        size: Records kept at most.
        dropped: Records that were made and are no longer kept.
    """

    def __init__(self, size: int):
        self.size = size
        self.dropped = 0
        self._records: collections.OrderedDict[str, RequestRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: RequestRecord) -> None:
        """Keeps a record, dropping the oldest when there is no room."""
        self._records[record.request_id] = record
        if len(self._records) > self.size:
            self._records.popitem(last=False)
            self.dropped += 1

    def get(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None when it is not kept."""
        return self._records.get(request_id)

    def newest(self) -> Iterator[RequestRecord]:
        """Yields all records, the newest first."""
        return reversed(self._records.values())


def infer_run_state(attempts: Sequence[AttemptRecord]) -> errors.RunState:
    """Returns whether a target ran a request, from all its attempts.

    It was not run only if every attempt ended unsent or was refused by a
    target whose refusals are true.
    """
    states = {attempt.state for attempt in attempts}
    if states & {AttemptState.ANSWERED, AttemptState.ACCEPTED}:
        return errors.RunState.RAN
    if AttemptState.SENT in states:
        return errors.RunState.UNKNOWN
    return errors.RunState.NOT_RUN


def trim_decision(
    decision: decision_lib.Decision,
) -> decision_lib.Decision:
    """Returns `decision` with its best and its excluded candidates only.

    At 95 targets a data centre the whole list would fill the memory that a
    host may spend on records.
    """
    if len(decision.scores) <= _MAX_SCORES:
        return decision
    excluded = [each for each in decision.scores if each.exclusion]
    kept = decision.scores[: _MAX_SCORES - min(len(excluded), 3)]
    return decision._replace(
        scores=kept + tuple(excluded[: _MAX_SCORES - len(kept)])
    )
