"""Stand-in callers that keep a connection and go on using it until it is closed.

The platform hands a caller to a ready node once; from then on the node is asked over the
same connection, whatever it says of itself, until the node closes it or its process is gone.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import httptools

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.stand_ins.callers import Callers, Kind

READ_BYTES = 65_536
PAUSE_S = 0.05  # between two calls, at most
AGAIN_S = 0.2  # after a connection has ended
CONNECT_S = 1.0


class ReplyReader:
    """Reads one reply from the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = b""
        self.has_begun = False
        self.is_complete = False

    def feed(self, data: bytes) -> None:
        """Take bytes; raises `httptools.HttpParserError` for what is no answer."""
        self.has_begun = True
        self._parser.feed_data(data)

    def reply(self) -> HttpReply:
        """The complete reply."""
        status = self._parser.get_status_code()
        return HttpReply(status=status, headers=self._headers, body=self._body)

    @property
    def is_last(self) -> bool:
        """Does the node close the connection behind this reply?"""
        return not self._parser.should_keep_alive()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """A piece of the body was read."""
        self._body += body

    def on_message_complete(self) -> None:
        """The reply is complete."""
        self.is_complete = True


@dataclass(kw_only=True)
class KeepAliveCallers:
    """Callers with one connection each; their rows are those of `Callers`.

    A call that ends without a complete reply is a row `kept_call` with its `end`:
    `closed` before the first byte of a reply, `cut_off` after it, `wait_over`, `garbled`.
    """

    callers: Callers
    is_open: bool = True
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, *, count: int) -> None:
        """Begin with so many callers, of each kind in turn."""
        kinds = self.callers.kinds
        for number in range(count):
            kind = kinds[number % len(kinds)]
            self._tasks.append(asyncio.create_task(self._run(kind=kind)))

    async def stop(self) -> None:
        """No new calls; those that are open end."""
        self.is_open = False
        await asyncio.gather(*self._tasks)

    async def _run(self, *, kind: Kind) -> None:
        rand = self.callers.ports.rand
        while self.is_open:
            node = self.callers.platform.hand_on(zone=rand.choice(self.callers.zones))
            if node is not None:
                await self._use_connection(kind=kind, node=node)
            await asyncio.sleep(AGAIN_S * rand.random())

    async def _use_connection(self, *, kind: Kind, node: str) -> None:
        host, _, port = self.callers.platform.nodes[node][1].rpartition(":")
        try:
            opening = asyncio.open_connection(host, int(port))
            reader, writer = await asyncio.wait_for(opening, CONNECT_S)
        except OSError:
            self.callers.platform.forget(name=node)
            return
        try:
            await self._call_again_and_again(kind=kind, node=node, reader=reader, writer=writer)
        finally:
            writer.close()

    async def _call_again_and_again(
        self, *, kind: Kind, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        rand = self.callers.ports.rand
        while await self._call(kind=kind, node=node, reader=reader, writer=writer):
            await asyncio.sleep(PAUSE_S * rand.random())
            if not self.is_open:
                return

    async def _call(
        self, *, kind: Kind, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """One call; true if the connection can be used again."""
        prepared = self.callers.prepare(kind=kind, node=node)
        answer = ReplyReader()
        end = await _exchange(call=prepared.call, answer=answer, reader=reader, writer=writer)
        if end:
            self.callers.note_unanswered(prepared=prepared, end=end)
            return False
        self.callers.note_reply(prepared=prepared, reply=answer.reply())
        return not answer.is_last


async def _exchange(
    *,
    call: HttpCall,
    answer: ReplyReader,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> str:
    """Send a request and read its reply; how it ended, empty if the reply is complete."""
    writer.write(request_bytes(call=call))
    try:
        async with asyncio.timeout(call.wait_us / 1_000_000):
            while not answer.is_complete:
                data = await reader.read(READ_BYTES)
                if not data:
                    return "cut_off" if answer.has_begun else "closed"
                answer.feed(data)
    except TimeoutError:
        return "wait_over"
    except httptools.HttpParserError:
        return "garbled"
    except OSError:
        return "cut_off" if answer.has_begun else "closed"
    return ""


def request_bytes(*, call: HttpCall) -> bytes:
    """A request as it goes over a connection.

    >>> request_bytes(call=HttpCall(method="GET", url="http://h:1/a", headers={"B": "c"}))
    b'GET /a HTTP/1.1\\r\\nHost: h:1\\r\\nB: c\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    host, _, path = call.url.removeprefix("http://").partition("/")
    headers = {"Host": host, **call.headers, "Content-Length": str(len(call.body))}
    lines = [f"{call.method} /{path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + call.body
