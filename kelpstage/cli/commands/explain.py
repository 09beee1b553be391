"""The explain command: the decisions made for a search, and its result."""

from __future__ import annotations

from typing import List, Optional
from urllib.parse import quote

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.options import AS_JSON, EDGES
from kelpstage.cli.output import show
from kelpstage.cli.views.searches import search_text, searches_text


def explain(
    search: Optional[str] = typer.Argument(
        None, help="Id of a search; without it, list the newest searches."
    ),
    edge: Optional[List[str]] = EDGES,
    only: Optional[str] = typer.Option(
        None, help="List only searches with this outcome: failed or partial."
    ),
    slower_than_us: Optional[int] = typer.Option(
        None, min=1, help="List only searches that took longer."
    ),
    limit: int = typer.Option(20, min=1, max=600, help="Maximum number of searches to list."),
    is_json: bool = AS_JSON,
) -> None:
    """Show the decisions made for a search, their reasons and the result, as a tree."""
    addresses = require_addresses(given=edge or [], what="edge")
    if search is None:
        filters = {"only": only, "slower_than_us": slower_than_us, "limit": limit}
        query = "&".join(f"{name}={value}" for name, value in filters.items() if value)
        reply = send_request(addresses=addresses, method="GET", path=f"/v1/searches?{query}")
        body = json_or_fail(reply=reply, is_json=is_json)
        show(body=body, is_json=is_json, text=searches_text(view=body))
        return
    path = f"/v1/searches/{quote(search, safe='')}"
    for address in addresses:  # only the root of a search has its complete timeline
        reply = send_request(addresses=[address], method="GET", path=path)
        if reply.status != 404:
            break
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=search_text(view=body))
