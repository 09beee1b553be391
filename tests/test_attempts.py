"""A route's `attempts` limits the backends that one request's shard is sent to, over all nodes.

Runs the gathering tasks of a root and its helpers on virtual time. Backends fail, are slow or do
not reply; messages between nodes are lost in either direction or delayed; helpers stop; the
configuration changes. The tests count the sends for each request and shard.
"""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any

from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.transport.messages import (
    Gather,
    Gathered,
    LeaseReply,
    MemberMsg,
    StateDoc,
    SubtreeMsg,
)
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.request import ClientRequest
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.messages import ConfigurationChanged, GatherResult
from kelpstage.edge.gather.request_state import ROOT, RequestState
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.members import ALIVE, Member
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.handlers import handle
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget
from kelpstage.testbed.simulation.loop import VirtualLoop
from tests.test_wire import random_message

SHARDS = tuple(f"s{n}" for n in range(8))
BACKENDS_OF_SHARD = 4
SPAN_US = 3_600_000_000
AIM_US, DEADLINE_US = 130_000, 900_000
OUTCOMES = ("answer", "slow", "failed", "not run", "reset", "silent", "refused")


def document(*, version: int, attempts: int, quorum: float, is_repeatable: bool = True) -> bytes:
    """Return a configuration of one route that fans out over all shards."""
    route = {
        "host": "h",
        "prefix": "/",
        "is_repeatable": is_repeatable,
        "attempts": attempts,
        "deadline_us": DEADLINE_US,
        "aim_us": AIM_US,
        "fan_out": list(SHARDS),
        "limit": 5,
        "quorum": quorum,
    }
    services = {name: {"health_path": "/health", "max_connections": 400} for name in SHARDS}
    return json.dumps({"version": version, "services": services, "forward": {"r": route}}).encode()


class Node:
    """One edge: its ports, its gathering task and its simulated network."""

    def __init__(self, *, name: str, fleet: "Fleet") -> None:
        self.name, self.fleet = name, fleet
        self.is_stopped = False
        self.loses_replies = False  # messages to it arrive, its replies are lost
        clock = SimpleNamespace(
            now_us=fleet.loop.now_us,
            call_later=lambda *, us, callback: fleet.loop.call_later(max(0, us) / 1e6, callback),
        )
        self.ports = Ports(
            clock=clock,
            net=SimpleNamespace(fetch=self.fetch),
            disk=None,
            rand=random.Random(f"{fleet.seed}/{name}"),
            spawn=fleet.spawn,
        )
        self.lease_holder = LeaseHolder(me=name)
        self.context = GatherContext(
            me=name,
            zone="z",
            own="",
            rand=self.ports.rand,
            lease_holder=self.lease_holder,
            swim=Swim(
                me=MemberMsg(name=name, zone="z"),
                rand=random.Random(1),
                backend_states=list,
                on_backend_state=lambda backend_state: None,
            ),
            registry=BackendRegistry(me=name),
            latencies=LatencyEstimates(),
            budget=Budget(slack=1_000_000),
            journal=Journal(now=lambda: 0),
        )
        self.gather = GatherTask(
            ports=self.ports,
            transport=SimpleNamespace(call=self.call, is_connected=lambda **_: True),
            context=self.context,
            on_fetch_configuration=lambda want: None,
            on_backend_changed=lambda name: None,
            sealed=SealedCodec(names=HeaderNames()),
        )

    def install(self, *, data: bytes, version: int) -> None:
        """Put a configuration into force on this node."""
        now_us = self.fleet.loop.now_us()
        configuration = read_configuration(data=data, version=version)
        self.lease_holder.install(
            doc=StateDoc(cluster="c", epoch=version, version=version, membership=[self.name]),
            configuration=configuration,
            now_us=now_us,
        )
        granted = LeaseReply(is_granted=True, cluster="c", epoch=version, span_us=SPAN_US)
        self.lease_holder.record_lease(reply=granted, sent_us=now_us)
        self.context.registry.apply_configuration(configuration=configuration, listed={})
        self.context.registry.set_instances(self.fleet.instances, now_us)
        self.context.registry.set_live_edges(count=1, now_us=now_us)
        self.gather.inbox.put_nowait(ConfigurationChanged())

    def add_peers(self, *, others: list["Node"]) -> None:
        """Add the other nodes as ready members."""
        for other in others:
            info = MemberMsg(
                name=other.name, address=other.name, zone="z", status=ALIVE, is_ready=True
            )
            self.context.swim.members[other.name] = Member(info=info, status_since_us=0)

    async def fetch(self, *, call: HttpCall) -> Any:
        address, _, _ = call.url.removeprefix("http://").partition("/")
        name = call.headers.get("Kelp-Request-Id", "")
        self.fleet.sends[(name, address.partition(":")[0])] += 1
        return await self.fleet.backend_reply(call=call, name=name)

    async def call(self, *, address: str, message: Gather, wait_us: int, channel: int) -> Any:
        """Send a message to a helper; the request or the reply may be lost or delayed."""
        fleet, rand = self.fleet, self.fleet.rand
        other = fleet.nodes.get(address)
        if other is None:
            return ConnectError(address=address)
        lost = rand.random()
        if other.loses_replies:
            fleet.spawn(handle(Gather().parse(bytes(message)), other, ""))
            await asyncio.sleep(wait_us / 1e6)
            return ReplyTimeoutError(address=address, after_us=wait_us)
        if other.is_stopped or lost < fleet.loss_rate * 0.2:
            return ConnectError(address=address)
        await asyncio.sleep(rand.uniform(0.0002, 0.002))
        if lost < fleet.loss_rate * 0.4:
            await asyncio.sleep(wait_us / 1e6)
            return ReplyTimeoutError(address=address, after_us=wait_us)
        work = asyncio.ensure_future(handle(Gather().parse(bytes(message)), other, ""))
        fleet.tasks.append(work)
        if lost < fleet.loss_rate * 0.6:  # it continues, but its reply is lost
            await asyncio.sleep(rand.uniform(0, wait_us / 1e6))
            return ConnectionLostError(address=address)
        delay_s = rand.uniform(0, 0.3) if lost < fleet.loss_rate else 0.0
        done, _ = await asyncio.wait((work,), timeout=max(0, wait_us / 1e6 - delay_s))
        await asyncio.sleep(delay_s)
        if not done:
            return ReplyTimeoutError(address=address, after_us=wait_us)
        return type(work.result())().parse(bytes(work.result()))

    # attribute that `handle` reads from an edge
    @property
    def counts(self) -> Counter:
        return Counter()


class Fleet:
    """A root, its helpers and the backends of eight shards, generated from one seed."""

    def __init__(
        self, *, seed: int, loop: VirtualLoop, failure_rate: float, loss_rate: float, helpers: int
    ) -> None:
        self.seed, self.loop = seed, loop
        self.failure_rate, self.loss_rate = failure_rate, loss_rate  # of replies, of messages
        self.rand = random.Random(seed)
        self.sends: Counter = Counter()
        self.tasks: list[asyncio.Future] = []
        self.instances = [
            Instance(
                instance_id=f"{shard}-{n}",
                service=shard,
                address=f"{shard}:{n}",
                zone="z",
                slots=99,
            )
            for shard in SHARDS
            for n in range(BACKENDS_OF_SHARD)
        ]
        names = [f"n{n}" for n in range(helpers + 1)]
        self.nodes = {name: Node(name=name, fleet=self) for name in names}
        for node in self.nodes.values():
            node.add_peers(others=[n for n in self.nodes.values() if n is not node])
        self.root = self.nodes["n0"]

    def spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def backend_reply(self, *, call: HttpCall, name: str) -> Any:
        """Return a backend's reply, which at `failure_rate` is one of all outcomes."""
        outcome = "answer"
        if self.rand.random() < self.failure_rate:
            outcome = self.rand.choice(OUTCOMES)
        wait_s = call.wait_us / 1e6
        if outcome == "refused":
            return ConnectError(address="b")
        slow_s = self.rand.uniform(0.05, 0.4) if outcome == "slow" else 0.0
        await asyncio.sleep(min(wait_s, self.rand.uniform(0.001, 0.01) + slow_s))
        if outcome == "silent" or slow_s > wait_s:
            await asyncio.sleep(max(0, wait_s - slow_s))
            return ReplyTimeoutError(address="b", after_us=call.wait_us)
        if outcome == "reset":
            return ConnectionLostError(address="b")
        headers = {"kelp-request-id": name, "kelp-seal": f"s.{self.rand.getrandbits(32):x}"}
        if outcome == "not run":
            return HttpReply(status=503, headers={**headers, "kelp-not-run": "1"})
        status = 500 if outcome == "failed" else 200
        return HttpReply(status=status, headers=headers, body=self.rand.randbytes(64))

    async def ask(self, *, name: str) -> Any:
        """Send one client's request to the root and return its outcome."""
        now_us = self.loop.now_us()
        headers = (("Host", "h"), ("Kelp-Request-Id", name))
        record = RequestState(
            key=self.root.gather.next_key(),
            kind=ROOT,
            collection="r",
            arrived_us=now_us,
            due_us=now_us + DEADLINE_US,
            search=name,
            request=ClientRequest(method="GET", target="/x", request_id=name, headers=headers),
        )
        return await self.root.gather.settle(record=record)


def run(
    *,
    seed: int,
    attempts: int,
    failure_rate: float,
    scenario: Any = None,
    quorum: float = 1.0,
    is_repeatable: bool = True,
    requests: int = 12,
    loss_rate: float | None = None,
) -> tuple[Fleet, list[Any]]:
    """Run overlapping requests; returns the fleet and their outcomes."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    outcomes: list[Any] = []

    async def main() -> Fleet:
        fleet = Fleet(
            seed=seed,
            loop=loop,
            failure_rate=failure_rate,
            loss_rate=failure_rate if loss_rate is None else loss_rate,
            helpers=seed % 6,
        )
        data = [
            document(version=v, attempts=attempts, quorum=quorum, is_repeatable=is_repeatable)
            for v in range(1, 4)
        ]
        for node in fleet.nodes.values():
            node.install(data=data[0], version=1)
        await asyncio.sleep(0)
        if scenario is not None:
            fleet.spawn(scenario(fleet, data))

        async def one(number: int) -> None:
            await asyncio.sleep(number * 0.05)
            outcomes.append(await fleet.ask(name=f"q{number}"))

        await asyncio.gather(*(one(number) for number in range(requests)))
        await asyncio.sleep(3)  # helpers may still send for lost queries
        for task in fleet.tasks:
            task.cancel()
        await asyncio.gather(*fleet.tasks, return_exceptions=True)
        return fleet

    try:
        return loop.run_until_complete(main()), outcomes
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


async def change_configuration(fleet: Fleet, data: list[bytes]) -> None:
    """Change the configuration twice, at a random time on each node."""
    rand = random.Random(fleet.seed)
    for version in (2, 3):
        await asyncio.sleep(rand.uniform(0.05, 0.4))
        for node in rand.sample(list(fleet.nodes.values()), len(fleet.nodes)):
            await asyncio.sleep(rand.uniform(0, 0.1))
            node.install(data=data[version - 1], version=version)


async def stop_helpers(fleet: Fleet, data: list[bytes]) -> None:
    """Stop one helper after the other."""
    rand = random.Random(fleet.seed)
    for node in list(fleet.nodes.values())[1:]:
        await asyncio.sleep(rand.uniform(0, 0.2))
        node.is_stopped = True


async def lose_replies_of_helpers(fleet: Fleet, data: list[bytes]) -> None:
    """For half a second each, one helper after the other receives queries and its replies are
    lost."""
    rand = random.Random(fleet.seed)
    for node in list(fleet.nodes.values())[1:]:
        await asyncio.sleep(rand.uniform(0, 0.3))
        node.loses_replies = True
        await asyncio.sleep(0.5)
        node.loses_replies = False


class AttemptLimit(unittest.TestCase):
    def check(self, *, attempts: int, seeds: range, **fields: Any) -> int:
        """Check the limit for each seed; returns the number of successful requests."""
        succeeded = 0
        for seed in seeds:
            fleet, outcomes = run(seed=seed, attempts=attempts, **fields)
            max_sends = max(fleet.sends.values())
            self.assertLessEqual(max_sends, attempts, f"seed {seed}: {fleet.sends.most_common(3)}")
            succeeded += sum(isinstance(one, GatherResult) for one in outcomes)
        return succeeded

    def test_attempt_limit_holds_over_all_nodes(self) -> None:
        for attempts in (1, 2, 3):
            for failure_rate in (0.1, 0.4):
                with self.subTest(attempts=attempts, failure_rate=failure_rate):
                    self.check(attempts=attempts, failure_rate=failure_rate, seeds=range(12))

    def test_attempt_limit_holds_when_the_configuration_changes(self) -> None:
        self.check(attempts=2, failure_rate=0.3, scenario=change_configuration, seeds=range(12))

    def test_attempt_limit_holds_when_helpers_stop(self) -> None:
        self.check(attempts=2, failure_rate=0.2, scenario=stop_helpers, seeds=range(12))

    def test_attempt_limit_holds_when_replies_of_helpers_are_lost(self) -> None:
        self.check(
            attempts=2,
            failure_rate=0.2,
            loss_rate=0.0,
            scenario=lose_replies_of_helpers,
            seeds=range(12),
        )

    def test_attempt_limit_holds_with_a_partial_quorum(self) -> None:
        self.check(attempts=2, failure_rate=0.3, quorum=0.5, seeds=range(12))

    def test_at_most_once_request_sends_each_shard_once(self) -> None:
        for seed in range(12):
            fleet, _ = run(
                seed=seed,
                attempts=3,
                failure_rate=0.3,
                is_repeatable=False,
                scenario=change_configuration,
            )
            self.assertEqual(1, max(fleet.sends.values()), f"seed {seed}")

    def test_all_requests_succeed_without_faults(self) -> None:
        self.assertEqual(12 * 12, self.check(attempts=2, failure_rate=0.0, seeds=range(12)))


class RandomMessages(unittest.TestCase):
    """After random `Gather` messages, the gathering task still answers the next request."""

    def test_gathering_task_survives_random_messages(self) -> None:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self.scenario(loop=loop))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def scenario(self, *, loop: VirtualLoop) -> None:
        fleet = Fleet(seed=1, loop=loop, failure_rate=0.0, loss_rate=0.0, helpers=2)
        helper = fleet.nodes["n1"]
        for node in fleet.nodes.values():
            node.install(data=document(version=1, attempts=2, quorum=1.0), version=1)
        await asyncio.sleep(0)
        rand = random.Random(1)
        for _ in range(400):
            message = self.random_message(rand=rand)
            async with asyncio.timeout(300):
                is_taken = message.cluster == "c" and not message.is_resumed
                if is_taken and message.target and len(message.headers) % 2:
                    with self.assertRaises(ValueError):  # the connection is closed
                        await handle(message, helper, "")
                    continue
                answer = await handle(message, helper, "")
            self.assertIsInstance(answer, Gathered)
        self.assertEqual(0, len(helper.gather.table))
        self.assertIsInstance(await fleet.ask(name="after"), GatherResult)
        for task in fleet.tasks:
            task.cancel()
        for node in fleet.nodes.values():
            node.gather._task.cancel()
        await asyncio.gather(*fleet.tasks, return_exceptions=True)

    def random_message(self, *, rand: random.Random) -> Gather:
        """Return a message of which parts are valid, so that it passes the first checks."""
        message = random_message(kind=Gather, rand=rand)
        message.is_resumed = rand.random() < 0.2
        message.wait_us = min(message.wait_us, 200_000)
        message.due_us = min(message.due_us, 200_000)
        for name, value in (("cluster", "c"), ("version", 1), ("collection", "r")):
            if rand.random() < 0.7:
                setattr(message, name, value)
        if rand.random() < 0.5:
            shards = [rand.choice(("s0", "s1", "zz", "")) for _ in range(rand.randrange(3))]
            message.subtree = SubtreeMsg(node="n1", shards=shards)
        return Gather().parse(bytes(message))


if __name__ == "__main__":
    unittest.main()
