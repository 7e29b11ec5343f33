"""Tests of the parsing and encoding of completion requests."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.protocol import openai

CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


def parse(value, chat=True):
    return openai.parse_completion(json.dumps(value).encode(), chat)


class ParseTest(unittest.TestCase):
    def test_salt_and_priority_of_callers_are_replaced(self):
        request = parse({**CHAT, "cache_salt": "x", "priority": -9})
        body = json.loads(openai.encode_upstream_body(request, "own", 3))
        self.assertEqual((body["cache_salt"], body["priority"]), ("own", 3))

    def test_usage_is_always_requested_in_streams(self):
        request = parse({**CHAT, "stream": True})
        body = json.loads(openai.encode_upstream_body(request, "", 0))
        self.assertTrue(body["stream_options"]["include_usage"])
        self.assertFalse(request.wants_usage)

    def test_continuation_has_text_and_remaining_tokens(self):
        request = parse({**CHAT, "stream": True, "max_tokens": 10})
        body = json.loads(
            openai.encode_continuation_body(request, "", 0, "ab", 4)
        )
        self.assertEqual(body["max_tokens"], 6)
        self.assertEqual(
            body["messages"][-1], {"role": "assistant", "content": "ab"}
        )
        self.assertTrue(body["continue_final_message"])
        self.assertEqual(len(request.body["messages"]), 1)

    def test_deep_nesting_is_rejected(self):
        deep = '{"model":"m","messages":' + "[" * 40 + "]" * 40 + "}"
        with self.assertRaises(errors.RefusalError) as caught:
            openai.parse_completion(deep.encode(), True)
        self.assertEqual(caught.exception.status, 400)
        self.assertEqual(caught.exception.run, errors.RunState.NOT_RUN)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.recursive(
                strategies.one_of(
                    strategies.none(),
                    strategies.integers(),
                    strategies.text(max_size=5),
                ),
                lambda inner: strategies.one_of(
                    strategies.lists(inner, max_size=3),
                    strategies.dictionaries(
                        strategies.sampled_from(
                            ["model", "messages", "prompt", "max_tokens",
                             "stream_options", "role", "content"]
                        ),
                        inner,
                        max_size=5,
                    ),
                ),
            ).map(lambda value: json.dumps(value).encode()),
        ),
        strategies.booleans(),
    )  # fmt: skip
    def test_any_body_is_parsed_or_rejected(self, raw, chat):
        try:
            openai.parse_completion(raw, chat)
        except errors.RefusalError as refusal:
            self.assertEqual(refusal.status, 400)
