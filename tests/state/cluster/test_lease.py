"""Tests of leases with random interleavings, pauses and late appends."""

import random
import unittest

from hillthread.state.cluster import lease

TTL_S = 3.0


class Log:
    """A log in memory; hosts delay their appends to it."""

    def __init__(self):
        self.records = []

    def append(self, record):
        self.records.append(lease.encode_lease(record))


class Host:
    """A contender with its own clock that reads and pauses at random."""

    def __init__(self, name, offset_s, rng):
        self.contender = lease.Contender(name, TTL_S)
        self.offset_s = offset_s
        self.rng = rng
        self.paused_until = 0.0
        self.pending_appends = []

    def clock(self, now):
        return now + self.offset_s

    def step(self, log, now):
        for due, record in list(self.pending_appends):
            if due <= now:
                self.pending_appends.remove((due, record))
                log.append(record)
        if now < self.paused_until:
            return
        if self.rng.random() < 0.02:
            self.paused_until = now + self.rng.uniform(0, 3 * TTL_S)
            return
        local_time = self.clock(now)
        if self.rng.random() < 0.7:
            start = self.contender.state.position + 1
            for offset in range(start, len(log.records)):
                self.contender.read(offset, log.records[offset], local_time)
            self.contender.note_caught_up(local_time)
        if self.contender.should_renew(
            local_time
        ) or self.contender.may_contend(local_time):
            record = self.contender.begin_append(local_time)
            delay = self.rng.choice([0, 0, 0.05, 0.5, TTL_S])
            self.pending_appends.append((now + delay, record))


class LeaseTest(unittest.TestCase):
    def test_at_most_one_host_may_act(self):
        for seed in range(60):
            rng = random.Random(seed)
            log = Log()
            hosts = [
                Host(f"h{n}", rng.uniform(-100, 100), rng) for n in range(3)
            ]
            fencing = []
            for tick in range(1500):
                now = tick * 0.05
                for host in hosts:
                    host.step(log, now)
                acting = [
                    host
                    for host in hosts
                    if host.contender.may_act(host.clock(now))
                ]
                self.assertLessEqual(len(acting), 1, f"seed {seed}")
                fencing += [h.contender.state.fencing for h in acting]
            self.assertEqual(fencing, sorted(fencing))
            self.assertGreater(len(fencing), 100)

    def test_paused_holder_detects_that_its_lease_has_expired(self):
        contender = lease.Contender("a", TTL_S)
        contender.note_caught_up(0.0)
        record = contender.begin_append(0.0)
        contender.read(0, lease.encode_lease(record), 0.1)
        self.assertTrue(contender.may_act(2.0))
        self.assertFalse(contender.may_act(60.0))

    def test_late_acquisition_does_not_count(self):
        state = lease.LeaseState()
        first = lease.encode_lease(lease.Acquire(holder="a", after=-1))
        late = lease.encode_lease(lease.Acquire(holder="b", after=-1))
        self.assertTrue(state.apply(0, first))
        self.assertFalse(state.apply(1, late))
        self.assertEqual((state.holder, state.fencing), ("a", 0))

    def test_unreadable_records_do_not_count(self):
        state = lease.LeaseState()
        for offset, payload in enumerate([b"\xff", b"{}", b'{"op":"new"}']):
            self.assertFalse(state.apply(offset, payload))
        self.assertEqual(state.holder, lease.NO_HOLDER)


class ReleaseTest(unittest.TestCase):
    def test_released_lease_is_free_at_once_and_fencing_numbers_rise(self):
        first = lease.Contender("a", TTL_S)
        second = lease.Contender("b", TTL_S)
        log = Log()
        log.append(first.begin_append(0.0))
        for contender in (first, second):
            contender.read(0, log.records[0], 0.0)
        self.assertTrue(first.may_act(0.1))
        self.assertFalse(second.may_contend(0.1))
        log.append(lease.Release(holder="a", fencing=0))
        for contender in (first, second):
            contender.read(1, log.records[1], 0.2)
        self.assertFalse(first.may_act(0.2))
        self.assertTrue(second.may_contend(0.2))
        log.append(second.begin_append(0.2))
        second.read(2, log.records[2], 0.2)
        self.assertTrue(second.may_act(0.3))
        self.assertEqual(second.state.fencing, 2)

    def test_only_the_holder_can_release(self):
        state = lease.LeaseState()
        log = Log()
        log.append(lease.Acquire(holder="a", after=-1))
        log.append(lease.Release(holder="b", fencing=0))
        log.append(lease.Release(holder="a", fencing=9))
        counted = [state.apply(n, r) for n, r in enumerate(log.records)]
        self.assertEqual(counted, [True, False, False])
        self.assertEqual(state.holder, "a")
