"""One host: its sockets, what it follows, its duties, its planned stop."""

from __future__ import annotations

import functools
import logging

import anyio
import anyio.abc

from hillthread import clock
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_lease
from hillthread.coordination.gateway.orders import rollout_keeper
from hillthread.coordination.gateway.peers import feed_server
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import gateway as gateway_lib
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.store import host_registry
from hillthread.coordination.gateway.store import store_follower
from hillthread.coordination.gateway.store import store_watch
from hillthread.coordination.gateway.store import topic_plan
from hillthread.platform import configuration
from hillthread.platform import store as store_lib
from hillthread.platform import targets
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import held_read
from hillthread.state.cluster import topic_copy
from hillthread.state.config import caller_bounds
from hillthread.transport import http1_client
from hillthread.transport import http1_server
from hillthread.transport import log_writer

__all__ = ["GatewayHost"]

# The balancer asks once a second and takes a host out after two misses; from
# then on connections that rest are closed, before callers use them again.
_NOTICE_S = 2.6
# The balancer still uses hosts that are not ready when most of a data centre's
# are not. What comes later than this could not be finished before the kill and
# is refused: the pages excuse cut streams that came within 3 s.
_CLOSING_S = 2.9
_CLOSING_SHARE = 0.5
# Before the process is killed, what still runs is broken off.
_STOP_MARGIN_S = 0.3
_IDLE_CHECK_S = 0.05
# The lease is given back within this time, or lapses.
_RELEASE_S = 0.5
# For the final answers to what was broken off, within that margin.
_LAST_ANSWERS_S = 0.15
# Connections come up within 10 ms; a lost packet is sent again after a second.
_CONNECT_TIMEOUT_S = 0.2
# Unanswered probes that end a connection to another host: a read that is lost
# by mistake is soon sent again.
_READ_PROBES = 1
# How long the store holds a read at most, where no bound asks for less: each
# read has its price.
_OPERATOR_WAIT_S = 2.5
_TARGETS_WAIT_S = 20.0
# The same between hosts, for what ages without harm while a read is held.
_PEER_WAIT_S = 4.0
# Changes that follow each other are read together; those of targets for a share
# of the time for which work may still reach one that leaves. At 0.3 of it hosts
# learn too late of engines that come back. A host that reads for itself only
# waits less: knowing early is worth more to it than the calls.
_OPERATOR_GATHER_S = 0.2
_TARGETS_GATHER_SHARE = 0.1
_LONE_GATHER_S = 0.1
_HOSTS_WAIT_S = 30.0
# Hosts of a site that start together list themselves within this time.
_HOSTS_GATHER_S = 2.0
# Reads of the operator's topic also prove that no key was withdrawn: they end
# before what is known of keys has reached this share of its greatest age.
_PROOF_SHARE = 0.7
_TICK_S = 0.25
_STATUS_S = 5.0

_logger = logging.getLogger("hillthread.program")


class GatewayHost:
    """The gateway with its sockets, followers and duties."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        tasks: anyio.abc.TaskGroup,
        log: log_writer.BufferedLogHandler,
    ):
        self.tasks = tasks
        self.log = log
        self.metrics = metrics_lib.GatewayMetrics()
        self.site = site_lib.Site(settings, self.metrics)
        self.pool = http1_client.ConnectionPool(_CONNECT_TIMEOUT_S)
        self.store = store_lib.StoreClient(settings.store)
        self.store.on_restored = self._store_restored
        ip, _ = settings_lib.split_address(settings.listen)
        self.source = feed_source.FeedSource(
            settings.host, settings.data_centre
        )
        self.work = work_feed.WorkFeed(self.site, self.source)
        self.quarantine = quarantine_keeper.QuarantineKeeper(
            self.site, self.work, self.store, tasks
        )
        self.quotas = quota_keeper.QuotaKeeper(self.site, self.work)
        self.limits = limit_keeper.LimitKeeper(
            self.site, self.work, self.quotas, tasks
        )
        self.gateway = gateway_lib.Gateway(
            self.site,
            self.metrics,
            self.pool,
            tasks,
            self.work,
            self.quarantine,
            self.quotas,
            self.limits,
        )
        self.hosts_read = anyio.Event()
        self.hosts_settled = anyio.Event()
        self.follower_context = topic_plan.FollowerContext(
            self.store,
            store_watch.StoreWatch(
                self._store_lost, self._store_back, self._suspect_reads
            ),
            self.source,
            http1_client.ConnectionPool(_CONNECT_TIMEOUT_S, _READ_PROBES),
            self.metrics,
            self.hosts_read,
            self.hosts_settled,
        )
        self.followers = self._followers()
        self.feed_server = http1_server.Server(
            (ip, settings.feed_port),
            feed_server.FeedServer(
                self.site,
                self.followers,
                self.quarantine,
                self.quotas,
                self.limits,
            ).answer,
            caller_bounds.CallerBounds,
            self.gateway.note_bad_request,
        )
        self.hosts = host_registry.HostRegistry(
            self.store,
            self.site,
            self.source,
            self.feed_server.address,
            self.hosts_read,
            self.hosts_settled,
        )
        self.rollout = rollout_keeper.RolloutController(
            self.site,
            order_lease.OrderLease(
                self.store, settings.host, settings.lease_ms / 1000.0
            ),
            self.pool,
            self.work,
            tasks,
        )
        self.site.on_target_withdrawn = self._close_idle
        self.site.on_target_forgotten = self.limits.forget
        self.site.on_target_terminated = self.quarantine.record_target_end
        self.server = http1_server.Server(
            settings_lib.split_address(settings.listen),
            self.gateway.handle,
            lambda: self.site.bounds,
            self.gateway.note_bad_request,
            self.gateway.note_caller_left,
        )
        self.ready_server = self._status_server(settings.ready_listen)
        self.metrics_server = self._status_server(
            f"{ip}:{settings.metrics_port}"
        )

    async def run(self) -> None:
        """Starts everything."""
        for start in (
            *(follower.run for follower in self.followers.values()),
            self.feed_server.serve,
            self.server.serve,
            self.ready_server.serve,
            self.metrics_server.serve,
            self.rollout.run,
            functools.partial(self.work.run, self.feed_server.address),
            self.quotas.run,
            self.hosts.register,
            self.gateway.dispatcher.chooser.cache_planner.watch.run,
            self.gateway.dispatcher.monitor.run,
            self._tick,
        ):
            self.tasks.start_soon(start)

    async def drain(self, requested_at: float) -> None:
        """Stops as planned: not ready, serve on, then wait for requests."""
        self.site.is_draining = True
        self.server.stopping = True
        self._wake_readers()
        _logger.info("stopping", extra={"event": "stop_notice"})
        give_up_at = requested_at + self.site.settings.grace_s - _STOP_MARGIN_S
        await anyio.sleep(min(_NOTICE_S, self.site.settings.grace_s / 2))
        self.server.close_idle()
        closing_s = min(_CLOSING_S, self.site.settings.grace_s * _CLOSING_SHARE)
        closing_at = requested_at + closing_s
        await anyio.sleep(max(0.0, closing_at - clock.now()))
        self.site.is_closing = True
        with anyio.move_on_after(_RELEASE_S):
            await self.rollout.lease.release()
        await self._wait_finished(give_up_at)
        cut = self.server.serving
        self.gateway.dispatcher.cancel_all()
        await self._wait_finished(clock.now() + _LAST_ANSWERS_S)
        _logger.info(
            "stopped",
            extra={
                "event": "stop_drained",
                "cut": cut,
                "open": self.server.unfinished,
            },
        )

    async def _wait_finished(self, until: float) -> None:
        """Waits until no request is unfinished, or the time is over."""
        while clock.now() < until and self.server.unfinished:  # noqa: ASYNC110
            await anyio.sleep(_IDLE_CHECK_S)

    async def answer_status(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers the balancer's question and the metrics page."""
        if caller.path.endswith("/metrics"):
            kind = [(b"content-type", b"text/plain; version=0.0.4")]
            await answer.send_whole(200, kind, self.metrics.render())
            return
        reason = self.site.not_ready_reason(clock.now())
        status = 503 if reason else 200
        await answer.send_whole(status, [], reason.encode())

    def _status_server(self, address: str) -> http1_server.Server:
        return http1_server.Server(
            settings_lib.split_address(address),
            self.answer_status,
            caller_bounds.CallerBounds,
            self.gateway.note_bad_request,
        )

    def _followers(self) -> dict[str, store_follower.TopicFollower]:
        """Returns the followers of all topics, by topic."""
        plans = [
            topic_plan.TopicPlan(
                configuration.OPERATOR_TOPIC,
                self._operator_wait_s,
                lambda: self._feed_holds().reader_s,
                lambda: self._feed_holds().peer_s,
                lambda: _OPERATOR_GATHER_S,
                _LONE_GATHER_S,
                self._take_operator,
                is_older=configuration.is_older,
                keeps_missing=True,
                confirms_first_read=True,
                probes_store=True,
            ),
            topic_plan.TopicPlan(
                targets.TARGET_TOPIC,
                lambda: _TARGETS_WAIT_S,
                lambda: _TARGETS_WAIT_S,
                lambda: _PEER_WAIT_S,
                self._targets_gather_s,
                _LONE_GATHER_S,
                self._take_target,
                self.site.mark_targets_known,
                is_older=targets.is_older,
            ),
            topic_plan.TopicPlan(
                host_registry.HOSTS_TOPIC,
                lambda: _HOSTS_WAIT_S,
                lambda: _HOSTS_WAIT_S,
                lambda: _PEER_WAIT_S,
                lambda: _HOSTS_GATHER_S,
                _HOSTS_GATHER_S,
                self._take_host,
                self.hosts_read.set,
                keeps_missing=True,
                on_lost=self._write_again,
                lists_hosts=True,
            ),
        ]
        followers = {
            plan.topic: store_follower.TopicFollower(
                plan, self.follower_context
            )
            for plan in plans
        }
        operator = followers[configuration.OPERATOR_TOPIC]
        operator.freshness = self.site.freshness
        return followers

    def _operator_wait_s(self) -> float:
        """Returns how long the next read may be held.

        A read that brings something proves nothing after its sending: the
        next one must be short. One that is not answered when a change comes
        must end soon enough for the next one to bring it in time: a hold of
        2.5 s under a bound of 2 s kept an old configuration in force for
        2.63 s in one of six plays of a day with five changes.
        """
        age_s = self.site.freshness.age(clock.now())
        left_s = self.site.greatest_age_s * _PROOF_SHARE - age_s
        bound_s = self.site.settings.config_ms / 1000.0
        longest_s = min(_OPERATOR_WAIT_S, held_read.compute_max_hold_s(bound_s))
        return min(longest_s, max(0.0, left_s))

    def _targets_gather_s(self) -> float:
        """Returns how long to wait for more changes of targets."""
        return self.site.settings.drain_ms / 1000.0 * _TARGETS_GATHER_SHARE

    def _feed_holds(self) -> held_read.FeedHoldTimes:
        return held_read.compute_feed_holds(
            self.site.ready_age_s, self.site.greatest_age_s
        )

    def _take_operator(self, record: topic_copy.TopicRecord) -> None:
        if not record.value:
            return
        if record.key == configuration.CONFIGURATION_KEY:
            self.site.apply_configuration(record.value)
        elif record.key.startswith(configuration.WEIGHTS_KEY_PREFIX):
            self.site.apply_weights_announcement(record.value)

    def _take_target(self, record: topic_copy.TopicRecord) -> None:
        if record.value:
            self.site.put_target(record.key, record.value)
        else:
            self.site.remove_target(record.key, clock.now())

    def _take_host(self, record: topic_copy.TopicRecord) -> None:
        if record.key.startswith(host_registry.QUARANTINE_PREFIX):
            self.quarantine.apply_record(record)
        else:
            self.hosts.apply_host_record(record)

    def _store_back(self, now: float, lost_s: float) -> None:
        self.site.store_back(now, lost_s)
        # A read that was held over the outage may never be answered.
        for follower in self.followers.values():
            if follower.plan.topic != configuration.OPERATOR_TOPIC:
                follower.interrupt()

    def _store_lost(self, reason: str) -> None:
        self.site.store_lost(reason)
        self._wake_readers()
        # It may have been one call only: the others wait until this one knows.
        self.followers[configuration.OPERATOR_TOPIC].interrupt()

    def _store_restored(self, before: int, era: int) -> None:
        """Has all topics read anew; what they lack is trusted for a while."""
        self.site.targets.store_restored(clock.now())
        self.rollout.lease.store_restored(era)
        for follower in self.followers.values():
            follower.wake()
            follower.interrupt()
        self.metrics.store_era.set(era)
        _logger.warning(
            "store restored",
            extra={
                "event": "store_restored",
                "before": before,
                "era": era,
                "positions": {
                    topic: follower.copy.position
                    for topic, follower in self.followers.items()
                },
            },
        )

    def _write_again(self, keys: list[str]) -> None:
        """Has hosts write again what a restored store has lost of theirs."""
        self.tasks.start_soon(self.hosts.register_again, self._listed_entry)
        for key in keys:
            if key.startswith(host_registry.QUARANTINE_PREFIX):
                self.quarantine.restore_record(key, self._is_lost)

    def _listed_entry(self) -> bytes:
        """Returns this host's entry in the store; empty if it has none."""
        record = self._hosts_copy().newest.get(self.site.settings.host)
        if record is None or record.position.offset < 0:
            return b""
        return record.value

    def _is_lost(self, key: str) -> bool:
        """Returns whether a restored store still lacks a record."""
        record = self._hosts_copy().newest.get(key)
        return record is not None and record.position.offset < 0

    def _hosts_copy(self) -> topic_copy.TopicCopy:
        return self.followers[host_registry.HOSTS_TOPIC].copy

    def _wake_readers(self) -> None:
        """Has hosts that read from this one told that it hears no more."""
        for follower in self.followers.values():
            follower.wake()

    def _suspect_reads(self, since: float) -> None:
        """Has reads sent anew that are held since before one was lost."""
        for follower in self.followers.values():
            follower.interrupt(since)

    def _close_idle(self, address: str) -> None:
        self.tasks.start_soon(self.pool.drop, address)

    async def _tick(self) -> None:
        """Does what is due with time, and notes changes of readiness."""
        ready = None
        status_at = clock.now() + _STATUS_S
        while True:
            now = clock.now()
            self.site.expire_targets(now)
            reason = self.site.not_ready_reason(now)
            if reason != ready:
                ready = reason
                _logger.info(
                    "not ready" if reason else "ready",
                    extra={
                        "event": "readiness",
                        "reason": reason,
                        "store_age_s": self.site.rounded_age_s(now),
                    },
                )
            self.metrics.ready.set(not reason)
            self.metrics.suspects.set(self.site.quarantine.suspect_count)
            self._count_unavailable(now)
            self.metrics.store_age.set(self.site.freshness.age(now))
            self.metrics.connections.set(self.pool.opened.total())
            if now >= status_at:
                status_at = now + _STATUS_S
                self._tell_status(now)
            await anyio.sleep(_TICK_S)

    def _count_unavailable(self, now: float) -> None:
        """Notes how many targets leave or back off."""
        statuses = self.site.unavailable_targets(now)
        self.metrics.leaving.set(sum(each.is_leaving for each in statuses))
        self.metrics.backing_off.set(
            sum(each.backoff_s > 0.0 for each in statuses)
        )

    def _tell_status(self, now: float) -> None:
        """Logs how the host is doing."""
        _logger.info(
            "status",
            extra={
                "event": "status",
                "serving": self.server.serving,
                "callers": len(self.server.connections),
                "store_age_s": self.site.rounded_age_s(now),
                "store_calls": self.store.calls,
                "reads": self.metrics.count_store_calls(),
                "targets": len(self.site.targets.entries),
                "ejected": self.site.ejected_targets(now),
                "connections_opened": dict(self.pool.opened),
                "keep_told_s": dict(self.pool.keep_told),
                "hosts": self.site.cluster_size,
                "lease_holder": self.rollout.lease.contender.state.holder,
                "loading": sorted(self.rollout.loading),
                **self.site.weights_status(now),
                "choices": self.metrics.count_choices(),
                "log_lines": self.log.written_lines,
                "log_bytes": self.log.written_bytes,
            },
        )
