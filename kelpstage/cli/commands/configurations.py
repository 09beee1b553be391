"""Commands on whole configurations: validate, compare, read, put."""

from __future__ import annotations

import json
import secrets
from typing import List, Optional

import typer

from kelpstage.cli.client import ask, good_or_fail, need_addresses
from kelpstage.cli.files import read_configuration_file, read_file, write_whole
from kelpstage.cli.offline.diff import diff_of
from kelpstage.cli.offline.warnings import warnings_of
from kelpstage.cli.options import AS_JSON, CORES
from kelpstage.cli.output import BAD_INPUT, show
from kelpstage.common.configuration.types import Configuration

DEFAULT_WAIT_US = 10_000_000
LONGEST_WAIT_US = 120_000_000


def check(
    file: str = typer.Argument(help="The configuration's file."), is_json: bool = AS_JSON
) -> None:
    """Validate a configuration offline, by the core's own code, with warnings.

    A fault means exit code 1; warnings alone do not.
    """
    configuration = read_configuration_file(path=file, is_json=is_json)
    warnings = [{"path": w.path, "why": w.why} for w in warnings_of(configuration=configuration)]
    lines = [f"warning at {w['path']}: {w['why']}" for w in warnings]
    lines.append(_counts_text(configuration=configuration))
    show(body={"faults": [], "warnings": warnings}, is_json=is_json, text="\n".join(lines))


def _counts_text(*, configuration: Configuration) -> str:
    text = f"good: {len(configuration.backends)} backends, {len(configuration.routes)} routes"
    if configuration.forward:
        text += f" ({len(configuration.forward)} forward), {len(configuration.services)} services"
    return text


def diff(
    old: str = typer.Argument(help="The configuration's file as it is."),
    new: str = typer.Argument(help="The configuration's file as it would be."),
    is_json: bool = AS_JSON,
) -> None:
    """Show what a new configuration would alter."""
    rows = diff_of(
        old=read_configuration_file(path=old, is_json=is_json, code=BAD_INPUT),
        new=read_configuration_file(path=new, is_json=is_json),
    )
    text = "\n".join(
        f"{row['path']}: {json.dumps(row['was'])} -> {json.dumps(row['will'])}" for row in rows
    )
    show(body={"changes": rows}, is_json=is_json, text=text or "no change")


def get(
    core: Optional[List[str]] = CORES,
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


def put(
    file: str = typer.Argument(help="The configuration's file."),
    replaces: int = typer.Option(..., min=0, help="The version that this put replaces; 0: none."),
    core: Optional[List[str]] = CORES,
    put_id: Optional[str] = typer.Option(
        None, help="Give the id of an earlier put to ask about it again."
    ),
    version: Optional[int] = typer.Option(
        None, min=1, help="The version that it gets, above the one in force; else the next."
    ),
    wait_us: int = typer.Option(DEFAULT_WAIT_US, min=1, max=LONGEST_WAIT_US, help="Time left."),
    is_json: bool = AS_JSON,
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


def put_state(
    put_id: str = typer.Argument(help="The put's id."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
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
