"""Tests of the pool of connections, and of calls over them."""

import collections
import socket
import time
import unittest

import anyio
import anyio.lowlevel
import anyio.to_thread

from hillthread.standin import platform_target as standin
from hillthread.standin import wire_proxy
from hillthread.state.config import caller_bounds
from hillthread.transport import connection_pool
from hillthread.transport import http1_client
from hillthread.transport import http1_server


async def serve_empty(caller, answer):
    del caller
    await answer.send_whole(204, [], b"")


async def serve_empty_slowly(caller, answer):
    del caller
    await anyio.sleep(0.05)
    await answer.send_whole(204, [], b"")


class FailedCallTest(unittest.TestCase):
    def test_call_after_a_failed_call_uses_a_new_connection(self):
        """After one silent connection, the others are not used either."""

        async def scenario():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_empty_slowly,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            proxy = wire_proxy.WireProxy(server.address)
            pool = connection_pool.ConnectionPool(0.5)
            request = http1_client.ClientRequest(
                b"GET", b"/", [(b"host", b"any")]
            )

            async def call():
                return await connection_pool.call(
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

        anyio.run(scenario)

    def test_connection_used_since_the_failed_call_is_kept(self):
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
                idle_connection = await pool.open(server.address, "test")
                used = await pool.open(server.address, "test")
                await pool.release(idle_connection)
                since = anyio.current_time()
                await pool.release(used)
                await pool.drop_idle_since(server.address, since)
                self.assertEqual(list(pool.idle[server.address]), [used])
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


class ClosingTest(unittest.TestCase):
    """Tests that closing is safe while other tasks acquire connections."""

    def close_while_taken(self, close):
        """Closes idle connections of a pool; the first close empties it."""
        pool = connection_pool.ConnectionPool(1.0)
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

    def test_idle_connections(self):
        async def close(pool):
            await pool.drop_idle_since("a", 1.0)

        self.close_while_taken(close)

    def test_all_connections(self):
        async def close(pool):
            await pool.drop("a")

        self.close_while_taken(close)


class ConnectionPoolTest(unittest.TestCase):
    def test_connect_timeout_while_the_process_is_paused_is_retried(self):
        """A process without processor time sees its timers expire late."""

        async def scenario():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                serve_empty,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.05)
            opened = []

            async def connect():
                opened.append(await pool.open(server.address, "test"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connect)
                await anyio.lowlevel.checkpoint()
                time.sleep(0.2)  # noqa: ASYNC251 (blocks the event loop)
                while not opened:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            await opened[0].close()
            server.socket.close()

        anyio.run(scenario)

    def test_peer_whose_backlog_is_full_is_unreachable(self):
        async def scenario():
            with socket.socket() as peer:
                peer.bind(("127.0.0.1", 0))
                peer.listen(0)
                address = peer.getsockname()
                with socket.create_connection(address):
                    pool = connection_pool.ConnectionPool(0.05)
                    with self.assertRaises(http1_client.CallError) as caught:
                        await pool.open(f"127.0.0.1:{address[1]}", "test")
            self.assertFalse(caught.exception.sent)
            self.assertEqual(caught.exception.reason, "connecting timed out")

        anyio.run(scenario)


class CallIdTest(unittest.TestCase):
    def run_with_server(self, handler, scenario):
        """Runs a scenario, a function of a pool and a server's address."""

        async def run():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                handler,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                await scenario(pool, server.address)
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def call(self, pool, address, call_id):
        headers = [(b"host", b"any"), (call_id.header, call_id.value)]
        request = http1_client.ClientRequest(
            b"GET", b"/", headers, call_id=call_id
        )
        return await connection_pool.call(pool, address, request, 0.5, 100)

    # Guards against matching a late answer to an earlier call with this id.
    def test_connection_is_not_used_twice_for_the_same_id(self):
        async def scenario(pool, address):
            ids = [
                http1_client.CallId(b"call", value, is_always_repeated=False)
                for value in (b"a", b"b")
            ]
            for number in (0, 1, 0, 1):
                await self.call(pool, address, ids[number])
            self.assertEqual(pool.opened, {"none_kept": 1, "id_carried": 1})
            self.assertEqual(len(pool.idle[address]), 2)

        self.run_with_server(serve_empty, scenario)

    def test_answer_with_another_id_is_rejected_and_counted(self):
        async def serve_other_id(caller, answer):
            del caller
            await answer.send_whole(204, [(b"call", b"other")], b"")

        async def scenario(pool, address):
            for is_always_repeated in (True, False):
                call_id = http1_client.CallId(b"call", b"a", is_always_repeated)
                with self.assertRaises(http1_client.CrossedAnswerError):
                    await self.call(pool, address, call_id)
            self.assertEqual(pool.faults["crossed_answer"], 2)
            self.assertFalse(pool.idle[address])

        self.run_with_server(serve_other_id, scenario)

    # Guards against reading on for ever behind answers to earlier calls.
    def test_surplus_answers_are_skipped_up_to_a_bound(self):
        for surplus, is_answered in ((1, True), (2, True), (3, False)):
            with self.subTest(surplus=surplus):
                self.play_surplus(surplus, b"", is_answered)

    def test_long_surplus_answer_is_not_skipped(self):
        self.play_surplus(1, bytes(70_000), False)

    def play_surplus(self, surplus, body, is_answered):
        """Calls a peer that repeats its first answer before the second one."""

        async def serve(stream):
            async with stream:
                for number, name in enumerate((b"a", b"b")):
                    await stream.receive()
                    repeated = (
                        standin.encode_answer(200, [(b"call", b"a")], body)
                        * surplus
                    )
                    data = standin.encode_answer(200, [(b"call", name)], b"")
                    await stream.send(repeated * number + data)
                await stream.receive()

        async def scenario():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            pool = connection_pool.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                address = f"127.0.0.1:{port}"
                await self.call(
                    pool, address, http1_client.CallId(b"call", b"a")
                )
                second = http1_client.CallId(b"call", b"b")
                if is_answered:
                    await self.call(pool, address, second)
                else:
                    with self.assertRaises(http1_client.InvalidAnswerError):
                        await self.call(pool, address, second)
                self.assertFalse(pool.idle[address])
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    def test_answer_without_an_id_is_accepted_if_the_peer_may_omit_it(self):
        async def scenario(pool, address):
            await self.call(
                pool, address, http1_client.CallId(b"call", b"a", False)
            )
            with self.assertRaises(http1_client.CrossedAnswerError):
                await self.call(
                    pool, address, http1_client.CallId(b"call", b"b")
                )

        self.run_with_server(serve_empty, scenario)

    def test_connection_is_closed_after_a_bounded_number_of_ids(self):
        async def scenario(pool, address):
            for number in range(http1_client.MAX_CALLS + 1):
                value = b"%d" % number
                await self.call(
                    pool, address, http1_client.CallId(b"call", value, False)
                )
            self.assertEqual(pool.opened.total(), 2)

        self.run_with_server(serve_empty, scenario)
