"""`hillthread-control`: the control process that runs beside each router.

It does the work that is not on the path of a request.
"""

from __future__ import annotations

import secrets

import anyio
import prometheus_client

from hillthread import clock
from hillthread import settings as settings_lib
from hillthread.coordination import admin
from hillthread.coordination import change_author
from hillthread.coordination import claim_keeper
from hillthread.coordination import control_node
from hillthread.coordination import dialer
from hillthread.coordination import lease_keeper
from hillthread.coordination import log_follower
from hillthread.coordination import order_keeper
from hillthread.coordination import record_archive
from hillthread.coordination import target_watch
from hillthread.transport import command
from hillthread.transport import http_server
from hillthread.transport import link
from hillthread.transport import log_client
from hillthread.transport import service

__all__ = ["main", "run"]


class ControlProgram:
    """The control process and its components."""

    def __init__(self, settings: settings_lib.ControlSettings):
        self.settings = settings
        registry = prometheus_client.CollectorRegistry()
        incarnation = secrets.token_hex(4)
        identity = link.Identity(
            "control", settings.host, settings.data_centre, incarnation
        )
        self.node = control_node.ControlNode(settings, incarnation, registry)
        self.links = link.LinkServer(
            settings.listen, identity, settings.secret, self.node.hub.run_link
        )
        self.dialer = dialer.Dialer(
            settings, identity, self.node.hub, self.node.members
        )
        self.watch = target_watch.TargetWatch(settings, self.node)
        self.follower: log_follower.LogFollower | None = None
        self.author: change_author.ChangeAuthor | None = None
        self.orders: order_keeper.OrderKeeper | None = None
        if settings.log is not None:
            self._create_log_components(settings.log, identity, registry)
        pages = service.StatusPages(registry, self.node.not_ready_reason)
        api = admin.AdminApi(
            settings, self.node, pages, self.author, self.follower
        )
        self.admin = http_server.Server(settings.admin_listen, api.handle)

    async def run(self) -> None:
        """Runs until a signal asks the process to stop."""
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.serve)
            tasks.start_soon(self.dialer.run)
            tasks.start_soon(self.node.run_heartbeats)
            tasks.start_soon(self.watch.run_loads)
            tasks.start_soon(self.watch.run_host_list)
            if self.node.archive is not None:
                tasks.start_soon(self.node.archive.run)
            if self.orders is not None:
                tasks.start_soon(self.orders.lease.run)
                tasks.start_soon(self.orders.run)
            if self.follower is not None and self.node.claims is not None:
                tasks.start_soon(self.follower.run)
                tasks.start_soon(self.follower.run_snapshots)
                tasks.start_soon(self.node.claims.run)
            async with anyio.create_task_group() as servers:
                servers.start_soon(self.admin.serve, stop)
                service.print_addresses(
                    links=self.links.address, admin=self.admin.address
                )
                await service.wait_for_signal()
                if self.node.archive is not None:
                    await self.node.archive.flush()
                stop.set()
            tasks.cancel_scope.cancel()

    def _create_log_components(
        self,
        address: str,
        identity: link.Identity,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        client = log_client.LogClient(address)
        self.author = change_author.ChangeAuthor(
            client, self.settings.stream, self.node.keeper
        )
        self.follower = log_follower.LogFollower(
            client,
            self.node.keeper,
            self.settings,
            self.node.snapshot_rank,
        )
        self.node.claims = claim_keeper.ClaimKeeper(
            log_client.LogClient(address)
        )
        own = self.settings.data_centre
        others = {peer.data_centre for peer in self.settings.peers}
        self.node.archive = record_archive.RecordArchive(
            log_client.LogClient(address), own, sorted({own, *others}), registry
        )
        lease = lease_keeper.LeaseKeeper(
            log_client.LogClient(address),
            f"orders-{identity.data_centre}",
            f"{identity.host}/{identity.incarnation}",
            self.settings.lease_ttl_s,
        )
        self.orders = order_keeper.OrderKeeper(self.node, lease, registry)


def run(settings: str) -> None:
    """Follows the log, distributes configuration and serves the admin API.

    Args:
        settings: Path of the JSON settings file; see examples/control.json.
    """
    loaded = settings_lib.load_settings(settings, settings_lib.ControlSettings)
    service.configure_logging()
    clock.run(ControlProgram(loaded).run)


def main() -> None:
    """Runs the console script."""
    command.run_command(run)


if __name__ == "__main__":
    main()
