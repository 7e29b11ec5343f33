"""How many hosts there are, so that each can take its part of a budget.

Each host writes its name into a keyed topic when it starts. A host that is gone
stays listed: the parts are then smaller than they could be, never larger.
"""

from __future__ import annotations

import logging
import random

import anyio
import msgspec

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import store as store_lib

__all__ = ["HostRegistry"]

HOSTS_TOPIC = "keyed.hosts"
# All hosts start within 0.3 s of each other; then new ones are rare.
_FIRST_READ_S = 3.0
_READ_EVERY_S = 30.0
_RETRY_S = 2.0
_SPREAD = 0.5

_logger = logging.getLogger("hillthread.hosts")


class _Host(msgspec.Struct):
    """What a host writes of itself."""

    data_centre: str
    listen: str


class HostRegistry:
    """Lists this host and counts the others.

    Attributes:
        store: The platform's store.
        site: Whose `hosts` is set.
    """

    def __init__(self, store: store_lib.StoreClient, site: site_lib.Site):
        self.store = store
        self.site = site

    async def run(self) -> None:
        """Lists this host, then counts until cancelled."""
        while not await self._write():  # noqa: ASYNC110 (a retry)
            await anyio.sleep(_RETRY_S * random.uniform(1.0, 1.0 + _SPREAD))
        await anyio.sleep(_FIRST_READ_S)
        while True:
            await self.count()
            pause_s = _READ_EVERY_S * random.uniform(1.0, 1.0 + _SPREAD)
            await anyio.sleep(pause_s)

    async def _write(self) -> bool:
        settings = self.site.settings
        entry = _Host(settings.data_centre, settings.listen)
        try:
            await self.store.put(
                HOSTS_TOPIC, settings.host, msgspec.json.encode(entry)
            )
        except errors.HillthreadError as error:
            _note_failure("host not listed", error)
            return False
        return True

    async def count(self) -> None:
        """Counts the hosts that are listed."""
        try:
            page = await self.store.newest(HOSTS_TOPIC)
        except errors.LogError as error:
            _note_failure("hosts not counted", error)
            return
        hosts = max(1, len(page.records))
        if hosts != self.site.hosts:
            _logger.info(
                "hosts counted",
                extra={
                    "event": "hosts",
                    "hosts": hosts,
                    "before": self.site.hosts,
                },
            )
        self.site.hosts = hosts


def _note_failure(what: str, error: errors.HillthreadError) -> None:
    _logger.warning(
        what, extra={"event": "hosts_unknown", "reason": error.message}
    )
