"""`hillthread-router`: forwards callers' requests to targets in one loop."""

from __future__ import annotations

import logging
import secrets

import anyio

from hillthread import clock
from hillthread import settings as settings_lib
from hillthread.coordination import configuration_file
from hillthread.coordination import control_client
from hillthread.coordination import metrics as metrics_lib
from hillthread.coordination import record_pages
from hillthread.coordination import router as router_lib
from hillthread.protocol import documents
from hillthread.transport import command
from hillthread.transport import http_server
from hillthread.transport import link
from hillthread.transport import service

__all__ = ["main", "run"]

_logger = logging.getLogger(__name__)


class RouterProgram:
    """The router, its sockets and its status pages."""

    def __init__(self, settings: settings_lib.RouterSettings, tasks):
        self.settings = settings
        self.metrics = metrics_lib.RouterMetrics()
        self.router = router_lib.Router(settings, self.metrics, tasks)
        self.pages = service.StatusPages(
            self.metrics.registry, self.router.not_ready_reason
        )
        self.server = http_server.Server(
            settings.listen,
            self.router.handle,
            settings.limits,
            settings.tls,
        )
        self.status = http_server.Server(settings.status_listen, self.handle)
        self.stop = anyio.Event()
        self.control: control_client.ControlClient | None = None
        if settings.control is not None:
            identity = link.Identity(
                "router",
                settings.host,
                settings.data_centre,
                secrets.token_hex(4),
            )
            self.control = control_client.ControlClient(
                self.router, settings.control, identity, settings.secret
            )
            self.router.claims = self.control

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves the status pages and this host's decision records."""
        if await self.pages.answer(request, send):
            return
        if request.path != "/v1/records":
            await http_server.send_json(send, 404, {"code": "not_found"})
            return
        if not request.has_bearer(self.settings.secret):
            await http_server.send_json(send, 401, {"code": "invalid_key"})
            return
        record_filter = record_pages.RecordFilter(
            request.parameter("request_id"),
            request.parameter("tenant"),
            request.parameter("target"),
            request.parameter("reason"),
            request.int_parameter("limit", 20),
        )
        found = record_pages.select_records(self.router.records, record_filter)
        await http_server.send_json(send, 200, documents.as_document(found))

    async def drain(self) -> None:
        """Prepares a planned stop and waits until requests are drained.

        The router reports that it is not ready, serves on for `notice_s` so
        that load balancers notice, and then waits for open requests.
        """
        self.router.draining = True
        _logger.info("stopping: no longer ready", extra={"code": "stop_notice"})
        await anyio.sleep(self.settings.notice_s)
        with anyio.move_on_after(self.settings.drain_s):
            await self.router.wait_idle()
        _logger.info(
            "stopping: drained",
            extra={"code": "stop_drained", "open": self.router.inflight},
        )


async def serve(settings: settings_lib.RouterSettings) -> None:
    """Runs until a signal asks the process to stop and requests are drained."""
    async with anyio.create_task_group() as tasks:
        program = RouterProgram(settings, tasks)
        if settings.configuration_file is not None:
            table = configuration_file.load_table(settings.configuration_file)
            program.router.apply_table(table)
        if program.control is not None:
            tasks.start_soon(program.control.run)
        async with anyio.create_task_group() as servers:
            servers.start_soon(program.server.serve, program.stop)
            servers.start_soon(program.status.serve, program.stop)
            service.print_addresses(
                callers=program.server.address, status=program.status.address
            )
            await service.wait_for_signal()
            await program.drain()
            if program.control is not None:
                await program.control.flush()
            program.stop.set()
        await program.router.forwarder.client.close()
        tasks.cancel_scope.cancel()


def run(settings: str) -> None:
    """Routes callers' requests to targets.

    Args:
        settings: Path of the JSON settings file; see examples/router.json.
    """
    loaded = settings_lib.load_settings(settings, settings_lib.RouterSettings)
    service.configure_logging()
    clock.run(serve, loaded)


def main() -> None:
    """Runs the console script."""
    command.run_command(run)


if __name__ == "__main__":
    main()
