"""Tests which hosts write the journal of streams."""

import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import journal_writers


def make_hosts(data_centres, each):
    return {
        f"h{place}-{number}": feed_source.HostEntry(
            f"h{place}-{number}", f"dc{place:02}", "127.0.0.1:1"
        )
        for place in range(data_centres)
        for number in range(each)
    }


def list_writers(hosts):
    """Returns how many hosts use each writer."""
    counts = {}
    for host in hosts.values():
        ranked = journal_writers.rank_writers(host.data_centre, hosts)
        counts[ranked[0].name] = counts.get(ranked[0].name, 0) + 1
    return counts


class JournalWritersTest(unittest.TestCase):
    def test_writers_grow_with_hosts(self):
        for data_centres, each, writers in (
            (1, 1, 1),
            (4, 2, 1),
            (6, 12, 3),
            (6, 33, 6),
            (20, 21, 18),
        ):
            with self.subTest(data_centres=data_centres, each=each):
                counts = list_writers(make_hosts(data_centres, each))
                self.assertEqual(len(counts), writers)
                self.assertLessEqual(max(counts.values()), 2 * each + 24)

    def test_hosts_of_a_group_agree_on_the_order(self):
        hosts = make_hosts(4, 2)
        orders = {
            tuple(h.name for h in journal_writers.rank_writers(place, hosts))
            for place in {host.data_centre for host in hosts.values()}
        }
        self.assertEqual(len(orders), 1)
        self.assertEqual(set(*orders), set(hosts))

    def test_unlisted_data_centre_has_no_writer(self):
        self.assertEqual(journal_writers.rank_writers("dc", {}), [])
        hosts = make_hosts(2, 1)
        self.assertEqual(journal_writers.rank_writers("elsewhere", hosts), [])
