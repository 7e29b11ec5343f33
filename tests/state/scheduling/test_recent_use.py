"""Tests of the recent use by organisations."""

import unittest

from hillthread.state.scheduling import recent_use


def add_all(use, counts, now=0.0):
    """Adds prompts of 0.1 s each, by organisation."""
    for organisation, count in counts.items():
        for _ in range(count):
            use.add(0, organisation, 0.1, now)


class RecentUseTest(unittest.TestCase):
    def test_organisation_with_many_prompts_is_above_its_share(self):
        # Guards against one organisation that takes the share of the others,
        # and against limiting the others.
        use = recent_use.RecentUse()
        add_all(use, {"heavy": 15, "a": 2, "b": 2, "c": 3})
        self.assertTrue(use.is_above_fair_share(0, "heavy", 1.0))
        for organisation in ("a", "b", "c", "new"):
            self.assertFalse(use.is_above_fair_share(0, organisation, 1.0))
        # It is not limited in a class where it competes with nobody.
        use.add(4, "heavy", 9.0, 1.0)
        self.assertFalse(use.is_above_fair_share(4, "heavy", 1.0))

    def test_use_fades_and_inactive_organisations_do_not_count(self):
        # Guards against punishing a burst that is over.
        use = recent_use.RecentUse()
        add_all(use, {"heavy": 15, "a": 2, "b": 2, "c": 3})
        for now in range(1, 30):
            add_all(use, {"heavy": 1, "a": 1, "b": 1}, float(now))
        self.assertFalse(use.is_above_fair_share(0, "heavy", 30.0))
        self.assertEqual(use.active[0], 3)

    def test_rate_counts_prompts_that_are_more_urgent(self):
        # Guards against waits that leave out who will overtake.
        use = recent_use.RecentUse()
        for tenth in range(300):
            use.add(0, "a", 0.02, tenth / 10)
            use.add(4, "a", 0.05, tenth / 10)
        self.assertAlmostEqual(use.prefill_rate(4, 30.0), 0.2, 1)
        self.assertAlmostEqual(use.prefill_rate(10, 30.0), 0.7, 1)
        self.assertEqual(use.prefill_rate(0, 30.0), 0.0)
        self.assertEqual(use.prefill_rate(10, 60.0), 0.0)

    def test_memory_is_bounded(self):
        # Guards against growth with organisations that come and go.
        use = recent_use.RecentUse()
        for number in range(10_000):
            use.add(number % 10, f"o{number}", 0.1, number / 1e4)
        self.assertLessEqual(len(use.used), 4_400)
        self.assertEqual(len(use.used), len(use.last_at))
        self.assertEqual(sum(use.active.values()), len(use.used))

    def test_clock_jumps_keep_values_finite(self):
        # Guards against an overflow that would fail every later request.
        use = recent_use.RecentUse()
        for now in (1e9, 0.0, 5.0, 1e12, 1.0):
            use.add(0, "a", 0.1, now)
            self.assertLess(use.prefill_rate(10, now), 1.0)
            self.assertFalse(use.is_above_fair_share(0, "a", now))


if __name__ == "__main__":
    unittest.main()
