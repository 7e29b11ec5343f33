"""Faults of the store itself."""

from __future__ import annotations

import anyio

from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.standin import platform_store

__all__ = ["StoreFaults"]

_STORE_SLOW_S = 0.3
# A store keeps records for minutes, a lease on orders lasts for seconds: one
# that holds is never forgotten, earlier ones are.
_KEPT_S = 4.0
_NO_FAULTS = platform_store.StoreFaults()


class StoreFaults:
    """Faults of the store.

    Attributes:
        injector: Chooses and notes.
        stage: What they act on.
    """

    def __init__(self, injector: injector_lib.Injector):
        self.injector = injector
        self.stage = injector.stage

    @property
    def kinds(self) -> tuple[injector_lib.Fault, ...]:
        """All of them."""
        return (
            self.store_fails,
            self.store_loses_answers,
            self.store_forgets,
        )

    async def store_fails(self) -> None:
        """The store refuses, falls silent, resets or is slow."""
        faults = self.stage.store.faults
        fault = self.injector.random.choice(
            (
                {"status": 503},
                {"status": 429},
                {"silent": True},
                {"reset": True},
                {"slow_s": _STORE_SLOW_S},
            )
        )
        with self.injector.noted("store_fails", "store"):
            for name, value in fault.items():
                setattr(faults, name, value)
            await anyio.sleep(self.injector.between(injector_lib.FAULT_S))
            for name in fault:
                setattr(faults, name, getattr(_NO_FAULTS, name))

    async def store_loses_answers(self) -> None:
        """Writes are done, some of them late, and not answered."""
        with self.injector.noted("store_loses_answers", "store"):
            self.stage.store.faults.lost_answers = self.injector.random.randint(
                1, 3
            )
            self.stage.store.faults.late_s = self.injector.random.choice(
                (0.0, 0.5)
            )
            await anyio.sleep(self.injector.between(injector_lib.FAULT_S))
            self.stage.store.faults.lost_answers = 0

    async def store_forgets(self) -> None:
        """All but the newest record of each key, and young ones, go."""
        with self.injector.noted("store_forgets", "store"):
            self.stage.store.drop_history(_KEPT_S)
