"""Claims on the platform's log: batched appends, decided by log order.

A claim is granted if the log's first record of its key names the requesting
holder. Claims requested within a short time share one append. A host grants
nothing before it has read the whole window of the stream, and nothing while
the log cannot be read. The request is then refused, and it is certain that it
has not run.
"""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import NamedTuple

import anyio

from hillthread import clock
from hillthread import errors
from hillthread.state.cluster import claim_index
from hillthread.transport import log_client

__all__ = ["ClaimKeeper"]

STREAM = "claims"
# Claims requested within this time share an append. This is the delay that
# batching adds.
_BATCH_DELAY_S = 0.01
# Limit of claims in one append.
_MAX_BATCH_CLAIMS = 500
# Time for which a key is remembered; see docs/DESIGN.md, "Claims".
_WINDOW_S = 3600.0
# A claim whose record is not read back within this time is answered with
# `unavailable`.
_DECISION_TIMEOUT_S = 2.0
# Pause after a failed read, and interval of checks for undecided claims.
_RETRY_INTERVAL_S = 0.5
# The log holds a read open for this time while there is no new record.
_LONG_POLL_S = 10.0

Reply = Callable[[str], None]


class _PendingClaim(NamedTuple):
    """A claim that waits for its result."""

    claim: claim_index.Claim
    reply: Reply
    requested_at: float


class ClaimKeeper:
    """Requests and releases claims for this host's router.

    Attributes:
        index: All claims of the window.
        is_current: Whether the log was read up to its end.
        appends: Number of batches sent to the log.
    """

    def __init__(self, client: log_client.LogClient):
        self.client = client
        self.index = claim_index.ClaimIndex(_WINDOW_S)
        self.is_current = False
        self.appends = 0
        self._queued: list[_PendingClaim] = []
        self._queued_releases: list[claim_index.Claim] = []
        self._unread_releases: set[claim_index.Claim] = set()
        self._undecided: list[_PendingClaim] = []
        self._wake = anyio.Event()

    def request_claim(self, digest: str, holder: str, reply: Reply) -> None:
        """Requests a key; calls `reply` exactly once, with the result."""
        if not self.is_current:
            reply("unavailable")
            return
        current_holder = self._find_holder(digest)
        if current_holder is not None:
            reply("granted" if current_holder == holder else "taken")
            return
        claim = claim_index.Claim(digest, holder)
        self._queued.append(_PendingClaim(claim, reply, clock.now()))
        self._wake.set()

    def release(self, digest: str, holder: str) -> None:
        """Releases a claim with the next batch.

        If that append is lost, the key stays taken, which is safe.
        """
        claim = claim_index.Claim(digest, holder)
        self._queued_releases.append(claim)
        self._unread_releases.add(claim)
        self._wake.set()

    async def run(self) -> None:
        """Reads the stream and appends batches until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_stream)
            group.start_soon(self._append_batches)
            group.start_soon(self._run_expiry)

    async def _follow_stream(self) -> None:
        while True:
            try:
                page = await self.client.read(
                    STREAM,
                    self.index.position + 1,
                    wait_s=_LONG_POLL_S if self.is_current else 0.0,
                )
            except log_client.TruncatedError as error:
                self.index.position = error.first_offset - 1
                continue
            except errors.LogError:
                self.is_current = False
                await anyio.sleep(_RETRY_INTERVAL_S)
                continue
            if page.next_offset <= self.index.position:
                self.is_current = False
                await anyio.sleep(_RETRY_INTERVAL_S)
                continue
            now = clock.now()
            for record in page.records:
                self.index.apply(record.offset, record.payload, now)
            self.is_current = self.index.position + 1 >= page.next_offset
            self._reply_to_decided()

    async def _append_batches(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await anyio.sleep(_BATCH_DELAY_S)
            while self._queued or self._queued_releases:
                batch = self._queued[:_MAX_BATCH_CLAIMS]
                del self._queued[:_MAX_BATCH_CLAIMS]
                await self._append(batch)

    async def _append(self, batch: list[_PendingClaim]) -> None:
        """Appends a batch once; reading the stream shows if it took effect."""
        record = claim_index.ClaimBatch(
            time.time(),
            [pending.claim for pending in batch],
            self._queued_releases,
        )
        self._queued_releases = []
        self._undecided += batch
        self.appends += 1
        try:
            await self.client.append(STREAM, [claim_index.encode_batch(record)])
        except errors.HillthreadError:
            self.is_current = False

    def _find_holder(self, digest: str) -> str | None:
        """Returns the holder of a key; None if its release is not read yet."""
        holder = self.index.find_holder(digest)
        if holder is None:
            return None
        claim = claim_index.Claim(digest, holder)
        return None if claim in self._unread_releases else holder

    def _reply_to_decided(self) -> None:
        self._unread_releases = {
            claim
            for claim in self._unread_releases
            if self.index.find_holder(claim.digest) == claim.holder
        }
        undecided = []
        for pending in self._undecided:
            holder = self._find_holder(pending.claim.digest)
            if holder is None:
                undecided.append(pending)
            else:
                is_own = holder == pending.claim.holder
                pending.reply("granted" if is_own else "taken")
        self._undecided = undecided

    async def _run_expiry(self) -> None:
        """Answers claims not read back in time, and drops old claims."""
        while True:
            await anyio.sleep(_RETRY_INTERVAL_S)
            now = clock.now()
            self.index.expire(now)
            due = now - _DECISION_TIMEOUT_S
            expired = [
                each for each in self._undecided if each.requested_at < due
            ]
            self._undecided = [
                each for each in self._undecided if each.requested_at >= due
            ]
            for pending in expired:
                pending.reply("unavailable")
