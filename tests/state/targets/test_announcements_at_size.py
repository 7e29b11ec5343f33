"""Targets that announce departures and back-offs, before many hosts.

Pattern: targets leave, or shed load for some seconds, while the list of
targets goes on naming them as ready, because the store is away. Each host
learns from the answers to its own requests and from notices of other hosts.
Packets are lost meanwhile, hosts start again or freeze, a data centre is cut
off, entries lapse and are written again.

Everything runs in virtual time; hosts are the shipped list of targets and
back-offs, the way between them is written here.
"""

import collections
import heapq
import itertools
import random
import unittest

from hillthread.state.config import objects
from hillthread.state.targets import backoffs
from hillthread.state.targets import target_list
from tests.state.targets import test_target_list

WAY_S = 0.001
ANSWER_S = 0.1
LOSS = 0.025
RESEND_S = (0.0, 0.1, 0.3)
# Of the back-off, requests that are under way when it is asked for.
IN_FLIGHT_S = 0.5
MOST_IN_BACKOFF = 2
TROUBLE_AT = 4.0
# Hosts, data centres and targets.
SIZES = ((8, 4, 9), (90, 4, 45), (420, 20, 60))
DRAIN_S = (1.0, 2.0, 4.0)
BACKOFF_S = (1.5, 3.0, 6.0)


class Host:
    """One host: what its process knows of targets."""

    def __init__(self, name, place, count, drain_s):
        self.name = name
        self.place = place
        self.count = count
        self.drain_s = drain_s
        self.life = 0
        self.frozen_until = 0.0
        self.start()

    def start(self):
        """Starts its process anew; the list names all targets as ready."""
        self.life += 1
        self.targets = target_list.TargetList(2.0, self.drain_s * 0.6)
        self.backoffs = backoffs.Backoffs()
        for number in range(self.count):
            self.targets.put(
                test_target_list.make_entry(f"t{number}", born_ms=1)
            )


class Play:
    """Hosts before targets.

    Attributes:
        arrivals: Host, its life, target and time of each request.
        announced: When a host's life first passed on a departure, by host,
            life and target.
        refused: Host, life, target and time of each refusal with a back-off.
    """

    def __init__(self, size, seed, drain_s=2.0, backoff_s=3.0, per_s=200.0):
        self.draw = random.Random(seed)
        count, self.places, self.count = size
        self.hosts = [
            Host(f"h{n}", n % self.places, self.count, drain_s)
            for n in range(count)
        ]
        self.backoff_s = backoff_s
        self.per_s = per_s
        self.pool = objects.Pool(name="s", target_selector="service=s")
        self.leaving = set()
        self.shedding = set()
        self.cut_place = None
        self.arrivals = []
        self.announced = {}
        self.refused = []
        self._events = []
        self._numbers = itertools.count()

    def at(self, when, action, *arguments):
        """Has something happen."""
        entry = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, length_s):
        """Plays."""
        self.at(0.0, self.ask)
        while self._events and self._events[0][0] < length_s:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def ask(self, now):
        """Has a caller send a request to some host, and it choose a target."""
        self.at(now + self.draw.expovariate(self.per_s), self.ask)
        host = self.draw.choice(self.hosts)
        if now < host.frozen_until:
            return
        host.targets.expire(now)
        names = [each.target.name for each in host.targets.members(self.pool)]
        free = [n for n in names if not host.backoffs.is_active(n, now)]
        if free:
            target = self.draw.choice(free)
            arrival = (host, host.life, target, now)
            self.at(now + WAY_S, self.arrive, *arrival)

    def arrive(self, now, host, life, target, sent_at):
        """Has a target answer or shed a request."""
        self.arrivals.append((host, life, target, sent_at))
        if target in self.shedding:
            self.at(now + WAY_S, self.refuse, host, life, target)
        elif target in self.leaving:
            self.at(now + ANSWER_S, self.announce, host, life, target)

    def refuse(self, now, host, life, target):
        """Has a host apply a back-off."""
        if host.life != life or now < host.frozen_until:
            return
        self.refused.append((host, life, target, now))
        host.backoffs.apply(target, self.backoff_s, now)

    def announce(self, now, host, life, target):
        """Has a host apply a departure, and notify the others."""
        if host.life != life or now < host.frozen_until:
            return
        self.announced.setdefault((host, life, target), now)
        if not host.targets.mark_leaving(target):
            return
        key = host.targets.key_of(target)
        for pause_s in RESEND_S:
            for peer in self.hosts:
                is_cut = self.cut_place in (host.place, peer.place)
                is_cut = is_cut and host.place != peer.place
                if not is_cut and self.draw.random() >= LOSS:
                    self.at(now + pause_s + WAY_S, self.hear, peer, key)

    def hear(self, now, host, key):
        """Has a host apply a notice."""
        name = host.targets.name_of(key)
        if name is not None and now >= host.frozen_until:
            host.targets.mark_leaving(name)

    # Troubles.

    def leave(self, now, targets):
        """Has answers of targets announce that they leave."""
        del now
        self.leaving.update(targets)

    def shed(self, now, targets):
        """Has just these targets shed load."""
        del now
        self.shedding = set(targets)

    def start_again(self, now, host):
        """Starts a host's next process."""
        del now
        host.start()

    def freeze(self, now, host, length_s):
        """Has a host stand still."""
        host.frozen_until = now + length_s

    def cut(self, now, place):
        """Cuts a data centre off, or none."""
        del now
        self.cut_place = place

    def lapse(self, now, targets):
        """Has entries go missing at all hosts, which lost the store."""
        for host in self.hosts:
            host.targets.store_lost()
            host.targets.store_back(now)
            for target in targets:
                host.targets.remove(target, now)

    def list_again(self, now, targets):
        """Writes entries again, as ready."""
        del now
        for host in self.hosts:
            for target in targets:
                host.targets.put(test_target_list.make_entry(target, born_ms=1))

    def late_after_departure(self, drain_s):
        """Returns requests sent too long after their host was told."""
        never = float("inf")
        return [
            (host.name, target, at)
            for host, life, target, at in self.arrivals
            if at > self.announced.get((host, life, target), never) + drain_s
        ]

    def most_in_backoff(self):
        """Returns the most requests of one host within a back-off."""
        sent = collections.defaultdict(list)
        for host, life, target, at in self.arrivals:
            sent[host, life, target].append(at)
        return max(
            (
                sum(at + IN_FLIGHT_S <= each < at + self.backoff_s
                    for each in sent[host, life, target])
                for host, life, target, at in self.refused
            ),
            default=0,
        )  # fmt: skip


def disturb(play, targets):
    """Has hosts start again and freeze, a cut, and entries that lapse."""
    play.at(TROUBLE_AT + 0.3, play.cut, 0)
    play.at(TROUBLE_AT + 2.5, play.cut, None)
    for host in play.hosts[::7]:
        play.at(TROUBLE_AT + 0.8, play.start_again, host)
    for host in play.hosts[1::7]:
        play.at(TROUBLE_AT + 0.5, play.freeze, host, 1.5)
    play.at(TROUBLE_AT + 1.2, play.lapse, targets)
    play.at(TROUBLE_AT + 1.9, play.list_again, targets)
    play.at(TROUBLE_AT + 4.0, play.lapse, targets)
    # Longer than a missing entry is trusted.
    play.at(TROUBLE_AT + 7.0, play.list_again, targets)


class AnnouncementsAtSizeTest(unittest.TestCase):
    def test_no_host_sends_to_a_target_it_knows_to_leave(self):
        for size, drain_s in itertools.product(SIZES, DRAIN_S):
            with self.subTest(hosts=size[0], drain_s=drain_s):
                play = Play(size, 1, drain_s)
                left = [f"t{number}" for number in range(0, size[2], 4)]
                play.at(TROUBLE_AT, play.leave, left)
                disturb(play, left)
                play.run(16.0)
                self.assertTrue(play.announced)
                self.assertEqual(play.late_after_departure(drain_s), [])
                # The other targets get what these would have got.
                late = [a for a in play.arrivals if a[3] > TROUBLE_AT + 8.0]
                self.assertTrue(late)

    def test_departure_is_known_to_all_hosts_soon(self):
        for size in SIZES:
            with self.subTest(hosts=size[0]):
                play = Play(size, 2)
                play.at(TROUBLE_AT, play.leave, ["t0"])
                play.run(16.0)
                first_at = min(play.announced.values())
                late = [
                    at
                    for _, _, target, at in play.arrivals
                    if target == "t0" and at > first_at + 0.5
                ]
                self.assertEqual(late, [])

    def test_no_host_exceeds_what_a_backoff_allows(self):
        for size, backoff_s in itertools.product(SIZES, BACKOFF_S):
            with self.subTest(hosts=size[0], backoff_s=backoff_s):
                play = Play(size, 3, backoff_s=backoff_s, per_s=600.0)
                shed = [f"t{number}" for number in range(0, size[2], 3)]
                play.at(TROUBLE_AT, play.shed, shed)
                disturb(play, shed)
                play.run(16.0)
                self.assertTrue(play.refused)
                self.assertLessEqual(play.most_in_backoff(), MOST_IN_BACKOFF)

    def test_target_is_used_again_when_its_backoff_is_over(self):
        for size in SIZES:
            with self.subTest(hosts=size[0]):
                play = Play(size, 4, backoff_s=3.0, per_s=600.0)
                play.at(TROUBLE_AT, play.shed, ["t0"])
                play.at(TROUBLE_AT + 2.0, play.shed, [])
                play.run(16.0)
                count = sum(
                    target == "t0" and at > TROUBLE_AT + 5.5
                    for _, _, target, at in play.arrivals
                )
                share = count / sum(
                    at > TROUBLE_AT + 5.5 for _, _, _, at in play.arrivals
                )
                self.assertGreater(share, 0.7 / size[2])


if __name__ == "__main__":
    unittest.main()
