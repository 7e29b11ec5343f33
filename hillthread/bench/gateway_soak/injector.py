"""What all faults of a soak share: chance, subjects, and a note of each."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import time

from hillthread.bench.gateway_soak import evidence as evidence_lib
from hillthread.bench.gateway_soak import stage as stage_lib

__all__ = ["FAULT_S", "LAPSE_S", "Fault", "Injector"]

# How long most faults last.
FAULT_S = (0.4, 3.5)
# An entry of a crashed target stays this long.
LAPSE_S = 1.0

Fault = Callable[[], Awaitable[None]]


class Injector:
    """Chooses whom faults befall, and notes them.

    Attributes:
        stage: What they act on.
        random: Of the soak's seed.
    """

    def __init__(self, stage: stage_lib.Stage, seed: random.Random):
        self.stage = stage
        self.random = seed

    def between(self, bounds: tuple[float, float]) -> float:
        """Returns a figure within bounds."""
        return self.random.uniform(*bounds)

    @contextlib.contextmanager
    def noted(self, kind: str, *subjects: str) -> Iterator[None]:
        """Notes a disturbance as lasting for ever until it has ended."""
        found = self.stage.evidence.disturbances
        began_at = time.monotonic()
        lasting = [
            evidence_lib.Disturbance(kind, subject, began_at, float("inf"))
            for subject in subjects
        ]
        found += lasting
        try:
            yield
        finally:
            for each in lasting:
                found.remove(each)
                found.append(each._replace(ended_at=time.monotonic()))

    def host(self) -> stage_lib.SoakHost:
        """Returns any host."""
        return self.random.choice(self.stage.hosts)

    def target(self, service: str = "") -> stage_lib.LinkedTarget | None:
        """Returns a target that others of its service can stand in for."""
        services: dict[str, list[stage_lib.LinkedTarget]] = {}
        for target in self.stage.targets.values():
            if target.name not in self.stage.evidence.leaving:
                services.setdefault(target.service, []).append(target)
        found = [
            target
            for name, members in sorted(services.items())
            for target in members
            if len(members) > 1 and service in ("", name)
        ]
        return self.random.choice(found) if found else None
