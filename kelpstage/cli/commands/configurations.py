"""Commands on complete configurations: validate, compare, read, write."""

from __future__ import annotations

import json
import secrets
from typing import List, Optional

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.files import read_configuration_file, read_file, write_file_atomically
from kelpstage.cli.offline.diff import diff_of
from kelpstage.cli.offline.warnings import warnings_of
from kelpstage.cli.options import AS_JSON, CORES
from kelpstage.cli.output import BAD_INPUT, show
from kelpstage.common.configuration.types import Configuration

DEFAULT_TIMEOUT_US = 10_000_000
MAX_TIMEOUT_US = 120_000_000


def check(
    file: str = typer.Argument(help="File with the configuration."), is_json: bool = AS_JSON
) -> None:
    """Validate a configuration offline with the code of the core, and print warnings.

    The exit code is 1 if there are errors; warnings do not change it.
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
    old: str = typer.Argument(help="File with the current configuration."),
    new: str = typer.Argument(help="File with the new configuration."),
    is_json: bool = AS_JSON,
) -> None:
    """Show what a new configuration would change."""
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
    out: Optional[str] = typer.Option(
        None, help="Write the configuration to this file instead of stdout."
    ),
    is_source: bool = typer.Option(
        False, "--source", help="Print only the text of the `source` section."
    ),
) -> None:
    """Print the configuration that the leader has; its version goes to stderr."""
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"),
        method="GET",
        path="/v1/configuration",
    )
    if reply.status != 200:
        json_or_fail(reply=reply, is_json=False)
    version = reply.headers.get("etag", "").strip('"')
    data = reply.body
    if is_source:
        data = json.loads(data).get("source", "").encode()
    if out:
        write_file_atomically(path=out, data=data)
    else:
        typer.echo(data.decode("utf-8"))
    typer.echo(f"version {version}", err=True)


def put(
    file: str = typer.Argument(help="File with the configuration."),
    replaces: int = typer.Option(..., min=0, help="The version that this write replaces; 0: none."),
    core: Optional[List[str]] = CORES,
    put_id: Optional[str] = typer.Option(
        None, help="The id of an earlier write, to repeat that write."
    ),
    version: Optional[int] = typer.Option(
        None, min=1, help="The new version, above the current one; the default is the next version."
    ),
    wait_us: int = typer.Option(
        DEFAULT_TIMEOUT_US,
        min=1,
        max=MAX_TIMEOUT_US,
        help="Time to wait for the result, in microseconds.",
    ),
    is_json: bool = AS_JSON,
) -> None:
    """Write a complete configuration.

    It is acknowledged once no edge can serve an older version.
    """
    document = read_file(path=file)
    addresses = require_addresses(given=core or [], what="core")
    write_id = put_id or secrets.token_hex(8)
    typer.echo(f"put id {write_id}", err=True)
    reply = send_request(
        addresses=addresses,
        method="PUT",
        path="/v1/configuration",
        headers={
            "If-Match": f'"{replaces}"',
            "Kelp-Put-Id": write_id,
            **({"Kelp-Version": str(version)} if version else {}),
        },
        body=document,
        wait_us=wait_us,
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=f"version {body['version']} is current")


def put_state(
    put_id: str = typer.Argument(help="The id of the write."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Show the result of a configuration write."""
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"),
        method="GET",
        path=f"/v1/puts/{put_id}",
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    text = f"{body['state']}" + (f", version {body['version']}" if "version" in body else "")
    show(body=body, is_json=is_json, text=text)
