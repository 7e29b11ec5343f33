"""A gateway host: sockets, topic followers, background tasks, planned stop."""

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
from hillthread.coordination.gateway import startup
from hillthread.coordination.gateway.orders import order_lease
from hillthread.coordination.gateway.orders import rollout_keeper
from hillthread.coordination.gateway.peers import feed_server
from hillthread.coordination.gateway.peers import journal_writer
from hillthread.coordination.gateway.peers import work_feed
from hillthread.coordination.gateway.serving import gateway as gateway_lib
from hillthread.coordination.gateway.serving import limit_keeper
from hillthread.coordination.gateway.serving import peer_forwarder
from hillthread.coordination.gateway.serving import quarantine_keeper
from hillthread.coordination.gateway.serving import quota_keeper
from hillthread.coordination.gateway.serving import services as services_lib
from hillthread.coordination.gateway.serving import stream_keeper
from hillthread.coordination.gateway.store import host_registry
from hillthread.coordination.gateway.store import store_follower
from hillthread.coordination.gateway.store import store_watch
from hillthread.coordination.gateway.store import stream_journal
from hillthread.coordination.gateway.store import topic_plan
from hillthread.platform import configuration
from hillthread.platform import store as store_lib
from hillthread.platform import targets
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import held_read
from hillthread.state.cluster import topic_copy
from hillthread.state.config import caller_bounds
from hillthread.transport import connection_pool
from hillthread.transport import http1_server
from hillthread.transport import log_writer
from hillthread.transport import send_buffer

__all__ = ["GatewayHost", "list_addresses"]

# The balancer checks readiness once a second and removes a host after two
# failed checks. Then idle connections are closed, before callers reuse them.
_BALANCER_NOTICE_S = 2.6
# Longest time from the request to stop until new requests are refused. When
# most hosts of a data centre are not ready, the balancer uses them all the
# same. Requests that arrive later than this could not be finished before the
# kill. The platform's documentation excuses cut streams whose requests arrived
# within 3 s.
_CLOSING_S = 2.9
_CLOSING_GRACE_SHARE = 0.5
# Requests that still run this long before the process is killed are cancelled.
_STOP_MARGIN_S = 0.3
_DRAIN_POLL_INTERVAL_S = 0.05
# A lease that is not released within this time expires by itself.
_LEASE_RELEASE_TIMEOUT_S = 0.5
# Time for the final answers to cancelled requests, within _STOP_MARGIN_S.
_FINAL_ANSWERS_S = 0.15
# Connections are established within 10 ms. A lost packet would be retransmitted
# only after a second; the attempt is given up before that.
_CONNECT_TIMEOUT_S = 0.2
# Silence after which a connection to a target is dropped. A sound target may be
# silent for a second or somewhat longer. One that is dead is found sooner by
# probes, which only give up what may be sent to another target.
_TARGET_SILENCE_MS = 2_500
# Longest times for which the store holds a read where no bound requires less.
# Each read has a cost, so these times are long.
_OPERATOR_WAIT_S = 2.5
_TARGETS_WAIT_S = 20.0
# The same for reads from another host, of data that may be this old.
_PEER_WAIT_S = 4.0
# Batch delay: the delay of the next read after one that returned changes, so
# that changes that follow each other are read together. For targets it is a
# share of `drain_ms`, the time for which work may still reach a target that
# leaves: at 0.3 hosts learn too late of engines that come back. A host that
# reads only for itself waits less, since early knowledge is worth more to it
# than the calls that it saves.
_OPERATOR_BATCH_DELAY_S = 0.2
_TARGETS_BATCH_DELAY_SHARE = 0.1
_LONE_BATCH_DELAY_S = 0.1
_HOSTS_WAIT_S = 30.0
# Batch delay of the list of hosts. Hosts that start together register in the
# store within this time.
_HOSTS_BATCH_DELAY_S = 2.0
# Reads of the operator's topic also confirm that no key was withdrawn. They end
# before the knowledge of keys reaches this share of its maximum age.
_CONFIRMATION_AGE_SHARE = 0.7
# Room for the headers with which hosts forward requests to each other.
_FORWARD_HEAD_BYTES = 4_096
_TICK_INTERVAL_S = 0.25
_STATUS_INTERVAL_S = 5.0

_logger = logging.getLogger("hillthread.program")


def list_addresses(
    settings: gateway_settings.GatewaySettings,
) -> list[tuple[str, int]]:
    """Returns the IP and port of everything on which a host listens."""
    ip, _ = settings_lib.split_address(settings.listen)
    return [
        settings_lib.split_address(settings.listen),
        settings_lib.split_address(settings.ready_listen),
        (ip, settings.feed_port),
        (ip, settings.metrics_port),
    ]


class GatewayHost:
    """The gateway with its sockets, topic followers and background tasks."""

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
        self.pool = connection_pool.ConnectionPool(
            _CONNECT_TIMEOUT_S, _TARGET_SILENCE_MS
        )
        self.store = store_lib.StoreClient(settings.store)
        self.store.on_restored = self._on_store_restored
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
        peer_pool = connection_pool.ConnectionPool(_CONNECT_TIMEOUT_S)
        self.streams = stream_keeper.StreamKeeper(
            self.site,
            self.work,
            peer_pool,
            stream_journal.StreamJournal(self.site, self.store, tasks),
            journal_writer.JournalWriter(
                self.site, self.source, self.store, peer_pool
            ),
        )
        self.gateway = gateway_lib.Gateway(
            self.site,
            self.metrics,
            self.pool,
            tasks,
            services_lib.HostServices(
                self.work,
                self.quarantine,
                self.quotas,
                self.limits,
                peer_forwarder.PeerForwarder(
                    self.source, peer_pool, self.metrics
                ),
                self.streams,
            ),
        )
        self.buffers = send_buffer.BufferBudget(
            self._compute_buffer_bounds(), self.gateway.note_slow_caller
        )
        self.hosts_read = anyio.Event()
        self.hosts_settled = anyio.Event()
        self.follower_context = topic_plan.FollowerContext(
            self.store,
            store_watch.StoreWatch(
                self._on_store_lost,
                self._on_store_back,
                self._resend_held_reads,
            ),
            self.source,
            connection_pool.ConnectionPool(_CONNECT_TIMEOUT_S),
            self.metrics,
            self.hosts_read,
            self.hosts_settled,
        )
        self.followers = self._create_followers()
        self.feed_server = http1_server.Server(
            (ip, settings.feed_port),
            feed_server.FeedServer(
                self.site,
                self.followers,
                self.quarantine,
                self.quotas,
                self.limits,
                self.streams,
                self.gateway.handle_forwarded,
            ).answer,
            self._compute_feed_bounds,
            self.gateway.note_bad_request,
            budget=self.buffers,
        )
        self.hosts = host_registry.HostRegistry(
            self.store,
            self.site,
            self.source,
            self.feed_server.address,
            self.hosts_read,
            self.hosts_settled,
            tasks,
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
        self.site.on_target_withdrawn = self._close_idle_connections
        self.site.on_target_forgotten = self.limits.forget
        self.site.on_target_terminated = self.quarantine.record_target_crash
        self.server = http1_server.Server(
            settings_lib.split_address(settings.listen),
            self.gateway.handle,
            lambda: self.site.bounds,
            self.gateway.note_bad_request,
            self.gateway.note_caller_left,
            self.buffers,
        )
        self.ready_server = self._create_status_server(settings.ready_listen)
        self.metrics_server = self._create_status_server(
            f"{ip}:{settings.metrics_port}"
        )

    async def run(self) -> None:
        """Starts all servers, followers and background tasks."""
        for start in (
            *(follower.run for follower in self.followers.values()),
            self.feed_server.serve,
            self.server.serve,
            self.ready_server.serve,
            self.metrics_server.serve,
            self.rollout.run,
            functools.partial(self.work.run, self.feed_server.address),
            self.quotas.run,
            self.streams.run,
            self.streams.journal_writer.run,
            self.hosts.register,
            self.gateway.dispatcher.chooser.cache_planner.watch.run,
            self.gateway.dispatcher.monitor.run,
            self._tick,
        ):
            self.tasks.start_soon(start)
        self.site.startup.reach(startup.LISTENING)

    async def drain(self, requested_at: float) -> None:
        """Performs a planned stop.

        The host reports that it is not ready, serves on until the balancer has
        removed it, and then waits for unfinished requests.

        Args:
            requested_at: Seconds, when the stop was requested.
        """
        self.site.is_draining = True
        self.server.stopping = True
        self._wake_readers()
        _logger.info("stopping", extra={"event": "stop_notice"})
        self.tasks.start_soon(self.streams.hand_off)
        give_up_at = requested_at + self.site.settings.grace_s - _STOP_MARGIN_S
        await anyio.sleep(
            min(_BALANCER_NOTICE_S, self.site.settings.grace_s / 2)
        )
        self.server.close_idle()
        closing_s = min(
            _CLOSING_S, self.site.settings.grace_s * _CLOSING_GRACE_SHARE
        )
        closing_at = requested_at + closing_s
        await anyio.sleep(max(0.0, closing_at - clock.now()))
        self.site.is_closing = True
        with anyio.move_on_after(_LEASE_RELEASE_TIMEOUT_S):
            await self.rollout.lease.release()
        await self._wait_for_requests(give_up_at)
        cut = self.server.serving
        self.gateway.dispatcher.cancel_all()
        await self._wait_for_requests(clock.now() + _FINAL_ANSWERS_S)
        _logger.info(
            "stopped",
            extra={
                "event": "stop_drained",
                "cut": cut,
                "open": self.server.unfinished,
            },
        )

    async def _wait_for_requests(self, until: float) -> None:
        """Waits until no request is unfinished, or until a point in time."""
        while clock.now() < until and (  # noqa: ASYNC110
            self.server.unfinished or self.gateway.forwarded_inflight
        ):
            await anyio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def answer_status(
        self,
        caller: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        """Answers the balancer's readiness checks and the metrics page."""
        if caller.path.endswith("/metrics"):
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            await answer.send_whole(200, headers, self.metrics.render())
            return
        reason = self.site.not_ready_reason(clock.now())
        status = 503 if reason else 200
        await answer.send_whole(status, [], reason.encode())

    def _compute_buffer_bounds(self) -> send_buffer.BufferBounds:
        """Returns the bounds of buffers; logs if memory is too small."""
        memory_mb = self.site.settings.memory_mb
        bounds = send_buffer.compute_bounds(memory_mb)
        if bounds.is_minimum:
            _logger.warning(
                "memory is too small for buffers; they get the minimum",
                extra={
                    "event": "buffer_minimum",
                    "memory_mb": memory_mb,
                    "total_bytes": bounds.total_bytes,
                },
            )
        return bounds

    def _compute_feed_bounds(self) -> caller_bounds.CallerBounds:
        """Returns bounds for hosts, which admit all requests of callers."""
        callers = self.site.bounds
        return caller_bounds.CallerBounds(
            callers.max_head_bytes + _FORWARD_HEAD_BYTES,
            callers.max_body_bytes,
        )

    def _create_status_server(self, address: str) -> http1_server.Server:
        return http1_server.Server(
            settings_lib.split_address(address),
            self.answer_status,
            caller_bounds.CallerBounds,
            self.gateway.note_bad_request,
        )

    def _create_followers(self) -> dict[str, store_follower.TopicFollower]:
        """Creates the followers of all topics, by topic."""
        plans = [
            topic_plan.TopicPlan(
                configuration.OPERATOR_TOPIC,
                self._compute_operator_hold_s,
                lambda: self._compute_feed_holds().reader_s,
                lambda: self._compute_feed_holds().peer_s,
                lambda: _OPERATOR_BATCH_DELAY_S,
                _LONE_BATCH_DELAY_S,
                self._apply_operator_record,
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
                self._compute_targets_batch_delay_s,
                _LONE_BATCH_DELAY_S,
                self._apply_target_record,
                self.site.mark_targets_known,
                is_older=targets.is_older,
            ),
            topic_plan.TopicPlan(
                host_registry.HOSTS_TOPIC,
                lambda: _HOSTS_WAIT_S,
                lambda: _HOSTS_WAIT_S,
                lambda: _PEER_WAIT_S,
                lambda: _HOSTS_BATCH_DELAY_S,
                _HOSTS_BATCH_DELAY_S,
                self._apply_host_record,
                self._mark_hosts_read,
                keeps_missing=True,
                on_lost=self._rewrite_lost_records,
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

    def _compute_operator_hold_s(self) -> float:
        """Returns how long the next read of the operator's topic may be held.

        A read that returns changes confirms the keys only as of its sending,
        so the next read must be short. A read that is not answered when a
        change comes must end early enough for the next one to return the
        change within the bound: a hold of 2.5 s under a bound of 2 s kept an
        old configuration in force for 2.63 s.
        """
        age_s = self.site.freshness.age(clock.now())
        remaining_s = self.site.greatest_age_s * _CONFIRMATION_AGE_SHARE - age_s
        bound_s = self.site.settings.config_ms / 1000.0
        max_hold_s = min(
            _OPERATOR_WAIT_S, held_read.compute_max_hold_s(bound_s)
        )
        return min(max_hold_s, max(0.0, remaining_s))

    def _compute_targets_batch_delay_s(self) -> float:
        """Returns the delay in which further changes of targets are awaited."""
        return self.site.settings.drain_ms / 1000.0 * _TARGETS_BATCH_DELAY_SHARE

    def _compute_feed_holds(self) -> held_read.FeedHoldTimes:
        return held_read.compute_feed_holds(
            self.site.ready_age_s, self.site.greatest_age_s
        )

    def _mark_hosts_read(self) -> None:
        self.hosts_read.set()
        self.site.startup.reach(startup.HOSTS)

    def _apply_operator_record(self, record: topic_copy.TopicRecord) -> None:
        if not record.value:
            return
        if record.key == configuration.CONFIGURATION_KEY:
            self.site.apply_configuration(record.value)
        elif record.key.startswith(configuration.WEIGHTS_KEY_PREFIX):
            self.site.apply_weights_announcement(record.value)

    def _apply_target_record(self, record: topic_copy.TopicRecord) -> None:
        if record.value:
            self.site.put_target(record.key, record.value)
        else:
            self.site.remove_target(record.key, clock.now())

    def _apply_host_record(self, record: topic_copy.TopicRecord) -> None:
        if record.key.startswith(host_registry.QUARANTINE_PREFIX):
            self.quarantine.records.apply_record(record)
        else:
            self.hosts.apply_host_record(record)

    def _on_store_back(self, now: float, lost_s: float) -> None:
        self.site.store_back(now, lost_s)
        # A read that was held during the outage may never be answered.
        for follower in self.followers.values():
            if follower.plan.topic != configuration.OPERATOR_TOPIC:
                follower.interrupt()

    def _on_store_lost(self, reason: str) -> None:
        self.site.store_lost(reason)
        self._wake_readers()
        # Only one call may have failed. This follower checks whether the store
        # answers, and the others wait for its result.
        self.followers[configuration.OPERATOR_TOPIC].interrupt()

    def _on_store_restored(self, before: int, era: int) -> None:
        """Rereads all topics; targets that they lack are kept for a while."""
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

    def _rewrite_lost_records(self, keys: list[str]) -> None:
        """Rewrites host entries and quarantines that a restored store lost."""
        self.tasks.start_soon(self.hosts.register_again, self._find_own_entry)
        for key in keys:
            if key.startswith(host_registry.QUARANTINE_PREFIX):
                self.quarantine.records.restore_record(
                    key, self._is_lost_record
                )

    def _find_own_entry(self) -> bytes:
        """Returns this host's entry in the store; empty if it has none."""
        record = self._hosts_copy().newest.get(self.site.settings.host)
        if record is None or record.position.offset < 0:
            return b""
        return record.value

    def _is_lost_record(self, key: str) -> bool:
        """Returns whether a restored store still lacks a record."""
        record = self._hosts_copy().newest.get(key)
        return record is not None and record.position.offset < 0

    def _hosts_copy(self) -> topic_copy.TopicCopy:
        return self.followers[host_registry.HOSTS_TOPIC].copy

    def _wake_readers(self) -> None:
        """Wakes held reads of other hosts: this host gets no more changes."""
        for follower in self.followers.values():
            follower.wake()

    def _resend_held_reads(self, since: float) -> None:
        """Resends reads that were already held when another one was lost."""
        for follower in self.followers.values():
            follower.interrupt(since)

    def _close_idle_connections(self, address: str) -> None:
        self.tasks.start_soon(self.pool.drop, address)

    async def _tick(self) -> None:
        """Expires targets, updates metrics and logs changes of readiness."""
        readiness = startup.ReadinessLog(self.site.startup)
        memory_mb = self.site.settings.memory_mb
        status_at = clock.now() + _STATUS_INTERVAL_S
        while True:
            now = clock.now()
            self.site.expire_targets(now)
            reason = self.site.not_ready_reason(now)
            readiness.update(reason, self.site.rounded_age_s(now), now)
            self.metrics.ready.set(not reason)
            self.metrics.suspects.set(self.site.quarantine.suspect_count)
            self._update_unavailable_metrics(now)
            self.metrics.store_age.set(self.site.freshness.age(now))
            self.metrics.connections.set(self.pool.opened.total())
            for fault, count in self.pool.faults.items():
                self.metrics.bad_answers.labels(fault).set(count)
            self.metrics.buffered_bytes.set(self.buffers.buffered_bytes)
            if memory_mb != self.site.settings.memory_mb:
                memory_mb = self.site.settings.memory_mb
                self.buffers.bounds = self._compute_buffer_bounds()
            if now >= status_at:
                status_at = now + _STATUS_INTERVAL_S
                self._log_status(now)
            await anyio.sleep(_TICK_INTERVAL_S)

    def _update_unavailable_metrics(self, now: float) -> None:
        """Sets the numbers of targets that this host cannot use."""
        unavailable = self.site.unavailable_targets(now)
        self.metrics.unreachable.set(
            sum(state.is_unreachable for state in self.site.states.values())
        )
        self.metrics.leaving.set(sum(each.is_leaving for each in unavailable))
        self.metrics.backing_off.set(
            sum(each.backoff_s > 0.0 for each in unavailable)
        )

    def _log_status(self, now: float) -> None:
        """Logs the state of the host."""
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
                "buffered_bytes": self.buffers.buffered_bytes,
                "body_bytes": self.buffers.body_bytes,
                "bodies_refused": self.buffers.refused_bodies,
                "slow_callers_cut": self.buffers.cut_streams,
                "connections_opened": dict(self.pool.opened),
                "bad_answers": dict(self.pool.faults),
                "keep_told_s": dict(self.pool.keep_alive_counts),
                "hosts": self.site.cluster_size,
                "lease_holder": self.rollout.lease.contender.state.holder,
                "loading": sorted(self.rollout.loading),
                **self.site.weights_status(now),
                "choices": self.metrics.count_choices(),
                "log_lines": self.log.written_lines,
                "log_bytes": self.log.written_bytes,
            },
        )
