"""A proxy of the same libraries that decides and checks nothing.

What it costs is the floor below which the router cannot come with them.
"""

from __future__ import annotations

import anyio

from hillthread import settings as settings_lib
from hillthread.transport import command
from hillthread.transport import http_server
from hillthread.transport import service
from hillthread.transport import target_client

__all__ = ["BareProxySettings", "main"]

_MAX_BODY = 8_388_608
_TIMEOUT_S = 30.0


class BareProxySettings(settings_lib.SettingsStruct, frozen=True, kw_only=True):
    """Where to listen and where to pass requests to."""

    listen: settings_lib.Address = "127.0.0.1:0"
    upstream: settings_lib.Address


class BareProxy:
    """Passes every request on."""

    def __init__(self, settings: BareProxySettings):
        self.settings = settings
        self.client = target_client.TargetClient(
            _TIMEOUT_S, _TIMEOUT_S, _TIMEOUT_S
        )
        self.server = http_server.Server(settings.listen, self.handle)

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        body = await request.body(_MAX_BODY)
        headers = {"content-type": "application/json"}
        async with self.client.open(
            self.settings.upstream, request.method, request.path, headers, body
        ) as response:
            kind = response.headers["content-type"].encode()
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status_code,
                    "headers": [(b"content-type", kind)],
                }
            )
            async for chunk in self.client.read(response):
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})


async def _serve(settings: BareProxySettings) -> None:
    proxy = BareProxy(settings)
    service.print_addresses(callers=proxy.server.address)
    await proxy.server.serve(anyio.Event())


def run(settings: str) -> None:
    """Runs the bare proxy."""
    loaded = settings_lib.load_settings(settings, BareProxySettings)
    anyio.run(_serve, loaded)


def main() -> None:
    """Runs it as a module."""
    command.run_command(run)


if __name__ == "__main__":
    main()
