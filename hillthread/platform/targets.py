"""Decodes what targets say of themselves: list entries and reports."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Literal
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread.platform import configuration
from hillthread.state.cluster import topic_copy
from hillthread.state.config import objects
from hillthread.state.config import payloads
from hillthread.state.targets import target_list

__all__ = [
    "TARGET_TOPIC",
    "EngineReport",
    "decode_entry",
    "decode_report",
    "is_older",
]

TARGET_TOPIC = "keyed.servers"
DATA_CENTRE_LABEL = "data_centre"
RELEASE_LABEL = "release"
_HIGHEST_PORT = 65_535


class EngineReport(NamedTuple):
    """What an engine said of itself, some hundred ms ago.

    Attributes:
        weights: Version of the weights held, by model.
        busy: An order is being carried out.
        orders: Orders taken since its start.
        waiting: Requests that wait.
        running: Requests that run.
        used_tokens: Memory that cannot be freed.
        total_tokens: All its memory for KV cache.
        born_ms: Unix milliseconds of its start; 0 when it does not tell.
        is_leaving: It is about to end and wants no new work.
    """

    weights: dict[str, int]
    busy: bool
    orders: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int
    born_ms: int = 0
    is_leaving: bool = False


class _Wire(msgspec.Struct, rename="camel"):
    """The base of what targets write: unknown fields are passed over."""


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Model(_Wire):
    name: str
    version: _Count = 0


class _Entry(_Wire):
    service: str
    address: str
    state: Literal["ready", "draining"]
    zone: str
    # Version of the target's software, not of weights or configuration.
    version: str
    slots: _Count
    sequence: _Count
    models: list[_Model] = []
    born: _Count = 0


class _Report(_Wire):
    models: list[_Model] = []
    busy: bool = False
    # Counts orders here; in a list entry it counts heartbeats.
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    born: _Count = 0


_entry_decoder = msgspec.json.Decoder(_Entry)
_report_decoder = msgspec.json.Decoder(_Report)


def decode_entry(incarnation: str, payload: bytes) -> target_list.ListedTarget:
    """Returns the target in an entry of the list.

    Args:
        incarnation: The key of the entry.
        payload: Its bytes.

    Raises:
        ConfigurationError: The entry is unreadable, or another writer's: a
            target writes all fields that the pages name, of their types.
    """
    wire = payloads.decode_payload(_entry_decoder, payload, "target")
    _check_address(incarnation, wire.address)
    weights = {model.name: model.version for model in wire.models}
    target = objects.Target(
        name=incarnation,
        labels={
            configuration.SERVICE_LABEL: wire.service,
            DATA_CENTRE_LABEL: wire.zone,
            RELEASE_LABEL: wire.version,
        },
        address=wire.address,
        data_centre=wire.zone,
        service="engine" if weights else "plain",
        models=list(weights),
        max_running=max(1, wire.slots),
    )
    leaving = wire.state == "draining"
    return target_list.ListedTarget(target, leaving, weights, wire.born)


def is_older(
    record: topic_copy.TopicRecord, known: topic_copy.TopicRecord
) -> bool:
    """Returns whether an entry precedes the one known of the same target.

    A target counts its writes anew after each start.
    """
    try:
        entry = _entry_decoder.decode(record.value)
        before = _entry_decoder.decode(known.value)
    except msgspec.DecodeError:
        return False
    return (entry.born, entry.sequence) < (before.born, before.sequence)


def decode_report(payload: bytes) -> EngineReport:
    """Returns what an engine reports.

    Raises:
        ConfigurationError: The report is unreadable.
    """
    wire = payloads.decode_payload(_report_decoder, payload, "report")
    return EngineReport(
        {model.name: model.version for model in wire.models},
        wire.busy,
        wire.sequence,
        wire.waiting,
        wire.running,
        wire.kv_used,
        wire.kv_total,
        wire.born,
    )


def _check_address(name: str, address: str) -> None:
    """Raises a ConfigurationError unless an address can be connected to."""
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(ip)
        is_port = port.isdecimal() and 0 < int(port) <= _HIGHEST_PORT
    except ValueError:
        is_port = False
    if not is_port:
        raise errors.ConfigurationError(
            f"The address {address!r} of target {name!r} is no IP:PORT.",
            "Check what wrote the entry; it names no target.",
        )
