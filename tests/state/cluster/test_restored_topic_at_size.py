"""Tests copies of a topic on many hosts while its store is restored.

An operator writes versions under a few keys. The store is restored from backups
that are 0.5 to 10 s old, once or twice in a row, and the operator rewrites the
newest versions. One host of each data centre reads the store and the others
read from it. Meanwhile data centres lose their connection to the store and
hosts restart.

The simulation runs in virtual time with the product's topic copies; the store
and the transport are models. After each step, every version written some
seconds ago must be known to all connected hosts, and no process may return to
an older version.
"""

import heapq
import itertools
import random
import unittest

from hillthread.state.cluster import position
from hillthread.state.cluster import topic_copy

KEYS = ("config", "version/m")
TICK_S = 0.25
# Time for two reads with a margin; the platform allows 2 s and more.
MAX_DELAY_S = 1.5
DEPLOYMENT_SIZES = ((8, 4), (90, 4), (420, 20))
DURATION_S = 60.0


def is_older(record, known):
    """Returns whether a version precedes another one."""
    return int(record.value) < int(known.value)


class Store:
    """A keyed topic that can be restored from a backup."""

    def __init__(self):
        self.era = 3
        self.log = []
        self.is_down = False

    def write(self, key, version):
        """Appends a record."""
        self.log.append((key, str(version).encode()))

    def newest(self):
        """Returns the newest record of each key and the end position."""
        found = {
            key: topic_copy.TopicRecord(key, value, self.make_position(offset))
            for offset, (key, value) in enumerate(self.log)
        }
        return list(found.values()), self.make_position(len(self.log))

    def make_position(self, offset):
        """Returns a position in the current era."""
        return position.Position(self.era, offset)


class Host:
    """A host with its copy of the topic and the versions it has applied."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.start(0.0)

    def start(self, now):
        """Starts or restarts the process."""
        self.copy = topic_copy.TopicCopy()
        self.era = 0
        self.applied = {}
        self.connected_since = now

    def read_store(self, store, confirming_hosts):
        """Reads from the store as a follower does."""
        at = self.copy.position
        self.era = store.era
        if at is None or at.era != store.era or at.offset > len(store.log):
            records, end = store.newest()
            if not self.copy.newest:
                records = self.merge_newer(records, confirming_hosts)
            self.replace_copy(records, end)
            return
        for offset in range(at.offset, len(store.log)):
            key, value = store.log[offset]
            record = topic_copy.TopicRecord(
                key, value, store.make_position(offset)
            )
            if self.copy.add(record):
                self.apply(record)

    def read_peer(self, peer):
        """Reads from another host as a follower does."""
        end = peer.copy.position
        if end is None or end.era < self.era:
            return
        self.era = max(self.era, end.era)
        changes = None
        if self.copy.position is not None:
            changes = peer.copy.list_since(self.copy.position)
        if changes is None:
            if end >= (self.copy.position or position.Position(0, 0)):
                self.replace_copy(list(peer.copy.newest.values()), end)
            return
        for record in changes:
            if self.copy.add(record):
                self.apply(record)
        self.copy.advance(end)

    def merge_newer(self, records, confirming_hosts):
        """Returns records of the store, or newer ones of other hosts."""
        newest = {each.key: each for each in records}
        for confirming_host in confirming_hosts:
            for record in confirming_host.copy.newest.values():
                known = newest.get(record.key)
                if known is not None and is_older(known, record):
                    at = known.position._replace(offset=-1)
                    newest[record.key] = record._replace(position=at)
        return list(newest.values())

    def replace_copy(self, records, end):
        """Replaces the copy by the newest record of every key."""
        if not self.copy.is_restored_by(end.era):
            changes = self.copy.replace(records, end)
        else:
            changes = self.copy.restore(records, end, is_older, True).changes
        for record in changes:
            self.apply(record)

    def apply(self, record):
        """Applies a version unless it is older than the current one."""
        if record.value:
            before = self.applied.get(record.key, 0)
            self.applied[record.key] = max(before, int(record.value))


class Simulation:
    """Simulates an operator, a store with backups, and hosts."""

    def __init__(self, hosts, data_centre_count, seed):
        self.rng = random.Random(seed)
        self.store = Store()
        self.hosts = [
            Host(f"h{n}", n % data_centre_count) for n in range(hosts)
        ]
        self.members = [
            [host for host in self.hosts if host.data_centre == data_centre]
            for data_centre in range(data_centre_count)
        ]
        self.versions = dict.fromkeys(KEYS, 0)
        self.written_at = dict.fromkeys(KEYS, 0.0)
        self.cut_data_centres = set()
        self.violations = []
        self._events = []
        self._numbers = itertools.count()
        for key in KEYS:
            self.write(0.0, key)

    def schedule(self, when, action, *arguments):
        """Schedules a call of `action`."""
        entry = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self):
        """Runs the simulation."""
        for host in self.hosts:
            self.schedule(self.rng.random() * TICK_S, self.tick, host)
        self.schedule(0.5, self.write_some)
        self.schedule(3.0, self.back_up)
        self.schedule(2.0, self.restart)
        self.schedule(4.0, self.toggle_cut)
        while self._events and self._events[0][0] < DURATION_S:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def write(self, now, key):
        """Writes the next version."""
        self.versions[key] += 1
        self.written_at[key] = now
        self.store.write(key, self.versions[key])

    def write_some(self, now):
        """Writes one or several versions and schedules the next writes."""
        if self.store.is_down:
            self.schedule(now + 0.1, self.write_some)
            return
        for _ in range(self.rng.choice((1, 1, 4))):
            self.write(now, self.rng.choice(KEYS))
        self.schedule(now + self.rng.expovariate(0.5), self.write_some)

    def back_up(self, now):
        """Makes a backup and schedules its restoration."""
        backup = list(self.store.log)
        self.schedule(
            now + self.rng.uniform(0.5, 10.0), self.take_store_down, backup
        )
        if self.rng.random() < 0.3:  # restored twice in a row
            self.schedule(
                now + self.rng.uniform(10.0, 11.0), self.take_store_down, backup
            )

    def take_store_down(self, now, backup):
        """Takes the store down for a short time."""
        self.store.is_down = True
        self.schedule(now + self.rng.uniform(0.05, 2.0), self.restore, backup)

    def restore(self, now, backup):
        """Brings the store up, restored from a backup."""
        self.store.is_down = False
        self.store.era += 1
        self.store.log = list(backup)
        self.schedule(now + self.rng.uniform(0.0, 0.5), self.rewrite)
        self.schedule(now + self.rng.uniform(1.0, 6.0), self.back_up)

    def rewrite(self, now):
        """Writes the newest version of each key again."""
        for key in KEYS:
            self.written_at[key] = now
            self.store.write(key, self.versions[key])

    def restart(self, now):
        """Restarts a host."""
        self.rng.choice(self.hosts).start(now)
        self.schedule(now + self.rng.uniform(0.2, 2.0), self.restart)

    def toggle_cut(self, now):
        """Disconnects a data centre from the store, or reconnects it."""
        if self.cut_data_centres:
            data_centre = self.cut_data_centres.pop()
            for host in self.members[data_centre]:
                host.connected_since = now
        else:
            self.cut_data_centres.add(self.rng.randrange(len(self.members)))
        self.schedule(now + self.rng.uniform(1.0, 6.0), self.toggle_cut)

    def tick(self, now, host):
        """Makes a host read and checks its knowledge."""
        before = dict(host.applied)
        reader = self.members[host.data_centre][0]
        is_cut = host.data_centre in self.cut_data_centres or self.store.is_down
        if host is not reader and reader.copy.position is not None:
            host.read_peer(reader)
        elif not is_cut:
            others = [each for each in self.hosts if each is not host]
            host.read_store(self.store, self.rng.sample(others, 2))
        if is_cut:
            host.connected_since = now
        self.check_knowledge(now, host, before)
        self.schedule(now + TICK_S, self.tick, host)

    def check_knowledge(self, now, host, before):
        """Records versions that a host should know or has lost."""
        for key, version in before.items():
            if host.applied.get(key, 0) < version:
                self.violations.append((now, host.name, key, "went back"))
        for key in KEYS:
            since = max(self.written_at[key], host.connected_since)
            is_late = now - since > MAX_DELAY_S
            if is_late and host.applied.get(key) != self.versions[key]:
                self.violations.append((now, host.name, key, "does not know"))


class RestoredTopicAtSizeTest(unittest.TestCase):
    def test_all_hosts_know_the_last_versions_after_restorations(self):
        for (hosts, data_centre_count), seed in itertools.product(
            DEPLOYMENT_SIZES, range(3)
        ):
            with self.subTest(hosts=hosts, seed=seed):
                simulation = Simulation(hosts, data_centre_count, seed)
                simulation.run()
                self.assertEqual(simulation.violations[:3], [])
                self.assertGreater(simulation.store.era, 6)


if __name__ == "__main__":
    unittest.main()
