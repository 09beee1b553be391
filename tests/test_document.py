"""Configurations: every fault is found with its path, the examples pass, tools judge alike."""

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


def good() -> dict:
    return json.loads(configuration_of(deployment=load(name="tiny"), addresses={}))


def faults(document: object) -> dict[str, str]:
    outcome = read_configuration(data=json.dumps(document).encode(), version=1)
    if isinstance(outcome, Configuration):
        return {}
    return {fault.path: fault.why for fault in outcome.faults}


def read(document: dict) -> Configuration:
    outcome = read_configuration(data=json.dumps(document).encode(), version=1)
    assert isinstance(outcome, Configuration), outcome
    return outcome


class ConfigurationTest(unittest.TestCase):
    def test_examples_and_data_sets_pass(self) -> None:
        self.assertEqual(3, len(list(EXAMPLES.glob("*.json"))))
        for path in EXAMPLES.glob("*.json"):
            self.assertIsInstance(
                read_configuration(data=path.read_bytes(), version=1), Configuration
            )
        for name in names():
            data = configuration_of(deployment=load(name=name), addresses={})
            self.assertIsInstance(read_configuration(data=data, version=1), Configuration)

    def test_each_fault_is_named_with_its_path(self) -> None:
        def bend(path: str, value: object) -> dict:
            document = good()
            *way, last = path.split("/")
            place = document
            for step in way:
                place = place[step]
            if value is None:
                del place[last]
            else:
                place[last] = value
            return document

        cases = {
            "collections.tiny.shards.s1.selector": bend("collections/tiny/shards/s1/selector", {}),
            "collections.tiny.shards.s2.selector": bend(
                "collections/tiny/shards/s2/selector", {"shard": "nobody"}
            ),
            "collections.tiny.gatherers": bend("collections/tiny/gatherers", {"role": "x"}),
            "collections.tiny.shards": bend("collections/tiny/shards/s1/cut", "c9"),
            "routes.other": bend("routes/other", {"FanOut": ["s1"], "Quorum": 1}),
            "routes.tiny.FanOut.6": bend(
                "routes/tiny/FanOut", ["s1", "s2", "s3", "s4", "s5", "s6", "s7"]
            ),
            "routes.tiny.FanOut.1": bend(
                "routes/tiny/FanOut", ["s1", "s1", "s2", "s3", "s4", "s5", "s6"]
            ),
            "routes.tiny.FanOut": bend("routes/tiny/FanOut", ["s1", "s2", "s3", "s4", "s5"]),
            "routes.tiny.Quorum": bend("routes/tiny/Quorum", 7),
            "routes.tiny.fan_out": bend("routes/tiny/fan_out", 1),
            "routes.tiny.window_us": bend("routes/tiny/window_us", "10ms"),
            "backends.b-01.address": bend("backends/b-01/address", "host:80"),
            "backends.b-01.labels": bend("backends/b-01/labels", None),
            "backends": bend("backends", None),
            "extra": bend("extra", 1),
        }
        for path, document in cases.items():
            with self.subTest(path=path):
                self.assertIn(path, faults(document))

    def test_all_faults_are_told_at_once(self) -> None:
        document = good()
        document["routes"]["tiny"]["Quorum"] = 99
        document["collections"]["tiny"]["shards"]["s1"]["selector"] = {}
        document["collections"]["tiny"]["shards"]["s3"]["cut"] = "c2"
        self.assertEqual(3, len(faults(document)))

    def test_what_is_no_json_is_refused(self) -> None:
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

    def test_quorum_true_is_no_number(self) -> None:
        document = good()
        document["routes"]["tiny"]["Quorum"] = True
        self.assertIn("routes.tiny.Quorum", faults(document))


class OfflineTest(unittest.TestCase):
    def test_warnings(self) -> None:
        document = good()
        document["backends"]["b-02"]["labels"]["drain"] = "true"
        document["backends"]["b-04"]["labels"]["domain"] = "east"
        document["routes"]["tiny"]["Quorum"] = 6
        for number in (2, 3, 4, 5, 6):
            document["nodes"][f"node-0{number}"]["labels"]["role"] = "other"
        found = {w.path: w.why for w in warnings_of(configuration=read(document))}
        self.assertIn("one backend only", found["collections.tiny.shards.s1"])
        self.assertIn("all backends in one zone", found["collections.tiny.shards.s2"])
        self.assertIn("the loss of", found["routes.tiny.Quorum"])
        self.assertIn("1 nodes may gather", found["collections.tiny.gatherers"])

    def test_plan_without_some(self) -> None:
        configuration = read(good())
        ask = {"configuration": configuration, "collection": "tiny", "root": "node-01"}
        whole = offline_plan(gone=frozenset(), **ask)
        self.assertEqual((1.0, True), (whole["coverage"], whole["is_quorum_met"]))
        less = offline_plan(gone=frozenset({"b-01", "b-02", "b-03", "b-04"}), **ask)
        self.assertEqual(["s1", "s2"], less["missing"])
        self.assertFalse(less["is_quorum_met"])
        self.assertTrue(changes(before=whole, after=less))

    def test_diff_names_what_changes(self) -> None:
        old = good()
        new = copy.deepcopy(old)
        new["routes"]["tiny"]["Quorum"] = 4
        del new["backends"]["b-01"]
        paths = [row["path"] for row in diff_of(old=read(old), new=read(new))]
        self.assertEqual(
            ["backends.b-01", "collections.tiny.shards.s1 (backends)", "routes.tiny"], paths
        )
        self.assertEqual([], diff_of(old=read(old), new=read(old)))
