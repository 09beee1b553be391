"""The gathering task: owns the table, handles events and performs effects."""

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
    BackendReplied,
    CallerGone,
    ChildReplied,
    ConfigurationChanged,
    FetchConfiguration,
    PartialReplyReady,
    QueryBackend,
    QueryChild,
    RequestArrived,
    RequestSettled,
    ResumeRequested,
    TimerFired,
)
from kelpstage.edge.gather.observation import ReplyObserver
from kelpstage.edge.gather.request_state import CHILD, RequestState
from kelpstage.edge.gather.table import RequestTable


class GatherTask:
    """Runs the stages; every event of a request passes through its queue."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        context: GatherContext,
        on_fetch_configuration: Callable[[FetchConfiguration], None],
        on_backend_changed: Callable[[str], None],
        sealed: SealedCodec,
    ) -> None:
        self._ports = ports
        self.context = context
        self.table = RequestTable()
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
        self._on_fetch_configuration = on_fetch_configuration
        self._futures: dict[int, asyncio.Future[Any]] = {}
        self._child_keys: dict[tuple[str, int], int] = {}
        self._queries: dict[int, list[Any]] = {}  # by request: the tasks started for it
        self._next_key = 0
        self._timer_us: int | None = None
        self._task = ports.spawn_critical(self._run())

    # --- interface for handlers ---------------------------------------------------

    def next_key(self) -> int:
        """Return a key that no other request of this node has."""
        self._next_key += 1
        return self._next_key

    async def settle(self, *, record: RequestState) -> Any:
        """Add a request to the table and wait for its outcome.

        Cancellation abandons the request; `CallerGone` describes what happens to its attempts.
        """
        if record.kind is CHILD:
            self._child_keys[(record.root, record.query_id)] = record.key
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[record.key] = future
        self.inbox.put_nowait(RequestArrived(record=record))
        try:
            return await future
        except asyncio.CancelledError:
            self.inbox.put_nowait(CallerGone(key=record.key))
            raise

    def cancel(self, *, root: str, query_id: int) -> None:
        """Abandon a subtree query whose parent no longer waits for it."""
        key = self._child_keys.get((root, query_id))
        if key is not None:
            self.inbox.put_nowait(CallerGone(key=key))

    async def resume(self, *, root: str, query_id: int) -> Any:
        """Wait for the rest of a partly answered subtree query; `None` if it no longer exists."""
        key = self._child_keys.get((root, query_id))
        if key is None or key in self._futures:
            return None
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[key] = future
        self.inbox.put_nowait(ResumeRequested(key=key))
        return await future

    # --- the task ---------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._handle(await self.inbox.get())
            while not self.inbox.empty():
                self._handle(self.inbox.get_nowait())
            context = self.context
            context.now_us = self._ports.clock.now_us()
            self.table.touch_due(now_us=context.now_us)
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
        self._ports.clock.call_later(
            us=wake_us - self.context.now_us, callback=lambda: self._on_timer(timer_us=wake_us)
        )

    def _on_timer(self, *, timer_us: int) -> None:
        if self._timer_us == timer_us:
            self._timer_us = None
            self.inbox.put_nowait(TimerFired())

    @singledispatchmethod
    def _handle(self, event: Any) -> None:
        raise TypeError(type(event))

    @_handle.register
    def _handle_request_arrived(self, event: RequestArrived) -> None:
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

    @_handle.register
    def _handle_resume_requested(self, event: ResumeRequested) -> None:
        record = self.table.records.get(event.key)
        if record is not None:
            record.is_resumed = True
            self.table.touch(key=event.key)

    @_handle.register
    def _handle_caller_gone(self, event: CallerGone) -> None:
        record = self.table.records.get(event.key)
        if record is not None:
            record.is_abandoned = True
            self.table.touch(key=event.key)

    @_handle.register
    def _handle_timer_fired(self, event: TimerFired) -> None:
        return

    @_handle.register
    def _handle_configuration_changed(self, event: ConfigurationChanged) -> None:
        self.table.touch_all()

    @_handle.register
    def _handle_backend_replied(self, event: BackendReplied) -> None:
        self._observer.on_backend_reply(event=event)
        self._deliver(key=event.key, event=event)

    @_handle.register
    def _handle_child_replied(self, event: ChildReplied) -> None:
        self._observer.on_child_reply(event=event)
        if event.key not in self.table.records:
            self.context.statistics.unused_child_replies += 1
        self._deliver(key=event.key, event=event)

    def _deliver(self, *, key: int, event: Any) -> None:
        record = self.table.records.get(key)
        if record is not None:
            record.inbox.append(event)
            self.table.touch(key=key)

    # --- effects ------------------------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise TypeError(type(effect))

    @_perform.register
    def _perform_request_settled(self, effect: RequestSettled) -> None:
        self.context.trace.add(ended_event(record=effect.record))
        self.context.statistics.note_settled(record=effect.record, now_us=self.context.now_us)
        self._resolve(key=effect.record.key, outcome=effect.record.outcome)
        self._child_keys.pop((effect.record.root, effect.record.query_id), None)
        queries = self._queries.pop(effect.record.key, ())
        if effect.record.is_abandoned:
            self._child_queries.cancel(record=effect.record)
            for query in queries:
                query.cancel()

    @_perform.register
    def _perform_partial_reply_ready(self, effect: PartialReplyReady) -> None:
        self._resolve(key=effect.record.key, outcome=effect.outcome)

    def _resolve(self, *, key: int, outcome: Any) -> None:
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    @_perform.register
    def _perform_fetch_configuration(self, effect: FetchConfiguration) -> None:
        self._on_fetch_configuration(effect)

    @_perform.register
    def _perform_query_backend(self, effect: QueryBackend) -> None:
        self._start_query(key=effect.record.key, query=self._backend_queries.query(ask=effect))

    @_perform.register
    def _perform_query_child(self, effect: QueryChild) -> None:
        self._start_query(key=effect.record.key, query=self._child_queries.query(ask=effect))

    def _start_query(self, *, key: int, query: Coroutine[Any, Any, None]) -> None:
        self._queries.setdefault(key, []).append(self._ports.spawn(query))
