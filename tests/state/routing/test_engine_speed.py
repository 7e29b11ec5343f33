"""Tests of the speeds learned for pools and engines."""

import random
import unittest

from hillthread.state.routing import engine_speed


def make_pool(base_s, tokens_per_s, late_share=0.0, count=200):
    """Returns a pool that has learned from short and long prompts."""
    rng = random.Random(3)
    pool = engine_speed.PoolSpeed()
    for number in range(count):
        tokens = rng.choice((100.0, 800.0, 3_000.0, 9_000.0))
        seconds = (base_s + tokens / tokens_per_s) * rng.uniform(0.95, 1.05)
        if rng.random() < late_share:
            seconds *= 2.5
        sample = engine_speed.SpeedSample(tokens, seconds)
        pool.add_sample(sample, number * 0.02)
    return pool


class PoolSpeedTest(unittest.TestCase):
    def test_base_time_and_rate_are_learned_together(self):
        """Guards against a rate that contains the latency of the network."""
        for base_s, tokens_per_s in ((0.06, 81_900.0), (0.01, 30_000.0)):
            pool = make_pool(base_s, tokens_per_s)
            self.assertAlmostEqual(pool.base_s, base_s, delta=0.01)
            ratio = pool.prefill_tokens_per_s / tokens_per_s
            self.assertAlmostEqual(ratio, 1.0, delta=0.1)

    def test_late_samples_move_the_line_little(self):
        """Guards against hidden queues that are taken for slow engines."""
        pool = make_pool(0.03, 80_000.0, late_share=0.15)
        for tokens in (500.0, 5_000.0):
            true_s = 0.03 + tokens / 80_000.0
            self.assertLess(pool.expected_s(tokens), 1.3 * true_s)

    def test_values_stay_within_their_bounds(self):
        for base_s, tokens_per_s in ((1.0, 1e9), (1e-6, 1e9), (0.0, 100.0)):
            pool = make_pool(base_s, tokens_per_s)
            self.assertGreaterEqual(pool.base_s, 0.0)
            self.assertLessEqual(pool.base_s, 0.3)
            self.assertGreaterEqual(pool.prefill_tokens_per_s, 12_499.9)
            self.assertLessEqual(pool.prefill_tokens_per_s, 200_000.1)

    def test_implausible_samples_are_ignored(self):
        """Guards against values from broken clocks and other hosts."""
        pool = engine_speed.PoolSpeed()
        for tokens, seconds in (
            (float("nan"), 1.0),
            (-5.0, 1.0),
            (100.0, 0.0),
            (100.0, -1.0),
            (100.0, 1e9),
            (100.0, float("nan")),
        ):
            pool.add_sample(engine_speed.SpeedSample(tokens, seconds), 0.0)
        self.assertEqual(pool.sample_count, 0)
        self.assertAlmostEqual(pool.expected_s(5_000.0), 0.12)

    def test_speed_outlasts_a_pause_and_a_clock_jump(self):
        """Guards against a return to the initial speed without traffic."""
        pool = make_pool(0.06, 150_000.0)
        for now in (1e6, -1e6):
            sample = engine_speed.SpeedSample(3_000.0, 0.08)
            pool.add_sample(sample, now)
            self.assertAlmostEqual(pool.expected_s(3_000.0), 0.08, delta=0.01)


class EngineSpeedTest(unittest.TestCase):
    def setUp(self):
        self.speed = engine_speed.EngineSpeed()

    def add(self, ratio, start, stop, interval_s):
        """Adds samples of one ratio at an interval."""
        while start < stop:
            self.speed.add_sample(ratio, start)
            start += interval_s

    def test_lasting_slowdown_is_known_after_a_few_samples(self):
        """Guards against engines treated alike although they differ."""
        for ratio in (0.7, 1.7):
            self.speed = engine_speed.EngineSpeed()
            self.add(ratio, 0.0, 2.5, 0.8)
            error = self.speed.slowdown(2.5) / ratio
            self.assertAlmostEqual(error, 1.0, delta=0.15)

    def test_short_slow_moment_is_ignored(self):
        """Guards against avoiding an engine for 10 s after 0.6 s."""
        for interval_s in (0.05, 0.2, 0.8):
            self.speed = engine_speed.EngineSpeed()
            self.add(0.7, 0.0, 5.0, 0.8)
            self.add(0.7 * 2.5, 5.0, 5.6, interval_s)
            self.assertLess(self.speed.slowdown(5.6), 0.95)
            self.add(0.7, 6.0, 7.5, 0.8)
            self.assertLess(self.speed.slowdown(7.5), 0.85)

    def test_engine_without_samples_counts_as_average(self):
        self.add(1.7, 0.0, 5.0, 0.5)
        self.assertGreater(self.speed.slowdown(13.0), 1.3)
        self.assertEqual(self.speed.slowdown(15.0), 1.0)

    def test_clock_jump_is_tolerated(self):
        """Guards against a slowdown that is kept or infinite forever."""
        self.add(1.7, 1_000.0, 1_003.0, 0.5)
        self.assertGreater(self.speed.slowdown(-1e6), 1.0)
        self.add(0.7, -1e6, -1e6 + 30.0, 0.8)
        self.assertLess(self.speed.slowdown(-1e6 + 30.0), 0.85)
        self.assertEqual(self.speed.slowdown(1e6), 1.0)

    def test_implausible_ratios_are_clipped_or_ignored(self):
        for ratio in (float("nan"), float("inf"), 0.0, -1.0):
            self.speed.add_sample(ratio, 0.0)
        self.assertEqual(self.speed.slowdown(0.0), 1.0)
        self.add(1e9, 1.0, 3.0, 0.5)
        self.assertLessEqual(self.speed.slowdown(3.0), 8.0)

    def test_doubtful_sample_is_soon_followed_by_another(self):
        """Guards against an engine judged by one slow moment for seconds."""
        self.speed.add_sample(1.0, 0.0)
        self.assertFalse(self.speed.is_sample_due(1.0, 262))
        self.speed.add_sample(2.5, 7.0)
        self.assertTrue(self.speed.is_sample_due(8.0, 262))
        self.add(2.5, 8.0, 40.0, 0.8)
        self.assertFalse(self.speed.is_sample_due(41.0, 262))
