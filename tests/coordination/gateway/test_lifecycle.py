"""Tests of configuration, keys, targets, weights, stops and store failures."""

import contextlib
import time
import unittest

import anyio

from hillthread import clock
from hillthread.standin import platform_target as standin
from hillthread.state.targets import weights
from tests.coordination.gateway import scene as scene_lib


class ConfigurationTest(unittest.TestCase):
    def test_host_without_a_configuration_answers_503(self):
        async def scenario(scene):
            scene.site.table = None
            answer = await scene.call(scene.request("/none/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertTrue(answer.head.get(b"retry-after"))

        scene_lib.run_scenario(scenario)

    def test_request_during_startup_waits_for_the_configuration(self):
        async def scenario(scene):
            self.assertTrue(scene.not_ready_reason())
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, ready=False, slow_s=0.1)

    def test_host_without_a_configuration_refuses_after_the_startup_wait(self):
        async def scenario(scene):
            scene.store.faults.silent = True
            first = await scene.call(scene.request("/once/x"))
            self.assertEqual(first.head.status, 503)
            scene.site.started_at -= 1.0
            scene.site.wait_over = None  # a request that waits now fails
            again = await scene.call(scene.request("/once/x"))
            self.assertEqual(again.head.status, 503)

        scene_lib.run_scenario(scenario, ready=False, slow_s=5.0)

    def test_host_whose_store_fails_refuses_at_once(self):
        async def scenario(scene):
            await scene.until(
                lambda: scene.program.follower_context.watch.lost_at
            )
            started = time.monotonic()
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertLess(time.monotonic() - started, 0.2)

        scene_lib.run_scenario(scenario, ready=False, store="127.0.0.1:1")

    def test_waiting_request_is_refused_as_soon_as_the_store_fails(self):
        async def scenario(scene):
            started = time.monotonic()
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertLess(time.monotonic() - started, 0.3)

        scene_lib.run_scenario(scenario, ready=False, store="127.0.0.1:1")

    def test_targets_count_as_known_as_soon_as_they_are_read(self):
        async def scenario(scene):
            site = scene.site
            await scene.until(lambda: site.table and site.targets.entries)
            self.assertEqual(scene.not_ready_reason(), "")

        scene_lib.run_scenario(scenario, ready=False, slow_s=0.05)

    def test_unknown_route_and_key(self):
        async def scenario(scene):
            answer = await scene.call(scene.request("/none/x"))
            self.assertEqual(answer.head.status, 404)
            answer = await scene.call(
                scene.request("/once/x", authorization="Bearer none")
            )
            self.assertEqual(answer.head.status, 401)
            answer = await scene.call(
                scene.request("/open/x", authorization="")
            )
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.run_scenario(scenario)

    def test_newer_configuration_is_applied_and_older_is_ignored(self):
        async def scenario(scene):
            scene.configure(routes=scene.configuration["routes"][2:])
            await scene.until(lambda: scene.site.table.position == 2)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 404)
            scene.store.put(
                "keyed.op", "config", {**scene.configuration, "version": 1}
            )
            await anyio.sleep(0.1)
            self.assertEqual(scene.site.table.position, 2)

        scene_lib.run_scenario(scenario)

    def test_unreadable_records_do_not_replace_readable_ones(self):
        async def scenario(scene):
            scene.store.put_raw("keyed.op", "config", b"{")
            scene.store.put_raw("keyed.op", "version/m", b"[]")
            scene.store.put_raw("keyed.servers", "p0", b"\xff")
            scene.store.put("keyed.servers", "late", scene.plain[1].entry())
            await scene.until(lambda: "late" in scene.site.targets.entries)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertIn(
                b'bad_records_total{kind="keyed.op"} 2.0',
                scene.program.metrics.render(),
            )

        scene_lib.run_scenario(scenario)

    def test_topics_are_reread_when_the_store_dropped_their_history(self):
        async def scenario(scene):
            scene.store.faults.status = 503
            await scene.until(
                lambda: scene.program.follower_context.watch.lost_at
            )
            scene.configure(routes=[])
            scene.store.remove("keyed.servers", "p0")
            scene.store.drop_history()
            scene.store.faults.status = 0
            await scene.until(lambda: scene.site.table.position == 2)
            await scene.until(lambda: "p0" not in scene.site.targets.entries)

        scene_lib.run_scenario(scenario)


class KeyTest(unittest.TestCase):
    def test_changes_do_not_make_keys_appear_outdated(self):
        async def scenario(scene):
            oldest = 0.0
            started = anyio.current_time()
            while anyio.current_time() - started < 2.0:
                scene.configure()
                for _ in range(9):
                    await anyio.sleep(0.05)
                    now = anyio.current_time()
                    oldest = max(oldest, scene.site.freshness.age(now))
            self.assertLess(oldest, scene.site.greatest_age_s)

        scene_lib.run_scenario(scenario, revoke_ms=1400)

    def test_one_follower_of_a_host_probes_a_lost_store(self):
        async def scenario(scene):
            calls = scene.store.topic_calls
            scene.store.faults.status = 503
            scene.configure()  # ends held reads, and the next ones fail
            scene.list_target(scene.plain[0])
            await scene.until(lambda: calls["keyed.op"] > 6)
            before = dict(calls)
            await scene.until(
                lambda: calls["keyed.op"] > before["keyed.op"] + 3
            )
            call_count = calls["keyed.servers"] - before["keyed.servers"]
            self.assertLessEqual(call_count, 1)
            scene.store.faults.status = 0
            late = standin.PlatformTargetStandin("late", "plain")
            scene.list_target(late)
            await scene.until(lambda: "late" in scene.site.targets.entries)

        scene_lib.run_scenario(scenario)

    def test_withdrawn_key_is_refused_by_a_host_that_lost_the_store(self):
        async def scenario(scene):
            scene.store.faults.silent = True
            scene.configure(tenants=[])
            lost_at = time.monotonic()
            served_last = 0.0
            while time.monotonic() - lost_at < 1.6:
                answer = await scene.call(scene.request("/once/x"))
                if answer.head.status == 200:
                    served_last = time.monotonic() - lost_at
                else:
                    self.assertEqual(answer.head.status, 503)
                await anyio.sleep(0.02)
            self.assertLess(served_last, 1.5)
            self.assertEqual(answer.head.status, 503)
            self.assertTrue(scene.not_ready_reason())
            answer = await scene.call(scene.request("/open/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario, revoke_ms=1500)

    def test_resumed_host_serves_no_key_until_it_has_read(self):
        async def scenario(scene):
            scene.site.freshness.known_until -= 60.0
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario)


class RetryAfterTest(unittest.TestCase):
    """Where and when callers retry that were refused."""

    async def call_refused(self, scene):
        """Returns the head of an answer refused because the store is lost."""
        answer = await scene.call(scene.request("/once/x"))
        self.assertEqual(answer.head.status, 503)
        return answer.head

    def test_host_without_the_store_sends_callers_elsewhere(self):
        async def scenario(scene):
            scene.site.neighbour_count = 2
            age_s = scene.site.greatest_age_s + 0.1
            scene.store.faults.silent = True
            scene.site.freshness.known_until = time.monotonic() - age_s
            head = await self.call_refused(scene)
            self.assertEqual(head.get(b"connection"), b"close")
            self.assertLess(float(head.get(b"retry-after")), 0.2)

        scene_lib.run_scenario(scenario)

    def test_callers_of_a_lone_host_retry_after_the_balancer_has_noticed(self):
        """An immediate retry would reach the same host again."""

        async def scenario(scene):
            entry = {"data_centre": "there", "feed": "127.0.0.1:1"}
            scene.store.put("keyed.hosts", "h2", entry)
            await scene.until(lambda: scene.site.cluster_size == 2)
            age_s = scene.site.greatest_age_s + 0.1
            scene.store.faults.silent = True
            scene.site.freshness.known_until = time.monotonic() - age_s
            expected_s = 2.0 - scene.site.unready_s(time.monotonic())
            head = await self.call_refused(scene)
            retry_after_s = float(head.get(b"retry-after"))
            self.assertGreaterEqual(retry_after_s, expected_s - 0.1)
            self.assertLess(retry_after_s, 2.0)

        scene_lib.run_scenario(scenario)

    def test_callers_retry_later_when_the_balancer_has_no_other_host(self):
        """By then the balancer would use other hosts, if there were any."""

        async def scenario(scene):
            scene.store.faults.silent = True
            scene.site.freshness.known_until = time.monotonic() - 60.0
            head = await self.call_refused(scene)
            self.assertGreaterEqual(float(head.get(b"retry-after")), 1.0)

        scene_lib.run_scenario(scenario)

    def test_callers_with_higher_priority_retry_first(self):
        async def scenario(scene):
            routes = [
                scene_lib.route(
                    f"p{n}", f"/p{n}/", "idempotent", "plain", priority=n
                )
                for n in range(3)
            ]
            scene.configure(routes=routes)
            await scene.until(lambda: scene.site.table.position == 2)
            for target in scene.plain:
                target.default_behaviour = standin.Refuse()
            spans = []
            for n in range(3):
                answers = [
                    await scene.call(scene.request(f"/p{n}/x"))
                    for _ in range(4)
                ]
                times = {
                    float(each.head.get(b"retry-after"))
                    for each in answers
                    if b"no_target" in each.body
                }
                self.assertGreater(len(times), 1)
                spans.append(times)
            self.assertLessEqual(max(spans[0]), min(spans[1]))
            self.assertLessEqual(max(spans[1]), min(spans[2]))

        scene_lib.run_scenario(scenario)


class HostsTest(unittest.TestCase):
    def test_hosts_are_counted_in_the_store(self):
        async def scenario(scene):
            entry = {"data_centre": "there", "feed": "127.0.0.1:1"}
            for name in ("h2", "h3"):
                scene.store.put("keyed.hosts", name, entry)
            await scene.until(lambda: scene.site.cluster_size == 3)
            share = scene.site.retry_share("plain", clock.now())
            self.assertEqual(share.host_count, 3)
            self.assertEqual(
                share.bounds.extra, scene.site.settings.retry_extra
            )
            self.assertIn("h1", scene.store.topics["keyed.hosts"].newest)

        scene_lib.run_scenario(scenario)


class TargetTest(unittest.TestCase):
    def test_leaving_target_gets_no_new_work(self):
        async def scenario(scene):
            departing, remaining = scene.plain
            scene.list_target(departing, "draining")
            await scene.until(lambda: "p0" in scene.site.targets.leaving)
            scene.list_target(departing, "ready")
            for _ in range(4):
                answer = await scene.call(scene.request("/once/x"))
                self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(departing.runs), 0)
            self.assertEqual(len(remaining.runs), 4)

        scene_lib.run_scenario(scenario)

    def test_target_at_a_reused_address_is_not_mistaken_for_another(self):
        async def scenario(scene):
            for target in scene.plain:
                target.name = f"other-{target.name}"
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario)

    def test_entries_that_expired_during_an_outage_are_kept_for_a_while(self):
        async def scenario(scene):
            scene.store.faults.status = 503
            await scene.until(
                lambda: scene.program.follower_context.watch.lost_at
            )
            for target in scene.plain:
                scene.store.remove("keyed.servers", target.name)
            scene.store.faults.status = 0
            await scene.until(
                lambda: not scene.program.follower_context.watch.lost_at
            )
            await anyio.sleep(0.1)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)
            scene.list_target(scene.plain[0])
            await scene.until(lambda: "p1" not in scene.site.targets.entries)
            self.assertIn("p0", scene.site.targets.entries)

        scene_lib.run_scenario(scenario)


class WeightsTest(unittest.TestCase):
    def test_announced_weights_are_loaded_by_every_engine(self):
        async def scenario(scene):
            scene.store.put(
                "keyed.op", "version/m", {"model": "m", "version": 2}
            )
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )
            fences = {o["fence"] for e in scene.engines for o in e.orders}
            holders = {o["holder"] for e in scene.engines for o in e.orders}
            self.assertEqual(fences, {0})
            self.assertEqual(holders, {"h1"})
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            run = [r for e in scene.engines for r in e.runs][-1]
            self.assertEqual(run.request.get(b"x-expect-version"), b"2")

        scene_lib.run_scenario(scenario, engines=5)

    def test_lease_holder_stops_when_an_engine_has_seen_a_newer_one(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.order_status = 412
            scene.store.put(
                "keyed.op", "version/m", {"model": "m", "version": 2}
            )
            lease = scene.program.rollout.lease
            await scene.until(lambda: lease.fencing_token >= 0)
            await scene.until(lambda: not lease.may_act())
            await anyio.sleep(0.3)
            self.assertFalse(lease.may_act())

        scene_lib.run_scenario(scenario, engines=1)

    def test_engine_that_returns_with_outdated_weights_gets_no_requests(self):
        async def scenario(scene):
            scene.store.put(
                "keyed.op", "version/m", {"model": "m", "version": 2}
            )
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )
            scene.site.weights = weights.WeightsTracker()
            scene.site.weights.record_announcement(
                "m", 2, time.monotonic() - 60.0
            )
            for engine in scene.engines:
                scene.site.weights.update_from_report(engine.name, "m", 2)
            old = scene.engines[0]
            old.weights = 1
            old.name = "e0-again"
            old.order_status = 409
            scene.store.remove("keyed.servers", "e0")
            scene.list_target(old)
            await scene.until(lambda: "e0-again" in scene.site.targets.entries)
            for number in range(8):
                parts = f"aa:300,b{number}:500,cc:100"
                answer = await scene.call(
                    scene.prompt("/stream/x", x_prompt_prefix=parts)
                )
                self.assertEqual(answer.head.status, 200)
            self.assertEqual(old.runs, [])

        scene_lib.run_scenario(scenario, engines=2)


class StopTest(unittest.TestCase):
    def test_planned_stop_finishes_requests_and_closes_idle_connections(self):
        async def scenario(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Serve(0.6)
            address = scene.program.server.address
            idle = await scene.pool.acquire(address)
            await idle.send_request(scene.request("/open/x"))
            await idle.read_head()
            await idle.read_body(1000)
            busy = await scene.pool.acquire(address)
            await busy.send_request(scene.request("/once/x"))
            stopped = anyio.Event()

            async def stop():
                await scene.program.drain(time.monotonic())
                stopped.set()

            scene.tasks.start_soon(stop)
            await anyio.sleep(0.05)
            self.assertEqual(scene.not_ready_reason(), "stopping")
            head = await busy.read_head()
            self.assertEqual(head.status, 200)
            self.assertEqual(head.get(b"connection"), b"close")
            with anyio.fail_after(3.0):
                self.assertEqual(await idle.receive(), b"")
                await stopped.wait()

        scene_lib.run_scenario(scenario, grace_s=1.6)

    def test_closing_host_refuses_requests(self):
        async def scenario(scene):
            scene.tasks.start_soon(scene.program.drain, time.monotonic())
            await scene.until(lambda: scene.site.is_closing)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(answer.head.get(b"connection"), b"close")
            self.assertTrue(answer.head.get(b"retry-after"))
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario, grace_s=0.8)

    def test_request_three_seconds_into_a_stop_is_refused(self):
        async def scenario(scene):
            scene.tasks.start_soon(scene.program.drain, time.monotonic())
            await anyio.sleep(3.0)
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario, grace_s=8.0)

    def test_request_on_an_idle_connection_is_served_until_it_closes(self):
        async def scenario(scene):
            scene.program.server.stopping = True
            connection = await scene.pool.acquire(scene.program.server.address)
            await connection.send_request(scene.request("/once/x"))
            scene.program.server.close_idle()
            head = await connection.read_head()
            self.assertEqual(head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_request_cancelled_at_the_end_of_a_stop_gets_an_answer(self):
        async def scenario(scene):
            for target in scene.plain:
                target.default_behaviour = standin.NeverAnswer()
            connection = await scene.pool.acquire(scene.program.server.address)
            await connection.send_request(scene.request("/once/x"))
            await scene.until(scene.runs)
            await scene.program.drain(time.monotonic())
            with anyio.fail_after(0.1):
                head = await connection.read_head()
                body = await connection.read_body(10_000)
            self.assertEqual(head.status, 502)
            self.assertIn(b'"run":"unknown"', body)

        scene_lib.run_scenario(scenario, grace_s=0.8)

    def test_slowly_sent_request_is_answered_before_the_end_of_a_stop(self):
        async def scenario(scene):
            stopped = anyio.Event()

            async def stop():
                await scene.program.drain(time.monotonic())
                stopped.set()

            connection = await scene.pool.acquire(scene.program.server.address)
            await connection.stream.send(
                b"POST /once/x HTTP/1.1\r\nhost: callers.example\r\n"
                b"x-request-id: slow\r\ncontent-length: 5\r\n\r\n"
            )
            scene.tasks.start_soon(stop)
            await scene.until(lambda: scene.site.is_closing)
            await anyio.sleep(0.2)
            self.assertFalse(stopped.is_set())
            await connection.stream.send(b"hello")
            answer = await connection.receive()
            self.assertIn(b" 503 ", answer)
            with anyio.fail_after(0.3):
                await stopped.wait()

        scene_lib.run_scenario(scenario, grace_s=1.6)


class CallerInputTest(unittest.TestCase):
    def test_bad_requests_are_refused_and_counted(self):
        async def scenario(scene):
            raw = {
                b"POST /once/x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
                b"transfer-encoding: chunked\r\n\r\n": b" 400 ",
                b"nonsense\r\n\r\n": b" 400 ",
                b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 20000: b" 431 ",
                b"POST /once/x HTTP/1.1\r\nhost: a\r\n"
                b"content-length: 5000000\r\n\r\n" + b"z" * 4_300_000: b" 413 ",
            }
            for sent, status in raw.items():
                connection = await scene.pool.acquire(
                    scene.program.server.address
                )
                scene.tasks.start_soon(_send, connection, sent)
                with anyio.fail_after(3.0):
                    answer = await connection.receive()
                self.assertIn(status, answer.split(b"\r\n")[0])
                await connection.close()
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario)

    def test_prompt_headers_survive_the_connection_header(self):
        async def scenario(scene):
            answer = await scene.call(
                scene.prompt(
                    "/stream/x",
                    connection="keep-alive, x-prompt-prefix, x-a",
                    x_a="1",
                )
            )
            self.assertEqual(answer.head.status, 200)
            run = next(r for e in scene.engines for r in e.runs)
            self.assertTrue(run.request.get(b"x-prompt-prefix"))
            self.assertFalse(run.request.get(b"x-a"))

        scene_lib.run_scenario(scenario)


async def _send(connection, data):
    closed = (anyio.BrokenResourceError, anyio.ClosedResourceError)
    with contextlib.suppress(*closed):  # the gateway has read enough
        await connection.stream.send(data)
