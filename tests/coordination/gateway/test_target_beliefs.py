"""Tests of what a host knows of the speed of engines."""

import unittest
from unittest import mock

import msgspec

from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import target_beliefs
from hillthread.protocol import work_notice
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

    def test_operators_see_engines_that_differ(self):
        self.add_samples({"e1": 1.0, "e2": 1.6, "e3": 1.0})
        self.beliefs.mark_leaving("e1", "list")
        statuses = {
            each.target: each for each in self.beliefs.target_statuses(30.0)
        }
        self.assertEqual(statuses.keys(), {"e1", "e2"})
        self.assertGreater(statuses["e2"].slowdown, 1.25)
        self.assertFalse(statuses["e2"].is_leaving)


class SpeedNoticeTest(unittest.TestCase):
    def setUp(self):
        self.sender = make_beliefs()
        self.receiver = make_beliefs()
        for beliefs in (self.sender, self.receiver):
            beliefs.table = mock.Mock(has_urgency_classes=True)

    def share(self, name, factor, count):
        """Sends samples of an engine to the receiver; returns the notices."""
        notices = []
        for number in range(count):
            tokens = (500.0, 5_000.0)[number % 2]
            sample = engine_speed.SpeedSample(
                tokens, factor * (0.03 + tokens / 80_000.0)
            )
            notice = self.sender.add_speed_sample(name, sample, float(number))
            notices.append(notice)
            self.receiver.apply_speed_notice(notice, number + 0.06)
        return notices

    def count_samples(self):
        return self.receiver.pool_speed("e1").sample_count

    def test_receiver_learns_pool_and_engine(self):
        """Guards against hosts that learn only from their own prompts."""
        self.share("e1", 1.0, 20)
        self.share("e2", 1.8, 5)
        self.assertGreater(self.receiver.state("e2").speed.slowdown(5.0), 1.3)
        rate = self.receiver.pool_speed("e1").prefill_tokens_per_s
        self.assertAlmostEqual(rate / 80_000.0, 1.0, delta=0.3)

    def test_host_that_has_just_started_relies_on_the_sender(self):
        """Guards against all engines judged by the initial speed."""
        notice = work_notice.SpeedNotice(
            self.sender.targets.key_of("e1"), 5_000, 60, 60
        )
        for number in range(4):
            self.receiver.apply_speed_notice(notice, float(number))
        slowdown = self.receiver.state("e1").speed.slowdown(4.0)
        self.assertEqual(slowdown, 1.0)

    def test_useless_notices_are_ignored(self):
        """Guards against values from restarted engines or broken hosts."""
        key = self.receiver.targets.key_of("e1")
        good = work_notice.SpeedNotice(key, 5_000, 100, 90)
        for bad in (
            good._replace(engine=12345),
            good._replace(millis=0),
            good._replace(millis=10**400),
            good._replace(millis=9_999),
            good._replace(pool_millis=0),
            good._replace(pool_millis=-10),
            good._replace(prefill_tokens=-1),
            good._replace(prefill_tokens=10**400),
        ):
            self.receiver.apply_speed_notice(bad, 0.0)
        self.receiver.put_target("e1", encode_entry(0, born_ms=2))
        self.receiver.apply_speed_notice(good, 0.0)
        self.assertEqual(self.count_samples(), 0)

    def test_speeds_are_not_shared_without_urgency_classes(self):
        """Guards against packets that deployments do not need."""
        (notice,) = self.share("e1", 1.0, 1)
        self.assertIsNotNone(notice)
        for beliefs in (self.sender, self.receiver):
            beliefs.table = mock.Mock(has_urgency_classes=False)
        self.receiver.apply_speed_notice(notice, 1.0)
        self.assertEqual(self.count_samples(), 1)
        sample = engine_speed.SpeedSample(500.0, 0.04)
        self.assertIsNone(self.sender.add_speed_sample("e1", sample, 9.0))

    def test_samples_of_one_moment_are_shared_once(self):
        """Guards against a busy engine that uses up the shared rate."""
        sample = engine_speed.SpeedSample(500.0, 0.03)
        shared = [
            self.sender.add_speed_sample("e1", sample, 1.0 + 0.01 * number)
            for number in range(5)
        ]
        self.assertEqual(sum(each is not None for each in shared), 1)
