"""The plan command: how a search is gathered, according to an edge or a configuration file."""

from __future__ import annotations

from typing import Any, List, Optional

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.files import read_configuration_file
from kelpstage.cli.offline.plan import changes, default_root, offline_plan
from kelpstage.cli.options import AS_JSON, EDGES
from kelpstage.cli.output import BAD_INPUT, fail, show
from kelpstage.cli.views.plans import plan_text
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.errors.requests import UnknownCollectionError
from kelpstage.common.errors.validation import InvalidField


def plan(
    collection: str = typer.Argument(help="Name of the collection."),
    edge: Optional[List[str]] = EDGES,
    offline: Optional[str] = typer.Option(
        None, help="Plan from this configuration file, without an edge."
    ),
    root: Optional[str] = typer.Option(
        None, help="Offline: the node that is the root of the plan."
    ),
    gone: Optional[List[str]] = typer.Option(
        None, help="Offline: a node or backend to leave out; may be repeated."
    ),
    is_json: bool = AS_JSON,
) -> None:
    """Show the gathering plan: the nodes that merge, and the backend of each shard with the reason.

    With --offline, also show what changes if nodes or backends are left out.
    """
    if offline:
        _show_offline(
            file=offline, collection=collection, root=root, gone=gone or [], is_json=is_json
        )
        return
    reply = send_request(
        addresses=require_addresses(given=edge or [], what="edge"),
        method="GET",
        path=f"/v1/plan/{collection}",
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=plan_text(view=body))


def _show_offline(
    *, file: str, collection: str, root: str | None, gone: list[str], is_json: bool
) -> None:
    configuration = read_configuration_file(path=file, is_json=is_json, code=BAD_INPUT)
    _exit_if_unknown(configuration=configuration, collection=collection, gone=gone, is_json=is_json)
    start = root or default_root(configuration=configuration)
    before = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset()
    )
    after = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset(gone)
    )
    differences = changes(before=before, after=after)
    lines = _plan_lines(plan=after)
    if gone:
        lines.append(f"without {', '.join(gone)}:")
        lines += [f"  {line}" for line in differences] or ["  nothing changes"]
    show(body={"plan": after, "changes": differences}, is_json=is_json, text="\n".join(lines))


def _exit_if_unknown(
    *, configuration: Configuration, collection: str, gone: list[str], is_json: bool
) -> None:
    if collection not in configuration.routes:
        fail(error=UnknownCollectionError(collection=collection), code=BAD_INPUT, is_json=is_json)
    known = {*configuration.nodes, *configuration.backends, *configuration.services}
    unknown = [name for name in gone if name not in known]
    if unknown:
        fail(
            error=InvalidField(path=f"--gone {unknown[0]}", why="no such node, backend or service"),
            code=BAD_INPUT,
            is_json=is_json,
        )


def _plan_lines(*, plan: dict[str, Any]) -> list[str]:
    lines = [
        f"{plan['collection']} from {plan['root']}: {plan['levels']} levels, last fan-out "
        f"{plan['last_fan_out']}, coverage {plan['coverage']}"
    ]
    for shard, row in plan["shards"].items():
        zone = "" if row["is_near"] else " (another zone)"
        lines.append(f"  {shard}: {row['node']} queries {row['backend'] or 'nobody'}{zone}")
    for service, share in plan.get("shares", {}).items():
        lines.append(f"  {service} gets {share:.1%}")
    return lines
