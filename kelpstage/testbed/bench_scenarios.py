"""Runs the scenarios of `kelpstage/testbed/days` on the users' bench and collects its results.

The bench is a program outside this repository; its path is an argument. It runs in the
working directory, builds what is there, and leaves its own journal entries.
"""

from __future__ import annotations

import subprocess
from dataclasses import dataclass, field
from pathlib import Path

DAYS = Path(__file__).parent / "days"
PLAY_LIMIT_S = 600
BROKEN = "rules broken:"
NO_GATE = "short of the gate:"
NONE_BROKEN = "none"


@dataclass(frozen=True, kw_only=True)
class ScenarioResult:
    """What the bench reported of one scenario on one site."""

    site: str
    day: str
    row: str = ""
    faults: tuple[str, ...] = field(default=())

    @property
    def is_kept(self) -> bool:
        """Did the scenario run to its end, with no rule broken and no fault?"""
        return bool(self.row) and not self.faults


def scenario_files(*, names: list[str]) -> list[Path]:
    """The files of the named scenarios, or of all.

    >>> [path.name for path in scenario_files(names=["wipes"])]
    ['wipes.toml']
    """
    found = sorted(DAYS.glob("*.toml"))
    return [path for path in found if not names or path.stem in names]


def read_result(*, site: str, day: str, output: str) -> ScenarioResult:
    """Parse the bench's output: the scenario's row, and the lines that report a fault.

    >>> output = '''day          own/srv  score
    ... wipes          12/11   0.00
    ... short of the gate: a valid config had no ack
    ... rules broken: CONFIG 1
    ... CONFIG at 101.103 s: no config in time'''
    >>> result = read_result(site="s", day="wipes", output=output)
    >>> result.is_kept, result.faults
    (False, ('short of the gate: a valid config had no ack', 'rules broken: CONFIG 1'))
    >>> kept = "wipes  12/11  0.90\\nrules broken: none"
    >>> read_result(site="s", day="wipes", output=kept).is_kept
    True
    """
    lines = output.splitlines()
    rows = [line for line in lines if line.split(maxsplit=1)[:1] == [day]]
    faults = [line for line in lines if _is_fault(line=line)]
    if not rows:
        faults += lines[-1:] or ["no output"]
    return ScenarioResult(site=site, day=day, row=rows[0] if rows else "", faults=tuple(faults))


def _is_fault(*, line: str) -> bool:
    if line.startswith(BROKEN):
        return line.removeprefix(BROKEN).strip() != NONE_BROKEN
    return line.startswith(NO_GATE)


def play_scenario(
    *, bench: str, site: Path, day: Path, why: str, options: list[str]
) -> ScenarioResult:
    """Run the bench on one scenario of one site."""
    command = [bench, "run", str(site), str(day), "--why", why, *options]
    try:
        played = subprocess.run(
            command, capture_output=True, text=True, timeout=PLAY_LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return ScenarioResult(
            site=site.stem, day=day.stem, faults=(f"not done in {PLAY_LIMIT_S} s",)
        )
    return read_result(site=site.stem, day=day.stem, output=played.stdout + played.stderr)


def play_scenarios(
    *, bench: str, sites: list[Path], names: list[str], why: str, options: list[str]
) -> list[ScenarioResult]:
    """Run each scenario on each site, one after the other, and print each result."""
    results = []
    for site in sites:
        for day in scenario_files(names=names):
            result = play_scenario(bench=bench, site=site, day=day, why=why, options=options)
            results.append(result)
            print(_as_text(result=result), flush=True)
    return results


def _as_text(*, result: ScenarioResult) -> str:
    head = f"{'kept' if result.is_kept else 'NOT KEPT':9}{result.site:12} {result.row}"
    return "\n  ".join([head.rstrip(), *result.faults])
