"""Keeps requests that crash targets away from further targets.

Records the outcomes of this host's attempts, notifies the other hosts, and
writes to the store what has to outlive the hosts. `state/targets/quarantine.py`
decides which request caused a crash.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
import time
from typing import NamedTuple

import anyio
import anyio.abc
import msgspec

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.store import host_registry
from hillthread.platform import store as store_lib
from hillthread.protocol import work_notice
from hillthread.state.cluster import topic_copy
from hillthread.state.config import payloads
from hillthread.state.routing import placement
from hillthread.state.targets import quarantine

__all__ = ["QuarantineKeeper", "TargetIncarnation"]

_STORE_RETRY_S = 1.0
_STORE_ATTEMPTS = 5
# Hosts that may rewrite a record which a restored store has lost; the first of
# them may be gone.
_REWRITING_HOST_COUNT = 3

_logger = logging.getLogger("hillthread.quarantine")


class TargetIncarnation(NamedTuple):
    """A target in one of its incarnations.

    Attributes:
        target: Name of the target.
        incarnation: Key of the incarnation.
    """

    target: str
    incarnation: int


class _StoredSuspect(msgspec.Struct):
    """The record in the store of a request that crashes targets.

    Attributes:
        ended: Keys of the incarnations that crashed.
        last_at: Unix time, in seconds, of the last crash, or of the writing
            when a lost record is written again.
    """

    ended: list[int]
    last_at: float


_decoder = msgspec.json.Decoder(_StoredSuspect)


class QuarantineKeeper:
    """Enforces on one host the quarantine of requests that crash targets.

    Attributes:
        site: The host's view of the targets, and its quarantine.
        work: Sends notices to other hosts.
        store: Stores the records that outlive the hosts.
        tasks: Runs writes to the store and the repeated sending of notices.
    """

    def __init__(
        self,
        site: site_lib.Site,
        work: work_feed.WorkFeed,
        store: store_lib.StoreClient,
        tasks: anyio.abc.TaskGroup,
    ):
        self.site = site
        self.work = work
        self.store = store
        self.tasks = tasks
        self._cut_incarnations: dict[str, int] = {}
        self._stored_digests: set[str] = set()
        work.apply_suspect = self.apply_notice

    # Attempts.

    def admit(
        self, request: intake.GatewayRequest, runs: int, is_trial: bool
    ) -> quarantine.QuarantineStatus:
        """Returns the status of a request that is about to be sent.

        Args:
            request: The request.
            runs: How many of its attempts here may have run.
            is_trial: Whether it is already being sent as a trial.

        Raises:
            RefusalError: It is held, or one of its attempts may have run.
        """
        now = clock.now()
        status = self.site.quarantine.status_of(request.digest, now)
        if status.ends < quarantine.HOLD_MIN_CRASHES or (is_trial and not runs):
            return status
        if not runs and not status.held_s:
            self._start_trial(request.digest, now)
            return status
        self.site.metrics.quarantined.inc()
        raise errors.RefusalError(
            "quarantined",
            503,
            f"{status.ends} targets crashed or may have crashed while this "
            "request was open.",
            "Change it, or retry after the time in Retry-After; operators list "
            "and clear it with `hillthread-ctl quarantine`.",
            retry_after_s=status.held_s,
        )

    def incarnation_of(self, target: str) -> TargetIncarnation:
        """Returns the current incarnation of a target."""
        return TargetIncarnation(target, self.site.targets.key_of(target))

    def record_outcome(
        self,
        request: intake.GatewayRequest,
        sent: TargetIncarnation,
        result: outcome_lib.Outcome | None,
        is_cut: bool,
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            request: The request.
            sent: The incarnation that it was sent to.
            result: The outcome; None if the caller no longer waited for it.
            is_cut: Whether the target's side closed the connection before the
                answer was complete.
        """
        now = clock.now()
        records = self.site.quarantine
        match result:
            case outcome_lib.Relayed() | outcome_lib.Whole():
                if records.record_success(request.digest, now):
                    self._publish_clearing(request.digest)
            case outcome_lib.Lost() | outcome_lib.Broken() if is_cut:
                entry = self.site.targets.entries.get(sent.target)
                # A target that is leaving ends as planned, and a brittle one
                # crashes because of what it refused.
                is_own_end = (
                    entry is None
                    or entry.leaving
                    or sent.target in self.site.brittle
                )
                if not is_own_end:
                    self._cut_incarnations[sent.target] = sent.incarnation
                    records.record_disconnect(
                        request.digest, sent.incarnation, now
                    )

    # Targets.

    def record_target_reached(self, target: str) -> None:
        """Records that a connection to a target succeeded."""
        incarnation = self._cut_incarnations.get(target)
        if incarnation is not None:
            self.site.quarantine.mark_reachable(incarnation)

    def record_target_crash(self, target: str, evidence: str) -> None:
        """Records that a target is gone or has restarted.

        Args:
            target: Name of the target.
            evidence: How this was detected, for the log.
        """
        incarnation = self._cut_incarnations.pop(target, None)
        if incarnation is None:
            return
        now = clock.now()
        digests = self.site.quarantine.confirm_crash(incarnation, now)
        if not digests:
            return
        statuses = {
            digest: self.site.quarantine.status_of(digest, now)
            for digest in digests
        }
        _logger.warning(
            "target crashed",
            extra={
                "event": "target_ended",
                "target": target,
                "evidence": evidence,
                "open": {
                    digest: status.ends for digest, status in statuses.items()
                },
            },
        )
        event = work_notice.SuspectEvent.TARGET_CRASHED
        self._notify(
            [
                work_notice.SuspectNotice(digest, incarnation, event)
                for digest in digests
            ]
        )
        for digest, status in statuses.items():
            if status.ends >= quarantine.CULPRIT_MIN_CRASHES:
                self._publish_hold(digest, status)

    # Peers and the store.

    def apply_notice(self, notice: work_notice.SuspectNotice) -> None:
        """Applies what another host has seen of a request."""
        now = clock.now()
        records = self.site.quarantine
        match notice.event:
            case work_notice.SuspectEvent.SUCCEEDED:
                records.record_success(notice.digest, now)
            case work_notice.SuspectEvent.TRIAL_STARTED:
                records.begin_trial(notice.digest, now)
            case work_notice.SuspectEvent.TARGET_CRASHED:
                records.record_crash(notice.digest, notice.engine, now)

    def apply_record(self, record: topic_copy.TopicRecord) -> None:
        """Applies the record of a request in the store.

        Raises:
            ConfigurationError: The record is unreadable.
        """
        digest = record.key.removeprefix(host_registry.QUARANTINE_PREFIX)
        if not record.value:
            self._stored_digests.discard(digest)
            self.site.quarantine.clear(digest)
            return
        entry = payloads.decode_payload(_decoder, record.value, "quarantine")
        self._stored_digests.add(digest)
        now = clock.now()
        # The system clock may have been set back since.
        ago_s = max(0.0, time.time() - entry.last_at)
        for incarnation in entry.ended:
            self.site.quarantine.record_crash(digest, incarnation, now, ago_s)

    def restore_record(self, key: str, is_lost: Callable[[str], bool]) -> None:
        """Rewrites a record that a restored store has lost.

        All hosts compute the same ranking for a record and delay the write by
        their rank, so that usually only the first one writes it.

        Args:
            key: Key of the record.
            is_lost: Returns whether the store still lacks a record.
        """
        ranked = placement.rank_by_rendezvous(
            key.encode(), list(self.work.source.hosts)
        )[:_REWRITING_HOST_COUNT]
        name = self.work.source.name
        if name in ranked:
            rank = ranked.index(name)
            self.tasks.start_soon(self._restore_after_delay, key, rank, is_lost)

    async def _restore_after_delay(
        self, key: str, rank: int, is_lost: Callable[[str], bool]
    ) -> None:
        spread_s = host_registry.compute_rewrite_spread_s(
            self.site.cluster_size
        )
        await anyio.sleep(random.uniform(rank, rank + 1.0) * spread_s)
        digest = key.removeprefix(host_registry.QUARANTINE_PREFIX)
        ended = self.site.quarantine.crashed_incarnations(digest)
        if not ended or not is_lost(key):
            return
        entry = _StoredSuspect(sorted(ended), time.time())
        await self._write_record(digest, msgspec.json.encode(entry))

    # Operators.

    def suspects(self) -> list[quarantine.Suspect]:
        """Returns all requests during which targets crashed, worst first."""
        return self.site.quarantine.suspects(clock.now())

    def clear(self, digest: str) -> bool:
        """Clears a suspect on all hosts; returns whether it was one."""
        was_suspect = self.site.quarantine.record_success(digest, clock.now())
        if was_suspect or digest in self._stored_digests:
            self._publish_clearing(digest)
        return was_suspect

    def _start_trial(self, digest: str, now: float) -> None:
        """Starts the trial of a suspect and notifies the other hosts."""
        self.site.quarantine.begin_trial(digest, now)
        event = work_notice.SuspectEvent.TRIAL_STARTED
        self._notify([work_notice.SuspectNotice(digest, 0, event)])

    def _publish_clearing(self, digest: str) -> None:
        """Notifies all hosts that a request is no longer a suspect."""
        _logger.info(
            "suspect cleared",
            extra={"event": "suspect_cleared", "digest": digest},
        )
        event = work_notice.SuspectEvent.SUCCEEDED
        self._notify([work_notice.SuspectNotice(digest, 0, event)])
        if digest in self._stored_digests:
            self.tasks.start_soon(self._write_record, digest, b"")

    def _publish_hold(
        self, digest: str, status: quarantine.QuarantineStatus
    ) -> None:
        """Stores that a request is held, also for hosts that start later."""
        _logger.warning(
            "request held",
            extra={
                "event": "request_held",
                "digest": digest,
                "ends": status.ends,
                "held_s": round(status.held_s, 3),
            },
        )
        ended = self.site.quarantine.crashed_incarnations(digest)
        entry = _StoredSuspect(sorted(ended), time.time())
        self._stored_digests.add(digest)
        self.tasks.start_soon(
            self._write_record, digest, msgspec.json.encode(entry)
        )

    def _notify(self, notices: list[work_notice.SuspectNotice]) -> None:
        """Notifies all hosts, now and some more times."""

        def send() -> None:
            still_true = [each for each in notices if self._is_valid(each)]
            self.work.notify_suspects(still_true)

        self.work.notify_suspects(notices)
        self.tasks.start_soon(work_feed.resend, send)

    def _is_valid(self, notice: work_notice.SuspectNotice) -> bool:
        """Returns whether a notice is still true.

        A stale trial notice would make peers wait for a trial that has
        finished.
        """
        if notice.event is not work_notice.SuspectEvent.TRIAL_STARTED:
            return True
        return self.site.quarantine.has_running_trial(
            notice.digest, clock.now()
        )

    async def _write_record(self, digest: str, value: bytes) -> None:
        """Writes a record, or removes it if the value is empty.

        The write is given up after some attempts, since the hosts that hold
        the request know of it anyway.
        """
        key = host_registry.QUARANTINE_PREFIX + digest
        for _ in range(_STORE_ATTEMPTS):
            try:
                await self.store.put(host_registry.HOSTS_TOPIC, key, value)
            except errors.HillthreadError as error:
                _logger.warning(
                    "quarantine record not stored",
                    extra={
                        "event": "quarantine_unkept",
                        "digest": digest,
                        "reason": error.message,
                    },
                )
                await anyio.sleep(_STORE_RETRY_S)
            else:
                return
