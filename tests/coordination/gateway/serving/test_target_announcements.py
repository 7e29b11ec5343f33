"""Tests that hosts act on what targets announce in their answers."""

import contextlib
import io
import itertools
import time
import unittest

import anyio

from hillthread.platform import orders
from hillthread.programs import ctl
from hillthread.standin import platform_target
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_target_limits

CALLERS = 4
PAUSE_S = 0.04
# Time after its refusal from which a target counts requests in its back-off.
BACKOFF_DELAY_S = 0.5
MAX_ARRIVALS_IN_BACKOFF = 2
_numbers = itertools.count()


def make_prompt(scene, number):
    """Returns a prompt that no engine has cached a part of."""
    del number
    unique = next(_numbers)
    prefix = f"a{unique}:300,p{unique}:500,r{unique}:100"
    return scene.prompt("/stream/x", x_prompt_prefix=prefix)


def make_plain_request(scene, number):
    """Returns a request for the plain service."""
    del number
    return scene.request("/once/x")


async def send_for(scene, seconds, make=make_prompt):
    """Has callers send requests; returns the statuses of the answers."""
    statuses = []

    async def send(number):
        while True:
            number += 1
            answer = await scene.call(make(scene, number))
            statuses.append(answer.head.status)
            await anyio.sleep(PAUSE_S)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(send, number * 3)
    return statuses


async def send_until(scene, condition, make):
    """Has callers send requests until a condition holds, 10 s at most."""
    statuses = []
    with anyio.fail_after(10.0):
        while not condition():
            statuses += await send_for(scene, 0.25, make)
    return statuses


def count_arrivals(target, begin, end):
    """Returns how many requests reached a target within a time."""
    return sum(begin <= each.at <= end for each in target.arrivals)


class DepartureTest(unittest.TestCase):
    # Guards against requests to a target whose answers announced its
    # departure while the list of targets still had it as ready.
    def test_no_request_follows_an_announced_departure(self):
        for drain_s in (0.5, 1.0, 2.0):
            for make in (make_prompt, make_plain_request):
                with self.subTest(drain_s=drain_s, make=make.__name__):
                    scene_lib.run_scenario(
                        lambda scene, d=drain_s, m=make: self.check_departure(
                            scene, d, m
                        ),
                        drain_ms=drain_s * 1000,
                    )

    async def check_departure(self, scene, drain_s, make):
        target = scene.engines[0] if make is make_prompt else scene.plain[0]
        await send_for(scene, 0.3, make)
        self.assertTrue(target.arrivals)
        target.announces_leaving = True
        await send_for(scene, 0.3, make)
        late_at = time.monotonic() + drain_s
        statuses = await send_for(scene, drain_s + 0.5, make)
        self.assertEqual(count_arrivals(target, late_at, float("inf")), 0)
        # The other targets serve what it would have got.
        self.assertEqual(set(statuses), {200})

    # Guards against a departure that is forgotten when the store, down
    # meanwhile, comes back without the target's entry, and then with it.
    def test_departure_outlasts_an_outage_that_drops_the_entry(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.announces_leaving = True
            await send_for(scene, 0.3, make_plain_request)
            scene.store.faults.status = 503
            await scene.until(lambda: scene.site.is_store_lost)
            scene.store.faults.status = 0
            scene.store.remove("keyed.servers", target.name)
            entries = scene.site.targets.entries
            await scene.until(lambda: target.name not in entries)
            scene.list_target(target)
            await scene.until(lambda: target.name in entries)
            late_at = time.monotonic()
            statuses = await send_for(scene, 0.5, make_plain_request)
            self.assertEqual(set(statuses), {200})
            self.assertEqual(count_arrivals(target, late_at, float("inf")), 0)

        scene_lib.run_scenario(scenario)

    def test_departure_ends_when_the_target_restarts(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.announces_leaving = True
            await send_for(scene, 0.3, make_plain_request)
            self.assertTrue(scene.site.targets.entries[target.name].leaving)
            scene.stop_listening(target)
            target.restart()
            scene.tasks.start_soon(scene.listen, target)
            scene.list_target(target)
            entries = scene.site.targets.entries
            await scene.until(lambda: not entries[target.name].leaving)
            began_at = time.monotonic()
            await send_for(scene, 0.5, make_plain_request)
            self.assertTrue(count_arrivals(target, began_at, float("inf")))

        scene_lib.run_scenario(scenario)

    # Guards against a restarted target that is excluded for good because of a
    # late answer of its earlier incarnation.
    def test_late_answer_of_an_earlier_incarnation_is_ignored(self):
        async def scenario(scene):
            target = scene.plain[0]
            released = anyio.Event()
            target.queue_behaviours(platform_target.HoldAnswer(released))
            entries = scene.site.targets.entries
            other = scene.plain[1].name
            scene.store.remove("keyed.servers", other)
            await scene.until(lambda: other not in entries)
            answers = []

            async def call():
                answers.append(await scene.call(make_plain_request(scene, 0)))

            scene.tasks.start_soon(call)
            await scene.until(lambda: target.runs)
            target.announces_leaving = True
            entry = target.entry()
            entry["born"] += 1
            scene.store.put("keyed.servers", target.name, entry)
            born_ms = scene.site.targets.born_ms
            await scene.until(lambda: born_ms[target.name] == entry["born"])
            released.set()
            await scene.until(lambda: answers)
            self.assertFalse(entries[target.name].leaving)

        scene_lib.run_scenario(scenario)

    def test_log_names_the_source_of_a_departure(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.announces_leaving = True
            with self.assertLogs("hillthread.site", "INFO") as logs:
                await send_for(scene, 0.3, make_plain_request)
            found = [
                line
                for line in logs.records
                if getattr(line, "event", "") == "target_leaving"
            ]
            logged = [(line.target, line.source) for line in found]
            self.assertEqual(logged, [(target.name, "answer")])

        scene_lib.run_scenario(scenario)

    # Guards against a departure that each host learns only from an answer to
    # a request of its own, while the list of targets does not show it.
    def test_departure_reaches_all_hosts(self):
        async def scenario(scene):
            programs = await test_target_limits.hosts_that_list_each_other(
                scene, 3
            )
            target = scene.plain[0]
            target.announces_leaving = True
            # Only the first host gets requests.
            await send_for(scene, 0.3, make_plain_request)
            for program in programs:
                entries = program.site.targets.entries
                await scene.until(lambda e=entries: e[target.name].leaving)

        scene_lib.run_scenario(scenario)

    def test_report_announces_a_departure(self):
        async def scenario(scene):
            engine = scene.engines[0]
            engine.announces_leaving = True
            target = scene.site.targets.entries[engine.name].target
            report = await orders.read_report(scene.program.pool, target)
            scene.site.apply_report(engine.name, "m", report)
            self.assertTrue(scene.site.targets.entries[engine.name].leaving)

        scene_lib.run_scenario(scenario)


class UnknownHeaderTest(unittest.TestCase):
    # Guards against new kinds of announcements that operators never learn of.
    def test_unknown_header_is_counted_and_logged_once(self):
        async def scenario(scene):
            for target in scene.plain:
                target.extra_headers = [(b"server-new", b"1")]
            with self.assertLogs("hillthread.targets", "WARNING") as logs:
                await send_for(scene, 0.3, make_plain_request)
            found = [
                line.header
                for line in logs.records
                if getattr(line, "event", "") == "unknown_header"
            ]
            self.assertEqual(found, ["server-new"])
            page = scene.program.metrics.render().decode()
            self.assertRegex(
                page, r'unknown_headers_total{header="server-new"} [1-9]'
            )

        scene_lib.run_scenario(scenario)

    def test_number_of_unknown_header_series_is_bounded(self):
        async def scenario(scene):
            for target in scene.plain:
                target.extra_headers = [
                    (b"server-%d" % number, b"1") for number in range(40)
                ]
            await scene.call(make_plain_request(scene, 0))
            page = scene.program.metrics.render().decode()
            count = page.count("unknown_headers_total{")
            self.assertLessEqual(count, 33)
            self.assertIn('unknown_headers_total{header="other"}', page)

        scene_lib.run_scenario(scenario)


class BackoffTest(unittest.TestCase):
    # Guards against requests to a target that shed load with a 503 and a
    # Retry-After whose time was not over.
    def test_no_request_reaches_a_target_in_its_backoff(self):
        for backoff_s in (0.8, 1.6, 3.2):
            for make in (make_prompt, make_plain_request):
                with self.subTest(backoff_s=backoff_s, make=make.__name__):
                    scene_lib.run_scenario(
                        lambda scene, b=backoff_s, m=make: self.check_backoff(
                            scene, b, m
                        )
                    )

    async def check_backoff(self, scene, backoff_s, make):
        target = scene.engines[0] if make is make_prompt else scene.plain[0]
        await send_until(scene, lambda: target.arrivals, make)
        target.backoff_s = backoff_s
        before = len(target.arrivals)
        statuses = await send_until(
            scene, lambda: len(target.arrivals) > before, make
        )
        shed_at = target.arrivals[before].at
        target.backoff_s = 0.0
        ends_at = shed_at + backoff_s
        statuses += await send_for(scene, ends_at - time.monotonic(), make)
        begin = shed_at + BACKOFF_DELAY_S
        count = count_arrivals(target, begin, ends_at)
        self.assertLessEqual(count, MAX_ARRIVALS_IN_BACKOFF)
        # The other targets serve what it would have got.
        self.assertEqual(set(statuses), {200})
        # It is used again when the time is over.
        answered = 0
        while answered < CALLERS / PAUSE_S:
            answered += len(await send_for(scene, 0.25, make))
        self.assertTrue(count_arrivals(target, ends_at, float("inf")))

    # Guards against a back-off that is forgotten with the entry of its target,
    # which lapses in an outage of the store and is written again.
    def test_backoff_outlasts_an_entry_that_lapses(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.backoff_s = 3.0
            await send_for(scene, 0.3, make_plain_request)
            entries = scene.site.targets.entries
            scene.store.remove("keyed.servers", target.name)
            await scene.until(lambda: target.name not in entries)
            scene.list_target(target)
            await scene.until(lambda: target.name in entries)
            ends_at = target.arrivals[0].at + 3.0
            began_at = time.monotonic()
            self.assertLess(began_at, ends_at - 1.0)
            await send_for(scene, 1.0, make_plain_request)
            count = count_arrivals(target, began_at, ends_at)
            self.assertEqual(count, 0)

        scene_lib.run_scenario(scenario)

    def test_backoff_of_a_503_that_may_have_run(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.default_behaviour = platform_target.Fail(
                503, retry_after_s=2.0
            )
            await send_for(scene, 0.3, make_plain_request)
            began_at = time.monotonic()
            await send_for(scene, 1.0, make_plain_request)
            count = count_arrivals(target, began_at, float("inf"))
            self.assertEqual(count, 0)

        scene_lib.run_scenario(scenario)

    def test_backoff_ends_when_the_target_restarts(self):
        async def scenario(scene):
            target = scene.plain[0]
            target.backoff_s = 30.0
            await send_for(scene, 0.3, make_plain_request)
            scene.stop_listening(target)
            target.restart()
            scene.tasks.start_soon(scene.listen, target)
            scene.list_target(target)
            born_ms = scene.site.targets.born_ms
            await scene.until(lambda: born_ms[target.name] == target.born_ms)
            began_at = time.monotonic()
            await send_for(scene, 0.5, make_plain_request)
            self.assertTrue(count_arrivals(target, began_at, float("inf")))

        scene_lib.run_scenario(scenario)

    def test_request_is_refused_at_once_while_all_targets_back_off(self):
        async def scenario(scene):
            for target in scene.plain:
                target.backoff_s = 2.0
            await scene.call(scene.request("/once/x"))
            asked_at = time.monotonic()
            answer = await scene.call(scene.request("/once/x"))
            self.assertLess(time.monotonic() - asked_at, 0.5)
            self.assertEqual(answer.head.status, 503)
            self.assertIn(b"targets_backing_off", answer.body)
            after_s = float(answer.head.get(b"retry-after"))
            self.assertGreater(after_s, 1.0)
            self.assertLess(after_s, 2.0 * 1.75)
            # The refusal is true: neither attempt reached a target again.
            self.assertEqual(sum(len(t.arrivals) for t in scene.plain), 2)
            for target in scene.plain:
                target.backoff_s = 0.0
            await anyio.sleep(after_s)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_operators_list_departures_and_backoffs(self):
        async def scenario(scene):
            leaving, shedding = scene.plain
            leaving.announces_leaving = True
            shedding.backoff_s = 30.0
            await send_for(scene, 0.5, make_plain_request)
            address = scene.program.feed_server.address
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                await anyio.to_thread.run_sync(ctl.Ctl(address).targets)
            self.assertIn("p0 leaves\n", out.getvalue())
            self.assertRegex(out.getvalue(), r"p1 backs off for [23]\d")
            await anyio.sleep(0.3)
            page = scene.program.metrics.render().decode()
            self.assertIn("hillthread_targets_leaving 1.0", page)
            self.assertIn("hillthread_targets_backing_off 1.0", page)

        scene_lib.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
