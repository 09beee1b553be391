"""The explain command: what was chosen for a search, and what became of it."""

from __future__ import annotations

from typing import List, Optional
from urllib.parse import quote

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses
from kelpstage.cli.options import AS_JSON, EDGES
from kelpstage.cli.output import show
from kelpstage.cli.views.searches import search_text, searches_text


def explain(
    search: Optional[str] = typer.Argument(None, help="A search's id; none lists the newest."),
    edge: Optional[List[str]] = EDGES,
    only: Optional[str] = typer.Option(None, help="List only these: failed or partial."),
    slower_than_us: Optional[int] = typer.Option(None, min=1, help="List only slower ones."),
    limit: int = typer.Option(20, min=1, max=600, help="How many to list."),
    is_json: bool = AS_JSON,
) -> None:
    """Show what was chosen for a search and why, and what became of it, as a tree."""
    addresses = need_addresses(given=edge or [], what="edge")
    if search is None:
        asked = {"only": only, "slower_than_us": slower_than_us, "limit": limit}
        query = "&".join(f"{name}={value}" for name, value in asked.items() if value)
        reply = ask(addresses=addresses, method="GET", path=f"/v1/searches?{query}")
        body = good_or_fail(reply=reply, is_json=is_json)
        show(body=body, is_json=is_json, text=searches_text(view=body))
        return
    path = f"/v1/searches/{quote(search, safe='')}"
    for address in addresses:  # only the root of a search knows the whole of it
        reply = ask(addresses=[address], method="GET", path=path)
        if reply.status != 404:
            break
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=search_text(view=body))
