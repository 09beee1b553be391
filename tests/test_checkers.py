"""Every checker finds planted violations, passes a clean history and reports an empty one."""

from __future__ import annotations

import copy
import unittest

from kelpstage.testbed.checkers.register import CHECKERS, find_violations

S = 1_000_000  # a second in microseconds


def clean_history() -> list[dict]:
    """Return a short history without violations."""
    rows: list[dict] = [
        {"event": "cut", "cut": "c1", "shards": ["s1", "s2"], "at_us": 0},
        {
            "event": "put",
            "put_id": "a",
            "expected": 0,
            "sent_us": 0,
            "at_us": 10,
            "status": 200,
            "end": "ok",
            "body": {"version": 1},
            "digest": "d1",
            "cut": "c1",
            "quorum": 2,
            "drained": [],
            "serves": {"s1": ["b1"], "s2": ["b2", "b3"]},
        },
        {"event": "returned", "what": "everything", "at_us": 20 * S},
    ]
    for number in range(400):
        sent_us = S + number * 100_000
        rows.append(
            {
                "event": "call",
                "call": f"q-{number}",
                "kind": "search",
                "node": "n1",
                "sent_us": sent_us,
                "done_us": sent_us + 20_000,
                "at_us": sent_us + 20_000,
                "status": 200,
                "end": "ok",
                "version": 1,
                "coverage": 1.0,
                "warning": None,
                "parts": [["s1", "b1", "c1", 3], ["s2", "b2", "c1", 3]],
                "missing": [],
                "causes": [],
                "cut": "c1",
                "quorum": 2,
                "limit": None,
                "single": False,
                "time_left_us": 2 * S,
            }
        )
        for shard, backend in (("s1", "b1"), ("s2", "b2")):
            rows.append(
                {
                    "event": "receipt",
                    "at_us": sent_us + 5_000,
                    "backend": backend,
                    "shard": shard,
                    "cut": "c1",
                    "call": f"q-{number}",
                    "is_search": True,
                    "is_draining": False,
                    "signed_us": 0,
                    "by": "edge/n1",
                    "replied_us": sent_us + 9_000,
                }
            )
    rows.append(
        {
            "event": "read_back",
            "status": 200,
            "version": 1,
            "digest": "d1",
            "sent_us": 50 * S,
            "at_us": 50 * S,
        }
    )
    return rows


def last_call(*, history: list[dict]) -> dict:
    return [row for row in history if row["event"] == "call"][-1]


def put_row(**fields: object) -> dict:
    row = {
        "event": "put",
        "put_id": "b",
        "expected": 1,
        "sent_us": 9 * S,
        "at_us": 10 * S,
        "status": 200,
        "end": "ok",
        "body": {"version": 2},
        "digest": "d2",
        "cut": "c1",
        "quorum": 2,
        "drained": [],
        "serves": {"s1": ["b1"], "s2": ["b2", "b3"]},
    }
    return row | fields


def plant_unreported_omission(history: list[dict]) -> None:
    row = last_call(history=history)
    row["parts"], row["coverage"] = row["parts"][:1], 0.5


def plant_duplicate_part(history: list[dict]) -> None:
    row = last_call(history=history)
    row["parts"] = row["parts"] + row["parts"][:1]


def plant_missing_warning(history: list[dict]) -> None:
    last_call(history=history).update(
        parts=[["s1", "b1", "c1", 3]], missing=["s2"], coverage=0.5, quorum=1
    )


def plant_wrong_body(history: list[dict]) -> None:
    last_call(history=history)["wrong"] = "not the best"


def plant_parts_of_two_cuts(history: list[dict]) -> None:
    last_call(history=history)["parts"][1][2] = "c2"


def plant_cut_of_another_version(history: list[dict]) -> None:
    row = last_call(history=history)
    for part in row["parts"]:
        part[2] = "c2"


def plant_backend_of_another_shard(history: list[dict]) -> None:
    last_call(history=history)["parts"][1][1] = "b1"


def plant_missed_quorum(history: list[dict]) -> None:
    last_call(history=history).update(
        parts=[["s1", "b1", "c1", 3]], missing=["s2"], coverage=0.5, warning="50 %"
    )


def plant_invalid_part(history: list[dict]) -> None:
    history.insert(2, {"event": "lie", "backend": "b2", "lie": "stamp", "at_us": 30 * S})


def plant_send_to_draining_backend(history: list[dict]) -> None:
    row = [row for row in history if row["event"] == "receipt"][-1]
    row.update(is_draining=True, signed_us=row["at_us"] - 3_200_000)


def plant_send_to_gone_backend(history: list[dict]) -> None:
    history.append(
        {
            "event": "dead_send",
            "backend": "b1",
            "by": "edge/n1",
            "at_us": 30 * S,
            "known_us": 26 * S,
        }
    )


def plant_probe_of_draining_backend(history: list[dict]) -> None:
    history.append(
        {
            "event": "probe",
            "backend": "b3",
            "by": "edge/n1",
            "at_us": 34 * S,
            "is_draining": True,
            "signed_us": 30 * S,
        }
    )


def plant_send_to_listed_backend(history: list[dict]) -> None:
    history.append({"event": "listed", "backend": "b2", "state": "stopping", "at_us": 30 * S})


def plant_send_to_labelled_backend(history: list[dict]) -> None:
    history.append(put_row(drained=["b2"], at_us=30 * S, sent_us=29 * S))


def plant_unrelated_partition(history: list[dict]) -> None:
    """A partition of another node does not excuse this sender."""
    plant_send_to_gone_backend(history)
    history.append(
        {
            "event": "fault",
            "what": "cut",
            "fault": 9,
            "at_us": 20 * S,
            "excuses": ["line"],
            "nodes": ["n7"],
        }
    )


def plant_outdated_send(history: list[dict]) -> None:
    history.append(put_row(cut="c2", at_us=20 * S, sent_us=19 * S))
    history[:] = [row for row in history if row["event"] != "call" or row["done_us"] < 20 * S]


def plant_outdated_error(history: list[dict]) -> None:
    history.append(put_row(at_us=36 * S, sent_us=35 * S))
    history[:] = [row for row in history if row["event"] != "call" or row["done_us"] < 36 * S]
    row = last_call(history=history)
    row.update(end="quorum_not_met", sent_us=40 * S, done_us=40 * S, error_version=1)


def plant_outdated_reply(history: list[dict]) -> None:
    history.append(put_row())


def plant_older_version_after_newer(history: list[dict]) -> None:
    calls = [row for row in history if row["event"] == "call"]
    calls[-20]["version"] = 2


def plant_older_version_after_restart(history: list[dict]) -> None:
    plant_older_version_after_newer(history)
    at_us = [row for row in history if row["event"] == "call"][-19]["sent_us"]
    history += [
        {"event": "ended", "edge": "n1", "at_us": at_us},
        {"event": "started", "edge": "n1", "at_us": at_us + 1},
    ]


def plant_unknown_version(history: list[dict]) -> None:
    for row in history:
        if row["event"] == "call" and row["sent_us"] > 30 * S:
            row["version"] = 2


def plant_lost_write(history: list[dict]) -> None:
    history.append(put_row(at_us=49 * S, sent_us=48 * S))


def plant_refused_write_in_force(history: list[dict]) -> None:
    history.append(put_row(status=412, end="version_mismatch", body={"defect": {}}, digest="d9"))
    history.append(
        {
            "event": "read_back",
            "status": 200,
            "version": 2,
            "digest": "d9",
            "sent_us": 51 * S,
            "at_us": 51 * S,
        }
    )


def plant_extra_sends(history: list[dict]) -> None:
    receipts = [row for row in history if row["event"] == "receipt"]
    history += [copy.deepcopy(row) for row in receipts[:60]]


def plant_extra_sends_in_one_shard(history: list[dict]) -> None:
    """The extra sends are few for the whole index, but too many for one shard."""
    receipts = [row for row in history if row["event"] == "receipt" and row["shard"] == "s2"]
    history += [copy.deepcopy(row) for row in receipts[-33:]]


def plant_extra_sends_under_second_cut(history: list[dict]) -> None:
    """Searches are restarted under another cut: their first sends there are extra."""
    receipts = [row for row in history if row["event"] == "receipt"]
    history += [row | {"cut": "c2", "shard": "t" + row["shard"]} for row in receipts[-70:]]


def plant_dropped_call(history: list[dict]) -> None:
    last_call(history=history).update(end="line_lost", status=0)


def plant_refused_connection(history: list[dict]) -> None:
    last_call(history=history).update(end="connect_refused", status=0)


def plant_slow_stop(history: list[dict]) -> None:
    history.append({"event": "ended", "edge": "n1", "in_time": False, "at_us": 20 * S})


def plant_refused_call(history: list[dict]) -> None:
    last_call(history=history).update(end="not_ready", status=503, retry_after="1")


def plant_unexcused_failure(history: list[dict]) -> None:
    last_call(history=history).update(end="quorum_not_met", status=503, retry_after="1")


def plant_unknown_error(history: list[dict]) -> None:
    last_call(history=history).update(end="some_new_defect", status=500)


def plant_unrelated_backend_fault(history: list[dict]) -> None:
    """A crashed backend excuses no search if another backend serves its shard."""
    plant_unexcused_failure(history)
    history.append(
        {
            "event": "fault",
            "what": "crash",
            "fault": 9,
            "at_us": S,
            "excuses": ["backend"],
            "backends": ["b3"],
        }
    )


def plant_known_shard_refused(history: list[dict]) -> None:
    """A shard of the cut in force must not be refused as unknown."""
    last_call(history=history).update(
        end="unknown_shard", status=404, single=True, shard="s1", asked_cut="c1"
    )


def plant_late_reply(history: list[dict]) -> None:
    row = last_call(history=history)
    row.update(sent_us=row["done_us"] - 3 * S)


def plant_delayed_failure(history: list[dict]) -> None:
    row = last_call(history=history)
    row.update(end="quorum_not_met", status=503, retry_after="1", done_us=row["done_us"] + S)


def plant_delayed_refusal(history: list[dict]) -> None:
    row = last_call(history=history)
    row.update(end="not_ready", status=503, retry_after="1", done_us=row["done_us"] + S)


def plant_missing_retry_after(history: list[dict]) -> None:
    last_call(history=history).update(end="quorum_not_met", status=503, retry_after=None)


def plant_slow_recovery(history: list[dict]) -> None:
    history.append(
        {"event": "fault", "what": "herd", "fault": 1, "at_us": 10 * S, "excuses": ["away"]}
    )
    history.append({"event": "fault_end", "fault": 1, "at_us": 12 * S})
    history.append({"event": "returned", "what": "herd", "at_us": 12 * S})
    for row in history:
        if row["event"] == "call" and row["sent_us"] > 10 * S:
            row.update(end="not_ready", status=503, retry_after="1")


def plant_unmeasurable_return(history: list[dict]) -> None:
    """The only return is too close to the end of the history to be measured."""
    for row in history:
        if row["event"] == "returned":
            row["at_us"] = 39 * S


def plant_stale_read(history: list[dict]) -> None:
    """An older version is read long after a newer one was acknowledged."""
    history.append(put_row())


def plant_two_writes_on_one_base(history: list[dict]) -> None:
    history += [put_row(), put_row(put_id="c", digest="d3", body={"version": 3})]


def plant_refused_write_read(history: list[dict]) -> None:
    history.append(put_row(status=412, end="version_mismatch"))
    history[-2].update(version=2, digest="d2")


def plant_refused_repeat(history: list[dict]) -> None:
    again = {"put_id": "a", "expected": 0, "digest": "d1", "end": "version_mismatch"}
    history.append(put_row(status=412, **again))


def plant_two_writes_with_one_version(history: list[dict]) -> None:
    history += [
        put_row(body={"version": 3}),
        put_row(put_id="c", digest="d3", expected=2, body={"version": 3}),
    ]


def plant_refused_while_base_current(history: list[dict]) -> None:
    history.append(put_row(status=412, end="version_mismatch"))


PLANTS = {
    "silent_omission": [plant_unreported_omission, plant_duplicate_part, plant_missing_warning],
    "wrong_body": [plant_wrong_body],
    "mixed_configurations": [
        plant_parts_of_two_cuts,
        plant_cut_of_another_version,
        plant_backend_of_another_shard,
    ],
    "below_quorum": [plant_missed_quorum],
    "garbled_part": [plant_invalid_part],
    "after_known": [
        plant_send_to_draining_backend,
        plant_send_to_gone_backend,
        plant_probe_of_draining_backend,
        plant_send_to_listed_backend,
        plant_send_to_labelled_backend,
        plant_unrelated_partition,
    ],
    "old_configuration": [plant_outdated_reply, plant_outdated_send, plant_outdated_error],
    "slide_back": [plant_older_version_after_newer, plant_older_version_after_restart],
    "lost_or_undead": [plant_lost_write, plant_refused_write_in_force, plant_unknown_version],
    "linearizable": [
        plant_stale_read,
        plant_two_writes_on_one_base,
        plant_refused_write_read,
        plant_refused_repeat,
        plant_two_writes_with_one_version,
        plant_refused_while_base_current,
    ],
    "extra_tries": [
        plant_extra_sends,
        plant_extra_sends_in_one_shard,
        plant_extra_sends_under_second_cut,
    ],
    "dropped": [plant_dropped_call, plant_slow_stop, plant_refused_connection],
    "own_refusal": [
        plant_refused_call,
        plant_unexcused_failure,
        plant_unknown_error,
        plant_unrelated_backend_fault,
        plant_known_shard_refused,
    ],
    "held_back": [
        plant_missing_retry_after,
        plant_late_reply,
        plant_delayed_failure,
        plant_delayed_refusal,
    ],
    "slow_return": [plant_slow_recovery, plant_unmeasurable_return],
}


class BlindSpans(unittest.TestCase):
    """Refusals are excused only while no node can know which configuration was acknowledged."""

    def outage_history(self, restarted: int) -> list[dict]:
        rows = clean_history()
        rows += [{"event": "started", "edge": f"n{n}", "at_us": 0} for n in range(5)]
        rows += [{"event": "core", "core": c, "is_up": True, "at_us": 0} for c in "abc"]
        rows += [{"event": "core", "core": c, "is_up": False, "at_us": 20 * S} for c in "abc"]
        for number in range(restarted):
            rows.append({"event": "ended", "edge": f"n{number}", "at_us": 22 * S})
            rows.append({"event": "started", "edge": f"n{number}", "at_us": 23 * S})
        rows += [{"event": "core", "core": c, "is_up": True, "at_us": 30 * S} for c in "abc"]
        return rows

    def refused_at(self, *, rows: list[dict], at_us: int) -> list:
        call = next(r for r in rows if r["event"] == "call" and r["sent_us"] >= at_us)
        call.update(end="not_ready", status=503, retry_after="1")
        return CHECKERS["own_refusal"](rows)

    def test_a_refusal_is_excused_while_no_majority_held_a_lease(self) -> None:
        self.assertEqual([], self.refused_at(rows=self.outage_history(3), at_us=25 * S))

    def test_a_refusal_is_not_excused_while_a_majority_held_a_lease(self) -> None:
        self.assertTrue(self.refused_at(rows=self.outage_history(2), at_us=25 * S))

    def test_a_refusal_is_not_excused_long_after_the_cores_return(self) -> None:
        self.assertTrue(self.refused_at(rows=self.outage_history(3), at_us=36 * S))


class Checkers(unittest.TestCase):
    def test_clean_history_passes(self) -> None:
        self.assertEqual([], find_violations(history=clean_history()))

    def test_every_checker_finds_its_planted_violations(self) -> None:
        self.assertEqual(set(CHECKERS), set(PLANTS))
        for name, plants in PLANTS.items():
            for plant in plants:
                with self.subTest(checker=name, plant=plant.__name__):
                    history = clean_history()
                    plant(history)
                    self.assertTrue(CHECKERS[name](history))

    def test_empty_history_fails_every_checker(self) -> None:
        for name, check in CHECKERS.items():
            with self.subTest(checker=name):
                self.assertTrue(check([]))
