"""Runs the scenarios in `kelpstage/testbed/days` on the users' bench and collects the results.

The bench is a program outside this repository; its path is an argument. It runs in the
working directory, builds the sources there and writes its own journal entries. It calls a
scenario a day.
"""

from __future__ import annotations

import subprocess
from dataclasses import dataclass, field
from pathlib import Path

DAYS = Path(__file__).parent / "days"
BENCH_TIMEOUT_S = 600
BROKEN_RULES_PREFIX = "rules broken:"
GATE_FAILED_PREFIX = "short of the gate:"
NO_BROKEN_RULES = "none"


@dataclass(frozen=True, kw_only=True)
class ScenarioResult:
    """The result that the bench reported for one scenario on one site."""

    site: str
    day: str
    row: str = ""
    faults: tuple[str, ...] = field(default=())

    @property
    def has_passed(self) -> bool:
        """True if the scenario ran to its end and the bench reported no fault."""
        return bool(self.row) and not self.faults


def scenario_files(*, names: list[str]) -> list[Path]:
    """Returns the files of the named scenarios, or of all if none is named.

    >>> [path.name for path in scenario_files(names=["wipes"])]
    ['wipes.toml']
    """
    found = sorted(DAYS.glob("*.toml"))
    return [path for path in found if not names or path.stem in names]


def read_result(*, site: str, day: str, output: str) -> ScenarioResult:
    """Parses the bench's output: the scenario's row, and the lines that report a fault.

    >>> output = '''day          own/srv  score
    ... wipes          12/11   0.00
    ... short of the gate: a valid config had no ack
    ... rules broken: CONFIG 1
    ... CONFIG at 101.103 s: no config in time'''
    >>> result = read_result(site="s", day="wipes", output=output)
    >>> result.has_passed, result.faults
    (False, ('short of the gate: a valid config had no ack', 'rules broken: CONFIG 1'))
    >>> kept = "wipes  12/11  0.90\\nrules broken: none"
    >>> read_result(site="s", day="wipes", output=kept).has_passed
    True
    """
    lines = output.splitlines()
    rows = [line for line in lines if line.split(maxsplit=1)[:1] == [day]]
    faults = [line for line in lines if _is_fault(line=line)]
    if not rows:
        faults += lines[-1:] or ["no output"]
    return ScenarioResult(site=site, day=day, row=rows[0] if rows else "", faults=tuple(faults))


def _is_fault(*, line: str) -> bool:
    if line.startswith(BROKEN_RULES_PREFIX):
        return line.removeprefix(BROKEN_RULES_PREFIX).strip() != NO_BROKEN_RULES
    return line.startswith(GATE_FAILED_PREFIX)


def run_bench_scenario(
    *, bench: str, site: Path, day: Path, why: str, options: list[str]
) -> ScenarioResult:
    """Runs the bench on one scenario of one site."""
    command = [bench, "run", str(site), str(day), "--why", why, *options]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=BENCH_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return ScenarioResult(
            site=site.stem, day=day.stem, faults=(f"not finished within {BENCH_TIMEOUT_S} s",)
        )
    return read_result(site=site.stem, day=day.stem, output=completed.stdout + completed.stderr)


def run_bench_scenarios(
    *, bench: str, sites: list[Path], names: list[str], why: str, options: list[str]
) -> list[ScenarioResult]:
    """Runs each scenario on each site, one after the other, and prints each result."""
    results = []
    for site in sites:
        for day in scenario_files(names=names):
            result = run_bench_scenario(bench=bench, site=site, day=day, why=why, options=options)
            results.append(result)
            print(_as_text(result=result), flush=True)
    return results


def _as_text(*, result: ScenarioResult) -> str:
    head = f"{'kept' if result.has_passed else 'NOT KEPT':9}{result.site:12} {result.row}"
    return "\n  ".join([head.rstrip(), *result.faults])
