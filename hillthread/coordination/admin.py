"""The admin API: objects, history, status and decision records."""

from __future__ import annotations

import enum
import hashlib
import hmac
from typing import Any
from typing import NamedTuple

import msgspec

from hillthread import errors
from hillthread import settings as settings_lib
from hillthread.coordination import change_author
from hillthread.coordination import control_node
from hillthread.coordination import log_follower
from hillthread.protocol import admin_schema
from hillthread.protocol import documents
from hillthread.protocol import messages
from hillthread.state.config import labels
from hillthread.state.config import objects
from hillthread.transport import http_server
from hillthread.transport import service

__all__ = ["AdminApi", "Role"]

_MAX_BODY_BYTES = 1_048_576
_STATUS_BY_ERROR = {
    errors.ConfigurationError: 422,
    errors.SelectorError: 422,
    errors.ConflictError: 409,
    errors.LogError: 503,
    errors.UnknownOutcomeError: 504,
}


class Role(enum.StrEnum):
    """The permissions of a principal."""

    EDITOR = "editor"
    VIEWER = "viewer"
    TENANT = "tenant"


class Principal(NamedTuple):
    """The authenticated sender of a request.

    Attributes:
        name: Name of the operator or the tenant.
        role: Its role.
    """

    name: str
    role: Role


class _PutBody(msgspec.Struct, forbid_unknown_fields=True):
    object: dict[str, Any]
    expected_version: int | None = None
    dry_run: bool = False


class _RollbackBody(msgspec.Struct, forbid_unknown_fields=True):
    offset: int
    dry_run: bool = False


class AdminApi:
    """Serves operators, and tenants that read their own records.

    Attributes:
        refusals: Number of requests answered with an error, by code.
    """

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
        node: control_node.ControlNode,
        pages: service.StatusPages,
        author: change_author.ChangeAuthor | None,
        follower: log_follower.LogFollower | None,
    ):
        self.settings = settings
        self.node = node
        self.pages = pages
        self.author = author
        self.follower = follower
        self.refusals: dict[str, int] = {}

    async def handle(
        self, request: http_server.Request, send: http_server.Send
    ) -> None:
        """Serves one request."""
        if await self.pages.answer(request, send):
            return
        try:
            value = await self._route_request(request)
            await http_server.send_json(send, 200, documents.as_document(value))
        except errors.RefusalError as refusal:
            await self._refuse(send, refusal, refusal.status)
        except errors.HillthreadError as error:
            await self._refuse(
                send, error, _STATUS_BY_ERROR.get(type(error), 500)
            )

    async def _refuse(
        self,
        send: http_server.Send,
        error: errors.HillthreadError,
        status: int,
    ) -> None:
        self.refusals[error.code] = self.refusals.get(error.code, 0) + 1
        body = {
            "code": error.code,
            "message": error.message,
            "remedy": error.remedy,
        }
        await http_server.send_json(send, status, {"error": body})

    async def _route_request(self, request: http_server.Request) -> Any:
        if request.path == "/openapi.json":
            return admin_schema.OPENAPI
        principal = self._authenticate(request)
        parts = request.path.strip("/").split("/")
        match request.method, parts:
            case "GET", ["v1", "records"]:
                return await self._find_records(request, principal)
            case "GET", ["v1", *_] if principal.role is Role.TENANT:
                raise _forbidden("Tenants may read their own records only.")
            case "GET", ["v1", "status"]:
                return self._describe_status()
            case "GET", ["v1", "objects"]:
                return self._list_objects(request)
            case "GET", ["v1", "objects", kind, name]:
                return self._get_object(objects.ObjectKey(kind, name))
            case "GET", ["v1", "history"]:
                return self._list_history(request)
            case "GET", ["v1", "outcomes", record_id]:
                return self._get_outcome(record_id)
            case (("PUT" | "DELETE" | "POST"), ["v1", *rest]):
                if principal.role is not Role.EDITOR:
                    raise _forbidden("Changes need the role `editor`.")
                return await self._change(request, rest, principal)
        raise _not_found(f"There is no {request.method} {request.path}.")

    def _authenticate(self, request: http_server.Request) -> Principal:
        key = request.bearer_key()
        if key is not None:
            digest = hashlib.sha256(key.encode()).hexdigest()
            for operator in self.settings.operators:
                if hmac.compare_digest(operator.key_digest, digest):
                    return Principal(operator.name, Role(operator.role))
            for value in self.node.keeper.configuration.decoded.values():
                if isinstance(value, objects.Tenant) and any(
                    hmac.compare_digest(each, digest)
                    for each in value.key_digests
                ):
                    return Principal(value.name, Role.TENANT)
        raise errors.RefusalError(
            "invalid_key",
            401,
            "The bearer key is missing or unknown.",
            "Send the key of an operator in the control process's settings.",
        )

    async def _change(
        self,
        request: http_server.Request,
        parts: list[str],
        principal: Principal,
    ) -> change_author.ChangeResult:
        if self.author is None:
            raise errors.LogError(
                "This host has no log.",
                "Set `log` in the control process's settings.",
            )
        match request.method, parts:
            case "PUT", ["objects"]:
                body = _decode_body(
                    await request.body(_MAX_BODY_BYTES), _PutBody
                )
                return await self.author.put(
                    body.object,
                    principal.name,
                    body.expected_version,
                    body.dry_run,
                )
            case "DELETE", ["objects", kind, name]:
                version = request.parameter("expected_version")
                return await self.author.delete(
                    objects.ObjectKey(kind, name),
                    principal.name,
                    int(version) if version.isdigit() else None,
                    request.parameter("dry_run") == "true",
                )
            case "POST", ["rollback"]:
                body = _decode_body(
                    await request.body(_MAX_BODY_BYTES), _RollbackBody
                )
                return await self._roll_back(body, principal)
        raise _not_found(f"There is no {request.method} {request.path}.")

    async def _roll_back(
        self, body: _RollbackBody, principal: Principal
    ) -> change_author.ChangeResult:
        """Restores an object as it was before one change."""
        assert self.author is not None
        history = self.node.keeper.configuration.history
        found = [each for each in history if each.offset == body.offset]
        if not found or found[0].rejection or found[0].key is None:
            raise _not_found(f"No change took effect at offset {body.offset}.")
        if found[0].previous is None:
            return await self.author.delete(
                found[0].key, principal.name, None, body.dry_run
            )
        return await self.author.put(
            found[0].previous, principal.name, None, body.dry_run
        )

    def _describe_status(self) -> dict[str, Any]:
        keeper = self.node.keeper
        return {
            "host": self.settings.host,
            "data_centre": self.settings.data_centre,
            "position": keeper.position,
            "chain": keeper.configuration.chain,
            "in_force": keeper.is_in_force(),
            "log": self.follower.state if self.follower else "none",
            "positions": self.node.positions,
            "alive": self.node.members.list_alive(),
            "routers": len(self.node.hub.routers()),
            "leaving": sorted(self.node.departures.leaving),
            "unreadable_records": keeper.configuration.unreadable_count,
            "refused_batches": keeper.refused_batches,
        }

    def _list_objects(
        self, request: http_server.Request
    ) -> list[dict[str, Any]]:
        selector = labels.parse_selector(request.parameter("selector"))
        kind = request.parameter("kind")
        state = self.node.keeper.configuration
        return [
            {"version": state.version(key), "object": state.stored[key].object}
            for key, value in sorted(state.decoded.items())
            if kind in ("", key.kind) and selector.matches(value.labels)
        ]

    def _get_object(self, key: objects.ObjectKey) -> dict[str, Any]:
        stored = self.node.keeper.configuration.stored.get(key)
        if stored is None:
            raise _not_found(f"There is no {key.kind} named {key.name}.")
        return {"version": stored.version, "object": stored.object}

    def _list_history(self, request: http_server.Request) -> list[Any]:
        kind = request.parameter("kind")
        name = request.parameter("name")
        found = [
            each
            for each in self.node.keeper.configuration.history
            if each.key is not None
            and kind in ("", each.key.kind)
            and name in ("", each.key.name)
        ]
        return found[::-1][: request.int_parameter("limit", 50)]

    def _get_outcome(self, record_id: str) -> Any:
        outcome = self.node.keeper.configuration.outcomes.get(record_id)
        if outcome is None:
            raise _not_found(
                f"No record {record_id} up to position "
                f"{self.node.keeper.position}."
            )
        return outcome

    async def _find_records(
        self, request: http_server.Request, principal: Principal
    ) -> list[Any]:
        tenant = request.parameter("tenant")
        if principal.role is Role.TENANT:
            tenant = principal.name
        query = messages.RecordQuery(
            0,
            request.parameter("request_id"),
            tenant,
            request.parameter("target"),
            request.parameter("reason"),
            request.int_parameter("limit", 20),
        )
        return await self.node.find_records(query)


def _decode_body(raw: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.ConfigurationError(
            f"The request body is invalid: {error}.", "See /openapi.json."
        ) from error


def _forbidden(message: str) -> errors.RefusalError:
    return errors.RefusalError(
        "forbidden", 403, message, "Ask an operator with the required role."
    )


def _not_found(message: str) -> errors.RefusalError:
    return errors.RefusalError(
        "not_found",
        404,
        message,
        "See /openapi.json for the paths of this API.",
    )
