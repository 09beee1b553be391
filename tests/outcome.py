"""Runs a test or a suite and returns its outcome."""

from __future__ import annotations

import io
import unittest
from dataclasses import dataclass

from tests.leftovers import Leftovers


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The outcome of a suite: counts, the ids of the failed tests, the output of unittest."""

    name: str
    run: int
    skipped: int
    failed: frozenset[str]
    text: str


def run_suite(*, name: str, suite: unittest.TestSuite) -> Outcome:
    """Runs a suite; errors that no assertion reports are a failure with the suite's name."""
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
    """Returns the id of a test; for a subtest, the id of the test that contains it."""
    return getattr(test, "test_case", test).id()
