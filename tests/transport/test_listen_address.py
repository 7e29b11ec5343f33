"""Tests the wait for addresses on which a process cannot listen yet."""

import socket
import unittest

import anyio

from hillthread import errors
from hillthread.transport import listen_address


class ListenAddressTest(unittest.TestCase):
    def test_free_addresses_are_not_waited_for(self):
        with anyio.from_thread.start_blocking_portal() as portal:
            portal.call(listen_address.wait_until_free, [("127.0.0.1", 0)] * 2)

    def test_waits_until_the_holder_ends(self):
        async def run(holder):
            async with anyio.create_task_group() as tasks:
                with anyio.fail_after(5.0):
                    tasks.start_soon(release, holder)
                    await listen_address.wait_until_free([holder.getsockname()])
            return holder.fileno()

        async def release(holder):
            await anyio.sleep(0.3)
            holder.close()

        with socket.create_server(("127.0.0.1", 0)) as holder:
            self.assertEqual(anyio.run(run, holder), -1)

    def test_address_of_no_interface_is_waited_for(self):
        async def run():
            with anyio.move_on_after(0.1) as scope:
                await listen_address.wait_until_free([("192.0.2.1", 80)])
            return scope.cancelled_caught

        self.assertTrue(anyio.run(run))

    def test_invalid_address_is_refused(self):
        with self.assertRaises(errors.SettingsError):
            anyio.run(listen_address.wait_until_free, [("999.0.0.1", 80)])


if __name__ == "__main__":
    unittest.main()
