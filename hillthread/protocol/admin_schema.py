"""The OpenAPI document of the admin API."""

from __future__ import annotations

from typing import Any

import msgspec

from hillthread.state.config import objects

__all__ = ["OPENAPI"]


def _operation(text: str, *parameters: str, body: bool = False) -> Any:
    operation: dict[str, Any] = {
        "summary": text,
        "security": [{"key": []}],
        "parameters": [
            {"name": name, "in": "query", "schema": {"type": "string"}}
            for name in parameters
        ],
        "responses": {
            "200": {"description": "Done."},
            "default": {
                "description": "An error with code, message and remedy."
            },
        },
    }
    if body:
        operation["requestBody"] = {
            "content": {"application/json": {"schema": {"type": "object"}}}
        }
    return operation


def _in_path(*names: str) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
        for name in names
    ]


def _make_document() -> dict[str, Any]:
    _, schemas = msgspec.json.schema_components(
        [objects.ConfigurationObject],
        ref_template="#/components/schemas/{name}",
    )
    return {
        "openapi": "3.1.0",
        "info": {"title": "hillthread admin API", "version": "1"},
        "paths": {
            "/v1/status": {"get": _operation("Positions of all hosts.")},
            "/v1/objects": {
                "get": _operation("Objects in force.", "kind", "selector"),
                "put": _operation(
                    "Creates or replaces `object`, if it still has "
                    "`expected_version`; `dry_run` only checks.",
                    body=True,
                ),
            },
            "/v1/objects/{kind}/{name}": {
                "parameters": _in_path("kind", "name"),
                "get": _operation("One object with its version."),
                "delete": _operation(
                    "Removes an object.", "expected_version", "dry_run"
                ),
            },
            "/v1/history": {
                "get": _operation("Who changed what.", "kind", "name", "limit")
            },
            "/v1/outcomes/{record_id}": {
                "parameters": _in_path("record_id"),
                "get": _operation("What became of one change."),
            },
            "/v1/rollback": {
                "post": _operation(
                    "Puts an object back to before the change at `offset`.",
                    body=True,
                )
            },
            "/v1/records": {
                "get": _operation(
                    "Decision records; tenants see their own.",
                    "request_id",
                    "tenant",
                    "target",
                    "reason",
                    "limit",
                )
            },
        },
        "components": {
            "schemas": schemas,
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
    }


OPENAPI = _make_document()
