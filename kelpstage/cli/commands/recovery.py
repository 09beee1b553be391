"""The recover command: a new cluster from the one core that is left."""

from __future__ import annotations

import asyncio
import os
from dataclasses import asdict
from typing import List

import typer

from kelpstage.cli.client import need_addresses
from kelpstage.cli.options import AS_JSON
from kelpstage.cli.output import BAD_INPUT, REFUSED, fail, show
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RecoveryRefusedError
from kelpstage.common.errors.validation import InvalidField
from kelpstage.common.ports.live import live_ports
from kelpstage.core.cluster_recovery import RecoveredCluster
from kelpstage.core.cluster_recovery import recover_cluster as recover_core

ACCEPTANCE = "the-other-cores-are-gone-for-good"


def recover_cluster(
    data: str = typer.Argument(help="The data folder of the one core that is left."),
    own: str = typer.Option(..., help="IP:port of that core's own lines."),
    http: str = typer.Option(..., help="IP:port of that core's operators' HTTP."),
    edge_own: List[str] = typer.Option(
        ..., help="IP:port of a voting edge's own lines; give most."
    ),
    accept: str = typer.Option(
        "", help="Say `the-other-cores-are-gone-for-good`; without it nothing is done."
    ),
    is_json: bool = AS_JSON,
) -> None:
    """After most cores are lost for good: make the one that is left a cluster of its
    own. It must be stopped. Refused while another core answers, or while half of the
    voting edges do not."""
    _fail_unless_allowed(
        data=data, own=own, http=http, edge_own=edge_own, accept=accept, is_json=is_json
    )
    outcome = asyncio.run(recover_on_this_machine(data=data, own=own, http=http, edges=edge_own))
    if isinstance(outcome, KelpstageError):
        fail(error=outcome, code=REFUSED, is_json=is_json)
    show(body=asdict(outcome), is_json=is_json, text=_recovered_text(outcome=outcome))


def _fail_unless_allowed(
    *, data: str, own: str, http: str, edge_own: List[str], accept: str, is_json: bool
) -> None:
    need_addresses(given=[own], what="own")
    need_addresses(given=[http], what="http")
    need_addresses(given=edge_own, what="edge-own")
    if accept != ACCEPTANCE:
        fail(
            error=RecoveryRefusedError(why=f"give --accept {ACCEPTANCE} if that is so"),
            code=BAD_INPUT,
            is_json=is_json,
        )
    if not os.path.isdir(data):
        fail(error=InvalidField(path=data, why="no such folder"), code=BAD_INPUT, is_json=is_json)


def _recovered_text(*, outcome: RecoveredCluster) -> str:
    return (
        f"A NEW CLUSTER {outcome.cluster} IN PLACE OF {outcome.was}.\n"
        f"It begins with configuration {outcome.version}, epoch {outcome.epoch}, from "
        f"{outcome.source}.\n"
        "Now: start this core; start two empty ones that have it among their seeds; then "
        "restart the edges one at a time.\n"
        "Never start a core of the old cluster again."
    )


async def recover_on_this_machine(
    *, data: str, own: str, http: str, edges: List[str]
) -> RecoveredCluster | KelpstageError:
    """Recovery with this machine's disk and network."""
    return await recover_core(
        ports=live_ports(data_folder=data), own_address=own, http=http, edges=edges
    )
