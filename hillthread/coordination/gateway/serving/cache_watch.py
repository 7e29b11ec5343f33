"""Follows the events of the stores of KV cache, to save only what they lack.

Every save also contains the last part of the prompt, which no other prompt
shares. If each request were saved, these parts would evict the shared ones.
"""

from __future__ import annotations

import logging
import random

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import cache_events
from hillthread.state.routing import cache_contents
from hillthread.transport import connection_pool

__all__ = ["CacheWatch"]

_POLL_TIMEOUT_S = 1.0
# Minimum interval between reads. A busy store would answer each at once; in the
# interval its events accumulate. It grows with the number of hosts, because a
# store can serve only few reads from all of them together.
_MIN_INTERVAL_S = 0.3
_INTERVAL_PER_HOST_S = 0.02
_RETRY_PAUSE_S = 0.5
_STORE_LIST_INTERVAL_S = 0.5

_logger = logging.getLogger("hillthread.cache")


class CacheWatch:
    """Tracks the contents of the stores of KV cache.

    Attributes:
        site: The host's view of the configuration, which lists the stores.
        pool: Connections to the stores.
        contents: Contents of each store, by its address.
        occupied: Addresses of configured stores that listed targets have taken
            over; they are neither read nor used.
    """

    def __init__(
        self, site: site_lib.Site, pool: connection_pool.ConnectionPool
    ):
        self.site = site
        self.pool = pool
        self.contents: dict[str, cache_contents.CacheContents] = {}
        self.occupied: frozenset[str] = frozenset()

    def may_lack(
        self, address: str, parts: list[cache_contents.CacheEvent]
    ) -> bool:
        """Returns whether a store may lack any of some parts."""
        contents = self.contents.get(address)
        if contents is None or not contents.is_known:
            return True
        return not all(contents.holds(part, tokens) for part, tokens in parts)

    def is_reachable(self, address: str) -> bool:
        """Returns whether a store answers; true if it was never read."""
        if address in self.occupied:
            return False
        contents = self.contents.get(address)
        return contents is None or contents.is_answering

    async def run(self) -> None:
        """Follows all stores of the configuration until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_occupied()
                for address in self._addresses() - self.contents.keys():
                    self.contents[address] = cache_contents.CacheContents()
                    tasks.start_soon(self._follow, address)
                await anyio.sleep(_STORE_LIST_INTERVAL_S)

    def _update_occupied(self) -> None:
        """Finds the stores at whose addresses targets are listed."""
        before = self.occupied
        self.occupied = frozenset(
            self._configured_addresses() & self.site.targets.listed_addresses()
        )
        for address in self.occupied - before:
            self._log("cache_lost", address, "a listed target has its address")

    def _configured_addresses(self) -> set[str]:
        table = self.site.table
        if table is None:
            return set()
        return {store.address for store in table.cache_stores}

    def _addresses(self) -> set[str]:
        """Returns the addresses that are read."""
        return self._configured_addresses() - self.occupied

    async def _follow(self, address: str) -> None:
        contents = self.contents[address]
        while address in self._addresses():
            started = clock.now()
            try:
                page = await cache_events.read_events(
                    self.pool,
                    address,
                    contents.epoch,
                    contents.position,
                    _POLL_TIMEOUT_S,
                )
            except errors.LogError as error:
                if self._handle_failure(address, error):
                    await anyio.sleep(_RETRY_PAUSE_S * random.uniform(1.0, 2.0))
                continue
            if not contents.is_answering:
                self._log("cache_back", address, "answers again")
            if contents.epoch is not None and page.epoch != contents.epoch:
                self._log("cache_lost", address, "restarted")
            contents.apply(page.epoch, page.position, page.events, page.lost)
            elapsed_s = clock.now() - started
            interval_s = max(
                _MIN_INTERVAL_S, _INTERVAL_PER_HOST_S * self.site.cluster_size
            )
            await anyio.sleep(max(0.0, interval_s - elapsed_s))
        del self.contents[address]

    def _handle_failure(self, address: str, error: errors.LogError) -> bool:
        """Records a failed read; returns whether to pause before the next.

        A read without an answer says little about the store: its connection
        may have died or fallen silent. The next read takes a new connection
        and continues where the last answer ended.
        """
        contents = self.contents[address]
        was_reachable = contents.is_answering
        if isinstance(error, errors.BusyError):
            contents.note_answer()
        else:
            contents.note_failure()
            if was_reachable and contents.is_answering:
                self._log("cache_read_lost", address, error.message)
                return False
        if contents.is_known or was_reachable != contents.is_answering:
            self._log(
                "cache_lost",
                address,
                error.message,
                reachable=contents.is_answering,
            )
        contents.reset()
        return True

    def _log(self, event: str, address: str, reason: str, **fields) -> None:
        _logger.info(
            event.replace("_", " "),
            extra={
                "event": event,
                "address": address,
                "reason": reason,
                **fields,
            },
        )
