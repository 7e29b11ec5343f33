"""Tests of scheduling with engines that get more than they can compute.

Compares four rules: `arrival`, engines in order of arrival and refusal when the
queue exceeds the aim; `refuse`, the same by urgency; `defer`, deferral; and
`fair`, deferral that depends on the use of organisations.
"""

import functools
import statistics
import unittest

from tests.state.scheduling import contention

LOADS = (1.0, 1.5, 2.0, 3.0)
SEEDS = range(3)
# Load without the burst in the test of fairness: with it, 1.125 of capacity.
FAIR_LOAD = 0.8
HEAVY_FACTOR = 7.5


@functools.cache
def run(rule, load, seed, heavy_factor=1.0):
    """Returns the prompts of a run."""
    return contention.Simulation(rule, load, seed, heavy_factor).run()


def mean_over_seeds(measure, *arguments):
    """Returns the mean of a measure of runs."""
    return statistics.mean(measure(run(*a)) for a in _each_seed(*arguments))


def _each_seed(rule, load, heavy_factor=1.0):
    return [(rule, load, seed, heavy_factor) for seed in SEEDS]


def worth_in_aim(prompts):
    """Returns the prompts served in aim, weighted by class."""
    return sum(each.kind.weight for each in prompts if each.is_in_aim)


def share_in_aim(prompts):
    """Returns the share of prompts served in aim."""
    return statistics.mean(each.is_in_aim for each in prompts)


def share_served(prompts):
    """Returns the share of prompts served before their callers left."""
    return statistics.mean(each.is_served for each in prompts)


def urgency_gap(prompts):
    """Returns by how much the less urgent class is in aim more often."""
    short, long = (
        share_in_aim([each for each in prompts if each.kind is kind])
        for kind in contention.KINDS
    )
    return long - short


def others(prompts):
    """Returns the prompts of all organisations but the heavy one."""
    return [each for each in prompts if each.organisation != "o0"]


def others_share_in_aim(prompts):
    """Returns the share in aim of all organisations but the heavy one."""
    return share_in_aim(others(prompts))


def find_faults(rule):
    """Returns the requirements that a rule does not meet."""
    faults = set()
    worth = [mean_over_seeds(worth_in_aim, rule, load) for load in LOADS]
    if worth != sorted(worth):
        faults.add("worth falls")
    if any(mean_over_seeds(urgency_gap, rule, load) > 0.05 for load in LOADS):
        faults.add("urgent class last")
    usual, burst = (
        mean_over_seeds(others_share_in_aim, rule, FAIR_LOAD, factor)
        for factor in (1.0, HEAVY_FACTOR)
    )
    if burst < usual - 0.02:
        faults.add("others suffer")
    return faults


class ContentionTest(unittest.TestCase):
    def test_deferral_with_fair_shares_meets_all_requirements(self):
        # Guards against throughput in time that collapses under load, urgent
        # prompts that are refused first, and a burst of one organisation that
        # makes others late.
        self.assertEqual(find_faults("fair"), set())

    def test_each_part_of_the_rule_is_needed(self):
        # Guards against a simulation in which every rule passes.
        self.assertEqual(
            find_faults("arrival"),
            {"worth falls", "urgent class last", "others suffer"},
        )
        for rule in ("refuse", "defer"):
            self.assertEqual(find_faults(rule), {"others suffer"})

    def test_deferral_serves_more_than_refusal_in_time(self):
        # Guards against deferred work that delays what could be in time.
        for load in LOADS:
            self.assertGreaterEqual(
                mean_over_seeds(worth_in_aim, "fair", load),
                mean_over_seeds(worth_in_aim, "refuse", load),
            )

    def test_abandoned_work_is_rare(self):
        # Guards against deferring prompts whose callers leave first.
        for load in LOADS:
            wasted = mean_over_seeds(
                lambda prompts: statistics.mean(
                    each.done_at is not None and not each.is_served
                    for each in prompts
                ),
                "fair",
                load,
            )
            self.assertLess(wasted, 0.01)

    def test_no_size_is_served_under_half_as_often_as_the_mean(self):
        # Guards against queues that only short prompts may join.
        for load in LOADS:
            for kind in contention.KINDS:
                prompts = [
                    each
                    for seed in SEEDS
                    for each in run("fair", load, seed)
                    if each.kind is kind
                ]
                prompts.sort(key=lambda each: each.seconds, reverse=True)
                tenth = len(prompts) // 10
                least = 0.5 * share_served(prompts)
                self.assertGreater(share_served(prompts[:tenth]), least)
                self.assertGreater(
                    share_served(prompts[tenth : 3 * tenth]), least
                )

    def test_no_organisation_or_class_starves(self):
        # Guards against one that is refused again and again: organisations get
        # half of the mean, classes a quarter. At 3 times the load, the short
        # prompts alone take half of the engines.
        for load, factor in (*((x, 1.0) for x in LOADS), (FAIR_LOAD, 7.5)):
            prompts = [
                each
                for seed in SEEDS
                for each in run("fair", load, seed, factor)
            ]
            mean = share_served(prompts)
            for name in {each.organisation for each in prompts}:
                own = [each for each in prompts if each.organisation == name]
                self.assertGreater(share_served(own), 0.5 * mean)
            for kind in contention.KINDS:
                own = [each for each in prompts if each.kind is kind]
                self.assertGreater(share_served(own), 0.25 * mean)


if __name__ == "__main__":
    unittest.main()
