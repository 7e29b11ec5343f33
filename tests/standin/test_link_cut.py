"""Tests of links to targets that a control file cuts."""

import pathlib
import socket
import tempfile
import unittest

import anyio
import msgspec

from hillthread.standin import link_cut
from hillthread.transport import byte_stream


class LinkCutTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = link_cut.control_path(f"{folder}/settings.json", "h1")
        self.assertEqual(self.path, pathlib.Path(folder) / "h1.links")
        connect = byte_stream.open_connection
        self.addCleanup(setattr, byte_stream, "open_connection", connect)
        link_cut.LinkCut(self.path).install()
        self.listener = self.enterContext(socket.socket())
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.port = self.listener.getsockname()[1]

    def control(self, shape, spared=()):
        control = link_cut.Control(shape, list(spared))
        self.path.write_bytes(msgspec.json.encode(control))

    async def connect(self):
        with anyio.fail_after(0.3):
            return await byte_stream.open_connection("127.0.0.1", self.port)

    def test_open_connections_are_reset_and_new_ones_refused(self):
        async def scenario():
            stream = await self.connect()
            self.control(link_cut.Shape.RESET)
            with self.assertRaises(OSError), anyio.fail_after(1.0):
                await stream.receive()
            with self.assertRaises(ConnectionRefusedError):
                await self.connect()
            self.control(link_cut.Shape.NONE)
            await anyio.sleep(0.1)
            (await self.connect()).close()

        anyio.run(scenario)

    def test_open_connections_fall_silent_and_new_ones_hang(self):
        async def scenario():
            stream = await self.connect()
            peer, _ = self.listener.accept()
            with peer:
                self.control(link_cut.Shape.SILENT)
                await anyio.sleep(0.1)
                peer.send(b"unheard")
                with self.assertRaises(TimeoutError), anyio.fail_after(0.2):
                    await stream.receive()
                with self.assertRaises(TimeoutError):
                    await self.connect()
                stream.abort()

        anyio.run(scenario)

    def test_open_connections_live_on_and_spared_addresses_work(self):
        async def scenario():
            stream = await self.connect()
            peer, _ = self.listener.accept()
            with peer:
                self.control(link_cut.Shape.REFUSE_NEW)
                await anyio.sleep(0.1)
                peer.send(b"heard")
                self.assertEqual(await stream.receive(), b"heard")
                with self.assertRaises(ConnectionRefusedError):
                    await self.connect()
                address = f"127.0.0.1:{self.port}"
                self.control(link_cut.Shape.REFUSE_NEW, [address])
                await anyio.sleep(0.1)
                (await self.connect()).close()
                stream.close()

        anyio.run(scenario)
