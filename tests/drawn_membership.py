"""Randomized membership scenarios: a seed selects faults and changes of edges and cores.

A write follows most steps, and a final fault ends the run. A write has to be acknowledged
within 5 s without faults, and during a partition before the operator stops retrying.

To run many seeds: `python -m tests.drawn_membership --seeds 1-40`; exit code 1 if one of them
has a violation.
"""

from __future__ import annotations

import argparse
import asyncio
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Awaitable, Callable

from kelpstage.testbed.number_lists import read_seeds
from tests.membership_scenarios import (
    CATCH_UP_US,
    RECOVERY_US,
    ScenarioRun,
    run_scenario,
)

DEPLOYMENTS = ("senegal", "netherlands")
MIN_STEPS, MAX_STEPS = 6, 10
WRITE_PROBABILITY = 0.85  # that a write follows a step
PAUSE_STEP_US = 500_000
MAX_PAUSE_STEPS = 16  # of PAUSE_STEP_US, between two steps
MIN_OBSERVERS = 2  # with fewer, new ones are likely to join
DOWN_US = 1_000_000  # of all machines, in the final fault


@dataclass(kw_only=True)
class DrawnRun:
    """A run and its ongoing faults."""

    run: ScenarioRun
    frozen: list[str] = field(default_factory=list)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    steps: list[str] = field(default_factory=list)  # names, in order

    def available_observers(self) -> list[str]:
        """Observers that are neither frozen nor partitioned."""
        cut_off = {name for pair in self.cuts for name in pair}
        return [n for n in self.run.observers() if n not in self.frozen and n not in cut_off]

    def pick_observers(self) -> list[str]:
        """A random choice of available observers: all, at least three quarters, or any number."""
        names = self.available_observers()
        rand = self.run.rand
        least = rand.choice((len(names), len(names) * 3 // 4, 0))
        return rand.sample(names, rand.randint(least, len(names)))

    def possible_steps(self) -> list[Step]:
        """The steps that are possible in the current state."""
        steps = list(VOTER_STEPS)
        if len(self.available_observers()) < MIN_OBSERVERS:
            steps += [DrawnRun.join] * len(VOTER_STEPS)
        else:
            steps += OBSERVER_STEPS
        if self.frozen:
            steps.append(DrawnRun.thaw)
        if self.cuts:
            steps.append(DrawnRun.heal)
        return steps

    # --- steps ------------------------------------------------------------------------------

    async def leave_in_order(self) -> None:
        """Some observers leave permanently, concurrently."""
        await asyncio.gather(
            *(self.run.remove_machine(name=name) for name in self.pick_observers())
        )

    async def go_dark(self) -> None:
        """Some observers lose power and never return."""
        for name in self.pick_observers():
            self.run.cut_power(name=name)
            self.run.remove_from_fleet(name=name)

    async def restart_some(self) -> None:
        """Some observers are stopped concurrently and started again."""
        names = self.pick_observers()
        await asyncio.gather(*(self.run.stop(name=name) for name in names))
        await self.pause()
        for name in names:
            await self.run.start(name=name)

    async def join(self) -> None:
        """Empty machines without a disk join."""
        zones = self.run.fleet.deployment.zones
        for _ in range(self.run.rand.randint(1, 4)):
            await self.run.add_machine(zone=self.run.rand.choice(zones), has_core=False)

    async def freeze(self) -> None:
        """Some observers freeze."""
        for name in self.pick_observers():
            self.run.fleet.processes[f"edge/{name}"].freeze()
            self.frozen.append(name)

    async def thaw(self) -> None:
        """All frozen observers thaw together."""
        for name in self.frozen:
            self.run.fleet.processes[f"edge/{name}"].thaw()
        self.frozen.clear()

    async def cut_off(self) -> None:
        """Some observers are partitioned from the voters; they still reach each other."""
        voters = self.run.voters()
        names = self.pick_observers()
        self.cuts |= {pair for a in names for b in voters for pair in ((a, b), (b, a))}
        self.run.fleet.world.blocked_paths |= self.cuts

    async def heal(self) -> None:
        """All partitions heal."""
        self.run.fleet.world.blocked_paths -= self.cuts
        self.cuts.clear()
        self.run.fleet.world.send_waiting()

    async def replace_voter(self) -> None:
        """A voter leaves or is lost permanently, and an empty machine replaces it."""
        name = self.run.rand.choice(self.run.voters())
        await self.run.replace_voter(name=name, is_planned=self.run.rand.random() < 0.5)

    async def restart_voter(self) -> None:
        """Both processes of a voter's machine are stopped and started again."""
        name = self.run.rand.choice(self.run.voters())
        await self.run.stop(name=name)
        await self.pause()
        await self.run.start(name=name)
        await self._wait_for_catch_up()

    async def kill_leader(self) -> None:
        """Both processes on the leader's machine are killed and started again."""
        name = self.run.fleet.leader() or self.run.voters()[0]
        self.run.kill(name=name)
        await self.pause()
        await self.run.start(name=name)
        await self._wait_for_catch_up()

    async def freeze_voter(self) -> None:
        """The edge on a voter's machine freezes for a random time."""
        process = self.run.fleet.processes[f"edge/{self.run.rand.choice(self.run.voters())}"]
        process.freeze()
        await self.pause()
        process.thaw()
        await self._wait_for_catch_up()

    async def hand_over(self) -> None:
        """The leader transfers its leadership."""
        self.run.transfer_leadership()

    async def _wait_for_catch_up(self) -> None:
        await self.run.wait_for_cores()
        await self.run.fleet.sleep(us=CATCH_UP_US)

    async def pause(self) -> None:
        """Sleep for a random time of less than 8 s."""
        await self.run.fleet.sleep(us=self.run.rand.randrange(MAX_PAUSE_STEPS) * PAUSE_STEP_US)

    # --- end of the run ----------------------------------------------------------------------

    async def finish(self) -> None:
        """Thaw and heal everything, then apply one final fault to all machines.

        Afterwards every machine has to serve and a write has to be acknowledged.
        """
        await self.thaw()
        await self.heal()
        await self.run.wait_until_ready(us=RECOVERY_US, why="all edges are back")
        await self.run.wait_for_cores()
        kind = self.run.rand.choice(("kill all", "power off all", "wipe one"))
        self.steps.append(kind)
        wiped = self.run.rand.choice(self.run.voters()) if kind == "wipe one" else ""
        for name in self.run.names():
            self.run.kill(name=name)
            platter = self.run.fleet.world.machines[name].disk_image
            if name == wiped:
                platter.replace_with_empty()
            elif kind != "kill all":
                platter.lose_power()
        await self.run.fleet.sleep(us=DOWN_US)
        for name in self.run.names():
            await self.run.start(name=name)
        await self.run.wait_until_ready(us=RECOVERY_US, why=kind)
        await self.run.write_configuration(why=kind)


Step = Callable[[DrawnRun], Awaitable[None]]
OBSERVER_STEPS: tuple[Step, ...] = (
    DrawnRun.leave_in_order,
    DrawnRun.go_dark,
    DrawnRun.restart_some,
    DrawnRun.join,
    DrawnRun.freeze,
    DrawnRun.cut_off,
    DrawnRun.cut_off,
)
VOTER_STEPS: tuple[Step, ...] = (
    DrawnRun.replace_voter,
    DrawnRun.restart_voter,
    DrawnRun.kill_leader,
    DrawnRun.freeze_voter,
    DrawnRun.hand_over,
)


async def play_drawn(run: ScenarioRun) -> list[str]:
    """Run random steps from the seed and return their names."""
    drawn = DrawnRun(run=run)
    for _ in range(run.rand.randint(MIN_STEPS, MAX_STEPS)):
        step = run.rand.choice(drawn.possible_steps())
        drawn.steps.append(step.__name__)
        await step(drawn)
        if run.rand.random() < WRITE_PROBABILITY:
            await run.write_configuration(
                why=f"after {', '.join(drawn.steps)}", is_bounded=not drawn.cuts
            )
        await drawn.pause()
    await drawn.finish()
    return drawn.steps


@dataclass(frozen=True, kw_only=True)
class DrawnOutcome:
    """The result of one seed."""

    deployment: str
    seed: int
    has_leader_changes: bool
    steps: tuple[str, ...]
    violations: tuple[str, ...]

    def __str__(self) -> str:
        leader_note = ", changing leader" if self.has_leader_changes else ""
        head = f"{self.deployment} {self.seed}{leader_note}: {', '.join(self.steps)}: "
        return head + ("kept" if not self.violations else "\n  ".join(("", *self.violations)))


def run_drawn(*, deployment: str, seed: int, has_leader_changes: bool) -> DrawnOutcome:
    """Run one seed."""
    steps: list[str] = []

    async def scenario(run: ScenarioRun) -> None:
        steps.extend(await play_drawn(run))

    violations = run_scenario(
        scenario, seed=seed, deployment=deployment, has_leader_changes=has_leader_changes
    )
    return DrawnOutcome(
        deployment=deployment,
        seed=seed,
        has_leader_changes=has_leader_changes,
        steps=tuple(steps),
        violations=tuple(violations[:5]),
    )


def _run(job: tuple[str, int]) -> DrawnOutcome:
    """Run one job; the leader changes repeatedly for even seeds."""
    deployment, seed = job
    return run_drawn(deployment=deployment, seed=seed, has_leader_changes=seed % 2 == 0)


def main() -> int:
    """Run the seeds given on the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="7, 1-40 or 3,5,8-9")
    parser.add_argument("--jobs", type=int, default=4, help="number of parallel processes")
    options = parser.parse_args()
    jobs = [(site, seed) for seed in read_seeds(text=options.seeds) for site in DEPLOYMENTS]
    failed = 0
    with ProcessPoolExecutor(max_workers=options.jobs) as pool:
        for outcome in pool.map(_run, jobs):
            failed += bool(outcome.violations)
            print(outcome, flush=True)
    print(f"{len(jobs) - failed} of {len(jobs)} kept")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
