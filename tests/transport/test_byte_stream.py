"""Tests of byte streams that buffer received data."""

import socket
import struct
import unittest

import anyio

from hillthread.transport import byte_stream
from hillthread.transport import http1_server

LINGER_RESET = struct.pack("ii", 1, 0)


async def connect_pair():
    """Returns a stream and the plain socket of its peer."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        stream = await byte_stream.open_connection(*listener.getsockname())
        peer, _ = listener.accept()
    peer.settimeout(1.0)
    return stream, peer


def run_scenario(scenario):
    """Runs an async function with a stream and the socket of its peer."""

    async def run():
        stream, peer = await connect_pair()
        with peer, anyio.fail_after(5.0):
            await scenario(stream, peer)
        stream.abort()

    anyio.run(run)


async def wait_until(condition):
    """Waits until a condition is true."""
    while not condition():  # noqa: ASYNC110 (no event to wait for)
        await anyio.sleep(0.005)


class ByteStreamTest(unittest.TestCase):
    def test_received_bytes_are_buffered_until_read(self):
        async def scenario(stream, peer):
            self.assertFalse(stream.is_readable())
            peer.sendall(b"one")
            await wait_until(stream.is_readable)
            peer.sendall(b"two")
            await anyio.sleep(0.05)
            self.assertEqual(await stream.receive(), b"onetwo")
            self.assertFalse(stream.is_readable())

        run_scenario(scenario)

    def test_cancelled_receiver_loses_nothing(self):
        async def scenario(stream, peer):
            with anyio.move_on_after(0.02):
                await stream.receive()
            peer.sendall(b"late")
            self.assertEqual(await stream.receive(), b"late")

        run_scenario(scenario)

    def test_end_of_stream_follows_bytes_sent_before_it(self):
        async def scenario(stream, peer):
            ended = []
            stream.on_peer_closed = lambda: ended.append(True)
            peer.sendall(b"last")
            peer.shutdown(socket.SHUT_WR)
            await wait_until(lambda: stream.is_peer_closed)
            self.assertEqual(ended, [True])
            self.assertEqual(await stream.receive(), b"last")
            self.assertEqual(await stream.receive(), b"")
            # This side is still open.
            await stream.send(b"answer")
            self.assertEqual(peer.recv(100), b"answer")

        run_scenario(scenario)

    def test_reset_is_reported_after_bytes_sent_before_it(self):
        async def scenario(stream, peer):
            peer.sendall(b"last")
            await wait_until(stream.is_readable)
            await anyio.sleep(0.02)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            peer.close()
            await wait_until(lambda: stream.is_peer_closed)
            self.assertEqual(await stream.receive(), b"last")
            with self.assertRaises(OSError):
                await stream.receive()
            with self.assertRaises(OSError):
                await stream.send(b"more")

        run_scenario(scenario)

    def test_reading_pauses_when_the_buffer_is_full(self):
        async def scenario(stream, peer):
            peer.setblocking(False)
            sent = 0
            for _ in range(50):
                try:
                    sent += peer.send(bytes(1 << 20))
                except BlockingIOError:
                    await anyio.sleep(0.01)
            self.assertLess(len(stream._read_buffer), 1 << 20)
            received = 0
            while received < sent:
                received += len(await stream.receive())
            self.assertEqual(received, sent)

        run_scenario(scenario)

    def test_send_blocks_while_the_peer_does_not_read(self):
        async def scenario(stream, peer):
            with anyio.move_on_after(0.2) as scope:
                for _ in range(100):
                    await stream.send(bytes(1 << 20))
            self.assertTrue(scope.cancelled_caught)
            peer.close()
            with self.assertRaises(OSError):
                for _ in range(100):
                    await stream.send(bytes(1 << 20))

        run_scenario(scenario)

    def test_small_writes_are_not_delayed_on_either_side(self):
        """Guards against Nagle's algorithm.

        Without TCP_NODELAY, small writes in one direction waited 40 ms for the
        acknowledgement of the bytes before.
        """

        async def answer(request, answer):
            raise AssertionError((request, answer))

        server = http1_server.Server(("127.0.0.1", 0), answer, None, None)
        with server.socket, socket.socket() as client:
            client.connect(server.socket.getsockname())
            accepted, _ = server.socket.accept()
            accepted.setblocking(False)

            async def scenario():
                for stream in (
                    await byte_stream.wrap_accepted(accepted),
                    (await connect_pair())[0],
                ):
                    option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    self.assertTrue(stream.raw.getsockopt(*option))
                    stream.abort()

            anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
