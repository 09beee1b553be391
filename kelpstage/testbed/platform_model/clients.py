"""The load balancer that polls readiness, and the clients that send and retry requests."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.history import (
    CLIENT_DISCONNECTED,
    NOT_RUN_STATUSES,
    History,
    Request,
)
from kelpstage.testbed.platform_model.net import GARBAGE, HttpLine, HttpProcess, PlatformWorld
from kelpstage.testbed.platform_model.shape import KindShape, Shape
from kelpstage.testbed.platform_model.traffic import RouteDraft

CONNECT_TIMEOUT_US = 1_000_000
UNREAD_TIMEOUT_US = 1_000_000
NOT_RETRYABLE_STATUSES = frozenset((400, 401, 404, 413, 431))
MISSES_UNTIL_UNREADY = 2
ABUSIVE_RETRIES = 4
CLIENT_IDLE_TIMEOUT_US = 8_000_000
LEAVE_DELAY_US = (40_000, 200_000)  # minimum until a client disconnects, and random extra


@dataclass(kw_only=True)
class LoadBalancerNode:
    """A node as the load balancer sees it; `share` is its weight for new connections."""

    name: str
    zone: str
    front: str
    readiness: str
    share: float
    is_in_rotation: bool = False
    misses: int = MISSES_UNTIL_UNREADY
    was_ready: bool = False


class LoadBalancer:
    """Polls the readiness of each node and distributes new connections over the ready ones."""

    def __init__(self, *, process: HttpProcess, shape: Shape) -> None:
        self.nodes: dict[str, LoadBalancerNode] = {}
        self._process = process
        self._zones = list(shape.zones)
        self._regions = shape.zones
        self.on_poll: Callable[[str, bool], None] = lambda name, is_ready: None

    def add(self, *, node: LoadBalancerNode) -> None:
        """Register a node and poll its readiness once a second until it is removed.

        It receives no connections before its first successful poll, unless fewer than half of
        the nodes in its zone are ready.
        """
        self.nodes[node.name] = node
        self._process.spawn(self._poll(node=node))

    def remove(self, *, name: str) -> None:
        """Stop polling a node and sending it new connections."""
        self.nodes.pop(name, None)

    async def _poll(self, *, node: LoadBalancerNode) -> None:
        clock, net = self._process.ports.clock, self._process.ports.net
        while self.nodes.get(node.name) is node:
            await clock.sleep(us=1_000_000)
            call = HttpCall(
                method="GET", url=f"http://{node.readiness}/api/readiness", wait_us=900_000
            )
            reply = await net.fetch(call=call)
            is_ready = isinstance(reply, HttpReply) and reply.status == 200
            self.on_poll(node.name, is_ready)
            if isinstance(reply, HttpReply) and reply.status == 200:
                node.misses, node.is_in_rotation, node.was_ready = 0, True, True
                continue
            node.misses += 1
            if node.misses >= MISSES_UNTIL_UNREADY:
                node.is_in_rotation = False

    def candidates(self, *, zone: str) -> list[LoadBalancerNode]:
        """The nodes that receive new connections from clients of a zone.

        The nearest zone that has a ready node is chosen. All nodes of that zone are candidates
        if fewer than half of them are ready.
        """

        def by_distance(other: str) -> tuple:
            return (other != zone, self._regions[other] != self._regions[zone], other)

        for near_zone in sorted(self._zones, key=by_distance):
            zone_nodes = [node for node in self.nodes.values() if node.zone == near_zone]
            ready = [node for node in zone_nodes if node.is_in_rotation]
            if ready:
                return ready if 2 * len(ready) >= len(zone_nodes) else zone_nodes
        return [node for node in self.nodes.values() if node.zone == zone]

    def pick(self, *, zone: str, position: float, tried: set[str]) -> LoadBalancerNode | None:
        """Choose a node by a client's position in [0, 1) and the shares; a retry avoids `tried`."""
        found = self.candidates(zone=zone)
        untried = [node for node in found if node.name not in tried] or found
        total = sum(node.share for node in untried)
        for node in untried:
            position -= node.share / total
            if position < 0:
                return node
        return untried[-1] if untried else None


@dataclass(kw_only=True)
class Client:
    """A client that reuses connections, or opens a new one for each request."""

    name: str
    zone: str
    position: float
    keeps_connections: bool
    process: HttpProcess
    idle: list[tuple[HttpLine, LoadBalancerNode, int]] = field(default_factory=list)


@dataclass(kw_only=True)
class KindScore:
    """Counts of the requests of one kind, and the worth that their replies earned."""

    request_count: int = 0
    success_count: int = 0
    in_time_count: int = 0
    possible_worth: float = 0.0
    earned_worth: float = 0.0


class Clients:
    """All clients of a deployment."""

    def __init__(
        self,
        *,
        world: PlatformWorld,
        shape: Shape,
        history: History,
        load_balancer: LoadBalancer,
        processes: dict[str, HttpProcess],
        rand: random.Random,
        rate: float,
        incarnation_of: Callable[[str], int],
    ) -> None:
        self._world = world
        self._shape = shape
        self._history = history
        self._load_balancer = load_balancer
        self._rand = rand
        self._rate = rate
        self._incarnation_of = incarnation_of
        self._serial = 0
        self.in_flight = 0
        self.is_open = True
        self.rate_factor = 1.0
        self.abuse = 0.0  # the share that retries at once and more often
        self.leaving = 0.0  # the share that disconnects before the reply
        self.scores: dict[str, KindScore] = {}
        self.drafts: Callable[[str], list[RouteDraft]] = lambda kind: []
        self._clients = [
            Client(
                name=f"c-{zone}-{number}",
                zone=zone,
                position=rand.random(),
                keeps_connections=rand.random() < 0.5,
                process=processes[zone],
            )
            for zone in shape.zones
            for number in range(30)
        ]

    def start(self) -> None:
        """Start open-loop arrivals of every kind of request."""
        for kind in self._shape.kinds:
            self._world.loop.create_task(self._run(kind=kind))

    async def _run(self, *, kind: KindShape) -> None:
        while self.is_open:
            pause_s = self._rand.expovariate(kind.per_s * self._rate * self.rate_factor)
            await asyncio.sleep(pause_s)
            if not self.is_open:
                return
            drafts = self.drafts(kind.name)
            if not drafts:
                continue
            # a third of the traffic goes to a random route of the kind
            draft = drafts[0] if self._rand.random() < 0.66 else self._rand.choice(drafts)
            client = self._rand.choice(self._clients)
            client.process.spawn(self.send_with_retries(client=client, kind=kind, draft=draft))

    async def drain(self) -> None:
        """Stop new arrivals and wait up to 20 s until no request is in flight."""
        self.is_open = False
        for _ in range(400):
            if not self.in_flight:
                return
            await asyncio.sleep(0.05)

    # --- one request with its retries -----------------------------------------------------

    async def send_with_retries(
        self, *, client: Client, kind: KindShape, draft: RouteDraft
    ) -> None:
        """Send one request, with the retries that its kind allows, and add the result to its score.

        The deadline is the shorter of the kind's and the route's, both from the first attempt.
        An abusive client makes `ABUSIVE_RETRIES` more retries, without a delay.
        """
        self.in_flight += 1
        started_us = self._world.now_us()
        due_us = started_us + min(kind.deadline_us, draft.deadline_ms * 1_000)
        tried: set[str] = set()
        first = ""
        request: Request | None = None
        is_abusive = self._rand.random() < self.abuse
        for number in range(1 + kind.retries + ABUSIVE_RETRIES * is_abusive):
            request = await self._attempt(
                client=client,
                kind=kind,
                draft=draft,
                due_us=due_us,
                tried=tried,
                first=first,
                is_new=number > 0,
            )
            first = first or request.attempt
            if not self._may_retry(request=request, kind=kind):
                break
            left_us = due_us - self._world.now_us()
            if left_us < 5_000:
                break
            pause_us = 0 if is_abusive else self._retry_delay_us(request=request, left_us=left_us)
            await asyncio.sleep(pause_us / 1_000_000)
        self._score(kind=kind, request=request, started_us=started_us)
        self.in_flight -= 1

    def _retry_delay_us(self, *, request: Request, left_us: int) -> int:
        return min(request.retry_after_us, left_us // 3)

    def _score(self, *, kind: KindShape, request: Request, started_us: int) -> None:
        if request.end == CLIENT_DISCONNECTED:
            return  # a request that its client abandoned is not scored
        score = self.scores.setdefault(kind.name, KindScore())
        score.request_count += 1
        score.possible_worth += kind.worth
        if not request.is_success:
            return
        score.success_count += 1
        share = 1.0
        if request.part_seals:
            share = (len(request.part_seals) / (len(request.part_seals) + request.missing)) ** 2
        is_in_time = request.done_us - started_us <= kind.aim_us
        score.in_time_count += is_in_time
        score.earned_worth += share * (kind.worth if is_in_time else kind.late_worth)

    @staticmethod
    def _may_retry(*, request: Request, kind: KindShape) -> bool:
        if request.is_success or request.end == CLIENT_DISCONNECTED:
            return False
        if request.end == "answered" and request.status in NOT_RETRYABLE_STATUSES:
            return False
        if kind.is_repeatable:
            return True
        if request.end == "answered":
            return request.status in NOT_RUN_STATUSES
        return request.end in ("unconnected", "closed", "reset") and not request.read_us

    async def _attempt(
        self,
        *,
        client: Client,
        kind: KindShape,
        draft: RouteDraft,
        due_us: int,
        tried: set[str],
        first: str,
        is_new: bool,
    ) -> Request:
        request = self._new_request(
            client=client, kind=kind, draft=draft, due_us=due_us, first=first
        )
        connection, node = await self._get_connection(
            client=client, is_new=is_new or not client.keeps_connections, tried=tried, due_us=due_us
        )
        request.sent_us = self._world.now_us()
        request.deadline_us = max(0, due_us - request.sent_us)
        if node is not None:
            request.node, request.node_incarnation = node.name, self._incarnation_of(node.name)
            tried.add(node.name)
        if isinstance(connection, KelpstageError) or connection is None:
            request.end, request.done_us = "unconnected", request.sent_us
            return request
        self._history.requests.append(request)
        await self.exchange(
            request=request, connection=connection, due_us=due_us, is_repeatable=kind.is_repeatable
        )
        is_over = self._world.now_us() + 1 >= connection.reusable_until_us
        if (
            connection.is_open
            and connection.allows_reuse
            and client.keeps_connections
            and not is_over
        ):
            client.idle.append(
                (
                    connection,
                    node,
                    min(connection.reusable_until_us, request.done_us + CLIENT_IDLE_TIMEOUT_US),
                )
            )
        else:
            connection.close()
        return request

    def _new_request(
        self, *, client: Client, kind: KindShape, draft: RouteDraft, due_us: int, first: str
    ) -> Request:
        self._serial += 1
        attempt = f"{self._serial:08x}{self._rand.getrandbits(32):08x}"
        word = f"{self._rand.getrandbits(24):06x}"
        target = f"{draft.prefix}{word}"
        if self._rand.random() < 0.3:
            target += f"?q={word}&a=%2Fb"
        has_body = not kind.is_repeatable or self._rand.random() < 0.1
        return Request(
            attempt=attempt,
            first=first or attempt,
            kind=kind.name,
            zone=client.zone,
            host=draft.host,
            method="POST" if has_body else "GET",
            target=target,
            body=f"body {word}".encode() if has_body else b"",
            is_repeatable=kind.is_repeatable,
            is_late_route=draft.is_late,
        )

    async def _get_connection(
        self, *, client: Client, is_new: bool, tried: set[str], due_us: int
    ) -> tuple[Any, LoadBalancerNode | None]:
        now_us = self._world.now_us()
        while client.idle and not is_new:
            connection, node, until_us = client.idle.pop()
            if connection.is_usable() and now_us < until_us:
                return connection, node
            connection.close()
        node = self._load_balancer.pick(zone=client.zone, position=client.position, tried=tried)
        if node is None:
            return None, None
        connection = await client.process.ports.net.open_connection(
            address=node.front, deadline_us=min(due_us, now_us + CONNECT_TIMEOUT_US)
        )
        return connection, node

    async def exchange(
        self, *, request: Request, connection: HttpLine, due_us: int, is_repeatable: bool
    ) -> None:
        """Send one request over a connection and record the outcome that the client sees."""
        now_us = self._world.now_us()
        request.sent_us = request.whole_us = now_us
        request.is_kept = connection.requests > 0
        connection.on_unsolicited_reply = lambda reply: self._note_unsolicited(
            request=request, reply=reply
        )
        call = HttpCall(
            method=request.method,
            url=f"http://{connection.address}{request.target}",
            headers={
                "Host": request.host,
                "X-Attempt-Id": request.attempt,
                "X-Deadline-Ms": str(max(1, (due_us - now_us) // 1_000)),
                "X-Client-Word": f"w-{request.attempt}",
            },
            body=request.body,
            wait_us=max(1, due_us - now_us),
            connection_limit=1,
        )
        until_us = due_us
        if is_repeatable:
            unread_timeout_us = min(UNREAD_TIMEOUT_US, max(1, (due_us - now_us) // 3))
            self._world.at(
                us=now_us + unread_timeout_us,
                callback=lambda: self._time_out_unread(request=request, connection=connection),
            )
        if self.leaving and self._rand.random() < self.leaving:
            leave_us = now_us + int(LEAVE_DELAY_US[0] + self._rand.random() * LEAVE_DELAY_US[1])
            self._world.at(
                us=leave_us,
                callback=lambda: self._disconnect(request=request, connection=connection),
            )
        outcome = await connection.exchange(call=call, deadline_us=until_us)
        request.read_us = connection.read_us
        request.done_us = self._world.now_us()
        self._record_outcome(request=request, outcome=outcome)

    def _time_out_unread(self, *, request: Request, connection: HttpLine) -> None:
        if (
            request.done_us
            or connection.read_us
            or connection._future is None
            or connection._future.done()
        ):
            return
        connection._future.set_result(
            ReplyTimeoutError(address=connection.address, after_us=UNREAD_TIMEOUT_US)
        )

    def _disconnect(self, *, request: Request, connection: HttpLine) -> None:
        if request.done_us or connection._future is None or connection._future.done():
            return
        connection._future.set_result(
            ConnectionLostError(address=connection.address, why=CLIENT_DISCONNECTED)
        )

    def _note_unsolicited(self, *, request: Request, reply: HttpReply) -> None:
        if 200 <= reply.status < 300:
            request.is_stray = True

    def _record_outcome(self, *, request: Request, outcome: HttpReply | KelpstageError) -> None:
        if isinstance(outcome, HttpReply):
            headers = outcome.headers
            request.end, request.status, request.reply_body = (
                "answered",
                outcome.status,
                outcome.body,
            )
            request.seal = headers.get("x-answer-seal", "")
            request.reply_attempt = headers.get("x-attempt-id", "")
            seal_list = headers.get("x-part-seals", "")
            request.part_seals = (
                tuple(word.strip() for word in seal_list.split(",")) if seal_list else ()
            )
            missing = headers.get("x-missing-parts", "0")
            request.missing = int(missing) if missing.isdigit() else -1
            try:
                request.retry_after_us = int(float(headers.get("retry-after", "0")) * 1_000_000)
            except ValueError:
                request.retry_after_us = 0
            if headers.get("content-encoding"):
                request.is_garbled = True
            return
        if isinstance(outcome, ConnectionLostError):
            request.end = outcome.why
            request.is_garbled = outcome.why == GARBAGE
            return
        request.end = "unconnected" if isinstance(outcome, ConnectError) else "gave up"

    # --- requests to a chosen node --------------------------------------------------------

    async def send_to_node(
        self, *, node: LoadBalancerNode, draft: RouteDraft, kind: KindShape
    ) -> Request:
        """Send a request to one node; its outcome shows which configuration the node uses."""
        client = next(c for c in self._clients if c.zone == node.zone)
        due_us = self._world.now_us() + 1_000_000
        request = self._new_request(client=client, kind=kind, draft=draft, due_us=due_us, first="")
        request.is_direct, request.node, request.node_incarnation = (
            True,
            node.name,
            self._incarnation_of(node.name),
        )
        request.sent_us = self._world.now_us()
        request.deadline_us = 1_000_000
        connection = await client.process.ports.net.open_connection(
            address=node.front, deadline_us=due_us
        )
        if isinstance(connection, KelpstageError):
            request.end, request.done_us = "unconnected", self._world.now_us()
            return request
        self._history.requests.append(request)
        await self.exchange(
            request=request, connection=connection, due_us=due_us, is_repeatable=kind.is_repeatable
        )
        connection.close()
        return request
