"""Notices between hosts on work, weights, targets and the usage of quotas.

Packets are datagrams. Names known to both sides are sent as checksums to keep
packets small: all hosts together send about 200 notices a second, and each host
receives all of them.
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
from hillthread.protocol import stream_query
from hillthread.state.quotas import usage_exchange
from hillthread.state.scheduling import urgency as urgency_lib

__all__ = [
    "BrittleNotice",
    "DepartureNotice",
    "LimitNotice",
    "MAX_DEPARTURE_NOTICES",
    "MAX_LIMIT_NOTICES",
    "MAX_PACKET_BYTES",
    "MAX_SPEED_NOTICES",
    "MAX_SUSPECT_NOTICES",
    "MAX_WORK_NOTICES",
    "Packet",
    "PacketAction",
    "SpeedNotice",
    "SuspectEvent",
    "SuspectNotice",
    "TrialEndNotice",
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

# Packets up to this size pass any link; longer ones are truncated and ignored.
MAX_PACKET_BYTES = 1_400
# Number of notices on prompts with three shared parts that fit into a packet.
MAX_WORK_NOTICES = 18
# Suspect notices have up to 45 bytes each.
MAX_SUSPECT_NOTICES = 28
# Limit notices have 15 bytes each.
MAX_LIMIT_NOTICES = 80
# Departure notices have 6 bytes each.
MAX_DEPARTURE_NOTICES = 100
# Speed notices have up to 15 bytes each, so that such packets stay short.
MAX_SPEED_NOTICES = 40
# Sizes used to estimate the size of a packet. A usage notice of one sender has
# an overhead in addition to its totals.
_WORK_NOTICE_BYTES = 77
_USAGE_TOTAL_BYTES = 24
_USAGE_OVERHEAD_BYTES = 24
# Every packet has the lists of work and weights, also when they are empty.
_REQUIRED_LIST_COUNT = 2
_PACKET_OVERHEAD_BYTES = 16


class PacketAction(enum.StrEnum):
    """What the receiver of a packet does with it, besides applying it."""

    APPLY = "t"  # nothing else
    FORWARD = "p"  # forwards it at once to the other hosts of its data centre
    GATHER = "g"  # forwards the notices, batched with others, to all hosts
    DISTRIBUTE = "s"  # forwards the notices, batched, in its data centre


class WorkNotice(NamedTuple):
    """A request that a host is about to send to an engine.

    Attributes:
        engine: Checksum of the engine's incarnation.
        tokens: Prompt tokens that the engine is expected to compute.
        scope: Checksum of the cache scope, within which prompts share parts.
        shared: Digest and tokens of each part that other prompts share, in
            order.
        own_tokens: Tokens of the part that only this request has.
        origin: Checksum of the sender's name.
        urgency: Order in which engines compute prompts, 0 first, to 9.
    """

    engine: int
    tokens: int
    scope: int
    shared: list[tuple[str, int]]
    own_tokens: int
    origin: int
    urgency: int = urgency_lib.LEAST_URGENT


class WeightsNotice(NamedTuple):
    """A notice on an engine that is about to load weights or has loaded them.

    Attributes:
        engine: Checksum of the engine's incarnation.
        model: The model of the weights.
        version: The version that is being loaded or is loaded now.
        loading: The engine starts no request until another notice reports that
            it has loaded the weights.
    """

    engine: int
    model: str
    version: int
    loading: bool


class SuspectEvent(enum.StrEnum):
    """An observation of a request that may make targets crash."""

    TARGET_CRASHED = "e"  # a target crashed while the request was open there
    SUCCEEDED = "w"  # the request succeeded and is no longer suspected
    TRIAL_STARTED = "t"  # one host tries the request on behalf of all hosts


class SuspectNotice(NamedTuple):
    """A notice on a request during which a target crashed, or may have.

    Attributes:
        digest: Digest of the request, equal for all its tries, or key of a part
            of its prompt. Earlier releases keep such keys like digests that no
            request has.
        engine: Checksum of the target's incarnation; 0 if the notice is not
            about a target. With a success, the last crash that it disproves; 0
            if it disproves all, as earlier releases always assume.
        event: The observation.
    """

    digest: str
    engine: int
    event: SuspectEvent


class TrialEndNotice(NamedTuple):
    """A notice on the end of a trial that neither succeeded nor crashed.

    Attributes:
        part: Name of the part of prompts that was tried.
    """

    part: str


class LimitNotice(NamedTuple):
    """A notice on a target that has stated a limit or removed it.

    Attributes:
        engine: Checksum of the target's incarnation.
        per_s: Requests a second that the target accepts from all hosts
            together; None for no limit.
    """

    engine: int
    per_s: float | None


class DepartureNotice(NamedTuple):
    """A notice on a target that has announced its departure to a host.

    Attributes:
        engine: Checksum of the target's incarnation.
    """

    engine: int


class BrittleNotice(NamedTuple):
    """A notice on a target that crashes if it refuses too many requests.

    Attributes:
        engine: Checksum of the target's incarnation.
        refusals_per_s: Refusals in a second that it withstands; None if it is
            not brittle any more.
        has_refused: Whether it has just refused a request for want of room.
    """

    engine: int
    refusals_per_s: float | None
    has_refused: bool


class SpeedNotice(NamedTuple):
    """The time to the first byte of a prompt that found no queue.

    Attributes:
        engine: Checksum of the engine's incarnation.
        prefill_tokens: Tokens that the engine computed.
        millis: Time to the first byte without the transfer of cached parts, in
            ms.
        pool_millis: The same as the sender expects it of an average engine of
            the pool.
    """

    engine: int
    prefill_tokens: int
    millis: int
    pool_millis: int


class Packet(NamedTuple):
    """The content of one datagram.

    Attributes:
        action: What the receiver does with the packet.
        work: Requests that are about to be sent to engines.
        weights: Loads of weights that start or are finished.
        suspects: Observations of requests that may make targets crash.
        usage: Amounts sent for organisations with a quota, and to targets with
            a limit.
        limits: Targets that have stated or removed a limit.
        departures: Targets that have announced their departure.
        speeds: Samples of the speed of engines. Earlier releases cannot decode
            a packet that has some, so these are sent in packets of their own.
        brittle: Targets that crash if they refuse too many requests; also sent
            in packets of their own.
        streams: Records of streams that have begun; also sent in packets of
            their own.
        ended_trials: Trials that have ended without a result; also sent in
            packets of their own.
    """

    action: PacketAction
    work: list[WorkNotice]
    weights: list[WeightsNotice]
    suspects: Sequence[SuspectNotice] = ()
    usage: Sequence[usage_exchange.UsageNotice] = ()
    limits: Sequence[LimitNotice] = ()
    departures: Sequence[DepartureNotice] = ()
    speeds: Sequence[SpeedNotice] = ()
    brittle: Sequence[BrittleNotice] = ()
    streams: Sequence[stream_query.StreamNotice] = ()
    ended_trials: Sequence[TrialEndNotice] = ()


def checksum(name: str) -> int:
    """Returns the checksum of a name, which replaces it in notices."""
    return zlib.crc32(name.encode())


def encode_packet(packet: Packet) -> bytes:
    """Returns a packet as CBOR."""
    fields: list[Any] = [str(packet.action)]
    notice_lists: list[Sequence[Any]] = [
        packet.work,
        packet.weights,
        packet.suspects,
        packet.usage,
        packet.limits,
        packet.departures,
        packet.speeds,
        packet.brittle,
        packet.streams,
        packet.ended_trials,
    ]
    # Earlier releases know fewer lists; they can decode a packet if the empty
    # lists at its end are left out.
    while len(notice_lists) > _REQUIRED_LIST_COUNT and not notice_lists[-1]:
        notice_lists.pop()
    fields += [
        [_list_sent_fields(notice) for notice in notices]
        for notices in notice_lists
    ]
    return cbor2.dumps(fields)


def _list_sent_fields(notice: Any) -> list[Any]:
    """Returns the fields of a notice without optional ones that are unset.

    Earlier releases can decode notices of work only without the fields that
    they do not know. These stand at the end, and are left out while they have
    their defaults.
    """
    fields = list(notice)
    if isinstance(notice, WorkNotice):
        defaults = list(notice._field_defaults.values())
        while defaults and fields[-1] == defaults[-1]:
            fields.pop()
            defaults.pop()
    return fields


def has_room(packet: Packet, notice: usage_exchange.UsageNotice) -> bool:
    """Returns whether a packet of work and usage has room for a notice."""
    used = _PACKET_OVERHEAD_BYTES + len(packet.work) * _WORK_NOTICE_BYTES
    for each in (*packet.usage, notice):
        used += _USAGE_OVERHEAD_BYTES + len(each.totals) * _USAGE_TOTAL_BYTES
    return used <= MAX_PACKET_BYTES


def decode_packet(raw: bytes) -> Packet:
    """Returns the packet in a datagram.

    Raises:
        PeerError: The datagram is not a valid packet.
    """
    try:
        return msgspec.convert(cbor2.loads(raw), Packet)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise errors.PeerError(
            f"The packet of notices is unreadable: {error}.",
            "Run the same release on all hosts.",
        ) from error


def split_notices(notices: list[_Notice], size: int) -> list[list[_Notice]]:
    """Returns the notices in lists of at most `size`, one for each packet."""
    return [
        notices[start : start + size] for start in range(0, len(notices), size)
    ]


def make_packets(
    action: PacketAction,
    notices: list[WorkNotice],
    usage: list[usage_exchange.UsageNotice],
) -> list[Packet]:
    """Returns packets with the notices, each small enough for any link.

    Usage notices are added to the last packet of work while it has room.
    """
    packed = [
        Packet(action, chunk, [])
        for chunk in split_notices(notices, MAX_WORK_NOTICES)
    ]
    for notice in usage:
        if packed and has_room(packed[-1], notice):
            usage_notices = [*packed[-1].usage, notice]
            packed[-1] = packed[-1]._replace(usage=usage_notices)
        else:
            packed.append(Packet(action, [], [], usage=[notice]))
    return packed
