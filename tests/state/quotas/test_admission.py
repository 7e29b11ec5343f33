"""Tests of the admission queue."""

import unittest

from hillthread.state.quotas import admission


class AdmissionQueueTest(unittest.TestCase):
    def test_urgent_class_first_then_arrival(self):
        queue = admission.AdmissionQueue(10)
        tickets = [
            queue.offer(priority, 100.0, 0.0).ticket
            for priority in (1, 0, 1, 0)
        ]
        order = []
        while (ticket := queue.first()) is not None:
            order.append(tickets.index(ticket))
            queue.serve(ticket, 0.0)
        self.assertEqual(order, [1, 3, 0, 2])

    def test_full_queue_evicts_the_lowest_class(self):
        queue = admission.AdmissionQueue(2)
        queue.offer(0, 100.0, 0.0)
        low = queue.offer(5, 100.0, 0.0).ticket
        offer = queue.offer(1, 100.0, 0.0)
        self.assertIs(offer.shed, low)
        self.assertIsNotNone(offer.ticket)
        self.assertIsNone(queue.offer(1, 100.0, 0.0).ticket)

    def test_refuses_requests_that_would_miss_their_deadline(self):
        queue = admission.AdmissionQueue(100)
        for number in range(20):
            queue.offer(0, 100.0, 0.0)
            queue.serve(queue.first(), float(number))
        for _ in range(10):
            queue.offer(0, 100.0, 20.0)
        self.assertIsNone(queue.offer(0, 21.0, 20.0).ticket)
        self.assertIsNotNone(queue.offer(-1, 21.0, 20.0).ticket)

    def test_withdraw_is_idempotent(self):
        queue = admission.AdmissionQueue(2)
        ticket = queue.offer(0, 1.0, 0.0).ticket
        queue.withdraw(ticket)
        queue.withdraw(ticket)
        self.assertEqual(len(queue), 0)
