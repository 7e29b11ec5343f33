"""Records of requests and their routing decisions, in bounded memory."""

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

# Scores kept of a decision, see `trim_decision`.
_MAX_SCORES = 8


class AttemptState(enum.StrEnum):
    """Progress of an attempt, as far as the router has proof of it."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    ACCEPTED = "accepted"
    ANSWERED = "answered"


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One attempt at one target.

    Attributes:
        attempt_id: Identifies the attempt; echoed by the target.
        decision: The decision for this target, with its best scores only.
        started_s: Start, in seconds from the request's arrival.
        state: Progress of the attempt.
        first_token_s: First token, in seconds from the arrival, or None.
        ended_s: End, in seconds from the arrival, or None while it runs.
        predicted_cached: Tokens that were expected in the target's cache.
        cached_tokens: Tokens that the engine reported as cached, or None.
        prompt_tokens: Length of the prompt as reported by the engine, or 0.
        completion_tokens: Length of the answer as reported by the engine,
            or 0.
        incarnation: Incarnation named in the answer.
        weights_version: Weights version named in the answer.
        failure: Why the attempt ended without a complete answer, or empty.
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
    """One request with all its attempts.

    Attributes:
        request_id: Unique identifier; returned to the caller.
        received_at: Time of arrival, in seconds since 1970.
        host: Host that routed the request.
        tenant: Tenant that sent the request.
        path: Path of the request.
        model: Requested model, or empty.
        route: Route that matched, or empty.
        policy: Policy that applied, or empty.
        position: Configuration position that the decision was based on.
        prompt_tokens: Estimated length of the prompt.
        level_tokens: Estimated tokens at each prefix level.
        repeatable: Whether the request may run more than once.
        queued_s: Time spent waiting for admission, in seconds.
        attempts: All attempts, in order.
        outcome: `running`, `answered`, `refused`, `broken` or `left`.
        code: Error code of the refusal, or empty.
        run: Whether a target ran the request.
        ended_s: End, in seconds from the arrival, or None.
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
        size: Maximum number of records.
        dropped: Number of records that were removed to make room.
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
        """Adds a record and removes the oldest one when the store is full."""
        self._records[record.request_id] = record
        if len(self._records) > self.size:
            self._records.popitem(last=False)
            self.dropped += 1

    def get(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None when there is none."""
        return self._records.get(request_id)

    def newest(self) -> Iterator[RequestRecord]:
        """Yields all records, the newest first."""
        return reversed(self._records.values())


def infer_run_state(attempts: Sequence[AttemptRecord]) -> errors.RunState:
    """Infers from all attempts of a request whether a target ran it.

    The request counts as not run only if every attempt was either unsent or
    refused by a target whose refusals are truthful.
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
    """Returns `decision` with its best and some of its excluded candidates.

    With 95 targets in a data centre, complete lists would exceed the memory
    that a host may use for records.
    """
    if len(decision.scores) <= _MAX_SCORES:
        return decision
    excluded = [each for each in decision.scores if each.exclusion]
    kept = decision.scores[: _MAX_SCORES - min(len(excluded), 3)]
    return decision._replace(
        scores=kept + tuple(excluded[: _MAX_SCORES - len(kept)])
    )
