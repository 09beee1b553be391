"""The plan command: how a search would be gathered, as an edge or a file has it."""

from __future__ import annotations

from typing import Any, List, Optional

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses
from kelpstage.cli.files import read_configuration_file
from kelpstage.cli.offline.plan import any_root, changes, offline_plan
from kelpstage.cli.options import AS_JSON, EDGES
from kelpstage.cli.output import BAD_INPUT, fail, show
from kelpstage.cli.views.plans import plan_text
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.errors.requests import UnknownCollectionError
from kelpstage.common.errors.validation import InvalidField


def plan(
    collection: str = typer.Argument(help="The collection."),
    edge: Optional[List[str]] = EDGES,
    offline: Optional[str] = typer.Option(None, help="Plan from this configuration file instead."),
    root: Optional[str] = typer.Option(None, help="Offline: the node that plans."),
    gone: Optional[List[str]] = typer.Option(None, help="Offline: a node or backend that is gone."),
    is_json: bool = AS_JSON,
) -> None:
    """Show the gathering plan: which node merges what, which backend serves each
    shard, and why. Offline also shows what changes if something is gone."""
    if offline:
        _show_offline(
            file=offline, collection=collection, root=root, gone=gone or [], is_json=is_json
        )
        return
    reply = ask(
        addresses=need_addresses(given=edge or [], what="edge"),
        method="GET",
        path=f"/v1/plan/{collection}",
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=plan_text(view=body))


def _show_offline(
    *, file: str, collection: str, root: str | None, gone: list[str], is_json: bool
) -> None:
    configuration = read_configuration_file(path=file, is_json=is_json, code=BAD_INPUT)
    _fail_if_unknown(configuration=configuration, collection=collection, gone=gone, is_json=is_json)
    start = root or any_root(configuration=configuration)
    before = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset()
    )
    after = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset(gone)
    )
    moved = changes(before=before, after=after)
    lines = _plan_lines(plan=after)
    if gone:
        lines.append(f"without {', '.join(gone)}:")
        lines += [f"  {line}" for line in moved] or ["  nothing changes"]
    show(body={"plan": after, "changes": moved}, is_json=is_json, text="\n".join(lines))


def _fail_if_unknown(
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
        zone = "" if row["is_near"] else " (another domain)"
        lines.append(f"  {shard}: {row['node']} asks {row['backend'] or 'nobody'}{zone}")
    for service, share in plan.get("shares", {}).items():
        lines.append(f"  {service} gets {share:.1%}")
    return lines
