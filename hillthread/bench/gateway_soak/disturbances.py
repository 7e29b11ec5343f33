"""The faults of a soak: injected from outside, in series and overlapping."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import signal
import time

import anyio
import anyio.abc

from hillthread import errors
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.standin import platform_store
from hillthread.standin import platform_target
from hillthread.standin import wire_proxy

__all__ = ["Disturber"]

_PAUSE_S = (0.1, 1.2)
_FAULT_S = (0.4, 3.5)
_PAUSED_S = (0.2, 4.0)
_DOWN_S = (0.0, 1.0)
# An entry of a crashed target stays this long.
_LAPSE_S = 1.0
_LINK_DELAY_S = 0.15
_STORE_SLOW_S = 0.3
_BEHAVIOURS: tuple[platform_target.Behaviour, ...] = (
    platform_target.Refuse(),
    platform_target.Fail(),
    platform_target.Vanish(),
    platform_target.Hang(),
    platform_target.Cut(0),
    platform_target.Cut(2),
    platform_target.OtherAnswer(),
    platform_target.Encoded(),
    platform_target.Surplus(),
    platform_target.Unframed(),
    platform_target.Unframed(reset=True),
    platform_target.Serve(0.05),
)

Fault = Callable[[], Awaitable[None]]


class Disturber:
    """Injects faults.

    Attributes:
        stage: What they act on.
        random: Of the soak's seed.
        tasks: Where faults run side by side.
        faults: All kinds, by name.
        counts: How many of each began.
    """

    def __init__(
        self,
        stage: stage_lib.Stage,
        seed: random.Random,
        tasks: anyio.abc.TaskGroup,
        only: tuple[str, ...] = (),
    ):
        self.stage = stage
        self.random = seed
        self.tasks = tasks
        kinds: tuple[Fault, ...] = (
            self.host_killed,
            self.host_paused,
            self.host_stops,
            self.host_reloads,
            self.hosts_killed,
            self.store_fails,
            self.store_loses_answers,
            self.store_forgets,
            self.store_link_fails,
            self.target_link_fails,
            self.target_misbehaves,
            self.target_cuts_streams,
            self.target_crashes,
            self.target_leaves,
            self.address_reused,
            self.configuration_changes,
            self.key_changes,
            self.weights_named,
        )
        self.faults = {kind.__name__: kind for kind in kinds}
        if only:
            self.faults = {name: self._fault(name) for name in only}
        self.counts: dict[str, int] = {}

    def _fault(self, name: str) -> Fault:
        if name not in self.faults:
            raise errors.HillthreadError(
                f"There is no fault {name}.",
                f"Choose from {', '.join(sorted(self.faults))}.",
            )
        return self.faults[name]

    async def run(self, seconds: float) -> None:
        """Starts faults for some seconds; they may last a little longer."""
        until = time.monotonic() + seconds
        names = sorted(self.faults)
        while time.monotonic() < until:
            await anyio.sleep(self._between(_PAUSE_S))
            name = self.random.choice(names)
            self.counts[name] = self.counts.get(name, 0) + 1
            self.tasks.start_soon(self.faults[name])

    def _between(self, bounds: tuple[float, float]) -> float:
        return self.random.uniform(*bounds)

    @contextlib.contextmanager
    def _noted(self, kind: str, subject: str) -> Iterator[None]:
        """Notes a disturbance as lasting for ever until it has ended."""
        found = self.stage.evidence.disturbances
        lasting = evidence_lib.Disturbance(
            kind, subject, time.monotonic(), float("inf")
        )
        found.append(lasting)
        try:
            yield
        finally:
            found.remove(lasting)
            found.append(lasting._replace(ended_at=time.monotonic()))

    def _host(self) -> stage_lib.SoakHost:
        return self.random.choice(self.stage.hosts)

    def _target(self, service: str = "") -> stage_lib.LinkedTarget | None:
        """Returns a target that others of its service can stand in for."""
        services: dict[str, list[stage_lib.LinkedTarget]] = {}
        for target in self.stage.targets.values():
            if target.name not in self.stage.evidence.leaving:
                services.setdefault(target.service, []).append(target)
        found = [
            target
            for name, members in sorted(services.items())
            for target in members
            if len(members) > 1 and service in ("", name)
        ]
        return self.random.choice(found) if found else None

    # Processes.

    async def host_killed(self) -> None:
        """A process is killed and starts again."""
        await self._kill(self._host(), "host_killed")

    async def hosts_killed(self) -> None:
        """All processes are killed at once."""
        async with anyio.create_task_group() as tasks:
            for host in self.stage.hosts:
                tasks.start_soon(self._kill, host, "hosts_killed")

    async def _kill(self, host: stage_lib.SoakHost, kind: str) -> None:
        async with host.busy:
            with self._noted(kind, host.name):
                self.stage.kill(host)
                await anyio.sleep(self._between(_DOWN_S))
                await self.stage.restart(host)

    async def host_paused(self) -> None:
        """A process stands still and goes on."""
        host = self._host()
        async with host.busy:
            with self._noted("host_paused", host.name):
                assert host.process is not None
                host.process.send_signal(signal.SIGSTOP)
                await anyio.sleep(self._between(_PAUSED_S))
                host.process.send_signal(signal.SIGCONT)

    async def host_stops(self) -> None:
        """A planned stop, and a new process."""
        host = self._host()
        async with host.busy:
            with self._noted("host_stops", host.name):
                await self.stage.stop(host)
                await self.stage.restart(host)

    async def host_reloads(self) -> None:
        """Settings change, and the process is told so."""
        host = self._host()
        async with host.busy:
            host.settings["retry_extra"] = self.random.randint(20, 60)
            assert host.process is not None
            name = f"{host.process.name}.json"
            self.stage.group.write_json(name, host.settings)
            host.process.send_signal(signal.SIGHUP)

    # The store.

    async def store_fails(self) -> None:
        """The store refuses, falls silent, resets or is slow."""
        faults = self.stage.store.faults
        fault = self.random.choice(
            (
                {"status": 503},
                {"status": 429},
                {"silent": True},
                {"reset": True},
                {"slow_s": _STORE_SLOW_S},
            )
        )
        with self._noted("store_fails", "store"):
            for name, value in fault.items():
                setattr(faults, name, value)
            await anyio.sleep(self._between(_FAULT_S))
            for name in fault:
                setattr(faults, name, getattr(_NO_FAULTS, name))

    async def store_loses_answers(self) -> None:
        """Writes are done, some of them late, and not answered."""
        with self._noted("store_loses_answers", "store"):
            self.stage.store.faults.lost_answers = self.random.randint(1, 3)
            self.stage.store.faults.late_s = self.random.choice((0.0, 0.5))
            await anyio.sleep(self._between(_FAULT_S))
            self.stage.store.faults.lost_answers = 0

    async def store_forgets(self) -> None:
        """All but the newest record of each key go."""
        with self._noted("store_forgets", "store"):
            self.stage.store.drop_history()

    async def store_link_fails(self) -> None:
        """A host's way to the store fails."""
        host = self._host()
        with self._noted("store_link_fails", host.name):
            await self._fail_link(host.store_link)

    # Targets.

    async def target_link_fails(self) -> None:
        """The way to a target fails."""
        target = self._target()
        if target is not None:
            with self._noted("target_link_fails", target.name):
                await self._fail_link(target.link)

    async def _fail_link(self, link: wire_proxy.WireProxy) -> None:
        ways = ("silent", "one_way", "delayed", "reset")
        match self.random.choice(ways):
            case "silent":
                link.cut()
            case "one_way":
                link.cut(self.random.choice(list(wire_proxy.Direction)))
            case "delayed":
                link.delay_s = _LINK_DELAY_S
            case "reset":
                await link.reset()
        await anyio.sleep(self._between(_FAULT_S))
        link.heal()

    async def target_misbehaves(self) -> None:
        """A target treats its next requests badly."""
        target = self._target()
        if target is not None:
            with self._noted("target_misbehaves", target.name):
                count = self.random.randint(1, 4)
                target.behave(*self.random.choices(_BEHAVIOURS, k=count))
                await anyio.sleep(self._between(_FAULT_S))

    async def target_cuts_streams(self) -> None:
        """An engine breaks off its next streams within an event."""
        target = self._target("engines")
        if target is not None:
            with self._noted("target_cuts_streams", target.name):
                cut = platform_target.Cut(self.random.randint(0, 4))
                target.behave(*[cut] * self.random.randint(1, 4))
                await anyio.sleep(self._between(_FAULT_S))

    async def target_crashes(self) -> None:
        """A target is gone; its entry lapses and another one comes."""
        target = self._target()
        if target is not None:
            with self._noted("target_crashes", target.name):
                await self.stage.end_target(target)
                await anyio.sleep(_LAPSE_S)
                self.stage.unlist_target(target)
            weights = self.random.choice((0, target.weights))
            self.stage.add_target(target.service, weights)

    async def target_leaves(self) -> None:
        """A target says that it leaves, serves on, and is replaced."""
        target = self._target()
        if target is None:
            return
        self.stage.list_target(target, "draining")
        self.stage.add_target(target.service)
        await anyio.sleep(self.stage.evidence.bounds.drain_s + _LAPSE_S)
        self.stage.unlist_target(target)
        await self.stage.end_target(target)

    async def address_reused(self) -> None:
        """A target is gone, and its address goes to one of another service."""
        target = self._target("engines")
        if target is None:
            return
        with self._noted("address_reused", target.name):
            await self.stage.end_target(target)
            successor = self.stage.add_target("plain")
            target.link.upstream = successor.server.address
            await anyio.sleep(_LAPSE_S)
            self.stage.unlist_target(target)
        self.stage.add_target("engines")

    # The operator.

    async def configuration_changes(self) -> None:
        """A version comes that changes how long requests may take."""
        operator = self.stage.operator
        operator.timeout_ms = self.random.choice((2800, 3000, 3200))
        operator.configure()

    async def key_changes(self) -> None:
        """A tenant gets a new key, and a little later loses its oldest."""
        tenant = self.random.choice(self.stage.operator.tenants)
        self.stage.issue_key(tenant)
        self.stage.operator.configure()
        await anyio.sleep(self.stage.evidence.bounds.configuration_s)
        if len(tenant.keys) > 1:
            self.stage.withdraw_key(tenant)
            self.stage.operator.configure()

    async def weights_named(self) -> None:
        """Newer weights are named, sometimes twice in quick succession."""
        for _ in range(self.random.randint(1, 2)):
            self.stage.name_weights()
            await anyio.sleep(self._between(_PAUSE_S))


_NO_FAULTS = platform_store.StoreFaults()
