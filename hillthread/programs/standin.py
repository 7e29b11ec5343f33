"""`hillthread-standin`: stand-ins of engines, services and the platform."""

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
    """A stand-in that can be run."""

    server: http_server.Server

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop`."""


def engine(settings: str) -> None:
    """Runs an engine stand-in; see examples/standin-engine.json."""
    _run(settings, engine_lib.EngineSettings, engine_lib.EngineStandin)


def log(settings: str) -> None:
    """Runs a stand-in of the platform's log."""
    _run(settings, services.StandinSettings, services.LogStandin)


def hosts(settings: str) -> None:
    """Runs a stand-in of the platform's host list."""
    _run(settings, services.StandinSettings, services.HostListStandin)


def plain(settings: str) -> None:
    """Runs a stand-in of a plain service."""
    _run(settings, services.StandinSettings, services.PlainStandin)


def proxy(settings: str) -> None:
    """Runs the fault-injecting proxy."""
    _run(settings, fault_proxy.ProxySettings, fault_proxy.FaultProxy)


def _run(
    path: str, kind: type[_Settings], make: Callable[[_Settings], _Runnable]
) -> None:
    """Runs a stand-in until it is asked to stop.

    Args:
        path: Of its settings file.
        kind: Of its settings.
        make: Makes the stand-in of them.
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
