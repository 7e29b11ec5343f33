"""Tests of the peers to which each host opens links."""

import unittest

from hillthread import settings
from hillthread.coordination import dialer


def make_settings(data_centres, hosts_each):
    peers = [
        settings.PeerSettings(
            host=f"dc{d}-h{h}", data_centre=f"dc{d}", address="127.0.0.1:1"
        )
        for d in range(data_centres)
        for h in range(hosts_each)
    ]
    return [
        settings.ControlSettings(
            host=own.host,
            data_centre=own.data_centre,
            listen="127.0.0.1:0",
            admin_listen="127.0.0.1:0",
            secret="x" * 16,
            peers=[peer for peer in peers if peer is not own],
        )
        for own in peers
    ]


def list_links(host_settings):
    return [
        frozenset([own.host, peer.host])
        for own in host_settings
        for peer in dialer.select_peers(own)
    ]


class WantedPeersTest(unittest.TestCase):
    def test_no_link_is_opened_from_both_ends(self):
        found = list_links(make_settings(4, 3))
        self.assertEqual(len(found), len(set(found)))

    def test_links_every_pair_in_a_data_centre_and_few_between(self):
        found = set(list_links(make_settings(5, 6)))
        inside = [
            pair
            for pair in found
            if len({host.partition("-")[0] for host in pair}) == 1
        ]
        self.assertEqual(len(inside), 5 * 15)
        self.assertEqual(len(found) - len(inside), 10 * 4)

    def test_lost_gateways_are_replaced(self):
        host_settings = make_settings(2, 4)
        between = [
            (own.host, peer.host)
            for own in host_settings
            for peer in dialer.select_peers(own)
            if own.data_centre != peer.data_centre
        ]
        lost = frozenset(between[0])
        replacements = [
            (own.host, peer.host)
            for own in host_settings
            if own.host not in lost
            for peer in dialer.select_peers(own, lost)
            if own.data_centre != peer.data_centre
        ]
        self.assertEqual(len(replacements), 4)
        self.assertFalse(
            lost & {host for pair in replacements for host in pair}
        )
