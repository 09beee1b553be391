"""A caller that leaves before its answer: what is on its way for it is dropped, at every
node of the tree, and nothing more is sent. A request that may run once goes on to its end."""

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
from tests.async_case import AsyncCase, reset
from tests.test_at_most_once import GOOD, EdgeCase, Raw, RawBackend
from tests.test_http import free_address, get, until


async def silent(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
    """Take a request, never answer, and note when the connection ends."""
    await backend.request(reader)
    await reader.read()
    backend.arrivals.append("gone")


def leave_by_reset(raw: Raw) -> None:
    reset(raw.writer)


def leave_by_closing(raw: Raw) -> None:
    raw.close()


def leave_by_ending_its_side(raw: Raw) -> None:
    raw.writer.write_eof()


LEAVES = (leave_by_reset, leave_by_closing, leave_by_ending_its_side)


class Repeatable(EdgeCase):
    is_repeatable = True

    async def test_a_caller_that_leaves_takes_its_attempts_along(self) -> None:
        for leave in LEAVES:
            with self.subTest(leave.__name__):
                await self.stop_backends()
                first, second = await self.start(silent, GOOD)
                raw = await self.connect()
                raw.send(self.request("r"))
                await until(lambda first=first: first.arrivals == ["r"])
                leave(raw)
                await until(lambda first=first: first.arrivals == ["r", "gone"])
                await until(lambda: not len(self.gather.table))
                await until(lambda: not self.server.open_connections())
                self.assertEqual([], second.arrivals)
                self.assertEqual(0, self.context.registry.entries[first.name].in_flight)

    async def test_what_was_cancelled_is_no_evidence_against_the_backend(self) -> None:
        first, _ = await self.start(silent, GOOD)
        raw = await self.connect()
        raw.send(self.request("r"))
        await until(lambda: first.arrivals == ["r"])
        entry = self.context.registry.entries[first.name]
        before = (entry.state, entry.why)
        raw.close()
        await until(lambda: not len(self.gather.table))
        self.assertEqual(before, (entry.state, entry.why))

    async def test_a_request_that_waits_for_its_turn_is_dropped(self) -> None:
        """Two requests on one connection: its end drops the one in work and the next."""
        first, second = await self.start(silent, GOOD)
        raw = await self.connect()
        raw.send(self.request("a") + self.request("b"))
        await until(lambda: first.arrivals == ["a"])
        raw.close()
        await until(lambda: first.arrivals == ["a", "gone"])
        await until(lambda: not self.server.open_connections())
        self.assertEqual([], second.arrivals)


class AtMostOnce(EdgeCase):
    async def test_what_may_run_once_is_not_broken_off(self) -> None:
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
        await until(lambda: first.arrivals == ["r"])
        raw.close()
        await until(lambda: not self.server.open_connections())
        self.assertEqual(1, len(self.gather.table))
        may_answer.set()
        await until(lambda: not len(self.gather.table))
        self.assertEqual((["r", "answered"], []), (first.arrivals, second.arrivals))
        self.assertEqual((1, 1), self.client.connections_to(address=first.address))

    async def test_one_that_was_turned_away_goes_nowhere_else(self) -> None:
        may_answer = asyncio.Event()

        async def refuses(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            name = await backend.request(reader)
            await may_answer.wait()
            writer.write(f"HTTP/1.1 503 X\r\nKelp-Request-Id: {name}\r\n".encode())
            writer.write(b"Kelp-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        first, second = await self.start(refuses, GOOD)
        raw = await self.connect()
        raw.send(self.request("r"))
        await until(lambda: first.arrivals == ["r"])
        raw.close()
        await until(lambda: not self.server.open_connections())
        may_answer.set()
        await until(lambda: not len(self.gather.table))
        self.assertEqual([], second.arrivals)


class Server(AsyncCase):
    async def serve(self, *, is_cancelling: bool) -> tuple[HttpServer, Raw, list[str]]:
        events: list[str] = []

        async def on_call(call: Any) -> HttpReply:
            events.append("began")
            try:
                await asyncio.Event().wait()
            finally:
                events.append("ended")
            return HttpReply(status=200)

        server = HttpServer(on_call=on_call, limits=HttpLimits, is_cancelling=is_cancelling)
        address = free_address()
        self.assertIsNone(await server.open(address=address))
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = Raw(reader=reader, writer=writer)
        raw.send(get("/a"))
        await until(lambda: events == ["began"])
        return server, raw, events

    async def test_a_handler_is_cancelled_only_where_the_server_says_so(self) -> None:
        for is_cancelling in (True, False):
            with self.subTest(is_cancelling=is_cancelling):
                server, raw, events = await self.serve(is_cancelling=is_cancelling)
                reset(raw.writer)
                if is_cancelling:
                    await until(lambda server=server: not server.open_connections())
                    self.assertEqual(["began", "ended"], events)
                else:
                    for _ in range(50):
                        await asyncio.sleep(0)
                    self.assertEqual((["began"], 1), (events, server.open_connections()))
                server.abort()
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()
                await asyncio.sleep(0)


class Tree(unittest.TestCase):
    """Which children are told, and what a child does on being told."""

    def test_children_that_still_work_are_told(self) -> None:
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
                Child(slot=number, subtree=subtree, ask_id=10 + number, **fields)
            )
        queries.cancel(record=record)
        self.assertEqual(["waits:1", "open:1"], [address for address, _ in sent])
        self.assertEqual([10, 11], [message.query_id for _, message in sent])
        # An older node knows `is_resumed` alone, and begins nothing for it.
        self.assertTrue(all(m.is_cancelled and m.is_resumed for _, m in sent))

    def test_a_child_that_is_told_drops_its_part_and_begins_nothing(self) -> None:
        dropped: list[tuple[str, int]] = []
        gather = SimpleNamespace(cancel=lambda *, root, ask_id: dropped.append((root, ask_id)))
        message = Gather(root="root", query_id=7, is_resumed=True, is_cancelled=True)
        reply = asyncio.run(handle(message, SimpleNamespace(gather=gather), "a:1"))
        self.assertEqual(([], 0), (reply.parts, reply.version))
        self.assertEqual([("root", 7)], dropped)

    def test_only_an_open_attempt_that_may_run_once_holds_a_request(self) -> None:
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

    def test_its_end_is_an_error_of_its_own(self) -> None:
        self.assertEqual("caller_gone", CallerGoneError().kind)


if __name__ == "__main__":
    unittest.main()
