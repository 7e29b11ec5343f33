"""Makes changes of configuration: checked, appended, read back."""

from __future__ import annotations

from collections.abc import Mapping
import secrets
import time
from typing import Any
from typing import NamedTuple

import anyio

from hillthread import errors
from hillthread.coordination import configuration_keeper
from hillthread.state.config import configuration
from hillthread.state.config import labels
from hillthread.state.config import objects
from hillthread.transport import log_client

__all__ = ["ChangeAuthor", "ChangeResult"]

# How long an operator waits for an accepted change to be read back.
_READ_BACK_S = 10.0
# The same when the answer to the append was lost: it may not be there.
_READ_BACK_LOST_S = 3.0
_SELECTED_KINDS = {
    "target_selector": "target",
    "pool_selector": "pool",
    "tenant_selector": "tenant",
}


class ChangeResult(NamedTuple):
    """What became of a change.

    Attributes:
        record_id: By which it can be asked for again.
        version: The object's version now, or 0 after a delete.
        offset: Position in the log, or -1 for a dry run.
        warnings: What is allowed but looks wrong.
        before: The object before, as JSON, or None.
        after: The object after, as JSON, or None.
    """

    record_id: str
    version: int
    offset: int
    warnings: list[str]
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class ChangeAuthor:
    """Appends changes and says "accepted" only once they are read back."""

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        keeper: configuration_keeper.ConfigurationKeeper,
    ):
        self.client = client
        self.stream = stream
        self.keeper = keeper
        self._advanced = anyio.Event()
        keeper.listeners.append(self._note_advance)

    async def put(
        self,
        value: dict[str, Any],
        actor: str,
        expected_version: int | None = None,
        dry_run: bool = False,
    ) -> ChangeResult:
        """Creates or replaces an object.

        Args:
            value: The object as JSON.
            actor: The operator who asks.
            expected_version: The version it replaces; None for the one in
                force here, 0 when it must not exist.
            dry_run: Only check and show.

        Raises:
            ConfigurationError: The object is invalid.
            ConflictError: Another version is in force.
            UnknownOutcomeError: It may or may not be accepted.
            LogError: The log is down; it was not accepted.
        """
        decoded = objects.decode_object(value)
        key = objects.object_key(decoded)
        state = self.keeper.configuration
        expected = self._expected(key, expected_version)
        warnings = find_warnings(decoded, state.decoded)
        before = state.stored.get(key)
        change = configuration.Put(
            record_id=secrets.token_hex(12),
            actor=actor,
            made_at=time.time(),
            object=value,
            expected_version=expected,
        )
        offset = -1 if dry_run else await self._commit(change)
        return ChangeResult(
            change.record_id,
            expected if dry_run else offset + 1,
            offset,
            warnings,
            before.object if before else None,
            value,
        )

    async def delete(
        self,
        key: objects.ObjectKey,
        actor: str,
        expected_version: int | None = None,
        dry_run: bool = False,
    ) -> ChangeResult:
        """Removes an object; arguments and errors as in `put`."""
        before = self.keeper.configuration.stored.get(key)
        if before is None:
            raise errors.ConflictError(
                f"There is no {key.kind} named {key.name}.",
                "List the objects with `hillthread-ctl get`.",
            )
        change = configuration.Delete(
            record_id=secrets.token_hex(12),
            actor=actor,
            made_at=time.time(),
            key=key,
            expected_version=self._expected(key, expected_version),
        )
        offset = -1 if dry_run else await self._commit(change)
        return ChangeResult(
            change.record_id, 0, offset, [], before.object, None
        )

    def _expected(self, key: objects.ObjectKey, wanted: int | None) -> int:
        current = self.keeper.configuration.version(key)
        if wanted is not None and wanted != current:
            raise errors.ConflictError(
                f"{key.kind}/{key.name} has version {current}, not {wanted}.",
                "Read it again, make the change again, then apply.",
            )
        return current

    async def _commit(
        self, change: configuration.Put | configuration.Delete
    ) -> int:
        """Appends a change and returns its offset once it is in force."""
        payload = configuration.encode_change(change)
        lost: errors.UnknownOutcomeError | None = None
        try:
            await self.client.append(self.stream, [payload])
        except errors.UnknownOutcomeError as error:
            lost = error
        wait_s = _READ_BACK_LOST_S if lost else _READ_BACK_S
        with anyio.move_on_after(wait_s):
            return await self._read_back(change.record_id)
        raise errors.UnknownOutcomeError(
            f"Record {change.record_id} was not read back in "
            f"{wait_s} s{': ' + lost.message if lost else '.'}",
            f"Ask `hillthread-ctl outcome {change.record_id}` later.",
        )

    async def _read_back(self, record_id: str) -> int:
        while True:
            outcome = self.keeper.configuration.outcomes.get(record_id)
            if outcome is None:
                await self._advanced.wait()
                continue
            if outcome.rejection is None:
                return outcome.offset
            raise errors.ConflictError(
                f"Refused by log order: {outcome.rejection.message}",
                "Read the object again, then apply.",
            )

    def _note_advance(self, first_offset: int, payloads: list[bytes]) -> None:
        del first_offset, payloads
        self._advanced.set()
        self._advanced = anyio.Event()


def find_warnings(
    value: objects.ConfigurationObject,
    others: Mapping[objects.ObjectKey, objects.ConfigurationObject],
) -> list[str]:
    """Returns what is allowed but looks wrong in an object."""
    warnings = []
    for field, kind in _SELECTED_KINDS.items():
        text = getattr(value, field, None)
        if text is None:
            continue
        selector = labels.parse_selector(text)
        selected = [
            each
            for key, each in others.items()
            if key.kind == kind and selector.matches(each.labels)
        ]
        if not selected:
            warnings.append(f"{field} {text!r} selects no {kind}.")
    return warnings
