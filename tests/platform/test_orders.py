"""Tests of orders to engines whose answers are repeated."""

import unittest

import anyio

from hillthread.platform import orders
from hillthread.standin import platform_target as standin
from hillthread.state.config import objects
from hillthread.transport import connection_pool


class RepeatedAnswerTest(unittest.TestCase):
    # Guards against taking a repeated report for the answer to an order.
    def test_report_is_no_answer_to_the_order_that_follows(self):
        async def scenario(engine, target, pool):
            await orders.read_report(pool, target)
            order = orders.WeightsOrder("m", 2, "queue", "h1", 1, 0)
            answer = await orders.send_order(pool, target, order)
            self.assertEqual(answer, orders.OrderAnswer.ACCEPTED)
            self.assertEqual(len(engine.orders), 1)

        self.run_with_engine(scenario, standin.AnswerKind.REPORT)

    # Guards against taking a repeated answer to an order for a report.
    def test_answer_to_an_order_is_no_report(self):
        async def scenario(engine, target, pool):
            order = orders.WeightsOrder("m", 2, "queue", "h1", 1, 0)
            await orders.send_order(pool, target, order)
            report = await orders.read_report(pool, target)
            self.assertIsNotNone(report)
            self.assertEqual(report.orders, len(engine.orders))

        self.run_with_engine(scenario, standin.AnswerKind.ORDER)

    def run_with_engine(self, scenario, repeated_kind):
        """Runs a scenario with an engine that repeats some answers."""

        async def run():
            engine = standin.PlatformTargetStandin("e0", "engines", "m")
            engine.surplus = standin.SurplusAnswers({repeated_kind}, 0.01)
            target = objects.Target(
                name=engine.name,
                address=engine.address,
                data_centre="here",
                models=["m"],
            )
            pool = connection_pool.ConnectionPool(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(engine.server.serve)
                await scenario(engine, target, pool)
                await pool.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
