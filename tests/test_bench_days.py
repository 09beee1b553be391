"""The days of our own for the users' bench: each file is one day, and together they hold
every kind of trouble that no standard day has."""

from __future__ import annotations

import tomllib
import unittest
from typing import Any

from kelpstage.testbed.bench_scenarios import read_result, scenario_files

TWICE = {
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
GREY = {"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"}
BAD = {
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
WITH = {"meet", "race", "hard", "drain", "busy", "leader", "reader", "seed"}
WITH |= {"both", "seeds", "one_way", "planned"}


def load_days() -> dict[str, dict[str, Any]]:
    days = {}
    for path in scenario_files(names=[]):
        with path.open("rb") as file:
            (day,) = tomllib.load(file)["day"]
        days[path.stem] = day
    return days


class Days(unittest.TestCase):
    def setUp(self) -> None:
        self.days = load_days()
        self.rows = [row for day in self.days.values() for row in day["plan"] + day["faults"]]

    def words(self, *, kind: str = "") -> set[str]:
        rows = [row for row in self.rows if kind in ("", row["kind"])]
        return {word for row in rows for word in row.get("how", "").split()}

    def test_a_file_is_named_as_its_day(self) -> None:
        self.assertEqual(list(self.days), [day["name"] for day in self.days.values()])

    def test_each_kind_comes_at_least_twice(self) -> None:
        kinds = [row["kind"] for row in self.rows]
        self.assertEqual(set(), {kind for kind in TWICE if kinds.count(kind) < 2})

    def test_each_variant_comes(self) -> None:
        self.assertEqual(set(), GREY - self.words(kind="srv_grey"))
        self.assertEqual(set(), BAD - self.words(kind="bad_config"))
        self.assertEqual(set(), WITH - self.words())

    def test_no_trouble_lasts_past_the_close(self) -> None:
        for day in self.days.values():
            for row in day["plan"] + day["faults"]:
                end = row["at"] + row.get("for_s", 0)
                self.assertLess(end, day["length_s"], row)


class Verdicts(unittest.TestCase):
    def test_a_day_that_was_given_up_is_not_kept(self) -> None:
        for output in ("", "given up: too slow\n", "built in 1 s\nerror: no such day\n"):
            verdict = read_result(site="s", day="wipes", output=output)
            self.assertFalse(verdict.is_kept)
            self.assertTrue(verdict.faults)


if __name__ == "__main__":
    unittest.main()
