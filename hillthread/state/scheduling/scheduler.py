"""Decides whether a prompt is sent, deferred or refused.

When engines are short, a prompt that would miss its aim in a queue is sent
with the least urgent class. It then delays no prompt that can still be in time,
and is answered late once capacity is free: a late answer is worth more to its
caller than none, and a refused caller comes back once and is late as well.

A deferred prompt that its caller abandons is wasted work. One that would not
begin before that is refused at once.
"""

from __future__ import annotations

from typing import NamedTuple

from hillthread.state.scheduling import urgency as urgency_lib

__all__ = [
    "Decision",
    "Defer",
    "EngineOutlook",
    "PromptDemand",
    "Refuse",
    "Send",
    "compute_patience_s",
    "decide",
    "decide_deferral",
]

# Callers abandon a stream after the longest of these three: a time in seconds,
# and multiples of the aim for the first byte and of the allowed pause.
_MIN_PATIENCE_S = 2.0
_AIMS_OF_PATIENCE = 4.0
_PAUSES_OF_PATIENCE = 8.0
# A prompt is sent if it begins within this share of its aim; the rest is for
# its own prefill and for estimates that are too low. The share does not depend
# on the length of the prompt: if it did, shorter prompts would keep the queue
# too long for the longest tenth, which was served 0.2 to 0.6 times as often as
# the mean in simulation. At 1.5 times the load that engines can handle, 0.75
# served half of the long prompts in time, 1.0 a quarter.
_START_SHARE = 0.75
# The same share for organisations above their fair share: they may fill half of
# the queue that the others may.
_ABOVE_FAIR_START_SHARE = 0.375
# Maximum backlog behind which a prompt is deferred, as a share of its caller's
# patience. It leaves the other half for estimates that are too low: half of
# them are off by more than 50%.
_MAX_BACKLOG_SHARE = 0.5
# More urgent prompts that arrive later take at most this share of an engine in
# the estimate. One host sees few of all prompts, and a share near 1 would make
# every wait infinite.
_MAX_OVERTAKING_LOAD = 0.8
# Callers wait for at most this share of their remaining time before a retry.
_MAX_RETRY_SHARE = 1.0 / 3.0
# A retry in less time than hosts take to learn of each other's prompts would
# meet the same queue.
_MIN_RETRY_S = 0.1


class PromptDemand(NamedTuple):
    """What the caller of a prompt requires.

    Attributes:
        urgency: Order in which engines serve it, 0 first, before any deferral.
        aim_s: Objective for the first byte after arrival; 0 if there is none.
        patience_s: Time after arrival at which its caller abandons it.
        waited_s: Time since its arrival.
        seconds_left: Time until its deadline.
        is_above_fair_share: Whether its organisation uses more than its fair
            share.
    """

    urgency: int
    aim_s: float
    patience_s: float
    waited_s: float
    seconds_left: float
    is_above_fair_share: bool = False


class EngineOutlook(NamedTuple):
    """What a prompt may expect on an engine.

    Attributes:
        queue_s: Prefill of the queued prompts that are as urgent or more
            urgent, in seconds.
        backlog_s: Prefill of all queued prompts, in seconds.
        more_urgent_load: Share of the engine's time that more urgent prompts
            take; those that arrive later overtake it.
        sent_load: Share of the engine's time that all prompts take that are
            not deferred.
    """

    queue_s: float
    backlog_s: float
    more_urgent_load: float = 0.0
    sent_load: float = 0.0


class Send(NamedTuple):
    """The prompt is in time, or late only because of its own length.

    Attributes:
        urgency: Urgency with which it is sent.
    """

    urgency: int


class Defer(NamedTuple):
    """The prompt would miss its aim in the queue and may be served late.

    Attributes:
        urgency: Urgency with which it is sent.
    """

    urgency: int


class Refuse(NamedTuple):
    """The prompt would not begin before its caller abandons it.

    Attributes:
        servable_in_s: Time after which it could be served, in seconds.
        retry_after_s: When a retry helps; None if that is too late.
    """

    servable_in_s: float
    retry_after_s: float | None


Decision = Send | Defer | Refuse


def compute_patience_s(
    aim_s: float, gap_aim_s: float, waited_s: float, seconds_left: float
) -> float:
    """Returns the time after arrival at which a caller abandons its stream.

    Args:
        aim_s: Objective for the first byte; 0 if there is none.
        gap_aim_s: Objective for the time between events; 0 if there is none.
        waited_s: Time since the arrival.
        seconds_left: Time until the deadline.
    """
    patience_s = max(
        _MIN_PATIENCE_S,
        _AIMS_OF_PATIENCE * aim_s,
        _PAUSES_OF_PATIENCE * gap_aim_s,
    )
    return min(patience_s, waited_s + max(0.0, seconds_left))


def decide(demand: PromptDemand, outlook: EngineOutlook) -> Decision:
    """Decides on a prompt from its expected wait on the chosen engine."""
    queue_s = _drain_s(outlook.queue_s, outlook.more_urgent_load)
    if demand.aim_s <= 0.0 or queue_s <= _max_queue_s(demand):
        return Send(demand.urgency)
    return decide_deferral(demand, outlook)


def decide_deferral(
    demand: PromptDemand, outlook: EngineOutlook
) -> Defer | Refuse:
    """Decides on a prompt that would miss its aim.

    Args:
        demand: The requirements of the caller.
        outlook: The outlook on the engine to which it would be deferred. The
            queue of its class may be that of another engine.
    """
    backlog_s = max(outlook.backlog_s, outlook.queue_s)
    begins_in_s = _drain_s(backlog_s, outlook.sent_load)
    max_backlog_s = _MAX_BACKLOG_SHARE * demand.patience_s
    late_s = demand.waited_s + begins_in_s - demand.patience_s
    if late_s <= 0.0 and backlog_s <= max_backlog_s:
        return Defer(urgency_lib.LEAST_URGENT)
    queue_s = _drain_s(outlook.queue_s, outlook.more_urgent_load)
    in_class_s = queue_s - _max_queue_s(demand)
    servable_in_s = max(_MIN_RETRY_S, in_class_s)
    is_too_late = servable_in_s > _MAX_RETRY_SHARE * demand.seconds_left
    return Refuse(servable_in_s, None if is_too_late else servable_in_s)


def _max_queue_s(demand: PromptDemand) -> float:
    """Returns the longest wait in a queue with which a prompt is sent."""
    share = _START_SHARE
    if demand.is_above_fair_share:
        share = _ABOVE_FAIR_START_SHARE
    return max(0.0, share * demand.aim_s - demand.waited_s)


def _drain_s(queue_s: float, load: float) -> float:
    """Returns when a queue is served, beside later and more urgent prompts."""
    return queue_s / (1.0 - min(max(0.0, load), _MAX_OVERTAKING_LOAD))
