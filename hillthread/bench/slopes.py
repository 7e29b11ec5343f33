"""What one more of each thing costs: the slopes in docs/MEASUREMENTS.md."""

from __future__ import annotations

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

from hillthread import settings as settings_lib
from hillthread.coordination import dialer
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import metrics as metrics_lib
from hillthread.protocol import documents
from hillthread.protocol import engine
from hillthread.protocol import messages
from hillthread.state.cluster import claim_index
from hillthread.state.cluster import membership
from hillthread.state.config import configuration
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.routing import prompt
from hillthread.state.routing import records
from hillthread.state.routing import warmth

__all__ = ["Slope", "measure_slopes"]

_TARGETS = 95
_REPEATS = 200
_POOL = objects.Pool(name="p", target_selector="", max_inflight=10_000)
_MANY_LEVELS = 20_000


class Slope(NamedTuple):
    """The cost of one more of something.

    Attributes:
        processor_us: Processor time for each, microseconds.
        memory_bytes: Memory held for each.
        wire_bytes: Bytes sent for each, without framing.
    """

    processor_us: float = 0.0
    memory_bytes: float = 0.0
    wire_bytes: float = 0.0


def measure_slopes() -> dict[str, Slope]:
    """Returns the slope of each thing that grows."""
    return {
        "configuration_object": _configuration_object(),
        "table_object": _table_object(),
        "target_decided": _target_decided(),
        "prefix_level": _prefix_level(),
        "decision_record": _decision_record(),
        "tenant_histogram": _tenant_histogram(),
        "share_message": _message(_share()),
        "loads_message_of_5": _message(_loads(5)),
        "wanted_peers_of_420": _wanted_peers(),
        "heartbeat_message": _message(_heartbeat()),
        "load_page": _load_page(),
        "claim": _claim(),
        "member": _member(),
        "prompt_digest_per_kilobyte": _prompt_digest(),
    }


def _time_us(action: Callable[[], Any], repeats: int = _REPEATS) -> float:
    """Returns the mean processor time of an action, microseconds."""
    action()
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats * 1e6


def _memory(make: Callable[[], Any]) -> tuple[float, Any]:
    """Returns the memory held by what `make` returns, and that."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size, made


def _tenant(number: int) -> dict[str, Any]:
    return {
        "kind": "tenant",
        "name": f"tenant-{number}",
        "organisation": f"organisation-{number}",
        "labels": {"class": "ci", "region": "north"},
        "key_digests": [f"{number:064x}"],
    }


def _put(number: int) -> bytes:
    return configuration.encode_change(
        configuration.Put(
            record_id=f"record-{number:024d}",
            actor="operator",
            made_at=0.0,
            object=_tenant(number),
            expected_version=0,
        )
    )


def _replayed(count: int) -> configuration.Configuration:
    state = configuration.Configuration()
    for number in range(count):
        state.apply(number, _put(number))
    return state


def _configuration_object() -> Slope:
    count = 2200
    payloads = [_put(number) for number in range(count)]
    started = time.process_time()
    state = configuration.Configuration()
    for number, payload in enumerate(payloads):
        state.apply(number, payload)
    passed = time.process_time() - started
    small, _ = _memory(lambda: _replayed(2200))
    large, _ = _memory(lambda: _replayed(4400))
    snapshot = configuration.encode_change(state.snapshot())
    return Slope(
        passed / count * 1e6, (large - small) / count, len(snapshot) / count
    )


def _table_object() -> Slope:
    state = _replayed(2200)
    micros = _time_us(
        lambda: routing_table.RoutingTable(1, state.decoded), repeats=10
    )
    size, _ = _memory(lambda: routing_table.RoutingTable(1, state.decoded))
    return Slope(micros / 2200, size / 2200)


def _fleet() -> tuple[fleet_lib.Fleet, fleet_lib.PlacementConstraints]:
    targets = [
        objects.Target(
            name=f"runner-{number}",
            address="127.0.0.1:1",
            data_centre="dc",
            models=["m"],
        )
        for number in range(_TARGETS)
    ]
    fleet = fleet_lib.Fleet("dc")
    return fleet, fleet_lib.PlacementConstraints(targets, _POOL, "m")


def _levels(number: int) -> tuple[prompt.PrefixLevel, ...]:
    parts = ("a" * 4000, f"context {number}" * 1000, "request")
    return prompt.prefix_levels("o", "m", parts, 0.25)


def _target_decided() -> Slope:
    fleet, placement = _fleet()
    query = fleet_lib.make_query(_levels(1), 1.0, b"")
    micros = _time_us(lambda: fleet.choose(query, placement, 0.0))

    def make() -> fleet_lib.Fleet:
        made, where = _fleet()
        made.choose(query, where, 0.0)
        return made

    size, _ = _memory(make)
    return Slope(micros / _TARGETS, size / _TARGETS)


def _prefix_level() -> Slope:
    all_levels = [
        prompt.PrefixLevel(number.to_bytes(8, "big"), 1000)
        for number in range(_MANY_LEVELS)
    ]

    def make() -> warmth.WarmthTable:
        table = warmth.WarmthTable()
        for number, level in enumerate(all_levels):
            table.target(str(number // 1000), 1e6).confirm([level], 0.0)
        return table

    size, table = _memory(make)
    beliefs = table.target("0", 1e6)
    micros = _time_us(lambda: beliefs.confirm(all_levels[:100], 0.0)) / 100
    return Slope(micros, size / _MANY_LEVELS)


def _decided_record(
    fleet: fleet_lib.Fleet,
    placement: fleet_lib.PlacementConstraints,
    number: int,
) -> records.RequestRecord:
    query = fleet_lib.make_query(_levels(number), 1.0, b"")
    decision = fleet.choose(query, placement, 0.0)
    record = records.RequestRecord(f"{number:024x}", 0.0, "host")
    attempt = records.AttemptRecord(
        f"{number:024x}-1", records.trim_decision(decision), 0.0
    )
    record.attempts.append(attempt)
    return record


def _decision_record() -> Slope:
    fleet, placement = _fleet()

    def make() -> list[records.RequestRecord]:
        return [_decided_record(fleet, placement, n) for n in range(500)]

    size, made = _memory(make)
    wire = len(documents.encode_document(made[0]))
    micros = _time_us(lambda: documents.encode_document(made[0]))
    return Slope(micros, size / 500, wire)


def _tenant_histogram() -> Slope:
    def make() -> metrics_lib.RouterMetrics:
        made = metrics_lib.RouterMetrics()
        for number in range(200):
            made.observe_first_token(f"tenant-{number}", 0.1)
        return made

    empty, _ = _memory(metrics_lib.RouterMetrics)
    size, made = _memory(make)
    micros = _time_us(lambda: made.observe_first_token("tenant-1", 0.1))
    return Slope(micros, (size - empty) / 200)


def _message(message: messages.Message) -> Slope:
    data = messages.encode_message(message)
    micros = _time_us(
        lambda: messages.decode_message(messages.encode_message(message))
    )
    return Slope(micros, 0.0, len(data))


def _share() -> messages.Shares:
    placement = messages.SharedPlacement(
        "dc1-runner-17", "0a1b2c3d", "v1", 1234, [b"d" * 8], [4000]
    )
    return messages.Shares([placement])


def _loads(count: int) -> messages.Loads:
    load = messages.TargetLoad(
        "dc1-runner-17", 30, 2, 123_456_789, 2_700_000, "0a1b2c3d", "v1"
    )
    return messages.Loads([load] * count)


def _heartbeat() -> messages.Heartbeat:
    return messages.Heartbeat(123_456, "0" * 32, 0.5, {"dc1-host1": 123_456})


def _load_page() -> Slope:
    page = "".join(
        f"# TYPE {name} gauge\n{name} 12345.0\n"
        for name in (
            engine.METRIC_RUNNING,
            engine.METRIC_WAITING,
            engine.METRIC_PROMPT_TOKENS,
            engine.METRIC_CACHED_TOKENS,
            engine.METRIC_GENERATED_TOKENS,
        )
    )
    micros = _time_us(lambda: engine.parse_metrics(page, 0.0))
    return Slope(micros, 0.0, len(page))


def _claim() -> Slope:
    def make() -> claim_index.ClaimIndex:
        index = claim_index.ClaimIndex(3600.0)
        for offset in range(200):
            claims = [
                claim_index.Claim(f"{offset:016x}{n:016x}", f"{n:024x}")
                for n in range(50)
            ]
            batch = claim_index.ClaimBatch(0.0, claims)
            index.apply(offset, claim_index.encode_batch(batch), 0.0)
        return index

    started = time.process_time()
    make()
    micros = (time.process_time() - started) / 10_000 * 1e6
    size, _ = _memory(make)
    one = claim_index.Claim("0" * 32, "0" * 24)
    batch = claim_index.ClaimBatch(0.0, [one] * 50)
    return Slope(
        micros, size / 10_000, len(claim_index.encode_batch(batch)) / 50
    )


def _member() -> Slope:
    def make() -> membership.Membership:
        members = membership.Membership(3.0)
        for number in range(420):
            members.note_contact(f"host-{number}", "dc", "i", 5, 0.0)
        return members

    size, members = _memory(make)
    micros = _time_us(lambda: members.tick(1.0))
    return Slope(micros / 420, size / 420)


def _wanted_peers() -> Slope:
    """The cost of choosing links anew, after a host was lost."""
    peers = [
        settings_lib.PeerSettings(
            host=f"dc{n % 20}-host{n}",
            data_centre=f"dc{n % 20}",
            address="127.0.0.1:1",
        )
        for n in range(419)
    ]
    own = settings_lib.ControlSettings(
        host="dc0-own",
        data_centre="dc0",
        listen="127.0.0.1:0",
        admin_listen="127.0.0.1:0",
        secret="x" * 16,
        peers=peers,
    )
    return Slope(_time_us(lambda: dialer.select_peers(own), repeats=20))


def _prompt_digest() -> Slope:
    parts = ("a" * 100_000,)
    micros = _time_us(lambda: prompt.prefix_levels("o", "m", parts, 0.25))
    return Slope(micros / 100)
