"""The front address, readiness, and clients that connect, ask, and try again."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.history import LEFT, PROMISES, History, Request
from kelpstage.testbed.platform_model.net import GARBAGE, HttpLine, HttpProcess, PlatformWorld
from kelpstage.testbed.platform_model.shape import KindShape, Shape
from kelpstage.testbed.platform_model.traffic import RouteDraft

CONNECT_US = 1_000_000
UNREAD_US = 1_000_000
NEVER_AGAIN = frozenset((400, 401, 404, 413, 431))
MISSES = 2
ABUSIVE_TRIES = 4
CLIENT_IDLE_US = 8_000_000
LEAVE_US = (40_000, 200_000)  # the least, and the span above it, until a client leaves


@dataclass(kw_only=True)
class FrontNode:
    """A node as the platform sees it."""

    name: str
    zone: str
    front: str
    readiness: str
    share: float
    is_in: bool = False
    misses: int = MISSES
    was_ready: bool = False


class Front:
    """Asks each node whether it is ready and spreads new connections over those in."""

    def __init__(self, *, process: HttpProcess, shape: Shape) -> None:
        self.nodes: dict[str, FrontNode] = {}
        self._process = process
        self._zones = list(shape.zones)
        self._regions = shape.zones
        self.on_poll: Callable[[str, bool], None] = lambda name, is_ready: None

    def add(self, *, node: FrontNode) -> None:
        """Register a node and poll its readiness once a second until it is removed.

        It receives no connections before its first successful poll, unless fewer
        than half of its zone's nodes are ready.
        """
        self.nodes[node.name] = node
        self._process.spawn(self._poll(node=node))

    def remove(self, *, name: str) -> None:
        """Stop polling a node and sending it new connections."""
        self.nodes.pop(name, None)

    async def _poll(self, *, node: FrontNode) -> None:
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
                node.misses, node.is_in, node.was_ready = 0, True, True
                continue
            node.misses += 1
            if node.misses >= MISSES:
                node.is_in = False

    def candidates(self, *, zone: str) -> list[FrontNode]:
        """The nodes that take this zone's new connections."""

        def by_distance(other: str) -> tuple:
            return (other != zone, self._regions[other] != self._regions[zone], other)

        for place in sorted(self._zones, key=by_distance):
            mine = [node for node in self.nodes.values() if node.zone == place]
            ready = [node for node in mine if node.is_in]
            if ready:
                return ready if 2 * len(ready) >= len(mine) else mine
        return [node for node in self.nodes.values() if node.zone == zone]

    def pick(self, *, zone: str, place: float, tried: set[str]) -> FrontNode | None:
        """By a client's place in [0, 1); a further try reaches another node."""
        found = self.candidates(zone=zone)
        fresh = [node for node in found if node.name not in tried] or found
        total = sum(node.share for node in fresh)
        for node in fresh:
            place -= node.share / total
            if place < 0:
                return node
        return fresh[-1] if fresh else None


@dataclass(kw_only=True)
class Client:
    """A client that `keeps` connections or opens a new one for each request."""

    name: str
    zone: str
    place: float
    keeps: bool
    process: HttpProcess
    idle: list[tuple[HttpLine, FrontNode, int]] = field(default_factory=list)


@dataclass(kw_only=True)
class Owed:
    """What a kind of request earned of what it was owed."""

    asked: int = 0
    served: int = 0
    in_time: int = 0
    owed: float = 0.0
    earned: float = 0.0


class Clients:
    """All clients of a deployment."""

    def __init__(
        self,
        *,
        world: PlatformWorld,
        shape: Shape,
        history: History,
        front: Front,
        processes: dict[str, HttpProcess],
        rand: random.Random,
        rate: float,
        instance_of: Callable[[str], int],
    ) -> None:
        self._world = world
        self._shape = shape
        self._history = history
        self._front = front
        self._rand = rand
        self._rate = rate
        self._instance_of = instance_of
        self._serial = 0
        self.in_flight = 0
        self.is_open = True
        self.press = 1.0
        self.abuse = 0.0  # the share that tries again at once, and more often
        self.leaving = 0.0  # the share that closes its connection before the answer
        self.owed: dict[str, Owed] = {}
        self.drafts: Callable[[str], list[RouteDraft]] = lambda kind: []
        self._clients = [
            Client(
                name=f"c-{zone}-{number}",
                zone=zone,
                place=rand.random(),
                keeps=rand.random() < 0.5,
                process=processes[zone],
            )
            for zone in shape.zones
            for number in range(30)
        ]

    def start(self) -> None:
        """Begin open-loop arrivals of every kind of request."""
        for kind in self._shape.kinds:
            self._world.loop.create_task(self._run(kind=kind))

    async def _run(self, *, kind: KindShape) -> None:
        while self.is_open:
            pause_s = self._rand.expovariate(kind.per_s * self._rate * self.press)
            await asyncio.sleep(pause_s)
            if not self.is_open:
                return
            drafts = self.drafts(kind.name)
            if not drafts:
                continue
            # a third of the traffic goes to routes beyond the first
            draft = drafts[0] if self._rand.random() < 0.66 else self._rand.choice(drafts)
            client = self._rand.choice(self._clients)
            client.process.spawn(self.ask(client=client, kind=kind, draft=draft))

    async def drain(self) -> None:
        """Wait until nothing is in flight any more."""
        self.is_open = False
        for _ in range(400):
            if not self.in_flight:
                return
            await asyncio.sleep(0.05)

    # --- one request with its further tries ---------------------------------------------------

    async def ask(self, *, client: Client, kind: KindShape, draft: RouteDraft) -> None:
        """Send one request, with the retries that its kind allows, and settle its worth.

        The deadline is the shorter of the kind's and the route's, both from the first try.
        An abusive client retries `ABUSIVE_TRIES` times more, without a pause.
        """
        self.in_flight += 1
        started_us = self._world.now_us()
        due_us = started_us + min(kind.deadline_us, draft.deadline_ms * 1_000)
        tried: set[str] = set()
        first = ""
        row: Request | None = None
        is_abusive = self._rand.random() < self.abuse
        for number in range(1 + kind.further_tries + ABUSIVE_TRIES * is_abusive):
            row = await self._try(
                client=client,
                kind=kind,
                draft=draft,
                due_us=due_us,
                tried=tried,
                first=first,
                is_new=number > 0,
            )
            first = first or row.attempt
            if not self._may_try_again(row=row, kind=kind):
                break
            left_us = due_us - self._world.now_us()
            if left_us < 5_000:
                break
            pause_us = 0 if is_abusive else self._pause_us(row=row, left_us=left_us)
            await asyncio.sleep(pause_us / 1_000_000)
        self._settle(kind=kind, row=row, started_us=started_us)
        self.in_flight -= 1

    def _pause_us(self, *, row: Request, left_us: int) -> int:
        return min(row.retry_after_us, left_us // 3)

    def _settle(self, *, kind: KindShape, row: Request, started_us: int) -> None:
        if row.end == LEFT:
            return  # what a client gives up early is not owed
        owed = self.owed.setdefault(kind.name, Owed())
        owed.asked += 1
        owed.owed += kind.worth
        if not row.is_success:
            return
        owed.served += 1
        share = 1.0
        if row.part_seals:
            share = (len(row.part_seals) / (len(row.part_seals) + row.missing)) ** 2
        is_in_time = row.done_us - started_us <= kind.aim_us
        owed.in_time += is_in_time
        owed.earned += share * (kind.worth if is_in_time else kind.late_worth)

    @staticmethod
    def _may_try_again(*, row: Request, kind: KindShape) -> bool:
        if row.is_success or row.end == LEFT:
            return False
        if row.end == "answered" and row.status in NEVER_AGAIN:
            return False
        if kind.is_repeatable:
            return True
        if row.end == "answered":
            return row.status in PROMISES
        return row.end in ("unconnected", "closed", "reset") and not row.read_us

    async def _try(
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
        row = self._row(client=client, kind=kind, draft=draft, due_us=due_us, first=first)
        line, node = await self._line(
            client=client, is_new=is_new or not client.keeps, tried=tried, due_us=due_us
        )
        row.sent_us = self._world.now_us()
        row.deadline_us = max(0, due_us - row.sent_us)
        if node is not None:
            row.node, row.node_incarnation = node.name, self._instance_of(node.name)
            tried.add(node.name)
        if isinstance(line, KelpstageError) or line is None:
            row.end, row.done_us = "unconnected", row.sent_us
            return row
        self._history.requests.append(row)
        await self.exchange(row=row, line=line, due_us=due_us, is_repeatable=kind.is_repeatable)
        is_over = self._world.now_us() + 1 >= line.use_until_us
        if line.is_open and line.is_fit and client.keeps and not is_over:
            client.idle.append((line, node, min(line.use_until_us, row.done_us + CLIENT_IDLE_US)))
        else:
            line.close()
        return row

    def _row(
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

    async def _line(
        self, *, client: Client, is_new: bool, tried: set[str], due_us: int
    ) -> tuple[Any, FrontNode | None]:
        now_us = self._world.now_us()
        while client.idle and not is_new:
            line, node, until_us = client.idle.pop()
            if line.is_usable() and now_us < until_us:
                return line, node
            line.close()
        node = self._front.pick(zone=client.zone, place=client.place, tried=tried)
        if node is None:
            return None, None
        line = await client.process.ports.net.open_line(
            address=node.front, deadline_us=min(due_us, now_us + CONNECT_US)
        )
        return line, node

    async def exchange(
        self, *, row: Request, line: HttpLine, due_us: int, is_repeatable: bool
    ) -> None:
        """One request over a connection, as the client sees it."""
        now_us = self._world.now_us()
        row.sent_us = row.whole_us = now_us
        row.is_kept = line.requests > 0
        line.on_unasked = lambda reply: self._note_stray(row=row, reply=reply)
        call = HttpCall(
            method=row.method,
            url=f"http://{line.address}{row.target}",
            headers={
                "Host": row.host,
                "X-Attempt-Id": row.attempt,
                "X-Deadline-Ms": str(max(1, (due_us - now_us) // 1_000)),
                "X-Client-Word": f"w-{row.attempt}",
            },
            body=row.body,
            wait_us=max(1, due_us - now_us),
            connection_limit=1,
        )
        until_us = due_us
        if is_repeatable:
            unread_us = min(UNREAD_US, max(1, (due_us - now_us) // 3))
            self._world.at(
                us=now_us + unread_us, callback=lambda: self._give_up(row=row, line=line)
            )
        if self.leaving and self._rand.random() < self.leaving:
            leave_us = now_us + int(LEAVE_US[0] + self._rand.random() * LEAVE_US[1])
            self._world.at(us=leave_us, callback=lambda: self._leave(row=row, line=line))
        outcome = await line.exchange(call=call, deadline_us=until_us)
        row.read_us = line.read_us
        row.done_us = self._world.now_us()
        self._read(row=row, outcome=outcome)

    def _give_up(self, *, row: Request, line: HttpLine) -> None:
        if row.done_us or line.read_us or line._future is None or line._future.done():
            return
        line._future.set_result(ReplyTimeoutError(address=line.address, after_us=UNREAD_US))

    def _leave(self, *, row: Request, line: HttpLine) -> None:
        if row.done_us or line._future is None or line._future.done():
            return
        line._future.set_result(ConnectionLostError(address=line.address, why=LEFT))

    def _note_stray(self, *, row: Request, reply: HttpReply) -> None:
        if 200 <= reply.status < 300:
            row.is_stray = True

    def _read(self, *, row: Request, outcome: HttpReply | KelpstageError) -> None:
        if isinstance(outcome, HttpReply):
            headers = outcome.headers
            row.end, row.status, row.reply_body = "answered", outcome.status, outcome.body
            row.seal = headers.get("x-answer-seal", "")
            row.reply_attempt = headers.get("x-attempt-id", "")
            listed = headers.get("x-part-seals", "")
            row.part_seals = tuple(word.strip() for word in listed.split(",")) if listed else ()
            missing = headers.get("x-missing-parts", "0")
            row.missing = int(missing) if missing.isdigit() else -1
            try:
                row.retry_after_us = int(float(headers.get("retry-after", "0")) * 1_000_000)
            except ValueError:
                row.retry_after_us = 0
            if headers.get("content-encoding"):
                row.is_garbled = True
            return
        if isinstance(outcome, ConnectionLostError):
            row.end = outcome.why
            row.is_garbled = outcome.why == GARBAGE
            return
        row.end = "unconnected" if isinstance(outcome, ConnectError) else "gave up"

    # --- requests straight to a node ----------------------------------------------------------

    async def ask_node(self, *, node: FrontNode, draft: RouteDraft, kind: KindShape) -> Request:
        """A request that shows which configuration is in force on a node."""
        client = next(c for c in self._clients if c.zone == node.zone)
        due_us = self._world.now_us() + 1_000_000
        row = self._row(client=client, kind=kind, draft=draft, due_us=due_us, first="")
        row.is_direct, row.node, row.node_incarnation = (
            True,
            node.name,
            self._instance_of(node.name),
        )
        row.sent_us = self._world.now_us()
        row.deadline_us = 1_000_000
        line = await client.process.ports.net.open_line(address=node.front, deadline_us=due_us)
        if isinstance(line, KelpstageError):
            row.end, row.done_us = "unconnected", self._world.now_us()
            return row
        self._history.requests.append(row)
        await self.exchange(row=row, line=line, due_us=due_us, is_repeatable=kind.is_repeatable)
        line.close()
        return row
