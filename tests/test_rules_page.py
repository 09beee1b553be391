"""The page of rules: every row's code and tests are there, the page is the table, and each
row's test fails once the line that upholds the rule is taken out."""

from __future__ import annotations

import ast
import importlib
import pathlib
import unittest
from typing import Any
from unittest import mock

from tests.rules_upheld import ROWS, TakenOut, Upheld, Wrapped

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "notes" / "rules.md"
BEGIN, END = "<!-- table -->", "<!-- end -->"
MUST_HAVE = {
    "MIXED",
    "UNASKED",
    "TWICE",
    "REFUSED",
    "DENIED",
    "ROUTE",
    "DRAIN",
    "LOST",
    "CONFIG",
    "BUDGET",
    "GONE",
    "RECOVER",
}


def table() -> str:
    """The table as it stands on the page."""
    lines = [
        "| rule | source | in our words | upheld by | held by | taken out, it fails | days |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in ROWS:
        taken_out = "the same test" if row.taken_out else f"`{short(row.planted)}`"
        lines.append(
            f"| {row.rule} | {row.source} | {row.says} | `{row.code.removeprefix('kelpstage/')}` "
            f"| `{short(row.test)}` | {taken_out} | {row.days} |"
        )
    return "\n".join(lines)


def short(test: str) -> str:
    """A test's name without the package.

    >>> short("tests.test_a.B.test_c")
    'test_a.B.test_c'
    """
    return test.removeprefix("tests.")


def names_in(path: pathlib.Path) -> set[str]:
    """Functions, classes and methods of a module, by their dotted names."""
    out: set[str] = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            out.add(node.name)
        if isinstance(node, ast.ClassDef):
            out |= {
                f"{node.name}.{inner.name}"
                for inner in node.body
                if isinstance(inner, (ast.FunctionDef, ast.AsyncFunctionDef))
            }
    return out


def replaced(taken_out: TakenOut) -> Any:
    """The patch that takes a line out."""
    module, _, path = taken_out.target.partition(":")
    owner: Any = importlib.import_module(module)
    *outer, name = path.split(".")
    for word in outer:
        owner = getattr(owner, word)
    by = taken_out.by
    if isinstance(by, Wrapped):
        by = by.make(getattr(owner, name))
    return mock.patch.object(owner, name, by)


def result_of(test: str) -> unittest.TestResult:
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(test).run(result)
    return result


class Page(unittest.TestCase):
    def test_the_page_holds_the_table(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        found = text[text.index(BEGIN) + len(BEGIN) : text.index(END)].strip()
        self.assertEqual(table(), found, "python -m tests.test_rules_page writes it anew")

    def test_every_rule_has_a_row(self) -> None:
        self.assertLessEqual(MUST_HAVE, {row.rule for row in ROWS})

    def test_the_code_and_the_tests_are_there(self) -> None:
        for row in ROWS:
            with self.subTest(row.says):
                path, _, name = row.code.partition(":")
                self.assertIn(name, names_in(ROOT / path))
                for test in filter(None, (row.test, row.planted)):
                    suite = unittest.defaultTestLoader.loadTestsFromName(test)
                    self.assertGreater(suite.countTestCases(), 0)
                    self.assertNotIn("_FailedTest", str(suite))
                self.assertTrue(row.taken_out or row.planted)


class TakenOutLines(unittest.TestCase):
    """One test for each row that has a replacement; made below."""

    def check(self, row: Upheld) -> None:
        with replaced(row.taken_out):
            result = result_of(row.test)
        self.assertGreater(result.testsRun, 0)
        self.assertFalse(result.wasSuccessful(), f"{row.test} passes without {row.code}")


def _check_of(row: Upheld) -> Any:
    return lambda self: self.check(row)


for _place, _row in enumerate(ROWS):
    if _row.taken_out is not None:
        _name = "_".join(_row.says.split(",")[0].split())
        setattr(TakenOutLines, f"test_{_place:02d}_{_name}", _check_of(_row))


if __name__ == "__main__":
    page = PAGE.read_text(encoding="utf-8")
    begin, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    PAGE.write_text(f"{page[:begin]}\n\n{table()}\n\n{page[end:]}", encoding="utf-8")
