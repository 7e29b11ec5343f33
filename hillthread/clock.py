"""The clock for all ages and deadlines, which counts suspended time.

The monotonic clock stops while the host is suspended. With it, after a resume,
keys revoked in the meantime would look recently verified, an expired lease
would look held, and requests would look as if they had time remaining.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import anyio

__all__ = ["EventLoop", "now", "run"]

# CLOCK_BOOTTIME exists on Linux only; elsewhere the monotonic clock is used.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Suspended time before the start of this process is subtracted, so that times
# are comparable with those of libraries, which use the monotonic clock.
_BOOT_OFFSET_S = time.clock_gettime(_BOOT_CLOCK) - time.monotonic()


def now() -> float:
    """Returns the time in seconds; it never goes back."""
    return time.clock_gettime(_BOOT_CLOCK) - _BOOT_OFFSET_S


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and deadlines use this clock.

    Timers that expired during a suspension fire when the loop wakes up next:
    the kernel's wait does not count suspended time. The programs' periodic
    tasks run several times a second, which bounds the delay.
    """

    def time(self) -> float:
        """Returns the time in seconds."""
        return now()


def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Runs an async function on an `EventLoop` and returns its result."""
    return anyio.run(main, *args, backend_options={"loop_factory": EventLoop})
