"""Requests that end every target which begins them, sent again and again."""

from __future__ import annotations

import itertools
import time

import anyio

from hillthread.bench.gateway_soak import callers as callers_lib
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.bench.gateway_soak import stage as stage_lib

__all__ = ["DeadlyRequests"]

_LASTS_S = (5.0, 14.0)
_PART_LASTS_S = (6.0, 14.0)
_SOUND_BEFORE_S = 4.0
_PAUSE_S = 0.25
_TIMEOUT_S = 4.0
# A target is back so soon.
_DOWN_S = (0.5, 2.0)
_ROUTES = ("resume", "stream", "again", "once")


class DeadlyRequests:
    """The fault of a request that ends its targets.

    Attributes:
        injector: Chooses and notes.
        stage: What it acts on.
        callers: Who sends it.
    """

    def __init__(self, injector: injector_lib.Injector):
        self.injector = injector
        self.stage = injector.stage
        self._numbers = itertools.count()
        self._under_way = False

    @property
    def kinds(self) -> tuple[injector_lib.Fault, ...]:
        """All of them."""
        return (self.request_ends_targets, self.part_crashes_engines)

    async def request_ends_targets(self) -> None:
        """One caller sends the same again, at any host, for some seconds."""
        if self._under_way:
            return  # several at once leave no target to end
        self._under_way = True
        await self._send_again_and_again()
        self._under_way = False

    async def _send_again_and_again(self) -> None:
        self.stage.deadly_ran = self._end
        callers = callers_lib.Callers(self.stage, self.injector.random)
        body = f"deadly {next(self._numbers)}".encode()
        self.stage.evidence.deadly.add(body)
        route = self.injector.random.choice(_ROUTES)
        tenant = self.injector.random.choice(self.stage.operator.tenants)
        with anyio.move_on_after(self.injector.between(_LASTS_S)):
            while True:
                await anyio.sleep(_PAUSE_S)
                ready = [h for h in self.stage.hosts if h.routable]
                if not ready or not tenant.keys:
                    continue
                host = self.injector.random.choice(ready)
                async with callers_lib.open_client(host, _TIMEOUT_S) as client:
                    key = tenant.keys[-1]
                    await callers.ask(
                        client, host, host.lives, route, key, body
                    )

    async def part_crashes_engines(self) -> None:
        """Prompts with one part crash engines; no two of them are alike."""
        if self._under_way:
            return
        self._under_way = True
        # Sound prompts are judged by how they are served before.
        await anyio.sleep(_SOUND_BEFORE_S)
        part = f"dead{next(self._numbers)}"
        route = self.injector.random.choice(("resume", "stream"))
        lives = self.stage.evidence.deadly_parts
        began_at = time.monotonic()
        lives[part] = evidence_lib.PartLife(route, began_at, float("inf"))
        self.stage.deadly_ran = self._end
        layouts = [("aa", part), (part, "1b"), ("aa", "2b", part)]
        layout = self.injector.random.choice(layouts)
        callers = callers_lib.Callers(self.stage, self.injector.random)
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(self.injector.between(_PART_LASTS_S)):
                while True:
                    await anyio.sleep(_PAUSE_S)
                    own = f"own{next(self._numbers)}"
                    tasks.start_soon(
                        self._send_part, callers, route, (*layout, own)
                    )
        ended_at = time.monotonic()
        lives[part] = evidence_lib.PartLife(route, began_at, ended_at)
        self._under_way = False

    async def _send_part(
        self, callers: callers_lib.Callers, route: str, parts: tuple[str, ...]
    ) -> None:
        """Sends one prompt to any host."""
        ready = [host for host in self.stage.hosts if host.routable]
        tenant = self.injector.random.choice(self.stage.operator.tenants)
        if not ready or not tenant.keys:
            return
        host = self.injector.random.choice(ready)
        async with callers_lib.open_client(host, _TIMEOUT_S) as client:
            await callers.ask(
                client, host, host.lives, route, tenant.keys[-1], parts=parts
            )

    def _end(self, target: stage_lib.LinkedTarget) -> None:
        self.stage.tasks.start_soon(self._end_for_a_while, target)

    async def _end_for_a_while(self, target: stage_lib.LinkedTarget) -> None:
        """Ends a target; another one comes back at its address."""
        if self.stage.targets.get(target.name) is not target:
            return  # it has ended otherwise
        with self.injector.noted("request_ends_targets", target.name):
            await self.stage.end_target(target)
            await anyio.sleep(self.injector.between(_DOWN_S))
            self.stage.add_target(target.service, target.weights, target.link)
            await anyio.sleep(injector_lib.LAPSE_S)
            self.stage.unlist_target(target)
