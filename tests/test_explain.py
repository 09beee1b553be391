"""Timelines of searches: the tree, attempts with their reasons and times, the retry budget."""

from __future__ import annotations

import json
import random
import unittest

from kelpstage.edge.events import AttemptEnded, Began, Ended
from kelpstage.edge.timelines import (
    MAX_EVENTS_PER_SEARCH,
    MAX_NOTABLE_TIMELINES,
    MAX_TIMELINES,
    Timelines,
)
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.test_fleet_sim import fetch, kind_of

SEARCH_PATH = "/v1/collections/tiny/search"
QUERY = b'{"q":"name-01","call":"x"}'


async def search(fleet: SimFleet, address: str, *, time_left_us: int = 1_000_000):
    return await fetch(
        fleet,
        address,
        SEARCH_PATH,
        "POST",
        headers={"Kelp-Time-Left-Us": str(time_left_us)},
        body=QUERY,
    )


async def fetch_timeline(fleet: SimFleet, address: str, reply) -> dict:
    view = await fetch(fleet, address, f"/v1/searches/{reply.headers['kelp-search']}")
    return json.loads(view.body)


class SearchTimelines(unittest.TestCase):
    def run_scenario(self, scenario) -> None:
        run_sim(seed=2, deployment=load(name="tiny"), scenario=scenario)

    def test_a_complete_search_includes_the_timelines_of_its_peers(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.edge_http["node-04"]
            reply = await search(fleet, address)
            body = json.loads(reply.body)
            self.assertEqual(reply.headers["kelp-search"], body["search"])
            view = await fetch_timeline(fleet, address, reply)
            self.assertEqual(("complete", 6), (view["outcome"], view["shards_in"]))
            attempts = [r for r in view["timeline"] if r["event"] == "AttemptSent"]
            for part in view["partners"].values():
                attempts += [r for r in part["timeline"] if r["event"] == "AttemptSent"]
            chosen = {row["shard"]: row["backend"] for row in attempts}
            self.assertEqual({p["shard"]: p["backend"] for p in body["parts"]}, chosen)
            for row in attempts:
                self.assertEqual(row["backend"], row["ranked"][0]["backend"])
                self.assertGreater(row["window_us"], 0)
            times = [row["at_us"] for row in view["timeline"]]
            self.assertEqual(sorted(times), times)
            self.assertEqual("Ended", view["timeline"][-1]["event"])

        self.run_scenario(scenario)

    def test_a_failed_search_lists_retries_that_were_sent_and_rejected(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.edge_http["node-04"]
            for name in fleet.backends:
                await fleet.set_backend(name=name, slow_us=3_000_000)
            replies = [await search(fleet, address, time_left_us=400_000) for _ in range(4)]
            reply = replies[-1]
            self.assertEqual((503, "quorum_not_met"), (reply.status, kind_of(reply)))
            self.assertEqual(reply.headers["kelp-search"], json.loads(reply.body)["search"])
            views = [await fetch_timeline(fleet, address, one) for one in replies]
            events = [row for view in views for row in view["timeline"]]
            events += [
                row
                for view in views
                for part in view["partners"].values()
                for row in part.get("timeline", [])
            ]
            kinds = {row["event"] for row in events}
            self.assertLessEqual({"AttemptSent", "AttemptRefused", "ChildLate", "Ended"}, kinds)
            whys = {
                row["why"] for row in events if row["event"] in ("AttemptSent", "AttemptRefused")
            }
            self.assertIn("past its window: hedged attempt", whys)
            self.assertIn("past its window: hedged attempt: the budget is spent", whys)
            listed = await fetch(fleet, address, "/v1/searches?only=failed&limit=3")
            rows = json.loads(listed.body)["searches"]
            self.assertEqual(
                [one.headers["kelp-search"] for one in reversed(replies)][:3],
                [row["search"] for row in rows],
            )

        self.run_scenario(scenario)

    def test_a_restarted_search_and_a_search_with_a_dead_peer(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.edge_http["node-04"]
            for name in ("b-01", "b-02", "b-03", "b-04"):
                await fleet.set_backend(name=name, slow_us=600_000)
            call = fleet.outside.spawn(search(fleet, address))
            await fleet.sleep(us=50_000)
            await FAULTS["recut"](fleet, random.Random(1))
            view = await fetch_timeline(fleet, address, await call)
            self.assertEqual(1, sum(r["event"] == "SearchRestarted" for r in view["timeline"]))
            self.assertEqual(2, sum(r["event"] == "Planned" for r in view["timeline"]))
            fleet.kill_edge(name="node-02")
            view = await fetch_timeline(fleet, address, await search(fleet, address))
            self.assertEqual("complete", view["outcome"])

        self.run_scenario(scenario)

    def test_invalid_parameters_and_unknown_ids(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.edge_http["node-04"]
            cases = [
                ("/v1/searches/nobody-1-1", 404, "unknown_search"),
                ("/v1/searches/" + "x" * 200, 404, "unknown_resource"),
                ("/v1/searches?only=odd", 400, "bad_request"),
                ("/v1/searches?limit=0", 400, "bad_request"),
                ("/v1/searches?slower_than_us=-1", 400, "bad_request"),
            ]
            for path, status, kind in cases:
                with self.subTest(path=path):
                    reply = await fetch(fleet, address, path)
                    self.assertEqual((status, kind), (reply.status, kind_of(reply)))

        self.run_scenario(scenario)


class TimelineBounds(unittest.TestCase):
    def test_timelines_are_bounded_and_failed_searches_are_kept_longer(self) -> None:
        view = Timelines()
        for number in range(3 * MAX_TIMELINES):
            name = f"n-{number}"
            view.fold(
                number, Began(search=name, part="root", collection="c", limit=None, time_left_us=9)
            )
            for turn in range(MAX_EVENTS_PER_SEARCH + 5 if number == 0 else 1):
                view.fold(
                    number,
                    AttemptEnded(search=name, shard="s", number=turn, backend="b", outcome="in"),
                )
            outcome = "quorum_not_met" if number < 10 else "complete"
            view.fold(
                number + 1, Ended(search=name, outcome=outcome, shards_in=1, shards=1, detail="")
            )
        self.assertIsNone(view.find(search="n-50"))
        kept = view.find(search="n-0")
        self.assertEqual(MAX_EVENTS_PER_SEARCH, len(kept.events))
        self.assertEqual(6, kept.left_out)
        self.assertEqual(10, len(view.rows(only="failed")))
        self.assertEqual(MAX_TIMELINES + 10, len(view.rows(limit=10_000)))
        self.assertLessEqual(10, MAX_NOTABLE_TIMELINES)
