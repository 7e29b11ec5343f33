"""Tests of the command line of `hillthread-bench`."""

import unittest
from unittest import mock

import fire

from hillthread.bench.gateway_soak import series
from hillthread.programs import bench


def _soak_plans(*arguments):
    """Returns the soak plans that a command line would run."""
    with mock.patch.object(series, "run_series") as run_series:
        fire.Fire(bench.gateway_soak, list(arguments))
    (plans,) = run_series.call_args.args
    return list(plans)


class GatewaySoakCommandTest(unittest.TestCase):
    def test_kinds_of_faults_are_separated_by_commas(self):
        for arguments, faults in (
            ([], ()),
            (["--faults=host_killed"], ("host_killed",)),
            (
                ["--faults=host_killed,key_changes"],
                ("host_killed", "key_changes"),
            ),
        ):
            with self.subTest(arguments):
                (plan,) = _soak_plans(*arguments)
                self.assertEqual(plan.faults, faults)

    def test_each_seed_has_its_plan(self):
        plans = _soak_plans("--seed=5", "--seeds=3")
        self.assertEqual([plan.seed for plan in plans], [5, 6, 7])
