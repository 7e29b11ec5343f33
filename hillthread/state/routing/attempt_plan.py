"""What one attempt of the gateway asks of a target."""

from __future__ import annotations

from typing import NamedTuple

from hillthread.state.config import objects

__all__ = ["AttemptPlan", "cache_scope"]


class AttemptPlan(NamedTuple):
    """One attempt, decided but not yet sent.

    Attributes:
        target: Where it goes; its name is the incarnation expected.
        tenant: Whose key the request carries; empty on public routes.
        seconds_left: Until nobody waits for the answer any more.
        priority: Class of the request, 0 first; None for plain services.
        model: The model asked for; empty for plain services.
        weights_version: Weights it must run on; None when not known.
        organisation: Within which cached prefixes may be shared.
        fetch_from: Address of a store to take cached prefixes from; empty
            for none.
        save_to: Address of a store to keep what was computed; empty for none.
        last_event_id: Of the last event relayed, when a stream goes on.
        start_by: Seconds on the clock; an answer that has not begun by
            then would begin on weights that are too old. None when they are
            not.
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
    start_by: float | None = None

    @property
    def cache_scope(self) -> str:
        """Within which cached prefixes are found again.

        It holds the weights version, so that nothing computed with other
        weights is ever found, on a target or in a store.
        """
        return cache_scope(self.organisation, self.model, self.weights_version)


def cache_scope(organisation: str, model: str, version: int | None) -> str:
    """Returns within which prefixes computed for a request are found again."""
    return f"{organisation}/{model}/{version}"
