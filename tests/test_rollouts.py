"""Rollouts of a new version: scenarios of the platform model with good and bad versions."""

from __future__ import annotations

import unittest

from kelpstage.testbed.platform_model.scenario import Outcome, Plan, as_text, run_scenario

SEED = 1
SECONDS = 8
SHARE_OF_TRAFFIC = 0.3


def run(*, faults: tuple[str, ...], closing: str = "", **more) -> Outcome:
    fields = {
        "deployment": "netherlands",
        "seed": SEED,
        "seconds": SECONDS,
        "rate": SHARE_OF_TRAFFIC,
        "start_us": 6_000_000,
        "settle_s": 2,
        **more,
    }
    return run_scenario(plan=Plan(faults=faults, closing=closing, **fields))


class RolloutScenarios(unittest.TestCase):
    def test_a_rollout_is_acknowledged_and_complete(self):
        outcome = run(faults=("rollout_good",))
        self.assertEqual([], outcome.violations, as_text(outcome=outcome))


if __name__ == "__main__":
    unittest.main()
