"""Faults of links between hosts, the store, targets and callers."""

from __future__ import annotations

import anyio

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.standin import link_cut
from hillthread.standin import wire_proxy

__all__ = ["LinkFaults"]

_LINK_DELAY_S = 0.15
# Beyond the time after which callers of such hosts are served again.
_CUT_S = (4.0, 8.0)
_SHAPES = (
    link_cut.Shape.RESET,
    link_cut.Shape.SILENT,
    link_cut.Shape.REFUSE_NEW,
)


class LinkFaults:
    """Faults of links.

    Attributes:
        injector: Chooses and notes.
        stage: What they act on.
    """

    def __init__(self, injector: injector_lib.Injector):
        self.injector = injector
        self.stage = injector.stage
        self._cut_hosts: set[str] = set()

    @property
    def kinds(self) -> tuple[injector_lib.Fault, ...]:
        """All of them."""
        return (
            self.store_link_fails,
            self.target_link_fails,
            self.store_connections_silenced,
            self.target_connections_silenced,
            self.caller_connections_silenced,
            self.host_connections_silenced,
            self.hosts_lose_targets,
        )

    async def store_link_fails(self) -> None:
        """A host's way to the store fails."""
        host = self.injector.host()
        with self.injector.noted("store_link_fails", host.name):
            await self._fail(host.store_link)

    async def target_link_fails(self) -> None:
        """The way to a target fails."""
        target = self.injector.target()
        if target is not None:
            with self.injector.noted("target_link_fails", target.name):
                await self._fail(target.link)

    async def _fail(self, link: wire_proxy.WireProxy) -> None:
        ways = ("silent", "one_way", "delayed", "reset")
        match self.injector.random.choice(ways):
            case "silent":
                link.cut()
            case "one_way":
                link.cut(
                    self.injector.random.choice(list(wire_proxy.Direction))
                )
            case "delayed":
                link.delay_s = _LINK_DELAY_S
            case "reset":
                await link.reset()
        await anyio.sleep(self.injector.between(injector_lib.FAULT_S))
        link.heal()

    async def hosts_lose_targets(self) -> None:
        """Some hosts, or all of a data centre, reach no target for seconds."""
        random = self.injector.random
        data_centres: dict[str, list[stage_lib.SoakHost]] = {}
        for host in self.stage.hosts:
            name = host.settings["data_centre"]
            data_centres.setdefault(name, []).append(host)
        members = random.choice(list(data_centres.values()))
        if random.random() < 0.5:
            members = random.sample(members, random.randint(1, len(members)))
        members = [h for h in members if h.name not in self._cut_hosts]
        left = len(self.stage.hosts) - len(self._cut_hosts) - len(members)
        if not members or left < 1:
            return  # some host must reach targets
        names = [host.name for host in members]
        self._cut_hosts.update(names)
        subjects = [evidence_lib.targets_of(name) for name in names]
        shape = random.choice(_SHAPES)
        with self.injector.noted(evidence_lib.TARGETS_LOST, *subjects):
            for host in members:
                self.stage.set_target_links(host, shape)
            await anyio.sleep(self.injector.between(_CUT_S))
            for host in members:
                self.stage.set_target_links(host, link_cut.Shape.NONE)
        self._cut_hosts.difference_update(names)

    async def store_connections_silenced(self) -> None:
        """A host's connections to the store fall silent; new ones work."""
        host = self.injector.host()
        with self.injector.noted("connections_silenced", host.name):
            host.store_link.silence()

    async def target_connections_silenced(self) -> None:
        """All connections to a target fall silent; new ones work."""
        target = self.injector.target()
        if target is not None:
            with self.injector.noted("connections_silenced", target.name):
                target.link.silence()

    async def caller_connections_silenced(self) -> None:
        """Connections of a host's callers fall silent; new ones work."""
        host = self.injector.host()
        subject = evidence_lib.callers_of(host.name)
        with self.injector.noted("connections_silenced", subject):
            host.caller_link.silence()

    async def host_connections_silenced(self) -> None:
        """Other hosts' connections to one fall silent; new ones work."""
        hosts = [host.name for host in self.stage.hosts]
        with self.injector.noted("connections_silenced", *hosts):
            self.injector.host().feed_link.silence()
