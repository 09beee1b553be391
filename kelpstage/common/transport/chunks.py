"""Transfer of large values in chunks, on a channel of its own.

The sender (`ChunkSource`) serves its newest value. A value with a transfer in progress stays
pinned when a newer one replaces it, so that a receiver that is slower than the rate of changes
can complete its transfer. The receiver (`fetch_chunks`) names the value whose transfer it has
started, retries a chunk request that got no reply, and gives up within a bounded time.

A value is identified by its mark, a number that increases with each new value (a snapshot's
log index or a state's epoch).

Invariants: all chunks of one transfer are of the same value; the oldest transfer in progress
is never dropped before `MAX_TRANSFER_US`, so that transfers complete one after another; at
most `MAX_PINS` values and, beyond the first, `MAX_PINNED_BYTES` bytes are pinned.
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
CHUNK_TIMEOUT_US = 2_000_000  # for the reply to one chunk request
MAX_CHUNK_FAILURES = 4  # consecutive requests without a reply that fail a transfer
MAX_VALUE_BYTES = 64 * 1024 * 1024  # a receiver rejects larger values
BACKOFF_INITIAL_US = 100_000
BACKOFF_MAX_US = 2_000_000

MAX_PINS = 4
MAX_PINNED_BYTES = 8 * 1024 * 1024
PIN_IDLE_US = 10_000_000  # a transfer without requests for this long has ended
MAX_TRANSFER_US = 120_000_000  # a transfer that takes longer is abandoned


def backoff_us(*, failures: int) -> int:
    """Return the wait after a number of consecutive failures.

    >>> [backoff_us(failures=count) for count in (1, 2, 3, 60)]
    [100000, 200000, 400000, 2000000]
    """
    return min(BACKOFF_MAX_US, BACKOFF_INITIAL_US << min(failures - 1, 10))


@dataclass(kw_only=True)
class _PublishedValue:
    """A value that is served, and the state of its transfers."""

    mark: int
    mark_term: int
    data: bytes
    digest: bytes
    transfer_start_us: int = 0  # when its first transfer started
    last_request_us: int = 0  # time of the last chunk request; 0 if there was none

    def is_in_transfer(self, *, now_us: int) -> bool:
        is_started = self.last_request_us > 0
        is_idle = now_us - self.last_request_us > PIN_IDLE_US
        return is_started and not is_idle and now_us - self.transfer_start_us <= MAX_TRANSFER_US


class ChunkSource:
    """Serves the newest value, and older ones with a transfer in progress.

    >>> source = ChunkSource()
    >>> source.publish(mark=1, data=b"a" * (CHUNK_BYTES + 1), now_us=1)
    >>> source.chunk(min_mark=1, pinned=0, offset=0, now_us=2).mark
    1
    >>> source.publish(mark=2, data=b"b", now_us=3)
    >>> source.chunk(min_mark=1, pinned=1, offset=CHUNK_BYTES, now_us=4).data
    b'a'
    >>> source.chunk(min_mark=1, pinned=0, offset=0, now_us=4).mark
    2
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._newest: _PublishedValue | None = None
        self._pinned: dict[int, _PublishedValue] = {}

    @property
    def mark(self) -> int:
        """The mark of the newest value; 0 if there is none."""
        return self._newest.mark if self._newest else 0

    @property
    def size(self) -> int:
        """The size of the newest value in bytes."""
        return len(self._newest.data) if self._newest else 0

    def publish(self, *, mark: int, data: bytes, now_us: int, mark_term: int = 0) -> None:
        """Replace the newest value; the previous one is pinned if a transfer is in progress."""
        last = self._newest
        digest = hashlib.sha256(data).digest()
        self._newest = _PublishedValue(mark=mark, mark_term=mark_term, data=data, digest=digest)
        self._drop_ended_pins(now_us=now_us)
        if last is None or last.mark == mark or not last.is_in_transfer(now_us=now_us):
            return
        self._pinned[last.mark] = last
        self.counts["pinned"] += 1
        self._enforce_pin_limits()

    def is_in_transfer(self, *, now_us: int) -> bool:
        """True if a transfer of any value is in progress, or was until `PIN_IDLE_US` ago."""
        self._drop_ended_pins(now_us=now_us)
        is_newest = self._newest is not None and self._newest.is_in_transfer(now_us=now_us)
        return is_newest or bool(self._pinned)

    def chunk(self, *, min_mark: int, pinned: int, offset: int, now_us: int) -> Chunk:
        """Return a chunk of the value with the mark `pinned` or, if `pinned` is 0, of the newest
        value, provided that its mark is at least `min_mark`; `is_found` is false otherwise."""
        self._drop_ended_pins(now_us=now_us)
        value = self._find(min_mark=min_mark, pinned=pinned)
        if value is None or offset > len(value.data):
            self.counts["not_found"] += 1
            return Chunk(is_found=False)
        value.transfer_start_us = value.transfer_start_us or now_us
        value.last_request_us = now_us
        return Chunk(
            is_found=True,
            mark=value.mark,
            mark_term=value.mark_term,
            total=len(value.data),
            offset=offset,
            data=value.data[offset : offset + CHUNK_BYTES],
            digest=value.digest,
        )

    def _find(self, *, min_mark: int, pinned: int) -> _PublishedValue | None:
        newest = self._newest
        if newest is not None and pinned in (0, newest.mark):
            return newest if newest.mark >= min_mark else None
        return self._pinned.get(pinned)

    def _drop_ended_pins(self, *, now_us: int) -> None:
        for mark in [m for m, v in self._pinned.items() if not v.is_in_transfer(now_us=now_us)]:
            del self._pinned[mark]
            self.counts["pin_ended"] += 1

    def _enforce_pin_limits(self) -> None:
        """Unpin the values whose transfers started last, so that the oldest can complete."""
        oldest_first = sorted(
            self._pinned.values(), key=lambda value: (value.transfer_start_us, value.mark)
        )
        pinned_bytes = 0
        for rank, value in enumerate(oldest_first):
            pinned_bytes += len(value.data)
            if rank and (rank >= MAX_PINS or pinned_bytes > MAX_PINNED_BYTES):
                del self._pinned[value.mark]
                self.counts["pin_refused"] += 1


@dataclass(kw_only=True)
class _Transfer:
    """The part of a value that a receiver has fetched so far."""

    data: bytearray
    mark: int = 0
    total: int = 0
    digest: bytes = b""

    def add(self, *, chunk: Chunk) -> bool:
        """Append the next chunk; returns false if it does not continue this value."""
        if not chunk.is_found or chunk.offset != len(self.data) or chunk.total > MAX_VALUE_BYTES:
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
        """Return the complete value, or `None` if its digest does not match."""
        data = bytes(self.data)
        return data if hashlib.sha256(data).digest() == self.digest else None


async def fetch_chunks(
    *,
    transport: Transport,
    clock: Clock,
    address: str,
    make_request: Callable[[int, int], FetchSnapshot | FetchState],
    is_wanted: Callable[[], bool] = lambda: True,
) -> bytes | None:
    """Fetch a value chunk by chunk; returns `None` if the transfer fails.

    `make_request(pinned, offset)` builds a request. The first request is sent once. Later requests
    without a reply are retried with backoff while `is_wanted` returns true; the transfer fails
    after `MAX_CHUNK_FAILURES` consecutive failures.
    """
    transfer = _Transfer(data=bytearray())
    failures = 0
    while not transfer.is_complete:
        chunk = await transport.call(
            address=address,
            message=make_request(transfer.mark, len(transfer.data)),
            wait_us=CHUNK_TIMEOUT_US,
            channel=frames.BULK,
        )
        if isinstance(chunk, Chunk):
            failures = 0
            if not transfer.add(chunk=chunk):
                return None
            continue
        failures += 1
        if not transfer.data or failures >= MAX_CHUNK_FAILURES or not is_wanted():
            return None
        await clock.sleep(us=backoff_us(failures=failures))
    return transfer.value()
