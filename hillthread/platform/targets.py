"""Decodes the entries of targets in the target list and their reports."""

from __future__ import annotations

import ipaddress
import re
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
_MAX_PORT = 65_535
# Printable characters of ASCII: names of targets are sent in headers.
_NAME = re.compile("[!-~]+")


class EngineReport(NamedTuple):
    """The state that an engine reported, some hundred ms old.

    Attributes:
        weights: Version of the loaded weights, by model.
        busy: The engine is carrying out an order.
        orders: Number of orders accepted since its start.
        waiting: Number of queued requests.
        running: Number of running requests.
        used_tokens: KV cache memory that cannot be freed, in tokens.
        total_tokens: All KV cache memory, in tokens.
        born_ms: Start time in Unix milliseconds; 0 if not reported.
        is_leaving: The engine is about to shut down and accepts no new work.
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


class _WireStruct(msgspec.Struct, rename="camel"):
    """Base of the records of targets; unknown fields are ignored."""


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Model(_WireStruct):
    name: str
    version: _Count = 0


class _Entry(_WireStruct):
    service: str
    address: str
    state: Literal["ready", "draining"]
    zone: str
    # Version of the target's software, not of its weights or configuration.
    version: str
    slots: _Count
    sequence: _Count
    models: list[_Model] = []
    born: _Count = 0


class _Report(_WireStruct):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders here; in a list entry it is the number of heartbeats.
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
        payload: The value of the entry.

    Raises:
        ConfigurationError: The entry is unreadable, or not from a target: a
            target writes all documented fields with the documented types.
    """
    _check_name(incarnation)
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
    return target_list.ListedTarget(
        target, leaving, weights, wire.born, wire.version
    )


def is_older(
    record: topic_copy.TopicRecord, known: topic_copy.TopicRecord
) -> bool:
    """Returns whether an entry is older than the known one of the same target.

    A target restarts the count of its writes at each start.
    """
    try:
        entry = _entry_decoder.decode(record.value)
        before = _entry_decoder.decode(known.value)
    except msgspec.DecodeError:
        return False
    return (entry.born, entry.sequence) < (before.born, before.sequence)


def decode_report(payload: bytes) -> EngineReport:
    """Returns the report of an engine.

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


def _check_name(name: str) -> None:
    """Raises a ConfigurationError unless a name can be sent in a header."""
    if not _NAME.fullmatch(name):
        raise errors.ConfigurationError(
            f"The key {name!r} of an entry is no name of a target.",
            "Check which program wrote the entry; it is not a target's.",
        )


def _check_address(name: str, address: str) -> None:
    """Raises a ConfigurationError unless the address is `IP:port`."""
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(ip)
        is_port = port.isdecimal() and 0 < int(port) <= _MAX_PORT
    except ValueError:
        is_port = False
    if not is_port:
        raise errors.ConfigurationError(
            f"The address {address!r} of target {name!r} is not IP:PORT.",
            "Check which program wrote the entry; it is not a target's.",
        )
