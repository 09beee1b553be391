"""The gathering task: owns the table, takes events, performs effects."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Callable

from tornado.queues import Queue

from kelpstage.common.errors.backends import InvalidReplyError, RequestNotRunError
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.messages import Gather, Gathered, SubtreeMsg
from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.reply import SealedPart, read_reply
from kelpstage.edge.events import Began, Ended
from kelpstage.edge.forward.request import ClientRequest, pack_headers, unpack_headers
from kelpstage.edge.forward.sealed_answer import SealedCodec, WholeReply
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import (
    Arrived,
    BackendReplied,
    ChildReplied,
    ChildReply,
    ClockEvent,
    ConfigurationMoved,
    PartlySettled,
    QueryBackend,
    QueryChild,
    Resumed,
    Settled,
    Verdict,
    WantState,
)
from kelpstage.edge.gather.request_state import CHILD, SINGLE, Gathering
from kelpstage.edge.gather.table import Table
from kelpstage.edge.gather.tree import Subtree

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
        self.world.trace.add(
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
    def _(self, event: BackendReplied) -> None:
        self._learn_of_backend(said=event)
        self._to_record(key=event.key, said=event)

    @_take.register
    def _(self, event: ChildReplied) -> None:
        self._learn_of_child(said=event)
        self._to_record(key=event.key, said=event)

    def _to_record(self, *, key: int, said: Any) -> None:
        record = self.table.records.get(key)
        if record is not None:
            record.inbox.append(said)
            self.table.touch(key=key)

    # --- what replies tell beside their content ---------------------------------------------

    def _learn_of_backend(self, *, said: BackendReplied) -> None:
        world = self.world
        now_us = self._ports.clock.now_us()
        entry = world.registry.entries.get(said.backend)
        if entry is not None:
            entry.in_flight = max(0, entry.in_flight - 1)
            if entry.is_discovered:
                self._learn_of_instance(said=said, now_us=now_us)
                return
        outcome = said.outcome
        if isinstance(outcome, ConnectError):
            if world.registry.observe(
                name=said.backend, state=GONE, why="connection refused", now_us=now_us
            ):
                self._on_backend_news(said.backend)
            return
        if isinstance(outcome, (ReplyTimeoutError, ConnectionLostError)):
            if world.registry.strike(name=said.backend, now_us=now_us):
                self._on_backend_news(said.backend)
            if isinstance(outcome, ReplyTimeoutError):
                world.latencies.saw(name=said.backend, took_us=now_us - said.sent_us, now_us=now_us)
            return
        world.registry.heard_back(name=said.backend, now_us=now_us)
        if isinstance(outcome, InvalidReplyError):
            world.registry.lied(name=said.backend, now_us=now_us)
            self._on_backend_news(said.backend)
        else:
            world.registry.told_truth(name=said.backend)
        world.latencies.saw(name=said.backend, took_us=now_us - said.sent_us, now_us=now_us)

    def _learn_of_instance(self, *, said: BackendReplied, now_us: int) -> None:
        """What the outcome of a request shows of the life that it was sent to."""
        registry, name, outcome = self.world.registry, said.backend, said.outcome
        took_us = now_us - said.sent_us
        if (
            isinstance(outcome, SealedPart)
            or isinstance(outcome, WholeReply)
            and outcome.status < 500
        ):
            registry.note_answer(name=name, took_us=took_us, now_us=now_us)
            self.world.latencies.saw(name=name, took_us=took_us, now_us=now_us)
            return
        if isinstance(outcome, RequestNotRunError) and outcome.answer != ANOTHER_INSTANCE:
            registry.note_full(name=name, now_us=now_us)
            return
        if isinstance(outcome, ReplyTimeoutError) and not outcome.was_sent:
            return  # it waited here for a line
        why = failure_of(outcome=outcome)
        if isinstance(outcome, ReplyTimeoutError):
            self.world.latencies.saw(name=name, took_us=took_us, now_us=now_us)
        if registry.note_failure(name=name, why=why, now_us=now_us, waited_us=took_us):
            self._on_backend_news(name)

    def _learn_of_child(self, *, said: ChildReplied) -> None:
        world = self.world
        now_us = self._ports.clock.now_us()
        if isinstance(said.outcome, Gathered):
            world.note_reply(name=said.node)
        if isinstance(said.outcome, Gathered) and not said.outcome.is_stale:
            world.latencies.saw(
                name=f"node:{said.node}", took_us=now_us - said.sent_us, now_us=now_us
            )
            return
        if isinstance(said.outcome, (ConnectError, ConnectionLostError)):
            world.swim.suspect(name=said.node, now_us=now_us, why=said.outcome.kind)

    # --- effects ------------------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _(self, effect: Settled) -> None:
        self.world.trace.add(ended_event(record=effect.record))
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
    def _(self, effect: QueryBackend) -> None:
        self._ports.spawn(self._ask_backend(ask=effect))

    @_perform.register
    def _(self, effect: QueryChild) -> None:
        self._ports.spawn(self._ask_child(ask=effect))

    async def _ask_backend(self, *, ask: QueryBackend) -> None:
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
            BackendReplied(
                key=record.key,
                generation=ask.generation,
                shard=ask.shard,
                number=ask.number,
                backend=ask.backend,
                sent_us=sent_us,
                outcome=outcome,
            )
        )

    async def _fetch(self, *, ask: QueryBackend, left_us: int) -> Any:
        """Send a request, if it still has time: between the decision and the send the
        process may have been frozen, and what is sent then runs for nobody."""
        if left_us <= 0:
            return ReplyTimeoutError(address=ask.address, after_us=ask.wait_us, was_sent=False)
        if left_us < ask.wait_us - LATE_US:
            ask = replace(ask, wait_us=left_us)
        call = backend_call(ask=ask) if ask.record.request is None else self._sealed.call(ask=ask)
        return await self._ports.net.fetch(call=call)

    def _read(self, *, reply: HttpReply, ask: QueryBackend) -> Any:
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
        if self.world.registry.observe(
            name=backend, state=DRAINING, why="sign in a reply", now_us=now_us
        ):
            self._on_backend_news(backend)

    async def _ask_child(self, *, ask: QueryChild) -> None:
        record = ask.record
        sent_us = self._ports.clock.now_us()
        child = next(k for k in record.children if k.slot == ask.slot)
        subtree = child.subtree
        request = record.request
        forwarded: dict[str, Any] = {}
        if request is not None:
            forwarded = {
                "method": request.method,
                "target": request.target,
                "request_id": request.request_id,
                "headers": pack_headers(headers=request.headers),
                "attempts": child.attempts,
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
            subtree=subtree_message(subtree=subtree, addresses=record.addresses),
            wait_us=ask.wait_us,
            due_us=max(1_000, record.due_us - sent_us - self.world.reply_margin_us(name=ask.node)),
            is_resumed=ask.is_resumed,
            is_extra=any(record.is_sent_before(shard=s) for s in subtree.all_shards()),
            cluster=self.world.lease_holder.cluster,
            search=record.search,
            **forwarded,
        )
        self._ports.point("edge.before_kid_send")
        outcome: Any = ConnectError(address="unknown")
        if ask.address:
            outcome = await self._lines.call(
                address=ask.address,
                message=message,
                wait_us=max(1_000, record.due_us - sent_us),
                lane=frames.GATHER,
            )
        if not isinstance(outcome, (Gathered, KelpstageError)):
            outcome = ConnectionLostError(address=ask.address, why="another message came")
        self.inbox.put_nowait(
            ChildReplied(
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

    >>> failure_of(outcome=ConnectError(address="a"))
    'refused'
    """
    if isinstance(outcome, (ConnectError, RequestNotRunError)):
        return outlier_detection.REFUSED
    if isinstance(outcome, ReplyTimeoutError):
        return outlier_detection.SILENT
    if isinstance(outcome, ConnectionLostError):
        return outlier_detection.RESET
    return (
        outlier_detection.GARBLED
        if isinstance(outcome, InvalidReplyError)
        else outlier_detection.FAILED
    )


def backend_call(*, ask: QueryBackend) -> HttpCall:
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


def subtree_message(*, subtree: Subtree, addresses: dict[str, str]) -> SubtreeMsg:
    """A branch as it travels.

    >>> subtree_message(subtree=Subtree(node="a", shards=("s",)), addresses={"a": "x"}).address
    'x'
    """
    return SubtreeMsg(
        node=subtree.node,
        address=addresses.get(subtree.node, ""),
        shards=list(subtree.shards),
        children=[subtree_message(subtree=c, addresses=addresses) for c in subtree.children],
    )


def read_subtree(*, message: SubtreeMsg) -> tuple[Subtree, dict[str, str]]:
    """The reverse of `subtree_message`.

    >>> read_subtree(message=SubtreeMsg(node="a", address="x", shards=["s"]))[1]
    {'a': 'x'}
    """
    addresses = {message.node: message.address}
    children = []
    for child in message.children:
        subtree, inner = read_subtree(message=child)
        children.append(subtree)
        addresses |= inner
    return (
        Subtree(node=message.node, shards=tuple(message.shards), children=tuple(children)),
        addresses,
    )


def child_record(*, key: int, ask: Gather, now_us: int) -> Gathering:
    """The record of a query that a root, or a node above, asks this node for."""
    subtree, addresses = read_subtree(message=ask.subtree)
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
        subtree=subtree,
        addresses=addresses,
        is_extra=ask.is_extra,
        search=ask.search,
    )


def ended_event(*, record: Gathering) -> Ended:
    """How a search, or this node's part of one, came to its end.

    >>> record = Gathering(key=1, kind=SINGLE, collection="c", arrived_us=0, due_us=9, search="n-1")
    >>> record.outcome = ConnectError(address="a")
    >>> ended_event(record=record).outcome
    'connect_refused'
    """
    outcome, detail = record.outcome, ""
    shards = 1 if record.subtree is None else len(record.subtree.all_shards())
    if isinstance(outcome, Verdict):
        name = "complete" if outcome.coverage == 1 else "partial"
    elif isinstance(outcome, ChildReply):
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
    if isinstance(outcome, ChildReply):
        return outcome.message
    return Gathered(is_stale=True)
