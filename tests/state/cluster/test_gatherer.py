"""Tests of the selection of a data centre's gatherer."""

import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer

HOSTS = [
    feed_source.HostEntry(f"{where}{number}", where, f"{where}{number}:1")
    for where, count in (("a", 4), ("b", 3), ("c", 1))
    for number in range(count)
]
AFTER_TIMEOUT_S = 0.4
AVOID_S = 2.0


def make_selector(name):
    """Returns the selector of one host."""
    source = feed_source.FeedSource(name, name[0])
    for host in HOSTS:
        source.put(host)
    return gatherer.GathererSelector(source)


class GathererTest(unittest.TestCase):
    def test_hosts_of_a_data_centre_select_the_same_gatherer(self):
        picked = {make_selector(f"a{n}").pick(0.0).name for n in range(4)}
        self.assertEqual(len(picked), 1)
        gathers = [make_selector(f"a{n}").is_gatherer(0.0) for n in range(4)]
        self.assertEqual(gathers.count(True), 1)

    def test_hosts_with_fast_links_are_ranked_first(self):
        """A gatherer sends all notices to each of the other hosts."""
        source = feed_source.FeedSource("a0", "a")
        for number in range(12):
            fast = number in (5, 7)
            entry = feed_source.HostEntry(f"a{number}", "a", f"a{number}:1")
            source.put(entry._replace(link_mbps=100.0 if fast else 5.0))
        ranked = feed_source.rank_hosts("gather/a", source.hosts)
        self.assertEqual({host.name for host in ranked[:2]}, {"a5", "a7"})
        gatherer_selector = gatherer.GathererSelector(source)
        self.assertIn(gatherer_selector.pick(0.0).name, ("a5", "a7"))
        # When both are lost, another host is selected.
        for name in ("a5", "a7"):
            gatherer_selector.note_sent(name, 0.0)
        self.assertNotIn(
            gatherer_selector.pick(AFTER_TIMEOUT_S).name, ("a5", "a7")
        )

    def test_silent_gatherer_is_avoided_for_a_while_and_tried_again(self):
        selector = next(
            c
            for c in (make_selector(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = selector.pick(0.0).name
        selector.note_sent(first, 0.0)
        self.assertEqual(selector.pick(0.1).name, first)
        second = selector.pick(AFTER_TIMEOUT_S).name
        self.assertNotEqual(second, first)
        self.assertEqual(
            selector.pick(AFTER_TIMEOUT_S + AVOID_S + 0.1).name, first
        )
        # The second loss doubles the time.
        now = 10.0
        selector.note_sent(first, now)
        self.assertNotEqual(selector.pick(now + AFTER_TIMEOUT_S).name, first)
        still_avoided_at = now + AFTER_TIMEOUT_S + 1.5 * AVOID_S
        self.assertNotEqual(selector.pick(still_avoided_at).name, first)

    def test_any_packet_shows_that_the_gatherer_is_alive(self):
        selector = next(
            c
            for c in (make_selector(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = selector.pick(0.0).name
        selector.note_sent(first, 0.0)
        selector.note_heard("another:1")
        selector.note_heard(f"{first}:1")
        self.assertEqual(selector.pick(9.0).name, first)

    def test_packet_of_another_host_does_not_clear_the_timeout(self):
        selector = next(
            c
            for c in (make_selector(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = selector.pick(0.0).name
        selector.note_sent(first, 0.0)
        selector.note_heard("another:1")
        self.assertNotEqual(selector.pick(AFTER_TIMEOUT_S).name, first)

    def test_two_hosts_of_each_other_data_centre_receive_notices(self):
        names = {
            host.name[0] for host in make_selector("a0").list_remote_gatherers()
        }
        self.assertEqual(names, {"b", "c"})
        self.assertEqual(len(make_selector("a0").list_remote_gatherers()), 3)
        self.assertEqual(len(make_selector("a0").list_neighbours()), 3)

    def test_new_host_is_ranked(self):
        selector = make_selector("c0")
        self.assertEqual(selector.list_neighbours(), [])
        selector.source.put(feed_source.HostEntry("c1", "c", "c1:1"))
        self.assertEqual([h.name for h in selector.list_neighbours()], ["c1"])
