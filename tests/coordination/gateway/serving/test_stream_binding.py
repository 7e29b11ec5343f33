"""Tests of binding one stream to the software that began it."""

import types
import unittest

from hillthread.coordination.gateway.serving import stream_binding
from hillthread.state.routing import stream_origin
from hillthread.transport import http1_client

V1 = stream_origin.StreamOrigin("pool", "v1")
V2 = stream_origin.StreamOrigin("pool", "v2")
UNKNOWN = stream_origin.StreamOrigin("pool", "")


class BindingTest(unittest.TestCase):
    def setUp(self):
        self.bound = []

    def make_binding(self, origin=None, resumable=True):
        request = types.SimpleNamespace(
            route=types.SimpleNamespace(resumable=resumable),
            stream_origin=origin,
        )
        return stream_binding.StreamBinding(request, self.bound.append)

    def test_first_event_binds_a_new_stream_once(self):
        binding = self.make_binding()
        binding.apply_first_event(V1)
        binding.apply_first_event(V1)
        self.assertEqual(binding.request.stream_origin, V1)
        self.assertEqual(self.bound, [binding.request])

    # Guards against relaying a run of another release or of another pool.
    def test_run_of_other_software_is_rejected(self):
        for origin in (V2, UNKNOWN, V1._replace(pool="other")):
            with self.assertRaises(http1_client.CallError):
                self.make_binding(V1).apply_first_event(origin)

    def test_stream_of_unknown_origin_is_never_continued(self):
        binding = self.make_binding()
        binding.apply_first_event(UNKNOWN)
        with self.assertRaises(http1_client.CallError):
            binding.apply_first_event(UNKNOWN)

    def test_streams_of_other_routes_are_not_bound(self):
        binding = self.make_binding(resumable=False)
        binding.apply_first_event(V1)
        binding.apply_first_event(V2)
        self.assertIsNone(binding.request.stream_origin)
        self.assertEqual(self.bound, [])
