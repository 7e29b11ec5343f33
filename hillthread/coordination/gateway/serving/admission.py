"""The quarantine's permission to send a request."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.state.targets import quarantine

__all__ = ["Admission"]


class Admission(NamedTuple):
    """How a request may be sent.

    Attributes:
        status: The crashes of the request as a whole.
        is_part_trial: Whether it is sent to find out if a part of its prompt
            crashes targets.
    """

    status: quarantine.QuarantineStatus
    is_part_trial: bool

    @property
    def is_suspect(self) -> bool:
        """Whether it must be placed apart from other suspects."""
        return self.status.is_suspect or self.is_part_trial
