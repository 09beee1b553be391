"""Tests of the offline commands of `kelpctl`: their output, exit codes and files."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from kelpstage.cli.main import app
from kelpstage.cli.views.status import status_text
from kelpstage.core.main import app as core_app
from kelpstage.edge.main import app as edge_app
from kelpstage.testbed.fleet.deployment import configuration_of, load

OPENAPI = """
openapi: 3.1.0
info: {title: searches, version: "1"}
servers: [{url: "http://example.invalid"}]
paths:
  /v1/collections/tiny/search:
    post:
      operationId: search
      x-kelp-quorum: 4
      x-kelp-window-us: 20000
      x-other: 1
      security: [{key: []}]
      parameters:
        - {name: limit, in: query, schema: {type: integer}}
        - {name: fuzz, in: query, schema: {type: integer}}
      responses: {"200": {description: found}}
  /v1/collections/nobody/search:
    post: {responses: {"200": {description: found}}}
  /v1/other:
    get: {responses: {"200": {description: found}}}
"""


class StatusTextTest(unittest.TestCase):
    def test_core_with_its_former_program_name_is_shown(self) -> None:
        view = {
            "address": "127.0.0.1:7201",
            "domain": "a",
            "replica": "r",
            "waits_for": "the seeds",
        }
        for program in ("kelpc", "kelpstage-control"):
            with self.subTest(program=program):
                text = status_text(view={**view, "program": program})
                self.assertIn("replica r\n  waits for: the seeds", text)


class OfflineCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.good = self.write(
            "good.json", configuration_of(deployment=load(name="tiny"), addresses={})
        )

    def write(self, name: str, data: bytes) -> str:
        (self.folder / name).write_bytes(data)
        return str(self.folder / name)

    def run_tool(self, *arguments: str):
        result = CliRunner().invoke(app, list(arguments))
        self.assertNotIn("Traceback", result.output)
        return result.exit_code, result.output

    def test_check(self) -> None:
        self.assertEqual(0, self.run_tool("check", self.good)[0])
        bad = json.loads(pathlib.Path(self.good).read_bytes())
        bad["routes"]["tiny"]["Quorum"] = 70
        code, out = self.run_tool(
            "check", self.write("bad.json", json.dumps(bad).encode()), "--json"
        )
        self.assertEqual(1, code)
        self.assertEqual("routes.tiny.Quorum", json.loads(out)["defect"]["faults"][0]["path"])
        self.assertEqual(2, self.run_tool("check", str(self.folder / "nowhere"))[0])

    def test_plan_offline(self) -> None:
        code, out = self.run_tool(
            "plan", "tiny", "--offline", self.good, "--root", "node-01", "--gone", "b-01"
        )
        self.assertEqual(0, code)
        self.assertIn("s1: backend b-01 -> b-02", out)
        self.assertEqual(2, self.run_tool("plan", "tiny", "--offline", self.good, "--gone", "x")[0])
        self.assertEqual(2, self.run_tool("plan", "nobody", "--offline", self.good)[0])

    def test_import(self) -> None:
        out = str(self.folder / "new.json")
        code, text = self.run_tool(
            "import",
            self.write("api.yaml", OPENAPI.encode()),
            "--into",
            self.good,
            "--out",
            out,
            "--json",
        )
        self.assertEqual(0, code, text)
        body = json.loads(text)
        self.assertEqual(4, body["routes"]["tiny"]["Quorum"])
        self.assertEqual(
            {
                "servers",
                "paths./v1/collections/tiny/search.post.x-other",
                "paths./v1/collections/tiny/search.post.security",
                "paths./v1/collections/tiny/search.post.parameters.fuzz",
                "paths./v1/collections/nobody/search.post",
                "paths./v1/other.get",
            },
            {row["path"] for row in body["unsupported"]},
        )
        self.assertEqual(0, self.run_tool("check", out)[0])
        self.assertIn('"Quorum": 5', self.run_tool("diff", self.good, out)[1])

    def test_import_of_invalid_files_writes_nothing(self) -> None:
        out = str(self.folder / "new.json")
        for data in (
            b"\xff\xff",
            b"a: [",
            b"[]",
            b"openapi: 3.1.0",
            b"swagger: '2.0'",
            OPENAPI.replace("x-kelp-quorum: 4", "x-kelp-quorum: 40").encode(),
        ):
            with self.subTest(data=data[:20]):
                code, _ = self.run_tool(
                    "import", self.write("bad.yaml", data), "--into", self.good, "--out", out
                )
                self.assertIn(code, (1, 2))
                self.assertFalse(pathlib.Path(out).exists())


class DaemonSettingsTest(unittest.TestCase):
    def test_every_error_is_printed_and_the_exit_code_is_2(self) -> None:
        for tool, flags, paths in (
            (
                edge_app,
                ["--name", "a b", "--own", "host:1"],
                ("name", "domain", "own", "http", "seeds"),
            ),
            (
                core_app,
                ["--http", "127.0.0.1:0", "--seed", "127.0.0.1:1", "--seed", "127.0.0.1:1"],
                ("domain", "own", "http", "seeds", "data"),
            ),
            (core_app, ["--env", "/nowhere"], ("/nowhere",)),
        ):
            result = CliRunner().invoke(tool, flags)
            self.assertEqual(2, result.exit_code)
            for path in paths:
                with self.subTest(path=path):
                    self.assertIn(f"setting {path}: ", result.output)
