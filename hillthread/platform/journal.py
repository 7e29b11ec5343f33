"""Decodes the journal that the platform's bench writes of each run."""

from __future__ import annotations

from collections.abc import Mapping
import pathlib
from typing import Any
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.state.config import payloads

__all__ = ["JournalEntry", "DayResult", "Price", "decode_entry", "read_entries"]


class Price(NamedTuple):
    """What was taken off a day's worth for one thing.

    Attributes:
        name: What for.
        amount: How much of it was used.
        cost: Share of the worth that could be earned.
    """

    name: str
    amount: float
    cost: float


class DayResult(NamedTuple):
    """One day of load and faults, as it was judged.

    Attributes:
        name: Of the day.
        worth: Share of what could be earned, less prices.
        served: The same before prices.
        refused: Share of requests that ended refused.
        failed: Share that failed.
        hosts: Hosts that ran.
        broken: Times that each rule was broken, by rule.
        prices: All prices.
    """

    name: str
    worth: float
    served: float
    refused: float
    failed: float
    hosts: int
    broken: Mapping[str, int]
    prices: tuple[Price, ...]


class JournalEntry(NamedTuple):
    """One run of the bench.

    Attributes:
        entry_id: Its id.
        began_at: When it began, as text in order of time.
        command: What was run, such as `score`.
        site: The deployment played.
        reason: Why, in the words of who ran it.
        lines: Lines of source measured.
        days: All days played; days that were given up are left out.
    """

    entry_id: str
    began_at: str
    command: str
    site: str
    reason: str
    lines: int
    days: tuple[DayResult, ...]


class _Day(msgspec.Struct):
    name: str
    # The letter stands for worth after prices.
    worth: float | None = msgspec.field(name="G", default=None)
    served: float | None = None
    refused: float | None = None
    failed: float | None = None
    used: int | None = None
    # Rules broken, with counts.
    rules: dict[str, Any] | None = None
    # Name, amount, cost; a day that was given up has none of the latter.
    prices: list[tuple[str, float | None, float | None]] | None = None


class _Entry(msgspec.Struct):
    id: str
    at: list[str]
    cmd: str
    site: str | None = None
    why: str | None = None
    lines: int | None = None
    days: list[_Day] | None = None


_decoder = msgspec.json.Decoder(_Entry)


def decode_entry(payload: bytes) -> JournalEntry:
    """Returns the entry in a journal's file.

    Raises:
        ConfigurationError: It is unreadable.
    """
    wire = payloads.decode_payload(_decoder, payload, "journal")
    return JournalEntry(
        wire.id,
        wire.at[0] if wire.at else "",
        wire.cmd,
        wire.site or "",
        wire.why or "",
        wire.lines or 0,
        tuple(_day(day) for day in wire.days or [] if day.worth is not None),
    )


def read_entries(folder: pathlib.Path) -> list[JournalEntry]:
    """Returns all entries of a journal, the oldest first.

    Raises:
        ConfigurationError: A file is unreadable; the message names it.
    """
    entries = []
    for path in folder.glob("*.json"):
        try:
            entries.append(decode_entry(path.read_bytes()))
        except errors.ConfigurationError as error:
            raise errors.ConfigurationError(
                f"{path.name}: {error.message}", error.remedy
            ) from error
    return sorted(entries, key=lambda entry: (entry.began_at, entry.entry_id))


def _day(wire: _Day) -> DayResult:
    broken = {
        rule: count
        for rule, count in (wire.rules or {}).items()
        if isinstance(count, int) and count
    }
    return DayResult(
        wire.name,
        wire.worth or 0.0,
        wire.served or 0.0,
        wire.refused or 0.0,
        wire.failed or 0.0,
        wire.used or 0,
        broken,
        tuple(
            Price(name, amount or 0.0, cost or 0.0)
            for name, amount, cost in wire.prices or []
        ),
    )
