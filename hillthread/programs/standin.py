"""`hillthread-standin`: stand-ins of engines, services and the platform."""

from __future__ import annotations

from typing import Protocol

import anyio

from hillthread import settings as settings_lib
from hillthread.standin import engine as engine_lib
from hillthread.standin import fault_proxy
from hillthread.standin import services
from hillthread.transport import command
from hillthread.transport import http_server
from hillthread.transport import service

__all__ = ["main"]


class _Runnable(Protocol):
    """A stand-in that can be run."""

    server: http_server.Server

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop`."""


async def _serve(standin: _Runnable) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run, stop)
        service.announce(standin=standin.server.address)
        await service.wait_for_signal()
        stop.set()


def engine(settings: str) -> None:
    """Runs an engine stand-in; see examples/standin-engine.json."""
    loaded = settings_lib.load_settings(settings, engine_lib.EngineSettings)
    service.configure_logging()
    anyio.run(lambda: _serve(engine_lib.EngineStandin(loaded)))


def log(settings: str) -> None:
    """Runs a stand-in of the platform's log."""
    loaded = settings_lib.load_settings(settings, services.StandinSettings)
    service.configure_logging()
    anyio.run(lambda: _serve(services.LogStandin(loaded)))


def hosts(settings: str) -> None:
    """Runs a stand-in of the platform's host list."""
    loaded = settings_lib.load_settings(settings, services.StandinSettings)
    service.configure_logging()
    anyio.run(lambda: _serve(services.HostListStandin(loaded)))


def plain(settings: str) -> None:
    """Runs a stand-in of a plain service."""
    loaded = settings_lib.load_settings(settings, services.StandinSettings)
    service.configure_logging()
    anyio.run(lambda: _serve(services.PlainStandin(loaded)))


def proxy(settings: str) -> None:
    """Runs the fault-injecting proxy."""
    loaded = settings_lib.load_settings(settings, fault_proxy.ProxySettings)
    service.configure_logging()
    anyio.run(lambda: _serve(fault_proxy.FaultProxy(loaded)))


def main() -> None:
    """The console script."""
    command.run_command(
        {
            "engine": engine,
            "log": log,
            "hosts": hosts,
            "plain": plain,
            "proxy": proxy,
        }
    )


if __name__ == "__main__":
    main()
