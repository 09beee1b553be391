"""Metrics: the exposition format, the counters, and the page that describes them."""

from __future__ import annotations

import asyncio
import pathlib
import re
import tomllib
import unittest
from typing import Any
from unittest import mock

from prometheus_client.parser import text_string_to_metric_families

from kelpstage.common.errors.serving import CallerGoneError, QuorumNotMetError
from kelpstage.common.metrics import exposition, web
from kelpstage.common.metrics.families import MetricFamily, MetricKind
from kelpstage.common.metrics.histogram import DURATION_BOUNDS_US, DurationHistogram
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.core.web.metrics import core_families
from kelpstage.edge.gather import statistics as statistics_module
from kelpstage.edge.gather.messages import GatherResult
from kelpstage.edge.gather.request_state import ROOT, Child, RequestState, ShardState
from kelpstage.edge.gather.statistics import OTHER_ROUTES, GatherStatistics
from kelpstage.edge.gather.tree import Subtree
from kelpstage.edge.metrics import edge_families
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.async_case import AsyncCase, LoopClock

ROOT_FOLDER = pathlib.Path(__file__).resolve().parent.parent
METRICS_PAGE = ROOT_FOLDER / "docs" / "metrics.md"


def parse(text: bytes) -> dict[str, dict[tuple, float]]:
    """Samples by name and sorted labels, as the Prometheus library's parser reads them."""
    out: dict[str, dict[tuple, float]] = {}
    for family in text_string_to_metric_families(text.decode()):
        for sample in family.samples:
            out.setdefault(sample.name, {})[tuple(sorted(sample.labels.items()))] = sample.value
    return out


def record(**fields: Any) -> RequestState:
    return RequestState(
        key=1, kind=ROOT, collection="r", arrived_us=1_000, due_us=900_000, **fields
    )


class ExpositionFormat(unittest.TestCase):
    def test_a_parser_reads_every_kind_of_metric(self) -> None:
        histogram = DurationHistogram()
        for us in (400, 600, 60_000_000):
            histogram.observe(us=us)
        text = exposition.text_of(
            families=[
                MetricFamily.counters("a_total", "A.", "why", {'x"y\n': 3}),
                MetricFamily.gauges("b", "B.", "of", {"one": 1.5}),
                MetricFamily.durations("c_seconds", "C.", "stage", {"s": histogram}),
            ]
        )
        samples = parse(text)
        self.assertEqual({(("why", 'x"y\n'),): 3.0}, samples["a_total"])
        self.assertEqual({(("of", "one"),): 1.5}, samples["b"])
        buckets = samples["c_seconds_bucket"]
        self.assertEqual(1.0, buckets[(("le", "0.0005"), ("stage", "s"))])
        self.assertEqual(2.0, buckets[(("le", "0.001"), ("stage", "s"))])
        self.assertEqual(3.0, buckets[(("le", "+Inf"), ("stage", "s"))])
        self.assertEqual(len(DURATION_BOUNDS_US) + 1, len(buckets))
        self.assertEqual({(("stage", "s"),): 3.0}, samples["c_seconds_count"])
        self.assertAlmostEqual(60.001, samples["c_seconds_sum"][(("stage", "s"),)])

    def test_the_library_is_imported_only_when_metrics_are_requested(self) -> None:
        program = (
            "import sys, kelpstage.edge.app, kelpstage.core.app;"
            "sys.exit('prometheus_client' in sys.modules)"
        )

        async def run() -> int:
            import sys

            process = await asyncio.create_subprocess_exec(sys.executable, "-c", program)
            return await process.wait()

        self.assertEqual(0, asyncio.run(run()))


class GatherCounters(unittest.TestCase):
    def test_requests_are_counted_by_part_route_and_outcome(self) -> None:
        statistics = GatherStatistics()
        whole = GatherResult(version=1, coverage=1.0, shards=2, body=b"")
        part = GatherResult(version=1, coverage=0.5, shards=1, body=b"", missing=1)
        late = ShardState(shard="s2")
        late.mark_missing(cause="window")
        quorum = QuorumNotMetError(collection="r", configuration=1, shards_in=0, quorum=1)
        for outcome, fields in (
            (whole, {}),
            (part, {"shard_states": {"s2": late}}),
            (quorum, {"missing": {"s1": ("budget", "")}}),
            (CallerGoneError(), {}),
        ):
            statistics.note_settled(record=record(outcome=outcome, **fields), now_us=31_000)
        counted = {tuple(key): count for key, count in statistics.requests.items()}
        outcomes = ("complete", "partial", "quorum_not_met", "caller_gone")
        self.assertEqual({("root", "r", outcome): 1 for outcome in outcomes}, counted)
        self.assertEqual({"window": 1, "budget": 1}, dict(statistics.missing))
        self.assertEqual(120_000, statistics.durations["root"].sum_us)

    def test_a_shard_that_was_awaited_until_the_answer_counts_as_missing(self) -> None:
        statistics = GatherStatistics()
        answer = GatherResult(version=1, coverage=0.5, shards=1, body=b"", missing=2)
        child = Child(slot=0, subtree=Subtree(node="n", shards=("s1", "s2")))
        one = record(outcome=answer, shard_states={"s3": ShardState(shard="s3")}, children=[child])
        one.missing = {"s1": ("budget", "")}
        statistics.note_settled(record=one, now_us=2_000)
        self.assertEqual({"window": 2, "budget": 1}, dict(statistics.missing))

    def test_answers_after_the_target_are_counted_by_route(self) -> None:
        statistics = GatherStatistics()
        answer = GatherResult(version=1, coverage=1.0, shards=2, body=b"")
        for took_us in (80_000, 80_001):
            one = record(outcome=answer, aim_us=80_000)
            statistics.note_settled(record=one, now_us=1_000 + took_us)
        statistics.note_settled(record=record(outcome=answer), now_us=500_000)  # without a target
        self.assertEqual({"r": 1}, dict(statistics.after_target))

    def test_queries_to_children_in_other_regions_are_measured_apart(self) -> None:
        statistics = GatherStatistics()
        for took_us, is_far in ((2_000, False), (30_000, True)):
            statistics.note_child_reply(outcome=object(), took_us=took_us, is_far=is_far)
        self.assertEqual(32_000, statistics.durations["child_query"].sum_us)
        self.assertEqual(30_000, statistics.durations["child_query_far"].sum_us)

    def test_routes_above_the_limit_are_counted_together(self) -> None:
        statistics = GatherStatistics()
        with mock.patch.object(statistics_module, "MAX_REQUEST_KEYS", 3):
            for number in range(9):
                one = record(outcome=CallerGoneError())
                one.collection = f"r{number}"
                statistics.note_settled(record=one, now_us=2_000)
        routes = {key.route: count for key, count in statistics.requests.items()}
        self.assertEqual({"r0": 1, "r1": 1, "r2": 1, OTHER_ROUTES: 6}, routes)


class FleetMetrics(unittest.TestCase):
    """Metrics of a serving simulated fleet, read from the HTTP interfaces of edges and cores."""

    texts: dict[str, dict[str, dict[tuple, float]]]

    @classmethod
    def setUpClass(cls) -> None:
        texts: dict[str, HttpReply] = {}

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            fleet.start_callers()
            await fleet.sleep(us=4_000_000)
            await fleet.drain_callers()
            cores = {name: fleet.core_http(name=name) for name in fleet.core_address}
            for name, address in [*fleet.edge_http.items(), *cores.items()]:
                texts[name] = await fleet.outside.ports.net.fetch(
                    call=HttpCall(method="GET", url=f"http://{address}/metrics")
                )

        run_sim(seed=3, deployment=load(name="tiny"), scenario=scenario)
        cls.replies = texts
        cls.texts = {name: parse(reply.body) for name, reply in texts.items()}

    def total(self, name: str, **labels: str) -> float:
        wanted = set(labels.items())
        return sum(
            value
            for samples in self.texts.values()
            for key, value in samples.get(name, {}).items()
            if wanted <= set(key)
        )

    def test_requests_attempts_and_stages_are_counted(self) -> None:
        roots = self.total("kelpstage_requests_total", kind="root", outcome="complete")
        self.assertGreater(roots, 10)
        firsts = self.total("kelpstage_attempts_total", reason="first")
        self.assertGreaterEqual(firsts, roots)
        for stage in ("root", "backend", "child_query", "child"):
            count = self.total("kelpstage_stage_duration_seconds_count", stage=stage)
            self.assertGreater(count, 0, stage)

    def test_one_core_is_leader_and_all_have_applied(self) -> None:
        self.assertEqual(1, self.total("kelpstage_raft_role", role="leader"))
        self.assertEqual(2, self.total("kelpstage_raft_role", role="follower"))
        self.assertEqual(9, self.total("kelpstage_raft_members", kind="voter"))
        self.assertEqual(0, self.total("kelpstage_raft_lag_entries", step="apply"))
        self.assertGreater(self.total("kelpstage_disk_write_duration_seconds_count"), 0)

    def test_every_node_has_the_configuration(self) -> None:
        versions = {s["kelpstage_configuration_version"][()] for s in self.texts.values()}
        self.assertEqual(1, len(versions))

    def test_the_page_and_the_code_list_the_same_metrics(self) -> None:
        in_text = {
            re.sub("_(bucket|sum|count)$", "", name) if "_seconds_" in name else name
            for samples in self.texts.values()
            for name in samples
        }
        on_page = set(re.findall(r"^\| `(kelpstage_\w+)`", METRICS_PAGE.read_text("utf-8"), re.M))
        source = "".join(
            (ROOT_FOLDER / path).read_text("utf-8")
            for path in (
                "kelpstage/edge/metrics.py",
                "kelpstage/core/web/metrics.py",
                "kelpstage/common/metrics/web.py",
            )
        )
        in_code = set(re.findall(r'"(kelpstage_\w+)"', source))
        self.assertEqual(in_code, on_page)
        self.assertEqual(set(), in_text - on_page)

    def test_metric_names_follow_the_naming_scheme(self) -> None:
        for families in (edge_families, core_families):
            self.assertTrue(families.__doc__)
        for samples in self.texts.values():
            for name in samples:
                self.assertRegex(name, r"^kelpstage_[a-z_]+$")

    def test_names_of_counters_end_in_total(self) -> None:
        for reply in self.replies.values():
            for family in text_string_to_metric_families(reply.body.decode()):
                if family.type == MetricKind.COUNTER:
                    self.assertTrue(all(s.name.endswith("_total") for s in family.samples))


class MetricsListener(AsyncCase):
    async def test_an_address_in_use_does_not_stop_the_process(self) -> None:
        from kelpstage.common.ports.live import live_ports
        from tests.test_http import free_address

        ports, address = live_ports(data_folder=None), free_address()
        first = await web.open_metrics_listener(ports=ports, address=address, collect=list)
        second = await web.open_metrics_listener(ports=ports, address=address, collect=list)
        self.assertIsNotNone(first)
        self.assertIsNone(second)
        reply = await ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/metrics", wait_us=5_000_000)
        )
        self.assertEqual(200, reply.status)
        self.assertIn(b"kelpstage_process_cpu_seconds_total", reply.body)
        missing = await ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/other", wait_us=5_000_000)
        )
        self.assertEqual(404, missing.status)
        first.close()

    async def test_a_late_timer_is_reported_as_event_loop_lag(self) -> None:
        clock = LoopClock()
        clock.sleep = self._late_sleep  # type: ignore[attr-defined]
        family = await web._event_loop_lag(clock=clock)
        self.assertGreaterEqual(family.values[()], 0.02)

    async def _late_sleep(self, *, us: int) -> None:
        await asyncio.sleep(us / 1_000_000 + 0.03)


class DeployFile(unittest.TestCase):
    def test_the_deploy_file_has_the_ports_of_the_settings(self) -> None:
        text = (ROOT_FOLDER / "platform" / "settings.py").read_text("utf-8")
        found = re.search(r"EDGE_METRICS_PORT, CORE_METRICS_PORT = (\d+), (\d+)", text)
        deploy = (ROOT_FOLDER / "deploy" / "system.toml").read_text("utf-8")
        roles = tomllib.loads(deploy)["roles"]
        named = [roles[role]["metrics"] for role in ("edge", "core")]
        self.assertEqual([f"{port}/metrics" for port in found.groups()], named)


if __name__ == "__main__":
    unittest.main()
