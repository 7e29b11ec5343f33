"""Decides whether prompts are sent, deferred or refused on this host."""

from __future__ import annotations

import collections

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.state.config import objects
from hillthread.state.routing import first_byte
from hillthread.state.scheduling import recent_use
from hillthread.state.scheduling import scheduler
from hillthread.state.scheduling import urgency as urgency_lib

__all__ = ["PromptScheduler", "make_refusal"]


class PromptScheduler:
    """Schedules the prompts of a host.

    Attributes:
        site: The host's view of the site.
        uses: Recent use by organisation, by pool.
    """

    def __init__(self, site: site_lib.Site):
        self.site = site
        self.uses: collections.defaultdict[str, recent_use.RecentUse] = (
            collections.defaultdict(recent_use.RecentUse)
        )

    def applies_to(self, request: intake.GatewayRequest) -> bool:
        """Returns whether a request is a prompt that is scheduled."""
        return bool(request.prompt.model) and self.site.has_urgency_classes

    def decide(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        estimate: first_byte.Estimate,
    ) -> scheduler.Decision:
        """Decides on a prompt by the engine that serves it first.

        Args:
            request: The request, which is not deferred.
            pool: The pool of the engine.
            estimate: Estimate for the engine.
        """
        now = clock.now()
        use = self.uses[pool.name]
        use.note_prompt(request.urgency, request.tenant_name, now)
        decision = scheduler.decide(
            self._demand(request, use, now),
            self._outlook(request, pool, estimate, now),
        )
        if isinstance(decision, scheduler.Send):
            use.add(
                request.urgency, request.tenant_name, estimate.prefill_s, now
            )
            self._count(decision, request)
        return decision

    def decide_deferral(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        estimate: first_byte.Estimate,
        deferred_estimate: first_byte.Estimate,
    ) -> scheduler.Defer | scheduler.Refuse:
        """Decides on a prompt that would be late, and logs the decision.

        Args:
            request: The request, which is not deferred.
            pool: The pool of both engines.
            estimate: Estimate for the engine that serves it first.
            deferred_estimate: Estimate for the engine to which it would be
                deferred.
        """
        now = clock.now()
        demand = self._demand(request, self.uses[pool.name], now)
        outlook = self._outlook(request, pool, estimate, now)._replace(
            backlog_s=deferred_estimate.backlog_s
        )
        decision = scheduler.decide_deferral(demand, outlook)
        self._count(decision, request)
        request.log.note(
            "scheduled",
            decision=_name(decision),
            urgency=request.urgency,
            queue_s=round(outlook.queue_s, 3),
            backlog_s=round(outlook.backlog_s, 3),
            aim_s=demand.aim_s,
            patience_s=round(demand.patience_s, 3),
            above_share=demand.is_above_fair_share,
        )
        return decision

    def _demand(
        self,
        request: intake.GatewayRequest,
        use: recent_use.RecentUse,
        now: float,
    ) -> scheduler.PromptDemand:
        aim_s = request.route.first_byte_aim_s
        waited_s = max(0.0, now - request.caller.arrived)
        seconds_left = request.seconds_left()
        return scheduler.PromptDemand(
            request.urgency,
            aim_s,
            scheduler.compute_patience_s(
                aim_s, request.route.gap_aim_s, waited_s, seconds_left
            ),
            waited_s,
            seconds_left,
            use.is_above_fair_share(request.urgency, request.tenant_name, now),
        )

    def _outlook(
        self,
        request: intake.GatewayRequest,
        pool: objects.Pool,
        estimate: first_byte.Estimate,
        now: float,
    ) -> scheduler.EngineOutlook:
        """Returns the outlook on an engine.

        The load by urgency is estimated from this host's own prompts, as if all
        hosts sent the same.
        """
        use = self.uses[pool.name]
        engine_count = max(1, len(self.site.targets.members(pool)))
        scale = self.site.cluster_size / engine_count
        return scheduler.EngineOutlook(
            estimate.queue_s,
            estimate.backlog_s,
            use.prefill_rate(request.urgency, now) * scale,
            use.prefill_rate(urgency_lib.LEAST_URGENT + 1, now) * scale,
        )

    def _count(
        self, decision: scheduler.Decision, request: intake.GatewayRequest
    ) -> None:
        self.site.metrics.scheduled.labels(
            _name(decision), str(request.urgency)
        ).inc()


def make_refusal(refuse: scheduler.Refuse, aim_s: float) -> errors.RefusalError:
    """Returns the refusal of a prompt that its caller would abandon."""
    message = (
        f"The prompts queued ahead make it later than its aim of {aim_s:.2f} s "
        f"and than its caller waits; it could be served in "
        f"{refuse.servable_in_s:.2f} s."
    )
    remedy = "Try again after the time in Retry-After."
    if refuse.retry_after_s is None:
        remedy = (
            "A retry within the time that is left cannot help; try again later."
        )
    return errors.RefusalError(
        "queue_too_long",
        503,
        message,
        remedy,
        retry_after_s=refuse.retry_after_s,
    )


def _name(decision: scheduler.Decision) -> str:
    return type(decision).__name__.lower()
