"""A target that names a limit of a few requests a second, before many hosts.

Pattern: a target in need says in its answers that it takes 1.5 requests a
second of all hosts together, while 4 to 60 a second are asked of it, on any
host. Each host sees an eighth, or a four hundredth, of that. Packets are lost
meanwhile, hosts start again or freeze, data centres are cut off, the limit
changes.

Grounds of the figures: the platform judges any span of 4 s, from some seconds
after the limit was first named, and allows half as much again and 5 requests
more. One way between hosts takes 1 ms; 1 in 40 packets is lost. A hot prompt of
a large deployment comes 60 times a second.

Everything runs in virtual time; hosts are the shipped limits and ledgers, the
way between them is that of `test_quota_at_size.py`. All that reaches the target
is judged, also from hosts that the platform would excuse.
"""

import bisect
import itertools
import unittest

from hillthread.state.quotas import target_limits
from tests.state.quotas import test_quota_at_size as quota_play

WINDOW_S = 4.0
TARGET = "engine"
NAMED_AT = 6.0
# A change is told three times; packets pass through one host of a data centre.
TELL_AGAIN_S = (0.0, 0.1, 0.3)
# Of an answer's first byte.
ANSWER_S = 0.1
SIZES = ((8, 4), (90, 4), (420, 20))
# Most kinds of trouble are played before fewer hosts: 420 take 12 s each.
SMALLER = SIZES[:2]


def allowed(per_s):
    """Returns how many requests may reach the target in a window."""
    return per_s * WINDOW_S * 1.5 + 5


class Play(quota_play.Play):
    """Hosts before one target.

    Attributes:
        per_s: Returns the limit that the target names at a time, or None.
        asks_per_s: How often a request is asked for that would go there.
        arrived: When what reached the target.
        passed: When what went elsewhere.
    """

    def __init__(self, hosts, data_centres, seed, per_s, asks_per_s):
        super().__init__(hosts, data_centres, seed)
        self.per_s = per_s
        self.asks_per_s = asks_per_s
        self.arrived = []
        self.passed = []
        for host in self.hosts:
            self.equip(host)

    def equip(self, host):
        """Gives a process that starts what keeps limits."""
        host.limits = target_limits.TargetLimits(host.ledger, self.draw.random)

    def start_again(self, now, host):
        """Starts a host's next process."""
        super().start_again(now, host)
        self.equip(host)

    def ask(self, now):
        """Has a caller send a request to some host."""
        pause = self.draw.expovariate(self.asks_per_s(now))
        self.at(now + pause, self.ask)
        host = self.draw.choice([each for each in self.hosts if each.up])
        if not host.limits.admit(TARGET, now):
            self.passed.append(now)
            return
        if host.limits.charge(TARGET, now):
            self.wake(now, host)
        self.at(now + quota_play.WAY_S, self.arrive)
        self.at(now + ANSWER_S, self.answer, host, host.lives)

    def wake(self, now, host):
        """Has a host tell soon what it has sent."""
        if not host.is_telling:
            host.is_telling = True
            self.at(now + quota_play.GATHER_S, self.hand_over, host, host.lives)

    def arrive(self, now):
        """Notes what reaches the target."""
        self.arrived.append(now)

    def answer(self, now, host, life):
        """Has a host hear what the target names."""
        if not host.up or host.lives != life:
            return
        per_s = self.per_s(now)
        if not host.limits.apply_answer(TARGET, per_s, now):
            return
        self.wake(now, host)
        for pause_s in TELL_AGAIN_S:
            self.at(now + pause_s, self.tell, host, per_s)

    def tell(self, now, host, per_s):
        """Tells all other hosts of a limit."""
        for receiver in self.hosts:
            if receiver is not host:
                self.carry(now, host, receiver, self.hear, per_s)

    def hear(self, now, host, per_s):
        """Has a host hear of a limit from another."""
        if host.limits.apply_peer_limit(TARGET, per_s, now):
            self.wake(now, host)

    def freeze(self, now, host, length_s):
        """Has a host stand still, and go on with what it knows."""
        host.up = False
        self.at(now + length_s, self.thaw, host)

    def thaw(self, now, host):
        """Has a host go on."""
        host.up = True
        host.is_telling = host.is_gathering = False
        self.beat(now, host, host.lives)

    def most_since(self, since, until=float("inf")):
        """Returns the most arrivals in any window that ends in a time."""
        return max(
            (
                number + 1 - bisect.bisect_left(self.arrived, at - WINDOW_S)
                for number, at in enumerate(self.arrived)
                if since <= at < until
            ),
            default=0,
        )

    def rate(self, begin, end):
        """Returns how many requests a second reached the target."""
        first = bisect.bisect_left(self.arrived, begin)
        return (bisect.bisect_left(self.arrived, end) - first) / (end - begin)


def named(per_s):
    """Returns a limit that is named from a time on."""
    return lambda now: per_s if now >= NAMED_AT else None


class TargetLimitsAtSizeTest(unittest.TestCase):
    def test_no_window_holds_more_than_is_allowed(self):
        """The platform's time for it is 3 s; at half and at twice that."""
        for (hosts, places), per_s in (
            *itertools.product(SMALLER, (1.5, 2.0, 0.0)),
            (SIZES[-1], 1.5),
        ):
            with self.subTest(hosts=hosts, per_s=per_s):
                play = Play(hosts, places, 1, named(per_s), lambda now: 4.0)
                play.run(20.0)
                for contact_s in (1.5, 3.0, 6.0):
                    most = play.most_since(NAMED_AT + contact_s)
                    self.assertLessEqual(most, allowed(per_s))
                # Its limit is used.
                self.assertGreaterEqual(play.rate(13.0, 20.0), 0.6 * per_s)

    def test_hot_target_is_not_overrun_by_many_hosts(self):
        for hosts, places in SIZES:
            with self.subTest(hosts=hosts):
                play = Play(hosts, places, 2, named(1.5), lambda now: 60.0)
                play.run(20.0)
                # What was sent before it was named is a window's past by then.
                most = play.most_since(NAMED_AT + 6.0)
                self.assertLessEqual(most, allowed(1.5))
                self.assertGreaterEqual(play.rate(13.0, 20.0), 0.6 * 1.5)

    def test_higher_limit_is_used(self):
        play = Play(90, 4, 3, named(20.0), lambda now: 60.0)
        play.run(22.0)
        self.assertLessEqual(play.most_since(NAMED_AT + 6.0), allowed(20.0))
        self.assertGreaterEqual(play.rate(13.0, 22.0), 0.8 * 20.0)

    def test_limit_that_changes_and_goes(self):
        limits = ((6.0, None), (12.0, 6.0), (20.0, 1.5), (30.0, 4.0))

        def per_s(now):
            """Returns what is named at a time."""
            return next((v for until, v in limits if now < until), None)

        play = Play(90, 4, 4, per_s, lambda now: 10.0)
        play.run(38.0)
        self.assertLessEqual(play.most_since(9.0, 12.0), allowed(6.0))
        self.assertLessEqual(play.most_since(15.0, 20.0), allowed(1.5))
        self.assertLessEqual(play.most_since(20.0, 30.0), allowed(4.0))
        self.assertGreaterEqual(play.rate(24.0, 30.0), 0.6 * 4.0)
        # Gone, it takes all again.
        self.assertGreaterEqual(play.rate(32.0, 38.0), 8.0)

    def test_limit_as_high_as_what_is_sent_keeps_nothing_away(self):
        play = Play(90, 4, 5, named(20.0), lambda now: 10.0)
        play.run(22.0)
        passed = sum(at >= NAMED_AT for at in play.passed)
        self.assertLessEqual(passed, 0.05 * 10.0 * (22.0 - NAMED_AT))

    def test_all_hosts_start_again(self):
        for hosts, places in SMALLER:
            with self.subTest(hosts=hosts):
                play = Play(hosts, places, 6, named(1.5), lambda now: 4.0)
                for number, host in enumerate(play.hosts):
                    down_s = 0.6 + play.draw.random() * 0.3
                    # The last one stays: somebody has to be asked.
                    if number:
                        play.at(11.0, play.restart, host, down_s)
                play.run(18.0)
                most = play.most_since(NAMED_AT + 3.0)
                self.assertLessEqual(most, allowed(1.5))

    def test_hosts_start_again_in_turn(self):
        for hosts, places in SMALLER:
            with self.subTest(hosts=hosts):
                play = Play(hosts, places, 7, named(1.5), lambda now: 4.0)
                for number, host in enumerate(play.hosts):
                    begin = 8.0 + 8.0 * number / hosts
                    play.at(begin, play.restart, host, 0.8)
                play.run(20.0)
                most = play.most_since(NAMED_AT + 3.0)
                self.assertLessEqual(most, allowed(1.5))

    def test_data_centre_is_cut_off(self):
        for hosts, places in SMALLER:
            with self.subTest(hosts=hosts):
                play = Play(hosts, places, 8, named(1.5), lambda now: 10.0)
                play.cut = lambda now, sender, receiver: (
                    9.0 <= now < 15.0
                    and (sender.data_centre == 0) != (receiver.data_centre == 0)
                )
                play.run(20.0)
                most = play.most_since(NAMED_AT + 4.0)
                self.assertLessEqual(most, allowed(1.5))

    def test_hosts_that_freeze_spend_nothing_of_before(self):
        for hosts, places in SMALLER:
            with self.subTest(hosts=hosts):
                play = Play(hosts, places, 9, named(1.5), lambda now: 10.0)
                for host in play.hosts[::3]:
                    play.at(10.0, play.freeze, host, 4.0)
                play.run(20.0)
                most = play.most_since(NAMED_AT + 4.0)
                self.assertLessEqual(most, allowed(1.5))

    def test_troubles_of_many_hosts_overlap(self):
        """Cut, frozen, killed in turn, while the target is hot."""
        play = Play(420, 20, 10, named(1.5), lambda now: 30.0)
        play.cut = lambda now, sender, receiver: (
            10.0 <= now < 14.0
            and (sender.data_centre < 4) != (receiver.data_centre < 4)
        )
        for number, host in enumerate(play.hosts):
            if number % 5 == 1:
                play.at(9.0 + number / 100, play.freeze, host, 3.0)
            elif number % 5 == 2:
                play.at(9.0 + number / 100, play.restart, host, 0.8)
        play.run(18.0)
        self.assertLessEqual(play.most_since(NAMED_AT + 6.0), allowed(1.5))


if __name__ == "__main__":
    unittest.main()
