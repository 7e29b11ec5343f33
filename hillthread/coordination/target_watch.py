"""Watches the data centre's targets: their load and who leaves."""

from __future__ import annotations

import logging
import time

import anyio
import httpx
import msgspec

from hillthread import settings as settings_lib
from hillthread.coordination import control_node
from hillthread.protocol import engine
from hillthread.protocol import messages
from hillthread.state import objects

__all__ = ["TargetWatch"]

_TIMEOUT_S = 1.0
_LIST_POLL_S = 1.0

_logger = logging.getLogger(__name__)


class _Listed(msgspec.Struct):
    """One line of the platform's host list."""

    name: str
    state: str
    incarnation: str = ""


class _HostList(msgspec.Struct):
    targets: list[_Listed]


class TargetWatch:
    """Reads loads of the targets assigned to this host, and the host list.

    Attributes:
        failures: Reads that failed.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        node: control_node.ControlNode,
    ):
        self.settings = settings
        self.node = node
        self.failures = 0
        self.client = httpx.AsyncClient(trust_env=False, timeout=_TIMEOUT_S)

    async def run_loads(self) -> None:
        """Reads the loads of assigned targets until cancelled."""
        while True:
            started = time.monotonic()
            loads: list[messages.TargetLoad] = []
            async with anyio.create_task_group() as group:
                for target in self.node.engines.watched():
                    group.start_soon(self._read_load, target, loads)
            if loads:
                self.node.tell_loads(messages.Loads(loads))
            passed = time.monotonic() - started
            await anyio.sleep(max(0.0, self.settings.load_poll_s - passed))

    async def run_host_list(self) -> None:
        """Reads the platform's host list until cancelled."""
        if self.settings.host_list is None:
            return
        url = f"http://{self.settings.host_list}/targets"
        while True:
            try:
                response = await self.client.get(url)
                listed = msgspec.json.decode(response.content, type=_HostList)
                self._take_list(listed)
            except (httpx.HTTPError, msgspec.DecodeError):
                self.failures += 1
            await anyio.sleep(_LIST_POLL_S)

    async def _read_load(
        self, target: objects.Target, loads: list[messages.TargetLoad]
    ) -> None:
        try:
            response = await self.client.get(f"http://{target.address}/metrics")
            report = engine.parse_metrics(response.text, 0.0)
        except (httpx.HTTPError, ValueError):
            self.failures += 1
            return
        epoch = engine.epoch_of(response.headers)
        if engine.LEAVING in response.headers:
            self.node.tell_target_state(
                messages.TargetState(target.name, epoch.incarnation, True)
            )
        loads.append(
            messages.TargetLoad(
                target.name,
                report.running,
                report.waiting,
                int(report.inserted_tokens),
                report.cache_tokens,
                epoch.incarnation,
                epoch.weights_version,
            )
        )

    def _take_list(self, listed: _HostList) -> None:
        for line in listed.targets:
            state = messages.TargetState(
                line.name, line.incarnation, line.state == "leaving"
            )
            self.node.tell_target_state(state)
