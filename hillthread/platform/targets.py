"""Decodes what targets say of themselves: list entries and reports."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hillthread.platform import configuration
from hillthread.state import objects
from hillthread.state import payloads
from hillthread.state import target_list

__all__ = ["TARGET_TOPIC", "EngineReport", "decode_entry", "decode_report"]

TARGET_TOPIC = "keyed.servers"
DATA_CENTRE_LABEL = "data_centre"
RELEASE_LABEL = "release"


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
    """

    weights: dict[str, int]
    busy: bool
    orders: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int


class _Wire(msgspec.Struct, rename="camel"):
    """The base of what targets write: unknown fields are passed over."""


class _Model(_Wire):
    name: str
    version: int = 0


class _Entry(_Wire):
    service: str
    address: str
    state: str = "ready"
    zone: str = ""
    # Version of the target's software, not of weights or configuration.
    version: str = ""
    slots: int = 0
    models: list[_Model] = []


class _Report(_Wire):
    models: list[_Model] = []
    busy: bool = False
    # Counts orders here; in a list entry it counts heartbeats.
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0


_entry_decoder = msgspec.json.Decoder(_Entry)
_report_decoder = msgspec.json.Decoder(_Report)


def decode_entry(incarnation: str, payload: bytes) -> target_list.ListedTarget:
    """Returns the target in an entry of the list.

    Args:
        incarnation: The key of the entry.
        payload: Its bytes.

    Raises:
        ConfigurationError: The entry is unreadable.
    """
    wire = payloads.decode_payload(_entry_decoder, payload, "target")
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
    return target_list.ListedTarget(target, wire.state != "ready", weights)


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
    )
