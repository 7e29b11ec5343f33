"""Tests of tenant limits and their shares."""

import unittest

from hillthread.bench import limits as limits_bench
from hillthread.state.config import objects
from hillthread.state.quotas import limits
from hillthread.state.quotas import shares


class TenantUsageTest(unittest.TestCase):
    def usage(self, **bounds):
        return limits.TenantUsage(objects.Limits(**bounds), 1.0, 0.0)

    def test_no_limits_allow_all(self):
        usage = self.usage()
        for _ in range(1000):
            self.assertIsNone(usage.refusal_wait_s(0.0))
            usage.begin()

    def test_concurrency(self):
        usage = self.usage(concurrency=2)
        usage.begin()
        usage.begin()
        self.assertIsNotNone(usage.refusal_wait_s(0.0))
        usage.end(0.0)
        self.assertIsNone(usage.refusal_wait_s(0.0))

    def test_rate_limit_returns_the_time_to_wait(self):
        usage = self.usage(requests_per_s=2.0)
        usage.begin()
        self.assertAlmostEqual(usage.refusal_wait_s(0.0), 0.5)
        self.assertIsNone(usage.refusal_wait_s(0.5))

    def test_tokens_are_charged_when_a_request_ends(self):
        usage = self.usage(tokens_per_s=100.0)
        usage.begin()
        usage.end(250.0)
        self.assertIsNotNone(usage.refusal_wait_s(1.9))
        self.assertIsNone(usage.refusal_wait_s(2.1))

    def test_changed_share_gives_no_new_burst(self):
        usage = self.usage(requests_per_s=100.0)
        admitted = 0
        for tick in range(1000):
            now = tick * 0.001
            usage.set_limits(usage.limits, 0.5 + 0.1 * (tick % 2), now)
            if usage.refusal_wait_s(now) is None:
                usage.begin()
                admitted += 1
        self.assertLess(admitted, 60 + 50 + 5)


class DemandSharesTest(unittest.TestCase):
    def test_shares_follow_demand_and_reports_expire(self):
        demand_shares = shares.DemandShares()
        demand_shares.router_count = 2
        self.assertEqual(demand_shares.share("t", 0.0), 0.5)
        demand_shares.end_interval(0.0)
        for _ in range(30):
            demand_shares.count_request("t")
        demand_shares.end_interval(1.0)
        demand_shares.update_peer("other", {"t": 10.0}, 1.0)
        self.assertAlmostEqual(demand_shares.share("t", 1.0), 0.75)
        self.assertEqual(demand_shares.share("t", 9.0), 0.5)

    def test_router_without_demand_keeps_a_minimum_share(self):
        demand_shares = shares.DemandShares()
        demand_shares.router_count = 4
        for host in "abc":
            demand_shares.update_peer(host, {"t": 100.0}, 0.0)
        self.assertAlmostEqual(demand_shares.share("t", 0.0), 0.025)

    def test_overshoot_is_bounded_under_every_pattern(self):
        for pattern, results in limits_bench.measure_limits(2).items():
            with self.subTest(pattern):
                self.assertLess(results["demand"].used, 1.05)
                self.assertLess(results["demand"].worst_second, 1.6)
        self.assertGreater(results["demand"].used, 0.8)
