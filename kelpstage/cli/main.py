"""`kelpctl`: the operators' command line.

Exit codes: 0 done; 1 refused (a fault, a lost race, not there); 2 bad input;
3 unresolved, ask again; 4 nobody reached.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
from dataclasses import asdict
from typing import List, Optional
from urllib.parse import quote

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses, read_file, write_whole
from kelpstage.cli.commands import drains
from kelpstage.cli.commands.searches import search_text, searches_text
from kelpstage.cli.commands.views import membership_text, plan_text, status_text
from kelpstage.cli.offline.diff import diff_of
from kelpstage.cli.offline.plan import any_root, changes, offline_plan
from kelpstage.cli.offline.routes import read_openapi, routes_of
from kelpstage.cli.offline.warnings import warnings_of
from kelpstage.cli.output import BAD_INPUT, REFUSED, fail, show
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RecoveryRefusedError
from kelpstage.common.errors.requests import UnknownCollectionError
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField
from kelpstage.common.ports.live import live_ports
from kelpstage.core.cluster_recovery import RecoveredCluster
from kelpstage.core.cluster_recovery import recover_cluster as recover_core

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)
CORE = typer.Option(None, "--core", help="IP:port of a core's HTTP; may be given several times.")
EDGE = typer.Option(None, "--edge", help="IP:port of an edge's HTTP; may be given several times.")
JSON = typer.Option(False, "--json", help="Print JSON.")


def read_or_fail(*, path: str, is_json: bool, code: int = REFUSED) -> Configuration:
    """A configuration from a file, or its faults and an end."""
    outcome = read_configuration(data=read_file(path=path), version=0)
    if isinstance(outcome, InvalidConfigurationError):
        fail(error=outcome, code=code, is_json=is_json)
    return outcome


@app.command()
def check(
    file: str = typer.Argument(help="The configuration's file."), is_json: bool = JSON
) -> None:
    """Validate a configuration offline, by the core's own code, with warnings.

    A fault means exit code 1; warnings alone do not.
    """
    configuration = read_or_fail(path=file, is_json=is_json)
    warnings = [{"path": w.path, "why": w.why} for w in warnings_of(configuration=configuration)]
    lines = [f"warning at {w['path']}: {w['why']}" for w in warnings]
    lines.append(
        f"good: {len(configuration.backends)} backends, {len(configuration.routes)} routes"
    )
    if configuration.forward:
        lines[-1] += (
            f" ({len(configuration.forward)} forward), {len(configuration.services)} services"
        )
    show(body={"faults": [], "warnings": warnings}, is_json=is_json, text="\n".join(lines))


@app.command()
def diff(
    old: str = typer.Argument(help="The configuration's file as it is."),
    new: str = typer.Argument(help="The configuration's file as it would be."),
    is_json: bool = JSON,
) -> None:
    """Show what a new configuration would alter."""
    rows = diff_of(
        old=read_or_fail(path=old, is_json=is_json, code=BAD_INPUT),
        new=read_or_fail(path=new, is_json=is_json),
    )
    text = "\n".join(
        f"{row['path']}: {json.dumps(row['was'])} -> {json.dumps(row['will'])}" for row in rows
    )
    show(body={"changes": rows}, is_json=is_json, text=text or "no change")


@app.command()
def get(
    core: Optional[List[str]] = CORE,
    out: Optional[str] = typer.Option(None, help="Write the configuration here instead."),
    is_source: bool = typer.Option(
        False, "--source", help="Only the text that its `source` section keeps."
    ),
) -> None:
    """Read the configuration back, as the leader has it; its version goes to stderr."""
    reply = ask(
        addresses=need_addresses(given=core or [], what="core"),
        method="GET",
        path="/v1/configuration",
    )
    if reply.status != 200:
        good_or_fail(reply=reply, is_json=False)
    version = reply.headers.get("etag", "").strip('"')
    data = reply.body
    if is_source:
        data = json.loads(data).get("source", "").encode()
    if out:
        write_whole(path=out, data=data)
    else:
        typer.echo(data.decode("utf-8"))
    typer.echo(f"version {version}", err=True)


@app.command()
def put(
    file: str = typer.Argument(help="The configuration's file."),
    replaces: int = typer.Option(..., min=0, help="The version that this put replaces; 0: none."),
    core: Optional[List[str]] = CORE,
    put_id: Optional[str] = typer.Option(
        None, help="Give the id of an earlier put to ask about it again."
    ),
    version: Optional[int] = typer.Option(
        None, min=1, help="The version that it gets, above the one in force; else the next."
    ),
    wait_us: int = typer.Option(10_000_000, min=1, max=120_000_000, help="Time left."),
    is_json: bool = JSON,
) -> None:
    """Put a whole configuration. It is acknowledged when no edge can serve an older one."""
    document = read_file(path=file)
    addresses = need_addresses(given=core or [], what="core")
    name = put_id or secrets.token_hex(8)
    typer.echo(f"put id {name}", err=True)
    reply = ask(
        addresses=addresses,
        method="PUT",
        path="/v1/configuration",
        headers={
            "If-Match": f'"{replaces}"',
            "Kelp-Put-Id": name,
            **({"Kelp-Version": str(version)} if version else {}),
        },
        body=document,
        wait_us=wait_us,
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=f"version {body['version']} is in force")


@app.command("put-state")
def put_state(
    put_id: str = typer.Argument(help="The put's id."),
    core: Optional[List[str]] = CORE,
    is_json: bool = JSON,
) -> None:
    """Ask what became of a put."""
    reply = ask(
        addresses=need_addresses(given=core or [], what="core"),
        method="GET",
        path=f"/v1/puts/{put_id}",
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    text = f"{body['state']}" + (f", version {body['version']}" if "version" in body else "")
    show(body=body, is_json=is_json, text=text)


@app.command()
def plan(
    collection: str = typer.Argument(help="The collection."),
    edge: Optional[List[str]] = EDGE,
    offline: Optional[str] = typer.Option(None, help="Plan from this configuration file instead."),
    root: Optional[str] = typer.Option(None, help="Offline: the node that plans."),
    gone: Optional[List[str]] = typer.Option(None, help="Offline: a node or backend that is gone."),
    is_json: bool = JSON,
) -> None:
    """Show the gathering plan: which node merges what, which backend serves each
    shard, and why. Offline also shows what changes if something is gone."""
    if offline:
        _plan_offline(
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


@app.command()
def explain(
    search: Optional[str] = typer.Argument(None, help="A search's id; none lists the newest."),
    edge: Optional[List[str]] = EDGE,
    only: Optional[str] = typer.Option(None, help="List only these: failed or partial."),
    slower_than_us: Optional[int] = typer.Option(None, min=1, help="List only slower ones."),
    limit: int = typer.Option(20, min=1, max=600, help="How many to list."),
    is_json: bool = JSON,
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


def _plan_offline(
    *, file: str, collection: str, root: str | None, gone: list[str], is_json: bool
) -> None:
    configuration = read_or_fail(path=file, is_json=is_json, code=BAD_INPUT)
    if collection not in configuration.routes:
        fail(error=UnknownCollectionError(collection=collection), code=BAD_INPUT, is_json=is_json)
    known = {*configuration.nodes, *configuration.backends, *configuration.services}
    unknown = [n for n in gone if n not in known]
    if unknown:
        fail(
            error=InvalidField(path=f"--gone {unknown[0]}", why="no such node, backend or service"),
            code=BAD_INPUT,
            is_json=is_json,
        )
    start = root or any_root(configuration=configuration)
    whole = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset()
    )
    after = offline_plan(
        configuration=configuration, collection=collection, root=start, gone=frozenset(gone)
    )
    lines = [
        f"{collection} from {start}: {after['levels']} levels, last fan-out "
        f"{after['last_fan_out']}, coverage {after['coverage']}"
    ]
    lines += [
        f"  {shard}: {row['node']} asks {row['backend'] or 'nobody'}"
        f"{'' if row['is_near'] else ' (another domain)'}"
        for shard, row in after["shards"].items()
    ]
    lines += [f"  {service} gets {share:.1%}" for service, share in after.get("shares", {}).items()]
    moved = changes(before=whole, after=after)
    if gone:
        lines.append(f"without {', '.join(gone)}:")
        lines += [f"  {line}" for line in moved] or ["  nothing changes"]
    show(body={"plan": after, "changes": moved}, is_json=is_json, text="\n".join(lines))


@app.command()
def status(
    core: Optional[List[str]] = CORE, edge: Optional[List[str]] = EDGE, is_json: bool = JSON
) -> None:
    """Show cores and edges: leader, log positions, membership, versions, who is behind."""
    if not core and not edge:
        need_addresses(given=[], what="core")
    views = []
    for address in (core or []) + (edge or []):
        need_addresses(given=[address], what="core")
        reply = ask(addresses=[address], method="GET", path="/v1/status", wait_us=2_000_000)
        views.append({"address": address, **good_or_fail(reply=reply, is_json=is_json)})
    show(body=views, is_json=is_json, text="\n\n".join(status_text(view=v) for v in views))


@app.command("roster", hidden=True)  # its name until 0.1.0
@app.command()
def membership(core: Optional[List[str]] = CORE, is_json: bool = JSON) -> None:
    """Show the edges on the membership, what each has installed, and who is behind."""
    reply = ask(
        addresses=need_addresses(given=core or [], what="core"), method="GET", path="/v1/roster"
    )
    body = good_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=membership_text(view=body))


@app.command("remove-edge")
def remove_edge(
    edges: List[str] = typer.Argument(help="The edges' names; together if there are several."),
    core: Optional[List[str]] = CORE,
    is_json: bool = JSON,
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


@app.command()
def drain(
    name: str = typer.Argument(help="A backend or node of the configuration."),
    core: Optional[List[str]] = CORE,
    edge: Optional[List[str]] = EDGE,
    wait_us: int = typer.Option(
        10_000_000, min=1, max=600_000_000, help="With --edge: how long to wait for idleness."
    ),
    is_json: bool = JSON,
) -> None:
    """Label a backend or node `drain`, so that no plan chooses it any more. With
    --edge, say what these edges still have open there until nothing is."""
    need_addresses(given=(core or []) + (edge or []), what="core")
    drains.set_drain(name=name, is_drained=True, cores=core or [], is_json=is_json)
    if edge:
        drains.wait_until_idle(name=name, edges=edge, wait_us=wait_us, is_json=is_json)


@app.command()
def undrain(
    name: str = typer.Argument(help="A backend or node of the configuration."),
    core: Optional[List[str]] = CORE,
    is_json: bool = JSON,
) -> None:
    """Take the label `drain` off again."""
    drains.set_drain(name=name, is_drained=False, cores=core or [], is_json=is_json)


@app.command("salvage", hidden=True)  # its name until 0.1.0
@app.command("recover")
def recover_cluster(
    data: str = typer.Argument(help="The data folder of the one core that is left."),
    own: str = typer.Option(..., help="IP:port of that core's own lines."),
    http: str = typer.Option(..., help="IP:port of that core's operators' HTTP."),
    edge_own: List[str] = typer.Option(..., help="IP:port of an edge's own lines; give most."),
    accept: str = typer.Option(
        "", help="Say `the-other-cores-are-gone-for-good`; without it nothing is done."
    ),
    is_json: bool = JSON,
) -> None:
    """After most cores are lost for good: make the one that is left a cluster of its
    own. It must be stopped. Refused while another core answers, or while most edges
    of the membership do not."""
    need_addresses(given=[own], what="own")
    need_addresses(given=[http], what="http")
    need_addresses(given=edge_own, what="edge-own")
    if accept != "the-other-cores-are-gone-for-good":
        fail(
            error=RecoveryRefusedError(
                why="give --accept the-other-cores-are-gone-for-good if that is so"
            ),
            code=BAD_INPUT,
            is_json=is_json,
        )
    if not os.path.isdir(data):
        fail(error=InvalidField(path=data, why="no such folder"), code=BAD_INPUT, is_json=is_json)
    outcome = asyncio.run(recovery_folder(data=data, own=own, http=http, edges=edge_own))
    if isinstance(outcome, KelpstageError):
        fail(error=outcome, code=REFUSED, is_json=is_json)
    show(
        body=asdict(outcome),
        is_json=is_json,
        text=f"A NEW CLUSTER {outcome.cluster} IN PLACE OF {outcome.was}.\n"
        f"It begins with configuration {outcome.version}, epoch {outcome.epoch}, from "
        f"{outcome.source}.\n"
        "Now: start this core; start two empty ones that have it among their seeds; then "
        "restart the edges one at a time.\n"
        "Never start a core of the old cluster again.",
    )


async def recovery_folder(
    *, data: str, own: str, http: str, edges: List[str]
) -> RecoveredCluster | KelpstageError:
    """Recovery with this machine's disk and lines."""
    return await recover_core(ports=live_ports(data_folder=data), own=own, http=http, edges=edges)


@app.command("import")
def import_routes(
    file: str = typer.Argument(help="An OpenAPI 3 file, JSON or YAML."),
    into: str = typer.Option(..., help="The configuration's file that the routes go into."),
    out: str = typer.Option(..., help="Write the new configuration here, for review."),
    is_json: bool = JSON,
) -> None:
    """Take routes over from an OpenAPI file; what is not taken over is named."""
    configuration = read_or_fail(path=into, is_json=is_json, code=BAD_INPUT)
    openapi = read_openapi(data=read_file(path=file))
    if isinstance(openapi, list):
        fail(error=InvalidConfigurationError(faults=openapi), code=BAD_INPUT, is_json=is_json)
    imported = routes_of(
        openapi=openapi,
        shards={
            name: sorted(c.shards)
            for name, c in configuration.collections.items()
            if name not in configuration.forward
        },
    )
    document = json.loads(configuration.document)
    document["routes"] = {**document.get("routes", {}), **imported.routes}
    data = json.dumps(document, indent=1, ensure_ascii=False).encode()
    judged = read_configuration(data=data, version=0)
    if isinstance(judged, InvalidConfigurationError):
        fail(error=judged, code=REFUSED, is_json=is_json)
    write_whole(path=out, data=data)
    left = [{"path": f.path, "why": f.why} for f in imported.unsupported]
    lines = [f"not taken over: {row['path']}: {row['why']}" for row in left]
    lines.append(f"{len(imported.routes)} routes in {out}; kelpctl diff {into} {out} shows them")
    show(
        body={"routes": imported.routes, "unsupported": left},
        is_json=is_json,
        text="\n".join(lines),
    )


def run() -> None:
    app()


if __name__ == "__main__":
    run()
