"""Tests of a host that was suspended: its steady clock left that time out.

Seen: a host that was suspended for 8 s while the store fell silent served a key
that had been withdrawn meanwhile, 24 requests of 24, though keys may be trusted
for 6 s at most.

Cause: all ages were counted on the steady clock, which stands still while a
host is suspended; the boot clock goes on. A stopped process does not show it:
there both clocks go on. Here the one clock is moved ahead of the other.
"""

import contextlib
import time
import unittest
from unittest import mock

from tests.coordination.gateway import scene as scene_lib

SUSPENDED_S = 8.0


@contextlib.contextmanager
def suspended(seconds=SUSPENDED_S):
    """Has the boot clock go ahead of the steady one, as on waking."""
    read = time.clock_gettime

    def ahead(clock):
        return read(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    with mock.patch.object(time, "clock_gettime", ahead):
        yield


class SuspendedHostTest(unittest.TestCase):
    def test_withdrawn_key_is_not_served_on_waking(self):
        async def story(scene):
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            scene.store_link.silence()
            scene.configure(tenants=[{"name": "tenant-two", "apiKeys": []}])
            with suspended():
                for _ in range(5):
                    answer = await scene.call(scene.request("/again/x"))
                    self.assertEqual(answer.head.status, 503)
            self.assertEqual(len(scene.runs()), 1)

        scene_lib.play(story, linked=True, revoke_ms=6000)
