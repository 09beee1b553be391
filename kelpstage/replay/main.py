"""`kelpstage-replay`: records of days: show them, replay them, compare what came of them.

Exit codes: 0 done; 1 the results differ; 2 bad input; 4 nobody reached.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, List, Optional

import typer

from kelpstage.common.ports.live import live_ports
from kelpstage.common.recording.format import Row
from kelpstage.common.transport.address import is_address
from kelpstage.replay.diff import diff_results
from kelpstage.replay.files import exit_bad_input, load, save
from kelpstage.replay.results import Result, read_results, summary_of_results
from kelpstage.replay.runner import Replay
from kelpstage.replay.simulation import load_simulator
from kelpstage.replay.summary import summary_of

RESULTS_DIFFER, NOBODY_REACHED = 1, 4
CHANGES_SHOWN = 50
NOT_REACHED_END = "connect_refused"

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)
TORN = typer.Option(False, "--torn-tail", help="Read a torn file up to its last whole record.")


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
        results, skipped = _run_simulated(rows=rows, deployment=sim, seed=seed, speed=speed)
    else:
        edges, cores = edge or [], core or []
        _exit_unless_addresses(edges=edges, cores=cores)
        results, skipped = asyncio.run(_run_live(rows=rows, edges=edges, cores=cores, speed=speed))
    save(path=out, rows=[result.as_row() for result in results])
    _print({**summary_of_results(results=results), "left_out": skipped})
    if results and all(result.end == NOT_REACHED_END for result in results):
        raise SystemExit(NOBODY_REACHED)


def _exit_unless_addresses(*, edges: list[str], cores: list[str]) -> None:
    bad = [address for address in edges + cores if not is_address(address=address)]
    if not edges or bad:
        exit_bad_input(f"--edge and --core take IP:port; {bad[0] if bad else 'no edge was given'}")


async def _run_live(
    *, rows: list[Row], edges: list[str], cores: list[str], speed: float
) -> tuple[list[Result], int]:
    """The results of a replay against a live fleet, and how many rows were left out."""
    replay = Replay(
        ports=live_ports(data_folder=None),
        rows=rows,
        edge_of=lambda number: edges[number % len(edges)],
        core_of=(lambda number: cores[number % len(cores)]) if cores else None,
        speed=speed,
    )
    await replay.run()
    return replay.results, replay.skipped


def _run_simulated(
    *, rows: list[Row], deployment: str, seed: int, speed: float
) -> tuple[list[Result], int]:
    """The results of a replay in a simulated deployment, and how many rows were left out."""
    simulator = load_simulator()
    if simulator is None:
        exit_bad_input("the simulator comes with the rig, which is not installed here")
    names = simulator.deployment_names()
    if deployment not in names:
        exit_bad_input(f"no deployment {deployment!r}; there are: {', '.join(names)}")
    return simulator.replay_in_simulation(rows=rows, deployment=deployment, seed=seed, speed=speed)


@app.command()
def diff(
    a: str = typer.Argument(help="A result."),
    b: str = typer.Argument(help="Another result."),
) -> None:
    """Compare two results: verdicts, coverage, times. Exit code 1 if verdicts differ."""
    first = read_results(rows=load(path=a, is_torn_tail_fine=False))
    second = read_results(rows=load(path=b, is_torn_tail_fine=False))
    if not first or not second:
        exit_bad_input(f"no results in {a if not first else b}; kelpstage-replay run writes them")
    body = diff_results(a=first, b=second)
    count = len(body["changed"])
    _print({**body, "changed": body["changed"][:CHANGES_SHOWN], "changed_count": count})
    raise SystemExit(RESULTS_DIFFER if count else 0)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
