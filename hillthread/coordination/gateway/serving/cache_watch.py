"""Follows the events of the stores of KV cache, to save only what they lack.

Every save also carries the part of the prompt that nobody shares; sent with
each request, these push the shared parts out of the store.
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
from hillthread.transport import http1_client

__all__ = ["CacheWatch"]

_WAIT_S = 1.0
# Events of a busy store come at once: they are collected for so long, and
# longer with many hosts, which together may have few calls at a store.
_EVERY_S = 0.3
_EVERY_HOST_S = 0.02
_PAUSE_S = 0.5
_CHECK_S = 0.5

_logger = logging.getLogger("hillthread.cache")


class CacheWatch:
    """Knows what the stores of KV cache hold.

    Attributes:
        site: The host's beliefs: which stores there are.
        contents: By the store's address.
    """

    def __init__(self, site: site_lib.Site, pool: http1_client.ConnectionPool):
        self.site = site
        self.pool = pool
        self.contents: dict[str, cache_contents.CacheContents] = {}

    def may_lack(
        self, address: str, parts: list[cache_contents.CacheEvent]
    ) -> bool:
        """Returns whether a store may lack one of some parts."""
        contents = self.contents.get(address)
        if contents is None or not contents.is_known:
            return True
        return not all(contents.holds(part, tokens) for part, tokens in parts)

    def is_reachable(self, address: str) -> bool:
        """Returns whether a store is worth asking; true until it is known."""
        contents = self.contents.get(address)
        return contents is None or contents.is_answering

    async def run(self) -> None:
        """Follows all stores of the configuration until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for address in self._addresses() - self.contents.keys():
                    self.contents[address] = cache_contents.CacheContents()
                    tasks.start_soon(self._follow, address)
                await anyio.sleep(_CHECK_S)

    def _addresses(self) -> set[str]:
        table = self.site.table
        if table is None:
            return set()
        return {store.address for store in table.cache_stores}

    async def _follow(self, address: str) -> None:
        contents = self.contents[address]
        while address in self._addresses():
            started = clock.now()
            try:
                page = await cache_events.read_events(
                    self.pool, address, contents.position, _WAIT_S
                )
            except errors.LogError as error:
                if self._take_failure(address, error):
                    await anyio.sleep(_PAUSE_S * random.uniform(1.0, 2.0))
                continue
            if not contents.is_answering:
                self._log("cache_back", address, "answers again")
            if contents.epoch is not None and page.epoch != contents.epoch:
                self._log("cache_lost", address, "restarted")
            contents.apply(page.epoch, page.position, page.events, page.lost)
            passed = clock.now() - started
            every_s = max(_EVERY_S, _EVERY_HOST_S * self.site.hosts)
            await anyio.sleep(max(0.0, every_s - passed))
        del self.contents[address]

    def _take_failure(self, address: str, error: errors.LogError) -> bool:
        """Notes a failed read; returns whether to pause before the next one.

        One that was lost says little of the cache: its connection may have
        died or fallen silent. The next one takes a new connection, and goes on
        where the last answer ended.
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
