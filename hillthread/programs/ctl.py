"""`hillthread-ctl`: the command line for operators."""

from __future__ import annotations

import difflib
import os
import pathlib
from typing import Any

import httpx
import msgspec

from hillthread import errors
from hillthread.protocol import documents
from hillthread.protocol import explanation
from hillthread.protocol import feed
from hillthread.protocol import log_story
from hillthread.transport import command

__all__ = ["Ctl", "main"]

_TIMEOUT_S = 15.0


class CtlError(errors.HillthreadError):
    """A command failed, or the admin API refused it or was unreachable."""

    code = "ctl_failed"


class Ctl:
    """Commands for the admin API of any host.

    Give the address of a control's admin_listen, or of a gateway's feed_listen
    for `quarantine`, `quotas`, `limits` and `targets`. The operator's key is
    read from the environment variable HILLTHREAD_KEY.
    """

    def __init__(self, address: str = "127.0.0.1:9080"):
        """Sets the address and the key for all commands.

        Args:
            address: `IP:port` of a host's admin API.
        """
        self._base = f"http://{address}"
        key = os.environ.get("HILLTHREAD_KEY", "")
        self._headers = {"authorization": f"Bearer {key}"} if key else {}

    def apply(self, file: str, dry_run: bool = False) -> None:
        """Creates or replaces the object, or list of objects, in a JSON file.

        An entry may have the fields `object` and `expected_version`; without an
        expected version, any current version of the object is replaced.
        """
        for body in _read_changes(file):
            result = self._call(
                "PUT", "/v1/objects", {**body, "dry_run": dry_run}
            )
            value = body["object"]
            verb = "would be accepted" if dry_run else "accepted"
            print(
                f"{value.get('kind')}/{value.get('name')} {verb}, "
                f"version {result['version']}, record {result['record_id']}"
            )
            for warning in result["warnings"]:
                print(f"  warning: {warning}")

    def get(self, kind: str = "", name: str = "", selector: str = "") -> None:
        """Prints one object, or all objects that match."""
        if name:
            found = self._call("GET", f"/v1/objects/{kind}/{name}")
        else:
            found = self._call(
                "GET", "/v1/objects", kind=kind, selector=selector
            )
        _print(found)

    def delete(self, kind: str, name: str, dry_run: bool = False) -> None:
        """Removes an object."""
        result = self._call(
            "DELETE",
            f"/v1/objects/{kind}/{name}",
            dry_run=str(dry_run).lower(),
        )
        print(f"{kind}/{name} removed, record {result['record_id']}")

    def diff(self, file: str) -> None:
        """Prints the differences that applying a file would make."""
        for body in _read_changes(file):
            result = self._call("PUT", "/v1/objects", {**body, "dry_run": True})
            lines = difflib.unified_diff(
                _lines(result["before"]), _lines(result["after"]),
                "in force", file, lineterm="",
            )  # fmt: skip
            print("\n".join(lines))

    def history(self, kind: str = "", name: str = "", limit: int = 20) -> None:
        """Lists changes and who made them, the newest first."""
        changes = self._call(
            "GET", "/v1/history", kind=kind, name=name, limit=limit
        )
        for each in changes:
            key = each["key"]
            refused = each["rejection"]
            print(
                f"{each['offset']:>8} {each['made_at']:.3f} {each['actor']} "
                f"{each['operation']} {key['kind']}/{key['name']}"
                f"{' refused: ' + refused['code'] if refused else ''}"
            )

    def rollback(self, offset: int, dry_run: bool = False) -> None:
        """Restores an object to its state before the change at an offset."""
        result = self._call(
            "POST", "/v1/rollback", {"offset": offset, "dry_run": dry_run}
        )
        print(f"accepted at offset {result['offset']}")

    def outcome(self, record_id: str) -> None:
        """Prints the outcome of a change that reported an unknown outcome."""
        result = self._call("GET", f"/v1/outcomes/{record_id}")
        rejection = result["rejection"]
        if rejection is None:
            print(f"accepted at offset {result['offset']}")
        else:
            print(f"refused: {rejection['code']}: {rejection['message']}")

    def status(self) -> None:
        """Prints the configuration position of every host."""
        _print(self._call("GET", "/v1/status"))

    def quarantine(self, clear: str = "") -> None:
        """Lists requests and parts of prompts under which targets crashed.

        Give --address of a gateway's feed_listen, which its log line `start`
        contains.

        Args:
            clear: Digest of a request that all hosts release from quarantine,
                after the request or its targets were repaired; or a part of
                prompts as listed, `part:NAME` for all tenants.
        """
        if clear:
            found = self._call("POST", feed.QUARANTINE_PATH, text=clear)
            known = "" if found["cleared"] else "; it was unknown to this host"
            print(f"{clear} is cleared{known}")
            return
        for each in self._call("GET", feed.QUARANTINE_PATH):
            print(
                f"{each['digest']} {each['ends']} ends, {each['age_s']} s ago, "
                f"held for {each['held_s']} s"
            )

    def quotas(self) -> None:
        """Lists the quotas of organisations and their usage known to one host.

        Give --address of a gateway's feed_listen, which its log line `start`
        contains.
        """
        for each in self._call("GET", feed.QUOTAS_PATH):
            print(
                f"{each['tenant']} {each['rate_per_s']:.0f} {each['unit']}/s "
                f"+ {each['burst']:.0f}: {each['used']} of {each['limit']} "
                f"used, {each['left']} remaining now, {each['part']} of all "
                f"hosts reachable, {each['refused']} refused by this host, "
                f"limited by the {each['limited_by']}"
            )

    def limits(self) -> None:
        """Lists the rate limits announced by targets, as known to one host.

        Give --address of a gateway's feed_listen, which its log line `start`
        contains.
        """
        for each in self._call("GET", feed.LIMITS_PATH):
            print(
                f"{each['target']} takes {each['per_s']:g}/s of all hosts: "
                f"{each['used']:g} sent recently, {each['left']:g} remaining "
                f"now, {each['part']} of all hosts reachable, skipped for "
                f"{each['passed_over']} requests by this host"
            )

    def releases(self) -> None:
        """Lists the releases of the targets of each pool, as a host knows them.

        A stream can only go on at the release that began it.

        Give --address of a gateway's feed_listen, which its log line `start`
        contains.
        """
        for each in self._call("GET", feed.RELEASES_PATH):
            leaving = f", {each['leaving']} leave" if each["leaving"] else ""
            print(
                f"{each['pool']} {each['release'] or 'unknown'}: "
                f"{each['targets']} targets{leaving}"
            )

    def targets(self) -> None:
        """Lists targets that leave, back off, cannot be reached, or are slow.

        An engine's speed is compared with its pool's, as known to one host.

        Give --address of a gateway's feed_listen, which its log line `start`
        contains.
        """
        for each in self._call("GET", feed.TARGETS_PATH):
            reasons = []
            if each["is_leaving"]:
                reasons.append("leaves")
            if each.get("is_unreachable", False):
                reasons.append("cannot be reached from this host")
            if each.get("is_brittle", False):
                reasons.append("crashes if it refuses too much")
            if each["backoff_s"]:
                reasons.append(f"backs off for {each['backoff_s']:g} s more")
            slowdown = each.get("slowdown", 1.0)
            if slowdown != 1.0:
                reasons.append(f"takes {slowdown:g} times as long as its pool")
            print(f"{each['target']} {', '.join(reasons)}")

    def explain(
        self, request_id: str, *files: str, logs: str = "", json: bool = False
    ) -> None:
        """Explains how a request was routed.

        Args:
            request_id: Id of the request.
            files: Additional log files.
            logs: Log file of a gateway; without one the hosts are queried.
            json: Print the decisions as JSON.
        """
        if logs or files:
            _explain_from_logs(
                request_id, [*filter(None, [logs]), *files], json
            )
            return
        found = self._call("GET", "/v1/records", request_id=request_id)
        if not found:
            raise CtlError(
                f"No host has a record of {request_id}.",
                "Records are kept in bounded memory; query them sooner.",
            )
        if json:
            _print(found[0])
        else:
            print(explanation.explain(found[0]))

    def records(
        self,
        tenant: str = "",
        target: str = "",
        reason: str = "",
        limit: int = 20,
    ) -> None:
        """Lists the newest decision records that match."""
        found = self._call(
            "GET",
            "/v1/records",
            tenant=tenant,
            target=target,
            reason=reason,
            limit=limit,
        )
        for each in found[:limit]:
            targets = [a["decision"]["target"] for a in each["attempts"]]
            print(
                f"{each['request_id']} {each['host']} {each['tenant']} "
                f"{each['outcome']} {each['code'] or '-'} "
                f"{','.join(map(str, targets))}"
            )

    def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        text: str | None = None,
        **parameters: Any,
    ) -> Any:
        try:
            response = httpx.request(
                method,
                self._base + path,
                json=body,
                content=text,
                params=parameters,
                headers=self._headers,
                timeout=_TIMEOUT_S,
                trust_env=False,
            )
            value = response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise CtlError(
                f"The admin API at {self._base} did not answer: {error}.",
                "Give --address of a host's admin_listen.",
            ) from error
        if response.status_code != 200:
            encode_error_body = value["error"]
            raise CtlError(
                f"{encode_error_body['code']}: {encode_error_body['message']}",
                encode_error_body["remedy"],
            )
        return value


def _explain_from_logs(
    request_id: str, files: list[str], as_json: bool
) -> None:
    lines: list[log_story.LogLine] = []
    for file in files:
        try:
            text = pathlib.Path(file).read_text(errors="replace")
        except OSError as error:
            raise CtlError(
                f"{file} cannot be read: {error.strerror}.",
                "Give the log files of the hosts.",
            ) from error
        lines += log_story.parse_lines(
            pathlib.Path(file).stem, text.splitlines()
        )
    story = log_story.find_history(str(request_id), lines)
    if story is None:
        raise errors.NotFoundError(
            f"No line in {len(files)} files is about {request_id}.",
            "Give the logs of all hosts; only some ordinary requests are "
            "logged.",
        )
    if as_json:
        _print(documents.as_document(story))
    else:
        print(log_story.format_history(story))


def _read_changes(file: str) -> list[dict[str, Any]]:
    try:
        value = msgspec.json.decode(pathlib.Path(file).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise CtlError(
            f"{file} cannot be read: {error}.", "Give a JSON file of objects."
        ) from error
    values = value if isinstance(value, list) else [value]
    return [each if "object" in each else {"object": each} for each in values]


def _lines(value: Any) -> list[str]:
    if value is None:
        return []
    return msgspec.json.format(msgspec.json.encode(value)).decode().split("\n")


def _print(value: Any) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def main() -> None:
    """Runs the console script."""
    command.run_command(Ctl)


if __name__ == "__main__":
    main()
