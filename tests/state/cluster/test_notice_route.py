"""Tests of the receivers of a notice."""

import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import notice_route

HOSTS = [
    feed_source.HostEntry(f"{where}{number}", where, "127.0.0.1:1")
    for where, count in (("a", 3), ("b", 2), ("c", 1))
    for number in range(count)
]


class NoticeRouteTest(unittest.TestCase):
    def test_every_other_host_receives_the_notice_once(self):
        for draw in (min, max):
            with self.subTest(draw=draw):
                receivers = notice_route.choose_receivers(
                    "a0", "a", HOSTS, draw
                )
                reached = [each.host.name for each in receivers]
                for each in receivers:
                    if each.is_forwarder:
                        host = each.host
                        reached += [
                            other.name
                            for other in notice_route.list_forward_receivers(
                                host.name, host.data_centre, HOSTS
                            )
                        ]
                others = sorted({host.name for host in HOSTS} - {"a0"})
                self.assertEqual(sorted(reached), others)

    def test_one_notice_crosses_to_each_other_data_centre(self):
        receivers = notice_route.choose_receivers("a0", "a", HOSTS, min)
        crossing = [e for e in receivers if e.host.data_centre != "a"]
        self.assertEqual([e.host.name for e in crossing], ["b0", "c0"])
        self.assertEqual([e.is_forwarder for e in crossing], [True, False])
