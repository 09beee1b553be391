"""Sends queries for subtrees to the children in the gathering tree."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import Gather, Gathered
from kelpstage.edge.forward.request import pack_headers
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.conversion import subtree_message
from kelpstage.edge.gather.messages import ChildReplied, QueryChild
from kelpstage.edge.gather.request_state import WAITING, Child, RequestState

MIN_WAIT_US = 1_000


class ChildQueries:
    """Performs `QueryChild`: makes one call to a peer and reports its outcome as `ChildReplied`."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        context: GatherContext,
        on_reply: Callable[[ChildReplied], None],
    ) -> None:
        self._ports = ports
        self._transport = transport
        self._context = context
        self._on_reply = on_reply

    async def query(self, *, ask: QueryChild) -> None:
        """Query a child and report the outcome to the gathering task as an event."""
        sent_us = self._ports.clock.now_us()
        message = self._message(ask=ask, sent_us=sent_us)
        self._ports.failpoint("edge.before_kid_send")
        outcome = await self._call(ask=ask, message=message, sent_us=sent_us)
        self._on_reply(
            ChildReplied(
                key=ask.record.key,
                generation=ask.generation,
                slot=ask.slot,
                node=ask.node,
                sent_us=sent_us,
                outcome=outcome,
            )
        )

    def cancel(self, *, record: RequestState) -> None:
        """Send a cancellation to every child that still works for an abandoned request."""
        for child in record.children:
            address = record.addresses.get(child.subtree.node, "")
            is_at_work = child.is_sent and (child.state is WAITING or child.is_open)
            if is_at_work and address:
                message = Gather(
                    root=self._context.me,
                    query_id=child.query_id,
                    cluster=self._context.lease_holder.cluster,
                    is_resumed=True,
                    is_cancelled=True,
                )
                self._transport.send(address=address, message=message, channel=frames.GATHER)

    async def _call(self, *, ask: QueryChild, message: Gather, sent_us: int) -> Any:
        if not ask.address:
            return ConnectError(address="unknown")
        if not self._transport.is_connected(address=ask.address, channel=frames.GATHER):
            self._context.statistics.child_connections_opened += 1
        outcome = await self._transport.call(
            address=ask.address,
            message=message,
            wait_us=max(MIN_WAIT_US, ask.record.due_us - sent_us),
            channel=frames.GATHER,
        )
        if isinstance(outcome, (Gathered, KelpstageError)):
            return outcome
        return ConnectionLostError(address=ask.address, why="unexpected message type")

    def _message(self, *, ask: QueryChild, sent_us: int) -> Gather:
        record, context = ask.record, self._context
        child = next(one for one in record.children if one.slot == ask.slot)
        subtree = child.subtree
        margin_us = context.reply_margin_us(name=ask.node)
        connect_us = self._connect_us(ask=ask)
        return Gather(
            root=context.me,
            query_id=ask.query_id,
            collection=record.collection,
            version=record.version,
            has_limit=record.limit is not None,
            limit=record.limit or 0,
            query=record.query if record.request is None else record.request.body,
            content_type=record.content_type,
            subtree=subtree_message(subtree=subtree, addresses=record.addresses),
            wait_us=max(MIN_WAIT_US, ask.wait_us - connect_us),
            due_us=max(MIN_WAIT_US, record.due_us - sent_us - margin_us - connect_us),
            is_resumed=ask.is_resumed,
            is_extra=any(record.was_sent_before(shard=s) for s in subtree.all_shards()),
            cluster=context.lease_holder.cluster,
            search=record.search,
            **self._forwarded_fields(ask=ask, child=child, sent_us=sent_us),
        )

    def _connect_us(self, *, ask: QueryChild) -> int:
        """Return the time until a query leaves: a round trip if a connection has to be opened."""
        if self._transport.is_connected(address=ask.address, channel=frames.GATHER):
            return 0
        return self._context.round_trip_us(name=ask.node)

    def _forwarded_fields(self, *, ask: QueryChild, child: Child, sent_us: int) -> dict[str, Any]:
        """Return the fields of a forwarded request; empty for a search in the edge's own API."""
        record, request = ask.record, ask.record.request
        if request is None:
            return {}
        return {
            "method": request.method,
            "target": request.target,
            "request_id": request.request_id,
            "headers": pack_headers(headers=request.headers),
            "attempts": child.attempts,
            "is_far": self._context.is_far(name=ask.node),
            "aim_us": max(0, record.arrived_us + record.aim_us - sent_us),
        }
