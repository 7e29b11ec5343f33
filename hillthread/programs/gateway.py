"""`hillthread-gateway`: the gateway on a platform that provides a store."""

from __future__ import annotations

import logging
import os
import signal
import sys

import anyio
import anyio.abc

from hillthread import clock
from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.coordination.gateway import settings_watch
from hillthread.platform import names
from hillthread.transport import command
from hillthread.transport import listen_address
from hillthread.transport import log_writer

__all__ = ["main", "run"]

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_logger = logging.getLogger("hillthread.program")


async def serve(settings: gateway_settings.GatewaySettings, path: str) -> None:
    """Runs until a signal asks the process to stop and requests are drained.

    Args:
        settings: Settings read at the start.
        path: Path of the settings file, which is read again when it changes.

    Raises:
        SettingsError: The process can never listen on one of its addresses.
    """
    handler = log_writer.BufferedLogHandler(sys.stdout.fileno())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(handler.run)
        try:
            await listen_address.wait_until_free(
                host_lib.list_addresses(settings)
            )
        except errors.SettingsError as error:
            unusable = error
            tasks.cancel_scope.cancel()
        else:
            unusable = None
            await _serve_until_stopped(settings, path, tasks, handler)
    # An error raised within the task group would become part of a group.
    if unusable is not None:
        raise unusable


async def _serve_until_stopped(
    settings: gateway_settings.GatewaySettings,
    path: str,
    tasks: anyio.abc.TaskGroup,
    handler: log_writer.BufferedLogHandler,
) -> None:
    """Runs the host until it has stopped, then cancels all tasks."""
    host = host_lib.GatewayHost(settings, tasks, handler)
    _logger.info(
        "started",
        extra={
            "event": "start",
            "host": settings.host,
            "data_centre": settings.data_centre,
            "listen": host.server.address,
            "ready_listen": host.ready_server.address,
            "metrics_listen": host.metrics_server.address,
            "feed_listen": host.feed_server.address,
            "store": settings.store,
        },
    )
    with anyio.open_signal_receiver(*_SIGNALS) as signals:
        await host.run()
        watch = settings_watch.SettingsWatch(host.site, path)
        tasks.start_soon(watch.run)
        async for number in signals:
            if number is not signal.SIGHUP:
                break
            watch.reload()
        # Further signals are still caught here, because they must not
        # terminate a process that is answering its last requests.
        await host.drain(clock.now())
        # Signals are blocked until the process exits, so that none of them
        # replaces its exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    tasks.cancel_scope.cancel()


def run(settings: str = "") -> None:
    """Routes callers' requests on a platform that provides a store.

    Args:
        settings: Path of the JSON settings file; without it, the path is taken
            from the platform's environment variable.
    """
    # SIGHUP may arrive as soon as the process has started; it is ignored until
    # the handler is installed. The settings are read after this, so no change
    # is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings or os.environ.get(names.SETTINGS_VARIABLE, "")
    loaded = settings_lib.load_settings(path, gateway_settings.GatewaySettings)
    clock.run(serve, loaded, path)


def main() -> None:
    """Runs the console script."""
    command.run_command(run)


if __name__ == "__main__":
    main()
