"""Relays answers that are not event streams.

The answer to a completion, and a short answer of a plain service, is read
completely before any of it is relayed, so that a broken connection can still be
reported as an error. A long answer of a plain service is relayed as it arrives
and ends cleanly only if the target's answer did.
"""

from __future__ import annotations

import msgspec

from hillthread.coordination import attempt_checks
from hillthread.coordination import exchange as exchange_lib
from hillthread.protocol import engine
from hillthread.protocol import headers as headers_lib
from hillthread.state.routing import records
from hillthread.transport import target_client

__all__ = ["WholeRelay"]

# Longer answers of plain services are relayed as they arrive.
_MAX_BUFFERED_BYTES = 65_536


class _Answer(msgspec.Struct):
    id: str
    choices: list[msgspec.Raw]


_answer_decoder = msgspec.json.Decoder(_Answer)


class WholeRelay:
    """Relays one answer.

    Attributes:
        usage: The usage that the engine reported, or None.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        client: target_client.TargetClient,
        checker: attempt_checks.HeadChecker,
        max_bytes: int,
    ):
        self.exchange = exchange
        self.client = client
        self.checker = checker
        self.max_bytes = max_bytes
        self.usage: engine.AnswerUsage | None = None

    async def run(
        self,
        expected: attempt_checks.Expectation,
        headers: dict[str, str],
        body: bytes | None,
    ) -> None:
        """Runs one attempt.

        Raises:
            AttemptError: It gave no complete answer.
        """
        request = self.exchange.request
        path = request.path
        if request.query:
            path += "?" + request.query.decode("latin-1")
        async with self.client.open(
            expected.target.address, request.method, path, headers, body
        ) as response:
            self.checker.check(response, expected)
            if self.exchange.completion is None:
                await self._relay_plain(response)
            else:
                await self._relay_completion(response, expected)
            expected.attempt.state = records.AttemptState.ANSWERED

    async def _relay_plain(
        self, response: target_client.TargetResponse
    ) -> None:
        answer_headers = headers_lib.filter_answer_headers(
            response.header_items
        )
        status = response.status_code
        length = response.headers.get("content-length", "")
        if length.isdigit() and int(length) <= _MAX_BUFFERED_BYTES:
            data = await self.client.read_all(response, _MAX_BUFFERED_BYTES)
            await self.exchange.begin_answer(status, answer_headers)
            await self.exchange.end_answer(data)
            return
        await self.exchange.begin_answer(status, answer_headers)
        async for chunk in self.client.read(response):
            await self.exchange.send_chunk(chunk)
        await self.exchange.end_answer()

    async def _relay_completion(
        self,
        response: target_client.TargetResponse,
        expected: attempt_checks.Expectation,
    ) -> None:
        data = await self.client.read_all(response, self.max_bytes)
        if response.status_code == 200:
            self._check_whole(data, expected.attempt)
            self.usage = engine.decode_usage(data)
        answer_headers = headers_lib.filter_answer_headers(
            response.header_items
        )
        await self.exchange.begin_answer(response.status_code, answer_headers)
        await self.exchange.end_answer(data)

    def _check_whole(self, data: bytes, attempt: records.AttemptRecord) -> None:
        try:
            answer = _answer_decoder.decode(data)
        except msgspec.DecodeError as error:
            raise target_client.AttemptError(
                records.AttemptState.ACCEPTED, "answer is not whole JSON"
            ) from error
        if not answer.choices:
            raise target_client.AttemptError(
                records.AttemptState.ACCEPTED, "answer has no choices"
            )
        if attempt.attempt_id not in answer.id:
            raise target_client.AttemptError(
                records.AttemptState.ACCEPTED, "answer to another attempt"
            )
