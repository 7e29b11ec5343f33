"""A test that the demonstration of the gateway shows what it says."""

import contextlib
import io
import unittest

from hillthread.bench import gateway_demo


class GatewayDemoTest(unittest.TestCase):
    def test_shows_placement_resume_and_a_withdrawn_key(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            gateway_demo.run_gateway_demo()
        told = output.getvalue()
        self.assertIn("apart by organisation, were each served by one", told)
        self.assertIn("stream resumes (after=1", told)
        self.assertIn("Cause: none; it was answered whole.", told)
        self.assertIn("a withdrawn key is answered with 401", told)
        self.assertIn("no promise broken", told)
