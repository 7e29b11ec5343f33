"""Tests that state of a target's earlier start does not affect its use."""

import socket
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from hillthread import errors
from hillthread.coordination.gateway import metrics
from hillthread.coordination.gateway import settings
from hillthread.coordination.gateway import site as site_lib
from hillthread.platform import targets
from hillthread.protocol import work_notice
from hillthread.standin import platform_target
from hillthread.state.targets import health
from hillthread.state.targets import target_list
from tests.coordination.gateway import scene as scene_lib

_ENTRY = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 3}],
    "sequence": 4,
    "born": 1_000,
}
# Longer than the restart that interrupts the load.
_LONG_LOAD_S = 1.0
_INVALID_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.floats(allow_nan=False),
    strategies.integers(max_value=-1),
    strategies.text(max_size=8),
    strategies.lists(strategies.integers(), max_size=2),
)
# Shared by all tests, since they are slow to create.
_METRICS = metrics.GatewayMetrics()
_derandomized = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)


def _make_site():
    values = settings.GatewaySettings(
        host="h1",
        data_centre="here",
        listen="127.0.0.1:1",
        ready_listen="127.0.0.1:2",
        store="127.0.0.1:3",
    )
    return site_lib.Site(values, _METRICS)


def _encode(**changes):
    return msgspec.json.encode(_ENTRY | changes)


def is_port_free(port):
    """Returns whether a port can be bound again."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class InvalidEntryTest(unittest.TestCase):
    """Entries in the list of targets that another program wrote."""

    def setUp(self):
        self.site = _make_site()
        self.site.put_target("good", _encode())
        self.site.put_target("other", _encode(address="10.0.0.2:80"))

    def assert_unused(self, payload):
        with self.assertRaises(errors.ConfigurationError):
            self.site.put_target("good", payload)
        self.assertEqual(set(self.site.targets.entries), {"other"})
        self.site.put_target("good", _encode())
        self.assertEqual(set(self.site.targets.entries), {"good", "other"})

    def test_entry_with_a_missing_field_is_not_used(self):
        for name in _ENTRY.keys() - {"models"}:
            with self.subTest(name):
                fields = {k: v for k, v in _ENTRY.items() if k != name}
                self.assert_unused(msgspec.json.encode(fields))

    def test_engine_without_models_holds_no_weights(self):
        fields = {k: v for k, v in _ENTRY.items() if k != "models"}
        entry = targets.decode_entry("good", msgspec.json.encode(fields))
        self.assertFalse(entry.weights)

    def test_entry_with_an_unknown_state_is_not_used_nor_a_departure(self):
        self.assert_unused(_encode(state="asleep"))

    @_derandomized
    @hypothesis.given(strategies.sampled_from(sorted(_ENTRY)), _INVALID_VALUES)
    def test_entry_with_a_field_of_another_type_is_not_used(self, name, value):
        site = _make_site()
        site.put_target("good", _encode())
        is_text = isinstance(value, str) and isinstance(_ENTRY[name], str)
        if is_text and name not in ("address", "state"):
            return  # any text may name a service, a data centre, a release
        if name == "models" and value == []:
            return
        with self.assertRaises(errors.ConfigurationError):
            site.put_target("good", _encode(**{name: value}))
        self.assertEqual(site.targets.entries, {})

    @_derandomized
    @hypothesis.given(strategies.binary(max_size=60))
    def test_unreadable_entry_is_not_used(self, payload):
        site = _make_site()
        with self.assertRaises(errors.ConfigurationError):
            site.put_target("good", payload)
        self.assertEqual(site.targets.entries, {})

    def test_entries_with_invalid_addresses_are_refused(self):
        for address in ("", "10.0.0.1", "10.0.0.1:0", "host:80", "1.2.3.4:x"):
            with self.subTest(address):
                self.assert_unused(_encode(address=address))

    def test_invalid_entries_do_not_affect_other_targets(self):
        async def scenario(scene):
            engine = scene.engines[0]
            for number, raw in enumerate((b"\xff", b"[]", b"{}", b"7")):
                scene.store.put_raw("keyed.servers", f"bad{number}", raw)
            scene.store.put_raw("keyed.servers", engine.name, b"\x00{")
            entries = scene.site.targets.entries
            await scene.until(lambda: engine.name not in entries)
            self.assertEqual(set(entries), {"e1", "p0", "p1"})
            answer = await scene.call(scene.prompt("/resume/x"))
            self.assertEqual(answer.head.status, 200)
            scene.list_target(engine)
            await scene.until(lambda: engine.name in entries)

        scene_lib.run_scenario(scenario)


class RestartTest(unittest.TestCase):
    """Targets that restart under the same name."""

    def setUp(self):
        self.site = _make_site()
        self.site.put_target("e", _encode())

    def test_state_of_the_earlier_start_is_discarded(self):
        state = self.site.state("e")
        state.record_unreachable(0.0)
        state.is_unreachable = True
        state.refused_until = 1e9
        self.site.observe_weights("e", "m", 9)
        self.site.record_prompt("e", self.make_notice(1_000))
        self.site.put_target("e", _encode(born=2_000))
        state = self.site.state("e")
        self.assertIs(state.breaker.state(0.0), health.BreakerState.CLOSED)
        self.assertTrue(state.is_available(0.0))
        self.assertEqual(len(state.warm), 0)
        self.assertEqual(self.site.weights.held_version("e", "m"), 3)

    def test_notices_for_the_earlier_start_are_ignored(self):
        self.site.put_target("e", _encode(born=2_000))
        self.site.apply_work_notice(self.make_notice(1_000), 0.0)
        self.assertEqual(self.site.state("e").load.queued_tokens(0.0), 0.0)
        self.site.apply_work_notice(self.make_notice(2_000), 0.0)
        self.assertGreater(self.site.state("e").load.queued_tokens(0.0), 0.0)

    def test_reports_of_the_earlier_start_are_ignored(self):
        self.site.put_target("e", _encode(born=2_000))
        late = targets.decode_report(
            msgspec.json.encode(
                {"models": [{"name": "m", "version": 8}], "born": 1_000}
            )
        )
        self.assertFalse(self.site.apply_report("e", "m", late))
        self.assertEqual(self.site.weights.held_version("e", "m"), 3)

    def test_report_of_a_later_start_is_applied_before_the_list_shows_it(self):
        self.site.state("e").record_unreachable(0.0)
        report = targets.decode_report(
            msgspec.json.encode(
                {"models": [{"name": "m", "version": 5}], "born": 2_000}
            )
        )
        self.assertTrue(self.site.apply_report("e", "m", report))
        self.assertEqual(self.site.weights.held_version("e", "m"), 5)
        self.assertTrue(self.site.state("e").is_available(0.0))
        self.site.put_target("e", _encode(state="draining"))  # late
        self.assertFalse(self.site.targets.entries["e"].leaving)

    # Guards against a target that is used again with the state found at its
    # successor, for instance as unreachable without a probe.
    def test_replacement_discards_what_is_known_of_a_target(self):
        withdrawn = []
        self.site.on_target_withdrawn = withdrawn.append
        self.site.mark_targets_known()
        self.site.put_target("f", _encode(born=2_000))
        self.assertEqual(withdrawn, [_ENTRY["address"]])
        self.site.state("e").is_unreachable = True
        with self.assertLogs("hillthread.site", "INFO") as logs:
            for _ in range(2):
                self.site.put_target("e", _encode())
        events = {(line.event, line.target) for line in logs.records}
        self.assertEqual(
            events, {("target_replaced", "f"), ("target_live_again", "e")}
        )
        self.assertTrue(self.site.state("e").is_available(0.0))
        self.assertEqual(self.site.weights.held_version("e", "m"), 3)

    def make_notice(self, born_ms):
        return work_notice.WorkNotice(
            target_list.incarnation_key("e", born_ms),
            5_000,
            1,
            [("aa", 4_000)],
            1_000,
            2,
        )


class RestartScenarioTest(unittest.TestCase):
    async def restart(self, scene, target):
        """Restarts a target under its name and address."""
        scene.stop_listening(target)
        _, port = target.address.split(":")
        await scene.until(lambda: is_port_free(int(port)))
        target.restart(int(port))
        scene.tasks.start_soon(scene.listen, target)
        scene.list_target(target)

    def test_target_that_left_serves_after_its_next_start(self):
        async def scenario(scene):
            (target,) = scene.plain
            scene.list_target(target, "draining")
            entries = scene.site.targets.entries
            await scene.until(lambda: entries[target.name].leaving)
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 503)
            await self.restart(scene, target)
            await scene.until(lambda: not entries[target.name].leaving)
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, plain=1)

    def test_order_revisions_start_anew_after_a_restart(self):
        async def scenario(scene):
            (engine,) = scene.engines
            scene.announce_weights(2)
            await scene.until(lambda: engine.weights == 2)
            await self.restart(scene, engine)
            scene.announce_weights(3)
            await scene.until(lambda: engine.weights == 3)
            revisions = [order["expectedRevision"] for order in engine.orders]
            self.assertEqual(revisions, [0, 0])

        scene_lib.run_scenario(scenario, engines=1, plain=0)

    def test_load_interrupted_by_a_restart_is_ordered_again_at_once(self):
        """Its revision would never reach that of the earlier start."""

        async def scenario(scene):
            (engine,) = scene.engines
            scene.announce_weights(2)
            await scene.until(lambda: engine.weights == 2)
            engine.load_s = _LONG_LOAD_S
            scene.announce_weights(3)
            await scene.until(lambda: engine.busy)
            engine.load_s = platform_target.LOAD_S
            await self.restart(scene, engine)
            await scene.until(lambda: engine.weights == 3)
            loads = scene.program.metrics.loads
            outcomes = {
                name: loads.labels(name)._value.get()
                for name in ("restarted", "no_report", "too_long")
            }
            self.assertEqual(outcomes["too_long"], 0)
            # An engine that is queried between its two starts reports nothing.
            self.assertEqual(outcomes["restarted"] + outcomes["no_report"], 1)

        scene_lib.run_scenario(scenario, engines=1, plain=0)
