"""Tests of deferred and refused prompts, through the dispatcher."""

import time
import unittest
from unittest import mock

from hillthread.coordination.gateway.peers import work_feed
from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib


async def set_up(scene, queued_s, urgency=0):
    """Makes routes differ in urgency, and fills the queues of all engines."""
    for route in scene.configuration["routes"]:
        if route["name"] == "resume":
            route["priority"] = 0
    scene.configure()
    await scene.until(lambda: scene.site.has_urgency_classes)
    for engine in scene.engines:
        load = scene.site.state(engine.name).load
        load.add_peer_prefill(
            queued_s * load.prefill_tokens_per_s, time.monotonic(), urgency
        )


def count_scheduled(scene, decision, urgency):
    """Returns the count of a decision."""
    labels = scene.site.metrics.scheduled.labels(decision, urgency)
    return labels._value.get()


def priorities(scene):
    """Returns the priorities with which engines got prompts."""
    return [
        run.request.get(b"x-request-priority")
        for engine in scene.engines
        for run in engine.runs
    ]


class PromptSchedulerTest(unittest.TestCase):
    def test_prompt_behind_a_long_queue_is_served_late(self):
        # Guards against refusing what a caller would take late, and against
        # deferred prompts that other hosts take to be urgent.
        async def story(scene):
            await set_up(scene, 0.8)
            for engine in scene.engines:
                engine.default_behaviour = standin.Queue(0.6)
            with mock.patch.object(
                work_feed.WorkFeed, "notify_work", autospec=True
            ) as notify:
                started = time.monotonic()
                answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertGreater(time.monotonic() - started, 0.5)
            self.assertEqual(priorities(scene), [b"9"])
            self.assertEqual(notify.call_args.args[1].urgency, 9)
            self.assertEqual(count_scheduled(scene, "defer", "4"), 1.0)

        scene_lib.run_scenario(story)

    def test_prompt_beyond_the_patience_of_its_caller_is_refused_at_once(self):
        # Guards against engines that compute what nobody waits for, and
        # against retries that come too late or too early.
        for deadline_ms, has_retry_time in (("3000", True), ("2000", False)):
            with self.subTest(deadline_ms=deadline_ms):

                async def story(
                    scene, deadline_ms=deadline_ms, retries=has_retry_time
                ):
                    await set_up(scene, 1.2)
                    answer = await scene.call(
                        scene.prompt("/stream/x", x_deadline_ms=deadline_ms)
                    )
                    self.assertEqual(answer.head.status, 503)
                    self.assertIn(b"queue_too_long", answer.body)
                    self.assertIn(b'"run":"not_run"', answer.body)
                    after_s = float(answer.head.get(b"retry-after") or 0.0)
                    self.assertEqual(after_s > 0.7, retries)
                    self.assertEqual(scene.runs(), [])
                    self.assertEqual(count_scheduled(scene, "refuse", "4"), 1)

                scene_lib.run_scenario(story)

    def test_less_urgent_backlog_does_not_hold_back_urgent_prompts(self):
        # Guards against urgent prompts that are refused because of work that
        # engines serve after them.
        async def story(scene):
            await set_up(scene, 3.0, urgency=9)
            answer = await scene.call(scene.prompt("/resume/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(priorities(scene), [b"0"])
            self.assertEqual(count_scheduled(scene, "send", "0"), 1.0)

        scene_lib.run_scenario(story)

    def test_retry_of_a_deferred_prompt_that_may_have_run_stays_deferred(self):
        # Guards against retries that overtake prompts which are in time,
        # also when queues are short again.
        async def story(scene):
            await set_up(scene, 0.8)
            sent = []

            def break_first(notice):
                """Breaks the first stream, and empties all queues."""
                sent.append(scene.site.targets.name_of(notice.engine))
                for engine in scene.engines:
                    scene.site.state(engine.name).load.peer_prefills.clear()
                    if sent == [engine.name]:
                        engine.queue_behaviours(standin.TruncateStream(2))

            with mock.patch.object(
                work_feed.WorkFeed, "notify_work", side_effect=break_first
            ):
                answer = await scene.call(scene.prompt("/resume/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(priorities(scene), [b"9", b"9"])

        scene_lib.run_scenario(story)


if __name__ == "__main__":
    unittest.main()
