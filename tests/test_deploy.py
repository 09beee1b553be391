"""The deployment's description and what a clean build needs."""

from __future__ import annotations

import pathlib
import tomllib
import unittest

SYSTEM = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "system.toml"


class SystemPackages(unittest.TestCase):
    def setUp(self) -> None:
        self.packages = tomllib.loads(SYSTEM.read_text(encoding="utf-8"))["packages"]

    def test_they_are_a_list_of_names(self) -> None:
        self.assertIsInstance(self.packages, list)
        self.assertTrue(self.packages)
        for name in self.packages:
            with self.subTest(name=name):
                self.assertIsInstance(name, str)
                self.assertRegex(name, r"\A[a-z0-9][a-z0-9+.-]+\Z")

    def test_they_are_sorted_and_none_stands_twice(self) -> None:
        self.assertEqual(sorted(set(self.packages)), self.packages)
