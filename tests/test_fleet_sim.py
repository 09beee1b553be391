"""Simulated fleets: bad input of clients and operators, serving without contact to cores or
peers, faults with fixed seeds, and the determinism of a seed."""

from __future__ import annotations

import json
import random
import unittest

from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.scenario import Planned, run_plan

TIME = {"Kelp-Time-Left-Us": "1000000"}


def run_story(scenario, *, seed: int = 1, name: str = "tiny") -> SimFleet:
    return run_sim(seed=seed, deployment=load(name=name), scenario=scenario, rate=0.15)


async def fetch(fleet: SimFleet, address: str, path: str, method: str = "GET", **more):
    return await fleet.outside.ports.net.fetch(
        call=HttpCall(method=method, url=f"http://{address}{path}", **more)
    )


def kind_of(reply) -> str:
    return json.loads(reply.body)["defect"]["kind"]


class ClientInput(unittest.TestCase):
    def test_bad_requests_get_typed_errors(self) -> None:
        search = "/v1/collections/tiny/search"
        cases = [
            ("POST", search, {}, b"{}", 400, "missing_time_left"),
            ("POST", search, {"Kelp-Time-Left-Us": "0"}, b"{}", 400, "bad_time_left"),
            ("POST", search, {"Kelp-Time-Left-Us": "-5"}, b"{}", 400, "bad_time_left"),
            ("POST", search, {"Kelp-Time-Left-Us": "1.5"}, b"{}", 400, "bad_time_left"),
            ("POST", search, {"Kelp-Time-Left-Us": "9" * 30}, b"{}", 400, "bad_time_left"),
            ("POST", search + "?limit=0", TIME, b"{}", 400, "bad_limit"),
            ("POST", search + "?limit=x", TIME, b"{}", 400, "bad_limit"),
            ("POST", search + "?limit=1&limit=2", TIME, b"{}", 400, "bad_limit"),
            ("POST", search + "?limt=5", TIME, b"{}", 400, "bad_request"),
            ("POST", "/v1/collections/nobody/search", TIME, b"{}", 404, "unknown_collection"),
            ("GET", search, TIME, b"", 405, "wrong_method"),
            ("POST", search, TIME, b"x" * (1024 * 1024 + 1), 413, "oversized_body"),
            ("GET", "/v1/collections/tiny/shards/s99/records/1", TIME, b"", 404, "unknown_shard"),
            (
                "GET",
                "/v1/collections/tiny/shards/s1/records/99999",
                TIME,
                b"",
                404,
                "no_such_record",
            ),
            ("GET", "/v1/elsewhere", TIME, b"", 404, "unknown_resource"),
            ("GET", "/v1/plan/nobody", {}, b"", 404, "unknown_collection"),
        ]

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.edge_http["node-04"]
            for method, path, headers, body, status, kind in cases:
                with self.subTest(path=path, headers=headers):
                    reply = await fetch(fleet, address, path, method, headers=headers, body=body)
                    self.assertEqual((status, kind), (reply.status, kind_of(reply)))
            plan = json.loads((await fetch(fleet, address, "/v1/plan/tiny")).body)
            shards = [r["shard"] for r in plan["tree"]["shards"]]
            shards += [r["shard"] for c in plan["tree"]["children"] for r in c["shards"]]
            self.assertEqual(["s1", "s2", "s3", "s4", "s5", "s6"], sorted(shards))
            status = json.loads((await fetch(fleet, address, "/v1/status")).body)
            self.assertTrue(status["is_ready"])

        run_story(scenario)

    def test_invalid_datagrams_are_counted_and_ignored(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            rand = random.Random(9)
            target = fleet.edge_own["node-04"]
            source = await fleet.outside.ports.net.bind_datagrams(
                address="10.0.90.1:5", on_datagram=lambda data, source: None
            )
            for number in range(300):
                junk = rand.randbytes(rand.randrange(200))
                source.send(address=target, data=junk if number % 2 else b"KG\x01" + junk)
            await fleet.sleep(us=3_000_000)
            counts = fleet.daemons["edge/node-04"].counts
            self.assertGreater(counts["gossip_foreign"], 100)
            self.assertGreater(counts["gossip_unreadable"], 100)
            self.assertEqual(6, len(fleet.ready_edges()))
            self.assertEqual(6, len(fleet.daemons["edge/node-04"].swim.live()))

        run_story(scenario)

    def test_request_ends_by_its_deadline_and_fails_fast_without_backends(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in ("b-01", "b-02", "b-03", "b-04"):
                await fleet.set_backend(name=name, slow_us=5_000_000)
            started = fleet.world.now_us()
            reply = await fetch(
                fleet,
                fleet.edge_http["node-04"],
                "/v1/collections/tiny/search",
                "POST",
                headers={"Kelp-Time-Left-Us": "400000"},
                body=b'{"q":"name-01","call":"x"}',
            )
            took_us = fleet.world.now_us() - started
            self.assertEqual((503, "quorum_not_met"), (reply.status, kind_of(reply)))
            self.assertEqual("1", reply.headers["retry-after"])
            self.assertLess(took_us, 400_000)
            for name in ("b-01", "b-02", "b-03", "b-04"):
                await fleet.set_backend(name=name, slow_us=0, is_listening=False)
            await fleet.sleep(us=3_000_000)
            started = fleet.world.now_us()
            reply = await fetch(
                fleet,
                fleet.edge_http["node-04"],
                "/v1/collections/tiny/search",
                "POST",
                headers={"Kelp-Time-Left-Us": "9000000"},
                body=b'{"q":"name-01","call":"y"}',
            )
            self.assertEqual((503, "quorum_not_met"), (reply.status, kind_of(reply)))
            self.assertLess(
                fleet.world.now_us() - started, 500_000, "waited although no backend listens"
            )

        run_story(scenario)


class OperatorInput(unittest.TestCase):
    def test_puts_are_rejected_with_typed_errors_and_repeatable(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            address = fleet.core_http(name="node-02")

            async def put(body: bytes, **headers: str):
                names = {n.replace("_", "-"): v for n, v in headers.items()}
                return await fetch(
                    fleet,
                    address,
                    "/v1/configuration",
                    "PUT",
                    headers=names,
                    body=body,
                    wait_us=12_000_000,
                )

            good = fleet.configuration(note="x")
            cases = [
                (await put(good, Kelp_Put_Id="p"), 428, "missing_if_match"),
                (await put(good, If_Match="one", Kelp_Put_Id="p"), 400, "bad_request"),
                (await put(good, If_Match="1"), 400, "bad_request"),
                (await put(b"{}", If_Match="1", Kelp_Put_Id="p"), 422, "configuration_refused"),
                (await put(good, If_Match="7", Kelp_Put_Id="p"), 412, "version_mismatch"),
                (await put(b" " * (5 << 20), If_Match="1", Kelp_Put_Id="p"), 413, "oversized_body"),
            ]
            for reply, status, kind in cases:
                self.assertEqual((status, kind), (reply.status, kind_of(reply)))
            first = await put(good, If_Match="1", Kelp_Put_Id="p")
            again = await put(good, If_Match="1", Kelp_Put_Id="p")
            self.assertEqual(200, first.status)
            self.assertEqual(json.loads(first.body), json.loads(again.body))
            other = await put(fleet.configuration(note="y"), If_Match="1", Kelp_Put_Id="p")
            self.assertEqual((409, "put_id_reused"), (other.status, kind_of(other)))
            lost = await put(fleet.configuration(note="y"), If_Match="1", Kelp_Put_Id="q")
            self.assertEqual((412, "version_mismatch"), (lost.status, kind_of(lost)))
            state = await fetch(fleet, address, "/v1/puts/p")
            self.assertEqual("acknowledged", json.loads(state.body)["state"])
            unknown = await fetch(fleet, address, "/v1/puts/zzz")
            self.assertEqual((404, "unknown_put"), (unknown.status, kind_of(unknown)))
            back = await fetch(fleet, address, "/v1/configuration")
            self.assertEqual((good, '"2"'), (back.body, back.headers["etag"]))

        run_story(scenario)

    def test_put_is_rejected_before_the_log_when_most_edges_are_gone(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for number in (3, 4, 5, 6):
                fleet.kill_edge(name=f"node-0{number}")
            await fleet.sleep(us=4_000_000)
            row = await fleet.put_next()
            self.assertEqual("no_edge_majority", row["end"])
            read = await fleet.read_back()
            self.assertEqual(1, read["version"])
            address = fleet.core_http(name=fleet.leader())
            still = await fetch(fleet, address, "/v1/roster/node-01", "DELETE")
            self.assertEqual((409, "edge_still_here"), (still.status, kind_of(still)))
            gone = await fetch(
                fleet,
                address,
                "/v1/roster/node-03,node-04,node-05,node-06",
                "DELETE",
                wait_us=20_000_000,
            )
            self.assertEqual(
                (200, ["node-01", "node-02"]), (gone.status, json.loads(gone.body)["roster"])
            )
            self.assertEqual(200, (await fleet.put_next())["status"])

        run_story(scenario)


class LossOfContact(unittest.TestCase):
    """Edges keep serving without cores, but never under a superseded configuration."""

    def test_fleet_serves_without_any_core(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for name in list(fleet.core_address):
                fleet.kill_core(name=name)
            await fleet.sleep(us=30_000_000)
            self.assertEqual(6, len(fleet.ready_edges()))

        run_story(scenario)

    def test_isolated_edge_stops_before_a_put_is_acknowledged(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edge = fleet.daemons["edge/node-05"]
            for other in fleet.world.machines:
                if other not in ("node-05", "outside"):
                    fleet.world.block_path(a="node-05", b=other)
            row = await fleet.put_next()
            self.assertEqual(200, row["status"])
            self.assertEqual(1, edge.lease_holder.configuration.version)
            self.assertTrue(edge.not_ready_reason())
            self.assertNotIn("node-05", fleet.ready_edges())
            fleet.world.heal()
            await fleet.wait_for(
                what="the edge to serve again",
                condition=lambda: not edge.not_ready_reason(),
                us=5_000_000,
            )
            self.assertEqual(2, edge.lease_holder.configuration.version)

        run_story(scenario)

    def test_thawed_edge_does_not_answer_under_its_old_configuration(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for backend in fleet.backends:
                await fleet.set_backend(name=backend, slow_us=150_000)
            call = fleet.outside.spawn(
                fetch(
                    fleet,
                    fleet.edge_http["node-05"],
                    "/v1/collections/tiny/search",
                    "POST",
                    headers={"Kelp-Time-Left-Us": "20000000"},
                    body=b'{"q":"name-01","call":"x"}',
                    wait_us=30_000_000,
                )
            )
            await fleet.sleep(us=50_000)
            fleet.processes["edge/node-05"].freeze()
            await fleet.sleep(us=2_500_000)
            row = await fleet.put_next()
            self.assertEqual(200, row["status"])
            fleet.processes["edge/node-05"].thaw()
            reply = await call
            if reply.status == 200:
                self.assertEqual(2, json.loads(reply.body)["configuration"])
            else:
                self.assertEqual("not_ready", kind_of(reply))

        run_story(scenario)


class EpochConfirmations(unittest.TestCase):
    """An epoch that was announced and then lost with every core stops no edge; an epoch that a
    peer has installed does."""

    def test_only_installed_epochs_of_peers_count(self) -> None:
        from kelpstage.common.configuration.types import Configuration
        from kelpstage.common.transport.messages import ConfirmEpochReply, LeaseReply, StateDoc
        from kelpstage.edge.lease.lease_holder import LeaseHolder

        lease_holder = LeaseHolder(me="a")
        membership = ["a", "b", "c"]
        lease_holder.install(
            doc=StateDoc(cluster="k", epoch=4, version=1, membership=membership),
            configuration=Configuration(version=1, document=b""),
            now_us=0,
        )
        lease_holder.record_lease(
            reply=LeaseReply(is_granted=True, cluster="k", epoch=4, span_us=10), sent_us=0
        )

        def confirm(edge: str, epoch: int, vouches: bool = True) -> None:
            lease_holder.on_epoch_confirmed(
                reply=ConfirmEpochReply(edge=edge, vouches=vouches, epoch=epoch, cluster="k"),
                asked_us=100 + epoch,
            )

        confirm("b", 4, vouches=False)
        self.assertTrue(lease_holder.refusal(now_us=200))
        confirm("b", 4)
        self.assertEqual("", lease_holder.refusal(now_us=200))
        self.assertTrue(lease_holder.note_epoch(epoch=5, source=""))
        self.assertEqual("", lease_holder.refusal(now_us=200))
        confirm("c", 5)
        self.assertIn("newer epoch", lease_holder.refusal(now_us=200))
        self.assertTrue(lease_holder.refusal(now_us=5_000_000))


class SeededFaults(unittest.TestCase):
    """Seeds and faults that once caused a violation, on the small fleet."""

    REGRESSIONS = [
        # an edge stopped serving while it fetched an epoch that it had just learned of
        (22, "tiny", ["core_replaced", "put_race", "put_one"]),
        # a backend with wrong answers used up the retry budget
        (21, "tiny", ["backend_lies", "backend_drains"]),
        # a core restarted during an election
        (24, "tiny", ["core_power", "core_freeze", "put_repeat"]),
    ]

    def check_run(self, *, seed: int, deployment: str, plan: list[Planned]) -> None:
        outcome, _ = run_plan(seed=seed, deployment=deployment, plan=plan)
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.good, 100)

    def test_former_violations(self) -> None:
        for seed, deployment, names in self.REGRESSIONS:
            plan = [Planned(at_us=n * 3_000_000, name=name) for n, name in enumerate(names)]
            with self.subTest(names=names):
                self.check_run(seed=seed, deployment=deployment, plan=plan)

    def test_seed_determines_the_history(self) -> None:
        plan = [Planned(at_us=0, name="edge_kill"), Planned(at_us=10, name="core_power")]
        histories = [run_plan(seed=5, deployment="tiny", plan=plan)[1].history for _ in range(2)]
        self.assertEqual(histories[0], histories[1])
        other = run_plan(seed=6, deployment="tiny", plan=plan)[1].history
        self.assertNotEqual(histories[0], other)


class FaultCombinations(unittest.TestCase):
    """Runs with four faults, and runs with distant zones, that once caused a violation.

    The faults that each seed selected are listed here, so that adding a kind of fault does
    not change them.
    """

    FAULTS_BY_SEED = {
        312: [
            (1_475_188, "backends_pause"),
            (8_028_036, "put_large"),
            (12_826_652, "rolling_restart"),
            (17_604_687, "backend_vanish"),
        ],
        403: [
            (9_296_877, "core_freeze"),
            (16_307_625, "edges_one_way"),
            (16_367_654, "zone_cut"),
            (19_384_883, "backend_lies"),
        ],
        427: [
            (474_055, "zone_cut"),
            (7_710_180, "backend_drains"),
            (15_500_114, "many_recuts"),
            (16_463_365, "backends_pause"),
        ],
        325: [
            (4_995_976, "restart_without_cores"),
            (15_661_590, "edge_herd"),
            (16_829_123, "cores_gone"),
            (19_216_490, "put_one"),
        ],
    }

    def check_run(self, *, seed: int, deployment: str, names: str = "", far_us: int = 0) -> None:
        plan = [Planned(at_us=100_000, name=name) for name in names.split()]
        plan = plan or [
            Planned(at_us=at_us, name=name) for at_us, name in self.FAULTS_BY_SEED[seed]
        ]
        outcome, _ = run_plan(seed=seed, deployment=deployment, plan=plan, far_us=far_us)
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.good, 100)

    def test_vanished_backend_and_restarted_edge(self) -> None:
        self.check_run(seed=312, deployment="senegal")

    def test_one_way_partition_of_an_edge_during_a_leader_change(self) -> None:
        self.check_run(seed=403, deployment="senegal")

    def test_late_helper_without_retry_budget(self) -> None:
        self.check_run(seed=427, deployment="netherlands")

    def test_many_edges_start_while_cores_are_gone(self) -> None:
        self.check_run(seed=325, deployment="netherlands")

    def test_zone_partition_with_distant_zones(self) -> None:
        self.check_run(seed=6, deployment="netherlands", names="zone_cut", far_us=60_000)

    def test_moved_backends_with_distant_zones(self) -> None:
        self.check_run(seed=5, deployment="netherlands", names="put_moves", far_us=60_000)


class SingleFaults(SeededFaults):
    """One test for each fault, as the only fault on the small fleet."""

    test_former_violations = None
    test_seed_determines_the_history = None


def _add(number: int, name: str) -> None:
    def test(self: SingleFaults) -> None:
        self.check_run(seed=number, deployment="tiny", plan=[Planned(at_us=0, name=name)])

    setattr(SingleFaults, f"test_{name}", test)


for _number, _name in enumerate(sorted(FAULTS)):
    _add(_number, _name)
