"""Tests that `hillthread-ctl explain` explains failures from logs alone."""

import contextlib
import io
import json
import logging
import os
import pathlib
import tempfile
import unittest

import anyio

from hillthread import errors
from hillthread.programs import ctl
from hillthread.standin import platform_target as standin
from hillthread.transport import http1_client
from hillthread.transport import log_writer
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_peer_forwarder
from tests.coordination.gateway.serving import test_quota


class ExplainingTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "host.log"
        self.file = self.enterContext(self.path.open("wb"))
        self.handler = log_writer.BufferedLogHandler(self.file.fileno())
        root = logging.getLogger()
        level = root.level
        root.addHandler(self.handler)
        root.setLevel(logging.INFO)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.removeHandler, self.handler)

    def explain(self, request, **options):
        self.handler.flush()
        name = dict(request.headers)[b"x-request-id"].decode()
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            ctl.Ctl().explain(name, logs=str(self.path), **options)
        return output.getvalue()

    def test_refused_under_overload(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Refuse()
            request = scene.request("/once/x")
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 503)
            explanation = self.explain(request)
            self.assertIn("Cause: targets refused it: p", explanation)
            self.assertIn("p0 (503)", explanation)
            self.assertIn("p1 (503)", explanation)
            self.assertIn("run: not_run", explanation)

        scene_lib.run_scenario(story)

    def test_refused_because_all_targets_are_limited(self):
        async def story(scene):
            for target in scene.plain:
                target.limit_per_s = 1.0
            answer = None
            while answer is None or answer.head.status == 200:
                request = scene.request("/once/x")
                answer = await scene.call(request)
            self.assertEqual(answer.head.status, 503)
            explanation = self.explain(request)
            self.assertIn("refused with 503 targets_limited", explanation)
            self.assertIn("run: not_run", explanation)
            self.assertIn(
                "Cause: 2 targets could take the request", explanation
            )
            self.assertIn("p0 limited", explanation)
            self.handler.flush()
            lines = self.path.read_text()
            self.assertIn('"event":"target_limited"', lines)
            self.assertIn('"limit_per_s":1.0', lines)

        scene_lib.run_scenario(story)

    def test_announcements_of_a_target_are_explained(self):
        async def story(scene):
            for target in scene.plain:
                target.backoff_s = 2.0
                target.announces_leaving = True
            request = scene.request("/once/x")
            await scene.call(request)
            explanation = self.explain(request)
            self.assertIn("the target announced that it leaves", explanation)
            self.assertIn("the target asked for 2.0 s of back-off", explanation)

        scene_lib.run_scenario(story)

    def test_refused_because_a_quota_is_exhausted(self):
        async def story(scene):
            quota = {"ratePerS": 100, "burst": 100, "unit": "token_stream"}
            first, second = scene.configuration["tenants"]
            scene.configure(tenants=[first | quota, second])
            await scene.until(scene.program.quotas.statuses)
            tokens = {"x_token_count": "700,40"}
            answer = None
            while answer is None or answer.head.status == 200:
                request = scene.prompt("/stream/x", **tokens)
                answer = await scene.call(request)
            self.assertEqual(answer.head.status, 429)
            explanation = self.explain(request)
            self.assertIn("refused with 429 quota_exceeded", explanation)
            self.assertIn("run: not_run", explanation)
            self.assertIn(
                "Cause: tenant-one has used its quota of 100 tokens a second",
                explanation,
            )
            self.handler.flush()
            self.assertIn('"event":"quota_spent"', self.path.read_text())
            page = scene.program.metrics.render()
            self.assertIn(b'quota_refused_total{tenant="tenant-one"}', page)

        scene_lib.run_scenario(story)

    def test_request_that_another_host_served(self):
        async def story(scene):
            programs, _ = await test_peer_forwarder.start_cut_host(
                scene, log_requests_per_s=1_000
            )
            request = scene.request("/once/x")
            answer = await test_quota.ask(scene, programs[0], request)
            self.assertEqual(answer.head.status, 200)
            explanation = self.explain(request)
            self.assertIn(
                "sent to host h2, since this one cannot reach plain: whole",
                explanation,
            )
            self.assertIn("links lost (", explanation)
            self.assertIn("admitted from host h1", explanation)
            self.assertIn("Cause: none; it was answered whole.", explanation)
            page = programs[0].metrics.render()
            self.assertIn(b'forwarded_total{host="h2",outcome="whole"}', page)
            self.assertIn(b"links_lost 1.0", page)

        scene_lib.run_scenario(story, log_requests_per_s=1_000)

    def test_stream_cut_off_by_a_crash(self):
        async def story(scene):
            for engine in scene.engines:
                engine.default_behaviour = standin.TruncateStream(2)
            request = scene.prompt("/stream/x")
            with self.assertRaises(http1_client.CallError):
                await scene.call(request)
            await anyio.sleep(0.05)
            ran = next(e.name for e in scene.engines if e.runs)
            explanation = self.explain(request)
            self.assertIn(f"target {ran} failed (answer", explanation)
            self.assertIn("because its route is not resumable", explanation)
            document = json.loads(self.explain(request, json=True))
            self.assertEqual(document["missing"], [])

        scene_lib.run_scenario(story)

    def test_choice_of_old_weights_logs_the_newer_version_and_its_age(self):
        async def story(scene):
            scene.engines[0].order_status = 409
            scene.announce_weights(3)
            await scene.until(lambda: "m" in scene.site.weights.newest)
            request = scene.prompt("/stream/x", x_deadline_ms="500")
            scene.engines[0].queue_behaviours(standin.Fail())
            await scene.call(request)
            self.handler.flush()
            lines = map(json.loads, self.path.read_text().splitlines())
            (old_weights,) = [
                line["old_weights"]
                for line in lines
                if line.get("event") == "target_chosen"
            ]
            self.assertEqual(
                (old_weights["held"], old_weights["newer"]), (1, 3)
            )
            self.assertEqual(old_weights["grace"], "free")
            self.assertLess(old_weights["age_s"], 1.3)
            self.assertIn(
                b'old_weights_choices_total{grace="free"} 1.0',
                scene.program.metrics.render(),
            )
            status = scene.site.weights_status(anyio.current_time())
            self.assertEqual(status["weights_behind"], {"e0 m": 1})
            self.assertEqual(status["weights_named"]["m"]["version"], 3)

        scene_lib.run_scenario(story, engines=1)

    def test_end_of_a_weights_load_is_logged(self):
        async def story(scene):
            scene.announce_weights(2)
            await scene.until(lambda: scene.engines[0].weights == 2)
            await scene.until(lambda: not scene.program.rollout.loading)
            self.handler.flush()
            lines = map(json.loads, self.path.read_text().splitlines())
            ends = [
                (line["target"], line["version"], line["outcome"])
                for line in lines
                if line.get("event") == "load_ended"
            ]
            self.assertEqual(ends, [("e0", 2, "held")])

        scene_lib.run_scenario(story, engines=1)

    def test_failure_of_the_targets_themselves(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = standin.Fail()
            request = scene.request("/again/x")
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 500)
            explanation = self.explain(request)
            self.assertIn("answered whole with status 500", explanation)
            self.assertIn("Cause: targets ran it and failed: p", explanation)
            self.assertIn("p0 (500)", explanation)
            self.assertIn("p1 (500)", explanation)

        scene_lib.run_scenario(story)

    def test_explanation_names_the_source_of_cached_prefixes(self):
        async def story(scene):
            (store,) = await scene_lib.start_cache_stores(scene, 1)
            for engine in scene.engines:
                engine.queue_behaviours(standin.Refuse())
            request = scene.prompt("/stream/x")
            await scene.call(request)
            explanation = self.explain(request)
            self.assertIn(f"cache {store.address}, saved there", explanation)

        scene_lib.run_scenario(story)

    def test_refused_because_the_store_was_lost(self):
        async def story(scene):
            scene.store.faults.reset = True
            scene.configure()
            await scene.until(scene.not_ready_reason)
            await scene.until(
                lambda: not scene.site.may_serve_keys(anyio.current_time())
            )
            request = scene.request("/once/x")
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 503)
            explanation = self.explain(request)
            self.assertIn("lost the store and cannot check keys", explanation)
            self.assertRegex(explanation, r"the store was lost \d\.\d s before")

        scene_lib.run_scenario(story, revoke_ms=1600)

    def test_refused_before_the_configuration_was_read(self):
        """An unknown age of the store must not produce invalid JSON."""

        async def story(scene):
            scene.site.started_at -= 1.0
            request = scene.request("/once/x")
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 503)
            explanation = self.explain(request)
            self.assertIn("does not know the configuration yet", explanation)
            self.handler.flush()
            self.assertNotIn("Infinity", self.path.read_text())

        scene_lib.run_scenario(story, ready=False, slow_s=5.0)

    def test_every_refusal_is_logged(self):
        async def story(scene):
            requests = [
                scene.request("/none/x"),
                scene.request("/once/x", authorization="Bearer no"),
                scene.request("/once/x", x_deadline_ms="100"),
                scene.request("/again/x"),
            ]
            for target in scene.plain:
                target.queue_behaviours(standin.NeverAnswer())
            for request in requests[:3]:
                await scene.call(request)
            for target in scene.plain:
                target.behaviours.clear()
                target.default_behaviour = standin.ResetConnection()
            await scene.call(requests[3])
            for request in requests:
                self.assertIn("refused with", self.explain(request))

        scene_lib.run_scenario(story)

    def test_unknown_id_and_unreadable_file(self):
        with self.assertRaises(errors.NotFoundError):
            ctl.Ctl().explain("none", logs=os.devnull)
        with self.assertRaises(ctl.CtlError):
            ctl.Ctl().explain("none", logs="/nonexistent/file")


class BlockedOutputTest(unittest.TestCase):
    def test_blocked_log_output_delays_no_request(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = log_writer.BufferedLogHandler(writer, 20_000)
        root = logging.getLogger()
        root.addHandler(handler)
        self.addCleanup(root.removeHandler, handler)
        level = root.level
        root.setLevel(logging.INFO)
        self.addCleanup(root.setLevel, level)

        async def story(scene):
            scene.tasks.start_soon(handler.run)
            for target in scene.plain:
                target.default_behaviour = standin.Fail()
            for _ in range(300):
                answer = await scene.call(scene.request("/again/x"))
                self.assertEqual(answer.head.status, 500)
                for target in scene.plain:
                    scene.site.state(target.name).record_success()

        scene_lib.run_scenario(story)
        self.assertGreater(handler.dropped, 0)
