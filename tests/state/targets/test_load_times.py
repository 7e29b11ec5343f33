"""Tests of the prediction of load times."""

import unittest

from hillthread.state.targets import load_times


def run_load(times, load_s, lag_s=0.1):
    """Returns when a load was seen to end, and the reports that took."""
    elapsed_s = 0.0
    for reports in range(1, 100):
        elapsed_s += times.next_pause_s(elapsed_s)
        if elapsed_s >= load_s + lag_s:
            times.add(elapsed_s, reports)
            return elapsed_s, reports
    raise AssertionError("the end of the load was never seen")


class LoadTimesTest(unittest.TestCase):
    def test_recent_loads_reduce_reports_and_delay(self):
        # Guards against an engine that stays idle after its load, and against
        # five reports for each load.
        times = load_times.LoadTimes()
        _, first_reports = run_load(times, 0.76)
        for _ in range(8):
            run_load(times, 0.76)
        seen_s, reports = run_load(times, 0.76)
        self.assertEqual(5, first_reports)
        self.assertLessEqual(reports, 2)
        self.assertLess(seen_s - 0.86, 0.1 + 1e-9)

    def test_prediction_follows_slower_and_faster_loads(self):
        # Guards against a prediction that stays at the longest load seen.
        times = load_times.LoadTimes()
        for load_s in [0.6] * 8 + [1.8] * 16 + [0.6] * 16:
            seen_s, reports = run_load(times, load_s)
        self.assertLess(seen_s - 0.7, 0.1 + 1e-9)
        self.assertLessEqual(reports, 2)


if __name__ == "__main__":
    unittest.main()
