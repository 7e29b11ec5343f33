"""The stage of a soak: gateways as processes, stand-ins, links between them."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import signal
import time
from typing import Any

import anyio
import anyio.abc
import msgspec

from hillthread.bench import processes
from hillthread.bench.gateway_soak import balancer as balancer_lib
from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import verdict
from hillthread.coordination.gateway.store import host_registry
from hillthread.standin import link_cut
from hillthread.standin import platform_operator
from hillthread.standin import platform_store
from hillthread.standin import platform_target
from hillthread.standin import wire_proxy

__all__ = ["CALLER_HOST", "START_S", "LinkedTarget", "SoakHost", "Stage"]

CALLER_HOST = "callers.example"
_MODEL = "m"
_ENGINES = "engines"
_PLAIN = "plain"
_PLAIN_TARGETS = 3
_ROUTES = (
    platform_operator.OperatorRoute("stream", _ENGINES, True, False),
    platform_operator.OperatorRoute("resume", _ENGINES, True, True),
    platform_operator.OperatorRoute("once", _PLAIN, False, False),
    platform_operator.OperatorRoute("again", _PLAIN, False, True),
)
_PROGRAM = "hillthread.programs.soak_gateway"
_CHECK_S = 0.02
# From the start of a process until it listens, unless a soak allows more.
START_S = 20.0
_EXIT_MARGIN_S = 2.0
# A target rewrites its entry about so often when something has changed.
_HEARTBEAT_S = 1.0


class LinkedTarget(platform_target.PlatformTargetStandin):
    """A target that is reached over a link.

    Attributes:
        link: The link.
        scope: Ends its listening.
        state: As its entry tells.
        listed_weights: Version that its entry tells.
    """

    def __init__(
        self,
        name: str,
        service: str,
        model: str,
        weights: int,
        link: wire_proxy.WireProxy,
    ):
        super().__init__(name, service, model, weights)
        self.includes_request_ids = True
        self.events = verdict.EVENTS
        self.link = link
        self.link.upstream = self.server.address
        self.scope = anyio.CancelScope()
        self.state = "ready"
        self.listed_weights = weights

    @property
    def address(self) -> str:
        """Where the link begins."""
        return self.link.address


class SoakHost:
    """One gateway and the links to and from it.

    Attributes:
        name: Its name.
        settings: Of its process.
        store_link: To the store.
        caller_link: Callers' way to it.
        feed_link: Other hosts' way to it.
        process: The running process.
        lives: Processes so far.
        listens: Its process has told where it listens, and takes signals.
        ready_address: Where the balancer asks.
        routable: Whether the balancer sends new callers.
        busy: Held while a fault acts on the process.
    """

    def __init__(self, name: str, settings: dict[str, Any], store: str):
        self.name = name
        self.settings = settings
        self.store_link = wire_proxy.WireProxy(store)
        self.caller_link = wire_proxy.WireProxy()
        self.feed_link = wire_proxy.WireProxy()
        self.settings["store"] = self.store_link.address
        self.process: processes.Process | None = None
        self.lives = 0
        self.listens = False
        self.ready_address = ""
        self.routable = False
        self.busy = anyio.Lock()

    @property
    def address(self) -> str:
        """Where callers connect."""
        return self.caller_link.address

    def note_ended(self) -> None:
        """Notes that its process is gone: its ports may go to others."""
        self.listens = False
        self.ready_address = ""
        self.caller_link.upstream = ""
        self.feed_link.upstream = ""

    @property
    def links(self) -> tuple[wire_proxy.WireProxy, ...]:
        """All links to and from it."""
        return self.store_link, self.caller_link, self.feed_link


class Stage:
    """Everything a soak acts on.

    Attributes:
        group: The processes.
        tasks: Where stand-ins and links run.
        evidence: What is seen.
        store: The stand-in of the platform's store.
        hosts: The gateways.
        targets: Those that run now, by name.
        operator: Writes into the store.
        module: The program that is run as gateway.
        trouble: What went wrong with processes.
        balancer: Says which hosts get new callers.
        deadly_ran: Called with a target that has begun a body which ends it.
        start_s: Within this time a process is to tell where it listens, and
            all hosts are to be ready at first.
        quota_per_s: Tokens a second of the tenant with a quota, at first.
    """

    def __init__(
        self,
        group: processes.ProcessGroup,
        tasks: anyio.abc.TaskGroup,
        bounds: evidence_lib.Bounds,
        hosts: int,
        module: str = "",
        start_s: float = START_S,
        quota_per_s: float = 20_000.0,
    ):
        self.start_s = start_s
        self.quota_per_s = quota_per_s
        self.group = group
        self.tasks = tasks
        self.module = module or _PROGRAM
        self.evidence = evidence_lib.Evidence(bounds)
        self.store = platform_store.PlatformStoreStandin()
        self.store.era = 1
        self.hosts = [
            SoakHost(name, self._settings(name, number), self.store.address)
            for number, name in enumerate(f"h{n}" for n in range(hosts))
        ]
        self.targets: dict[str, LinkedTarget] = {}
        self.trouble: list[evidence_lib.Violation] = []
        self.balancer = balancer_lib.Balancer(self.hosts)
        self.deadly_ran: Callable[[LinkedTarget], None] = _nobody
        self.releases = ["v1", "v2"]
        self._numbers = itertools.count()
        tenants = [
            platform_operator.OperatorTenant("t-alone", isolated=True),
            platform_operator.OperatorTenant("t-shared"),
        ]
        self.operator = platform_operator.PlatformOperatorStandin(
            self.store, CALLER_HOST, list(_ROUTES), tenants, {_ENGINES: _MODEL}
        )
        self.set_quotas(1.0)
        self.evidence.isolated = frozenset(
            tenant.name for tenant in tenants if tenant.isolated
        )

    def _settings(self, name: str, number: int) -> dict[str, Any]:
        bounds = self.evidence.bounds
        return {
            "host": name,
            "data_centre": f"dc{number % 2}",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "revoke_ms": bounds.revoke_s * 1000,
            "version_ms": bounds.version_s * 1000,
            "drain_ms": bounds.drain_s * 1000,
            "grace_s": bounds.grace_s,
            "lease_ms": bounds.lease_s * 1000,
            "quota_window_s": bounds.quota_window_s,
            "quota_over": bounds.quota_over,
            "quota_slack": bounds.quota_slack,
            "retry_ratio": bounds.retry_ratio,
            "retry_extra": bounds.retry_extra,
            "retry_window_s": bounds.retry_window_s,
        }

    async def start(self, engines: int) -> None:
        """Starts everything and waits until all hosts are ready."""
        self.tasks.start_soon(self.store.server.serve)
        for _ in range(engines):
            self.add_target(_ENGINES)
        for _ in range(_PLAIN_TARGETS):
            self.add_target(_PLAIN)
        for tenant in self.operator.tenants:
            self.issue_key(tenant)
        self.operator.configure()
        for host in self.hosts:
            for link in host.links:
                self.tasks.start_soon(link.serve)
            self.tasks.start_soon(host.feed_link.serve_datagrams)
            self.start_process(host)
        for host in self.hosts:
            await self.wait_started(host)
        self.tasks.start_soon(self._link_feeds)
        self.tasks.start_soon(self._rewrite_entries)
        self.tasks.start_soon(self.balancer.run)
        with anyio.fail_after(self.start_s):
            while not all(host.routable for host in self.hosts):  # noqa: ASYNC110
                await anyio.sleep(_CHECK_S)

    async def _link_feeds(self) -> None:
        """Has hosts find each other over links.

        Each writes into the store where it answers others; that is replaced by
        the address of the link to it.
        """
        hosts = {host.name: host for host in self.hosts}
        while True:
            changed = self.store.changed
            entries = self.store.values(host_registry.HOSTS_TOPIC)
            for name, entry in entries.items():
                if name not in hosts:
                    continue  # what hosts tell each other besides
                link = hosts[name].feed_link
                if entry["feed"] != link.address:
                    link.upstream = entry["feed"]
                    entry["feed"] = link.address
                    self.store.put(host_registry.HOSTS_TOPIC, name, entry)
            await changed.wait()

    # The operator.

    def issue_key(self, tenant: platform_operator.OperatorTenant) -> str:
        """Adds a key to the configuration, which is not written yet."""
        key = f"key-{next(self._numbers)}"
        tenant.keys.append(key)
        self.evidence.keys[key] = evidence_lib.KeyLife(
            tenant.name, time.monotonic(), float("inf")
        )
        return key

    def withdraw_key(self, tenant: platform_operator.OperatorTenant) -> None:
        """Takes a tenant's oldest key out of the configuration."""
        key = tenant.keys.pop(0)
        life = self.evidence.keys[key]
        self.evidence.keys[key] = life._replace(withdrawn_at=time.monotonic())

    def set_quotas(self, share: float) -> None:
        """Changes quotas in the configuration, which is not written yet."""
        rate_per_s = self.quota_per_s * share
        for tenant in self.operator.tenants:
            if tenant.isolated:
                continue
            tenant.tokens_per_s = rate_per_s
            life = evidence_lib.QuotaLife(time.monotonic(), rate_per_s)
            self.evidence.quotas.setdefault(tenant.name, []).append(life)

    def valid_keys(self) -> list[str]:
        """Returns all keys of the newest configuration."""
        return [key for each in self.operator.tenants for key in each.keys]

    def name_weights(self) -> None:
        """Names newer weights."""
        self.operator.announce_weights(_MODEL)
        self.evidence.weights_named.append(
            evidence_lib.NamedVersion(self.operator.weights, time.monotonic())
        )

    # Targets.

    def add_target(
        self,
        service: str,
        weights: int = 0,
        link: wire_proxy.WireProxy | None = None,
        release: str = "",
    ) -> LinkedTarget:
        """Starts a target and lists it.

        Args:
            service: The service it belongs to.
            weights: The version it has; the newest for 0.
            link: The way to it, and so its address; a new one for None.
            release: The version of its software; empty for that of the fewest
                engines.
        """
        model = _MODEL if service == _ENGINES else ""
        name = f"i-{next(self._numbers)}"
        version = weights or self.operator.weights
        if link is None:
            link = wire_proxy.WireProxy()
            self.tasks.start_soon(link.serve)
        target = LinkedTarget(name, service, model, version, link)
        target.release = release or self.next_release()
        target.includes_release = True
        target.crash_bodies = self.evidence.deadly
        target.crash_parts = self.evidence.deadly_parts
        target.crash = lambda: self.deadly_ran(target)
        self.targets[name] = target
        self.evidence.targets.append(target)
        self.tasks.start_soon(self._listen, target)
        self.list_target(target)
        return target

    def next_release(self) -> str:
        """Returns the release that the fewest engines have."""
        return min(self.releases, key=self.count_engines)

    def count_engines(self, release: str) -> int:
        """Returns the number of engines of a release that take requests."""
        return sum(
            target.service == _ENGINES
            and target.release == release
            and target.state == "ready"
            and not target.announces_leaving
            and not target.backoff_s
            for target in self.targets.values()
        )

    def start_again(self, target: LinkedTarget) -> None:
        """Starts a target that has ended, under its name and address."""
        target.restart()
        target.link.upstream = target.server.address
        target.scope = anyio.CancelScope()
        self.targets[target.name] = target
        self.tasks.start_soon(self._listen, target)
        self.list_target(target)

    async def _listen(self, target: LinkedTarget) -> None:
        with target.scope:
            await target.server.serve()

    def list_target(self, target: LinkedTarget, state: str = "ready") -> None:
        """Writes a target's entry."""
        target.state = state
        target.listed_weights = target.weights
        self.operator.list_target(target, state)
        if state == "draining":
            now = time.monotonic()
            self.evidence.leaving.setdefault(target.name, now)

    async def _rewrite_entries(self) -> None:
        """Has targets that have loaded tell so, as the store allows."""
        while True:
            await anyio.sleep(_HEARTBEAT_S)
            if not self.store.faults.is_answering:
                continue
            for target in list(self.targets.values()):
                if target.listed_weights != target.weights:
                    self.list_target(target, target.state)

    def unlist_target(self, target: LinkedTarget) -> None:
        """Removes a target's entry."""
        self.operator.unlist_target(target)
        self.evidence.leaving.setdefault(target.name, time.monotonic())

    async def end_target(self, target: LinkedTarget) -> None:
        """Ends a target as a crash does: all its connections are reset."""
        self.targets.pop(target.name, None)
        target.scope.cancel()
        target.link.heal()
        await target.link.reset()

    def name_limit(self, target: LinkedTarget, per_s: float | None) -> None:
        """Has a target's answers name a limit from now on, or none."""
        target.limit_per_s = per_s
        life = evidence_lib.LimitLife(time.monotonic(), per_s)
        self.evidence.limits.setdefault(target.name, []).append(life)

    # Processes.

    def set_target_links(self, host: SoakHost, shape: link_cut.Shape) -> None:
        """Cuts the links between a host and all targets, or restores them."""
        spared = [host.store_link.address]
        spared += [each.feed_link.address for each in self.hosts]
        path = link_cut.control_path(str(self.group.folder / "any"), host.name)
        control = link_cut.Control(shape, spared)
        path.write_bytes(msgspec.json.encode(control))

    def start_process(self, host: SoakHost) -> None:
        """Starts a gateway's process without waiting for it."""
        host.lives += 1
        host.routable = False
        host.note_ended()
        host.process = self.group.start_later(
            "gateway", host.settings, module=self.module, logs_to_output=True
        )

    async def wait_started(self, host: SoakHost) -> None:
        """Returns when a process has told where it listens."""
        assert host.process is not None
        with anyio.fail_after(self.start_s):
            while True:
                for event in host.process.events():
                    if event.get("event") == "start":
                        host.caller_link.upstream = event["listen"]
                        host.ready_address = event["ready_listen"]
                        host.listens = True
                        return
                await anyio.sleep(_CHECK_S)

    async def restart(self, host: SoakHost) -> None:
        """Starts a host's next process and waits until it listens."""
        self.start_process(host)
        await self.wait_started(host)

    def kill(self, host: SoakHost) -> None:
        """Kills a host's process; its last lines may be lost."""
        assert host.process is not None
        self._check_alive(host)
        host.note_ended()
        self.evidence.unheard.add((host.name, host.lives))
        host.process.kill()

    async def stop(self, host: SoakHost) -> None:
        """Stops a process as planned, and kills it when its time is over."""
        process = host.process
        assert process is not None
        self._check_alive(host)
        began_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        limit_s = self.evidence.bounds.grace_s + _EXIT_MARGIN_S
        with anyio.move_on_after(limit_s):
            while process.popen.poll() is None:  # noqa: ASYNC110
                await anyio.sleep(_CHECK_S)
        code = process.popen.poll()
        if code is None:
            self.kill(host)
        if code != 0:
            self._note(host, f"a planned stop ended with {code}")
            self.evidence.unheard.add((host.name, host.lives))
        host.note_ended()
        self.evidence.stops.append(
            evidence_lib.Disturbance(
                "host_stops", host.name, began_at, time.monotonic()
            )
        )

    def check_alive(self) -> None:
        """Notes processes that have ended by themselves."""
        for host in self.hosts:
            if not host.busy.locked():
                self._check_alive(host)

    def _check_alive(self, host: SoakHost) -> None:
        assert host.process is not None
        code = host.process.popen.poll()
        if code is not None:
            self._note(host, f"ended by itself with {code}")

    def read_logs(self) -> None:
        """Collects what the hosts' logs tell of refusals and forwarding."""
        for process in self.group.processes:
            for event in process.events():
                request = event.get("request", "")
                match event.get("event"):
                    case "refused" | "deadline_passed":
                        self.evidence.refusal_lines.add(request)
                    case "forwarded":
                        self.evidence.forwarded[request] = event["peer"]

    def _note(self, host: SoakHost, detail: str) -> None:
        self.trouble.append(
            evidence_lib.Violation("process", host.name, detail)
        )


def _nobody(target: LinkedTarget) -> None:
    """Stands for nobody who ends targets."""
    del target
