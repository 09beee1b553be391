"""`kelpstage-testbed platform`: seeded scenarios of the platform model, checked by its rules."""

from __future__ import annotations

import random
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import typer

from kelpstage.testbed.number_lists import read_seeds
from kelpstage.testbed.platform_model.faults import CLOSING_FAULTS, PLATFORM_FAULTS
from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, run_scenario
from kelpstage.testbed.platform_model.shape import SHAPES

app = typer.Typer(help=__doc__)


@app.callback()
def platform() -> None:
    """A model of the platform on which the product is deployed, in virtual time."""


def plan_mix(
    *, deployment: str, seed: int, seconds: int, rate: float, count: int, message_us: int = 150
) -> Plan:
    """A plan with random faults from the seed; two in five have a closing fault.

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


def run_plan(plan: Plan) -> tuple[Plan, list[str], str, dict]:
    """Run a scenario; the plan, violated rules, report, and earned and possible worth by kind."""
    try:
        outcome: Outcome = run_scenario(plan=plan)
    except Exception:
        return plan, ["BROKEN"], f"{plan}\n{traceback.format_exc()}", {}
    worth = {
        name: (score.earned_worth, score.possible_worth) for name, score in outcome.scores.items()
    }
    return plan, [v.rule for v in outcome.violations], as_text(outcome=outcome), worth


@app.command()
def day(
    deployment: str = typer.Option("senegal", help=f"One of: {', '.join(SHAPES)}."),
    seeds: str = typer.Option("1-4", help="Seeds: 7, 1-40 or 3,5,8-9."),
    seconds: int = typer.Option(30, min=1, max=3600, help="How long clients send requests."),
    rate: float = typer.Option(1.0, help="Share of the deployment's traffic."),
    trouble: list[str] = typer.Option(
        [], help="A fault, or several; 'each' runs every fault alone; none runs without faults."
    ),
    mix: int = typer.Option(0, min=0, max=12, help="Number of random faults."),
    closing: str = typer.Option("", help=f"A closing fault: {', '.join(CLOSING_FAULTS)}."),
    message_us: int = typer.Option(
        150, min=0, help="Processor time of a node for each message, datagram and timer."
    ),
    workers: int = typer.Option(4, min=1, max=64, help="Scenarios run in parallel."),
    only_bad: bool = typer.Option(False, help="Print only scenarios that violate a rule."),
) -> None:
    """Run seeded scenarios; print violations with their seed, and the earned worth by kind."""
    try:
        numbers = read_seeds(text=seeds)
    except ValueError:
        _exit_with_error(f"invalid seeds {seeds!r}: expected for example 7, 1-40 or 3,5,8-9")
    if deployment not in SHAPES:
        _exit_with_error(
            f"unknown deployment {deployment!r}; known deployments: {', '.join(SHAPES)}"
        )
    unknown = [name for name in trouble if name not in PLATFORM_FAULTS and name != "each"]
    if unknown or closing and closing not in CLOSING_FAULTS:
        known = ", ".join(PLATFORM_FAULTS)
        _exit_with_error(
            f"unknown fault: {', '.join(unknown) or closing}; known faults: {known}, each"
        )
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
    raise SystemExit(_run_plans(plans=plans, workers=workers, only_bad=only_bad))


def _run_plans(*, plans: list[Plan], workers: int, only_bad: bool) -> int:
    violated: Counter = Counter()
    clean_count, earned, possible = 0, Counter(), Counter()
    with ProcessPoolExecutor(max_workers=workers) as pool:
        for _, rules, text, worth in pool.map(run_plan, plans):
            clean_count += not rules
            violated.update(set(rules))
            if rules or not only_bad:
                print(text, flush=True)
            for kind, (earned_worth, possible_worth) in worth.items():
                earned[kind] += earned_worth
                possible[kind] += possible_worth
    for kind in sorted(possible):
        print(f"{kind}: worth {earned[kind]:.1f} of {possible[kind]:.1f}")
    print(f"{clean_count} of {len(plans)} scenarios passed; violated rules: {dict(violated)}")
    return 0 if clean_count == len(plans) else 1


def _exit_with_error(text: str) -> None:
    typer.echo(text, err=True)
    raise SystemExit(2)
