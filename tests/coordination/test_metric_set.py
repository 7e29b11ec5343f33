"""Tests of the bound on the number of time series."""

import unittest

from hillthread.coordination import metric_set
from hillthread.coordination import metrics


class BoundedLabelsTest(unittest.TestCase):
    def test_labels_beyond_the_bound_share_one_series(self):
        labels = metric_set.BoundedLabels()
        admitted = [labels.admit(number) for number in range(300)]
        self.assertEqual(sum(admitted), 256)
        self.assertTrue(labels.admit(0))

    def test_number_of_tenant_series_is_bounded(self):
        router = metrics.RouterMetrics()
        for number in range(2200):
            router.observe_first_token(f"t{number}", 0.1)
        page = router.render().decode()
        self.assertIn('tenant="other"', page)
        self.assertEqual(page.count("first_token_seconds_count{"), 257)
