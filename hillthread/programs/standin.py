"""`hillthread-standin`: stand-ins for engines, services and the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

import anyio

from hillthread import settings as settings_lib
from hillthread.standin import engine as engine_lib
from hillthread.standin import fault_proxy
from hillthread.standin import services
from hillthread.transport import command
from hillthread.transport import http_server
from hillthread.transport import service

__all__ = ["main"]


_Settings = TypeVar("_Settings", bound=settings_lib.SettingsStruct)


class _Runnable(Protocol):
    """A stand-in that serves on an HTTP server."""

    server: http_server.Server

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop` is set."""


def engine(settings: str) -> None:
    """Runs a stand-in for an engine; see examples/standin-engine.json."""
    _run(settings, engine_lib.EngineSettings, engine_lib.EngineStandin)


def log(settings: str) -> None:
    """Runs a stand-in for the platform's log."""
    _run(settings, services.StandinSettings, services.LogStandin)


def hosts(settings: str) -> None:
    """Runs a stand-in for the platform's host list."""
    _run(settings, services.StandinSettings, services.HostListStandin)


def plain(settings: str) -> None:
    """Runs a stand-in for a plain service."""
    _run(settings, services.StandinSettings, services.PlainStandin)


def proxy(settings: str) -> None:
    """Runs the fault-injecting proxy."""
    _run(settings, fault_proxy.ProxySettings, fault_proxy.FaultProxy)


def _run(
    path: str, kind: type[_Settings], make: Callable[[_Settings], _Runnable]
) -> None:
    """Runs a stand-in until a signal asks the process to stop.

    Args:
        path: Path of the settings file.
        kind: Type of the settings.
        make: Creates the stand-in from its settings.
    """
    settings = settings_lib.load_settings(path, kind)
    service.configure_logging()
    anyio.run(lambda: _serve(make(settings)))


async def _serve(standin: _Runnable) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run, stop)
        service.print_addresses(standin=standin.server.address)
        await service.wait_for_signal()
        stop.set()


def main() -> None:
    """Runs the console script."""
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
