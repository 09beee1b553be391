"""Commands that set or clear the label `drain` of a backend or node.

They write the changed configuration on condition that its version is still current.
"""

from __future__ import annotations

import json
import secrets
import sys
import time
from typing import Any, List, Optional

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.options import AS_JSON, CORES, EDGES
from kelpstage.cli.output import REJECTED, UNRESOLVED, fail, show
from kelpstage.common.errors.transport import ReplyTimeoutError
from kelpstage.common.errors.validation import InvalidField
from kelpstage.common.ports.interfaces import HttpReply

DEFAULT_IDLE_TIMEOUT_US = 10_000_000
MAX_IDLE_TIMEOUT_US = 600_000_000
POLL_INTERVAL_S = 0.1


def drain(
    name: str = typer.Argument(help="Name of a backend or node in the configuration."),
    core: Optional[List[str]] = CORES,
    edge: Optional[List[str]] = EDGES,
    wait_us: int = typer.Option(
        DEFAULT_IDLE_TIMEOUT_US,
        min=1,
        max=MAX_IDLE_TIMEOUT_US,
        help="With --edge: time to wait until no request is in flight, in microseconds.",
    ),
    is_json: bool = AS_JSON,
) -> None:
    """Set the label `drain` of a backend or node, so that no plan selects it.

    With --edge, print how many requests these edges have in flight there, until there are none.
    """
    require_addresses(given=(core or []) + (edge or []), what="core")
    set_drain(name=name, is_drained=True, cores=core or [], is_json=is_json)
    if edge:
        wait_until_idle(name=name, edges=edge, wait_us=wait_us, is_json=is_json)


def undrain(
    name: str = typer.Argument(help="Name of a backend or node in the configuration."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Clear the label `drain` of a backend or node."""
    set_drain(name=name, is_drained=False, cores=core or [], is_json=is_json)


def set_drain_label(*, document: dict[str, Any], name: str, is_drained: bool) -> bool | None:
    """Sets or clears the label; returns true if that changed the document.

    Returns `None` if no backend or node has this name.

    >>> doc = {"backends": {"b": {"labels": {}}}}
    >>> set_drain_label(document=doc, name="b", is_drained=True), doc["backends"]["b"]["labels"]
    (True, {'drain': 'true'})
    >>> set_drain_label(document=doc, name="x", is_drained=True) is None
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


def in_flight_counts(*, views: dict[str, dict[str, Any]], name: str) -> dict[str, int]:
    """Returns the number of requests that each edge has in flight at a backend.

    >>> in_flight_counts(views={"e": {"backends": [{"name": "b", "in_flight": 2}]}}, name="b")
    {'e': 2}
    """
    return {
        edge: sum(row["in_flight"] for row in view["backends"] if row["name"] == name)
        for edge, view in views.items()
    }


def wait_until_idle(*, name: str, edges: list[str], wait_us: int, is_json: bool) -> None:
    """Prints each change of the requests in flight at a drained backend, until there are none."""
    deadline_s = time.monotonic() + wait_us / 1_000_000
    printed: dict[str, int] = {}
    while True:
        views = {
            address: json_or_fail(
                reply=send_request(addresses=[address], method="GET", path="/v1/status"),
                is_json=is_json,
            )
            for address in edges
        }
        in_flight = in_flight_counts(views=views, name=name)
        if in_flight != printed:
            counts = ", ".join(f"{edge}: {count}" for edge, count in in_flight.items())
            print(f"open at {name}: {counts}", file=sys.stderr)
            printed = in_flight
        if not any(in_flight.values()):
            return
        if time.monotonic() > deadline_s:
            fail(
                error=ReplyTimeoutError(address=name, after_us=wait_us),
                code=UNRESOLVED,
                is_json=is_json,
            )
        time.sleep(POLL_INTERVAL_S)


def set_drain(*, name: str, is_drained: bool, cores: list[str], is_json: bool) -> None:
    """Reads the configuration, changes the label, and writes it if the version is unchanged."""
    addresses = require_addresses(given=cores, what="core")
    reply = send_request(addresses=addresses, method="GET", path="/v1/configuration")
    document = json_or_fail(reply=reply, is_json=is_json)
    version = reply.headers["etag"].strip('"')
    is_changed = set_drain_label(document=document, name=name, is_drained=is_drained)
    if is_changed is None:
        unknown = InvalidField(path=name, why="no backend or node of this name")
        fail(error=unknown, code=REJECTED, is_json=is_json)
    state = "drained" if is_drained else "no longer drained"
    if not is_changed:
        body = {"name": name, "version": int(version), "is_changed": False}
        show(body=body, is_json=is_json, text=f"{name} was {state} already")
        return
    if "version" in document:
        document["version"] = int(version) + 1
    reply = _put(addresses=addresses, document=document, version=version)
    body = json_or_fail(reply=reply, is_json=is_json)
    show(
        body={"name": name, "version": body["version"], "is_changed": True},
        is_json=is_json,
        text=f"{name} is {state} as of version {body['version']}, on every serving edge",
    )


def _put(*, addresses: list[str], document: dict[str, Any], version: str) -> HttpReply:
    return send_request(
        addresses=addresses,
        method="PUT",
        path="/v1/configuration",
        headers={"If-Match": f'"{version}"', "Kelp-Put-Id": secrets.token_hex(8)},
        body=json.dumps(document, indent=1, ensure_ascii=False).encode(),
    )
