"""Applies changed settings, at a signal or when their file changes."""

from __future__ import annotations

import logging
import pathlib

import anyio

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination.gateway import settings as gateway_settings
from hillthread.coordination.gateway import site as site_lib

__all__ = ["SettingsWatch"]

_POLL_INTERVAL_S = 2.0
# Settings whose changes are reported as needing a restart, since the program
# reads them at the start only. The list is not complete: `quota_window_s`,
# `quota_over`, `quota_slack` and `log_requests_per_s` are also read once, and
# `retry_ratio` and `retry_window_s` once for each pool.
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
    """Keeps a host's settings equal to those of their file.

    Attributes:
        site: State of the host whose settings are replaced.
        path: Path of the settings file.
    """

    def __init__(self, site: site_lib.Site, path: str):
        self.site = site
        self.path = path

    async def run(self) -> None:
        """Reloads the settings when their file changes."""
        file = pathlib.Path(self.path)  # stat takes microseconds: no thread
        # The first check always reloads: the file may have changed since the
        # settings were read.
        last_modified_ns = 0
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            try:
                modified_ns = file.stat().st_mtime_ns  # noqa: ASYNC240
            except OSError:
                continue  # it is being replaced; the next check finds it
            if modified_ns != last_modified_ns:
                last_modified_ns = modified_ns
                self.reload()

    def reload(self) -> None:
        """Applies changed settings; invalid ones change nothing."""
        try:
            loaded = settings_lib.load_settings(
                self.path, gateway_settings.GatewaySettings
            )
        except errors.SettingsError as error:
            _logger.error(
                "settings rejected",
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
            "settings applied",
            extra={"event": "reload", "need_a_restart": fixed},
        )
