"""Polls the data centre's targets for their loads and for departures.

The loads of one round are sent in one message, as that costs least. A slow or
silent target does not delay the others: its load is sent when it arrives.
"""

from __future__ import annotations

import logging

import anyio
import anyio.abc
import httpx
import msgspec

from hillthread import clock
from hillthread import settings as settings_lib
from hillthread.coordination import control_node
from hillthread.protocol import engine
from hillthread.protocol import messages
from hillthread.state.config import objects

__all__ = ["TargetWatch"]

# Bound on a whole answer, however its parts arrive.
_READ_TIMEOUT_S = 1.0
# Wait for the loads sent in one message; a target answers within milliseconds.
_ROUND_WAIT_S = 0.1
_LIST_POLL_INTERVAL_S = 1.0

_logger = logging.getLogger(__name__)


class _ListedTarget(msgspec.Struct):
    """One entry of the platform's host list."""

    name: str
    state: str
    incarnation: str = ""


class _HostList(msgspec.Struct):
    targets: list[_ListedTarget]


class _Round:
    """Reads that started at the same time.

    Attributes:
        loads: Loads received so far.
        reading: Targets whose read has not ended.
        is_sent: Whether `loads` were sent.
        complete: Set when all reads have ended.
    """

    def __init__(self, targets: list[objects.Target]):
        self.loads: list[messages.TargetLoad] = []
        self.reading = {target.name for target in targets}
        self.is_sent = False
        self.complete = anyio.Event()
        if not targets:
            self.complete.set()

    def finish(self, target: objects.Target) -> None:
        """Records that a target's read has ended in any way."""
        self.reading.discard(target.name)
        if not self.reading:
            self.complete.set()


class TargetWatch:
    """Polls the targets assigned to this host, and the platform's host list.

    Attributes:
        failures: Failed reads.
        reading: Targets whose load is being read.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        node: control_node.ControlNode,
    ):
        self.settings = settings
        self.node = node
        self.failures = 0
        self.reading: set[str] = set()
        self.client = httpx.AsyncClient(
            trust_env=False, timeout=_READ_TIMEOUT_S
        )

    async def run_loads(self) -> None:
        """Polls the loads of the assigned targets until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                started = clock.now()
                await self._run_round(group)
                elapsed_s = clock.now() - started
                await anyio.sleep(
                    max(0.0, self.settings.load_poll_s - elapsed_s)
                )

    async def _run_round(self, group: anyio.abc.TaskGroup) -> None:
        """Reads all targets that are not being read, and sends their loads.

        Loads that arrive after `_ROUND_WAIT_S` are sent one by one.
        """
        targets = [
            target
            for target in self.node.engines.list_watched()
            if target.name not in self.reading
        ]
        poll_round = _Round(targets)
        for target in targets:
            self.reading.add(target.name)
            group.start_soon(self._read, target, poll_round)
        with anyio.move_on_after(_ROUND_WAIT_S):
            await poll_round.complete.wait()
        poll_round.is_sent = True
        if poll_round.loads:
            self.node.publish_loads(messages.Loads(poll_round.loads))

    async def run_host_list(self) -> None:
        """Polls the platform's host list until cancelled."""
        if self.settings.host_list is None:
            return
        url = f"http://{self.settings.host_list}/targets"
        while True:
            try:
                response = await self._get(url)
                listed = msgspec.json.decode(response.content, type=_HostList)
                self._apply_host_list(listed)
            except (httpx.HTTPError, TimeoutError, msgspec.DecodeError):
                self.failures += 1
            await anyio.sleep(_LIST_POLL_INTERVAL_S)

    async def _get(self, url: str) -> httpx.Response:
        """Returns an answer that was completely received in time.

        Raises:
            httpx.HTTPError: The request failed.
            TimeoutError: The whole answer took too long; the timeout of the
                client itself applies to each read only.
        """
        with anyio.fail_after(_READ_TIMEOUT_S):
            return await self.client.get(url)

    async def _read(self, target: objects.Target, poll_round: _Round) -> None:
        """Reads one target; sends its load if the round was already sent."""
        try:
            load = await self._read_load(target)
            if load is None:
                return
            if poll_round.is_sent:
                self.node.publish_loads(messages.Loads([load]))
            else:
                poll_round.loads.append(load)
        finally:
            self.reading.discard(target.name)
            poll_round.finish(target)

    async def _read_load(
        self, target: objects.Target
    ) -> messages.TargetLoad | None:
        """Returns a target's load, or None if it cannot be read."""
        try:
            response = await self._get(f"http://{target.address}/metrics")
            report = engine.parse_metrics(response.text, 0.0)
        except (httpx.HTTPError, TimeoutError, ValueError):
            self.failures += 1
            return None
        epoch = engine.parse_epoch(response.headers)
        if engine.LEAVING in response.headers:
            self.node.publish_target_state(
                messages.TargetState(target.name, epoch.incarnation, True)
            )
        return messages.TargetLoad(
            target.name,
            report.running,
            report.waiting,
            int(report.inserted_tokens),
            report.cache_tokens,
            epoch.incarnation,
            epoch.weights_version,
        )

    def _apply_host_list(self, listed: _HostList) -> None:
        for entry in listed.targets:
            state = messages.TargetState(
                entry.name, entry.incarnation, entry.state == "leaving"
            )
            self.node.publish_target_state(state)
