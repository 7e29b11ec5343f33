"""Tests of the bound on saves to a store of KV cache."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.quotas import save_budget

LINK = 1000.0


class SaveBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = save_budget.SaveBudget()

    def saved(self, seconds, per_s, shared, whole=100.0):
        """Returns the bytes saved of steady demand."""
        steps = int(seconds * per_s)
        return sum(
            whole
            for step in range(steps)
            if self.budget.withdraw(step / per_s, LINK, shared, whole)
        )

    def test_all_is_saved_while_there_is_plenty(self):
        self.assertEqual(self.saved(60.0, 5.0, shared=1.0), 60 * 5 * 100.0)

    def test_demand_beyond_the_link_is_bounded(self):
        self.saved(60.0, 50.0, shared=90.0)  # what was kept is spent
        self.budget._at = 0.0
        saved = self.saved(100.0, 50.0, shared=90.0)
        self.assertLess(saved, 0.75 * LINK * 100.0)
        self.assertGreater(saved, 0.5 * LINK * 100.0)

    def test_mostly_shared_prompts_go_first(self):
        counts = {20.0: 0, 95.0: 0}
        for step in range(8000):
            shared = 95.0 if step % 2 else 20.0
            counts[shared] += self.budget.withdraw(
                step / 40.0, LINK, shared, 100.0
            )
        self.assertGreater(counts[95.0], 5 * counts[20.0])

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 5.0),
                strategies.floats(0.0, 1.0),
                strategies.floats(0.0, 500.0),
            ),
            max_size=60,
        )
    )
    def test_never_more_than_the_link_gives(self, demands):
        budget = save_budget.SaveBudget()
        now = 100.0
        saved = 0.0
        for pause, share, whole in demands:
            now += pause
            if budget.withdraw(now, LINK, share * whole, whole):
                saved += whole
        given = 0.65 * LINK * (20.0 + now - 100.0)
        self.assertLessEqual(saved, given + 500.0)
