"""Keeps requests that crash targets away from further targets.

Records the outcomes of this host's attempts, notifies the other hosts, and
writes to the store what has to outlive the hosts. `state/targets/quarantine.py`
decides which request caused a crash.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import NamedTuple

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import admission as admission_lib
from hillthread.coordination.gateway.serving import attempt as attempt_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.coordination.gateway.serving import outcome as outcome_lib
from hillthread.coordination.gateway.serving import quarantine_store
from hillthread.platform import store as store_lib
from hillthread.protocol import work_notice
from hillthread.state.targets import part_blame
from hillthread.state.targets import quarantine
from hillthread.state.targets import request_features

__all__ = ["QuarantineKeeper", "TargetIncarnation"]

# Longest delay of a request while a part of its prompt is tried. Prompts have
# 0.5 s or more until their first byte.
_MAX_TRIAL_WAIT_S = 0.3
_TRIAL_CHECK_INTERVAL_S = 0.02

_logger = logging.getLogger("hillthread.quarantine")


class TargetIncarnation(NamedTuple):
    """A target in one of its incarnations.

    Attributes:
        target: Name of the target.
        incarnation: Key of the incarnation.
    """

    target: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class _OpenAttempt:
    """An attempt whose outcome is not known yet.

    Attributes:
        request: The request.
        first_event_at: When the first event of its answer was relayed, seconds;
            None before that.
    """

    request: intake.GatewayRequest
    first_event_at: float | None = None


class QuarantineKeeper:
    """Enforces on one host the quarantine of requests that crash targets.

    Attributes:
        site: The host's view of the targets, and its quarantine.
        work: Sends notices to other hosts.
        records: Stores what has to outlive the hosts.
        tasks: Runs the repeated sending of notices.
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
        self.records = quarantine_store.QuarantineStore(
            site, work.source, store, tasks
        )
        self.tasks = tasks
        self._cut_incarnations: dict[str, int] = {}
        self._open_attempts: dict[attempt_lib.Attempt, _OpenAttempt] = {}
        work.apply_suspect = self.apply_notice
        work.apply_trial_end = self.apply_trial_end

    # Attempts.

    async def wait_for_trial(self, request: intake.GatewayRequest) -> None:
        """Waits, for a short time, while a part of a prompt is tried."""
        give_up_at = clock.now() + _MAX_TRIAL_WAIT_S
        while self.site.quarantine.has_part_evidence():
            now = clock.now()
            match self.site.part_blame.judge(request.features, now):
                case part_blame.Suspected(_, tried_for_s) if (
                    tried_for_s > 0.0 and now < give_up_at
                ):
                    await anyio.sleep(_TRIAL_CHECK_INTERVAL_S)
                case _:
                    return

    def admit(
        self, request: intake.GatewayRequest, runs: int, is_trial: bool
    ) -> admission_lib.Admission:
        """Admits a request that is about to be sent.

        Args:
            request: The request.
            runs: How many of its attempts here may have run.
            is_trial: Whether it is already being sent as a trial.

        Raises:
            RefusalError: It is held, or one of its attempts may have run.
        """
        now = clock.now()
        status = self.site.quarantine.status_of(request.digest, now)
        is_free = status.ends < quarantine.HOLD_MIN_CRASHES
        if not is_free and (runs or not is_trial):
            if runs or status.held_s:
                self.site.metrics.quarantined.inc()
                raise _make_refusal(
                    f"{status.ends} targets crashed or may have crashed while "
                    "this request was open.",
                    "Change it",
                    status.held_s,
                )
            self._start_trial(request.digest, now)
        is_part_trial = self._admit_parts(request, runs, now)
        return admission_lib.Admission(status, is_part_trial)

    def _admit_parts(
        self, request: intake.GatewayRequest, runs: int, now: float
    ) -> bool:
        """Returns whether a request is a trial of parts of its prompt.

        Raises:
            RefusalError: One of them is to blame for crashes, or is tried.
        """
        match self.site.part_blame.judge(request.features, now):
            case part_blame.Cleared():
                return False
            case part_blame.Blamed(name, crashes, held_s):
                names: tuple[str, ...] = (name,)
                if runs or held_s:
                    self.site.metrics.quarantined_parts.labels("blamed").inc()
                    raise _make_refusal(
                        f"{crashes} targets crashed when they began to answer "
                        f"prompts with part {name}.",
                        "Leave that part out",
                        held_s,
                    )
            case part_blame.Suspected(names, tried_for_s):
                if tried_for_s:
                    self.site.metrics.quarantined_parts.labels("tried").inc()
                    raise _make_refusal(
                        f"Targets crashed under prompts with part {names[0]}; "
                        "another prompt that has it is tried now.",
                        "Leave that part out",
                        _MAX_TRIAL_WAIT_S,
                    )
        self.site.part_blame.begin_trial(names, now)
        request.tried_parts = names
        return True

    def announce_trial(self, request: intake.GatewayRequest) -> None:
        """Notifies the other hosts of the trial that a request is, if any.

        This is done when the request is sent: they would wait for a result of
        one that cannot be.
        """
        if not request.tried_parts:
            return
        request.is_trial_announced = True
        event = work_notice.SuspectEvent.TRIAL_STARTED
        self._notify(
            [
                work_notice.SuspectNotice(
                    request_features.encode_part_key(name, ""), 0, event
                )
                for name in request.tried_parts
            ]
        )

    def incarnation_of(self, target: str) -> TargetIncarnation:
        """Returns the current incarnation of a target."""
        return TargetIncarnation(target, self.site.targets.key_of(target))

    def end_trial(self, request: intake.GatewayRequest) -> None:
        """Ends the trial of parts that a request has begun, if any.

        Other hosts that wait for its result may try the parts themselves. They
        are notified once: a repetition could end a trial of their own.
        """
        self.site.part_blame.end_trial(request.tried_parts)
        if request.is_trial_announced:
            self.work.notify_trial_ends(
                [work_notice.TrialEndNotice(n) for n in request.tried_parts]
            )
        self._forget_trial(request)

    def _forget_trial(self, request: intake.GatewayRequest) -> None:
        request.tried_parts = ()
        request.is_trial_announced = False

    def begin_attempt(self, attempt: attempt_lib.Attempt) -> None:
        """Records that an attempt is about to be sent."""
        self._open_attempts[attempt] = _OpenAttempt(attempt.request)

    def note_first_event(self, attempt: attempt_lib.Attempt) -> None:
        """Records that a target has begun to write an answer."""
        opened = self._open_attempts[attempt]
        opened.first_event_at = now = clock.now()
        verdict = self.site.part_blame.judge(opened.request.features, now)
        if not isinstance(verdict, part_blame.Cleared):
            self.tasks.start_soon(self._confirm_survival, attempt)

    async def _confirm_survival(self, attempt: attempt_lib.Attempt) -> None:
        """Clears parts of a prompt while the answer to it is written."""
        await anyio.sleep(part_blame.SURVIVAL_S)
        opened = self._open_attempts.get(attempt)
        if opened is not None and opened.first_event_at is not None:
            self._record_answer(opened.request, opened.first_event_at)

    def _record_answer(
        self, request: intake.GatewayRequest, begun_at: float
    ) -> None:
        """Clears the parts of a prompt that a target has answered."""
        for key, last_crash in self.site.part_blame.record_answer(
            request.features, begun_at
        ):
            self._publish_clearing(key, last_crash)

    def record_outcome(
        self,
        attempt: attempt_lib.Attempt,
        sent: TargetIncarnation,
        result: outcome_lib.Outcome | None,
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            attempt: The attempt.
            sent: The incarnation that it was sent to.
            result: The outcome; None if the caller no longer waited for it.
        """
        now = clock.now()
        opened = self._open_attempts.pop(attempt)
        request = opened.request
        is_cut = attempt.closed_by_target
        match result:
            case outcome_lib.Relayed() | outcome_lib.Whole():
                if self.site.quarantine.record_success(request.digest, now):
                    self._publish_clearing(request.digest)
                self._record_answer(request, opened.first_event_at or now)
            case outcome_lib.Lost() | outcome_lib.Broken() if is_cut:
                self._record_cut(opened, sent, now)
        if is_cut:
            # The trial goes on until it is known whether the target crashed.
            self._forget_trial(request)
        else:
            self.end_trial(request)

    def _record_cut(
        self, opened: _OpenAttempt, sent: TargetIncarnation, now: float
    ) -> None:
        """Records an answer that the target's side has cut off."""
        entry = self.site.targets.entries.get(sent.target)
        # A target that is leaving ends as planned, and a brittle one crashes
        # because of what it refused.
        if entry is None or entry.leaving or sent.target in self.site.brittle:
            return
        self._cut_incarnations[sent.target] = sent.incarnation
        features = opened.request.features
        begun_at = opened.first_event_at
        keys: tuple[str, ...] = (features.digest, *features.part_keys)
        if begun_at is not None and now - begun_at >= part_blame.SURVIVAL_S:
            self._record_answer(opened.request, begun_at)
            keys = (features.digest,)
        for key in keys:
            self.site.quarantine.record_disconnect(key, sent.incarnation, now)

    def _abort_blamed(self) -> None:
        """Ends attempts that would crash further targets."""
        now = clock.now()
        for attempt, opened in list(self._open_attempts.items()):
            if opened.first_event_at is not None:
                continue
            verdict = self.site.part_blame.judge(opened.request.features, now)
            if isinstance(verdict, part_blame.Blamed):
                attempt.abort("part of the prompt quarantined")

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
        statuses = {digest: self._status_of(digest, now) for digest in digests}
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
        self._abort_blamed()

    def _status_of(self, key: str, now: float) -> quarantine.QuarantineStatus:
        """Returns the status of a request or of a part of prompts."""
        if not request_features.is_part_key(key):
            return self.site.quarantine.status_of(key, now)
        blame = self.site.part_blame.describe(key, now)
        return quarantine.QuarantineStatus(blame.crashes, blame.held_s)

    # Peers and the store.

    def apply_notice(self, notice: work_notice.SuspectNotice) -> None:
        """Applies what another host has seen of a request."""
        now = clock.now()
        records = self.site.quarantine
        match notice.event:
            case work_notice.SuspectEvent.SUCCEEDED if notice.engine:
                records.apply_disproof(notice.digest, notice.engine, now)
            case work_notice.SuspectEvent.SUCCEEDED:
                records.record_success(notice.digest, now)
            case work_notice.SuspectEvent.TRIAL_STARTED:
                if request_features.is_part_key(notice.digest):
                    name = request_features.part_name(notice.digest)
                    self.site.part_blame.begin_trial((name,), now)
                else:
                    records.begin_trial(notice.digest, now)
            case work_notice.SuspectEvent.TARGET_CRASHED:
                records.record_crash(notice.digest, notice.engine, now)
                if request_features.is_part_key(notice.digest):
                    self._abort_blamed()

    def apply_trial_end(self, notice: work_notice.TrialEndNotice) -> None:
        """Applies the end of another host's trial without a result."""
        self.site.part_blame.end_trial((notice.part,))

    # Operators.

    def suspects(self) -> list[quarantine.Suspect]:
        """Returns all requests during which targets crashed, worst first."""
        now = clock.now()
        suspects = []
        for each in self.site.quarantine.suspects(now):
            ends, held_s = self._status_of(each.digest, now)
            suspects.append(each._replace(ends=ends, held_s=round(held_s, 3)))
        return suspects

    def clear(self, digest: str) -> bool:
        """Clears a suspect on all hosts; returns whether it was one.

        With a request the parts are cleared that were open only with it, and a
        part without an owner is cleared for all owners.
        """
        suspects = self.site.quarantine
        if not request_features.is_part_key(digest):
            parts = suspects.list_parts_only_with(digest)
        elif not request_features.has_owner(digest):
            name = request_features.part_name(digest)
            parts = suspects.list_keys_of_part(name)
        else:
            parts = []
        for part in parts:
            self.clear(part)
        if parts and request_features.is_part_key(digest):
            return True
        was_suspect = suspects.record_success(digest, clock.now())
        if was_suspect or self.records.has_record(digest):
            self._publish_clearing(digest)
        return was_suspect

    def _start_trial(self, digest: str, now: float) -> None:
        """Starts the trial of a suspect and notifies the other hosts."""
        self.site.quarantine.begin_trial(digest, now)
        event = work_notice.SuspectEvent.TRIAL_STARTED
        self._notify([work_notice.SuspectNotice(digest, 0, event)])

    def _publish_clearing(self, digest: str, last_crash: int = 0) -> None:
        """Notifies all hosts that a request is no longer a suspect.

        Args:
            digest: Digest of the request, or key of a part of prompts.
            last_crash: The last crash that did not happen because of it; 0 if
                it is cleared of all.
        """
        crashes_left = self.site.quarantine.count_crashes(digest)
        _logger.info(
            "suspect cleared",
            extra={
                "event": "suspect_cleared",
                "digest": digest,
                "crashes_left": crashes_left,
            },
        )
        event = work_notice.SuspectEvent.SUCCEEDED
        self._notify([work_notice.SuspectNotice(digest, last_crash, event)])
        if not crashes_left:
            self.records.remove(digest)
        elif self.records.has_record(digest):
            self.records.put(digest)

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
        self.records.put(digest)

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
        now = clock.now()
        if request_features.is_part_key(notice.digest):
            name = request_features.part_name(notice.digest)
            return self.site.part_blame.has_running_trial(name, now)
        return self.site.quarantine.has_running_trial(notice.digest, now)


def _make_refusal(
    message: str, advice: str, held_s: float
) -> errors.RefusalError:
    return errors.RefusalError(
        "quarantined",
        503,
        message,
        f"{advice}, or retry after the time in Retry-After; operators list and "
        "clear suspects with `hillthread-ctl quarantine`.",
        retry_after_s=held_s,
    )
