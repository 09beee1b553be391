"""HTTP/1.1 as the stand-ins speak it: requests out, requests in, plain and small."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Awaitable, Callable


@dataclass(kw_only=True)
class Message:
    """A request or an answer; `first` is the first line, header names are in lower case."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """The next message; raises `IncompleteReadError` if the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    message = Message(first=head[0])
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                break
        message.body = b"".join(parts)
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    return message


def pack(*, first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A message as bytes, with the length of its body."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body or first.startswith("HTTP/") or first.startswith("POST"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    *, address: str, data: bytes, wait_s: float, source: str | None = None
) -> Message | str:
    """The answer to one request on a connection of its own, or why there is none.

    `source` is the loopback address to call from.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            writer.write(data)
            return await read_message(reader)
    except TimeoutError:
        return "silence"
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
        return "no connection" if writer is None else f"broke off ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()


async def serve(
    *, address: str, answer: Callable[[Message], Awaitable[bytes | None]]
) -> asyncio.Server:
    """Answer the requests at an address one after the other on each connection; `answer`
    gives the bytes to send, or None to close the connection instead."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                data = await answer(await read_message(reader))
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the other side has left, or this script ends
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(on_connection, host, int(port))


def json_answer(*, status: int, value: object) -> bytes:
    """A JSON answer."""
    body = json.dumps(value).encode()
    return pack(
        first=f"HTTP/1.1 {status} X", headers={"Content-Type": "application/json"}, body=body
    )
