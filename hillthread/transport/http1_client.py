"""HTTP/1.1 client: requests, and connections that carry them.

Every failed call tells whether bytes of the request may have been sent.
"""

from __future__ import annotations

import collections
import logging
from typing import NamedTuple

import anyio
import h11

from hillthread.protocol import body_framing
from hillthread.transport import http1

__all__ = [
    "AnswerHead",
    "CallError",
    "CallId",
    "ClientConnection",
    "ClientRequest",
    "CrossedAnswerError",
    "InvalidAnswerError",
    "MAX_CALLS",
    "WholeAnswer",
]

_MAX_HEAD_BYTES = 65_536
# Interim answers (1xx) before the final one. Some services send them to show
# progress.
_MAX_INTERIM_ANSWERS = 32
# Parts of a body below this size, and how many of them an answer may have:
# each costs as much processor time as a large one.
_TINY_PART_BYTES = 4
_MAX_TINY_PARTS = 4_096
# Answers to earlier calls that are skipped before the one that is due, and
# bounds on the body of each.
_MAX_SURPLUS_ANSWERS = 2
_MAX_SURPLUS_BYTES = 65_536
_MAX_SURPLUS_S = 1.0
# Time from the first bytes of a head to its end. Lost packets are retransmitted
# within it.
_MAX_HEAD_S = 2.0
# Share of the peer's announced keep-alive timeout during which a connection is
# used again.
_KEEP_ALIVE_SHARE = 0.85
# Assumed when the peer announces no keep-alive timeout: shorter than what peers
# keep in practice.
_DEFAULT_KEEP_ALIVE_S = 4.0
_INLINE_BODY_BYTES = 16_384
# A long body is sent in parts of this size. Sent at once to a target that reads
# slowly, it would be in memory three times.
_BODY_PART_BYTES = 131_072
# Calls with an id after which a connection is closed. It bounds the memory
# that the ids take.
MAX_CALLS = 512
_MAX_LOGGED_ID_CHARS = 64
_PROTOCOL_ERRORS = (h11.RemoteProtocolError, h11.LocalProtocolError)

_logger = logging.getLogger("hillthread.transport")


class CallError(Exception):
    """A call failed before its answer was complete.

    Attributes:
        sent: Whether any byte of the request may have reached the peer.
        reason: A short description of the failure.
        connect_timed_out: Whether connecting timed out without an error.
        connection_refused: Whether no process listens at the address.
    """

    def __init__(
        self,
        sent: bool,
        reason: str,
        connect_timed_out: bool = False,
        connection_refused: bool = False,
    ):
        super().__init__(reason)
        self.sent = sent
        self.reason = reason
        self.connect_timed_out = connect_timed_out
        self.connection_refused = connection_refused


class InvalidAnswerError(CallError):
    """The peer sent bytes that are no valid answer to the call.

    The connection was still open, so that these bytes are no sign of a crash.

    Attributes:
        fault: What is wrong with them.
    """

    def __init__(self, fault: str):
        super().__init__(True, fault)
        self.fault = fault


class CrossedAnswerError(InvalidAnswerError):
    """The answer belongs to another call."""

    def __init__(self):
        super().__init__("crossed_answer")


class CallId(NamedTuple):
    """Identifies a call in its request and in the answer to it.

    A connection carries an id once at most, so that a late or surplus answer
    to an earlier call never has the id of a later one.

    Attributes:
        header: Lower-case name of the header that carries the id.
        value: The id; empty for a request without this header.
        is_always_repeated: Whether every answer repeats the id. Otherwise an
            answer without an id is accepted as well.
    """

    header: bytes
    value: bytes
    is_always_repeated: bool = True


class ClientRequest(NamedTuple):
    """A request to a target.

    Attributes:
        method: Upper-case method name.
        target: Path and query.
        headers: All headers except those that frame the body.
        body: The complete body.
        call_id: Its id, which is also in `headers`; None if the peer repeats
            no ids.
    """

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes = b""
    call_id: CallId | None = None


class AnswerHead(NamedTuple):
    """The head of an answer.

    Attributes:
        status: HTTP status code.
        headers: Names and values in order, names in lower case.
    """

    status: int
    headers: http1.Headers

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or an empty value."""
        for each, value in self.headers:
            if each == name:
                return value
        return b""


class WholeAnswer(NamedTuple):
    """An answer with its complete body."""

    head: AnswerHead
    body: bytes


class ClientConnection(http1.Http1Connection):
    """A connection to a target.

    Attributes:
        address: `IP:port`.
        opened_at: Time of the loop, in seconds, when it was established.
        last_used_at: Time of the loop when its last answer ended.
        keep_alive_s: Maximum idle time before it is used again.
        requests: Requests sent over it.
        is_body_sent: Whether the kernel accepted the whole last request.
        sent_bytes_before_request: Value of `sent_bytes` before the last
            request.
        must_close: Whether it may not carry another request.
        method: Method of its last request.
        framing: What marks the end of the body of its last answer; None
            before the answer's head.
        faults: Counts bytes received that are no valid answer, by kind.
    """

    def __init__(self, stream, address: str, faults: collections.Counter[str]):
        super().__init__(stream, h11.CLIENT, _MAX_HEAD_BYTES)
        self.address = address
        self.faults = faults
        self.opened_at = anyio.current_time()
        self.last_used_at = self.opened_at
        self.keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self.requests = 0
        self.is_body_sent = True
        self.sent_bytes_before_request = 0
        self.must_close = False
        self.method = b""
        self.framing: body_framing.BodyFraming | None = None
        self._tiny_parts = 0
        self._call_id: CallId | None = None
        self._call_hashes: set[int] = set()

    def has_carried(self, call_id: CallId | None) -> bool:
        """Returns whether the connection has carried a call with this id."""
        return call_id is not None and hash(call_id.value) in self._call_hashes

    async def send_request(self, request: ClientRequest) -> None:
        """Sends a request; a long body is left to `send_body`.

        Raises:
            CallError: The connection was lost, or the request is not valid.
        """
        self.requests += 1
        self._tiny_parts = 0
        self._call_id = request.call_id
        if request.call_id is not None:
            self._call_hashes.add(hash(request.call_id.value))
        self.method = request.method
        self.framing = None
        self.sent_bytes_before_request = self.sent_bytes
        self.is_body_sent = len(request.body) <= _INLINE_BODY_BYTES
        try:
            await self.send(self._make_events(request))
        except http1.ConnectionLostError as error:
            raise CallError(True, f"lost while sending: {error}") from error
        except h11.LocalProtocolError as error:
            raise CallError(False, f"cannot be sent: {error}") from error

    def _make_events(self, request: ClientRequest) -> list[h11.Event]:
        """Returns the events of a request, without a long body.

        Raises:
            LocalProtocolError: The request is not valid (raised by h11).
        """
        events: list[h11.Event] = [
            h11.Request(
                method=request.method,
                target=request.target,
                headers=_framed_headers(request),
            )
        ]
        if self.is_body_sent:
            events += [h11.Data(data=request.body)] if request.body else []
            events.append(h11.EndOfMessage())
        return events

    async def send_body(self, request: ClientRequest) -> None:
        """Sends the body of a request whose head was sent.

        The peer may answer or stop reading before the whole body is sent.
        """
        body = memoryview(request.body)
        try:
            for start in range(0, len(body), _BODY_PART_BYTES):
                part = body[start : start + _BODY_PART_BYTES]
                await self.send([h11.Data(data=part)])
            await self.send([h11.EndOfMessage()])
        except (http1.ConnectionLostError, h11.LocalProtocolError):
            return  # reading the answer raises the error
        self.is_body_sent = True

    async def read_head(self) -> AnswerHead:
        """Returns the head of the final answer to the last request.

        A surplus answer to an earlier call may come first and is skipped. The
        connection then closes after this answer.

        Raises:
            CrossedAnswerError: The answer belongs to another call.
            InvalidAnswerError: The head is not valid, or has no end.
            CallError: The connection failed.
        """
        head = await self._read_final_head(is_first=True)
        if self._is_crossed(head):
            head = await self._skip_surplus_answers(head)
        return head

    async def _read_final_head(self, is_first: bool) -> AnswerHead:
        """Returns the next head that is none of an interim answer.

        Args:
            is_first: Whether nothing of an answer has been received yet.

        Raises:
            InvalidAnswerError: The head is not valid, or has no end.
            CallError: The connection failed.
        """
        event = h11.NEED_DATA
        try:
            if is_first:
                self.state_machine.receive_data(await self.receive())
                event = self.state_machine.next_event()
            if not isinstance(event, h11.Response):
                event = await self._skip_interim_answers(event)
        except http1.ConnectionLostError as error:
            raise CallError(True, f"lost before an answer: {error}") from error
        except _PROTOCOL_ERRORS as error:
            raise self._make_protocol_error(
                f"not an HTTP answer: {error}"
            ) from error
        if not isinstance(event, h11.Response):
            raise CallError(True, "closed before an answer")
        return self._decode_head(event)

    async def _skip_surplus_answers(self, head: AnswerHead) -> AnswerHead:
        """Returns the head of the answer that is due.

        Args:
            head: The head of an answer to another call.

        Raises:
            CrossedAnswerError: The answer is to no earlier call on this
                connection, or cannot be skipped.
            CallError: As for `read_head`.
        """
        for _ in range(_MAX_SURPLUS_ANSWERS):
            if not self._can_skip(head):
                break
            with anyio.move_on_after(_MAX_SURPLUS_S) as scope:
                await self.read_body(_MAX_SURPLUS_BYTES)
            if scope.cancelled_caught:
                break
            self._log_crossed(head, "surplus_answer")
            self._expect_another_answer()
            head = await self._read_final_head(is_first=False)
            if not self._is_crossed(head):
                self.must_close = True
                return head
        self.must_close = True
        self._log_crossed(head, "crossed_answer")
        raise CrossedAnswerError

    def _can_skip(self, head: AnswerHead) -> bool:
        """Returns whether another answer can follow one to an earlier call."""
        call_id = self._call_id
        if call_id is None or self.must_close:
            return False
        received = head.get(call_id.header)
        return (
            received != b""
            and hash(received) in self._call_hashes
            and self.framing is not body_framing.BodyFraming.CLOSE
            and self.is_body_sent
            and self.state_machine.our_state is h11.DONE
        )

    def _expect_another_answer(self) -> None:
        """Makes the parser accept one more answer to the last request."""
        data, _ = self.state_machine.trailing_data
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # Only the method matters to the framing of an answer.
        parser.send(
            h11.Request(
                method=self.method, target=b"/", headers=[(b"host", b"")]
            )
        )
        parser.send(h11.EndOfMessage())
        if data:
            parser.receive_data(data)
        self.state_machine = parser

    async def _skip_interim_answers(self, event):
        """Returns the event after the interim answers.

        Args:
            event: The first event of h11.

        Raises:
            InvalidAnswerError: There are too many interim answers, or a head
                arrives too slowly.
        """
        interim_answers = 0
        while True:
            match event:
                case h11.NEED_DATA:
                    event = await self._read_rest_of_head()
                case h11.InformationalResponse():
                    interim_answers += 1
                    if interim_answers > _MAX_INTERIM_ANSWERS:
                        raise self.reject("too many interim answers")
                    event = self.state_machine.next_event()
                case _:
                    return event

    async def _read_rest_of_head(self):
        """Returns the next event; bounds the time if a head has begun.

        Raises:
            InvalidAnswerError: The head arrives too slowly.
        """
        if not self.state_machine.trailing_data[0]:
            return await self.next_event()
        with anyio.move_on_after(_MAX_HEAD_S):
            return await self.next_event()
        raise self.reject("head without end")

    async def read_part(self) -> bytes:
        """Returns the next part of the answer's body; nothing at its end.

        Raises:
            InvalidAnswerError: The answer is not valid HTTP, or sent in too
                many tiny parts.
            CallError: The answer is truncated.
        """
        try:
            while True:
                event = await self.next_event()
                match event:
                    case h11.Data():
                        if len(event.data) < _TINY_PART_BYTES:
                            self._count_tiny_part()
                        if event.data:
                            return bytes(event.data)
                    case h11.EndOfMessage():
                        return b""
                    case _:
                        raise CallError(True, "answer broke off")
        except http1.ConnectionLostError as error:
            raise CallError(True, f"answer cut: {error}") from error
        except _PROTOCOL_ERRORS as error:
            raise self._make_protocol_error(
                f"answer broke off: {error}"
            ) from error

    async def read_body(self, limit: int) -> bytes:
        """Returns the whole body of an answer.

        Raises:
            InvalidAnswerError: The body is larger than `limit`.
            CallError: The body is truncated.
        """
        body = bytearray()
        while part := await self.read_part():
            body += part
            if len(body) > limit:
                raise self.reject("body too long")
        return bytes(body)

    def is_request_unacknowledged(self) -> bool:
        """Returns whether the peer's kernel acknowledged none of the request.

        Returns False until the whole request was sent: a peer that reads a long
        body slowly leaves a part of it unacknowledged.
        """
        sent = self.sent_bytes - self.sent_bytes_before_request
        if not sent or not self.is_body_sent:
            return False
        return self.unacknowledged_bytes() >= sent

    def is_answer_read(self) -> bool:
        """Returns whether the last answer has ended before the connection."""
        return self.state_machine.their_state is h11.DONE

    def is_reusable(self) -> bool:
        """Returns whether the connection may carry another request."""
        if self.requests == 0:
            return True
        if self.must_close or not self.is_body_sent:
            return False
        if len(self._call_hashes) >= MAX_CALLS:
            return False
        if self.state_machine.our_state is not h11.DONE:
            return False
        if not self.is_answer_read():
            return False
        if self.state_machine.trailing_data[0]:
            self.faults["surplus_bytes"] += 1
            return False
        return True

    def _count_tiny_part(self) -> None:
        self._tiny_parts += 1
        if self._tiny_parts > _MAX_TINY_PARTS:
            raise self.reject("too many tiny parts")

    def _make_protocol_error(self, reason: str) -> CallError:
        """Returns the error for bytes that h11 does not accept."""
        if self.stream.is_peer_closed:
            return CallError(True, reason)
        self.must_close = True
        self.faults["not HTTP"] += 1
        return InvalidAnswerError(reason)

    def reject(self, fault: str) -> InvalidAnswerError:
        """Counts and logs an answer that exceeds a bound; returns the error."""
        self.must_close = True
        self.faults[fault] += 1
        _logger.warning(
            "answer rejected",
            extra={
                "event": "answer_rejected",
                "address": self.address,
                "fault": fault,
            },
        )
        return InvalidAnswerError(fault)

    def _is_crossed(self, head: AnswerHead) -> bool:
        """Returns whether an answer belongs to another call."""
        call_id = self._call_id
        if call_id is None:
            return False
        received = head.get(call_id.header)
        if received == call_id.value:
            return False
        return bool(received) or call_id.is_always_repeated

    def _log_crossed(self, head: AnswerHead, event: str) -> None:
        """Counts and logs an answer that belongs to another call."""
        assert self._call_id is not None
        self.faults[event] += 1
        _logger.warning(
            "answer belongs to another call",
            extra={
                "event": event,
                "address": self.address,
                "status": head.status,
                "received_id": _shorten(head.get(self._call_id.header)),
                "expected_id": _shorten(self._call_id.value),
            },
        )

    def _decode_head(self, response: h11.Response) -> AnswerHead:
        head = AnswerHead(
            response.status_code,
            [(bytes(name), bytes(value)) for name, value in response.headers],
        )
        self.keep_alive_s = _parse_keep_alive_s(head.get(b"keep-alive"))
        self.must_close = b"close" in head.get(b"connection").lower()
        self.framing = body_framing.framing_of(
            self.method, head.status, head.headers
        )
        return head


def _framed_headers(request: ClientRequest) -> http1.Headers:
    if not request.body and request.method in (b"GET", b"HEAD"):
        return request.headers
    length = b"%d" % len(request.body)
    return [*request.headers, (b"content-length", length)]


def _shorten(value: bytes) -> str:
    return value[:_MAX_LOGGED_ID_CHARS].decode("latin-1")


def _parse_keep_alive_s(header: bytes) -> float:
    for term in header.split(b","):
        name, _, value = term.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * _KEEP_ALIVE_SHARE
    return _DEFAULT_KEEP_ALIVE_S
