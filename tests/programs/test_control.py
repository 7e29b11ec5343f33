"""Tests of state shared by hosts, with real processes and a failing log."""

import json
import unittest

import anyio
import httpx

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes
from hillthread.bench import site as site_lib
from hillthread.protocol import messages
from hillthread.transport import link

POLICY = {"kind": "policy", "name": "p", "recompute_weight": 1.0}
CHAT = [{"role": "user", "content": "hello " * 50}]


def once_headers(key):
    """Returns the headers of a request that must run at most once."""
    return {"x-hillthread-repeatable": "false", "idempotency-key": key}


class ControlTest(unittest.IsolatedAsyncioTestCase):
    """Tests share two data centres of two hosts; each has its own objects."""

    @classmethod
    def setUpClass(cls):
        cls.group = cls.enterClassContext(processes.ProcessGroup())
        cls.site = site_lib.Site(cls.group, 2, 2, 1)
        anyio.run(cls._start)

    @classmethod
    async def _start(cls):
        await cls.site.start()
        answers = await cls.site.publish(cls.site.objects(["o1"]))
        await cls.site.wait_position(answers[-1]["offset"])
        await cls.site.close()

    async def asyncSetUp(self):
        self.site.client = httpx.AsyncClient(trust_env=False, timeout=15.0)
        self.addAsyncCleanup(self.site.close)
        self.addAsyncCleanup(self.clear_log_faults)

    async def clear_log_faults(self):
        await self.set_log_faults(down=False, slow_s=0, lose_answers=0)

    async def set_log_faults(self, **faults):
        await self.site.control_standin(self.site.log, faults)

    async def put(self, value, host=0, **fields):
        admin = self.site.hosts[host].admin
        body = {"object": value, **fields}
        return await self.site.call(admin, "PUT", "/v1/objects", body)

    async def test_change_reaches_and_is_reported_by_every_host(self):
        answer = await self.put({**POLICY, "name": "everywhere"}, host=3)
        await self.site.wait_position(answer["offset"])
        admin = self.site.hosts[0].admin
        for host in self.site.hosts:
            found = await self.site.call(
                host.admin, "GET", "/v1/objects/policy/everywhere"
            )
            self.assertEqual(found["version"], answer["version"])

        async def is_reported():
            status = await self.site.call(admin, "GET", "/v1/status")
            positions = status["positions"].values()
            return len(positions) == 4 and set(positions) == {
                status["position"]
            }

        await site_lib.wait_until(is_reported)

    async def test_one_of_several_concurrent_changes_is_accepted(self):
        answers = []

        async def put_concurrently(host):
            value = {**POLICY, "name": "raced", "order": host}
            answers.append(await self.put(value, host, expected_version=0))

        async with anyio.create_task_group() as group:
            for host in range(4):
                group.start_soon(put_concurrently, host)
        accepted = [each for each in answers if "offset" in each]
        refused = [each["error"]["code"] for each in answers if "error" in each]
        self.assertEqual(len(accepted), 1)
        self.assertEqual(refused, ["version_conflict"] * 3)

    async def test_lost_append_answer_is_resolved_by_reading(self):
        await self.set_log_faults(lose_answers=1)
        answer = await self.put({**POLICY, "name": "lost-answer"})
        self.assertIn("offset", answer)
        outcome = await self.site.call(
            self.site.hosts[1].admin, "GET",
            f"/v1/outcomes/{answer['record_id']}",
        )  # fmt: skip
        self.assertEqual(outcome["offset"], answer["offset"])

    async def test_log_down_refuses_changes_and_serves_requests(self):
        await self.set_log_faults(down=True)
        refused = await self.put({**POLICY, "name": "down"})
        self.assertEqual(refused["error"]["code"], "outcome_unknown")
        caller = caller_lib.Caller(
            self.site.hosts[0].callers, deployment.tenant_key("o1")
        )
        answer = await caller.ask(CHAT, 3)
        await caller.close()
        self.assertTrue(answer.complete)

    async def test_host_restarted_without_the_log_uses_a_peer(self):
        await self.set_log_faults(down=True)
        host = self.site.hosts[1]
        before = await self.site.position(host)
        host.kill()
        self.site.start_control(host)
        self.site.start_router(host)
        await self.site.wait_position(before, [host])
        caller = caller_lib.Caller(host.callers, deployment.tenant_key("o1"))
        answer = await caller.ask(CHAT, 3)
        await caller.close()
        self.assertTrue(answer.complete)

    async def test_dry_run_history_and_rollback(self):
        value = {**POLICY, "name": "rolled", "recompute_weight": 1.0}
        await self.put(value)
        changed = await self.put({**value, "recompute_weight": 9.0})
        dry = await self.put({**value, "order": 5}, dry_run=True)
        self.assertEqual(dry["offset"], -1)
        admin = self.site.hosts[0].admin
        await self.site.call(
            admin, "POST", "/v1/rollback", {"offset": changed["offset"]}
        )
        found = await self.site.call(admin, "GET", "/v1/objects/policy/rolled")
        self.assertEqual(found["object"], value)
        history = await self.site.call(
            admin, "GET", "/v1/history?kind=policy&name=rolled"
        )
        self.assertEqual([each["actor"] for each in history], ["ops"] * 3)

    async def test_invalid_and_dangling_objects(self):
        invalid = await self.put({**POLICY, "recompute_weight": -1})
        self.assertEqual(invalid["error"]["code"], "invalid_configuration")
        self.assertIn("$.recompute_weight", invalid["error"]["message"])
        route = {
            "kind": "route",
            "name": "to-nothing",
            "path_prefix": "/nothing",
            "pool_selector": "no=pool",
        }
        dangling = await self.put(route, dry_run=True)
        self.assertEqual(len(dangling["warnings"]), 1)

    async def test_admin_api_checks_keys_and_roles(self):
        admin = self.site.hosts[0].admin
        unknown_key = await self.site.call(
            admin, "GET", "/v1/status", key="stranger"
        )
        tenant = await self.site.call(
            admin, "GET", "/v1/status", key=deployment.tenant_key("o1")
        )
        codes = [unknown_key["error"]["code"], tenant["error"]["code"]]
        self.assertEqual(codes, ["invalid_key", "forbidden"])
        api = await self.site.client.get(f"http://{admin}/openapi.json")
        self.assertIn("/v1/objects", api.json()["paths"])

    async def test_any_host_returns_the_records_of_all_hosts(self):
        caller = caller_lib.Caller(
            self.site.hosts[3].callers, deployment.tenant_key("o1")
        )
        answer = await caller.ask(CHAT, 3)
        await caller.close()
        path = f"/v1/records?request_id={answer.request_id}"
        admin = self.site.hosts[0].admin
        found = await self.site.call(admin, "GET", path)
        self.assertEqual(found[0]["host"], self.site.hosts[3].name)
        other = await self.put(deployment.make_tenant("o2"))
        self.assertIn("offset", other)
        scoped = await self.site.call(
            admin, "GET", path, key=deployment.tenant_key("o2")
        )
        self.assertEqual(scoped, [])

    async def test_record_of_a_refused_request_outlives_its_router(self):
        host = self.site.hosts[2]
        caller = caller_lib.Caller(host.callers, deployment.tenant_key("o1"))

        async def is_claimed():
            answer = await caller.ask(CHAT, 3, headers=once_headers("gone"))
            return answer.complete

        await site_lib.wait_until(is_claimed)
        again = await caller.ask(CHAT, 3, headers=once_headers("gone"))
        await caller.close()
        self.assertEqual(again.error["code"], "already_claimed")
        admin = self.site.hosts[0].admin
        path = f"/v1/records?request_id={again.request_id}"

        async def is_archived():
            address = self.site.log.addresses["standin"]
            page = await self.site.client.get(
                f"http://{address}/streams/records-dc2/records"
            )
            return again.request_id in page.text

        host.router.stop()
        await site_lib.wait_until(is_archived)
        found = await self.site.call(admin, "GET", path)
        self.assertEqual(found[0]["code"], "already_claimed")
        other = await self.site.call(
            admin, "GET", path, key=deployment.tenant_key("o9")
        )
        self.assertEqual(other["error"]["code"], "invalid_key")
        self.site.start_router(host)
        position = await self.site.position(self.site.hosts[0])
        await self.site.wait_position(position, [host])

    async def test_claimed_key_runs_once_over_all_hosts(self):
        answers = []

        async def ask(host):
            caller = caller_lib.Caller(
                host.callers, deployment.tenant_key("o1")
            )
            answers.append(
                await caller.ask(CHAT, 3, headers=once_headers("once"))
            )
            await caller.close()

        async with anyio.create_task_group() as group:
            for host in self.site.hosts:
                group.start_soon(ask, host)
        complete = [each for each in answers if each.complete]
        codes = {each.error["code"] for each in answers if each.error}
        self.assertEqual(len(complete), 1)
        self.assertEqual(codes, {"already_claimed"})

    async def test_key_of_a_request_that_did_not_run_can_be_claimed_again(self):
        engine = self.site.engines["dc1-runner0"]
        caller = caller_lib.Caller(
            self.site.hosts[0].callers, deployment.tenant_key("o1")
        )

        async def is_claimed():
            return (
                await caller.ask(CHAT, 3, headers=once_headers("w"))
            ).complete

        await site_lib.wait_until(is_claimed)
        await self.site.control_standin(engine, {"refusing": True})
        refused = await caller.ask(CHAT, 3, headers=once_headers("freed"))
        await self.site.control_standin(engine, {"refusing": False})
        self.assertEqual(refused.run, "not_run")
        again = await caller.ask(CHAT, 3, headers=once_headers("freed"))
        third = await caller.ask(CHAT, 3, headers=once_headers("freed"))
        await caller.close()
        self.assertTrue(again.complete)
        self.assertEqual(third.error["code"], "already_claimed")

    async def test_request_with_a_key_is_refused_while_the_log_is_down(self):
        await self.set_log_faults(down=True)
        await anyio.sleep(3.0)
        caller = caller_lib.Caller(
            self.site.hosts[0].callers, deployment.tenant_key("o1")
        )
        answer = await caller.ask(CHAT, 3, headers=once_headers("other"))
        await caller.close()
        self.assertEqual(answer.error["code"], "claim_unavailable")
        self.assertEqual(answer.run, "not_run")

    async def test_links_with_a_wrong_secret_or_invalid_data_are_refused(self):
        host = self.site.hosts[0]
        identity = link.Identity("router", "x", "dc1", "i")
        with self.assertRaises(Exception) as caught:
            await link.connect(host.link, identity, "not-the-right-secret")
        self.assertEqual(type(caught.exception).__name__, "PeerError")
        good = await link.connect(host.link, identity, deployment.SECRET)
        await good.connection.send(b"\xff\x00garbage")
        received = [each async for each in good.receive()]
        self.assertFalse(
            any(isinstance(each, messages.Challenge) for each in received)
        )
        status = await self.site.call(host.admin, "GET", "/v1/status")
        self.assertTrue(status["in_force"])


class LogHistoryTest(unittest.IsolatedAsyncioTestCase):
    """Tests with a log that is truncated or restored to an older state."""

    async def asyncSetUp(self):
        group = self.enterContext(processes.ProcessGroup())
        self.site = site_lib.Site(group, 1, 2, 1, snapshot_every=5)
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        # The log is slow enough for changes to overtake the first snapshot.
        await self.site.control_standin(self.site.log, {"slow_s": 0.12})
        values = self.site.objects([f"o{n}" for n in range(8)])
        self.answers = await self.site.publish(values)
        await self.site.control_standin(self.site.log, {"slow_s": 0.0})
        self.last = self.answers[-1]["offset"]
        await self.site.wait_position(self.last)

    async def records(self):
        address = self.site.log.addresses["standin"]
        page = await self.site.client.get(
            f"http://{address}/streams/configuration/records"
        )
        return page.json()["records"]

    async def complete_snapshot_offset(self):
        """Returns the offset of a snapshot that covers all records before it.

        Returns None while there is none: records may overtake a snapshot while
        it is appended to the log, which then does not cover them.
        """
        for record in await self.records():
            change = json.loads(record["payload"])
            is_snapshot = change["op"] == "snapshot"
            if is_snapshot and change["position"] == record["offset"] - 1:
                return record["offset"]
        return None

    async def test_new_host_starts_from_a_snapshot_of_a_truncated_log(self):
        async def has_snapshot():
            return await self.complete_snapshot_offset() is not None

        await site_lib.wait_until(has_snapshot)
        offset = await self.complete_snapshot_offset()
        for host in self.site.hosts:
            host.kill()
        await self.site.control_standin(
            self.site.log, {"truncate": {"configuration": offset}}
        )
        host = self.site.hosts[0]
        self.site.start_control(host)
        self.site.start_router(host)
        await self.site.wait_position(offset, [host])
        found = await self.site.call(host.admin, "GET", "/v1/objects")
        self.assertEqual(len(found), len(self.answers))

    async def test_log_that_went_back_is_refused_and_configuration_stays(self):
        await self.site.control_standin(
            self.site.log, {"rollback": {"configuration": 2}}
        )

        async def is_older_log_detected():
            states = [
                (await self.site.call(h.admin, "GET", "/v1/status"))["log"]
                for h in self.site.hosts
            ]
            return states == ["older", "older"]

        await site_lib.wait_until(is_older_log_detected)
        host = self.site.hosts[0]
        host.kill()
        self.site.start_control(host)
        self.site.start_router(host)
        await self.site.wait_position(self.last)
        found = await self.site.call(host.admin, "GET", "/v1/objects")
        self.assertEqual(len(found), len(self.answers))
