"""Tests of which failed attempts use up a request's attempts."""

import types
import unittest
from unittest import mock

from hillthread import errors
from hillthread.coordination import forwarder
from hillthread.state.routing import records
from hillthread.transport import target_client

_EPOCH = types.SimpleNamespace(weights_version="w1")
_OTHER = types.SimpleNamespace(weights_version="w2")


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Attempts are replaced; what counts them is real."""

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

    async def serve(self, refusals, learns):
        """Serves a request that is refused so often; returns its sends."""
        made = mock.Mock(spec=forwarder.Forwarder, fleet=self.fleet)
        made.client = made.checker = made.settings = mock.Mock()
        made.metrics = mock.Mock()
        made._back_off = mock.AsyncMock()
        made._may_retry.return_value = True
        test = self

        async def attempt(job):
            test.sends += 1
            if test.sends > refusals:
                return None
            name = f"t{test.sends}"
            known = _OTHER if learns else _EPOCH
            belief = types.SimpleNamespace(epoch=known)
            test.fleet.warmth.targets[name] = belief
            expected = mock.Mock(epoch=_EPOCH)
            expected.target.name = name
            refused = records.AttemptState.REFUSED
            error = target_client.AttemptError(
                refused, "refused", targets_fault=False
            )
            job._note_failure(expected, error)
            return error

        with mock.patch.object(forwarder._Job, "attempt", attempt):
            await forwarder.Forwarder.serve(made, self.exchange)
        return self.sends

    async def test_targets_that_all_changed_weights_are_asked_again(self):
        self.assertEqual(await self.serve(refusals=4, learns=True), 5)

    async def test_refusals_that_tell_nothing_use_up_the_attempts(self):
        with self.assertRaises(errors.RefusalError):
            await self.serve(refusals=4, learns=False)
        self.assertEqual(self.sends, 3)

    async def test_news_without_end_are_failures_in_the_end(self):
        with self.assertRaises(errors.RefusalError):
            await self.serve(refusals=99, learns=True)
        self.assertEqual(self.sends, 7)
