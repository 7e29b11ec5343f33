"""Tests when the order to load weights is sent."""

import time
import unittest

from tests.coordination.gateway import scene as scene_lib

_QUEUE_S = 0.2


class OrderTimeTest(unittest.TestCase):
    # Guards against requests that the engine refuses because they still wait.
    def test_order_is_sent_when_the_known_queue_is_empty(self):
        async def scenario(scene):
            (engine,) = scene.engines
            notified_at = []
            apply = scene.site.apply_weights_notice

            def apply_and_queue(notice, now):
                apply(notice, now)
                if not notified_at:
                    notified_at.append(time.monotonic())
                    load = scene.site.state(engine.name).load
                    tokens = _QUEUE_S * load.prefill_tokens_per_s
                    load.add_peer_prefill(tokens, now)

            scene.site.apply_weights_notice = apply_and_queue
            scene.announce_weights(2)
            await scene.until(lambda: engine.timed_orders)
            waited_s = engine.timed_orders[0].at - notified_at[0]
            self.assertGreaterEqual(waited_s, _QUEUE_S)

        scene_lib.run_scenario(scenario, engines=1, plain=0)
