"""Faults of processes: killed, paused, stopped, sent signals."""

from __future__ import annotations

import signal
import time

import anyio

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.bench.gateway_soak import stage as stage_lib

__all__ = ["HostFaults"]

_PAUSED_S = (0.2, 4.0)
_DOWN_S = (0.0, 1.0)
# A process starts in about 0.3 s.
_YOUNG_S = (0.0, 0.8)
_PREFERRED_S = (3.0, 7.0)
_STORM_SIGNALS = (5, 25)
_STORM_PAUSE_S = (0.0, 0.15)
_STOP_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


class HostFaults:
    """Faults of processes.

    Attributes:
        injector: Chooses and notes.
        stage: What they act on.
    """

    def __init__(self, injector: injector_lib.Injector):
        self.injector = injector
        self.stage = injector.stage

    @property
    def kinds(self) -> tuple[injector_lib.Fault, ...]:
        """All of them."""
        return (
            self.host_killed,
            self.host_killed_again,
            self.hosts_killed,
            self.host_paused,
            self.host_stops,
            self.host_stops_under_signals,
            self.host_stops_after_pause,
            self.host_reloads,
            self.host_reload_storm,
            self.host_preferred,
        )

    async def host_preferred(self) -> None:
        """The balancer sends most new connections to one host."""
        balancer = self.stage.balancer
        if balancer.preferred:
            return
        host = self.injector.host().name
        balancer.preferred = host
        began_at = time.monotonic()
        await anyio.sleep(self.injector.between(_PREFERRED_S))
        balancer.preferred = ""
        self.stage.evidence.preferences.append(
            evidence_lib.Disturbance(
                "host_preferred", host, began_at, time.monotonic()
            )
        )

    async def host_killed(self) -> None:
        """A process is killed and starts again."""
        await self._kill(self.injector.host(), "host_killed")

    async def hosts_killed(self) -> None:
        """All processes are killed at once."""
        async with anyio.create_task_group() as tasks:
            for host in self.stage.hosts:
                tasks.start_soon(self._kill, host, "hosts_killed")

    async def host_killed_again(self) -> None:
        """A process is killed some times as soon as it listens, or before."""
        host = self.injector.host()
        async with host.busy:
            with self.injector.noted("host_killed_again", host.name):
                for _ in range(self.injector.random.randint(2, 3)):
                    self.stage.kill(host)
                    self.stage.start_process(host)
                    await anyio.sleep(self.injector.between(_YOUNG_S))
                self.stage.kill(host)
                await self.stage.restart(host)

    async def _kill(self, host: stage_lib.SoakHost, kind: str) -> None:
        async with host.busy:
            with self.injector.noted(kind, host.name):
                self.stage.kill(host)
                await anyio.sleep(self.injector.between(_DOWN_S))
                await self.stage.restart(host)

    async def host_paused(self) -> None:
        """A process stands still and goes on."""
        host = self.injector.host()
        async with host.busy:
            with self.injector.noted("host_paused", host.name):
                assert host.process is not None
                host.process.send_signal(signal.SIGSTOP)
                await anyio.sleep(self.injector.between(_PAUSED_S))
                host.process.send_signal(signal.SIGCONT)

    async def host_stops(self) -> None:
        """A planned stop, and a new process."""
        host = self.injector.host()
        async with host.busy:
            with self.injector.noted("host_stops", host.name):
                await self.stage.stop(host)
                await self.stage.restart(host)

    async def host_stops_under_signals(self) -> None:
        """A planned stop is asked for again and again, between reloads."""
        host = self.injector.host()
        async with host.busy:
            with self.injector.noted("host_stops", host.name):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._storm, host, _STOP_SIGNALS)
                    await self.stage.stop(host)
                    tasks.cancel_scope.cancel()
                await self.stage.restart(host)

    async def host_stops_after_pause(self) -> None:
        """A process is asked to stop, and to reload, while it stands still."""
        host = self.injector.host()
        async with host.busy:
            with self.injector.noted("host_paused", host.name):
                assert host.process is not None
                host.process.send_signal(signal.SIGSTOP)
                host.process.send_signal(signal.SIGHUP)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.stage.stop, host)
                    await anyio.sleep(self.injector.between(_DOWN_S))
                    host.process.send_signal(signal.SIGCONT)
                await self.stage.restart(host)

    async def host_reload_storm(self) -> None:
        """Settings change many times in a row, whatever else goes on."""
        await self._storm(self.injector.host(), (signal.SIGHUP,))

    async def _storm(
        self, host: stage_lib.SoakHost, numbers: tuple[signal.Signals, ...]
    ) -> None:
        """Sends signals to a process that listens; its settings change."""
        for _ in range(self.injector.random.randint(*_STORM_SIGNALS)):
            await anyio.sleep(self.injector.between(_STORM_PAUSE_S))
            if host.process is not None and host.listens:
                self._write_settings(host)
                number = self.injector.random.choice(numbers)
                host.process.send_signal(number)

    def _write_settings(self, host: stage_lib.SoakHost) -> None:
        assert host.process is not None
        most = int(self.stage.evidence.bounds.retry_extra)
        host.settings["retry_extra"] = self.injector.random.randint(
            most // 2, most
        )
        name = f"{host.process.name}.json"
        self.stage.group.write_json(name, host.settings)

    async def host_reloads(self) -> None:
        """Settings change, and the process is told so."""
        host = self.injector.host()
        async with host.busy:
            self._write_settings(host)
            assert host.process is not None
            host.process.send_signal(signal.SIGHUP)
