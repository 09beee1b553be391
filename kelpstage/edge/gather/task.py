"""The gathering task: owns the table, takes events, performs effects."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Callable

from tornado.queues import Queue

from kelpstage.common.errors import BadReply, ConnectRefused, Defect, LineLost, NotRun, WaitOver
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.messages import BranchMsg, Gather, Gathered
from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.registry import DRAINING, GONE
from kelpstage.edge.backend.reply import SealedPart, read_reply
from kelpstage.edge.events import Began, Ended
from kelpstage.edge.forward.request import ClientRequest, pack_headers, unpack_headers
from kelpstage.edge.forward.sealed_answer import SealedCodec, WholeReply
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import (
    Arrived,
    AskBackend,
    AskKid,
    BackendSaid,
    ClockEvent,
    ConfigurationMoved,
    KidReply,
    KidSaid,
    PartlySettled,
    Resumed,
    Settled,
    Verdict,
    WantState,
)
from kelpstage.edge.gather.request_state import CHILD, SINGLE, Gathering
from kelpstage.edge.gather.table import Table
from kelpstage.edge.gather.tree import Branch

STATE_HEADER = "kelp-state"
ANOTHER_INSTANCE = 421
LATE_US = 1_000  # what a send may lag behind its decision, unheeded


class GatherTask:
    """Runs the passes; everything that happens to a request comes by its queue."""

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Lines,
        world: World,
        on_want_state: Callable[[WantState], None],
        on_backend_news: Callable[[str], None],
        sealed: SealedCodec,
    ) -> None:
        self._ports = ports
        self._sealed = sealed
        self._lines = lines
        self.world = world
        self.table = Table()
        self.inbox: Queue = Queue()
        self._on_want_state = on_want_state
        self._on_backend_news = on_backend_news
        self._waiting: dict[int, asyncio.Future] = {}
        self._children: dict[tuple[str, int], int] = {}
        self._next_key = 0
        self._armed_us: int | None = None
        self._task = ports.keep(self._run())

    # --- for handlers --------------------------------------------------------------

    def next_key(self) -> int:
        self._next_key += 1
        return self._next_key

    async def settle(self, *, record: Gathering) -> Any:
        """Put a request into the table and wait for its outcome."""
        if record.kind == CHILD:
            self._children[(record.root, record.ask_id)] = record.key
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._waiting[record.key] = future
        self.inbox.put_nowait(Arrived(record=record))
        return await future

    async def resume(self, *, root: str, ask_id: int) -> Any:
        """Wait for what a child of this node left out, or `None` if it is gone."""
        key = self._children.get((root, ask_id))
        if key is None or key in self._waiting:
            return None
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        self.inbox.put_nowait(Resumed(key=key))
        return await future

    # --- the task ---------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._take(await self.inbox.get())
            while not self.inbox.empty():
                self._take(self.inbox.get_nowait())
            world = self.world
            world.now_us = self._ports.clock.now_us()
            self.table.wake_due(now_us=world.now_us)
            self.table.run(world=world)
            effects, world.effects = world.effects, []
            for effect in effects:
                self._perform(effect)
            self._arm()

    def _arm(self) -> None:
        wake_us = self.table.next_wake_us()
        if wake_us is None or self._armed_us is not None and self._armed_us <= wake_us:
            return
        self._armed_us = wake_us
        self._ports.clock.later(
            us=wake_us - self.world.now_us, verb=lambda: self._ring(armed_us=wake_us)
        )

    def _ring(self, *, armed_us: int) -> None:
        if self._armed_us == armed_us:
            self._armed_us = None
            self.inbox.put_nowait(ClockEvent())

    @singledispatchmethod
    def _take(self, event: Any) -> None:
        raise TypeError(type(event))

    @_take.register
    def _(self, event: Arrived) -> None:
        record = event.record
        self.table.put(record=record)
        self.world.trail.add(
            Began(
                search=record.search,
                part=record.kind,
                collection=record.collection,
                limit=record.limit,
                time_left_us=record.due_us - record.arrived_us,
            )
        )

    @_take.register
    def _(self, event: Resumed) -> None:
        record = self.table.records.get(event.key)
        if record is not None:
            record.is_resumed = True
            self.table.touch(key=event.key)

    @_take.register
    def _(self, event: ClockEvent) -> None:
        return

    @_take.register
    def _(self, event: ConfigurationMoved) -> None:
        self.table.touch_all()

    @_take.register
    def _(self, event: BackendSaid) -> None:
        self._learn_of_backend(said=event)
        self._to_record(key=event.key, said=event)

    @_take.register
    def _(self, event: KidSaid) -> None:
        self._learn_of_kid(said=event)
        self._to_record(key=event.key, said=event)

    def _to_record(self, *, key: int, said: Any) -> None:
        record = self.table.records.get(key)
        if record is not None:
            record.inbox.append(said)
            self.table.touch(key=key)

    # --- what replies tell beside their content ---------------------------------------------

    def _learn_of_backend(self, *, said: BackendSaid) -> None:
        world = self.world
        now_us = self._ports.clock.now_us()
        entry = world.book.entries.get(said.backend)
        if entry is not None:
            entry.in_flight = max(0, entry.in_flight - 1)
            if entry.is_life:
                self._learn_of_life(said=said, now_us=now_us)
                return
        outcome = said.outcome
        if isinstance(outcome, ConnectRefused):
            if world.book.observe(
                name=said.backend, state=GONE, why="connection refused", now_us=now_us
            ):
                self._on_backend_news(said.backend)
            return
        if isinstance(outcome, (WaitOver, LineLost)):
            if world.book.strike(name=said.backend, now_us=now_us):
                self._on_backend_news(said.backend)
            if isinstance(outcome, WaitOver):
                world.paces.saw(name=said.backend, took_us=now_us - said.sent_us, now_us=now_us)
            return
        world.book.heard_back(name=said.backend, now_us=now_us)
        if isinstance(outcome, BadReply):
            world.book.lied(name=said.backend, now_us=now_us)
            self._on_backend_news(said.backend)
        else:
            world.book.told_truth(name=said.backend)
        world.paces.saw(name=said.backend, took_us=now_us - said.sent_us, now_us=now_us)

    def _learn_of_life(self, *, said: BackendSaid, now_us: int) -> None:
        """What the outcome of a request shows of the life that it was sent to."""
        book, name, outcome = self.world.book, said.backend, said.outcome
        took_us = now_us - said.sent_us
        if (
            isinstance(outcome, SealedPart)
            or isinstance(outcome, WholeReply)
            and outcome.status < 500
        ):
            book.note_answer(name=name, took_us=took_us, now_us=now_us)
            self.world.paces.saw(name=name, took_us=took_us, now_us=now_us)
            return
        if isinstance(outcome, NotRun) and outcome.answer != ANOTHER_INSTANCE:
            book.note_full(name=name, now_us=now_us)
            return
        if isinstance(outcome, WaitOver) and not outcome.was_sent:
            return  # it waited here for a line
        why = failure_of(outcome=outcome)
        if isinstance(outcome, WaitOver):
            self.world.paces.saw(name=name, took_us=took_us, now_us=now_us)
        if book.note_failure(name=name, why=why, now_us=now_us, waited_us=took_us):
            self._on_backend_news(name)

    def _learn_of_kid(self, *, said: KidSaid) -> None:
        world = self.world
        now_us = self._ports.clock.now_us()
        if isinstance(said.outcome, Gathered):
            world.note_reply(name=said.node)
        if isinstance(said.outcome, Gathered) and not said.outcome.is_stale:
            world.paces.saw(name=f"node:{said.node}", took_us=now_us - said.sent_us, now_us=now_us)
            return
        if isinstance(said.outcome, (ConnectRefused, LineLost)):
            world.swim.suspect(name=said.node, now_us=now_us, why=said.outcome.kind)

    # --- effects ------------------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _(self, effect: Settled) -> None:
        self.world.trail.add(ended_event(record=effect.record))
        self._tell(key=effect.record.key, outcome=effect.record.outcome)
        self._children.pop((effect.record.root, effect.record.ask_id), None)

    @_perform.register
    def _(self, effect: PartlySettled) -> None:
        self._tell(key=effect.record.key, outcome=effect.outcome)

    def _tell(self, *, key: int, outcome: Any) -> None:
        future = self._waiting.pop(key, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    @_perform.register
    def _(self, effect: WantState) -> None:
        self._on_want_state(effect)

    @_perform.register
    def _(self, effect: AskBackend) -> None:
        self._ports.spawn(self._ask_backend(ask=effect))

    @_perform.register
    def _(self, effect: AskKid) -> None:
        self._ports.spawn(self._ask_kid(ask=effect))

    async def _ask_backend(self, *, ask: AskBackend) -> None:
        record = ask.record
        sent_us = self._ports.clock.now_us()
        self._ports.point("edge.before_backend_send")
        reply = await self._fetch(ask=ask, left_us=record.due_us - self._ports.clock.now_us())
        outcome: Any = reply
        if isinstance(reply, HttpReply):
            self._note_sign(reply=reply, backend=ask.backend)
            outcome = self._read(reply=reply, ask=ask)
        self._ports.point("edge.after_backend_reply")
        self.inbox.put_nowait(
            BackendSaid(
                key=record.key,
                generation=ask.generation,
                shard=ask.shard,
                number=ask.number,
                backend=ask.backend,
                sent_us=sent_us,
                outcome=outcome,
            )
        )

    async def _fetch(self, *, ask: AskBackend, left_us: int) -> Any:
        """Send a request, if it still has time: between the decision and the send the
        process may have been frozen, and what is sent then runs for nobody."""
        if left_us <= 0:
            return WaitOver(address=ask.address, after_us=ask.wait_us, was_sent=False)
        if left_us < ask.wait_us - LATE_US:
            ask = replace(ask, wait_us=left_us)
        call = backend_call(ask=ask) if ask.record.request is None else self._sealed.call(ask=ask)
        return await self._ports.net.fetch(call=call)

    def _read(self, *, reply: HttpReply, ask: AskBackend) -> Any:
        record = ask.record
        if record.request is not None:
            names = {"backend": ask.backend, "request_id": record.request.request_id}
            if record.kind == SINGLE:
                return self._sealed.read_whole(reply=reply, **names)
            return self._sealed.read_part(reply=reply, shard=ask.shard, **names)
        return read_reply(
            backend=ask.backend,
            reply=reply,
            shard=ask.shard,
            cut=ask.cut,
            order_by=record.configuration.collections[record.collection].order_by
            if record.configuration
            else "score",
        )

    def _note_sign(self, *, reply: HttpReply, backend: str) -> None:
        if reply.headers.get(STATE_HEADER) != "draining":
            return
        now_us = self._ports.clock.now_us()
        if self.world.book.observe(
            name=backend, state=DRAINING, why="sign in a reply", now_us=now_us
        ):
            self._on_backend_news(backend)

    async def _ask_kid(self, *, ask: AskKid) -> None:
        record = ask.record
        sent_us = self._ports.clock.now_us()
        kid = next(k for k in record.kids if k.slot == ask.slot)
        branch = kid.branch
        request = record.request
        forwarded: dict[str, Any] = {}
        if request is not None:
            forwarded = {
                "method": request.method,
                "target": request.target,
                "request_id": request.request_id,
                "headers": pack_headers(headers=request.headers),
                "attempts": kid.attempts,
                "is_far": self.world.is_far(name=ask.node),
                "aim_us": max(0, record.arrived_us + record.aim_us - sent_us),
            }
        message = Gather(
            root=self.world.me,
            query_id=ask.ask_id,
            collection=record.collection,
            version=record.version,
            has_limit=record.limit is not None,
            limit=record.limit or 0,
            query=record.query if request is None else request.body,
            content_type=record.content_type,
            branch=branch_message(branch=branch, addresses=record.addresses),
            wait_us=ask.wait_us,
            due_us=max(1_000, record.due_us - sent_us - self.world.reply_margin_us(name=ask.node)),
            is_resumed=ask.is_resumed,
            is_extra=any(record.is_sent_before(shard=s) for s in branch.all_shards()),
            cluster=self.world.keeper.cluster,
            search=record.search,
            **forwarded,
        )
        self._ports.point("edge.before_kid_send")
        outcome: Any = ConnectRefused(address="unknown")
        if ask.address:
            outcome = await self._lines.call(
                address=ask.address,
                message=message,
                wait_us=max(1_000, record.due_us - sent_us),
                lane=frames.GATHER,
            )
        if not isinstance(outcome, (Gathered, Defect)):
            outcome = LineLost(address=ask.address, why="another message came")
        self.inbox.put_nowait(
            KidSaid(
                key=record.key,
                generation=ask.generation,
                slot=ask.slot,
                node=ask.node,
                sent_us=sent_us,
                outcome=outcome,
            )
        )


def failure_of(*, outcome: Any) -> str:
    """How a failure counts as evidence.

    >>> failure_of(outcome=ConnectRefused(address="a"))
    'refused'
    """
    if isinstance(outcome, (ConnectRefused, NotRun)):
        return outlier_detection.REFUSED
    if isinstance(outcome, WaitOver):
        return outlier_detection.SILENT
    if isinstance(outcome, LineLost):
        return outlier_detection.RESET
    return outlier_detection.GARBLED if isinstance(outcome, BadReply) else outlier_detection.FAILED


def backend_call(*, ask: AskBackend) -> HttpCall:
    """The call to a backend; the query's bytes go as the caller gave them."""
    record = ask.record
    headers = {"Kelp-Cut": ask.cut, "Accept": "application/json"}
    base = f"http://{ask.address}/v1/shards/{ask.shard}"
    if record.kind == SINGLE:
        return HttpCall(
            method="GET",
            url=f"{base}/records/{record.record_name}",
            headers=headers,
            wait_us=ask.wait_us,
        )
    if record.content_type:
        headers["Content-Type"] = record.content_type
    return HttpCall(
        method="POST",
        url=f"{base}/search",
        headers=headers,
        body=record.query,
        wait_us=ask.wait_us,
    )


def branch_message(*, branch: Branch, addresses: dict[str, str]) -> BranchMsg:
    """A branch as it travels.

    >>> branch_message(branch=Branch(node="a", shards=("s",)), addresses={"a": "x"}).address
    'x'
    """
    return BranchMsg(
        node=branch.node,
        address=addresses.get(branch.node, ""),
        shards=list(branch.shards),
        children=[branch_message(branch=c, addresses=addresses) for c in branch.children],
    )


def read_branch(*, message: BranchMsg) -> tuple[Branch, dict[str, str]]:
    """The reverse of `branch_message`.

    >>> read_branch(message=BranchMsg(node="a", address="x", shards=["s"]))[1]
    {'a': 'x'}
    """
    addresses = {message.node: message.address}
    children = []
    for child in message.children:
        branch, inner = read_branch(message=child)
        children.append(branch)
        addresses |= inner
    return (
        Branch(node=message.node, shards=tuple(message.shards), children=tuple(children)),
        addresses,
    )


def child_record(*, key: int, ask: Gather, now_us: int) -> Gathering:
    """The record of a query that a root, or a node above, asks this node for."""
    branch, addresses = read_branch(message=ask.branch)
    forwarded: dict[str, Any] = {}
    if ask.target:
        forwarded = {
            "attempts": ask.attempts,
            "aim_us": ask.aim_us,
            "is_far": ask.is_far,
            "request": ClientRequest(
                method=ask.method,
                target=ask.target,
                request_id=ask.request_id,
                headers=unpack_headers(texts=ask.headers),
                body=ask.query,
            ),
        }
    return Gathering(
        **forwarded,
        key=key,
        kind=CHILD,
        collection=ask.collection,
        arrived_us=now_us,
        due_us=now_us + max(ask.wait_us, ask.due_us),
        omit_us=now_us + ask.wait_us,
        query=ask.query,
        content_type=ask.content_type,
        limit=ask.limit if ask.has_limit else None,
        root=ask.root,
        ask_id=ask.query_id,
        version=ask.version,
        branch=branch,
        addresses=addresses,
        is_extra=ask.is_extra,
        search=ask.search,
    )


def ended_event(*, record: Gathering) -> Ended:
    """How a search, or this node's part of one, came to its end.

    >>> record = Gathering(key=1, kind=SINGLE, collection="c", arrived_us=0, due_us=9, search="n-1")
    >>> record.outcome = ConnectRefused(address="a")
    >>> ended_event(record=record).outcome
    'connect_refused'
    """
    outcome, detail = record.outcome, ""
    shards = 1 if record.branch is None else len(record.branch.all_shards())
    if isinstance(outcome, Verdict):
        name = "complete" if outcome.coverage == 1 else "partial"
    elif isinstance(outcome, KidReply):
        name = "stale" if outcome.message.is_stale else "partial"
        if len(record.parts) == shards:
            name = "complete"
    else:
        name, detail = outcome.kind, str(outcome.as_json())
    return Ended(
        search=record.search,
        outcome=name,
        shards_in=len(record.parts),
        shards=shards,
        detail=detail,
    )


def reply_of(*, outcome: Any) -> Gathered:
    """What goes back to the node above."""
    if isinstance(outcome, KidReply):
        return outcome.message
    return Gathered(is_stale=True)
