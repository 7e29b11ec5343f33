"""The engines of a data centre, and the ones that one host watches."""

from __future__ import annotations

from hillthread import clock
from hillthread.coordination import configuration_keeper
from hillthread.protocol import messages
from hillthread.state.cluster import membership as membership_lib
from hillthread.state.config import objects
from hillthread.state.routing import placement
from hillthread.state.routing import warmth

__all__ = ["EngineRoster"]

# Below any configuration position, so that the first call builds the list.
_NO_POSITION = -2


class EngineRoster:
    """The configured engines, and their distribution among the live hosts.

    Attributes:
        epochs: The last reported epoch of each engine, by name.
        seen_at: Time of the last load report, in monotonic seconds, by name.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        keeper: configuration_keeper.ConfigurationKeeper,
        members: membership_lib.Membership,
    ):
        self.host = host
        self.data_centre = data_centre
        self.keeper = keeper
        self.members = members
        self.epochs: dict[str, warmth.CacheEpoch] = {}
        self.seen_at: dict[str, float] = {}
        self._engines: list[objects.Target] = []
        self._engines_position = _NO_POSITION
        self._watched: list[objects.Target] = []
        self._watched_key: tuple[int, tuple[str, ...]] | None = None

    def list_all(self) -> list[objects.Target]:
        """Returns all engines of the data centre."""
        if self._engines_position != self.keeper.position:
            self._engines_position = self.keeper.position
            self._engines = [
                value
                for value in self.keeper.configuration.decoded.values()
                if isinstance(value, objects.Target)
                and value.service == "engine"
                and value.data_centre == self.data_centre
            ]
        return self._engines

    def list_watched(self) -> list[objects.Target]:
        """Returns the engines that this host watches.

        The list is cached until the configuration or the live hosts change:
        ranking all targets at each poll would cost more than reading them.
        """
        alive = self.members.list_alive(self.data_centre)
        hosts = sorted([*alive, self.host])
        key = (self.keeper.position, tuple(hosts))
        if self._watched_key != key:
            self._watched_key = key
            self._watched = [
                target
                for target in self.list_all()
                if self._ranks_first(target, hosts)
            ]
        return self._watched

    def apply_loads(self, message: messages.Loads) -> None:
        """Records the epochs in load reports."""
        now = clock.now()
        for load in message.loads:
            self.seen_at[load.target] = now
            self.epochs[load.target] = warmth.CacheEpoch(
                load.incarnation, load.weights_version
            )

    def _ranks_first(self, target: objects.Target, hosts: list[str]) -> bool:
        order = placement.rank_by_rendezvous(target.name.encode(), hosts)
        return order[0] == self.host
