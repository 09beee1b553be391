"""`kelpstage-replay`: shows recordings of traffic, replays them and compares the results.

Exit codes: 0 success; 1 the results differ; 2 bad input; 4 every connection was refused.
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

RESULTS_DIFFER, ALL_REFUSED = 1, 4
MAX_CHANGES_SHOWN = 50
CONNECT_REFUSED = "connect_refused"

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)
TORN_TAIL_OPTION = typer.Option(
    False, "--torn-tail", help="Read a truncated file up to its last complete record."
)


def _print_json(body: Any) -> None:
    print(json.dumps(body, indent=1, ensure_ascii=False))


@app.command()
def show(
    day: str = typer.Argument(help="File of a recording or a result."),
    torn_tail: bool = TORN_TAIL_OPTION,
) -> None:
    """Show a summary of a recording or a result."""
    rows = load(path=day, allows_truncated_tail=torn_tail)
    results = read_results(rows=rows)
    _print_json(summary_of_results(results=results) if results else summary_of(rows=rows))


@app.command("run")
def run_day(
    day: str = typer.Argument(help="File of a recording."),
    out: str = typer.Option(..., help="File to write the result to."),
    edge: Optional[List[str]] = typer.Option(
        None, help="HTTP address of an edge, IP:port; can be repeated."
    ),
    core: Optional[List[str]] = typer.Option(
        None, help="HTTP address of a core, IP:port; without one, puts are skipped."
    ),
    sim: Optional[str] = typer.Option(
        None, help="Replay in the simulated deployment of this name, on virtual time."
    ),
    seed: int = typer.Option(1, help="Random seed of the simulation."),
    speed: float = typer.Option(
        1.0, min=0.01, max=1000.0, help="Speed factor; 2 is twice as fast."
    ),
    torn_tail: bool = TORN_TAIL_OPTION,
) -> None:
    """Send the recorded requests and puts again at their recorded times; write the result."""
    rows = load(path=day, allows_truncated_tail=torn_tail)
    if sim is not None:
        results, skipped = _run_simulated(rows=rows, deployment=sim, seed=seed, speed=speed)
    else:
        edges, cores = edge or [], core or []
        _exit_unless_addresses(edges=edges, cores=cores)
        results, skipped = asyncio.run(_run_live(rows=rows, edges=edges, cores=cores, speed=speed))
    save(path=out, rows=[result.as_row() for result in results])
    _print_json({**summary_of_results(results=results), "left_out": skipped})
    if results and all(result.end == CONNECT_REFUSED for result in results):
        raise SystemExit(ALL_REFUSED)


def _exit_unless_addresses(*, edges: list[str], cores: list[str]) -> None:
    bad = [address for address in edges + cores if not is_address(address=address)]
    if not edges or bad:
        exit_bad_input(f"--edge and --core take IP:port; {bad[0] if bad else 'no edge was given'}")


async def _run_live(
    *, rows: list[Row], edges: list[str], cores: list[str], speed: float
) -> tuple[list[Result], int]:
    """Replays against a live fleet; returns the results and the number of skipped rows."""
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
    """Replays in a simulated deployment; returns the results and the number of skipped rows."""
    simulator = load_simulator()
    if simulator is None:
        exit_bad_input("the simulator is part of the testbed, which is not installed")
    names = simulator.deployment_names()
    if deployment not in names:
        exit_bad_input(f"unknown deployment {deployment!r}; available: {', '.join(names)}")
    return simulator.replay_in_simulation(rows=rows, deployment=deployment, seed=seed, speed=speed)


@app.command()
def diff(
    a: str = typer.Argument(help="File of a result."),
    b: str = typer.Argument(help="File of another result."),
) -> None:
    """Compare outcomes, coverage and durations. Exit code 1 if an outcome or coverage differs."""
    first = read_results(rows=load(path=a, allows_truncated_tail=False))
    second = read_results(rows=load(path=b, allows_truncated_tail=False))
    if not first or not second:
        exit_bad_input(f"no results in {a if not first else b}; kelpstage-replay run writes them")
    body = diff_results(a=first, b=second)
    count = len(body["changed"])
    _print_json({**body, "changed": body["changed"][:MAX_CHANGES_SHOWN], "changed_count": count})
    raise SystemExit(RESULTS_DIFFER if count else 0)


def run() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    run()
