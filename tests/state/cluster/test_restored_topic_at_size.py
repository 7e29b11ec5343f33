"""A topic whose store is restored from backups, followed by many hosts.

Pattern: an operator writes versions under a few keys; the store goes back to
backups of 0.5 to 10 s, once or twice in a row, and the newest of what was lost
is written again. One host of a data centre reads the store, the others read
from it; data centres are cut off from the store meanwhile, and hosts start
again.

Everything runs in virtual time; hosts have the shipped copies of topics, the
store and the way between hosts are written here. Checked at each moment: what
was written, or written again, some seconds ago is known to all hosts that were
in touch, and no process ever goes back.
"""

import heapq
import itertools
import random
import unittest

from hillthread.state.cluster import position
from hillthread.state.cluster import topic_copy

KEYS = ("config", "version/m")
TICK_S = 0.25
# Two readings, and a moment; the platform allows 2 s and more.
KNOWN_S = 1.5
SIZES = ((8, 4), (90, 4), (420, 20))
LENGTH_S = 60.0


def is_older(record, known):
    """Returns whether a version precedes another one."""
    return int(record.value) < int(known.value)


class Store:
    """A keyed topic that goes back to backups."""

    def __init__(self):
        self.era = 3
        self.log = []
        self.is_away = False

    def write(self, key, version):
        """Appends a record."""
        self.log.append((key, str(version).encode()))

    def newest(self):
        """Returns the newest record of each key, and the end."""
        found = {
            key: topic_copy.TopicRecord(key, value, self.at(offset))
            for offset, (key, value) in enumerate(self.log)
        }
        return list(found.values()), self.at(len(self.log))

    def at(self, offset):
        """Returns a position of now."""
        return position.Position(self.era, offset)


class Host:
    """One host: its copy, and what it applies."""

    def __init__(self, name, place):
        self.name = name
        self.place = place
        self.start(0.0)

    def start(self, now):
        """Starts its process anew."""
        self.copy = topic_copy.TopicCopy()
        self.era = 0
        self.applied = {}
        self.in_touch_since = now

    def read_store(self, store, witnesses):
        """Reads from the store as a follower does."""
        at = self.copy.position
        self.era = store.era
        if at is None or at.era != store.era or at.offset > len(store.log):
            records, end = store.newest()
            if not self.copy.newest:
                records = self.confirm(records, witnesses)
            self.take_whole(records, end)
            return
        for offset in range(at.offset, len(store.log)):
            key, value = store.log[offset]
            record = topic_copy.TopicRecord(key, value, store.at(offset))
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
                self.take_whole(list(peer.copy.newest.values()), end)
            return
        for record in changes:
            if self.copy.add(record):
                self.apply(record)
        self.copy.advance(end)

    def confirm(self, records, witnesses):
        """Returns records of the store, or newer ones of other hosts."""
        newest = {each.key: each for each in records}
        for witness in witnesses:
            for record in witness.copy.newest.values():
                known = newest.get(record.key)
                if known is not None and is_older(known, record):
                    at = known.position._replace(offset=-1)
                    newest[record.key] = record._replace(position=at)
        return list(newest.values())

    def take_whole(self, records, end):
        """Takes over the newest record of every key."""
        if not self.copy.is_restored_by(end.era):
            changes = self.copy.replace(records, end)
        else:
            changes = self.copy.restore(records, end, is_older, True).changes
        for record in changes:
            self.apply(record)

    def apply(self, record):
        """Applies a version; an older one changes nothing."""
        if record.value:
            before = self.applied.get(record.key, 0)
            self.applied[record.key] = max(before, int(record.value))


class Play:
    """An operator, a store with backups, and hosts."""

    def __init__(self, hosts, places, seed):
        self.draw = random.Random(seed)
        self.store = Store()
        self.hosts = [Host(f"h{n}", n % places) for n in range(hosts)]
        self.members = [
            [host for host in self.hosts if host.place == place]
            for place in range(places)
        ]
        self.versions = dict.fromkeys(KEYS, 0)
        self.written_at = dict.fromkeys(KEYS, 0.0)
        self.cut_places = set()
        self.wrong = []
        self._events = []
        self._numbers = itertools.count()
        for key in KEYS:
            self.write(0.0, key)

    def at(self, when, action, *arguments):
        """Has something happen."""
        entry = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self):
        """Plays."""
        for host in self.hosts:
            self.at(self.draw.random() * TICK_S, self.tick, host)
        self.at(0.5, self.change)
        self.at(3.0, self.back_up)
        self.at(2.0, self.restart)
        self.at(4.0, self.cut)
        while self._events and self._events[0][0] < LENGTH_S:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def write(self, now, key):
        """Writes the next version."""
        self.versions[key] += 1
        self.written_at[key] = now
        self.store.write(key, self.versions[key])

    def change(self, now):
        """Has the operator write now and then, also several at once."""
        if self.store.is_away:
            self.at(now + 0.1, self.change)
            return
        for _ in range(self.draw.choice((1, 1, 4))):
            self.write(now, self.draw.choice(KEYS))
        self.at(now + self.draw.expovariate(0.5), self.change)

    def back_up(self, now):
        """Makes a backup that is restored soon."""
        backup = list(self.store.log)
        self.at(now + self.draw.uniform(0.5, 10.0), self.fail, backup)
        if self.draw.random() < 0.3:  # restored twice in a row
            self.at(now + self.draw.uniform(10.0, 11.0), self.fail, backup)

    def fail(self, now, backup):
        """Has the store go away for a moment."""
        self.store.is_away = True
        self.at(now + self.draw.uniform(0.05, 2.0), self.restore, backup)

    def restore(self, now, backup):
        """Has the store come back from a backup."""
        self.store.is_away = False
        self.store.era += 1
        self.store.log = list(backup)
        self.at(now + self.draw.uniform(0.0, 0.5), self.write_again)
        self.at(now + self.draw.uniform(1.0, 6.0), self.back_up)

    def write_again(self, now):
        """Has the operator write its newest versions again."""
        for key in KEYS:
            self.written_at[key] = now
            self.store.write(key, self.versions[key])

    def restart(self, now):
        """Starts a host again."""
        self.draw.choice(self.hosts).start(now)
        self.at(now + self.draw.uniform(0.2, 2.0), self.restart)

    def cut(self, now):
        """Cuts a data centre off from the store, or heals it."""
        if self.cut_places:
            place = self.cut_places.pop()
            for host in self.members[place]:
                host.in_touch_since = now
        else:
            self.cut_places.add(self.draw.randrange(len(self.members)))
        self.at(now + self.draw.uniform(1.0, 6.0), self.cut)

    def tick(self, now, host):
        """Has a host read, and judges what it knows."""
        before = dict(host.applied)
        reader = self.members[host.place][0]
        is_cut = host.place in self.cut_places or self.store.is_away
        if host is not reader and reader.copy.position is not None:
            host.read_peer(reader)
        elif not is_cut:
            others = [each for each in self.hosts if each is not host]
            host.read_store(self.store, self.draw.sample(others, 2))
        if is_cut:
            host.in_touch_since = now
        self.judge(now, host, before)
        self.at(now + TICK_S, self.tick, host)

    def judge(self, now, host, before):
        """Notes what a host should know, and what it has gone back in."""
        for key, version in before.items():
            if host.applied.get(key, 0) < version:
                self.wrong.append((now, host.name, key, "went back"))
        for key in KEYS:
            since = max(self.written_at[key], host.in_touch_since)
            is_late = now - since > KNOWN_S
            if is_late and host.applied.get(key) != self.versions[key]:
                self.wrong.append((now, host.name, key, "does not know"))


class RestoredTopicAtSizeTest(unittest.TestCase):
    def test_all_hosts_know_what_was_written_last(self):
        for (hosts, places), seed in itertools.product(SIZES, range(3)):
            with self.subTest(hosts=hosts, seed=seed):
                play = Play(hosts, places, seed)
                play.run()
                self.assertEqual(play.wrong[:3], [])
                self.assertGreater(play.store.era, 6)


if __name__ == "__main__":
    unittest.main()
