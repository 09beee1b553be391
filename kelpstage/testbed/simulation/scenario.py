"""Scenarios: a warm-up, planned faults, recovery, a closing fault, a configuration read."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Awaitable, Callable

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.checkers.register import find_violations
from kelpstage.testbed.fleet.deployment import Deployment, load
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.fleet import SimFleet, SimulationTimeoutError, run_sim

WARM_UP_US = 5_000_000
RECOVERY_US = 20_000_000
CLOSING_FAULTS = (
    "core_kill",
    "core_power",
    "core_all_power",
    "core_disk_lost",
    "core_freeze",
    "core_split",
)


@dataclass(frozen=True, kw_only=True)
class Planned:
    """A fault and when it begins, in microseconds after the warm-up."""

    at_us: int
    name: str


def plan_combination(*, seed: int, count: int) -> list[Planned]:
    """Draw faults and their start times from a seed.

    >>> plan_combination(seed=1, count=2) == plan_combination(seed=1, count=2)
    True
    """
    rand = random.Random(f"{seed}/plan")
    return sorted(
        (
            Planned(at_us=rand.randrange(20_000_000), name=rand.choice(sorted(FAULTS)))
            for _ in range(count)
        ),
        key=lambda planned: (planned.at_us, planned.name),
    )


def scenario_of(*, seed: int, plan: list[Planned]) -> Callable[[SimFleet], Awaitable[None]]:
    """Return the scenario that runs a plan."""

    async def scenario(fleet: SimFleet) -> None:
        await fleet.bring_up()
        fleet.start_callers()
        await fleet.sleep(us=WARM_UP_US)
        await asyncio.gather(
            *(
                _run_fault(fleet=fleet, planned=planned, index=index, seed=seed)
                for index, planned in enumerate(plan)
            )
        )
        fleet.note({"event": "returned", "what": "everything"})
        await fleet.sleep(us=RECOVERY_US)
        await fleet.drain_callers()
        await fleet.put_next()
        closing_fault = random.Random(f"{seed}/last").choice(CLOSING_FAULTS)
        await FAULTS[closing_fault](fleet, random.Random(f"{seed}/{closing_fault}"))
        await fleet.read_back()

    return scenario


async def _run_fault(*, fleet: SimFleet, planned: Planned, index: int, seed: int) -> None:
    await fleet.sleep(us=planned.at_us)
    await FAULTS[planned.name](fleet, random.Random(f"{seed}/{index}/{planned.name}"))


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The result of a run: its violations, and its calls in total and with an `ok` end."""

    seed: int
    deployment: str
    plan: list[Planned]
    violations: list[Violation]
    calls: int
    good: int


def run_plan(
    *, seed: int, deployment: str, plan: list[Planned], rate: float = 0.15, far_us: int = 0
) -> tuple[Outcome, SimFleet | None]:
    """Run a plan and check its history.

    A task that failed, and a condition that did not hold in time, are violations. In the
    latter case there is no fleet.
    """
    fleet: SimFleet | None = None
    loaded: Deployment = load(name=deployment)
    try:
        fleet = run_sim(
            seed=seed,
            deployment=loaded,
            scenario=scenario_of(seed=seed, plan=plan),
            rate=rate,
            far_us=far_us,
        )
    except SimulationTimeoutError as error:
        stuck = Violation(rule="stuck", why=str(error), at_us=0)
        return (
            Outcome(
                seed=seed, deployment=deployment, plan=plan, violations=[stuck], calls=0, good=0
            ),
            None,
        )
    violations = find_violations(history=fleet.history)
    violations += [
        Violation(rule="broken task", why=f"{name}: {type(error).__name__}: {error}", at_us=0)
        for name, error in fleet.world.failed_tasks
    ]
    calls = [row for row in fleet.history if row["event"] == "call"]
    outcome = Outcome(
        seed=seed,
        deployment=deployment,
        plan=plan,
        violations=violations,
        calls=len(calls),
        good=sum(row["end"] == "ok" for row in calls),
    )
    return outcome, fleet


def shrink(*, outcome: Outcome, rate: float = 0.15) -> Outcome:
    """Remove faults one at a time while the run still violates one of the same rules."""
    violated_rules = {violation.rule for violation in outcome.violations}
    best = outcome
    is_smaller = True
    while is_smaller and len(best.plan) > 1:
        is_smaller = False
        for index in range(len(best.plan)):
            fewer = best.plan[:index] + best.plan[index + 1 :]
            tried, _ = run_plan(seed=best.seed, deployment=best.deployment, plan=fewer, rate=rate)
            if violated_rules & {violation.rule for violation in tried.violations}:
                best, is_smaller = tried, True
                break
    return best


def as_text(*, outcome: Outcome) -> str:
    """Format a result as one line, followed by a line for each of the first six violations.

    >>> as_text(outcome=Outcome(seed=1, deployment="d", plan=[], violations=[], calls=3, good=3))
    'seed 1 d [] calls 3 good 3: clean'
    """
    plan = ", ".join(f"{p.name}@{p.at_us // 1000}ms" for p in outcome.plan)
    summary = (
        f"seed {outcome.seed} {outcome.deployment} [{plan}] calls {outcome.calls} "
        f"good {outcome.good}: "
    )
    if not outcome.violations:
        return summary + "clean"
    rows = [f"  {v.rule} at {v.at_us / 1e6:.3f} s: {v.why}" for v in outcome.violations[:6]]
    return summary + f"{len(outcome.violations)} violations\n" + "\n".join(rows)
