"""Cuts the links between one gateway host and all targets, on real sockets."""

import enum

import anyio

from hillthread.standin import wire_proxy


class CutShape(enum.Enum):
    """How connections between a host and the targets fail."""

    RESET = enum.auto()  # open connections are reset, new ones refused
    SILENT = enum.auto()  # open connections fall silent, new ones hang
    REFUSE_NEW = enum.auto()  # open connections live on, new ones are refused
    ACCEPT_AND_RESET = enum.auto()  # all are reset, new ones after they opened
    ACCEPT_IN_SILENCE = enum.auto()  # nothing passes, but new ones open


class HostLinks:
    """The links of one host; its connections to targets pass through proxies.

    Attributes:
        pool: The host's connections to targets.
        shape: How the links are cut; None while they work.
        proxies: One proxy for each address of a target.
    """

    def __init__(self, tasks, program):
        self.tasks = tasks
        self.pool = program.pool
        self.shape = None
        self.proxies = {}
        self._connect = self.pool._connect
        self.pool._connect = self._connect_through_proxy

    async def cut(self, shape):
        """Cuts all links in one way."""
        self.shape = shape
        for proxy in list(self.proxies.values()):
            await self._cut_proxy(proxy)
        if shape is CutShape.ACCEPT_AND_RESET:
            # Connections that the proxies were just passing on.
            await anyio.sleep(0.02)
            for proxy in list(self.proxies.values()):
                await proxy.reset()

    def heal(self):
        """Restores all links."""
        self.shape = None
        for address, proxy in self.proxies.items():
            proxy.heal()
            proxy.upstream = address

    async def _cut_proxy(self, proxy):
        match self.shape:
            case CutShape.RESET:
                await proxy.reset()
            case CutShape.SILENT | CutShape.ACCEPT_IN_SILENCE:
                proxy.cut()
            case CutShape.ACCEPT_AND_RESET:
                proxy.upstream = ""
                await proxy.reset()

    async def _connect_through_proxy(self, address):
        match self.shape:
            case CutShape.RESET | CutShape.REFUSE_NEW:
                raise ConnectionRefusedError
            case CutShape.SILENT:
                await anyio.sleep(self.pool.connect_timeout_s)
                raise TimeoutError
        if address not in self.proxies:
            proxy = self.proxies[address] = wire_proxy.WireProxy(address)
            await self._cut_proxy(proxy)
            self.tasks.start_soon(proxy.serve)
        return await self._connect(self.proxies[address].address)
