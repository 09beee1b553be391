"""The events that a live scenario selects for its duration, and the report of its result."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from typing import Any
from unittest import mock

from kelpstage.testbed.checkers.register import CHECKERS
from kelpstage.testbed.fleet import events as events_module
from kelpstage.testbed.fleet.events import BASELINE_S, Event, events_of, schedule
from kelpstage.testbed.fleet.fleet import Fleet
from kelpstage.testbed.fleet.sampler import COLUMNS
from kelpstage.testbed.fleet.scenario import RETURN_EVENT, judged
from kelpstage.testbed.fleet.summary import summary_text, write_report


async def nothing(context: Any) -> None:
    """An event that does nothing."""


def events() -> list[Event]:
    """Returns the events of a deployment with ten edges and three cores."""
    fleet = mock.Mock(spec=Fleet)
    fleet.deployment = mock.Mock(nodes=list(range(10)))
    fleet.core_nodes = list(range(3))
    return events_of(fleet=fleet)


class Scheduling(unittest.TestCase):
    def test_schedule_fills_the_duration_exactly(self) -> None:
        for seconds in (5, 20, 35, 60, 90, 120, 300, 3600):
            plan = schedule(events=events(), seconds=seconds)
            needs_s = sum(event.needs_s for event in plan.events)
            total_s = BASELINE_S + needs_s + plan.pause_s * (len(plan.events) + 1)
            self.assertLessEqual(needs_s + BASELINE_S, seconds)
            self.assertAlmostEqual(seconds, total_s, places=6)

    def test_each_event_is_selected_or_left_out_and_order_is_kept(self) -> None:
        for seconds in (5, 20, 60, 300):
            plan = schedule(events=events(), seconds=seconds)
            names = [event.name for event in (*plan.events, *plan.left_out)]
            self.assertEqual(sorted(event.name for event in events()), sorted(names))
            order = [event.name for event in events()]
            selected = [event.name for event in plan.events]
            self.assertEqual(selected, sorted(selected, key=order.index))

    def test_all_events_fit_into_five_minutes(self) -> None:
        self.assertEqual((), schedule(events=events(), seconds=300).left_out)

    def test_recovery_check_has_priority_over_long_events(self) -> None:
        selected = {event.name for event in schedule(events=events(), seconds=30).events}
        self.assertIn(RETURN_EVENT, selected)
        self.assertNotIn("rolling restart", selected)

    def test_names_and_ranks_are_unique(self) -> None:
        self.assertEqual(len(events()), len({event.name for event in events()}))
        self.assertEqual(len(events()), len({event.rank for event in events()}))
        self.assertIs(events_module.wait_for_return, events()[-1].run)


class Summary(unittest.TestCase):
    def result(self, **more: Any) -> dict[str, Any]:
        kind = {
            "sent": 100,
            "complete": 90,
            "partial": 5,
            "refused": 2,
            "causes": {"window": 4, "budget": 1},
            "p50_us": 12_400,
            "p95_us": 40_000,
            "p99_us": 90_000,
        }
        return {"kinds": {"search": kind}, "violations": [], "rules": 14, **more}

    def test_summary_has_table_and_left_out_events(self) -> None:
        text = summary_text(result=self.result(left_out=["disk lost"], not_judged=["slow_return"]))
        self.assertRegex(text, r"search +100 +90 +5 +2 +3 +12 +40 +90")
        self.assertIn("shards missing by cause: budget 1, window 4", text)
        self.assertIn("left out, there was no time: disk lost", text)
        self.assertIn("rules kept: 14 of 14\nnot judged: slow_return", text)

    def test_summary_names_broken_rules(self) -> None:
        text = summary_text(result=self.result(violations=["dropped: a", "dropped: b"]))
        self.assertIn("rules kept: 13 of 14", text)
        self.assertIn("broken: dropped: a", text)

    def test_recovery_is_checked_only_if_the_run_had_one(self) -> None:
        with_recovery = judged(history=[], left_out=[], is_returned=True)
        without_recovery = judged(history=[], left_out=[RETURN_EVENT], is_returned=False)
        self.assertEqual((len(CHECKERS), []), (with_recovery["rules"], with_recovery["not_judged"]))
        self.assertEqual(
            (len(CHECKERS) - 1, ["slow_return"]),
            (without_recovery["rules"], without_recovery["not_judged"]),
        )

    def test_report_folder_has_all_files(self) -> None:
        row = dict.fromkeys(COLUMNS, 1.0)
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name) / "report"
            with mock.patch("kelpstage.testbed.fleet.summary._plot", return_value=False):
                files = write_report(
                    folder=folder, result=self.result(), rows=[row], logs={"edge-a.log": "a line"}
                )
            self.assertEqual(files, ["summary.txt", "result.json", "metrics.csv", "edge-a.log"])
            self.assertEqual(sorted(files), sorted(path.name for path in folder.iterdir()))
            self.assertEqual(2, len((folder / "metrics.csv").read_text("utf-8").splitlines()))


if __name__ == "__main__":
    unittest.main()
