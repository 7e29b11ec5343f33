"""Tests of what hosts send to brittle targets, at size and in virtual time."""

import bisect
import collections
import heapq
import itertools
import random
import unittest

from hillthread.state.targets import brittleness


class BrittleTargetsTest(unittest.TestCase):
    def setUp(self):
        self.targets = brittleness.BrittleTargets()

    def send(self, count, since, seconds):
        for number in range(count):
            now = since + number * seconds / count
            self.targets.record_send("t", now)

    def test_sound_target_is_not_limited(self):
        self.send(1_000, 0.0, 1.0)
        self.targets.record_refusal("t", 8, 1.0)
        self.assertTrue(self.targets.may_send("t", 1.0))

    def test_brittle_target_is_limited_only_after_a_refusal(self):
        self.assertTrue(self.targets.apply_answer("t", "s", 5.0, 0.0))
        self.assertFalse(self.targets.apply_answer("t", "s", 5.0, 0.1))
        self.send(40, 0.0, 4.0)
        self.assertTrue(self.targets.may_send("t", 4.0))
        self.targets.record_refusal("t", 8, 4.0)
        self.assertFalse(self.targets.may_send("t", 4.1))
        sent = 0
        for tick in range(200):
            now = 5.0 + tick / 100
            if self.targets.may_send("t", now):
                self.targets.record_send("t", now)
                sent += 1
        # Ten a second were sent before.
        self.assertLessEqual(sent, 2 * 7)
        self.assertGreaterEqual(sent, 2 * 3)

    def test_target_is_sound_again_when_it_says_so_or_says_nothing(self):
        self.targets.apply_answer("t", "s", 5.0, 0.0)
        self.assertTrue(self.targets.apply_answer("t", "s", None, 1.0))
        self.assertNotIn("t", self.targets)
        self.targets.apply_answer("t", "s", 5.0, 2.0)
        self.targets.record_refusal("t", 8, 2.0)
        self.assertGreater(self.targets.wait_s("t", 2.0), 1.0)
        self.assertTrue(self.targets.may_send("t", 63.0))


class Simulation:
    """Hosts, and a service whose targets lose half of their room.

    Attributes:
        falls: How often targets crashed for their refusals.
        served: Requests served while the targets were brittle.
        sent: Requests of that time.
    """

    SERVICE_S = 0.25
    NOTICE_S = 0.02
    NOTICE_LOST = 0.05
    BRITTLE_AT_S = 2.0
    LESS_ROOM_AT_S = 5.0
    END_S = 25.0
    RESTART_S = 3.0

    def __init__(self, hosts, targets, room, withstands, seed):
        self.random = random.Random(seed)
        self.withstands = withstands
        self.room = room
        self.hosts = [brittleness.BrittleTargets() for _ in range(hosts)]
        self.open = [collections.Counter() for _ in range(hosts)]
        self.running = dict.fromkeys(range(targets), 0)
        self.down_until = dict.fromkeys(range(targets), 0.0)
        self.refused_at = {target: [] for target in range(targets)}
        self.falls = self.served = self.sent = 0
        self.events = []
        self.order = itertools.count()
        # Seven tenths of the room before it shrinks.
        self.rate = 0.7 * targets * room / self.SERVICE_S

    def at(self, when, action, *values):
        heapq.heappush(self.events, (when, next(self.order), action, values))

    def run(self):
        self.at(0.0, self.arrive)
        while self.events:
            now, _, action, values = heapq.heappop(self.events)
            if now > self.END_S:
                return
            action(now, *values)

    def arrive(self, now):
        self.at(now + self.random.expovariate(self.rate), self.arrive)
        host = self.random.randrange(len(self.hosts))
        self.sent += now >= self.BRITTLE_AT_S
        self.send(now, host, set())

    def send(self, now, host, tried):
        free = [
            target
            for target in self.running
            if target not in tried
            and self.down_until[target] <= now
            and self.hosts[host].may_send(target, now)
        ]
        if not free or len(tried) == 3:
            return
        sample = self.random.sample(free, min(2, len(free)))
        target = min(sample, key=lambda each: self.open[host][each])
        room = self.room * (0.5 if now >= self.LESS_ROOM_AT_S else 1.0)
        self.open[host][target] += 1
        self.hosts[host].record_send(target, now)
        if self.running[target] < room:
            self.running[target] += 1
            self.at(now + self.SERVICE_S, self.finish, host, target, now)
            return
        self.refuse(now, host, target)
        if now < self.BRITTLE_AT_S:
            self.send(now, host, tried | {target})

    def refuse(self, now, host, target):
        self.open[host][target] -= 1
        times = self.refused_at[target]
        is_brittle = now >= self.BRITTLE_AT_S
        if is_brittle:
            times.append(now)
        if len(times) - bisect.bisect_left(times, now - 1.0) > self.withstands:
            self.falls += is_brittle
            if is_brittle:
                self.down_until[target] = now + self.RESTART_S
                self.running[target] = 0
                times.clear()
        if is_brittle:
            self.note(now, host, target)
            self.hosts[host].record_refusal(target, len(self.hosts), now)
            self.at(now + self.NOTICE_S, self.notify, host, target, True)

    def note(self, now, host, target):
        """Applies an answer; notifies others of a newly brittle target."""
        if self.hosts[host].apply_answer(target, "s", self.withstands, now):
            self.at(now + self.NOTICE_S, self.notify, host, target, False)

    def notify(self, now, sender, target, has_refused):
        for host, state in enumerate(self.hosts):
            if host == sender or self.random.random() < self.NOTICE_LOST:
                continue
            state.apply_answer(target, "s", self.withstands, now)
            if has_refused:
                state.record_refusal(target, len(self.hosts), now)

    def finish(self, now, host, target, began_at):
        self.open[host][target] -= 1
        if self.down_until[target] > began_at:
            return  # it crashed meanwhile
        self.running[target] -= 1
        if now >= self.BRITTLE_AT_S:
            self.served += 1
            self.note(now, host, target)


class SizeTest(unittest.TestCase):
    def test_targets_hardly_crash_when_they_lose_half_of_their_room(self):
        for hosts, targets, room, withstands in (
            (8, 5, 24, 4),
            (8, 5, 24, 12),
            (90, 20, 24, 6),
            (420, 30, 24, 6),
        ):
            with self.subTest(hosts=hosts, withstands=withstands):
                run = Simulation(hosts, targets, room, withstands, 1)
                run.run()
                self.assertLessEqual(run.falls, 2 + targets / 10)
