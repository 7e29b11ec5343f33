"""Tests of the claim index: each key has one holder for all readers."""

import unittest

import hypothesis
from hypothesis import strategies

from hillthread.state.cluster import claim_index

BATCHES = strategies.lists(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.sampled_from("xyz")
        ),
        max_size=4,
    ),
    max_size=8,
)


def encode(batch, made_at=0.0):
    return claim_index.encode_batch(
        claim_index.ClaimBatch(
            made_at, [claim_index.Claim(*pair) for pair in batch]
        )
    )


class ClaimIndexTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(BATCHES, strategies.randoms(use_true_random=False))
    def test_all_readers_find_the_first_holder(self, batches, chooser):
        """Records may be read again; applied offsets are skipped."""
        expected = {}
        for batch in batches:
            for digest, holder in batch:
                expected.setdefault(digest, holder)
        index = claim_index.ClaimIndex(100.0)
        for offset, batch in enumerate(batches):
            for replayed in range(chooser.randint(0, offset + 1)):
                index.apply(replayed, encode(batches[replayed]), 0.0)
            index.apply(offset, encode(batch), 0.0)
        found = {key: index.find_holder(key) for key in expected}
        self.assertEqual(found, expected)

    def test_claims_expire_by_the_time_of_reading(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")]), 0.0)
        index.apply(1, encode([("b", "x")]), 9.0)
        self.assertEqual(index.find_holder("a"), "x")
        index.apply(2, encode([]), 11.0)
        self.assertIsNone(index.find_holder("a"))
        self.assertEqual(len(index), 1)

    def test_claims_expire_without_a_new_record(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")]), 0.0)
        index.expire(10.0)
        self.assertEqual(index.find_holder("a"), "x")
        index.expire(10.1)
        self.assertEqual(len(index), 0)

    def test_fast_clock_of_an_author_expires_no_claim(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")], made_at=100.0), 0.0)
        index.apply(1, encode([("b", "x")], made_at=3_700.0), 1.0)
        index.apply(2, encode([("a", "y")], made_at=101.0), 2.0)
        self.assertEqual(index.find_holder("a"), "x")
        self.assertEqual(index.find_holder("b"), "x")

    def test_fast_clock_of_an_author_extends_no_claim(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")], made_at=3_700.0), 0.0)
        index.apply(1, encode([("b", "x")], made_at=101.0), 1.0)
        index.apply(2, encode([], made_at=112.0), 12.0)
        self.assertEqual(len(index), 0)

    def test_slow_clock_of_an_author_shortens_no_claim(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")], made_at=100.0), 0.0)
        index.apply(1, encode([("b", "x")], made_at=50.0), 9.0)
        index.apply(2, encode([], made_at=111.0), 11.0)
        self.assertEqual(index.find_holder("b"), "x")

    def test_key_is_granted_once_by_hosts_that_read_at_different_times(self):
        """One host has read the first claim late and still holds it."""
        early = claim_index.ClaimIndex(10.0)
        late = claim_index.ClaimIndex(10.0)
        early.apply(0, encode([("a", "x")]), 0.0)
        late.apply(0, encode([("a", "x")]), 8.0)
        for index in (early, late):
            index.apply(1, encode([("a", "y")]), 11.0)
        self.assertEqual(early.find_holder("a"), "y")
        late.expire(19.0)
        self.assertIsNotNone(late.find_holder("a"))
        late.expire(21.5)
        self.assertIsNone(late.find_holder("a"))

    def test_released_key_may_be_claimed_again(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, encode([("a", "x")]), 0.0)
        release = claim_index.ClaimBatch(
            1.0, [], [claim_index.Claim("a", "y"), claim_index.Claim("b", "x")]
        )
        index.apply(1, claim_index.encode_batch(release), 1.0)
        self.assertEqual(index.find_holder("a"), "x")
        again = claim_index.ClaimBatch(
            8.0,
            [claim_index.Claim("a", "y")],
            [claim_index.Claim("a", "x")],
        )
        index.apply(2, claim_index.encode_batch(again), 8.0)
        self.assertEqual(index.find_holder("a"), "y")
        index.apply(3, encode([]), 11.0)
        self.assertEqual(index.find_holder("a"), "y")

    def test_unreadable_records_are_counted(self):
        index = claim_index.ClaimIndex(10.0)
        index.apply(0, b"\xff", 0.0)
        index.apply(1, b'{"made_at":0}', 0.0)
        self.assertEqual(index.unreadable, 2)
