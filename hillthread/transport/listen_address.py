"""Waits for addresses on which a starting process cannot listen yet."""

from __future__ import annotations

from collections.abc import Sequence
import errno
import logging
import socket

import anyio

from hillthread import errors

__all__ = ["wait_until_free"]

# Another process may still be exiting, or the interface may come up later.
_TRANSIENT = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_RETRY_INTERVAL_S = 0.2
_LOG_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


async def wait_until_free(addresses: Sequence[tuple[str, int]]) -> None:
    """Returns when a server can listen on all addresses.

    Args:
        addresses: Pairs of IP address and port; a port of 0 is always free.

    Raises:
        SettingsError: The process can never listen on one of them.
    """
    log_in_s = 0.0
    while True:
        blocked = {each: _find_obstacle(each) for each in addresses}
        reasons = {
            f"{ip}:{port}": reason
            for (ip, port), reason in blocked.items()
            if reason
        }
        if not reasons:
            return
        if log_in_s <= 0.0:
            log_in_s = _LOG_INTERVAL_S
            _logger.warning(
                "waiting for an address",
                extra={"event": "address_taken", "addresses": reasons},
            )
        await anyio.sleep(_RETRY_INTERVAL_S)
        log_in_s -= _RETRY_INTERVAL_S


def _find_obstacle(address: tuple[str, int]) -> str:
    """Returns why no server can listen yet; empty if one can."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError as error:
            if error.errno in _TRANSIENT:
                return str(error.strerror)
            raise errors.SettingsError(
                f"No server can listen on {address[0]}:{address[1]}: "
                f"{error.strerror}.",
                "Correct the address in the settings.",
            ) from error
    return ""
