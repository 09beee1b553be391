"""Stand-in callers that use a persistent connection until it is closed.

The platform chooses a ready node once. The caller then sends all calls to that node over the
same connection, even if the node is no longer ready, until the node closes it or ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import httptools

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.stand_ins.callers import Callers, Kind

READ_BYTES = 65_536
MAX_PAUSE_S = 0.05  # between two calls
RECONNECT_PAUSE_S = 0.2  # at most, after a connection has ended
CONNECT_TIMEOUT_S = 1.0


class ReplyReader:
    """Parses one reply from the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = b""
        self.has_started = False
        self.is_complete = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `httptools.HttpParserError` if they are no HTTP reply."""
        self.has_started = True
        self._parser.feed_data(data)

    def reply(self) -> HttpReply:
        """Returns the complete reply."""
        status = self._parser.get_status_code()
        return HttpReply(status=status, headers=self._headers, body=self._body)

    @property
    def closes_connection(self) -> bool:
        """True if the node closes the connection after this reply."""
        return not self._parser.should_keep_alive()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a parsed header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append a parsed part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the reply as complete."""
        self.is_complete = True


@dataclass(kw_only=True)
class KeepAliveCallers:
    """Callers with one persistent connection each; `callers` records their rows.

    A call without a complete reply is recorded as `kept_call` with one of these ends: `closed`
    (the connection ended before the first byte of a reply), `cut_off` (it ended after that),
    `wait_over` (timeout), `garbled` (invalid HTTP).
    """

    callers: Callers
    is_open: bool = True
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, *, count: int) -> None:
        """Start `count` callers, with the kinds of calls in turn."""
        kinds = self.callers.kinds
        for number in range(count):
            kind = kinds[number % len(kinds)]
            self._tasks.append(asyncio.create_task(self._run(kind=kind)))

    async def stop(self) -> None:
        """Start no new calls and wait for those in flight."""
        self.is_open = False
        await asyncio.gather(*self._tasks)

    async def _run(self, *, kind: Kind) -> None:
        rand = self.callers.ports.rand
        while self.is_open:
            node = self.callers.platform.choose_node(zone=rand.choice(self.callers.zones))
            if node is not None:
                await self._use_connection(kind=kind, node=node)
            await asyncio.sleep(RECONNECT_PAUSE_S * rand.random())

    async def _use_connection(self, *, kind: Kind, node: str) -> None:
        address = self.callers.platform.nodes[node][1]
        host, _, port = address.rpartition(":")
        try:
            opening = asyncio.open_connection(host, int(port))
            reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except OSError:
            self.callers.platform.mark_not_ready(name=node)
            return
        try:
            while await self._call(
                kind=kind, node=node, address=address, reader=reader, writer=writer
            ):
                await asyncio.sleep(MAX_PAUSE_S * self.callers.ports.rand.random())
                if not self.is_open:
                    return
        finally:
            writer.close()

    async def _call(
        self,
        *,
        kind: Kind,
        node: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one call; true if the connection can be used again."""
        prepared = self.callers.prepare(kind=kind, node=node, address=address)
        reply_reader = ReplyReader()
        end = await _exchange(
            call=prepared.call, reply_reader=reply_reader, reader=reader, writer=writer
        )
        if end:
            self.callers.record_unanswered(prepared=prepared, end=end)
            return False
        self.callers.record_reply(prepared=prepared, reply=reply_reader.reply())
        return not reply_reader.closes_connection


async def _exchange(
    *,
    call: HttpCall,
    reply_reader: ReplyReader,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> str:
    """Sends a request and reads its reply. Returns the kind of failure, empty if the reply is
    complete."""
    writer.write(request_bytes(call=call))
    try:
        async with asyncio.timeout(call.wait_us / 1_000_000):
            while not reply_reader.is_complete:
                data = await reader.read(READ_BYTES)
                if not data:
                    return "cut_off" if reply_reader.has_started else "closed"
                reply_reader.feed(data)
    except TimeoutError:
        return "wait_over"
    except httptools.HttpParserError:
        return "garbled"
    except OSError:
        return "cut_off" if reply_reader.has_started else "closed"
    return ""


def request_bytes(*, call: HttpCall) -> bytes:
    """Returns the bytes of an HTTP request.

    >>> request_bytes(call=HttpCall(method="GET", url="http://h:1/a", headers={"B": "c"}))
    b'GET /a HTTP/1.1\\r\\nHost: h:1\\r\\nB: c\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    host, _, path = call.url.removeprefix("http://").partition("/")
    headers = {"Host": host, **call.headers, "Content-Length": str(len(call.body))}
    lines = [f"{call.method} /{path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + call.body
