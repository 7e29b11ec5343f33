"""Tests of which failures count against a request's attempts."""

import types
import unittest
from unittest import mock

from hillthread import errors
from hillthread.coordination import forwarder
from hillthread.state.routing import records
from hillthread.transport import target_client

_EPOCH = types.SimpleNamespace(weights_version="w1")
_NEW_EPOCH = types.SimpleNamespace(weights_version="w2")


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Replaces single attempts; the counting of failures is real."""

    def setUp(self):
        warmth = types.SimpleNamespace(targets={})
        self.fleet = mock.Mock(warmth=warmth)
        self.fleet.retry_budget.return_value.withdraw.return_value = True
        policy = types.SimpleNamespace(max_attempts=3)
        self.exchange = mock.Mock(started=False, deadline=float("inf"))
        self.exchange.is_streamed = False
        self.exchange.resolved.policy = policy
        self.exchange.run_state.return_value = errors.RunState.NOT_RUN
        self.sends = 0

    async def serve(self, refusals, has_new_weights):
        """Serves a request with so many refusals; returns the attempts made.

        Args:
            refusals: Attempts that are refused before one succeeds.
            has_new_weights: Whether each refusal reveals new weights.
        """
        fake = mock.Mock(spec=forwarder.Forwarder, fleet=self.fleet)
        fake.client = fake.checker = fake.settings = mock.Mock()
        fake.metrics = mock.Mock()
        fake._back_off = mock.AsyncMock()
        fake._may_retry.return_value = True
        test = self

        async def attempt(job):
            test.sends += 1
            if test.sends > refusals:
                return None
            name = f"t{test.sends}"
            believed = _NEW_EPOCH if has_new_weights else _EPOCH
            belief = types.SimpleNamespace(epoch=believed)
            test.fleet.warmth.targets[name] = belief
            expected = mock.Mock(epoch=_EPOCH)
            expected.target.name = name
            refused = records.AttemptState.REFUSED
            error = target_client.AttemptError(
                refused, "refused", is_target_fault=False
            )
            job._record_failure(expected, error)
            return error

        with mock.patch.object(forwarder._Job, "attempt", attempt):
            await forwarder.Forwarder.serve(fake, self.exchange)
        return self.sends

    async def test_refusals_with_a_new_epoch_use_no_attempts(self):
        self.assertEqual(await self.serve(refusals=4, has_new_weights=True), 5)

    async def test_refusals_with_the_same_epoch_use_attempts(self):
        with self.assertRaises(errors.RefusalError):
            await self.serve(refusals=4, has_new_weights=False)
        self.assertEqual(self.sends, 3)

    async def test_many_refusals_with_a_new_epoch_count_as_failures(self):
        with self.assertRaises(errors.RefusalError):
            await self.serve(refusals=99, has_new_weights=True)
        self.assertEqual(self.sends, 7)
