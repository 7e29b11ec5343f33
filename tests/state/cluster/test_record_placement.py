"""Tests of which hosts hold a record, at the sizes designed for."""

import collections
import random
import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import record_placement

# Hosts and data centres.
SIZES = ((1, 1), (2, 1), (3, 1), (4, 2), (8, 4), (90, 4), (420, 20))


def make_hosts(count, data_centres):
    return [
        feed_source.HostEntry(
            f"h{number}", f"dc{number % data_centres}", f"10.0.0.{number}:1"
        )
        for number in range(count)
    ]


def view_of(host):
    return record_placement.RecordPlacement(host.name, host.data_centre)


def names_of(hosts):
    return [host.name for host in hosts]


class KeepersTest(unittest.TestCase):
    def test_keepers_are_other_hosts_in_different_places(self):
        for count, data_centres in SIZES:
            hosts = make_hosts(count, data_centres)
            for number in range(50):
                key = b"%d" % number
                author = hosts[number % count]
                replicas = view_of(author).replicas(key, hosts)
                self.assertEqual(len(replicas), min(3, count - 1))
                self.assertEqual(len(set(replicas)), len(replicas))
                self.assertNotIn(author, replicas)
                places = collections.Counter(k.data_centre for k in replicas)
                if data_centres >= 3 and count >= 8:
                    self.assertEqual(len(places), 3)

    def test_any_two_hosts_have_a_keeper_in_common(self):
        for count, data_centres in SIZES[1:]:
            hosts = make_hosts(count, data_centres)
            for number in range(300):
                key = b"%d" % number
                author, reader = random.Random(number).sample(hosts, 2)
                replicas = names_of(view_of(author).replicas(key, hosts))
                asked = names_of(view_of(reader).replicas(key, hosts))
                known = {author.name, *replicas}
                self.assertTrue(known & {reader.name, *asked}, (count, key))

    def test_work_is_spread_evenly(self):
        hosts = make_hosts(90, 4)
        load = collections.Counter()
        for number in range(9_000):
            author = hosts[number % 90]
            replicas = view_of(author).replicas(b"%d" % number, hosts)
            load.update(names_of(replicas))
        mean = 3 * 9_000 / 90
        self.assertLess(max(load.values()), 1.5 * mean)

    def test_fallback_covers_the_own_data_centre_and_is_bounded(self):
        for count, data_centres in SIZES:
            hosts = make_hosts(count, data_centres)
            view = view_of(hosts[0])
            replicas = set(names_of(view.replicas(b"k", hosts)))
            more = names_of(view.fallback_hosts(b"k", hosts))
            self.assertFalse(replicas & set(more))
            self.assertEqual(len(set(more)), len(more))
            self.assertLessEqual(len(more), 24)
            if count <= 8:
                self.assertEqual(len(replicas) + len(more), count - 1)

    def test_successor_is_another_host_of_the_data_centre_if_there_is_one(
        self,
    ):
        for count, data_centres in SIZES[1:]:
            hosts = make_hosts(count, data_centres)
            for stopping in hosts:
                successor = view_of(stopping).successor(b"k", hosts)
                self.assertNotEqual(successor, stopping)
                if count // data_centres >= 2:
                    self.assertEqual(
                        successor.data_centre, stopping.data_centre
                    )
