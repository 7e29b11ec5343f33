"""Tests records of streams over many hosts, without sockets.

The model has the parts that decide: records, placement, and the order in which
hosts are asked. Notices are lost at a given rate, hosts restart empty, and each
host has a list of members of its own, which may be old.
"""

import random
import unittest

from hillthread.state.cluster import record_placement
from hillthread.state.cluster import stream_records
from hillthread.state.routing import stream_origin
from tests.state.cluster import test_record_placement

SIZES = ((8, 4), (90, 4), (420, 20))
STREAMS = 100
RELEASES = ("v1", "v2", "v3")


class ModelHost:
    """One host: its records, and its list of members."""

    def __init__(self, entry, listed):
        self.entry = entry
        self.listed = list(listed)
        self.placement = record_placement.RecordPlacement(
            entry.name, entry.data_centre
        )
        self.restart()

    def restart(self):
        self.records = stream_records.StreamRecords(1_000)


class ModelSite:
    """Hosts that notify and ask each other."""

    def __init__(self, count, data_centres, seed, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.entries = test_record_placement.make_hosts(count, data_centres)
        self.hosts = {
            entry.name: ModelHost(entry, self.entries) for entry in self.entries
        }
        self.cut = set()

    def reaches(self, one, other):
        here, there = one.entry.data_centre, other.entry.data_centre
        return here == there or not self.cut & {here, there}

    def begin(self, name, key, release):
        host = self.hosts[name]
        origin = stream_origin.StreamOrigin("pool", release)
        host.records.put(key, origin, 1e9)
        for replica in host.placement.replicas(key.digest, host.listed):
            other = self.hosts[replica.name]
            is_lost = self.random.random() < self.loss
            if not is_lost and self.reaches(host, other):
                other.records.put(key, origin, 1e9)

    def find(self, name, key):
        """Returns the release that a host finds; empty if it finds none."""
        host = self.hosts[name]
        own = host.records.get(key, 0.0)
        if own is not None:
            return own.origin.release
        placement, listed = host.placement, host.listed
        asked = placement.replicas(key.digest, listed)
        asked += placement.fallback_hosts(key.digest, listed)
        for entry in asked:
            other = self.hosts[entry.name]
            if not self.reaches(host, other):
                continue
            record = other.records.get(key, 0.0)
            if record is not None:
                return record.origin.release
        return ""

    def stop(self, name):
        """Stops a host as planned, and starts it again without records."""
        host = self.hosts[name]
        for key, record in host.records.items():
            entry = host.placement.successor(key.digest, host.listed)
            other = self.hosts[entry.name] if entry else None
            if other is not None and self.reaches(host, other):
                other.records.put(key, *record)
        host.restart()


def make_key(number):
    return stream_records.make_key(f"t{number % 7}", f"r{number}")


class LookupShareTest(unittest.TestCase):
    def count_known(self, site, streams):
        """Returns the share of streams whose release a random host finds."""
        names = list(site.hosts)
        found = [
            site.find(site.random.choice(names), key) == release
            for key, release in streams.items()
        ]
        return sum(found) / len(found)

    def begin_all(self, site, names=None):
        names = names or list(site.hosts)
        streams = {}
        for number in range(STREAMS):
            key, release = make_key(number), RELEASES[number % 3]
            streams[key] = release
            site.begin(site.random.choice(names), key, release)
        return streams

    def test_all_streams_are_found_through_a_rolling_restart(self):
        for count, data_centres in SIZES:
            site = ModelSite(count, data_centres, 1)
            streams = self.begin_all(site)
            for number, name in enumerate(list(site.hosts)):
                site.stop(name)
                if number % (count // 4) == 0:
                    known = self.count_known(site, streams)
                    self.assertGreater(known, 0.97)
            self.assertGreater(self.count_known(site, streams), 0.97)

    def test_streams_survive_the_kill_of_the_host_that_began_them(self):
        for count, data_centres in SIZES:
            site = ModelSite(count, data_centres, 2)
            streams = self.begin_all(site, ["h3"])
            site.hosts["h3"].restart()
            self.assertEqual(self.count_known(site, streams), 1.0)

    def test_streams_survive_the_kill_of_a_data_centre(self):
        for count, data_centres in SIZES:
            site = ModelSite(count, data_centres, 3)
            killed = [
                n for n, h in site.hosts.items() if h.entry.data_centre == "dc1"
            ]
            streams = self.begin_all(site, killed)
            for name in killed:
                site.hosts[name].restart()
            self.assertEqual(self.count_known(site, streams), 1.0)

    def test_data_centre_that_is_cut_off_finds_its_own_streams(self):
        for count, data_centres in SIZES:
            site = ModelSite(count, data_centres, 4)
            site.cut = {"dc0"}
            own = [
                n for n, h in site.hosts.items() if h.entry.data_centre == "dc0"
            ]
            streams = self.begin_all(site, own)
            found = [
                site.find(site.random.choice(own), key) == release
                for key, release in streams.items()
            ]
            self.assertTrue(all(found))

    def test_nearly_all_streams_are_found_when_notices_get_lost(self):
        for count, data_centres in SIZES:
            site = ModelSite(count, data_centres, 5, loss=0.2)
            streams = self.begin_all(site)
            self.assertGreater(self.count_known(site, streams), 0.95)


class PropertyTest(unittest.TestCase):
    # Guards against any order of events that joins two releases.
    def test_no_order_of_events_yields_another_release(self):
        for seed in range(40):
            count, data_centres = SIZES[seed % 2]
            site = ModelSite(count, data_centres, seed, loss=0.2)
            rng = random.Random(seed)
            begun = {}
            for step in range(300):
                name = rng.choice(list(site.hosts))
                match rng.randrange(7):
                    case 0 | 1:
                        key = make_key(step)
                        begun[key] = rng.choice(RELEASES)
                        site.begin(name, key, begun[key])
                    case 2 | 3 if begun:
                        key = rng.choice(list(begun))
                        self.assertIn(site.find(name, key), ("", begun[key]))
                    case 4:
                        site.stop(name)
                    case 5:
                        site.hosts[name].restart()
                    case 6:
                        # A host with an old list, or a cut between places.
                        host = site.hosts[name]
                        size = rng.randrange(1, count + 1)
                        host.listed = rng.sample(site.entries, size)
                        site.cut = set(rng.sample(["dc0", "dc1", "dc2"], 1))
