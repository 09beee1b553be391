"""Values of any size in chunks, on a channel of their own.

The sender (`ChunkSource`) serves its newest value. A value whose transfer has begun stays
pinned when a newer one replaces it, so that a receiver that is slower than the changes
still gets to the end. The receiver (`fetch_chunks`) names the value that it has begun,
repeats a chunk that got no answer, and gives up within a bounded time.

Invariants: the chunks of one transfer are all of one value; the oldest transfer under way
is never dropped before `PIN_LONGEST_US`, so transfers end one after the other; at most
`PINS_LIMIT` values and, beyond the first, `PINNED_BYTES_LIMIT` bytes are pinned.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Callable

from kelpstage.common.ports.interfaces import Clock
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import Chunk, FetchSnapshot, FetchState

CHUNK_BYTES = 128 * 1024
CHUNK_WAIT_US = 2_000_000  # for the answer to one request
CHUNK_TRIES = 4  # requests without an answer in a row, then the transfer has failed
FETCH_BYTES_LIMIT = 64 * 1024 * 1024  # a receiver refuses larger values
RETRY_FIRST_US = 100_000
RETRY_LONGEST_US = 2_000_000

PINS_LIMIT = 4
PINNED_BYTES_LIMIT = 8 * 1024 * 1024
PIN_IDLE_US = 10_000_000  # without a request for so long, a transfer has ended
PIN_LONGEST_US = 120_000_000  # a transfer that takes longer is given up


def backoff_us(*, failures: int) -> int:
    """How long to wait after so many failures in a row.

    >>> [backoff_us(failures=count) for count in (1, 2, 3, 60)]
    [100000, 200000, 400000, 2000000]
    """
    return min(RETRY_LONGEST_US, RETRY_FIRST_US << min(failures - 1, 10))


@dataclass(kw_only=True)
class _Value:
    """One value that is served, and its transfers."""

    mark: int
    mark_term: int
    data: bytes
    digest: bytes
    began_us: int = 0  # when its first transfer began
    asked_us: int = 0  # when a chunk was last asked for; 0: no transfer

    def is_in_transfer(self, *, now_us: int) -> bool:
        is_begun = self.asked_us > 0
        is_idle = now_us - self.asked_us > PIN_IDLE_US
        return is_begun and not is_idle and now_us - self.began_us <= PIN_LONGEST_US


class ChunkSource:
    """Serves the newest value, and older ones whose transfer has begun.

    >>> source = ChunkSource()
    >>> source.publish(mark=1, data=b"a" * (CHUNK_BYTES + 1), now_us=1)
    >>> source.chunk(least=1, pinned=0, offset=0, now_us=2).mark
    1
    >>> source.publish(mark=2, data=b"b", now_us=3)
    >>> source.chunk(least=1, pinned=1, offset=CHUNK_BYTES, now_us=4).data
    b'a'
    >>> source.chunk(least=1, pinned=0, offset=0, now_us=4).mark
    2
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._newest: _Value | None = None
        self._pinned: dict[int, _Value] = {}

    @property
    def mark(self) -> int:
        """The newest value's mark; 0 if there is none."""
        return self._newest.mark if self._newest else 0

    @property
    def size(self) -> int:
        """The newest value's bytes."""
        return len(self._newest.data) if self._newest else 0

    def publish(self, *, mark: int, data: bytes, now_us: int, mark_term: int = 0) -> None:
        """Serve this value from now on; the one before only where it is pinned."""
        last = self._newest
        digest = hashlib.sha256(data).digest()
        self._newest = _Value(mark=mark, mark_term=mark_term, data=data, digest=digest)
        self._drop_ended(now_us=now_us)
        if last is None or last.mark == mark or not last.is_in_transfer(now_us=now_us):
            return
        self._pinned[last.mark] = last
        self.counts["pinned"] += 1
        self._keep_to_limits()

    def is_in_transfer(self, *, now_us: int) -> bool:
        """Is any receiver in the middle of a value, or was it a moment ago?"""
        self._drop_ended(now_us=now_us)
        is_newest = self._newest is not None and self._newest.is_in_transfer(now_us=now_us)
        return is_newest or bool(self._pinned)

    def chunk(self, *, least: int, pinned: int, offset: int, now_us: int) -> Chunk:
        """A part of the value `pinned`, or, if that is 0, of the newest if it is at least `least`;
        `is_found` is false if there is no such value."""
        self._drop_ended(now_us=now_us)
        value = self._find(least=least, pinned=pinned)
        if value is None or offset > len(value.data):
            self.counts["not_found"] += 1
            return Chunk(is_found=False)
        value.began_us = value.began_us or now_us
        value.asked_us = now_us
        return Chunk(
            is_found=True,
            mark=value.mark,
            mark_term=value.mark_term,
            total=len(value.data),
            offset=offset,
            data=value.data[offset : offset + CHUNK_BYTES],
            digest=value.digest,
        )

    def _find(self, *, least: int, pinned: int) -> _Value | None:
        newest = self._newest
        if newest is not None and pinned in (0, newest.mark):
            return newest if newest.mark >= least else None
        return self._pinned.get(pinned)

    def _drop_ended(self, *, now_us: int) -> None:
        for mark in [m for m, v in self._pinned.items() if not v.is_in_transfer(now_us=now_us)]:
            del self._pinned[mark]
            self.counts["pin_ended"] += 1

    def _keep_to_limits(self) -> None:
        """The transfers that began last give way: the oldest gets to its end."""
        by_age = sorted(self._pinned.values(), key=lambda value: (value.began_us, value.mark))
        held_bytes = 0
        for rank, value in enumerate(by_age):
            held_bytes += len(value.data)
            if rank and (rank >= PINS_LIMIT or held_bytes > PINNED_BYTES_LIMIT):
                del self._pinned[value.mark]
                self.counts["pin_refused"] += 1


@dataclass(kw_only=True)
class _Transfer:
    """What a receiver has of one value."""

    data: bytearray
    mark: int = 0
    total: int = 0
    digest: bytes = b""

    def add(self, *, chunk: Chunk) -> bool:
        """Add the next chunk; false if it is not the one that comes next."""
        if not chunk.is_found or chunk.offset != len(self.data) or chunk.total > FETCH_BYTES_LIMIT:
            return False
        if not self.data:
            self.mark, self.total, self.digest = chunk.mark, chunk.total, chunk.digest
        if (chunk.mark, chunk.total) != (self.mark, self.total) or not chunk.data:
            return False
        self.data += chunk.data
        return len(self.data) <= self.total

    @property
    def is_complete(self) -> bool:
        return bool(self.data) and len(self.data) == self.total

    def value(self) -> bytes | None:
        """The complete value, or nothing if its digest differs."""
        data = bytes(self.data)
        return data if hashlib.sha256(data).digest() == self.digest else None


async def fetch_chunks(
    *,
    transport: Transport,
    clock: Clock,
    address: str,
    ask: Callable[[int, int], FetchSnapshot | FetchState],
    is_wanted: Callable[[], bool] = lambda: True,
) -> bytes | None:
    """Fetch a value chunk by chunk, or nothing if it failed.

    `ask(pinned, offset)` makes the request. Once a transfer has begun, a chunk without an
    answer is asked for again, `CHUNK_TRIES` times at most, as long as `is_wanted` holds.
    """
    transfer = _Transfer(data=bytearray())
    failures = 0
    while not transfer.is_complete:
        chunk = await transport.call(
            address=address,
            message=ask(transfer.mark, len(transfer.data)),
            wait_us=CHUNK_WAIT_US,
            channel=frames.BULK,
        )
        if isinstance(chunk, Chunk):
            failures = 0
            if not transfer.add(chunk=chunk):
                return None
            continue
        failures += 1
        if not transfer.data or failures >= CHUNK_TRIES or not is_wanted():
            return None
        await clock.sleep(us=backoff_us(failures=failures))
    return transfer.value()
