"""What hosts tell each other: work, weights, targets, use of quotas.

Packets are datagrams. Names that both sides know travel as checksums: all hosts
together send some 200 notices a second, and each hears all of them.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum
from typing import Any
from typing import NamedTuple
from typing import TypeVar
import zlib

import cbor2
import msgspec

from hillthread import errors
from hillthread.state.quotas import usage_exchange

__all__ = [
    "DepartureNotice",
    "LimitNotice",
    "MAX_DEPARTURE_NOTICES",
    "MAX_LIMIT_NOTICES",
    "MAX_PACKET_BYTES",
    "MAX_SUSPECT_NOTICES",
    "MAX_WORK_NOTICES",
    "Packet",
    "PacketAction",
    "SuspectNotice",
    "SuspectEvent",
    "WeightsNotice",
    "WorkNotice",
    "checksum",
    "decode_packet",
    "encode_packet",
    "has_room",
    "make_packets",
    "split_notices",
]

_Notice = TypeVar("_Notice")

# What one packet carries on any link; longer ones are cut off, and passed over.
MAX_PACKET_BYTES = 1_400
# Notices of prompts with three shared parts that fit into it.
MAX_WORK_NOTICES = 18
# Of 25 bytes each.
MAX_SUSPECT_NOTICES = 40
# Of 15 bytes each.
MAX_LIMIT_NOTICES = 80
# Of 6 bytes each.
MAX_DEPARTURE_NOTICES = 100
# Of a notice of a prompt, of one total of use, and of what stands around those
# of one sender.
_WORK_BYTES = 76
_TOTAL_BYTES = 24
_USAGE_BYTES = 24
# Lists that every packet holds.
_FIRST_FIELDS = 2
# Around all of it.
_FRAME_BYTES = 16


class PacketAction(enum.StrEnum):
    """What the receiver of a packet does with it, besides taking it in."""

    APPLY = "t"
    FORWARD = "p"  # tells the other hosts of its data centre
    GATHER = "g"  # hands it on to all hosts, together with others'
    DISTRIBUTE = "s"  # hands it on in its data centre, together with others'


class WorkNotice(NamedTuple):
    """One request that a host is about to send to an engine.

    Attributes:
        engine: Checksum of the engine's incarnation.
        tokens: Prompt tokens it is expected to compute.
        scope: Checksum of that within which parts are found again.
        shared: Digest and tokens of each part that other prompts share, in
            order.
        own_tokens: Of the part that is the request's own.
        origin: Checksum of the sender's name.
    """

    engine: int
    tokens: int
    scope: int
    shared: list[tuple[str, int]]
    own_tokens: int
    origin: int


class WeightsNotice(NamedTuple):
    """An engine that is about to load weights, or has just done so.

    Attributes:
        engine: Checksum of the engine's incarnation.
        model: Whose weights.
        version: To be loaded, or held now.
        loading: It begins nothing until another notice tells that it is done.
    """

    engine: int
    model: str
    version: int
    loading: bool


class SuspectEvent(enum.StrEnum):
    """What a host has seen of a request under which targets may end."""

    TARGET_CRASHED = "e"  # a target ended while it was open there
    SUCCEEDED = "w"  # it has ended well, and is no suspect any more
    TRIAL_STARTED = "t"  # one host tries it for all


class SuspectNotice(NamedTuple):
    """A request under which a target ended, or may have.

    Attributes:
        digest: What all its tries have in common.
        engine: Checksum of the target's incarnation; 0 where none is meant.
        word: What was seen.
    """

    digest: str
    engine: int
    event: SuspectEvent


class LimitNotice(NamedTuple):
    """A target that named a limit, or names none any more.

    Attributes:
        engine: Checksum of the target's incarnation.
        per_s: Requests a second that it takes from all hosts together; None
            for no limit.
    """

    engine: int
    per_s: float | None


class DepartureNotice(NamedTuple):
    """A target that announced its departure to a host.

    Attributes:
        engine: Checksum of the target's incarnation.
    """

    engine: int


class Packet(NamedTuple):
    """What one datagram holds.

    Attributes:
        use: What the receiver does with it.
        work: Prompts on their way.
        weights: Loads that begin or have ended.
        suspects: Requests under which targets ended, or that ended well.
        usage: What was sent for organisations with a quota, and to targets
            with a limit.
        limits: Targets that named a limit.
        departures: Targets that announced their departure.
    """

    action: PacketAction
    work: list[WorkNotice]
    weights: list[WeightsNotice]
    suspects: Sequence[SuspectNotice] = ()
    usage: Sequence[usage_exchange.UsageNotice] = ()
    limits: Sequence[LimitNotice] = ()
    departures: Sequence[DepartureNotice] = ()


def checksum(name: str) -> int:
    """Returns what stands for a name in notices."""
    return zlib.crc32(name.encode())


def encode_packet(packet: Packet) -> bytes:
    """Returns a packet as CBOR."""
    fields: list[Any] = [str(packet.action)]
    told: list[Sequence[Any]] = [
        packet.work,
        packet.weights,
        packet.suspects,
        packet.usage,
        packet.limits,
        packet.departures,
    ]
    # An earlier release reads packets without what is last and empty.
    while len(told) > _FIRST_FIELDS and not told[-1]:
        told.pop()
    fields += [[list(notice) for notice in notices] for notices in told]
    return cbor2.dumps(fields)


def has_room(packet: Packet, notice: usage_exchange.UsageNotice) -> bool:
    """Returns whether a packet of work and use can carry a notice more."""
    used = _FRAME_BYTES + len(packet.work) * _WORK_BYTES
    for each in (*packet.usage, notice):
        used += _USAGE_BYTES + len(each.totals) * _TOTAL_BYTES
    return used <= MAX_PACKET_BYTES


def decode_packet(raw: bytes) -> Packet:
    """Returns the packet in a datagram.

    Raises:
        PeerError: It is none.
    """
    try:
        return msgspec.convert(cbor2.loads(raw), Packet)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise errors.PeerError(
            f"The packet of notices is not readable: {error}.",
            "Run the same release on all hosts.",
        ) from error


def split_notices(notices: list[_Notice], size: int) -> list[list[_Notice]]:
    """Returns notices in parts that a packet carries."""
    return [
        notices[start : start + size] for start in range(0, len(notices), size)
    ]


def make_packets(
    action: PacketAction,
    notices: list[WorkNotice],
    usage: list[usage_exchange.UsageNotice],
) -> list[Packet]:
    """Returns notices in packets that any link carries.

    What is told of use goes with the last of the work where there is room.
    """
    packed = [
        Packet(action, some, [])
        for some in split_notices(notices, MAX_WORK_NOTICES)
    ]
    for notice in usage:
        if packed and has_room(packed[-1], notice):
            told = [*packed[-1].usage, notice]
            packed[-1] = packed[-1]._replace(usage=told)
        else:
            packed.append(Packet(action, [], [], usage=[notice]))
    return packed
