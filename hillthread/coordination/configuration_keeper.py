"""One host's configuration, and recent records to forward to peers."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence

from hillthread import errors
from hillthread.state.config import configuration

__all__ = ["ConfigurationKeeper"]

_MAX_RECENT_RECORDS = 4096

AdvanceListener = Callable[[int, list[bytes]], None]


class ConfigurationKeeper:
    """Applies records from the log and from peers, in log order, once each.

    Attributes:
        configuration: As replayed so far.
        listeners: Called with the offset of the first record newly applied and
            with the payloads; with no payloads after a snapshot.
        refused_batches: Batches refused because they follow from a different
            history, and snapshots refused as invalid.
        highest_peer_position: The highest position reported by any peer.
        has_read_log: Whether the log was read to its end at least once.
        is_awaiting_peers: Whether peers may still report a higher position; set
            for a short time after the start.
    """

    def __init__(self):
        self.configuration = configuration.Configuration()
        self.listeners: list[AdvanceListener] = []
        self.refused_batches = 0
        self.highest_peer_position = configuration.START_POSITION
        self.has_read_log = False
        self.is_awaiting_peers = False
        self._has_caught_up = False
        self._recent: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_RECENT_RECORDS
        )

    @property
    def position(self) -> int:
        """Offset of the last record applied; -1 before the first."""
        return self.configuration.position

    def is_in_force(self) -> bool:
        """Returns whether the configuration may be used.

        A starting host uses none until it has read the log to its end or caught
        up with a peer, and none below the highest position reported by a peer:
        an older configuration must not come into force again.
        """
        if self.is_awaiting_peers or self.position < self.highest_peer_position:
            return False
        return self.has_read_log or self._has_caught_up

    def record_peer_position(self, position: int) -> None:
        """Records the configuration position that a peer reported."""
        self.highest_peer_position = max(self.highest_peer_position, position)
        self.is_awaiting_peers = False
        if self.position >= position > configuration.START_POSITION:
            self._has_caught_up = True

    def apply_records(
        self, first_offset: int, payloads: Sequence[bytes], chain: str = ""
    ) -> bool:
        """Applies the records that follow the current position.

        Args:
            first_offset: Offset of the first payload. Records that were already
                applied are skipped.
            payloads: Consecutive records.
            chain: Digest that must result, if they come from a peer; empty if
                they come from the log.

        Returns:
            Whether any record was applied. None is if there is a gap before the
            first one, or if `chain` does not match.
        """
        known_count = self.position + 1 - first_offset
        if known_count < 0 or known_count >= len(payloads):
            return False
        new_payloads = list(payloads[known_count:])
        if chain and chain != configuration.extend_chain(
            self.configuration.chain, new_payloads
        ):
            self.refused_batches += 1
            return False
        start = self.position + 1
        for payload in new_payloads:
            self.configuration.apply(self.position + 1, payload)
            self._recent.append(payload)
        self._notify_listeners(start, new_payloads)
        return True

    def apply_snapshot(self, payload: bytes) -> bool:
        """Applies a snapshot if its position is newer.

        Returns:
            Whether it was applied.

        Raises:
            ConfigurationError: The payload is not a readable snapshot.
        """
        change = configuration.decode_change(payload)
        if not isinstance(change, configuration.Snapshot):
            raise errors.ConfigurationError(
                "A record is not a snapshot.",
                "Run the same release on all hosts.",
            )
        if change.position <= self.position:
            return False
        self.configuration.restore(change)
        self._recent.clear()
        self._notify_listeners(self.position, [])
        return True

    def records_after(self, position: int) -> list[bytes] | None:
        """Returns the records after a position; None if not all are kept."""
        count = self.position - position
        if count < 0 or count > len(self._recent):
            return None
        return list(self._recent)[len(self._recent) - count :]

    def last_payload(self) -> bytes | None:
        """Returns the record applied last; None if it is not kept."""
        return self._recent[-1] if self._recent else None

    def snapshot_payload(self) -> bytes:
        """Returns the whole configuration as a snapshot record."""
        return configuration.encode_change(self.configuration.snapshot())

    def _notify_listeners(
        self, first_offset: int, payloads: list[bytes]
    ) -> None:
        if (
            self.position
            >= self.highest_peer_position
            > configuration.START_POSITION
        ):
            self._has_caught_up = True
        for listener in self.listeners:
            listener(first_offset, payloads)
