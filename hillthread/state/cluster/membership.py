"""Failure detector: which other hosts are alive, judged by their messages.

A host that was itself paused has received nothing for a while and must not
count the other hosts as lost. `tick` detects that it runs late and counts only
a part of the delay as silence. That part is never zero; otherwise a host whose
ticks are always late would never detect a loss.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Member", "Membership"]

# Silence that counts between two ticks is at most this share of the allowed
# silence. A silent host therefore counts as lost at the third tick at the
# latest.
_MAX_TICK_SHARE = 0.5


class Member(NamedTuple):
    """Another host.

    Attributes:
        host: Name of the host.
        data_centre: Data centre in which it runs.
        incarnation: Incarnation of its control process.
        position: Configuration position that it last reported.
        heard_at: Time of its last message, in seconds.
    """

    host: str
    data_centre: str
    incarnation: str = ""
    position: int = -1
    heard_at: float = float("-inf")


class Membership:
    """All other known hosts.

    Attributes:
        suspect_s: Silence after which a host counts as lost, in seconds.
        members: The hosts by name.
        change_count: How often a host was lost or came back.
    """

    def __init__(self, suspect_s: float):
        self.suspect_s = suspect_s
        self.members: dict[str, Member] = {}
        self.change_count = 0
        self._alive: frozenset[str] = frozenset()
        self._ticked_at: float | None = None

    def add_host(self, host: str, data_centre: str) -> None:
        """Adds a host from which no message was received yet."""
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
        """Records a message from a host."""
        self.members[host] = Member(
            host, data_centre, incarnation, position, now
        )

    def tick(self, now: float) -> bool:
        """Updates which hosts are alive; returns whether that changed.

        Must be called at intervals well below `suspect_s`.
        """
        if self._ticked_at is not None:
            late_s = now - self._ticked_at - self.suspect_s * _MAX_TICK_SHARE
            if late_s > 0:
                self._discount_pause(late_s, now)
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
        """Returns the hosts that are alive, of one data centre or of all."""
        return sorted(
            host
            for host in self._alive
            if data_centre in (None, self.members[host].data_centre)
        )

    def _discount_pause(self, late_s: float, now: float) -> None:
        """Discounts a pause of this host, in which it received no messages.

        A host whose message was processed after the pause, but before this
        tick, gets no additional time.
        """
        for host, member in self.members.items():
            self.members[host] = member._replace(
                heard_at=min(now, member.heard_at + late_s)
            )
