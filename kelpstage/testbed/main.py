"""`kelpstage-testbed`: the command line of the testbed, the only program that starts processes."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Optional

import typer

from kelpstage.testbed.bench_scenarios import run_bench_scenarios
from kelpstage.testbed.fleet.demo import serve_demo
from kelpstage.testbed.fleet.deployment import configuration_of, load, names
from kelpstage.testbed.fleet.record import write_recording
from kelpstage.testbed.fleet.scenario import run_scenario
from kelpstage.testbed.fleet.soak_runs import SoakPlan, run_soaks, soak_text, write_soak_report
from kelpstage.testbed.fleet.summary import summary_text, write_report
from kelpstage.testbed.measure.choices import CHOICES, run_variant, summarize
from kelpstage.testbed.measure.http import measure_http
from kelpstage.testbed.model.main import app as model_app
from kelpstage.testbed.number_lists import read_seeds
from kelpstage.testbed.output import say_bad, write_history
from kelpstage.testbed.platform_model.main import app as platform_app
from kelpstage.testbed.simulation.commands import shrink, sim

app = typer.Typer(add_completion=False, help=__doc__, pretty_exceptions_enable=False)
app.add_typer(platform_app, name="platform")
app.add_typer(model_app, name="model")
app.command()(sim)
app.command()(shrink)


@app.callback()
def rig() -> None:
    """Runs fleets of real processes on loopback, and simulated fleets."""


@app.command()
def days(
    bench: str = typer.Option(help="Path of the bench's program."),
    site: list[Path] = typer.Option(help="A site file; may be repeated."),
    day: list[str] = typer.Option([], help="Run only these scenarios of kelpstage/testbed/days."),
    why: str = typer.Option("Days of our own", help="Text for the bench's journal."),
    jobs: int = typer.Option(6, min=1, help="Number of processor cores that the bench may use."),
    cpu: bool = typer.Option(
        True, help="Charge processor time; without it, results are mostly repeatable."
    ),
    seed: Optional[int] = typer.Option(None, help="Seed to use instead of those in the scenarios."),
) -> None:
    """Run the scenarios of kelpstage/testbed/days on the users' bench; exit code 1 if one fails."""
    options = ["--jobs", str(jobs)]
    options += [] if cpu else ["--no-cpu"]
    options += [] if seed is None else ["--seed", str(seed)]
    results = run_bench_scenarios(bench=bench, sites=site, names=day, why=why, options=options)
    kept = sum(result.has_passed for result in results)
    print(f"{kept} of {len(results)} kept")
    if kept < len(results):
        raise typer.Exit(code=1)


@app.command()
def fleet(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}."),
    seconds: int = typer.Option(60, min=5, max=3600, help="Duration of the load."),
    seed: int = typer.Option(1, help="Seed of the stand-in backends."),
    faults: bool = typer.Option(
        True, help="Apply configuration changes, kills and restarts during the run."
    ),
    history: Optional[str] = typer.Option(
        None, help="Write the history to this file (JSON lines)."
    ),
    record: Optional[str] = typer.Option(None, help="Write a recording for kelpstage-replay."),
    is_json: bool = typer.Option(False, "--json", help="Print JSON instead of the table."),
    folder: Optional[Path] = typer.Option(
        None, "--report", help="Write summary, result, metrics by second and plots to this folder."
    ),
) -> None:
    """Run a deployment at its full size and rates, and report by kind of call.

    Events that do not fit into the duration are skipped and listed. Start and shutdown take
    about 10 s each, in addition to the duration.
    """
    if deployment not in names():
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}")
    started_s = time.monotonic()

    def log_progress(text: str) -> None:
        print(f"[{time.monotonic() - started_s:6.1f} s] {text}", file=sys.stderr, flush=True)

    outcome = asyncio.run(
        run_scenario(
            name=deployment,
            seconds=seconds,
            seed=seed,
            has_faults=faults,
            log_progress=log_progress,
        )
    )
    result = outcome.result
    if history:
        write_history(path=history, rows=outcome.history)
    if record:
        write_recording(path=record, history=outcome.history)
    if folder is not None:
        files = write_report(folder=folder, result=result, rows=outcome.metrics, logs=outcome.logs)
        log_progress(f"written to {folder}: {', '.join(files)}")
    text = json.dumps(result, indent=1, ensure_ascii=False, default=str)
    print(text if is_json else summary_text(result=result))
    is_good = (
        not result["violations"]
        and not result["wrong"]
        and all(kind["sent"] and not kind["refused"] for kind in result["kinds"].values())
    )
    raise SystemExit(0 if is_good else 1)


@app.command()
def soak(
    deployment: str = typer.Option("tiny", help=f"One of: {', '.join(names())}."),
    seeds: str = typer.Option("1", help="Seeds, one soak each: 7, 1-40 or 3,5,8-9."),
    seconds: float = typer.Option(30.0, min=5.0, max=7200.0, help="Duration of the faults."),
    callers: int = typer.Option(12, min=1, max=2000, help="Callers, each with its own connection."),
    edges: int = typer.Option(
        0, min=0, max=250, help="Total number of machines, if more than the deployment has."
    ),
    jobs: int = typer.Option(1, min=1, max=8, help="Soaks that run in parallel."),
    reports: Optional[Path] = typer.Option(None, help="Write logs of failed soaks to this folder."),
    quiet: bool = typer.Option(False, help="Print only one line for each soak."),
) -> None:
    """Run real processes under overlapping signals, restarts and changes; check them at the end.

    Callers use their connections until the process at the other end is gone. Exit code 1 if a
    rule is violated. Each process needs about 45 MB of memory.
    """
    if deployment not in names():
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}")
    plans = [
        SoakPlan(
            deployment=deployment,
            seed=seed,
            seconds=seconds,
            callers=callers,
            edges=edges,
            is_quiet=quiet,
        )
        for seed in read_seeds(text=seeds)
    ]
    broken = 0
    for result in run_soaks(plans=plans, jobs=jobs):
        print(soak_text(result=result), flush=True)
        if result.violations:
            broken += 1
            if reports is not None:
                write_soak_report(folder=reports / f"seed-{result.seed}", result=result)
    print(f"{len(plans) - broken} of {len(plans)} soaks kept")
    raise SystemExit(1 if broken else 0)


@app.command()
def configuration(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}."),
) -> None:
    """Print the configuration that a deployment's operators would write. It has no backend
    addresses, because these come from the platform's list."""
    if deployment not in names():
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}")
    print(configuration_of(deployment=load(name=deployment), addresses={}).decode())


@app.command()
def backends(
    collection: str = typer.Option("demo", help="Name of the collection."),
    shards: int = typer.Option(4, min=1, max=64, help="Shards; each gets two backends."),
    first_port: int = typer.Option(7501, min=1024, max=60_000, help="First loopback port."),
    configuration: str = typer.Option(..., help="Write a matching configuration to this file."),
) -> None:
    """Serve stand-in backends in this process until SIGTERM or SIGINT."""
    asyncio.run(
        serve_demo(
            collection=collection, count=shards, first_port=first_port, configuration=configuration
        )
    )


@app.command()
def measure(
    choice: str = typer.Argument(help=f"One of: {', '.join(CHOICES)}, http."),
    deployment: str = typer.Option("senegal", help=f"One of: {', '.join(names())}."),
    seeds: str = typer.Option("1-8", help="Seeds: 7, 1-40 or 3,5,8-9."),
    far_ms: int = typer.Option(0, min=0, max=500, help="Distance between zones, as in sim."),
    workers: int = typer.Option(
        8, min=1, max=64, help="Number of simulations that run in parallel."
    ),
    calls: int = typer.Option(4_000, min=100, max=100_000, help="http: calls in each turn."),
    turns: int = typer.Option(5, min=1, max=50, help="http: turns of each transport."),
) -> None:
    """Compare the variants of a design choice over the same seeds in virtual time; with `http`,
    measure the processor time of an HTTP call."""
    if choice == "http":
        print(measure_http(calls=calls, turns=turns))
        return
    if choice not in CHOICES:
        say_bad(f"no choice {choice!r}; there are: {', '.join(CHOICES)}, http")
    if deployment not in names():
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}")
    try:
        numbers = read_seeds(text=seeds)
    except ValueError:
        say_bad(f"seeds {seeds!r}: give 7, 1-40 or 3,5,8-9")
    with ProcessPoolExecutor(max_workers=workers) as pool:
        futures = [
            pool.submit(
                run_variant,
                choice=choice,
                variant=v.name,
                deployment=deployment,
                seed=seed,
                far_us=far_ms * 1000,
            )
            for seed in numbers
            for v in CHOICES[choice].variants
        ]
        rows = [future.result() for future in futures]
    print(CHOICES[choice].description)
    for variant, row in summarize(rows=rows).items():
        print(f"{variant}: {json.dumps(row)}")


def run() -> None:
    """The entry point of the `kelpstage-testbed` command."""
    app()


if __name__ == "__main__":
    run()
