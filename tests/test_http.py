"""The HTTP client and server against raw sockets that send truncated, malformed, extra, late,
smuggled or slow data."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import Any, Awaitable, Callable
from unittest import mock

from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.http import client_connection as client_module
from kelpstage.common.http import reply_parser
from kelpstage.common.http.client import HttpClient
from kelpstage.common.http.server import HttpServer
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Owner
from tests.async_case import AsyncCase, RawServer, send_reset

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 20


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def wait_until(is_there: Callable[[], bool]) -> None:
    """Yield to the event loop until a condition is true."""
    async with asyncio.timeout(TIMEOUT_S):
        while not is_there():  # noqa: ASYNC110 -- a condition of real sockets, without an event
            await asyncio.sleep(0)


# --- HttpServer, raw clients --------------------------------------------------------------


class RawClient:
    """A client that writes raw bytes and reads replies by their Content-Length."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        if not self.writer.is_closing():  # the server may have ended the connection
            self.writer.write(data)

    async def reply(self, *, has_body: bool = True) -> tuple[int, dict[str, str], bytes]:
        async with asyncio.timeout(TIMEOUT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:] if line)
            }
            size = int(headers.get("content-length", 0)) if has_body and status >= 200 else 0
            return status, headers, await self.reader.readexactly(size)

    async def rest(self) -> bytes:
        """The remaining bytes until the server closes the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                return await self.reader.read()
            except ConnectionResetError:
                return b""

    def close(self) -> None:
        self.writer.close()


class ServerCase(AsyncCase):
    limits = HttpLimits(header_bytes=1000, body_bytes=100, header_us=5_000_000, idle_us=10_000_000)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.calls: list[HttpCall] = []
        self.gates: dict[str, asyncio.Event] = {}
        self.answers: dict[str, Any] = {}
        self.raws: list[RawClient] = []
        self.loop_errors: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.loop_errors.append(context)
        )
        self.address = free_address()
        self.server = HttpServer(on_call=self.answer, limits=lambda: self.limits)
        self.assertIsNone(await self.server.open(address=self.address))

    async def asyncTearDown(self) -> None:
        for gate in self.gates.values():
            gate.set()
        for raw in self.raws:
            raw.close()
        self.server.abort()
        await wait_until(lambda: not self.server.open_connections())

    async def answer(self, call: HttpCall) -> HttpReply | None:
        self.calls.append(call)
        if call.url in self.gates:
            await self.gates[call.url].wait()
        if call.url in self.answers:
            answer = self.answers[call.url]
            if isinstance(answer, Exception):
                raise answer
            return answer
        return HttpReply(status=200, headers={"X-Url": call.url}, body=call.body or b"fine")

    async def raw(self, data: bytes = b"") -> RawClient:
        host, _, port = self.address.partition(":")
        raw = RawClient(
            **dict(
                zip(
                    ("reader", "writer"),
                    await asyncio.open_connection(host, int(port)),
                    strict=True,
                )
            )
        )
        self.raws.append(raw)
        raw.send(data)
        return raw

    def urls(self) -> list[str]:
        return [call.url for call in self.calls]


def get(path: str, more: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n{more}\r\n".encode()


class ServerReplies(ServerCase):
    async def test_pipelined_requests_are_answered_in_order_one_at_a_time(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        raw = await self.raw(get("/slow") + get("/b") + get("/c"))
        await wait_until(lambda: bool(self.calls))
        other = await self.raw(get("/neighbour"))
        self.assertEqual("/neighbour", (await other.reply())[1]["x-url"])
        self.assertEqual(["/slow", "/neighbour"], self.urls())
        self.gates["/slow"].set()
        got = [(await raw.reply())[1]["x-url"] for _ in range(3)]
        self.assertEqual(["/slow", "/b", "/c"], got)

    async def test_many_pipelined_requests_pause_reading_and_all_get_answers(self) -> None:
        self.gates["/0"] = asyncio.Event()
        raw = await self.raw(b"".join(get(f"/{n}") for n in range(300)))
        await wait_until(lambda: bool(self.calls))
        self.gates["/0"].set()
        got = [(await raw.reply())[1]["x-url"] for _ in range(300)]
        self.assertEqual([f"/{n}" for n in range(300)], got)

    async def test_request_in_single_bytes_with_a_chunked_body(self) -> None:
        raw = await self.raw()
        for byte in (
            b"POST /a%20b?x=%zz&y=//z HTTP/1.1\r\nhOst: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3;x=y\r\nabc\r\n2\r\n\r\n\r\n0\r\nTrailer: t\r\n\r\n"
        ):
            raw.send(bytes((byte,)))
            await raw.writer.drain()
        self.assertEqual(b"abc\r\n", (await raw.reply())[2])
        self.assertEqual("/a%20b?x=%zz&y=//z", self.calls[0].url)
        self.assertNotIn("trailer", self.calls[0].headers)

    async def test_headers_as_sent_and_joined(self) -> None:
        raw = await self.raw(
            b"GET / HTTP/1.1\r\nhOst: h\r\nX-A: 1\r\nCookie: a=1\r\nx-a: 2\r\ncookie: b=2\r\n"
            b"Empty:\r\n\r\n"
        )
        await raw.reply()
        call = self.calls[0]
        self.assertEqual(
            {"host": "h", "x-a": "1, 2", "cookie": "a=1; b=2", "empty": ""}, call.headers
        )
        self.assertEqual(
            (
                ("hOst", "h"),
                ("X-A", "1"),
                ("Cookie", "a=1"),
                ("x-a", "2"),
                ("cookie", "b=2"),
                ("Empty", ""),
            ),
            call.raw_headers,
        )

    async def test_head_and_empty_statuses_have_no_body(self) -> None:
        self.answers["/none"] = HttpReply(status=204, body=b"no")
        raw = await self.raw(b"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n" + get("/none") + get("/after"))
        status, headers, _ = await raw.reply(has_body=False)
        self.assertEqual((200, "4"), (status, headers["content-length"]))
        self.assertEqual((204, {}, b""), await raw.reply())
        self.assertEqual("/after", (await raw.reply())[1]["x-url"])

    async def test_connection_close_and_http_1_0_end_the_connection(self) -> None:
        """`Connection: close` from the client or the handler, and HTTP/1.0, end the connection;
        data sent after that request is not run."""
        self.answers["/bye"] = HttpReply(status=200, headers={"connection": "Close"}, body=b"b")
        for data, said in (
            (get("/a", "Connection: close\r\n") + get("/hidden"), "close"),
            (get("/bye") + get("/hidden"), "close"),
            (b"GET /a HTTP/1.0\r\n\r\n" + get("/hidden"), "close"),
        ):
            with self.subTest(data=data):
                raw = await self.raw(data)
                status, headers, _ = await raw.reply()
                self.assertEqual((200, said), (status, headers["connection"]))
                self.assertEqual(b"", await raw.rest())
        self.assertNotIn("/hidden", self.urls())

    async def test_http_1_0_client_may_keep_the_connection(self) -> None:
        raw = await self.raw(b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        self.assertEqual("keep-alive", (await raw.reply())[1]["connection"])
        raw.send(get("/b"))
        self.assertEqual(200, (await raw.reply())[0])

    async def test_half_closed_client_gets_its_reply(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        raw = await self.raw(get("/slow"))
        raw.writer.write_eof()
        await wait_until(lambda: bool(self.calls))
        self.gates["/slow"].set()
        self.assertEqual(200, (await raw.reply())[0])

    async def test_expect_100_is_answered_before_the_body(self) -> None:
        raw = await self.raw(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-Continue\r\n\r\n"
        )
        self.assertEqual(100, (await raw.reply())[0])
        raw.send(b"abc")
        self.assertEqual((200, b"abc"), (await raw.reply())[::2])
        raw.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\nExpect: 100-continue\r\n\r\n"
        )
        self.assertEqual(413, (await raw.reply())[0])

    async def test_handler_without_a_reply_aborts_the_connection(self) -> None:
        self.answers["/broken"] = None
        raw = await self.raw(get("/broken") + get("/hidden"))
        self.assertEqual(b"", await raw.rest())
        self.assertEqual(["/broken"], self.urls())

    async def test_handler_exception_gives_a_typed_error(self) -> None:
        self.answers["/bug"] = ValueError("x")
        raw = await self.raw(get("/bug") + get("/after"))
        status, _, body = await raw.reply()
        self.assertEqual((500, "broken_handler"), (status, json.loads(body)["defect"]["kind"]))
        self.assertEqual(200, (await raw.reply())[0])
        self.assertEqual(1, len(self.loop_errors))

    async def test_client_disconnect_does_not_affect_others(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        raw = await self.raw(get("/slow") + get("/never"))
        await wait_until(lambda: bool(self.calls))
        raw.writer.transport.abort()
        other = await self.raw(get("/x"))
        self.assertEqual(200, (await other.reply())[0])
        self.gates["/slow"].set()
        await wait_until(lambda: self.server.open_connections() == 1)
        self.assertEqual([], self.loop_errors)

    async def test_a_reply_cannot_smuggle_a_header(self) -> None:
        self.answers["/x"] = HttpReply(
            status=200,
            body=b"b",
            headers={
                "A": "1\r\nSet-Cookie: evil=1\r\n\r\nHTTP/1.1 200",
                "CONTENT-LENGTH": "999",
                "Transfer-Encoding": "chunked",
            },
        )
        raw = await self.raw(get("/x") + get("/after"))
        status, headers, body = await raw.reply()
        self.assertEqual((200, b"b"), (status, body))
        self.assertEqual({"a", "content-length"}, set(headers))
        self.assertEqual("/after", (await raw.reply())[1]["x-url"])

    async def test_large_reply_to_a_client_that_reads_late(self) -> None:
        self.answers["/big"] = HttpReply(status=200, body=b"x" * 8_000_000)
        raw = await self.raw(get("/big") + get("/after"))
        await wait_until(lambda: "/big" in self.urls())
        self.assertEqual(8_000_000, len((await raw.reply())[2]))
        self.assertEqual("/after", (await raw.reply())[1]["x-url"])


class RejectedRequests(ServerCase):
    async def assert_rejected(self, data: bytes, *, status: int, kind: str) -> None:
        raw = await self.raw(data)
        got, headers, body = await raw.reply()
        self.assertEqual((status, kind), (got, json.loads(body)["defect"]["kind"]), data)
        self.assertEqual("close", headers["connection"])
        self.assertEqual(b"", await raw.rest())

    async def test_invalid_requests_are_rejected_and_data_after_them_is_not_run(self) -> None:
        post = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        hidden = get("/hidden")
        other_client = await self.raw(get("/one"))
        await other_client.reply()
        for data in (
            b"NONSENSE\r\n\r\n",
            b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03",
            b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
            b"GET / HTTP/1.1\nHost: h\n\n",
            b"GET / HTTP/2.0\r\nHost: h\r\n\r\n",
            b"GET /\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n folded\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nA: b\0c\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nA: b\nC: d\r\n\r\n",
            post + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n" + hidden,
            b"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde" + hidden,
            post + b"Content-Length: 5, 6\r\n\r\nabcde" + hidden,
            post + b"Content-Length: +5\r\n\r\nabcde" + hidden,
            post + b"Content-Length: -5\r\n\r\nabcde" + hidden,
            post + b"Content-Length: 0x5\r\n\r\nabcde" + hidden,
            post + b"Content-Length:\r\n\r\nabcde" + hidden,
            post + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
            post + b"Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n" + hidden,
            post + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n" + hidden,
            post + b"Content-Length: 3\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nabc" + hidden,
            post + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
            b"POST /x HTTP/1.0\r\nContent-Length: x\r\n\r\n" + hidden,
            post + b"Content-Length: 3\r\nExpect: miracles\r\n\r\nabc" + hidden,
        ):
            with self.subTest(data=data):
                await self.assert_rejected(data, status=400, kind="bad_request")
        self.assertEqual(["/one"], self.urls())
        other_client.send(get("/two"))
        self.assertEqual(200, (await other_client.reply())[0])

    async def test_upgrade_is_ignored_and_data_after_it_is_not_run(self) -> None:
        raw = await self.raw(get("/x", "Upgrade: h2c\r\nConnection: Upgrade\r\n") + get("/hidden"))
        self.assertEqual((200, "close"), ((got := await raw.reply())[0], got[1]["connection"]))
        self.assertEqual(b"", await raw.rest())
        self.assertEqual(["/x"], self.urls())

    async def test_valid_request_before_an_invalid_one_is_answered_first(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        raw = await self.raw(get("/slow") + b"BAD\r\n\r\n" + get("/hidden"))
        await wait_until(lambda: bool(self.calls))
        self.gates["/slow"].set()
        self.assertEqual("/slow", (await raw.reply())[1]["x-url"])
        self.assertEqual(400, (await raw.reply())[0])
        self.assertEqual(b"", await raw.rest())
        self.assertEqual(["/slow"], self.urls())

    async def test_size_limits_of_head_and_body(self) -> None:
        post = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        wide = "X: " + "y" * 1000 + "\r\n"
        for data, status, kind in (
            (get("/x", wide), 431, "oversized_head"),
            (get("/x", wide)[:-2], 431, "oversized_head"),
            (get("/" + "y" * 1000), 431, "oversized_head"),
            (post + b"Content-Length: 101\r\n\r\n", 413, "oversized_body"),
            (post + b"Content-Length: 101\r\n\r\n" + b"x" * 101, 413, "oversized_body"),
            (
                post + b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"x" * 100 + b"\r\n1\r\nx\r\n",
                413,
                "oversized_body",
            ),
        ):
            with self.subTest(data=data[:80]):
                await self.assert_rejected(data, status=status, kind=kind)
        self.assertEqual([], self.calls)
        for data in (
            post + b"Content-Length: 100\r\n\r\n" + b"x" * 100,
            post + b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"x" * 100 + b"\r\n0\r\n\r\n",
        ):
            self.assertEqual(200, (await (await self.raw(data)).reply())[0])
        self.limits = HttpLimits(body_bytes=101)  # `limits` is called for each request
        raw = await self.raw(post + b"Content-Length: 101\r\n\r\n" + b"x" * 101)
        self.assertEqual(200, (await raw.reply())[0])

    async def test_endless_head_in_pieces_is_rejected(self) -> None:
        raw = await self.raw(b"GET / HTTP/1.1\r\nHost: h\r\nX: ")
        for _ in range(12):
            raw.send(b"y" * 100)
            await raw.writer.drain()
        self.assertEqual(431, (await raw.reply())[0])

    async def test_rejection_reaches_a_client_that_still_sends_its_body(self) -> None:
        """Closing a socket with unread bytes would reset it before the client reads the reply."""
        raw = await self.raw(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
        for _ in range(50):
            raw.send(b"x" * 20_000)
            await raw.writer.drain()
        self.assertEqual(413, (await raw.reply())[0])
        self.assertEqual(b"", await raw.rest())


class ServerTimeouts(ServerCase):
    limits = HttpLimits(header_bytes=1000, body_bytes=100, header_us=40_000, idle_us=10_000_000)

    async def test_slow_heads_and_bodies_time_out_but_not_slow_handlers(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        waiting = await self.raw(get("/slow"))
        for data, part in (
            (b"GET / HT", "head"),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", "body"),
        ):
            raw = await self.raw(data)
            status, _, body = await raw.reply()
            error = json.loads(body)["defect"]
            self.assertEqual((408, "slow_request", part), (status, error["kind"], error["part"]))
            self.assertEqual(b"", await raw.rest())
        self.assertEqual(["/slow"], self.urls())
        self.gates["/slow"].set()
        self.assertEqual(200, (await waiting.reply())[0])

    async def test_idle_connection_is_closed_without_a_reply(self) -> None:
        raw = await self.raw(get("/x"))
        await raw.reply()
        fresh = await self.raw()
        self.limits = HttpLimits(header_us=40_000, idle_us=20_000)
        self.assertEqual(b"", await raw.rest())
        self.assertEqual(b"", await fresh.rest())
        await wait_until(lambda: not self.server.open_connections())


class ServerShutdown(ServerCase):
    async def test_idle_connections_are_closed_and_busy_ones_get_connection_close(self) -> None:
        self.gates["/slow"] = asyncio.Event()
        quiet = await self.raw(get("/x"))
        await quiet.reply()
        busy = await self.raw(get("/slow") + get("/waits"))
        await wait_until(lambda: "/slow" in self.urls())
        begun = await self.raw(b"GET /begun HTT")
        await wait_until(lambda: self.server.open_connections() == 3)
        # in the listen queue, not accepted yet
        late = socket.create_connection(tuple(self.address.split(":")))
        late.sendall(get("/late"))
        self.server.close()
        self.assertEqual(b"", await quiet.rest())
        begun.send(b"P/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual("close", (await begun.reply())[1]["connection"])
        late.setblocking(False)
        text = await asyncio.get_running_loop().sock_recv(late, 1000)
        self.assertIn(b"Connection: close", text)
        late.close()
        with self.assertRaises(ConnectionRefusedError):
            await self.raw()
        self.gates["/slow"].set()
        status, headers, _ = await busy.reply()
        self.assertEqual((200, "close"), (status, headers["connection"]))
        self.assertEqual(b"", await busy.rest())
        again = HttpServer(on_call=self.answer, limits=lambda: self.limits)
        self.assertIsNone(await again.open(address=self.address))
        again.abort()


# --- HttpClient, raw servers ----------------------------------------------------------------

Script = Callable[[int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ClientCase(AsyncCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.client = HttpClient()
        self.address = free_address()
        self.requests: list[bytes] = []
        self.ended: list[int] = []
        self.connections = 0
        self.servers: list[RawServer] = []

    async def asyncTearDown(self) -> None:
        self.client.close()
        for server in self.servers:
            await server.stop()

    async def serve(self, script: Script) -> None:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            number = self.connections
            try:
                await script(number, reader, writer)
            finally:
                self.ended.append(number)

        server = RawServer(handler=take)
        await server.start(address=self.address)
        self.servers.append(server)

    async def replies(self, *replies: bytes) -> None:
        """Answer the requests on all connections with these replies in turn, then with OK.

        An empty reply closes the connection, and so does one that ends in `!`.
        """
        left = list(replies)

        async def script(
            number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                await self.request(reader)
                reply = left.pop(0) if left else OK
                writer.write(reply.removesuffix(b"!"))
                if not reply or reply.endswith(b"!"):
                    writer.close()
                    return

        await self.serve(script)

    async def request(self, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
        self.requests.append(head + await reader.readexactly(size))

    async def fetch(self, path: str = "/", **fields: Any) -> Any:
        fields = {"method": "GET", "connection_limit": 2, "wait_us": 15_000_000} | fields
        return await self.client.fetch(call=HttpCall(url=f"http://{self.address}{path}", **fields))

    def pool_counts(self) -> tuple[int, int]:
        return self.client.connections_to(address=self.address)


class ClientRequests(ClientCase):
    async def test_request_bytes_are_sent_unmodified(self) -> None:
        await self.replies(b"HTTP/1.1 200 Fine\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 1\r\n\r\nx")
        reply = await self.fetch(
            "/a%2fb//c?q=%zz&http://x",
            method="PUT",
            body=b"\0\xff\r\n",
            headers={
                "hOsT": "h.example",
                "X-B": "\xe9",
                "Content-Length": "99",
                "Transfer-Encoding": "chunked",
                "Connection": "upgrade",
            },
        )
        self.assertEqual(
            b"PUT /a%2fb//c?q=%zz&http://x HTTP/1.1\r\nHost: h.example\r\nX-B: \xe9\r\n"
            b"Content-Length: 4\r\n\r\n\0\xff\r\n",
            self.requests[0],
        )
        self.assertEqual((200, "1, 2", b"x"), (reply.status, reply.headers["x-a"], reply.body))
        await self.fetch("", connection_limit=0)
        self.assertEqual(
            f"GET / HTTP/1.1\r\nHost: {self.address}\r\nConnection: close\r\n\r\n".encode(),
            self.requests[1],
        )

    async def test_invalid_request_is_never_sent(self) -> None:
        await self.replies()
        for path, fields in (
            ("/a b", {}),
            ("/a\r\nX: y", {}),
            ("/a", {"method": "GET /x HTTP/1.1\r\nA: b\r\n\r\n"}),
            ("/a", {"headers": {"A": "b\r\nC: d"}}),
            ("/a", {"headers": {"A\n": "b"}}),
            ("/a", {"headers": {"Host": "h\r\n\r\nGET /hidden HTTP/1.1"}}),
            ("/a", {"headers": {"A": "b\0"}}),
        ):
            outcome = await self.fetch(path, **fields)
            self.assertIsInstance(outcome, ConnectionLostError)
            self.assertFalse(outcome.was_sent)
        self.assertEqual(0, self.connections)

    async def test_separate_and_pooled_connections(self) -> None:
        await self.replies()
        for _ in range(3):
            await self.fetch(connection_limit=0)
        self.assertEqual((3, (0, 0)), (self.connections, self.pool_counts()))
        for _ in range(3):
            await self.fetch()
        self.assertEqual((4, (1, 1)), (self.connections, self.pool_counts()))

    async def test_most_recently_used_connection_is_reused_first(self) -> None:
        gate = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                if number == 1:
                    await gate.wait()
                writer.write(OK[:-2] + b"%2d" % number)

        await self.serve(script)
        first = asyncio.ensure_future(self.fetch())
        await wait_until(lambda: self.connections == 1)
        second = await self.fetch()
        gate.set()
        await first
        self.assertEqual((b" 2", b" 1"), (second.body, (await first).body))
        self.assertEqual(b" 1", (await self.fetch()).body)
        self.assertEqual((2, (2, 2)), (self.connections, self.pool_counts()))

    async def test_connection_limit_and_fifo_order_of_waiting_calls(self) -> None:
        gates = [asyncio.Event() for _ in range(6)]

        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                await gates[len(self.requests) - 1].wait()
                writer.write(OK)

        await self.serve(script)
        tasks = []
        for number in range(6):
            tasks.append(asyncio.ensure_future(self.fetch(f"/{number}", connection_limit=1)))
            await asyncio.sleep(0)
        for number in range(6):
            await wait_until(lambda number=number: len(self.requests) == number + 1)
            self.assertIn(f"GET /{number} ".encode(), self.requests[number])
            gates[number].set()
        self.assertEqual([200] * 6, [(await task).status for task in tasks])
        self.assertEqual(1, self.connections)

    async def test_timeout_while_waiting_for_a_connection_sends_nothing(self) -> None:
        gate = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                await gate.wait()
                writer.write(OK)

        await self.serve(script)
        first = asyncio.ensure_future(self.fetch("/first", connection_limit=1))
        await wait_until(lambda: bool(self.requests))
        late = await self.fetch("/late", connection_limit=1, wait_us=20_000)
        self.assertEqual((ReplyTimeoutError, False), (type(late), late.was_sent))
        gone = asyncio.ensure_future(self.fetch("/gone", connection_limit=1))
        last = asyncio.ensure_future(self.fetch("/last", connection_limit=1))
        await asyncio.sleep(0)
        gone.cancel()
        gate.set()
        self.assertEqual([200, 200], [(await first).status, (await last).status])
        self.assertEqual(2, len(self.requests))

    async def test_timeout_and_cancellation_close_the_connection(self) -> None:
        never = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            await self.request(reader)
            if number > 2:
                writer.write(OK)
                await never.wait()
            await reader.read()  # until the client closes the connection

        await self.serve(script)
        late = await self.fetch(connection_limit=1, wait_us=300_000)
        self.assertEqual((ReplyTimeoutError, True), (type(late), late.was_sent))
        await wait_until(lambda: self.ended == [1])
        task = asyncio.ensure_future(self.fetch(connection_limit=1))
        waiting = asyncio.ensure_future(self.fetch(connection_limit=1))
        await wait_until(lambda: self.connections == 2 and len(self.requests) == 2)
        task.cancel()
        await wait_until(lambda: self.ended == [1, 2])
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(200, (await waiting).status)
        self.assertEqual((1, 1), self.pool_counts())
        never.set()

    async def test_early_reply_to_a_partly_sent_request_closes_the_connection(self) -> None:
        async def script(number: int, reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            self.requests.append(b"")
            await asyncio.Event().wait()

        await self.serve(script)
        reply = await self.fetch(method="POST", body=b"x" * 40_000_000)
        self.assertEqual((413, (0, 0)), (reply.status, self.pool_counts()))

    async def test_refused_connection_is_a_connect_error(self) -> None:
        for limit in (0, 1):
            outcomes = await asyncio.gather(*(self.fetch(connection_limit=limit) for _ in range(3)))
            self.assertEqual([ConnectError] * 3, [type(outcome) for outcome in outcomes])
        self.assertEqual((0, 0), self.pool_counts())
        self.assertFalse((await self.fetch("/", headers={"A": "\n"})).was_sent)
        wrong = await self.client.fetch(call=HttpCall(method="GET", url="http://nowhere/x"))
        self.assertFalse(wrong.was_sent)

    async def test_connect_times_out(self) -> None:
        host, _, port = self.address.partition(":")
        listener = socket.socket()
        listener.bind((host, int(port)))
        listener.listen(0)
        fill = [socket.socket() for _ in range(3)]
        for sock in fill:  # fills the listen queue
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
        outcome = await self.fetch(wait_us=100_000)
        self.assertEqual(
            (ReplyTimeoutError, False, (0, 0)),
            (type(outcome), outcome.was_sent, self.pool_counts()),
        )
        for sock in (listener, *fill):
            sock.close()


class ClientReplies(ClientCase):
    async def test_incomplete_or_invalid_reply_is_an_error_without_a_retry(self) -> None:
        long = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            (b"", "closed"),
            (b"HTTP/1.1 20!", "incomplete reply"),
            (b"HTTP/1.1 200 OK\r\nContent-Len!", "incomplete reply"),
            (long + b"abc!", "incomplete reply"),
            (chunked + b"3\r\nabc\r\n!", "incomplete reply"),
            (chunked + b"3\r\nabc\r\n0\r\n!", "incomplete reply"),
            (b"HTTP/1.1 100 Continue\r\n\r\n!", "closed"),
            (b"\0\1\2garbage\r\n\r\n", "invalid HTTP reply"),
            (b"SSH-2.0-x\r\n", "invalid HTTP reply"),
            (b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "invalid HTTP reply"),
            (b"HTTP/1.1 OK\r\n\r\n", "invalid HTTP reply"),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
                "invalid HTTP reply",
            ),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                "invalid HTTP reply",
            ),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n c\r\n\r\nok",
                "invalid HTTP reply",
            ),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", "invalid HTTP reply"),
            (chunked + b"zz\r\nabc", "invalid HTTP reply"),
            (chunked + b"3\r\nabcde\r\n", "invalid HTTP reply"),
            (
                b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                "invalid HTTP reply",
            ),
        )
        await self.replies(*(reply for reply, _ in cases for _ in range(2)))
        for reply, why in cases:
            for limit in (0, 1):
                with self.subTest(reply=reply, limit=limit):
                    outcome = await self.fetch(connection_limit=limit, method="POST", body=b"x")
                    self.assertEqual(
                        (ConnectionLostError, why, True),
                        (type(outcome), outcome.why, outcome.was_sent),
                    )
                    self.assertEqual((0, 0), self.pool_counts())
        self.assertEqual(2 * len(cases), len(self.requests))

    async def test_complete_replies_of_all_kinds(self) -> None:
        await self.replies(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + OK,
            b"HTTP/1.1 204 None\r\n\r\n",
            b"HTTP/1.1 304 Same\r\nContent-Length: 50\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n2;x\r\nbc\r\n0\r\nT: t\r\n\r\n",
            b"HTTP/1.1 500\r\nContent-Length: 0\r\n\r\n",
        )
        got = [await self.fetch() for _ in range(5)]
        self.assertEqual(
            [(200, b"ok"), (204, b""), (304, b""), (200, b"abc"), (500, b"")],
            [(reply.status, reply.body) for reply in got],
        )
        self.assertNotIn("link", got[0].headers)
        self.assertNotIn("t", got[3].headers)
        self.assertEqual((1, (1, 1)), (self.connections, self.pool_counts()))

    async def test_reply_without_a_length_is_complete_at_end_of_stream(self) -> None:
        heads = (b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.0 200 OK\r\n\r\n")
        await self.replies(*(head + body for head in heads for body in (b"!", b"abc!")))
        for _ in heads:
            for body in (b"", b"abc"):
                reply = await self.fetch()
                self.assertEqual(
                    (200, body, (0, 0)), (reply.status, reply.body, self.pool_counts())
                )
        self.assertEqual(2 * len(heads), self.connections)

    async def test_reply_without_a_length_is_lost_on_reset(self) -> None:
        may_reset = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            await self.request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
            await writer.drain()
            await may_reset.wait()
            send_reset(writer)

        await self.serve(script)
        for is_received in (True, False):
            with self.subTest(is_received=is_received):
                fetching = asyncio.ensure_future(self.fetch())
                if is_received:
                    await wait_until(lambda: bool(self.requests))
                    for _ in range(50):
                        await asyncio.sleep(0)
                may_reset.set()
                outcome = await fetching
                self.assertEqual((ConnectionLostError, True), (type(outcome), outcome.was_sent))
        self.assertEqual((0, 0), self.pool_counts())

    async def test_a_reply_to_head_has_no_body(self) -> None:
        await self.replies(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n")
        reply = await self.fetch(method="HEAD")
        self.assertEqual(
            (200, "50", b""), (reply.status, reply.headers["content-length"], reply.body)
        )
        self.assertEqual(200, (await self.fetch()).status)

    async def test_a_reply_in_single_bytes(self) -> None:
        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                for byte in OK:
                    writer.write(bytes((byte,)))
                    await writer.drain()

        await self.serve(script)
        for _ in range(2):
            self.assertEqual(b"ok", (await self.fetch()).body)
        self.assertEqual(1, self.connections)

    async def test_reply_above_the_size_limit(self) -> None:
        before = client_module.MAX_REPLY_BYTES, client_module.MAX_HEAD_BYTES
        client_module.MAX_REPLY_BYTES, client_module.MAX_HEAD_BYTES = 100_000, 10_000
        try:
            await self.replies(
                b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150_000,
                b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
            )
            for _ in range(2):
                self.assertEqual("reply exceeds the size limit", (await self.fetch()).why)
        finally:
            client_module.MAX_REPLY_BYTES, client_module.MAX_HEAD_BYTES = before


class PersistentConnections(ClientCase):
    async def test_extra_bytes_after_a_reply_close_the_connection(self) -> None:
        """The bytes arrive with the reply, or later while the connection is idle."""
        evil = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
        for extra in (evil, b"junk", evil[:20]):
            with self.subTest(extra=extra):
                self.connections, self.requests = 0, []
                self.address = free_address()
                await self.replies(OK + extra)
                self.assertEqual([b"ok"] * 2, [(await self.fetch()).body for _ in range(2)])
                self.assertEqual((2, 2), (self.connections, len(self.requests)))
                self.servers[-1].close_listener()

    async def test_unsolicited_reply_on_an_idle_connection_closes_it(self) -> None:
        idle = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                writer.write(OK)
                if number == 1:
                    await idle.wait()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")

        await self.serve(script)
        await self.fetch()
        idle.set()
        await wait_until(lambda: 1 in self.ended)
        self.assertEqual(b"ok", (await self.fetch()).body)
        self.assertEqual((2, (1, 1)), (self.connections, self.pool_counts()))

    async def test_close_just_before_reuse_is_detected(self) -> None:
        """The server closes the connection just before the client reuses it."""

        async def script(number: int, reader: Any, writer: Any) -> None:
            while True:
                await self.request(reader)
                writer.write(OK)

        for how in ("end", "bytes", "reset"):
            with self.subTest(how=how):
                self.address, self.connections = free_address(), 0
                host, _, port = self.address.partition(":")
                listener = socket.create_server((host, int(port)))
                listener.setblocking(False)
                loop = asyncio.get_running_loop()
                task = asyncio.ensure_future(self.fetch())
                peer, _ = await loop.sock_accept(listener)
                await loop.sock_recv(peer, 1000)
                peer.sendall(OK)
                self.assertEqual(200, (await task).status)
                self.assertEqual((1, 1), self.pool_counts())
                # the event loop does not run from here to the next call
                if how == "bytes":
                    peer.send(OK)
                if how == "reset":
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                if how != "bytes":
                    peer.close()
                task = asyncio.ensure_future(self.fetch())
                fresh, _ = await loop.sock_accept(listener)
                await loop.sock_recv(fresh, 1000)
                fresh.sendall(OK)
                self.assertEqual(200, (await task).status)
                for sock in (peer, fresh, listener):
                    sock.close()

    async def test_connection_closed_during_a_request_is_lost_without_a_retry(self) -> None:
        await self.replies(OK, b"", OK)
        self.assertEqual(200, (await self.fetch()).status)
        lost = await self.fetch(method="POST", body=b"x")
        self.assertEqual((ConnectionLostError, True), (type(lost), lost.was_sent))
        self.assertEqual(200, (await self.fetch()).status)
        self.assertEqual((3, 2), (len(self.requests), self.connections))

    async def test_reset_during_a_request(self) -> None:
        async def script(number: int, reader: Any, writer: Any) -> None:
            await self.request(reader)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        await self.serve(script)
        lost = await self.fetch()
        self.assertEqual(
            (ConnectionLostError, True, 1), (type(lost), lost.was_sent, len(self.requests))
        )

    async def test_connection_close_and_keep_alive_headers_are_honoured(self) -> None:
        for header in (b"Connection: close", b"Keep-Alive: timeout=0"):
            with self.subTest(header=header):
                self.address, self.connections = free_address(), 0
                await self.replies(*[OK.replace(b"\r\nC", b"\r\n" + header + b"\r\nC")] * 3)
                for _ in range(3):
                    self.assertEqual(200, (await self.fetch()).status)
                self.assertEqual(3, self.connections)
                self.servers[-1].close_listener()

    async def test_http_1_0_server_closes_unless_it_sends_keep_alive(self) -> None:
        old = b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"
        await self.replies(old, old.replace(b"\r\nC", b"\r\nConnection: keep-alive\r\nC"), OK)
        for _ in range(3):
            await self.fetch()
        self.assertEqual(2, self.connections)

    async def test_idle_connections_expire(self) -> None:
        with (
            mock.patch.object(reply_parser, "DEFAULT_IDLE_S", 0.02),
            mock.patch.object(client_module, "SWEEP_INTERVAL_S", 0.01),
        ):
            await self.replies(OK.replace(b"\r\nC", b"\r\nKeep-Alive: max=7\r\nC"))
            await self.fetch()
            await wait_until(lambda: self.ended == [1])
            self.assertEqual((0, 0), self.pool_counts())

    async def test_late_reply_to_another_call_is_skipped(self) -> None:
        def reply(name: str) -> bytes:
            return f"HTTP/1.1 200 OK\r\nX-Id: {name}\r\nContent-Length: 1\r\n\r\n{name}".encode()

        await self.replies(reply("a") + reply("b"), reply("a") + b"junk", reply("a") + b"!")
        got = await self.fetch(reply_owner=lambda reply: Owner(reply.headers["x-id"] == "b"))
        self.assertEqual((b"b", (0, 0)), (got.body, self.pool_counts()))
        for why in ("invalid HTTP reply", "closed"):
            got = await self.fetch(reply_owner=lambda reply: Owner(reply.headers["x-id"] == "b"))
            self.assertEqual((ConnectionLostError, why, True), (type(got), got.why, got.was_sent))
        self.assertEqual(3, len(self.requests))

    async def test_reply_to_another_call_before_the_right_one(self) -> None:
        more = asyncio.Event()

        async def script(number: int, reader: Any, writer: Any) -> None:
            await self.request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\na")
            await more.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nb")
            await reader.read()

        await self.serve(script)
        seen: list[bytes] = []

        def owner_of(reply: HttpReply) -> Owner:
            seen.append(reply.body)
            return Owner(reply.headers["x-id"] == "b")

        task = asyncio.ensure_future(self.fetch(reply_owner=owner_of))
        await wait_until(lambda: seen == [b"a"])
        more.set()
        self.assertEqual(b"b", (await task).body)
        self.assertEqual((0, 0), self.pool_counts())

    async def test_unreachable_address_does_not_affect_other_addresses(self) -> None:
        await self.replies()
        other = free_address()
        bad = HttpCall(method="GET", url=f"http://{other}/", connection_limit=1)
        outcomes = await asyncio.gather(
            self.client.fetch(call=bad),
            *(self.fetch() for _ in range(5)),
            self.client.fetch(call=bad),
        )
        self.assertEqual([200] * 5, [reply.status for reply in outcomes[1:-1]])
        self.assertEqual((2, (2, 2)), (self.connections, self.pool_counts()))
