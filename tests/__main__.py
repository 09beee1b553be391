"""Runs all tests and doctests in several processes and prints a closing line with counts.

With names of test modules as arguments, runs only those. Tests listed in KNOWN-RED.txt are
expected to fail: they are printed and counted separately. The run fails if a listed test does
not exist, or if it passes and is not listed as intermittent.
"""

from __future__ import annotations

import doctest
import importlib
import os
import pathlib
import pkgutil
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from typing import Iterator

from tests import known_red
from tests.outcome import Outcome, run_suite
from tests.summary import Summary

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCTESTS = "doctests"  # name of the job that runs all doctests


def doctest_suite() -> unittest.TestSuite:
    """Returns the doctests of all modules of the package."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages([str(ROOT / "kelpstage")], prefix="kelpstage."):
        module = importlib.import_module(info.name)
        try:
            suite.addTest(doctest.DocTestSuite(module))
        except ValueError:
            continue  # the module has no doctests
    return suite


def list_test_ids(suite: unittest.TestSuite) -> list[str]:
    """Returns the id of every test in a suite."""
    out: list[str] = []
    for item in suite:
        out += list_test_ids(item) if isinstance(item, unittest.TestSuite) else [item.id()]
    return out


def run_job(name: str) -> Outcome:
    """Runs one job: a test by its id, or all doctests."""
    if name == DOCTESTS:
        return run_suite(name=name, suite=doctest_suite())
    return run_suite(name=name, suite=unittest.defaultTestLoader.loadTestsFromName(name))


def list_jobs(modules: list[str]) -> list[str]:
    """Returns the jobs for these test modules, or for all tests if there are none."""
    loader = unittest.TestLoader()
    if modules:
        return list_test_ids(loader.loadTestsFromNames([f"tests.{name}" for name in modules]))
    found = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    return [DOCTESTS, *list_test_ids(found)]


def run_jobs(jobs: list[str]) -> Iterator[Outcome]:
    """Runs the jobs in several processes. Tests that start real processes run last, one at a
    time, so that no other job competes for the CPU."""
    exclusive = [name for name in jobs if ".test_live" in name or ".test_soak.Soak." in name]
    with ProcessPoolExecutor(max_workers=os.cpu_count() or 2) as pool:
        yield from pool.map(run_job, [name for name in jobs if name not in exclusive])
    for name in exclusive:
        yield run_job(name)


def main() -> int:
    """Runs the tests that the command line selects; returns the exit code."""
    sys.path.insert(0, str(ROOT))
    try:
        summary = Summary(known=known_red.read(ROOT))
    except known_red.BrokenList as error:
        print(error)
        return 1
    for entry in summary.known:
        print(f"known red: {entry}", flush=True)
    jobs = list_jobs(sys.argv[1:])
    for outcome in run_jobs(jobs):
        summary.add(outcome)
        if outcome.failed:
            print(f"--- {outcome.name}\n{outcome.text}", flush=True)
    stale = summary.stale(selected=set(jobs))
    for fault in stale:
        print(fault)
    if summary.known_failed:
        print(f"{len(summary.known_failed)} known red failed, counted apart")
    print(summary.closing_line())
    return 1 if summary.failed or stale or not summary.run else 0


if __name__ == "__main__":
    sys.exit(main())
