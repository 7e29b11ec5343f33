"""Kills all gateways at once: callers are served again within the bound."""

import os
import pathlib
import unittest
from unittest import mock

from hillthread.bench.gateway_soak import fleet_return

_ROOT = pathlib.Path(__file__).resolve().parents[3]


class FleetReturnTest(unittest.TestCase):
    def test_callers_are_served_within_the_recovery_time(self):
        plan = fleet_return.ReturnPlan(hosts=6, calm_s=1.0, judged_s=2.0)
        (report,) = fleet_return.run_return(plan)
        self.assertFalse(report.is_late, report)
        self.assertEqual(report.missing, 0)

    def test_late_return_is_found(self):
        plan = fleet_return.ReturnPlan(
            hosts=2,
            recover_s=1.0,
            calm_s=1.0,
            judged_s=2.0,
            module="tests.bench.slow_gateway",
        )
        with mock.patch.dict(os.environ, PYTHONPATH=str(_ROOT)):
            (report,) = fleet_return.run_return(plan)
        self.assertTrue(report.is_late, report)
        self.assertEqual(report.missing, 2)


if __name__ == "__main__":
    unittest.main()
