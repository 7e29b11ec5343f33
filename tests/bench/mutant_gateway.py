"""Deliberately broken gateways: the soak must find each of them out."""

import os
import sys

from hillthread import errors
from hillthread.coordination.gateway.orders import order_lease
from hillthread.coordination.gateway.serving import chooser
from hillthread.coordination.gateway.serving import event_relay
from hillthread.coordination.gateway.serving import job
from hillthread.coordination.gateway.serving import request_forwarding
from hillthread.coordination.gateway.serving import stream_binding
from hillthread.coordination.gateway.serving import stream_keeper
from hillthread.coordination.gateway.serving import stream_refusals
from hillthread.platform import store
from hillthread.programs import gateway
from hillthread.programs import soak_gateway
from hillthread.protocol import stream_end
from hillthread.state.config import routing_table
from hillthread.state.quotas import quota_ledger
from hillthread.state.quotas import retry_share
from hillthread.state.routing import attempt_plan
from hillthread.state.targets import backoffs
from hillthread.state.targets import part_blame
from hillthread.state.targets import quarantine
from hillthread.state.targets import target_list
from hillthread.state.targets import weights
from hillthread.transport import http1_client

VARIABLE = "HILLTHREAD_MUTANT"


def repeats_what_may_have_run():
    job.Job._may_run_again = lambda self: self.attempts_made < 3
    job.Job._recheck_request = lambda self: None  # it would refuse, too


def ends_cut_streams_cleanly():
    run = event_relay.EventRelay.run

    async def run_to_an_end(self, connection, head):
        try:
            await run(self, connection, head)
        except http1_client.CallError:
            if not self.answer.started:
                raise
            await self.answer.end()

    event_relay.EventRelay.run = run_to_an_end


def takes_orderly_ends_for_complete():
    stream_end.judge = lambda *_: stream_end.Complete()


def keeps_withdrawn_keys():
    kept = {}
    find = routing_table.RoutingTable.find_tenant_by_key

    def find_again(self, key):
        tenant = find(self, key) or kept.get(key)
        kept[key] = tenant
        return tenant

    routing_table.RoutingTable.find_tenant_by_key = find_again


def shares_memory_between_weights():
    attempt_plan.AttemptPlan.cache_scope = property(
        lambda plan: f"{plan.organisation}/{plan.model}/1"
    )


def shares_memory_between_tenants():
    attempt_plan.AttemptPlan.cache_scope = property(
        lambda plan: f"all/{plan.model}/{plan.weights_version}"
    )


def orders_without_the_lease():
    async def ensure(self):
        return True

    order_lease.OrderLease.acquire_or_renew = ensure
    order_lease.OrderLease.may_act = lambda self: True
    order_lease.OrderLease.fencing_token = property(lambda self: 1)


def says_not_run_always():
    refusal = errors.RefusalError

    class NotRunError(refusal):
        def __init__(self, code, status, *rest, **fields):
            super().__init__(
                code, 503 if status == 502 else status, *rest, **fields
            )

    errors.RefusalError = NotRunError


def passes_keys_on():
    encode = gateway.host_lib.gateway_lib.dispatcher_lib.sender_lib.attempt_lib
    encode.attempts.encode_attempt = _with_key(encode.attempts.encode_attempt)


def _with_key(encode):
    def encode_with_key(headers, plan):
        key = [pair for pair in headers if pair[0] == b"authorization"]
        return encode(headers, plan) + key

    return encode_with_key


def starts_on_any_weights():
    def never(self, named):
        return float("inf")

    weights.WeightsTracker._forbidden_at = never


def sends_on_what_ends_targets():
    free = quarantine.QuarantineStatus(0)
    quarantine.Quarantine.status_of = lambda self, digest, now: free


def keeps_a_quota_on_each_host():
    _hear_nothing_of_use()


def keeps_a_limit_on_each_host():
    _hear_nothing_of_use()


def ignores_announced_departures():
    target_list.TargetList.mark_leaving = lambda self, name: False


def ignores_backoffs():
    backoffs.Backoffs.apply = lambda self, target, seconds, now: False


def ignores_the_era_of_the_store():
    store.StoreClient.apply_era = lambda self, era: None
    store.StoreClient._check_era = lambda self, head: None


def matches_answers_by_shared_ids():
    http1_client.ClientConnection.has_carried = lambda self, call_id: False


def forwards_nothing():
    request_forwarding.RequestForwarding.plan = lambda self: None


def ignores_releases():
    chooser.Chooser._list_members = lambda self, pool, origin: (
        self.site.targets.members(pool)
    )
    stream_binding.StreamBinding.apply_first_event = lambda self, origin: None

    async def accept(self, request):
        pass

    stream_keeper.StreamKeeper.resolve = accept


def refuses_all_reconnects():
    # Callers reconnect when the gateway does not resume by itself.
    job.Job._why_no_resume = lambda self, pool, reason: "never"

    async def refuse(self, request):
        if request.resumption is not None:
            raise stream_refusals.make_unnamed_error()

    stream_keeper.StreamKeeper.resolve = refuse


def knows_whole_requests_only():
    part_blame.PartBlame.judge = lambda *_: part_blame.Cleared()


def holds_first_parts():
    judge = part_blame.PartBlame.judge

    def judge_first_part(self, features, now):
        for key in features.part_keys:
            if self.quarantine.find_crashes_of_part(key) or key in _suspects:
                _suspects.update(features.part_keys[:1])
        if any(key in _suspects for key in features.part_keys):
            return part_blame.Blamed("first", 5, 300.0)
        return judge(self, features, now)

    part_blame.PartBlame.judge = judge_first_part


_suspects = set()


def retries_without_a_budget():
    retry_share.RetryShare.withdraw = lambda self: True


def _hear_nothing_of_use():
    quota_ledger.QuotaLedger.reachable_share = lambda self, now: 1.0
    quota_ledger.QuotaLedger.add_peer_usage = lambda self, added, now: None


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        repeats_what_may_have_run,
        ends_cut_streams_cleanly,
        takes_orderly_ends_for_complete,
        keeps_withdrawn_keys,
        shares_memory_between_weights,
        shares_memory_between_tenants,
        orders_without_the_lease,
        says_not_run_always,
        passes_keys_on,
        starts_on_any_weights,
        sends_on_what_ends_targets,
        keeps_a_quota_on_each_host,
        keeps_a_limit_on_each_host,
        ignores_announced_departures,
        ignores_backoffs,
        ignores_the_era_of_the_store,
        forwards_nothing,
        ignores_releases,
        refuses_all_reconnects,
        knows_whole_requests_only,
        holds_first_parts,
        retries_without_a_budget,
        matches_answers_by_shared_ids,
    )
}

if __name__ == "__main__":
    MUTANTS[os.environ[VARIABLE]]()
    sys.exit(soak_gateway.main())
