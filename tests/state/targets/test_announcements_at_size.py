"""Tests for announced departures and back-offs with many hosts.

Targets leave or shed load for some seconds while the platform's list still
names them as ready, because the store is unavailable. Hosts learn of this from
answers to their own requests and from notices of other hosts. At the same time
packets are lost, hosts restart or pause, a data centre is cut off, and entries
expire and are written again.

The simulation runs in virtual time. Hosts use the real target list and
back-offs; the network between them is simulated here.
"""

import collections
import heapq
import itertools
import random
import unittest

from hillthread.state.config import objects
from hillthread.state.targets import backoffs
from hillthread.state.targets import target_list
from tests.state.targets import test_target_list

NETWORK_DELAY_S = 0.001
ANSWER_TIME_S = 0.1
LOSS_SHARE = 0.025
RESEND_DELAYS_S = (0.0, 0.1, 0.3)
# Requests sent this soon after a back-off was requested may be under way
# already.
IN_FLIGHT_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
FAULTS_AT_S = 4.0
# Numbers of hosts, data centres and targets.
DEPLOYMENTS = ((8, 4, 9), (90, 4, 45), (420, 20, 60))
DRAIN_S = (1.0, 2.0, 4.0)
BACKOFF_S = (1.5, 3.0, 6.0)


class Host:
    """A host and what its process knows of targets."""

    def __init__(self, name, data_centre, count, drain_s):
        self.name = name
        self.data_centre = data_centre
        self.count = count
        self.drain_s = drain_s
        self.generation = 0
        self.paused_until = 0.0
        self.start()

    def start(self):
        """Starts a new process; the list names all targets as ready."""
        self.generation += 1
        self.targets = target_list.TargetList(2.0, self.drain_s * 0.6)
        self.backoffs = backoffs.Backoffs()
        for number in range(self.count):
            self.targets.put(
                test_target_list.make_entry(f"t{number}", born_ms=1)
            )


class Simulation:
    """Simulates hosts that send requests to targets.

    Attributes:
        arrivals: Host, its generation, target and send time of each request.
        announced: When a host's process first notified others of a departure,
            by host, generation and target.
        refused: Host, generation, target and time of each refusal with a
            back-off.
    """

    def __init__(
        self, size, seed, drain_s=2.0, backoff_s=3.0, requests_per_s=200.0
    ):
        self.rng = random.Random(seed)
        count, self.data_centres, self.count = size
        self.hosts = [
            Host(f"h{n}", n % self.data_centres, self.count, drain_s)
            for n in range(count)
        ]
        self.backoff_s = backoff_s
        self.requests_per_s = requests_per_s
        self.pool = objects.Pool(name="s", target_selector="service=s")
        self.leaving = set()
        self.shedding = set()
        self.isolated_data_centre = None
        self.arrivals = []
        self.announced = {}
        self.refused = []
        self._events = []
        self._numbers = itertools.count()

    def schedule(self, due_at, action, *arguments):
        """Schedules an event."""
        entry = (due_at, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, duration_s):
        """Runs the events that are due within a time."""
        self.schedule(0.0, self.send_request)
        while self._events and self._events[0][0] < duration_s:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def send_request(self, now):
        """Sends a request to a random host, which chooses a target."""
        self.schedule(
            now + self.rng.expovariate(self.requests_per_s), self.send_request
        )
        host = self.rng.choice(self.hosts)
        if now < host.paused_until:
            return
        host.targets.expire(now)
        names = [each.target.name for each in host.targets.members(self.pool)]
        usable = [n for n in names if not host.backoffs.is_active(n, now)]
        if usable:
            target = self.rng.choice(usable)
            arrival = (host, host.generation, target, now)
            self.schedule(now + NETWORK_DELAY_S, self.arrive, *arrival)

    def arrive(self, now, host, generation, target, sent_at):
        """Answers a request or sheds it."""
        self.arrivals.append((host, generation, target, sent_at))
        if target in self.shedding:
            self.schedule(
                now + NETWORK_DELAY_S, self.refuse, host, generation, target
            )
        elif target in self.leaving:
            self.schedule(
                now + ANSWER_TIME_S, self.announce, host, generation, target
            )

    def refuse(self, now, host, generation, target):
        """Applies a back-off on a host."""
        if host.generation != generation or now < host.paused_until:
            return
        self.refused.append((host, generation, target, now))
        host.backoffs.apply(target, self.backoff_s, now)

    def announce(self, now, host, generation, target):
        """Applies a departure on a host and notifies the other hosts."""
        if host.generation != generation or now < host.paused_until:
            return
        self.announced.setdefault((host, generation, target), now)
        if not host.targets.mark_leaving(target):
            return
        key = host.targets.key_of(target)
        for pause_s in RESEND_DELAYS_S:
            for peer in self.hosts:
                is_partitioned = self.isolated_data_centre in (
                    host.data_centre,
                    peer.data_centre,
                )
                is_partitioned = (
                    is_partitioned and host.data_centre != peer.data_centre
                )
                if not is_partitioned and self.rng.random() >= LOSS_SHARE:
                    self.schedule(
                        now + pause_s + NETWORK_DELAY_S,
                        self.receive_notice,
                        peer,
                        key,
                    )

    def receive_notice(self, now, host, key):
        """Applies a notice on a host."""
        name = host.targets.name_of(key)
        if name is not None and now >= host.paused_until:
            host.targets.mark_leaving(name)

    # Faults.

    def leave(self, now, targets):
        """Has targets announce in their answers that they leave."""
        del now
        self.leaving.update(targets)

    def shed(self, now, targets):
        """Has exactly these targets shed load."""
        del now
        self.shedding = set(targets)

    def restart(self, now, host):
        """Starts the next process of a host."""
        del now
        host.start()

    def pause(self, now, host, duration_s):
        """Pauses a host."""
        host.paused_until = now + duration_s

    def partition(self, now, data_centre):
        """Cuts a data centre off, or none."""
        del now
        self.isolated_data_centre = data_centre

    def expire_entries(self, now, targets):
        """Removes entries on all hosts, which had lost the store."""
        for host in self.hosts:
            host.targets.store_lost()
            host.targets.store_back(now)
            for target in targets:
                host.targets.remove(target, now)

    def relist(self, now, targets):
        """Writes entries again as ready."""
        del now
        for host in self.hosts:
            for target in targets:
                host.targets.put(test_target_list.make_entry(target, born_ms=1))

    def late_requests(self, drain_s):
        """Returns requests sent too long after a departure was known."""
        never = float("inf")
        return [
            (host.name, target, at)
            for host, generation, target, at in self.arrivals
            if at
            > self.announced.get((host, generation, target), never) + drain_s
        ]

    def max_requests_in_backoff(self):
        """Returns the most requests of one host within one back-off."""
        sent = collections.defaultdict(list)
        for host, generation, target, at in self.arrivals:
            sent[host, generation, target].append(at)
        return max(
            (
                sum(at + IN_FLIGHT_S <= each < at + self.backoff_s
                    for each in sent[host, generation, target])
                for host, generation, target, at in self.refused
            ),
            default=0,
        )  # fmt: skip


def schedule_faults(simulation, targets):
    """Schedules host restarts and pauses, a partition and expired entries."""
    simulation.schedule(FAULTS_AT_S + 0.3, simulation.partition, 0)
    simulation.schedule(FAULTS_AT_S + 2.5, simulation.partition, None)
    for host in simulation.hosts[::7]:
        simulation.schedule(FAULTS_AT_S + 0.8, simulation.restart, host)
    for host in simulation.hosts[1::7]:
        simulation.schedule(FAULTS_AT_S + 0.5, simulation.pause, host, 1.5)
    simulation.schedule(FAULTS_AT_S + 1.2, simulation.expire_entries, targets)
    simulation.schedule(FAULTS_AT_S + 1.9, simulation.relist, targets)
    simulation.schedule(FAULTS_AT_S + 4.0, simulation.expire_entries, targets)
    # A missing entry is not trusted for this long.
    simulation.schedule(FAULTS_AT_S + 7.0, simulation.relist, targets)


class LargeDeploymentTest(unittest.TestCase):
    def test_no_host_sends_to_a_target_known_to_leave(self):
        for size, drain_s in itertools.product(DEPLOYMENTS, DRAIN_S):
            with self.subTest(hosts=size[0], drain_s=drain_s):
                simulation = Simulation(size, 1, drain_s)
                left = [f"t{number}" for number in range(0, size[2], 4)]
                simulation.schedule(FAULTS_AT_S, simulation.leave, left)
                schedule_faults(simulation, left)
                simulation.run(16.0)
                self.assertTrue(simulation.announced)
                self.assertEqual(simulation.late_requests(drain_s), [])
                # The other targets take over the requests.
                late = [
                    a for a in simulation.arrivals if a[3] > FAULTS_AT_S + 8.0
                ]
                self.assertTrue(late)

    def test_all_hosts_soon_know_of_a_departure(self):
        for size in DEPLOYMENTS:
            with self.subTest(hosts=size[0]):
                simulation = Simulation(size, 2)
                simulation.schedule(FAULTS_AT_S, simulation.leave, ["t0"])
                simulation.run(16.0)
                first_at = min(simulation.announced.values())
                late = [
                    at
                    for _, _, target, at in simulation.arrivals
                    if target == "t0" and at > first_at + 0.5
                ]
                self.assertEqual(late, [])

    def test_hosts_respect_backoffs(self):
        for size, backoff_s in itertools.product(DEPLOYMENTS, BACKOFF_S):
            with self.subTest(hosts=size[0], backoff_s=backoff_s):
                simulation = Simulation(
                    size, 3, backoff_s=backoff_s, requests_per_s=600.0
                )
                shed = [f"t{number}" for number in range(0, size[2], 3)]
                simulation.schedule(FAULTS_AT_S, simulation.shed, shed)
                schedule_faults(simulation, shed)
                simulation.run(16.0)
                self.assertTrue(simulation.refused)
                self.assertLessEqual(
                    simulation.max_requests_in_backoff(),
                    MAX_REQUESTS_IN_BACKOFF,
                )

    def test_target_is_used_again_after_its_backoff(self):
        for size in DEPLOYMENTS:
            with self.subTest(hosts=size[0]):
                simulation = Simulation(
                    size, 4, backoff_s=3.0, requests_per_s=600.0
                )
                simulation.schedule(FAULTS_AT_S, simulation.shed, ["t0"])
                simulation.schedule(FAULTS_AT_S + 2.0, simulation.shed, [])
                simulation.run(16.0)
                count = sum(
                    target == "t0" and at > FAULTS_AT_S + 5.5
                    for _, _, target, at in simulation.arrivals
                )
                share = count / sum(
                    at > FAULTS_AT_S + 5.5
                    for _, _, _, at in simulation.arrivals
                )
                self.assertGreater(share, 0.7 / size[2])


if __name__ == "__main__":
    unittest.main()
