"""Commands on the fleet: status, membership, and edges that are gone for good."""

from __future__ import annotations

from typing import List, Optional

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses
from kelpstage.cli.options import AS_JSON, CORES, EDGES
from kelpstage.cli.output import show
from kelpstage.cli.views.status import membership_text, status_text

STATUS_WAIT_US = 2_000_000


def status(
    core: Optional[List[str]] = CORES, edge: Optional[List[str]] = EDGES, is_json: bool = AS_JSON
) -> None:
    """Show cores and edges: leader, log positions, membership, versions, who is behind."""
    if not core and not edge:
        need_addresses(given=[], what="core")
    views = []
    for address in (core or []) + (edge or []):
        need_addresses(given=[address], what="core")
        reply = ask(addresses=[address], method="GET", path="/v1/status", wait_us=STATUS_WAIT_US)
        views.append({"address": address, **good_or_fail(reply=reply, is_json=is_json)})
    show(body=views, is_json=is_json, text="\n\n".join(status_text(view=view) for view in views))


def membership(core: Optional[List[str]] = CORES, is_json: bool = AS_JSON) -> None:
    """Show the edges on the membership, what each has installed, and who is behind."""
    reply = ask(
        addresses=need_addresses(given=core or [], what="core"), method="GET", path="/v1/roster"
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=membership_text(view=body))


def remove_edge(
    edges: List[str] = typer.Argument(help="The edges' names; together if there are several."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Take edges that are gone for good off the membership. One that was heard of a
    moment ago is refused. Name all that are gone at once if they are most of it."""
    reply = ask(
        addresses=need_addresses(given=core or [], what="core"),
        method="DELETE",
        path=f"/v1/roster/{','.join(edges)}",
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=f"off the membership: {', '.join(edges)}")
