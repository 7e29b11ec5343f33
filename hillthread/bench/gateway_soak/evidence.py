"""What a soak has seen: exchanges of callers, runs of targets, disturbances."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from hillthread.standin import platform_target

__all__ = [
    "OBSERVER",
    "PLAIN_TOKENS",
    "TARGETS_LOST",
    "Bounds",
    "Disturbance",
    "Evidence",
    "Exchange",
    "KeyLife",
    "LimitLife",
    "NamedVersion",
    "QuotaLife",
    "Violation",
    "callers_of",
    "make_violation",
    "targets_of",
]


# The soak itself, which sees nothing while it has no processor.
OBSERVER = "soak"
# Kind of fault in which hosts reach no target.
TARGETS_LOST = "hosts_lose_targets"
# What a request without a prompt counts in quotas.
PLAIN_TOKENS = 200


def callers_of(host: str) -> str:
    """Returns the subject of faults on a host's connections from callers."""
    return f"{host} callers"


def targets_of(host: str) -> str:
    """Returns the subject of faults on a host's links to targets."""
    return f"{host} targets"


class Bounds(NamedTuple):
    """The promises' figures in a soak, seconds.

    They are shorter than the users', so that a short run meets each often.

    Attributes:
        revoke_s: A withdrawn key must not be served later than this.
        drain_s: A leaving target gets no work later than this.
        grace_s: After SIGTERM a process is killed so much later.
        lease_s: Least time between the orders of two holders.
        contact_s: A host is in touch when undisturbed for so long.
        configuration_s: A change is in force everywhere after this.
        leave_s: A run ends so soon after its caller has left.
        version_s: Nothing starts on older weights later than this after newer
            ones were named.
        weights_contact_s: For that, a host is in touch when undisturbed for
            so long.
        answer_s: A request is answered for good so soon after it was sent.
        quota_window_s: Quotas are judged over any span of this length.
        quota_over: Allowed beyond that, as a share.
        quota_slack: The same, in tokens.
        retry_ratio: Retries allowed in any span, as a share of requests.
        retry_extra: Retries allowed beyond that.
        retry_window_s: Length of that span.
    """

    revoke_s: float = 3.0
    drain_s: float = 1.5
    grace_s: float = 6.0
    lease_s: float = 1.0
    contact_s: float = 2.0
    configuration_s: float = 2.0
    leave_s: float = 0.7
    version_s: float = 3.0
    weights_contact_s: float = 3.0
    answer_s: float = 3.5
    quota_window_s: float = 4.0
    quota_over: float = 0.1
    quota_slack: float = 10_000.0
    retry_ratio: float = 0.2
    retry_extra: float = 20.0
    retry_window_s: float = 4.0


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller and what came back.

    Attributes:
        request_id: Its own.
        route: Name of its route.
        key: The key it carried.
        host: Who took it.
        life: Which process of the host, counted.
        sent_at: Seconds on the steady clock.
        ended_at: When the caller was done with it.
        status: Of the answer; 0 when none came.
        receipt: The target's receipt; empty when the answer had none.
        body: What came of the body.
        whole: The answer ended as it should.
        left: The caller gave it up.
        error: Why there is no whole answer, in words.
        sent_body: What it sent.
        parts: Parts of its prompt; empty for plain requests.
        resumes: Id of the request that began the stream that it resumes;
            empty for a new request.
        after: The last event of that stream that the caller has; -1 for none.
        engines_left: Engines of the release that began it, as it was sent.
    """

    request_id: str
    route: str
    key: str
    host: str
    life: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    receipt: str = ""
    body: bytes = b""
    whole: bool = False
    left: bool = False
    error: str = ""
    sent_body: bytes = b"body"
    resumes: str = ""
    after: int = -1
    engines_left: int = 0
    parts: tuple[str, ...] = ()


class Disturbance(NamedTuple):
    """A fault while it lasted.

    Attributes:
        kind: Its name.
        subject: A host's or target's name; `store` for the store itself,
            `soak` for the soak's own process. For the connections that a host
            took from callers see `callers_of`.
        began_at: Seconds.
        ended_at: Seconds; infinite while it lasts.
    """

    kind: str
    subject: str
    began_at: float
    ended_at: float


class PartLife(NamedTuple):
    """When prompts with a part crashed the engines that answered them.

    Attributes:
        route: The route of these prompts.
        began_at: Seconds.
        ended_at: Seconds; infinite while they come.
    """

    route: str
    began_at: float
    ended_at: float


class NamedVersion(NamedTuple):
    """Weights that were named.

    Attributes:
        version: Its number.
        at: When the record was in the store; seconds.
    """

    version: int
    at: float


class KeyLife(NamedTuple):
    """From when to when a key held.

    Attributes:
        tenant: Whose it is.
        issued_at: When the configuration with it was written; seconds.
        withdrawn_at: When one without it was written; infinite if never.
    """

    tenant: str
    issued_at: float
    withdrawn_at: float


class QuotaLife(NamedTuple):
    """A quota of tokens, until the next one of its tenant.

    Attributes:
        at: When it was written; seconds.
        rate_per_s: Tokens a second, and as many at once.
    """

    at: float
    rate_per_s: float


class LimitLife(NamedTuple):
    """A limit that a target names, until it names another one or none.

    Attributes:
        at: From when its answers name it; seconds.
        per_s: Requests a second; None for no limit.
    """

    at: float
    per_s: float | None


class Violation(NamedTuple):
    """A promise that was broken.

    Attributes:
        promise: Its name.
        subject: The request, host or target.
        detail: What was seen.
    """

    promise: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.subject}: {self.detail}"


@dataclasses.dataclass
class Evidence:
    """All that a soak has seen.

    Attributes:
        bounds: The promises' figures.
        exchanges: All requests.
        targets: All stand-ins that ever ran, with their runs and orders.
        disturbances: All faults.
        keys: Lives of all keys.
        weights_named: In the order of their naming.
        leaving: When each leaving target's entry was written; seconds.
        stops: Planned stops of processes: who, and when they were asked.
        isolated: Tenants that share nothing.
        refusal_lines: Request ids that the hosts' logs tell as refused.
        forwarded: The other host that sent a request to a target, by request
            id, as far as the hosts' logs tell.
        unheard: Lives of processes whose logs may lack their last lines.
        preferences: Hosts to which most new connections went, and when.
        deadly: Bodies under which targets end.
        deadly_parts: Parts of prompts under which engines crash.
        quotas: Of tenants that have one, in the order of their writing.
        limits: Of targets that named one, in the order of their naming.
    """

    bounds: Bounds
    exchanges: list[Exchange] = dataclasses.field(default_factory=list)
    targets: list[platform_target.PlatformTargetStandin] = dataclasses.field(
        default_factory=list
    )
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    keys: dict[str, KeyLife] = dataclasses.field(default_factory=dict)
    weights_named: list[NamedVersion] = dataclasses.field(default_factory=list)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    stops: list[Disturbance] = dataclasses.field(default_factory=list)
    isolated: frozenset[str] = frozenset()
    refusal_lines: set[str] = dataclasses.field(default_factory=set)
    forwarded: dict[str, str] = dataclasses.field(default_factory=dict)
    unheard: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    preferences: list[Disturbance] = dataclasses.field(default_factory=list)
    deadly: set[bytes] = dataclasses.field(default_factory=set)
    deadly_parts: dict[str, PartLife] = dataclasses.field(default_factory=dict)
    quotas: dict[str, list[QuotaLife]] = dataclasses.field(default_factory=dict)
    limits: dict[str, list[LimitLife]] = dataclasses.field(default_factory=dict)

    def disturbed(self, subject: str, begin: float, end: float) -> bool:
        """Returns whether any fault touched a subject within a time."""
        return any(
            each.subject == subject
            and each.began_at <= end
            and each.ended_at >= begin
            for each in self.disturbances
        )

    def observed_s(self, begin: float, end: float) -> float:
        """Returns the seconds of a time in which hosts are not excused.

        They are while the soak's own process stands still, and for the time of
        contact afterwards.
        """
        unobserved_s = 0.0
        counted_until = begin
        for each in self.disturbances:
            if each.subject != OBSERVER:
                continue
            since = max(each.began_at, counted_until)
            until = min(each.ended_at + self.bounds.contact_s, end)
            if until > since:
                unobserved_s += until - since
                counted_until = until
        return end - begin - unobserved_s

    def is_key_valid(self, exchange: Exchange) -> bool:
        """Returns whether the key of a request held until it ended."""
        life = self.keys[exchange.key]
        return life.issued_at <= exchange.sent_at - (
            self.bounds.configuration_s
        ) and (exchange.ended_at < life.withdrawn_at)

    def in_touch(
        self, host: str, begin: float, end: float, contact_s: float = 0.0
    ) -> bool:
        """Returns whether a host and the store were calm for long enough."""
        begin -= contact_s or self.bounds.contact_s
        return not any(
            self.disturbed(subject, begin, end)
            for subject in (host, "store", OBSERVER)
        )


def make_violation(exchange: Exchange, promise: str, detail: str) -> Violation:
    """Returns a promise that was broken for a request."""
    where = f"{exchange.route} at {exchange.host}: {detail}"
    return Violation(promise, exchange.request_id, where)
