"""Tests of what a site of real processes is made of."""

import pathlib
import socket
import unittest

from hillthread.bench import site

PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def port_of(address):
    return int(address.rpartition(":")[2])


class FreeAddressesTest(unittest.TestCase):
    def test_system_gives_the_ports_to_nobody_else(self):
        """Else any connection may take one before its process listens."""
        first, last = map(int, PORT_RANGE.read_text().split())
        for address in site.free_addresses(50):
            self.assertNotIn(port_of(address), range(first, last + 1))

    def test_addresses_differ_and_can_be_listened_on(self):
        addresses = site.free_addresses(50)
        self.assertEqual(len(set(addresses)), 50)
        for address in addresses:
            with socket.socket() as each:
                each.bind(("127.0.0.1", port_of(address)))
