"""The list of tests that are known to fail: `KNOWN-RED.txt` at the root of the repository.

Each line names a test by its full id, then the cause and the issue:

    tests.test_store.Reading.test_cut: the last block is lost, issue 12

Doctests can't be listed.
"""

from __future__ import annotations

import pathlib
import re
from dataclasses import dataclass

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
LINE = re.compile(r"(?P<test>tests\.[\w.]+)[:,]?\s+(?P<reason>.*\S.*)")
ISSUE = re.compile(r"(issue |#)\d+")


class BrokenList(ValueError):
    """The file is not in its format, or too long."""


@dataclass(frozen=True, kw_only=True)
class KnownRed:
    """One test that is known to fail, with its cause and issue."""

    test: str
    reason: str

    def __str__(self) -> str:
        return f"{self.test}: {self.reason}"


def parse(text: str) -> list[KnownRed]:
    """The entries of the file; blank lines count for nothing."""
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    if len(entries) > MAX_ENTRIES:
        raise BrokenList(f"{FILE_NAME}: {len(entries)} tests, at most {MAX_ENTRIES} may be listed")
    if len({entry.test for entry in entries}) < len(entries):
        raise BrokenList(f"{FILE_NAME}: a test is listed twice")
    return entries


def _parse_line(line: str) -> KnownRed:
    match = LINE.fullmatch(line.strip())
    if match is None or ISSUE.search(match["reason"]) is None:
        raise BrokenList(f"{FILE_NAME}: not a test id, its cause and its issue: {line!r}")
    return KnownRed(test=match["test"], reason=match["reason"].strip())


def read(root: pathlib.Path) -> list[KnownRed]:
    """The entries of the file under a root; none if there is no such file."""
    path = root / FILE_NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []
