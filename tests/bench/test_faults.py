"""A seeded part of the fault matrix, and broken routers it must find out."""

from concurrent import futures
import contextlib
import io
import multiprocessing
import os
import pathlib
import unittest

from hillthread.bench import caller
from hillthread.bench.faults import checker
from hillthread.bench.faults import matrix
from hillthread.bench.faults import runner
from hillthread.standin import fault_proxy
from tests.bench import mutant_router

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEED = 20261202
WORKERS = 5
CELLS = {
    "retry_ignores_the_mark": "lose_answer/whole_once/once",
    "terminal_marker_not_checked": "truncate_clean/stream/once",
    "crossed_answers_accepted": "crossed_answer/stream/once",
    "always_says_not_run": "lose_answer/whole/always",
    "gaps_accepted": "drop_event/stream/once",
}


def cell(name):
    return next(each for each in matrix.data_cells() if each.name == name)


def violations(mutant):
    """Returns what the checker finds of a mutant; runs in its own process."""
    os.environ[mutant_router.VARIABLE] = mutant
    os.environ["PYTHONPATH"] = str(ROOT)
    with contextlib.redirect_stdout(io.StringIO()):
        (result,) = runner.run_data_cells(
            [cell(CELLS[mutant])], "tests.bench.mutant_router"
        )
    return result.violations


class FaultMatrixTest(unittest.TestCase):
    def test_sample_holds(self):
        report = runner.run_matrix(SEED, sample=10)
        broken = [each for each in report.results if each.violations]
        self.assertEqual(broken, [])
        self.assertEqual(len(report.results), 20)

    def test_every_fault_has_cells_or_a_reason(self):
        faults = {each.fault for each in matrix.data_cells()}
        self.assertEqual(faults, set(fault_proxy.FAULTS))
        for each in matrix.impossible_cells():
            self.assertTrue(each.why)


class MutantTest(unittest.TestCase):
    def test_checker_finds_out_broken_routers(self):
        self.assertEqual(set(CELLS), set(mutant_router.MUTANTS))
        context = multiprocessing.get_context("spawn")
        with futures.ProcessPoolExecutor(WORKERS, context) as pool:
            found = dict(zip(CELLS, pool.map(violations, CELLS), strict=True))
        for mutant in CELLS:
            with self.subTest(mutant):
                self.assertTrue(found[mutant])
                self.assertNotIn("the fault did not happen", found[mutant])

    def test_sound_router_passes_the_same_cells(self):
        cells = [cell(name) for name in CELLS.values()]
        results = runner.run_data_cells(cells)
        self.assertEqual([each.violations for each in results], [[]] * 5)


class JudgeTest(unittest.TestCase):
    def judge(self, promise=checker.Promise.TRUTHFUL, runs=1, **fields):
        answer = caller.Answer(**{"status": 200, **fields})
        entries = [{"attempt_id": "x"}] * runs
        return checker.judge(
            checker.Evidence(answer, "a b ", entries, False), promise
        )

    def test_whole_answers(self):
        whole = {"text": "a b ", "complete": True, "clean_end": True}
        self.assertEqual(self.judge(**whole), [])
        self.assertTrue(self.judge(**{**whole, "text": "a c "}))
        self.assertTrue(self.judge(**{**whole, "clean_end": False}))
        self.assertTrue(self.judge(**whole, runs=0))
        self.assertTrue(self.judge(**whole, runs=2))

    def test_broken_answers(self):
        error = {"code": "x", "run": "unknown"}
        self.assertEqual(self.judge(text="a ", error=error), [])
        self.assertTrue(self.judge(text="a "))
        self.assertTrue(self.judge(text="b ", error=error))
        self.assertTrue(self.judge(text="a ", error=error, clean_end=True))
        not_run = {**error, "run": "not_run"}
        self.assertTrue(self.judge(status=503, error=not_run))
        self.assertEqual(self.judge(status=503, error=not_run, runs=0), [])
        self.assertTrue(
            self.judge(checker.Promise.WHOLE, status=503, error=error)
        )
