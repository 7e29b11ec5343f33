"""The faults of a soak: injected from outside, in series and overlapping."""

from __future__ import annotations

import random
import time

import anyio
import anyio.abc

from hillthread import errors
from hillthread.bench.gateway_soak import deadly_requests
from hillthread.bench.gateway_soak import host_faults
from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.bench.gateway_soak import link_faults
from hillthread.bench.gateway_soak import operator_changes
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.bench.gateway_soak import store_faults
from hillthread.bench.gateway_soak import target_faults

__all__ = ["Disturber"]

# Between faults: of seeds that crowd them, and of seeds that leave hosts in
# touch for long enough that bounds in seconds are judged.
_PACES_S = ((0.1, 1.2), (0.3, 3.0))
# Seeds that do without some kinds see more of what the others bring about.
_SOME_KINDS_SHARE = 0.5
# Now and then some begin at once, or one comes again and again.
_AT_ONCE_SHARE = 0.1
_SERIES_SHARE = 0.15
_MOST_TOGETHER = 4
_SERIES_PAUSE_S = (0.0, 0.6)


class Disturber:
    """Injects faults.

    Attributes:
        injector: Chooses and notes.
        tasks: Where faults run side by side.
        faults: All kinds, by name.
        pace_s: Shortest and longest time between two.
        counts: How many of each began.
    """

    def __init__(
        self,
        stage: stage_lib.Stage,
        seed: random.Random,
        tasks: anyio.abc.TaskGroup,
        only: tuple[str, ...] = (),
        without: tuple[str, ...] = (),
    ):
        self.injector = injector_lib.Injector(stage, seed)
        self.tasks = tasks
        groups = (
            host_faults.HostFaults(self.injector),
            store_faults.StoreFaults(self.injector),
            link_faults.LinkFaults(self.injector),
            target_faults.TargetFaults(self.injector),
            operator_changes.OperatorChanges(self.injector),
            deadly_requests.DeadlyRequests(self.injector),
        )
        self.faults = {
            kind.__name__: kind
            for group in groups
            for kind in group.kinds
            if kind.__name__ not in without
        }
        self.pace_s = _PACES_S[0]
        if only:
            self.faults = {name: self._fault(name) for name in only}
        elif seed.random() < _SOME_KINDS_SHARE:
            self._leave_out()
        self.counts: dict[str, int] = {}

    def _leave_out(self) -> None:
        """Keeps half of the kinds, and lets them come at any pace."""
        names = sorted(self.faults)
        kept = self.injector.random.sample(names, len(names) // 2)
        self.faults = {name: self.faults[name] for name in kept}
        self.pace_s = self.injector.random.choice(_PACES_S)

    def _fault(self, name: str) -> injector_lib.Fault:
        if name not in self.faults:
            raise errors.HillthreadError(
                f"There is no fault {name}.",
                f"Choose from {', '.join(sorted(self.faults))}.",
            )
        return self.faults[name]

    async def run(self, seconds: float) -> None:
        """Starts faults for some seconds; they may last a little longer."""
        until = time.monotonic() + seconds
        names = sorted(self.faults)
        while time.monotonic() < until:
            await anyio.sleep(self.injector.between(self.pace_s))
            name = self.injector.random.choice(names)
            chance = self.injector.random.random()
            together = self.injector.random.randint(2, _MOST_TOGETHER)
            if chance < _AT_ONCE_SHARE:
                for each in self.injector.random.choices(names, k=together):
                    self._start(each)
            elif chance < _AT_ONCE_SHARE + _SERIES_SHARE:
                self.tasks.start_soon(self._repeat, name, together)
            else:
                self._start(name)

    def _start(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
        self.tasks.start_soon(self.faults[name])

    async def _repeat(self, name: str, times: int) -> None:
        for _ in range(times):
            self._start(name)
            await anyio.sleep(self.injector.between(_SERIES_PAUSE_S))
