"""Decodes the journal in which the platform's benchmark records its runs."""

from __future__ import annotations

from collections.abc import Mapping
import pathlib
from typing import Any
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.state.config import payloads

__all__ = ["DayResult", "JournalEntry", "Price", "decode_entry", "read_entries"]


class Price(NamedTuple):
    """A deduction from a day's worth for the use of one resource.

    Attributes:
        name: Name of the resource.
        amount: Amount used.
        cost: The deduction, as a share of the highest possible worth.
    """

    name: str
    amount: float
    cost: float


class DayResult(NamedTuple):
    """The result of one simulated day of load and faults.

    Attributes:
        name: Name of the day.
        worth: Score as a share of the highest possible one, less prices.
        served: The same before prices.
        refused: Share of requests that were refused.
        failed: Share of requests that failed.
        hosts: Number of hosts that ran.
        broken: Number of violations by rule; rules that held are left out.
        prices: All deductions.
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
    """One run of the benchmark.

    Attributes:
        entry_id: Id of the run.
        began_at: Start time as text that sorts in order of time.
        command: The command that was run, such as `score`.
        site: The simulated deployment.
        reason: The reason given by whoever started the run.
        lines: Number of source lines that were counted.
        days: Results of all days; aborted days are left out.
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
    # Worth after prices.
    worth: float | None = msgspec.field(name="G", default=None)
    served: float | None = None
    refused: float | None = None
    failed: float | None = None
    used: int | None = None
    # Number of violations by rule.
    rules: dict[str, Any] | None = None
    # Name, amount, cost; an aborted day has neither amount nor cost.
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
    """Returns the entry in a file of the journal.

    Raises:
        ConfigurationError: The entry is unreadable.
    """
    wire = payloads.decode_payload(_decoder, payload, "journal")
    return JournalEntry(
        wire.id,
        wire.at[0] if wire.at else "",
        wire.cmd,
        wire.site or "",
        wire.why or "",
        wire.lines or 0,
        tuple(
            _decode_day(day) for day in wire.days or [] if day.worth is not None
        ),
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


def _decode_day(wire: _Day) -> DayResult:
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
