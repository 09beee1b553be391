"""Configurations with forward routes: every fault with its path, and what they yield."""

from __future__ import annotations

import copy
import json
import time
import unittest

from kelpstage.base.blueprint.check import read_blueprint
from kelpstage.base.blueprint.types import EMPTY, Blueprint, CallerLimits, Service


def document() -> dict:
    return {
        "version": 7,
        "services": {
            "huvo11a": {"health_path": "/health", "max_connections": 88},
            "lohu93e": {"health_path": "/health", "max_connections": 88},
            "kafi81c": {"health_path": "/up", "max_connections": 130},
        },
        "forward": {
            "r-gather": {
                "host": "Mide43.example:80", "prefix": "/leno121/ny90/", "is_repeatable": True,
                "attempts": 2, "deadline_us": 800_000, "aim_us": 84_000, "rank": 2,
                "fan_out": ["huvo11a", "lohu93e"], "limit": 5, "quorum": 0.3,
            },
            "r-plain": {
                "host": "jeba49.example", "prefix": "/file492/", "is_repeatable": False,
                "attempts": 1, "deadline_us": 3_000_000, "aim_us": 396_000, "rank": 0,
                "weights": {"kafi81c": 0.25, "huvo11a": 0.75},
            },
        },
        "limits": {
            "header_bytes": 16384, "body_bytes": 262144, "header_us": 3_000_000,
            "idle_us": 15_000_000,
        },
        "source": '{"as": "sent \u00e9"}',
    }


def judge(*, body: object) -> Blueprint | dict[str, str]:
    outcome = read_blueprint(data=json.dumps(body).encode(), version=3)
    if isinstance(outcome, Blueprint):
        return outcome
    return {fault.path: fault.why for fault in outcome.faults}


def bent(path: str, value: object) -> dict:
    body = copy.deepcopy(document())
    *way, last = path.split("/")
    place = body
    for step in way:
        place = place[step]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return body


class ForwardTest(unittest.TestCase):
    def test_a_whole_document_is_read(self) -> None:
        blueprint = judge(body=document())
        self.assertIsInstance(blueprint, Blueprint)
        self.assertEqual((3, 7), (blueprint.version, blueprint.stated_version))
        self.assertEqual(
            Service(name="kafi81c", health_path="/up", max_connections=130),
            blueprint.services["kafi81c"],
        )
        self.assertEqual(
            CallerLimits(
                header_bytes=16384, body_bytes=262144, header_us=3_000_000, idle_us=15_000_000
            ),
            blueprint.limits,
        )
        self.assertEqual('{"as": "sent \u00e9"}'.encode(), blueprint.source)
        gather = blueprint.forward["r-gather"]
        self.assertEqual(("mide43.example", 1, 5), (gather.host, gather.quorum, gather.limit))
        plain = blueprint.forward["r-plain"]
        self.assertEqual((("kafi81c", 0.25), ("huvo11a", 0.75)), plain.weights)
        self.assertEqual(("kafi81c", "huvo11a"), plain.services)

    def test_forward_routes_yield_collections_and_routes(self) -> None:
        blueprint = judge(body=document())
        collection = blueprint.collections["r-gather"]
        self.assertEqual(("records16", ""), (collection.codec, collection.order_by))
        self.assertEqual(["huvo11a", "lohu93e"], list(collection.shards))
        shard = collection.shards["huvo11a"]
        self.assertEqual(("huvo11a", "", {}), (shard.name, shard.cut, shard.selector))
        route = blueprint.route(collection="r-gather")
        self.assertEqual(("huvo11a", "lohu93e"), route.fan_out)
        self.assertEqual((1, 5, 10_000, 84_000), (
            route.quorum, route.tree_fan_out, route.window_us, route.aim_us))
        self.assertEqual(("kafi81c", "huvo11a"), blueprint.route(collection="r-plain").fan_out)
        self.assertTrue(blueprint.is_gatherer(collection="r-gather", name="n", domain="d"))

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        body = document()
        wide = dict(body["forward"]["r-plain"], host="mide43.example", prefix="/")
        deep = dict(wide, prefix="/leno121/")
        body["forward"] |= {"r-wide": wide, "r-deep": deep}
        blueprint = judge(body=body)

        def name_of(host: str, path: str) -> str | None:
            route = blueprint.forward_for(host=host, path=path)
            return route and route.name

        self.assertEqual("r-gather", name_of("MIDE43.example:8080", "/leno121/ny90/2f"))
        self.assertEqual("r-gather", name_of("mide43.example", "/leno121/ny90/"))
        self.assertEqual("r-deep", name_of("mide43.example", "/leno121/ny90"))
        self.assertEqual("r-wide", name_of("mide43.example", "/leno12/x/" + "y/" * 5000))
        self.assertEqual("r-plain", name_of("jeba49.example", "/file492/wu78/2f"))
        self.assertIsNone(name_of("jeba49.example", "/file49/"))
        self.assertIsNone(name_of("other.example", "/leno121/ny90/2f"))
        self.assertIsNone(EMPTY.forward_for(host="mide43.example", path="/"))

    def test_each_fault_is_named_with_its_path(self) -> None:
        gather, plain = "forward/r-gather", "forward/r-plain"
        cases = [
            ("forward.r-gather.fan_out.1", bent(f"{gather}/fan_out", ["huvo11a", "nobody"])),
            ("forward.r-gather.fan_out.1", bent(f"{gather}/fan_out", ["huvo11a", "huvo11a"])),
            ("forward.r-gather.fan_out", bent(f"{gather}/fan_out", [])),
            ("forward.r-gather.fan_out.0", bent(f"{gather}/fan_out", [["huvo11a"]])),
            ("forward.r-gather.quorum", bent(f"{gather}/quorum", 0)),
            ("forward.r-gather.quorum", bent(f"{gather}/quorum", 1.01)),
            ("forward.r-gather.quorum", bent(f"{gather}/quorum", True)),
            ("forward.r-gather.limit", bent(f"{gather}/limit", None)),
            ("forward.r-gather", bent(f"{gather}/weights", {"huvo11a": 1.0})),
            ("forward.r-gather", bent(f"{gather}/fan_out", None)),
            ("forward.r-plain.weights.nobody", bent(f"{plain}/weights", {"nobody": 1})),
            ("forward.r-plain.weights", bent(f"{plain}/weights", {"huvo11a": 0, "kafi81c": 0.0})),
            ("forward.r-plain.weights", bent(f"{plain}/weights", {})),
            ("forward.r-plain.weights.kafi81c",
             bent(f"{plain}/weights", {"huvo11a": 2, "kafi81c": -1})),
            ("forward.r-plain.weights.kafi81c", bent(f"{plain}/weights/kafi81c", "1")),
            ("forward.r-plain.limit", bent(f"{plain}/limit", 5)),
            ("forward.r-plain.deadline_us", bent(f"{plain}/deadline_us", 0)),
            ("forward.r-plain.deadline_us", bent(f"{plain}/deadline_us", None)),
            ("forward.r-plain.attempts", bent(f"{plain}/attempts", 0)),
            ("forward.r-plain.rank", bent(f"{plain}/rank", -1)),
            ("forward.r-plain.is_repeatable", bent(f"{plain}/is_repeatable", 1)),
            ("forward.r-plain.prefix", bent(f"{plain}/prefix", "/a")),
            ("forward.r-plain.prefix", bent(f"{plain}/prefix", "a/")),
            ("forward.r-plain.prefix", bent(f"{plain}/prefix", None)),
            ("forward.r-plain.host", bent(f"{plain}/host", "a b")),
            ("forward.r-plain.host", bent(f"{plain}/host", None)),
            ("forward.r-plain.extra", bent(f"{plain}/extra", 1)),
            ("forward.r-plain", bent(plain, [])),
            ("forward.a b", bent("forward/a b", document()["forward"]["r-plain"])),
            ("forward", bent("forward", [])),
            ("services.kafi81c.health_path", bent("services/kafi81c/health_path", "up")),
            ("services.kafi81c.max_connections", bent("services/kafi81c/max_connections", -1)),
            ("services", bent("services", None) | {"services": 5}),
            ("limits.header_us", bent("limits/header_us", 0)),
            ("limits.idle_us", bent("limits/idle_us", None)),
            ("version", bent("version", 0)),
            ("source", bent("source", "\ud800")),
            ("extra", bent("extra", 1)),
        ]
        for path, body in cases:
            with self.subTest(path=path, body=body):
                found = judge(body=body)
                self.assertIsInstance(found, dict)
                self.assertIn(path, found)

    def test_two_routes_with_one_host_and_prefix(self) -> None:
        body = document()
        body["forward"]["r-again"] = dict(
            body["forward"]["r-gather"], host="mide43.EXAMPLE", rank=9
        )
        self.assertEqual(
            {"forward.r-again.prefix": "host and prefix of r-gather"}, judge(body=body)
        )
        body["forward"]["r-gather"]["deadline_us"] = 0  # told also beside another fault
        self.assertEqual(
            {"forward.r-again.prefix", "forward.r-gather.deadline_us"}, set(judge(body=body))
        )

    def test_a_forward_route_may_not_bear_a_collections_name(self) -> None:
        body = document() | {
            "backends": {"b": {"address": "10.0.0.1:1", "labels": {"s": "1"}}},
            "collections": {
                "r-plain": {"shards": {"s1": {"cut": "c", "selector": {"s": "1"}}}},
            },
            "routes": {"r-plain": {"FanOut": ["s1"], "Quorum": 1}},
        }
        self.assertEqual({"forward.r-plain": "the name of a collection"}, judge(body=body))
        body["forward"]["other"] = body["forward"].pop("r-plain")
        both = judge(body=body)
        self.assertIsInstance(both, Blueprint)
        self.assertEqual({"r-plain", "other", "r-gather"}, set(both.collections))
        self.assertEqual(("b",), both.backends_of(collection="r-plain", shard="s1"))

    def test_names_are_free_up_to_128_printable_characters(self) -> None:
        name = "\u00e9:/" * 42
        body = document()
        body["services"][name] = {}
        body["forward"][name] = dict(
            body["forward"]["r-plain"], prefix="/new/", weights={name: 1}
        )
        self.assertIsInstance(judge(body=body), Blueprint)
        for bad in ("", "a b", "x" * 129, "tab\t"):
            worse = copy.deepcopy(body)
            worse["services"][bad] = {}
            self.assertEqual([f"services.{bad}"], list(judge(body=worse)))

    def test_without_forward_the_old_sections_are_required(self) -> None:
        body = document()
        del body["forward"]
        self.assertLessEqual({"backends", "collections", "routes"}, set(judge(body=body)))

    def test_a_large_document_is_read_quickly(self) -> None:
        body = document()
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
            began = time.process_time()
            self.assertIsInstance(read_blueprint(data=data, version=1), Blueprint)
            spans.append(time.process_time() - began)
        self.assertLess(min(spans), 0.3)


if __name__ == "__main__":
    unittest.main()
