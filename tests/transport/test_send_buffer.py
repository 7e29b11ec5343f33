"""Tests of the budget for bytes that slow callers have not read."""

import unittest

from hillthread.transport import send_buffer

_STALLED_S = 1.0
_TICK_S = 0.05


class FakeOutlet:
    """A connection whose buffered bytes a test sets."""

    def __init__(self, unread=0):
        self.unread = unread
        self.in_kernel = 0
        self.is_cut = False
        self.wakes = 0

    def count_unread(self):
        return self.unread

    def count_unacknowledged(self):
        return self.in_kernel

    def cut(self):
        self.is_cut = True

    def wake_sender(self):
        self.wakes += 1


class BudgetCase(unittest.TestCase):
    """Base of tests with a budget of 1,600,000 bytes, 100,000 a stream."""

    def setUp(self):
        self.cuts = []
        self.budget = send_buffer.BufferBudget(
            send_buffer.BufferBounds(1_600_000, 100_000), self.cuts.append
        )
        self.now = 0.0

    def add(self, unread):
        stream = send_buffer.StreamBuffer(FakeOutlet(unread))
        self.budget.add(stream, self.now)
        return stream

    def pass_time(self, seconds, each_tick=lambda: None):
        for _ in range(round(seconds / _TICK_S)):
            self.now += _TICK_S
            each_tick()
            self.budget.tick(self.now)


class BoundsTest(unittest.TestCase):
    def test_bounds_grow_with_memory_and_have_a_minimum(self):
        """Guards against a bound of 0, under which every answer would wait."""
        for memory_mb, total, is_minimum in (
            (10, 4_000_000, True),
            (48, 4_000_000, True),
            (50, 4_000_000, False),
            (128, 20_000_000, False),
        ):
            with self.subTest(memory_mb=memory_mb):
                bounds = send_buffer.compute_bounds(memory_mb)
                self.assertEqual(bounds.total_bytes, total)
                self.assertEqual(bounds.stream_bytes, total // 16)
                self.assertEqual(bounds.is_minimum, is_minimum)


class BodiesTest(unittest.TestCase):
    def setUp(self):
        bounds = send_buffer.BufferBounds(4_000_000, 250_000, 1_000_000)
        self.budget = send_buffer.BufferBudget(bounds, lambda cut: None)

    # Guards against bodies for slow targets that exceed the process's memory.
    def test_bodies_are_refused_at_their_bound(self):
        self.assertTrue(self.budget.reserve_body(700_000, 700_000))
        self.assertFalse(self.budget.reserve_body(100_000, 100_000))
        self.assertEqual(self.budget.refused_bodies, 1)
        self.budget.release_body(700_000)
        self.assertTrue(self.budget.reserve_body(100_000, 100_000))

    def test_large_bodies_leave_memory_to_small_ones(self):
        self.assertTrue(self.budget.reserve_body(750_000, 750_000))
        for _ in range(4):
            self.assertTrue(self.budget.reserve_body(60_000, 60_000))
        self.assertFalse(self.budget.reserve_body(60_000, 60_000))

    def test_single_body_may_exceed_the_bound(self):
        self.assertTrue(self.budget.reserve_body(900_000, 900_000))
        self.assertTrue(self.budget.reserve_body(900_000, 1_800_000))
        self.assertFalse(self.budget.reserve_body(1, 1))


class PermissionTest(BudgetCase):
    def test_answer_exceeds_its_own_bound_only_while_half_is_free(self):
        """Guards against one answer that takes the memory of all others."""
        stream = self.add(99_999)
        self.assertTrue(self.budget.may_buffer(stream))
        stream.outlet.unread = 700_000
        self.assertTrue(self.budget.may_buffer(stream))
        stream.outlet.unread = 800_000
        self.assertFalse(self.budget.may_buffer(stream))
        self.assertTrue(self.budget.may_buffer(self.add(50_000)))

    def test_held_bytes_count_towards_the_total(self):
        """Guards against request bodies that are not counted."""
        stream = self.add(1_000)
        self.budget.hold(1_600_000)
        self.assertFalse(self.budget.may_buffer(stream))
        self.budget.hold(-1_600_000)
        self.assertTrue(self.budget.may_buffer(stream))

    def test_answer_without_unread_bytes_never_waits(self):
        """Guards against a full budget that stops callers that read."""
        self.add(1_700_000)
        stream = send_buffer.StreamBuffer(FakeOutlet())
        self.assertTrue(self.budget.may_buffer(stream))

    def test_waiting_sender_is_woken_when_there_is_room(self):
        """Guards against an answer that waits although memory is free."""
        waiting = self.add(150_000)
        other = self.add(1_000_000)
        waiting.is_waiting = True
        self.pass_time(0.1)
        self.assertEqual(waiting.outlet.wakes, 0)
        self.budget.remove(other)
        self.pass_time(_TICK_S)
        self.assertEqual(waiting.outlet.wakes, 1)
        self.assertEqual(self.budget.buffered_bytes, 150_000)


class CutTest(BudgetCase):
    def test_largest_stalled_answer_is_cut_and_no_other(self):
        """Guards against a cut of the wrong answer, or of too many."""
        streams = [self.add(size) for size in (500_000, 700_000, 400_000)]
        streams[1].label = "r1"
        self.pass_time(_STALLED_S)
        self.assertEqual(
            [stream.outlet.is_cut for stream in streams], [False, True, False]
        )
        self.assertEqual(
            [cut[:2] for cut in self.cuts], [("r1", 700_000)], self.cuts
        )
        self.assertGreater(self.cuts[0].seconds, 0.4)
        self.assertEqual(self.budget.cut_streams, 1)
        self.assertEqual(self.budget.buffered_bytes, 900_000)

    def test_nothing_is_cut_below_the_total(self):
        """Guards against callers that are cut for being slow alone."""
        self.add(1_500_000)
        self.pass_time(10.0)
        self.assertEqual(self.cuts, [])

    def test_caller_that_reads_is_not_cut_before_one_that_does_not(self):
        """Guards against a reader that is cut because its answer is large.

        The kernel may accept nothing for a while although the caller reads.
        """
        reader, idle = self.add(1_200_000), self.add(450_000)
        reader.outlet.in_kernel = 2_000_000

        def read():
            reader.outlet.in_kernel -= 10_000

        self.pass_time(_STALLED_S, read)
        self.assertFalse(reader.outlet.is_cut)
        self.assertTrue(idle.outlet.is_cut)

    def test_slow_reader_is_cut_when_the_total_stays_reached(self):
        """Guards against a caller that reads a byte now and then."""
        slow = self.add(1_700_000)

        def read():
            slow.outlet.unread -= 1

        self.pass_time(0.9, read)
        self.assertFalse(slow.outlet.is_cut)
        self.pass_time(0.2, read)
        self.assertTrue(slow.outlet.is_cut)

    def test_delay_of_the_process_does_not_make_a_caller_stalled(self):
        """Guards against cuts after the host was suspended."""
        stream = self.add(1_700_000)
        self.now += 60.0
        self.budget.tick(self.now)
        self.assertFalse(stream.outlet.is_cut)

    def test_small_answers_are_not_cut(self):
        """Guards against cuts that free next to nothing."""
        self.budget.hold(2_000_000)
        self.add(10_000)
        self.pass_time(5.0)
        self.assertEqual(self.cuts, [])


if __name__ == "__main__":
    unittest.main()
