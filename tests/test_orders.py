"""Operators' orders: repeats, lost answers, two operators, changes of leader, bad input."""

from __future__ import annotations

import unittest

from kelpstage.core.state import machine as state_machine
from kelpstage.core.state.machine import (
    RECORDS_KEPT,
    REFUSALS_KEPT,
    Command,
    CoreState,
    Machine,
    PutApplied,
    PutBlueprint,
    PutLost,
    PutNotAbove,
    PutUnclear,
    RefusePut,
    put_digest,
)


class AppliedRequests(unittest.TestCase):
    """The replicated record of orders: what a repeat hears, however late it comes."""

    def setUp(self) -> None:
        self.machine = Machine(cluster="c")

    def put(
        self, machine: Machine, *, base: int, version: int = 0, text: str = "", put_id=""
    ) -> object:
        put = PutBlueprint(
            put_id=put_id or f"{base}/{version}/{text}",
            expected=base,
            document=text.encode(),
            version=version,
        )
        return machine.apply(data=bytes(Command(put=put)))

    def change(self, *, times: int) -> None:
        for _ in range(times):
            base = self.machine.state.version
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)

    def refuse(self, *, times: int) -> None:
        for number in range(times):
            outcome = self.put(self.machine, base=0, version=9, text=f"late {number}")
            self.assertIsInstance(outcome, PutLost)

    def restored(self) -> Machine:
        return Machine(cluster="c", state=CoreState().parse(bytes(self.machine.state)))

    def test_a_superseded_order_is_acknowledged_again_after_thousands_of_changes(self) -> None:
        self.change(times=1)
        first = dict(base=0, version=2, text="on 0")
        for _ in range(4):
            self.change(times=700)
            self.assertEqual(2, self.put(self.machine, **first).version)
            self.assertEqual(2, self.put(self.machine, **first, put_id="another").version)
            self.machine = self.restored()
        for base in range(0, self.machine.state.version, 2):
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)
            self.assertEqual(base + 2, outcome.version)
        self.assertEqual(RECORDS_KEPT, len(self.machine.state.puts))

    def test_refusals_never_push_out_what_was_taken(self) -> None:
        self.change(times=3)
        self.refuse(times=RECORDS_KEPT + REFUSALS_KEPT + 9)
        outcome = self.put(self.machine, base=0, version=2, text="on 0")
        self.assertEqual(PutApplied(version=2, epoch=1), outcome)
        self.assertEqual(REFUSALS_KEPT, len(self.machine.state.refused))

    def test_the_loser_of_a_superseded_base_is_still_refused(self) -> None:
        self.change(times=RECORDS_KEPT + 20)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=0, version=2, text="another on 0")
            self.assertEqual(PutLost(expected=0, current=machine.state.version), outcome)

    def test_a_snapshot_decides_as_the_replica_that_took_it(self) -> None:
        self.change(times=RECORDS_KEPT + 30)
        self.refuse(times=7)
        again = self.restored()
        orders = [
            *({"base": b, "version": b + 2, "text": f"on {b}"} for b in range(0, 1200, 2)),
            *({"base": 0, "version": 9, "text": f"late {n}"} for n in range(9)),
            {"base": again.state.version, "version": again.state.version, "text": "not above"},
            {"base": again.state.version, "version": again.state.version + 1, "text": "next"},
        ]
        for order in orders:
            self.assertEqual(self.put(self.machine, **order), self.put(again, **order))
            self.assertEqual(bytes(self.machine.state), bytes(again.state))

    def test_beyond_the_oldest_digest_there_is_no_clear_answer_rather_than_a_refusal(self) -> None:
        kept, state_machine.DIGESTS_KEPT = state_machine.DIGESTS_KEPT, 40
        self.addCleanup(setattr, state_machine, "DIGESTS_KEPT", kept)
        self.change(times=RECORDS_KEPT + 60)
        forgotten = self.machine.state.forgotten_below
        self.assertEqual(40, forgotten)
        for machine in (self.machine, self.restored()):
            for base in range(0, machine.state.version, 2):
                outcome = self.put(machine, base=base, version=base + 2, text=f"on {base}")
                wanted = PutUnclear if base < forgotten else PutApplied
                self.assertIsInstance(outcome, wanted, base)
                other = self.put(machine, base=base, version=base + 2, text="another")
                wanted = PutUnclear if base < forgotten else PutLost
                self.assertIsInstance(other, wanted, base)

    def test_the_record_costs_few_bytes(self) -> None:
        self.change(times=2_000)
        self.assertLess(len(bytes(self.machine.state)), RECORDS_KEPT * 100 + 1_500 * 24 + 200)

    def test_a_refused_order_on_a_version_to_come_is_never_taken_later(self) -> None:
        self.change(times=1)
        digest = put_digest(document=b"early", expected=4, version=6)
        refusal = RefusePut(put_id="early", digest=digest, expected=4, version=6)
        outcome = self.machine.apply(data=bytes(Command(refuse=refusal)))
        self.assertEqual(PutLost(expected=4, current=2), outcome)
        self.change(times=1)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=4, version=6, text="early", put_id="early")
            self.assertEqual(PutLost(expected=4, current=2), outcome)
            self.assertEqual(4, machine.state.version)

    def test_a_refusal_that_comes_when_its_base_is_there_decides_nothing(self) -> None:
        self.change(times=1)
        digest = put_digest(document=b"x", expected=2, version=4)
        refusal = Command(refuse=RefusePut(put_id="x", digest=digest, expected=2, version=4))
        self.assertIsInstance(self.machine.apply(data=bytes(refusal)), PutUnclear)
        outcome = self.put(self.machine, base=2, version=4, text="x", put_id="x")
        self.assertEqual(PutApplied(version=4, epoch=2), outcome)
        self.assertEqual(outcome, self.machine.apply(data=bytes(refusal)))

    def test_a_version_that_is_not_above_is_refused_for_good(self) -> None:
        self.change(times=1)
        low = dict(base=2, version=2, text="same number")
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))
        self.change(times=1)
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))


if __name__ == "__main__":
    unittest.main()
