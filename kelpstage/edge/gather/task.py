"""The gathering task: owns the table, takes events, performs effects."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import Any, Callable, Coroutine

from tornado.queues import Queue

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.edge.events import Began
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.backend_queries import BackendQueries
from kelpstage.edge.gather.child_queries import ChildQueries
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.conversion import ended_event
from kelpstage.edge.gather.messages import (
    Arrived,
    BackendReplied,
    CallerGone,
    ChildReplied,
    ConfigurationMoved,
    PartlySettled,
    QueryBackend,
    QueryChild,
    Resumed,
    Settled,
    TimerFired,
    WantState,
)
from kelpstage.edge.gather.observation import ReplyObserver
from kelpstage.edge.gather.request_state import CHILD, RequestState
from kelpstage.edge.gather.table import Table


class GatherTask:
    """Runs the stages; everything that happens to a request comes by its queue."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        context: GatherContext,
        on_want_state: Callable[[WantState], None],
        on_backend_changed: Callable[[str], None],
        sealed: SealedCodec,
    ) -> None:
        self._ports = ports
        self.context = context
        self.table = Table()
        self.inbox: Queue[Any] = Queue()
        self._observer = ReplyObserver(
            ports=ports, context=context, on_backend_changed=on_backend_changed
        )
        self._backend_queries = BackendQueries(
            ports=ports, sealed=sealed, observer=self._observer, on_reply=self.inbox.put_nowait
        )
        self._child_queries = ChildQueries(
            ports=ports, transport=transport, context=context, on_reply=self.inbox.put_nowait
        )
        self._on_want_state = on_want_state
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._children: dict[tuple[str, int], int] = {}
        self._queries: dict[int, list[Any]] = {}  # tasks that were started for each request
        self._next_key = 0
        self._timer_us: int | None = None
        self._task = ports.keep(self._run())

    # --- for handlers --------------------------------------------------------------

    def next_key(self) -> int:
        """A key that no request of this node has had."""
        self._next_key += 1
        return self._next_key

    async def settle(self, *, record: RequestState) -> Any:
        """Put a request into the table and wait for its outcome.

        Cancelled, it drops the request; `CallerGone` says what becomes of its sends.
        """
        if record.kind is CHILD:
            self._children[(record.root, record.ask_id)] = record.key
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[record.key] = future
        self.inbox.put_nowait(Arrived(record=record))
        try:
            return await future
        except asyncio.CancelledError:
            self.inbox.put_nowait(CallerGone(key=record.key))
            raise

    def cancel(self, *, root: str, ask_id: int) -> None:
        """Drop a child of this node whose parent no longer waits for it."""
        key = self._children.get((root, ask_id))
        if key is not None:
            self.inbox.put_nowait(CallerGone(key=key))

    async def resume(self, *, root: str, ask_id: int) -> Any:
        """Wait for what a child of this node left out, or `None` if it is gone."""
        key = self._children.get((root, ask_id))
        if key is None or key in self._waiting:
            return None
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        self.inbox.put_nowait(Resumed(key=key))
        return await future

    # --- the task ---------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._take(await self.inbox.get())
            while not self.inbox.empty():
                self._take(self.inbox.get_nowait())
            context = self.context
            context.now_us = self._ports.clock.now_us()
            self.table.wake_due(now_us=context.now_us)
            self.table.run(context=context)
            effects, context.effects = context.effects, []
            for effect in effects:
                self._perform(effect)
            self._set_timer()

    def _set_timer(self) -> None:
        wake_us = self.table.next_wake_us()
        if wake_us is None or self._timer_us is not None and self._timer_us <= wake_us:
            return
        self._timer_us = wake_us
        self._ports.clock.later(
            us=wake_us - self.context.now_us, callback=lambda: self._on_timer(timer_us=wake_us)
        )

    def _on_timer(self, *, timer_us: int) -> None:
        if self._timer_us == timer_us:
            self._timer_us = None
            self.inbox.put_nowait(TimerFired())

    @singledispatchmethod
    def _take(self, event: Any) -> None:
        raise TypeError(type(event))

    @_take.register
    def _take_arrived(self, event: Arrived) -> None:
        record = event.record
        self.table.put(record=record)
        self.context.trace.add(
            Began(
                search=record.search,
                part=record.kind,
                collection=record.collection,
                limit=record.limit,
                time_left_us=record.due_us - record.arrived_us,
            )
        )

    @_take.register
    def _take_resumed(self, event: Resumed) -> None:
        record = self.table.records.get(event.key)
        if record is not None:
            record.is_resumed = True
            self.table.touch(key=event.key)

    @_take.register
    def _take_caller_gone(self, event: CallerGone) -> None:
        record = self.table.records.get(event.key)
        if record is not None:
            record.is_abandoned = True
            self.table.touch(key=event.key)

    @_take.register
    def _take_timer_fired(self, event: TimerFired) -> None:
        return

    @_take.register
    def _take_configuration_moved(self, event: ConfigurationMoved) -> None:
        self.table.touch_all()

    @_take.register
    def _take_backend_replied(self, event: BackendReplied) -> None:
        self._observer.on_backend_reply(event=event)
        self._to_record(key=event.key, event=event)

    @_take.register
    def _take_child_replied(self, event: ChildReplied) -> None:
        self._observer.on_child_reply(event=event)
        self._to_record(key=event.key, event=event)

    def _to_record(self, *, key: int, event: Any) -> None:
        record = self.table.records.get(key)
        if record is not None:
            record.inbox.append(event)
            self.table.touch(key=key)

    # --- effects ------------------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _perform_settled(self, effect: Settled) -> None:
        self.context.trace.add(ended_event(record=effect.record))
        self.context.statistics.note_settled(record=effect.record, now_us=self.context.now_us)
        self._resolve(key=effect.record.key, outcome=effect.record.outcome)
        self._children.pop((effect.record.root, effect.record.ask_id), None)
        queries = self._queries.pop(effect.record.key, ())
        if effect.record.is_abandoned:
            self._child_queries.cancel(record=effect.record)
            for query in queries:
                query.cancel()

    @_perform.register
    def _perform_partly_settled(self, effect: PartlySettled) -> None:
        self._resolve(key=effect.record.key, outcome=effect.outcome)

    def _resolve(self, *, key: int, outcome: Any) -> None:
        future = self._waiting.pop(key, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    @_perform.register
    def _perform_want_state(self, effect: WantState) -> None:
        self._on_want_state(effect)

    @_perform.register
    def _perform_query_backend(self, effect: QueryBackend) -> None:
        self._start(key=effect.record.key, query=self._backend_queries.query(ask=effect))

    @_perform.register
    def _perform_query_child(self, effect: QueryChild) -> None:
        self._start(key=effect.record.key, query=self._child_queries.query(ask=effect))

    def _start(self, *, key: int, query: Coroutine[Any, Any, None]) -> None:
        self._queries.setdefault(key, []).append(self._ports.spawn(query))
