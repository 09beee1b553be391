"""A short soak of real processes from a fixed seed, and what its rules see."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from kelpstage.testbed.fleet.soak_rules import lost_on_kept_connections
from kelpstage.testbed.fleet.soak_runs import SoakPlan, run_soak

SECONDS = 60.0
LEAST_CALLS = 500


class Soak(unittest.TestCase):
    def test_signals_restarts_and_changes_overlap(self) -> None:
        said: list[str] = []
        plan = SoakPlan(
            deployment="tiny", seed=7, seconds=SECONDS, callers=12, edges=0, is_quiet=True
        )
        result = asyncio.run(run_soak(plan=plan, log_progress=said.append))
        self.assertEqual([], result.violations, (said, result.disturbances))
        self.assertGreater(result.calls, LEAST_CALLS)
        self.assertGreater(result.answered, result.calls * 8 // 10)
        self.assertGreater(result.acknowledged_writes, 5)
        self.assertGreater(len(result.disturbances), 5)


class KeptConnections(unittest.TestCase):
    """Which calls on kept connections count as lost."""

    def lost(self, *, end: str, fault: str = "", is_received: bool = True) -> int:
        history: list[dict[str, Any]] = [
            {"event": "kept_call", "call": "c", "node": "n", "end": end, "sent_us": 5, "done_us": 9}
        ]
        if is_received:
            history.append({"event": "receipt", "call": "c", "at_us": 6})
        if fault:
            row = {"event": "fault", "what": fault, "fault": 1, "excuses": ["edge"]}
            history.append(row | {"nodes": ["n"], "at_us": 1, "after_us": 0})
            history.append({"event": "fault_end", "fault": 1, "at_us": 20})
        return len(lost_on_kept_connections(history=history))

    def test_what_reached_a_backend_is_answered(self) -> None:
        self.assertEqual(1, self.lost(end="closed"))
        self.assertEqual(0, self.lost(end="closed", is_received=False))

    def test_an_answer_that_has_begun_is_complete(self) -> None:
        for end in ("cut_off", "garbled", "wait_over"):
            self.assertEqual(1, self.lost(end=end, is_received=False), end)

    def test_a_kill_excuses_it_and_a_planned_stop_does_not(self) -> None:
        self.assertEqual(0, self.lost(end="closed", fault="kill"))
        self.assertEqual(0, self.lost(end="cut_off", fault="freeze most"))
        for fault in ("restart", "restart most", "hang_up", "leave"):
            self.assertEqual(1, self.lost(end="closed", fault=fault), fault)


if __name__ == "__main__":
    unittest.main()
