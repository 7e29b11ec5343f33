"""Decides whether this host gives orders and when it takes over."""

from __future__ import annotations

import random

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_lease
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import succession

__all__ = ["OrderLeadership"]

_ROLE = "orders"
# Hosts of a rank below this number read the lease after the start and after
# each rollout; the others do not.
_READING_HOSTS = 8
# Delay from the start, or the end of a rollout, until the lease is read.
_READ_DELAY_S = 1.0
# A holder that gives orders notifies others of loads that begin or end at least
# this often.
_MAX_NOTICE_GAP_S = 1.2
_NEVER = float("inf")


class OrderLeadership:
    """Acquires and gives up the leadership for orders on this host.

    Attributes:
        site: The state of this host.
        lease: The lease on giving orders.
        hosts: All hosts; those that rank first for orders take over first.
    """

    def __init__(
        self,
        site: site_lib.Site,
        lease: order_lease.OrderLease,
        hosts: feed_source.FeedSource,
    ):
        self.site = site
        self.lease = lease
        self.hosts = hosts
        self._is_needed = False
        self._try_at = -_NEVER
        self._resigned_until = -_NEVER
        self._read_lease_at = clock.now() + _READ_DELAY_S

    async def try_acquire(self, now: float) -> bool:
        """Acquires the leadership if it is this host's turn.

        It is called as long as there is something to order.

        Returns:
            Whether this host may give orders now.
        """
        if not self._is_needed:
            self._is_needed = True
            first_at = succession.compute_first_try_at(
                self._standing(), now, random.random()
            )
            self._try_at = max(self._resigned_until, first_at)
        if now < self._try_at or self._is_active_elsewhere(now):
            return False
        if await self.acquire_or_renew():
            return True
        self._try_at = succession.compute_next_try_at(
            self._standing(), clock.now(), random.random()
        )
        return False

    def _is_active_elsewhere(self, now: float) -> bool:
        """Returns whether another host is known to give orders.

        Its notices of loading engines show that it holds the lease, while
        reading the lease costs one call on each host. Hosts that would succeed
        it still read the lease, because its duration counts from when its last
        record was read.
        """
        rank = self.hosts.get_duty_rank(_ROLE)
        if self.lease.is_holder or rank < succession.WATCHING_HOST_COUNT:
            return False
        return now - self.site.last_load_notice_at < _MAX_NOTICE_GAP_S

    async def acquire_or_renew(self) -> bool:
        """Acquires or renews the lease if due; returns whether to give orders.

        A host that is about to stop, or that cannot reach any target, does not
        acquire the lease. A holder keeps it until it stops, since another host
        would have to wait until the lease expires.
        """
        if self.site.is_closing or self.site.are_links_lost:
            return False
        if clock.now() < self._resigned_until:
            return False
        if self.site.is_draining and not self.lease.is_holder:
            return False
        return await self.lease.acquire_or_renew()

    async def release_if_cut_off(self) -> None:
        """Leaves orders to another host while no target can be reached."""
        if self.site.are_links_lost and self.lease.is_holder:
            await self.lease.release()

    def step_down(self, reason: str) -> None:
        """Stops giving orders after an engine has seen a newer holder.

        This host does not contend again until that holder's lease may have
        expired.
        """
        self.lease.step_down(reason)
        ttl_s = self.lease.contender.ttl_s
        self._resigned_until = clock.now() + ttl_s
        self._try_at = max(self._try_at, self._resigned_until)

    async def mark_idle(self, now: float) -> None:
        """Records that there is nothing to order, and reads the lease once.

        The lease is read soon after the start and after each rollout. A host
        that knows since when a holder has been silent can succeed it without a
        wait when the next weights are announced.

        Raises:
            LogError: The store cannot be read.
        """
        if self._is_needed:
            self._is_needed = False
            self._read_lease_at = now + _READ_DELAY_S
        if now < self._read_lease_at:
            return
        self._read_lease_at = now + _READ_DELAY_S  # repeated if the read fails
        is_reader = self.hosts.get_duty_rank(_ROLE) < _READING_HOSTS
        if is_reader and not self.lease.is_holder:
            await self.lease.catch_up()
        self._read_lease_at = _NEVER

    def _standing(self) -> succession.LeaseStanding:
        return succession.LeaseStanding(
            self.hosts.get_duty_rank(_ROLE),
            self.lease.is_holder,
            self.lease.has_holder,
            self.lease.contender.contend_at,
        )
