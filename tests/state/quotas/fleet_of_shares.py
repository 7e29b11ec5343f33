"""Simulates hosts that share a retry budget, in virtual time."""

from __future__ import annotations

import bisect
import random

from hillthread.state.quotas import retry_share

# Failed attempts of a target that crashes, each of which needs a retry.
_CRASH_BATCH = 20


class Fleet:
    """Hosts before one pool, and what their targets receive.

    Attributes:
        bounds: Bounds on the retries of all hosts together.
        hosts: The share of each host.
        view: Number of hosts that each host counts.
        now: Virtual time, seconds.
        requests: When callers sent requests.
        retries: When attempts beyond the first reached a target.
        needed: Retries that were needed.
    """

    def __init__(self, bounds, host_count, seed=0):
        self.bounds = bounds
        self.random = random.Random(seed)
        self.now = 0.0
        self.view = host_count
        self.requests = []
        self.retries = []
        self.needed = 0
        self.hosts = [self._start() for _ in range(host_count)]

    def _start(self):
        return retry_share.RetryShare(self.bounds, self.view, self.now)

    def _host(self, index):
        host = self.hosts[index % len(self.hosts)]
        host.update(self.bounds, self.view, self.now)
        return host

    def restart(self, index):
        """Kills a host; its successor knows nothing of it."""
        self.hosts[index % len(self.hosts)] = self._start()

    def add_host(self):
        """Starts a host that the others count already."""
        self.view = max(self.view, len(self.hosts) + 1)
        self.hosts.append(self._start())

    def send(self, index):
        """Sends the first attempt of a request."""
        self._host(index).deposit(self.now)
        self.requests.append(self.now)

    def retry(self, index, delay_s=0.0):
        """Makes a retry if there is one; it arrives after a delay."""
        self.needed += 1
        if self._host(index).withdraw():
            self.retries.append(self.now + delay_s)
            return True
        return False

    def crash_target(self):
        """Retries what all hosts had open on one target."""
        for _ in range(_CRASH_BATCH):
            self.retry(self.random.randrange(len(self.hosts)))

    def run(self, rate_per_s, seconds, failing=(0.0, 0.0), share=0.5):
        """Sends requests at random hosts.

        Args:
            rate_per_s: Requests a second of all hosts.
            seconds: For how long.
            failing: When attempts fail, from and to.
            share: Share of them that fail meanwhile.
        """
        until = self.now + seconds
        while self.now < until:
            self.now += self.random.expovariate(rate_per_s)
            index = self.random.randrange(len(self.hosts))
            self.send(index)
            is_failing = failing[0] <= self.now < failing[1]
            if is_failing and self.random.random() < share:
                self.retry(index)

    def worst_share(self):
        """Returns the largest share of the bound that any window used.

        The requests of a window are counted in it, or in the one before or
        half a window before if there were more.
        """
        window_s = self.bounds.window_s
        times = sorted(self.retries)
        worst = 0.0
        for number, start in enumerate(times):
            made = bisect.bisect_left(times, start + window_s) - number
            requests = max(
                bisect.bisect_left(self.requests, begin + window_s)
                - bisect.bisect_left(self.requests, begin)
                for begin in (start, start - window_s, start - window_s / 2)
            )
            allowed = self.bounds.ratio * requests + self.bounds.extra
            worst = max(worst, made / allowed)
        return worst
