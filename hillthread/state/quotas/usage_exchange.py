"""What hosts tell each other of the use of quotas.

Each host hands the total that it has sent for an organisation to the host that
gathers in its data centre; that one adds up and tells all hosts the total of
its data centre. Totals only replace each other: a packet that is lost delays
what it told, one that comes twice changes nothing.

A sender whose totals were not heard before, or not for a while, is believed
only what it has sent since it last told: the rest was spent before, in part by
hosts that then earned a part of the quota for themselves.

An organisation far below its quota is told of only when what all have not told
may come to so much that it matters.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import hashlib
from typing import NamedTuple

__all__ = [
    "HOST_REPORT_INTERVAL_S",
    "MAX_TOTALS",
    "GROUP_REPORT_INTERVAL_S",
    "Urgency",
    "UsageExchange",
    "UsageNotice",
    "UsageTotal",
    "name_key",
]

# Hosts that are heard hand over, and gatherers tell, at least so often while
# there are quotas.
HOST_REPORT_INTERVAL_S = 0.3
GROUP_REPORT_INTERVAL_S = 0.12
# Who was not heard for so long is out of touch: three packets lost in a row.
# The sides of a cut both spend the whole quota until then.
_HOST_SILENT_S = 1.0
_GROUP_SILENT_S = 0.4
# Totals that one packet takes, of some 20 bytes.
MAX_TOTALS = 16
# Notices of other data centres that wait to be handed on; the oldest go first.
_MAX_WAITING = 16

# Returns how urgent it is to tell of an amount sent for an organisation, by its
# key and the number of those who tell; below 1 it is not due.
Urgency = Callable[[int, float, int], float]


@functools.cache
def name_key(name: str) -> int:
    """Returns what stands for an organisation or a host: 48 bits.

    That two of 2,200 organisations share one, and so a quota, is one case in
    100 million; of 32 bits it would be one in 1,800.
    """
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=6).digest()
    )


class UsageTotal(NamedTuple):
    """What was sent for an organisation.

    Attributes:
        key: Stands for the organisation.
        total: Units, since the sender's start; whole ones, which take a third
            less of a packet.
        recent: Units of these since the sender last told.
    """

    key: int
    total: int
    recent: int


class UsageNotice(NamedTuple):
    """What one host, or the hosts of one data centre, have sent.

    Attributes:
        origin: Stands for the host that tells.
        start: Stands for the start of its process.
        hosts: Hosts whose use it tells.
        totals: Of organisations for which anything is new.
    """

    origin: int
    start: int
    hosts: int
    totals: list[UsageTotal]


class _Totals:
    """What a sender has counted, and told of it.

    Attributes:
        counted: Units by organisation.
        untold: Units of these since it was last told of; only where there
            are any.
        told_at: Seconds, when anything was told.
    """

    def __init__(self):
        self.counted: dict[int, float] = {}
        self.untold: dict[int, float] = {}
        self.told_at = float("-inf")

    def add(self, key: int, amount: float) -> None:
        """Counts what was sent."""
        self.counted[key] = self.counted.get(key, 0.0) + amount
        self.untold[key] = self.untold.get(key, 0.0) + amount

    def due(self, urgency: Urgency, sharers: int) -> list[int]:
        """Returns the organisations to tell of, the most urgent first."""
        ranked = [
            (urgency(key, abs(amount), sharers), key)
            for key, amount in self.untold.items()
        ]
        ranked = [each for each in ranked if each[0] >= 1.0]
        ranked.sort(reverse=True)
        return [key for _, key in ranked[:MAX_TOTALS]]

    def tell(self, keys: list[int], now: float) -> list[UsageTotal]:
        """Returns totals, which count as told from now on."""
        totals = [
            UsageTotal(
                key, round(self.counted[key]), round(self.untold.pop(key))
            )
            for key in keys
        ]
        self.told_at = now
        return totals


class _Sender(NamedTuple):
    """A sender of totals, as it was last heard.

    Attributes:
        start: Of its process.
        heard_at: Seconds.
        hosts: Whose use it tells.
        totals: By organisation.
    """

    start: int
    heard_at: float
    hosts: int
    totals: dict[int, float]


class _Heard:
    """What several senders have told."""

    def __init__(self, silent_s: float):
        self.silent_s = silent_s
        self.senders: dict[int, _Sender] = {}

    def apply_notice(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Returns the units that a notice adds, by organisation."""
        before = self.senders.get(notice.origin)
        if before is None or not self._is_current(before, notice, now):
            before = _Sender(notice.start, now, notice.hosts, {})
        added = {}
        for key, total, recent in notice.totals:
            added[key] = total - before.totals.get(key, total - recent)
            before.totals[key] = total
        self.senders[notice.origin] = before._replace(
            heard_at=now, hosts=notice.hosts
        )
        return added

    def hosts(self, now: float) -> int:
        """Returns how many hosts are in touch, through all senders."""
        self._forget(now)
        return sum(sender.hosts for sender in self.senders.values())

    def _is_current(
        self, sender: _Sender, notice: UsageNotice, now: float
    ) -> bool:
        is_heard = now - sender.heard_at <= self.silent_s
        return is_heard and sender.start == notice.start

    def _forget(self, now: float) -> None:
        self.senders = {
            origin: sender
            for origin, sender in self.senders.items()
            if now - sender.heard_at <= self.silent_s
        }


class UsageExchange:
    """What one host tells and hears of the use of quotas.

    Attributes:
        origin: Stands for the host.
        start: Stands for the start of its process.
        urgency: Tells what is due.
    """

    def __init__(self, origin: int, start: int, urgency: Urgency):
        self.origin = origin
        self.start = start
        self.urgency = urgency
        self._own = _Totals()
        self._gathered = _Totals()
        self._members = _Heard(_HOST_SILENT_S)
        self._groups = _Heard(_GROUP_SILENT_S)
        self._waiting: list[UsageNotice] = []
        self._handed_to = 0
        self._handed: dict[int, float] = {}

    def add_usage(self, key: int, amount: float) -> None:
        """Counts what this host has sent, or gives back if negative."""
        self._own.add(key, amount)

    def reachable_hosts(self, now: float) -> int:
        """Returns how many hosts are in touch, this one included."""
        return max(1, self._groups.hosts(now) + self._gathers_for(now))

    def _gathers_for(self, now: float) -> int:
        """Returns how many hosts hand over to this one, itself included."""
        gathers_own = self._handed_to == self.origin
        return self._members.hosts(now) + gathers_own

    # To the host that gathers.

    def is_report_due(self, now: float, sharers: int) -> bool:
        """Returns whether the host that gathers is to be told.

        Args:
            now: Seconds.
            sharers: Hosts that hand over.
        """
        if now - self._own.told_at >= HOST_REPORT_INTERVAL_S:
            return True
        return bool(self._own.due(self.urgency, sharers))

    def report_to(
        self, gatherer: int, now: float, sharers: int
    ) -> UsageNotice | None:
        """Returns what the host that gathers is told; None if it is this one.

        Args:
            gatherer: Stands for that host.
            now: Seconds.
            sharers: Hosts that hand over.
        """
        if gatherer != self._handed_to:
            self._handed_to = gatherer
            self._handed.clear()
        if gatherer == self.origin:
            self._gather_own(now)
            return None
        totals = self._own.tell(self._own.due(self.urgency, sharers), now)
        for each in totals:
            handed = self._handed.get(each.key, 0.0)
            self._handed[each.key] = handed + each.recent
        return UsageNotice(self.origin, self.start, 1, totals)

    def _gather_own(self, now: float) -> None:
        for each in self._own.tell(list(self._own.untold), now):
            self._gathered.add(each.key, each.recent)

    # At the host that gathers.

    def gather(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Takes in what a host hands over; returns what it adds."""
        added = self._members.apply_notice(notice, now)
        for key, amount in added.items():
            self._gathered.add(key, amount)
        return added

    def queue_for_members(self, notice: UsageNotice) -> None:
        """Keeps what another data centre tells until it is handed on."""
        self._waiting.append(notice)
        del self._waiting[:-_MAX_WAITING]

    def pop_remote_notices(self) -> list[UsageNotice]:
        """Returns what other data centres told, to be handed on once."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def report_group(self, now: float, sharers: int) -> UsageNotice | None:
        """Returns what this data centre has sent, if it is due.

        Args:
            now: Seconds.
            sharers: Data centres that tell.
        """
        hosts = self._gathers_for(now)
        keys = self._gathered.due(self.urgency, sharers)
        is_beat = (
            hosts and now - self._gathered.told_at >= GROUP_REPORT_INTERVAL_S
        )
        if not keys and not is_beat:
            return None
        totals = self._gathered.tell(keys, now)
        return UsageNotice(self.origin, self.start, hosts, totals)

    # At all hosts.

    def apply_notice(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Takes in what a data centre tells.

        Returns:
            What others have sent, by organisation: what this host has handed
            over itself is in the total, and was counted when it was sent.
        """
        if notice.origin == self.origin:
            return {}
        added = self._groups.apply_notice(notice, now)
        if notice.origin == self._handed_to:
            for key, amount in added.items():
                added[key] = amount - self._returned(key, amount)
        return added

    def _returned(self, key: int, amount: float) -> float:
        """Returns how much of what was told is this host's own."""
        handed = self._handed.get(key, 0.0)
        own = max(0.0, min(handed, amount))
        self._handed[key] = handed - own
        return own
