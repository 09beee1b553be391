"""Runs one test or suite and tells what came of it."""

from __future__ import annotations

import io
import unittest
from dataclasses import dataclass

from tests.leftovers import Leftovers


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What came of a suite: counts, the ids of the tests that failed, the runner's text."""

    name: str
    run: int
    skipped: int
    failed: frozenset[str]
    text: str


def run_suite(*, name: str, suite: unittest.TestSuite) -> Outcome:
    """Run a suite. What it leaves behind is a failure named after the suite."""
    out = io.StringIO()
    with Leftovers() as leftovers:
        result = unittest.TextTestRunner(stream=out, verbosity=0).run(suite)
    failed = {_test_id(test) for test, _ in result.failures + result.errors}
    failed |= {_test_id(test) for test in result.unexpectedSuccesses}
    text = out.getvalue()
    if leftovers.reports:
        failed.add(name)
        text += "\n".join(["left behind:", *leftovers.reports, ""])
    return Outcome(
        name=name,
        run=result.testsRun,
        skipped=len(result.skipped),
        failed=frozenset(failed),
        text=text,
    )


def _test_id(test: unittest.TestCase) -> str:
    """The id of a test; of a subtest, that of the test it belongs to."""
    return getattr(test, "test_case", test).id()
