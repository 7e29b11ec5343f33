"""Tests of the urgency of requests."""

import unittest

from hillthread.state.scheduling import urgency


class UrgencyTest(unittest.TestCase):
    def test_tenant_priority_takes_precedence(self):
        # Guards against a background route of a premium tenant that is served
        # after the interactive route of an ordinary one.
        self.assertLess(
            urgency.compute_urgency(0, 2), urgency.compute_urgency(1, 0)
        )

    def test_route_priority_orders_requests_of_equal_tenants(self):
        # Guards against tenants' priorities that hide those of routes.
        ranked = [urgency.compute_urgency(1, route) for route in range(3)]
        self.assertEqual(sorted(set(ranked)), ranked)

    def test_unusual_priorities_stay_in_the_range_of_engines(self):
        # Guards against values that engines refuse.
        for priority in (-5, 0, 3, 10**9):
            for route_priority in (-5, 0, 3, 10**9):
                found = urgency.compute_urgency(priority, route_priority)
                self.assertIn(found, range(urgency.LEAST_URGENT + 1))


if __name__ == "__main__":
    unittest.main()
