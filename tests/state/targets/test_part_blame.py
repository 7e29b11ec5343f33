"""Tests of finding the part of a prompt that crashes targets."""

import unittest

from hillthread.state.targets import part_blame
from hillthread.state.targets import quarantine
from hillthread.state.targets import request_features

START_S = 90_000.0
CLEARED = part_blame.Cleared()


def prompt(*parts, tenant="one", digest=""):
    """Returns the features of a prompt."""
    keys = [request_features.encode_part_key(p, tenant) for p in parts]
    return request_features.RequestFeatures(
        digest or f"digest of {parts}", tuple(keys)
    )


class PartBlameTest(unittest.TestCase):
    def setUp(self):
        self.records = quarantine.Quarantine()
        self.blame = part_blame.PartBlame(self.records)
        self.now = START_S
        self.crashes = 0

    def crash(self, *prompts):
        """Crashes a target on which prompts are open."""
        self.now += 1.0
        self.crashes += 1
        for each in prompts:
            for key in (each.digest, *each.part_keys):
                self.records.record_crash(key, self.crashes, self.now)

    def answer(self, each, begun_ago_s=0.0):
        """Answers a prompt; returns the names of the cleared parts."""
        self.now += 0.1
        cleared = self.blame.record_answer(each, self.now - begun_ago_s)
        return [request_features.part_name(each.key) for each in cleared]

    def judge(self, *parts, **fields):
        return self.blame.judge(prompt(*parts, **fields), self.now)

    def test_nothing_is_suspected_without_crashes(self):
        self.assertEqual(self.judge("aa"), CLEARED)

    def test_all_parts_are_suspected_after_a_crash(self):
        self.crash(prompt("aa", "bad"))
        verdict = self.judge("aa", "bb")
        self.assertEqual(verdict, part_blame.Suspected(("aa",), 0.0))

    def test_answer_clears_the_parts_of_its_prompt(self):
        self.crash(prompt("aa", "bad"))
        self.assertEqual(self.answer(prompt("aa", "bb")), ["aa"])
        self.assertEqual(self.judge("aa", "bb"), CLEARED)
        self.assertIsInstance(self.judge("aa", "bad"), part_blame.Suspected)

    # Guards against a part that is protected by answers from before it became
    # deadly.
    def test_answer_that_began_before_the_crash_clears_nothing(self):
        self.crash(prompt("aa", "bad"))
        self.assertEqual(self.answer(prompt("bad"), begun_ago_s=5.0), [])
        self.assertIsInstance(self.judge("bad"), part_blame.Suspected)

    # Guards against holding a part that targets answer all the time, because
    # each answer began before the last of several crashes.
    def test_answer_clears_of_the_crashes_before_it_began(self):
        for number in range(3):
            self.crash(prompt("aa", digest=f"d{number}"))
        cleared = self.blame.record_answer(prompt("aa"), self.now - 0.5)
        (key,) = prompt("aa").part_keys
        self.assertEqual(cleared, [part_blame.Clearing(key, 2)])
        self.assertEqual(self.judge("aa"), part_blame.Suspected(("aa",), 0.0))
        self.assertEqual(self.records.count_crashes(key), 1)

    # Guards against an answer that counts as older than a crash because the
    # crash is confirmed later than its connection is lost.
    def test_answer_between_lost_connection_and_crash_clears(self):
        (key,) = prompt("aa").part_keys
        self.records.record_disconnect(key, 1, self.now)
        self.records.record_crash(key, 1, self.now + 0.5)
        self.now += 0.6
        self.assertEqual(self.answer(prompt("aa"), begun_ago_s=0.4), ["aa"])
        self.assertEqual(self.judge("aa"), CLEARED)

    # Guards against an answer from before a lost connection that clears a part
    # which is deadly since.
    def test_answer_that_began_before_a_lost_connection_clears_nothing(self):
        (key,) = prompt("bad").part_keys
        self.records.record_disconnect(key, 1, self.now)
        self.assertEqual(self.answer(prompt("bad"), begun_ago_s=1.0), [])
        self.assertEqual(self.records.confirm_crash(1, self.now), [key])

    # Guards against holding what ran on many targets that were lost at once.
    def test_simultaneous_crashes_count_once(self):
        for number in range(4):
            for key in prompt("aa").part_keys:
                at = self.now + 0.03 * number
                self.records.record_crash(key, number, at)
        self.assertEqual(self.judge("aa"), part_blame.Suspected(("aa",), 0.0))

    def test_part_of_two_crashes_is_to_blame(self):
        for _ in range(2):
            self.crash(prompt("aa", "bad"))
            self.answer(prompt("aa"))
        verdict = self.judge("aa", "bad")
        self.assertEqual(verdict.name, "bad")
        self.assertEqual(verdict.crashes, 2)
        self.assertEqual(self.judge("aa"), CLEARED)

    def test_companions_that_nobody_has_cleared_are_tried(self):
        for _ in range(4):
            self.crash(prompt("aa", "bad"))
        self.assertIsInstance(self.judge("aa", "bad"), part_blame.Blamed)
        verdict = self.judge("aa", "bb")
        self.assertEqual(verdict, part_blame.Suspected(("aa",), 0.0))

    def test_part_that_is_common_to_different_prompts_is_to_blame(self):
        for number in range(3):
            self.crash(prompt("bad", f"bb{number}"))
        self.assertEqual(self.judge("bad", "other").name, "bad")
        self.assertEqual(self.judge("bb1"), CLEARED)

    def test_batch_of_a_culprit_is_not_held(self):
        for number in range(3):
            batch = [prompt("aa", f"rare{number}{n}") for n in range(5)]
            self.crash(prompt("aa", "bad"), *batch)
            self.answer(prompt("aa"))
        self.assertIsInstance(self.judge("aa", "bad"), part_blame.Blamed)
        self.assertEqual(self.judge("aa", "rare00"), CLEARED)

    def test_one_host_tries_a_part_at_a_time(self):
        self.crash(prompt("bad"))
        self.blame.begin_trial(("bad",), self.now)
        self.now += 0.5
        self.assertAlmostEqual(self.judge("bad").tried_for_s, 1.5)
        self.crash(prompt("bad"))
        self.assertAlmostEqual(self.judge("bad").held_s, 2.0)
        self.now += 2.0
        self.assertEqual(self.judge("bad").held_s, 0.0)

    def test_trial_that_ends_without_an_answer_blocks_nobody(self):
        self.crash(prompt("bad"))
        self.blame.begin_trial(("bad",), self.now)
        self.blame.end_trial(("bad",))
        self.assertEqual(self.judge("bad").tried_for_s, 0.0)

    def test_hold_grows_with_each_crash(self):
        held = []
        for _ in range(5):
            self.crash(prompt("bad"))
            verdict = self.judge("bad")
            held.append(getattr(verdict, "held_s", 0.0))
        self.assertEqual(held, [0.0, 2.0, 8.0, 30.0, 300.0])

    # Guards against one tenant that has the parts of another one held.
    def test_crashes_of_one_tenant_do_not_hold_another(self):
        for _ in range(5):
            self.crash(prompt("shared", tenant="one"))
        verdict = self.judge("shared", tenant="two")
        self.assertIsInstance(verdict, part_blame.Suspected)
        self.answer(prompt("shared", tenant="two"))
        self.assertEqual(self.judge("shared", tenant="two"), CLEARED)
        self.assertIsInstance(
            self.judge("shared", tenant="one"), part_blame.Blamed
        )

    def test_crash_of_another_tenant_counts_with_an_own_one(self):
        for tenant in ("one", "one", "two"):
            self.crash(prompt("bad", tenant=tenant))
        self.assertEqual(self.judge("bad", tenant="two").crashes, 3)

    def test_late_report_of_a_crash_before_an_answer_is_ignored(self):
        self.crash(prompt("aa"))
        self.answer(prompt("aa"))
        (key,) = prompt("aa").part_keys
        self.assertFalse(self.records.record_crash(key, self.crashes, self.now))
        self.assertEqual(self.judge("aa"), CLEARED)

    def test_repeated_request_is_held_and_its_parts_are_tried(self):
        culprit = prompt("aa", digest="culprit")
        for _ in range(3):
            self.crash(culprit)
        self.answer(prompt("aa", digest="another"))
        self.assertEqual(self.judge("aa", digest="third"), CLEARED)
        self.assertEqual(self.records.status_of("culprit", self.now).ends, 3)

    # Guards against a tenant whose many suspects displace those of others.
    def test_no_tenant_displaces_the_suspects_of_another(self):
        self.crash(prompt("bad", tenant="one"))
        for number in range(2_000):
            self.crash(prompt(f"p{number}", tenant="two", digest="d"))
        self.assertIsInstance(
            self.judge("bad", tenant="one"), part_blame.Suspected
        )


if __name__ == "__main__":
    unittest.main()
