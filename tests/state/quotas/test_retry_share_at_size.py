"""Tests of the retries of 8, 90 and 420 hosts together, in virtual time."""

import unittest

from hillthread.state.quotas import retry_share
from tests.state.quotas import fleet_of_shares

# Hosts, requests a second and `extra` of three deployments.
_SIZES = ((8, 31.0, 56.0), (90, 300.0, 220.0), (420, 2_500.0, 880.0))
# Part of the budget that the hosts make use of while half of all attempts fail.
_MIN_USED = 0.6
# Part of the retries that are made when targets crash one after the other, far
# apart enough for the budget.
_MIN_SERVED_CRASHES = 0.7
_SECONDS = 30.0


def make_fleets(seeds=2):
    """Yields fleets of all sizes with half, whole and twice the bounds."""
    for host_count, rate_per_s, extra in _SIZES:
        for factor in (0.5, 1.0, 2.0):
            for seed in range(seeds if host_count < 400 else 1):
                bounds = retry_share.RetryBounds(
                    0.2 * factor, extra * factor, 10.0
                )
                fleet = fleet_of_shares.Fleet(bounds, host_count, seed)
                yield fleet, rate_per_s


class FleetSizeTest(unittest.TestCase):
    def check_bound(self, fleet):
        self.assertLessEqual(
            fleet.worst_share(), 1.0, (fleet.bounds, len(fleet.hosts))
        )

    def test_half_of_all_attempts_fail(self):
        for fleet, rate_per_s in make_fleets():
            failing = (10.0, 10.0 + _SECONDS)
            fleet.run(rate_per_s, failing[1], failing)
            self.check_bound(fleet)
            self.assertGreaterEqual(fleet.worst_share(), _MIN_USED)

    # Guards against successors that spend again what their predecessors spent.
    def test_hosts_are_killed_and_started_in_turn(self):
        for fleet, rate_per_s in make_fleets():
            fleet.run(rate_per_s, 10.0)
            count = len(fleet.hosts)
            for number in range(2 * count):
                fleet.restart(number)
                now = fleet.now
                fleet.run(rate_per_s, 10.0 / count, (now, now + 10.0), 1.0)
            self.check_bound(fleet)

    # Guards against requests that count at one host and then at another one.
    def test_load_moves_from_host_to_host(self):
        for fleet, rate_per_s in make_fleets():
            for number in range(12):
                for _ in range(int(rate_per_s * 2.5)):
                    fleet.now += 1.0 / rate_per_s
                    fleet.send(number)
                while fleet.retry(number):
                    pass
            self.check_bound(fleet)

    def test_all_retries_are_delayed_until_the_same_moment(self):
        for fleet, rate_per_s in make_fleets():
            fleet.run(rate_per_s, 20.0, (10.0, 20.0), 1.0)
            at = fleet.now
            fleet.retries = [
                at if at - 1.0 < time <= at else time for time in fleet.retries
            ]
            fleet.run(rate_per_s, 20.0, (20.0, 40.0), 1.0)
            self.check_bound(fleet)

    # Guards against shares too small for what one crashed target had open.
    def test_requests_of_crashed_targets_are_retried(self):
        for host_count, rate_per_s, extra in _SIZES:
            bounds = retry_share.RetryBounds(0.2, extra, 10.0)
            fleet = fleet_of_shares.Fleet(bounds, host_count)
            fleet.run(rate_per_s, 15.0)
            for _ in range(5):
                fleet.crash_target()
                fleet.run(rate_per_s, 5.0)
            served = len(fleet.retries) / fleet.needed
            self.assertGreaterEqual(served, _MIN_SERVED_CRASHES, host_count)
            self.check_bound(fleet)
