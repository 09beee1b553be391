"""Runs one seeded scenario of the platform model with the product, then every checker."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import Any, AsyncIterator, Awaitable

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.backends import BackendPool
from kelpstage.testbed.platform_model.clients import (
    Clients,
    KindScore,
    LoadBalancer,
    LoadBalancerNode,
)
from kelpstage.testbed.platform_model.cloud import CloudList
from kelpstage.testbed.platform_model.faults import CLOSING_FAULTS, PLATFORM_FAULTS
from kelpstage.testbed.platform_model.history import History, Order, Readiness
from kelpstage.testbed.platform_model.machines import Fleet, Node
from kelpstage.testbed.platform_model.net import HttpProcess, PlatformWorld
from kelpstage.testbed.platform_model.operator import Operator
from kelpstage.testbed.platform_model.rollout_operator import RolloutOperator
from kelpstage.testbed.platform_model.rules.register import find_violations
from kelpstage.testbed.platform_model.shape import SHAPES, Shape, with_orders
from kelpstage.testbed.platform_model.traffic import RouteDraft, RouteDrafts
from kelpstage.testbed.simulation.loop import VirtualLoop

CLOUD_ADDRESS = "10.200.0.43:8224"
FIRST_CONFIGURATION_US = 2_000_000
DIRECT_INTERVAL_S = 0.7
DIRECT_ROUNDS = 8


@dataclass(frozen=True, kw_only=True)
class Plan:
    """A scenario to run: deployment, seed, faults and length."""

    deployment: str
    seed: int
    seconds: int = 30
    rate: float = 1.0
    faults: tuple[str, ...] = ()
    closing: str = ""
    has_orders: bool = True
    start_us: int = 0  # when traffic starts; 0 for the deployment's time
    settle_s: int = 6  # time without faults after the last one has ended
    message_us: int = 150  # processor time of a node for each incoming message


@dataclass(kw_only=True)
class Outcome:
    """The result of a scenario: violations, scores by kind, counts and history."""

    plan: Plan
    violations: list[Violation]
    scores: dict[str, KindScore]
    counts: dict[str, int]
    history: History = field(repr=False)


class ScenarioRun:
    """The state of one scenario while it runs."""

    def __init__(self, *, plan: Plan, world: PlatformWorld, shape: Shape) -> None:
        self.plan = plan
        self.world = world
        self.shape = shape
        self.history = History(bounds=shape.bounds)
        self._tasks: list[asyncio.Task] = []
        rand = lambda word: random.Random(f"{plan.seed}/{word}")  # noqa: E731
        self.rand = rand("day")
        self.changing = asyncio.Lock()  # one change of the drafts at a time
        self._loss_slots = asyncio.Semaphore(shape.tolerance)
        self.drafts = RouteDrafts(shape=shape, rand=rand("drafts"))
        self.routes_in_use: dict[str, RouteDraft] = {}
        self.kinds = {kind.name: kind for kind in shape.kinds}
        self._kind_names: dict[tuple[str, str], str] = {}
        self.backend_pool = BackendPool(
            world=world,
            history=self.history,
            rand=rand("park"),
            kind_of=self.kind_of,
            lag_us=shape.list_lag_us,
            drain_us=shape.bounds.drain_us,
            reuse_us=shape.address_reuse_us,
            make_process=self._make_process,
            zones=list(shape.zones),
        )
        self.cloud = CloudList(
            world=world,
            backend_pool=self.backend_pool,
            history=self.history,
            per_s=shape.list_per_s,
        )
        self.fleet = Fleet(
            world=world,
            shape=shape,
            history=self.history,
            rand=rand("fleet"),
            cloud=CLOUD_ADDRESS,
            list_per_s=shape.list_per_s,
            message_us=plan.message_us,
        )
        cloud = self._make_process(name="cloud", machine="cloud", zone="")
        world.machine_by_address[CLOUD_ADDRESS] = cloud.machine
        cloud.ports.net._listen(key=f"http/{CLOUD_ADDRESS}", kind="http", on_event=self.cloud)
        self.load_balancer = LoadBalancer(process=cloud, shape=shape)
        processes = {
            zone: self._make_process(name=f"clients/{zone}", machine=f"clients-{zone}", zone=zone)
            for zone in shape.zones
        }
        self.clients = Clients(
            world=world,
            shape=shape,
            history=self.history,
            load_balancer=self.load_balancer,
            processes=processes,
            rand=rand("clients"),
            rate=plan.rate,
            incarnation_of=self.fleet.incarnation_of,
        )
        self.clients.drafts = self.drafts_in_use
        self.load_balancer.on_poll = self._note_readiness
        self.operator, self.second_operator = (
            Operator(
                world=world,
                history=self.history,
                rand=rand(word),
                addresses=self.fleet.control_addresses,
                process=self._make_process(name=word, machine=word, zone=""),
            )
            for word in ("operator", "second operator")
        )

        self.rollout_operator = RolloutOperator(
            world=world, history=self.history, operator=self.operator
        )

    def _make_process(self, *, name: str, machine: str, zone: str) -> HttpProcess:
        host = self.world.machines.get(machine)
        if host is None:
            host = self.world.add_machine(name=machine, zone=zone)
        return HttpProcess(world=self.world, name=name, machine=host, instance=1)

    def later(self, work: Awaitable) -> None:
        """Start a task; `run` waits up to 90 s for all such tasks before the end."""
        self._tasks.append(self.world.loop.create_task(work))

    @contextlib.asynccontextmanager
    async def loss(self, *, node: Node | None) -> AsyncIterator[None]:
        """Hold one of the slots for core faults that are tolerated at the same time.

        A machine without a disk needs no slot. The slot is released `catch_up_us` after the
        fault has ended.
        """
        if node is not None and not node.has_disk:
            yield
            return
        await self._loss_slots.acquire()
        try:
            yield
        finally:
            self.later(self._release_loss_slot())

    async def _release_loss_slot(self) -> None:
        await asyncio.sleep(self.shape.catch_up_us / 1_000_000)
        self._loss_slots.release()

    # --- routes and services --------------------------------------------------------------

    def kind_of(self, *, host: str, target: str) -> Any:
        """The kind of request of a host and target; `None` if no route matches.

        The result is cached by host and parent path. Backends choose work and reply by it.
        """
        path = target.partition("?")[0]
        key = (host, path.rpartition("/")[0])
        if key not in self._kind_names:
            matching = [
                d for d in self._all_drafts() if d.host == host and path.startswith(d.prefix)
            ]
            self._kind_names[key] = matching[-1].kind if matching else ""
        return self.kinds.get(self._kind_names[key])

    def _all_drafts(self) -> list[RouteDraft]:
        return [*self.routes_in_use.values(), *self.drafts.routes.values()]

    def drafts_in_use(self, kind: str) -> list[RouteDraft]:
        """The routes of a kind that clients use at present."""
        return [draft for draft in self.routes_in_use.values() if draft.kind == kind]

    def start_services(self, *, names: tuple[str, ...], is_cold: bool = True) -> None:
        """Start every backend of the services, spread over the zones."""
        for index, name in enumerate(names):
            service = self.shape.services[name]
            zones = self.shape.zones_of(service=name)
            for number in range(service.backends):
                zone = zones[(index + number) % len(zones)]
                self.backend_pool.start(service=service, zone=zone, is_cold=is_cold)

    def _note_readiness(self, name: str, is_ready: bool) -> None:
        answer = Readiness(machine=name, at_us=self.world.now_us(), is_ready=is_ready)
        self.history.readiness.append(answer)

    def add_to_load_balancer(self, *, node: Node) -> None:
        """Add a machine to the load balancer, with a random share of the connections."""
        self.load_balancer.add(
            node=LoadBalancerNode(
                name=node.name,
                zone=node.zone,
                front=node.front,
                readiness=node.readiness,
                share=0.5 + self.rand.random(),
            )
        )

    # --- configuration writes -------------------------------------------------------------

    async def put(self, *, before: dict[str, RouteDraft], who: Operator | None = None) -> Order:
        """Write the drafted routes; clients use them once the write is acknowledged.

        After a failed write the drafts return to `before`, unless it is in force after all.
        """
        who = who or self.operator
        revision = who.revision + self.rand.randrange(1, 4)
        order = who.draft_order(
            body=self.drafts.body(revision=revision),
            revision=revision,
            base=who.revision,
            routes=self.drafts.specs(),
        )
        self._stop_using_removed_routes(before=before)
        await who.send(order=order)
        if order.acked_us:
            self.adopt()
            self.later(self._send_direct_requests(before=before))
        else:
            await who.catch_up()
            if who.revision != order.revision:
                self.drafts.routes = before
            else:
                self.adopt()
        return order

    def _stop_using_removed_routes(self, *, before: dict[str, RouteDraft]) -> None:
        """Stop using removed routes before the write that removes them is sent."""
        for name in set(self.routes_in_use) - set(self.drafts.routes):
            del self.routes_in_use[name]

    def adopt(self) -> None:
        """Let clients use the acknowledged routes, new ones only after the time to apply."""
        routes = dict(self.drafts.routes)
        due_us = self.world.now_us() + self.shape.bounds.apply_us
        added = {name: draft for name, draft in routes.items() if name not in self.routes_in_use}
        self.routes_in_use = {name: d for name, d in routes.items() if name not in added}
        self.world.at(us=due_us, callback=lambda: self._adopt_late(added=added))

    def _adopt_late(self, *, added: dict[str, RouteDraft]) -> None:
        for name, draft in added.items():
            if self.drafts.routes.get(name) == draft:
                self.routes_in_use[name] = draft

    async def race(self, rand: random.Random) -> None:
        """Two operators write different changes on the same base; the drafts follow the winner."""
        await self.second_operator.catch_up()
        base = self.second_operator.revision = self.operator.revision
        before = dict(self.drafts.routes)
        orders, tables = [], []
        for who in (self.operator, self.second_operator):
            self.drafts.routes = dict(before)
            (self.drafts.move if who is self.operator else self.drafts.split)()
            revision = base + rand.randrange(1, 5)
            orders.append(
                who.draft_order(
                    body=self.drafts.body(revision=revision),
                    revision=revision,
                    base=base,
                    routes=self.drafts.specs(),
                )
            )
            tables.append(dict(self.drafts.routes))
        self.drafts.routes = before
        await asyncio.gather(
            self.operator.send(order=orders[0]), self.second_operator.send(order=orders[1])
        )
        await self.operator.catch_up()
        for order, table in zip(orders, tables, strict=True):
            if order.acked_us or order.revision == self.operator.revision:
                self.drafts.routes = table
                self.adopt()

    async def put_invalid(self, rand: random.Random) -> None:
        """Write six configurations, each invalid in another way."""
        import json

        revision = self.operator.revision
        for number in range(6):
            raw = json.loads(self.drafts.body(revision=revision + 1))
            body = b""
            if number == 0:
                body = json.dumps(raw).encode()[:-30]
            if number == 1:
                raw["ServiceTable"] = raw["ServiceTable"][1:]
            if number == 2:
                raw["RouteTable"].append({**raw["RouteTable"][0], "Name": "r-again"})
            if number == 3:
                raw["RouteTable"][0]["DeadlineMs"] = 0
            if number == 4:
                raw["Revision"] = revision
            if number == 5:
                row = next(r for r in raw["RouteTable"] if "FanOut" not in r)
                names = (
                    [row.pop("Service")]
                    if "Service" in row
                    else [w["Service"] for w in row.pop("Weighted")]
                )
                row["Weighted"] = [{"Service": name, "Share": 0} for name in names]
            order = self.operator.draft_order(
                body=body or json.dumps(raw).encode(),
                revision=raw["Revision"],
                base=revision,
                routes=(),
                is_valid=False,
            )
            await self.operator.send(order=order, give_up_us=15_000_000)

    # --- requests to chosen nodes ---------------------------------------------------------

    async def _send_direct_requests(self, *, before: dict[str, RouteDraft]) -> None:
        """Request changed, removed and unknown routes from each node in rotation."""
        now = dict(self.drafts.routes)
        changed = [d for n, d in now.items() if n not in before][:2]
        changed += [d for n, d in before.items() if n not in now][:2]
        changed += [d for n, d in now.items() if n in before and before[n] != d][:2]
        kind = self.shape.kinds[0]
        unknown_route = RouteDraft(
            name="never", kind=kind.name, host="never.example", prefix="/never/", deadline_ms=800
        )
        for _ in range(DIRECT_ROUNDS):
            await asyncio.sleep(DIRECT_INTERVAL_S)
            for node in list(self.load_balancer.nodes.values()):
                if not node.is_in_rotation:
                    continue
                draft = self.rand.choice([*changed, unknown_route])
                self.later(
                    self.clients.send_to_node(node=node, draft=draft, kind=self.kinds[draft.kind])
                )

    # --- the scenario ---------------------------------------------------------------------

    async def run(self) -> None:
        """Run the whole scenario: start, traffic, faults, closing fault, final reads."""
        shape = self.shape
        self.start_services(names=(*shape.index, shape.single, shape.other), is_cold=False)
        self.later(self.fleet.start_all())
        await asyncio.sleep(FIRST_CONFIGURATION_US / 1_000_000)
        for node in self.fleet.provisioned():
            self.add_to_load_balancer(node=node)
        await self._send_first_configuration()
        now_us = self.world.now_us()
        start_us = self.plan.start_us or shape.start_us
        await asyncio.sleep(max(0, start_us - now_us) / 1_000_000)
        self.history.traffic_us = self.world.now_us()
        self.clients.start()
        for index, name in enumerate(self.plan.faults):
            self.later(self._run_fault(name=name, index=index))
        await asyncio.sleep(self.plan.seconds)
        await self._wait_for_faults()
        if self.plan.closing:
            await self._run_closing_fault()
        await self.clients.drain()
        self.operator.lose_share = 0.0
        self.rollout_operator.lose_share = 0.0
        await self.operator.read_back(for_us=self.history.bounds.touch_us)
        await self.rollout_operator.read_back()
        self.history.end_us = self.world.now_us()

    async def _send_first_configuration(self) -> None:
        order = self.operator.draft_order(
            body=self.drafts.body(revision=1), revision=1, base=0, routes=self.drafts.specs()
        )
        self.routes_in_use = dict(self.drafts.routes)
        await self.operator.send(order=order, give_up_us=60_000_000)

    async def _run_fault(self, *, name: str, index: int) -> None:
        rand = random.Random(f"{self.plan.seed}/{name}/{index}")
        latest_s = max(1.0, self.plan.seconds * 0.5)
        await asyncio.sleep(2 + rand.random() * latest_s)
        await PLATFORM_FAULTS[name](self, rand)

    async def _wait_for_faults(self) -> None:
        """Wait up to 90 s for the faults to end, then `settle_s` more."""
        deadline_s = self.world.loop.time() + 90
        while any(not task.done() for task in self._tasks) and self.world.loop.time() < deadline_s:
            pending = [task for task in self._tasks if not task.done()]
            await asyncio.wait(pending, timeout=1)
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()
        await asyncio.sleep(self.plan.settle_s)

    async def _run_closing_fault(self) -> None:
        """Write a change, inject the closing fault right after it, and keep the traffic running."""
        rand = random.Random(f"{self.plan.seed}/closing")
        await PLATFORM_FAULTS["config_change"](self, rand)
        self.history.closing_us = self.world.now_us()
        await CLOSING_FAULTS[self.plan.closing](self, rand)
        self.history.back_us = self.world.now_us()
        await asyncio.sleep(self.history.bounds.recovery_us / 1_000_000 + self.plan.settle_s)


def run_scenario(*, plan: Plan) -> Outcome:
    """Run a scenario and check its history; the same plan gives the same history."""
    shape = SHAPES[plan.deployment]()
    if plan.has_orders:
        shape = with_orders(shape=shape)
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = PlatformWorld(
        seed=plan.seed,
        loop=loop,
        regions=dict(shape.zones),
        zone_us=shape.zone_us,
        region_us=shape.region_us,
        client_us=shape.client_us,
    )
    try:
        run = loop.run_until_complete(_run_to_end(plan=plan, world=world, shape=shape))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
    violations = find_violations(history=run.history)
    if run.backend_pool.headerless_attempts:
        why = (
            f"{len(run.backend_pool.headerless_attempts)} requests arrived"
            " without the client's headers"
        )
        violations.append(Violation(rule="UNASKED", why=why, at_us=0))
    counts = {
        **dict(run.backend_pool.counts),
        "list_calls": run.cloud.calls,
        "list_refused": run.cloud.rejected,
        "requests": len(run.history.requests),
        "arrivals": len(run.history.arrivals),
        "orders": len(run.history.orders),
        "acked": sum(bool(o.acked_us) for o in run.history.orders),
    }
    return Outcome(
        plan=plan,
        violations=violations,
        scores=run.clients.scores,
        counts=counts,
        history=run.history,
    )


async def _run_to_end(*, plan: Plan, world: PlatformWorld, shape: Shape) -> ScenarioRun:
    run = ScenarioRun(plan=plan, world=world, shape=shape)
    try:
        await run.run()
    finally:
        run.fleet.end()
        await asyncio.sleep(0)
    return run


def as_text(*, outcome: Outcome) -> str:
    """The result of a scenario as a few lines of text."""
    plan = outcome.plan
    summary = f"{plan.deployment} seed {plan.seed} [{', '.join(plan.faults)}"
    summary += f"; {plan.closing}]" if plan.closing else "]"
    kinds = " ".join(
        f"{name} {score.earned_worth / score.possible_worth:.3f} "
        f"({score.success_count}/{score.request_count})"
        for name, score in sorted(outcome.scores.items())
        if score.possible_worth
    )
    earned = sum(score.earned_worth for score in outcome.scores.values())
    total = sum(score.possible_worth for score in outcome.scores.values()) or 1.0
    lines = [f"{summary} worth {earned / total:.3f}: {kinds}"]
    for violation in outcome.violations[:8]:
        lines.append(f"  {violation.rule} at {violation.at_us / 1e6:.3f} s: {violation.why}")
    if len(outcome.violations) > 8:
        lines.append(f"  and {len(outcome.violations) - 8} more")
    return "\n".join(lines)
