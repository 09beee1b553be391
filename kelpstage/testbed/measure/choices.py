"""Comparison of variants of design choices in virtual time, over the same seeds. A variant sets
constants of the processes for one run and restores them."""

from __future__ import annotations

import contextlib
import dataclasses
import importlib
import random
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable, Iterator

from kelpstage.testbed.fleet.deployment import Deployment, load
from kelpstage.testbed.fleet.report import quantile
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim

Samples = dict[str, list[int]]
SECOND_US = 1_000_000


@dataclass(frozen=True, kw_only=True)
class Variant:
    """A variant: constants to set (`module:name`) and fields of the deployment to replace."""

    name: str
    constants: dict[str, Any] = field(default_factory=dict)
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Choice:
    """A design choice: its variants and the scenario that compares them."""

    description: str
    variants: tuple[Variant, ...]
    scenario: Callable[[SimFleet, Samples], Awaitable[None]]
    rate: float = 0.15


@contextlib.contextmanager
def constants_set(*, constants: dict[str, Any]) -> Iterator[None]:
    """Sets constants within the context and restores them afterwards.

    >>> from kelpstage.edge.gossip import swim
    >>> with constants_set(constants={"kelpstage.edge.gossip.swim:TICK_US": 5}):
    ...     swim.TICK_US
    5
    >>> swim.TICK_US
    200000
    """
    previous_values = []
    for target, value in constants.items():
        module_name, _, path = target.partition(":")
        *parents, attribute = path.split(".")
        owner: Any = importlib.import_module(module_name)
        for parent in parents:
            owner = getattr(owner, parent)
        previous_values.append((owner, attribute, getattr(owner, attribute)))
        setattr(owner, attribute, value)
    try:
        yield
    finally:
        for owner, attribute, value in previous_values:
            setattr(owner, attribute, value)


# --- scenarios -------------------------------------------------------------------


def _collect_call_samples(*, fleet: SimFleet, samples: Samples) -> None:
    calls = [row for row in fleet.history if row["event"] == "call" and not row["single"]]
    good = [row for row in calls if row["end"] == "ok"]
    samples["search_us"] = [row["done_us"] - row["sent_us"] for row in good]
    samples["partial"] = [int(row["coverage"] < 1) for row in good]
    samples["failed"] = [int(row["end"] != "ok") for row in calls]
    firsts = {(r["call"], r["shard"]) for r in fleet.history if r["event"] == "receipt"}
    receipts = sum(row["event"] == "receipt" for row in fleet.history)
    samples["extra"] = [1] * (receipts - len(firsts)) + [0] * len(firsts)


async def backend_pauses(fleet: SimFleet, samples: Samples) -> None:
    """Normal load on backends that pause ten times as often as usual."""
    await fleet.bring_up()
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.02
    fleet.start_callers()
    await fleet.sleep(us=25 * SECOND_US)
    await fleet.drain_callers()
    _collect_call_samples(fleet=fleet, samples=samples)


async def mixed_faults(fleet: SimFleet, samples: Samples) -> None:
    """Load while backends send invalid replies, an edge is killed and backends slow down."""
    await fleet.bring_up()
    fleet.start_callers()
    await fleet.sleep(us=2 * SECOND_US)
    rand = random.Random(fleet.world.seed)
    for name in ("backend_lies", "edge_kill", "backend_slow"):
        await FAULTS[name](fleet, rand)
    await fleet.drain_callers()
    _collect_call_samples(fleet=fleet, samples=samples)


async def failure_detection(fleet: SimFleet, samples: Samples) -> None:
    """Measures the time until all other edges suspect a frozen edge and until they consider it
    dead. Before that, counts false suspicions during 30 s without faults."""
    await fleet.bring_up()
    await fleet.sleep(us=30 * SECOND_US)
    edges = {n.name: fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes}
    samples["false_alarms"] = [
        sum(
            e["event"] == "PeerChanged" and e["status"] == "suspect"
            for edge in edges.values()
            for e in edge.journal.tail(limit=2000)
        )
    ]
    victim = fleet.world.rand.choice(sorted(edges))
    process = fleet.processes[f"edge/{victim}"]
    process.freeze()
    others = [edge for name, edge in edges.items() if name != victim]

    def is_seen_as_by_all(least: int) -> bool:
        return all(edge.swim.status(name=victim) >= least for edge in others)

    samples["suspected_us"] = [
        await fleet.wait_for(what="suspicion", condition=lambda: is_seen_as_by_all(1))
    ]
    samples["held_dead_us"] = [
        samples["suspected_us"][0]
        + await fleet.wait_for(what="death", condition=lambda: is_seen_as_by_all(2))
    ]
    process.thaw()


async def leader_election(fleet: SimFleet, samples: Samples) -> None:
    """Measures the time until a new leader after the leader is killed, the duration of the next
    configuration write, and of a write with all cores up until the last edge has installed it."""
    await fleet.bring_up()
    leader = fleet.leader()
    fleet.kill_core(name=leader)
    samples["election_us"] = [
        await fleet.wait_for(
            what="a new leader", condition=lambda: fleet.leader() not in (None, leader)
        )
    ]
    row = await fleet.put_next()
    samples["put_after_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    await fleet.start_core(name=leader)
    await fleet.sleep(us=3 * SECOND_US)
    row = await fleet.put_next()
    samples["put_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    installed = [
        fleet.daemons[f"edge/{n.name}"].lease_holder.installed_us for n in fleet.deployment.nodes
    ]
    samples["roll_out_us"] = [max(installed) - row["sent_us"]]


async def write_with_dead_edge(fleet: SimFleet, samples: Samples) -> None:
    """Measures a configuration write right after an edge is frozen, which has to wait until the
    edge's lease expires; then the time that edges are not ready while the leader is frozen."""
    await fleet.bring_up()
    fleet.processes["edge/node-05"].freeze()
    row = await fleet.put_next()
    samples["put_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    fleet.processes["edge/node-05"].thaw()
    await fleet.sleep(us=3 * SECOND_US)
    process = fleet.processes[f"core/{fleet.leader()}"]
    process.freeze()
    unready_us = 0
    for _ in range(150):
        await fleet.sleep(us=20_000)
        unready_us += (len(fleet.deployment.nodes) - len(fleet.ready_edges())) * 20_000
    process.thaw()
    samples["unready_edge_us"] = [unready_us]


async def silent_backend(fleet: SimFleet, samples: Samples) -> None:
    """Measures the time until all edges detect that a backend's machine is down, without load."""
    await fleet.bring_up()
    victim = fleet.world.rand.choice(sorted(fleet.backends))
    fleet.world.machines[victim].is_on = False
    edges = [fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes]
    samples["known_us"] = [
        await fleet.wait_for(
            what="darkness",
            condition=lambda: all(
                e.registry.is_unreachable(name=victim, now_us=fleet.world.now_us())
                or e.registry.is_suspected(name=victim, now_us=fleet.world.now_us())
                for e in edges
            ),
        )
    ]
    samples["probes"] = [sum(e.counts.get("probes", 0) for e in edges)]


async def drain_propagation(fleet: SimFleet, samples: Samples) -> None:
    """Measures the time until every edge excludes a backend that reports that it is draining, and
    one that is drained by a label of the configuration."""
    await fleet.bring_up()
    edges = [fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes]
    self_drained, labelled = fleet.world.rand.sample(sorted(fleet.backends), 2)

    def is_excluded(name: str) -> bool:
        return all(
            edge.registry.refusal(
                name=name,
                configuration=edge.lease_holder.configuration,
                now_us=fleet.world.now_us(),
            )
            for edge in edges
        )

    await fleet.set_backend(name=self_drained, is_draining=True)
    samples["sign_us"] = [
        await fleet.wait_for(
            what="all edges to exclude it", condition=lambda: is_excluded(self_drained)
        )
    ]
    row = await fleet.put_next(drained=(labelled,))
    samples["label_us"] = [row["at_us"] - row["sent_us"]]
    if not is_excluded(labelled):
        samples["label_us"].append(10**9)


async def core_replacement(fleet: SimFleet, samples: Samples) -> None:
    """Measures the time until a core that is lost with its disk is replaced by an empty one."""
    await fleet.bring_up()
    name = fleet.world.rand.choice(sorted(fleet.core_address))
    fleet.kill_core(name=name, is_disk=True)
    new_name = await fleet.replace_core(name=name)
    address = fleet.core_address[new_name]

    def is_new_core_voter() -> bool:
        leader = fleet.leader()
        rows = fleet.daemons[f"core/{leader}"].task.raft.replication_progress() if leader else []
        return fleet.are_cores_healthy() and address in [
            r["address"] for r in rows if r["is_voter"]
        ]

    samples["whole_again_us"] = [
        await fleet.wait_for(what="the new core to be a voter", condition=is_new_core_voter)
    ]


def _fixed_window(self: Any, *, name: str, least_us: int) -> int:
    return least_us


LATENCY_WINDOW = "kelpstage.edge.gather.latency:LatencyEstimates.window_us"
GOSSIP_PACKAGE = "kelpstage.edge.gossip"
CHOICES: dict[str, Choice] = {
    "window": Choice(
        description="a fixed window, or one extended by the measured latency of the child",
        variants=(
            Variant(name="stretched"),
            Variant(name="fixed", constants={LATENCY_WINDOW: _fixed_window}),
        ),
        scenario=backend_pauses,
    ),
    "fan_out": Choice(
        description="the fan-out of the tree, including the node itself",
        variants=tuple(Variant(name=str(n), fields={"fan_out": n}) for n in (2, 3, 5, 8)),
        scenario=backend_pauses,
    ),
    "budget": Choice(
        description="retry budget: one retry in so many first attempts",
        variants=tuple(
            Variant(
                name=f"one in {n}",
                constants={"kelpstage.edge.retries.budget:SERVICE_SHARE": n},
            )
            for n in (7, 10, 20)
        ),
        scenario=mixed_faults,
        rate=0.3,
    ),
    "lease": Choice(
        description="duration of a lease",
        variants=tuple(
            Variant(
                name=f"{n} s",
                constants={
                    "kelpstage.core.leases.lease_table:LEASE_SPAN_US": n * SECOND_US,
                    "kelpstage.core.leases.lease_service:LEASE_SPAN_US": n * SECOND_US,
                },
            )
            for n in (1, 2, 4)
        ),
        scenario=write_with_dead_edge,
    ),
    "gossip": Choice(
        description="interval of gossip probes",
        variants=tuple(
            Variant(
                name=f"{n} ms",
                constants={
                    f"{GOSSIP_PACKAGE}.swim:TICK_US": n * 1_000,
                    f"{GOSSIP_PACKAGE}.task:TICK_US": n * 1_000,
                },
            )
            for n in (100, 200, 400)
        ),
        scenario=failure_detection,
    ),
    "probe": Choice(
        description="interval of health checks",
        variants=tuple(
            Variant(
                name=f"{n} ms",
                constants={"kelpstage.edge.backend.health_check:CHECK_INTERVAL_US": n * 1_000},
            )
            for n in (500, 1_000, 2_000)
        ),
        scenario=silent_backend,
    ),
    "drain": Choice(
        description="time until no edge selects a drained backend",
        variants=(Variant(name="as is"),),
        scenario=drain_propagation,
    ),
    "replacement": Choice(
        description="time until a replaced core is a voter",
        variants=(Variant(name="as is"),),
        scenario=core_replacement,
    ),
    "election": Choice(
        description="time of a leader election and of a configuration roll-out",
        variants=(Variant(name="as is"),),
        scenario=leader_election,
    ),
}


def run_variant(
    *, choice: str, variant: str, deployment: str, seed: int, far_us: int = 0
) -> tuple[str, int, Samples]:
    """Runs one seed of one variant."""
    selected_choice = CHOICES[choice]
    base_deployment: Deployment = load(name=deployment)
    selected_variant = next(v for v in selected_choice.variants if v.name == variant)
    samples: Samples = {}

    async def scenario(fleet: SimFleet) -> None:
        await selected_choice.scenario(fleet, samples)

    with constants_set(constants=selected_variant.constants):
        run_sim(
            seed=seed,
            deployment=dataclasses.replace(base_deployment, **selected_variant.fields),
            scenario=scenario,
            rate=selected_choice.rate,
            far_us=far_us,
        )
    return variant, seed, samples


def summarize(*, rows: list[tuple[str, int, Samples]]) -> dict[str, dict[str, Any]]:
    """Returns the figures of each variant over all seeds.

    >>> summarize(rows=[("a", 1, {"partial": [0, 1], "x_us": [5]})])["a"]["partial_share"]
    0.5
    """
    out: dict[str, dict[str, Any]] = {}
    for variant, _, samples in rows:
        merged = out.setdefault(variant, {})
        for name, values in samples.items():
            merged.setdefault(name, []).extend(values)
    for variant, merged in out.items():
        figures: dict[str, Any] = {}
        for name, values in merged.items():
            if name.endswith("_us"):
                figures[name] = {
                    "count": len(values),
                    "p50": quantile(values=values, share=0.5),
                    "p90": quantile(values=values, share=0.9),
                    "p99": quantile(values=values, share=0.99),
                    "max": max(values, default=0),
                }
            elif name in ("partial", "failed", "extra"):
                figures[f"{name}_share"] = round(sum(values) / len(values), 5) if values else None
            else:
                figures[name] = {"sum": sum(values), "runs": len(values)}
        out[variant] = figures
    return out
