"""What the operator changes while faults go on."""

from __future__ import annotations

import anyio

from hillthread.bench.gateway_soak import injector as injector_lib

__all__ = ["OperatorChanges"]

_VERSIONS = (1, 4)
_NAMING_PAUSE_S = (0.2, 4.0)
# Of the quota at the start, with each time that requests may take.
_QUOTA_SHARES = {2800: 0.5, 3000: 1.0, 3200: 2.0}


class OperatorChanges:
    """Changes of configuration, keys and weights.

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
            self.configuration_changes,
            self.key_changes,
            self.weights_named,
        )

    async def configuration_changes(self) -> None:
        """A version comes that changes quotas, and the time of requests."""
        operator = self.stage.operator
        operator.timeout_ms = self.injector.random.choice((2800, 3000, 3200))
        self.stage.set_quotas(_QUOTA_SHARES[operator.timeout_ms])
        operator.configure()

    async def key_changes(self) -> None:
        """A tenant gets a new key, and a little later loses its oldest."""
        tenant = self.injector.random.choice(self.stage.operator.tenants)
        self.stage.issue_key(tenant)
        self.stage.operator.configure()
        await anyio.sleep(self.stage.evidence.bounds.configuration_s)
        if len(tenant.keys) > 1:
            self.stage.withdraw_key(tenant)
            self.stage.operator.configure()

    async def weights_named(self) -> None:
        """Newer weights are named, often several in quick succession."""
        for _ in range(self.injector.random.randint(*_VERSIONS)):
            self.stage.name_weights()
            await anyio.sleep(self.injector.between(_NAMING_PAUSE_S))
