"""Logging, signals and status pages, shared by the server programs."""

from __future__ import annotations

from collections.abc import Callable
import logging
import signal
import sys

import anyio
import prometheus_client
from pythonjsonlogger import json as jsonlogger

from hillthread.transport import http_server

__all__ = [
    "StatusPages",
    "print_addresses",
    "configure_logging",
    "wait_for_signal",
]


_logger = logging.getLogger(__name__)


class StatusPages:
    """Serves `/healthz`, `/readyz` and `/metrics`.

    Attributes:
        registry: The metrics to serve.
        not_ready_reason: Returns why the program is not ready, or an empty
            string when it is.
    """

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        not_ready_reason: Callable[[], str],
    ):
        self.registry = registry
        self.not_ready_reason = not_ready_reason

    async def answer(
        self, request: http_server.Request, send: http_server.Send
    ) -> bool:
        """Serves a status page; returns whether the path is one."""
        match request.path:
            case "/healthz":
                await http_server.send_json(send, 200, {"healthy": True})
            case "/readyz":
                reason = self.not_ready_reason()
                status = 503 if reason else 200
                await http_server.send_json(
                    send, status, {"ready": not reason, "reason": reason}
                )
            case "/metrics":
                page = prometheus_client.generate_latest(self.registry)
                await http_server.send_body(
                    send, 200, page, b"text/plain; version=0.0.4"
                )
            case _:
                return False
        return True


def configure_logging() -> None:
    """Writes logs as JSON lines to the standard error stream."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s"
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("hypercorn").setLevel(logging.CRITICAL)
    logging.getLogger("websockets").setLevel(logging.WARNING)


def print_addresses(**addresses: str) -> None:
    """Prints the addresses the program listens on as one parseable line."""
    pairs = " ".join(f"{name}={value}" for name, value in addresses.items())
    print(f"listening {pairs}", flush=True)


async def wait_for_signal() -> None:
    """Returns when the program receives SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
