"""Tests of the proxy that simulates a faulty network link."""

import socket
import struct
import unittest

import anyio
import anyio.abc

from hillthread.standin import wire_proxy

_SHORT_WAIT_S = 0.2
_MAX_WAIT_S = 5.0
_RESET_LINGER = struct.pack("ii", 1, 0)


class _ProxySetup:
    """An upstream server that keeps connections, and a proxy to it."""

    def __init__(self):
        self.connections = []
        self.clients = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        ip, port = self.listener.getsockname()
        self.link = wire_proxy.WireProxy(f"{ip}:{port}")

    async def run(self):
        listener = await anyio.abc.SocketListener.from_socket(self.listener)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self.link.serve)
            await listener.serve(self._keep)

    async def _keep(self, stream):
        self.connections.append(stream)
        await anyio.sleep_forever()

    async def connect(self):
        """Returns the client and server side of a new proxied connection."""
        before = len(self.connections)
        ip, port = self.link.address.split(":")
        client = await anyio.connect_tcp(ip, int(port))
        self.clients.append(client)
        with anyio.fail_after(_MAX_WAIT_S):
            while len(self.connections) == before:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        return client, self.connections[-1]


async def _receive(stream, within_s=_MAX_WAIT_S):
    """Returns received bytes, b"" at the end, or None after the timeout."""
    with anyio.move_on_after(within_s):
        try:
            return await stream.receive()
        except anyio.EndOfStream:
            return b""
    return None


def _run_scenario(scenario):
    async def run():
        setup = _ProxySetup()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(setup.run)
            await scenario(setup)
            for stream in (*setup.clients, *setup.connections):
                await stream.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)


class SilencedConnectionTest(unittest.TestCase):
    def test_silenced_connection_forwards_no_data(self):
        async def scenario(setup):
            client, server = await setup.connect()
            await client.send(b"before")
            self.assertEqual(await _receive(server), b"before")
            setup.link.silence()
            await client.send(b"after")
            await server.send(b"after")
            self.assertIsNone(await _receive(server, _SHORT_WAIT_S))
            self.assertIsNone(await _receive(client, _SHORT_WAIT_S))

        _run_scenario(scenario)

    def test_silenced_connection_forwards_no_end_or_reset(self):
        async def scenario(setup):
            client, server = await setup.connect()
            setup.link.silence()
            setup.link.heal()
            await setup.link.reset()
            await client.aclose()
            self.assertIsNone(await _receive(server, _SHORT_WAIT_S))

        _run_scenario(scenario)

    def test_new_connections_work(self):
        async def scenario(setup):
            await setup.connect()
            setup.link.silence()
            client, server = await setup.connect()
            await client.send(b"new")
            self.assertEqual(await _receive(server), b"new")

        _run_scenario(scenario)


class OpenConnectionTest(unittest.TestCase):
    def test_orderly_close_is_forwarded(self):
        async def scenario(setup):
            client, server = await setup.connect()
            await client.send_eof()
            self.assertEqual(await _receive(server), b"")
            await server.send(b"answer")
            self.assertEqual(await _receive(client), b"answer")

        _run_scenario(scenario)

    def test_reset_is_forwarded(self):
        async def scenario(setup):
            client, server = await setup.connect()
            raw = server.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_LINGER,
            )
            await anyio.aclose_forcefully(server)
            with self.assertRaises(anyio.BrokenResourceError):
                await _receive(client)

        _run_scenario(scenario)

    def test_connection_is_reset_while_there_is_no_upstream(self):
        async def scenario(setup):
            setup.link.upstream = ""
            ip, port = setup.link.address.split(":")
            client = await anyio.connect_tcp(ip, int(port))
            setup.clients.append(client)
            with self.assertRaises(anyio.BrokenResourceError):
                await _receive(client)

        _run_scenario(scenario)


class DatagramTest(unittest.TestCase):
    def test_datagrams_are_forwarded_unless_the_link_is_cut(self):
        async def run():
            async with (
                anyio.create_task_group() as tasks,
                await anyio.create_udp_socket(local_host="127.0.0.1") as server,
                await anyio.create_udp_socket(local_host="127.0.0.1") as client,
            ):
                ip, port = server.extra(anyio.abc.SocketAttribute.local_address)
                link = wire_proxy.WireProxy(f"{ip}:{port}")
                tasks.start_soon(link.serve_datagrams)
                await anyio.sleep(_SHORT_WAIT_S)
                proxy_ip, proxy_port = link.address.split(":")
                await client.sendto(b"before", proxy_ip, int(proxy_port))
                with anyio.fail_after(_MAX_WAIT_S):
                    self.assertEqual((await server.receive())[0], b"before")
                link.cut()
                await client.sendto(b"cut", proxy_ip, int(proxy_port))
                await anyio.sleep(_SHORT_WAIT_S)
                link.heal()
                await client.sendto(b"after", proxy_ip, int(proxy_port))
                with anyio.fail_after(_MAX_WAIT_S):
                    self.assertEqual((await server.receive())[0], b"after")
                tasks.cancel_scope.cancel()

        anyio.run(run)
