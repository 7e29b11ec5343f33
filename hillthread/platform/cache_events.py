"""Reads the change events of caches in engines and of KV cache stores."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.platform import names
from hillthread.state.routing import cache_contents
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = ["CachePage", "read_events"]

# Well above the events of a few seconds.
_MAX_ANSWER_BYTES = 1_048_576
# Time that an answer may take beyond the time for which it is held.
_HOLD_MARGIN_S = 0.8


class CachePage(NamedTuple):
    """A page of cache events.

    Attributes:
        epoch: Identifies the cache's process; changes when it restarts.
        position: Position of the next event.
        events: The events in order.
        lost: Events before these are missing.
    """

    epoch: int
    position: int
    events: list[cache_contents.CacheEvent]
    lost: bool


class _Page(msgspec.Struct, rename="camel"):
    boot_epoch: int
    # Position of the next event, despite its name.
    next_page_token: int
    lost: bool = False
    # Number, sign, salt, digest, tokens now held, model.
    events: list[tuple[int, str, str, str, int, str]] = []


_decoder = msgspec.json.Decoder(_Page)


async def read_events(
    pool: connection_pool.ConnectionPool,
    address: str,
    epoch: int | None,
    position: int,
    wait_s: float,
) -> CachePage:
    """Returns the events from a position on.

    Args:
        pool: The connections to use.
        address: Address of the engine or store.
        epoch: Epoch of the last page; None before the first.
        position: Position of the first event to read.
        wait_s: Time for which the call is held while there are no events.

    Raises:
        BusyError: The cache accepts no more calls now.
        LogError: The events cannot be read now.
    """
    # A target that has taken over the address would run a call with an id.
    request = http1_client.ClientRequest(
        b"GET",
        f"/api/kv-events?since={position}".encode(),
        [
            (b"host", address.encode()),
            (b"wait-ms", b"%d" % int(wait_s * 1000)),
        ],
    )
    try:
        answer = await connection_pool.call(
            pool, address, request, wait_s + _HOLD_MARGIN_S, _MAX_ANSWER_BYTES
        )
        if answer.head.get(names.REQUEST_ID):
            await pool.drop(address)
            raise _make_read_error("the answer belongs to a request")
        if answer.head.status == 429:
            raise errors.BusyError(
                "A cache accepts no more calls now.",
                "It holds a bounded number of calls; try again later.",
            )
        if answer.head.status != 200:
            raise _make_read_error(f"status {answer.head.status}")
        page = _decoder.decode(answer.body)
    except (http1_client.CallError, msgspec.DecodeError) as error:
        raise _make_read_error(str(error)) from error
    if page.boot_epoch == epoch and _is_earlier_page(page, position):
        # The answer to this call may still come over the connection.
        await pool.drop(address)
        raise _make_read_error("the page is from an earlier read")
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


def _is_earlier_page(page: _Page, position: int) -> bool:
    """Returns whether a page answers a read from before `position`.

    Caches repeat no ids of calls, but number their events.
    """
    first = min((number for number, *_ in page.events), default=position + 1)
    return first <= position or page.next_page_token < position


def _make_read_error(reason: str) -> errors.LogError:
    return errors.LogError(
        f"Events of a cache cannot be read: {reason}.",
        "No data is lost: prefixes of unknown state are saved again.",
    )
