"""Records how long a process takes to become ready, and what it waits for."""

from __future__ import annotations

import logging
import time

from hillthread import clock
from hillthread.coordination.gateway import metrics as metrics_lib

__all__ = [
    "ANSWERED",
    "CONFIGURATION",
    "HOSTS",
    "LISTENING",
    "LOADED",
    "READY",
    "TARGETS",
    "ReadinessLog",
    "StartupProgress",
]

LOADED = "loaded"
LISTENING = "listening"
CONFIGURATION = "configuration"
TARGETS = "targets"
HOSTS = "hosts"
READY = "ready"
ANSWERED = "answered"
_FIRST_REPORT_S = 1.0
_MAX_REPORT_INTERVAL_S = 60.0

_logger = logging.getLogger("hillthread.program")


class StartupProgress:
    """When a process first reached each stage of its start.

    Attributes:
        seconds: Seconds from the end of loading, by stage.
        processor_s: Processor time that the process had used, by stage. That
            of `LOADED` is the cost of the interpreter and of all imports.
    """

    def __init__(self, metrics: metrics_lib.GatewayMetrics):
        self.metrics = metrics
        self.seconds: dict[str, float] = {}
        self.processor_s: dict[str, float] = {}
        self._loaded_at = clock.now()
        self.reach(LOADED)

    def reach(self, stage: str) -> bool:
        """Records a stage; returns whether it was not recorded before."""
        if stage in self.seconds:
            return False
        seconds = clock.now() - self._loaded_at
        processor_s = time.process_time()
        self.seconds[stage] = round(seconds, 3)
        self.processor_s[stage] = round(processor_s, 3)
        self.metrics.start_seconds.labels(stage).set(seconds)
        self.metrics.start_processor_seconds.labels(stage).set(processor_s)
        if stage in (READY, ANSWERED):
            _logger.info(
                "start stages",
                extra={
                    "event": "start_stages",
                    "seconds": dict(self.seconds),
                    "processor_s": dict(self.processor_s),
                },
            )
        return True


class ReadinessLog:
    """Logs changes of readiness, and at growing intervals what is missing."""

    def __init__(self, startup: StartupProgress):
        self.startup = startup
        self._reason: str | None = None
        self._unready_since = 0.0
        self._report_at = 0.0
        self._interval_s = _FIRST_REPORT_S

    def update(
        self, reason: str, store_age_s: float | None, now: float
    ) -> None:
        """Logs the readiness if it has changed or a report is due.

        Args:
            reason: Why the host is not ready; empty when it is.
            store_age_s: Age of the operator's data, in seconds; None before
                the first read.
            now: Seconds.
        """
        if not reason:
            self.startup.reach(READY)
        fields = {"reason": reason, "store_age_s": store_age_s}
        if reason != self._reason:
            if not self._reason:
                self._unready_since = now
                self._interval_s = _FIRST_REPORT_S
                self._report_at = now + self._interval_s
            self._reason = reason
            _logger.info(
                "not ready" if reason else "ready",
                extra={"event": "readiness", **fields},
            )
        elif reason and now >= self._report_at:
            self._interval_s = min(
                2.0 * self._interval_s, _MAX_REPORT_INTERVAL_S
            )
            self._report_at = now + self._interval_s
            _logger.info(
                "still not ready",
                extra={
                    "event": "not_ready",
                    "seconds": round(now - self._unready_since, 2),
                    **fields,
                },
            )
