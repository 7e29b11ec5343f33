"""Messages between the routers of a virtual site: what each has placed."""

from __future__ import annotations

from collections.abc import Sequence
import functools

from hillthread.bench import virtual_clock
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import share_outbox

__all__ = ["connect"]

# From one router to another in one data centre, seconds; assumed.
_DELAY_S = 0.005


def connect(
    fleets: Sequence[fleet_lib.Fleet],
    clock: virtual_clock.VirtualClock,
    every_s: float,
) -> None:
    """Makes routers tell each other what they place.

    Args:
        fleets: One a router.
        clock: Of the run.
        every_s: Time between two messages of a router.
    """
    for fleet in fleets:
        others = [other for other in fleets if other is not fleet]
        fleet.reachable_router_count = len(others)
        speaker = _Speaker(fleet, others, clock, every_s)
        fleet.outbox.on_ready = speaker.plan


class _Speaker:
    """Tells the other routers what one router places."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        others: list[fleet_lib.Fleet],
        clock: virtual_clock.VirtualClock,
        every_s: float,
    ):
        self.fleet = fleet
        self.others = others
        self.clock = clock
        self.every_s = every_s
        self.planned = False
        self.told_at = -1.0

    def plan(self) -> None:
        """Plans to tell what was placed: soon, but not too often."""
        if self.planned:
            return
        self.planned = True
        due = max(self.clock.now, self.told_at + self.every_s)
        self.clock.at(due, self._tell)

    def _tell(self) -> None:
        self.planned = False
        self.told_at = self.clock.now
        arrive = functools.partial(self._adopt, self.fleet.outbox.drain())
        self.clock.at(self.clock.now + _DELAY_S, arrive)

    def _adopt(self, notices: list[share_outbox.PlacementNotice]) -> None:
        for other in self.others:
            for notice in notices:
                other.apply_placement_notice(notice, self.clock.now)
