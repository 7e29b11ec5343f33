"""Tests what a process logs of its start, and while it is not ready."""

import unittest

from hillthread.coordination.gateway import metrics as metrics_lib
from hillthread.coordination.gateway import startup


class StartupProgressTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics_lib.GatewayMetrics()
        self.progress = startup.StartupProgress(self.metrics)

    def test_stage_counts_once(self):
        self.assertTrue(self.progress.reach(startup.LISTENING))
        first = dict(self.progress.seconds)
        self.assertFalse(self.progress.reach(startup.LISTENING))
        self.assertEqual(self.progress.seconds, first)
        self.assertIn(
            b'hillthread_start_seconds{stage="listening"}',
            self.metrics.render(),
        )

    def test_processor_time_counts_from_the_start_of_the_process(self):
        self.assertGreater(self.progress.processor_s[startup.LOADED], 0.0)

    def test_stages_are_logged_once_ready(self):
        with self.assertLogs("hillthread.program") as logs:
            self.progress.reach(startup.READY)
            self.progress.reach(startup.READY)
        (record,) = logs.records
        self.assertEqual(list(record.seconds), [startup.LOADED, startup.READY])


class ReadinessLogTest(unittest.TestCase):
    def setUp(self):
        metrics = metrics_lib.GatewayMetrics()
        self.log = startup.ReadinessLog(startup.StartupProgress(metrics))

    def events(self, reason, until_s):
        """Returns the events logged up to a time, at four updates a second."""
        with self.assertLogs("hillthread.program") as logs:
            for quarter in range(int(until_s * 4) + 1):
                self.log.update(reason, None, quarter / 4)
        return logs.records

    def test_reports_what_is_missing_at_growing_intervals(self):
        records = self.events("targets not known", 16.0)
        self.assertEqual(
            [(each.event, getattr(each, "seconds", 0.0)) for each in records],
            [
                ("readiness", 0.0),
                ("not_ready", 1.0),
                ("not_ready", 3.0),
                ("not_ready", 7.0),
                ("not_ready", 15.0),
            ],
        )
        self.assertEqual(records[-1].reason, "targets not known")

    def test_ready_host_logs_nothing_more(self):
        records = self.events("", 30.0)
        self.assertEqual(
            [each.event for each in records], ["start_stages", "readiness"]
        )


if __name__ == "__main__":
    unittest.main()
