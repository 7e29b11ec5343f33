"""`hillthread-ctl`: the operators' command line."""

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
    """The admin API refused, or could not be reached."""

    code = "ctl_failed"


class Ctl:
    """Commands on the admin API of any host.

    The address is that of a control's admin_listen, or of a gateway's
    feed_listen for `quarantine`, `quotas` and `limits`; the operator's key is
    taken from the environment variable HILLTHREAD_KEY.
    """

    def __init__(self, address: str = "127.0.0.1:9080"):
        """Sets what all commands use.

        Args:
            address: `IP:port` of a host's admin API.
        """
        self._base = f"http://{address}"
        key = os.environ.get("HILLTHREAD_KEY", "")
        self._headers = {"authorization": f"Bearer {key}"} if key else {}

    def apply(self, file: str, dry_run: bool = False) -> None:
        """Creates or replaces the objects in a JSON file, one or a list.

        An object may carry `expected_version` beside `object`; without it the
        version now in force is replaced.
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
        """Prints one object, or all that match."""
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
        """Shows what applying a file would change."""
        for body in _read_changes(file):
            result = self._call("PUT", "/v1/objects", {**body, "dry_run": True})
            lines = difflib.unified_diff(
                _lines(result["before"]), _lines(result["after"]),
                "in force", file, lineterm="",
            )  # fmt: skip
            print("\n".join(lines))

    def history(self, kind: str = "", name: str = "", limit: int = 20) -> None:
        """Prints who changed what, the newest first."""
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
        """Puts an object back to before the change at a log offset."""
        result = self._call(
            "POST", "/v1/rollback", {"offset": offset, "dry_run": dry_run}
        )
        print(f"accepted at offset {result['offset']}")

    def outcome(self, record_id: str) -> None:
        """Tells what became of a change whose outcome was unknown."""
        result = self._call("GET", f"/v1/outcomes/{record_id}")
        rejection = result["rejection"]
        if rejection is None:
            print(f"accepted at offset {result['offset']}")
        else:
            print(f"refused: {rejection['code']}: {rejection['message']}")

    def status(self) -> None:
        """Prints the configuration position in force on every host."""
        _print(self._call("GET", "/v1/status"))

    def quarantine(self, clear: str = "") -> None:
        """Lists requests that are held because targets ended under them.

        Give --address of a gateway's feed_listen, as its `start` line tells it.

        Args:
            clear: Digest of one that all hosts are to forget: it was mended,
                or its targets were.
        """
        if clear:
            found = self._call("POST", feed.QUARANTINE_PATH, text=clear)
            known = "" if found["cleared"] else "; this host did not know it"
            print(f"{clear} is cleared{known}")
            return
        for each in self._call("GET", feed.QUARANTINE_PATH):
            print(
                f"{each['digest']} {each['ends']} ends, {each['age_s']} s ago, "
                f"held for {each['held_s']} s"
            )

    def quotas(self) -> None:
        """Lists the quotas of organisations and what one host knows is used.

        Give --address of a gateway's feed_listen, as its `start` line tells it.
        """
        for each in self._call("GET", feed.QUOTAS_PATH):
            print(
                f"{each['tenant']} {each['rate_per_s']:.0f} {each['unit']}/s "
                f"+ {each['burst']:.0f}: {each['used']} of {each['limit']} "
                f"used, {each['left']} left at once, {each['part']} of all "
                f"hosts in touch, {each['refused']} refused here"
            )

    def limits(self) -> None:
        """Lists the limits that targets have named, as one host knows them.

        Give --address of a gateway's feed_listen, as its `start` line tells it.
        """
        for each in self._call("GET", feed.LIMITS_PATH):
            print(
                f"{each['target']} takes {each['per_s']:g}/s of all hosts: "
                f"{each['used']:g} sent lately, {each['left']:g} left at once, "
                f"{each['part']} of all hosts in touch, {each['passed_over']} "
                f"requests passed over here"
            )

    def targets(self) -> None:
        """Lists the targets that leave or back off, as one host knows them.

        Give --address of a gateway's feed_listen, as its `start` line tells it.
        """
        for each in self._call("GET", feed.TARGETS_PATH):
            reasons = []
            if each["is_leaving"]:
                reasons.append("leaves")
            if each["backoff_s"]:
                reasons.append(f"backs off for {each['backoff_s']:g} s more")
            print(f"{each['target']} {', '.join(reasons)}")

    def explain(
        self, request_id: str, *files: str, logs: str = "", json: bool = False
    ) -> None:
        """Tells why a request went where it did.

        Args:
            request_id: The request's id.
            files: More log files.
            logs: A log file of a gateway; without one the hosts are asked.
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
                f"No host keeps a record of {request_id}.",
                "Records are kept in bounded memory; ask sooner.",
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
        """Lists the newest decisions that match."""
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
            told = value["error"]
            raise CtlError(f"{told['code']}: {told['message']}", told["remedy"])
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
            "Give the logs of all hosts; ordinary requests are only sampled.",
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
    """The console script."""
    command.run_command(Ctl)


if __name__ == "__main__":
    main()
