"""The deployment's description and what a clean build needs."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

DEPLOY = pathlib.Path(__file__).resolve().parent.parent / "deploy"
SYSTEM = DEPLOY / "system.toml"
PIP_STAND_IN = """#!/bin/sh
case "$*" in
"-m pip "*) echo installed >> calls ;;
*) exec {python} "$@" ;;
esac
"""


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


class Build(unittest.TestCase):
    """`build.sh` in a folder of its own, with a stand-in for pip that counts its calls."""

    def setUp(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        (self.folder / "pyproject.toml").write_text("[project]\ndependencies = []\n")
        stand_in = self.folder / "python3"
        stand_in.write_text(PIP_STAND_IN.format(python=sys.executable))
        stand_in.chmod(0o755)

    def build(self) -> int:
        """Build; how often libraries have been installed so far."""
        path = f"{self.folder}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", str(DEPLOY / "build.sh")],
            cwd=self.folder,
            env=os.environ | {"PATH": path},
            check=True,
        )
        return len((self.folder / "calls").read_text().splitlines())

    def test_it_installs_once(self) -> None:
        self.assertEqual([1, 1], [self.build(), self.build()])

    def test_what_another_kind_of_machine_built_is_built_anew(self) -> None:
        """Guards against libraries of x86-64 that are carried over to arm64, or the reverse."""
        self.build()
        for other in ("another-machine cpython-311\n", ""):  # empty: as older versions left it
            with self.subTest(built=other):
                installed = self.build()
                (self.folder / "target" / "deps" / ".built").write_text(other)
                self.assertEqual(installed + 1, self.build())
