"""Takes over changed settings, at a signal or when their file changes."""

from __future__ import annotations

import logging
import pathlib

import anyio

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.coordination.gateway import site as site_lib

__all__ = ["SettingsWatch"]

_LOOK_EVERY_S = 2.0
# These are read at the start only.
_FIXED_SETTINGS = (
    "host",
    "data_centre",
    "listen",
    "ready_listen",
    "store",
    "lease_ms",
    "feed_port",
    "metrics_port",
)

_logger = logging.getLogger("hillthread.program")


class SettingsWatch:
    """Keeps a host's settings those of their file.

    Attributes:
        site: Whose settings are replaced.
        path: Of the file.
    """

    def __init__(self, site: site_lib.Site, path: str):
        self.site = site
        self.path = path

    async def run(self) -> None:
        """Reads the settings again when their file changes."""
        file = pathlib.Path(self.path)  # a look takes microseconds, no thread
        # The first look reads the file: it may have changed since the start.
        changed_at = 0
        while True:
            await anyio.sleep(_LOOK_EVERY_S)
            try:
                found = file.stat().st_mtime_ns  # noqa: ASYNC240
            except OSError:
                continue  # it is being replaced; the next look finds it
            if found != changed_at:
                changed_at = found
                self.reload()

    def reload(self) -> None:
        """Takes over changed settings; wrong ones change nothing."""
        try:
            loaded = settings_lib.load_settings(
                self.path, gateway_settings.GatewaySettings
            )
        except errors.SettingsError as error:
            _logger.error(
                "settings not taken over",
                extra={"event": "reload_failed", "reason": str(error)},
            )
            return
        before = self.site.settings
        if loaded == before:
            return
        fixed = [
            name
            for name in _FIXED_SETTINGS
            if getattr(loaded, name) != getattr(before, name)
        ]
        self.site.apply_settings(loaded)
        _logger.info(
            "settings taken over",
            extra={"event": "reload", "need_a_restart": fixed},
        )
