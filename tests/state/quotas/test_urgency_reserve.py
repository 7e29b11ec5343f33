"""Tests that urgent requests are served first near a quota's limit.

In order of arrival, long requests of 9,199 tokens and urgent short ones of 875
are refused equally often, so that the short ones get little of the quota.
"""

import random
import unittest

from hillthread.state.config import objects
from hillthread.state.quotas import quota as quota_lib
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import urgency_reserve

RATE_PER_S = 100_000.0
BOUNDS = quota_lib.QuotaBounds(8.0, 0.1, 110_000.0)
LIMIT_PER_S = RATE_PER_S * 9.0 / 8.0
LONG, SHORT = (5, 9_199), (3, 875)
# Arrivals per second of long and short requests, in this ratio.
ARRIVALS = {LONG: 77.0, SHORT: 107.0}
DURATION_S = 60.0
WARM_UP_S = 12.0


def served_shares(load, with_urgency, arrivals=None, seed=1):
    """Returns the served shares by class, and the usage of the quota.

    Args:
        load: Offered units as a multiple of the quota.
        with_urgency: Whether requests state their urgency.
        arrivals: Ratio of arrivals by class and size.
        seed: Seed of the arrivals.
    """
    arrivals = arrivals or ARRIVALS
    rng = random.Random(seed)
    ledger = quota_ledger.QuotaLedger("h0", 1, BOUNDS)
    quota = objects.Quota(
        rate_per_s=RATE_PER_S,
        burst=RATE_PER_S,
        unit=objects.QuotaUnit.TOKENS,
        plain_tokens=200,
    )
    ledger.set_quotas({"org": quota}, 0.0)
    ledger.exchange.report_to(ledger.exchange.origin, 0.0, 1)
    offered_per_s = sum(rate * size for (_, size), rate in arrivals.items())
    per_s = load * LIMIT_PER_S / offered_per_s
    counts = {kind: [0, 0] for kind in arrivals}
    now, used = 0.0, 0.0
    while now < DURATION_S:
        now += rng.expovariate(per_s * sum(arrivals.values()))
        kind = rng.choices(list(arrivals), list(arrivals.values()))[0]
        urgency, size = kind
        check = ledger.check_request(
            "org", size, now, urgency if with_urgency else None
        )
        is_sent = check.remaining > 0.0
        if is_sent:
            ledger.charge("org", size, now)
        if now >= WARM_UP_S:
            counts[kind][is_sent] += 1
            used += size * is_sent
    shares = {k: sent / (sent + no) for k, (no, sent) in counts.items()}
    return shares, used / (DURATION_S - WARM_UP_S) / LIMIT_PER_S


class UrgencyReserveTest(unittest.TestCase):
    def test_urgent_requests_are_served_first(self):
        """Guards against long requests that crowd out urgent short ones."""
        for seed in (1, 2):
            for load in (1, 2, 4):
                with self.subTest(load=load, seed=seed):
                    before, _ = served_shares(load, False, seed=seed)
                    after, used = served_shares(load, True, seed=seed)
                    self.assertGreater(after[SHORT], 0.95)
                    self.assertGreaterEqual(after[SHORT], before[SHORT])
                    self.assertGreater(after[LONG], before[LONG] * 0.25)
                    # Reserving does not leave the quota unused.
                    self.assertGreater(used, 0.85)

    def test_no_class_starves(self):
        """Guards against urgent demand that alone exceeds the quota."""
        arrivals = {LONG: 10.0, (3, 875): 1_000.0}
        for seed in (1, 2):
            for load in (2, 4):
                with self.subTest(load=load, seed=seed):
                    shares, _ = served_shares(load, True, arrivals, seed)
                    self.assertGreater(shares[LONG], 0.25 / load)

    def test_large_requests_do_not_starve(self):
        """Guards against a reserve that only small requests fit beside."""
        arrivals = {(3, 875): 100.0, (5, 875): 100.0, LONG: 10.0}
        shares, _ = served_shares(2, True, arrivals)
        self.assertGreater(shares[LONG], shares[5, 875] * 0.5)

    def test_nothing_is_reserved_without_more_urgent_demand(self):
        """Guards against a reserve that refuses below the quota."""
        demand = urgency_reserve.UrgencyReserve()
        demand.count_demand(5, 1_000.0, 100.0, 0.0)
        self.assertEqual(demand.reserved(5, 90, []), 0.0)
        demand.count_demand(3, 1_000.0, 100.0, 0.0)
        self.assertGreater(demand.reserved(5, 90, []), 0.0)
        # The reserve ends soon after the demand.
        demand.count_demand(5, 1_000.0, 100.0, 40.0)
        self.assertEqual(demand.reserved(5, 90, []), 0.0)

    def test_reserve_lasts_until_usage_leaves_the_window(self):
        """Guards against a reserve for longer than the quota is used up."""
        demand = urgency_reserve.UrgencyReserve()
        demand.count_demand(3, 2_000.0, 100.0, 0.0)
        self.assertAlmostEqual(demand.reserved(5, 1, [(4.0, 9e9)]), 4_000.0)
        self.assertAlmostEqual(demand.reserved(5, 1, [(0.2, 9e9)]), 500.0)


if __name__ == "__main__":
    unittest.main()
