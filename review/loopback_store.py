"""The platform's store as a process: `loopback_store.py PORT`."""

from __future__ import annotations

import sys

import anyio

from hillthread.standin import platform_store


async def main(port: int) -> None:
    """Serves until the process is ended."""
    store = platform_store.PlatformStoreStandin(("127.0.0.1", port))
    await store.server.serve()


if __name__ == "__main__":
    anyio.run(main, int(sys.argv[1]))
