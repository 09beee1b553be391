"""Commands on the fleet: status, membership, and removal of edges."""

from __future__ import annotations

from typing import List, Optional

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.options import AS_JSON, CORES, EDGES
from kelpstage.cli.output import show
from kelpstage.cli.views.status import membership_text, status_text

STATUS_TIMEOUT_US = 2_000_000


def status(
    core: Optional[List[str]] = CORES, edge: Optional[List[str]] = EDGES, is_json: bool = AS_JSON
) -> None:
    """Show cores and edges: leader, log positions, membership, versions, edges that lag behind."""
    if not core and not edge:
        require_addresses(given=[], what="core")
    views = []
    for address in (core or []) + (edge or []):
        require_addresses(given=[address], what="core")
        reply = send_request(
            addresses=[address], method="GET", path="/v1/status", wait_us=STATUS_TIMEOUT_US
        )
        views.append({"address": address, **json_or_fail(reply=reply, is_json=is_json)})
    show(body=views, is_json=is_json, text="\n\n".join(status_text(view=view) for view in views))


def membership(core: Optional[List[str]] = CORES, is_json: bool = AS_JSON) -> None:
    """Show the edges in the membership, the epoch that each has installed, and those behind."""
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"), method="GET", path="/v1/roster"
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=membership_text(view=body))


def remove_edge(
    edges: List[str] = typer.Argument(
        help="Names of the edges to remove; several are removed together."
    ),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Remove edges that are permanently lost from the membership.

    An edge with recent contact is rejected. If most edges are lost, name all of them in one call.
    """
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"),
        method="DELETE",
        path=f"/v1/roster/{','.join(edges)}",
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=f"removed from the membership: {', '.join(edges)}")
