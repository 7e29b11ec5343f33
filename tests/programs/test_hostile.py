"""Tests that hostile callers are refused, bounded and isolated from others."""

import unittest

import anyio

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes

CHAT = [{"role": "user", "content": "hello " * 20}]
KEY = deployment.tenant_key("o1").encode()
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
BODY = (
    b'{"model":"m1","stream":true,"max_tokens":400,'
    b'"messages":[{"role":"user","content":"a"}]}'
)


class HostileCallerTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.group = cls.enterClassContext(processes.ProcessGroup())
        cls.engine = cls.group.start("standin", {}, "engine")
        objects = deployment.make_objects(
            [cls.engine.addresses["standin"]], ["o1"]
        )
        settings = deployment.router_settings(
            cls.group,
            objects,
            limits={
                "max_body_bytes": 200_000,
                "max_header_bytes": 16_384,
                "read_timeout_s": 0.5,
                "keep_alive_s": 1.0,
                "max_concurrency": 50,
            },
        )
        cls.router = cls.group.start("router", settings)
        cls.address = cls.router.addresses["callers"]

    async def send(self, *parts, pause_s=0.0):
        """Sends raw parts; returns what arrives until the router closes."""
        ip, port = self.address.split(":")
        received = b""
        async with await anyio.connect_tcp(ip, int(port)) as stream:
            try:
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(pause_s)
                with anyio.fail_after(10.0):
                    while True:
                        received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        return received

    async def assert_serves(self):
        caller = caller_lib.Caller(self.address, KEY.decode())
        answer = await caller.ask(CHAT, 2)
        await caller.close()
        self.assertTrue(answer.complete)

    def authorization_header(self):
        return b"authorization: Bearer " + KEY + b"\r\n"

    async def test_connection_with_a_slow_head_is_closed(self):
        received = await self.send(HEAD, b"x: y\r\n", pause_s=1.0)
        self.assertNotIn(b"200", received[:20])
        await self.assert_serves()

    async def test_request_with_a_slow_body_is_refused_and_not_run(self):
        head = (
            HEAD + self.authorization_header() + b"content-length: 100\r\n\r\n"
        )
        received = await self.send(head, b"{", pause_s=0.7)
        self.assertIn(b"body_timeout", received)
        self.assertIn(b'"run":"not_run"', received)

    async def test_large_head_and_many_headers_are_refused(self):
        large = b"a: " + b"x" * 40_000 + b"\r\n\r\n"
        received = await self.send(HEAD + large)
        self.assertTrue(received == b"" or b" 4" in received[:20], received)
        many = b"".join(b"h%d: v\r\n" % n for n in range(3000)) + b"\r\n"
        received = await self.send(HEAD + many)
        self.assertTrue(received == b"" or b" 4" in received[:20], received)
        await self.assert_serves()

    async def test_chunked_body_above_the_limit_is_refused(self):
        head = (
            HEAD
            + self.authorization_header()
            + b"transfer-encoding: chunked\r\n\r\n"
        )
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        received = await self.send(head, *[chunk] * 5)
        self.assertIn(b"body_too_large", received)

    async def test_request_smuggling_is_refused_or_read_as_one_request(self):
        inner = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n"
        two_framings = (
            HEAD
            + self.authorization_header()
            + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"0\r\n\r\n"
            + inner
        )
        two_lengths = (
            HEAD
            + self.authorization_header()
            + b"content-length: 4\r\ncontent-length: 40\r\n\r\nabcd"
            + inner
        )
        for raw in (two_framings, two_lengths):
            received = await self.send(raw)
            self.assertNotIn(b'"object":"list"', received)
        await self.assert_serves()

    async def test_internal_headers_of_callers_do_not_reach_the_engine(self):
        """A caller cannot set attempt ids, expected weights or cache salts."""
        caller = caller_lib.Caller(self.address, KEY.decode())
        answer = await caller.ask(
            CHAT,
            2,
            headers={
                "x-request-id": "mine",
                "x-expect-weights": "w9",
                "last-event-id": "7",
                "connection": "x-note",
            },
            cache_salt="another-organisation",
        )
        await caller.close()
        self.assertTrue(answer.complete)
        self.assertNotEqual(answer.request_id, "mine")

    async def test_many_open_connections_do_not_affect_other_callers(self):
        ip, port = self.address.split(":")
        before = self.router.resident_bytes()
        streams = []
        for _ in range(300):
            stream = await anyio.connect_tcp(ip, int(port))
            await stream.send(HEAD)
            streams.append(stream)
        await self.assert_serves()
        growth_bytes = self.router.resident_bytes() - before
        for stream in streams:
            await stream.aclose()
        self.assertLess(growth_bytes, 50_000_000)

    async def test_long_stream_to_an_idle_caller_is_not_cut(self):
        """The time limit for reading a head must not apply during an answer."""
        caller = caller_lib.Caller(self.address, KEY.decode())
        answer = await caller.ask(CHAT, 350)
        await caller.close()
        self.assertGreater(answer.total_s, 2.0)
        self.assertTrue(answer.complete and answer.clean_end)

    async def test_slow_reader_does_not_delay_other_callers(self):
        ip, port = self.address.split(":")
        head = (
            HEAD
            + self.authorization_header()
            + b"content-length: %d\r\n\r\n" % len(BODY)
        )
        async with await anyio.connect_tcp(ip, int(port)) as stream:
            await stream.send(head + BODY)
            await anyio.sleep(0.5)
            await self.assert_serves()
