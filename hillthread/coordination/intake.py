"""Reads a caller's request: authenticates, parses and routes it."""

from __future__ import annotations

from typing import NamedTuple

import anyio
import cachetools

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import fleet as fleet_lib
from hillthread.protocol import openai
from hillthread.state.config import objects
from hillthread.state.config import routing_table
from hillthread.state.routing import decision as decision_lib
from hillthread.state.routing import prompt
from hillthread.state.routing import records
from hillthread.transport import http_server

__all__ = ["Intake", "ParsedRequest", "authenticate"]

REPEATABLE_HEADER = "x-hillthread-repeatable"
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
# Estimate until the first answer of a model reports its prompt tokens.
_INITIAL_TOKENS_PER_CHARACTER = 0.25
# Weight of a new answer in the smoothed ratio.
_RATIO_SMOOTHING = 0.05
# Bound on the models with a ratio of their own, as callers may name any model.
_MAX_MODELS = 64


class ParsedRequest(NamedTuple):
    """A request after parsing and routing.

    Attributes:
        body: The complete body of the request.
        completion: The validated completion request; None for plain services.
        resolved: Route, policy, pool and targets.
        query: The input to the choice of a target.
    """

    body: bytes
    completion: openai.CompletionRequest | None
    resolved: routing_table.ResolvedRoute
    query: decision_lib.Query


def authenticate(
    table: routing_table.RoutingTable, request: http_server.Request
) -> objects.Tenant:
    """Returns the tenant of a request's bearer key.

    Raises:
        RefusalError: The key is missing or unknown.
    """
    key = request.bearer_key()
    tenant = None if key is None else table.find_tenant_by_key(key)
    if tenant is None:
        raise errors.RefusalError(
            "invalid_key",
            401,
            "The bearer key is missing or unknown.",
            "Send `Authorization: Bearer KEY` with a key of your tenant.",
        )
    return tenant


class Intake:
    """Reads requests and estimates the number of tokens in their prompts.

    Attributes:
        limits: Bounds on the requests of callers.
        tokens_per_character: Smoothed ratio of prompt tokens to characters,
            by model.
    """

    def __init__(self, limits: settings_lib.CallerLimits):
        self.limits = limits
        self.tokens_per_character: cachetools.LRUCache = cachetools.LRUCache(
            _MAX_MODELS
        )

    async def read(
        self,
        table: routing_table.RoutingTable,
        tenant: objects.Tenant,
        request: http_server.Request,
        record: records.RequestRecord,
    ) -> ParsedRequest:
        """Reads, parses and routes a request, and fills in its record.

        Raises:
            RefusalError: It is invalid, too large, too slow or has no route.
        """
        body = await self._read_body(request)
        completion = _parse(request, body)
        model = completion.model if completion else ""
        resolved = table.resolve(tenant, request.path, model)
        if resolved is None:
            raise errors.RefusalError(
                "no_route",
                404,
                f"No route matches {request.path} with model {model!r}.",
                "Use a model listed by /v1/models, or a path with a route.",
            )
        levels = self._levels(tenant, completion)
        query = fleet_lib.make_query(
            levels,
            resolved.policy.recompute_weight,
            record.request_id.encode(),
        )
        record.path = request.path
        record.model = model
        record.route = resolved.route.name
        record.policy = resolved.policy.name
        record.position = table.position
        record.prompt_tokens = query.prompt_tokens
        record.level_tokens = tuple(level.tokens for level in levels)
        record.repeatable = _is_repeatable(request, resolved.route, completion)
        return ParsedRequest(body, completion, resolved, query)

    def record_usage(
        self, parsed: ParsedRequest, record: records.RequestRecord
    ) -> float:
        """Returns the tokens used and updates the ratio of the model.

        Returns the estimate if the answer reported no usage, and 0 for plain
        services and requests without an attempt.
        """
        completion = parsed.completion
        if not record.attempts or completion is None:
            return 0.0
        last = record.attempts[-1]
        if not last.prompt_tokens:
            return float(record.prompt_tokens)
        characters = sum(len(part) for part in completion.parts)
        observed = last.prompt_tokens / max(1, characters)
        ratio = self.tokens_per_character.get(
            completion.model, _INITIAL_TOKENS_PER_CHARACTER
        )
        ratio += _RATIO_SMOOTHING * (observed - ratio)
        self.tokens_per_character[completion.model] = ratio
        return float(last.prompt_tokens + last.completion_tokens)

    async def _read_body(self, request: http_server.Request) -> bytes:
        with anyio.move_on_after(self.limits.read_timeout_s):
            return await request.body(self.limits.max_body_bytes)
        raise errors.RefusalError(
            "body_timeout",
            408,
            f"The body took longer than {self.limits.read_timeout_s} s.",
            "Send the body without pauses.",
        )

    def _levels(
        self,
        tenant: objects.Tenant,
        completion: openai.CompletionRequest | None,
    ) -> tuple[prompt.PrefixLevel, ...]:
        if completion is None:
            return ()
        ratio = self.tokens_per_character.get(
            completion.model, _INITIAL_TOKENS_PER_CHARACTER
        )
        return prompt.prefix_levels(
            tenant.organisation, completion.model, completion.parts, ratio
        )


def _parse(
    request: http_server.Request, body: bytes
) -> openai.CompletionRequest | None:
    if request.path not in (openai.CHAT_PATH, openai.COMPLETIONS_PATH):
        return None
    if request.method != "POST":
        raise errors.RefusalError(
            "method_not_allowed",
            405,
            f"{request.method} is not allowed on {request.path}.",
            "Use POST.",
        )
    return openai.parse_completion(body, request.path == openai.CHAT_PATH)


def _is_repeatable(
    request: http_server.Request,
    route: objects.Route,
    completion: openai.CompletionRequest | None,
) -> bool:
    """Returns whether a request may run more than once.

    Calls of plain services may not, except with safe methods, unless their
    route allows it; completions may, unless route or header forbid it.
    """
    header = request.headers.get(REPEATABLE_HEADER, "").lower()
    if header == "false":
        return False
    if completion is None and request.method in _SAFE_METHODS:
        return True
    if route.repeatable is None:
        return completion is not None
    return route.repeatable
