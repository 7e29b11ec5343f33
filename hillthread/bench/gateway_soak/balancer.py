"""The balancer of a soak: asks hosts whether they are ready."""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import Protocol
from typing import TypeVar

import anyio
import httpx

from hillthread.bench import site as site_lib

__all__ = ["Balanced", "Balancer"]

# It asks so often, and takes a host out after two misses.
_EVERY_S = 0.5
_TIMEOUT_S = 0.4
_MISSES = 2
# Share of new connections that a preferred host gets.
_PREFERENCE = 0.9


class Balanced(Protocol):
    """A host as the balancer sees it."""

    name: str
    ready_address: str
    routable: bool


_Host = TypeVar("_Host", bound=Balanced)


class Balancer:
    """Keeps `routable` of all hosts.

    Attributes:
        hosts: All there are.
        preferred: Name of the host that gets most new connections; empty for
            none.
    """

    def __init__(self, hosts: Sequence[Balanced]):
        self.hosts = hosts
        self.preferred = ""
        self.client = httpx.AsyncClient(trust_env=False, timeout=_TIMEOUT_S)

    def choose(
        self, ready: list[_Host], chance: random.Random
    ) -> tuple[_Host, bool]:
        """Returns the host of a new connection, and if it is preferred."""
        host = chance.choice(ready)
        if not self.preferred or chance.random() >= _PREFERENCE:
            return host, False
        found = next((h for h in ready if h.name == self.preferred), None)
        return found or host, found is not None

    async def run(self) -> None:
        """Asks until cancelled."""
        misses = {host.name: 0 for host in self.hosts}
        while True:
            for host in self.hosts:
                is_ready = await self.is_ready(host)
                misses[host.name] = 0 if is_ready else misses[host.name] + 1
                if is_ready:
                    host.routable = True
                elif misses[host.name] >= _MISSES:
                    host.routable = False
            await anyio.sleep(_EVERY_S)

    async def is_ready(self, host: Balanced) -> bool:
        """Returns whether a host says that it is ready now."""
        if not host.ready_address:
            return False
        try:
            answer = await self.client.get(f"http://{host.ready_address}/ready")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def wait_all_ready(self) -> None:
        """Returns when all hosts are ready.

        Raises:
            TimeoutError: One is not for long.
        """
        for host in self.hosts:
            await site_lib.wait_until(lambda host=host: self.is_ready(host))

    async def close(self) -> None:
        """Closes the connections to hosts."""
        await self.client.aclose()
