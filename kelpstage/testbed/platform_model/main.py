"""`kelpstage-testbed platform`: seeded scenarios of the users' platform, checked by its rules."""

from __future__ import annotations

import random
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import typer

from kelpstage.testbed.number_lists import read_seeds
from kelpstage.testbed.platform_model.faults import CLOSING_FAULTS, PLATFORM_FAULTS
from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, play_scenario
from kelpstage.testbed.platform_model.shape import SHAPES

app = typer.Typer(help=__doc__)


@app.callback()
def platform() -> None:
    """The users' platform as their pages describe it, in virtual time."""


def plan_mix(
    *, deployment: str, seed: int, seconds: int, rate: float, count: int, message_us: int = 150
) -> Plan:
    """Several faults by seed, and now and then a closing fault.

    >>> plan_mix(deployment="senegal", seed=1, seconds=9, rate=1.0, count=2).seed
    1
    """
    rand = random.Random(f"{seed}/mix")
    return Plan(
        deployment=deployment,
        seed=seed,
        seconds=seconds,
        rate=rate,
        faults=tuple(rand.choice(sorted(PLATFORM_FAULTS)) for _ in range(count)),
        closing=rand.choice(sorted(CLOSING_FAULTS)) if rand.random() < 0.4 else "",
        message_us=message_us,
    )


def run_one(plan: Plan) -> tuple[Plan, list[str], str, dict]:
    """Run a scenario in a process of its own: broken rules, text, worth earned and owed."""
    try:
        outcome: Outcome = play_scenario(plan=plan)
    except Exception:
        return plan, ["BROKEN"], f"{plan}\n{traceback.format_exc()}", {}
    worth = {name: (owed.earned, owed.owed) for name, owed in outcome.owed.items()}
    return plan, [v.rule for v in outcome.violations], as_text(outcome=outcome), worth


@app.command()
def day(
    deployment: str = typer.Option("senegal", help=f"One of: {', '.join(SHAPES)}."),
    seeds: str = typer.Option("1-4", help="Seeds: 7, 1-40 or 3,5,8-9."),
    seconds: int = typer.Option(30, min=1, max=3600, help="How long clients ask."),
    rate: float = typer.Option(1.0, help="Share of the deployment's traffic."),
    trouble: list[str] = typer.Option(
        [], help="A trouble, or several; 'each': every one alone; none: a quiet day."
    ),
    mix: int = typer.Option(0, min=0, max=12, help="So many troubles by lot."),
    closing: str = typer.Option("", help=f"A closing fault: {', '.join(CLOSING_FAULTS)}."),
    message_us: int = typer.Option(
        150, min=0, help="Processor time of a node for each message, datagram and timer."
    ),
    workers: int = typer.Option(4, min=1, max=64, help="Days played side by side."),
    only_bad: bool = typer.Option(False, help="Print only days that broke a rule."),
) -> None:
    """Run seeded scenarios; print violations with their seed, and the worth by kind."""
    try:
        numbers = read_seeds(text=seeds)
    except ValueError:
        _refuse(f"seeds {seeds!r}: give 7, 1-40 or 3,5,8-9")
    if deployment not in SHAPES:
        _refuse(f"no deployment {deployment!r}; there are: {', '.join(SHAPES)}")
    unknown = [name for name in trouble if name not in PLATFORM_FAULTS and name != "each"]
    if unknown or closing and closing not in CLOSING_FAULTS:
        known = ", ".join(PLATFORM_FAULTS)
        _refuse(f"unknown: {', '.join(unknown) or closing}; there are: {known}, each")
    chosen = [(name,) for name in PLATFORM_FAULTS] if "each" in trouble else [tuple(trouble)]
    plans = [
        Plan(
            deployment=deployment,
            seed=seed,
            seconds=seconds,
            rate=rate,
            faults=faults,
            closing=closing,
            message_us=message_us,
        )
        for seed in numbers
        for faults in chosen
    ]
    if mix:
        plans = [
            plan_mix(
                deployment=deployment,
                seed=seed,
                seconds=seconds,
                rate=rate,
                count=mix,
                message_us=message_us,
            )
            for seed in numbers
        ]
    raise SystemExit(_play(plans=plans, workers=workers, only_bad=only_bad))


def _play(*, plans: list[Plan], workers: int, only_bad: bool) -> int:
    broken: Counter = Counter()
    clean, earned, owed = 0, Counter(), Counter()
    with ProcessPoolExecutor(max_workers=workers) as pool:
        for _, lines, text, worth in pool.map(run_one, plans):
            clean += not lines
            broken.update(set(lines))
            if lines or not only_bad:
                print(text, flush=True)
            for kind, (got, due) in worth.items():
                earned[kind] += got
                owed[kind] += due
    for kind in sorted(owed):
        print(f"{kind}: worth {earned[kind]:.1f} of {owed[kind]:.1f}")
    print(f"{clean} of {len(plans)} days clean; broken: {dict(broken)}")
    return 0 if clean == len(plans) else 1


def _refuse(text: str) -> None:
    typer.echo(text, err=True)
    raise SystemExit(2)
