"""Changes the configuration: checks, appends and reads back each change."""

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

# Time limit for reading back a change whose append was acknowledged.
_READ_BACK_TIMEOUT_S = 10.0
# The same after the reply to the append was lost; the log may not hold it.
_LOST_REPLY_TIMEOUT_S = 3.0
_KIND_BY_SELECTOR = {
    "target_selector": "target",
    "pool_selector": "pool",
    "tenant_selector": "tenant",
}


class ChangeResult(NamedTuple):
    """The result of a change.

    Attributes:
        record_id: Identifies the change when its outcome is looked up later.
        version: The object's new version, or 0 after a delete.
        offset: Position in the log, or -1 for a dry run.
        warnings: What is valid but probably a mistake.
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
    """Appends changes; reports one as accepted only once it is read back."""

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
        keeper.listeners.append(self._wake_waiters)

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
            actor: The operator who makes the change.
            expected_version: The version it replaces; None for the one in
                force on this host, 0 if the object must not exist.
            dry_run: Whether only to check the change and return its effect.

        Raises:
            ConfigurationError: The object is invalid.
            ConflictError: Another version is in force.
            UnknownOutcomeError: The change may or may not take effect.
            LogError: The log is down; the change was not made.
        """
        decoded = objects.decode_object(value)
        key = objects.object_key(decoded)
        state = self.keeper.configuration
        expected = self._check_version(key, expected_version)
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
            expected_version=self._check_version(key, expected_version),
        )
        offset = -1 if dry_run else await self._commit(change)
        return ChangeResult(
            change.record_id, 0, offset, [], before.object, None
        )

    def _check_version(
        self, key: objects.ObjectKey, required: int | None
    ) -> int:
        current = self.keeper.configuration.version(key)
        if required is not None and required != current:
            raise errors.ConflictError(
                f"{key.kind}/{key.name} has version {current}, not {required}.",
                "Read the object again, redo the change and apply it.",
            )
        return current

    async def _commit(
        self, change: configuration.Put | configuration.Delete
    ) -> int:
        """Appends a change and returns its offset once it is in force."""
        payload = configuration.encode_change(change)
        lost_reply: errors.UnknownOutcomeError | None = None
        try:
            await self.client.append(self.stream, [payload])
        except errors.UnknownOutcomeError as error:
            lost_reply = error
        wait_s = _LOST_REPLY_TIMEOUT_S if lost_reply else _READ_BACK_TIMEOUT_S
        with anyio.move_on_after(wait_s):
            return await self._read_back(change.record_id)
        raise errors.UnknownOutcomeError(
            f"Record {change.record_id} was not read back in "
            f"{wait_s} s{': ' + lost_reply.message if lost_reply else '.'}",
            f"Run `hillthread-ctl outcome {change.record_id}` later.",
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
                f"The change was rejected: {outcome.rejection.message}",
                "Read the object again, redo the change and apply it.",
            )

    def _wake_waiters(self, first_offset: int, payloads: list[bytes]) -> None:
        del first_offset, payloads
        self._advanced.set()
        self._advanced = anyio.Event()


def find_warnings(
    value: objects.ConfigurationObject,
    others: Mapping[objects.ObjectKey, objects.ConfigurationObject],
) -> list[str]:
    """Returns warnings about selectors that select nothing."""
    warnings = []
    for field, kind in _KIND_BY_SELECTOR.items():
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
