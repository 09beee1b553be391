"""`kelpstage-testbed model`: the model checker on the command line."""

from __future__ import annotations

import itertools
import time
from concurrent.futures import ProcessPoolExecutor

import typer

from kelpstage.testbed.model.search import Limits, SearchReport, search
from kelpstage.testbed.model.system import Action, Scope
from kelpstage.testbed.model.walk import PROFILES, Outcome, as_test, random_walk, shrink

WARM_UP_ROUNDS = 60

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Check the real code of the control plane: every interleaving of a small system to "
    "a depth, or random walks far beyond it.",
)


def scope_of(
    *, machines: int, voters: int, operators: int, edges: int, observers: int = 0
) -> Scope:
    """Return a scope that tolerates as many lost disks as its number of voters can.

    >>> scope_of(machines=6, voters=5, operators=2, edges=1).tolerance
    2
    """
    return Scope(
        machines=max(machines, voters),
        voters=voters,
        tolerance=(voters - 1) // 2,
        operators=operators,
        edges=edges,
        observers=min(observers, edges),
    )


@app.command("search")
def search_command(
    voters: int = typer.Option(3, min=1, max=5, help="Voters; no other machines."),
    depth: int = typer.Option(8, min=1, max=60, help="Actions on one path."),
    states: int = typer.Option(100_000, min=10, help="Stop after this many states."),
    elections: int = typer.Option(2, min=0, help="Election timeouts on one path."),
    orders: int = typer.Option(1, min=0, help="Orders on one path."),
    crashes: int = typer.Option(1, min=0, help="Crashes on one path."),
    drops: int = typer.Option(1, min=0, help="Lost messages on one path."),
    duplicates: int = typer.Option(1, min=0, help="Duplicated messages on one path."),
    packets: int = typer.Option(4, min=1, help="Consider only this many of the oldest messages."),
    seconds: float = typer.Option(120.0, min=1.0, help="Stop after this many seconds."),
    led: bool = typer.Option(False, help="Begin with an elected leader instead of the bootstrap."),
) -> None:
    """Search every interleaving to a depth; print a shortest trace that violates an invariant."""
    limits = Limits(
        elections=elections,
        orders=orders,
        crashes=crashes,
        drops=drops,
        duplicates=duplicates,
        packets=packets,
    )
    report = search(
        scope=scope_of(machines=voters, voters=voters, operators=1, edges=0),
        depth=depth,
        states=states,
        seconds=seconds,
        limits=limits,
        first=(Action("rounds", WARM_UP_ROUNDS),) if led else (),
    )
    print(show_search(report=report))
    raise SystemExit(0 if report.failure is None else 1)


def show_search(*, report: SearchReport) -> str:
    """Return a search's figures, and the trace of the failure if it found one.

    >>> show_search(report=SearchReport(states=3, transitions=4, depth=2))
    '3 states, 4 transitions, depth 2 complete, 0.0 s'
    """
    end = ", nothing left" if report.is_complete else ""
    text = (
        f"{report.states} states, {report.transitions} transitions, "
        f"depth {report.depth} complete{end}, {report.seconds:.1f} s"
    )
    if report.failure is None:
        return text
    return f"{text}\n{report.failure.invariant}: {report.failure.detail}\n" + as_test(
        outcome=report.failure, is_search=True
    )


@app.command("walk")
def walk_command(
    machines: int = typer.Option(
        3, min=1, max=9, help="Machines; those beyond the voters stand by."
    ),
    voters: int = typer.Option(3, min=1, max=5, help="Voters."),
    operators: int = typer.Option(
        2, min=0, max=4, help="Operators, all writing the same next version."
    ),
    edges: int = typer.Option(3, min=0, max=9, help="Edges with leases."),
    observers: int = typer.Option(0, min=0, max=9, help="Edges among them that do not vote."),
    profile: str = typer.Option("chaos", help=f"One of: {', '.join(PROFILES)}."),
    first_seed: int = typer.Option(1, min=0, help="The first seed."),
    walks: int = typer.Option(40, min=1, help="Number of walks, one for each seed."),
    steps: int = typer.Option(3_000, min=1, help="Actions of each walk."),
    workers: int = typer.Option(4, min=1, max=64, help="Walks that run in parallel."),
) -> None:
    """Run random walks; print the first failing one, shortened, as a test method."""
    if profile not in PROFILES:
        raise typer.BadParameter(f"the profiles are: {', '.join(PROFILES)}", param_hint="--profile")
    scope = scope_of(
        machines=machines, voters=voters, operators=operators, edges=edges, observers=observers
    )
    began = time.monotonic()
    with ProcessPoolExecutor(max_workers=workers) as pool:
        outcomes = list(
            pool.map(
                _walk,
                itertools.repeat(scope),
                range(first_seed, first_seed + walks),
                itertools.repeat(steps),
                itertools.repeat(profile),
            )
        )
    print(show_walks(outcomes=outcomes, seconds=time.monotonic() - began))
    failed = [outcome for outcome in outcomes if not outcome.has_passed]
    for outcome in failed:
        print(f"seed {outcome.walk.seed}: {outcome.invariant}: {outcome.detail}")
    if failed:
        print(as_test(outcome=shrink(outcome=failed[0])))
    raise SystemExit(1 if failed else 0)


def _walk(scope: Scope, seed: int, steps: int, profile: str) -> Outcome:
    return random_walk(scope=scope, seed=seed, steps=steps, profile=profile)


def show_walks(*, outcomes: list[Outcome], seconds: float) -> str:
    """Return a one-line summary of walks.

    >>> show_walks(outcomes=[], seconds=1.0)
    '0 of 0 walks kept; 0 steps, 0 entries, 0 orders, 0 membership changes, 0 snapshots, 1.0 s'
    """
    kept = sum(outcome.has_passed for outcome in outcomes)
    return (
        f"{kept} of {len(outcomes)} walks kept; "
        f"{sum(o.steps for o in outcomes)} steps, {sum(o.entries for o in outcomes)} entries, "
        f"{sum(o.acknowledged for o in outcomes)} orders, "
        f"{sum(o.membership_changes for o in outcomes)} membership changes, "
        f"{sum(o.snapshots_fetched for o in outcomes)} snapshots, {seconds:.1f} s"
    )
