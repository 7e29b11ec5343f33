"""Tests of the checks of an answer's head."""

import types
import unittest
from unittest import mock

from hillthread import clock
from hillthread.coordination import attempt_checks
from hillthread.coordination import fleet as fleet_lib
from hillthread.coordination import metrics
from hillthread.state.config import objects
from hillthread.state.routing import decision
from hillthread.transport import target_client
from tests.coordination import test_fleet


class BackoffTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet_lib.Fleet("dc1")
        self.checker = attempt_checks.HeadChecker(
            self.fleet, mock.Mock(spec=metrics.RouterMetrics)
        )
        self.target = test_fleet.make_target("t0")

    def check_refusal(self, status, **headers):
        """Checks a refusal of the target; expects an error."""
        response = types.SimpleNamespace(
            status_code=status,
            headers={
                "x-request-id": "a1",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
        )
        expected = attempt_checks.Expectation(
            self.target, mock.Mock(attempt_id="a1"), None, False
        )
        with self.assertRaises(target_client.AttemptError):
            self.checker.check(response, expected)

    def exclusion(self, now):
        """Returns the exclusion of the target, or None."""
        pool = objects.Pool(name="p", target_selector="")
        constraints = fleet_lib.PlacementConstraints([self.target], pool, "m")
        found = self.fleet.choose(test_fleet.QUERY, constraints, now)
        return found.scores[0].exclusion

    # Guards against requests to a target that sheds load before the time in
    # its Retry-After is over.
    def test_target_is_excluded_during_its_backoff(self):
        self.check_refusal(503, retry_after="30")
        now = clock.now()
        backing_off = decision.Exclusion.BACKING_OFF
        self.assertEqual(self.exclusion(now), backing_off)
        self.assertIsNone(self.exclusion(now + 31.0))

    def test_other_refusals_start_no_backoff(self):
        self.check_refusal(503)
        self.check_refusal(503, retry_after="soon")
        self.check_refusal(429, retry_after="30")
        self.assertIsNone(self.exclusion(clock.now()))
