"""Tests of which host gathers what the hosts of a data centre tell."""

import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer

HOSTS = [
    feed_source.HostEntry(f"{where}{number}", where, f"{where}{number}:1")
    for where, count in (("a", 4), ("b", 3), ("c", 1))
    for number in range(count)
]
BACK_LATE_S = 0.4
AVOIDED_S = 2.0


def choice(name):
    """Returns the choice as one of the hosts makes it."""
    source = feed_source.FeedSource(name, name[0])
    for host in HOSTS:
        source.put(host)
    return gatherer.GathererSelector(source)


class GathererTest(unittest.TestCase):
    def test_hosts_of_a_data_centre_agree(self):
        picked = {choice(f"a{n}").pick(0.0).name for n in range(4)}
        self.assertEqual(len(picked), 1)
        gathers = [choice(f"a{n}").is_gatherer(0.0) for n in range(4)]
        self.assertEqual(gathers.count(True), 1)

    def test_hosts_with_fast_links_gather_first(self):
        """They send what all hosts are told, to each of the others."""
        source = feed_source.FeedSource("a0", "a")
        for number in range(12):
            fast = number in (5, 7)
            entry = feed_source.HostEntry(f"a{number}", "a", f"a{number}:1")
            source.put(entry._replace(link_mbps=100.0 if fast else 5.0))
        ranked = feed_source.rank_hosts("gather/a", source.hosts)
        self.assertEqual({host.name for host in ranked[:2]}, {"a5", "a7"})
        chosen = gatherer.GathererSelector(source)
        self.assertIn(chosen.pick(0.0).name, ("a5", "a7"))
        # With both lost, others do it.
        for name in ("a5", "a7"):
            chosen.note_sent(name, 0.0)
        self.assertNotIn(chosen.pick(BACK_LATE_S).name, ("a5", "a7"))

    def test_silent_one_is_passed_over_for_a_while_and_tried_again(self):
        hands = next(
            c
            for c in (choice(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = hands.pick(0.0).name
        hands.note_sent(first, 0.0)
        self.assertEqual(hands.pick(0.1).name, first)
        second = hands.pick(BACK_LATE_S).name
        self.assertNotEqual(second, first)
        self.assertEqual(hands.pick(BACK_LATE_S + AVOIDED_S + 0.1).name, first)
        # Silent again: for twice as long.
        now = 10.0
        hands.note_sent(first, now)
        self.assertNotEqual(hands.pick(now + BACK_LATE_S).name, first)
        still = now + BACK_LATE_S + 1.5 * AVOIDED_S
        self.assertNotEqual(hands.pick(still).name, first)

    def test_what_it_sends_shows_that_it_is_well(self):
        hands = next(
            c
            for c in (choice(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = hands.pick(0.0).name
        hands.note_sent(first, 0.0)
        hands.note_heard("another:1")
        hands.note_heard(f"{first}:1")
        self.assertEqual(hands.pick(9.0).name, first)

    def test_what_others_send_shows_nothing(self):
        hands = next(
            c
            for c in (choice(f"a{n}") for n in range(4))
            if not c.is_gatherer(0.0)
        )
        first = hands.pick(0.0).name
        hands.note_sent(first, 0.0)
        hands.note_heard("another:1")
        self.assertNotEqual(hands.pick(BACK_LATE_S).name, first)

    def test_two_hosts_of_each_other_data_centre_are_told(self):
        names = {host.name[0] for host in choice("a0").list_remote_gatherers()}
        self.assertEqual(names, {"b", "c"})
        self.assertEqual(len(choice("a0").list_remote_gatherers()), 3)
        self.assertEqual(len(choice("a0").list_neighbours()), 3)

    def test_host_that_comes_is_ranked(self):
        hands = choice("c0")
        self.assertEqual(hands.list_neighbours(), [])
        hands.source.put(feed_source.HostEntry("c1", "c", "c1:1"))
        self.assertEqual([h.name for h in hands.list_neighbours()], ["c1"])
