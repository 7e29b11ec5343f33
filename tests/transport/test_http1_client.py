"""Tests of connections to targets."""

import collections
import socket
import time
import unittest

import anyio
import anyio.lowlevel
import h11

from hillthread.standin import wire_proxy
from hillthread.state.config import caller_bounds
from hillthread.transport import http1
from hillthread.transport import http1_client
from hillthread.transport import http1_server


async def serve_nothing(caller, answer):
    del caller
    await answer.send_whole(204, [], b"")


async def serve_slowly(caller, answer):
    del caller
    await anyio.sleep(0.05)
    await answer.send_whole(204, [], b"")


class LostCallTest(unittest.TestCase):
    def test_call_after_one_that_was_lost_takes_a_new_connection(self):
        """Kept connections seldom fall silent alone."""

        async def story():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_slowly,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            proxy = wire_proxy.WireProxy(server.address)
            pool = http1_client.ConnectionPool(0.5)
            request = http1_client.ClientRequest(
                b"GET", b"/", [(b"host", b"any")]
            )

            async def call():
                return await http1_client.call(
                    pool, proxy.address, request, 0.3, 100
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                tasks.start_soon(proxy.serve)
                async with anyio.create_task_group() as both:
                    both.start_soon(call)
                    both.start_soon(call)
                self.assertEqual(len(pool.idle[proxy.address]), 2)
                proxy.silence()
                with self.assertRaises(http1_client.CallError):
                    await call()
                self.assertEqual((await call()).head.status, 204)
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(story)

    def test_connection_that_carried_an_answer_since_is_kept(self):
        async def story():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_nothing,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = http1_client.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                rested = await pool.open(server.address, "test")
                proven = await pool.open(server.address, "test")
                await pool.release(rested)
                since = anyio.current_time()
                await pool.release(proven)
                await pool.drop_idle_since(server.address, since)
                self.assertEqual(list(pool.idle[server.address]), [proven])
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(story)


class ClosingTest(unittest.TestCase):
    """Others take connections while some are closed."""

    def close_while_taken(self, close):
        """Closes idle connections of a pool; the first close empties it."""
        pool = http1_client.ConnectionPool(1.0)
        kept = pool.idle["a"] = collections.deque()
        closed = []

        class Connection:
            last_used_at = 0.0

            async def close(self):
                closed.append(self)
                kept.clear()

        kept.extend([Connection(), Connection()])
        anyio.run(close, pool)
        self.assertEqual(len(closed), 2)

    def test_rested_connections(self):
        async def close(pool):
            await pool.drop_idle_since("a", 1.0)

        self.close_while_taken(close)

    def test_all_connections(self):
        async def close(pool):
            await pool.drop("a")

        self.close_while_taken(close)


class UnacknowledgedTest(unittest.TestCase):
    def test_kernel_tells_what_the_peer_has_not_acknowledged(self):
        """A peer that reads nothing acknowledges what it has room for."""

        async def story():
            told = []
            with socket.socket() as peer:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                peer.bind(("127.0.0.1", 0))
                peer.listen()
                ip, port = peer.getsockname()
                pool = http1_client.ConnectionPool(0.5)
                connection = await pool.open(f"{ip}:{port}", "test")
                for size in (4, 16_000):
                    request = http1_client.ClientRequest(
                        b"POST", b"/", [(b"host", b"any")], bytes(size)
                    )
                    connection.state_machine = h11.Connection(h11.CLIENT)
                    await connection.send_request(request)
                    await anyio.sleep(0.05)
                    told.append(connection.unacknowledged_bytes())
                    # The peer has seen some: it is slow, and not silent.
                    self.assertFalse(connection.is_request_unacknowledged())
                await connection.close()
            self.assertEqual(told[0], 0)
            self.assertGreater(told[1], 0)

        anyio.run(story)


class AcceptedConnectionTest(unittest.TestCase):
    def test_kernel_finds_callers_that_fell_silent(self):
        async def story():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_nothing,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = http1_client.ConnectionPool(0.5)
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
                self.assertEqual(silence_ms, http1.CALLER_USER_TIMEOUT_MS)
                await connection.close()
                tasks.cancel_scope.cancel()

        anyio.run(story)


class ConnectionPoolTest(unittest.TestCase):
    def test_own_standstill_is_not_taken_for_an_unreachable_peer(self):
        """A process that gets no processor finds that its time is over."""

        async def story():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_nothing,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = http1_client.ConnectionPool(0.05)
            opened = []

            async def connect():
                opened.append(await pool.open(server.address, "test"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connect)
                await anyio.lowlevel.checkpoint()
                time.sleep(0.2)  # noqa: ASYNC251 (stands for the standstill)
                while not opened:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            await opened[0].close()
            server.socket.close()

        anyio.run(story)

    def test_peer_whose_backlog_is_full_is_unreachable(self):
        async def story():
            with socket.socket() as peer:
                peer.bind(("127.0.0.1", 0))
                peer.listen(0)
                address = peer.getsockname()
                with socket.create_connection(address):
                    pool = http1_client.ConnectionPool(0.05)
                    with self.assertRaises(http1_client.CallError) as caught:
                        await pool.open(f"127.0.0.1:{address[1]}", "test")
            self.assertFalse(caught.exception.sent)
            self.assertEqual(caught.exception.reason, "connecting timed out")

        anyio.run(story)
