"""Leases as log records, without synchronised clocks.

The log decides which host holds a lease: an acquisition counts only if it names
the last lease record that counted. Each host measures time by its own clock. A
holder acts for less than the time to live after it *began* to append its
record. A contender waits for the whole time to live after it *read* the last
record. A former holder therefore stops before a new one starts, however late
either of them was. The offset of the acquisition is the fencing number.

A log that is restored from an older copy begins a new era. Earlier acquisitions
no longer count, since the copy may lack a later one. Records name their era, so
that a late append from a former era is recognised.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from hillthread import errors
from hillthread.state.config import payloads

__all__ = [
    "Acquire",
    "Contender",
    "LeaseState",
    "Release",
    "Renew",
    "decode_lease",
]

# Share of the time to live for which a holder acts; the rest allows for clocks
# that run at different rates.
_ACT_SHARE = 0.75
# Appends of this host whose start time is stored until they are read back.
_MAX_UNREAD_APPENDS = 64
# Stands for the holder when no host holds the lease.
NO_HOLDER = ""
# Stands for the holder when the records that would name it are missing.
UNKNOWN_HOLDER = "?"


class Acquire(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field="op",
    tag="acquire",
):
    """Requests the lease.

    Attributes:
        holder: Host and incarnation of the requester.
        after: Offset of the last record that counted, as far as the requester
            has read; -1 for none.
        number: Number of the requester's append.
        era: Era of the log as known to the requester; None for a log without
            eras.
    """

    holder: str
    after: int
    number: int = 0
    era: int | None = None


class Renew(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field="op",
    tag="renew",
):
    """Extends the lease.

    Attributes:
        holder: Host and incarnation of the holder.
        fencing: Offset of its acquisition.
        number: Number of the holder's append.
        era: Era of the log as known to the holder; None for a log without
            eras.
    """

    holder: str
    fencing: int
    number: int = 0
    era: int | None = None


class Release(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field="op",
    tag="release",
):
    """Ends the lease before it expires.

    Attributes:
        holder: Host and incarnation of the holder.
        fencing: Offset of its acquisition.
        era: Era of the log as known to the holder; None for a log without
            eras.
    """

    holder: str
    fencing: int
    era: int | None = None


LeaseRecord: TypeAlias = Acquire | Renew | Release
_decoder = msgspec.json.Decoder(LeaseRecord)


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the encoded record."""
    return msgspec.json.encode(record)


def decode_lease(payload: bytes) -> LeaseRecord:
    """Returns the lease record in a payload.

    Raises:
        ConfigurationError: The payload is unreadable.
    """
    return payloads.decode_payload(_decoder, payload, "lease")


class LeaseState:
    """State of the lease as replayed from the log, equal for every reader.

    Attributes:
        ordered: Whether a record is appended only if its author has read all
            records before it, so that every acquisition counts.
        position: Offset of the last record read; -1 before the first.
        holder: The holder, or empty.
        fencing: Offset of the acquisition; -1 for none.
        last_counted: Offset of the last record that counted; -1 for none.
        era: Era of the log; None for a log without eras. Records that name
            another era do not count.
        is_restored: Whether a record of another era was read.
    """

    def __init__(self, ordered: bool = False):
        self.ordered = ordered
        self.era: int | None = None
        self.is_restored = False
        self.position = -1
        self.holder = NO_HOLDER
        self.fencing = -1
        self.last_counted = -1

    def apply(self, offset: int, payload: bytes) -> bool:
        """Applies a record and returns whether it counted."""
        if offset <= self.position:
            return False
        starts_late = self.position < 0 and offset > 0
        starts_late = starts_late or self.holder == UNKNOWN_HOLDER
        self.position = offset
        try:
            record = decode_lease(payload)
        except errors.ConfigurationError:
            return False
        if None not in (record.era, self.era) and record.era != self.era:
            self.is_restored = True
            return False
        if starts_late:
            # Older records were removed; this one was valid after them.
            self._adopt_record(offset, record)
            return True
        match record:
            case Acquire() if self.ordered or record.after == self.last_counted:
                self.holder = record.holder
                self.fencing = offset
            case Renew() if (record.holder, record.fencing) == (
                self.holder,
                self.fencing,
            ):
                pass
            case Release() if (record.holder, record.fencing) == (
                self.holder,
                self.fencing,
            ):
                self.holder = NO_HOLDER
            case _:
                return False
        self.last_counted = offset
        return True

    def restart_at(self, first: int) -> None:
        """Resets the state, because the log no longer has the next records.

        Args:
            first: Offset of the first record in the log.
        """
        self.position = first - 1
        self.holder = UNKNOWN_HOLDER
        self.fencing = -1
        self.last_counted = -1

    def start_era(self, era: int | None) -> None:
        """Resets the state, because the log was restored."""
        self.era = era
        self.position = -1
        self.holder = NO_HOLDER
        self.fencing = -1
        self.last_counted = -1

    def _adopt_record(self, offset: int, record: LeaseRecord) -> None:
        self.holder = record.holder
        self.last_counted = offset
        match record:
            case Acquire():
                self.fencing = offset
            case Renew(fencing=fencing):
                self.fencing = fencing
            case Release(fencing=fencing):
                self.fencing = fencing
                self.holder = NO_HOLDER


class Contender:
    """One host's view of a lease: when it may act and when it may contend.

    Attributes:
        name: Host and incarnation.
        ttl_s: Time to live of the lease.
        act_s: Time for which a holder may act, from the start of its append;
            shorter than `ttl_s`.
        handover_pause_s: Least time between the actions of two holders, also
            after the first one has released the lease.
        state: State of the lease as read from the log.
    """

    def __init__(
        self,
        name: str,
        ttl_s: float,
        act_s: float | None = None,
        ordered: bool = False,
        handover_pause_s: float = 0.0,
    ):
        self.name = name
        self.ttl_s = ttl_s
        self.act_s = ttl_s * _ACT_SHARE if act_s is None else act_s
        self.handover_pause_s = handover_pause_s
        self.state = LeaseState(ordered)
        self._last_read_at: float | None = None
        self._append_count = 0
        self._appends_began_at: dict[int, float] = {}
        self._may_act_until = float("-inf")
        self._contend_after = float("-inf")
        self._has_seen_restoration = False

    def begin_append(self, now: float) -> LeaseRecord:
        """Returns the record to append now: a renewal or an acquisition."""
        self._append_count += 1
        number = self._append_count
        self._appends_began_at[number] = now
        self._appends_began_at.pop(number - _MAX_UNREAD_APPENDS, None)
        if self.state.holder == self.name:
            fencing = self.state.fencing
            return Renew(
                holder=self.name,
                fencing=fencing,
                number=number,
                era=self.state.era,
            )
        return Acquire(
            holder=self.name,
            after=self.state.last_counted,
            number=number,
            era=self.state.era,
        )

    def read(self, offset: int, payload: bytes, now: float) -> None:
        """Applies a record of the log that was read at `now`.

        A record of this host counts from the start of *its* append. A later
        append that is still in progress must not extend it.
        """
        if not self.state.apply(offset, payload):
            if self.state.is_restored and not self._has_seen_restoration:
                # This process started after the restoration and cannot know
                # which host acquired the lease in the lost part of the log.
                self._has_seen_restoration = True
                self._contend_after = now + self.ttl_s
            return
        self._last_read_at = now
        if self.state.holder != self.name:
            self._may_act_until = float("-inf")
            return
        began_at = self._appends_began_at.get(decode_lease(payload).number)
        if began_at is not None:
            self._may_act_until = began_at + self.act_s

    def note_caught_up(self, now: float) -> None:
        """Records that the log was read to its end, even if it is empty."""
        if self._last_read_at is None:
            self._last_read_at = now

    def restart_at(self, first: int) -> None:
        """Resets the state, because the log no longer has the next records.

        This host stops acting at once. Another host that acquired the lease by
        a lost record may act until that lease expires.
        """
        self.state.restart_at(first)
        self._may_act_until = float("-inf")
        self._last_read_at = None

    def start_era(self, era: int, now: float) -> None:
        """Starts to follow a log that was restored.

        A host may not contend before any lost acquisition must have expired.
        The exception is the holder, since no other host can have acquired the
        lease meanwhile.
        """
        holds = self.may_act(now)
        self.state.start_era(era)
        self._may_act_until = float("-inf")
        self._last_read_at = None
        self._has_seen_restoration = True
        self._contend_after = now if holds else now + self.ttl_s

    def set_era(self, era: int | None) -> None:
        """Sets the era of the log before the first record is read."""
        self.state.start_era(era)

    def resign(self) -> None:
        """Stops acting as the holder.

        A host that resigns because another one holds the lease must not contend
        before that lease can have expired; this method does not prevent it.
        """
        self._may_act_until = float("-inf")
        self.state.holder = NO_HOLDER

    def may_act(self, now: float) -> bool:
        """Returns whether this host holds the lease now.

        To be called right before each action, so that a process that was paused
        detects that its lease has expired.
        """
        return self.state.holder == self.name and now < self._may_act_until

    def may_contend(self, now: float) -> bool:
        """Returns whether an acquisition may be appended."""
        return self._last_read_at is not None and now >= self.contend_at

    @property
    def contend_at(self) -> float:
        """Earliest time of an acquisition; valid once the log was read."""
        return max(self._contend_after, self._lapses_at)

    @property
    def _lapses_at(self) -> float:
        """Time at which the holder has certainly stopped acting."""
        if self.state.holder == self.name:
            return self._may_act_until
        if self._last_read_at is None:
            return float("-inf")
        if self.state.holder != NO_HOLDER:
            return self._last_read_at + self.ttl_s
        if self.state.last_counted < 0:
            return float("-inf")  # no host has ever held the lease
        return self._last_read_at + self.handover_pause_s

    def should_renew(self, now: float) -> bool:
        """Returns whether a renewal is due."""
        due = self._may_act_until - self.act_s / 2
        return self.may_act(now) and now >= due
