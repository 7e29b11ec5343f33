"""Tests the sampling of ordinary requests for the log."""

import unittest
from unittest import mock

from hillthread.coordination.gateway.serving import story


def count_logged(sampler, seconds, per_s):
    """Returns how many of the requests of some seconds are logged."""
    times = [800.0 + number / per_s for number in range(seconds * per_s)]
    with mock.patch.object(story.clock, "now", side_effect=times):
        return sum(sampler.should_log() for _ in times)


class RequestSamplerTest(unittest.TestCase):
    def test_small_site_logs_full_sample_at_each_host(self):
        sampler = story.RequestSampler(2)
        sampler.hosts = 8
        self.assertEqual(count_logged(sampler, 16, 10), 32)

    def test_large_site_logs_no_larger_sample(self):
        sampler = story.RequestSampler(2)
        sampler.hosts = 192
        self.assertEqual(count_logged(sampler, 16, 10), 4)
