"""The scenarios for the users' bench (which it calls days): each file holds one, and together
they contain every kind of fault that the bench's standard scenarios lack."""

from __future__ import annotations

import tomllib
import unittest
from typing import Any

from kelpstage.testbed.bench_scenarios import read_result, scenario_files

REQUIRED_TWICE = {
    "clock_step",
    "disk_full",
    "disk_stall",
    "node_slow",
    "node_cut",
    "reset_conns",
    "hup",
    "release",
    "replace_with_reuse",
    "scale_in",
    "bad_config",
    "retry_abuse",
    "answer_lost",
    "ack_lost",
    "srv_grey",
    "core_cut",
    "replace_core",
    "after_ack_wipe",
}
GREY_VARIANTS = {"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"}
BAD_CONFIG_VARIANTS = {
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
}
OTHER_VARIANTS = {"meet", "race", "hard", "drain", "busy", "leader", "reader", "seed"}
OTHER_VARIANTS |= {"both", "seeds", "one_way", "planned"}


def load_scenarios() -> dict[str, dict[str, Any]]:
    days = {}
    for path in scenario_files(names=[]):
        with path.open("rb") as file:
            (day,) = tomllib.load(file)["day"]
        days[path.stem] = day
    return days


class BenchScenarios(unittest.TestCase):
    def setUp(self) -> None:
        self.days = load_scenarios()
        self.rows = [row for day in self.days.values() for row in day["plan"] + day["faults"]]

    def variants(self, *, kind: str = "") -> set[str]:
        rows = [row for row in self.rows if kind in ("", row["kind"])]
        return {word for row in rows for word in row.get("how", "").split()}

    def test_file_name_is_scenario_name(self) -> None:
        self.assertEqual(list(self.days), [day["name"] for day in self.days.values()])

    def test_each_fault_kind_occurs_at_least_twice(self) -> None:
        kinds = [row["kind"] for row in self.rows]
        self.assertEqual(set(), {kind for kind in REQUIRED_TWICE if kinds.count(kind) < 2})

    def test_each_fault_variant_occurs(self) -> None:
        self.assertEqual(set(), GREY_VARIANTS - self.variants(kind="srv_grey"))
        self.assertEqual(set(), BAD_CONFIG_VARIANTS - self.variants(kind="bad_config"))
        self.assertEqual(set(), OTHER_VARIANTS - self.variants())

    def test_no_fault_lasts_beyond_the_end(self) -> None:
        for day in self.days.values():
            for row in day["plan"] + day["faults"]:
                end = row["at"] + row.get("for_s", 0)
                self.assertLess(end, day["length_s"], row)


class ScenarioResults(unittest.TestCase):
    def test_aborted_scenario_has_not_passed(self) -> None:
        for output in ("", "given up: too slow\n", "built in 1 s\nerror: no such day\n"):
            result = read_result(site="s", day="wipes", output=output)
            self.assertFalse(result.has_passed)
            self.assertTrue(result.faults)


if __name__ == "__main__":
    unittest.main()
