"""Tests of the engine model."""

import random
import unittest

from hillthread.standin import engine_model

SHAPE = engine_model.EngineShape(cache_blocks=64, batch_tokens=64)


def job(name, text, salt="", tokens=2, priority=0):
    blocks = engine_model.block_hashes(text, salt, SHAPE.block_tokens)
    return engine_model.Job(name, blocks, len(text) // 4, tokens, priority)


def run_to_completion(model):
    done = []
    while model.busy():
        model.begin_step()
        done += [each.job_id for each in model.end_step().finished]
    return done


class EngineModelTest(unittest.TestCase):
    def setUp(self):
        self.model = engine_model.EngineModel(SHAPE)

    def test_second_prompt_hits_blocks_of_the_first(self):
        first, second = job("a", "x" * 640), job("b", "x" * 640 + "y" * 64)
        for each in (first, second):
            self.model.submit(each)
            run_to_completion(self.model)
        self.assertEqual(first.cached_tokens, 0)
        self.assertEqual(second.cached_tokens, 160)

    def test_prompts_with_different_salts_share_no_blocks(self):
        for name, salt in (("a", "o1"), ("b", "o2")):
            each = job(name, "x" * 640, salt)
            self.model.submit(each)
            run_to_completion(self.model)
            self.assertEqual(each.cached_tokens, 0)

    def test_jobs_run_by_priority_then_arrival(self):
        for name, priority in (("a", 1), ("b", 0), ("c", 1)):
            self.model.submit(job(name, name * 400, priority=priority))
        self.assertEqual(run_to_completion(self.model), ["b", "a", "c"])

    def test_memory_stays_bounded_and_all_jobs_finish(self):
        random_source = random.Random(3)
        names = set()
        for number in range(60):
            text = random_source.choice("abcdef") * random_source.randint(
                100, 2000
            )
            self.model.submit(job(str(number), text))
            names.add(str(number))
            self.model.begin_step()
            names -= {j.job_id for j in self.model.end_step().finished}
            self.assertLessEqual(
                self.model.cached_block_count(), SHAPE.cache_blocks
            )
        self.assertEqual(set(run_to_completion(self.model)), names)

    def test_cancel_frees_memory(self):
        self.model.submit(job("a", "x" * 2000, tokens=500))
        self.model.begin_step()
        self.model.end_step()
        self.assertTrue(self.model.cancel("a"))
        self.assertFalse(self.model.cancel("a"))
        self.model.clear_cache()
        self.assertEqual(self.model.cached_block_count(), 0)
