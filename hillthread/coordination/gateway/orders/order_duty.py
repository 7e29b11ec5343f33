"""Which host gives orders: whether this one does, and when it steps in."""

from __future__ import annotations

import random

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.orders import order_lease
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import succession

__all__ = ["OrderLeadership"]

_DUTY = "orders"
# Hosts of lower rank do not read the lease after a rollout.
_LOOKING_HOSTS = 8
_LOOK_AFTER_S = 1.0
# A holder that orders tells of loads that begin or end so often at least.
_SILENCE_S = 1.2
_NEVER = float("inf")


class OrderLeadership:
    """This host's part in the duty of giving orders.

    Attributes:
        site: The host's beliefs.
        lease: On giving orders.
        hosts: All hosts: those that rank first for orders step in first.
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
        self._needed = False
        self._try_at = -_NEVER
        self._resigned_until = -_NEVER
        self._look_at = clock.now() + _LOOK_AFTER_S

    async def try_acquire(self, now: float) -> bool:
        """Takes the duty if it is this host's turn; called while it is needed.

        Returns:
            Whether this host may give orders now.
        """
        if not self._needed:
            self._needed = True
            first_at = succession.compute_first_try_at(
                self._standing(), now, random.random()
            )
            self._try_at = max(self._resigned_until, first_at)
        if now < self._try_at or self._is_done_elsewhere(now):
            return False
        if await self.acquire_or_renew():
            return True
        self._try_at = succession.compute_next_try_at(
            self._standing(), clock.now(), random.random()
        )
        return False

    def _is_done_elsewhere(self, now: float) -> bool:
        """Returns whether another host is heard to give orders.

        It tells which engines load, and shows by it that it holds the lease:
        to read that costs a call of each host. Those that would follow it read
        on: how long the lease lasts counts from when its last record was read.
        """
        rank = self.hosts.get_duty_rank(_DUTY)
        if self.lease.is_holder or rank < succession.WATCHING_HOST_COUNT:
            return False
        return now - self.site.load_told_at < _SILENCE_S

    async def acquire_or_renew(self) -> bool:
        """Returns whether orders may be given now; renews the lease if due.

        A host that is about to end begins none; a holder goes on until then,
        since another one would have to wait for its lease.
        """
        if self.site.closing or clock.now() < self._resigned_until:
            return False
        if self.site.draining and not self.lease.is_holder:
            return False
        return await self.lease.acquire_or_renew()

    def step_down(self, reason: str) -> None:
        """Stops giving orders: an engine has seen a newer holder.

        Until that one's lease can be over, this host does not ask for it.
        """
        self.lease.step_down(reason)
        ttl_s = self.lease.contender.ttl_s
        self._resigned_until = clock.now() + ttl_s
        self._try_at = max(self._try_at, self._resigned_until)

    async def mark_idle(self, now: float) -> None:
        """Notes that there is nothing to order, and looks at the lease once.

        That is soon after the start and after each rollout: who knows since
        when a holder has been silent can follow it without a wait when the next
        weights are named.

        Raises:
            LogError: The store cannot be read.
        """
        if self._needed:
            self._needed = False
            self._look_at = now + _LOOK_AFTER_S
        if now < self._look_at:
            return
        self._look_at = now + _LOOK_AFTER_S  # again if it cannot be read
        looks = self.hosts.get_duty_rank(_DUTY) < _LOOKING_HOSTS
        if looks and not self.lease.is_holder:
            await self.lease.catch_up()
        self._look_at = _NEVER

    def _standing(self) -> succession.LeaseStanding:
        return succession.LeaseStanding(
            self.hosts.get_duty_rank(_DUTY),
            self.lease.is_holder,
            self.lease.has_holder,
            self.lease.contender.contend_at,
        )
