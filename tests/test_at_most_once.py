"""At-most-once requests end to end: a raw client, the edge's HTTP server, its gathering task and
its HTTP client, and raw backends that fail in every way.

Once the first byte of an at-most-once request may have been sent, the request is never sent
again. It may be if no byte was sent, or if a backend states that it did not run the request. A
status that promises "not run" (408, 421, 429, 503) is never returned for what may have run.
"""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections import Counter
from functools import partial
from types import SimpleNamespace
from typing import Any, Awaitable, Callable, Iterator

from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.backends import RequestNotRunError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.event_journal import Journal
from kelpstage.common.http.client import HttpClient
from kelpstage.common.http.server import HttpServer
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Ports
from kelpstage.common.transport.messages import LeaseReply, MemberMsg, StateDoc
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.sealed_answer import NOT_RUN_STATUSES, SealedCodec
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget
from kelpstage.edge.web.forward import serve_forwarded
from tests.async_case import AsyncCase, FrozenLoopTime, LoopClock, RawServer, send_reset
from tests.test_http import RawClient, free_address, wait_until

SERVICE = "once"
DEADLINE_US = 20_000_000
Script = Callable[["RawBackend", int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def document(*, is_repeatable: bool, attempts: int, deadline_us: int) -> bytes:
    """Return a configuration of one route to one service."""
    route = {
        "host": "h",
        "prefix": "/",
        "is_repeatable": is_repeatable,
        "attempts": attempts,
        "deadline_us": deadline_us,
        "weights": {SERVICE: 1.0},
    }
    services = {SERVICE: {"health_path": "/health", "max_connections": 64}}
    return json.dumps({"version": 1, "services": services, "forward": {"r": route}}).encode()


class RawBackend:
    """A backend on raw sockets; `script` handles each connection."""

    def __init__(self, *, name: str, script: Script) -> None:
        self.name, self.script = name, script
        self.arrivals: list[str] = []
        self.connections = 0
        self._server = RawServer(handler=self._take)

    @property
    def address(self) -> str:
        return self._server.address

    async def open(self) -> None:
        await self._server.start()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self.script(self, self.connections, reader, writer)

    async def request(self, reader: asyncio.StreamReader) -> str:
        """Read one complete request and return its id."""
        head = await reader.readuntil(b"\r\n\r\n")
        size, name = 0, ""
        for line in head.decode("latin-1").split("\r\n"):
            key, _, value = line.partition(":")
            if key.lower() == "content-length":
                size = int(value)
            if key.lower() == "kelp-request-id":
                name = value.strip()
        await reader.readexactly(size)
        self.arrivals.append(name)
        return name

    async def stop(self) -> None:
        await self._server.stop()


def answer(
    name: str, *, status: int = 200, body: bytes = b"fine", seal: str = "a.1", more: str = ""
) -> bytes:
    """Return a backend's answer to the request with this id."""
    sealed = f"Kelp-Seal: {seal}\r\n" if seal else ""
    named = f"Kelp-Request-Id: {name}\r\n" if name else ""
    head = f"HTTP/1.1 {status} X\r\n{named}{sealed}{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def next_outcome(outcomes: Iterator[Any], call: HttpCall) -> Any:
    """Return the next planned outcome of a send; `None` leaves it to the network."""
    return next(outcomes, None)


def says(make: Callable[[str], bytes], *, then: str = "") -> Script:
    """Answer each request with what `make` returns, then close or reset if `then` says so."""

    async def script(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
        while True:
            name = await backend.request(reader)
            writer.write(make(name))
            if then == "close":
                writer.close()
                return
            if then == "reset":
                await writer.drain()
                send_reset(writer)
                return

    return script


GOOD = says(answer)


class EdgeCase(AsyncCase):
    """An edge made of its real components, between raw sockets on both sides."""

    is_repeatable = False
    attempts = 3
    deadline_us = DEADLINE_US

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock = LoopClock()
        self.client = HttpClient()
        self.sends: list[HttpCall] = []
        self.backends: list[RawBackend] = []
        self.starts = 0
        self.raws: list[RawClient] = []
        self.tasks: list[asyncio.Task] = []
        self.before_fetch: Callable[[HttpCall], Any] = lambda call: None
        self.ports = Ports(
            clock=self.clock,
            net=SimpleNamespace(fetch=self._fetch),
            disk=None,
            rand=random.Random(7),
            spawn=self._spawn,
        )
        self.context = self._context()
        self.names = HeaderNames()
        self.gather = GatherTask(
            ports=self.ports,
            transport=None,
            context=self.context,
            on_fetch_configuration=lambda want: None,
            on_backend_changed=lambda name: None,
            sealed=SealedCodec(names=self.names),
        )
        self.edge = SimpleNamespace(
            ports=self.ports,
            lease_holder=self.context.lease_holder,
            header_names=self.names,
            gather=self.gather,
            counts=Counter(),
            name="e",
            incarnation=1,
            is_leaving=False,
        )
        self.address = free_address()
        self.server = HttpServer(
            on_call=self._on_call, limits=HttpLimits, cancels_on_disconnect=True
        )
        self.assertIsNone(await self.server.open(address=self.address))

    def _spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def _fetch(self, *, call: HttpCall) -> Any:
        self.sends.append(call)
        outcome = self.before_fetch(call)
        return outcome if outcome is not None else await self.client.fetch(call=call)

    async def _on_call(self, call: HttpCall) -> HttpReply:
        return await serve_forwarded(edge=self.edge, call=call)

    def _context(self) -> GatherContext:
        data = document(
            is_repeatable=self.is_repeatable, attempts=self.attempts, deadline_us=self.deadline_us
        )
        configuration = read_configuration(data=data, version=1)
        lease_holder = LeaseHolder(me="e")
        now_us = self.clock.now_us()
        lease_holder.install(
            doc=StateDoc(cluster="c", epoch=1, version=1, membership=["e"]),
            configuration=configuration,
            now_us=now_us,
        )
        granted = LeaseReply(is_granted=True, cluster="c", epoch=1, span_us=600_000_000)
        lease_holder.record_lease(reply=granted, sent_us=now_us)
        registry = BackendRegistry(me="e")
        registry.apply_configuration(configuration=configuration, listed={})
        return GatherContext(
            me="e",
            zone="z",
            own="",
            rand=self.ports.rand,
            lease_holder=lease_holder,
            swim=Swim(
                me=MemberMsg(name="e"),
                rand=random.Random(1),
                backend_states=list,
                on_backend_state=lambda backend_state: None,
            ),
            registry=registry,
            latencies=LatencyEstimates(),
            budget=Budget(slack=1_000_000),
            journal=Journal(now=lambda: 0),
        )

    async def asyncTearDown(self) -> None:
        for raw in self.raws:
            raw.close()
        self.client.close()
        await self.stop_backends()
        self.server.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop_backends(self) -> None:
        """Stop the backends of this test; `start` opens new ones."""
        for backend in self.backends:
            await backend.stop()
        self.backends = []

    async def start(self, *scripts: Script) -> list[RawBackend]:
        """Start new backends, in the order in which attempts are sent to them."""
        self.starts += 1
        for number, script in enumerate(scripts):
            backend = RawBackend(name=f"i-{self.starts}-{number}", script=script)
            await backend.open()
            self.backends.append(backend)
        self._list()
        return self.backends

    def _list(self) -> None:
        now_us = self.clock.now_us()
        instances = [
            Instance(instance_id=b.name, service=SERVICE, address=b.address, zone="z", slots=8)
            for b in self.backends
        ]
        self.context.registry.set_instances(instances, now_us)
        self.context.registry.set_live_edges(count=1, now_us=now_us)
        for number, backend in enumerate(self.backends):  # the first gets the first attempt
            entry = self.context.registry.entry(name=backend.name)
            entry.distance_us = number * 10_000_000

    async def ask(self, name: str, *, deadline_ms: int = 0, raw: RawClient | None = None) -> tuple:
        """Send a client's request with this id; returns status, headers and body."""
        raw = raw or await self.connect()
        raw.send(self.request(name, deadline_ms=deadline_ms))
        return await raw.reply()

    def request(self, name: str, *, deadline_ms: int = 0) -> bytes:
        more = f"Kelp-Deadline-Ms: {deadline_ms}\r\n" if deadline_ms else ""
        head = f"POST /x HTTP/1.1\r\nHost: h\r\nKelp-Request-Id: {name}\r\n{more}"
        return f"{head}Content-Length: 2\r\n\r\nhi".encode()

    async def connect(self) -> RawClient:
        host, _, port = self.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = RawClient(reader=reader, writer=writer)
        self.raws.append(raw)
        return raw

    def arrivals(self) -> Counter:
        """Return how often each request arrived completely at any backend."""
        return Counter(name for backend in self.backends for name in backend.arrivals)


def truncated_answer(name: str) -> bytes:
    return answer(name, body=b"a longer body")[:-4]


MAY_HAVE_RUN: dict[str, Script] = {
    "closed without a byte": says(lambda name: b"", then="close"),
    "reset without a byte": says(lambda name: b"", then="reset"),
    "reset in the middle of the head": says(lambda name: answer(name)[:30], then="reset"),
    "closed in the middle of the body": says(truncated_answer, then="close"),
    "reset in the middle of the body": says(truncated_answer, then="reset"),
    "reset in the middle of a body without a length": says(
        lambda name: answer(name).replace(b"Content-Length: 4\r\n", b""), then="reset"
    ),
    "no answer in the protocol": says(lambda name: b"\x16\x03\x01 nonsense\r\n\r\n"),
    "a success without a seal": says(lambda name: answer(name, seal="")),
    "a success that is encoded": says(lambda name: answer(name, more="Content-Encoding: gzip\r\n")),
    "a failure that is encoded": says(
        lambda name: answer(name, status=500, more="Content-Encoding: gzip\r\n")
    ),
    "no length": says(lambda name: b"HTTP/1.1 200 OK\r\nKelp-Seal: a.1\r\n\r\nfine", then="close"),
    "two lengths": says(lambda name: answer(name, more="Content-Length: 1\r\n")),
    "an answer that names no request": says(lambda name: answer("")),
    "another's not run, then closed": says(
        lambda name: answer("old", status=503, more="Kelp-Not-Run: 1\r\n"), then="close"
    ),
    "a nameless not run": says(lambda name: answer("", status=503, more="Kelp-Not-Run: 1\r\n")),
    "a success that says not run": says(lambda name: answer(name, more="Kelp-Not-Run: 1\r\n")),
    "503 that does not say not run": says(lambda name: answer(name, status=503)),
    "429 that does not say not run": says(lambda name: answer(name, status=429)),
    "408 that does not say not run": says(lambda name: answer(name, status=408)),
    "100 and then closed": says(lambda name: b"HTTP/1.1 100 Continue\r\n\r\n", then="close"),
    "another protocol": says(
        lambda name: b"HTTP/1.1 101 X\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n"
    ),
}
# Complete answers to the request that are not valid; their connections are reused, those of the
# other cases are not.
COMPLETE_ANSWERS = {
    "a success without a seal",
    "a success that is encoded",
    "a failure that is encoded",
    "a success that says not run",
    "503 that does not say not run",
    "429 that does not say not run",
    "408 that does not say not run",
}
RETURNED_UNCHANGED: dict[str, tuple[Script, int, str]] = {
    "a success": (GOOD, 200, "a.1"),
    "a success without a length": (
        says(
            lambda name: answer(name, body=b"fine").replace(b"Content-Length: 4\r\n", b""),
            then="close",
        ),
        200,
        "a.1",
    ),
    "a failure of its own": (says(lambda name: answer(name, status=500)), 500, "a.1"),
    "its own time is over": (says(lambda name: answer(name, status=504)), 504, "a.1"),
    "a fault of the client's": (says(lambda name: answer(name, status=409)), 409, "a.1"),
    "a failure without a seal": (says(lambda name: answer(name, status=500, seal="")), 500, ""),
    "in bits after 100": (
        says(lambda name: b"HTTP/1.1 100 Continue\r\n\r\n" + answer(name)),
        200,
        "a.1",
    ),
    "after another's": (says(lambda name: answer("old", seal="o.1") + answer(name)), 200, "a.1"),
    "after another's failure": (
        says(lambda name: answer("old", status=500, seal="o.1") + answer(name)),
        200,
        "a.1",
    ),
    "after another's not run": (
        says(lambda name: answer("old", status=503, more="Kelp-Not-Run: 1\r\n") + answer(name)),
        200,
        "a.1",
    ),
    "before another's": (says(lambda name: answer(name) + answer("old", seal="o.1")), 200, "a.1"),
    "twice": (says(lambda name: answer(name) + answer(name, seal="a.2")), 200, "a.1"),
    "with junk behind it": (says(lambda name: answer(name) + b"junk"), 200, "a.1"),
}
NOT_RUN = says(lambda name: answer(name, status=503, seal="", more="Kelp-Not-Run: 1\r\n"))
MISDIRECTED = says(lambda name: answer(name, status=421, seal=""))


class AtMostOnce(EdgeCase):
    async def test_what_may_have_run_is_never_sent_again(self) -> None:
        for name, script in MAY_HAVE_RUN.items():
            with self.subTest(name):
                await self.stop_backends()
                first, second = await self.start(script, GOOD)
                status, headers, _ = await self.ask(f"r {name}".replace(" ", "-"))
                self.assertEqual(502, status)
                self.assertNotIn("kelp-seal", headers)
                self.assertEqual((1, 0), (len(first.arrivals), len(second.arrivals)))
                kept = self.client.connections_to(address=first.address)
                self.assertEqual((1, 1) if name in COMPLETE_ANSWERS else (0, 0), kept)

    async def test_backend_answer_is_returned_unchanged(self) -> None:
        for name, (script, status, seal) in RETURNED_UNCHANGED.items():
            with self.subTest(name):
                await self.stop_backends()
                first, second = await self.start(script, GOOD)
                got, headers, body = await self.ask(f"r {name}".replace(" ", "-"))
                self.assertEqual((status, seal, b"fine"), (got, headers.get("kelp-seal", ""), body))
                self.assertEqual((1, 0), (len(first.arrivals), len(second.arrivals)))

    async def test_rejected_request_is_retried_within_its_attempts(self) -> None:
        for script in (NOT_RUN, MISDIRECTED):
            with self.subTest(script=script):
                await self.stop_backends()
                first, second = await self.start(script, GOOD)
                status, headers, _ = await self.ask("r")
                self.assertEqual((200, "a.1"), (status, headers["kelp-seal"]))
                self.assertEqual((1, 1), (len(first.arrivals), len(second.arrivals)))

    async def test_rejection_by_all_backends_gives_503_within_the_attempts(self) -> None:
        backends = await self.start(NOT_RUN, MISDIRECTED, NOT_RUN, GOOD)
        status, headers, _ = await self.ask("r")
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)
        self.assertEqual([1, 1, 1, 0], [len(b.arrivals) for b in backends])

    async def test_rejection_and_then_connection_loss_gives_502(self) -> None:
        await self.start(NOT_RUN, says(lambda name: b"", then="reset"), GOOD)
        status, _, _ = await self.ask("r")
        self.assertEqual(502, status)
        self.assertEqual(2, self.arrivals()["r"])

    async def test_refused_connection_is_retried_on_another_backend(self) -> None:
        first, second = await self.start(GOOD, GOOD)
        await first.stop()
        status, _, _ = await self.ask("r")
        self.assertEqual((200, 1), (status, len(second.arrivals)))

    async def test_all_connections_refused_gives_503(self) -> None:
        for backend in await self.start(GOOD, GOOD):
            await backend.stop()
        status, headers, _ = await self.ask("r")
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)

    async def test_backend_without_reply_gives_504_at_the_deadline(self) -> None:
        async def silent(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            await backend.request(reader)
            await reader.read()

        first, second = await self.start(silent, GOOD)
        time = FrozenLoopTime()
        asking = asyncio.create_task(self.ask("r", deadline_ms=60))
        await wait_until(lambda: first.arrivals == ["r"])
        time.advance(ms=60)
        status, headers, _ = await asking
        self.assertEqual(504, status)
        self.assertNotIn("retry-after", headers)
        self.assertEqual((1, 0), (len(first.arrivals), len(second.arrivals)))
        await wait_until(lambda: self.client.connections_to(address=first.address) == (0, 0))

    async def test_answer_after_the_deadline_is_discarded(self) -> None:
        """An answer that arrives after the client got 504 must not answer its next request."""
        late = asyncio.Event()

        async def script(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            name = await backend.request(reader)
            if number == 1:
                await late.wait()
            writer.write(answer(name, body=name.encode()))
            await reader.read()

        [backend] = await self.start(script)
        raw = await self.connect()
        time = FrozenLoopTime()
        asking = asyncio.create_task(self.ask("a", deadline_ms=60, raw=raw))
        await wait_until(lambda: backend.arrivals == ["a"])
        time.advance(ms=60)
        self.assertEqual(504, (await asking)[0])
        late.set()
        self.assertEqual((200, b"b"), (await self.ask("b", raw=raw))[::2])
        self.assertEqual(["a", "b"], backend.arrivals)
        self.assertEqual(2, backend.connections)

    async def test_connection_closed_while_idle_is_replaced(self) -> None:
        """The backend closed an idle connection and the client has not read the end yet. No byte
        was sent, so the request goes over another connection."""

        async def ends_after_one(b: RawBackend, number: int, reader: Any, writer: Any) -> None:
            writer.write(answer(await b.request(reader)))
            await writer.drain()
            writer.close()

        [backend] = await self.start(ends_after_one)
        for number in range(8):
            self.assertEqual(200, (await self.ask(f"r{number}"))[0])
        self.assertEqual([f"r{n}" for n in range(8)], backend.arrivals)

    async def test_reset_during_the_request_is_not_retried(self) -> None:
        async def script(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            writer.write(answer(await backend.request(reader)))
            await reader.readexactly(1)  # the second request has started
            backend.arrivals.append("cut")
            send_reset(writer)

        first, second = await self.start(script, GOOD)
        self.assertEqual(200, (await self.ask("a"))[0])
        self.assertEqual(502, (await self.ask("b"))[0])
        self.assertEqual((["a", "cut"], []), (first.arrivals, second.arrivals))

    async def test_reset_before_any_byte_was_sent_is_retried(self) -> None:
        first, second = await self.start(GOOD, GOOD)

        def fail(call: HttpCall) -> Any:
            if first.address not in call.url:
                return None
            return ConnectionLostError(address=first.address, why="reset", was_sent=False)

        self.before_fetch = fail
        status, _, _ = await self.ask("r")
        self.assertEqual((200, 0, 1), (status, len(first.arrivals), len(second.arrivals)))

    async def test_only_outcomes_that_exclude_a_run_are_retried(self) -> None:
        """Each outcome of a send: whether it is retried, and the client's status."""
        for outcome, is_again in (
            (ConnectError(address="a"), True),
            (RequestNotRunError(backend="i", answer=429, why="full"), True),
            (ConnectionLostError(address="a", was_sent=False), True),
            (ConnectionLostError(address="a"), False),
            (ReplyTimeoutError(address="a", after_us=1), False),
        ):
            with self.subTest(outcome=outcome):
                await self.stop_backends()
                self.sends = []
                await self.start(GOOD, GOOD)
                outcomes = iter([outcome])
                self.before_fetch = partial(next_outcome, outcomes)
                status, _, _ = await self.ask("r")
                self.assertEqual(2 if is_again else 1, len(self.sends))
                self.assertEqual(is_again, status == 200)
                self.assertNotIn(status, NOT_RUN_STATUSES)

    async def test_repeated_request_id_header_is_joined(self) -> None:
        [backend] = await self.start(GOOD)
        raw = await self.connect()
        FrozenLoopTime()
        raw.send(
            self.request("a", deadline_ms=500).replace(b": a\r\n", b": a\r\nKelp-Request-Id: b\r\n")
        )
        self.assertEqual(200, (await raw.reply())[0])
        self.assertEqual(["a, b"], backend.arrivals)

    async def test_client_retry_is_a_request_of_its_own(self) -> None:
        first, second = await self.start(says(lambda name: b"", then="close"), GOOD)
        self.assertEqual(502, (await self.ask("try-1"))[0])
        self.assertIn((await self.ask("try-2"))[0], (200, 502))
        self.assertEqual({1}, set(self.arrivals().values()))

    async def test_edge_resumed_after_the_deadline_sends_nothing(self) -> None:
        """The process is suspended between the decision and the send until the client has gone;
        a request sent then would run although no client waits for it."""
        [backend] = await self.start(GOOD)
        now_us = self.clock.now_us
        leap_us = [0]
        self.clock.now_us = lambda: now_us() + leap_us[0]

        def freeze(name: str) -> None:
            if name == "edge.before_backend_send":
                leap_us[0] = DEADLINE_US

        self.ports.failpoint = freeze
        status, headers, _ = await self.ask("r")
        self.assertEqual((503, True, []), (status, "retry-after" in headers, backend.arrivals))

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def script(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            while True:
                name = await backend.request(reader)
                writer.write(answer(name, body=name.encode(), seal=f"s.{name}"))

        await self.start(script)
        raw = await self.connect()
        raw.send(b"".join(self.request(f"r{n}") for n in range(40)))
        got = [await raw.reply() for _ in range(40)]
        self.assertEqual([f"r{n}".encode() for n in range(40)], [body for _, _, body in got])
        self.assertEqual({1}, set(self.arrivals().values()))

    async def test_client_that_leaves_after_100_continue_causes_no_send(self) -> None:
        [backend] = await self.start(GOOD)
        raw = await self.connect()
        raw.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nKelp-Request-Id: r\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2\r\n\r\n"
        )
        self.assertEqual(100, (await raw.reply())[0])
        raw.send(b"h")
        raw.close()
        await wait_until(lambda: not self.server.open_connections())
        self.assertEqual([], backend.arrivals)

    async def test_time_in_the_pipeline_counts_against_the_deadline(self) -> None:
        """A request pipelined behind one that runs into its deadline has no time left."""

        async def silent(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            await backend.request(reader)
            await reader.read()

        [backend] = await self.start(silent)
        raw = await self.connect()
        time = FrozenLoopTime()
        raw.send(self.request("a", deadline_ms=80) + self.request("b", deadline_ms=40))
        await wait_until(lambda: backend.arrivals == ["a"])
        time.advance(ms=80)
        self.assertEqual(504, (await raw.reply())[0])
        status, headers, _ = await raw.reply()
        self.assertEqual((503, True), (status, "retry-after" in headers))
        self.assertEqual(["a"], backend.arrivals)


class Repeatable(EdgeCase):
    is_repeatable = True

    async def test_failure_is_retried_within_the_attempts(self) -> None:
        for name, script in MAY_HAVE_RUN.items():
            with self.subTest(name):
                await self.stop_backends()
                first, second = await self.start(script, GOOD)
                status, headers, body = await self.ask(f"r {name}".replace(" ", "-"))
                self.assertEqual((200, "a.1", b"fine"), (status, headers["kelp-seal"], body))
                self.assertEqual((1, 1), (len(first.arrivals), len(second.arrivals)))

    async def test_returned_failure_has_the_backends_status(self) -> None:
        """The first backend's 500 is returned with its seal if no better answer arrives."""
        for second in (NOT_RUN, says(lambda name: b"", then="reset"), MAY_HAVE_RUN["two lengths"]):
            with self.subTest(second=second):
                await self.stop_backends()
                await self.start(says(lambda name: answer(name, status=500)), second)
                status, headers, _ = await self.ask("r")
                self.assertEqual((500, "a.1"), (status, headers["kelp-seal"]))


class OneAttempt(EdgeCase):
    is_repeatable = True
    attempts = 1

    async def test_route_with_one_attempt_is_not_retried(self) -> None:
        for name, script in [*MAY_HAVE_RUN.items(), ("not run", NOT_RUN)]:
            with self.subTest(name):
                await self.stop_backends()
                first, second = await self.start(script, GOOD)
                status, _, _ = await self.ask("r")
                self.assertEqual(503 if name == "not run" else 502, status)
                self.assertEqual((1, 0), (len(first.arrivals), len(second.arrivals)))


if __name__ == "__main__":
    unittest.main()
