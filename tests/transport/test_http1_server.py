"""Tests of the gateway's HTTP server: requests, answers and idle times."""

import contextlib
import os
import resource
import socket
import time
import unittest
from unittest import mock

import anyio
import anyio.to_thread

from hillthread.state.config import caller_bounds
from hillthread.transport import byte_stream
from hillthread.transport import http1_server
from hillthread.transport import send_buffer

_REQUEST = b"GET /x HTTP/1.1\r\nhost: callers.example\r\n\r\n"
_WAIT_S = 3.0


class ServerCase(unittest.TestCase):
    """Base of tests with a server whose handler a test can replace."""

    def setUp(self):
        self.calls = []
        self.bounds = caller_bounds.CallerBounds()
        self.handler = self.serve_empty
        self.server = http1_server.Server(
            ("127.0.0.1", 0),
            self.handle,
            lambda: self.bounds,
            lambda status, reason: None,
        )
        self.addCleanup(self.server.socket.close)

    async def handle(self, caller, answer):
        self.calls.append(caller.path)
        await self.handler(caller, answer)

    async def serve_empty(self, caller, answer):
        del caller
        await answer.send_whole(204, [], b"")

    def connect(self):
        """Returns a caller's connection, as a plain socket."""
        ip, port = self.server.address.split(":")
        caller = socket.create_connection((ip, int(port)), timeout=_WAIT_S)
        return self.enterContext(contextlib.closing(caller))

    async def open(self):
        """Returns a caller's connection, as a stream."""
        ip, port = self.server.address.split(":")
        return await anyio.connect_tcp(ip, int(port))

    def run_scenario(self, scenario):
        """Runs an async function while the server is serving."""

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.server.serve)
                with anyio.fail_after(_WAIT_S):
                    await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(run)


class AnswerTest(ServerCase):
    def test_slow_reader_receives_a_long_answer_completely(self):
        body = b"x" * 8_000_000

        async def send_long(caller, answer):
            del caller
            await answer.send_whole(200, [], body)

        async def scenario():
            self.handler = send_long
            async with await self.open() as caller:
                await caller.send(_REQUEST)
                await anyio.sleep(0.6)
                size = 0
                while size < len(body):
                    size += len(await caller.receive())

        self.run_scenario(scenario)


class BufferedAnswerTest(ServerCase):
    """Answers whose parts are buffered while their callers do not read."""

    PART = b"x" * 65_536

    def setUp(self):
        super().setUp()
        self.cuts = []
        self.server.budget = send_buffer.BufferBudget(
            send_buffer.BufferBounds(32 << 20, 1 << 20), self.cuts.append
        )
        self.sent_parts = 0
        self.ended = []
        self.handler = self.send_parts

    async def send_parts(self, caller, answer):
        answer.set_label(caller.path)
        headers = [(b"content-length", b"%d" % (len(self.PART) * 192))]
        await answer.begin(200, headers)
        try:
            for number in range(192):
                await answer.send(bytes([number]) + self.PART[1:])
                self.sent_parts += 1
                await answer.wait_for_room()
            await answer.end()
        finally:
            self.ended.append(answer.ended)

    async def until(self, condition):
        while not condition():  # noqa: ASYNC110 (no event)
            await anyio.sleep(0.01)

    async def open(self):
        caller = await super().open()
        await caller.send(_REQUEST)
        return caller

    def test_parts_are_buffered_and_the_end_waits_for_the_caller(self):
        """Guards against targets that wait, and answers complete too early.

        The end of an answer with a length has no bytes of its own.
        """

        async def scenario():
            async with await self.open() as caller:
                await self.until(lambda: self.sent_parts == 192)
                await anyio.sleep(0.2)
                self.assertEqual(self.ended, [])
                self.assertGreater(self.server.budget.buffered_bytes, 1 << 20)
                _, _, body = (await caller.receive()).partition(b"\r\n\r\n")
                while len(body) < 192 * len(self.PART):
                    body += await caller.receive()
                await self.until(lambda: self.ended)
            marks = body[:: len(self.PART)]
            self.assertEqual(marks, bytes(range(192)))
            self.assertEqual(self.ended, [True])
            self.assertEqual(self.server.budget.buffered_bytes, 0)
            self.assertFalse(self.server.budget.streams)

        self.run_scenario(scenario)

    def test_answer_waits_at_its_bound_when_half_the_total_is_used(self):
        """Guards against unlimited buffering for one caller."""

        async def scenario():
            budget = self.server.budget
            budget.hold(16 << 20)
            async with await self.open() as caller:
                await self.until(lambda: budget.buffered_bytes >= 17 << 20)
                await anyio.sleep(0.2)
                self.assertLess(budget.unread_bytes, (1 << 20) + 131_072)
                budget.hold(-(16 << 20))
                await self.until(lambda: self.sent_parts == 192)
                await caller.aclose()
                await self.until(lambda: self.ended)

        self.run_scenario(scenario)

    def test_caller_that_closes_ends_its_answer_and_frees_its_bytes(self):
        """Guards against buffers of callers that are gone."""

        async def scenario():
            caller = await self.open()
            await self.until(lambda: self.sent_parts == 192)
            left_at = anyio.current_time()
            await caller.aclose()
            await self.until(lambda: self.ended)
            self.assertLess(anyio.current_time() - left_at, 0.5)
            self.assertEqual(self.ended, [False])
            await self.until(lambda: not self.server.connections)
            self.assertEqual(self.server.budget.buffered_bytes, 0)

        self.run_scenario(scenario)

    def test_cut_answer_does_not_appear_complete(self):
        """Guards against a truncated answer that ends cleanly."""

        async def scenario():
            caller = await self.open()
            await self.until(lambda: self.sent_parts == 192)
            self.server.budget.hold(32 << 20)
            await self.until(lambda: self.cuts)
            self.assertEqual(self.cuts[0].label, "/x")
            await self.until(lambda: self.ended)
            self.assertEqual(self.ended, [False])
            size = 0
            with self.assertRaises(anyio.BrokenResourceError):
                while True:
                    size += len(await caller.receive())
            self.assertLess(size, 192 * len(self.PART))
            await caller.aclose()

        self.run_scenario(scenario)


class BodyMemoryTest(ServerCase):
    def setUp(self):
        super().setUp()
        bounds = send_buffer.BufferBounds(4 << 20, 1 << 20, 1_000_000)
        self.server.budget = send_buffer.BufferBudget(bounds, lambda cut: None)

    # Guards against a process that holds more bodies than its memory allows.
    def test_body_beyond_the_bound_is_refused_before_it_is_read(self):
        async def scenario():
            first = await self.open()
            await first.send(_post(700_000) + b"x" * 10)
            await self.until_reserved(700_000)
            second = await self.open()
            await second.send(_post(700_000))
            with anyio.fail_after(1.0):
                head = await second.receive()
            self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
            self.assertIn(b"retry-after: 0.5", head.lower())
            await first.send(b"x" * 699_990)
            with anyio.fail_after(2.0):
                head = await first.receive()
            self.assertTrue(head.startswith(b"HTTP/1.1 204 "), head)
            await self.until_reserved(0)

        self.run_scenario(scenario)

    async def until_reserved(self, size):
        """Waits until this much memory is reserved for bodies."""
        with anyio.fail_after(2.0):
            while self.server.budget.body_bytes != size:  # noqa: ASYNC110
                await anyio.sleep(0.005)


def _post(length):
    return b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % length


class ClosedCallerTest(ServerCase):
    def test_request_whose_caller_closed_before_it_was_read_is_not_served(self):
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                caller = self.connect()
                caller.sendall(_REQUEST)
                if is_reset:
                    linger = b"\1\0\0\0\0\0\0\0"
                    caller.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                caller.close()

        async def scenario():
            await anyio.sleep(0.1)
            self.assertEqual(self.calls, [])

        self.run_scenario(scenario)

    def test_all_pipelined_requests_are_served(self):
        async def scenario():
            async with await self.open() as caller:
                await caller.send(_REQUEST + _REQUEST)
                await caller.send(_REQUEST)
                answers = b""
                while answers.count(b" 204 ") < 3:
                    answers += await caller.receive()
            self.assertEqual(len(self.calls), 3)

        self.run_scenario(scenario)


class AcceptTest(ServerCase):
    @contextlib.contextmanager
    def exhaust_descriptors(self):
        """Uses up all file descriptors and lowers the limit to match."""
        highest = max(int(name) for name in os.listdir("/proc/self/fd"))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
        taken = []
        try:
            with contextlib.suppress(OSError):
                while True:
                    taken.append(os.dup(0))
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for descriptor in taken:
                os.close(descriptor)

    def test_server_accepts_again_after_running_out_of_descriptors(self):
        async def scenario():
            callers = [self.connect() for _ in range(3)]
            with self.exhaust_descriptors():
                await anyio.sleep(0.2)
            for caller in callers:
                caller.sendall(_REQUEST)
            while len(self.calls) < 3:  # noqa: ASYNC110
                await anyio.sleep(0.01)

        self.run_scenario(scenario)

    def test_connection_lost_during_accept_does_not_stop_the_server(self):
        async def scenario():
            with mock.patch.object(
                byte_stream, "wrap_accepted", side_effect=OSError("lost")
            ):
                lost = self.connect()
                closed = await anyio.to_thread.run_sync(lost.recv, 1)
            self.assertEqual(closed, b"")
            self.connect().sendall(_REQUEST)
            while not self.calls:  # noqa: ASYNC110
                await anyio.sleep(0.01)

        self.run_scenario(scenario)

    def test_longest_idle_connection_is_closed_when_descriptors_run_out(self):
        async def scenario():
            idle = [self.connect() for _ in range(2)]
            while len(self.server.connections) < 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            caller = self.connect()
            caller.sendall(_REQUEST)
            with self.exhaust_descriptors():
                while not self.calls:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            first, second = idle
            first.setblocking(False)
            second.setblocking(False)
            self.assertEqual(first.recv(1), b"")
            with self.assertRaises(BlockingIOError):
                second.recv(1)

        self.run_scenario(scenario)


class StoppingTest(ServerCase):
    def test_new_connection_of_a_stopping_server_may_send_its_request(self):
        async def scenario():
            self.server.stopping = True
            self.server.close_idle()
            async with await self.open() as caller:
                await anyio.sleep(0.2)
                await caller.send(_REQUEST)
                answer = await caller.receive()
            self.assertIn(b" 204 ", answer)
            self.assertIn(b"connection: close", answer.lower())

        self.run_scenario(scenario)

    def test_connection_without_a_request_is_not_closed_as_idle(self):
        async def scenario():
            async with await self.open() as caller:
                await anyio.sleep(0.05)
                self.server.stopping = True
                self.server.close_idle()
                await anyio.sleep(0.2)
                await caller.send(_REQUEST)
                self.assertIn(b" 204 ", await caller.receive())

        self.run_scenario(scenario)

    def test_request_that_is_being_read_counts_as_unfinished(self):
        async def scenario():
            async with await self.open() as caller:
                await caller.send(
                    b"POST /x HTTP/1.1\r\nhost: callers.example\r\n"
                    b"content-length: 5\r\n\r\n"
                )
                while not self.server.unfinished:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                self.assertEqual(self.server.serving, 0)
                await caller.send(b"hello")
                self.assertIn(b" 204 ", await caller.receive())
                while self.server.unfinished:  # noqa: ASYNC110
                    await anyio.sleep(0.01)

        self.run_scenario(scenario)


class IdleTest(ServerCase):
    def test_longer_idle_timeout_applies_to_open_connections(self):
        async def scenario():
            self.bounds = self.bounds._replace(idle_timeout_s=0.2)
            async with await self.open() as caller:
                await caller.send(_REQUEST)
                await caller.receive()
                self.bounds = self.bounds._replace(idle_timeout_s=1.0)
                await anyio.sleep(0.5)
                await caller.send(_REQUEST)
                self.assertIn(b" 204 ", await caller.receive())
                started = time.monotonic()
                with self.assertRaises(anyio.EndOfStream):
                    await caller.receive()
                self.assertGreater(time.monotonic() - started, 0.8)

        self.run_scenario(scenario)
