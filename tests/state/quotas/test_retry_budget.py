"""Tests of retry budgets."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.quotas import retry_budget


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self):
        budget = retry_budget.RetryBudget(0.1)
        allowed = 0
        for _ in range(1000):
            budget.deposit(0.0)
            allowed += budget.withdraw(0.0)
        self.assertLessEqual(allowed, 103)
        self.assertGreaterEqual(allowed, 95)

    def test_extra_retries_are_available_in_the_next_window(self):
        budget = retry_budget.RetryBudget(0.0)
        while budget.withdraw(0.0):
            pass
        self.assertTrue(budget.withdraw(10.0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 3.0), strategies.booleans()
            ),
            max_size=120,
        )
    )
    def test_no_window_exceeds_its_retries(self, steps):
        budget = retry_budget.RetryBudget(0.2, extra=2.0, window_s=5.0)
        now = 0.0
        first_attempts, retries = [], []
        for pause, is_retry in steps:
            now += pause
            if not is_retry:
                budget.deposit(now)
                first_attempts.append(now)
            elif budget.withdraw(now):
                retries.append(now)
                window = [at for at in retries if at > now - 5.0]
                accrued = 0.2 * len(
                    [at for at in first_attempts if at > now - 5.0]
                )
                self.assertLessEqual(len(window), accrued + 2.0)
