"""Tests of when hosts step in for a holder that gives no orders."""

import random
import unittest

from hillthread.state.cluster import lease
from hillthread.state.cluster import succession

_ACT_S = 2.0
_TTL_S = 5.3  # as the product takes it on the users' sheets
_TICK_S = 0.1
_HOSTS = 6


class Host:
    """One host with the duty's clockwork, on a log that never fails."""

    def __init__(self, rank, log, luck):
        self.rank = rank
        self.log = log
        self.luck = luck
        self.contender = lease.Contender(f"h{rank}", _TTL_S, _ACT_S)
        self.alive = True
        self.needed = False
        self.try_at = 0.0
        self.reads = 0

    def standing(self):
        state = self.contender.state
        return succession.LeaseStanding(
            self.rank,
            state.holder == self.contender.name,
            state.holder != lease.NO_HOLDER,
            self.contender.contend_at,
        )

    def catch_up(self, now):
        self.reads += 1
        start = self.contender.state.position + 1
        for offset in range(start, len(self.log)):
            self.contender.read(offset, self.log[offset], now)
        self.contender.note_caught_up(now)

    def append(self, now):
        record = self.contender.begin_append(now)
        self.log.append(lease.encode_lease(record))
        self.catch_up(now)

    def turn(self, now):
        """Does one turn; returns whether this host gives an order."""
        if not self.alive:
            return False
        if not self.needed:
            self.needed = True
            self.try_at = succession.compute_first_try_at(
                self.standing(), now, self.luck.random()
            )
        if now < self.try_at:
            return False
        self.ensure(now)
        if self.contender.may_act(now):
            return True
        self.try_at = succession.compute_next_try_at(
            self.standing(), now, self.luck.random()
        )
        return False

    def ensure(self, now):
        if self.contender.may_act(now):
            if self.contender.should_renew(now):
                self.append(now)
            return
        self.catch_up(now)
        if self.contender.may_contend(now):
            self.append(now)


class Orders:
    """Hosts with a holder, which has just been idle for a while."""

    def __init__(self, seed):
        self.log = []
        luck = random.Random(seed)
        self.hosts = [Host(rank, self.log, luck) for rank in range(_HOSTS)]
        self.hosts[0].ensure(0.0)
        for host in self.hosts:
            host.catch_up(1.0)

    def play(self, start, end, kills):
        """Returns when an order was given, and by whom.

        Args:
            start: Seconds, when weights are named.
            end: Seconds.
            kills: Hosts die right after they have taken or renewed the lease,
                before they give an order, so often.
        """
        given = []
        for step in range(round((end - start) / _TICK_S)):
            now = start + step * _TICK_S
            for host in self.hosts:
                before = len(self.log)
                gives = host.turn(now)
                if kills and len(self.log) > before:
                    host.alive = False
                    kills -= 1
                elif gives:
                    given.append((now, host.rank))
        return given


class SuccessionTest(unittest.TestCase):
    def test_holder_orders_at_once_and_nobody_else_does(self):
        for seed in range(20):
            orders = Orders(seed)
            given = orders.play(60.0, 75.0, 0)
            self.assertEqual(given[0], (60.0, 0))
            self.assertEqual({rank for _, rank in given}, {0})

    def test_who_follows_late_reads_the_lease_only_when_it_may_be_over(self):
        orders = Orders(0)
        before = [host.reads for host in orders.hosts]
        orders.play(60.0, 70.0, 0)
        reads = [
            host.reads - count
            for host, count in zip(orders.hosts, before, strict=True)
        ]
        self.assertLessEqual(max(reads[3:]), 2)
        self.assertLessEqual(max(reads[1:3]), 13)

    def test_holder_that_goes_silent_later_is_followed_as_soon(self):
        """Its last record was read soon, though others knew of it before."""
        for seed in range(20):
            orders = Orders(seed)
            orders.play(60.0, 62.7, 0)
            orders.hosts[0].alive = False
            last_at = orders.hosts[0].contender.contend_at - _ACT_S
            first, _ = orders.play(62.7, 90.0, 0)[0]
            self.assertGreater(first - last_at, _TTL_S)
            self.assertLess(first - last_at, _TTL_S + 1.2)

    def test_holder_that_died_while_idle_is_followed_at_once(self):
        for seed in range(20):
            orders = Orders(seed)
            orders.hosts[0].alive = False
            first, rank = orders.play(60.0, 75.0, 0)[0]
            self.assertLess(first - 60.0, 1.0)
            self.assertEqual(rank, 1)

    def test_holder_killed_at_its_renewal(self):
        for seed in range(20):
            first, _ = Orders(seed).play(60.0, 90.0, 1)[0]
            self.assertGreater(first - 60.0, _TTL_S)
            self.assertLess(first - 60.0, _TTL_S + 1.2)

    def test_two_holders_killed_at_once_in_a_row(self):
        """Each is waited for in full, and not much longer."""
        for seed in range(20):
            first, _ = Orders(seed).play(60.0, 90.0, 2)[0]
            self.assertGreater(first - 60.0, 2 * _TTL_S)
            self.assertLess(first - 60.0, 2 * _TTL_S + 2.0)

    def test_host_that_ranks_first_steps_in_first(self):
        calm = succession.LeaseStanding(0, False, True, 0.0)
        for rank in range(1, 8):
            later = calm._replace(rank=rank)
            self.assertLess(
                succession.compute_first_try_at(calm, 5.0, 1.0),
                succession.compute_first_try_at(later, 5.0, 0.0),
            )
            self.assertLess(
                succession.compute_next_try_at(calm, 5.0, 1.0),
                succession.compute_next_try_at(later, 5.0, 0.0),
            )

    def test_who_follows_late_does_not_ask_before_the_lease_is_over(self):
        first = succession.LeaseStanding(0, False, True, 42.0)
        late = first._replace(rank=5)
        self.assertGreaterEqual(
            succession.compute_next_try_at(late, 5.0, 0.0), 42.0
        )
        self.assertLess(succession.compute_next_try_at(first, 5.0, 1.0), 6.0)
