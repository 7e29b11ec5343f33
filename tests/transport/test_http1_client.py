"""Tests of the HTTP client's connections."""

import socket
import unittest

import anyio
import anyio.lowlevel
import anyio.to_thread
import h11

from hillthread.state.config import caller_bounds
from hillthread.transport import connection_pool
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server


async def serve_empty(caller, answer):
    del caller
    await answer.send_whole(204, [], b"")


async def serve_empty_slowly(caller, answer):
    del caller
    await anyio.sleep(0.05)
    await answer.send_whole(204, [], b"")


class UnacknowledgedTest(unittest.TestCase):
    def test_unacknowledged_bytes_are_reported_by_the_kernel(self):
        """A peer that reads nothing acknowledges what fits into its buffer."""

        async def scenario():
            unacknowledged = []
            with socket.socket() as peer:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                peer.bind(("127.0.0.1", 0))
                peer.listen()
                ip, port = peer.getsockname()
                pool = connection_pool.ConnectionPool(0.5)
                connection = await pool.open(f"{ip}:{port}", "test")
                for size in (4, 16_000):
                    request = http1_client.ClientRequest(
                        b"POST", b"/", [(b"host", b"any")], bytes(size)
                    )
                    connection.state_machine = h11.Connection(h11.CLIENT)
                    await connection.send_request(request)
                    await anyio.sleep(0.05)
                    unacknowledged.append(connection.unacknowledged_bytes())
                    # The peer acknowledged a part: it is slow, not silent.
                    self.assertFalse(connection.is_request_unacknowledged())
                await connection.close()
            self.assertEqual(unacknowledged[0], 0)
            self.assertGreater(unacknowledged[1], 0)

        anyio.run(scenario)


class LongBodyTest(unittest.TestCase):
    def test_body_for_a_slow_target_is_whole_and_not_copied(self):
        """Guards against copies of bodies, and against bodies in disorder."""
        body = bytes(range(251)) * 80_000

        async def scenario():
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                ip, port = listener.getsockname()
                pool = connection_pool.ConnectionPool(0.5)
                connection = await pool.open(f"{ip}:{port}", "test")
                peer, _ = listener.accept()
            request = http1_client.ClientRequest(
                b"POST", b"/", [(b"host", b"any")], body
            )
            with peer:
                await connection.send_request(request)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(connection.send_body, request)
                    await anyio.sleep(0.2)
                    self.assertFalse(connection.is_body_sent)
                    buffered = connection.stream.count_unread()
                    self.assertTrue(0 < buffered <= 131_072, buffered)
                    received = await anyio.to_thread.run_sync(
                        self.read_request, peer, len(body)
                    )
                self.assertTrue(connection.is_body_sent)
                self.assertEqual(received.partition(b"\r\n\r\n")[2], body)
                await connection.close()

        anyio.run(scenario)

    def read_request(self, peer, body_size):
        peer.settimeout(3.0)
        received = b""
        while len(received.partition(b"\r\n\r\n")[2]) < body_size:
            received += peer.recv(1 << 22)
        return received


class AcceptedConnectionTest(unittest.TestCase):
    def test_accepted_connections_have_keepalive_and_user_timeout(self):
        async def scenario():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_empty,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                connection = await pool.open(server.address, "test")
                while not server.connections:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                accepted = next(iter(server.connections)).http.stream
                raw = accepted.raw
                tcp = socket.IPPROTO_TCP
                self.assertTrue(
                    raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                )
                idle_s = raw.getsockopt(tcp, socket.TCP_KEEPIDLE)
                every_s = raw.getsockopt(tcp, socket.TCP_KEEPINTVL)
                probes = raw.getsockopt(tcp, socket.TCP_KEEPCNT)
                self.assertLessEqual(idle_s + every_s * probes, 3)
                silence_ms = raw.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
                self.assertEqual(silence_ms, http1.CALLER_SILENCE_MS)
                await connection.close()
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


class InterimAnswerTest(unittest.TestCase):
    # Guards against giving up a peer that shows its progress.
    def test_final_answer_may_follow_interim_answers_late(self):
        async def serve_after_progress(caller, answer):
            for _ in range(5):
                await answer.connection.stream.send(
                    b"HTTP/1.1 102 Processing\r\n\r\n"
                )
                await anyio.sleep(0.5)
            await serve_empty(caller, answer)

        async def scenario():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_after_progress,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.5)
            request = http1_client.ClientRequest(
                b"GET", b"/", [(b"host", b"any")]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                answer = await connection_pool.call(
                    pool, server.address, request, 4.0, 100
                )
                self.assertEqual(answer.head.status, 204)
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


class InvalidRequestTest(unittest.TestCase):
    # Guards against an exception of the parser that no caller expects.
    def test_request_with_an_invalid_header_is_not_sent(self):
        async def scenario():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_empty,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.5)
            request = http1_client.ClientRequest(
                b"GET", b"/", [(b"host", b"any"), (b"name", b"\x00")]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                with self.assertRaises(http1_client.CallError) as caught:
                    await connection_pool.call(
                        pool, server.address, request, 0.5, 100
                    )
                self.assertFalse(caught.exception.sent)
                self.assertFalse(pool.idle[server.address])
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
