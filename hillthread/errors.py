"""Typed errors with a stable code, a message and a remedy."""

from __future__ import annotations

import enum

__all__ = [
    "BusyError",
    "ConfigurationError",
    "ConflictError",
    "HillthreadError",
    "LogError",
    "NotFoundError",
    "PeerError",
    "RefusalError",
    "RunState",
    "SelectorError",
    "SettingsError",
    "UnknownOutcomeError",
]


class RunState(enum.StrEnum):
    """Whether a target has run a request, as far as the router can prove."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class HillthreadError(Exception):
    """The base of all errors raised by hillthread.

    Attributes:
        code: A stable identifier in snake case that programs may match.
        message: One sentence that describes the error.
        remedy: What the reader can do about the error.
    """

    code = "internal_error"

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(HillthreadError):
    """A settings file is missing, unreadable or invalid."""

    code = "invalid_settings"


class SelectorError(HillthreadError):
    """A label selector cannot be parsed."""

    code = "invalid_selector"


class ConfigurationError(HillthreadError):
    """A configuration object or record is invalid."""

    code = "invalid_configuration"


class ConflictError(HillthreadError):
    """An object has another version than the caller expected."""

    code = "version_conflict"


class NotFoundError(HillthreadError):
    """The requested object or record is unknown."""

    code = "not_found"


class LogError(HillthreadError):
    """The platform's log is unreachable or answered with an error."""

    code = "log_unavailable"


class BusyError(LogError):
    """The service answered that it accepts no more calls for now."""

    code = "busy"


class UnknownOutcomeError(HillthreadError):
    """An append may or may not have taken effect."""

    code = "outcome_unknown"


class PeerError(HillthreadError):
    """A peer broke the protocol between hosts, or failed authentication."""

    code = "peer_protocol"


class RefusalError(HillthreadError):
    """A caller's request is answered with an error.

    Attributes:
        code: Error code in the answer, part of the public API.
        status: HTTP status code of the answer.
        run: Whether a target ran the request.
        retry_after_s: Seconds after which a retry may help, or None.
        limited_by: What limits a quota, `window` or `pace`; else empty.
    """

    def __init__(
        self,
        code: str,
        status: int,
        message: str,
        remedy: str,
        run: RunState = RunState.NOT_RUN,
        retry_after_s: float | None = None,
        limited_by: str = "",
    ):
        super().__init__(message, remedy)
        self.code = code
        self.status = status
        self.run = run
        self.retry_after_s = retry_after_s
        self.limited_by = limited_by
