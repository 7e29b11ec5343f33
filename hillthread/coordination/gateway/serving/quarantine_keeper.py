"""Keeps requests that end targets away from further targets.

Applies what attempts of this host show, notifies the other hosts, and keeps in
the store what has to outlive them. `state/targets/quarantine.py` decides who is
to blame.
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
_STORE_TRIES = 5
# Hosts that look after a record which a restored store has lost: the first of
# them may be gone.
_REWRITING_HOSTS = 3

_logger = logging.getLogger("hillthread.quarantine")


class TargetIncarnation(NamedTuple):
    """Where a request was sent.

    Attributes:
        target: The target's name.
        incarnation: Stands for the start of it that was sent to.
    """

    target: str
    incarnation: int


class _Entry(msgspec.Struct):
    """What the store keeps of a request that ends targets.

    Attributes:
        ended: The incarnations that ended.
        last_at: Unix seconds of the last end.
    """

    ended: list[int]
    last_at: float


_decoder = msgspec.json.Decoder(_Entry)


class QuarantineKeeper:
    """What a host does about requests under which targets end.

    Attributes:
        site: The host's beliefs, the quarantine among them.
        work: Tells other hosts.
        store: Keeps what is to outlive the hosts.
        tasks: Where others are told.
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
        self._cut_off: dict[str, int] = {}
        self._stored: set[str] = set()
        work.heard_of_suspects = self.apply_notice

    # What attempts ask and show.

    def admit(
        self, request: intake.GatewayRequest, runs: int, tries_it: bool
    ) -> quarantine.QuarantineStatus:
        """Returns how a request stands that is about to be sent.

        Args:
            request: The request.
            runs: How often it may have run in this try.
            tries_it: This try is the trial of a suspect already.

        Raises:
            RefusalError: It is held, or has ended enough in this try.
        """
        now = clock.now()
        standing = self.site.quarantine.status_of(request.digest, now)
        if standing.ends < quarantine.HOLD_MIN_ENDS or (tries_it and not runs):
            return standing
        if not runs and not standing.held_s:
            self._begin_trial(request.digest, now)
            return standing
        self.site.metrics.quarantined.inc()
        raise errors.RefusalError(
            "quarantined",
            503,
            f"{standing.ends} targets ended while this request was open.",
            "Change it, or come back after the time in Retry-After; operators "
            "see and clear it with `hillthread-ctl quarantine`.",
            retry_after_s=standing.held_s,
        )

    def incarnation_of(self, target: str) -> TargetIncarnation:
        """Returns the start of a target that what is sent now reaches."""
        return TargetIncarnation(target, self.site.targets.key_of(target))

    def record_outcome(
        self,
        request: intake.GatewayRequest,
        sent: TargetIncarnation,
        result: outcome_lib.Outcome | None,
        is_cut: bool,
    ) -> None:
        """Takes in how an attempt ended.

        Args:
            request: What was sent.
            sent: Where to.
            result: How it ended; None when nobody waited for it any more.
            is_cut: Its connection ended before its answer did, and not here.
        """
        now = clock.now()
        known = self.site.quarantine
        match result:
            case outcome_lib.Relayed() | outcome_lib.Whole():
                if known.record_success(request.digest, now):
                    self._acquitted(request.digest)
            case outcome_lib.Lost() | outcome_lib.Broken() if is_cut:
                entry = self.site.targets.entries.get(sent.target)
                # One that leaves ends as planned.
                if entry is not None and not entry.leaving:
                    self._cut_off[sent.target] = sent.incarnation
                    known.record_disconnect(
                        request.digest, sent.incarnation, now
                    )

    # What is found of targets.

    def record_target_reached(self, target: str) -> None:
        """Notes that a connection to a target came up."""
        incarnation = self._cut_off.get(target)
        if incarnation is not None:
            self.site.quarantine.mark_reachable(incarnation)

    def record_target_end(self, target: str, evidence: str) -> None:
        """Notes that a target is gone, or has started again.

        Args:
            target: Its name.
            evidence: What shows it, for the log.
        """
        incarnation = self._cut_off.pop(target, None)
        if incarnation is None:
            return
        now = clock.now()
        digests = self.site.quarantine.confirm_end(incarnation, now)
        if not digests:
            return
        standings = {
            digest: self.site.quarantine.status_of(digest, now)
            for digest in digests
        }
        _logger.warning(
            "target ended",
            extra={
                "event": "target_ended",
                "target": target,
                "evidence": evidence,
                "open": {
                    digest: standing.ends
                    for digest, standing in standings.items()
                },
            },
        )
        word = work_notice.SuspectWord.ENDED
        self._notify(
            [
                work_notice.SuspectNotice(digest, incarnation, word)
                for digest in digests
            ]
        )
        for digest, standing in standings.items():
            if standing.ends >= quarantine.CULPRIT_MIN_ENDS:
                self._convicted(digest, standing)

    # What others tell.

    def apply_notice(self, notice: work_notice.SuspectNotice) -> None:
        """Takes in what another host has seen of a request."""
        now = clock.now()
        known = self.site.quarantine
        match notice.word:
            case work_notice.SuspectWord.WELL:
                known.record_success(notice.digest, now)
            case work_notice.SuspectWord.TRIED:
                known.begin_trial(notice.digest, now)
            case work_notice.SuspectWord.ENDED:
                known.record_end(notice.digest, notice.engine, now)

    def apply_record(self, record: topic_copy.TopicRecord) -> None:
        """Takes in what the store keeps of a request.

        Raises:
            ConfigurationError: The entry is unreadable.
        """
        digest = record.key.removeprefix(host_registry.QUARANTINE_PREFIX)
        if not record.value:
            self._stored.discard(digest)
            self.site.quarantine.clear(digest)
            return
        entry = payloads.decode_payload(_decoder, record.value, "quarantine")
        self._stored.add(digest)
        now = clock.now()
        # The time of day may have been set back since.
        ago_s = max(0.0, time.time() - entry.last_at)
        for incarnation in entry.ended:
            self.site.quarantine.record_end(digest, incarnation, now, ago_s)

    def restore_record(self, key: str, is_lost: Callable[[str], bool]) -> None:
        """Has a record written again that a restored store has lost.

        Hosts agree on the order in which they look after it, so that mostly
        the first one writes.

        Args:
            key: Of the record.
            is_lost: Returns whether the store still lacks a record.
        """
        ranked = placement.rank_by_rendezvous(
            key.encode(), list(self.work.source.hosts)
        )[:_REWRITING_HOSTS]
        name = self.work.source.name
        if name in ranked:
            rank = ranked.index(name)
            self.tasks.start_soon(self._restore_record, key, rank, is_lost)

    async def _restore_record(
        self, key: str, rank: int, is_lost: Callable[[str], bool]
    ) -> None:
        spread_s = host_registry.rewrite_spread_s(self.site.hosts)
        await anyio.sleep(random.uniform(rank, rank + 1.0) * spread_s)
        digest = key.removeprefix(host_registry.QUARANTINE_PREFIX)
        ended = self.site.quarantine.ended_incarnations(digest)
        if not ended or not is_lost(key):
            return
        entry = _Entry(sorted(ended), time.time())
        await self._store(digest, msgspec.json.encode(entry))

    # What operators ask.

    def suspects(self) -> list[quarantine.Suspect]:
        """Returns all requests under which targets ended, the worst first."""
        return self.site.quarantine.suspects(clock.now())

    def clear(self, digest: str) -> bool:
        """Has all hosts forget a suspect; returns whether it was one."""
        was_suspect = self.site.quarantine.record_success(digest, clock.now())
        if was_suspect or digest in self._stored:
            self._acquitted(digest)
        return was_suspect

    def _begin_trial(self, digest: str, now: float) -> None:
        """Tries a suspect, for all hosts."""
        self.site.quarantine.begin_trial(digest, now)
        word = work_notice.SuspectWord.TRIED
        self._notify([work_notice.SuspectNotice(digest, 0, word)])

    def _acquitted(self, digest: str) -> None:
        """Has others know that a request ended well."""
        _logger.info(
            "suspect ended well",
            extra={"event": "suspect_cleared", "digest": digest},
        )
        word = work_notice.SuspectWord.WELL
        self._notify([work_notice.SuspectNotice(digest, 0, word)])
        if digest in self._stored:
            self.tasks.start_soon(self._store, digest, b"")

    def _convicted(
        self, digest: str, standing: quarantine.QuarantineStatus
    ) -> None:
        """Has all hosts know of a request, also those that start later."""
        _logger.warning(
            "request held",
            extra={
                "event": "request_held",
                "digest": digest,
                "ends": standing.ends,
                "held_s": round(standing.held_s, 3),
            },
        )
        ended = self.site.quarantine.ended_incarnations(digest)
        entry = _Entry(sorted(ended), time.time())
        self._stored.add(digest)
        self.tasks.start_soon(self._store, digest, msgspec.json.encode(entry))

    def _notify(self, notices: list[work_notice.SuspectNotice]) -> None:
        """Notifies all hosts, at once and some times more."""

        def send() -> None:
            still_true = [each for each in notices if self._is_valid(each)]
            self.work.tell_suspects(still_true)

        self.work.tell_suspects(notices)
        self.tasks.start_soon(work_feed.resend, send)

    def _is_valid(self, notice: work_notice.SuspectNotice) -> bool:
        """Returns whether a notice is still true.

        A stale probe notice would make peers wait for a probe that has
        finished.
        """
        if notice.word is not work_notice.SuspectWord.TRIED:
            return True
        return self.site.quarantine.has_running_trial(
            notice.digest, clock.now()
        )

    async def _store(self, digest: str, value: bytes) -> None:
        """Writes a record, or removes it; hosts that hold it know it anyway."""
        key = host_registry.QUARANTINE_PREFIX + digest
        for _ in range(_STORE_TRIES):
            try:
                await self.store.put(host_registry.HOSTS_TOPIC, key, value)
            except errors.HillthreadError as error:
                _logger.warning(
                    "quarantine not kept",
                    extra={
                        "event": "quarantine_unkept",
                        "digest": digest,
                        "reason": error.message,
                    },
                )
                await anyio.sleep(_STORE_RETRY_S)
            else:
                return
