"""The description of the deployment and the build script."""

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
FAKE_PYTHON = """#!/bin/sh
case "$*" in
"-m pip "*) echo installed >> calls ;;
*) exec {python} "$@" ;;
esac
"""


class SystemPackages(unittest.TestCase):
    def setUp(self) -> None:
        self.packages = tomllib.loads(SYSTEM.read_text(encoding="utf-8"))["packages"]

    def test_packages_are_a_list_of_names(self) -> None:
        self.assertIsInstance(self.packages, list)
        self.assertTrue(self.packages)
        for name in self.packages:
            with self.subTest(name=name):
                self.assertIsInstance(name, str)
                self.assertRegex(name, r"\A[a-z0-9][a-z0-9+.-]+\Z")

    def test_packages_are_sorted_and_unique(self) -> None:
        self.assertEqual(sorted(set(self.packages)), self.packages)


class Build(unittest.TestCase):
    """Runs `build.sh` in a temporary folder with a fake pip that counts its calls."""

    def setUp(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        (self.folder / "pyproject.toml").write_text("[project]\ndependencies = []\n")
        fake_python = self.folder / "python3"
        fake_python.write_text(FAKE_PYTHON.format(python=sys.executable))
        fake_python.chmod(0o755)

    def build(self) -> int:
        """Runs the build; returns how often dependencies have been installed so far."""
        path = f"{self.folder}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", str(DEPLOY / "build.sh")],
            cwd=self.folder,
            env=os.environ | {"PATH": path},
            check=True,
        )
        return len((self.folder / "calls").read_text().splitlines())

    def test_dependencies_are_installed_once(self) -> None:
        self.assertEqual([1, 1], [self.build(), self.build()])

    def test_dependencies_built_on_another_architecture_are_reinstalled(self) -> None:
        """Libraries compiled for x86-64 must not be used on arm64, nor the reverse."""
        self.build()
        for other in ("another-machine cpython-311\n", ""):  # empty: as written by older versions
            with self.subTest(built=other):
                installed = self.build()
                (self.folder / "target" / "deps" / ".built").write_text(other)
                self.assertEqual(installed + 1, self.build())
