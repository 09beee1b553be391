"""Measured choices: each a paired run of variants over the same seeds, in virtual
time. A variant sets constants of the daemons for one run and puts them back."""

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

Numbers = dict[str, list[int]]
SECOND = 1_000_000


@dataclass(frozen=True, kw_only=True)
class Variant:
    """Constants to set (`module:name`) and fields of the deployment to replace."""

    name: str
    constants: dict[str, Any] = field(default_factory=dict)
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Choice:
    """What is compared, by which scenario."""

    why: str
    variants: tuple[Variant, ...]
    scenario: Callable[[SimFleet, Numbers], Awaitable[None]]
    rate: float = 0.15


@contextlib.contextmanager
def constants_set(*, constants: dict[str, Any]) -> Iterator[None]:
    """Set constants for a while.

    >>> from kelpstage.edge.gossip import swim
    >>> with constants_set(constants={"kelpstage.edge.gossip.swim:TICK_US": 5}):
    ...     swim.TICK_US
    5
    >>> swim.TICK_US
    200000
    """
    before = []
    for place, value in constants.items():
        module_name, _, path = place.partition(":")
        *way, last = path.split(".")
        owner: Any = importlib.import_module(module_name)
        for step in way:
            owner = getattr(owner, step)
        before.append((owner, last, getattr(owner, last)))
        setattr(owner, last, value)
    try:
        yield
    finally:
        for owner, last, value in before:
            setattr(owner, last, value)


# --- scenarios -------------------------------------------------------------------


def _note_calls(*, fleet: SimFleet, numbers: Numbers) -> None:
    calls = [row for row in fleet.history if row["event"] == "call" and not row["single"]]
    good = [row for row in calls if row["end"] == "ok"]
    numbers["search_us"] = [row["done_us"] - row["sent_us"] for row in good]
    numbers["partial"] = [int(row["coverage"] < 1) for row in good]
    numbers["failed"] = [int(row["end"] != "ok") for row in calls]
    firsts = {(r["call"], r["shard"]) for r in fleet.history if r["event"] == "receipt"}
    receipts = sum(row["event"] == "receipt" for row in fleet.history)
    numbers["extra"] = [1] * (receipts - len(firsts)) + [0] * len(firsts)


async def pauses(fleet: SimFleet, numbers: Numbers) -> None:
    """Ordinary traffic to backends that pause ten times as often as usual."""
    await fleet.bring_up()
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.02
    fleet.start_callers()
    await fleet.sleep(us=25 * SECOND)
    await fleet.drain_callers()
    _note_calls(fleet=fleet, numbers=numbers)


async def bad_day(fleet: SimFleet, numbers: Numbers) -> None:
    """Traffic while backends send invalid replies, slow down and an edge is killed."""
    await fleet.bring_up()
    fleet.start_callers()
    await fleet.sleep(us=2 * SECOND)
    rand = random.Random(fleet.world.seed)
    for name in ("backend_lies", "edge_kill", "backend_slow"):
        await FAULTS[name](fleet, rand)
    await fleet.drain_callers()
    _note_calls(fleet=fleet, numbers=numbers)


async def detection(fleet: SimFleet, numbers: Numbers) -> None:
    """An edge goes silent: when is it suspected, when held dead, by all others?
    And before that, in quiet: how often is somebody suspected who is well?"""
    await fleet.bring_up()
    await fleet.sleep(us=30 * SECOND)
    edges = {n.name: fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes}
    numbers["false_alarms"] = [
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

    def seen_as(least: int) -> bool:
        return all(edge.swim.status(name=victim) >= least for edge in others)

    numbers["suspected_us"] = [await fleet.wait_for(what="suspicion", condition=lambda: seen_as(1))]
    numbers["held_dead_us"] = [
        numbers["suspected_us"][0]
        + await fleet.wait_for(what="death", condition=lambda: seen_as(2))
    ]
    process.thaw()


async def election(fleet: SimFleet, numbers: Numbers) -> None:
    """The leader is killed: when does another lead, and how long does the next
    put take; then a put with everybody up, and its way to the last edge."""
    await fleet.bring_up()
    leader = fleet.leader()
    fleet.kill_core(name=leader)
    numbers["election_us"] = [
        await fleet.wait_for(
            what="a leader", condition=lambda: fleet.leader() not in (None, leader)
        )
    ]
    row = await fleet.put_next()
    numbers["put_after_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    await fleet.start_core(name=leader)
    await fleet.sleep(us=3 * SECOND)
    row = await fleet.put_next()
    numbers["put_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    installed = [
        fleet.daemons[f"edge/{n.name}"].lease_holder.installed_us for n in fleet.deployment.nodes
    ]
    numbers["roll_out_us"] = [max(installed) - row["sent_us"]]


async def dead_edge_put(fleet: SimFleet, numbers: Numbers) -> None:
    """A put right after an edge went silent has to outlast its lease; then the
    leader stands still for 1.5 s: how long are edges without the right to serve?"""
    await fleet.bring_up()
    fleet.processes["edge/node-05"].freeze()
    row = await fleet.put_next()
    numbers["put_us"] = [row["at_us"] - row["sent_us"]] if row["status"] == 200 else []
    fleet.processes["edge/node-05"].thaw()
    await fleet.sleep(us=3 * SECOND)
    process = fleet.processes[f"core/{fleet.leader()}"]
    process.freeze()
    dark = 0
    for _ in range(150):
        await fleet.sleep(us=20_000)
        dark += (len(fleet.deployment.nodes) - len(fleet.ready_edges())) * 20_000
    process.thaw()
    numbers["unready_edge_us"] = [dark]


async def silent_backend(fleet: SimFleet, numbers: Numbers) -> None:
    """A backend's machine goes silent with no traffic: when do all edges know?"""
    await fleet.bring_up()
    victim = fleet.world.rand.choice(sorted(fleet.backends))
    fleet.world.machines[victim].is_on = False
    edges = [fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes]
    numbers["known_us"] = [
        await fleet.wait_for(
            what="darkness",
            condition=lambda: all(
                e.registry.is_unreachable(name=victim, now_us=fleet.world.now_us())
                or e.registry.is_suspected(name=victim, now_us=fleet.world.now_us())
                for e in edges
            ),
        )
    ]
    numbers["probes"] = [sum(e.counts.get("probes", 0) for e in edges)]


async def drains(fleet: SimFleet, numbers: Numbers) -> None:
    """A backend says that it drains; another is drained by label: when does every
    edge leave it out?"""
    await fleet.bring_up()
    edges = [fleet.daemons[f"edge/{n.name}"] for n in fleet.deployment.nodes]
    signed, labelled = fleet.world.rand.sample(sorted(fleet.backends), 2)

    def is_left_out(name: str) -> bool:
        return all(
            edge.registry.refusal(
                name=name,
                configuration=edge.lease_holder.configuration,
                now_us=fleet.world.now_us(),
            )
            for edge in edges
        )

    await fleet.set_backend(name=signed, is_draining=True)
    numbers["sign_us"] = [
        await fleet.wait_for(what="the sign", condition=lambda: is_left_out(signed))
    ]
    row = await fleet.put_next(drained=(labelled,))
    numbers["label_us"] = [row["at_us"] - row["sent_us"]]
    if not is_left_out(labelled):
        numbers["label_us"].append(10**9)


async def replacement(fleet: SimFleet, numbers: Numbers) -> None:
    """A core and its disk are lost; an empty one at a new address takes its place."""
    await fleet.bring_up()
    name = fleet.world.rand.choice(sorted(fleet.core_address))
    fleet.kill_core(name=name, is_disk=True)
    fresh = await fleet.replace_core(name=name)
    address = fleet.core_address[fresh]

    def has_place() -> bool:
        leader = fleet.leader()
        rows = fleet.daemons[f"core/{leader}"].task.raft.replication_progress() if leader else []
        return fleet.are_cores_healthy() and address in [
            r["address"] for r in rows if r["is_voter"]
        ]

    numbers["whole_again_us"] = [await fleet.wait_for(what="its place", condition=has_place)]


def _fixed(self: Any, *, name: str, least_us: int) -> int:
    return least_us


LATENCY = "kelpstage.edge.gather.latency:LatencyEstimates.window_us"
SWIM = "kelpstage.edge.gossip"
CHOICES: dict[str, Choice] = {
    "window": Choice(
        why="a fixed window, or one stretched by what was seen of the child",
        variants=(
            Variant(name="stretched"),
            Variant(name="fixed", constants={LATENCY: _fixed}),
        ),
        scenario=pauses,
    ),
    "fan_out": Choice(
        why="the tree's fan-out, the node itself counted",
        variants=tuple(Variant(name=str(n), fields={"fan_out": n}) for n in (2, 3, 5, 8)),
        scenario=pauses,
    ),
    "budget": Choice(
        why="extra rounds: one in so many first sends",
        variants=tuple(
            Variant(
                name=f"one in {n}",
                constants={"kelpstage.edge.retries.budget:SERVICE_SHARE": n},
            )
            for n in (7, 10, 20)
        ),
        scenario=bad_day,
        rate=0.3,
    ),
    "lease": Choice(
        why="how long a lease lasts",
        variants=tuple(
            Variant(
                name=f"{n} s",
                constants={
                    "kelpstage.core.leases.lease_table:LEASE_SPAN_US": n * SECOND,
                    "kelpstage.core.leases.lease_service:LEASE_SPAN_US": n * SECOND,
                },
            )
            for n in (1, 2, 4)
        ),
        scenario=dead_edge_put,
    ),
    "gossip": Choice(
        why="how often a peer is probed",
        variants=tuple(
            Variant(
                name=f"{n} ms",
                constants={
                    f"{SWIM}.swim:TICK_US": n * 1_000,
                    f"{SWIM}.task:TICK_US": n * 1_000,
                },
            )
            for n in (100, 200, 400)
        ),
        scenario=detection,
    ),
    "probe": Choice(
        why="how often a backend is probed",
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
        why="how long until no edge chooses a drained backend",
        variants=(Variant(name="as is"),),
        scenario=drains,
    ),
    "replacement": Choice(
        why="how long until a replaced core is a voter",
        variants=(Variant(name="as is"),),
        scenario=replacement,
    ),
    "election": Choice(
        why="times of election and roll-out as they are",
        variants=(Variant(name="as is"),),
        scenario=election,
    ),
}


def run_variant(
    *, choice: str, variant: str, deployment: str, seed: int, far_us: int = 0
) -> tuple[str, int, Numbers]:
    """One seed of one variant."""
    chosen = CHOICES[choice]
    shape: Deployment = load(name=deployment)
    one = next(v for v in chosen.variants if v.name == variant)
    numbers: Numbers = {}

    async def scenario(fleet: SimFleet) -> None:
        await chosen.scenario(fleet, numbers)

    with constants_set(constants=one.constants):
        run_sim(
            seed=seed,
            deployment=dataclasses.replace(shape, **one.fields),
            scenario=scenario,
            rate=chosen.rate,
            far_us=far_us,
        )
    return variant, seed, numbers


def summarize(*, rows: list[tuple[str, int, Numbers]]) -> dict[str, dict[str, Any]]:
    """Figures of each variant over all seeds.

    >>> summarize(rows=[("a", 1, {"partial": [0, 1], "x_us": [5]})])["a"]["partial_share"]
    0.5
    """
    out: dict[str, dict[str, Any]] = {}
    for variant, _, numbers in rows:
        whole = out.setdefault(variant, {})
        for name, values in numbers.items():
            whole.setdefault(name, []).extend(values)
    for variant, whole in out.items():
        figures: dict[str, Any] = {}
        for name, values in whole.items():
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
