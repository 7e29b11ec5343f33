"""Checks the head of a target's answer before any of it is relayed."""

from __future__ import annotations

import http
from typing import NamedTuple

from hillthread import clock
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.protocol import engine
from hillthread.protocol import headers as headers_lib
from hillthread.state.config import objects
from hillthread.state.routing import records
from hillthread.state.routing import warmth
from hillthread.transport import target_client

__all__ = ["HeadChecker"]

_REFUSAL_STATUSES = (409, 429, 503)


class Expectation(NamedTuple):
    """What the head of an attempt's answer is checked against.

    Attributes:
        target: The target of the attempt.
        attempt: The attempt.
        epoch: The target's epoch when the attempt was sent, or None.
        must_echo: Whether the target must echo the attempt id; engines do.
        requires_same_incarnation: Whether an answer of another incarnation is
            an error.
    """

    target: objects.Target
    attempt: records.AttemptRecord
    epoch: warmth.CacheEpoch | None
    must_echo: bool
    requires_same_incarnation: bool = False


class HeadChecker:
    """Compares the head of an answer with the request of the attempt."""

    def __init__(
        self, fleet: fleet_lib.Fleet, metrics: metrics_lib.RouterMetrics
    ):
        self.fleet = fleet
        self.metrics = metrics

    def check(
        self, response: target_client.TargetResponse, expected: Expectation
    ) -> None:
        """Records the target's state from the head and accepts the answer.

        Raises:
            AttemptError: The answer belongs to another attempt, is a refusal
                or a server error, or ran on other weights or another
                incarnation than expected.
        """
        self._check_identity(response, expected)
        epoch = self._record_epoch(response, expected)
        self._check_status(response, expected)
        expected.attempt.state = records.AttemptState.ACCEPTED
        self._check_epoch(epoch, expected)

    def _check_identity(
        self, response: target_client.TargetResponse, expected: Expectation
    ) -> None:
        echoed = response.headers.get(engine.REQUEST_ID)
        if echoed == expected.attempt.attempt_id:
            return
        if echoed is None and not expected.must_echo:
            return
        self._reject("attempt_id", "answer to another attempt")

    def _record_epoch(
        self, response: target_client.TargetResponse, expected: Expectation
    ) -> warmth.CacheEpoch | None:
        name = expected.target.name
        if engine.INCARNATION not in response.headers:
            return None
        epoch = engine.parse_epoch(response.headers)
        expected.attempt.incarnation = epoch.incarnation
        expected.attempt.weights_version = epoch.weights_version
        self.fleet.observe_epoch(name, epoch)
        if engine.LEAVING in response.headers:
            self.fleet.departures.mark_leaving(name, epoch.incarnation)
        return epoch

    def _check_status(
        self, response: target_client.TargetResponse, expected: Expectation
    ) -> None:
        status = response.status_code
        self._apply_backoff(response, expected.target.name)
        if status in _REFUSAL_STATUSES and expected.target.truthful_refusals:
            raise target_client.AttemptError(
                records.AttemptState.REFUSED,
                f"refused with status {status}",
                is_target_fault=False,
            )
        if status >= 500 or status in _REFUSAL_STATUSES:
            raise target_client.AttemptError(
                records.AttemptState.SENT, f"status {status}"
            )

    def _apply_backoff(
        self, response: target_client.TargetResponse, target: str
    ) -> None:
        """Starts the back-off that a target requests with `Retry-After`."""
        if response.status_code != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        text = response.headers.get("retry-after", "")
        seconds = headers_lib.parse_retry_after(text)
        if seconds:
            self.fleet.backoffs.apply(target, seconds, clock.now())

    def _check_epoch(
        self, epoch: warmth.CacheEpoch | None, expected: Expectation
    ) -> None:
        if epoch is None or expected.epoch is None:
            return
        if epoch.weights_version != expected.epoch.weights_version:
            self._reject("weights_version", "ran with other weights")
        if not expected.requires_same_incarnation:
            return
        if epoch.incarnation != expected.epoch.incarnation:
            self._reject("incarnation", "another incarnation answered")

    def _reject(self, check: str, reason: str) -> None:
        self.metrics.mismatches.labels(check).inc()
        raise target_client.AttemptError(
            records.AttemptState.ACCEPTED, reason, resumable=False
        )
