"""Engines, hosts and callers in virtual time, for tests of scheduling.

Engines serve the most urgent prompt first and do not interrupt the one that is
being computed. Hosts learn of each other's prompts late, and of some never.
"""

import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

from hillthread.state.scheduling import recent_use
from hillthread.state.scheduling import scheduler

ENGINE_COUNT = 4
HOST_COUNT = 8
ORGANISATION_COUNT = 16
PREFILL_TOKENS_PER_S = 49_600.0
DURATION_S = 10.0
NOTICE_DELAY_S = 0.05
LOST_NOTICES = 1.0 / 40.0


class Kind(NamedTuple):
    """Prompts of one route."""

    urgency: int
    weight: float
    aim_s: float
    deadline_s: float
    own_tokens: int
    shared_tokens: int
    cached_share: float
    share: float


SHORT = Kind(0, 3.7, 0.4, 15.6, 628, 198, 1.0, 0.58)
LONG = Kind(8, 0.8, 1.2, 5.1, 2_890, 6_300, 2.0 / 3.0, 0.42)
KINDS = (SHORT, LONG)


def capacity_per_s():
    """Returns the prompts per second that all engines can compute."""
    tokens = sum(
        kind.share
        * (kind.own_tokens + kind.shared_tokens * (1 - kind.cached_share))
        for kind in KINDS
    )
    return ENGINE_COUNT * PREFILL_TOKENS_PER_S / tokens


@dataclasses.dataclass(eq=False)
class Prompt:
    """A prompt of a caller, over all its attempts."""

    kind: Kind
    organisation: str
    seconds: float
    arrived: float
    attempt_at: float = 0.0
    host: int = 0
    urgency: int = 0
    sent_at: float = 0.0
    lost_at: frozenset = frozenset()
    done_at: float | None = None
    is_retry: bool = False
    patience_s: float = 0.0

    @property
    def is_in_aim(self):
        """Whether the answer began within the aim."""
        return self.is_served and (
            self.done_at - self.arrived <= self.kind.aim_s
        )

    @property
    def is_served(self):
        """Whether the answer began before the caller abandoned it."""
        return self.done_at is not None and (
            self.done_at - self.attempt_at <= self.patience_s
        )

    def seconds_left(self, now):
        """Returns the time until the deadline."""
        return self.arrived + self.kind.deadline_s - now


class Simulation:
    """One run with one rule.

    Attributes:
        by_urgency: Whether engines serve by urgency, not in order of arrival.
        is_deferring: Whether `scheduler` decides, not the length of the queue.
        is_fair: Whether the decision depends on the use of organisations.
    """

    def __init__(
        self, rule, load, seed, heavy_factor=1.0, counts_overtaking=True
    ):
        self.by_urgency = rule != "arrival"
        self.is_deferring = rule in ("defer", "fair")
        self.is_fair = rule == "fair"
        self.counts_overtaking = counts_overtaking
        self.rng = random.Random(seed)
        self.load = load
        self.weights = [heavy_factor] + [1.0] * (ORGANISATION_COUNT - 1)
        self.queues = [[] for _ in range(ENGINE_COUNT)]
        self.is_busy = [False] * ENGINE_COUNT
        self.known = [[] for _ in range(ENGINE_COUNT)]
        self.uses = [recent_use.RecentUse() for _ in range(HOST_COUNT)]
        self.events = []
        self.number = itertools.count()
        self.prompts = []

    def run(self):
        """Returns all prompts of the run."""
        rate = capacity_per_s() * self.load
        rate *= sum(self.weights) / ORGANISATION_COUNT
        now = 0.0
        while (now := now + self.rng.expovariate(rate)) < DURATION_S:
            self.push(now, self.arrive, self.make_prompt(now))
        while self.events:
            now, _, handle, argument = heapq.heappop(self.events)
            handle(now, argument)
        return self.prompts

    def push(self, at, handle, argument):
        """Adds an event."""
        heapq.heappush(self.events, (at, next(self.number), handle, argument))

    def make_prompt(self, now):
        """Returns a random prompt."""
        (kind,) = self.rng.choices(KINDS, [kind.share for kind in KINDS])
        (number,) = self.rng.choices(range(ORGANISATION_COUNT), self.weights)
        # A log-normal factor with mean 1.
        tokens = kind.own_tokens * self.rng.lognormvariate(-0.18, 0.6)
        if self.rng.random() >= kind.cached_share:
            tokens += kind.shared_tokens
        seconds = tokens / PREFILL_TOKENS_PER_S
        prompt = Prompt(kind, f"o{number}", seconds, now)
        self.prompts.append(prompt)
        return prompt

    def arrive(self, now, prompt):
        """Handles the arrival of an attempt at a random host."""
        prompt.host = self.rng.randrange(HOST_COUNT)
        prompt.attempt_at = now
        prompt.patience_s = scheduler.compute_patience_s(
            prompt.kind.aim_s, 0.0, 0.0, prompt.seconds_left(now)
        )
        engine = self.choose(prompt, prompt.kind.urgency, now)
        queue_s = self.queue_s(prompt, engine, prompt.kind.urgency, now)
        if not self.is_deferring:
            if queue_s < prompt.kind.aim_s:
                self.send(now, prompt, engine, prompt.kind.urgency)
            else:
                self.refuse(now, prompt, queue_s)
            return
        self.schedule(now, prompt, engine, queue_s)

    def schedule(self, now, prompt, engine, queue_s):
        """Lets the scheduler decide on an attempt."""
        kind = prompt.kind
        use = self.uses[prompt.host]
        use.note_prompt(kind.urgency, prompt.organisation, now)
        scale = HOST_COUNT / ENGINE_COUNT * self.counts_overtaking
        demand = scheduler.PromptDemand(
            kind.urgency,
            kind.aim_s,
            prompt.patience_s,
            0.0,
            prompt.seconds_left(now),
            self.is_fair
            and use.is_above_fair_share(kind.urgency, prompt.organisation, now),
        )
        outlook = scheduler.EngineOutlook(
            queue_s,
            self.queue_s(prompt, engine, 9, now),
            use.prefill_rate(kind.urgency, now) * scale,
            use.prefill_rate(10, now) * scale,
        )
        decision = scheduler.decide(demand, outlook)
        if not isinstance(decision, scheduler.Send):
            engine = self.choose(prompt, 9, now)
            backlog_s = self.queue_s(prompt, engine, 9, now)
            decision = scheduler.decide_deferral(
                demand, outlook._replace(backlog_s=backlog_s)
            )
        match decision:
            case scheduler.Send(urgency):
                use.add(urgency, prompt.organisation, prompt.seconds, now)
                self.send(now, prompt, engine, urgency)
            case scheduler.Defer(urgency):
                self.send(now, prompt, engine, urgency)
            case scheduler.Refuse(_, retry_after_s):
                self.refuse(now, prompt, retry_after_s)

    def choose(self, prompt, urgency, now):
        """Returns the engine with the shortest known queue."""
        return min(
            range(ENGINE_COUNT),
            key=lambda engine: self.queue_s(prompt, engine, urgency, now),
        )

    def queue_s(self, prompt, engine, urgency, now):
        """Returns the queue of an engine as the host of a prompt knows it."""
        return sum(
            each.seconds
            for each in self.known[engine]
            if (not self.by_urgency or each.urgency <= urgency)
            and self.is_queued(each, prompt.host, now)
        )

    def is_queued(self, each, host, now):
        """Returns whether a host takes a prompt to be queued."""
        delay_s = 0.0 if each.host == host else NOTICE_DELAY_S
        if now < each.sent_at + delay_s or host in each.lost_at:
            return False
        if now > each.attempt_at + each.patience_s + delay_s:
            return False
        return each.done_at is None or now < each.done_at + delay_s

    def send(self, now, prompt, engine, urgency):
        """Queues a prompt at an engine."""
        prompt.urgency = urgency if self.by_urgency else 0
        prompt.sent_at = now
        prompt.lost_at = frozenset(
            host
            for host in range(HOST_COUNT)
            if host != prompt.host and self.rng.random() < LOST_NOTICES
        )
        self.known[engine] = [
            each
            for each in self.known[engine]
            if now < each.attempt_at + each.patience_s + NOTICE_DELAY_S
            and (each.done_at is None or now < each.done_at + NOTICE_DELAY_S)
        ]
        self.known[engine].append(prompt)
        heapq.heappush(
            self.queues[engine], (prompt.urgency, next(self.number), prompt)
        )
        if not self.is_busy[engine]:
            self.start_next(now, engine)

    def start_next(self, now, engine):
        """Starts the next prompt whose caller still waits."""
        self.is_busy[engine] = False
        while self.queues[engine]:
            prompt = heapq.heappop(self.queues[engine])[2]
            if now > prompt.attempt_at + prompt.patience_s:
                continue
            self.is_busy[engine] = True
            prompt.done_at = now + prompt.seconds
            self.push(prompt.done_at, self.start_next, engine)
            return

    def refuse(self, now, prompt, retry_after_s):
        """Refuses an attempt; the caller comes back once."""
        if prompt.is_retry or retry_after_s is None:
            return
        prompt.is_retry = True
        after_s = min(retry_after_s, prompt.seconds_left(now) / 3.0)
        self.push(now + after_s, self.arrive, prompt)
