"""Property test: no answer is taken for the answer to another call."""

from __future__ import annotations

import random
import unittest

import anyio
import anyio.abc

from hillthread.standin import platform_target
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

_SERIES = 40
_CALLS = 40
_PARALLEL_CALLS = 3
_IDS = 5
_HEADER = b"call"


class _ConfusedPeer:
    """Repeats, delays and swaps its answers.

    The body of an answer names the path of its request, which is unique.

    Attributes:
        draw: Decides what is sent.
        sent: Answers sent over any connection, with ids of one call only. What
            another connection carries cannot be distinguished from the answer
            to a call with the same id.
    """

    def __init__(self, draw: random.Random):
        self.draw = draw
        self.sent: list[bytes] = []
        self._lock = anyio.Lock()

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Answers the requests of one connection."""
        answers: list[bytes] = []
        async with stream:
            try:
                async with anyio.create_task_group() as tasks:
                    async for head in _read_heads(stream):
                        answer = self._encode(head)
                        answers.append(answer)
                        await self._answer(stream, answers, tasks)
            except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    async def _answer(self, stream, answers, tasks) -> None:
        draw = self.draw
        if draw.random() < 0.2:  # surplus, in the place of the answer
            await self._send(stream, draw.choice(answers[:-1] or answers))
        others = [
            each for each in self.sent if _id_of(each) != _id_of(answers[-1])
        ]
        if others and draw.random() < 0.1:
            await self._send(stream, draw.choice(others))
        if draw.random() < 0.15:
            return  # the answer is lost
        if draw.random() < 0.3:
            await anyio.sleep(draw.uniform(0.0, 0.01))
        await self._send(stream, answers[-1])
        if _id_of(answers[-1]).startswith(b"/"):
            self.sent.append(answers[-1])
        if draw.random() < 0.3:
            tasks.start_soon(self._send_late, stream, draw.choice(answers))

    async def _send_late(self, stream, answer: bytes) -> None:
        await anyio.sleep(self.draw.uniform(0.0, 0.02))
        await self._send(stream, answer)

    async def _send(self, stream, data: bytes) -> None:
        async with self._lock:
            await stream.send(data)

    def _encode(self, head: bytes) -> bytes:
        lines = head.split(b"\r\n")
        path = lines[0].split(b" ")[1]
        prefix = _HEADER + b": "
        ids = [line for line in lines if line.startswith(prefix)]
        headers = [(_HEADER, line[len(prefix) :]) for line in ids]
        if b"silent-on-ids" in path:
            headers = []
        status = self.draw.choice((200, 202, 421, 503))
        return platform_target.encode_answer(status, headers, path)


def _id_of(answer: bytes) -> bytes:
    """Returns the id that an answer carries; empty if it carries none."""
    return answer.partition(b"\r\ncall: ")[2].partition(b"\r\n")[0]


async def _read_heads(stream):
    """Yields the heads of requests without bodies."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            try:
                data += await stream.receive()
            except anyio.EndOfStream:
                return
        head, _, data = data.partition(b"\r\n\r\n")
        yield head


class AnswerMatchingTest(unittest.TestCase):
    # Guards against matching answers by something that two calls share.
    def test_answers_of_a_confused_peer_reach_only_their_own_calls(self):
        answered = 0
        for seed in range(_SERIES):
            with self.subTest(seed=seed):
                answered += anyio.run(self.play, seed)
        self.assertGreater(answered, _SERIES * _CALLS / 4)

    async def play(self, seed: int) -> int:
        """Plays one series of calls; returns how many were answered."""
        draw = random.Random(seed)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        pool = connection_pool.ConnectionPool(0.5)
        results: list[bool] = []

        async def call_in_turn(caller: int) -> None:
            for number in range(_CALLS // _PARALLEL_CALLS):
                path = b"/%d/%d" % (caller, number)
                try:
                    body = await _call(pool, address, draw, path)
                except http1_client.CallError:
                    continue
                results.append(body.startswith(path + b"?"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, _ConfusedPeer(draw).handle)
            async with anyio.create_task_group() as callers:
                for caller in range(_PARALLEL_CALLS):
                    callers.start_soon(call_in_turn, caller)
            await pool.close()
            tasks.cancel_scope.cancel()
        self.assertTrue(all(results))
        return len(results)


async def _call(pool, address, draw, path) -> bytes:
    """Makes a call as requests of callers or control calls are made."""
    is_request = draw.random() < 0.7
    if is_request:
        # Callers repeat ids, also at the same time.
        value = path if draw.random() < 0.3 else b"%d" % draw.randrange(_IDS)
        call_id = http1_client.CallId(_HEADER, value)
        path += b"?request"
    else:
        call_id = http1_client.CallId(_HEADER, path, is_always_repeated=False)
        path += b"?silent-on-ids"
    headers = [(b"host", b"any"), (call_id.header, call_id.value)]
    request = http1_client.ClientRequest(b"GET", path, headers, call_id=call_id)
    answer = await connection_pool.call(
        pool, address, request, 0.06, 100, is_alone=not is_request
    )
    return answer.body


if __name__ == "__main__":
    unittest.main()
