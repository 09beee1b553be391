"""Counts the outcomes of a run and compares them with the list of known failures."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from tests.known_red import KnownRed
from tests.outcome import Outcome


@dataclass(kw_only=True)
class Summary:
    """The counts of a run.

    A listed test that fails is counted as known red, neither as passed nor as failed. A listed
    test that was selected and does not fail makes the run fail, so that the list stays correct,
    unless it is listed as intermittent.
    """

    known: list[KnownRed]
    run: int = 0
    skipped: int = 0
    failed: set[str] = field(default_factory=set)
    known_failed: set[str] = field(default_factory=set)

    def add(self, outcome: Outcome) -> None:
        """Adds one outcome to the counts."""
        listed = {entry.test for entry in self.known}
        self.run += outcome.run
        self.skipped += outcome.skipped
        self.failed |= outcome.failed - listed
        self.known_failed |= outcome.failed & listed

    def stale(self, *, selected: set[str]) -> list[str]:
        """Returns why entries of the list are outdated; `selected` are the tests of this run."""
        faults = []
        for entry in self.known:
            if not exists(entry.test):
                faults.append(f"{entry.test} is listed as known red and does not exist")
            elif entry.is_intermittent:
                continue
            elif entry.test in selected and entry.test not in self.known_failed:
                faults.append(f"{entry.test} is listed as known red and did not fail")
        return faults

    def passed(self) -> int:
        """Returns the number of tests that passed."""
        return self.run - self.skipped - len(self.failed) - len(self.known_failed)

    def closing_line(self) -> str:
        """Returns the last line of a run; its counts do not include known failures."""
        return f"{self.passed()} passed, {len(self.failed)} failed, {self.skipped} skipped"


def exists(test: str) -> bool:
    """True if `test` is the id of a single existing test."""
    loaded = list(unittest.TestLoader().loadTestsFromName(test))
    return len(loaded) == 1 and isinstance(loaded[0], unittest.TestCase) and loaded[0].id() == test
