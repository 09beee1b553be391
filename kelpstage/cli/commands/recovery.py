"""The recover command: creates a new cluster from the last remaining core."""

from __future__ import annotations

import asyncio
import os
from dataclasses import asdict
from typing import List

import typer

from kelpstage.cli.client import require_addresses
from kelpstage.cli.options import AS_JSON
from kelpstage.cli.output import BAD_INPUT, REJECTED, fail, show
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RecoveryRefusedError
from kelpstage.common.errors.validation import InvalidField
from kelpstage.common.ports.live import live_ports
from kelpstage.core.cluster_recovery import RecoveredCluster
from kelpstage.core.cluster_recovery import recover_cluster as recover_core

CONFIRMATION = "the-other-cores-are-gone-for-good"


def recover_cluster(
    data: str = typer.Argument(help="Data folder of the remaining core."),
    own: str = typer.Option(..., help="IP:port on which that core talks to its peers."),
    http: str = typer.Option(..., help="IP:port of that core's HTTP listener for operators."),
    edge_own: List[str] = typer.Option(
        ..., help="IP:port on which a voting edge talks to its peers; give most of them."
    ),
    accept: str = typer.Option(
        "", help="Must be `the-other-cores-are-gone-for-good`; otherwise nothing is done."
    ),
    is_json: bool = AS_JSON,
) -> None:
    """Create a new cluster from the one remaining core after most cores are permanently lost.

    The core must be stopped. Rejected if another core replies, or if half of the voting edges
    do not reply.
    """
    _exit_unless_allowed(
        data=data, own=own, http=http, edge_own=edge_own, accept=accept, is_json=is_json
    )
    outcome = asyncio.run(recover_on_this_machine(data=data, own=own, http=http, edges=edge_own))
    if isinstance(outcome, KelpstageError):
        fail(error=outcome, code=REJECTED, is_json=is_json)
    show(body=asdict(outcome), is_json=is_json, text=_recovered_text(outcome=outcome))


def _exit_unless_allowed(
    *, data: str, own: str, http: str, edge_own: List[str], accept: str, is_json: bool
) -> None:
    require_addresses(given=[own], what="own")
    require_addresses(given=[http], what="http")
    require_addresses(given=edge_own, what="edge-own")
    if accept != CONFIRMATION:
        fail(
            error=RecoveryRefusedError(why=f"give --accept {CONFIRMATION} to confirm it"),
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
        "Next: start this core; start two empty cores with this one among their seeds; then "
        "restart the edges one at a time.\n"
        "Never start a core of the old cluster again."
    )


async def recover_on_this_machine(
    *, data: str, own: str, http: str, edges: List[str]
) -> RecoveredCluster | KelpstageError:
    """Recovers the cluster with the disk and the network of this machine."""
    return await recover_core(
        ports=live_ports(data_folder=data), own_address=own, http=http, edges=edges
    )
