"""An organisation that sends many times its usual, before many hosts.

Pattern: the hosts of a deployment share each quota, and each sees a ninetieth
of the callers. An organisation uses half of its quota, and then sends seven and
a half times as much for some seconds, while packets are lost, a data centre is
cut off, or hosts start again.

Grounds of the figures: a deployment of 90 hosts in four data centres. A quota
of 605,169 tokens a second and as much at once over 8 s, of which an
organisation uses 1 in 1.8 on an ordinary day; long requests of 9,200 tokens and
short ones of 860, 36 to 64. The platform allows a tenth more and 110,000 tokens
for all errors together. One way between hosts takes 1 ms; 1 in 40 packets is
lost.

Everything runs in virtual time; hosts are the shipped ledgers, the way between
them is written here.
"""

import heapq
import itertools
import random
import unittest

from hillthread.state.config import objects
from hillthread.state.quotas import quota
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import usage_exchange

WINDOW_S = 8.0
RATE = 605_169.0
QUOTA = objects.Quota(
    rate_per_s=RATE, burst=RATE, unit=objects.QuotaUnit.TOKENS, plain_tokens=200
)
LIMIT = RATE * WINDOW_S + RATE
BOUNDS = quota.QuotaBounds(WINDOW_S, 0.1, 110_000.0)
ALLOWED = LIMIT * (1.0 + BOUNDS.overshoot_share) + BOUNDS.overshoot_units
USUAL = RATE / 1.8
HOT_X = 7.5
SIZES = (9_200, 860)
LONG_SHARE = 0.36
MEAN = SIZES[0] * LONG_SHARE + SIZES[1] * (1 - LONG_SHARE)
WAY_S = 0.001
LOSS = 0.025
# What a host has sent is told after this time, what is gathered after this one.
GATHER_S = 0.02
HAND_ON_S = 0.03
# Hosts hand over to the next one when the gatherer is silent for so long.
FAILOVER_S = 0.3
ORGANISATION = "org"


class Host:
    """One host: its ledger, and what the way between hosts needs."""

    def __init__(self, name, data_centre, count, now):
        self.name = name
        self.data_centre = data_centre
        self.lives = 0
        self.start(count, now)

    def start(self, count, now):
        """Starts its process anew."""
        self.lives += 1
        self.ledger = quota_ledger.QuotaLedger(self.name, self.lives, BOUNDS)
        self.ledger.host_count = count
        self.ledger.set_quotas({ORGANISATION: QUOTA}, now)
        self.is_telling = False
        self.is_gathering = False
        self.up = True


class Play:
    """Hosts, what reaches them, and what they tell each other.

    Attributes:
        sent: When what was sent, over all hosts.
        refused: When what was refused.
    """

    def __init__(self, hosts, data_centres, seed, share_x=None):
        self.draw = random.Random(seed)
        self.data_centres = data_centres
        self.hosts = [
            Host(f"h{n}", n % data_centres, hosts, 0.0) for n in range(hosts)
        ]
        self.members = [
            [each for each in self.hosts if each.data_centre == place]
            for place in range(data_centres)
        ]
        self.share_x = share_x or (lambda now: 1.0)
        self.cut = lambda now, sender, receiver: False
        self.shares_fixed = False
        self.sent = []
        self.refused = []
        self._events = []
        self._numbers = itertools.count()

    def at(self, when, action, *arguments):
        """Has something happen."""
        entry = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, length_s):
        """Plays."""
        for host in self.hosts:
            beat = self.draw.random() * usage_exchange.GROUP_REPORT_INTERVAL_S
            self.at(beat, self.beat, host, host.lives)
        self.at(0.0, self.ask)
        while self._events and self._events[0][0] < length_s:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def ask(self, now):
        """Has a caller send a request to some host."""
        per_s = USUAL * self.share_x(now) / MEAN
        self.at(now + self.draw.expovariate(per_s), self.ask)
        host = self.draw.choice(self.hosts)
        size = SIZES[self.draw.random() >= LONG_SHARE]
        if not host.up:
            return
        standing = host.ledger.check_request(ORGANISATION, size, now)
        if standing.remaining <= 0.0:
            self.refused.append((now, size))
            return
        self.sent.append((now, size))
        if host.ledger.charge(ORGANISATION, size, now) and not host.is_telling:
            host.is_telling = True
            self.at(now + GATHER_S, self.hand_over, host, host.lives)

    def beat(self, now, host, life):
        """Tells others that a host is there."""
        if not host.up or life != host.lives:
            return
        gathers = self.gatherer(host) is host
        pause = (
            usage_exchange.GROUP_REPORT_INTERVAL_S
            if gathers
            else usage_exchange.HOST_REPORT_INTERVAL_S
        )
        self.at(now + pause, self.beat, host, life)
        self.hand_over(now, host, life)

    def gatherer(self, host):
        """Returns the first host of the data centre that is up, if any."""
        members = self.members[host.data_centre]
        return next((each for each in members if each.up), None)

    def hand_over(self, now, host, life):
        """Tells the host that gathers."""
        host.is_telling = False
        if not host.up or life != host.lives or self.shares_fixed:
            return
        gatherer = self.gatherer(host)
        key = usage_exchange.name_key(gatherer.name)
        exchange = host.ledger.exchange
        notice = exchange.report_to(key, now, len(self.hosts))
        if notice is None:
            self.gathered(now, host)
        else:
            self.carry(now, host, gatherer, self.gather, notice)

    def gather(self, now, host, notice):
        """Takes in what a host hands over."""
        added = host.ledger.exchange.gather(notice, now)
        host.ledger.add_peer_usage(added, now)
        self.gathered(now, host)

    def gathered(self, now, host):
        """Has what was gathered handed on soon."""
        if not host.is_gathering:
            host.is_gathering = True
            self.at(now + HAND_ON_S, self.hand_on, host, host.lives)

    def hand_on(self, now, host, life):
        """Tells all hosts what a data centre has sent."""
        host.is_gathering = False
        if not host.up or life != host.lives:
            return
        exchange = host.ledger.exchange
        own = exchange.report_group(now, self.data_centres)
        others = exchange.pop_remote_notices()
        for place, members in enumerate(self.members):
            if own and place != host.data_centre:
                receiver = self.gatherer(members[0])
                if receiver is not None:
                    self.carry(now, host, receiver, self.keep, own)
        for receiver in self.members[host.data_centre]:
            if receiver is not host:
                for notice in [own, *others] if own else others:
                    self.carry(now, host, receiver, self.take, notice)

    def keep(self, now, host, notice):
        """Takes in what another data centre tells, to be handed on."""
        host.ledger.exchange.queue_for_members(notice)
        self.take(now, host, notice)
        self.gathered(now, host)

    def take(self, now, host, notice):
        """Takes in what a data centre has sent."""
        added = host.ledger.exchange.apply_notice(notice, now)
        host.ledger.add_peer_usage(added, now)

    def carry(self, now, sender, receiver, action, notice):
        """Carries a packet, unless it is lost."""
        if self.draw.random() < LOSS or self.cut(now, sender, receiver):
            return
        life = receiver.lives

        def arrive(when):
            """Reaches the process it was sent to."""
            if receiver.up and receiver.lives == life:
                action(when, receiver, notice)

        self.at(now + WAY_S, arrive)

    def restart(self, now, host, down_s):
        """Kills a host's process; it is back after some time."""
        host.up = False
        self.at(now + down_s, self.start_again, host)

    def start_again(self, now, host):
        """Starts a host's next process."""
        host.start(len(self.hosts), now)
        self.beat(now, host, host.lives)

    def most(self):
        """Returns the most tokens sent within any window."""
        first, total, most = 0, 0, 0
        for when, size in self.sent:
            total += size
            while self.sent[first][0] < when - WINDOW_S:
                total -= self.sent[first][1]
                first += 1
            most = max(most, total)
        return most

    def refused_share(self, begin, end):
        """Returns the share of requests refused in a time."""
        counts = [
            sum(begin <= when < end for when, _ in each)
            for each in (self.refused, self.sent)
        ]
        return counts[0] / sum(counts)


def hot_from(begin, end):
    """Returns how much more than usual is sent."""
    return lambda now: HOT_X if begin <= now < end else 1.0


class QuotaAtSizeTest(unittest.TestCase):
    def check(self, play):
        """The quota is kept, and used when more is asked for."""
        self.assertLessEqual(play.most(), ALLOWED)
        self.assertGreaterEqual(play.most(), 0.9 * LIMIT)

    def test_hot_organisation_keeps_within_its_quota(self):
        for hosts, data_centres in ((8, 2), (90, 4), (420, 20)):
            with self.subTest(hosts=hosts):
                play = Play(hosts, data_centres, hosts, hot_from(10, 18.5))
                play.run(18.5)
                self.check(play)
                # Below its quota nobody is refused.
                self.assertLess(play.refused_share(9.0, 10.0), 0.01)

    def test_usual_use_is_not_refused(self):
        play = Play(90, 4, 1, lambda now: 1.5)
        play.run(24.0)
        self.assertLess(play.refused_share(8.0, 24.0), 0.01)

    def test_fixed_parts_refuse_below_the_quota(self):
        """The way not taken: each host keeps its part of the quota itself."""
        play = Play(90, 4, 1, lambda now: 1.5)
        play.shares_fixed = True
        play.run(24.0)
        self.assertGreater(play.refused_share(8.0, 24.0), 0.1)

    def test_data_centre_that_is_cut_off(self):
        play = Play(90, 4, 2, hot_from(10, 22))
        play.cut = lambda now, sender, receiver: (
            12.0 <= now < 18.0
            and (sender.data_centre == 0) != (receiver.data_centre == 0)
        )
        play.run(26.0)
        self.check(play)

    def test_cut_in_calm_refuses_nobody(self):
        play = Play(90, 4, 3)
        play.cut = lambda now, sender, receiver: (
            12.0 <= now < 18.0
            and (sender.data_centre == 0) != (receiver.data_centre == 0)
        )
        play.run(28.0)
        self.assertLess(play.refused_share(10.0, 28.0), 0.01)

    def test_hosts_cut_off_one_by_one(self):
        play = Play(90, 4, 4, hot_from(10, 22))
        play.cut = lambda now, sender, receiver: (
            12.0 <= now < 18.0
            and any(int(h.name[1:]) % 6 == 5 for h in (sender, receiver))
        )
        play.run(26.0)
        self.check(play)

    def test_all_hosts_start_again(self):
        play = Play(90, 4, 5, hot_from(10, 22))
        for host in play.hosts:
            play.at(14.0, play.restart, host, 0.6 + play.draw.random() * 0.3)
        play.run(26.0)
        self.check(play)

    def test_third_of_the_hosts_start_again(self):
        play = Play(90, 4, 6, hot_from(10, 22))
        for host in play.hosts[::3]:
            play.at(13.0, play.restart, host, 0.6 + play.draw.random() * 0.3)
        play.run(26.0)
        self.check(play)

    def test_gatherers_start_again_and_again(self):
        play = Play(90, 4, 7, hot_from(10, 22))
        for number in range(5):
            for host in play.hosts[number * 4 : number * 4 + 4]:
                play.at(11.0 + 2 * number, play.restart, host, 0.8)
        play.run(26.0)
        self.check(play)


if __name__ == "__main__":
    unittest.main()
