"""The OpenAPI document of the admin API."""

from __future__ import annotations

from typing import Any

import msgspec

from hillthread.state.config import objects

__all__ = ["OPENAPI"]


def _make_operation(text: str, *parameters: str, body: bool = False) -> Any:
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


def _make_path_parameters(*names: str) -> list[dict[str, Any]]:
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
            "/v1/status": {"get": _make_operation("Positions of all hosts.")},
            "/v1/objects": {
                "get": _make_operation("Current objects.", "kind", "selector"),
                "put": _make_operation(
                    "Creates or replaces `object`, if it still has "
                    "`expected_version`; `dry_run` only checks.",
                    body=True,
                ),
            },
            "/v1/objects/{kind}/{name}": {
                "parameters": _make_path_parameters("kind", "name"),
                "get": _make_operation("One object with its version."),
                "delete": _make_operation(
                    "Removes an object.", "expected_version", "dry_run"
                ),
            },
            "/v1/history": {
                "get": _make_operation(
                    "Changes and their authors.", "kind", "name", "limit"
                )
            },
            "/v1/outcomes/{record_id}": {
                "parameters": _make_path_parameters("record_id"),
                "get": _make_operation("Outcome of one change."),
            },
            "/v1/rollback": {
                "post": _make_operation(
                    "Restores an object to its state before the change at "
                    "`offset`.",
                    body=True,
                )
            },
            "/v1/records": {
                "get": _make_operation(
                    "Decision records; tenants see only their own.",
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
