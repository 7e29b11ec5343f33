"""Admits requests: finds the route, checks the key, sets the deadline."""

from __future__ import annotations

import dataclasses
import functools

from hillthread import clock
from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.peers import forwarding
from hillthread.coordination.gateway.serving import story as story_lib
from hillthread.platform import attempts
from hillthread.platform import names
from hillthread.platform import resumption as resumption_lib
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.routing import stream_origin as stream_origin_lib
from hillthread.state.scheduling import urgency
from hillthread.state.targets import request_digest
from hillthread.state.targets import request_features
from hillthread.transport import http1_server

__all__ = [
    "NOT_READY",
    "OLDER_CONFIGURATION",
    "GatewayRequest",
    "admit",
    "authenticate",
    "check_deadline",
    "current_route",
    "make_not_ready_error",
]

# Error code of a host that cannot serve; another host may.
NOT_READY = "not_ready"
# Error code of a host whose configuration is older than that of the host that
# forwards a request.
OLDER_CONFIGURATION = "older_configuration"
# A host that has just started knows its configuration after this time.
_STARTUP_RETRY_S = 0.5
# Callers may retry at once: the balancer sends them to another host of its data
# centre.
_OTHER_HOST_RETRY_S = 0.1
# The balancer checks readiness once a second and removes a host after two
# failures. From then on it sends callers to hosts that are ready, in other data
# centres if need be.
_BALANCER_DETECTION_S = 2.0
# If the balancer still sends callers here after this time, no host is ready, as
# in an outage of the store, and an early retry is wasted. Outages last for
# seconds; callers wait for at most a third of their remaining time.
_OUTAGE_AFTER_S = 2.6
_OUTAGE_RETRY_S = 1.0
# Share of the first-byte objective below which a request is refused: targets
# take longer than that for any request, and their work would be wasted.
_MIN_TIME_SHARE = 0.1
_NO_TIME_RETRY_S = 0.1
_BEARER_SCHEME = "bearer"


@dataclasses.dataclass
class GatewayRequest:
    """A caller's request with its route, tenant and deadline.

    Attributes:
        caller: The request as it was received.
        request_id: The ID that the caller sent.
        route: The route that matched.
        tenant: The tenant whose key it carries; None on public routes.
        prompt: What its headers say about the prompt.
        deadline: Clock time, in seconds, until which the caller waits.
        resumption: The stream that the caller resumes; None for a new one.
        log: The log lines of the request.
        is_deferred: Whether engines serve it after all prompts that can still
            be in time.
        stream_origin: The software that began the stream, and that alone may
            continue it; None before the first event.
        configuration_version: Version of the configuration by which its route
            and tenant were last checked.
        tried_parts: Names of the parts that it is sent to try.
        is_trial_announced: Whether other hosts wait for the result of that.
        forwarded: What the host that forwarded the request has done with it;
            None if its caller sent it to this host.
    """

    caller: http1_server.CallerRequest
    request_id: str
    route: objects.Route
    tenant: objects.Tenant | None
    prompt: attempts.PromptHeaders
    deadline: float
    resumption: resumption_lib.Resumption | None
    log: story_lib.RequestLog
    is_deferred: bool = False
    stream_origin: stream_origin_lib.StreamOrigin | None = None
    forwarded: forwarding.ForwardOrigin | None = None
    configuration_version: int = 0
    tried_parts: tuple[str, ...] = ()
    is_trial_announced: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return bool(self.route.repeatable)

    @property
    def tenant_name(self) -> str:
        """The name of its tenant; empty on public routes."""
        return self.tenant.name if self.tenant else ""

    @property
    def organisation(self) -> str:
        """The organisation within which cached prefixes may be shared."""
        return self.tenant.organisation if self.tenant else "public"

    @property
    def priority(self) -> int:
        """The priority class; 0 is served first."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def urgency(self) -> int:
        """Order in which engines serve it: 0, the most urgent, to 9."""
        if self.is_deferred:
            return urgency.LEAST_URGENT
        return urgency.compute_urgency(self.priority, self.route.priority)

    @functools.cached_property
    def digest(self) -> str:
        """The digest that all retries of the same request share."""
        caller = self.caller
        return request_digest.request_digest(
            self.tenant_name,
            caller.method,
            caller.get(b"host"),
            caller.target,
            caller.body,
        )

    @functools.cached_property
    def features(self) -> request_features.RequestFeatures:
        """Its features that may be the cause of a crash."""
        return request_features.RequestFeatures(
            self.digest,
            tuple(
                request_features.encode_part_key(part.digest, self.tenant_name)
                for part in self.prompt.parts[:-1]
            ),
        )

    def seconds_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - clock.now()


def admit(
    site: site_lib.Site,
    caller: http1_server.CallerRequest,
    log: story_lib.RequestLog,
    origin: forwarding.ForwardOrigin | None = None,
) -> GatewayRequest:
    """Returns the request with its route, tenant and deadline.

    Args:
        site: The host's view of the site.
        caller: The request.
        log: The log lines of the request.
        origin: The host that forwarded it; None if its caller sent it.

    Raises:
        RefusalError: The request cannot be served; it has not run.
    """
    if site.is_closing or (origin is not None and site.is_draining):
        raise make_not_ready_error(
            "The host is shutting down.", _OTHER_HOST_RETRY_S
        )
    if not site.can_route:
        raise make_not_ready_error(
            "The host does not know the configuration yet.", _STARTUP_RETRY_S
        )
    if origin is not None:
        _check_configuration(site, origin)
    route = _find_route(site, caller)
    tenant = authenticate(site, caller, route)
    timeout_s = route.timeout_s
    requested_s = _parse_deadline_s(caller)
    if requested_s is not None:
        timeout_s = min(timeout_s, requested_s)
    return GatewayRequest(
        caller,
        log.request_id,
        route,
        tenant,
        attempts.decode_prompt(caller.headers),
        caller.arrived + timeout_s,
        resumption_lib.decode_resumption(caller.headers)
        if route.resumable
        else None,
        log,
        stream_origin=origin.stream_origin if origin else None,
        forwarded=origin,
        configuration_version=site.configuration_version,
    )


def _check_configuration(
    site: site_lib.Site, origin: forwarding.ForwardOrigin
) -> None:
    """Refuses a forwarded request that an older configuration would decide.

    Raises:
        RefusalError: This host lacks the configuration of the other one.
    """
    version = site.configuration_version
    if version >= origin.configuration_version:
        return
    raise errors.RefusalError(
        OLDER_CONFIGURATION,
        503,
        f"This host has version {version} of the configuration, but "
        f"{origin.host} has {origin.configuration_version}.",
        "Ask another host.",
        retry_after_s=_OTHER_HOST_RETRY_S,
    )


def authenticate(
    site: site_lib.Site,
    caller: http1_server.CallerRequest,
    route: objects.Route,
) -> objects.Tenant | None:
    """Returns the tenant whose key a request carries; None on public routes.

    Called again right before each attempt: a key may be revoked meanwhile, and
    a host that was suspended no longer knows which keys are valid.

    Raises:
        RefusalError: The key is unknown, or the host does not know which keys
            are valid.
    """
    configuration = site.configuration
    if route.public or configuration is None or not configuration.has_tenants:
        return None
    if not site.may_serve_keys(clock.now()):
        raise _make_store_lost_error(site, "cannot check keys")
    scheme, _, key = caller.get(b"authorization").partition(b" ")
    tenant = None
    if (
        scheme.decode("latin-1").lower() == _BEARER_SCHEME
        and site.table is not None
    ):
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
    """Refuses a request whose remaining time is too short for any target.

    Raises:
        RefusalError: The remaining time is too short.
    """
    min_s = request.route.first_byte_aim_s * _MIN_TIME_SHARE
    if request.seconds_left() >= min_s:
        return
    raise errors.RefusalError(
        "no_time",
        503,
        "Too little time is left for any target.",
        "Allow more time.",
        retry_after_s=_NO_TIME_RETRY_S,
    )


def make_not_ready_error(
    message: str, retry_after_s: float
) -> errors.RefusalError:
    """Returns the refusal of a host that cannot serve at the moment."""
    return errors.RefusalError(
        NOT_READY,
        503,
        message,
        "Try again; the balancer knows hosts that are ready.",
        retry_after_s=retry_after_s,
    )


def _make_store_lost_error(
    site: site_lib.Site, effect: str
) -> errors.RefusalError:
    return make_not_ready_error(
        f"The host has lost the store and {effect}.", _choose_retry_s(site)
    )


def _choose_retry_s(site: site_lib.Site) -> float:
    """Returns the seconds after which callers find a host with the store."""
    unready_s = site.unready_s(clock.now())
    if unready_s >= _OUTAGE_AFTER_S:
        return _OUTAGE_RETRY_S
    if site.neighbour_count:
        return _OTHER_HOST_RETRY_S
    return max(_OTHER_HOST_RETRY_S, _BALANCER_DETECTION_S - unready_s)


def current_route(
    site: site_lib.Site, caller: http1_server.CallerRequest
) -> objects.Route | None:
    """Returns the route of a request in the active configuration, if any."""
    table: routing_table.RoutingTable | None = site.table
    if table is None:
        return None
    host = caller.get(b"host").decode("latin-1")
    return table.index.find(host, caller.path)


def _find_route(
    site: site_lib.Site, caller: http1_server.CallerRequest
) -> objects.Route:
    route = current_route(site, caller)
    if route is not None:
        return route
    if not site.may_serve_keys(clock.now()):
        raise _make_store_lost_error(site, "may miss a route")
    raise errors.RefusalError(
        "no_route",
        404,
        f"No route matches {caller.path}.",
        "Check the host and the path against the configured routes.",
    )


def _parse_deadline_s(caller: http1_server.CallerRequest) -> float | None:
    text = caller.get(names.DEADLINE_MS)
    try:
        return max(0.0, float(text) / 1000.0) if text else None
    except ValueError:
        return None
