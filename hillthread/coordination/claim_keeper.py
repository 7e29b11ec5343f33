"""Claims on the platform's log: batched appends, decided by log order.

A claim is granted when the log's first record of its key names the asking
request. Claims asked within a short time share one append. A host grants
nothing before it has read the whole window of the stream, and nothing while
the log cannot be read: the request is then refused, truthfully not run.
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
# Claims of this time share an append; it is the delay they add.
_BATCH_S = 0.01
# Claims in one append at most.
_MAX_BATCH = 500
# A key is remembered for so long; docs/DESIGN.md, "Claims".
_WINDOW_S = 3600.0
# A claim whose record is not read back by then is answered as not known.
_DECIDE_S = 2.0
# Pause after a read that failed, and between looks for claims not decided.
_RETRY_S = 0.5
# The log holds a read for so long when there is nothing new.
_LONG_POLL_S = 10.0

Reply = Callable[[str], None]


class _Pending(NamedTuple):
    """A claim that waits for its verdict."""

    claim: claim_index.Claim
    reply: Reply
    asked_at: float


class ClaimKeeper:
    """Asks the log for claims on behalf of this host's router.

    Attributes:
        index: All claims of the window.
        current: Whether the index is read up to the log's end.
        appends: Batches appended.
    """

    def __init__(self, client: log_client.LogClient):
        self.client = client
        self.index = claim_index.ClaimIndex(_WINDOW_S)
        self.is_current = False
        self.appends = 0
        self._new: list[_Pending] = []
        self._released: list[claim_index.Claim] = []
        self._releasing: set[claim_index.Claim] = set()
        self._appended: list[_Pending] = []
        self._wake = anyio.Event()

    def request_claim(self, digest: str, holder: str, reply: Reply) -> None:
        """Asks for a key; `reply` gets the verdict, exactly once."""
        if not self.is_current:
            reply("unavailable")
            return
        known = self._holder(digest)
        if known is not None:
            reply("granted" if known == holder else "taken")
            return
        claim = claim_index.Claim(digest, holder)
        self._new.append(_Pending(claim, reply, clock.now()))
        self._wake.set()

    def release(self, digest: str, holder: str) -> None:
        """Gives a claim back with the next batch.

        Should that be lost, the key stays taken, which is safe.
        """
        claim = claim_index.Claim(digest, holder)
        self._released.append(claim)
        self._releasing.add(claim)
        self._wake.set()

    async def run(self) -> None:
        """Reads and appends until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._append_batches)
            group.start_soon(self._expire)

    async def _follow(self) -> None:
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
                await anyio.sleep(_RETRY_S)
                continue
            if page.next_offset <= self.index.position:
                self.is_current = False
                await anyio.sleep(_RETRY_S)
                continue
            now = clock.now()
            for record in page.records:
                self.index.apply(record.offset, record.payload, now)
            self.is_current = self.index.position + 1 >= page.next_offset
            self._decide()

    async def _append_batches(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await anyio.sleep(_BATCH_S)
            while self._new or self._released:
                batch = self._new[:_MAX_BATCH]
                del self._new[:_MAX_BATCH]
                await self._append(batch)

    async def _append(self, batch: list[_Pending]) -> None:
        """Appends once; whether it took effect, reading will tell."""
        record = claim_index.ClaimBatch(
            time.time(),
            [pending.claim for pending in batch],
            self._released,
        )
        self._released = []
        self._appended += batch
        self.appends += 1
        try:
            await self.client.append(STREAM, [claim_index.encode_batch(record)])
        except errors.HillthreadError:
            self.is_current = False

    def _holder(self, digest: str) -> str | None:
        """Returns who has a key, releases under way left out."""
        holder = self.index.find_holder(digest)
        if holder is None:
            return None
        claim = claim_index.Claim(digest, holder)
        return None if claim in self._releasing else holder

    def _decide(self) -> None:
        self._releasing = {
            claim
            for claim in self._releasing
            if self.index.find_holder(claim.digest) == claim.holder
        }
        waiting = []
        for pending in self._appended:
            holder = self._holder(pending.claim.digest)
            if holder is None:
                waiting.append(pending)
            else:
                own = holder == pending.claim.holder
                pending.reply("granted" if own else "taken")
        self._appended = waiting

    async def _expire(self) -> None:
        """Gives up on claims whose record does not come back; forgets old."""
        while True:
            await anyio.sleep(_RETRY_S)
            now = clock.now()
            self.index.expire(now)
            due = now - _DECIDE_S
            expired = [p for p in self._appended if p.asked_at < due]
            self._appended = [p for p in self._appended if p.asked_at >= due]
            for pending in expired:
                pending.reply("unavailable")
