"""The request that one attempt of the gateway sends to a target."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.state.config import objects

__all__ = ["AttemptPlan", "cache_scope"]


class AttemptPlan(NamedTuple):
    """An attempt that has been decided but not yet sent.

    Attributes:
        target: Receives the attempt; its name is the expected incarnation.
        tenant: Tenant whose key the request carries; empty on public routes.
        seconds_left: Time until the caller stops waiting for the answer.
        priority: Class of the request, 0 first; None for plain services.
        model: Requested model; empty for plain services.
        weights_version: Weights the attempt must run on; None when unknown.
        organisation: Requests of one organisation may share cached prefixes.
        fetch_from: Address of the store to read cached prefixes from; empty
            for none.
        save_to: Address of the store to write computed prefixes to; empty
            for none.
        last_event_id: Number of the last relayed event when a stream is
            resumed; None otherwise.
        release: Release of the target's software as listed when the attempt was
            planned; empty if not listed.
        start_by: Clock time in seconds by which the answer must begin; later
            the target's weights would be too old. None when there is no such
            limit.
    """

    target: objects.Target
    tenant: str
    seconds_left: float
    priority: int | None = None
    model: str = ""
    weights_version: int | None = None
    organisation: str = ""
    fetch_from: str = ""
    save_to: str = ""
    last_event_id: int | None = None
    release: str = ""
    start_by: float | None = None

    @property
    def cache_scope(self) -> str:
        """Scope within which cached prefixes are looked up.

        It contains the weights version, so that no target or store returns a
        prefix that was computed with other weights.
        """
        return cache_scope(self.organisation, self.model, self.weights_version)


def cache_scope(organisation: str, model: str, version: int | None) -> str:
    """Returns the scope in which the prefixes of a request are cached."""
    return f"{organisation}/{model}/{version}"
