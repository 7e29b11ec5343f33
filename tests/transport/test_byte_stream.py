"""Tests of streams of bytes that are read as they come."""

import socket
import struct
import unittest

import anyio

from hillthread.transport import byte_stream
from hillthread.transport import http1_server

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def pair():
    """Returns a stream and the plain socket at its other end."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        stream = await byte_stream.open_connection(*listener.getsockname())
        other, _ = listener.accept()
    other.settimeout(1.0)
    return stream, other


def play(story):
    """Runs a story, an async function that takes a stream and its other end."""

    async def run():
        stream, other = await pair()
        with other, anyio.fail_after(5.0):
            await story(stream, other)
        stream.abort()

    anyio.run(run)


async def until(holds):
    """Waits until something holds."""
    while not holds():  # noqa: ASYNC110 (nothing tells of it)
        await anyio.sleep(0.005)


class ByteStreamTest(unittest.TestCase):
    def test_what_came_is_kept_until_it_is_asked_for(self):
        async def story(stream, other):
            self.assertFalse(stream.is_readable())
            other.sendall(b"one")
            await until(stream.is_readable)
            other.sendall(b"two")
            await anyio.sleep(0.05)
            self.assertEqual(await stream.receive(), b"onetwo")
            self.assertFalse(stream.is_readable())

        play(story)

    def test_cancelled_receiver_loses_nothing(self):
        async def story(stream, other):
            with anyio.move_on_after(0.02):
                await stream.receive()
            other.sendall(b"late")
            self.assertEqual(await stream.receive(), b"late")

        play(story)

    def test_end_comes_after_what_was_sent_before_it(self):
        async def story(stream, other):
            ended = []
            stream.on_peer_closed = lambda: ended.append(True)
            other.sendall(b"last")
            other.shutdown(socket.SHUT_WR)
            await until(lambda: stream.is_peer_closed)
            self.assertEqual(ended, [True])
            self.assertEqual(await stream.receive(), b"last")
            self.assertEqual(await stream.receive(), b"")
            # Ours is still open.
            await stream.send(b"answer")
            self.assertEqual(other.recv(100), b"answer")

        play(story)

    def test_reset_is_told_after_what_was_sent_before_it(self):
        async def story(stream, other):
            other.sendall(b"last")
            await until(stream.is_readable)
            await anyio.sleep(0.02)
            other.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            other.close()
            await until(lambda: stream.is_peer_closed)
            self.assertEqual(await stream.receive(), b"last")
            with self.assertRaises(OSError):
                await stream.receive()
            with self.assertRaises(OSError):
                await stream.send(b"more")

        play(story)

    def test_peer_that_sends_much_has_to_wait(self):
        async def story(stream, other):
            other.setblocking(False)
            sent = 0
            for _ in range(50):
                try:
                    sent += other.send(bytes(1 << 20))
                except BlockingIOError:
                    await anyio.sleep(0.01)
            self.assertLess(len(stream._ahead), 1 << 20)
            received = 0
            while received < sent:
                received += len(await stream.receive())
            self.assertEqual(received, sent)

        play(story)

    def test_sender_waits_for_a_peer_that_does_not_read(self):
        async def story(stream, other):
            with anyio.move_on_after(0.2) as scope:
                for _ in range(100):
                    await stream.send(bytes(1 << 20))
            self.assertTrue(scope.cancelled_caught)
            other.close()
            with self.assertRaises(OSError):
                for _ in range(100):
                    await stream.send(bytes(1 << 20))

        play(story)

    def test_small_writes_go_out_at_once_both_ways(self):
        """One way they waited 40 ms for what had been sent to be confirmed."""

        async def answer(request, answer):
            raise AssertionError((request, answer))

        server = http1_server.Server(("127.0.0.1", 0), answer, None, None)
        with server.socket, socket.socket() as client:
            client.connect(server.socket.getsockname())
            accepted, _ = server.socket.accept()
            accepted.setblocking(False)

            async def story():
                for stream in (
                    await byte_stream.wrap_accepted(accepted),
                    (await pair())[0],
                ):
                    option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    self.assertTrue(stream.raw.getsockopt(*option))
                    stream.abort()

            anyio.run(story)


if __name__ == "__main__":
    unittest.main()
