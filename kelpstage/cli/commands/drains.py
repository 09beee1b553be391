"""Commands that drain by label: a changed configuration, put on the version it was read from."""

from __future__ import annotations

import json
import secrets
import sys
import time
from typing import Any, List, Optional

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses
from kelpstage.cli.options import AS_JSON, CORES, EDGES
from kelpstage.cli.output import REFUSED, UNRESOLVED, fail, show
from kelpstage.common.errors.transport import ReplyTimeoutError
from kelpstage.common.errors.validation import InvalidField
from kelpstage.common.ports.interfaces import HttpReply

DEFAULT_IDLE_WAIT_US = 10_000_000
LONGEST_IDLE_WAIT_US = 600_000_000
POLL_S = 0.1


def drain(
    name: str = typer.Argument(help="A backend or node of the configuration."),
    core: Optional[List[str]] = CORES,
    edge: Optional[List[str]] = EDGES,
    wait_us: int = typer.Option(
        DEFAULT_IDLE_WAIT_US,
        min=1,
        max=LONGEST_IDLE_WAIT_US,
        help="With --edge: how long to wait for idleness.",
    ),
    is_json: bool = AS_JSON,
) -> None:
    """Label a backend or node `drain`, so that no plan chooses it any more. With
    --edge, say what these edges still have open there until nothing is."""
    need_addresses(given=(core or []) + (edge or []), what="core")
    set_drain(name=name, is_drained=True, cores=core or [], is_json=is_json)
    if edge:
        wait_until_idle(name=name, edges=edge, wait_us=wait_us, is_json=is_json)


def undrain(
    name: str = typer.Argument(help="A backend or node of the configuration."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Take the label `drain` off again."""
    set_drain(name=name, is_drained=False, cores=core or [], is_json=is_json)


def with_drain(*, document: dict[str, Any], name: str, is_drained: bool) -> bool | None:
    """Set or clear the label; false if it was so already, `None` if nobody has
    this name.

    >>> doc = {"backends": {"b": {"labels": {}}}}
    >>> with_drain(document=doc, name="b", is_drained=True), doc["backends"]["b"]["labels"]
    (True, {'drain': 'true'})
    >>> with_drain(document=doc, name="x", is_drained=True) is None
    True
    """
    rows = [
        document.get(group, {})[name]
        for group in ("backends", "nodes")
        if name in document.get(group, {})
    ]
    if not rows:
        return None
    is_changed = False
    for row in rows:
        labels = row.setdefault("labels", {})
        if (labels.get("drain") == "true") == is_drained:
            continue
        is_changed = True
        if is_drained:
            labels["drain"] = "true"
        else:
            labels.pop("drain", None)
    return is_changed


def in_flight_at(*, views: dict[str, dict[str, Any]], name: str) -> dict[str, int]:
    """How many requests each edge still has open at a backend.

    >>> in_flight_at(views={"e": {"backends": [{"name": "b", "in_flight": 2}]}}, name="b")
    {'e': 2}
    """
    return {
        edge: sum(row["in_flight"] for row in view["backends"] if row["name"] == name)
        for edge, view in views.items()
    }


def wait_until_idle(*, name: str, edges: list[str], wait_us: int, is_json: bool) -> None:
    """Say how much is still open at a drained backend, until nothing is."""
    until = time.monotonic() + wait_us / 1_000_000
    last: dict[str, int] = {}
    while True:
        views = {
            address: good_or_fail(
                reply=ask(addresses=[address], method="GET", path="/v1/status"), is_json=is_json
            )
            for address in edges
        }
        open_now = in_flight_at(views=views, name=name)
        if open_now != last:
            rest = ", ".join(f"{edge}: {count}" for edge, count in open_now.items())
            print(f"open at {name}: {rest}", file=sys.stderr)
            last = open_now
        if not any(open_now.values()):
            return
        if time.monotonic() > until:
            fail(
                error=ReplyTimeoutError(address=name, after_us=wait_us),
                code=UNRESOLVED,
                is_json=is_json,
            )
        time.sleep(POLL_S)


def set_drain(*, name: str, is_drained: bool, cores: list[str], is_json: bool) -> None:
    """Read the configuration, change one label, put it back on its version."""
    addresses = need_addresses(given=cores, what="core")
    reply = ask(addresses=addresses, method="GET", path="/v1/configuration")
    document = good_or_fail(reply=reply, is_json=is_json)
    version = reply.headers["etag"].strip('"')
    is_changed = with_drain(document=document, name=name, is_drained=is_drained)
    if is_changed is None:
        unknown = InvalidField(path=name, why="no backend or node of this name")
        fail(error=unknown, code=REFUSED, is_json=is_json)
    word = "drained" if is_drained else "no longer drained"
    if not is_changed:
        body = {"name": name, "version": int(version), "is_changed": False}
        show(body=body, is_json=is_json, text=f"{name} was {word} already")
        return
    if "version" in document:
        document["version"] = int(version) + 1
    reply = _put(addresses=addresses, document=document, version=version)
    body = good_or_fail(reply=reply, is_json=is_json)
    show(
        body={"name": name, "version": body["version"], "is_changed": True},
        is_json=is_json,
        text=f"{name} is {word} as of version {body['version']}, on every edge that serves",
    )


def _put(*, addresses: list[str], document: dict[str, Any], version: str) -> HttpReply:
    return ask(
        addresses=addresses,
        method="PUT",
        path="/v1/configuration",
        headers={"If-Match": f'"{version}"', "Kelp-Put-Id": secrets.token_hex(8)},
        body=json.dumps(document, indent=1, ensure_ascii=False).encode(),
    )
