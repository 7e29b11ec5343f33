"""Tests of sending, deferring and refusing prompts."""

import unittest

from hillthread.state.scheduling import scheduler

DEMAND = scheduler.PromptDemand(0, 0.4, 2.0, 0.0, 15.0)


def outlook(queue_s, backlog_s=0.0, **loads):
    """Returns the outlook on an engine."""
    return scheduler.EngineOutlook(queue_s, backlog_s, **loads)


class PatienceTest(unittest.TestCase):
    def test_caller_abandons_after_the_longest_of_three_times(self):
        # Guards against refusing callers that would still have waited.
        for aim_s, gap_aim_s, patience_s in (
            (0.4, 0.1, 2.0),
            (1.2, 0.1, 4.8),
            (0.4, 0.5, 4.0),
        ):
            self.assertAlmostEqual(
                scheduler.compute_patience_s(aim_s, gap_aim_s, 0.0, 15.0),
                patience_s,
            )

    def test_caller_does_not_wait_beyond_its_deadline(self):
        # Guards against deferring work until nobody waits for it.
        self.assertAlmostEqual(
            scheduler.compute_patience_s(1.2, 0.0, 0.5, 1.0), 1.5
        )
        self.assertAlmostEqual(
            scheduler.compute_patience_s(1.2, 0.0, 0.5, -1.0), 0.5
        )


class DecideTest(unittest.TestCase):
    def test_prompt_that_begins_in_time_is_sent_with_its_urgency(self):
        # Guards against less urgent work that holds back urgent prompts.
        demand = DEMAND._replace(urgency=4)
        self.assertEqual(
            scheduler.decide(demand, outlook(0.2, 9.0)), scheduler.Send(4)
        )

    def test_prompt_without_an_aim_or_a_queue_is_sent(self):
        # Guards against deferral where nothing is known of a queue, and of
        # prompts that have used up their aim elsewhere.
        self.assertEqual(
            scheduler.decide(DEMAND._replace(aim_s=0.0), outlook(9.0)),
            scheduler.Send(0),
        )
        self.assertEqual(
            scheduler.decide(DEMAND._replace(waited_s=1.0), outlook(0.0)),
            scheduler.Send(0),
        )

    def test_prompt_that_would_be_late_is_deferred(self):
        # Guards against late prompts that make those behind them late too.
        deferred = scheduler.Defer(9)
        self.assertEqual(scheduler.decide(DEMAND, outlook(0.5)), deferred)
        waited = DEMAND._replace(waited_s=0.2)
        self.assertEqual(scheduler.decide(waited, outlook(0.2)), deferred)

    def test_more_urgent_prompts_that_arrive_later_count(self):
        # Guards against promising an aim to prompts that will be overtaken.
        queue = outlook(0.2, more_urgent_load=0.5)
        self.assertEqual(scheduler.decide(DEMAND, queue), scheduler.Defer(9))

    def test_absurd_load_leaves_a_finite_wait(self):
        # Guards against a division by zero, and refusals without end.
        for load in (-3.0, 1.0, 7.0):
            queue = outlook(0.01, more_urgent_load=load, sent_load=load)
            self.assertEqual(scheduler.decide(DEMAND, queue), scheduler.Send(0))

    def test_organisation_above_its_fair_share_is_deferred_first(self):
        # Guards against one organisation that makes others miss their aim, and
        # against limiting it while capacity is free.
        above = DEMAND._replace(is_above_fair_share=True)
        queue = outlook(0.2)
        self.assertEqual(scheduler.decide(DEMAND, queue), scheduler.Send(0))
        self.assertEqual(scheduler.decide(above, queue), scheduler.Defer(9))
        self.assertEqual(
            scheduler.decide(above, outlook(0.1)), scheduler.Send(0)
        )

    def test_prompt_that_its_caller_would_abandon_is_refused(self):
        # Guards against wasted work: by a long backlog, and by one that the
        # prompts sent on time hold back.
        for queue in (
            outlook(0.7, 1.01),
            outlook(0.7, 0.9, sent_load=0.6),
        ):
            self.assertIsInstance(
                scheduler.decide(DEMAND, queue), scheduler.Refuse
            )

    def test_retry_time_is_when_the_queue_of_its_class_is_short_enough(self):
        # Guards against callers that come back to the same queue, or later
        # than they would wait.
        refused = scheduler.decide(DEMAND, outlook(1.5))
        self.assertAlmostEqual(refused.servable_in_s, 1.2)
        self.assertEqual(refused.retry_after_s, refused.servable_in_s)
        in_haste = DEMAND._replace(seconds_left=3.0)
        refused = scheduler.decide(in_haste, outlook(1.5))
        self.assertAlmostEqual(refused.servable_in_s, 1.2)
        self.assertIsNone(refused.retry_after_s)


if __name__ == "__main__":
    unittest.main()
