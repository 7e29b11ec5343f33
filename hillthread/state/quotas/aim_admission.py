"""Refuses prompts that would miss their first-byte objective in a queue.

When engines are lost or load new weights at unchanged demand, their queues grow
longer than the objective. From then on nearly every answer is late, because
each prompt that is sent delays all prompts behind it, also those that could
still be on time. A refused caller that retries once the queue has drained
delays nobody.

A prompt that is late only because of its own length is sent, as it does not
wait for others.

The benefit on days with lost engines and new weights is small, hardly above
random variation.
"""

from __future__ import annotations

from hillthread.state.routing import first_byte

__all__ = ["is_queue_too_long", "queue_drain_s"]

# As a share of the objective: a queue as long as the objective leaves no time
# for the prefill of the prompt itself.
_MAX_QUEUE_SHARE = 1.0


def is_queue_too_long(expected: first_byte.Estimate, aim_s: float) -> bool:
    """Returns whether queueing alone would miss the first-byte objective.

    Args:
        expected: Estimate for the engine with the lowest cost.
        aim_s: Objective for the first byte; 0 if there is none.
    """
    return aim_s > 0.0 and expected.queue_s >= aim_s * _MAX_QUEUE_SHARE


def queue_drain_s(expected: first_byte.Estimate) -> float:
    """Returns the time until the queue is empty if no prompt is added."""
    return expected.queue_s
