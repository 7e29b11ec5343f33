"""Tests of the choice of a host that serves a request for another one."""

import random
import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import peer_choice


def make_hosts(count, data_centres=1):
    return [
        feed_source.HostEntry(f"h{n}", f"dc{n % data_centres}", f"10.0.0.{n}:1")
        for n in range(count)
    ]


class PeerChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = peer_choice.PeerChoice("h0", "dc0")
        self.draw = random.Random(1).choice

    def choose(self, hosts, tried=(), now=0.0, pool="p"):
        found = self.choice.choose(hosts, pool, tried, now, self.draw)
        return found.name if found else None

    def test_hosts_of_the_same_data_centre_come_first(self):
        hosts = make_hosts(9, 3)
        names = {self.choose(hosts) for _ in range(50)}
        self.assertEqual(names, {"h3", "h6"})
        names = {self.choose(hosts, {"h3", "h6"}) for _ in range(50)}
        self.assertEqual(names, {"h1", "h2", "h4", "h5", "h7", "h8"})

    def test_avoided_host_is_left_out_for_its_pool_until_the_time_is_over(self):
        hosts = make_hosts(3)
        self.choice.avoid("h1", "p", 5.0)
        self.assertEqual(self.names(hosts, 4.9), {"h2"})
        self.assertEqual(self.names(hosts, 4.9, "q"), {"h1", "h2"})
        self.assertEqual(self.names(hosts, 5.0), {"h1", "h2"})
        self.choice.avoid("h1", "", 9.0)
        self.assertEqual(self.names(hosts, 8.0, "q"), {"h2"})

    def names(self, hosts, now, pool="p"):
        """Returns the hosts that many requests are sent to."""
        return {self.choose(hosts, now=now, pool=pool) for _ in range(50)}

    # Guards against a check before the choice that uses up the only probe.
    def test_check_chooses_no_host(self):
        hosts = make_hosts(2)
        self.choice.avoid("h1", "", 9.0)
        for _ in range(3):
            self.assertTrue(self.choice.can_choose(hosts, "p", 5.0))
        self.assertEqual(self.choose(hosts, now=5.0), "h1")
        self.assertFalse(self.choice.can_choose(hosts, "p", 5.1))
        self.assertTrue(self.choice.can_choose(hosts, "p", 9.0))
        self.assertFalse(self.choice.can_choose(hosts[:1], "p", 9.0))

    # Guards against refusing all requests while the only other host, which
    # declined for a moment, serves again.
    def test_avoided_hosts_are_probed_when_no_other_is_left(self):
        hosts = make_hosts(3)
        for name in ("h1", "h2"):
            self.choice.avoid(name, "", 9.0)
        probed = [self.choose(hosts, now=5.0) for _ in range(10)]
        self.assertEqual(set(probed[:2]), {"h1", "h2"})
        self.assertEqual(probed[2:], [None] * 8)
        self.assertIsNone(self.choose(hosts, now=5.2))
        self.assertIsNotNone(self.choose(hosts, now=5.3))
        self.assertIsNone(self.choose(hosts, {"h1", "h2"}, now=5.6))
        self.choice.use_again("h2", "p")
        self.assertEqual(self.names(hosts, 5.3), {"h2"})

    def test_own_host_is_never_chosen(self):
        self.assertIsNone(self.choose(make_hosts(1)))

    def test_requests_of_a_third_of_all_hosts_spread_over_the_others(self):
        for count in (8, 90, 420):
            with self.subTest(hosts=count):
                hosts = make_hosts(count)
                cut = {f"h{n}" for n in range(count // 3)}
                served = dict.fromkeys((h.name for h in hosts), 0)
                declined = 0
                draw = random.Random(count).choice
                for name in sorted(cut):
                    choice = peer_choice.PeerChoice(name, "dc0")
                    for number in range(30):
                        tried = set()
                        while True:
                            host = choice.choose(
                                hosts, "p", tried, number / 10, draw
                            ).name
                            if host not in cut:
                                break
                            tried.add(host)
                            choice.avoid(host, "p", number / 10 + 1.0)
                            declined += 1
                        choice.begin(host)
                        served[host] += 1
                        if number % 4 == 3:
                            for each in list(choice.open_requests):
                                choice.end(each)
                sent = 30 * len(cut)
                share = sent / (count - len(cut))
                self.assertLessEqual(max(served.values()), 3 * share)
                self.assertLess(declined, sent)
