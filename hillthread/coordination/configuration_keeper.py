"""One host's configuration: what is in force, and recent records to pass on."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence

from hillthread import errors
from hillthread.state.config import configuration

__all__ = ["ConfigurationKeeper"]

_MAX_RECENT = 4096

AdvanceListener = Callable[[int, list[bytes]], None]


class ConfigurationKeeper:
    """Takes records from the log and from peers, in log order, once each.

    Attributes:
        configuration: As replayed so far.
        listeners: Called with the first offset and the payloads of what is
            newly applied; with no payloads after a snapshot.
        refused: Batches refused because their history is another.
        highest_told: The highest position any peer has told.
        log_read: Whether the log was once read to its end.
        awaits_peers: Whether peers may still tell a higher position; set at
            the start, for a short time.
    """

    def __init__(self):
        self.configuration = configuration.Configuration()
        self.listeners: list[AdvanceListener] = []
        self.refused_batches = 0
        self.highest_peer_position = configuration.START_POSITION
        self.has_read_log = False
        self.is_awaiting_peers = False
        self._peer_complete = False
        self._recent: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_RECENT
        )

    @property
    def position(self) -> int:
        """Offset of the last record applied; -1 before the first."""
        return self.configuration.position

    def is_in_force(self) -> bool:
        """Returns whether the configuration may be acted on.

        A host that starts acts on none until it has read the log to its end
        or taken over a peer's, and not below the highest position told: an
        older one must not come back in force.
        """
        if self.is_awaiting_peers or self.position < self.highest_peer_position:
            return False
        return self.has_read_log or self._peer_complete

    def record_peer_position(self, position: int) -> None:
        """Notes the position a peer has in force."""
        self.highest_peer_position = max(self.highest_peer_position, position)
        self.is_awaiting_peers = False
        if self.position >= position > configuration.START_POSITION:
            self._peer_complete = True

    def apply_records(
        self, first_offset: int, payloads: Sequence[bytes], chain: str = ""
    ) -> bool:
        """Applies records that follow the position; returns whether any did.

        Args:
            first_offset: Of the first payload; those known are passed over.
            payloads: Without a gap.
            chain: Digest that must result, from a peer; empty from the log.

        Returns:
            False also when there is a gap before the first one.
        """
        skip = self.position + 1 - first_offset
        if skip < 0 or skip >= len(payloads):
            return False
        fresh = list(payloads[skip:])
        if chain and chain != configuration.extend_chain(
            self.configuration.chain, fresh
        ):
            self.refused_batches += 1
            return False
        start = self.position + 1
        for payload in fresh:
            self.configuration.apply(self.position + 1, payload)
            self._recent.append(payload)
        self._advanced(start, fresh)
        return True

    def apply_snapshot(self, payload: bytes) -> bool:
        """Takes over a snapshot that is further on; returns whether it was."""
        change = configuration.decode_change(payload)
        if not isinstance(change, configuration.Snapshot):
            raise errors.ConfigurationError(
                "A snapshot was expected.", "Run the same release everywhere."
            )
        if change.position <= self.position:
            return False
        self.configuration.restore(change)
        self._recent.clear()
        self._advanced(self.position, [])
        return True

    def records_after(self, position: int) -> list[bytes] | None:
        """Returns the records after a position, or None if not kept."""
        count = self.position - position
        if count < 0 or count > len(self._recent):
            return None
        return list(self._recent)[len(self._recent) - count :]

    def last_payload(self) -> bytes | None:
        """Returns the record at the position, or None if not kept."""
        return self._recent[-1] if self._recent else None

    def snapshot_payload(self) -> bytes:
        """Returns the whole configuration as a record."""
        return configuration.encode_change(self.configuration.snapshot())

    def _advanced(self, first_offset: int, payloads: list[bytes]) -> None:
        if (
            self.position
            >= self.highest_peer_position
            > configuration.START_POSITION
        ):
            self._peer_complete = True
        for listener in self.listeners:
            listener(first_offset, payloads)
