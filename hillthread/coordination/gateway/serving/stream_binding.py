"""Binds a stream to the release of a target's software that began it."""

from __future__ import annotations

from collections.abc import Callable

from hillthread import errors
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.serving import intake
from hillthread.state.routing import attempt_plan
from hillthread.state.routing import stream_origin
from hillthread.transport import http1_client

__all__ = ["RELEASE_GONE", "StreamBinding", "confirm_origin", "make_gone_error"]

# Error code of a stream whose release no target runs any more.
RELEASE_GONE = "stream_release_gone"


class StreamBinding:
    """Binds the stream of one request at its first event.

    Attributes:
        request: The caller's request, which keeps the origin of its stream.
        on_bound: Called when the first event of a new stream arrives, before it
            is relayed.
    """

    def __init__(
        self,
        request: intake.GatewayRequest,
        on_bound: Callable[[intake.GatewayRequest], None],
    ):
        self.request = request
        self.on_bound = on_bound

    def apply_first_event(self, origin: stream_origin.StreamOrigin) -> None:
        """Binds a new stream, or checks the run that continues a bound one.

        Args:
            origin: The software that made the run, called before the first
                event of the run is relayed.

        Raises:
            CallError: The run must not continue the stream.
        """
        request = self.request
        if not request.route.resumable:
            return
        bound = request.stream_origin
        if bound is None:
            request.stream_origin = origin
            self.on_bound(request)
        elif origin != bound or not origin.release:
            raise http1_client.CallError(
                True,
                f"the stream began at release {bound.release!r} of "
                f"{bound.pool}, but this run is of {origin.release!r} of "
                f"{origin.pool}",
            )


def confirm_origin(
    site: site_lib.Site,
    plan: attempt_plan.AttemptPlan,
    pool: str,
    incarnation: int,
) -> stream_origin.StreamOrigin:
    """Returns the software that made a run, at its first event.

    The release is unknown if the list now contradicts the plan: the target has
    restarted under its name, and either start may have made the run.

    Args:
        site: The host's view of the site.
        plan: The plan of the attempt.
        pool: Name of the target's pool.
        incarnation: Key of the target's incarnation when it was planned.
    """
    name = plan.target.name
    entry = site.targets.entries.get(name)
    is_contradicted = entry is not None and (
        entry.release != plan.release
        or site.targets.key_of(name) != incarnation
    )
    release = "" if is_contradicted else plan.release
    return stream_origin.StreamOrigin(pool, release)


def make_gone_error(origin: stream_origin.StreamOrigin) -> errors.RefusalError:
    """Returns the refusal of a stream that no target can continue."""
    return errors.RefusalError(
        RELEASE_GONE,
        503,
        f"The stream began at release {origin.release!r} of {origin.pool}, "
        "which no target runs any more.",
        "Begin the stream anew, without Last-Event-Id and Resumes.",
    )
