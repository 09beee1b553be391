"""Data folders with rollouts that an older version of the software has written."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import tempfile
import unittest

from kelpstage.common.ports.live import live_ports
from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.core.state.commands import BeginRollout, Command
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import RolloutBegun
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.state.rollouts import rollout_of, versions_in_place
from kelpstage.core.store.store import Store

FIXTURES = pathlib.Path(__file__).parent / "fixtures" / "cbdaa31"
COMMAND = 2  # kind of a log entry


class OlderDataFolder(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        copy = shutil.copytree(FIXTURES / "core-rollouts", pathlib.Path(folder.name) / "data")
        recovered = asyncio.run(self.recover(folder=copy))
        state = CoreState().parse(recovered.snapshot.state)
        self.machine = Machine(cluster="c", state=state)
        self.outcomes = [
            self.machine.apply(data=entry.data)
            for entry in recovered.log.entries
            if entry.kind == COMMAND
        ]
        self.expected = json.loads((FIXTURES / "core-rollouts.expected.json").read_text())

    async def recover(self, *, folder: pathlib.Path):
        store = Store(ports=live_ports(data_folder=str(folder)))
        return await store.recover(identity=await store.read_identity())

    def test_snapshot_and_log_give_the_rollouts_that_the_older_version_had(self) -> None:
        """A replica that applies an older entry by a new rule differs from the others."""
        self.assertEqual(self.expected["outcomes"], list(map(repr, self.outcomes)))
        rows = [
            {
                "service": rollout.service,
                "target": rollout.target,
                "number": rollout.number,
                "condition": rollout.condition,
                "share": rollout.share,
                "reverted": rollout.reverted,
            }
            for rollout in self.machine.state.rollouts
        ]
        self.assertEqual(self.expected["rollouts"], rows)
        self.assertEqual(set(RolloutCondition), {row["condition"] for row in rows})

    def test_the_version_in_place_is_that_of_the_last_complete_rollout(self) -> None:
        found = {
            service: versions_in_place(state=self.machine.state, service=service)
            for service in ("again", "bad", "complete", "done")
        }
        wanted = {"again": ["v2"], "bad": [], "complete": ["v2"], "done": ["v2"]}
        self.assertEqual(wanted, found)

    def test_a_new_order_is_taken_after_each_condition(self) -> None:
        for rollout in list(self.machine.state.rollouts):
            if rollout.condition == RolloutCondition.ROLLING:
                continue
            order = BeginRollout(
                service=rollout.service,
                target="v9",
                over_us=1,
                is_new=True,
                follows=rollout.number,
                in_place=["v2"],
            )
            outcome = self.machine.apply(data=bytes(Command(begin_rollout=order)))
            self.assertIsInstance(outcome, RolloutBegun)
            newest = rollout_of(state=self.machine.state, service=rollout.service)
            self.assertEqual(("v9", ["v2"]), (newest.target, newest.in_place))


if __name__ == "__main__":
    unittest.main()
