"""Tests of what a host knows of the speed of engines."""

import unittest

import msgspec

from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import target_beliefs
from hillthread.state.routing import engine_speed

ENGINES = ("e1", "e2", "e3")


def encode_entry(number, born_ms=1):
    """Returns an entry of the list of targets."""
    return msgspec.json.encode(
        {
            "service": "engines",
            "address": f"127.0.0.1:{number + 1}",
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "models": [{"name": "m", "version": 3}],
            "sequence": 4,
            "born": born_ms,
        }
    )


def make_beliefs():
    """Returns the beliefs of a host that lists three engines of a pool."""
    beliefs = target_beliefs.TargetBeliefs(metrics_lib.GatewayMetrics())
    for number, name in enumerate(ENGINES):
        beliefs.put_target(name, encode_entry(number))
    return beliefs


class SpeedTest(unittest.TestCase):
    def setUp(self):
        self.beliefs = make_beliefs()

    def add_samples(self, factors, now=0.0):
        """Adds samples of engines that differ from 80 tokens a ms, for 30 s."""
        for number in range(30):
            tokens = (500.0, 5_000.0)[number % 2]
            for name, factor in factors.items():
                seconds = factor * (0.03 + tokens / 80_000.0)
                sample = engine_speed.SpeedSample(tokens, seconds)
                self.beliefs.add_speed_sample(name, sample, now + number)

    def test_slow_engine_has_a_lower_rate_and_a_longer_base(self):
        """Guards against queues of unlike engines counted with one rate."""
        self.add_samples({"e1": 0.8, "e2": 1.6})
        fast_s, slow_s, unknown_s = (
            self.beliefs.refresh_speed(name, 30.0) for name in ENGINES
        )
        fast, slow, unknown = (
            self.beliefs.state(name).load.prefill_tokens_per_s
            for name in ENGINES
        )
        self.assertGreater(fast, 1.4 * slow)
        self.assertLess(fast_s, slow_s / 1.4)
        self.assertEqual(
            unknown, self.beliefs.pool_speed("e1").prefill_tokens_per_s
        )
        self.assertEqual(unknown_s, self.beliefs.pool_speed("e1").base_s)

    def test_pool_is_learned_by_engines_that_were_never_used(self):
        """Guards against a host that learns each engine from the start."""
        self.add_samples({"e1": 1.0})
        self.beliefs.refresh_speed("e3", 100.0)
        rate = self.beliefs.state("e3").load.prefill_tokens_per_s
        self.assertAlmostEqual(rate / 80_000.0, 1.0, delta=0.15)

    def test_restarted_engine_starts_over(self):
        """Guards against a slowdown kept for another process."""
        self.add_samples({"e1": 0.8, "e2": 1.6})
        self.assertGreater(self.beliefs.state("e2").speed.slowdown(30.0), 1.2)
        self.beliefs.put_target("e2", encode_entry(1, born_ms=2))
        self.assertEqual(self.beliefs.state("e2").speed.slowdown(30.0), 1.0)
