"""Replays a recording in a simulated deployment, for `kelpstage-replay run --sim`."""

from __future__ import annotations

import random

from kelpstage.common.recording.format import Row
from kelpstage.replay.results import Result
from kelpstage.replay.runner import Replay
from kelpstage.testbed.fleet.deployment import load, names
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim


def deployment_names() -> list[str]:
    """Return the names of the deployments that can be simulated.

    >>> "tiny" in deployment_names()
    True
    """
    return names()


def replay_in_simulation(
    *, rows: list[Row], deployment: str, seed: int, speed: float
) -> tuple[list[Result], int]:
    """Replay the rows, with their faults; return the results and the number of skipped rows."""
    replays: list[Replay] = []

    async def scenario(fleet: SimFleet) -> None:
        await fleet.bring_up()
        replay = _make_replay(fleet=fleet, rows=rows, seed=seed, speed=speed)
        replays.append(replay)
        await replay.run()

    run_sim(seed=seed, deployment=load(name=deployment), scenario=scenario)
    return replays[0].results, replays[0].skipped


def _make_replay(*, fleet: SimFleet, rows: list[Row], seed: int, speed: float) -> Replay:
    edges = list(fleet.edge_http.values())

    async def on_fault(row: Row) -> None:
        if row["name"] in FAULTS:
            await FAULTS[row["name"]](fleet, random.Random(f"{seed}/{row['at_us']}"))

    return Replay(
        ports=fleet.outside.ports,
        rows=rows,
        edge_of=lambda number: edges[number % len(edges)],
        core_of=lambda number: fleet.core_http(name=sorted(fleet.core_address)[0]),
        speed=speed,
        on_fault=on_fault,
    )
