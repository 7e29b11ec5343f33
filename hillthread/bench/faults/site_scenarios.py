"""The scenarios on a whole site: one fault each, at one step.

Each brings its fault about, heals it, and returns what was violated.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from hillthread.bench.faults import engine_faults
from hillthread.bench.faults import host_faults
from hillthread.bench.faults import log_faults
from hillthread.bench.faults import site_path

__all__ = ["SCENARIOS", "Scenario"]


class Scenario(NamedTuple):
    """One cell of the site's matrix.

    Attributes:
        fault: What is brought about.
        step: In the middle of what.
        run: Returns the violations.
    """

    fault: str
    step: str
    run: Callable[[site_path.SitePath], Awaitable[list[str]]]

    @property
    def name(self) -> str:
        """As reports name it."""
        return f"{self.fault}/{self.step}"


SCENARIOS = (
    Scenario("engine_killed", "stream", engine_faults.kill_in_stream),
    Scenario("engine_killed", "stream_once", engine_faults.kill_in_single_run),
    Scenario("engine_returns_empty", "stream", engine_faults.return_empty),
    Scenario("engine_paused", "stream", engine_faults.pause_in_stream),
    Scenario(
        "new_weights", "request", engine_faults.new_weights_between_requests
    ),
    Scenario("new_weights", "stream", engine_faults.new_weights_in_stream),
    Scenario(
        "control_killed",
        "stream_and_change",
        host_faults.kill_control_in_stream,
    ),
    Scenario("control_paused", "change", host_faults.pause_control_in_change),
    Scenario("router_paused", "stream", host_faults.pause_router_in_stream),
    Scenario("platform_down", "request", log_faults.down_at_request),
    Scenario("platform_down", "change", log_faults.down_at_change),
    Scenario("platform_down", "claim", log_faults.down_at_claim),
    Scenario("platform_down", "restart", log_faults.down_at_restart),
    Scenario(
        "platform_down",
        "data_centre_restart",
        log_faults.down_at_restart_of_data_centre,
    ),
    Scenario("herd_restart", "restart", host_faults.restart_all_hosts),
    Scenario("answer_lost", "change", log_faults.lose_answer_of_append),
    Scenario("slow_log", "change", log_faults.slow_at_change),
    Scenario("racing_operators", "change", log_faults.race_operators),
    Scenario("sent_to_all_hosts", "claim", host_faults.claim_everywhere),
    Scenario("host_dies", "claim", host_faults.kill_holder_of_claim),
    Scenario("answer_lost", "order", engine_faults.lose_answer_of_order),
    Scenario(
        "list_goes_backwards", "leaving_target", engine_faults.listed_as_leaving
    ),
    Scenario("target_refuses", "leaving_target", engine_faults.says_leaving),
    Scenario("planned_stop", "stream", host_faults.stop_router_in_stream),
)
