"""Tests of the validation of configurations with collections, and of the offline analyses."""

from __future__ import annotations

import copy
import json
import pathlib
import unittest

from kelpstage.cli.offline.diff import diff_of
from kelpstage.cli.offline.plan import changes, offline_plan
from kelpstage.cli.offline.warnings import warnings_of
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import DOCUMENT_LIMIT, read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError
from kelpstage.testbed.fleet.deployment import configuration_of, load, names

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "configurations"


def valid_document() -> dict:
    return json.loads(configuration_of(deployment=load(name="tiny"), addresses={}))


def errors_of(document: object) -> dict[str, str]:
    outcome = read_configuration(data=json.dumps(document).encode(), version=1)
    if isinstance(outcome, Configuration):
        return {}
    return {fault.path: fault.why for fault in outcome.faults}


def parse(document: dict) -> Configuration:
    outcome = read_configuration(data=json.dumps(document).encode(), version=1)
    assert isinstance(outcome, Configuration), outcome
    return outcome


class ConfigurationValidationTest(unittest.TestCase):
    def test_examples_and_deployments_are_valid(self) -> None:
        self.assertEqual(3, len(list(EXAMPLES.glob("*.json"))))
        for path in EXAMPLES.glob("*.json"):
            self.assertIsInstance(
                read_configuration(data=path.read_bytes(), version=1), Configuration
            )
        for name in names():
            data = configuration_of(deployment=load(name=name), addresses={})
            self.assertIsInstance(read_configuration(data=data, version=1), Configuration)

    def test_each_error_is_reported_with_its_path(self) -> None:
        def with_value(path: str, value: object) -> dict:
            document = valid_document()
            *parents, key = path.split("/")
            section = document
            for parent in parents:
                section = section[parent]
            if value is None:
                del section[key]
            else:
                section[key] = value
            return document

        cases = {
            "collections.tiny.shards.s1.selector": with_value(
                "collections/tiny/shards/s1/selector", {}
            ),
            "collections.tiny.shards.s2.selector": with_value(
                "collections/tiny/shards/s2/selector", {"shard": "nobody"}
            ),
            "collections.tiny.gatherers": with_value("collections/tiny/gatherers", {"role": "x"}),
            "collections.tiny.shards": with_value("collections/tiny/shards/s1/cut", "c9"),
            "routes.other": with_value("routes/other", {"FanOut": ["s1"], "Quorum": 1}),
            "routes.tiny.FanOut.6": with_value(
                "routes/tiny/FanOut", ["s1", "s2", "s3", "s4", "s5", "s6", "s7"]
            ),
            "routes.tiny.FanOut.1": with_value(
                "routes/tiny/FanOut", ["s1", "s1", "s2", "s3", "s4", "s5", "s6"]
            ),
            "routes.tiny.FanOut": with_value("routes/tiny/FanOut", ["s1", "s2", "s3", "s4", "s5"]),
            "routes.tiny.Quorum": with_value("routes/tiny/Quorum", 7),
            "routes.tiny.fan_out": with_value("routes/tiny/fan_out", 1),
            "routes.tiny.window_us": with_value("routes/tiny/window_us", "10ms"),
            "backends.b-01.address": with_value("backends/b-01/address", "host:80"),
            "backends.b-01.labels": with_value("backends/b-01/labels", None),
            "backends": with_value("backends", None),
            "extra": with_value("extra", 1),
        }
        for path, document in cases.items():
            with self.subTest(path=path):
                self.assertIn(path, errors_of(document))

    def test_all_errors_are_reported_together(self) -> None:
        document = valid_document()
        document["routes"]["tiny"]["Quorum"] = 99
        document["collections"]["tiny"]["shards"]["s1"]["selector"] = {}
        document["collections"]["tiny"]["shards"]["s3"]["cut"] = "c2"
        self.assertEqual(3, len(errors_of(document)))

    def test_invalid_json_is_rejected(self) -> None:
        for data in (
            b"",
            b"\xff",
            b'{"a":1,"a":2}',
            b'{"a":NaN}',
            b"[" * 5000,
            b"null",
            b" " * (DOCUMENT_LIMIT + 1),
        ):
            with self.subTest(data=data[:20]):
                self.assertIsInstance(
                    read_configuration(data=data, version=1), InvalidConfigurationError
                )

    def test_quorum_must_not_be_a_boolean(self) -> None:
        document = valid_document()
        document["routes"]["tiny"]["Quorum"] = True
        self.assertIn("routes.tiny.Quorum", errors_of(document))


class OfflineAnalysisTest(unittest.TestCase):
    def test_warnings(self) -> None:
        document = valid_document()
        document["backends"]["b-02"]["labels"]["drain"] = "true"
        document["backends"]["b-04"]["labels"]["domain"] = "east"
        document["routes"]["tiny"]["Quorum"] = 6
        for number in (2, 3, 4, 5, 6):
            document["nodes"][f"node-0{number}"]["labels"]["role"] = "other"
        found = {w.path: w.why for w in warnings_of(configuration=parse(document))}
        self.assertIn("one backend only", found["collections.tiny.shards.s1"])
        self.assertIn("all backends in one zone", found["collections.tiny.shards.s2"])
        self.assertIn("the loss of", found["routes.tiny.Quorum"])
        self.assertIn("1 nodes may gather", found["collections.tiny.gatherers"])

    def test_plan_without_some_backends(self) -> None:
        configuration = parse(valid_document())
        arguments = {"configuration": configuration, "collection": "tiny", "root": "node-01"}
        complete = offline_plan(gone=frozenset(), **arguments)
        self.assertEqual((1.0, True), (complete["coverage"], complete["is_quorum_met"]))
        reduced = offline_plan(gone=frozenset({"b-01", "b-02", "b-03", "b-04"}), **arguments)
        self.assertEqual(["s1", "s2"], reduced["missing"])
        self.assertFalse(reduced["is_quorum_met"])
        self.assertTrue(changes(before=complete, after=reduced))

    def test_diff_reports_the_changes(self) -> None:
        old = valid_document()
        new = copy.deepcopy(old)
        new["routes"]["tiny"]["Quorum"] = 4
        del new["backends"]["b-01"]
        paths = [row["path"] for row in diff_of(old=parse(old), new=parse(new))]
        self.assertEqual(
            ["backends.b-01", "collections.tiny.shards.s1 (backends)", "routes.tiny"], paths
        )
        self.assertEqual([], diff_of(old=parse(old), new=parse(old)))
