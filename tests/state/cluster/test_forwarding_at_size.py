"""Tests, in virtual time, that callers of hosts without links are served.

Hosts recognise the cut from their own connections and choose other hosts as in
production; connections, requests and their durations are simulated.
"""

import random
import unittest

from hillthread.state.cluster import feed_source
from hillthread.state.cluster import peer_choice
from hillthread.state.targets import target_links

CUT_AT_S = 5.0
END_S = 14.0
TARGETS = 40
# Requests in a second of each host without links, and of each other one.
RATE_PER_S = 6.0
OTHERS_RATE_PER_S = 1.0
CONNECT_TIMEOUT_S = 0.2
# A probe of a target begins after this silence; ten others are probed then.
PROBE_AFTER_S = 0.4
SWEEP = 10
MAX_PEERS = 3
AVOID_NO_LINK_S = 1.0
AVOID_UNREACHABLE_S = 2.0


class Host:
    """A host of the simulation.

    Attributes:
        entry: Its entry in the list of hosts.
        down: Times in which its process does not run or is frozen.
        is_cut: Whether it loses its links to targets.
        store_down: Times in which it has lost the store and declines.
    """

    def __init__(self, name, data_centre):
        self.entry = feed_source.HostEntry(name, data_centre, "10.0.0.1:1")
        self.down = []
        self.store_down = []
        self.is_cut = False
        self.start()

    def start(self):
        """Forgets what a process knows."""
        self.links = target_links.TargetLinks()
        self.choice = peer_choice.PeerChoice(
            self.entry.name, self.entry.data_centre
        )

    def is_down(self, now):
        return any(begin <= now < end for begin, end in self.down)

    def lacks_store(self, now):
        return any(begin <= now < end for begin, end in self.store_down)

    def lacks_targets(self, now):
        return self.is_cut and now >= CUT_AT_S


class Simulation:
    """Requests to all hosts while some have lost their links.

    Attributes:
        hosts: All hosts, by name.
        outcomes: Of each first attempt: when it was sent, whether its host had
            no links then, and whether it was served.
    """

    def __init__(self, hosts, data_centres):
        self.random = random.Random(hosts)
        self.hosts = {
            f"h{n}": Host(f"h{n}", f"dc{n % data_centres}")
            for n in range(hosts)
        }
        self.outcomes = []

    def run(self):
        """Sends all requests in order of time."""
        requests = sorted(
            (self.random.uniform(0.0, END_S), name)
            for name, host in self.hosts.items()
            for _ in range(
                int(END_S * (RATE_PER_S if host.is_cut else OTHERS_RATE_PER_S))
            )
        )
        for now, name in requests:
            host = self.hosts[name]
            if host.is_down(now):
                host.start()
                continue
            self.find_out(host, now)
            is_served = self.serve(host, now)
            if not host.lacks_store(now):  # it is in touch
                self.outcomes.append((now, host.lacks_targets(now), is_served))

    def find_out(self, host, now):
        """Brings a host's knowledge of its links up to date."""
        if not host.lacks_targets(now):
            host.links.record_success()
            return
        if host.links.is_lost:
            return
        failed_at = CUT_AT_S + PROBE_AFTER_S + CONNECT_TIMEOUT_S
        for number in range(SWEEP + 1):
            if now >= failed_at:
                host.links.record_failure(f"t{number}", now - 0.15)
            if number == 0:
                failed_at += CONNECT_TIMEOUT_S
        host.links.update(TARGETS, now)

    def shares(self, contact_s):
        """Returns the shares served by hosts without links and by others."""
        groups = {True: [], False: []}
        for at, is_cut, is_served in self.outcomes:
            if at >= CUT_AT_S + contact_s:
                groups[is_cut].append(is_served)
        return [sum(each) / len(each) for each in groups.values() if each]

    def serve(self, host, now):
        """Returns whether a request is served, by this host or another."""
        if host.lacks_store(now):
            return False
        if not host.lacks_targets(now):
            return True
        if not host.links.is_lost:
            return False
        tried = set()
        entries = [each.entry for each in self.hosts.values()]
        while len(tried) < MAX_PEERS:
            entry = host.choice.choose(
                entries, "p", tried, now, self.random.choice
            )
            if entry is None:
                return False
            tried.add(entry.name)
            peer = self.hosts[entry.name]
            if peer.is_down(now):
                until = now + AVOID_UNREACHABLE_S
                host.choice.avoid(entry.name, "", until)
            elif peer.lacks_store(now):
                host.choice.avoid(entry.name, "", now + AVOID_UNREACHABLE_S)
            elif peer.lacks_targets(now):
                host.choice.avoid(entry.name, "p", now + AVOID_NO_LINK_S)
            else:
                return True
        return False


class SizeTest(unittest.TestCase):
    # Half of, exactly and twice the time after which callers must be served.
    CONTACT_S = (1.5, 3.0, 6.0)
    SERVED_SHARE = 2 / 3

    SIZES = ((8, 4), (90, 6), (420, 20))

    def simulate(self, prepare, sizes=SIZES):
        """Runs some sizes; yields the shares served, from each time on."""
        for hosts, data_centres in sizes:
            simulation = Simulation(hosts, data_centres)
            prepare(simulation)
            simulation.run()
            for contact_s in self.CONTACT_S:
                with self.subTest(hosts=hosts, contact_s=contact_s):
                    yield simulation.shares(contact_s)

    def expect_served(self, prepare):
        for cut, others in list(self.simulate(prepare)):
            self.assertGreaterEqual(cut, others * self.SERVED_SHARE)

    def test_a_third_of_all_hosts_without_links(self):
        def prepare(simulation):
            hosts = list(simulation.hosts.values())
            for host in hosts[: len(hosts) // 3]:
                host.is_cut = True

        self.expect_served(prepare)

    # Guards against asking only hosts of the own data centre, which has lost
    # its links as a whole.
    def test_a_whole_data_centre_without_links(self):
        def prepare(simulation):
            for host in simulation.hosts.values():
                host.is_cut = host.entry.data_centre == "dc0"

        self.expect_served(prepare)

    def test_restarts_freezes_and_lost_stores_beside_the_cut(self):
        def prepare(simulation):
            draw = simulation.random
            for host in simulation.hosts.values():
                host.is_cut = draw.random() < 0.3
                for times in (host.down, host.store_down):
                    begin = draw.uniform(0.0, END_S)
                    times.append((begin, begin + draw.uniform(0.2, 3.0)))

        self.expect_served(prepare)

    def test_nothing_is_served_when_all_hosts_are_without_links(self):
        def prepare(simulation):
            for host in simulation.hosts.values():
                host.is_cut = True

        for shares in list(self.simulate(prepare, self.SIZES[:2])):
            self.assertEqual(shares, [0.0])
