"""Lease on giving orders, kept as records of a topic in the store.

The lease is acquired only when there is something to order, so that idle times
cost no calls. Every append names the end of the topic that its author has read,
so each record in the topic takes all earlier records into account.
"""

from __future__ import annotations

from collections.abc import Callable
import logging

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.platform import store as store_lib
from hillthread.state.cluster import lease
from hillthread.state.cluster import position as position_lib

__all__ = ["OrderLease"]

LEASE_TOPIC = "order-lease"
# How long a holder may act after an append; it renews the lease while it works.
_ACT_S = 2.0
# Margin added to the lease's duration and to the pause between holders.
_MARGIN_S = 0.3
# Delay after a failed call: each call has a price, and a renewal begins early
# enough to be retried.
_RETRY_S = 0.3
# Number of bits of a fencing token that hold the offset; the bits above hold
# the era.
_OFFSET_BITS = 32

_logger = logging.getLogger("hillthread.lease")


class OrderLease:
    """This host's handle on the lease.

    Attributes:
        store: The platform's store.
        contender: Decides when this host may act and when it may contend.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        name: str,
        pause_s: float,
        clock: Callable[[], float] = clock.now,
    ):
        """Initializes the lease.

        Args:
            store: The platform's store.
            name: Name of this host.
            pause_s: Least time between the orders of two holders.
            clock: Returns the monotonic time, seconds.
        """
        self.store = store
        self._clock = clock
        self.contender = lease.Contender(
            name,
            _ACT_S + pause_s + _MARGIN_S,
            _ACT_S,
            ordered=True,
            handover_pause_s=pause_s + _MARGIN_S,
        )
        self._lock = anyio.Lock()
        self._retry_at = float("-inf")

    @property
    def fencing_token(self) -> int:
        """Fencing token of the holder; it also increases over restorations."""
        state = self.contender.state
        return ((state.era or 0) << _OFFSET_BITS) + state.fencing

    @property
    def is_holder(self) -> bool:
        """Whether this host was the last holder, by the records it has read."""
        return self.contender.state.holder == self.contender.name

    @property
    def has_holder(self) -> bool:
        """Whether a host holds or may hold the lease, by the records read."""
        return self.contender.state.holder != lease.NO_HOLDER

    def may_act(self) -> bool:
        """Returns whether this host may give orders; check before each one."""
        return self.contender.may_act(self._clock())

    async def acquire_or_renew(self) -> bool:
        """Acquires or renews the lease if that is due.

        Returns:
            Whether this host may give orders now.
        """
        async with self._lock:  # several loads call this at the same time
            return await self._acquire_or_renew_locked()

    async def _acquire_or_renew_locked(self) -> bool:
        now = self._clock()
        if self.contender.may_act(now) and not self.contender.should_renew(now):
            return True
        if now < self._retry_at:
            return self.may_act()
        try:
            if not self.is_holder:
                await self.catch_up()
                if not self.contender.may_contend(self._clock()):
                    return False
            await self._append()
        except errors.HillthreadError as error:
            self._retry_at = self._clock() + _RETRY_S
            _logger.warning(
                "lease not acquired",
                extra={"event": "lease_failed", "reason": error.message},
            )
        return self.may_act()

    async def catch_up(self) -> None:
        """Reads the topic to its end.

        Raises:
            LogError: The store cannot be read.
        """
        state = self.contender.state
        if state.era != self.store.era:
            self.contender.set_era(self.store.era)
        try:
            page = await self.store.read(
                LEASE_TOPIC, self._next_position(), 0.0
            )
        except store_lib.TruncatedError as error:
            _logger.warning(
                "lease records were truncated",
                extra={
                    "event": "lease_gap",
                    "read_to": state.position,
                    "first": error.first,
                    "holder": state.holder,
                },
            )
            self.contender.restart_at(error.first)
            page = await self.store.read(
                LEASE_TOPIC, self._next_position(), 0.0
            )
        now = self._clock()
        before = state.holder
        for record in page.records:
            self.contender.read(record.position.offset, record.payload, now)
        state.position = max(state.position, page.end.offset - 1)
        self.contender.note_caught_up(now)
        if state.holder != before:
            _logger.info(
                "lease holder changed",
                extra={
                    "event": "lease_seen",
                    "holder": state.holder,
                    "fencing": self.fencing_token,
                },
            )

    def store_restored(self, era: int) -> None:
        """Stops acting, because the store may have lost this acquisition."""
        now = self._clock()
        was_holder = self.may_act()
        self.contender.start_era(era, now)
        _logger.warning(
            "lease dropped after the store was restored",
            extra={
                "event": "lease_restored",
                "era": era,
                "was_holder": was_holder,
                "contends_in_s": round(self.contender.contend_at - now, 3),
            },
        )

    def _next_position(self) -> position_lib.Position:
        """Returns the position of the next record."""
        state = self.contender.state
        return position_lib.Position(state.era or 0, state.position + 1)

    def step_down(self, reason: str) -> None:
        """Stops acting after an engine has seen a newer holder."""
        self.contender.resign()
        _logger.warning(
            "lease given up",
            extra={"event": "lease_given_up", "reason": reason},
        )

    async def release(self) -> None:
        """Releases the lease at a planned stop, if this host holds it."""
        async with self._lock:  # an acquisition may be in progress
            await self._release_locked()

    async def _release_locked(self) -> None:
        if not self.is_holder:
            return
        state = self.contender.state
        record = lease.Release(
            holder=self.contender.name, fencing=state.fencing, era=state.era
        )
        end = self._next_position()
        self.contender.resign()
        try:
            await self.store.append(
                LEASE_TOPIC, lease.encode_lease(record), end
            )
        except errors.HillthreadError as error:
            # Other hosts then wait until the lease has expired.
            _logger.warning(
                "lease not released",
                extra={"event": "lease_failed", "reason": error.message},
            )
            return
        _logger.info("lease released", extra={"event": "lease_released"})

    async def _append(self) -> None:
        now = self._clock()
        payload = lease.encode_lease(self.contender.begin_append(now))
        try:
            position = await self.store.append(
                LEASE_TOPIC, payload, self._next_position()
            )
        except (errors.ConflictError, errors.UnknownOutcomeError):
            # Another host was first, or the answer was lost; read the topic.
            await self.catch_up()
            return
        was_holder = self.is_holder
        self.contender.read(position.offset, payload, self._clock())
        if not was_holder:
            _logger.info(
                "lease acquired",
                extra={"event": "lease_taken", "fencing": self.fencing_token},
            )
