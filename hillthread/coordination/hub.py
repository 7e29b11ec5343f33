"""All links of one control process: to its router and to other hosts."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import logging

import anyio
import anyio.abc
import prometheus_client

from hillthread import errors
from hillthread.protocol import messages
from hillthread.transport import link as link_lib

__all__ = ["Hub", "OpenLink"]

_MAX_QUEUED_MESSAGES = 256
# Tasks of one link. An operator sends one query at a time, so that more than
# this are due to a fault.
MAX_TASKS = 16

_logger = logging.getLogger(__name__)

MessageHandler = Callable[["OpenLink", messages.Message], Awaitable[None]]


class OpenLink:
    """A link with a bounded send queue.

    Sending never waits, so that a slow peer delays no other.

    Attributes:
        link: The link.
        known_positions: Configuration positions that the peer knows, by host.
        has_configuration: Whether the whole configuration was sent to the
            router at the other end.
        running_tasks: Tasks started with `start_task` that have not finished.
    """

    def __init__(self, link: link_lib.Link):
        self.link = link
        self.known_positions: dict[str, int] = {}
        self.has_configuration = False
        self.running_tasks = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self._send, self._receive = anyio.create_memory_object_stream[bytes](
            _MAX_QUEUED_MESSAGES
        )

    @property
    def peer(self) -> link_lib.Identity:
        """The identity of the other end."""
        return self.link.peer

    def send(self, data: bytes) -> bool:
        """Queues an encoded message; returns False if the queue is full.

        A message for a link that is already closed is dropped.
        """
        try:
            self._send.send_nowait(data)
        except anyio.WouldBlock:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return True
        return True

    def start_task(
        self, function: Callable[..., Awaitable[None]], *arguments: object
    ) -> bool:
        """Runs a slow message handler without delaying later messages.

        Returns:
            False if `MAX_TASKS` are already running; the task is not started.
        """
        if self._tasks is None or self.running_tasks >= MAX_TASKS:
            return False
        self.running_tasks += 1
        self._tasks.start_soon(self._run_task, function, *arguments)
        return True

    async def _run_task(
        self, function: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        try:
            await function(*arguments)
        finally:
            self.running_tasks -= 1

    async def serve(self, read: Callable[[], Awaitable[None]]) -> None:
        """Sends queued messages and runs tasks until `read` returns."""
        async with anyio.create_task_group() as group:
            self._tasks = group
            group.start_soon(self.write)
            await read()
            self._tasks = None
            group.cancel_scope.cancel()

    async def write(self) -> None:
        """Sends queued messages until the link is closed."""
        try:
            async for data in self._receive:
                await self.link.send_encoded(data)
        except errors.PeerError:
            self._send.close()


class Hub:
    """Tracks the open links, and sends and receives their messages.

    Attributes:
        links: All open links.
        on_message: Called with each message received.
        on_open: Called with each new link.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.links: dict[int, OpenLink] = {}
        self.on_message: MessageHandler | None = None
        self.on_open: Callable[[OpenLink], None] | None = None
        self._link_ids = itertools.count()
        self.events = prometheus_client.Counter(
            "hillthread_link_events",
            "Links opened, closed, overflowed or malformed.",
            ["event", "role"],
            registry=registry,
        )
        self.bytes = prometheus_client.Counter(
            "hillthread_link_bytes",
            "Bytes of messages by direction.",
            ["direction"],
            registry=registry,
        )
        self.messages = prometheus_client.Counter(
            "hillthread_link_messages",
            "Messages received by type.",
            ["type"],
            registry=registry,
        )

    async def run_link(self, link: link_lib.Link) -> None:
        """Serves a link until it closes."""
        link_id = next(self._link_ids)
        link.count_bytes = self._count_bytes
        open_link = OpenLink(link)
        self.links[link_id] = open_link
        self.events.labels("opened", link.peer.role).inc()
        if self.on_open is not None:
            self.on_open(open_link)
        try:
            await open_link.serve(lambda: self._read(open_link))
        finally:
            del self.links[link_id]
            self.events.labels("closed", link.peer.role).inc()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await link.close()

    def peers(self, data_centre: str | None = None) -> list[OpenLink]:
        """Returns the links to other hosts, of one data centre or of all."""
        return [
            each
            for each in self.links.values()
            if each.peer.role == "control"
            and data_centre in (None, each.peer.data_centre)
        ]

    def routers(self) -> list[OpenLink]:
        """Returns the links to routers of this host."""
        return [
            each for each in self.links.values() if each.peer.role == "router"
        ]

    def connected_hosts(self) -> set[str]:
        """Returns the hosts to which there is a link."""
        return {each.peer.host for each in self.peers()}

    def send(self, target: OpenLink, message: messages.Message) -> None:
        """Queues a message for one link."""
        self._send_encoded(target, messages.encode_message(message))

    def _send_encoded(self, target: OpenLink, data: bytes) -> None:
        """Queues an encoded message; closes a link whose queue is full.

        The peers then connect again and catch up, which costs no more than
        continuing would have.
        """
        if target.send(data):
            return
        self.events.labels("overflowed", target.peer.role).inc()
        _logger.warning(
            "send queue of the link to %s is full; closed it", target.peer.host,
            extra={"code": "link_overflow"},
        )  # fmt: skip
        target.link.connection.transport.abort()

    def broadcast(
        self,
        targets: list[OpenLink],
        message: messages.Message,
        excluded: OpenLink | None = None,
    ) -> None:
        """Queues a message for several links, except for `excluded`.

        The message is encoded only once.
        """
        data = messages.encode_message(message)
        for target in targets:
            if target is not excluded:
                self._send_encoded(target, data)

    def _count_bytes(self, direction: str, count: int) -> None:
        self.bytes.labels(direction).inc(count)

    async def _read(self, open_link: OpenLink) -> None:
        assert self.on_message is not None
        try:
            async for message in open_link.link.receive():
                self.messages.labels(type(message).__name__).inc()
                await self.on_message(open_link, message)
        except errors.PeerError as error:
            self.events.labels("malformed", open_link.peer.role).inc()
            _logger.warning("%s", error, extra={"code": error.code})
