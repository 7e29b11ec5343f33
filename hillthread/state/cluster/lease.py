"""Leases as log records: who may give orders, without trusted clocks.

The log decides who holds a lease; an acquisition counts only if it names the
last lease record that counted. Time is each host's own: a holder acts for less
than the time to live after it *began* to append, a contender waits the whole
time to live after it *read* the last record. So a former holder has stopped
before a new one begins, however late either was. The offset of the acquisition
is the fencing number.

A log that is restored from an older copy begins an era. What was acquired
before counts no more, since the copy may lack a later acquisition, and an
append of the former era that is done late names that era.
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

# A holder acts for this part of the time to live; the rest covers clocks that
# run at different rates.
_ACT_SHARE = 0.75
# Own appends whose time of sending is remembered until they are read back.
_MAX_UNREAD = 64
# The holder of a lease that nobody holds.
NO_HOLDER = ""
# Somebody may hold it: the records that told were not read.
UNKNOWN_HOLDER = "?"


class Acquire(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field="op",
    tag="acquire",
):
    """Asks for the lease.

    Attributes:
        holder: Host and incarnation.
        after: Offset of the last record that counted, as the asker read it;
            -1 for none.
        number: The asker's count of its records.
        era: Of the log, as the asker knew it; None for a log without eras.
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
    """Prolongs the lease.

    Attributes:
        holder: Host and incarnation.
        fencing: Offset of its acquisition.
        number: The holder's count of its records.
        era: Of the log, as the holder knew it; None for a log without eras.
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
    """Gives the lease back before its time.

    Attributes:
        holder: Host and incarnation.
        fencing: Offset of its acquisition.
        era: Of the log, as the holder knew it; None for a log without eras.
    """

    holder: str
    fencing: int
    era: int | None = None


LeaseRecord: TypeAlias = Acquire | Renew | Release
_decoder = msgspec.json.Decoder(LeaseRecord)


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the record's bytes."""
    return msgspec.json.encode(record)


def decode_lease(payload: bytes) -> LeaseRecord:
    """Returns the lease record in a payload.

    Raises:
        ConfigurationError: It is unreadable.
    """
    return payloads.decode_payload(_decoder, payload, "lease")


class LeaseState:
    """The lease as replayed from the log, the same for every reader.

    Attributes:
        ordered: Each record was appended only where its author had read all
            before it, so that every acquisition counts.
        position: Offset of the last record read; -1 before the first.
        holder: Who holds it, or empty.
        fencing: Offset of the acquisition; -1 for none.
        last: Offset of the last record that counted; -1 for none.
        era: Of the log; None for a log without eras. Records that name
            another one do not count.
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
        """Applies a record; returns whether it counted."""
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
            # Older records are no longer kept; this one followed from them.
            self._adopt(offset, record)
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
        """Forgets what was read, for the records that follow it are gone.

        Args:
            first: Offset of the first record kept.
        """
        self.position = first - 1
        self.holder = UNKNOWN_HOLDER
        self.fencing = -1
        self.last_counted = -1

    def start_era(self, era: int | None) -> None:
        """Forgets what was read, for the log was restored."""
        self.era = era
        self.position = -1
        self.holder = NO_HOLDER
        self.fencing = -1
        self.last_counted = -1

    def _adopt(self, offset: int, record: LeaseRecord) -> None:
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
    """One host's part in a lease: when it may act and when contend.

    Attributes:
        name: Host and incarnation.
        ttl_s: Time to live of the lease.
        act_s: How long after it began to append a holder may act; shorter
            than `ttl_s`.
        pause_s: Least time between the acts of two holders, also after the
            first one has released it.
        state: As read from the log.
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
        self._read_at: float | None = None
        self._number = 0
        self._began_at: dict[int, float] = {}
        self._acts_until = float("-inf")
        self._contend_after = float("-inf")
        self._knows_restoration = False

    def begin_append(self, now: float) -> LeaseRecord:
        """Returns the record to append now: a renewal, or an acquisition."""
        self._number += 1
        number = self._number
        self._began_at[number] = now
        self._began_at.pop(number - _MAX_UNREAD, None)
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
        """Applies a record of the log, read at `now`.

        An own record counts from when *it* was begun; a later one that is
        still under way must not lengthen it.
        """
        if not self.state.apply(offset, payload):
            if self.state.is_restored and not self._knows_restoration:
                # This process began after the restoration: it cannot know who
                # had acquired the lease in the part that was lost.
                self._knows_restoration = True
                self._contend_after = now + self.ttl_s
            return
        self._read_at = now
        if self.state.holder != self.name:
            self._acts_until = float("-inf")
            return
        began_at = self._began_at.get(decode_lease(payload).number)
        if began_at is not None:
            self._acts_until = began_at + self.act_s

    def note_caught_up(self, now: float) -> None:
        """Notes that the log was read to its end, though it was empty."""
        if self._read_at is None:
            self._read_at = now

    def restart_at(self, first: int) -> None:
        """Forgets what was read, for the records that follow it are gone.

        Whoever holds the lease by them may act until it is over.
        """
        self.state.restart_at(first)
        self._acts_until = float("-inf")
        self._read_at = None

    def start_era(self, era: int, now: float) -> None:
        """Begins to follow a log that was restored.

        Nobody contends until an acquisition that was lost must be over, but for
        the one who holds the lease: nobody else can have acquired it.
        """
        holds = self.may_act(now)
        self.state.start_era(era)
        self._acts_until = float("-inf")
        self._read_at = None
        self._knows_restoration = True
        self._contend_after = now if holds else now + self.ttl_s

    def set_era(self, era: int | None) -> None:
        """Notes the era of the log before anything of it is read."""
        self.state.start_era(era)

    def resign(self) -> None:
        """Stops acting.

        Whoever resigns because another one holds the lease must not contend
        before that one's can be over; this does not keep it from that.
        """
        self._acts_until = float("-inf")
        self.state.holder = NO_HOLDER

    def may_act(self, now: float) -> bool:
        """Returns whether this host holds the lease; ask right before acting.

        A paused process finds here that its time has passed.
        """
        return self.state.holder == self.name and now < self._acts_until

    def may_contend(self, now: float) -> bool:
        """Returns whether an acquisition may be appended."""
        return self._read_at is not None and now >= self.contend_at

    @property
    def contend_at(self) -> float:
        """From when an acquisition may be appended; of use once it has read."""
        return max(self._contend_after, self._lapses_at)

    @property
    def _lapses_at(self) -> float:
        """When whoever holds the lease by the log has surely stopped acting."""
        if self.state.holder == self.name:
            return self._acts_until
        if self._read_at is None:
            return float("-inf")
        if self.state.holder != NO_HOLDER:
            return self._read_at + self.ttl_s
        if self.state.last_counted < 0:
            return float("-inf")  # nobody has ever held it
        return self._read_at + self.handover_pause_s

    def should_renew(self, now: float) -> bool:
        """Returns whether a renewal is due."""
        due = self._acts_until - self.act_s / 2
        return self.may_act(now) and now >= due
