"""Sends attempts to backends and reads their replies."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any, Callable

from kelpstage.common.errors.serving import CallerGoneError
from kelpstage.common.errors.transport import ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.edge.backend.reply import read_reply
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.messages import BackendReplied, QueryBackend
from kelpstage.edge.gather.observation import ReplyObserver
from kelpstage.edge.gather.request_state import SINGLE

MAX_SEND_LAG_US = 1_000  # a send this much later than its decision keeps its full wait


class BackendQueries:
    """Performs `QueryBackend`: makes one HTTP call and reports its outcome as `BackendReplied`."""

    def __init__(
        self,
        *,
        ports: Ports,
        sealed: SealedCodec,
        observer: ReplyObserver,
        on_reply: Callable[[BackendReplied], None],
    ) -> None:
        self._ports = ports
        self._sealed = sealed
        self._observer = observer
        self._on_reply = on_reply

    async def query(self, *, ask: QueryBackend) -> None:
        """Send an attempt and report its outcome to the gathering task as an event.

        Cancellation closes the connection; the outcome is then `CallerGoneError`.
        """
        record = ask.record
        sent_us = self._ports.clock.now_us()
        self._ports.failpoint("edge.before_backend_send")
        try:
            reply = await self._fetch(ask=ask, left_us=record.due_us - self._ports.clock.now_us())
        except asyncio.CancelledError:
            self._report(ask=ask, sent_us=sent_us, outcome=CallerGoneError())
            raise
        outcome: Any = reply
        if isinstance(reply, HttpReply):
            self._observer.note_draining(reply=reply, backend=ask.backend)
            outcome = self._read(reply=reply, ask=ask)
        self._ports.failpoint("edge.after_backend_reply")
        exchange_us = reply.exchange_us if isinstance(reply, HttpReply) else 0
        self._report(ask=ask, sent_us=sent_us, outcome=outcome, exchange_us=exchange_us)

    def _report(
        self, *, ask: QueryBackend, sent_us: int, outcome: Any, exchange_us: int = 0
    ) -> None:
        self._on_reply(
            BackendReplied(
                key=ask.record.key,
                generation=ask.generation,
                shard=ask.shard,
                number=ask.number,
                backend=ask.backend,
                sent_us=sent_us,
                outcome=outcome,
                route=ask.record.collection,
                exchange_us=exchange_us,
            )
        )

    async def _fetch(self, *, ask: QueryBackend, left_us: int) -> Any:
        """Send a request if time is left.

        The process may have been suspended between the decision and the send; a request sent
        after its deadline would run although no client waits for it.
        """
        if left_us <= 0:
            return ReplyTimeoutError(address=ask.address, after_us=ask.wait_us, was_sent=False)
        if left_us < ask.wait_us - MAX_SEND_LAG_US:
            ask = replace(ask, wait_us=left_us)
        call = backend_call(ask=ask) if ask.record.request is None else self._sealed.call(ask=ask)
        return await self._ports.net.fetch(call=call)

    def _read(self, *, reply: HttpReply, ask: QueryBackend) -> Any:
        record = ask.record
        if record.request is not None:
            names = {"backend": ask.backend, "request_id": record.request.request_id}
            if record.kind is SINGLE:
                return self._sealed.read_forwarded(reply=reply, **names)
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


def backend_call(*, ask: QueryBackend) -> HttpCall:
    """Return the call to a backend, with the query's bytes as the client sent them."""
    record = ask.record
    headers = {"Kelp-Cut": ask.cut, "Accept": "application/json"}
    base = f"http://{ask.address}/v1/shards/{ask.shard}"
    if record.kind is SINGLE:
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
