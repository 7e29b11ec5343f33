"""Tests of the budget for saves to a KV cache store."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.quotas import save_budget

LINK_BYTES_PER_S = 1000.0


class SaveBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = save_budget.SaveBudget()

    def request_saves(self, seconds, per_s, shared_bytes, prompt_bytes=100.0):
        """Requests saves at a steady rate and returns the bytes saved."""
        steps = int(seconds * per_s)
        return sum(
            prompt_bytes
            for step in range(steps)
            if self.budget.withdraw(
                step / per_s, LINK_BYTES_PER_S, shared_bytes, prompt_bytes
            )
        )

    def test_all_prompts_are_saved_while_the_budget_is_ample(self):
        self.assertEqual(
            self.request_saves(60.0, 5.0, shared_bytes=1.0), 60 * 5 * 100.0
        )

    def test_saves_beyond_the_link_share_are_refused(self):
        # Uses up the budget that accumulates before the first save.
        self.request_saves(60.0, 50.0, shared_bytes=90.0)
        self.budget._updated_at = 0.0
        saved = self.request_saves(100.0, 50.0, shared_bytes=90.0)
        self.assertLess(saved, 0.75 * LINK_BYTES_PER_S * 100.0)
        self.assertGreater(saved, 0.5 * LINK_BYTES_PER_S * 100.0)

    def test_mostly_shared_prompts_are_preferred(self):
        counts = {20.0: 0, 95.0: 0}
        for step in range(8000):
            shared_bytes = 95.0 if step % 2 else 20.0
            counts[shared_bytes] += self.budget.withdraw(
                step / 40.0, LINK_BYTES_PER_S, shared_bytes, 100.0
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
    def test_saves_never_exceed_the_link_share(self, demands):
        budget = save_budget.SaveBudget()
        now = 100.0
        saved = 0.0
        for pause, share, prompt_bytes in demands:
            now += pause
            if budget.withdraw(
                now, LINK_BYTES_PER_S, share * prompt_bytes, prompt_bytes
            ):
                saved += prompt_bytes
        allowed = 0.65 * LINK_BYTES_PER_S * (20.0 + now - 100.0)
        self.assertLessEqual(saved, allowed + 500.0)
