"""Reads what caches of engines and stores of KV cache hold."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.state.routing import cache_contents
from hillthread.transport import http1_client

__all__ = ["CachePage", "read_events"]

# Far above the events of a few seconds.
_MAX_ANSWER_BYTES = 4_194_304
# Answers may take so much longer than the time they are held.
_MARGIN_S = 0.8


class CachePage(NamedTuple):
    """A page of events.

    Attributes:
        epoch: Of the cache's process; changes when it restarts.
        position: Of the next event.
        events: In order.
        lost: Events before these are missing.
    """

    epoch: int
    position: int
    events: list[cache_contents.CacheEvent]
    lost: bool


class _Page(msgspec.Struct, rename="camel"):
    boot_epoch: int
    # Named like a page's, it is the place of the next event.
    next_page_token: int
    lost: bool = False
    # Number, sign, salt, digest, tokens kept now, model.
    events: list[tuple[int, str, str, str, int, str]] = []


_decoder = msgspec.json.Decoder(_Page)


async def read_events(
    pool: http1_client.ConnectionPool,
    address: str,
    position: int,
    wait_s: float,
) -> CachePage:
    """Returns the events from a position on.

    Args:
        pool: Connections.
        address: Of the engine or store.
        position: Where to begin.
        wait_s: How long the call is held while there are none.

    Raises:
        BusyError: It takes no more calls now.
        LogError: They cannot be read now.
    """
    request = http1_client.ClientRequest(
        b"GET",
        f"/api/kv-events?since={position}".encode(),
        [
            (b"host", address.encode()),
            (b"wait-ms", b"%d" % int(wait_s * 1000)),
        ],
    )
    try:
        answer = await http1_client.call(
            pool, address, request, wait_s + _MARGIN_S, _MAX_ANSWER_BYTES
        )
        if answer.head.status == 429:
            raise errors.BusyError(
                "A cache takes no more calls now.",
                "It holds a bounded number of them; ask it again later.",
            )
        if answer.head.status != 200:
            raise _unreadable(f"status {answer.head.status}")
        page = _decoder.decode(answer.body)
    except (http1_client.CallError, msgspec.DecodeError) as error:
        raise _unreadable(str(error)) from error
    return CachePage(
        page.boot_epoch,
        page.next_page_token,
        [
            cache_contents.CacheEvent(
                cache_contents.CachedPart(scope, digest), tokens
            )
            for _, _, scope, digest, tokens, _ in page.events
        ],
        page.lost,
    )


def _unreadable(reason: str) -> errors.LogError:
    return errors.LogError(
        f"Events of a cache cannot be read: {reason}.",
        "Nothing is lost: prefixes are saved again where it is not known.",
    )
