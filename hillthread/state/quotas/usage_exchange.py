"""Exchange of quota usage between hosts.

Each host reports the total it has sent for a tenant to the gatherer of its data
centre, which is one of its hosts. The gatherer adds up the totals and reports
the total of its group, the hosts of its data centre, to all hosts. Totals
replace each other: a lost packet only delays a report, and a duplicate changes
nothing.

From a sender that is new, or has been silent for too long, only the usage since
its previous report is counted. Earlier usage has been admitted already, in part
by hosts that were out of contact and used a share of the quota of their own.

While a tenant is far below its quota, its usage is reported only when the
unreported usage of all hosts could become significant.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import hashlib
from typing import NamedTuple

__all__ = [
    "GROUP_REPORT_INTERVAL_S",
    "HOST_REPORT_INTERVAL_S",
    "MAX_TOTALS",
    "Urgency",
    "UsageExchange",
    "UsageNotice",
    "UsageTotal",
    "name_key",
]

# Maximum intervals between reports of hosts and of gatherers while there are
# quotas or target limits.
HOST_REPORT_INTERVAL_S = 0.3
GROUP_REPORT_INTERVAL_S = 0.12
# Silence after which a sender counts as unreachable: three lost packets in a
# row. Until then each side of a network partition uses the whole quota.
_HOST_TIMEOUT_S = 1.0
_GROUP_TIMEOUT_S = 0.4
# Maximum number of totals in a packet, of about 20 bytes each.
MAX_TOTALS = 16
# Maximum number of notices of other data centres that wait to be forwarded; the
# oldest are dropped first.
_MAX_QUEUED_NOTICES = 16

# Returns the urgency of a report, given the key of a tenant or of a target
# limit, its unreported amount and the number of reporters. From 1 on it is due.
Urgency = Callable[[int, float, int], float]


@functools.cache
def name_key(name: str) -> int:
    """Returns the key of a tenant or host, a hash of 48 bits.

    Tenants with the same key would share a quota. The probability of a
    collision among 2,200 tenants is 1 in 100 million; with 32 bits it would be
    1 in 1,800.
    """
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=6).digest()
    )


class UsageTotal(NamedTuple):
    """Total usage of a tenant or a target limit at one sender.

    Attributes:
        key: Key of the tenant or the target limit.
        total: Units since the sender's process started, rounded to whole units,
            which take a third less space in a packet.
        recent: The part of the total since the sender's previous report.
    """

    key: int
    total: int
    recent: int


class UsageNotice(NamedTuple):
    """Report of the usage of one host or one data centre.

    Attributes:
        origin: Key of the host that reports.
        incarnation: Identifies the process of that host.
        host_count: Number of hosts whose usage is included.
        totals: Totals of tenants and target limits with unreported usage.
    """

    origin: int
    incarnation: int
    host_count: int
    totals: list[UsageTotal]


class _UsageCounters:
    """Counts usage, and what of it has been reported.

    Attributes:
        counted: Units by key.
        unreported: Units since the previous report, by key; a key without
            unreported usage is absent.
        reported_at: Time of the last report in seconds.
    """

    def __init__(self):
        self.counted: dict[int, float] = {}
        self.unreported: dict[int, float] = {}
        self.reported_at = float("-inf")

    def add(self, key: int, amount: float) -> None:
        """Counts usage; a negative amount is a refund."""
        self.counted[key] = self.counted.get(key, 0.0) + amount
        self.unreported[key] = self.unreported.get(key, 0.0) + amount

    def due(self, urgency: Urgency, reporters: int) -> list[int]:
        """Returns the keys whose reports are due, the most urgent first."""
        ranked = [
            (urgency(key, abs(amount), reporters), key)
            for key, amount in self.unreported.items()
        ]
        ranked = [each for each in ranked if each[0] >= 1.0]
        ranked.sort(reverse=True)
        return [key for _, key in ranked[:MAX_TOTALS]]

    def report(self, keys: list[int], now: float) -> list[UsageTotal]:
        """Returns totals and marks them as reported."""
        totals = [
            UsageTotal(
                key, round(self.counted[key]), round(self.unreported.pop(key))
            )
            for key in keys
        ]
        self.reported_at = now
        return totals


class _Sender(NamedTuple):
    """Last known state of a sender of totals.

    Attributes:
        incarnation: Identifies its process.
        received_at: Time of its last notice in seconds.
        host_count: Number of hosts whose usage it reports.
        totals: Last totals by key.
    """

    incarnation: int
    received_at: float
    host_count: int
    totals: dict[int, float]


class _SenderTotals:
    """Totals that were received from several senders."""

    def __init__(self, timeout_s: float):
        self.timeout_s = timeout_s
        self.senders: dict[int, _Sender] = {}

    def apply_notice(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Stores a notice and returns the usage that it adds, by key."""
        previous = self.senders.get(notice.origin)
        if previous is None or not self._is_current(previous, notice, now):
            previous = _Sender(notice.incarnation, now, notice.host_count, {})
        added = {}
        for key, total, recent in notice.totals:
            added[key] = total - previous.totals.get(key, total - recent)
            previous.totals[key] = total
        self.senders[notice.origin] = previous._replace(
            received_at=now, host_count=notice.host_count
        )
        return added

    def host_count(self, now: float) -> int:
        """Returns how many hosts are reachable through all senders."""
        self._drop_silent(now)
        return sum(sender.host_count for sender in self.senders.values())

    def _is_current(
        self, sender: _Sender, notice: UsageNotice, now: float
    ) -> bool:
        is_recent = now - sender.received_at <= self.timeout_s
        return is_recent and sender.incarnation == notice.incarnation

    def _drop_silent(self, now: float) -> None:
        self.senders = {
            origin: sender
            for origin, sender in self.senders.items()
            if now - sender.received_at <= self.timeout_s
        }


class UsageExchange:
    """Sends and receives quota usage on one host.

    Attributes:
        origin: Key of this host.
        incarnation: Identifies the process of this host.
        urgency: Returns the urgency of a report; from 1 on it is due.
    """

    def __init__(self, origin: int, incarnation: int, urgency: Urgency):
        self.origin = origin
        self.incarnation = incarnation
        self.urgency = urgency
        self._own_usage = _UsageCounters()
        self._group_usage = _UsageCounters()
        self._from_members = _SenderTotals(_HOST_TIMEOUT_S)
        self._from_groups = _SenderTotals(_GROUP_TIMEOUT_S)
        self._queued_notices: list[UsageNotice] = []
        self._gatherer = 0
        # Own usage that group reports of the gatherer do not include yet.
        self._unconfirmed: dict[int, float] = {}

    def add_usage(self, key: int, amount: float) -> None:
        """Counts usage of this host; a negative amount is a refund."""
        self._own_usage.add(key, amount)

    def reachable_hosts(self, now: float) -> int:
        """Returns how many hosts are reachable, including this one."""
        return max(1, self._from_groups.host_count(now) + self._group_size(now))

    def _group_size(self, now: float) -> int:
        """Returns how many hosts report to this one, including itself."""
        gathers_own = self._gatherer == self.origin
        return self._from_members.host_count(now) + gathers_own

    # Reports to the gatherer.

    def is_report_due(self, now: float, reporters: int) -> bool:
        """Returns whether a report to the gatherer is due.

        Args:
            now: Seconds.
            reporters: Number of hosts that report.
        """
        if now - self._own_usage.reported_at >= HOST_REPORT_INTERVAL_S:
            return True
        return bool(self._own_usage.due(self.urgency, reporters))

    def report_to(
        self, gatherer: int, now: float, reporters: int
    ) -> UsageNotice | None:
        """Returns the report to the gatherer; None if it is this host.

        Args:
            gatherer: Key of the gatherer.
            now: Seconds.
            reporters: Number of hosts that report.
        """
        if gatherer != self._gatherer:
            self._gatherer = gatherer
            self._unconfirmed.clear()
        if gatherer == self.origin:
            self._gather_own(now)
            return None
        totals = self._own_usage.report(
            self._own_usage.due(self.urgency, reporters), now
        )
        for each in totals:
            unconfirmed = self._unconfirmed.get(each.key, 0.0)
            self._unconfirmed[each.key] = unconfirmed + each.recent
        return UsageNotice(self.origin, self.incarnation, 1, totals)

    def _gather_own(self, now: float) -> None:
        for each in self._own_usage.report(
            list(self._own_usage.unreported), now
        ):
            self._group_usage.add(each.key, each.recent)

    # On the gatherer.

    def gather(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Adds the report of a host; returns the usage that it adds."""
        added = self._from_members.apply_notice(notice, now)
        for key, amount in added.items():
            self._group_usage.add(key, amount)
        return added

    def queue_for_members(self, notice: UsageNotice) -> None:
        """Queues a notice of another data centre for the hosts of this one."""
        self._queued_notices.append(notice)
        del self._queued_notices[:-_MAX_QUEUED_NOTICES]

    def pop_remote_notices(self) -> list[UsageNotice]:
        """Returns and removes the queued notices of other data centres."""
        queued_notices, self._queued_notices = self._queued_notices, []
        return queued_notices

    def report_group(self, now: float, reporters: int) -> UsageNotice | None:
        """Returns the report of this data centre, or None if it is not due.

        Args:
            now: Seconds.
            reporters: Number of data centres that report.
        """
        host_count = self._group_size(now)
        keys = self._group_usage.due(self.urgency, reporters)
        is_heartbeat_due = (
            host_count
            and now - self._group_usage.reported_at >= GROUP_REPORT_INTERVAL_S
        )
        if not keys and not is_heartbeat_due:
            return None
        totals = self._group_usage.report(keys, now)
        return UsageNotice(self.origin, self.incarnation, host_count, totals)

    # On all hosts.

    def apply_notice(self, notice: UsageNotice, now: float) -> dict[int, float]:
        """Applies the report of a data centre.

        Returns:
            Usage of other hosts by key. The totals include what this host has
            reported itself; that was counted when it was sent and is deducted.
        """
        if notice.origin == self.origin:
            return {}
        added = self._from_groups.apply_notice(notice, now)
        if notice.origin == self._gatherer:
            for key, amount in added.items():
                added[key] = amount - self._confirm_own(key, amount)
        return added

    def _confirm_own(self, key: int, amount: float) -> float:
        """Returns how much of an amount is this host's own usage."""
        unconfirmed = self._unconfirmed.get(key, 0.0)
        own = max(0.0, min(unconfirmed, amount))
        self._unconfirmed[key] = unconfirmed - own
        return own
