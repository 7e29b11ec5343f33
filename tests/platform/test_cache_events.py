"""Tests of reading the events of caches."""

import unittest

import anyio
import msgspec

from hillthread import errors
from hillthread.platform import cache_events
from hillthread.state.config import caller_bounds
from hillthread.transport import connection_pool
from hillthread.transport import http1_server


def _page(epoch, position, numbers):
    events = [(number, "+", "salt", "aa", 96, "m") for number in numbers]
    return {"bootEpoch": epoch, "nextPageToken": position, "events": events}


class EarlierPageTest(unittest.TestCase):
    def read(self, page, epoch, position, headers=()):
        """Returns what a read returns that is answered with a page."""

        async def handle(caller, answer):
            self.sent = [name for name, _ in caller.headers]
            await answer.send_whole(
                200, list(headers), msgspec.json.encode(page)
            )

        async def run():
            server = http1_server.Server(
                ("127.0.0.1", 0),
                handle,
                caller_bounds.CallerBounds,
                lambda status, reason: None,
            )
            pool = connection_pool.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                try:
                    return await cache_events.read_events(
                        pool, server.address, epoch, position, 0.1
                    )
                except errors.LogError as error:
                    self.assertFalse(pool.idle.get(server.address))
                    return error
                finally:
                    await pool.close()
                    tasks.cancel_scope.cancel()

        return anyio.run(run)

    # Guards against targets that run a read as a request, since it has an id.
    def test_read_has_no_id(self):
        self.read(_page(7, 2, []), 7, 2)
        self.assertEqual(
            [name for name in self.sent if name == b"x-request-id"], []
        )

    def test_answer_to_a_request_is_rejected(self):
        id_header = (b"x-request-id", b"r1")
        result = self.read(_page(7, 3, [2]), 7, 2, [id_header])
        self.assertIsInstance(result, errors.LogError)

    # Guards against applying a late page a second time, after later ones.
    def test_page_of_an_earlier_read_is_rejected(self):
        for page in (
            _page(7, 2, [1, 2]),
            _page(7, 3, [2, 3]),
            _page(7, 1, []),
        ):
            with self.subTest(page=page):
                result = self.read(page, 7, 2)
                self.assertIsInstance(result, errors.LogError)

    def test_next_page_is_accepted(self):
        for page in (
            _page(7, 2, []),
            _page(7, 4, [3, 4]),
            _page(7, 9, [8, 9]),
            _page(8, 1, [1]),
        ):
            with self.subTest(page=page):
                result = self.read(page, 7, 2)
                self.assertEqual(result.position, page["nextPageToken"])

    def test_first_page_is_accepted(self):
        result = self.read(_page(7, 2, [1, 2]), None, 0)
        self.assertEqual(len(result.events), 2)


if __name__ == "__main__":
    unittest.main()
