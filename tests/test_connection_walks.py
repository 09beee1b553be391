"""Random walks and malformed bytes against the HTTP client and server, with raw sockets as the
peer and hundreds of seeds.

Each walk draws the action of the peer at each step, and then checks that every call got only its
own reply, that no request was sent twice, that requests reported as not sent never arrived, that
the connection limit held, that every state transition is allowed and that no connection is open.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from contextlib import suppress
from typing import Any, Iterator

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.http import client_connection as client_module
from kelpstage.common.http.client import HttpClient
from kelpstage.common.http.client_connection import (
    ALLOWED_TRANSITIONS,
    CLOSED,
    IDLE,
    LEASED,
    RECEIVING,
    SENDING,
    SENT,
    ClientConnection,
    IllegalTransition,
    State,
)
from kelpstage.common.http.server import HttpServer
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Owner
from tests.async_case import AsyncCase, RawServer, send_reset
from tests.test_http import RawClient, free_address, wait_until

WALKS = 240
CALLS = 10
CONNECTION_LIMIT = 3
LARGE_BODY = 8_000_000  # more than the kernel buffers at once
# The actions of a raw backend on a request, with their weights.
ACTIONS = {
    "answer": 10,
    "answer in pieces": 4,
    "answer before the request is complete": 2,
    "extra answer before": 2,
    "extra answer after": 2,
    "extra answer later": 3,
    "junk after the answer": 1,
    "partial answer, then close": 2,
    "partial answer, then reset": 2,
    "close": 2,
    "reset": 2,
    "invalid answer": 1,
    "answer without an id": 1,
    "answer, then close": 3,
    "silence": 2,
    "answer after 100 Continue": 1,
}


def reply_to(name: str, *, body: str | None = None) -> bytes:
    """A reply that names its request and has the name as its body."""
    text = (name if body is None else body).encode()
    named = f"X-Id: {name}\r\n" if name else ""
    return f"HTTP/1.1 200 OK\r\n{named}Content-Length: {len(text)}\r\n\r\n".encode() + text


UNSENDABLE_BODY = 4 * LARGE_BODY  # far more than the kernel buffers at once


class RandomBackend:
    """A raw server that acts at random and counts the requests that arrive."""

    def __init__(self, *, rand: random.Random) -> None:
        self.rand = rand
        self.begun: Counter = Counter()
        self.open = 0
        self.most_open = 0
        self._server = RawServer(handler=self._serve)

    @property
    def address(self) -> str:
        return self._server.address

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            while not writer.is_closing():
                await self._serve_one(reader=reader, writer=writer)
        finally:
            self.open -= 1

    async def _serve_one(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = await reader.readuntil(b"\r\n")
        name = line.split(b" ")[1].decode().lstrip("/")
        self.begun[name] += 1
        action = self.rand.choices(list(ACTIONS), weights=list(ACTIONS.values()))[0]
        if action == "answer before the request is complete":
            writer.write(reply_to(name))
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        await reader.readexactly(size)
        await self._reply(action=action, name=name, writer=writer, reader=reader)

    async def _reply(
        self, *, action: str, name: str, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> None:
        whole = reply_to(name)
        cut = self.rand.randrange(1, len(whole))
        half = whole[:cut]
        replies = {
            "answer": whole,
            "answer, then close": whole,
            "extra answer before": reply_to("old") + whole,
            "extra answer after": whole + reply_to("old"),
            "extra answer later": whole,
            "junk after the answer": whole + b"junk",
            "partial answer, then close": half,
            "partial answer, then reset": half,
            "invalid answer": self.rand.randbytes(40) + b"\r\n\r\n",
            "answer without an id": reply_to("", body="nobody"),
            "answer after 100 Continue": b"HTTP/1.1 100 Continue\r\n\r\n" + whole,
        }
        writer.write(replies.get(action, b""))
        if action == "answer in pieces":
            for at in range(0, len(whole), cut):
                if writer.is_closing():  # the client has closed the connection
                    return
                writer.write(whole[at : at + cut])
                await asyncio.sleep(0)
        if action == "extra answer later":
            for _ in range(self.rand.randrange(8)):
                await asyncio.sleep(0)
            writer.write(reply_to("old"))
        if action == "silence":
            await reader.read()
        if action.endswith("reset"):
            send_reset(writer)
        elif action.endswith(("close", "silence")):
            writer.close()


class ClientWalks(AsyncCase):
    seen: set[tuple[State, State]] = set()

    async def test_walks(self) -> None:
        self.seen = set()
        transition = ClientConnection._transition
        seen = self.seen

        def watched(connection: ClientConnection, state: State) -> None:
            seen.add((connection.state, state))
            transition(connection, state)

        ClientConnection._transition = watched
        try:
            for seed in range(WALKS):
                with self.subTest(seed=seed):
                    await self.walk(rand=random.Random(seed))
        finally:
            ClientConnection._transition = transition
        allowed = {(old, new) for old, after in ALLOWED_TRANSITIONS.items() for new in after}
        # Transitions that depend on timing are tested in `ConnectionTransitions`.
        timing_dependent = {(LEASED, CLOSED), (LEASED, IDLE)}
        timing_dependent |= {(SENDING, after) for after in ALLOWED_TRANSITIONS[SENDING]}
        self.assertEqual(set(), allowed - seen - timing_dependent)
        self.assertEqual(set(), seen - allowed)

    async def walk(self, *, rand: random.Random) -> None:
        client = HttpClient()
        backend = RandomBackend(rand=rand)
        await backend.start()
        loop_errors: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: loop_errors.append(context)
        )
        outcomes: dict[str, Any] = {}

        async def caller(number: int) -> None:
            for turn in range(CALLS):
                name = f"c{number}-{turn}"
                outcomes[name] = await self.call(
                    client=client, backend=backend, name=name, rand=rand
                )

        async with asyncio.timeout(30):
            await asyncio.gather(*(caller(number) for number in range(4)))
        client.close()
        await backend.stop()
        self.assertEqual([], loop_errors)
        self.assertEqual((0, 0), client.connections_to(address=backend.address))
        self.assertLessEqual(max(backend.begun.values(), default=0), 1)
        for name, outcome in outcomes.items():
            self.check(name=name, outcome=outcome, backend=backend)

    async def call(
        self, *, client: HttpClient, backend: RandomBackend, name: str, rand: random.Random
    ) -> Any:
        def owner_of(reply: HttpReply) -> Owner:
            named = reply.headers.get("x-id")
            if named is None:
                return Owner.UNNAMED
            return Owner.OURS if named == name else Owner.OTHERS

        call = HttpCall(
            method="POST",
            url=f"http://{backend.address}/{name}",
            body=b"x" * (LARGE_BODY if rand.random() < 0.01 else rand.randrange(50)),
            wait_us=rand.choice((4_000, 30_000)),
            connection_limit=CONNECTION_LIMIT,
            reply_owner=owner_of,
        )
        task = asyncio.ensure_future(client.fetch(call=call))
        if rand.random() < 0.05:
            for _ in range(rand.randrange(6)):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait((task,))
            return None if task.cancelled() else task.result()
        return await task

    def check(self, *, name: str, outcome: Any, backend: RandomBackend) -> None:
        if isinstance(outcome, HttpReply):
            self.assertIn(outcome.body, (name.encode(), b"nobody"))
            self.assertEqual(1, backend.begun[name])
        elif isinstance(outcome, KelpstageError) and not getattr(outcome, "was_sent", False):
            self.assertEqual(0, backend.begun[name], outcome)


class CancelledCall(AsyncCase):
    """Guards against a cancelled call that closes the connection of the next call.

    It was cancelled in the loop iteration in which its reply arrived, and the next call on the
    connection then waited forever (walk with seed 0).
    """

    async def test_cancel_in_the_same_loop_iteration_as_the_reply(self) -> None:
        client = HttpClient()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(reply_to("me"))

        server = RawServer(handler=serve)
        await server.start()
        call = HttpCall(method="GET", url=f"http://{server.address}/", connection_limit=1)
        first = asyncio.ensure_future(client.fetch(call=call))
        gate = asyncio.Event()

        async def next_call() -> Any:
            await gate.wait()
            return await client.fetch(call=call)

        second = asyncio.ensure_future(next_call())
        finish = ClientConnection._finish

        def finish_and_cancel(connection: ClientConnection, **fields: Any) -> None:
            ClientConnection._finish = finish
            gate.set()  # the next call runs before the first one resumes
            finish(connection, **fields)
            first.cancel()

        ClientConnection._finish = finish_and_cancel
        try:
            async with asyncio.timeout(10):
                self.assertEqual(200, (await second).status)
        finally:
            ClientConnection._finish = finish
        self.assertTrue(first.cancelled())
        self.assertEqual((1, 1), client.connections_to(address=server.address))
        client.close()
        await server.stop()


class ConnectionTransitions(AsyncCase):
    """State transitions that random walks reach only by chance."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.backend = RandomBackend(rand=random.Random(1))
        await self.backend.start()
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.backend.stop()

    async def lease(self) -> ClientConnection:
        call = HttpCall(method="GET", url=f"http://{self.backend.address}/", connection_limit=1)
        deadline = asyncio.get_running_loop().time() + 10
        return await self.client._lease_new(
            call=call, address=self.backend.address, deadline=deadline
        )

    async def test_unused_lease_returns_to_the_pool(self) -> None:
        connection = await self.lease()
        self.assertEqual(LEASED, connection.state)
        connection.return_to_pool()
        self.assertEqual(IDLE, connection.state)
        self.assertTrue(connection.lease())
        self.assertEqual(LEASED, connection.state)
        connection.close()
        self.assertEqual(CLOSED, connection.state)
        self.assertEqual((0, 0), self.client.connections_to(address=self.backend.address))

    async def large_send(self, *, answers_early: bool, reads: bool) -> list[State]:
        """The states after SENDING of a connection whose request exceeds the kernel's buffers.

        The backend then reads the request, replies early or resets the connection.
        """
        gate = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            await gate.wait()
            if answers_early:
                writer.write(reply_to("me"))
                await reader.read()
            elif reads:
                size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(size)
                writer.write(reply_to("me"))
            else:
                send_reset(writer)

        server = RawServer(handler=serve)
        await server.start()
        states: list[State] = []
        transition = ClientConnection._transition

        def watched(connection: ClientConnection, state: State) -> None:
            transition(connection, state)
            states.append(state)
            if state == SENDING:
                gate.set()

        call = HttpCall(
            method="POST",
            url=f"http://{server.address}/me",
            body=b"x" * UNSENDABLE_BODY,
            wait_us=10_000_000,
            connection_limit=1,
        )
        ClientConnection._transition = watched
        try:
            async with asyncio.timeout(20):
                await self.client.fetch(call=call)
        finally:
            ClientConnection._transition = transition
            await server.stop()
        self.assertIn(SENDING, states)
        return states[states.index(SENDING) + 1 :]

    async def test_a_request_that_is_sent_in_pieces(self) -> None:
        states = await self.large_send(answers_early=False, reads=True)
        self.assertEqual([SENT, RECEIVING], states[:2])

    async def test_an_answer_before_the_request_is_sent(self) -> None:
        states = await self.large_send(answers_early=True, reads=False)
        self.assertEqual(RECEIVING, states[0])

    async def test_a_reset_before_the_request_is_sent(self) -> None:
        states = await self.large_send(answers_early=False, reads=False)
        self.assertEqual([CLOSED], states)

    async def test_transition_outside_the_table_raises(self) -> None:
        for old in State:
            for new in State:
                connection = await self.lease()
                connection.state = old
                if new in ALLOWED_TRANSITIONS[old]:
                    connection._transition(new)
                    self.assertEqual(new, connection.state)
                else:
                    with self.assertRaises(IllegalTransition):
                        connection._transition(new)
                connection.state = LEASED
                connection.close()

    async def test_call_whose_deadline_passed_during_the_connect_is_not_sent(self) -> None:
        """After a process suspend, the connect has completed and the deadline has passed at the
        same time; no byte may be sent."""
        loop = asyncio.get_running_loop()
        time_of, offset_s = loop.time, [0.0]
        opened = self.client._open

        async def slow(**fields: Any) -> Any:
            connection = await opened(**fields)
            offset_s[0] = 60.0
            return connection

        self.client._open = slow
        loop.time = lambda: time_of() + offset_s[0]
        try:
            call = HttpCall(
                method="POST",
                url=f"http://{self.backend.address}/late",
                body=b"x",
                connection_limit=1,
            )
            outcome = await self.client.fetch(call=call)
        finally:
            loop.time = time_of
        self.assertEqual(("wait_over", False), (outcome.kind, outcome.was_sent))
        await wait_until(lambda: self.backend.open == 1)
        self.assertEqual(Counter(), self.backend.begun)
        self.assertEqual((1, 1), self.client.connections_to(address=self.backend.address))


def pieces_of(data: bytes, rand: random.Random) -> Iterator[bytes]:
    """The same bytes in pieces of random sizes."""
    at = 0
    while at < len(data):
        size = rand.choice((1, 7, 60, 4_000))
        yield data[at : at + size]
        at += size


class ServerWalks(AsyncCase):
    """Clients that pipeline requests, disconnect, send in pieces and send malformed data."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.rand = random.Random(3)
        self.runs: Counter = Counter()
        self.loop_errors: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.loop_errors.append(context)
        )
        self.limits = HttpLimits(header_bytes=2_000, body_bytes=500)
        self.address = free_address()
        self.server = HttpServer(on_call=self.answer, limits=lambda: self.limits)
        self.assertIsNone(await self.server.open(address=self.address))

    async def asyncTearDown(self) -> None:
        self.server.abort()
        await wait_until(lambda: not self.server.open_connections())
        self.assertEqual([], self.loop_errors)

    async def answer(self, call: HttpCall) -> HttpReply:
        self.runs[call.url] += 1
        for _ in range(self.rand.randrange(4)):
            await asyncio.sleep(0)
        return HttpReply(status=200, headers={"X-Url": call.url}, body=call.url.encode())

    async def connect(self) -> RawClient:
        host, _, port = self.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return RawClient(reader=reader, writer=writer)

    def request_bytes(self, *, url: str, rand: random.Random) -> bytes:
        head = f"POST {url} HTTP/1.1\r\nHost: h\r\n"
        body = b"b" * rand.randrange(300)
        if rand.random() < 0.3:
            chunks = b"".join(f"{len(p):x}\r\n".encode() + p + b"\r\n" for p in (body,) if p)
            return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    async def test_walks(self) -> None:
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                await self.walk(seed=seed)

    async def walk(self, *, seed: int) -> None:
        rand = random.Random(seed)
        raw = await self.connect()
        urls = [f"/{seed}/{n}" for n in range(rand.randrange(1, 30))]
        whole = b"".join(self.request_bytes(url=url, rand=rand) for url in urls)
        leaves = rand.random() < 0.3
        sent = whole[: rand.randrange(len(whole))] if leaves else whole
        for piece in pieces_of(sent, rand):
            raw.send(piece)
            if rand.random() < 0.2:
                await asyncio.sleep(0)
        if leaves:
            raw.close()
            await wait_until(lambda: not self.server.open_connections())
        else:
            got = [(await raw.reply())[2].decode() for _ in urls]
            self.assertEqual(urls, got)
            raw.close()
        runs = [self.runs[url] for url in urls]
        self.assertLessEqual(max(runs), 1)
        # the requests that ran are a prefix of those sent
        self.assertEqual(sorted(runs, reverse=True), runs)

    async def test_malformed_requests(self) -> None:
        """A valid request with some bytes changed gets a reply with an expected status, and no
        smuggled request runs."""
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                await self.mutate(rand=random.Random(seed), seed=seed)
        self.assertFalse([url for url in self.runs if url.startswith("/hidden")])

    async def mutate(self, *, rand: random.Random, seed: int) -> None:
        data = bytearray(self.request_bytes(url=f"/m{seed}", rand=rand))
        for _ in range(rand.randrange(1, 5)):
            place = rand.randrange(len(data))
            how = rand.randrange(3)
            if how == 0:
                data[place] = rand.randrange(256)
            elif how == 1:
                del data[place]
            else:
                data[place:place] = rand.choice((b"\r\n", b"\0", b"\n", b" ", b":", b"\xff" * 3))
        raw = await self.connect()
        raw.send(bytes(data))
        raw.writer.write_eof()
        answers = await raw.rest()
        for line in answers.split(b"\r\n"):
            if line.startswith(b"HTTP/1.1 "):
                self.assertIn(int(line.split(b" ")[1]), (100, 200, 400, 408, 413, 431))
        raw.close()
        await wait_until(lambda: not self.server.open_connections())

    async def test_random_bytes_are_rejected(self) -> None:
        for seed in range(WALKS // 2):
            rand = random.Random(seed)
            raw = await self.connect()
            raw.send(rand.randbytes(rand.choice((1, 30, 3_000, 100_000))))
            with suppress(OSError):
                raw.writer.write_eof()
            await raw.rest()
            raw.close()
        await wait_until(lambda: not self.server.open_connections())
        self.assertEqual(Counter(), self.runs)


class ClientFuzz(AsyncCase):
    """Replies with some bytes changed give a typed outcome, never another call's reply."""

    async def test_malformed_answers(self) -> None:
        client = HttpClient()
        limits = client_module.MAX_REPLY_BYTES
        client_module.MAX_REPLY_BYTES = 4_000
        rand = random.Random(5)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            data = bytearray(reply_to("me"))
            for _ in range(rand.randrange(3)):
                data[rand.randrange(len(data))] = rand.randrange(256)
            if rand.random() < 0.1:
                data[:0] = rand.randbytes(rand.choice((3, 10_000)))
            writer.write(bytes(data))
            await writer.drain()
            writer.close()

        server = RawServer(handler=serve)
        await server.start()
        kinds: Counter = Counter()
        for _ in range(WALKS * 2):
            call = HttpCall(
                method="GET",
                url=f"http://{server.address}/",
                connection_limit=2,
                wait_us=10_000_000,
                reply_owner=lambda reply: Owner(reply.headers.get("x-id") == "me"),
            )
            outcome = await client.fetch(call=call)
            kinds[type(outcome).__name__] += 1
            self.assertIsInstance(outcome, (HttpReply, KelpstageError))
            if isinstance(outcome, HttpReply):
                self.assertEqual("me", outcome.headers["x-id"])
        client_module.MAX_REPLY_BYTES = limits
        client.close()
        await server.stop()
        self.assertGreater(kinds["ConnectionLostError"], 50)
        self.assertGreater(kinds["HttpReply"], 50)
        await wait_until(lambda: client.connections_to(address=server.address) == (0, 0))


if __name__ == "__main__":
    unittest.main()
