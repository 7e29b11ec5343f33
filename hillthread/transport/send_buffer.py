"""Limits what the process buffers for callers and for targets.

A sent byte that the kernel has not accepted stays in the write buffer of its
connection. The budget knows the connections that have such bytes, decides which
of them may buffer more, and disconnects the one with the most unread bytes when
the process reaches its bound. Request bodies have a bound of their own, beyond
which they are refused before they are read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

__all__ = [
    "BufferBounds",
    "BufferBudget",
    "CutStream",
    "Outlet",
    "StreamBuffer",
    "compute_bounds",
]

# Memory that the process needs without buffers.
_BASE_MEMORY_BYTES = 48_000_000
_MIN_TOTAL_BYTES = 4_000_000
# Share of the remaining memory that may hold buffers. The rest is for copies
# made while data is relayed, and for the read buffers of connections.
_TOTAL_SHARE = 0.25
_STREAM_SHARE = 1.0 / 16.0
# Share of the remaining memory that may hold request bodies. Reading one takes
# a multiple of its size for a moment.
_BODIES_SHARE = 0.25
# Twice the largest body that platforms usually allow.
_MIN_BODIES_BYTES = 8_388_608
# Bodies of more than this size leave a part of that memory to smaller ones.
_LARGE_BODY_BYTES = 65_536
_LARGE_BODIES_SHARE = 0.75
# Share of the total below which an answer may exceed its own bound.
_FREE_SHARE = 0.5
_TICK_INTERVAL_S = 0.05
# Ticks without progress after which a caller counts as stalled. Time is counted
# in ticks because a delay of this process, which runs one tick late, is no sign
# of a slow caller.
_STALLED_TICKS = 10
# Ticks at the total bound after which a caller that reads slowly is also
# disconnected; until then its answer only waits.
_FULL_TICKS = 20
# Disconnecting a caller with less unread bytes frees too little memory.
_MIN_CUT_BYTES = 65_536


class BufferBounds(NamedTuple):
    """Bounds on buffered bytes.

    Attributes:
        total_bytes: Bound for the process.
        stream_bytes: Bound for one answer while buffers are half full or more.
        bodies_bytes: Bound for all request bodies.
        is_minimum: Whether the memory of the process allows less than the
            minimum that these bounds state.
    """

    total_bytes: int
    stream_bytes: int
    bodies_bytes: int = _MIN_BODIES_BYTES
    is_minimum: bool = False


def compute_bounds(memory_mb: float) -> BufferBounds:
    """Returns the bounds for a process that may use this much memory."""
    remaining = memory_mb * 1_000_000.0 - _BASE_MEMORY_BYTES
    total = max(_MIN_TOTAL_BYTES, int(remaining * _TOTAL_SHARE))
    bodies = max(_MIN_BODIES_BYTES, int(remaining * _BODIES_SHARE))
    return BufferBounds(
        total, int(total * _STREAM_SHARE), bodies, remaining <= 0.0
    )


class CutStream(NamedTuple):
    """An answer whose caller was disconnected.

    Attributes:
        label: ID of its request; empty if not known.
        unread_bytes: Bytes that the caller had not read.
        seconds: How long there had been unread bytes.
    """

    label: str
    unread_bytes: int
    seconds: float


class Outlet(Protocol):
    """A connection on which bytes are buffered."""

    def count_unread(self) -> int:
        """Returns the bytes that the kernel has not accepted."""

    def count_unacknowledged(self) -> int:
        """Returns the bytes that the kernel has accepted and still holds."""

    def cut(self) -> None:
        """Closes the connection with a reset."""

    def wake_sender(self) -> None:
        """Lets a waiting sender continue."""


class StreamBuffer:
    """The unread bytes of one connection.

    Attributes:
        outlet: The connection.
        label: ID of the request that is being answered; empty if not known.
        unread_bytes: Unread bytes when last counted.
        unread_since: Time in seconds since which there are unread bytes.
        stalled_ticks: Ticks in a row in which the caller read nothing.
        ticks: Ticks in a row with unread bytes.
        is_waiting: Whether a sender waits until it may buffer more.
    """

    def __init__(self, outlet: Outlet):
        self.outlet = outlet
        self.label = ""
        self.unread_bytes = 0
        self.unread_since = 0.0
        self.stalled_ticks = 0
        self.ticks = 0
        self.is_waiting = False
        self._pending_bytes = 0

    def reset(self, now: float) -> None:
        """Starts to count: the kernel did not accept all bytes of a write."""
        self.unread_since = now
        self.stalled_ticks = 0
        self.ticks = 0
        self._pending_bytes = 0

    def count_tick(self) -> None:
        """Counts a tick; detects whether the caller has read anything.

        Bytes that the kernel still holds count as not read. Without them a
        caller that reads steadily would look stalled, because the kernel
        accepts more only after a third of its buffer became free.
        """
        pending = self.unread_bytes + self.outlet.count_unacknowledged()
        is_stalled = pending >= self._pending_bytes
        self.stalled_ticks = self.stalled_ticks + 1 if is_stalled else 0
        self.ticks += 1
        self._pending_bytes = pending


class BufferBudget:
    """Limits the buffered bytes of the process.

    Attributes:
        bounds: The bounds.
        streams: Buffers with unread bytes.
        unread_bytes: Unread bytes of all streams when last counted.
        held_bytes: Request bodies, and answers that are read as a whole.
        body_bytes: Request bodies that are being read or served.
        refused_bodies: Request bodies refused so far.
        full_ticks: Ticks in a row that found the total bound reached.
        cut_streams: Callers disconnected so far.
        cut_bytes: Their unread bytes.
        on_cut: Called with each answer whose caller was disconnected.
    """

    def __init__(
        self, bounds: BufferBounds, on_cut: Callable[[CutStream], None]
    ):
        self.bounds = bounds
        self.streams: set[StreamBuffer] = set()
        self.unread_bytes = 0
        self.held_bytes = 0
        self.body_bytes = 0
        self.refused_bodies = 0
        self.full_ticks = 0
        self.cut_streams = 0
        self.cut_bytes = 0
        self.on_cut = on_cut
        self._timer: asyncio.TimerHandle | None = None

    @property
    def buffered_bytes(self) -> int:
        """All bytes that count towards the total bound."""
        return self.unread_bytes + self.held_bytes

    @property
    def is_full(self) -> bool:
        """Whether the total bound is reached."""
        return self.buffered_bytes >= self.bounds.total_bytes

    @property
    def is_in_demand(self) -> bool:
        """Whether as much is buffered as limits single answers."""
        return self.buffered_bytes >= self.bounds.total_bytes * _FREE_SHARE

    def hold(self, size: int) -> None:
        """Counts bytes that are held for a target or until they are complete.

        Args:
            size: Number of bytes; negative when they are held no more.
        """
        self.held_bytes += size

    def reserve_body(self, size: int, body_size: int) -> bool:
        """Reserves memory for a part of a request body.

        Args:
            size: Size of the part in bytes.
            body_size: Size of the body so far, with this part.

        Returns:
            Whether there is room; otherwise nothing is reserved. There always
            is for a single body.
        """
        bound = self.bounds.bodies_bytes
        if body_size > _LARGE_BODY_BYTES:
            bound = int(bound * _LARGE_BODIES_SHARE)
        has_others = self.body_bytes > body_size - size
        if has_others and self.body_bytes + size > bound:
            self.refused_bodies += 1
            return False
        self.body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Releases the reserved memory of a request body."""
        self.body_bytes -= size

    def add(self, stream: StreamBuffer, now: float) -> None:
        """Starts to count a connection that has unread bytes."""
        if stream in self.streams:
            return
        stream.reset(now)
        self.streams.add(stream)
        self._count(stream)

    def remove(self, stream: StreamBuffer) -> None:
        """Stops counting a connection without unread bytes."""
        if stream in self.streams:
            self.streams.remove(stream)
            self.unread_bytes -= stream.unread_bytes
        stream.unread_bytes = 0

    def may_buffer(self, stream: StreamBuffer) -> bool:
        """Returns whether more may be written to a connection now."""
        if stream not in self.streams:
            return True
        self._count(stream)
        if self.is_full:
            return False
        if stream.unread_bytes < self.bounds.stream_bytes:
            return True
        return not self.is_in_demand

    def tick(self, now: float) -> None:
        """Counts all unread bytes, disconnects callers and wakes senders."""
        for stream in self.streams:
            self._count(stream)
            stream.count_tick()
        self.full_ticks = self.full_ticks + 1 if self.is_full else 0
        while self.is_full and (victim := self._find_victim()) is not None:
            self._cut(victim, now)
        # Waking a sender changes no count: it writes only later.
        for stream in self.streams:
            if stream.is_waiting and self.may_buffer(stream):
                stream.outlet.wake_sender()

    def keep_ticking(self, loop: asyncio.AbstractEventLoop) -> None:
        """Ticks on an event loop while there are unread bytes."""
        if self._timer is None:
            self._timer = loop.call_later(_TICK_INTERVAL_S, self._tick_on, loop)

    def _tick_on(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        self.tick(loop.time())
        if self.streams:
            self.keep_ticking(loop)

    def _count(self, stream: StreamBuffer) -> None:
        unread_bytes = stream.outlet.count_unread()
        self.unread_bytes += unread_bytes - stream.unread_bytes
        stream.unread_bytes = unread_bytes

    def _find_victim(self) -> StreamBuffer | None:
        """Returns the stream to disconnect, or None if all only wait.

        Callers that read nothing go first. One that reads slowly goes only if
        the bound stays reached: a caller that reads as fast as it can may have
        the most unread bytes for a moment.
        """
        large = [s for s in self.streams if s.unread_bytes >= _MIN_CUT_BYTES]
        eligible = [s for s in large if s.stalled_ticks >= _STALLED_TICKS]
        if not eligible and self.full_ticks >= _FULL_TICKS:
            eligible = [s for s in large if s.ticks >= _FULL_TICKS]
            self.full_ticks = 0
        return max(eligible, key=lambda s: s.unread_bytes, default=None)

    def _cut(self, stream: StreamBuffer, now: float) -> None:
        cut = CutStream(
            stream.label, stream.unread_bytes, now - stream.unread_since
        )
        self.cut_streams += 1
        self.cut_bytes += cut.unread_bytes
        self.remove(stream)
        stream.outlet.cut()
        self.on_cut(cut)
