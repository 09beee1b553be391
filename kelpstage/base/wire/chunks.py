"""Bulk bytes in chunks, on a lane of their own."""

from __future__ import annotations

import hashlib
from typing import Any, Callable

from kelpstage.base.wire import frames
from kelpstage.base.wire.lines import Lines
from kelpstage.base.wire.messages import Chunk

CHUNK_BYTES = 128 * 1024
CHUNK_WAIT_US = 2_000_000


def cut_chunk(*, data: bytes, offset: int, mark: int, mark_term: int = 0) -> Chunk:
    """The piece of `data` at `offset`, with the whole's length and digest.

    >>> cut_chunk(data=b"abc", offset=1, mark=4).data
    b'bc'
    """
    return Chunk(
        is_found=True,
        mark=mark,
        mark_term=mark_term,
        total=len(data),
        offset=offset,
        data=data[offset : offset + CHUNK_BYTES],
        digest=hashlib.sha256(data).digest() if offset == 0 else b"",
    )


async def fetch_chunks(*, lines: Lines, address: str, ask: Callable[[int], Any]) -> bytes | None:
    """Fetch a whole thing piece by piece, or nothing if it changed or failed."""
    data = b""
    digest, mark = b"", 0
    while True:
        chunk = await lines.call(
            address=address, message=ask(len(data)), wait_us=CHUNK_WAIT_US, lane=frames.BULK
        )
        if not isinstance(chunk, Chunk) or not chunk.is_found or chunk.offset != len(data):
            return None
        if not data:
            digest, mark = chunk.digest, chunk.mark
        if chunk.mark != mark:
            return None
        data += chunk.data
        if len(data) >= chunk.total:
            return data if hashlib.sha256(data).digest() == digest else None
        if not chunk.data:
            return None
