"""Tests streams over random series of runs and of their callers' attempts."""

import re
from typing import NamedTuple
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from hillthread.coordination.gateway.serving import event_relay
from hillthread.transport import http1_client
from tests.coordination.gateway.serving import test_event_relay as fakes

EVENTS = 6


class Run(NamedTuple):
    """How an engine serves one run.

    Attributes:
        part_sizes: Numbers of events that arrive together.
        repeated: Events before the requested one that it sends again.
        is_cut_inside: Whether it stops inside the next event.
        is_rejected: Whether its first event does not confirm the run.
        ends_early: Whether it breaks off after its last event.
    """

    part_sizes: list[int]
    repeated: int
    is_cut_inside: bool
    is_rejected: bool
    ends_early: bool


RUNS = strategies.builds(
    Run,
    strategies.lists(strategies.integers(1, 3), max_size=4),
    strategies.integers(0, 2),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
)
# The runs of each attempt of the caller.
SERIES = strategies.lists(
    strategies.lists(RUNS, min_size=1, max_size=3), min_size=1, max_size=5
)


def make_connection(run, last_id):
    """Returns what an engine sends that was asked to go on after an event."""
    number = 0 if last_id is None else max(0, last_id + 1 - run.repeated)
    parts = []
    for size in run.part_sizes:
        end = min(number + size, EVENTS)
        parts.append(b"".join(fakes._event(n) for n in range(number, end)))
        number = end
    parts = [part for part in parts if part]
    is_whole = number == EVENTS and not run.ends_early
    if not is_whole and run.is_cut_inside and number < EVENTS:
        parts.append(fakes._event(number)[:-3])
    return fakes._Connection(*parts, is_whole=is_whole)


def play_attempt(runs, last_id):
    """Plays one attempt of the caller; returns its answer."""
    answer = fakes._Answer()
    relay = event_relay.EventRelay(answer, last_id)
    for run in runs:
        relay.on_first_event = fakes._reject if run.is_rejected else _confirm
        connection = make_connection(run, relay.last_event_id)
        try:
            anyio.run(relay.run, connection, fakes._HEAD)
        except http1_client.CallError:
            continue
        break
    return answer


def _confirm():
    pass


class StreamSeriesTest(unittest.TestCase):
    # Guards against complete streams that lack events or have them twice.
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(SERIES)
    def test_caller_gets_each_event_once(self, series):
        received = []
        for runs in series:
            answer = play_attempt(runs, received[-1] if received else None)
            found = re.findall(rb"id: (\d+)\n", answer.body)
            received += [int(number) for number in found]
            self.assertEqual(received, list(range(len(received))))
            if answer.ended:
                self.assertEqual(len(received), EVENTS)
                return


if __name__ == "__main__":
    unittest.main()
