"""Whether a prompt is sent though its answer is expected to begin late.

Pattern: engines are lost, or load new weights, while as many prompts come as
before. Queues grow beyond the aim, and from then on nearly every answer is
late: each prompt that is sent delays all behind it, the ones that could still
be in time included. Who returns when the queue is over costs nobody anything.

A prompt that is late for its own length alone is sent: it waits for nobody.

What it buys is hardly beyond chance: 0.01 of the worth of all requests on days
with lost engines and new weights (means of eight plays, refusals off and on),
where two such means of one policy differ by 0.006.
"""

from __future__ import annotations

from hillthread.state.routing import first_byte

__all__ = ["is_queue_too_long", "queue_drain_s"]

# Of the aim: a queue as long as the aim leaves no time to read the prompt.
_LONGEST_QUEUE_SHARE = 1.0


def is_queue_too_long(expected: first_byte.Estimate, aim_s: float) -> bool:
    """Returns whether a prompt would be late, and delay others.

    Args:
        expected: Of the engine that costs least.
        aim_s: To the first byte; 0 when there is none.
    """
    return aim_s > 0.0 and expected.queue_s >= aim_s * _LONGEST_QUEUE_SHARE


def queue_drain_s(expected: first_byte.Estimate) -> float:
    """Returns after how long the queue is over if nothing else comes."""
    return expected.queue_s
