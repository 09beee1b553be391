"""Reads `KNOWN-RED.txt` at the root of the repository, the list of tests known to fail.

Each line is an entry of four fields separated by bars: the full id of the test, the command
and seed that reproduce the failure, the observed failure, and the open issue:

    tests.test_store.Reading.test_cut | python -m tests test_store, seed 7 | lost | issue 12

For an intermittent failure, the third field begins with `now and then`. Doctests cannot be
listed.
"""

from __future__ import annotations

import pathlib
import re
from dataclasses import dataclass

FILE_NAME = "KNOWN-RED.txt"
NOW_AND_THEN = "now and then"
SEPARATOR = " | "
TEST = re.compile(r"tests\.[\w.]+")
SEED = re.compile(r"\b(seeds? \d+|no seed)\b")
ISSUE = re.compile(r"issue \d+")


class BrokenList(ValueError):
    """The file does not have the expected format."""


@dataclass(frozen=True, kw_only=True)
class KnownRed:
    """A test known to fail: the command that reproduces it, the observed failure, the issue."""

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """True if the test fails only some of the time."""
        return self.seen.startswith(NOW_AND_THEN)

    def __str__(self) -> str:
        return SEPARATOR.join((self.test, self.command, self.seen, self.issue))


def parse(text: str) -> list[KnownRed]:
    """Returns the entries of the file; blank lines are ignored."""
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    if len({entry.test for entry in entries}) < len(entries):
        raise BrokenList(f"{FILE_NAME}: a test is listed more than once")
    return entries


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(SEPARATOR.strip())]
    if len(fields) != 4 or not all(fields):
        raise BrokenList(
            f"{FILE_NAME}: not a test, command and seed, observed failure, issue: {line!r}"
        )
    entry = KnownRed(test=fields[0], command=fields[1], seen=fields[2], issue=fields[3])
    if TEST.fullmatch(entry.test) is None:
        raise BrokenList(f"{FILE_NAME}: invalid test id: {entry.test!r}")
    if SEED.search(entry.command) is None:
        raise BrokenList(f"{FILE_NAME}: neither a seed nor the words 'no seed': {entry.command!r}")
    if ISSUE.fullmatch(entry.issue) is None:
        raise BrokenList(f"{FILE_NAME}: invalid issue: {entry.issue!r}")
    return entry


def read(root: pathlib.Path) -> list[KnownRed]:
    """Returns the entries of the file in folder `root`; none if the file does not exist."""
    path = root / FILE_NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []
