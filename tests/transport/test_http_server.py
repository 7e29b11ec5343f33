"""Tests of the HTTP server of the router and the control process."""

import socket
import unittest

from hillthread.transport import http_server


class ServerTest(unittest.TestCase):
    def test_accepts_connections_before_it_serves(self):
        """Programs print their addresses before the server's task has run."""
        server = http_server.Server("127.0.0.1:0", None)
        self.addCleanup(server.socket.close)
        ip, port = server.address.split(":")
        with socket.create_connection((ip, int(port)), timeout=1.0) as stream:
            self.assertEqual(stream.getpeername(), (ip, int(port)))
