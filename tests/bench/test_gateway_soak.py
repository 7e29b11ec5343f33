"""A short soak of the gateway, and broken gateways it must find out.

Bounds in seconds are judged here only for some broken gateways: a machine that
is busy with other work may break them by itself.
"""

from concurrent import futures
import multiprocessing
import os
import pathlib
import random
from typing import NamedTuple
import unittest

from hillthread import errors
from hillthread.bench.gateway_soak import disturbances
from hillthread.bench.gateway_soak import runner
from tests.bench import mutant_gateway

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEED = 20261202
# Broken gateways at a time. While a soak's own process stands still it excuses
# its hosts, and more at once on a small machine leave little to be judged.
WORKERS = 2


# Bounds in seconds that are judged here, as broken gateways break them by far.
BOUNDS = (
    "key_kept",
    "old_weights",
    "budget",
    "quota",
    "limit",
    "drain",
    "backoff",
    "reach",
    "reconnect",
    "parts",
    "parts_lost",
    "retries",
)
VERSION_S = 2.0
# A tenth of what callers ask. Two hosts that each keep the whole of it send
# 20,000 tokens in a window, where limit, share and slack come to 21,000: that
# may be anything. Four send 40,000. Of a target's limit four send as much
# more than they may.
QUOTA_PER_S = 2_000.0
SHARED = ("quota", "limit")
# Enough callers have to reconnect.
MANY_CALLERS = (*SHARED, "reconnect", "parts_lost", "retries")
SHARING_HOSTS = 4
SHARING_CALLERS = 8
HOSTS = 2
# More of them keep the soak's own process busy, which then excuses hosts.
CALLERS = 3


# A mutant that shows itself ends its run; beside other work it may take long.
MUTANT_S = 120.0
MUTANT_START_S = 90.0


class Case(NamedTuple):
    """What a mutant needs to show itself, and the promise it breaks."""

    faults: str
    promise: str


MUTANTS = {
    "repeats_what_may_have_run": Case("target_misbehaves", "twice"),
    "ends_cut_streams_cleanly": Case("target_cuts_streams", "mixed"),
    "takes_orderly_ends_for_complete": Case(
        "target_truncates_streams", "mixed"
    ),
    "keeps_withdrawn_keys": Case("key_changes", "key_kept"),
    "shares_memory_between_weights": Case("weights_named", "stale"),
    "shares_memory_between_tenants": Case("host_reloads", "wall"),
    "orders_without_the_lease": Case("weights_named", "one"),
    "says_not_run_always": Case("target_misbehaves", "refused"),
    "passes_keys_on": Case("host_reloads", "key_passed_on"),
    "starts_on_any_weights": Case(
        "weights_named,engines_disobey", "old_weights"
    ),
    "sends_on_what_ends_targets": Case("request_ends_targets", "budget"),
    "ignores_releases": Case("target_cuts_streams", "release"),
    "refuses_all_reconnects": Case(
        "target_cuts_streams,target_truncates_streams", "reconnect"
    ),
    "keeps_a_quota_on_each_host": Case("key_changes", "quota"),
    "keeps_a_limit_on_each_host": Case("target_names_limit", "limit"),
    "ignores_announced_departures": Case("target_announces_departure", "drain"),
    "ignores_backoffs": Case("target_sheds_load", "backoff"),
    "ignores_the_era_of_the_store": Case(
        "key_changes,store_restored", "denied"
    ),
    "knows_whole_requests_only": Case("part_crashes_engines", "parts"),
    "holds_first_parts": Case("part_crashes_engines", "parts_lost"),
    "retries_without_a_budget": Case("targets_fail", "retries"),
    "matches_answers_by_shared_ids": Case("target_repeats_answers", "twice"),
    "forwards_nothing": Case("hosts_lose_targets", "reach"),
}


class GatewaySoakTest(unittest.TestCase):
    def test_short_soak_holds(self):
        report = runner.run_soak(
            runner.SoakPlan(SEED, seconds=8.0, strict_time=False)
        )
        self.assertEqual(report.violations, [])
        self.assertGreater(report.whole, 0)

    def test_unknown_fault_is_refused_with_those_there_are(self):
        with self.assertRaisesRegex(errors.HillthreadError, "host_killed"):
            disturber(1, ("no_such_fault",))


class DisturberTest(unittest.TestCase):
    def test_some_seeds_do_without_some_kinds(self):
        counts = {len(disturber(seed).faults) for seed in range(20)}
        whole = max(counts)
        self.assertEqual(counts, {whole, whole // 2})

    def test_chosen_kinds_are_all_there(self):
        only = ("host_killed", "weights_named")
        for seed in range(20):
            faults = disturber(seed, only).faults
            self.assertEqual(tuple(faults), only)


def disturber(seed, only=()):
    return disturbances.Disturber(None, random.Random(seed), None, only)


class MutantTest(unittest.TestCase):
    def test_soak_finds_out_broken_gateways(self):
        self.assertEqual(set(MUTANTS), set(mutant_gateway.MUTANTS))
        context = multiprocessing.get_context("spawn")
        with futures.ProcessPoolExecutor(WORKERS, context) as pool:
            found = dict(
                zip(MUTANTS, pool.map(broken_promises, MUTANTS), strict=True)
            )
        for mutant, case in MUTANTS.items():
            with self.subTest(mutant):
                self.assertIn(case.promise, found[mutant])


def broken_promises(mutant):
    """Returns the promises that a mutant broke; runs in its own process."""
    os.environ[mutant_gateway.VARIABLE] = mutant
    os.environ["PYTHONPATH"] = str(ROOT)
    case = MUTANTS[mutant]
    plan = runner.SoakPlan(
        SEED,
        seconds=MUTANT_S,
        hosts=SHARING_HOSTS if case.promise in SHARED else HOSTS,
        engines=4 if case.promise == "reconnect" else 3,
        callers=SHARING_CALLERS if case.promise in MANY_CALLERS else CALLERS,
        faults=tuple(case.faults.split(",")),
        strict_time=case.promise in BOUNDS,
        module="tests.bench.mutant_gateway",
        calm_s=0.5,
        version_s=VERSION_S,
        until_broken=case.promise,
        start_s=MUTANT_START_S,
        quota_per_s=QUOTA_PER_S if case.promise == "quota" else 20_000.0,
    )
    return {each.promise for each in runner.run_soak(plan).violations}
