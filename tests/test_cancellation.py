"""A client that leaves before its answer: attempts in flight are cancelled at every node of the
tree, and nothing more is sent. An at-most-once request continues to its end."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from kelpstage.common.errors.serving import CallerGoneError
from kelpstage.common.http.server import HttpServer
from kelpstage.common.ports.interfaces import HttpLimits, HttpReply
from kelpstage.common.transport.messages import Gather
from kelpstage.edge.gather.child_queries import ChildQueries
from kelpstage.edge.gather.request_state import (
    RECEIVED,
    ROOT,
    SINGLE,
    Attempt,
    Child,
    RequestState,
    ShardState,
)
from kelpstage.edge.gather.tree import Subtree
from kelpstage.edge.handlers import handle
from tests.async_case import AsyncCase, send_reset
from tests.test_at_most_once import GOOD, EdgeCase, RawBackend, RawClient
from tests.test_http import free_address, get, wait_until


async def silent(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
    """Read a request, never answer, and record when the connection ends."""
    await backend.request(reader)
    await reader.read()
    backend.arrivals.append("gone")


def leave_by_reset(raw: RawClient) -> None:
    send_reset(raw.writer)


def leave_by_closing(raw: RawClient) -> None:
    raw.close()


def leave_by_half_close(raw: RawClient) -> None:
    raw.writer.write_eof()


LEAVES = (leave_by_reset, leave_by_closing, leave_by_half_close)


class Repeatable(EdgeCase):
    is_repeatable = True

    async def test_attempts_are_cancelled_when_the_client_leaves(self) -> None:
        for leave in LEAVES:
            with self.subTest(leave.__name__):
                await self.stop_backends()
                first, second = await self.start(silent, GOOD)
                raw = await self.connect()
                raw.send(self.request("r"))
                await wait_until(lambda first=first: first.arrivals == ["r"])
                leave(raw)
                await wait_until(lambda first=first: first.arrivals == ["r", "gone"])
                await wait_until(lambda: not len(self.gather.table))
                await wait_until(lambda: not self.server.open_connections())
                self.assertEqual([], second.arrivals)
                self.assertEqual(0, self.context.registry.entries[first.name].in_flight)

    async def test_cancelled_attempt_does_not_change_the_backends_state(self) -> None:
        first, _ = await self.start(silent, GOOD)
        raw = await self.connect()
        raw.send(self.request("r"))
        await wait_until(lambda: first.arrivals == ["r"])
        entry = self.context.registry.entries[first.name]
        before = (entry.state, entry.why)
        raw.close()
        await wait_until(lambda: not len(self.gather.table))
        self.assertEqual(before, (entry.state, entry.why))

    async def test_pipelined_request_is_dropped_when_the_client_leaves(self) -> None:
        """The end of a connection drops the request in progress and the one behind it."""
        first, second = await self.start(silent, GOOD)
        raw = await self.connect()
        raw.send(self.request("a") + self.request("b"))
        await wait_until(lambda: first.arrivals == ["a"])
        raw.close()
        await wait_until(lambda: first.arrivals == ["a", "gone"])
        await wait_until(lambda: not self.server.open_connections())
        self.assertEqual([], second.arrivals)


class AtMostOnce(EdgeCase):
    async def test_at_most_once_attempt_is_not_cancelled(self) -> None:
        may_answer = asyncio.Event()

        async def slow(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            name = await backend.request(reader)
            await may_answer.wait()
            writer.write(f"HTTP/1.1 200 OK\r\nKelp-Request-Id: {name}\r\n".encode())
            writer.write(b"Kelp-Seal: a.1\r\nContent-Length: 0\r\n\r\n")
            backend.arrivals.append("answered")
            await reader.read()

        first, second = await self.start(slow, GOOD)
        raw = await self.connect()
        raw.send(self.request("r"))
        await wait_until(lambda: first.arrivals == ["r"])
        raw.close()
        await wait_until(lambda: not self.server.open_connections())
        self.assertEqual(1, len(self.gather.table))
        may_answer.set()
        await wait_until(lambda: not len(self.gather.table))
        self.assertEqual((["r", "answered"], []), (first.arrivals, second.arrivals))
        self.assertEqual((1, 1), self.client.connections_to(address=first.address))

    async def test_rejected_attempt_of_an_abandoned_request_is_not_retried(self) -> None:
        may_answer = asyncio.Event()

        async def rejects(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            name = await backend.request(reader)
            await may_answer.wait()
            writer.write(f"HTTP/1.1 503 X\r\nKelp-Request-Id: {name}\r\n".encode())
            writer.write(b"Kelp-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        first, second = await self.start(rejects, GOOD)
        raw = await self.connect()
        raw.send(self.request("r"))
        await wait_until(lambda: first.arrivals == ["r"])
        raw.close()
        await wait_until(lambda: not self.server.open_connections())
        may_answer.set()
        await wait_until(lambda: not len(self.gather.table))
        self.assertEqual([], second.arrivals)


class ServerCancellation(AsyncCase):
    async def serve(
        self, *, cancels_on_disconnect: bool
    ) -> tuple[HttpServer, RawClient, list[str]]:
        events: list[str] = []

        async def on_call(call: Any) -> HttpReply:
            events.append("began")
            try:
                await asyncio.Event().wait()
            finally:
                events.append("ended")
            return HttpReply(status=200)

        server = HttpServer(
            on_call=on_call, limits=HttpLimits, cancels_on_disconnect=cancels_on_disconnect
        )
        address = free_address()
        self.assertIsNone(await server.open(address=address))
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = RawClient(reader=reader, writer=writer)
        raw.send(get("/a"))
        await wait_until(lambda: events == ["began"])
        return server, raw, events

    async def test_handler_is_cancelled_only_by_a_cancelling_server(self) -> None:
        for cancels_on_disconnect in (True, False):
            with self.subTest(cancels_on_disconnect=cancels_on_disconnect):
                server, raw, events = await self.serve(cancels_on_disconnect=cancels_on_disconnect)
                send_reset(raw.writer)
                if cancels_on_disconnect:
                    await wait_until(lambda server=server: not server.open_connections())
                    self.assertEqual(["began", "ended"], events)
                else:
                    for _ in range(50):
                        await asyncio.sleep(0)
                    self.assertEqual((["began"], 1), (events, server.open_connections()))
                server.abort()
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()
                await asyncio.sleep(0)


class SubtreeCancellation(unittest.TestCase):
    """Which children are sent a cancellation, and what a cancelled child does."""

    def test_working_children_are_sent_a_cancellation(self) -> None:
        sent: list[tuple[str, Gather]] = []
        transport = SimpleNamespace(
            send=lambda *, address, message, channel: sent.append((address, message))
        )
        context = SimpleNamespace(me="root", lease_holder=SimpleNamespace(cluster="c"))
        queries = ChildQueries(ports=None, transport=transport, context=context, on_reply=print)
        record = RequestState(key=1, kind=ROOT, collection="c", arrived_us=0, due_us=9)
        record.addresses = {name: f"{name}:1" for name in ("waits", "open", "in", "unsent")}
        for number, (name, fields) in enumerate(
            {
                "waits": {"is_sent": True},
                "open": {"is_sent": True, "state": RECEIVED, "is_open": True},
                "in": {"is_sent": True, "state": RECEIVED},
                "unsent": {},
            }.items()
        ):
            subtree = Subtree(node=name, shards=("s",))
            record.children.append(
                Child(slot=number, subtree=subtree, query_id=10 + number, **fields)
            )
        queries.cancel(record=record)
        self.assertEqual(["waits:1", "open:1"], [address for address, _ in sent])
        self.assertEqual([10, 11], [message.query_id for _, message in sent])
        # An older version reads `is_resumed` alone and starts nothing for it.
        self.assertTrue(all(m.is_cancelled and m.is_resumed for _, m in sent))

    def test_cancelled_child_drops_its_part_and_starts_nothing(self) -> None:
        dropped: list[tuple[str, int]] = []
        gather = SimpleNamespace(cancel=lambda *, root, query_id: dropped.append((root, query_id)))
        message = Gather(root="root", query_id=7, is_resumed=True, is_cancelled=True)
        reply = asyncio.run(handle(message, SimpleNamespace(gather=gather), "a:1"))
        self.assertEqual(([], 0), (reply.parts, reply.version))
        self.assertEqual([("root", 7)], dropped)

    def test_only_an_open_at_most_once_attempt_keeps_an_abandoned_request(self) -> None:
        for is_repeatable, is_open, is_over in (
            (True, True, True),
            (True, False, True),
            (False, True, False),
            (False, False, True),
        ):
            attempt = Attempt(number=1, backend="b", sent_us=0, window_end_us=1, is_open=is_open)
            record = RequestState(
                key=1,
                kind=SINGLE,
                collection="c",
                arrived_us=0,
                due_us=9,
                is_repeatable=is_repeatable,
                is_abandoned=True,
                shard_states={"s": ShardState(shard="s", attempts=[attempt])},
            )
            self.assertEqual(is_over, record.is_droppable())

    def test_abandoned_request_has_its_own_error_kind(self) -> None:
        self.assertEqual("caller_gone", CallerGoneError().kind)


if __name__ == "__main__":
    unittest.main()
