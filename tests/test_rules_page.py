"""The table of rules: the code and tests of every row exist, the page has the same table, and
each row's test fails under the row's mutation."""

from __future__ import annotations

import ast
import importlib
import pathlib
import unittest
from typing import Any
from unittest import mock

from tests.rules_upheld import ROWS, Mutation, Requirement, WrappedOriginal

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "notes" / "rules.md"
BEGIN, END = "<!-- table -->", "<!-- end -->"
REQUIRED_RULES = {
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
    """Return the table as it is on the page."""
    lines = [
        "| rule | source | in our words | upheld by | held by | taken out, it fails | days |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in ROWS:
        failing_test = "the same test" if row.mutation else f"`{short_name(row.planted_test)}`"
        lines.append(
            f"| {row.rule} | {row.source} | {row.text} | `{row.code.removeprefix('kelpstage/')}` "
            f"| `{short_name(row.test)}` | {failing_test} | {row.faults} |"
        )
    return "\n".join(lines)


def short_name(test: str) -> str:
    """Return a test's name without the package.

    >>> short_name("tests.test_a.B.test_c")
    'test_a.B.test_c'
    """
    return test.removeprefix("tests.")


def definitions_in(path: pathlib.Path) -> set[str]:
    """Return the dotted names of a module's functions, classes and methods."""
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


def mutation_patch(mutation: Mutation) -> Any:
    """Return the patch that applies a mutation."""
    module, _, path = mutation.target.partition(":")
    owner: Any = importlib.import_module(module)
    *outer, name = path.split(".")
    for attribute in outer:
        owner = getattr(owner, attribute)
    replacement = mutation.replacement
    if isinstance(replacement, WrappedOriginal):
        replacement = replacement.make(getattr(owner, name))
    return mock.patch.object(owner, name, replacement)


def run_test(test: str) -> unittest.TestResult:
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(test).run(result)
    return result


class RulesPage(unittest.TestCase):
    def test_the_page_holds_the_table(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        found = text[text.index(BEGIN) + len(BEGIN) : text.index(END)].strip()
        self.assertEqual(
            table(), found, "write the page again with: python -m tests.test_rules_page"
        )

    def test_every_rule_has_a_row(self) -> None:
        self.assertLessEqual(REQUIRED_RULES, {row.rule for row in ROWS})

    def test_the_code_and_the_tests_are_there(self) -> None:
        for row in ROWS:
            with self.subTest(row.text):
                path, _, name = row.code.partition(":")
                self.assertIn(name, definitions_in(ROOT / path))
                for test in filter(None, (row.test, row.planted_test)):
                    suite = unittest.defaultTestLoader.loadTestsFromName(test)
                    self.assertGreater(suite.countTestCases(), 0)
                    self.assertNotIn("_FailedTest", str(suite))
                self.assertTrue(row.mutation or row.planted_test)


class Mutations(unittest.TestCase):
    """One test for each row that has a mutation, added below."""

    def check(self, row: Requirement) -> None:
        with mutation_patch(row.mutation):
            result = run_test(row.test)
        self.assertGreater(result.testsRun, 0)
        self.assertFalse(
            result.wasSuccessful(), f"{row.test} passes under the mutation of {row.code}"
        )


def _check_of(row: Requirement) -> Any:
    return lambda self: self.check(row)


for _index, _row in enumerate(ROWS):
    if _row.mutation is not None:
        _name = "_".join(_row.text.split(",")[0].split())
        setattr(Mutations, f"test_{_index:02d}_{_name}", _check_of(_row))


if __name__ == "__main__":
    page = PAGE.read_text(encoding="utf-8")
    begin, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    PAGE.write_text(f"{page[:begin]}\n\n{table()}\n\n{page[end:]}", encoding="utf-8")
