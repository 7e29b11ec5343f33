"""A whole site of real processes: log, hosts in data centres, engines."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import itertools
import pathlib
import random
import socket
import time
from typing import Any

import anyio
import httpx

from hillthread.bench import deployment
from hillthread.bench import processes

__all__ = ["OPERATOR_KEY", "Host", "Site", "free_addresses", "wait_until"]

OPERATOR_KEY = "operator-key-for-tests"
# Ports to listen on: above those of well-known services.
_LISTEN_PORTS = frozenset(range(10_000, 65_536))
_SYSTEM_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
_WAIT_S = 20.0
_CHECK_S = 0.02


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses on which nobody listens.

    Their ports are none that the system gives to connections and to listeners
    that ask for any port: one of these could take them before the process
    listens that they are meant for, or while it restarts.
    """
    ports = list(_LISTEN_PORTS - _system_ports())
    random.shuffle(ports)
    free = itertools.islice(filter(_is_free, ports), count)
    return [f"127.0.0.1:{port}" for port in free]


def _system_ports() -> frozenset[int]:
    """Returns the ports that the system gives to who asks for any."""
    first, last = map(int, _SYSTEM_PORTS.read_text().split())
    return frozenset(range(first, last + 1))


def _is_free(port: int) -> bool:
    with socket.socket() as trial:
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def wait_until(
    holds: Callable[[], Awaitable[bool]], timeout_s: float = _WAIT_S
) -> None:
    """Returns when a condition holds.

    Raises:
        TimeoutError: It did not in time.
    """
    deadline = time.monotonic() + timeout_s
    while not await holds():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s")
        await anyio.sleep(_CHECK_S)


class Host:
    """One entry host: a control process and a router.

    Attributes:
        name: The host's name.
        data_centre: Where it runs.
        link: Where its control accepts links.
        control_settings: Of its control process.
        router_settings: Of its router.
        control: The running control process, or None.
        router: The running router, or None.
    """

    def __init__(self, name: str, data_centre: str, link: str):
        self.name = name
        self.data_centre = data_centre
        self.link = link
        self.control_settings: dict[str, Any] = {}
        self.router_settings: dict[str, Any] = {}
        self.control: processes.Process | None = None
        self.router: processes.Process | None = None

    @property
    def admin(self) -> str:
        """Address of the admin API."""
        assert self.control is not None
        return self.control.addresses["admin"]

    @property
    def callers(self) -> str:
        """Address for callers."""
        assert self.router is not None
        return self.router.addresses["callers"]

    @property
    def router_status(self) -> str:
        """Address of the router's status pages."""
        assert self.router is not None
        return self.router.addresses["status"]

    def kill(self) -> None:
        """Ends both of its processes at once, as a crash would."""
        assert self.router is not None and self.control is not None
        self.router.kill()
        self.control.kill()


class Site:
    """All processes of a small deployment.

    Attributes:
        group: The processes.
        hosts: The entry hosts.
        engines: The engines by target name.
        router_fields: Settings of the routers that differ.
        log: The log's process.
    """

    def __init__(
        self,
        group: processes.ProcessGroup,
        data_centres: int = 1,
        hosts_each: int = 2,
        engines_each: int = 2,
        **control_fields: Any,
    ):
        self.group = group
        self.control_fields = control_fields
        self.data_centres = [f"dc{n}" for n in range(1, data_centres + 1)]
        self.engines_each = engines_each
        self.router_fields: dict[str, Any] = {}
        self.engines: dict[str, processes.Process] = {}
        links = free_addresses(data_centres * hosts_each)
        names = [
            (f"{centre}-host{number}", centre)
            for centre in self.data_centres
            for number in range(hosts_each)
        ]
        self.hosts = [
            Host(name, centre, link)
            for (name, centre), link in zip(names, links, strict=True)
        ]
        self.log = group.start_later("standin", {}, "log")
        self.client = httpx.AsyncClient(trust_env=False, timeout=15.0)

    async def start(self, routers: bool = True) -> None:
        """Starts engines and hosts."""
        for centre in self.data_centres:
            for number in range(self.engines_each):
                process = self.group.start_later("standin", {}, "engine")
                self.engines[f"{centre}-runner{number}"] = process
        for process in (self.log, *self.engines.values()):
            process.wait_listening()
        for host in self.hosts:
            self.prepare(host)
        self.start_hosts(self.hosts, routers)

    def prepare(self, host: Host) -> None:
        """Writes a host's settings."""
        peers = [
            {
                "host": other.name,
                "data_centre": other.data_centre,
                "address": other.link,
            }
            for other in self.hosts
            if other is not host
        ]
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        host.control_settings = {
            "host": host.name,
            "data_centre": host.data_centre,
            "listen": host.link,
            "admin_listen": "127.0.0.1:0",
            "log": self.log.addresses["standin"],
            "peers": peers,
            "operators": [
                {"name": "ops", "key_digest": digest, "role": "editor"}
            ],
            "secret": deployment.SECRET,
            **self.control_fields,
        }
        host.router_settings = {
            "host": host.name,
            "data_centre": host.data_centre,
            "listen": "127.0.0.1:0",
            "status_listen": "127.0.0.1:0",
            "control": host.link,
            "secret": deployment.SECRET,
            "notice_s": 0.2,
            "idle_timeout_s": 1.0,
            "first_byte_timeout_s": 2.0,
            **self.router_fields,
        }

    def start_hosts(self, hosts: list[Host], routers: bool = True) -> None:
        """Starts hosts together: all control processes, then the routers.

        Args:
            hosts: Whose settings are written.
            routers: Whether their routers are started too.
        """
        for host in hosts:
            self.start_control_later(host)
        for host in hosts:
            assert host.control is not None
            host.control.wait_listening()
        if not routers:
            return
        for host in hosts:
            self.start_router_later(host)
        for host in hosts:
            assert host.router is not None
            host.router.wait_listening()

    def start_control_later(self, host: Host) -> None:
        """Starts a host's control process without waiting for it."""
        host.control = self.group.start_later("control", host.control_settings)

    def start_control(self, host: Host) -> None:
        """Starts a host's control process."""
        self.start_hosts([host], routers=False)

    def start_router_later(self, host: Host) -> None:
        """Starts a host's router without waiting for it."""
        host.router = self.group.start_later("router", host.router_settings)

    def start_router(self, host: Host) -> None:
        """Starts a host's router."""
        self.start_router_later(host)
        assert host.router is not None
        host.router.wait_listening()

    def objects(self, organisations: list[str]) -> list[dict[str, Any]]:
        """Returns the objects of the deployment."""
        values = deployment.make_objects([], organisations)
        for name, process in self.engines.items():
            values.append(
                {
                    "kind": "target",
                    "name": name,
                    "labels": {"role": "engine"},
                    "address": process.addresses["standin"],
                    "data_centre": name.partition("-")[0],
                    "models": ["m1"],
                    "prefill_tokens_per_s": 15000,
                    "truthful_refusals": True,
                }
            )
        return values

    async def publish(
        self, values: list[dict[str, Any]], host: Host | None = None
    ) -> list[dict[str, Any]]:
        """Applies objects through a host's admin API; returns the answers."""
        admin = (host or self.hosts[0]).admin
        return [
            await self.call(admin, "PUT", "/v1/objects", {"object": value})
            for value in values
        ]

    async def call(
        self,
        admin: str,
        method: str,
        path: str,
        body: Any = None,
        key: str = OPERATOR_KEY,
    ) -> Any:
        """Calls an admin API and returns the decoded answer."""
        response = await self.client.request(
            method,
            f"http://{admin}{path}",
            json=body,
            headers={"authorization": f"Bearer {key}"},
        )
        return response.json()

    async def control_standin(
        self, process: processes.Process, fields: Any
    ) -> Any:
        """Sets the faults of a stand-in."""
        address = process.addresses["standin"]
        response = await self.client.post(
            f"http://{address}/control", json=fields
        )
        return response.json()

    async def runs_weights(
        self, version: str, names: Iterable[str] | None = None
    ) -> bool:
        """Returns whether engines run a weights version.

        Args:
            version: Of the weights.
            names: Of the engines; all when left out.
        """
        for name in self.engines if names is None else names:
            address = self.engines[name].addresses["standin"]
            page = await self.client.get(f"http://{address}/health")
            if page.headers["x-weights-version"] != version:
                return False
        return True

    async def position(self, host: Host) -> int:
        """Returns the position in force on a host's router; -2 if not ready.

        It is read from the router's own metrics.
        """
        try:
            page = await self.client.get(f"http://{host.router_status}/metrics")
            ready = await self.client.get(f"http://{host.router_status}/readyz")
        except httpx.HTTPError:
            return -2
        if ready.status_code != 200:
            return -2
        for line in page.text.splitlines():
            if line.startswith("hillthread_configuration_position "):
                return int(float(line.split()[1]))
        return -2

    async def wait_position(
        self, position: int, hosts: list[Host] | None = None
    ) -> None:
        """Returns when routers have a position in force.

        Raises:
            TimeoutError: They did not within 20 s.
        """
        for host in hosts or self.hosts:
            await wait_until(lambda host=host: self._reached(host, position))

    async def _reached(self, host: Host, position: int) -> bool:
        return await self.position(host) >= position

    async def close(self) -> None:
        """Closes the client; the group ends the processes."""
        await self.client.aclose()
