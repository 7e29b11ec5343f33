"""Simulates callers that keep connections, give up and reconnect.

When a stream breaks off they reconnect to other hosts, once or several times.
"""

from __future__ import annotations

import random
import time
import uuid

import anyio
import httpx

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import release_verdict
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.bench.gateway_soak import verdict
from hillthread.platform import names

__all__ = ["Callers", "open_client"]

_ROUTES = ("stream", "resume", "once", "again")
_DEADLINE_MS = 2500
_TIMEOUT_S = 4.0
# Requests over one connection at most, and the pause between two. Some callers
# keep a host, and its connections, until its process is gone.
_MOST_REQUESTS = 25
_KEEP_SHARE = 0.3
_PAUSE_S = 0.08
_GIVE_UP_SHARE = 0.05
_OLD_KEY_SHARE = 0.1
_GIVE_UP_S = 0.2
_PREFIXES = 12
_MAX_RECONNECTS = 3
_RECONNECT_PAUSES_S = (0.0, 0.0, 0.3, 2.0)


def open_client(
    host: stage_lib.SoakHost, timeout_s: float = _TIMEOUT_S
) -> httpx.AsyncClient:
    """Returns a client of one connection to a host.

    It loads no certificates, which would block the event loop for 40 ms.

    Args:
        host: The host.
        timeout_s: Longest wait for a connection or for data, in seconds.
    """
    return httpx.AsyncClient(
        base_url=f"http://{host.address}",
        trust_env=False,
        verify=False,
        timeout=timeout_s,
        limits=httpx.Limits(max_connections=1),
    )


class Callers:
    """Makes requests until stopped.

    Attributes:
        stage: The deployment under test.
        random: Random numbers from the seed of the soak.
        reconnect_random: Random numbers for reconnects. Their number depends
            on time, and must not change what else a seed draws.
        stopped: Whether callers end after their current request.
    """

    def __init__(self, stage: stage_lib.Stage, seed: random.Random):
        self.stage = stage
        self.random = seed
        self.reconnect_random = random.Random(hash(seed.getstate()[1]))
        self.stopped = False

    async def run(self, count: int) -> None:
        """Runs concurrent callers until they are stopped."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._caller)

    async def _caller(self) -> None:
        while not self.stopped:
            ready = [host for host in self.stage.hosts if host.routable]
            if not ready:
                await anyio.sleep(_PAUSE_S)
                continue
            host, is_preferred = self.stage.balancer.choose(ready, self.random)
            await self._use(host, is_preferred)

    async def _use(self, host: stage_lib.SoakHost, is_preferred: bool) -> None:
        """Makes requests over one kept connection.

        While most callers come to one host, they open more connections.
        """
        life = host.lives
        async with open_client(host, _TIMEOUT_S) as client:
            keeps = self.random.random() < _KEEP_SHARE
            left = self.random.randint(1, _MOST_REQUESTS)
            if is_preferred:
                keeps, left = False, 1
            while host.lives == life and (keeps or left > 0):
                left -= 1
                exchange = await self.ask(client, host, life)
                await self._reconnect(exchange)
                if self.stopped or (exchange.status == 0 and exchange.error):
                    return
                await anyio.sleep(self.random.random() * _PAUSE_S)

    async def _reconnect(self, first: evidence_lib.Exchange) -> None:
        """Reconnects to other hosts to resume a stream that broke off."""
        exchange = first
        for _ in range(self.reconnect_random.randint(1, _MAX_RECONNECTS)):
            ids = release_verdict.event_ids(exchange.body)
            after = ids[-1] if ids else exchange.after
            is_broken = exchange.status == 200 and not exchange.whole
            ready = [host for host in self.stage.hosts if host.routable]
            if (
                first.route != "resume"
                or first.left
                or not is_broken
                or not 0 <= after < verdict.EVENTS - 1
                or not ready
                or self.stopped
            ):
                return
            pause_s = self.reconnect_random.choice(_RECONNECT_PAUSES_S)
            await anyio.sleep(pause_s)
            host = self.reconnect_random.choice(ready)
            exchange = await self.resume(host, first, after)

    async def resume(
        self, host: stage_lib.SoakHost, first: evidence_lib.Exchange, after: int
    ) -> evidence_lib.Exchange:
        """Asks a host for the rest of a stream and records the answer.

        Args:
            host: The host that gets the request.
            first: The attempt that received the first event.
            after: Id of the last event received.
        """
        release = b"".join(release_verdict.releases_in(first.body)).decode()
        exchange = evidence_lib.Exchange(
            uuid.UUID(int=self.reconnect_random.getrandbits(128)).hex[:16],
            first.route,
            first.key,
            host.name,
            host.lives,
            time.monotonic(),
            resumes=first.request_id,
            after=after,
            engines_left=self.stage.count_engines(release),
        )
        self.stage.evidence.exchanges.append(exchange)
        async with open_client(host, _TIMEOUT_S) as client:
            await self._exchange(client, exchange)
        exchange.ended_at = time.monotonic()
        engines_left = self.stage.count_engines(release)
        exchange.engines_left = min(exchange.engines_left, engines_left)
        return exchange

    def choose_route(self) -> str:
        """Returns the name of a random route."""
        return self.random.choice(_ROUTES)

    async def ask(
        self,
        client: httpx.AsyncClient,
        host: stage_lib.SoakHost,
        life: int,
        route: str = "",
        key: str = "",
        body: bytes = b"body",
        parts: tuple[str, ...] = (),
    ) -> evidence_lib.Exchange:
        """Makes one request and records the answer.

        Args:
            client: The connection to the host.
            host: The host that gets the request.
            life: Number of the host's process.
            route: Name of the route; empty for a random one, on which the
                caller may give up.
            key: The bearer key; empty for a valid one.
            body: Body of the request.
            parts: Parts of the prompt; empty for usual ones.
        """
        exchange = evidence_lib.Exchange(
            uuid.UUID(int=self.random.getrandbits(128)).hex[:16],
            route or self.choose_route(),
            key or self._key(bool(route)),
            host.name,
            life,
            time.monotonic(),
            sent_body=body,
            parts=parts,
        )
        self.stage.evidence.exchanges.append(exchange)
        gives_up = not route and self.random.random() < _GIVE_UP_SHARE
        limit_s = self.random.random() * _GIVE_UP_S if gives_up else _TIMEOUT_S
        with anyio.move_on_after(limit_s) as scope:
            await self._exchange(client, exchange)
        exchange.left = scope.cancelled_caught
        exchange.ended_at = time.monotonic()
        return exchange

    def _key(self, valid: bool) -> str:
        """Returns a valid key, or sometimes one that was withdrawn."""
        if not valid and self.random.random() < _OLD_KEY_SHARE:
            return self.random.choice(list(self.stage.evidence.keys))
        return self.random.choice(self.stage.valid_keys())

    async def _exchange(
        self, client: httpx.AsyncClient, exchange: evidence_lib.Exchange
    ) -> None:
        prefix = f"{self.random.randrange(_PREFIXES):x}"
        headers = {
            b"host": stage_lib.CALLER_HOST,
            b"authorization": f"Bearer {exchange.key}",
            names.REQUEST_ID: exchange.request_id,
            names.DEADLINE_MS: str(_DEADLINE_MS),
            names.HOLD: "callers-must-not-set-this",
        }
        if exchange.route in ("stream", "resume"):
            headers[names.MODEL] = "m"
            headers[names.TOKEN_COUNTS] = "900,40"
            exchange.parts = exchange.parts or ("aa", f"{prefix}b", "cc")
            headers[names.PROMPT_PARTS] = ",".join(
                f"{part}:300" for part in exchange.parts
            )
        if exchange.resumes:
            headers[names.RESUMES] = exchange.resumes
            headers[names.LAST_EVENT_ID] = str(exchange.after)
        path = f"/{exchange.route}/x"
        try:
            async with client.stream(
                "POST",
                path,
                headers=_encoded(headers),
                content=exchange.sent_body,
            ) as answer:
                exchange.status = answer.status_code
                exchange.receipt = answer.headers.get(
                    names.RECEIPT.decode(), ""
                )
                async for part in answer.aiter_raw():
                    exchange.body += part
                exchange.whole = True
        except httpx.HTTPError as error:
            exchange.error = repr(error)


def _encoded(headers: dict[bytes, str]) -> list[tuple[bytes, bytes]]:
    return [(name, value.encode()) for name, value in headers.items()]
