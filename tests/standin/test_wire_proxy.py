"""Tests of the link that passes bytes on."""

import socket
import struct
import unittest

import anyio
import anyio.abc

from hillthread.standin import wire_proxy

_SOON_S = 0.2
_LONG_S = 5.0
_RESET_LINGER = struct.pack("ii", 1, 0)


class _Site:
    """An upstream that notes connections, and a link to it."""

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
        """Returns both ends of a new connection over the link."""
        before = len(self.connections)
        ip, port = self.link.address.split(":")
        client = await anyio.connect_tcp(ip, int(port))
        self.clients.append(client)
        with anyio.fail_after(_LONG_S):
            while len(self.connections) == before:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        return client, self.connections[-1]


async def _hears(stream, within_s=_LONG_S):
    """Returns what a side hears; None for nothing at all in that time."""
    with anyio.move_on_after(within_s):
        try:
            return await stream.receive()
        except anyio.EndOfStream:
            return b""
    return None


def _play(story):
    async def run():
        site = _Site()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.run)
            await story(site)
            for stream in (*site.clients, *site.connections):
                await stream.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)


class SilencedConnectionTest(unittest.TestCase):
    def test_silenced_connection_passes_nothing_on_either_way(self):
        async def story(site):
            client, server = await site.connect()
            await client.send(b"before")
            self.assertEqual(await _hears(server), b"before")
            site.link.silence()
            await client.send(b"after")
            await server.send(b"after")
            self.assertIsNone(await _hears(server, _SOON_S))
            self.assertIsNone(await _hears(client, _SOON_S))

        _play(story)

    def test_end_and_reset_of_one_side_are_not_heard_either(self):
        async def story(site):
            client, server = await site.connect()
            site.link.silence()
            site.link.heal()
            await site.link.reset()
            await client.aclose()
            self.assertIsNone(await _hears(server, _SOON_S))

        _play(story)

    def test_new_connections_work(self):
        async def story(site):
            await site.connect()
            site.link.silence()
            client, server = await site.connect()
            await client.send(b"new")
            self.assertEqual(await _hears(server), b"new")

        _play(story)


class OpenConnectionTest(unittest.TestCase):
    def test_end_is_passed_on_as_an_end(self):
        async def story(site):
            client, server = await site.connect()
            await client.send_eof()
            self.assertEqual(await _hears(server), b"")
            await server.send(b"answer")
            self.assertEqual(await _hears(client), b"answer")

        _play(story)

    def test_reset_is_passed_on_as_a_reset(self):
        async def story(site):
            client, server = await site.connect()
            raw = server.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_LINGER,
            )
            await anyio.aclose_forcefully(server)
            with self.assertRaises(anyio.BrokenResourceError):
                await _hears(client)

        _play(story)

    def test_connection_is_reset_while_there_is_no_upstream(self):
        async def story(site):
            site.link.upstream = ""
            ip, port = site.link.address.split(":")
            client = await anyio.connect_tcp(ip, int(port))
            site.clients.append(client)
            with self.assertRaises(anyio.BrokenResourceError):
                await _hears(client)

        _play(story)


class PacketTest(unittest.TestCase):
    def test_packets_pass_unless_the_link_is_cut(self):
        async def run():
            async with (
                anyio.create_task_group() as tasks,
                await anyio.create_udp_socket(local_host="127.0.0.1") as server,
                await anyio.create_udp_socket(local_host="127.0.0.1") as client,
            ):
                ip, port = server.extra(anyio.abc.SocketAttribute.local_address)
                link = wire_proxy.WireProxy(f"{ip}:{port}")
                tasks.start_soon(link.serve_datagrams)
                await anyio.sleep(_SOON_S)
                there, number = link.address.split(":")
                await client.sendto(b"before", there, int(number))
                with anyio.fail_after(_LONG_S):
                    self.assertEqual((await server.receive())[0], b"before")
                link.cut()
                await client.sendto(b"cut", there, int(number))
                await anyio.sleep(_SOON_S)
                link.heal()
                await client.sendto(b"after", there, int(number))
                with anyio.fail_after(_LONG_S):
                    self.assertEqual((await server.receive())[0], b"after")
                tasks.cancel_scope.cancel()

        anyio.run(run)
