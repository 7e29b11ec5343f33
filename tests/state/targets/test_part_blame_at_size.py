"""Tests of finding deadly parts on 8, 90 and 420 hosts, in virtual time."""

import heapq
import itertools
import random
import unittest

from hillthread.state.targets import part_blame
from hillthread.state.targets import quarantine
from hillthread.state.targets import request_features

# Hosts, engines, sound and deadly prompts a second.
_SIZES = ((8, 5, 30.0, 4.0), (90, 60, 300.0, 4.0), (420, 300, 1_200.0, 4.0))
_MAX_CRASHES = 5
_MAX_LATE_ARRIVALS = 3
_CONTACT_S = 3.0
_SOUND_SHARE = 0.9
# Time from sending a prompt until its first event, and until its end.
_FIRST_EVENT_S = 0.25
_ANSWER_S = 0.6
# Time until the host whose connection was lost knows of the crash, and until
# its notices reach the others.
_CONFIRM_S = 0.02
_NOTICE_S = 0.01
_RESEND_DELAYS_S = (0.0, 0.1, 0.3)
_RESTART_S = 3.0
_MAX_WAIT_S = 0.3


class Host:
    """What one host knows."""

    def __init__(self):
        self.records = quarantine.Quarantine()
        self.blame = part_blame.PartBlame(self.records)


class Fleet:
    """Hosts, engines and prompts; each engine crashes under deadly parts.

    Attributes:
        now: Virtual time, seconds.
        hosts: All hosts.
        crashed_at: When engines crashed.
        served: Sound prompts answered, with when they came.
        failed: Sound prompts refused or cut, with when they came.
    """

    def __init__(self, host_count, engine_count, deadly, loss=0.0, seed=0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.deadly = deadly
        self.hosts = [Host() for _ in range(host_count)]
        self.engines = dict.fromkeys(range(engine_count), 0.0)
        self.incarnations = itertools.count(1)
        self.names = {e: next(self.incarnations) for e in self.engines}
        self.open = {e: {} for e in self.engines}
        self.crashed_at = []
        self.served = []
        self.failed = []
        self._events = []
        self._numbers = itertools.count()

    def at(self, delay_s, action, *args):
        """Schedules an action."""
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now + delay_s, number, action, args))

    def run(self, seconds):
        """Runs all actions of some time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def arrive(self, rate, make_parts, is_regular=False):
        """Sends prompts at random hosts for ever."""
        parts = make_parts()
        number = next(self._numbers)
        features = request_features.RequestFeatures(
            f"digest{number}",
            tuple(request_features.encode_part_key(p, "t") for p in parts),
        )
        self.send(self.random.choice(self.hosts), features, parts, self.now)
        pause_s = 1.0 / rate if is_regular else self.random.expovariate(rate)
        self.at(pause_s, self.arrive, rate, make_parts, is_regular)

    def send(self, host, features, parts, arrived):
        """Sends a prompt to an engine if its host admits it."""
        is_deadly = any(part in self.deadly for part in parts)
        verdict = host.blame.judge(features, self.now)
        up = [e for e, since in self.engines.items() if since <= self.now]
        names = ()
        match verdict:
            case part_blame.Blamed(name, _, held_s):
                names = (name,)
                if held_s:
                    return self.end(is_deadly, arrived, self.failed)
            case part_blame.Suspected(names, tried_for_s):
                if tried_for_s:
                    if self.now - arrived > _MAX_WAIT_S:
                        return self.end(is_deadly, arrived, self.failed)
                    return self.at(
                        0.02, self.send, host, features, parts, arrived
                    )
        if not up:
            return self.end(is_deadly, arrived, self.failed)
        engine = self.random.choice(up)
        if names:
            engine = min(up, key=lambda each: len(self.open[each]))
            host.blame.begin_trial(names, self.now)
            self.notify(
                host, lambda other: other.blame.begin_trial(names, self.now)
            )
        number = next(self._numbers)
        self.open[engine][number] = (host, features, is_deadly, arrived, None)
        name = self.names[engine]
        self.at(_FIRST_EVENT_S, self.begin, engine, name, number)
        return None

    def end(self, is_deadly, arrived, outcomes):
        """Counts the outcome of a sound prompt."""
        if not is_deadly:
            outcomes.append(arrived)

    def begin(self, engine, name, number):
        """An engine begins to write an answer."""
        if self.names[engine] != name:
            return
        host, features, is_deadly, arrived, _ = self.open[engine][number]
        if is_deadly:
            self.crash(engine)
            return
        entry = (host, features, is_deadly, arrived, self.now)
        self.open[engine][number] = entry
        self.at(part_blame.SURVIVAL_S, self.survive, engine, name, number)
        self.at(_ANSWER_S - _FIRST_EVENT_S, self.answer, engine, name, number)

    def survive(self, engine, name, number):
        """Clears the parts of a prompt whose answer goes on."""
        if self.names[engine] != name or number not in self.open[engine]:
            return
        host, features, _, _, begun = self.open[engine][number]
        for clearing in host.blame.record_answer(features, begun):

            def clear(other, clearing=clearing):
                key, last_crash = clearing
                other.records.apply_disproof(key, last_crash, self.now)

            self.notify(host, clear)

    def answer(self, engine, name, number):
        """An engine ends an answer."""
        if self.names[engine] != name:
            return
        self.survive(engine, name, number)
        _, _, is_deadly, arrived, _ = self.open[engine].pop(number)
        self.end(is_deadly, arrived, self.served)

    def crash(self, engine):
        """Crashes an engine with all that is open on it."""
        self.crashed_at.append(self.now)
        name = self.names[engine]
        for host, features, is_deadly, arrived, begun in self.open[
            engine
        ].values():
            self.end(is_deadly, arrived, self.failed)
            keys = (features.digest, *features.part_keys)
            if begun is not None and self.now - begun >= part_blame.SURVIVAL_S:
                keys = (features.digest,)
            self.at(_CONFIRM_S, self.report, host, keys, name)
        self.open[engine].clear()
        self.names[engine] = next(self.incarnations)
        self.engines[engine] = self.now + _RESTART_S

    def report(self, host, keys, name):
        """A host records a crash and notifies all others."""

        def record(other):
            for key in keys:
                other.records.record_crash(key, name, self.now)

        record(host)
        self.notify(host, record)

    def notify(self, sender, apply):
        """Has other hosts apply a notice, which may get lost."""
        for host in self.hosts:
            if host is sender:
                continue
            for delay_s in _RESEND_DELAYS_S:
                if self.random.random() >= self.loss:
                    self.at(_NOTICE_S + delay_s, apply, host)
                    break

    def restart_hosts(self, count):
        """Replaces hosts; new ones know what the store has."""
        known = [
            (key, name)
            for key, record in self.hosts[0].records._records.items()
            if len(record.crashed) >= quarantine.CULPRIT_MIN_CRASHES
            for name in record.crashed
        ]
        for index in range(count):
            self.hosts[index] = Host()
            for key, name in known:
                self.hosts[index].records.record_crash(key, name, self.now)

    def late_arrivals(self):
        """Returns the crashes long after the fifth one."""
        if len(self.crashed_at) < _MAX_CRASHES:
            return 0
        bound = self.crashed_at[_MAX_CRASHES - 1] + _CONTACT_S
        return sum(at > bound for at in self.crashed_at)

    def served_share(self, since, until):
        """Returns the share of sound prompts that were answered."""
        served, failed = (
            sum(since <= at < until for at in times)
            for times in (self.served, self.failed)
        )
        return served / max(1, served + failed)


def make_sound(rng, rare_count):
    """Returns a maker of the parts of sound prompts."""
    return lambda: ("first", f"rare{rng.randrange(rare_count)}")


class FleetSizeTest(unittest.TestCase):
    def run_fleet(self, size, deadly_layouts, rare_count=104, **options):
        host_count, engine_count, sound_per_s, deadly_per_s = size
        deadly = {"bad", "bad2"}
        fleet = Fleet(host_count, engine_count, deadly, **options)
        layouts = itertools.cycle(deadly_layouts)
        fleet.arrive(sound_per_s, make_sound(fleet.random, rare_count))
        fleet.run(5.0)
        fleet.arrive(deadly_per_s, lambda: next(layouts), is_regular=True)
        return fleet

    def check(self, fleet, max_crashes=_MAX_CRASHES):
        seen = (len(fleet.crashed_at), fleet.late_arrivals())
        self.assertGreaterEqual(seen[0], 1)
        self.assertLessEqual(seen[0], max_crashes, seen)
        self.assertLessEqual(seen[1], _MAX_LATE_ARRIVALS, seen)
        share = fleet.served_share(fleet.now - 6.0, fleet.now - 1.0)
        self.assertGreaterEqual(share, _SOUND_SHARE, seen)

    def test_part_is_held_on_all_hosts(self):
        for size in _SIZES:
            for layouts in (
                [("first", "bad")],
                [("bad", "x"), ("bad", "y")],
                [("first", "bad"), ("bad", "first"), ("x", "first", "bad")],
            ):
                for seed in range(4 if size[0] < 400 else 1):
                    with self.subTest(size=size[0], layouts=layouts, seed=seed):
                        fleet = self.run_fleet(size, layouts, seed=seed)
                        fleet.run(15.0 if size[0] < 400 else 6.0)
                        self.check(fleet)

    # Guards against hosts that miss the notices of a crash.
    def test_lost_notices_cost_no_further_engines(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.run_fleet(
                    _SIZES[1], [("first", "bad")], loss=0.3, seed=seed
                )
                fleet.run(15.0)
                self.check(fleet)

    def test_restarted_hosts_hold_the_part(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.run_fleet(_SIZES[0], [("first", "bad")], seed=seed)
                fleet.run(6.0)
                fleet.restart_hosts(7)
                fleet.run(9.0)
                self.check(fleet, _MAX_CRASHES + 1)

    def test_two_parts_are_held(self):
        for size in _SIZES[:2]:
            for seed in range(4):
                with self.subTest(size=size[0], seed=seed):
                    fleet = self.run_fleet(
                        size, [("first", "bad"), ("first", "bad2")], seed=seed
                    )
                    fleet.run(15.0)
                    self.check(fleet, 2 * _MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
