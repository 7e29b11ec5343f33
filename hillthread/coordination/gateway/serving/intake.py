"""Takes in a request: which route, whose key, how long it may take."""

from __future__ import annotations

import dataclasses
import functools

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import story as story_lib
from hillthread.platform import attempts
from hillthread.platform import names
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.targets import request_digest
from hillthread.transport import http1_server

__all__ = [
    "NOT_READY",
    "GatewayRequest",
    "admit",
    "authenticate",
    "check_deadline",
    "current_route",
    "not_ready",
]

# Code of the refusals of a host that cannot serve; others may.
NOT_READY = "not_ready"
# A host that has just started knows enough by then.
_SOON_S = 0.5
# The balancer sends a caller that comes back to another host of its data
# centre, at once.
_ELSEWHERE_S = 0.1
# The balancer asks once a second and takes a host out after two misses: by then
# it sends callers to hosts that are ready, in other data centres if need be.
_BALANCER_KNOWS_S = 2.0
# If it sends callers here later still, no host is ready, as in an outage of the
# store, and an early return is a try lost. Outages last for seconds; callers
# heed a third of the time they have.
_BALANCER_DONE_S = 2.6
_OUTAGE_S = 1.0
# With less than this share of its objective left a request cannot be served:
# targets take longer for anything, and would work on it in vain.
_LEAST_SHARE = 0.1
_HOPELESS_RETRY_S = 0.1
_BEARER = "bearer"


@dataclasses.dataclass
class GatewayRequest:
    """A request with everything that applies to it.

    Attributes:
        caller: As it came in.
        request_id: As the caller sent it.
        route: The route that matched.
        tenant: Whose key it carries; None on public routes.
        prompt: What it says of its prompt.
        deadline: Seconds on the clock; nobody waits any longer.
        last_event_id: Of the last event the caller has, or None.
        story: Its decisions.
    """

    caller: http1_server.CallerRequest
    request_id: str
    route: objects.Route
    tenant: objects.Tenant | None
    prompt: attempts.PromptHeaders
    deadline: float
    last_event_id: int | None
    log: story_lib.RequestLog

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return bool(self.route.repeatable)

    @property
    def tenant_name(self) -> str:
        """The name of its tenant, or nothing."""
        return self.tenant.name if self.tenant else ""

    @property
    def organisation(self) -> str:
        """Within which cached prefixes may be shared."""
        return self.tenant.organisation if self.tenant else "public"

    @property
    def priority(self) -> int:
        """Its class, 0 first."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @functools.cached_property
    def digest(self) -> str:
        """What all tries of the same request have in common."""
        caller = self.caller
        return request_digest.request_digest(
            self.tenant_name,
            caller.method,
            caller.get(b"host"),
            caller.target,
            caller.body,
        )

    def seconds_left(self) -> float:
        """Seconds until nobody waits any more."""
        return self.deadline - clock.now()


def admit(
    site: site_lib.Site,
    caller: http1_server.CallerRequest,
    log: story_lib.RequestLog,
) -> GatewayRequest:
    """Returns the request with what applies to it.

    Raises:
        RefusalError: It cannot be served; it has not run.
    """
    if site.closing:
        raise not_ready("The host is about to end.", _ELSEWHERE_S)
    if not site.knows_enough:
        raise not_ready(
            "The host does not know the configuration yet.", _SOON_S
        )
    route = _route(site, caller)
    tenant = authenticate(site, caller, route)
    timeout_s = route.timeout_s
    asked_s = _deadline_s(caller)
    if asked_s is not None:
        timeout_s = min(timeout_s, asked_s)
    return GatewayRequest(
        caller,
        log.request_id,
        route,
        tenant,
        attempts.decode_prompt(caller.headers),
        caller.arrived + timeout_s,
        attempts.whole_number(caller.get(names.LAST_EVENT_ID)),
        log,
    )


def authenticate(
    site: site_lib.Site,
    caller: http1_server.CallerRequest,
    route: objects.Route,
) -> objects.Tenant | None:
    """Returns the tenant whose key a request carries; None on public routes.

    Asked again right before each attempt: a key may end meanwhile, and a host
    that was frozen no longer knows which keys hold.

    Raises:
        RefusalError: The key is unknown, or it is not known which keys hold.
    """
    configuration = site.configuration
    if route.public or configuration is None or not configuration.has_tenants:
        return None
    if not site.may_serve_keys(clock.now()):
        raise _store_lost(site, "cannot check keys")
    scheme, _, key = caller.get(b"authorization").partition(b" ")
    tenant = None
    if scheme.decode("latin-1").lower() == _BEARER and site.table is not None:
        tenant = site.table.find_tenant_by_key(key.strip().decode("latin-1"))
    if tenant is None:
        raise errors.RefusalError(
            "invalid_key",
            401,
            "The bearer key is missing or unknown.",
            "Send `Authorization: Bearer KEY` with a key of your tenant.",
        )
    return tenant


def check_deadline(request: GatewayRequest) -> None:
    """Refuses a request whose time is too short for any target.

    Raises:
        RefusalError: It is.
    """
    least_s = request.route.first_byte_aim_s * _LEAST_SHARE
    if request.seconds_left() >= least_s:
        return
    raise errors.RefusalError(
        "no_time",
        503,
        "Too little time is left for any target.",
        "Allow more time.",
        retry_after_s=_HOPELESS_RETRY_S,
    )


def not_ready(message: str, retry_after_s: float) -> errors.RefusalError:
    """Returns the refusal of a host that cannot serve yet or any more."""
    return errors.RefusalError(
        NOT_READY,
        503,
        message,
        "Try again; the balancer knows hosts that are ready.",
        retry_after_s=retry_after_s,
    )


def _store_lost(site: site_lib.Site, effect: str) -> errors.RefusalError:
    return not_ready(
        f"The host has lost the store and {effect}.", _back_s(site)
    )


def _back_s(site: site_lib.Site) -> float:
    """Returns after how long callers find a host that has the store."""
    unready_s = site.unready_s(clock.now())
    if unready_s >= _BALANCER_DONE_S:
        return _OUTAGE_S
    if site.neighbours:
        return _ELSEWHERE_S
    return max(_ELSEWHERE_S, _BALANCER_KNOWS_S - unready_s)


def current_route(
    site: site_lib.Site, caller: http1_server.CallerRequest
) -> objects.Route | None:
    """Returns the route of a request in the configuration in force."""
    table: routing_table.RoutingTable | None = site.table
    if table is None:
        return None
    host = caller.get(b"host").decode("latin-1")
    return table.index.find(host, caller.path)


def _route(
    site: site_lib.Site, caller: http1_server.CallerRequest
) -> objects.Route:
    route = current_route(site, caller)
    if route is not None:
        return route
    if not site.may_serve_keys(clock.now()):
        raise _store_lost(site, "may miss a route")
    raise errors.RefusalError(
        "no_route",
        404,
        f"No route leads from {caller.path}.",
        "Check host and path against the routes in force.",
    )


def _deadline_s(caller: http1_server.CallerRequest) -> float | None:
    text = caller.get(names.DEADLINE_MS)
    try:
        return max(0.0, float(text) / 1000.0) if text else None
    except ValueError:
        return None
