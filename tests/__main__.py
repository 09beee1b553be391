"""Runs every test and doctest, in several processes, and closes with one line of
counts. With names of test modules, runs those."""

from __future__ import annotations

import doctest
import importlib
import io
import os
import pathlib
import pkgutil
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parent.parent


def doctest_suite() -> unittest.TestSuite:
    """The examples in all modules of the package."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages([str(ROOT / "kelpstage")], prefix="kelpstage."):
        module = importlib.import_module(info.name)
        try:
            suite.addTest(doctest.DocTestSuite(module))
        except ValueError:
            continue  # a module without examples
    return suite


def names_in(suite: unittest.TestSuite) -> list[str]:
    """Every test in a suite, by its full name."""
    out: list[str] = []
    for item in suite:
        out += names_in(item) if isinstance(item, unittest.TestSuite) else [item.id()]
    return out


def run_suite(suite: unittest.TestSuite) -> tuple[int, int, int, str]:
    """Tests run, failed, skipped, and what the runner said."""
    out = io.StringIO()
    result = unittest.TextTestRunner(stream=out, verbosity=0).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return result.testsRun, failed, len(result.skipped), out.getvalue()


def run_one(name: str) -> tuple[str, int, int, int, str]:
    if name == "doctests":
        return (name, *run_suite(doctest_suite()))
    return (name, *run_suite(unittest.defaultTestLoader.loadTestsFromName(name)))


def main() -> int:
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    wanted = [f"tests.{name}" for name in sys.argv[1:]]
    if wanted:
        jobs = names_in(loader.loadTestsFromNames(wanted))
    else:
        jobs = [
            "doctests",
            *names_in(loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))),
        ]
    # What runs real processes comes last, alone, so that nothing competes with it.
    alone = [name for name in jobs if ".test_live" in name]
    run = failed = skipped = 0

    def note(outcome: tuple[str, int, int, int, str]) -> None:
        nonlocal run, failed, skipped
        name, *counts, text = outcome
        run, failed, skipped = run + counts[0], failed + counts[1], skipped + counts[2]
        if counts[1]:
            print(f"--- {name}\n{text}", flush=True)

    with ProcessPoolExecutor(max_workers=os.cpu_count() or 2) as pool:
        for outcome in pool.map(run_one, [name for name in jobs if name not in alone]):
            note(outcome)
    for name in alone:
        note(run_one(name))
    print(f"{run - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not run else 0


if __name__ == "__main__":
    sys.exit(main())
