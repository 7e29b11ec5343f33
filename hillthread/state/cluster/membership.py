"""Which hosts are alive, as one host judges by what it hears.

A host that was itself paused has heard nobody for a while and must not take
that for the others' loss: `tick` notices its own lateness and counts little of
it as silence. Some of it always counts, or a host that is late at each tick
would never judge another lost.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Member", "Membership"]

# Of the silence that is allowed: no more than this counts between two ticks.
# So who is silent is lost with the third tick of its silence at the latest.
_TICK_SHARE = 0.5


class Member(NamedTuple):
    """One other host.

    Attributes:
        host: Its name.
        data_centre: Where it runs.
        incarnation: Of its control process.
        position: Configuration position it told.
        heard_at: Seconds, when it was last heard.
    """

    host: str
    data_centre: str
    incarnation: str = ""
    position: int = -1
    heard_at: float = float("-inf")


class Membership:
    """All other hosts known.

    Attributes:
        suspect_s: Silence after which a host counts as lost.
        members: By host.
        changes: How often a host was lost or came back.
    """

    def __init__(self, suspect_s: float):
        self.suspect_s = suspect_s
        self.members: dict[str, Member] = {}
        self.change_count = 0
        self._alive: frozenset[str] = frozenset()
        self._ticked_at: float | None = None

    def add_host(self, host: str, data_centre: str) -> None:
        """Notes that a host exists, without having heard it."""
        if host not in self.members:
            self.members[host] = Member(host, data_centre)

    def note_contact(
        self,
        host: str,
        data_centre: str,
        incarnation: str,
        position: int,
        now: float,
    ) -> None:
        """Notes a sign of life."""
        self.members[host] = Member(
            host, data_centre, incarnation, position, now
        )

    def tick(self, now: float) -> bool:
        """Judges who is alive; returns whether that changed.

        Must be called at intervals well below `suspect_s`.
        """
        if self._ticked_at is not None:
            late_s = now - self._ticked_at - self.suspect_s * _TICK_SHARE
            if late_s > 0:
                self._forgive(late_s, now)
        self._ticked_at = now
        alive = frozenset(
            member.host
            for member in self.members.values()
            if now - member.heard_at <= self.suspect_s
        )
        changed = alive != self._alive
        self.change_count += len(alive ^ self._alive)
        self._alive = alive
        return changed

    def list_alive(self, data_centre: str | None = None) -> list[str]:
        """Returns the hosts judged alive, of one data centre or of all."""
        return sorted(
            host
            for host in self._alive
            if data_centre in (None, self.members[host].data_centre)
        )

    def _forgive(self, late_s: float, now: float) -> None:
        """Counts a pause of our own as time in which nobody could be heard.

        Who was heard after the pause, and before this tick, gets no more.
        """
        for host, member in self.members.items():
            self.members[host] = member._replace(
                heard_at=min(now, member.heard_at + late_s)
            )
