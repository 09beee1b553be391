"""`kelpstage-replay`: records of days: show them, replay them, compare what came of them.

Exit codes: 0 done; 1 the results differ; 2 bad input; 4 nobody reached.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
from typing import Any, List, NoReturn, Optional

import typer

from kelpstage.cli.client import write_whole
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.live import live_ports
from kelpstage.common.recording.format import HEAD, Row, pack_row, read_day
from kelpstage.common.transport.address import is_address
from kelpstage.replay.diff import diff_results
from kelpstage.replay.runner import Replay, read_results, summary_of_results
from kelpstage.replay.show import summary_of

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)
TORN = typer.Option(False, "--torn-tail", help="Read a torn file up to its last whole record.")


def _bad(text: str) -> NoReturn:
    print(text, file=sys.stderr)
    raise SystemExit(2)


def load(*, path: str, is_torn_tail_fine: bool) -> list[Row]:
    """A day's rows, or an end with the error and its place."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        _bad(f"unreadable: {path}: {error.strerror}")
    rows = read_day(path=path, data=data, is_torn_tail_fine=is_torn_tail_fine)
    if isinstance(rows, KelpstageError):
        why = getattr(rows, "why", "the file ends within a record; --torn-tail reads what is whole")
        _bad(f"{rows.kind}: {path} at offset {rows.offset}: {why}")
    return rows


def save(*, path: str, rows: list[Row]) -> None:
    """Write rows whole or not at all: beside, then renamed."""
    write_whole(path=path, data=HEAD + b"".join(pack_row(row=row) for row in rows))


def _print(body: Any) -> None:
    print(json.dumps(body, indent=1, ensure_ascii=False))


@app.command()
def show(day: str = typer.Argument(help="A day's file."), torn_tail: bool = TORN) -> None:
    """List what a day, or a result, holds."""
    rows = load(path=day, is_torn_tail_fine=torn_tail)
    results = read_results(rows=rows)
    _print(summary_of_results(results=results) if results else summary_of(rows=rows))


@app.command("run")
def run_day(
    day: str = typer.Argument(help="A day's file."),
    out: str = typer.Option(..., help="Write the result here."),
    edge: Optional[List[str]] = typer.Option(None, help="IP:port of an edge's HTTP; several."),
    core: Optional[List[str]] = typer.Option(
        None, help="IP:port of a core's HTTP; without one, puts are left out."
    ),
    sim: Optional[str] = typer.Option(
        None, help="Replay in a simulated deployment of this name, on virtual time."
    ),
    seed: int = typer.Option(1, help="The simulator's seed."),
    speed: float = typer.Option(1.0, min=0.01, max=1000.0, help="2 is twice as fast."),
    torn_tail: bool = TORN,
) -> None:
    """Send a day's calls and puts again, at their times, and write what came of it."""
    rows = load(path=day, is_torn_tail_fine=torn_tail)
    if sim is not None:
        results, skipped = _run_sim(rows=rows, name=sim, seed=seed, speed=speed)
    else:
        addresses = (edge or []) + (core or [])
        bad = [address for address in addresses if not is_address(address=address)]
        if not edge or bad:
            _bad(f"--edge and --core take IP:port; {bad[0] if bad else 'no edge was given'}")
        results, skipped = asyncio.run(
            _run_live(rows=rows, edges=edge, cores=core or [], speed=speed)
        )
    save(path=out, rows=results)
    _print({**summary_of_results(results=results), "left_out": skipped})
    if results and all(row["end"] == "connect_refused" for row in results):
        raise SystemExit(4)


async def _run_live(
    *, rows: list[Row], edges: list[str], cores: list[str], speed: float
) -> tuple[list[Row], int]:
    replay = Replay(
        ports=live_ports(data_folder=None),
        rows=rows,
        edge_of=lambda number: edges[number % len(edges)],
        core_of=(lambda number: cores[number % len(cores)]) if cores else None,
        speed=speed,
    )
    await replay.run()
    return replay.results, replay.skipped


def _run_sim(*, rows: list[Row], name: str, seed: int, speed: float) -> tuple[list[Row], int]:
    try:
        from kelpstage.testbed.fleet.deployment import load as load_deployment
        from kelpstage.testbed.fleet.deployment import names
        from kelpstage.testbed.simulation.faults import FAULTS
        from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
    except ImportError:
        _bad("the simulator comes with the rig, which is not installed here")
    if name not in names():
        _bad(f"no deployment {name!r}; there are: {', '.join(names())}")
    replays: list[Replay] = []

    async def story(fleet: SimFleet) -> None:
        await fleet.bring_up()
        edges = list(fleet.edge_http.values())

        async def on_fault(row: Row) -> None:
            if row["name"] in FAULTS:
                await FAULTS[row["name"]](fleet, random.Random(f"{seed}/{row['at_us']}"))

        replay = Replay(
            ports=fleet.outside.ports,
            rows=rows,
            edge_of=lambda number: edges[number % len(edges)],
            core_of=lambda number: fleet.core_http(name=sorted(fleet.core_address)[0]),
            speed=speed,
            on_fault=on_fault,
        )
        replays.append(replay)
        await replay.run()

    run_sim(seed=seed, deployment=load_deployment(name=name), story=story)
    return replays[0].results, replays[0].skipped


@app.command()
def diff(
    a: str = typer.Argument(help="A result."),
    b: str = typer.Argument(help="Another result."),
) -> None:
    """Compare two results: verdicts, coverage, times. Exit code 1 if verdicts differ."""
    first = read_results(rows=load(path=a, is_torn_tail_fine=False))
    second = read_results(rows=load(path=b, is_torn_tail_fine=False))
    if not first or not second:
        _bad(f"no results in {a if not first else b}; kelpstage-replay run writes them")
    body = diff_results(a=first, b=second)
    count = len(body["changed"])
    _print({**body, "changed": body["changed"][:50], "changed_count": count})
    raise SystemExit(1 if count else 0)


def run() -> None:
    app()


if __name__ == "__main__":
    run()
