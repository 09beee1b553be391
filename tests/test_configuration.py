"""Tests of configurations with forward routes, of writes with a stated version, and of settings."""

from __future__ import annotations

import copy
import json
import pathlib
import tempfile
import time
import unittest

from typer.testing import CliRunner

from kelpstage.cli.main import app
from kelpstage.cli.offline.diff import diff_of
from kelpstage.cli.offline.warnings import warnings_of
from kelpstage.common.configuration.types import (
    EMPTY_CONFIGURATION,
    CallerLimits,
    Configuration,
    Service,
)
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.errors.validation import InvalidSettingsError
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.settings.loading import CORE_SCHEMA, EDGE_SCHEMA, validate_settings
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.state.commands import AddEdge, Command, PutConfiguration
from kelpstage.core.state.machine import REFUSALS_KEPT, Machine
from kelpstage.core.state.outcomes import PutApplied, PutSuperseded
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim


def forward_document() -> dict:
    return {
        "version": 7,
        "services": {
            "huvo11a": {"health_path": "/health", "max_connections": 88},
            "lohu93e": {"health_path": "/health", "max_connections": 88},
            "kafi81c": {"health_path": "/up", "max_connections": 130},
        },
        "forward": {
            "r-gather": {
                "host": "Mide43.example:80",
                "prefix": "/leno121/ny90/",
                "is_repeatable": True,
                "attempts": 2,
                "deadline_us": 800_000,
                "aim_us": 84_000,
                "rank": 2,
                "fan_out": ["huvo11a", "lohu93e"],
                "limit": 5,
                "quorum": 0.3,
            },
            "r-plain": {
                "host": "jeba49.example",
                "prefix": "/file492/",
                "is_repeatable": False,
                "attempts": 1,
                "deadline_us": 3_000_000,
                "aim_us": 396_000,
                "rank": 0,
                "weights": {"kafi81c": 0.25, "huvo11a": 0.75},
            },
        },
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 262144,
            "header_us": 3_000_000,
            "idle_us": 15_000_000,
        },
        "source": '{"as": "sent \u00e9"}',
    }


def validate(*, body: object) -> Configuration | dict[str, str]:
    outcome = read_configuration(data=json.dumps(body).encode(), version=3)
    if isinstance(outcome, Configuration):
        return outcome
    return {fault.path: fault.why for fault in outcome.faults}


def with_value(path: str, value: object) -> dict:
    body = copy.deepcopy(forward_document())
    *parents, key = path.split("/")
    section = body
    for parent in parents:
        section = section[parent]
    if value is None:
        del section[key]
    else:
        section[key] = value
    return body


class ForwardRouteValidationTest(unittest.TestCase):
    def test_complete_document_is_parsed(self) -> None:
        configuration = validate(body=forward_document())
        self.assertIsInstance(configuration, Configuration)
        self.assertEqual((3, 7), (configuration.version, configuration.stated_version))
        self.assertEqual(
            Service(name="kafi81c", health_path="/up", max_connections=130),
            configuration.services["kafi81c"],
        )
        self.assertEqual(
            CallerLimits(
                header_bytes=16384, body_bytes=262144, header_us=3_000_000, idle_us=15_000_000
            ),
            configuration.limits,
        )
        self.assertEqual('{"as": "sent \u00e9"}'.encode(), configuration.source)
        gather = configuration.forward["r-gather"]
        self.assertEqual(("mide43.example", 1, 5), (gather.host, gather.quorum, gather.limit))
        plain = configuration.forward["r-plain"]
        self.assertEqual((("kafi81c", 0.25), ("huvo11a", 0.75)), plain.weights)
        self.assertEqual(("kafi81c", "huvo11a"), plain.services)

    def test_forward_routes_become_collections_and_routes(self) -> None:
        configuration = validate(body=forward_document())
        collection = configuration.collections["r-gather"]
        self.assertEqual(("records16", ""), (collection.codec, collection.order_by))
        self.assertEqual(["huvo11a", "lohu93e"], list(collection.shards))
        shard = collection.shards["huvo11a"]
        self.assertEqual(("huvo11a", "", {}), (shard.name, shard.cut, shard.selector))
        route = configuration.route(collection="r-gather")
        self.assertEqual(("huvo11a", "lohu93e"), route.fan_out)
        self.assertEqual(
            (1, 5, 10_000, 84_000),
            (route.quorum, route.tree_fan_out, route.window_us, route.aim_us),
        )
        self.assertEqual(("kafi81c", "huvo11a"), configuration.route(collection="r-plain").fan_out)
        self.assertTrue(configuration.is_gatherer(collection="r-gather", name="n", zone="d"))

    def test_longest_prefix_of_the_host_is_selected(self) -> None:
        body = forward_document()
        wide = dict(body["forward"]["r-plain"], host="mide43.example", prefix="/")
        deep = dict(wide, prefix="/leno121/")
        body["forward"] |= {"r-wide": wide, "r-deep": deep}
        configuration = validate(body=body)

        def name_of(host: str, path: str) -> str | None:
            route = configuration.forward_for(host=host, path=path)
            return route and route.name

        self.assertEqual("r-gather", name_of("MIDE43.example:8080", "/leno121/ny90/2f"))
        self.assertEqual("r-gather", name_of("mide43.example", "/leno121/ny90/"))
        self.assertEqual("r-deep", name_of("mide43.example", "/leno121/ny90"))
        self.assertEqual("r-wide", name_of("mide43.example", "/leno12/x/" + "y/" * 5000))
        self.assertEqual("r-plain", name_of("jeba49.example", "/file492/wu78/2f"))
        self.assertIsNone(name_of("jeba49.example", "/file49/"))
        self.assertIsNone(name_of("other.example", "/leno121/ny90/2f"))
        self.assertIsNone(EMPTY_CONFIGURATION.forward_for(host="mide43.example", path="/"))

    def test_each_error_is_reported_with_its_path(self) -> None:
        gather, plain = "forward/r-gather", "forward/r-plain"
        cases = [
            ("forward.r-gather.fan_out.1", with_value(f"{gather}/fan_out", ["huvo11a", "nobody"])),
            ("forward.r-gather.fan_out.1", with_value(f"{gather}/fan_out", ["huvo11a", "huvo11a"])),
            ("forward.r-gather.fan_out", with_value(f"{gather}/fan_out", [])),
            ("forward.r-gather.fan_out.0", with_value(f"{gather}/fan_out", [["huvo11a"]])),
            ("forward.r-gather.quorum", with_value(f"{gather}/quorum", 0)),
            ("forward.r-gather.quorum", with_value(f"{gather}/quorum", 1.01)),
            ("forward.r-gather.quorum", with_value(f"{gather}/quorum", True)),
            ("forward.r-gather.limit", with_value(f"{gather}/limit", None)),
            ("forward.r-gather", with_value(f"{gather}/weights", {"huvo11a": 1.0})),
            ("forward.r-gather", with_value(f"{gather}/fan_out", None)),
            ("forward.r-plain.weights.nobody", with_value(f"{plain}/weights", {"nobody": 1})),
            (
                "forward.r-plain.weights",
                with_value(f"{plain}/weights", {"huvo11a": 0, "kafi81c": 0.0}),
            ),
            ("forward.r-plain.weights", with_value(f"{plain}/weights", {})),
            (
                "forward.r-plain.weights.kafi81c",
                with_value(f"{plain}/weights", {"huvo11a": 2, "kafi81c": -1}),
            ),
            ("forward.r-plain.weights.kafi81c", with_value(f"{plain}/weights/kafi81c", "1")),
            ("forward.r-plain.limit", with_value(f"{plain}/limit", 5)),
            ("forward.r-plain.deadline_us", with_value(f"{plain}/deadline_us", 0)),
            ("forward.r-plain.deadline_us", with_value(f"{plain}/deadline_us", None)),
            ("forward.r-plain.attempts", with_value(f"{plain}/attempts", 0)),
            ("forward.r-plain.rank", with_value(f"{plain}/rank", -1)),
            ("forward.r-plain.is_repeatable", with_value(f"{plain}/is_repeatable", 1)),
            ("forward.r-plain.prefix", with_value(f"{plain}/prefix", "/a")),
            ("forward.r-plain.prefix", with_value(f"{plain}/prefix", "a/")),
            ("forward.r-plain.prefix", with_value(f"{plain}/prefix", None)),
            ("forward.r-plain.host", with_value(f"{plain}/host", "a b")),
            ("forward.r-plain.host", with_value(f"{plain}/host", None)),
            ("forward.r-plain.extra", with_value(f"{plain}/extra", 1)),
            ("forward.r-plain", with_value(plain, [])),
            ("forward.a b", with_value("forward/a b", forward_document()["forward"]["r-plain"])),
            ("forward", with_value("forward", [])),
            ("services.kafi81c.health_path", with_value("services/kafi81c/health_path", "up")),
            (
                "services.kafi81c.max_connections",
                with_value("services/kafi81c/max_connections", -1),
            ),
            ("services", with_value("services", None) | {"services": 5}),
            ("limits.header_us", with_value("limits/header_us", 0)),
            ("limits.idle_us", with_value("limits/idle_us", None)),
            ("version", with_value("version", 0)),
            ("source", with_value("source", "\ud800")),
            ("extra", with_value("extra", 1)),
        ]
        for path, body in cases:
            with self.subTest(path=path, body=body):
                found = validate(body=body)
                self.assertIsInstance(found, dict)
                self.assertIn(path, found)

    def test_duplicate_host_and_prefix_is_rejected(self) -> None:
        body = forward_document()
        body["forward"]["r-again"] = dict(
            body["forward"]["r-gather"], host="mide43.EXAMPLE", rank=9
        )
        self.assertEqual(
            {"forward.r-again.prefix": "same host and prefix as r-gather"}, validate(body=body)
        )
        body["forward"]["r-gather"]["deadline_us"] = 0  # reported together with other errors
        self.assertEqual(
            {"forward.r-again.prefix", "forward.r-gather.deadline_us"}, set(validate(body=body))
        )

    def test_forward_route_with_the_name_of_a_collection_is_rejected(self) -> None:
        body = forward_document() | {
            "backends": {"b": {"address": "10.0.0.1:1", "labels": {"s": "1"}}},
            "collections": {
                "r-plain": {"shards": {"s1": {"cut": "c", "selector": {"s": "1"}}}},
            },
            "routes": {"r-plain": {"FanOut": ["s1"], "Quorum": 1}},
        }
        self.assertEqual(
            {"forward.r-plain": "is also the name of a collection"}, validate(body=body)
        )
        body["forward"]["other"] = body["forward"].pop("r-plain")
        both = validate(body=body)
        self.assertIsInstance(both, Configuration)
        self.assertEqual({"r-plain", "other", "r-gather"}, set(both.collections))
        self.assertEqual(("b",), both.backends_of(collection="r-plain", shard="s1"))

    def test_names_have_up_to_128_printable_characters(self) -> None:
        name = "\u00e9:/" * 42
        body = forward_document()
        body["services"][name] = {}
        body["forward"][name] = dict(body["forward"]["r-plain"], prefix="/new/", weights={name: 1})
        self.assertIsInstance(validate(body=body), Configuration)
        for bad in ("", "a b", "x" * 129, "tab\t"):
            worse = copy.deepcopy(body)
            worse["services"][bad] = {}
            self.assertEqual([f"services.{bad}"], list(validate(body=worse)))

    def test_without_forward_the_collection_sections_are_required(self) -> None:
        body = forward_document()
        del body["forward"]
        self.assertLessEqual({"backends", "collections", "routes"}, set(validate(body=body)))

    def test_large_document_is_parsed_quickly(self) -> None:
        body = forward_document()
        services = [f"svc{place}" for place in range(200)]
        body["services"] |= {name: {} for name in services}
        for place in range(1500):
            fan_out = [services[(place * 7 + step) % 200] for step in range(8)]
            body["forward"][f"many-{place}"] = dict(
                body["forward"]["r-gather"], prefix=f"/many/{place}/", fan_out=fan_out
            )
        data = json.dumps(body).encode()
        spans = []
        for _ in range(3):
            start = time.process_time()
            self.assertIsInstance(read_configuration(data=data, version=1), Configuration)
            spans.append(time.process_time() - start)
        self.assertLess(min(spans), 0.3)


class ReplicatedStateTest(unittest.TestCase):
    """The replicated state with versions that the operator states."""

    def put(self, machine: Machine, **put: object) -> object:
        return machine.apply(data=bytes(Command(put=PutConfiguration(**put))))

    def test_repeated_put_is_recognized_by_its_content(self) -> None:
        machine = Machine(cluster="c")
        first = dict(expected=0, document=b"{}", version=5)
        self.assertEqual(PutApplied(version=5, epoch=1), self.put(machine, put_id="a", **first))
        later = dict(expected=5, document=b"[]", version=9)
        self.assertEqual(PutApplied(version=9, epoch=2), self.put(machine, put_id="b", **later))
        self.assertEqual(PutApplied(version=5, epoch=1), self.put(machine, put_id="c", **first))
        other = dict(first, version=6)
        self.assertEqual(
            PutSuperseded(expected=0, current=9), self.put(machine, put_id="d", **other)
        )
        again = Machine(cluster="c", state=CoreState().parse(bytes(machine.state)))
        self.assertEqual(PutApplied(version=9, epoch=2), self.put(again, put_id="e", **later))

    def test_refusal_records_are_bounded_and_the_current_put_is_kept(self) -> None:
        machine = Machine(cluster="c")
        taken = dict(expected=0, document=b"x" * 400_000, version=3)
        self.put(machine, put_id="taken", **taken)
        for number in range(REFUSALS_KEPT + 50):
            self.put(machine, put_id=f"lost-{number}", expected=1, document=b"y" * number)
        self.assertEqual(1, len(machine.state.puts))
        self.assertEqual(REFUSALS_KEPT, len(machine.state.refused))
        self.assertLess(len(bytes(machine.state)), 400_000 + REFUSALS_KEPT * 120)
        self.assertEqual(PutApplied(version=3, epoch=1), self.put(machine, put_id="again", **taken))

    def test_snapshot_of_an_earlier_release_is_read(self) -> None:
        old = Machine(cluster="c")
        put = dict(expected=0, document=b"{}")
        self.put(old, put_id="a", **put)
        snapshot = CoreState().parse(bytes(old.state))
        snapshot.puts[0].asked = 0
        machine = Machine(cluster="c", state=snapshot)
        self.assertEqual(PutApplied(version=1, epoch=1), self.put(machine, put_id="a", **put))
        self.assertEqual(PutApplied(version=1, epoch=1), self.put(machine, put_id="b", **put))

    def test_joining_several_edges_keeps_the_previous_membership(self) -> None:
        machine = Machine(cluster="c")

        def add(*names: str) -> None:
            machine.apply(data=bytes(Command(add=AddEdge(edge=names[0], more=list(names[1:])))))

        add("a", "b", "c")
        self.assertEqual((1, ["a", "b", "c"], []), self.memberships(machine))
        add("d", "e", "a")
        self.assertEqual((2, ["a", "b", "c", "d", "e"], ["a", "b", "c"]), self.memberships(machine))
        add("f")  # a single edge: majorities of old and new membership overlap
        self.assertEqual((3, ["a", "b", "c", "d", "e", "f"], []), self.memberships(machine))
        add("g", "h")
        self.put(machine, put_id="p", expected=0, document=b"{}")
        self.assertEqual([], machine.state.old_membership)

    def test_settled_membership_leaves_no_majority_without_it(self) -> None:
        """Tests every subset of edges that have installed a joint change of membership: once the
        change is settled, neither the old nor the new membership has a majority without it."""
        after_leases_us = 10 * LEASE_SPAN_US
        settled = 0
        for old_count in range(6):
            for join_count in range(2, 6):
                membership = [f"e{place}" for place in range(old_count + join_count)]
                old = membership[:old_count]
                for mask in range(2 ** len(membership)):
                    installed = [name for place, name in enumerate(membership) if mask >> place & 1]
                    lease_table = LeaseTable(since_us=0)
                    for name in installed:
                        lease_table.record_report(
                            edge=name, incarnation=1, epoch=2, contact=None, now_us=1
                        )
                    if not all(  # the same condition as in the lease service
                        lease_table.is_settled(
                            epoch=2,
                            membership=EdgeMembership(names=tuple(names)),
                            now_us=after_leases_us,
                            is_strict=True,
                        )
                        for names in ([membership, old] if old else [membership])
                    ):
                        continue
                    settled += 1
                    for names in (old, membership):
                        without = len(set(names) - set(installed))
                        self.assertFalse(names and without * 2 > len(names), (old, installed))
                        self.assertFalse(names and without * 2 == len(names), (old, installed))
        self.assertGreater(settled, 100)

    def memberships(self, machine: Machine) -> tuple:
        state = machine.state
        return state.epoch, list(state.membership), list(state.old_membership)


class Operator:
    """An operator that reads and writes the configuration of a simulated fleet over HTTP."""

    def __init__(self, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.serial = 0

    async def put(
        self,
        note: str,
        *,
        base: int,
        version: int = 0,
        core: str = "node-01",
        put_id: str = "",
        wait_us: int = 900_000,
        body: bytes = b"",
    ) -> tuple[int, dict, int]:
        """Writes the configuration; returns the status, the body and the duration in us."""
        self.serial += 1
        headers = {
            "If-Match": str(base),
            "Kelp-Put-Id": put_id or f"op-{self.serial}",
            "Kelp-Time-Left-Us": str(wait_us),
        }
        if version:
            headers["Kelp-Version"] = str(version)
        body = body or self.fleet.configuration(note=note)
        began_us = self.fleet.now_us()
        reply = await self.fetch(core, "PUT", headers=headers, body=body, wait_us=5_000_000)
        took_us = self.fleet.now_us() - began_us
        if not hasattr(reply, "status") or not hasattr(reply, "headers"):
            return 0, {"kind": reply.kind}, took_us
        row = json.loads(reply.body)
        if reply.status == 503:
            assert int(reply.headers["retry-after"]) <= 2, reply.headers
        return reply.status, row.get("defect", row), took_us

    async def fetch(self, core: str, method: str, **more: object):
        address = self.fleet.core_http(name=core)
        return await self.fleet.outside.ports.net.fetch(
            call=HttpCall(method=method, url=f"http://{address}/v1/configuration", **more)
        )

    async def put_until_resolved(self, note: str, **more: object) -> tuple[int, dict, int]:
        """Repeats a put with a new id at each core in turn until it has a definite result."""
        cores = sorted(self.fleet.core_address)
        for turn in range(40):
            outcome = await self.put(note, core=cores[turn % len(cores)], **more)
            if outcome[0] not in (0, 503):
                return outcome
            await self.fleet.sleep(us=300_000)
        raise AssertionError(f"{note} was never resolved: {outcome}")


def run_scenario(scenario, *, seed: int = 3) -> SimFleet:
    return run_sim(seed=seed, deployment=load(name="tiny"), scenario=scenario, rate=0.15)


class StatedVersionTest(unittest.TestCase):
    """Writes with a stated version; a rejected write changes nothing."""

    def test_stated_versions_may_skip_numbers(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()  # version 1
            operator = Operator(fleet)
            status, row, _ = await operator.put("seven", base=1, version=7)
            self.assertEqual((200, 7), (status, row["version"]))
            cases = [
                (dict(base=7, version=7), 409, "version_not_above"),
                (dict(base=7, version=3), 409, "version_not_above"),
                (dict(base=6, version=9), 412, "version_mismatch"),
                (dict(base=1, version=8), 412, "version_mismatch"),
                (dict(base=7, version=8, body=b'{"forward": {}}x'), 422, "configuration_refused"),
            ]
            for more, wanted, kind in cases:
                for core in ("node-01", "node-02", "node-03"):
                    status, row, _ = await operator.put("other", core=core, **more)
                    self.assertEqual((wanted, kind), (status, row["kind"]))
            for core in ("node-01", "node-02", "node-03"):  # the same write again with other ids
                status, row, _ = await operator.put("seven", base=1, version=7, core=core)
                self.assertEqual((200, 7), (status, row["version"]))
            status, row, _ = await operator.put("next", base=7)
            self.assertEqual((200, 8), (status, row["version"]))
            status, row, _ = await operator.put("seven", base=1, version=7)
            self.assertEqual(
                (200, 7),
                (status, row["version"]),
                "the result of an earlier write, not the current version",
            )
            back = await operator.fetch("node-02", "GET")
            self.assertEqual(
                (fleet.configuration(note="next"), '"8"'), (back.body, back.headers["etag"])
            )
            for name in ("0", "x", "9" * 25):
                reply = await operator.fetch(
                    "node-01",
                    "PUT",
                    body=back.body,
                    headers={"If-Match": "8", "Kelp-Put-Id": "z", "Kelp-Version": name},
                )
                self.assertEqual(400, reply.status)

        run_scenario(scenario)

    def test_document_may_state_the_version(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            operator = Operator(fleet)
            body = json.dumps(forward_document()).encode()
            status, row, _ = await operator.put("", base=1, version=9, body=body)
            self.assertEqual((422, "version"), (status, row["faults"][0]["path"]))
            status, row, _ = await operator.put("", base=1, body=body)
            self.assertEqual((200, 7), (status, row["version"]))
            status, row, _ = await operator.put("", base=1, version=7, body=body)
            self.assertEqual((200, 7), (status, row["version"]))
            self.assertEqual(body, (await operator.fetch("node-03", "GET")).body)
            for edge in fleet.ready_edges():
                held = fleet.daemons[f"edge/{edge}"].lease_holder.configuration
                self.assertEqual((7, {"r-gather", "r-plain"}), (held.version, set(held.forward)))

        run_scenario(scenario)

    def test_one_of_two_writes_with_the_same_base_succeeds(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            operator = Operator(fleet)
            both = [
                fleet.outside.spawn(operator.put(note, base=1, version=version, core=core))
                for note, version, core in (("a", 4, "node-01"), ("b", 6, "node-02"))
            ]
            rows = [await one for one in both]
            self.assertEqual([200, 412], sorted(status for status, _, _ in rows))
            winner = next(row for status, row, _ in rows if status == 200)
            back = await operator.fetch("node-03", "GET")
            self.assertEqual(f'"{winner["version"]}"', back.headers["etag"])

        run_scenario(scenario)


class UnresolvedWriteTest(unittest.TestCase):
    """A write with a short deadline gets a reply in time, continues, and succeeds on retry."""

    def test_put_that_waits_for_an_edge_is_unresolved_before_its_deadline(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            operator = Operator(fleet)
            edge = fleet.daemons["edge/node-05"]
            fleet.processes["edge/node-05"].freeze()  # it holds a lease of the previous version
            status, row, took_us = await operator.put("two", base=1, version=5)
            self.assertEqual((503, "unresolved"), (status, row["kind"]))
            self.assertLess(took_us, 950_000)
            lease_end_us = edge.lease_holder.lease_until_us()
            status, row, took_us = await operator.put_until_resolved("two", base=1, version=5)
            self.assertEqual((200, 5), (status, row["version"]))
            self.assertGreaterEqual(
                fleet.now_us(), lease_end_us, "the frozen edge could still serve the old version"
            )
            fleet.processes["edge/node-05"].thaw()

        run_scenario(scenario)

    def test_put_is_retried_at_another_leader_with_another_id(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            operator = Operator(fleet)
            fleet.processes["edge/node-06"].freeze()
            leader = fleet.leader()
            status, row, _ = await operator.put("two", base=1, version=5, wait_us=300_000)
            self.assertEqual((503, "unresolved"), (status, row["kind"]))
            fleet.kill_core(name=leader)
            other = next(name for name in sorted(fleet.core_address) if name != leader)
            reads = await operator.fetch(other, "GET", headers={"Kelp-Time-Left-Us": "900000"})
            self.assertEqual(503, reads.status)
            began_us = fleet.now_us()
            status, row, took_us = await operator.put("two", base=1, version=5, core=other)
            self.assertEqual(503, status)
            self.assertLess(took_us, 950_000)
            status, row, _ = await operator.put_until_resolved("two", base=1, version=5)
            self.assertEqual((200, 5), (status, row["version"]))
            self.assertLess(fleet.now_us() - began_us, 6_000_000)
            fleet.processes["edge/node-06"].thaw()
            await fleet.start_core(name=leader)
            back = await operator.fetch(other, "GET")
            self.assertEqual('"5"', back.headers["etag"])

        run_scenario(scenario)

    def test_requests_end_in_time_while_the_leader_is_frozen(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            operator = Operator(fleet)
            leader = fleet.leader()
            fleet.processes[f"core/{leader}"].freeze()
            other = next(name for name in sorted(fleet.core_address) if name != leader)
            unresolved = 0
            for _ in range(4):
                status, row, took_us = await operator.put("two", base=1, version=5, core=other)
                self.assertIn(status, (200, 503))
                self.assertLess(took_us, 950_000)
                unresolved += status == 503
                began_us = fleet.now_us()
                read = await operator.fetch(other, "GET", headers={"Kelp-Time-Left-Us": "900000"})
                self.assertLess(fleet.now_us() - began_us, 950_000)
                self.assertIn(read.status, (200, 503))
            self.assertGreater(unresolved, 0, "no write met the frozen leader")
            status, row, _ = await operator.put_until_resolved("two", base=1, version=5)
            self.assertEqual((200, 5), (status, row["version"]))
            fleet.processes[f"core/{leader}"].thaw()

        run_scenario(scenario)


class OperatorCliTest(unittest.TestCase):
    """`kelpctl` on documents with forward routes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "a.json"
        self.file.write_text(json.dumps(forward_document()))

    def run_tool(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, list(arguments))
        self.assertNotIn("Traceback", result.output)
        return result.exit_code, result.output

    def test_check_prints_counts_and_errors(self) -> None:
        code, out = self.run_tool("check", str(self.file))
        self.assertEqual((0, True), (code, "2 forward), 3 services" in out))
        self.file.write_text(json.dumps(with_value("forward/r-gather/quorum", 2)))
        code, out = self.run_tool("check", str(self.file))
        self.assertEqual((1, True), (code, "forward.r-gather.quorum" in out))

    def test_plan_shows_services_and_shares(self) -> None:
        code, out = self.run_tool("plan", "r-gather", "--offline", str(self.file), "--json")
        self.assertEqual(0, code)
        plan = json.loads(out)["plan"]
        self.assertEqual(["huvo11a", "lohu93e"], sorted(plan["shards"]))
        self.assertEqual([], plan["missing"])
        code, out = self.run_tool(
            "plan", "r-gather", "--offline", str(self.file), "--gone", "lohu93e", "--json"
        )
        plan = json.loads(out)["plan"]
        self.assertEqual((["lohu93e"], True), (plan["missing"], plan["is_quorum_met"]))
        code, out = self.run_tool("plan", "r-plain", "--offline", str(self.file), "--json")
        shares = json.loads(out)["plan"]["shares"]
        self.assertEqual({"kafi81c": 0.25, "huvo11a": 0.75}, shares)

    def test_diff_reports_each_change_once(self) -> None:
        old = validate(body=forward_document())
        body = with_value("forward/r-plain/weights", {"kafi81c": 1})
        body["services"]["lohu93e"]["max_connections"] = 7
        body["source"] = "another"
        del body["forward"]["r-gather"]
        rows = {row["path"] for row in diff_of(old=old, new=validate(body=body))}
        self.assertEqual(
            {
                "forward.r-plain.weights",
                "forward.r-gather",
                "source (bytes)",
                "services.lohu93e.max_connections",
            },
            rows,
        )
        self.assertEqual([], diff_of(old=old, new=validate(body=forward_document())))

    def test_warnings(self) -> None:
        self.assertEqual([], warnings_of(configuration=validate(body=forward_document())))
        body = with_value("forward/r-gather/is_repeatable", False)
        body["forward"]["r-plain"] |= {"aim_us": 9_000_000, "weights": {"kafi81c": 1, "huvo11a": 0}}
        body["services"]["spare"] = {}
        paths = [warning.path for warning in warnings_of(configuration=validate(body=body))]
        self.assertEqual(
            [
                "forward.r-gather.is_repeatable",
                "forward.r-plain.aim_us",
                "forward.r-plain.weights.huvo11a",
                "services.spare",
            ],
            paths,
        )


class SettingsValidationTest(unittest.TestCase):
    """Settings are validated, and each error is reported with its path."""

    CORE_SETTINGS = {
        "domain": "z1",
        "own": "10.0.0.1:1",
        "http": "10.0.0.1:2",
        "data": "d",
        "seeds": ["10.0.0.1:1"],
    }

    def faults(self, **more: object) -> list[str]:
        outcome = validate_settings(raw=self.CORE_SETTINGS | more, schema=CORE_SCHEMA)
        return [f.path for f in outcome.faults] if isinstance(outcome, InvalidSettingsError) else []

    def test_core_settings(self) -> None:
        ten = [f"10.0.0.{n + 1}:1" for n in range(10)]
        cases = [
            ([], {}),
            ([], {"seeds": ten[:9], "voters": 5, "bounds": {"tolerance": 2}}),
            (["voters"], {"voters": 3, "bounds": {"tolerance": 2}}),
            (["bounds.region"], {"bounds": {"zones": {"z1": "r1"}, "region": "r2"}}),
            ([], {"bounds": {"zones": {"z1": "r1"}, "region": "r1", "is_first_start": False}}),
            (["http"], {"http": "10.0.0.1:1"}),
            (["bounds.drain_us"], {"bounds": {"drain_us": -1}}),
            (["bounds.retry_ratio"], {"bounds": {"retry_ratio": 2.0}}),
            (["bounds.is_first_start"], {"bounds": {"is_first_start": "no"}}),
            (["bounds.other"], {"bounds": {"other": 1}}),
        ]
        for paths, more in cases:
            with self.subTest(more=more):
                self.assertEqual(paths, self.faults(**more))
        for seeds in (ten, [], ten[:1] * 2):
            self.assertTrue(self.faults(seeds=seeds))

    def test_edge_settings(self) -> None:
        edge = {name: value for name, value in self.CORE_SETTINGS.items() if name != "data"}
        clash = edge | {"name": "e", "front": "10.0.0.1:2"}
        self.assertEqual("front", validate_settings(raw=clash, schema=EDGE_SCHEMA).faults[0].path)


if __name__ == "__main__":
    unittest.main()
