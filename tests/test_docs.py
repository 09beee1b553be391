"""The documentation names every error, setting, fault, checker and rule of the code."""

from __future__ import annotations

import importlib
import pathlib
import pkgutil
import re
import unittest

from kelpstage.common import errors
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.settings.loading import CORE_SCHEMA, EDGE_SCHEMA
from kelpstage.testbed.checkers.register import CHECKERS
from kelpstage.testbed.platform_model.rules.register import RULES
from kelpstage.testbed.platform_model.scenario import CLOSING_FAULTS, PLATFORM_FAULTS
from kelpstage.testbed.simulation.faults import FAULTS

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
CODE = ("kelpstage", "platform", "tests")


def page(*, name: str) -> str:
    return (DOCS / name).read_text(encoding="utf-8")


def source_files(folder: str) -> list[pathlib.Path]:
    return sorted((ROOT / folder).rglob("*.py"))


class Documentation(unittest.TestCase):
    def test_every_error_is_documented(self) -> None:
        text = page(name="callers.md") + page(name="operators.md")
        for module in pkgutil.iter_modules(errors.__path__, prefix=f"{errors.__name__}."):
            importlib.import_module(module.name)
        kinds = [error.kind for error in KelpstageError.__subclasses__()]
        self.assertGreater(len(kinds), 30)
        self.assertEqual([], [kind for kind in kinds if f"`{kind}`" not in text])

    def test_every_setting_is_documented(self) -> None:
        text = page(name="operate/settings.md")
        names = {key.name for form in (CORE_SCHEMA, EDGE_SCHEMA) for key in form.keys}
        self.assertGreater(len(names), 6)
        self.assertEqual([], sorted(name for name in names if f"`{name}`" not in text))

    def test_every_fault_and_checker_is_documented(self) -> None:
        text = page(name="failures.md")
        self.assertEqual([], [name for name in FAULTS if f"`{name}`" not in text])
        self.assertEqual([], [name for name in CHECKERS if f".{name}`" not in text])

    def test_every_rule_and_fault_of_the_platform_model_is_documented(self) -> None:
        text = page(name="failures.md")
        named = [*RULES, *PLATFORM_FAULTS, *CLOSING_FAULTS]
        self.assertEqual([], [name for name in named if f"`{name}`" not in text])

    def test_links_between_pages_resolve(self) -> None:
        broken = []
        for path in [*DOCS.rglob("*.md"), DOCS.parent / "README.md"]:
            for target in re.findall(r"\]\(([^)#]+)[^)]*\)", path.read_text(encoding="utf-8")):
                if "://" not in target and not (path.parent / target).exists():
                    broken.append(f"{path.name}: {target}")
        self.assertEqual([], broken)

    def test_files_named_on_pages_exist(self) -> None:
        files = [f"/{path.relative_to(ROOT)}" for folder in CODE for path in source_files(folder)]
        self.assertGreater(len(files), 200)
        missing = [
            f"{path.name}: {named}"
            for path in [*DOCS.rglob("*.md"), ROOT / "README.md"]
            for named in re.findall(r"`([\w./-]+/\w+\.py)`", path.read_text(encoding="utf-8"))
            if not any(file.endswith(f"/{named}") for file in files)
        ]
        self.assertEqual([], missing)

    def test_pages_named_in_the_code_exist(self) -> None:
        missing = [
            f"{path.relative_to(ROOT)}: {named}"
            for folder in CODE
            for path in source_files(folder)
            for named in re.findall(r"\bdocs/[\w/-]+\.md\b", path.read_text(encoding="utf-8"))
            if not (ROOT / named).is_file()
        ]
        self.assertEqual([], missing)
