"""Tests of the adapter's decoders with valid, invalid and random input."""

import email.utils
import time
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from hillthread import errors
from hillthread.platform import attempts
from hillthread.platform import configuration
from hillthread.platform import log_pages
from hillthread.platform import names
from hillthread.platform import targets
from hillthread.state.cluster import position
from hillthread.state.config import objects
from hillthread.state.routing import attempt_plan
from hillthread.transport import http1_client
from tests.coordination.gateway import scene

_json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["version", "routes", "services", "model", "address", "name"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
_settings = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None
)


class RecordTest(unittest.TestCase):
    def test_configuration_is_decoded_into_objects(self):
        raw = {
            "version": 7,
            "routes": [
                scene.route(
                    "r",
                    "/a/",
                    "streaming",
                    "",
                    resumable=True,
                    trafficSplit=[
                        {"service": "x", "weight": 90},
                        {"service": "y", "weight": 10},
                    ],
                )
            ],
            "services": [
                {
                    "name": "x",
                    "engine": {"models": [{"name": "m"}], "kvTokenBytes": 9},
                },
                {"name": "y", "newField": 1},
                {
                    "name": "k",
                    "kvStoreAddr": "10.0.0.1:1",
                    "zone": "z",
                    "linkMbps": 8,
                },
            ],
            "limits": {"maxHeaderBytes": 99, "idleTimeoutMs": 1500},
            "tenants": [{"name": "t", "apiKeys": ["a"], "isolated": True}],
        }
        decoded = configuration.decode_configuration(msgspec.json.encode(raw))
        table = decoded.build_routing_table()
        self.assertEqual(decoded.version, 7)
        self.assertEqual(decoded.bounds.max_head_bytes, 99)
        self.assertEqual(decoded.bounds.idle_timeout_s, 1.5)
        route = table.index.find("callers.example:80", "/a/b/c")
        self.assertTrue(route.repeatable and route.streaming)
        parts = table.pool_shares(route)
        self.assertEqual(
            [(part.pool.name, part.weight) for part in parts],
            [("x", 90), ("y", 10)],
        )
        self.assertEqual(table.find_tenant_by_key("a").organisation, "tenant:t")
        self.assertEqual(table.cache_stores[0].address, "10.0.0.1:1")
        self.assertEqual(table.cache_stores[0].link_bytes_per_s, 1e6)
        self.assertEqual(parts[0].pool.cache_token_bytes, 9)
        self.assertEqual([p.name for p in table.pools_serving("m")], ["x"])

    def decode_organisations(self, *isolated, names=("a", "b", "c")):
        """Returns the organisations of tenants."""
        raw = {
            "version": 1,
            "routes": [],
            "services": [],
            "tenants": [
                {"name": name, "apiKeys": [name], "isolated": name in isolated}
                for name in names
            ],
        }
        decoded = configuration.decode_configuration(msgspec.json.encode(raw))
        table = decoded.build_routing_table()
        return [table.find_tenant_by_key(name).organisation for name in names]

    # Guards against the use of what a tenant has sent before it became
    # isolated.
    def test_tenants_share_less_when_one_becomes_isolated(self):
        first, second, third = self.decode_organisations()
        self.assertTrue(first == second == third)
        alone, *others = self.decode_organisations("a")
        self.assertEqual(alone, "tenant:a")
        self.assertEqual(others[0], others[1])
        self.assertNotEqual(others[0], first)
        self.assertEqual(others, self.decode_organisations("a")[1:])
        self.assertNotIn(self.decode_organisations("b")[0], (first, others[0]))

    # Guards against an isolated tenant whose name is that of a shared scope.
    def test_name_of_an_isolated_tenant_opens_no_shared_scope(self):
        shared = self.decode_organisations(names=("a", "b"))[0]
        for name in ("public", shared):
            alone, other = self.decode_organisations(name, names=(name, "b"))
            self.assertNotIn(alone, ("public", shared, other))

    # Guards against scopes of two tenants that are spelt alike.
    def test_names_and_models_with_separators_have_scopes_of_their_own(self):
        first, second = self.decode_organisations(
            "a", "a/m", names=("a", "a/m")
        )
        self.assertNotEqual(
            attempt_plan.cache_scope(first, "m/n", 1),
            attempt_plan.cache_scope(second, "n", 1),
        )

    # Guards against a header of several lines.
    def test_scope_of_any_name_is_one_line_of_ascii(self):
        (scope,) = self.decode_organisations(
            "a\nb \u00e9", names=["a\nb \u00e9"]
        )
        self.assertTrue(scope.isascii() and scope.isprintable())

    # Guards against isolated tenants whose names join to the same text.
    def test_names_with_line_breaks_change_the_shared_scope(self):
        names = ("a\nb", "a", "b", "c")
        first = self.decode_organisations("a\nb", names=names)[-1]
        second = self.decode_organisations("a", "b", names=names)[-1]
        self.assertNotEqual(first, second)

    def decode_quota(self, **fields):
        """Returns the quota decoded from a tenant with these fields."""
        tenant = {"name": "t", "apiKeys": ["a"], **fields}
        raw = {"version": 1, "routes": [], "services": [], "tenants": [tenant]}
        decoded = configuration.decode_configuration(msgspec.json.encode(raw))
        return decoded.build_routing_table().find_tenant_by_key("a").quota

    def test_quotas_are_decoded(self):
        quota = self.decode_quota(
            ratePerS=605.5, burst=600, unit="token_stream", plainTokens=200
        )
        self.assertEqual(quota.rate_per_s, 605.5)
        self.assertEqual(quota.burst, 600.0)
        self.assertEqual(quota.unit, objects.QuotaUnit.TOKENS)
        self.assertEqual(quota.plain_tokens, 200.0)
        quota = self.decode_quota(ratePerS=2)
        self.assertEqual(quota.unit, objects.QuotaUnit.REQUESTS)
        self.assertEqual(quota.burst, 0.0)
        self.assertIsNone(self.decode_quota())
        self.assertIsNone(self.decode_quota(ratePerS=0, burst=5))
        self.assertIsNone(self.decode_quota(ratePerS=None, burst=None))

    def test_unreadable_quota_is_logged_and_sets_no_limit(self):
        for fields in (
            {"ratePerS": -1},
            {"ratePerS": 1e300},
            {"ratePerS": "many"},
            {"ratePerS": 5, "burst": -1},
            {"ratePerS": 5, "unit": "bushels"},
            {"ratePerS": 5, "unit": ["token_stream"]},
            {"ratePerS": 5, "plainTokens": -2},
            {"ratePerS": {"a": 1}},
        ):
            with (
                self.subTest(fields),
                self.assertLogs("hillthread.site") as log,
            ):
                self.assertIsNone(self.decode_quota(**fields))
                self.assertEqual(log.records[0].event, "bad_quota")

    def test_token_counts_are_added_or_ignored(self):
        for text, counted in (
            (b"9190,7", 9_197),
            (b" 0 , 0 ", 0),
            (b"", None),
            (b"12", None),
            (b"12,", None),
            (b"-5,10", None),
            (b"5,1e3", None),
            (b"\xb2,1", None),
            (b"9" * 5_000 + b",1", None),
            (b"9" * 15 + b"," + b"9" * 15, 2 * (10**15 - 1)),
        ):
            with self.subTest(text[:20]):
                prompt = attempts.decode_prompt([(names.TOKEN_COUNTS, text)])
                self.assertEqual(prompt.counted_tokens, counted)

    def test_prompt_parts_without_a_number_are_skipped(self):
        text = b"aa:\xb2,bb:" + b"9" * 5_000 + b",:3,cc:7"
        prompt = attempts.decode_prompt([(names.PROMPT_PARTS, text)])
        self.assertEqual(prompt.parts, (attempts.PromptPart("cc", 7),))

    @_settings
    @hypothesis.given(strategies.binary(max_size=60) | _json_values)
    def test_any_record_is_decoded_or_rejected(self, value):
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        for decode in (
            configuration.decode_configuration,
            configuration.decode_weights,
            lambda payload: targets.decode_entry("i", payload),
            targets.decode_report,
        ):
            try:
                decode(raw)
            except errors.ConfigurationError as error:
                self.assertTrue(error.remedy)

    @_settings
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=30), max_size=6),
        strategies.integers(0, 200),
    )
    def test_log_page_is_decoded_or_rejected(self, payloads, cut):
        raw = (9).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for payload in payloads:
            raw += len(payload).to_bytes(4, "big") + payload
        start = position.Position(2, 3)
        page = log_pages.parse_page(raw, start)
        self.assertEqual(page.end, position.Position(2, 9))
        self.assertEqual([r.payload for r in page.records], payloads)
        self.assertEqual(
            [r.position for r in page.records],
            [position.Position(2, 3 + n) for n in range(len(payloads))],
        )
        try:
            cut_page = log_pages.parse_page(raw[:cut], start)
        except errors.LogError:
            return
        found = [r.payload for r in cut_page.records]
        self.assertEqual(found, payloads[: len(found)])

    @_settings
    @hypothesis.given(strategies.binary(max_size=20))
    def test_keyed_record_is_decoded_or_rejected(self, payload):
        record = log_pages.LogRecord(position.Position(0, 5), payload)
        try:
            keyed = log_pages.parse_keyed_record(record)
        except errors.LogError:
            return
        self.assertEqual(len(payload), 1 + payload[0] + len(keyed.value))


class AttemptTest(unittest.TestCase):
    def plan(self, **changes):
        target = objects.Target(
            name="i-1", address="10.0.0.1:1", data_centre="z"
        )
        return attempt_plan.AttemptPlan(target, "t", 1.5)._replace(**changes)

    def test_reserved_headers_of_callers_are_dropped(self):
        caller_headers = [
            (b"x-hold", b"1"),
            (b"x-kv-fetch", b"10.0.0.9:1"),
            (b"x-expect-other", b"1"),
            (b"x-cache-salt", b"mine"),
            (b"x-tenant", b"other"),
            (b"kv-from", b"x"),
            (b"x-deadline-ms", b"99999"),
            (b"authorization", b"Bearer k"),
            (b"connection", b"x-drop, x-model"),
            (b"x-drop", b"1"),
            (b"x-model", b"m"),
            (b"x-pass", b"1"),
        ]
        plan = self.plan(model="m", weights_version=3, organisation="o")
        sent = dict(attempts.encode_attempt(caller_headers, plan))
        self.assertEqual(
            sent,
            {
                b"x-model": b"m",
                b"x-pass": b"1",
                b"x-deadline-ms": b"1500",
                b"x-expect-instance": b"i-1",
                b"x-tenant": b"t",
                b"x-expect-version": b"3",
                b"x-cache-salt": b"o/m/3",
            },
        )

    def test_salt_differs_by_weights_and_organisation(self):
        salts = {
            dict(
                attempts.encode_attempt(
                    [],
                    self.plan(
                        model="m",
                        weights_version=version,
                        organisation=owner,
                    ),
                )
            )[names.CACHE_SALT]
            for version in (1, 2)
            for owner in ("a", "b")
        }
        self.assertEqual(len(salts), 4)

    def test_limit_of_a_target_is_a_rate_or_none(self):
        for text, limit in (
            (b"1.5", 1.5),
            (b"0", 0.0),
            (b" 20 ", 20.0),
            (b"", None),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"1e999", None),
            (b"many", None),
            (b"9" * 400, None),
        ):
            with self.subTest(text=text):
                head = http1_client.AnswerHead(
                    200, [(names.TARGET_LIMIT, text)]
                )
                meaning = attempts.decode_answer(head)
                self.assertEqual(meaning.limit_per_s, limit)

    def test_backoff_needs_a_503_with_a_finite_time(self):
        for status, text, backoff_s in (
            (503, b"3", 3.0),
            (503, b" 0.25 ", 0.25),
            (503, b"", 0.0),
            (503, b"-1", 0.0),
            (503, b"inf", 0.0),
            (503, b"nan", 0.0),
            (503, b"Fri, 31 Dec 1999 23:59:59 GMT", 0.0),
            (503, b"Fri, 99 Dec 1999 23:59:59 GMT", 0.0),
            (503, b"soon", 0.0),
            (503, b"9" * 400, 0.0),
            (429, b"3", 0.0),
            (200, b"3", 0.0),
        ):
            with self.subTest(status=status, text=text):
                head = http1_client.AnswerHead(
                    status, [(names.RETRY_AFTER, text)]
                )
                meaning = attempts.decode_answer(head)
                self.assertEqual(meaning.backoff_s, backoff_s)

    def test_backoff_is_read_from_a_date(self):
        date = email.utils.formatdate(time.time() + 90.0, usegmt=True)
        head = http1_client.AnswerHead(
            503, [(names.RETRY_AFTER, date.encode())]
        )
        backoff_s = attempts.decode_answer(head).backoff_s
        self.assertAlmostEqual(backoff_s, 90.0, delta=5.0)

    def test_departure_is_read_from_header(self):
        for headers, is_leaving in (
            ([], False),
            ([(names.TARGET_LEAVING, b"1")], True),
            ([(names.TARGET_LEAVING, b" 1 ")], True),
            ([(names.TARGET_LEAVING, b"0")], False),
            ([(names.TARGET_LEAVING, b"")], False),
        ):
            with self.subTest(headers=headers):
                head = http1_client.AnswerHead(200, headers)
                meaning = attempts.decode_answer(head)
                self.assertEqual(meaning.is_leaving, is_leaving)

    @_settings
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [
                        names.TARGET_LEAVING,
                        names.TARGET_LIMIT,
                        names.TOKEN_COUNTS,
                        names.PROMPT_PARTS,
                        names.MODEL,
                        names.RETRY_AFTER,
                        names.WEIGHTS_VERSION,
                    ]
                ),
                strategies.binary(max_size=12),
            ),
            max_size=5,
        )
    )
    def test_any_header_value_is_tolerated(self, headers):
        attempts.decode_prompt(headers)
        meaning = attempts.decode_answer(http1_client.AnswerHead(503, headers))
        self.assertGreaterEqual(meaning.backoff_s, 0.0)

    def test_changed_weights_are_read_from_event(self):
        raw = b"x-weight-versions: 4\nid: 1\ndata: x\n\n"
        self.assertEqual(attempts.parse_event_weights(raw), 4)
        self.assertIsNone(attempts.parse_event_weights(b"id: 1\ndata: x\n\n"))
