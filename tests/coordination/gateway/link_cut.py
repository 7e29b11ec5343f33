"""Cuts the links between one gateway host and all targets, on real sockets."""

import enum

import anyio

from hillthread.standin import wire_proxy


class CutShape(enum.Enum):
    """How connections between a host and the targets fail."""

    RESET = enum.auto()  # open connections are reset, new ones refused
    SILENT = enum.auto()  # open connections fall silent, new ones hang
    REFUSE_NEW = enum.auto()  # open connections live on, new ones are refused


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
        for proxy in self.proxies.values():
            if shape is CutShape.RESET:
                await proxy.reset()
            elif shape is CutShape.SILENT:
                proxy.cut()

    def heal(self):
        """Restores all links."""
        self.shape = None
        for proxy in self.proxies.values():
            proxy.heal()

    async def _connect_through_proxy(self, address):
        match self.shape:
            case CutShape.RESET | CutShape.REFUSE_NEW:
                raise ConnectionRefusedError
            case CutShape.SILENT:
                await anyio.sleep(self.pool.connect_timeout_s)
                raise TimeoutError
        if address not in self.proxies:
            proxy = self.proxies[address] = wire_proxy.WireProxy(address)
            self.tasks.start_soon(proxy.serve)
        return await self._connect(self.proxies[address].address)
