"""Tests of how a host finds out that it reaches no target."""

import unittest

from hillthread.state.targets import target_links


class TargetLinksTest(unittest.TestCase):
    def setUp(self):
        self.links = target_links.TargetLinks()

    def fail(self, *targets, now=0.0):
        for target in targets:
            self.links.record_failure(target, now)

    def test_links_are_lost_when_several_targets_fail_and_none_succeeds(self):
        self.fail("a", "b", "c", now=5.0)
        self.assertFalse(self.links.update(1_900, 5.05))
        self.assertTrue(self.links.update(1_900, 5.125))
        self.assertEqual(self.links.lost_since, 5.0)
        self.assertFalse(self.links.update(1_900, 5.25))
        self.assertTrue(self.links.is_lost)

    def test_some_targets_that_end_together_are_not_the_links(self):
        self.fail("a", "b", "c", "d")
        self.assertFalse(self.links.record_success())
        self.assertFalse(self.links.update(9, 1.0))

    def test_failures_that_are_far_apart_do_not_count_together(self):
        self.fail("a", now=0.0)
        self.fail("b", now=3.0)
        self.fail("c", now=6.0)
        self.assertFalse(self.links.update(9, 6.2))

    def test_all_of_a_few_targets_suffice_but_not_a_single_one(self):
        self.fail("a")
        self.assertFalse(self.links.update(1, 1.0))
        self.fail("b", now=0.5)
        self.assertTrue(self.links.update(2, 1.0))

    def test_first_success_ends_the_loss(self):
        self.fail("a", "b", "c")
        self.links.update(9, 1.0)
        self.assertTrue(self.links.record_success())
        self.assertFalse(self.links.is_lost)
        self.assertFalse(self.links.update(9, 1.5))


class UnansweredTest(unittest.TestCase):
    def setUp(self):
        self.links = target_links.TargetLinks()

    def fail_to_answer(self, *targets, now=0.0):
        for target in targets:
            self.links.record_unanswered(target, now)

    # Guards against taking an opened connection for a target that is reached.
    def test_links_are_lost_while_connections_open_and_nothing_answers(self):
        self.links.record_answer(3.0)
        self.fail_to_answer("a", "b", "c", now=5.0)
        self.links.record_success()
        self.assertTrue(self.links.update(9, 5.125, 4))
        self.assertTrue(self.links.is_unanswered)
        self.assertEqual(self.links.lost_since, 3.0)
        self.assertFalse(self.links.record_success())
        self.assertTrue(self.links.is_lost)
        self.assertTrue(self.links.record_answer(6.0))
        self.assertFalse(self.links.is_lost)

    def test_any_answer_shows_that_links_work(self):
        self.fail_to_answer("a", "b", "c", now=5.0)
        self.links.record_answer(5.0625)
        self.assertFalse(self.links.update(9, 5.125, 4))

    def test_engines_that_cannot_be_probed_prove_nothing(self):
        self.fail_to_answer("a", now=5.0)
        self.assertFalse(self.links.update(9, 5.125, 1))

    # Guards against connections that live on and hide that new ones fail.
    def test_answers_over_open_connections_do_not_excuse_new_ones(self):
        for target in ("a", "b", "c"):
            self.links.record_failure(target, 5.0)
        self.links.record_answer(5.0625)
        self.assertTrue(self.links.update(9, 5.125, 4))
        self.assertFalse(self.links.record_answer(6.0))
        self.assertTrue(self.links.is_lost)
