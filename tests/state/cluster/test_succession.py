"""Tests of when other hosts take over the lease of a holder."""

import random
import unittest

from hillthread.state.cluster import lease
from hillthread.state.cluster import succession

_ACT_S = 2.0
_TTL_S = 5.3  # the product's value in the users' deployments
_TICK_S = 0.1
_HOST_COUNT = 6


class Host:
    """A host that follows the duty's schedule on a log that never fails."""

    def __init__(self, rank, log, rng):
        self.rank = rank
        self.log = log
        self.rng = rng
        self.contender = lease.Contender(f"h{rank}", _TTL_S, _ACT_S)
        self.alive = True
        self.has_work = False
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

    def take_turn(self, now):
        """Runs one step and returns whether this host acts as the holder."""
        if not self.alive:
            return False
        if not self.has_work:
            self.has_work = True
            self.try_at = succession.compute_first_try_at(
                self.standing(), now, self.rng.random()
            )
        if now < self.try_at:
            return False
        self.ensure_lease(now)
        if self.contender.may_act(now):
            return True
        self.try_at = succession.compute_next_try_at(
            self.standing(), now, self.rng.random()
        )
        return False

    def ensure_lease(self, now):
        if self.contender.may_act(now):
            if self.contender.should_renew(now):
                self.append(now)
            return
        self.catch_up(now)
        if self.contender.may_contend(now):
            self.append(now)


class Cluster:
    """Hosts with an idle holder of the lease."""

    def __init__(self, seed):
        self.log = []
        rng = random.Random(seed)
        self.hosts = [Host(rank, self.log, rng) for rank in range(_HOST_COUNT)]
        self.hosts[0].ensure_lease(0.0)
        for host in self.hosts:
            host.catch_up(1.0)

    def run(self, start, end, kills):
        """Returns the time and the host of each action of a holder.

        Args:
            start: Time at which there is new work, in seconds.
            end: Time of the end, in seconds.
            kills: Number of hosts that die right after acquiring or renewing
                the lease, before they act.
        """
        actions = []
        for step in range(round((end - start) / _TICK_S)):
            now = start + step * _TICK_S
            for host in self.hosts:
                before = len(self.log)
                acts = host.take_turn(now)
                if kills and len(self.log) > before:
                    host.alive = False
                    kills -= 1
                elif acts:
                    actions.append((now, host.rank))
        return actions


class SuccessionTest(unittest.TestCase):
    def test_holder_acts_at_once_and_no_other_host_does(self):
        for seed in range(20):
            cluster = Cluster(seed)
            actions = cluster.run(60.0, 75.0, 0)
            self.assertEqual(actions[0], (60.0, 0))
            self.assertEqual({rank for _, rank in actions}, {0})

    def test_low_ranked_hosts_read_the_log_only_when_the_lease_may_expire(self):
        cluster = Cluster(0)
        before = [host.reads for host in cluster.hosts]
        cluster.run(60.0, 70.0, 0)
        reads = [
            host.reads - count
            for host, count in zip(cluster.hosts, before, strict=True)
        ]
        self.assertLessEqual(max(reads[3:]), 2)
        self.assertLessEqual(max(reads[1:3]), 13)

    def test_holder_that_dies_after_acting_is_replaced_in_time(self):
        """The first-ranked hosts read the last record soon after its append."""
        for seed in range(20):
            cluster = Cluster(seed)
            cluster.run(60.0, 62.7, 0)
            cluster.hosts[0].alive = False
            last_at = cluster.hosts[0].contender.contend_at - _ACT_S
            first, _ = cluster.run(62.7, 90.0, 0)[0]
            self.assertGreater(first - last_at, _TTL_S)
            self.assertLess(first - last_at, _TTL_S + 1.2)

    def test_holder_that_died_while_idle_is_replaced_at_once(self):
        for seed in range(20):
            cluster = Cluster(seed)
            cluster.hosts[0].alive = False
            first, rank = cluster.run(60.0, 75.0, 0)[0]
            self.assertLess(first - 60.0, 1.0)
            self.assertEqual(rank, 1)

    def test_holder_killed_after_its_renewal_is_replaced(self):
        for seed in range(20):
            first, _ = Cluster(seed).run(60.0, 90.0, 1)[0]
            self.assertGreater(first - 60.0, _TTL_S)
            self.assertLess(first - 60.0, _TTL_S + 1.2)

    def test_two_holders_killed_in_a_row_are_replaced(self):
        """The time to live of each lease passes, and not much more."""
        for seed in range(20):
            first, _ = Cluster(seed).run(60.0, 90.0, 2)[0]
            self.assertGreater(first - 60.0, 2 * _TTL_S)
            self.assertLess(first - 60.0, 2 * _TTL_S + 2.0)

    def test_first_ranked_host_tries_first(self):
        first_ranked = succession.LeaseStanding(0, False, True, 0.0)
        for rank in range(1, 8):
            later = first_ranked._replace(rank=rank)
            self.assertLess(
                succession.compute_first_try_at(first_ranked, 5.0, 1.0),
                succession.compute_first_try_at(later, 5.0, 0.0),
            )
            self.assertLess(
                succession.compute_next_try_at(first_ranked, 5.0, 1.0),
                succession.compute_next_try_at(later, 5.0, 0.0),
            )

    def test_low_ranked_host_waits_until_the_lease_has_expired(self):
        first = succession.LeaseStanding(0, False, True, 42.0)
        late = first._replace(rank=5)
        self.assertGreaterEqual(
            succession.compute_next_try_at(late, 5.0, 0.0), 42.0
        )
        self.assertLess(succession.compute_next_try_at(first, 5.0, 1.0), 6.0)
